//! Replies of backend servers. The fabric hands them to any host: that host
//! sends on at once what concerns the caller, and tells the home of the server.

use cardamomwinch_protocol::prelude::{
    AttemptNumber, BackendReply, BackendReplyKind, CallerReplyKind, PartNumber, RefusalReason,
    RelayFrame, ResetReason,
};
use cardamomwinch_state::prelude::{FlowHash, RequestId, ShardId};

use crate::counter::Counter;
use crate::traffic::caller_datagrams::RETRY_AFTER;
use crate::traffic::context::EventContext;
use crate::traffic::effect::TrafficSink;
use crate::traffic::requests::{
    KEPT_PARTS_LIMIT, KeptPart, RequestKey, RequestState, RunningRequest,
};
use crate::traffic::{HOP_LIMIT, TrafficEngine, serving};

impl TrafficEngine {
    pub(crate) fn take_reply<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
        tell_caller(context, reply);
        if matches!(
            reply.kind,
            BackendReplyKind::Notice { .. } | BackendReplyKind::Opened
        ) {
            return;
        }
        // A server that is neither in force nor retained has no known shard;
        // the host that forwarded the request accounts for it.
        let entry = context.snapshot.backend(reply.backend);
        let shard = entry.map(|entry| context.snapshot.shard_of(entry));
        match shard {
            Some(shard) => self.account(context, reply, shard, 0),
            None if reply.via == self.identity.host => self.apply(context, reply),
            None => {}
        }
    }

    /// Brings a reply to the thread that counts for its server.
    pub(crate) fn account<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
        shard: ShardId,
        hops: u8,
    ) {
        let frame = RelayFrame::Backend {
            reply: shortened(reply),
            shard,
            hops: hops.saturating_add(1),
        };
        let home = context.snapshot.shard(shard).home.unwrap_or(reply.via);
        if home == self.identity.host {
            match self.place.owns(shard) {
                true if self.frozen.is_frozen(shard, context.now) => {
                    self.frozen.hold_back(shard, reply);
                }
                true => self.apply(context, reply),
                false => context.pass_to_thread(self.place.owner(shard), frame),
            }
        } else if hops < HOP_LIMIT {
            context.relay(home, frame);
        } else {
            context.count(Counter::HopLimit);
        }
    }

    pub(crate) fn apply<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
        let hash = Self::hasher(context.snapshot).hash(&reply.flow);
        match reply.kind {
            BackendReplyKind::Answer {
                request,
                attempt,
                part,
                payload,
            } => self.note_part(context, hash, reply, request, attempt, part, payload),
            BackendReplyKind::Shed { request, attempt } => {
                context.count(Counter::BackendShed);
                match request {
                    Some(request) => self.note_shed(context, hash, reply, request, attempt),
                    None => self.note_opening_shed(context, hash, reply),
                }
            }
            BackendReplyKind::UnknownFlow => {
                self.forget_flow(context, reply.flow, ResetReason::UnknownFlow);
            }
            BackendReplyKind::Closed => {
                if let Some(pin) = self.pins.remove(hash, &reply.flow) {
                    self.uncount(&pin);
                }
            }
            BackendReplyKind::Opened | BackendReplyKind::Notice { .. } => {}
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn note_part<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        hash: FlowHash,
        reply: &BackendReply<'_>,
        request: RequestId,
        attempt: AttemptNumber,
        part: PartNumber,
        payload: &[u8],
    ) {
        let key = RequestKey {
            flow: reply.flow,
            id: request,
        };
        let Some(record) = self.requests.get_mut(hash, &key) else {
            return;
        };
        let RequestState::Running(running) = &mut record.state else {
            return;
        };
        if running.attempt != attempt || !running.tracker.note(part) {
            return;
        }
        keep_part(
            running,
            &mut self.held_bytes,
            self.bounds.held_bytes,
            part,
            payload,
        );
        if !running.tracker.is_whole() {
            return;
        }
        let backend = running.backend;
        let taken = serving::service_time(context.now, running.sent);
        let kept = running.complete.then(|| std::mem::take(&mut running.kept));
        record.state = RequestState::Answered { attempt, kept };
        context.count(Counter::RequestAnswered);
        self.ledgers.of(backend).note_answer(context.now, taken);
        self.release_slot(context, backend);
    }

    fn note_shed<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        hash: FlowHash,
        reply: &BackendReply<'_>,
        request: RequestId,
        attempt: AttemptNumber,
    ) {
        let key = RequestKey {
            flow: reply.flow,
            id: request,
        };
        let Some(record) = self.requests.get_mut(hash, &key) else {
            return;
        };
        let RequestState::Running(running) = &record.state else {
            return;
        };
        if running.attempt != attempt {
            return;
        }
        let backend = running.backend;
        let reason = RefusalReason::Shed;
        record.state = RequestState::Refused { reason };
        context.refuse(key.flow, Some(key.id), reason, RETRY_AFTER);
        self.release_slot(context, backend);
    }

    fn note_opening_shed<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        hash: FlowHash,
        reply: &BackendReply<'_>,
    ) {
        if let Some(pin) = self.pins.remove(hash, &reply.flow) {
            self.uncount(&pin);
        }
        context.refuse(reply.flow, None, RefusalReason::Shed, RETRY_AFTER);
    }
}

/// Sends the caller what concerns it, whoever accounts for it.
fn tell_caller<S: TrafficSink>(context: &mut EventContext<'_, S>, reply: &BackendReply<'_>) {
    let kind = match reply.kind {
        BackendReplyKind::Answer {
            request,
            attempt,
            part,
            payload,
        } => CallerReplyKind::Answer {
            request,
            attempt,
            part,
            payload,
        },
        BackendReplyKind::Notice { sequence, payload } => {
            CallerReplyKind::Notice { sequence, payload }
        }
        _ => return,
    };
    context.reply(reply.flow, kind);
}

/// Leaves the payload out where the answer is too long to be kept.
fn shortened<'p>(reply: &BackendReply<'p>) -> BackendReply<'p> {
    let mut reply = *reply;
    if let BackendReplyKind::Answer { part, payload, .. } = &mut reply.kind
        && part.total > KEPT_PARTS_LIMIT
    {
        *payload = &[];
    }
    reply
}

fn keep_part(
    running: &mut RunningRequest,
    held_bytes: &mut usize,
    limit: usize,
    part: PartNumber,
    payload: &[u8],
) {
    if part.total > KEPT_PARTS_LIMIT || *held_bytes + payload.len() > limit {
        running.complete = false;
        return;
    }
    *held_bytes += payload.len();
    running.kept.push(KeptPart {
        part,
        payload: payload.into(),
    });
}
