//! Whole runs: they are repeatable, and they detect the faults that they count.
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
fn runs_with_the_same_seed_are_identical() {
    let first = run::<HostEngine>("host-killed+drain", 0.1);
    assert_eq!(first, run::<HostEngine>("host-killed+drain", 0.1));
}

/// Guards against an experiment that does not detect broken flows. A server
/// drains, and the next packet of a session reaches a host without an entry for
/// the flow. The host hashes the flow over fewer servers and chooses a server
/// that resets it.
#[test]
fn a_plain_hash_breaks_flows_when_the_servers_change() {
    let calm = run::<BaselineHost<PinnedHash>>("calm", 0.1);
    assert_eq!(calm.broken_per_100_000, 0.0);
    let drained = run::<BaselineHost<PinnedHash>>("drain", 0.1);
    assert!(drained.broken.reset > 100, "{:?}", drained.broken);
}

/// Guards against an experiment that does not detect repeated runs. The network
/// duplicates a request, both copies reach the server through hosts that record
/// no requests, and it runs twice.
#[test]
fn duplicated_requests_run_twice_if_no_host_records_them() {
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
