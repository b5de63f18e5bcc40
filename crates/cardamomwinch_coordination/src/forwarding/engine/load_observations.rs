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
        self.note_observation(&AnswerObservation {
            server: server.id,
            service: server.service,
            domain: server.domain,
            address: context.packet.flow.service,
            bytes: answer.bytes,
            response: answer.response,
            closing: context.packet.kind == PacketKind::Closing,
            at: context.now,
        });
    }

    /// Passes `observation` to the decisions under load that need it.
    #[expect(
        clippy::unused_self,
        clippy::needless_pass_by_ref_mut,
        reason = "no decision uses observations yet"
    )]
    fn note_observation(&mut self, _observation: &AnswerObservation) {}
}
