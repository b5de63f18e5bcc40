//! Finds the backend server that a datagram's flow belongs to.

use cardamomwinch_protocol::prelude::{CallerDatagram, TokenClaim};
use cardamomwinch_state::prelude::{FlowHash, ServiceEntry, ServiceId, ShardId};

use crate::counter::Counter;
use crate::decision::DecisionReason;
use crate::snapshot::RoutingSnapshot;
use crate::traffic::TrafficEngine;
use crate::traffic::context::EventContext;
use crate::traffic::effect::TrafficSink;

/// What is known about the server of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FlowResolution {
    /// The flow belongs to this server.
    Known {
        claim: TokenClaim,
        reason: DecisionReason,
    },
    /// The home of this server decides; the flow is not known here.
    Candidate { claim: TokenClaim },
    /// The flow's server has an address that now belongs to another service.
    Reassigned,
    /// No server of the service takes new flows.
    NoBackend,
}

impl TrafficEngine {
    pub(crate) fn resolve<S: TrafficSink>(
        &self,
        context: &mut EventContext<'_, S>,
        hash: FlowHash,
        datagram: &CallerDatagram<'_>,
        service: &ServiceEntry,
    ) -> FlowResolution {
        if let Some(claim) = self.claim_of_token(context, datagram) {
            return guard(context, service.id, claim, DecisionReason::Token);
        }
        if let Some(pin) = self.pins.get(hash, &datagram.flow) {
            return guard(context, service.id, pin.claim, DecisionReason::Pin);
        }
        let snapshot = context.snapshot;
        let newest = snapshot.generations.first();
        let selected = newest.and_then(|tables| tables.select(service.id, hash));
        match selected.and_then(|id| snapshot.backend(id)) {
            Some(entry) => FlowResolution::Candidate {
                claim: TokenClaim::from(entry),
            },
            None => FlowResolution::NoBackend,
        }
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

/// Guards against a server's address having moved to another service: a packet
/// of the old service would reach the new one. The address table of the version
/// in force tells, and wins over every token and pin.
fn guard<S: TrafficSink>(
    context: &mut EventContext<'_, S>,
    service: ServiceId,
    claim: TokenClaim,
    reason: DecisionReason,
) -> FlowResolution {
    if address_serves(context.snapshot, service, &claim) {
        return FlowResolution::Known { claim, reason };
    }
    context.count(Counter::ReassignedAddress);
    FlowResolution::Reassigned
}

pub(crate) fn address_serves(
    snapshot: &RoutingSnapshot,
    service: ServiceId,
    claim: &TokenClaim,
) -> bool {
    let owner = snapshot.server_addresses.get(&claim.address);
    owner.is_none_or(|owner| *owner == service)
}

/// The shard that the server of `claim` belongs to.
pub(crate) fn shard_of(snapshot: &RoutingSnapshot, claim: &TokenClaim) -> ShardId {
    let count = snapshot.configuration.limits.shards_per_domain;
    ShardId::of_backend(claim.domain, claim.backend, count)
}
