//! The operators' steps for a change of the signing key, with real processes:
//! three passes in which all hosts are replaced one after the other.
#![allow(clippy::unwrap_used, missing_docs)]

use std::time;

use cardamomwinch::state::host::HostPhase;
use cardamomwinch_standin::prelude::*;
use serde_json::{Value, json};

const LIMIT: time::Duration = time::Duration::from_secs(120);
/// The lifetime of requests in the plan; callers use all of it, as the page recommends.
const DEADLINE: time::Duration = time::Duration::from_secs(5);
const HOSTS: usize = 3;

fn run(main: impl AsyncFnOnce(&TaskExecutor)) {
    let executor = TaskExecutor::default();
    async_io::block_on(executor.run(main(&executor)));
}

async fn deployment() -> Deployment {
    let mut plan = DeploymentPlan::budapest(HOSTS);
    plan.domains.truncate(1);
    plan.services.truncate(1);
    plan.services[0].backends = 3;
    let programs = ProgramDirectory::of_this_build().unwrap();
    let deployment = Deployment::start(plan, programs, LIMIT).await.unwrap();
    deployment.wait_until_homes_agree(LIMIT).await.unwrap();
    deployment
}

/// Replaces the host `index` in the steps of the page, with the current keys of the
/// deployment.
async fn replace_host(deployment: &mut Deployment, index: usize) {
    let domain = deployment.plan.domains[0].name;
    let name = format!("{domain}-{index}");
    let held = |host: &HostProcess| host.name == name;
    let position = deployment.hosts.iter().position(held).unwrap();
    deployment.hosts[position].phase = HostPhase::Leaving;
    deployment.publish_hosts().await.unwrap();
    deployment.hosts[position].process.terminate().unwrap();
    let limit = time::Instant::now() + LIMIT;
    let status = loop {
        if let Some(status) = deployment.hosts[position].process.ended().unwrap() {
            break status;
        }
        assert!(time::Instant::now() < limit, "{name} does not end");
        async_io::Timer::after(time::Duration::from_millis(50)).await;
    };
    assert_eq!(status.code(), Some(0), "{name} cut off requests");
    deployment.hosts.remove(position);
    deployment.start_host(0, index).unwrap();
    deployment.publish_hosts().await.unwrap();
    deployment.send_hosts_to_fabric().await.unwrap();
    deployment.wait_until_ready(LIMIT).await.unwrap();
    deployment.wait_until_homes_agree(LIMIT).await.unwrap();
}

async fn send_request(client: &CallerClient, payload: &str) {
    let outcome = client.request(payload.as_bytes(), false, DEADLINE);
    let outcome = outcome.await.unwrap();
    assert!(
        matches!(outcome, RequestOutcome::Answered { .. }),
        "{payload} ended as {outcome:?}"
    );
}

/// An operator changes the key while sessions are open. If a host signed with a key
/// that another host doesn't accept, leases would expire and sessions would stall. If
/// hosts refused tokens of the old key too early, sessions would be reset.
#[test]
fn a_key_is_changed_in_three_passes_while_sessions_go_on() {
    run(async |executor| {
        let mut deployment = deployment().await;
        let old = deployment.keys["signing"].clone();
        let new = Value::from("02".repeat(32));
        let fabric = deployment.fabric_address("callers").unwrap();
        let service = deployment.plan.services[0].address;
        let mut clients = Vec::new();
        for echoes_token in [true, false] {
            let mut settings = CallerSettings::new(fabric, service);
            settings.echoes_token = echoes_token;
            let client = CallerClient::bind(executor, settings).await.unwrap();
            assert_eq!(client.open(b"", LIMIT).await.unwrap(), OpenOutcome::Opened);
            clients.push(client);
        }
        let passes = [
            json!({"signing": old, "accepted": new}),
            json!({"signing": new, "accepted": old}),
            json!({"signing": new}),
        ];
        for (pass, keys) in passes.into_iter().enumerate() {
            deployment.keys = keys;
            for index in 0..HOSTS {
                replace_host(&mut deployment, index).await;
                for (number, client) in clients.iter().enumerate() {
                    send_request(client, &format!("{pass}-{index}-{number}")).await;
                }
            }
        }
        for report in deployment.run_reports().await.unwrap() {
            assert_eq!(report["repeated"], json!([]));
        }
    });
}
