//! Finds the backend server to which a datagram's flow belongs.

use cardamomwinch_protocol::prelude::{
    CallerDatagram, CallerKind, FlowSearch, SearchStage, TokenClaim, TriedServers,
};
use cardamomwinch_state::prelude::{BackendId, ShardId};

use crate::counter::Counter;
use crate::decision::DecisionReason;
use crate::routing::candidates::CandidateList;
use crate::snapshot::RoutingSnapshot;
use crate::traffic::TrafficEngine;
use crate::traffic::caller_datagrams::RoutedDatagram;
use crate::traffic::context::EventContext;
use crate::traffic::effect::TrafficSink;
use crate::traffic::pins::{FlowPin, PinRole};

/// What is known about the server of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FlowResolution {
    /// The flow belongs to this server.
    Known {
        claim: TokenClaim,
        reason: DecisionReason,
    },
    /// The flow is not known here; the homes of its candidates have to be asked.
    Searched(FlowSearch),
    /// The flow's server has an address that now belongs to another service.
    Reassigned,
    /// No server of the service accepts new flows.
    NoBackend,
}

impl TrafficEngine {
    pub(crate) fn resolve<S: TrafficSink>(
        &self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
    ) -> FlowResolution {
        let datagram = routed.datagram;
        if let Some(claim) = self.claim_of_token(context, datagram) {
            return check_address(context, routed, claim, DecisionReason::Token);
        }
        let pin = self.pins.get(routed.hash, &datagram.flow);
        if let Some(pin) = pin.filter(|pin| self.is_conclusive(context, datagram.kind, pin)) {
            if routed.needs_home() && !self.is_authority(context, pin) {
                // A learned pin may be outdated; its server is the first candidate of the
                // search.
                let search = routed.relay.search;
                let search = search.unwrap_or_else(|| self.new_search(context.snapshot, pin.claim));
                return FlowResolution::Searched(search);
            }
            return check_address(context, routed, pin.claim, DecisionReason::Pin);
        }
        if let Some(claim) = routed.relay.decided {
            return check_address(context, routed, claim, DecisionReason::RelayedDecision);
        }
        if let Some(search) = routed.relay.search {
            return FlowResolution::Searched(search);
        }
        let snapshot = context.snapshot;
        let first = candidates(snapshot, datagram.kind, routed).iter().next();
        match first.and_then(|id| snapshot.backend(id)) {
            Some(entry) => {
                context.count(Counter::SearchStarted);
                FlowResolution::Searched(self.new_search(snapshot, TokenClaim::from(entry)))
            }
            None => FlowResolution::NoBackend,
        }
    }

    pub(crate) fn new_search(
        &self,
        snapshot: &RoutingSnapshot,
        candidate: TokenClaim,
    ) -> FlowSearch {
        FlowSearch {
            origin: self.identity.host,
            thread: self.place.index,
            stage: SearchStage::Homes,
            candidate,
            tried: TriedServers::default(),
            home_skipped: false,
            history_missing: snapshot.history_missing,
        }
    }

    /// Whether `pin` determines the server of a flow. A pin that was only learned, or was
    /// placed by this thread as an earlier home, may be outdated. This is harmless for
    /// data of an open flow, because a server that does not hold the flow replies that it
    /// does not. An opening, however, would be placed on a server where no other host
    /// looks for the flow.
    fn is_conclusive<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        kind: CallerKind,
        pin: &FlowPin,
    ) -> bool {
        match kind {
            CallerKind::Open => self.is_authority(context, pin),
            CallerKind::Carry | CallerKind::Close => {
                pin.role != PinRole::Redirect || self.is_authority(context, pin)
            }
        }
    }

    /// Whether this thread, as home of the server, has the authoritative pin of a flow. It
    /// may also have become the home of a server to which it had redirected the flow.
    pub(crate) fn is_authority<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        pin: &FlowPin,
    ) -> bool {
        pin.role != PinRole::Learned && self.is_home_of(context, &pin.claim)
    }

    /// Whether this thread is the home of the server of `claim`.
    pub(crate) fn is_home_of<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        claim: &TokenClaim,
    ) -> bool {
        let shard = shard_of(context.snapshot, claim);
        self.place.owns(shard)
            && context.snapshot.lease_at(shard, context.now).is_some()
            && !self.frozen.is_frozen(shard, context.now)
    }

    fn claim_of_token<S: TrafficSink>(
        &self,
        context: &mut EventContext<'_, S>,
        datagram: &CallerDatagram<'_>,
    ) -> Option<TokenClaim> {
        let token = datagram.token.as_ref()?;
        let claim = self.tokens.verify(&datagram.flow, token);
        if claim.is_none() {
            context.count(Counter::ForgedToken);
        }
        claim
    }
}

/// The candidate servers of a flow: for an opening those on which some host may place it
/// now, otherwise all on which it may have been placed.
pub(crate) fn candidates(
    snapshot: &RoutingSnapshot,
    kind: CallerKind,
    routed: &RoutedDatagram<'_, '_>,
) -> CandidateList {
    match kind {
        CallerKind::Open => snapshot.opening_candidates(routed.service.id, routed.hash),
        CallerKind::Carry | CallerKind::Close => {
            snapshot.candidates(routed.service.id, routed.hash)
        }
    }
}

/// The next server that a search has to ask, if there is one.
pub(crate) fn next_candidate(
    snapshot: &RoutingSnapshot,
    kind: CallerKind,
    routed: &RoutedDatagram<'_, '_>,
    search: &FlowSearch,
) -> Option<TokenClaim> {
    let list = candidates(snapshot, kind, routed);
    let known = |id: BackendId| snapshot.backend(id).map(TokenClaim::from);
    list.next_after(search.candidate.backend, &search.tried)
        .and_then(known)
}

fn check_address<S: TrafficSink>(
    context: &mut EventContext<'_, S>,
    routed: &RoutedDatagram<'_, '_>,
    claim: TokenClaim,
    reason: DecisionReason,
) -> FlowResolution {
    if context.may_send(routed.datagram.flow.service, &claim) {
        return FlowResolution::Known { claim, reason };
    }
    context.count(Counter::ReassignedAddress);
    FlowResolution::Reassigned
}

/// The shard that the server of `claim` belongs to.
pub(crate) fn shard_of(snapshot: &RoutingSnapshot, claim: &TokenClaim) -> ShardId {
    let count = snapshot.configuration.limits.shards_per_domain;
    ShardId::of_backend(claim.domain, claim.backend, count)
}
