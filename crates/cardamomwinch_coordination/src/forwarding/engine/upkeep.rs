//! What the engine does as time passes: it ends flows whose servers have gone, and
//! forgets what is old.

use std::time;

use cardamomwinch_state::prelude::{BackendId, Timestamp};

use crate::forwarding::engine::{ForwardingEngine, ForwardingSink};
use crate::forwarding::flow_watch::WatchedFlow;
use crate::forwarding::packet::FlowToken;
use crate::forwarding::record::{ForwardingOutcome, ForwardingRecord};
use crate::forwarding::server_reports::{ReportSubject, ServerSilence};
use crate::forwarding::view::ForwardingView;

/// Ticks between two sweeps over all flows, which are a second apart.
const SWEEP_TICKS: u32 = 10;
/// Ticks between two looks at requests that wait for too long.
const OVERDUE_TICKS: u32 = 2;
/// A gap this long without a tick or a packet means that this process did not run:
/// what waited meanwhile says nothing about servers. Callers send again after
/// 200 ms, so that a shorter gap brings no packet and its copy together.
const SLEEP_GAP: time::Duration = time::Duration::from_millis(200);

impl ForwardingEngine {
    /// Ends flows whose servers have gone, and forgets what is old. To be called
    /// every [`super::TICK_PERIOD`].
    pub fn tick<S: ForwardingSink>(&mut self, now: Timestamp, view: &ForwardingView, sink: &mut S) {
        self.note_time(now);
        if self.reach.review(view, now) {
            self.progress.pardon(now);
        }
        self.report_unconfirmed(now);
        self.report_overdue(now);
        self.object(view);
        while self.can_judge(now)
            && let Some(server) = self.progress.take_absent(now)
        {
            let may_end = |watched: &WatchedFlow| watched.can_be_ended(now);
            self.end_flows(now, view, &[server], may_end, sink);
        }
        self.end_reported(now, view, sink);
        self.end_vanished(now, view, sink);
        self.end_restarted(now, view, sink);
        self.ticks = (self.ticks + 1) % SWEEP_TICKS;
        if self.ticks == 0 {
            self.sweep(now, view);
        }
    }

    /// Drops every suspicion where this process did not run for a while.
    pub(super) fn note_time(&mut self, now: Timestamp) {
        let slept = self.ran_at.is_some_and(|at| now.since(at) >= SLEEP_GAP);
        self.ran_at = Some(now);
        if slept {
            self.reach.forget_silence();
            self.progress.pardon(now);
        }
    }

    fn sweep(&mut self, now: Timestamp, view: &ForwardingView) {
        let progress = &mut self.progress;
        self.watch
            .sweep(now, view.routes.idle_timeout(), |watched| {
                progress.remove_flow(watched.server);
            });
        progress.retain(|id| view.directory.get(id).is_some());
        self.cold.retain(|id| view.directory.get(id).is_some());
        self.unknown.sweep(now);
        self.recent.sweep(now);
        self.deliveries.sweep(now);
    }

    /// Tells others of servers that confirm no openings, where other servers do.
    ///
    /// Guards against servers that crash together: each resets callers at once, so that it
    /// seems idle and draws openings on every host, which would each have to learn of it.
    /// It shows as callers that use up their retries within milliseconds. It only keeps new
    /// flows away: after a change of the rotation confirmations pass other hosts.
    fn report_unconfirmed(&mut self, now: Timestamp) {
        let unconfirmed = self.progress.take_unconfirmed(now);
        for (server, flows, since) in unconfirmed {
            if self.deliveries.was_open_at(since) && !self.deliveries.is_in_doubt(now) {
                let silence = ServerSilence { flows, since };
                let subject = ReportSubject::Openings;
                self.reports.note_silence(server, subject, silence, now);
            }
        }
    }

    /// Ends flows on servers that several hosts together show to have gone.
    ///
    /// Guards against a server that dies while each host sees one or two of its flows. It
    /// shows as requests that are lost one by one on all hosts, seconds after the first.
    /// That this host cannot judge by itself does not matter: the others can.
    fn end_reported<S: ForwardingSink>(
        &mut self,
        now: Timestamp,
        view: &ForwardingView,
        sink: &mut S,
    ) {
        let mut servers = view.reports.servers(ReportSubject::Delivery);
        servers.retain(|id| self.progress.flows(*id) > 0 && self.is_reported(view, *id, now));
        if !servers.is_empty() {
            let may_end = |watched: &WatchedFlow| watched.can_be_ended(now);
            self.end_flows(now, view, &servers, may_end, sink);
        }
    }

    /// Tells others of servers at which requests wait for much longer than usual.
    ///
    /// Guards against a server that takes requests and resets its callers, or never
    /// answers, while it says that it is well. Hosts see neither resets nor answers, only
    /// that callers acknowledge none; each such request of a caller that may not repeat it
    /// is lost. It only keeps new flows away: an acknowledgement may pass another host, and
    /// a flow that is ended for it would break a session whose server serves.
    fn report_overdue(&mut self, now: Timestamp) {
        if !self.ticks.is_multiple_of(OVERDUE_TICKS) {
            return;
        }
        let patience = self.responses.patience();
        let mut overdue = Vec::new();
        self.watch.visit(|watched| {
            if let Some(asked_at) = watched.take_overdue(patience, now) {
                overdue.push((watched.server, asked_at));
            }
        });
        for (server, asked_at) in overdue {
            let subject = ReportSubject::Answers;
            let silence = self.progress.note_overdue(server, asked_at, now);
            let answered_at = self.progress.well_at(server, subject);
            let answers_others = answered_at.is_some_and(|at| silence.is_refuted_by(at));
            if !answers_others && !self.deliveries.is_in_doubt(now) {
                self.reports.note_silence(server, subject, silence, now);
            }
        }
    }

    /// Says of servers that others report what this host has seen to the contrary.
    fn object(&mut self, view: &ForwardingView) {
        for subject in ReportSubject::ALL {
            for server in view.reports.servers(subject) {
                if let Some(well_at) = self.progress.well_at(server, subject)
                    && view.reports.is_refuted_by(server, subject, well_at)
                {
                    self.reports.note_well(server, subject, well_at);
                }
            }
        }
    }

    /// Ends flows that rest on servers that vanished from the store's list though
    /// the store was there all the time.
    ///
    /// Guards against a server that loses power while its flows rest, where no flow
    /// tells of it. It shows as requests that are lost one by one, for as long as
    /// callers have such flows. A server that was only cut off from the store serves
    /// on, and its callers, who wait for nothing, merely open another flow.
    fn end_vanished<S: ForwardingSink>(
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
            let may_end = |watched: &WatchedFlow| watched.is_resting(now);
            self.end_flows(now, view, &vanished, may_end, sink);
        }
    }

    /// Lets servers that started again under their identifiers begin anew, and ends
    /// flows that rest on what ran before.
    ///
    /// A caller that rests would be reset by the server with its next request, which
    /// is lost where it may run only once; told now, it opens another flow for it. A
    /// caller that waits for an answer is left to the server: its next repetition is
    /// answered with a reset at once, and it may be a caller of the new process.
    fn end_restarted<S: ForwardingSink>(
        &mut self,
        now: Timestamp,
        view: &ForwardingView,
        sink: &mut S,
    ) {
        let restarted = self.starts.take_restarted(&view.directory);
        if restarted.is_empty() {
            return;
        }
        let may_end = |watched: &WatchedFlow| watched.is_resting(now);
        self.end_flows(now, view, &restarted, may_end, sink);
        self.watch.stop_counting(&restarted);
        for server in restarted {
            self.progress.forget(server);
        }
    }

    /// Ends the flows on `servers`, which are in rising order and have gone, that
    /// `may_end`. A caller that rests on such a flow would send its next request
    /// into the void; one that may run only once would then be lost, whereas a
    /// caller that knows opens another flow.
    fn end_flows<S: ForwardingSink>(
        &mut self,
        now: Timestamp,
        view: &ForwardingView,
        servers: &[BackendId],
        may_end: impl Fn(&WatchedFlow) -> bool,
        sink: &mut S,
    ) {
        for (flow, watched) in self.watch.take_endable(servers, may_end) {
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
                token: FlowToken::of_server(server),
                server: Some(server),
                own_domain: record.map(|record| view.domain == Some(record.domain)),
                copies: watched.copies,
                server_flows: self.progress.flows(server),
                version: view.routes.version(),
                view_age: view.age(now),
            });
        }
    }
}
