//! Answers that reach hosts later than a load report that already covers their end.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time;

use cardamomwinch_standin::faults::CutMode;
use cardamomwinch_standin::prelude::*;
use support::network::{self, FaultyDeployment};
use support::{LIMIT, pause, requests};

const CALLERS: usize = 12;
/// How long a request runs, in milliseconds.
const SERVICE_MS: &str = "1000";
/// The delay of each datagram in the fabric: longer than hosts wait for an answer
/// after a load report.
const FABRIC_DELAY: DatagramFaults = DatagramFaults {
    loss: 0.0,
    double: 0.0,
    delay_ms: 150,
    delay_ms_max: 100,
    reorder: 0.0,
    cut: CutMode::None,
};
/// The longest time between the first sending of a request and its deadline, in
/// milliseconds.
const LIFETIME_MS: u64 = 6000;
const DEADLINE: time::Duration = time::Duration::from_millis(5500);
/// Rounds of requests, so that load reports fall between runs and answers.
const ROUNDS: usize = 4;

/// Guards against callers that get "outcome unknown" while their answer is delayed,
/// because a load report of the server already says that the request has ended.
#[test]
fn requests_whose_answers_are_slower_than_load_reports_are_answered() {
    support::run(async |executor| {
        let mut plan = network::small_plan();
        plan.services[0].options = vec!["--service-ms-mean".to_owned(), SERVICE_MS.to_owned()];
        plan.limits["request_lifetime_ms"] = serde_json::json!(LIFETIME_MS);
        let faulty = FaultyDeployment::start(plan).await;
        // Until then a new home doesn't run requests that an earlier home may have sent.
        pause(1000).await;
        faulty.set_fabric_faults(FABRIC_DELAY).await;
        let fabric = faulty.deployment.fabric_address("callers").unwrap();
        let service = faulty.deployment.plan.services[0].address;
        let mut tasks = Vec::new();
        for _ in 0..CALLERS {
            let settings = CallerSettings::new(fabric, service);
            let client = CallerClient::bind(executor, settings).await.unwrap();
            assert_eq!(client.open(b"", LIMIT).await.unwrap(), OpenOutcome::Opened);
            tasks.push(executor.spawn(send_requests(client)));
        }
        let mut outcomes = Vec::new();
        for task in tasks {
            outcomes.extend(task.await);
        }
        let reports = faulty.final_run_reports().await;
        let answered = outcomes.iter().filter(|outcome| is_answered(outcome));
        assert_eq!(
            answered.count() as u64,
            requests::sum(&reports, "total"),
            "{outcomes:?}"
        );
    });
}

async fn send_requests(client: CallerClient) -> Vec<RequestOutcome> {
    let mut outcomes = Vec::new();
    for round in 0..ROUNDS {
        let payload = format!("filing-{}-{round}/", client.flow().caller.port());
        let sent = client.request(payload.as_bytes(), false, DEADLINE);
        outcomes.push(sent.await.unwrap());
    }
    outcomes
}

const fn is_answered(outcome: &RequestOutcome) -> bool {
    matches!(outcome, RequestOutcome::Answered { .. })
}
