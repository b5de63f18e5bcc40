//! Routes a caller's datagram: directly to its backend server, to the home of that server,
//! or to a host that may act on its snapshot.

use std::time;

use cardamomwinch_protocol::prelude::{
    BackendKind, CallerDatagram, CallerKind, CallerReplyKind, FlowSearch, RefusalReason,
    RelayFrame, ResetReason, TokenClaim,
};
use cardamomwinch_state::prelude::{FlowHash, HostId, ServiceEntry, ShardId};

use crate::counter::Counter;
use crate::decision::DecisionReason;
use crate::snapshot::ServingPhase;
use crate::traffic::context::{BackendMessage, DecisionSubject, EventContext};
use crate::traffic::effect::TrafficSink;
use crate::traffic::resolve::{self, FlowResolution};
use crate::traffic::{HOP_LIMIT, TrafficEngine};

/// When a caller should try again if no better estimate exists.
pub(crate) const RETRY_AFTER: time::Duration = time::Duration::from_millis(250);

/// A datagram with more hops has already been relayed to a relay peer: reaching the home
/// takes one relay, or two if the first host had an outdated configuration.
const RELAY_PEER_HOP_LIMIT: u8 = 2;

/// How a datagram reached this thread.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RelayContext {
    /// The server that the relaying host has chosen.
    pub(crate) decided: Option<TokenClaim>,
    /// The progress of the search for the server.
    pub(crate) search: Option<FlowSearch>,
    /// The shard whose home the relaying host assumes this host to be.
    pub(crate) shard: Option<ShardId>,
    /// The number of relays so far.
    pub(crate) hops: u8,
}

impl RelayContext {
    pub(crate) const fn from_fabric() -> Self {
        Self {
            decided: None,
            search: None,
            shard: None,
            hops: 0,
        }
    }
}

/// How a datagram reaches the home of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HomeRoute {
    /// This thread is the home.
    Here,
    /// The datagram was sent to the thread or host that is the home, or dropped because
    /// the home is changing at this moment.
    Handled,
    /// No home is reachable.
    Unreachable,
}

/// A datagram with what is known of its flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RoutedDatagram<'d, 's> {
    pub(crate) datagram: &'d CallerDatagram<'d>,
    pub(crate) service: &'s ServiceEntry,
    pub(crate) hash: FlowHash,
    pub(crate) relay: RelayContext,
}

impl RoutedDatagram<'_, '_> {
    pub(crate) fn subject(&self) -> DecisionSubject {
        DecisionSubject {
            flow: Some(self.datagram.flow),
            request: self.datagram.request.map(|header| header.id),
            service: Some(self.service.id),
            ..DecisionSubject::default()
        }
    }

    /// Whether only the home of the server may handle the datagram, because it changes the
    /// home's counts or carries a request.
    pub(crate) fn needs_home(&self) -> bool {
        self.datagram.kind != CallerKind::Carry || self.datagram.request.is_some()
    }
}

impl TrafficEngine {
    pub(crate) fn route<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        datagram: &CallerDatagram<'_>,
        relay: RelayContext,
    ) {
        let snapshot = context.snapshot;
        if snapshot.phase == ServingPhase::Starting || !self.may_act(context.now, snapshot) {
            return Self::relay_to_peer(context, datagram, relay);
        }
        let Some(service) = snapshot.service_of(datagram.flow.service) else {
            context.count(Counter::UnknownService);
            return Self::answer_unroutable(context, datagram, RefusalReason::UnknownService);
        };
        let routed = RoutedDatagram {
            datagram,
            service,
            hash: Self::hasher(snapshot).hash(&datagram.flow),
            relay,
        };
        match self.resolve(context, &routed) {
            FlowResolution::Known { claim, reason } => {
                self.route_known(context, &routed, claim, reason);
            }
            FlowResolution::Searched(search) => self.continue_search(context, &routed, search),
            FlowResolution::Reassigned => {
                context.decide(DecisionReason::ReassignedAddress, routed.subject());
                let reason = ResetReason::BackendGone;
                context.reply(datagram.flow, CallerReplyKind::Reset { reason });
            }
            FlowResolution::NoBackend => {
                Self::answer_unroutable(context, datagram, RefusalReason::NoBackend);
            }
        }
    }

    fn route_known<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
        reason: DecisionReason,
    ) {
        self.notify_origin(context, routed, claim);
        if routed.needs_home() {
            return self.route_to_home(context, routed, claim);
        }
        let subject = DecisionSubject {
            backend: Some(claim.backend),
            ..routed.subject()
        };
        context.decide(reason, subject);
        forward(context, routed.datagram, &claim, BackendKind::Carry);
        if let Some(pin) = self.pins.get_mut(routed.hash, &routed.datagram.flow) {
            pin.last_seen = context.now;
        }
    }

    /// Sends the datagram of a flow whose server is known to the thread that is the home
    /// of that server.
    fn route_to_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
    ) {
        let shard = resolve::shard_of(context.snapshot, &claim);
        let frame = RelayFrame::Caller {
            datagram: *routed.datagram,
            decided: Some(claim),
            search: None,
            shard,
            hops: routed.relay.hops.saturating_add(1),
        };
        match self.pass_to_home(context, routed, shard, frame) {
            HomeRoute::Here => self.serve_at_home(context, routed, claim),
            HomeRoute::Handled => {}
            HomeRoute::Unreachable => Self::answer_without_home(context, routed, Some(claim)),
        }
    }

    /// A peer in the shard's failure domain that may know the home. A host that was just
    /// added considers itself the home before it holds the lease, and so do hosts of other
    /// domains; its peers know who holds the lease. Each hop tries another peer, and the
    /// hop limit ends the search if there is no home.
    fn domain_peer<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        shard: ShardId,
    ) -> Option<HostId> {
        let in_domain = |host: &&HostId| {
            let entry = context.snapshot.hosts.get(**host);
            entry.is_some_and(|entry| entry.domain == shard.domain)
        };
        let relay_peers = &context.snapshot.relay_peers;
        let count = relay_peers.iter().filter(in_domain).count();
        let index = usize::from(routed.relay.hops).checked_rem(count)?;
        relay_peers.iter().filter(in_domain).nth(index).copied()
    }

    /// Passes `frame` to the thread, of this host or another, that is the home of `shard`,
    /// unless this thread is the home itself.
    pub(crate) fn pass_to_home<S: TrafficSink>(
        &self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        shard: ShardId,
        frame: RelayFrame<'_>,
    ) -> HomeRoute {
        let mut subject = DecisionSubject {
            shard: Some(shard),
            ..routed.subject()
        };
        if let RelayFrame::Caller { decided, .. } = &frame {
            subject.backend = decided.map(|claim| claim.backend);
        }
        if context.snapshot.lease_at(shard, context.now).is_some() {
            if self.frozen.is_frozen(shard, context.now) {
                context.count(Counter::FrozenDropped);
                return HomeRoute::Handled;
            }
            if self.place.owns(shard) {
                return HomeRoute::Here;
            }
            context.decide(DecisionReason::RelayedToThread, subject);
            context.pass_to_thread(self.place.owner(shard), frame);
            return HomeRoute::Handled;
        }
        if self.returned_from_next_home(context, routed, shard) {
            context.count(Counter::FrozenDropped);
            return HomeRoute::Handled;
        }
        let home = context.snapshot.shard(shard).home;
        let other = home.filter(|host| *host != self.identity.host);
        let other = other.or_else(|| self.domain_peer(context, routed, shard));
        let relayed = other
            .filter(|_| routed.relay.hops < HOP_LIMIT)
            .filter(|host| context.relay(*host, frame));
        let Some(host) = relayed else {
            // The lease arrives within milliseconds, or the hosts learn who holds it, and
            // the caller sends again. Replying "outcome unknown" would end a request that
            // can still run. This happens while a host is added: it and another host each
            // consider the other the home.
            let hosts_differ = context.snapshot.hosts_are_new(context.now);
            if hosts_differ || self.frozen.is_moving(shard, context.now) {
                context.count(Counter::FrozenDropped);
                return HomeRoute::Handled;
            }
            return HomeRoute::Unreachable;
        };
        subject.peer = Some(host);
        context.decide(DecisionReason::RelayedToHome, subject);
        HomeRoute::Handled
    }

    /// Whether a datagram comes back from the host to which the shard was handed over.
    ///
    /// Prevents a datagram from being relayed back and forth until its hops are used up,
    /// which takes only milliseconds: the next home considers this host the home until it
    /// has the lease, so it relays the datagram back. By the time of the caller's next
    /// copy it has the lease. A datagram that a third host relayed here is relayed once
    /// more.
    fn returned_from_next_home<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        shard: ShardId,
    ) -> bool {
        routed.relay.hops > 1 && self.frozen.was_released(shard, context.now)
    }

    /// Handles a datagram if no home of its server is reachable. A closing is still sent to
    /// its server if that is known. A request is never answered with "not run", because a
    /// copy of it may have reached the home on another path.
    pub(crate) fn answer_without_home<S: TrafficSink>(
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        known: Option<TokenClaim>,
    ) {
        let datagram = routed.datagram;
        let retry_after = context.snapshot.configuration.limits.home_lease;
        match (datagram.request, known) {
            (Some(request), _) => {
                context.outcome_unknown(datagram.flow, request.id, retry_after);
            }
            (None, Some(claim)) if datagram.kind == CallerKind::Close => {
                forward(context, datagram, &claim, BackendKind::Close);
            }
            (None, _) => {
                let reason = RefusalReason::HomeUnreachable;
                context.refuse(datagram.flow, None, reason, retry_after);
            }
        }
    }

    /// Relays a datagram to a peer that may act on its snapshot, because this host may
    /// not.
    ///
    /// A datagram that comes back is dropped, so that it is not relayed back and forth: a
    /// home that had no processor time for a short time relays it to a peer, which
    /// considers this host the home. Its hops would be used up, and its request answered
    /// with "outcome unknown", within two milliseconds. By the time of the caller's next
    /// copy this host may act again.
    fn relay_to_peer<S: TrafficSink>(
        context: &mut EventContext<'_, S>,
        datagram: &CallerDatagram<'_>,
        relay: RelayContext,
    ) {
        let relay_peers = &context.snapshot.relay_peers;
        if relay.hops > RELAY_PEER_HOP_LIMIT || relay_peers.is_empty() {
            return context.count(Counter::Unconfirmed);
        }
        let pick = usize::from(datagram.flow.caller.port()) % relay_peers.len();
        let Some(shard) = relay.shard.or_else(|| context.snapshot.any_shard()) else {
            return context.count(Counter::Unconfirmed);
        };
        let frame = RelayFrame::Caller {
            datagram: *datagram,
            decided: relay.decided,
            search: relay.search,
            shard,
            hops: relay.hops.saturating_add(1),
        };
        let subject = DecisionSubject {
            flow: Some(datagram.flow),
            request: datagram.request.map(|header| header.id),
            peer: Some(relay_peers[pick]),
            ..DecisionSubject::default()
        };
        context.decide(DecisionReason::RelayedUnconfirmed, subject);
        context.relay(relay_peers[pick], frame);
    }

    /// Answers a datagram that cannot be sent to any home. A request gets "outcome
    /// unknown", because no home was asked about it.
    fn answer_unroutable<S: TrafficSink>(
        context: &mut EventContext<'_, S>,
        datagram: &CallerDatagram<'_>,
        reason: RefusalReason,
    ) {
        match (datagram.request, datagram.kind) {
            (Some(request), _) => {
                context.outcome_unknown(datagram.flow, request.id, RETRY_AFTER);
            }
            (None, CallerKind::Open) => {
                context.refuse(datagram.flow, None, reason, RETRY_AFTER);
            }
            (None, _) => {
                context.count(Counter::FlowUnknown);
                let reason = ResetReason::UnknownFlow;
                context.reply(datagram.flow, CallerReplyKind::Reset { reason });
            }
        }
    }
}

/// Sends a datagram without a request to the server of `claim`.
pub(crate) fn forward<S: TrafficSink>(
    context: &mut EventContext<'_, S>,
    datagram: &CallerDatagram<'_>,
    claim: &TokenClaim,
    kind: BackendKind,
) {
    let message = BackendMessage {
        kind,
        request: None,
        payload: datagram.payload,
    };
    if !context.send_to_backend(claim, datagram.flow, message) {
        let reason = ResetReason::BackendGone;
        context.reply(datagram.flow, CallerReplyKind::Reset { reason });
    }
}
