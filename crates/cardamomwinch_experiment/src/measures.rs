//! What a run counts.

use std::time;

use cardamomwinch_coordination::prelude::Counter;
use cardamomwinch_protocol::prelude::RefusalReason;
use cardamomwinch_state::prelude::{SortedVector, Timestamp};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::deployment::DeploymentPlan;

/// The length of the windows in which imbalance is measured.
pub const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Longer waits are counted as this long.
const LONGEST_WAIT_MICROS: u64 = 60_000_000;

/// Why a flow counts as broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum BreakCause {
    /// Its data reached another backend server than its own, which took it.
    /// One that says that it does not hold the flow does no harm in itself.
    OtherServer,
    /// It was reset.
    Reset,
    /// Its requests or notices do not get through any more.
    Silent,
}

/// Counts of one run.
#[derive(Debug, Default, Clone)]
pub struct RunCounts {
    /// Flows that opened.
    pub established: u64,
    /// Openings that were given up.
    pub not_established: u64,
    /// Broken flows by cause.
    pub broken: SortedVector<BreakCause, u64>,
    /// Notices that servers sent on flows that were open.
    pub notices: u64,
    /// Notices that the fabric handed to a host that was down, or paused with
    /// its buffers full.
    pub notices_to_gone_hosts: u64,
    /// Notices that the network lost.
    pub notices_lost_by_fabric: u64,
    /// Notices that came to their callers.
    pub notices_received: u64,
    /// Requests that callers made.
    pub requests: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests whose caller was told "not run".
    pub not_run: SortedVector<RefusalReason, u64>,
    /// Requests whose caller was told that the outcome is unknown.
    pub outcome_unknown: u64,
    /// Requests that got no final answer.
    pub unanswered: u64,
    /// What hosts counted.
    pub counters: SortedVector<Counter, u64>,
    /// Non-idempotent requests that ran twice.
    pub run_twice: u64,
    /// Requests that ran though their caller was told "not run".
    pub not_run_but_ran: u64,
    /// Requests that ran twice though not idempotent, or ran after "not run".
    pub violations: Vec<RequestViolation>,
    /// Datagrams that reached a server of another service later than a change
    /// has to be in force.
    pub wrong_service: u64,
    /// Those before: only the server itself, which refuses them, can tell.
    pub wrong_service_in_adoption: u64,
    /// Datagrams that the fabric handed to hosts.
    pub fabric_datagrams: u64,
    /// Callers' datagrams relayed among hosts.
    pub relayed_callers: u64,
    /// Results of searches, told to the host that began the search.
    pub relayed_results: u64,
    /// Backend servers' replies relayed among hosts.
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

/// A request that ran twice though not idempotent, or that ran after "not run".
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
    /// Bytes with headers.
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
    /// Windows from `begin` to `end`; a part of a window at the end is left out.
    pub fn new(plan: &DeploymentPlan, begin: Timestamp, end: Timestamp) -> Self {
        let count = (end.since(begin).as_micros() / WINDOW.as_micros()) as usize;
        Self {
            begin,
            windows: vec![vec![0; plan.server_count()]; count],
        }
    }

    /// Adds a busy slot of `server`.
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

/// Everything that a run measured.
#[derive(Debug)]
pub struct RunMeasures {
    /// The seed of the run.
    pub seed: u64,
    /// Counts.
    pub counts: RunCounts,
    /// Waits for a slot in microseconds.
    pub waits: Histogram<u64>,
    /// Busy slots.
    pub busy: BusyWindows,
    /// Control messages by host.
    pub control: Vec<ControlCost>,
    /// When measuring began.
    pub begin: Timestamp,
    /// When it ended.
    pub end: Timestamp,
}

impl RunMeasures {
    /// Nothing measured yet. Callers make requests until `load_until`.
    pub fn new(
        plan: &DeploymentPlan,
        seed: u64,
        begin: Timestamp,
        load_until: Timestamp,
        end: Timestamp,
    ) -> Self {
        let waits = Histogram::new_with_bounds(1, LONGEST_WAIT_MICROS, 3);
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

    /// Adds what another run of the same scenario measured.
    pub fn add(&mut self, other: &Self) {
        self.counts.add(&other.counts);
        self.waits
            .add(&other.waits)
            .expect("both histograms have the same bounds");
        self.busy.windows.extend_from_slice(&other.busy.windows);
        self.control.extend_from_slice(&other.control);
    }

    /// Notes that a request did what none may do.
    pub fn note_violation(&mut self, request: usize) {
        let seed = self.seed;
        let violation = RequestViolation { seed, request };
        self.counts.violations.push(violation);
    }

    /// Counts a broken flow.
    pub fn count_broken(&mut self, cause: BreakCause) {
        *self.counts.broken.get_or_insert_with(cause, || 0) += 1;
    }

    /// Adds to what hosts counted.
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
