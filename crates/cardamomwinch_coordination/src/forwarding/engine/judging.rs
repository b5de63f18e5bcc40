//! What the engine makes of the packets of open flows: how their servers do, and whether
//! anybody will still answer.

use std::time;

use cardamomwinch_state::prelude::{BackendId, Timestamp};

use crate::forwarding::directory::{ServerPhase, ServerRecord};
use crate::forwarding::engine::{ForwardingEngine, ForwardingSink, PacketContext};
use crate::forwarding::flow_watch::{self, FlowSilence, FlowStage, WatchedFlow};
use crate::forwarding::packet::PacketKind;
use crate::forwarding::server_reports::ReportSubject;
use crate::forwarding::view::ForwardingView;

/// How often a caller must have sent the same data again to a server that is silent
/// or off the list before it is told.
const HOPELESS_COPIES: u32 = 1;
/// And how often where nothing but its own flow tells so. Callers send again after
/// 200 ms and 600 ms; with the second copy two losses in a row are known.
const LONE_COPIES: u32 = 2;
/// Copies that come sooner were doubled on their way.
const LONE_SILENCE: time::Duration = time::Duration::from_millis(500);

impl ForwardingEngine {
    /// Notes what the packet says about the flow and its server.
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
            self.reach.note_opened(now);
            sink.measure_opening(time);
            if time < flow_watch::LEAST_PATIENCE {
                self.deliveries.note(watched.seen_at);
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
        if watched.note_acknowledged(packet.acknowledged) {
            self.progress.note_progress(server.id, now);
            self.reach.note_progress(now);
            if let Some(sent_at) = sent_once_at {
                self.deliveries.note(sent_at);
            }
            if was_repeated {
                self.deliveries.note_late(server.id, now);
            }
            self.recent.confirm(context.caller());
            if watched.has_answer() {
                self.progress.note_answer(server.id, now);
            }
            if let Some(response) = watched.take_response_time(closing, now) {
                sink.measure_response(response);
                self.responses.note(response);
                self.progress.note_response(server.id, response, now);
            }
        }
        if packet.length == 0 {
            return FlowSilence::default();
        }
        let silence = watched.note_data(packet.sequence, now, &self.deliveries);
        if silence.copies == 0 {
            watched.note_asked(now);
        }
        if silence.copies > 0 {
            self.reach.note_repetition(server.id, silence.since);
        }
        if silence.losses > 0 && watched.begin_silence() {
            self.progress
                .note_silent_flow(server.id, silence.since, now);
            self.report_silence(server.id, now);
        }
        silence
    }

    /// Tells others that flows on `server` met silence, where that says something about
    /// the server rather than about this host.
    pub(super) fn report_silence(&mut self, server: BackendId, now: Timestamp) {
        if self.deliveries.is_in_doubt(now) {
            return;
        }
        if let Some(silence) = self.progress.silence(server) {
            let subject = ReportSubject::Delivery;
            self.reports.note_silence(server, subject, silence, now);
        }
    }

    /// Whether several hosts together show that `server` has gone, while others answer this
    /// host: a caller who is told must find one that serves it.
    pub(super) fn is_reported(
        &self,
        view: &ForwardingView,
        server: BackendId,
        now: Timestamp,
    ) -> bool {
        if view.reports.is_empty() || !self.reach.is_proven(now) {
            return false;
        }
        let subject = ReportSubject::Delivery;
        let well_at = self.progress.well_at(server, subject);
        view.reports.is_silent(server, subject, well_at, now)
    }

    /// Whether nobody will answer the flow any more, and its caller is to be told.
    ///
    /// Guards against callers that wait until their deadlines for a server that has
    /// gone. One repetition tells an idempotent caller, who asks again elsewhere, where
    /// the store has lost the server or several flows meet silence, here or on several
    /// hosts; three losses in a
    /// row do where nobody saw the server make progress meanwhile: hosts of large fleets
    /// see one or two flows of each server. A caller that may not repeat itself gains
    /// nothing by a reset while an answer may come; it is told where the store has given
    /// the server up for good.
    pub(super) fn is_over(
        &self,
        context: &PacketContext<'_>,
        server: &ServerRecord,
        silence: FlowSilence,
        lost_thrice: bool,
    ) -> bool {
        let reported = self.is_reported(context.view, server.id, context.now);
        if reported && context.is_idempotent() {
            return silence.copies >= HOPELESS_COPIES;
        }
        let left = matches!(server.phase, ServerPhase::Left { .. });
        let vanished = server.has_vanished() && context.view.is_complete(context.now);
        let over = if context.is_idempotent() {
            let silent = || silence.losses > 0 && self.progress.is_silent(server.id, context.now);
            silence.copies >= HOPELESS_COPIES && (left || vanished || lost_thrice || silent())
        } else {
            left && silence.copies >= LONE_COPIES
        };
        over && self.can_judge(context.now)
    }

    /// Whether what this host sees of servers says something about them rather than
    /// about itself.
    pub(super) fn can_judge(&self, now: Timestamp) -> bool {
        self.progress.is_trustworthy(now) && !self.deliveries.is_in_doubt(now)
    }

    /// Notes where the data of a flow were lost three times in a row, and whether that
    /// says that the server has gone.
    pub(super) fn note_losses(
        &mut self,
        context: &PacketContext<'_>,
        server: &ServerRecord,
        silence: FlowSilence,
    ) -> bool {
        silence.losses >= LONE_COPIES
            && context.now.since(silence.since) >= LONE_SILENCE
            && self.progress.note_lost_thrice(server.id, silence.since)
    }
}
