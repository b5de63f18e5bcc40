//! Passes what is observed of answers to the decisions under load.

use cardamomwinch_state::prelude::Timestamp;

use crate::forwarding::directory::ServerRecord;
use crate::forwarding::engine::{ForwardingEngine, ForwardingSink, PacketContext};
use crate::forwarding::flow_watch::WatchedAnswer;
use crate::forwarding::packet::PacketKind;
use crate::forwarding::view::ForwardingView;
use crate::load::answer::AnswerObservation;

impl ForwardingEngine {
    /// Records that `server` gave `answer` on the current flow.
    pub(super) fn note_answer<S: ForwardingSink>(
        &mut self,
        context: &PacketContext<'_>,
        server: &ServerRecord,
        answer: WatchedAnswer,
        sink: &mut S,
    ) {
        if let Some(response) = answer.response {
            sink.measure_response(response);
            self.overdue_timeout.note_response(response);
            self.progress
                .note_response(server.id, response, context.now);
        }
        let observation = AnswerObservation {
            server: server.id,
            service: server.service,
            domain: server.domain,
            address: context.packet.flow.service,
            bytes: answer.bytes,
            response: answer.response,
            closing: context.packet.kind == PacketKind::Closing,
            at: context.now,
        };
        self.note_observation(context, server, &observation);
    }

    /// Passes `observation` to the decisions under load that need it.
    ///
    /// The time of a request that was sent before a pause of this host shows nothing about
    /// servers. Answers and refusals of a slow server show nothing about the room in its domain.
    fn note_observation(
        &mut self,
        context: &PacketContext<'_>,
        server: &ServerRecord,
        observation: &AnswerObservation,
    ) {
        if self.judges_outliers(context.route) {
            self.progress.outliers.note_answer(observation);
        }
        if !self.measures_domains() {
            return;
        }
        let since_pause = observation.at.since(self.resumed_at);
        let response = observation.response.filter(|time| *time <= since_pause);
        let refused = self.domain_loads.refused_answers();
        let answer = AnswerObservation {
            response,
            ..*observation
        };
        self.domain_loads.note_answer(&answer);
        if !self.is_slow(server, observation.at) {
            self.queue_loads.note_answer(&answer);
        }
        let is_refused = self.domain_loads.refused_answers() > refused;
        self.note_admitted_answer(context, observation.service, is_refused);
    }

    /// Whether `server` is much slower than most servers of its service and domain.
    pub(super) fn is_slow(&self, server: &ServerRecord, now: Timestamp) -> bool {
        let response = self.progress.response(server.id, now);
        let (service, domain) = (server.service, server.domain);
        response.is_some_and(|response| self.slow_servers.is_slow(service, domain, response))
    }

    /// Updates which servers are much slower than the others of their service and domain.
    pub(super) fn update_slow_servers(&mut self, now: Timestamp, view: &ForwardingView) {
        if !self.measures_domains() {
            return;
        }
        let measured = self.progress.responses(now).filter_map(|(id, response)| {
            let server = view.directory.get(id)?;
            Some(((server.service, server.domain), response))
        });
        self.slow_servers.update(measured.collect());
    }

    /// Whether a decision under load needs the measurement of domains.
    pub(super) const fn measures_domains(&self) -> bool {
        self.load_policy.spill || self.load_policy.priorities
    }
}
