//! The measurements of a run.

use std::time;

use cardamomwinch_coordination::prelude::Counter;
use cardamomwinch_protocol::prelude::RefusalReason;
use cardamomwinch_state::prelude::{SortedVector, Timestamp};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::deployment::DeploymentPlan;

/// The length of the windows in which imbalance is measured.
pub const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Longer waits are recorded as this value.
const MAX_WAIT_MICROS: u64 = 60_000_000;

/// Why a flow counts as broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum BreakCause {
    /// Its data reached a backend server other than its own, and that server
    /// accepted it. A server that answers "unknown flow" is not counted here.
    OtherServer,
    /// It was reset.
    Reset,
    /// Its requests are no longer answered, or its notices no longer arrive.
    Silent,
}

/// Counts of one run.
#[derive(Debug, Default, Clone)]
pub struct RunCounts {
    /// Flows that opened.
    pub established: u64,
    /// Flows whose opening was given up.
    pub not_established: u64,
    /// Broken flows by cause.
    pub broken: SortedVector<BreakCause, u64>,
    /// Notices that servers sent on flows that were open.
    pub notices: u64,
    /// Notices that the fabric sent to a host that was down, or paused with
    /// full buffers.
    pub notices_to_gone_hosts: u64,
    /// Notices that the network lost.
    pub notices_lost_by_fabric: u64,
    /// Notices that reached their callers.
    pub notices_received: u64,
    /// Requests that callers made.
    pub requests: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests answered "not run", by reason.
    pub not_run: SortedVector<RefusalReason, u64>,
    /// Requests answered "outcome unknown".
    pub outcome_unknown: u64,
    /// Requests without a final reply.
    pub unanswered: u64,
    /// The counters of all hosts.
    pub counters: SortedVector<Counter, u64>,
    /// Non-idempotent requests that ran twice.
    pub run_twice: u64,
    /// Requests that ran although their caller received "not run".
    pub not_run_but_ran: u64,
    /// Non-idempotent requests that ran twice, and requests that ran although their
    /// caller received "not run".
    pub violations: Vec<RequestViolation>,
    /// Datagrams that reached a server of another service after the time within
    /// which a change must be in force.
    pub wrong_service: u64,
    /// Such datagrams before that time. Only the server itself can detect and refuse
    /// them.
    pub wrong_service_in_adoption: u64,
    /// Datagrams that the fabric sent to hosts.
    pub fabric_datagrams: u64,
    /// Callers' datagrams relayed between hosts.
    pub relayed_callers: u64,
    /// Results of flow searches, sent to the host that started the search.
    pub relayed_results: u64,
    /// Backend servers' replies relayed between hosts.
    pub relayed_replies: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
}

impl RunCounts {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.established += other.established;
        self.not_established += other.not_established;
        self.notices += other.notices;
        self.notices_to_gone_hosts += other.notices_to_gone_hosts;
        self.notices_lost_by_fabric += other.notices_lost_by_fabric;
        self.notices_received += other.notices_received;
        self.requests += other.requests;
        self.answered += other.answered;
        self.outcome_unknown += other.outcome_unknown;
        self.unanswered += other.unanswered;
        self.run_twice += other.run_twice;
        self.not_run_but_ran += other.not_run_but_ran;
        self.wrong_service += other.wrong_service;
        self.wrong_service_in_adoption += other.wrong_service_in_adoption;
        self.fabric_datagrams += other.fabric_datagrams;
        self.relayed_callers += other.relayed_callers;
        self.relayed_results += other.relayed_results;
        self.relayed_replies += other.relayed_replies;
        self.platform_calls += other.platform_calls;
        add_each(&mut self.broken, &other.broken);
        add_each(&mut self.not_run, &other.not_run);
        add_each(&mut self.counters, &other.counters);
        self.violations.extend_from_slice(&other.violations);
    }
}

fn add_each<K: Copy + Ord>(sums: &mut SortedVector<K, u64>, others: &SortedVector<K, u64>) {
    for (key, count) in others.iter() {
        *sums.get_or_insert_with(*key, || 0) += count;
    }
}

/// A non-idempotent request that ran twice, or a request that ran although its
/// caller received "not run".
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RequestViolation {
    /// The seed of the run.
    pub seed: u64,
    /// The number of the request, for `--trace "RequestId(NUMBER)"`.
    pub request: usize,
}

/// Control messages of one host.
#[derive(Debug, Default, Clone, Copy)]
pub struct ControlCost {
    /// Bytes, including headers.
    pub bytes: u64,
    /// Messages.
    pub messages: u64,
}

/// Busy slot time of each server in each window.
#[derive(Debug, Clone)]
pub struct BusyWindows {
    begin: Timestamp,
    windows: Vec<Vec<u64>>,
}

impl BusyWindows {
    /// Windows from `begin` to `end`; an incomplete window at the end is left out.
    pub fn new(plan: &DeploymentPlan, begin: Timestamp, end: Timestamp) -> Self {
        let count = (end.since(begin).as_micros() / WINDOW.as_micros()) as usize;
        Self {
            begin,
            windows: vec![vec![0; plan.server_count()]; count],
        }
    }

    /// Adds the time from `from` to `to` during which a slot of `server` was busy.
    pub fn add(&mut self, server: usize, from: Timestamp, to: Timestamp) {
        let length = WINDOW.as_micros() as u64;
        let begin = self.begin.get();
        for (index, window) in self.windows.iter_mut().enumerate() {
            let start = begin + index as u64 * length;
            let first = from.get().max(start);
            let last = to.get().min(start + length);
            window[server] += last.saturating_sub(first);
        }
    }

    /// Maximum over mean of `servers` in each window.
    pub fn imbalance(&self, servers: &[usize]) -> Vec<f64> {
        let ratios = self.windows.iter().filter_map(|window| {
            let busy = servers.iter().map(|server| window[*server]);
            let sum = busy.clone().sum::<u64>();
            let most = busy.max()?;
            (sum > 0).then(|| most as f64 * servers.len() as f64 / sum as f64)
        });
        ratios.collect()
    }
}

/// All measurements of a run.
#[derive(Debug)]
pub struct RunMeasures {
    /// The seed of the run.
    pub seed: u64,
    /// The counts.
    pub counts: RunCounts,
    /// Waits for a slot in microseconds.
    pub waits: Histogram<u64>,
    /// Busy slot time.
    pub busy: BusyWindows,
    /// Control messages by host.
    pub control: Vec<ControlCost>,
    /// When measuring began.
    pub begin: Timestamp,
    /// When measuring ends.
    pub end: Timestamp,
}

impl RunMeasures {
    /// Empty measurements of a run. Callers make requests until `load_until`.
    pub fn new(
        plan: &DeploymentPlan,
        seed: u64,
        begin: Timestamp,
        load_until: Timestamp,
        end: Timestamp,
    ) -> Self {
        let waits = Histogram::new_with_bounds(1, MAX_WAIT_MICROS, 3);
        let waits = waits.expect("the bounds are more than a factor of two apart");
        Self {
            seed,
            counts: RunCounts::default(),
            waits,
            busy: BusyWindows::new(plan, begin, load_until),
            control: Vec::new(),
            begin,
            end,
        }
    }

    /// Adds the measurements of another run of the same scenario.
    pub fn add(&mut self, other: &Self) {
        self.counts.add(&other.counts);
        self.waits
            .add(&other.waits)
            .expect("both histograms have the same bounds");
        self.busy.windows.extend_from_slice(&other.busy.windows);
        self.control.extend_from_slice(&other.control);
    }

    /// Records that a request violated the guarantees; see [`RequestViolation`].
    pub fn note_violation(&mut self, request: usize) {
        let seed = self.seed;
        let violation = RequestViolation { seed, request };
        self.counts.violations.push(violation);
    }

    /// Counts a broken flow.
    pub fn count_broken(&mut self, cause: BreakCause) {
        *self.counts.broken.get_or_insert_with(cause, || 0) += 1;
    }

    /// Increments a counter of the hosts.
    pub fn count(&mut self, counter: Counter) {
        *self.counts.counters.get_or_insert_with(counter, || 0) += 1;
    }

    /// Counts a control message of `bytes` from `host`.
    pub fn count_control(&mut self, now: Timestamp, host: usize, bytes: u64) {
        if now < self.begin {
            return;
        }
        if self.control.len() <= host {
            self.control.resize(host + 1, ControlCost::default());
        }
        self.control[host].bytes += bytes;
        self.control[host].messages += 1;
    }
}
