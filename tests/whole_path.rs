//! The whole path from callers to backend servers and back, with real processes.
#![allow(clippy::unwrap_used, missing_docs)]

use std::time;

use cardamomwinch_standin::prelude::*;
use serde_json::Value;

const LIMIT: time::Duration = time::Duration::from_secs(120);

fn run(main: impl AsyncFnOnce(&TaskExecutor)) {
    let executor = TaskExecutor::default();
    async_io::block_on(executor.run(main(&executor)));
}

async fn small_deployment() -> Deployment {
    let mut plan = DeploymentPlan::budapest(2);
    plan.services[0].backends = 6;
    plan.services[1].backends = 3;
    let programs = ProgramDirectory::of_this_build().unwrap();
    let deployment = Deployment::start(plan, programs, LIMIT).await.unwrap();
    deployment.wait_until_homes_agree(LIMIT).await.unwrap();
    deployment
}

fn sum(reports: &[Value], key: &str) -> u64 {
    reports
        .iter()
        .filter_map(|report| report[key].as_u64())
        .sum()
}

/// Guards against lost, doubled or misplaced requests if each packet of a flow reaches
/// a different host: only the home knows where a flow was placed and which requests
/// were sent to a server. Each request must run once and be answered once, whether or
/// not the caller echoes its token.
#[test]
fn each_packet_of_a_flow_goes_to_another_host_and_each_answer_comes_once() {
    run(async |executor| {
        let deployment = small_deployment().await;
        let fabric = deployment.fabric_address("callers").unwrap();
        let mut answered = 0;
        for echoes_token in [true, false] {
            for service in &deployment.plan.services {
                let mut settings = CallerSettings::new(fabric, service.address);
                settings.echoes_token = echoes_token;
                settings.resend_interval = time::Duration::from_secs(2);
                let client = CallerClient::bind(executor, settings).await.unwrap();
                assert_eq!(client.open(b"", LIMIT).await.unwrap(), OpenOutcome::Opened);
                for index in 0..12_u64 {
                    answered += 1;
                    send_request(&client, answered, index % 2 == 0).await;
                }
                let counters = client.counters();
                assert_eq!(counters.contradictions, 0);
                assert_eq!(counters.conflicting_parts, 0);
                client.close().await.unwrap();
            }
        }
        let reports = deployment.run_reports().await.unwrap();
        assert_eq!(sum(&reports, "total"), answered);
        assert_eq!(sum(&reports, "wrong_service"), 0);
        assert!(
            reports
                .iter()
                .all(|report| report["repeated"] == serde_json::json!([]))
        );
    });
}

async fn send_request(client: &CallerClient, number: u64, idempotent: bool) {
    let payload = format!("request-{number}");
    let deadline = time::Duration::from_secs(5);
    let outcome = client
        .request(payload.as_bytes(), idempotent, deadline)
        .await
        .unwrap();
    let RequestOutcome::Answered { payload: answer } = outcome else {
        panic!("request {number} ended as {outcome:?}");
    };
    let expected = format!("echo:{payload}");
    assert!(answer.starts_with(expected.as_bytes()));
}
