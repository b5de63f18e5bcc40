//! The steps of the operators' page with real processes: switching a preset, draining
//! and removing a server, adding a host, losing a host, a platform that doesn't
//! answer, a second signal, and following a flow in the log.
#![allow(clippy::unwrap_used, missing_docs)]

use std::time;

use cardamomwinch_standin::prelude::*;
use serde_json::{Value, json};

const LIMIT: time::Duration = time::Duration::from_secs(120);
/// The lifetime of requests in the plan; callers use all of it, as the page recommends.
const DEADLINE: time::Duration = time::Duration::from_secs(5);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
const SERVICE: &str = "benchmark-desk";

fn run(main: impl AsyncFnOnce(&TaskExecutor)) {
    let executor = TaskExecutor::default();
    async_io::block_on(executor.run(main(&executor)));
}

async fn deployment() -> Deployment {
    deployment_with_log(json!({})).await
}

async fn deployment_with_log(log: Value) -> Deployment {
    let mut plan = DeploymentPlan::budapest(2);
    plan.log = log;
    plan.services.truncate(1);
    plan.services[0].backends = 3;
    let programs = ProgramDirectory::of_this_build().unwrap();
    let deployment = Deployment::start(plan, programs, LIMIT).await.unwrap();
    deployment.wait_until_homes_agree(LIMIT).await.unwrap();
    deployment
}

async fn open_sessions(
    executor: &TaskExecutor,
    deployment: &Deployment,
    count: usize,
) -> Vec<CallerClient> {
    let fabric = deployment.fabric_address("callers").unwrap();
    let service = deployment.plan.services[0].address;
    let mut sessions = Vec::new();
    for number in 0..count {
        let mut settings = CallerSettings::new(fabric, service);
        settings.echoes_token = number % 2 == 0;
        let client = CallerClient::bind(executor, settings).await.unwrap();
        let outcome = client.open(b"", LIMIT).await.unwrap();
        if outcome != OpenOutcome::Opened {
            print_logs(deployment);
            panic!("{} got {outcome:?}", client.flow());
        }
        sessions.push(client);
    }
    sessions
}

/// Sends one request on every session. If one isn't answered, the logs of all hosts
/// are printed, because the failure may not occur a second time.
async fn request_on_all(deployment: &Deployment, sessions: &[CallerClient]) {
    for session in sessions {
        let outcome = session.request(b"query", false, DEADLINE).await.unwrap();
        if !matches!(outcome, RequestOutcome::Answered { .. }) {
            print_logs(deployment);
            panic!("{} got {outcome:?}", session.flow());
        }
    }
}

fn print_logs(deployment: &Deployment) {
    for host in &deployment.hosts {
        while let Some(line) = host.process.next_line(POLL_INTERVAL) {
            println!("{line}");
        }
    }
}

async fn open_flows(deployment: &Deployment, backend: usize) -> Value {
    let address = deployment.backends[backend].address;
    let reply = http::request(address, "GET", "/runs", "").await.unwrap();
    reply.json().unwrap()["open_flows"].clone()
}

async fn switch(deployment: &mut Deployment, preset: &str) -> u64 {
    deployment.preset = preset.to_owned();
    let version = deployment.publish_root().await.unwrap();
    let in_force = |status: &Value| status["version"] == version && status["preset"] == preset;
    deployment.wait_for_status(LIMIT, in_force).await.unwrap();
    version
}

/// An operator switches to the preset in which one server drains, and back.
/// Sessions on that server go on, new flows go to other servers while it drains, and
/// switching back creates a higher version.
#[test]
fn a_preset_is_switched_and_switched_back_while_sessions_go_on() {
    run(async |executor| {
        let mut deployment = deployment().await;
        let drained = deployment.backends[0].name.clone();
        let changes = json!({SERVICE: {drained.clone(): {"phase": "draining"}}});
        let presets = json!({"deadline-peak": changes});
        deployment.presets.insert(SERVICE.to_owned(), presets);
        deployment.publish_team(SERVICE).await.unwrap();
        let before = switch(&mut deployment, "ordinary").await;
        let sessions = open_sessions(executor, &deployment, 12).await;
        request_on_all(&deployment, &sessions).await;

        let during = switch(&mut deployment, "deadline-peak").await;
        for position in 0..deployment.hosts.len() {
            let backends = deployment.call(position, "backends", json!([])).await;
            for backend in backends.unwrap().as_array().unwrap() {
                let draining = backend["backend"] == json!(drained);
                let phase = if draining { "draining" } else { "active" };
                assert_eq!(backend["phase"], json!(phase), "{backend}");
            }
        }
        let held = open_flows(&deployment, 0).await;
        open_sessions(executor, &deployment, 12).await;
        assert_eq!(open_flows(&deployment, 0).await, held);
        request_on_all(&deployment, &sessions).await;

        let after = switch(&mut deployment, "ordinary").await;
        assert!(before < during && during < after);
        request_on_all(&deployment, &sessions).await;
        let reports = deployment.run_reports().await.unwrap();
        assert!(reports.iter().all(|report| report["repeated"] == json!([])));
    });
}

/// The sum of the flows that all hosts count on `backend`.
async fn counted_flows(deployment: &Deployment, backend: &str) -> u64 {
    let mut counted = 0;
    for position in 0..deployment.hosts.len() {
        let backends = deployment.call(position, "backends", json!([])).await;
        for held in backends.unwrap().as_array().unwrap() {
            if held["backend"] == json!(backend) {
                counted += held["connections"].as_u64().unwrap();
            }
        }
    }
    counted
}

/// An operator removes a server: it drains, its callers close their flows one by one,
/// `backends` shows when none is left, and then the server is removed from the fragment.
#[test]
fn a_server_is_drained_until_it_holds_no_flow_and_is_then_removed() {
    run(async |executor| {
        let mut deployment = deployment().await;
        let sessions = open_sessions(executor, &deployment, 12).await;
        let drained = deployment.backends[0].name.clone();
        assert!(counted_flows(&deployment, &drained).await > 0);
        deployment.backends[0].definition = json!({"phase": "draining"});
        deployment.publish_team(SERVICE).await.unwrap();
        switch(&mut deployment, "ordinary").await;
        request_on_all(&deployment, &sessions).await;
        let limit = time::Instant::now() + LIMIT;
        while counted_flows(&deployment, &drained).await > 0 {
            assert!(time::Instant::now() < limit, "{drained} keeps flows");
            for session in &sessions {
                session.close().await.unwrap();
            }
            async_io::Timer::after(POLL_INTERVAL).await;
        }
        let removed = deployment.backends.remove(0);
        deployment.publish_team(SERVICE).await.unwrap();
        switch(&mut deployment, "ordinary").await;
        drop(removed);
        deployment.wait_until_homes_agree(LIMIT).await.unwrap();
        let later = open_sessions(executor, &deployment, 6).await;
        request_on_all(&deployment, &later).await;
    });
}

/// An operator adds a host to a failure domain. It becomes ready and takes over its
/// part of the shards without disturbing a session.
#[test]
fn a_host_is_added_while_sessions_go_on() {
    run(async |executor| {
        let mut deployment = deployment().await;
        let sessions = open_sessions(executor, &deployment, 8).await;
        deployment.start_host(0, 2).unwrap();
        deployment.publish_hosts().await.unwrap();
        deployment.send_hosts_to_fabric().await.unwrap();
        deployment.wait_until_ready(LIMIT).await.unwrap();
        request_on_all(&deployment, &sessions).await;
        deployment.wait_until_homes_agree(LIMIT).await.unwrap();
        request_on_all(&deployment, &sessions).await;
    });
}

/// A host is killed. Its successor doesn't know which requests it had sent, but a
/// request whose deadline is a whole lifetime after the takeover can't be one of them.
/// So callers that use the whole lifetime are answered again.
#[test]
fn after_a_host_was_killed_requests_with_the_whole_lifetime_are_answered() {
    run(async |executor| {
        let mut deployment = deployment().await;
        let sessions = open_sessions(executor, &deployment, 12).await;
        request_on_all(&deployment, &sessions).await;
        let mut dead = deployment.hosts.remove(0);
        dead.process.kill().unwrap();
        deployment.publish_hosts().await.unwrap();
        deployment.send_hosts_to_fabric().await.unwrap();
        deployment.wait_until_homes_agree(LIMIT).await.unwrap();
        request_on_all(&deployment, &sessions).await;
        let reports = deployment.run_reports().await.unwrap();
        assert!(reports.iter().all(|report| report["repeated"] == json!([])));
    });
}

/// The platform is paused. Hosts that watch it report it as unreachable; sessions and
/// new flows go on; after it resumes, a change comes into force.
#[test]
fn hosts_serve_while_the_platform_does_not_answer() {
    run(async |executor| {
        let mut deployment = deployment().await;
        let sessions = open_sessions(executor, &deployment, 4).await;
        deployment.platform.pause().unwrap();
        let limit = time::Instant::now() + LIMIT;
        let mut reported = false;
        while !reported {
            assert!(
                time::Instant::now() < limit,
                "no host reports the platform as unreachable"
            );
            async_io::Timer::after(POLL_INTERVAL).await;
            for position in 0..deployment.hosts.len() {
                let status = deployment.call(position, "status", json!([])).await;
                reported |= status.unwrap()["platform"]["reachable"] == json!(false);
            }
        }
        request_on_all(&deployment, &sessions).await;
        let later = open_sessions(executor, &deployment, 4).await;
        request_on_all(&deployment, &later).await;
        deployment.platform.resume().unwrap();
        switch(&mut deployment, "ordinary").await;
        let answered = |status: &Value| status["platform"]["reachable"] == json!(true);
        deployment.wait_for_status(LIMIT, answered).await.unwrap();
    });
}

/// An operator who doesn't want to wait for a graceful stop sends a second signal.
#[test]
fn a_second_signal_ends_a_host_at_once_with_exit_code_1() {
    run(async |_| {
        let mut deployment = deployment().await;
        deployment.hosts[0].process.terminate().unwrap();
        let limit = time::Instant::now() + LIMIT;
        loop {
            let status = deployment.call(0, "status", json!([])).await.unwrap();
            if status["phase"] == json!("stopping") {
                break;
            }
            assert!(time::Instant::now() < limit, "{status}");
            async_io::Timer::after(POLL_INTERVAL).await;
        }
        deployment.hosts[0].process.terminate().unwrap();
        let ended = deployment.hosts[0].process.wait(LIMIT).unwrap();
        assert_eq!(ended.unwrap().code(), Some(1));
    });
}

/// An operator looks up where a flow was placed: of the log lines of all hosts with its
/// `flow`, one has the event `placement`.
#[test]
fn the_log_shows_where_a_flow_was_placed_and_why() {
    run(async |executor| {
        let deployment = deployment().await;
        let sessions = open_sessions(executor, &deployment, 1).await;
        let flow = sessions[0].flow().to_string();
        let limit = time::Instant::now() + LIMIT;
        let mut placement = None;
        while placement.is_none() {
            assert!(time::Instant::now() < limit, "no host logged a placement");
            for host in &deployment.hosts {
                while let Some(line) = host.process.next_line(POLL_INTERVAL) {
                    assert!(time::Instant::now() < limit, "the log has no end");
                    let line: Value = serde_json::from_str(&line).unwrap();
                    if line["event"] == json!("placement") && line["flow"] == json!(flow) {
                        assert_eq!(line["host"], json!(host.name));
                        placement = Some(line);
                    }
                }
            }
        }
        let placement = placement.unwrap();
        assert_eq!(placement["target"], json!("decision"));
        assert_eq!(placement["service"], json!(SERVICE));
        assert!(placement["version"].as_u64().unwrap() > 0);
        let named = |backend: &&BackendProcess| placement["backend"] == json!(backend.name);
        assert_eq!(deployment.backends.iter().filter(named).count(), 1);
        let reason = placement["reason"].as_str().unwrap();
        assert!(reason.starts_with("placed_by_"), "{placement}");
    });
}

/// An operator sets the level to `warn`. The log then has no line about a decision,
/// but still names a refused document.
#[test]
fn a_log_of_the_level_warn_holds_warnings_and_no_decisions() {
    run(async |executor| {
        let deployment = deployment_with_log(json!({"level": "warn"})).await;
        let sessions = open_sessions(executor, &deployment, 4).await;
        request_on_all(&deployment, &sessions).await;
        deployment.put("root", "{").await.unwrap();
        let limit = time::Instant::now() + LIMIT;
        let mut refused = 0;
        while refused < deployment.hosts.len() {
            assert!(time::Instant::now() < limit, "{refused} hosts warned");
            for host in &deployment.hosts {
                while let Some(line) = host.process.next_line(POLL_INTERVAL) {
                    let line: Value = serde_json::from_str(&line).unwrap();
                    assert_eq!(line["level"], json!("WARN"), "{line}");
                    let message = line["message"].as_str().unwrap();
                    refused += usize::from(message.starts_with("refused root"));
                }
            }
        }
    });
}
