//! Passes what is observed of answers to the decisions under load.

use crate::forwarding::directory::ServerRecord;
use crate::forwarding::engine::{ForwardingEngine, ForwardingSink, PacketContext};
use crate::forwarding::flow_watch::WatchedAnswer;
use crate::forwarding::packet::PacketKind;
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
        self.note_observation(context, &observation);
    }

    /// Passes `observation` to the decisions under load that need it.
    fn note_observation(&mut self, context: &PacketContext<'_>, observation: &AnswerObservation) {
        if self.load_policy.priorities {
            self.measure_answer(context, observation);
        }
    }
}
