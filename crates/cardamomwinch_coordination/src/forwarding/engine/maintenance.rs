//! Periodic work of the engine: ends flows whose servers are dead, reports silent servers
//! to other hosts, and removes old entries.

use std::time;

use cardamomwinch_state::prelude::{BackendId, Timestamp};

use crate::forwarding::engine::{ForwardingEngine, ForwardingSink};
use crate::forwarding::flow_watch::WatchedFlow;
use crate::forwarding::record::{EndCause, ForwardingOutcome, ForwardingRecord};
use crate::forwarding::server_reports::{ReportSubject, ServerSilence};
use crate::forwarding::view::ForwardingView;

/// Ticks between two sweeps over all flows: one second.
const SWEEP_TICKS: u32 = 10;
/// Ticks between two checks for requests that have waited too long.
pub(super) const OVERDUE_TICKS: u32 = 2;
/// A gap this long without a tick or a packet means that this process did not run.
/// Packets that were queued during the gap show nothing about servers. Callers send again
/// after 200 ms, so a shorter gap never delivers a packet together with its copy.
const PAUSE_GAP: time::Duration = time::Duration::from_millis(200);

impl ForwardingEngine {
    /// Ends flows whose servers are dead, updates the reports for other hosts and removes
    /// old entries. Must be called every [`super::TICK_PERIOD`].
    pub fn tick<S: ForwardingSink>(&mut self, now: Timestamp, view: &ForwardingView, sink: &mut S) {
        self.detect_pause(now);
        // A link that loses packets delays confirmations beyond a sudden silence.
        let early = self.load_policy.spill && !self.deliveries.is_link_lossy(now);
        if self.server_reach.update(view, early, now) {
            self.progress.clear_suspicions(now);
        }
        self.report_unconfirmed(now, view);
        self.report_overdue(now, view);
        self.judge_outliers(now, view);
        self.refute_reports(view);
        while self.can_assess_servers(now)
            && let Some((server, cause)) = self.progress.take_dead_server(now)
        {
            let may_end = |watched: &WatchedFlow| watched.can_be_ended(now);
            self.end_flows(now, view, (&[server], cause), may_end, sink);
        }
        self.end_reported_flows(now, view, sink);
        self.end_vanished_flows(now, view, sink);
        self.end_restarted_flows(now, view, sink);
        self.update_slow_servers(now, view);
        self.update_spill(now, view);
        self.ticks = (self.ticks + 1) % SWEEP_TICKS;
        if self.ticks == 0 {
            self.sweep(now, view);
        }
    }

    /// Clears all suspicions against servers if this process did not run for a while.
    pub(super) fn detect_pause(&mut self, now: Timestamp) {
        let paused = self
            .last_run_at
            .is_some_and(|at| now.since(at) >= PAUSE_GAP);
        self.last_run_at = Some(now);
        if paused {
            self.resumed_at = now;
            self.domain_loads.clear_measurements();
            self.queue_loads.clear_measurements();
            self.server_reach.clear();
            self.progress.clear_suspicions(now);
        }
    }

    fn sweep(&mut self, now: Timestamp, view: &ForwardingView) {
        let progress = &mut self.progress;
        self.watch
            .sweep(now, view.routes.idle_timeout(), |watched| {
                progress.remove_flow(watched.server);
            });
        progress.retain(|id| view.directory.get(id).is_some());
        self.cold_limiter
            .retain(|id| view.directory.get(id).is_some());
        self.unknown_flows.sweep(now);
        self.recent_openings.sweep(now);
        self.deliveries.sweep(now);
        self.admission.sweep(now);
        self.domain_loads
            .retain(|service| view.directory.count(service, None) > 0);
        self.queue_loads
            .retain(|service| view.directory.count(service, None) > 0);
    }

    /// Reports servers that confirm no openings, if other servers do.
    ///
    /// Guards against several servers that crash together. A crashed server resets callers
    /// at once, so it seems idle and attracts new flows on every host until that host has
    /// found out by itself; callers use up their retries within milliseconds. These reports
    /// only keep new flows away from a server, because after a change of the rotation its
    /// confirmations may pass through other hosts.
    fn report_unconfirmed(&mut self, now: Timestamp, view: &ForwardingView) {
        let unconfirmed = self.progress.take_unconfirmed(now);
        for (server, flows, since) in unconfirmed {
            if self.deliveries.was_delivering_at(since) && !self.deliveries.is_link_lossy(now) {
                let silence = ServerSilence { flows, since };
                let subject = ReportSubject::Openings;
                self.own_reports.note_silence(server, subject, silence, now);
                self.note_failure(server, now, view);
            }
        }
    }

    /// Ends flows on servers that are dead by the reports of several hosts.
    ///
    /// Guards against a server that dies while each host sees only one or two of its flows:
    /// requests would be lost one by one on all hosts, seconds after the first. This also
    /// runs while this host cannot assess servers itself, because the reports of the other
    /// hosts are still valid.
    fn end_reported_flows<S: ForwardingSink>(
        &mut self,
        now: Timestamp,
        view: &ForwardingView,
        sink: &mut S,
    ) {
        let mut servers = view.reports.servers(ReportSubject::Delivery);
        servers.retain(|id| self.progress.flows(*id) > 0 && self.is_reported_dead(view, *id, now));
        if !servers.is_empty() {
            let may_end = |watched: &WatchedFlow| watched.can_be_ended(now);
            self.end_flows(now, view, (&servers, EndCause::Reports), may_end, sink);
        }
    }

    /// Reports servers at which requests wait much longer than usual.
    ///
    /// Guards against a server that accepts requests and then resets its callers or never
    /// answers, while its entry in the store says that it is healthy. Hosts see neither
    /// resets nor answers, only that callers acknowledge no answer. Each such request that
    /// is not idempotent is lost. These reports only keep new flows away from a server: an
    /// acknowledgement may pass through another host, and ending the flow would then break
    /// a working session.
    fn report_overdue(&mut self, now: Timestamp, view: &ForwardingView) {
        if !self.ticks.is_multiple_of(OVERDUE_TICKS) {
            return;
        }
        let timeout = self.overdue_timeout.timeout();
        let mut overdue = Vec::new();
        self.watch.visit(|flow, watched| {
            if let Some(sent_at) = watched.take_overdue(timeout, now) {
                // Callers repeat a request that was not acknowledged. One without a copy has
                // reached its server, and only the answer is missing.
                let is_accepted = watched.copies == 0;
                overdue.push((flow.service, watched.server, sent_at, is_accepted));
            }
        });
        for (address, server, sent_at, is_accepted) in overdue {
            if !self.deliveries.is_link_lossy(now) {
                self.note_failure(server, now, view);
            }
            if is_accepted {
                self.note_overdue_request(view, address, server, sent_at, now);
            }
            let subject = ReportSubject::Answers;
            let silence = self.progress.note_overdue(server, sent_at, now);
            let answered_at = self.progress.healthy_at(server, subject);
            let answers_others = answered_at.is_some_and(|at| silence.is_refuted_by(at));
            if !answers_others && !self.deliveries.is_link_lossy(now) {
                self.own_reports.note_silence(server, subject, silence, now);
            }
        }
    }

    /// Reports progress of servers that other hosts report as silent, if this host has
    /// observed some since.
    fn refute_reports(&mut self, view: &ForwardingView) {
        for subject in ReportSubject::ALL {
            for server in view.reports.servers(subject) {
                if let Some(healthy_at) = self.progress.healthy_at(server, subject)
                    && view.reports.needs_refutation(server, subject, healthy_at)
                {
                    self.own_reports.note_healthy(server, subject, healthy_at);
                }
            }
        }
    }

    /// Ends idle flows on servers whose entries vanished from the store although the store
    /// was reachable all the time.
    ///
    /// Guards against a server that loses power while all its flows are idle, so that no
    /// packet shows it: the next request on each of them would be lost. If the server was
    /// only cut off from the store, its callers lose nothing, because they wait for no
    /// answer and can open another flow.
    fn end_vanished_flows<S: ForwardingSink>(
        &mut self,
        now: Timestamp,
        view: &ForwardingView,
        sink: &mut S,
    ) {
        if !view.is_complete(now) {
            return;
        }
        let vanished = view.directory.iter().filter(|server| server.has_vanished());
        let vanished = vanished.map(|server| server.id);
        let vanished: Vec<_> = vanished.filter(|id| self.progress.flows(*id) > 0).collect();
        if !vanished.is_empty() {
            let may_end = |watched: &WatchedFlow| watched.is_idle(now);
            self.end_flows(now, view, (&vanished, EndCause::Vanished), may_end, sink);
        }
    }

    /// Drops the state of servers that restarted under the same identifier, and ends idle
    /// flows that were opened to the earlier process.
    ///
    /// The restarted server would reset an idle flow at its next request, and that request
    /// is lost if it is not idempotent. After a reset now, the caller opens another flow
    /// for it. Flows that wait for an answer are not ended: they may belong to the new
    /// process, and if not, it answers their next repetition with a reset.
    fn end_restarted_flows<S: ForwardingSink>(
        &mut self,
        now: Timestamp,
        view: &ForwardingView,
        sink: &mut S,
    ) {
        let restarted = self.server_starts.take_restarted(&view.directory);
        if restarted.is_empty() {
            return;
        }
        let may_end = |watched: &WatchedFlow| watched.is_idle(now);
        self.end_flows(now, view, (&restarted, EndCause::Restarted), may_end, sink);
        self.watch.stop_counting(&restarted);
        for server in restarted {
            self.progress.remove(server);
        }
    }

    /// Ends those flows on `servers`, which are in ascending order and dead for `cause`, for
    /// which `may_end` holds. Otherwise the next request on such a flow would get no answer,
    /// and would be lost if it is not idempotent. After a reset the caller opens another flow
    /// for it.
    fn end_flows<S: ForwardingSink>(
        &mut self,
        now: Timestamp,
        view: &ForwardingView,
        (servers, cause): (&[BackendId], EndCause),
        may_end: impl Fn(&WatchedFlow) -> bool,
        sink: &mut S,
    ) {
        for (flow, watched) in self.watch.take_matching(servers, may_end) {
            let server = watched.server;
            if watched.counted {
                self.progress.remove_flow(server);
            }
            sink.reset_flow(&flow, watched.acknowledged);
            let record = view.directory.get(server);
            sink.record(&ForwardingRecord {
                outcome: ForwardingOutcome::AbsentServerReset,
                flow,
                request: None,
                route: view.routes.find(&flow.service).map(|one| one.name.as_str()),
                token: view.directory.token_of(server),
                server: Some(server),
                own_domain: record.map(|record| view.domain == Some(record.domain)),
                spilled: None,
                copies: watched.copies,
                server_flows: self.progress.flows(server),
                version: view.routes.version(),
                view_age: view.age(now),
                refusal: None,
                end: Some(self.progress.end_evidence(server, cause)),
            });
        }
    }
}
