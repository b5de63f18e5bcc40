//! The results of runs as a table and as JSON lines.

use std::collections::BTreeMap;
use std::fmt;

use cardamomwinch_coordination::prelude::Counter;
use cardamomwinch_protocol::prelude::RefusalReason;
use serde::Serialize;

use crate::measures::{BreakCause, RequestViolation, RunMeasures};
use crate::world::RunOptions;

/// Broken flows by cause.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct BrokenFlows {
    /// Flows whose data reached another server.
    pub other_server: u64,
    /// Flows that were reset.
    pub reset: u64,
    /// Flows that became silent.
    pub silent: u64,
}

/// Maximum over mean of busy slot time per server, in windows of ten seconds.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct ImbalanceSpread {
    /// Of the median window.
    pub median: f64,
    /// Of the worst window.
    pub worst: f64,
}

impl fmt::Display for ImbalanceSpread {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.2}/{:.2}", self.median, self.worst)
    }
}

/// Refused requests by reason.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct RefusalCount {
    /// The reason.
    pub reason: RefusalReason,
    /// The number of requests.
    pub count: u64,
}

/// The results of one scenario under one policy.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct RunReport {
    /// The deployment.
    pub deployment: String,
    /// The number of hosts at the start.
    pub hosts: usize,
    /// The changes.
    pub scenario: String,
    /// The policy of the hosts.
    pub policy: &'static str,
    /// The offered load in percent of all slots.
    pub load_percent: f64,
    /// The share of callers that echo tokens, in percent.
    pub echo_percent: f64,
    /// Datagrams lost, in percent.
    pub loss_percent: f64,
    /// The first seed.
    pub seed: u64,
    /// The number of runs, with successive seeds, that are added up.
    pub runs: u64,
    /// Flows that opened.
    pub established: u64,
    /// Flows whose opening was given up.
    pub not_established: u64,
    /// Broken flows by cause.
    pub broken: BrokenFlows,
    /// Broken flows per 100,000 established.
    pub broken_per_100_000: f64,
    /// Notices sent on open flows.
    pub notices: u64,
    /// Notices that were neither received, nor lost by the network, nor sent to a
    /// host that was down or paused with full buffers.
    pub notices_missed: u64,
    /// Notices that the fabric sent to a host that was down or paused with full
    /// buffers.
    pub notices_to_gone_hosts: u64,
    /// Imbalance of the larger and of the smaller service.
    pub imbalance: [ImbalanceSpread; 2],
    /// The median wait for a slot in milliseconds.
    pub wait_p50_ms: f64,
    /// The 99th percentile of the wait for a slot in milliseconds.
    pub wait_p99_ms: f64,
    /// Relayed datagrams of callers per hundred datagrams from the fabric.
    pub relayed_percent: f64,
    /// Results of flow searches sent between hosts, per hundred datagrams from the
    /// fabric.
    pub relayed_result_percent: f64,
    /// Relayed replies of backend servers per hundred datagrams from the fabric.
    pub relayed_reply_percent: f64,
    /// Control bytes per second, mean over hosts.
    pub control_bytes: f64,
    /// Control bytes per second of the host that sends most.
    pub control_bytes_worst: f64,
    /// Control messages per second, mean over hosts.
    pub control_messages: f64,
    /// Calls to the platform in the whole run.
    pub platform_calls: u64,
    /// Requests made.
    pub requests: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests answered "not run", by reason.
    pub not_run: Vec<RefusalCount>,
    /// Requests answered "outcome unknown".
    pub outcome_unknown: u64,
    /// Requests without a final reply.
    pub unanswered: u64,
    /// Requests that a host sent to a server again.
    pub retried: u64,
    /// Non-idempotent requests that ran twice.
    pub run_twice: u64,
    /// Requests that ran although their caller received "not run".
    pub not_run_but_ran: u64,
    /// Datagrams that reached a server of another service after the time within
    /// which a change must be in force.
    pub wrong_service: u64,
    /// Such datagrams before that time.
    pub wrong_service_in_adoption: u64,
    /// Non-idempotent requests that ran twice, and requests that ran although their
    /// caller received "not run".
    pub violations: Vec<RequestViolation>,
    /// The counters of all hosts, by the name of the metric.
    pub counters: BTreeMap<&'static str, u64>,
}

impl RunReport {
    /// The report of `runs` runs of `policy` under `options`.
    pub fn new(
        policy: &'static str,
        options: &RunOptions,
        runs: u64,
        measures: &RunMeasures,
    ) -> Self {
        let counts = &measures.counts;
        let cause = |cause| counts.broken.get(&cause).copied().unwrap_or(0);
        let broken = BrokenFlows {
            other_server: cause(BreakCause::OtherServer),
            reset: cause(BreakCause::Reset),
            silent: cause(BreakCause::Silent),
        };
        let broken_sum = broken.other_server + broken.reset + broken.silent;
        let control = ControlRates::of(measures);
        let fabric = counts.fabric_datagrams.max(1) as f64;
        let refusals = counts.not_run.iter();
        let explained = counts.notices_lost_by_fabric + counts.notices_to_gone_hosts;
        let arrived = counts.notices_received + explained;
        Self {
            deployment: options.plan.name.to_string(),
            hosts: options.plan.host_count,
            scenario: options.scenario.to_string(),
            policy,
            load_percent: options.load * 100.0,
            echo_percent: options.echo_share * 100.0,
            loss_percent: options.loss * 100.0,
            seed: options.seed,
            runs,
            established: counts.established,
            not_established: counts.not_established,
            broken,
            broken_per_100_000: broken_sum as f64 * 1e5 / counts.established.max(1) as f64,
            notices: counts.notices,
            notices_to_gone_hosts: counts.notices_to_gone_hosts,
            notices_missed: counts.notices.saturating_sub(arrived),
            imbalance: [0, 1].map(|service| imbalance(options, measures, service)),
            wait_p50_ms: measures.waits.value_at_quantile(0.5) as f64 / 1e3,
            wait_p99_ms: measures.waits.value_at_quantile(0.99) as f64 / 1e3,
            relayed_percent: counts.relayed_callers as f64 * 100.0 / fabric,
            relayed_result_percent: counts.relayed_results as f64 * 100.0 / fabric,
            relayed_reply_percent: counts.relayed_replies as f64 * 100.0 / fabric,
            control_bytes: control.bytes,
            control_bytes_worst: control.bytes_worst,
            control_messages: control.messages,
            platform_calls: counts.platform_calls,
            requests: counts.requests,
            answered: counts.answered,
            not_run: refusals
                .map(|(reason, count)| RefusalCount {
                    reason: *reason,
                    count: *count,
                })
                .collect(),
            outcome_unknown: counts.outcome_unknown,
            unanswered: counts.unanswered,
            retried: counts
                .counters
                .get(&Counter::RequestRetried)
                .copied()
                .unwrap_or(0),
            run_twice: counts.run_twice,
            not_run_but_ran: counts.not_run_but_ran,
            wrong_service: counts.wrong_service,
            wrong_service_in_adoption: counts.wrong_service_in_adoption,
            violations: counts.violations.clone(),
            counters: counts
                .counters
                .iter()
                .map(|(counter, count)| (counter.name(), *count))
                .collect(),
        }
    }

    /// The row of the table.
    pub fn row(&self) -> String {
        let refused: u64 = self.not_run.iter().map(|refusal| refusal.count).sum();
        let [large, small] = self.imbalance;
        let BrokenFlows {
            other_server,
            reset,
            silent,
        } = self.broken;
        format!(
            "| {} | {} | {} | {:.1} | {other_server}/{reset}/{silent} | {}/{} | {large} {small} | {:.1}/{:.0} | {:.0}/{:.0}/{:.0} | {:.0}/{:.0}/{:.1} | {} | {refused} | {} | {} | {} | {} | {} | {}/{} |",
            self.scenario,
            self.policy,
            self.established,
            self.broken_per_100_000,
            self.notices_missed,
            self.notices_to_gone_hosts,
            self.wait_p50_ms,
            self.wait_p99_ms,
            self.relayed_percent,
            self.relayed_result_percent,
            self.relayed_reply_percent,
            self.control_bytes,
            self.control_bytes_worst,
            self.control_messages,
            self.answered,
            self.outcome_unknown,
            self.unanswered,
            self.retried,
            self.run_twice,
            self.not_run_but_ran,
            self.wrong_service,
            self.wrong_service_in_adoption,
        )
    }
}

/// The head of the table.
pub const TABLE_HEAD: &str = "\
| changes | policy | flows | broken per 100,000 | other server/reset/silent | notices missed/to gone hosts | imbalance median/worst of the larger and the smaller service | wait p50/p99 ms | relayed %: callers/results of searches/replies | control a host: B/s mean/worst, messages/s | answered | not run | unknown | no answer | retried | run twice | \"not run\" that ran | wrong service after/within 3 s |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|";

struct ControlRates {
    bytes: f64,
    bytes_worst: f64,
    messages: f64,
}

impl ControlRates {
    fn of(measures: &RunMeasures) -> Self {
        let seconds = measures.end.since(measures.begin).as_secs_f64();
        let hosts = measures.control.len().max(1) as f64;
        let costs = || measures.control.iter();
        let bytes: u64 = costs().map(|cost| cost.bytes).sum();
        let messages: u64 = costs().map(|cost| cost.messages).sum();
        let worst = costs().map(|cost| cost.bytes).max().unwrap_or(0);
        Self {
            bytes: bytes as f64 / seconds / hosts,
            bytes_worst: worst as f64 / seconds,
            messages: messages as f64 / seconds / hosts,
        }
    }
}

/// The median and the worst imbalance of `service` over all windows, without the
/// servers that a change concerns.
fn imbalance(options: &RunOptions, measures: &RunMeasures, service: usize) -> ImbalanceSpread {
    let plan = &options.plan;
    let servers = plan.servers_of(service);
    let compared: Vec<usize> = servers
        .filter(|server| !options.scenario.touches(plan, *server))
        .collect();
    let mut windows = measures.busy.imbalance(&compared);
    windows.sort_by(f64::total_cmp);
    ImbalanceSpread {
        median: windows.get(windows.len() / 2).copied().unwrap_or(0.0),
        worst: windows.last().copied().unwrap_or(0.0),
    }
}
