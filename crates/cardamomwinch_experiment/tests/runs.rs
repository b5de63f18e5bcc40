//! Whole runs: that they repeat, and that they see the faults they count.
#![allow(clippy::unwrap_used, missing_docs)]

use std::time;

use cardamomwinch_coordination::prelude::HostEngine;
use cardamomwinch_experiment::prelude::*;

fn run<P: HostPolicy>(scenario: &str, load: f64) -> RunReport {
    let options = RunOptions {
        plan: DeploymentPlan::new(DeploymentName::Budapest, 6),
        scenario: scenario.parse().unwrap(),
        load,
        echo_share: 0.5,
        loss: 0.001,
        seed: 7,
        traced: None,
    };
    let measures = WorldRun::<P>::measure(options.clone(), &mut |_: time::Duration| ());
    RunReport::new(P::NAME, &options, 1, &measures)
}

#[test]
fn a_run_with_the_same_seed_is_the_same_run() {
    let first = run::<HostEngine>("host-killed+drain", 0.1);
    assert_eq!(first, run::<HostEngine>("host-killed+drain", 0.1));
}

/// A user opens a session; the operators switch the preset; the next packet
/// meets a host that never saw the flow, hashes it over fewer servers, and the
/// session is cut off. A measurement that does not see this sees nothing.
#[test]
fn a_hash_over_the_servers_of_each_host_breaks_flows_when_the_servers_change() {
    let calm = run::<BaselineHost<PinnedHash>>("calm", 0.1);
    assert_eq!(calm.broken_per_100_000, 0.0);
    let drained = run::<BaselineHost<PinnedHash>>("drain", 0.1);
    assert!(drained.broken.reset > 100, "{:?}", drained.broken);
}

/// A caller's submission is doubled on its way and both copies reach the
/// server by different hosts that know nothing of each other: it runs twice.
#[test]
fn doubled_requests_run_twice_where_no_host_remembers_them() {
    let report = run::<BaselineHost<ConsistentTable>>("calm", 0.1);
    assert!(report.run_twice > 0);
}

#[test]
fn every_request_is_accounted_for() {
    let report = run::<HostEngine>("host-killed", 0.5);
    let refused: u64 = report.not_run.iter().map(|refusal| refusal.count).sum();
    let ended = report.answered + refused + report.outcome_unknown + report.unanswered;
    assert_eq!(ended, report.requests);
}
