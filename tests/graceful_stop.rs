//! Every planned stop is graceful: it cuts off no request in flight.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time;

use cardamomwinch_standin::prelude::*;
use serde_json::Value;
use support::network::{self, FaultyDeployment};
use support::{LIMIT, pause, requests};

const CALLERS: usize = 12;
/// How long a request runs, in milliseconds: long enough that it still runs
/// when the host is asked to stop.
const SERVICE_MS: &str = "1000";
/// How long a request runs, in milliseconds, if it must not end before its host has
/// been asked to stop twice.
const LONG_SERVICE_MS: &str = "4000";
/// The longest time between the first sending of a request and its deadline, in
/// milliseconds.
const LIFETIME_MS: u64 = 6000;
const DEADLINE: time::Duration = time::Duration::from_millis(5500);

/// A request and the outcome that its caller saw.
#[derive(Debug)]
struct SentRequest {
    client: CallerClient,
    outcome: RequestOutcome,
}

impl SentRequest {
    fn is_answered(&self) -> bool {
        matches!(self.outcome, RequestOutcome::Answered { .. })
    }

    fn is_settled(&self) -> bool {
        self.is_answered() || matches!(self.outcome, RequestOutcome::NotRun { .. })
    }
}

/// Prints the log lines of the hosts about the flows of `requests`, and the runs of these
/// flows on backend servers.
fn print_decisions(faulty: &FaultyDeployment, requests: &[&SentRequest], reports: &[Value]) {
    let flows: Vec<_> = requests
        .iter()
        .map(|one| one.client.flow().to_string())
        .collect();
    let runs = reports.iter().flat_map(|report| report["runs"].as_array());
    for run in runs.flatten() {
        let caller = run["flow"]["caller"].as_str();
        if caller.is_some_and(|caller| flows.iter().any(|flow| flow.starts_with(caller))) {
            println!("{run}");
        }
    }
    for host in &faulty.deployment.hosts {
        while let Some(line) = host.process.next_line(time::Duration::ZERO) {
            if flows.iter().any(|flow| line.contains(flow)) || line.contains("home_changed") {
                println!("{line}");
            }
        }
    }
}

async fn start(mut plan: DeploymentPlan, service_ms: &str) -> FaultyDeployment {
    plan.services[0].options = vec!["--service-ms-mean".to_owned(), service_ms.to_owned()];
    plan.limits["request_lifetime_ms"] = serde_json::json!(LIFETIME_MS);
    let faulty = FaultyDeployment::start(plan).await;
    // A home host doesn't run requests that may have been sent before it became
    // home: those whose deadline is less than a lifetime after that time.
    pause(1000).await;
    faulty
}

/// Opens flows, sends one request on each, and returns once a server runs one.
async fn send_requests(
    executor: &TaskExecutor,
    faulty: &FaultyDeployment,
) -> Vec<async_executor::Task<SentRequest>> {
    let fabric = faulty.deployment.fabric_address("callers").unwrap();
    let service = faulty.deployment.plan.services[0].address;
    let mut clients = Vec::new();
    for index in 0..CALLERS {
        let mut settings = CallerSettings::new(fabric, service);
        settings.echoes_token = index % 2 == 0;
        let client = CallerClient::bind(executor, settings).await.unwrap();
        let opened = client.open(b"", LIMIT).await.unwrap();
        assert_eq!(opened, OpenOutcome::Opened);
        clients.push(client);
    }
    let tasks = clients.into_iter().enumerate().map(|(index, client)| {
        executor.spawn(async move {
            let payload = format!("filing-{index}/");
            let sent = client.request(payload.as_bytes(), false, DEADLINE);
            let outcome = sent.await.unwrap();
            SentRequest { client, outcome }
        })
    });
    let tasks = tasks.collect();
    support::eventually("requests to run", async || {
        let reports = faulty.deployment.run_reports().await.unwrap();
        (requests::sum(&reports, "total") > 0).then_some(())
    })
    .await;
    tasks
}

/// The hosts that are home of a server with a request in flight.
async fn busy_hosts(faulty: &FaultyDeployment) -> Vec<String> {
    support::eventually("a host with requests in flight", async || {
        let mut busy = Vec::new();
        for name in faulty.hosts(None) {
            let status = faulty.call(&name, "status").await?;
            if status["pending_requests"].as_u64()? > 0 {
                busy.push(name);
            }
        }
        (!busy.is_empty()).then_some(busy)
    })
    .await
}

/// Guards against a graceful stop that cuts off requests in flight. Requests run when
/// the host that waits for their answers is asked to stop. Their callers get the
/// answers, or a refusal if the request didn't run, and the process ends by itself with
/// exit code 0.
#[test]
fn requests_in_flight_are_answered_although_their_home_host_stops() {
    support::run(async |executor| {
        let mut faulty = start(network::small_plan(), SERVICE_MS).await;
        let tasks = send_requests(executor, &faulty).await;
        let stopping = busy_hosts(&faulty).await[0].clone();
        faulty.process(&stopping).terminate().unwrap();
        faulty
            .wait_until_stopped(std::slice::from_ref(&stopping))
            .await;
        let mut requests = Vec::new();
        for task in tasks {
            requests.push(task.await);
        }
        let reports = faulty.final_run_reports().await;
        let unsettled: Vec<_> = requests.iter().filter(|one| !one.is_settled()).collect();
        print_decisions(&faulty, &unsettled, &reports);
        let answered = requests.iter().filter(|one| one.is_answered());
        assert_eq!(
            answered.count() as u64,
            requests::sum(&reports, "total"),
            "{requests:?}"
        );
        assert!(unsettled.is_empty(), "{requests:?}");
    });
}

/// A second signal ends the host at once, which cuts off the requests that it waits
/// for; the log states how many. The host is the last one of its domain, so that it
/// can't hand them over between the two signals.
#[test]
fn a_second_signal_ends_the_host_at_once_and_logs_what_it_cut_off() {
    support::run(async |executor| {
        let mut plan = network::small_plan();
        for domain in &mut plan.domains {
            domain.hosts = 1;
        }
        let mut faulty = start(plan, LONG_SERVICE_MS).await;
        let tasks = send_requests(executor, &faulty).await;
        let stopping = busy_hosts(&faulty).await[0].clone();
        let process = faulty.process(&stopping);
        process.terminate().unwrap();
        // Two signals that are pending together count as one, so the second
        // is sent after the host has handled the first.
        let stopping_line = wait_for_line(process, "stopping gracefully");
        assert!(stopping_line.is_some());
        process.terminate().unwrap();
        let ended = process.wait(LIMIT).unwrap();
        assert_eq!(ended.and_then(|status| status.code()), Some(1));
        let line = wait_for_line(process, "stopped: Cut").unwrap();
        assert!(!line.contains("pending_requests: 0"), "{line}");
        for task in tasks {
            task.await;
        }
    });
}

/// Both hosts of a failure domain are stopped, one after the other. No host of the
/// domain remains to which the second could hand its shards over; it must not wait
/// forever, nor report that it cut off requests if none is pending.
#[test]
fn the_last_host_of_a_domain_stops_without_cutting_off_requests() {
    support::run(async |_| {
        let mut faulty = FaultyDeployment::start(network::small_plan()).await;
        for name in faulty.hosts(Some("bud-csepel")) {
            faulty.stop_hosts(&[name]).await;
        }
    });
}

/// Returns the next line of the log that contains `text`; `None` if the log ends or
/// the process writes nothing for [`LIMIT`].
fn wait_for_line(process: &ChildProcess, text: &str) -> Option<String> {
    loop {
        let line = process.next_line(LIMIT)?;
        if line.contains(text) {
            return Some(line);
        }
    }
}
