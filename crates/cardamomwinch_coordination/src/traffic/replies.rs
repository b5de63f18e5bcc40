//! Routes replies of backend servers. The fabric may deliver a reply to any host. That
//! host sends answers and notices directly to the caller, and relays the reply to the home
//! of the server.

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

/// A reply that was relayed this many times has passed hosts that disagree about the home.
/// It is sent to the host that sent the request, which was the home at that time.
const DISAGREEING_HOPS: u8 = 2;

impl TrafficEngine {
    pub(crate) fn handle_reply<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
        send_to_caller(context, reply);
        match reply.kind {
            BackendReplyKind::Notice { .. } => return,
            _ if context.snapshot.phase == ServingPhase::Starting => {
                return self.early_replies.push(reply);
            }
            BackendReplyKind::Opened => return self.send_opened(context, reply),
            _ => {}
        }
        self.route_reply_home(context, reply);
    }

    /// Processes the replies that arrived while this host was starting.
    ///
    /// The fabric delivers replies to a host as soon as it is up. A host that does not
    /// know the other hosts yet can send an answer to the caller, but not to the home. If
    /// the replies were dropped, the home would count slots as occupied, so that servers
    /// seem full, and would reply "outcome unknown" for requests that were answered.
    pub(crate) fn account_early_replies<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
    ) {
        if self.early_replies.is_empty() || context.snapshot.phase == ServingPhase::Starting {
            return;
        }
        let replies = std::mem::take(&mut self.early_replies);
        replies.drain(|reply| match reply.kind {
            BackendReplyKind::Opened => self.send_opened(context, reply),
            _ => self.route_reply_home(context, reply),
        });
    }

    fn route_reply_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
        if let BackendReplyKind::UnknownFlow { .. } = reply.kind {
            return self.route_unknown_flow(context, reply);
        }
        let entry = context.snapshot.backend(reply.backend);
        match entry.map(|entry| context.snapshot.shard_of(entry)) {
            Some(shard) => self.account(context, reply, shard, 0),
            None => self.account_by_sender(context, reply),
        }
    }

    /// Notifies the caller that its flow is open, with the token of the flow. This happens
    /// only after the server's reply: if the opening is lost on the way to the server, the
    /// caller must repeat the opening instead of sending data for a flow that is not open.
    pub(crate) fn send_opened<S: TrafficSink>(
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

    /// Relays a reply of a server that this host does not know to the host that sent the
    /// request, which knew the server. This host may have an outdated configuration;
    /// without the reply the slot would stay occupied until the deadline.
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
            let reply = without_long_payload(reply);
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

    /// Handles a reply that another host or thread relayed. If this host knows the server,
    /// its shard takes precedence over the one that the sender assumed.
    pub(crate) fn handle_relayed_reply<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
        shard: ShardId,
        hops: u8,
    ) {
        if let BackendReplyKind::Opened = reply.kind {
            return self.send_opened(context, reply);
        }
        let entry = context.snapshot.backend(reply.backend);
        match entry.map(|entry| context.snapshot.shard_of(entry)) {
            Some(known) => self.account(context, reply, known, hops),
            None if reply.via == self.identity.host => self.apply(context, reply),
            None => self.account(context, reply, shard, hops),
        }
    }

    /// Sends a reply to the thread that keeps the counts of its server.
    pub(crate) fn account<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
        shard: ShardId,
        hops: u8,
    ) {
        let frame = RelayFrame::Backend {
            reply: without_long_payload(reply),
            shard,
            hops: hops.saturating_add(1),
        };
        // The next home may not have imported the records yet, although the snapshot names it.
        if self.place.owns(shard) && self.frozen.is_handing_over(shard, context.now) {
            return self.frozen.hold_back(shard, reply);
        }
        let this_host = self.identity.host;
        let assumed_home = context.snapshot.shard(shard).home;
        let home = assumed_home
            .filter(|home| *home == this_host || reply.via == this_host || hops < DISAGREEING_HOPS)
            .filter(|home| {
                let may_move = *home == this_host && hops < DISAGREEING_HOPS;
                !may_move || !self.is_sender_home(context, reply, shard)
            })
            .unwrap_or(reply.via);
        if home == this_host {
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

    /// Whether the host that sent the request of `reply` is the home, although this host
    /// considers itself the home.
    ///
    /// Guards against answers that end at a host that was just added: it and other hosts
    /// consider it the home before it holds the lease. The home would hand over answered
    /// requests as running, and the server would seem full until they are given up. A host
    /// that has a record of the request accounts for its reply in any case.
    fn is_sender_home<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        reply: &BackendReply<'_>,
        shard: ShardId,
    ) -> bool {
        let may_be_home = context.snapshot.lease_at(shard, context.now).is_some()
            || self.frozen.is_frozen(shard, context.now)
            || self.frozen.is_moving(shard, context.now);
        if may_be_home || reply.via == self.identity.host || !self.place.owns(shard) {
            return false;
        }
        let hash = Self::hasher(context.snapshot).hash(&reply.flow);
        let request = request_of(reply).map(|request| request_key(reply, request));
        request.is_none_or(|key| self.requests.get(hash, &key).is_none())
    }
}

/// The request that `reply` answers or sheds, if there is one.
const fn request_of(reply: &BackendReply<'_>) -> Option<RequestId> {
    match reply.kind {
        BackendReplyKind::Answer { request, .. } => Some(request),
        BackendReplyKind::Shed { request, .. } => request,
        _ => None,
    }
}

/// The subject of a decision about `reply`, which belongs to `shard` and is sent to
/// `peer`.
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

/// Sends an answer or a notice to the caller, whichever host accounts for it.
fn send_to_caller<S: TrafficSink>(context: &mut EventContext<'_, S>, reply: &BackendReply<'_>) {
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

/// Removes the payload if the answer has too many parts to be kept.
fn without_long_payload<'p>(reply: &BackendReply<'p>) -> BackendReply<'p> {
    let mut reply = *reply;
    if let BackendReplyKind::Answer { part, payload, .. } = &mut reply.kind
        && part.total > KEPT_PARTS_LIMIT
    {
        *payload = &[];
    }
    reply
}

/// The key of the request that `reply` refers to.
pub(super) const fn request_key(reply: &BackendReply<'_>, request: RequestId) -> RequestKey {
    RequestKey {
        flow: reply.flow,
        id: request,
    }
}
