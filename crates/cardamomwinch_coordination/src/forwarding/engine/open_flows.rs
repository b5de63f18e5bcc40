//! Handling of packets of open flows: what they show about their servers, and whether the
//! flow has to be reset because its server will not answer.

use std::time;

use cardamomwinch_state::prelude::{BackendId, Timestamp};

use crate::forwarding::directory::{ServerPhase, ServerRecord};
use crate::forwarding::engine::{ForwardingEngine, ForwardingSink, PacketContext};
use crate::forwarding::flow_watch::{self, FlowSilence, FlowStage, WatchedFlow};
use crate::forwarding::packet::PacketKind;
use crate::forwarding::record::EndCause;
use crate::forwarding::server_reports::ReportSubject;
use crate::forwarding::view::ForwardingView;

/// The number of repetitions of the same data after which a flow is reset if other
/// evidence shows that its server is dead.
const RESET_COPIES: u32 = 1;
/// The number of repetitions that is needed if only the flow itself shows it. Callers
/// send again after 200 ms and 600 ms; the second copy shows two losses in a row.
const SINGLE_FLOW_COPIES: u32 = 2;
/// The minimum time between the first sending and such a copy. Copies that come sooner were
/// duplicated by the network.
const SINGLE_FLOW_SILENCE: time::Duration = time::Duration::from_millis(500);

impl ForwardingEngine {
    /// Updates the state of the flow and of its server from the packet. Returns the silence
    /// of the flow.
    pub(super) fn observe<S: ForwardingSink>(
        &mut self,
        context: &PacketContext<'_>,
        server: &ServerRecord,
        sink: &mut S,
    ) -> FlowSilence {
        let packet = context.packet;
        let now = context.now;
        let known = self.watch.get(context.hash, &packet.flow);
        if known.is_none_or(|watched| watched.server != server.id) {
            let mut watched = WatchedFlow::open(server.id, context.is_idempotent(), now);
            watched.acknowledged = packet.acknowledged;
            self.start_watching(context, watched);
        }
        let Some(watched) = self.watch.get_mut(context.hash, &packet.flow) else {
            return FlowSilence::default();
        };
        if matches!(watched.stage, FlowStage::Opening { .. }) {
            let time = now.since(watched.seen_at);
            // A later confirmation may answer a copy, so it does not show when its packet was sent.
            let is_prompt = time < flow_watch::MIN_RESEND_INTERVAL;
            let sent_at = if is_prompt { watched.seen_at } else { now };
            self.server_reach.note_opened(sent_at, now);
            sink.measure_opening(time);
            if is_prompt {
                self.deliveries.note(sent_at);
            }
        }
        let closing = packet.kind == PacketKind::Closing;
        let sent_once_at = watched.sent_once_at();
        let was_repeated = watched.copies > 0;
        watched.seen_at = now;
        if !watched.counted {
            watched.counted = true;
            self.progress.add_flow(server.id, now);
        }
        let mut answer = None;
        if watched.note_acknowledged(packet.acknowledged) {
            self.progress.note_progress(server.id, now);
            let evacuations = context.view.directory.evacuations();
            let takes_flows =
                server.phase == ServerPhase::Active && !evacuations.is_evacuated(server.domain);
            let answered_at = if was_repeated {
                Some(now)
            } else {
                sent_once_at
            };
            self.server_reach.note_progress(server.id, answered_at, now);
            if let Some(answered_at) = answered_at.filter(|_| takes_flows) {
                self.server_reach.note_usable_server(answered_at);
            }
            if let Some(sent_at) = sent_once_at {
                self.deliveries.note(sent_at);
            }
            if was_repeated {
                self.deliveries.note_late(server.id, now);
            }
            self.recent_openings.confirm(context.caller());
            if watched.has_answer() {
                self.progress.note_answer(server.id, now);
            }
            answer = watched.take_answer(closing, now);
        }
        let has_data = packet.length > 0;
        let silence = if has_data {
            watched.note_data(packet.sequence, now, &self.deliveries)
        } else {
            FlowSilence::default()
        };
        let is_request = has_data && silence.copies == 0 && watched.note_request(now);
        let became_silent = silence.losses > 0 && watched.count_silence_once();
        if is_request {
            self.note_admitted_request(context, server.service);
        }
        if let Some(answer) = answer {
            self.note_answer(context, server, answer, sink);
        }
        if silence.copies > 0 {
            self.server_reach.note_repetition(server.id, silence.since);
        }
        if became_silent {
            self.progress
                .note_silent_flow(server.id, silence.since, now);
            self.report_silence(server.id, now);
        }
        silence
    }

    /// Reports to other hosts that flows on `server` get no acknowledgement, unless this
    /// host itself seems to lose packets.
    pub(super) fn report_silence(&mut self, server: BackendId, now: Timestamp) {
        if self.deliveries.is_link_lossy(now) {
            return;
        }
        if let Some(silence) = self.progress.silence(server) {
            let subject = ReportSubject::Delivery;
            self.own_reports.note_silence(server, subject, silence, now);
        }
    }

    /// Whether the reports of several hosts show that `server` is dead, while other servers
    /// answer this host. Without those, a caller whose flow is reset would find no server
    /// for its next one.
    pub(super) fn is_reported_dead(
        &self,
        view: &ForwardingView,
        server: BackendId,
        now: Timestamp,
    ) -> bool {
        if view.reports.is_empty() || !self.server_reach.is_confirmed(now) {
            return false;
        }
        let subject = ReportSubject::Delivery;
        let healthy_at = self.progress.healthy_at(server, subject);
        view.reports.is_silent(server, subject, healthy_at, now)
    }

    /// Why the flow must be reset, if its server is dead.
    ///
    /// Guards against callers that wait until their deadlines for a dead server.
    ///
    /// On an idempotent route the caller sends its request again on another flow. There
    /// one repetition is enough if the server is no longer in the store, or if several
    /// flows get no acknowledgement, on this host or on several. One flow that sent the same
    /// data three times is enough as well if the server made no progress in the meantime,
    /// because hosts of large fleets see only one or two flows of each server.
    ///
    /// On other routes a reset is of no use while an answer may still come. There the flow
    /// is reset only if the server has left the store for good.
    pub(super) fn reset_cause(
        &self,
        context: &PacketContext<'_>,
        server: &ServerRecord,
        silence: FlowSilence,
        triple_loss: bool,
    ) -> Option<EndCause> {
        if silence.copies < RESET_COPIES {
            return None;
        }
        let now = context.now;
        let is_idempotent = context.is_idempotent();
        if is_idempotent && self.is_reported_dead(context.view, server.id, now) {
            return Some(EndCause::Reports);
        }
        let left = matches!(server.phase, ServerPhase::Left { .. });
        let cause = if !is_idempotent {
            (left && silence.copies >= SINGLE_FLOW_COPIES).then_some(EndCause::Left)
        } else if left {
            Some(EndCause::Left)
        } else if server.has_vanished() && context.view.is_complete(now) {
            Some(EndCause::Vanished)
        } else if triple_loss {
            Some(EndCause::TripleLoss)
        } else {
            let is_silent = silence.losses > 0 && self.progress.is_silent(server.id, now);
            is_silent.then_some(EndCause::SilentFlows)
        };
        cause.filter(|_| self.can_assess_servers(now))
    }

    /// Whether silence that this host observes is caused by servers, and not by this host
    /// or its link.
    pub(super) fn can_assess_servers(&self, now: Timestamp) -> bool {
        self.progress.is_silence_reliable(now) && !self.deliveries.is_link_lossy(now)
    }

    /// Records that the caller has sent the same data three times without an acknowledgement,
    /// if it has. Returns whether that shows that the server is dead.
    pub(super) fn note_triple_loss(
        &mut self,
        context: &PacketContext<'_>,
        server: &ServerRecord,
        silence: FlowSilence,
    ) -> bool {
        silence.losses >= SINGLE_FLOW_COPIES
            && context.now.since(silence.since) >= SINGLE_FLOW_SILENCE
            && self.progress.note_triple_loss(server.id, silence.since)
    }
}
