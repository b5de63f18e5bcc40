//! Replies of backend servers. The fabric hands them to any host: that host
//! sends on at once what concerns the caller, and tells the home of the server.

use cardamomwinch_protocol::prelude::{
    AttemptNumber, BackendReply, BackendReplyKind, CallerReplyKind, PartNumber, RefusalReason,
    RelayFrame, TokenClaim,
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
        match reply.kind {
            BackendReplyKind::Notice { .. } => return,
            BackendReplyKind::Opened => return self.tell_opened(context, reply),
            _ => {}
        }
        if let BackendReplyKind::UnknownFlow { .. } = reply.kind {
            return self.take_unknown(context, reply);
        }
        let entry = context.snapshot.backend(reply.backend);
        match entry.map(|entry| context.snapshot.shard_of(entry)) {
            Some(shard) => self.account(context, reply, shard, 0),
            None => self.account_by_sender(context, reply),
        }
    }

    /// Tells the caller that its flow is open, and gives it its token. Only the
    /// server's word says so: if its datagram is lost on the way, the caller
    /// must send its opening again instead of data for a flow that is not open.
    pub(crate) fn tell_opened<S: TrafficSink>(
        &self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
        match context.snapshot.backend(reply.backend) {
            Some(entry) => {
                let token = self.tokens.issue(&reply.flow, TokenClaim::from(entry));
                context.reply(reply.flow, CallerReplyKind::Opened { token });
            }
            None if reply.via != self.identity.host => self.relay_to_sender(context, reply),
            None => {}
        }
    }

    /// Brings a reply of a server that this host does not know to the host that
    /// had sent it what it replies to, which knew it. This host may be behind in
    /// its configuration; without the reply the slot would stay taken until the
    /// deadline.
    fn account_by_sender<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
        if reply.via == self.identity.host {
            return self.apply(context, reply);
        }
        self.relay_to_sender(context, reply);
    }

    fn relay_to_sender<S: TrafficSink>(
        &self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
        if let Some(shard) = context.snapshot.any_shard() {
            let reply = shortened(reply);
            let frame = RelayFrame::Backend {
                reply,
                shard,
                hops: 1,
            };
            context.relay(reply.via, frame);
        }
    }

    /// Takes a reply that another host or thread passed on. What this host
    /// knows of the server goes before what the sender took for its shard.
    pub(crate) fn take_relayed_reply<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
        shard: ShardId,
        hops: u8,
    ) {
        if let BackendReplyKind::Opened = reply.kind {
            return self.tell_opened(context, reply);
        }
        let entry = context.snapshot.backend(reply.backend);
        match entry.map(|entry| context.snapshot.shard_of(entry)) {
            Some(known) => self.account(context, reply, known, hops),
            None if reply.via == self.identity.host => self.apply(context, reply),
            None => self.account(context, reply, shard, hops),
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
            } => {
                self.confirm_search(context, hash, reply);
                self.note_part(context, hash, reply, request, attempt, part, payload);
            }
            BackendReplyKind::Shed { request, attempt } => {
                context.count(Counter::BackendShed);
                match request {
                    Some(request) => self.note_shed(context, hash, reply, request, attempt),
                    None => self.note_opening_shed(context, hash, reply),
                }
            }
            BackendReplyKind::Closed => {
                self.remove_pin(hash, &reply.flow);
            }
            BackendReplyKind::Opened
            | BackendReplyKind::Notice { .. }
            | BackendReplyKind::UnknownFlow { .. } => {}
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
        self.remove_pin(hash, &reply.flow);
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
