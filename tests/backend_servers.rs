//! Backend servers that drain, shed and are overloaded, with real processes.
#![allow(clippy::unwrap_used, missing_docs)]

use std::time;

use cardamomwinch_standin::prelude::*;
use serde_json::Value;

const LIMIT: time::Duration = time::Duration::from_secs(120);
/// The lifetime of requests in the plan: a host that has just become home knows that
/// no earlier home can have received a request with such a deadline.
const DEADLINE: time::Duration = time::Duration::from_secs(5);

fn run(main: impl AsyncFnOnce(&TaskExecutor)) {
    let executor = TaskExecutor::default();
    async_io::block_on(executor.run(main(&executor)));
}

async fn deployment(backends: usize, options: &[&str]) -> Deployment {
    let mut plan = DeploymentPlan::budapest(2);
    plan.services.truncate(1);
    plan.services[0].backends = backends;
    plan.services[0].options = options.iter().map(|held| (*held).to_owned()).collect();
    let programs = ProgramDirectory::of_this_build().unwrap();
    let deployment = Deployment::start(plan, programs, LIMIT).await.unwrap();
    deployment.wait_until_homes_agree(LIMIT).await.unwrap();
    deployment
}

async fn caller(executor: &TaskExecutor, deployment: &Deployment) -> CallerClient {
    let fabric = deployment.fabric_address("callers").unwrap();
    let service = deployment.plan.services[0].address;
    let mut settings = CallerSettings::new(fabric, service);
    settings.resend_interval = time::Duration::from_secs(1);
    CallerClient::bind(executor, settings).await.unwrap()
}

/// Opens `count` flows, each with its own caller; a caller whose opening is refused is
/// replaced.
async fn open_flows(
    executor: &TaskExecutor,
    deployment: &Deployment,
    count: usize,
) -> Vec<CallerClient> {
    let mut open = Vec::new();
    for _ in 0..count * 20 {
        if open.len() == count {
            break;
        }
        let client = caller(executor, deployment).await;
        if client.open(b"", DEADLINE).await.unwrap() == OpenOutcome::Opened {
            open.push(client);
        }
    }
    assert_eq!(open.len(), count, "too many openings were refused");
    open
}

async fn report(deployment: &Deployment, index: usize) -> Value {
    let address = deployment.backends[index].address;
    let reply = http::request(address, "GET", "/runs", "").await.unwrap();
    reply.json().unwrap()
}

/// The phase of a backend server in the administration API of each host.
async fn known_phases(deployment: &Deployment, index: usize) -> Vec<String> {
    let name = &deployment.backends[index].name;
    let mut phases = Vec::new();
    for position in 0..deployment.hosts.len() {
        let answer = deployment
            .call(position, "backends", serde_json::json!([]))
            .await
            .unwrap();
        let reports = answer.as_array().unwrap();
        let of_server = reports.iter().filter(|held| held["backend"] == **name);
        phases.extend(of_server.map(|held| held["phase"].as_str().unwrap().to_owned()));
    }
    phases
}

fn total(reports: &[Value], key: &str) -> u64 {
    reports
        .iter()
        .map(|report| report[key].as_u64().unwrap())
        .sum()
}

/// An operator drains a server at the server itself, while it has sessions. Three
/// seconds later hosts must not open a single new flow on the server (it would shed it
/// and the caller would lose time), and its sessions must go on.
#[test]
fn a_server_that_reports_draining_gets_no_new_flow_and_keeps_its_sessions() {
    run(async |executor| {
        let deployment = deployment(6, &[]).await;
        let sessions = open_flows(executor, &deployment, 30).await;
        let mut draining = 0;
        for index in 0..deployment.backends.len() {
            if report(&deployment, index).await["open_flows"] != 0 {
                draining = index;
            }
        }
        let address = deployment.backends[draining].address;
        http::request(address, "POST", "/drain", "").await.unwrap();
        async_io::Timer::after(time::Duration::from_secs(3)).await;
        let known = known_phases(&deployment, draining).await;
        assert!(known.contains(&"draining".to_owned()), "{known:?}");
        let before = report(&deployment, draining).await;
        open_flows(executor, &deployment, 40).await;
        let after = report(&deployment, draining).await;
        assert_eq!(after["shed"], before["shed"]);
        assert_eq!(after["open_flows"], before["open_flows"]);
        for session in &sessions {
            let outcome = session.request(b"query", true, DEADLINE).await.unwrap();
            assert!(
                matches!(outcome, RequestOutcome::Answered { .. }),
                "{outcome:?}"
            );
        }
    });
}

/// Guards against callers that get no reply or a false one when they send far more
/// requests than the servers can run.
#[test]
fn under_overload_each_request_is_answered_or_refused_and_runs_accordingly() {
    run(async |executor| {
        let deployment = deployment(3, &["--service-ms-mean", "100"]).await;
        let clients = open_flows(executor, &deployment, 60).await;
        let tasks: Vec<_> = clients
            .into_iter()
            .map(|client| executor.spawn(send_requests(client)))
            .collect();
        let mut outcomes = Vec::new();
        for task in tasks {
            outcomes.extend(task.await);
        }
        let answered =
            |outcome: &&RequestOutcome| matches!(outcome, RequestOutcome::Answered { .. });
        let refused = |outcome: &&RequestOutcome| matches!(outcome, RequestOutcome::NotRun { .. });
        let ran = outcomes.iter().filter(answered).count();
        let not_run = outcomes.iter().filter(refused).count();
        let reports = deployment.run_reports().await.unwrap();
        println!(
            "{ran} answered, {not_run} refused, {} runs, {} shed",
            total(&reports, "total"),
            total(&reports, "shed")
        );
        let other = outcomes
            .iter()
            .find(|outcome| !answered(outcome) && !refused(outcome));
        assert_eq!(other, None);
        assert!(ran > 0 && not_run > 0, "{ran} answered, {not_run} refused");
        assert_eq!(total(&reports, "total"), ran as u64);
        assert!(
            reports
                .iter()
                .all(|report| report["repeated"] == serde_json::json!([]))
        );
    });
}

async fn send_requests(client: CallerClient) -> Vec<RequestOutcome> {
    let mut outcomes = Vec::new();
    for number in 0..8 {
        let payload = format!("request-{number}");
        let outcome = client.request(payload.as_bytes(), false, DEADLINE).await;
        outcomes.push(outcome.unwrap());
    }
    assert_eq!(client.counters().contradictions, 0);
    outcomes
}
