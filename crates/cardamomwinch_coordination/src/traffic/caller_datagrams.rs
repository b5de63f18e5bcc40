//! The way of a caller's datagram: straight to its backend server, to the home
//! of its server, or on to a host that may act.

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

/// When a caller should try again where nothing better is known.
pub(crate) const RETRY_AFTER: time::Duration = time::Duration::from_millis(250);

/// A datagram that was relayed oftener has been handed on before: to the home is one
/// relay, or two where the first host that got it was behind.
const HANDED_ON_HOPS: u8 = 2;

/// How a datagram came here.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallerPassage {
    /// The server that the relaying host has decided on.
    pub(crate) decided: Option<TokenClaim>,
    /// How far the search for the server has come.
    pub(crate) search: Option<FlowSearch>,
    /// The shard that the relaying host takes this host to be the home of.
    pub(crate) shard: Option<ShardId>,
    /// How often the datagram was relayed.
    pub(crate) hops: u8,
}

impl CallerPassage {
    pub(crate) const fn from_fabric() -> Self {
        Self {
            decided: None,
            search: None,
            shard: None,
            hops: 0,
        }
    }
}

/// Where the home of a shard is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HomePlace {
    /// It is this thread.
    Here,
    /// It is another thread or host, which now has the datagram, or the
    /// datagram was dropped because the home changes this very moment.
    Passed,
    /// No home can be reached.
    Nowhere,
}

/// A datagram with what is known of its flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RoutedDatagram<'d, 's> {
    pub(crate) datagram: &'d CallerDatagram<'d>,
    pub(crate) service: &'s ServiceEntry,
    pub(crate) hash: FlowHash,
    pub(crate) passage: CallerPassage,
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

    /// Whether only the home of the server may handle the datagram: it changes
    /// what the home counts, or it carries a request.
    pub(crate) fn needs_home(&self) -> bool {
        self.datagram.kind != CallerKind::Carry || self.datagram.request.is_some()
    }
}

impl TrafficEngine {
    pub(crate) fn route<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        datagram: &CallerDatagram<'_>,
        passage: CallerPassage,
    ) {
        let snapshot = context.snapshot;
        if snapshot.phase == ServingPhase::Starting || !self.may_act(context.now, snapshot) {
            return Self::hand_on(context, datagram, passage);
        }
        let Some(service) = snapshot.service_of(datagram.flow.service) else {
            context.count(Counter::UnknownService);
            return Self::answer_unroutable(context, datagram, RefusalReason::UnknownService);
        };
        let routed = RoutedDatagram {
            datagram,
            service,
            hash: Self::hasher(snapshot).hash(&datagram.flow),
            passage,
        };
        match self.resolve(context, &routed) {
            FlowResolution::Known { claim, reason } => {
                self.route_known(context, &routed, claim, reason);
            }
            FlowResolution::Searched(search) => self.pursue(context, &routed, search),
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
        self.tell_origin(context, routed, claim);
        if routed.needs_home() {
            return self.bring_home(context, routed, claim);
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

    /// Brings the datagram of a flow whose server is known to the thread that
    /// is home of that server.
    fn bring_home<S: TrafficSink>(
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
            hops: routed.passage.hops.saturating_add(1),
        };
        match self.pass_to_home(context, routed, shard, frame) {
            HomePlace::Here => self.serve_at_home(context, routed, claim),
            HomePlace::Passed => {}
            HomePlace::Nowhere => Self::without_home(context, routed, Some(claim)),
        }
    }

    /// A peer of the shard's failure domain that may know its home. A host that
    /// has just been added is taken for the home by itself and by hosts of other
    /// domains before it holds the lease; its peers know who does. Each hop asks
    /// another one, and the limit of hops ends it where nobody is home.
    fn nearby_peer<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        shard: ShardId,
    ) -> Option<HostId> {
        let near = |host: &&HostId| {
            let entry = context.snapshot.hosts.get(**host);
            entry.is_some_and(|entry| entry.domain == shard.domain)
        };
        let helpers = &context.snapshot.helpers;
        let count = helpers.iter().filter(near).count();
        let turn = usize::from(routed.passage.hops).checked_rem(count)?;
        helpers.iter().filter(near).nth(turn).copied()
    }

    /// Passes `frame` to the thread, of this host or another, that is home of
    /// `shard`, unless that is this very thread.
    pub(crate) fn pass_to_home<S: TrafficSink>(
        &self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        shard: ShardId,
        frame: RelayFrame<'_>,
    ) -> HomePlace {
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
                return HomePlace::Passed;
            }
            if self.place.owns(shard) {
                return HomePlace::Here;
            }
            context.decide(DecisionReason::RelayedToThread, subject);
            context.pass_to_thread(self.place.owner(shard), frame);
            return HomePlace::Passed;
        }
        if self.has_come_back(context, routed, shard) {
            context.count(Counter::FrozenDropped);
            return HomePlace::Passed;
        }
        let home = context.snapshot.shard(shard).home;
        let other = home.filter(|host| *host != self.identity.host);
        let other = other.or_else(|| self.nearby_peer(context, routed, shard));
        let relayed = other
            .filter(|_| routed.passage.hops < HOP_LIMIT)
            .filter(|host| context.relay(*host, frame));
        let Some(host) = relayed else {
            // The lease comes within milliseconds, or the hosts learn who has it, and
            // the caller sends again: to say "outcome unknown" would end a request
            // that can still run. It shows as requests that end while a host is added:
            // it takes another host for the home, which takes it for the home.
            let hosts_differ = context.snapshot.hosts_are_new(context.now);
            if hosts_differ || self.frozen.is_changing_hands(shard, context.now) {
                context.count(Counter::FrozenDropped);
                return HomePlace::Passed;
            }
            return HomePlace::Nowhere;
        };
        subject.peer = Some(host);
        context.decide(DecisionReason::RelayedToHome, subject);
        HomePlace::Passed
    }

    /// Whether a datagram comes back from the host that the shard was handed over to.
    ///
    /// Guards against a datagram that goes to and fro: until the next home has its
    /// lease it takes this host, which has released the shard, for the home. It shows
    /// as a request whose hops are used up within milliseconds. The caller's next
    /// copy finds the lease. A datagram that a third host relayed here goes on once.
    fn has_come_back<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        shard: ShardId,
    ) -> bool {
        routed.passage.hops > 1 && self.frozen.was_handed_on(shard, context.now)
    }

    /// Nobody who may decide about the server can be reached. What needs no
    /// decision still goes through; a request is never answered as "not run",
    /// since a copy of it may have reached the home by another way.
    pub(crate) fn without_home<S: TrafficSink>(
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

    /// Passes a datagram to a peer that may act, because this host may not.
    ///
    /// Guards against a datagram that goes to and fro: a home that had no processor time
    /// for a moment hands it to a helper, which takes this host for the home. It showed as
    /// a request that was called unknown within two milliseconds, when its hops were used
    /// up. What comes back is left to the caller's next copy; by then this host may act.
    fn hand_on<S: TrafficSink>(
        context: &mut EventContext<'_, S>,
        datagram: &CallerDatagram<'_>,
        passage: CallerPassage,
    ) {
        let helpers = &context.snapshot.helpers;
        if passage.hops > HANDED_ON_HOPS || helpers.is_empty() {
            return context.count(Counter::Unconfirmed);
        }
        let pick = usize::from(datagram.flow.caller.port()) % helpers.len();
        let Some(shard) = passage.shard.or_else(|| context.snapshot.any_shard()) else {
            return context.count(Counter::Unconfirmed);
        };
        let frame = RelayFrame::Caller {
            datagram: *datagram,
            decided: passage.decided,
            search: passage.search,
            shard,
            hops: passage.hops.saturating_add(1),
        };
        let subject = DecisionSubject {
            flow: Some(datagram.flow),
            request: datagram.request.map(|header| header.id),
            peer: Some(helpers[pick]),
            ..DecisionSubject::default()
        };
        context.decide(DecisionReason::RelayedUnconfirmed, subject);
        context.relay(helpers[pick], frame);
    }

    /// Answers a datagram that cannot be brought to any home. No home has been
    /// asked, so of a request only the home's silence is known.
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

/// Sends a datagram that carries no request to the server of `claim`.
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
