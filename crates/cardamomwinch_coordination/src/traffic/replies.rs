//! The way of a backend server's reply. The fabric hands it to any host: that host
//! sends on at once what concerns the caller, and tells the home of the server.

use cardamomwinch_protocol::prelude::{
    BackendReply, BackendReplyKind, CallerReplyKind, RelayFrame, TokenClaim,
};
use cardamomwinch_state::prelude::{HostId, RequestId, ShardId};

use crate::counter::Counter;
use crate::decision::DecisionReason;
use crate::snapshot::ServingPhase;
use crate::traffic::context::{DecisionSubject, EventContext};
use crate::traffic::effect::TrafficSink;
use crate::traffic::requests::{KEPT_PARTS_LIMIT, RequestKey};
use crate::traffic::{HOP_LIMIT, TrafficEngine};

/// A reply that was relayed so often meets hosts that disagree about the home. It goes
/// to the host that had sent the request, which was home then.
const DISAGREEING_HOPS: u8 = 2;

impl TrafficEngine {
    pub(crate) fn take_reply<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
        tell_caller(context, reply);
        match reply.kind {
            BackendReplyKind::Notice { .. } => return,
            _ if context.snapshot.phase == ServingPhase::Starting => {
                return self.early_replies.push(reply);
            }
            BackendReplyKind::Opened => return self.tell_opened(context, reply),
            _ => {}
        }
        self.bring_to_home(context, reply);
    }

    /// Brings on the replies that came while this host was starting.
    ///
    /// Guards against slots that stay taken: the fabric hands replies to a host as soon
    /// as it is up, and one that knows no other host yet can tell the caller, but not
    /// the home. It shows as servers that seem full, and as requests that their home
    /// calls unknown though they were answered.
    pub(crate) fn account_early_replies<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
    ) {
        if self.early_replies.is_empty() || context.snapshot.phase == ServingPhase::Starting {
            return;
        }
        let replies = std::mem::take(&mut self.early_replies);
        replies.drain(|reply| match reply.kind {
            BackendReplyKind::Opened => self.tell_opened(context, reply),
            _ => self.bring_to_home(context, reply),
        });
    }

    fn bring_to_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
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
        let relayed = context.snapshot.any_shard().is_some_and(|shard| {
            let reply = shortened(reply);
            let frame = RelayFrame::Backend {
                reply,
                shard,
                hops: 1,
            };
            context.relay(reply.via, frame)
        });
        let reason = match relayed {
            true => DecisionReason::ReplyRelayed,
            false => DecisionReason::ReplyLost,
        };
        context.decide(reason, subject_of(reply, None, Some(reply.via)));
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
        let me = self.identity.host;
        let believed = context.snapshot.shard(shard).home;
        let home = believed
            .filter(|home| *home == me || reply.via == me || hops < DISAGREEING_HOPS)
            .filter(|home| {
                let may_move = *home == me && hops < DISAGREEING_HOPS;
                !may_move || !self.is_sender_home(context, reply, shard)
            })
            .unwrap_or(reply.via);
        if home == me {
            match self.place.owns(shard) {
                true if self.frozen.is_frozen(shard, context.now) => {
                    self.frozen.hold_back(shard, reply);
                }
                true => self.apply(context, reply),
                false => context.pass_to_thread(self.place.owner(shard), frame),
            }
        } else if hops < HOP_LIMIT {
            let reason = match context.relay(home, frame) {
                true => DecisionReason::ReplyRelayed,
                false => DecisionReason::ReplyLost,
            };
            context.decide(reason, subject_of(reply, Some(shard), Some(home)));
        } else {
            context.count(Counter::HopLimit);
            let subject = subject_of(reply, Some(shard), Some(home));
            context.decide(DecisionReason::ReplyLost, subject);
        }
    }

    /// Whether the host that had sent what `reply` answers is the home, although this one
    /// takes itself for it.
    ///
    /// Guards against answers that end at a host which was just added: it takes itself for
    /// the home, and others do, before it holds the lease. It shows as requests that the
    /// home hands over as running though they were answered, and as a server that seems
    /// full until they are given up. Who knows the request accounts for it in any case.
    fn is_sender_home<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        reply: &BackendReply<'_>,
        shard: ShardId,
    ) -> bool {
        let may_be_home = context.snapshot.lease_at(shard, context.now).is_some()
            || self.frozen.is_frozen(shard, context.now)
            || self.frozen.is_changing_hands(shard, context.now);
        if may_be_home || reply.via == self.identity.host || !self.place.owns(shard) {
            return false;
        }
        let hash = Self::hasher(context.snapshot).hash(&reply.flow);
        let request = request_of(reply).map(|request| request_key(reply, request));
        request.is_none_or(|key| self.requests.get(hash, &key).is_none())
    }
}

/// The request that `reply` answers, where it answers one.
const fn request_of(reply: &BackendReply<'_>) -> Option<RequestId> {
    match reply.kind {
        BackendReplyKind::Answer { request, .. } => Some(request),
        BackendReplyKind::Shed { request, .. } => request,
        _ => None,
    }
}

/// What a decision about `reply` concerns, which belongs to `shard` and goes to `peer`.
fn subject_of(
    reply: &BackendReply<'_>,
    shard: Option<ShardId>,
    peer: Option<HostId>,
) -> DecisionSubject {
    DecisionSubject {
        flow: Some(reply.flow),
        request: request_of(reply),
        backend: Some(reply.backend),
        peer,
        shard,
        ..DecisionSubject::default()
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

/// How the request that `reply` is about is found.
pub(super) const fn request_key(reply: &BackendReply<'_>, request: RequestId) -> RequestKey {
    RequestKey {
        flow: reply.flow,
        id: request,
    }
}
