//! Handles replies of backend servers that do not hold a flow. A search continues with the
//! next server, and a host with an outdated pin removes it. The flow is reset only if the
//! server was the right one.

use std::time;

use cardamomwinch_protocol::prelude::{
    AttemptNumber, BackendReply, BackendReplyKind, CallerReplyKind, FlowSearch, RelayFrame,
    RequestHeader, ResetReason, TokenClaim, TriedServers,
};
use cardamomwinch_state::prelude::{
    ConfigurationVersion, FlowHash, FlowKey, RequestId, ShardId, Timestamp,
};

use crate::counter::Counter;
use crate::decision::DecisionReason;
use crate::traffic::TrafficEngine;
use crate::traffic::caller_datagrams::{RelayContext, RoutedDatagram};
use crate::traffic::context::{DecisionSubject, EventContext};
use crate::traffic::effect::TrafficSink;
use crate::traffic::pins::{FlowPin, PinRole};
use crate::traffic::requests::{RequestKey, RequestState};
use crate::traffic::resolve;
use crate::traffic::searching::{self, PendingSearch};

/// A search is forgotten if its server has not replied for this long: either the server
/// holds the flow, or its reply was lost and the next datagram asks again.
const SEARCH_LIFETIME: time::Duration = time::Duration::from_secs(5);

impl TrafficEngine {
    /// Relays the reply to the host that sent the datagram, which knows why it was sent,
    /// and to the home, which keeps the counts.
    pub(crate) fn route_unknown_flow<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
        let snapshot = context.snapshot;
        let entry = snapshot.backend(reply.backend);
        let known = entry.map(|entry| snapshot.shard_of(entry));
        let Some(shard) = known.or_else(|| snapshot.any_shard()) else {
            return;
        };
        let frame = RelayFrame::Backend {
            reply: *reply,
            shard,
            hops: 0,
        };
        let this_host = self.identity.host;
        let home = known.and_then(|shard| snapshot.shard(shard).home);
        if let Some(home) = home.filter(|home| *home != reply.via) {
            match home == this_host {
                true => self.forget_at_home(context, reply, shard),
                false => _ = context.relay(home, frame),
            }
        }
        match reply.via == this_host {
            true => self.handle_unknown_flow(context, reply, shard, 0),
            false => _ = context.relay(reply.via, frame),
        }
    }

    /// Handles a reply that another host or thread relayed.
    pub(crate) fn handle_relayed_unknown<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
        shard: ShardId,
        hops: u8,
    ) {
        match reply.via == self.identity.host {
            true => self.handle_unknown_flow(context, reply, shard, hops),
            false => self.forget_at_home(context, reply, shard),
        }
    }

    /// Removes the pin and requests of a flow at the home of a server that does not hold
    /// it, after another host sent a datagram directly to the server.
    fn forget_at_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
        shard: ShardId,
    ) {
        if !self.place.owns(shard) {
            let reply = *reply;
            let frame = RelayFrame::Backend {
                reply,
                shard,
                hops: 0,
            };
            return context.pass_to_thread(self.place.owner(shard), frame);
        }
        let hash = Self::hasher(context.snapshot).hash(&reply.flow);
        let pin = self.pins.get(hash, &reply.flow);
        if pin.is_some_and(|pin| pin.claim.backend == reply.backend) {
            self.end_flow_requests(context, reply.backend, &reply.flow);
            self.remove_pin(hash, &reply.flow);
        }
    }

    /// Tries each thread in turn, because any may have sent the datagram. Resets the flow
    /// if none handles the reply.
    fn handle_unknown_flow<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
        shard: ShardId,
        hops: u8,
    ) {
        let frame = |hops| RelayFrame::Backend {
            reply: *reply,
            shard,
            hops,
        };
        if hops == 0 && !self.place.owns(shard) {
            return context.pass_to_thread(self.place.owner(shard), frame(0));
        }
        if self.try_handle_unknown(context, reply) {
            return;
        }
        let next = hops.saturating_add(1);
        if u16::from(next) < self.place.count {
            let thread = (self.place.index + 1) % self.place.count;
            return context.pass_to_thread(thread, frame(next));
        }
        reset(context, reply.flow);
    }

    /// Handles the reply if this thread knows why the datagram was sent to the server.
    /// Returns whether it did.
    fn try_handle_unknown<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) -> bool {
        let hash = Self::hasher(context.snapshot).hash(&reply.flow);
        if let BackendReplyKind::UnknownFlow {
            request: Some(request),
            attempt,
        } = reply.kind
            && self.handle_unknown_request(context, hash, reply, request, attempt)
        {
            return true;
        }
        self.handle_unknown_search(context, hash, reply)
            || self.handle_unknown_pin(context, hash, reply)
    }

    /// Handles the reply for a request, which did not run because its server does not hold
    /// the flow. Returns whether the request is known here.
    fn handle_unknown_request<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        hash: FlowHash,
        reply: &BackendReply<'_>,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> bool {
        let flow = reply.flow;
        let key = RequestKey { flow, id: request };
        let pending = self.searches.get(hash, &flow).map(|held| held.search);
        let search = pending.filter(|search| search.candidate.backend == reply.backend);
        let Some(record) = self.requests.get(hash, &key) else {
            return false;
        };
        let RequestState::Running(running) = &record.state else {
            // A copy of an earlier reply.
            return true;
        };
        if running.backend != reply.backend || running.attempt != attempt {
            return true;
        }
        let Some(search) = search else {
            self.end_flow(context, hash, reply);
            return true;
        };
        let backend = reply.backend;
        let state = self
            .requests
            .replace_state(hash, &key, RequestState::Moved { backend });
        self.ledgers.get_or_create(backend).finish(&key);
        self.start_next(context, backend);
        if let Some(RequestState::Running(running)) = state {
            let held = running.held;
            self.resume_search(context, flow, &held.payload, Some(held.header), search);
        }
        true
    }

    /// Ends a flow that its own server does not hold, or no longer holds.
    fn end_flow<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        hash: FlowHash,
        reply: &BackendReply<'_>,
    ) {
        self.end_flow_requests(context, reply.backend, &reply.flow);
        self.remove_pin(hash, &reply.flow);
        reset(context, reply.flow);
    }

    fn handle_unknown_search<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        hash: FlowHash,
        reply: &BackendReply<'_>,
    ) -> bool {
        let Some(pending) = self.searches.get_mut(hash, &reply.flow) else {
            return false;
        };
        if pending.refused.contains(reply.backend) {
            return true;
        }
        let search = pending.search;
        if search.candidate.backend != reply.backend {
            return false;
        }
        pending.refused.add(reply.backend);
        if let Some(payload) = pending.held.take() {
            self.resume_search(context, reply.flow, &payload, None, search);
        }
        true
    }

    /// Handles the reply for a pin, which is outdated. The flow has ended only if this
    /// thread is the home of the server.
    fn handle_unknown_pin<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        hash: FlowHash,
        reply: &BackendReply<'_>,
    ) -> bool {
        let Some(pin) = self.pins.get(hash, &reply.flow).copied() else {
            return false;
        };
        if pin.role == PinRole::Redirect {
            return false;
        }
        if pin.claim.backend != reply.backend {
            return true;
        }
        let authority = self.is_authority(context, &pin);
        if authority {
            self.end_flow(context, hash, reply);
        } else {
            self.remove_pin(hash, &reply.flow);
            self.note_refused(context, hash, reply.flow, pin.claim);
        }
        true
    }

    /// Remembers that a server's reply was handled, so that a duplicate made by the fabric
    /// does not end a flow that is on another server.
    fn note_refused<S: TrafficSink>(
        &mut self,
        context: &EventContext<'_, S>,
        hash: FlowHash,
        flow: FlowKey,
        claim: TokenClaim,
    ) {
        let mut refused = TriedServers::default();
        refused.add(claim.backend);
        let pending = PendingSearch {
            search: self.new_search(context.snapshot, claim),
            since: context.now,
            held: None,
            refused,
        };
        // If the table is full, a copy is handled as a new reply, and the caller opens its
        // flow again.
        drop(self.searches.insert(hash, flow, pending));
    }

    fn resume_search<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        flow: FlowKey,
        payload: &[u8],
        request: Option<RequestHeader>,
        search: FlowSearch,
    ) {
        let Some(service) = context.snapshot.service_of(flow.service) else {
            return reset(context, flow);
        };
        let mut datagram = searching::carry_datagram(flow, payload);
        datagram.request = request;
        let routed = RoutedDatagram {
            datagram: &datagram,
            service,
            hash: Self::hasher(context.snapshot).hash(&flow),
            relay: RelayContext {
                search: Some(search),
                ..RelayContext::from_fabric()
            },
        };
        self.ask_next_server(context, &routed, search);
    }

    /// Ends a search when the server that was asked answers: the flow belongs to it.
    pub(crate) fn confirm_search<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        hash: FlowHash,
        reply: &BackendReply<'_>,
    ) {
        let Some(pending) = self.searches.get(hash, &reply.flow) else {
            return;
        };
        let search = pending.search;
        if search.candidate.backend != reply.backend || pending.refused.contains(reply.backend) {
            return;
        }
        self.searches.remove(hash, &reply.flow);
        let pin = FlowPin {
            claim: search.candidate,
            shard: resolve::shard_of(context.snapshot, &search.candidate),
            role: PinRole::Placed,
            disputed: search.home_skipped,
            since: context.now,
            last_seen: context.now,
            counted: true,
            announced: ConfigurationVersion::ZERO,
            echoes_token: false,
        };
        if self.insert_pin(context, hash, reply.flow, pin) {
            self.ledgers.get_or_create(reply.backend).connections += 1;
        }
        self.send_learned(context, reply.flow, &search, search.candidate);
    }

    pub(crate) fn remove_pin(&mut self, hash: FlowHash, flow: &FlowKey) {
        if let Some(pin) = self.pins.remove(hash, flow) {
            self.uncount(&pin);
        }
    }

    pub(crate) fn sweep_searches(&mut self, now: Timestamp) {
        if self.searches.is_empty() {
            return;
        }
        self.searches
            .retain(|_, pending| now < pending.since.after(SEARCH_LIFETIME));
    }
}

fn reset<S: TrafficSink>(context: &mut EventContext<'_, S>, flow: FlowKey) {
    context.count(Counter::FlowUnknown);
    context.decide(
        DecisionReason::UnknownFlow,
        DecisionSubject {
            flow: Some(flow),
            ..DecisionSubject::default()
        },
    );
    let reason = ResetReason::UnknownFlow;
    context.reply(flow, CallerReplyKind::Reset { reason });
}
