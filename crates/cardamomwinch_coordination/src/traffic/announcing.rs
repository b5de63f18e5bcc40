//! Announces flows without a token whose server is not the one that the newest lookup
//! table selects. The announcement goes to the home of the server that the table does
//! select.
//!
//! Hosts that started after a change know only the newest lookup table. Without the
//! announcement, no host could find a flow that was placed by an earlier table once all
//! hosts that knew that table are replaced.

use cardamomwinch_protocol::prelude::{RelayFrame, TokenClaim};
use cardamomwinch_state::prelude::{ConfigurationVersion, FlowKey, ShardId};

use crate::traffic::TrafficEngine;
use crate::traffic::context::EventContext;
use crate::traffic::effect::TrafficSink;
use crate::traffic::pins::{FlowPin, PinRole};

/// Whether the lookup table of `version` may select another home than the one that holds
/// `pin`, and the flow has not been announced for that version.
pub(crate) fn needs_announcement(pin: &FlowPin, version: ConfigurationVersion) -> bool {
    pin.role == PinRole::Placed && !pin.echoes_token && pin.announced != version
}

impl TrafficEngine {
    /// Announces a flow to the home of the server that the newest table selects, if that
    /// is another home.
    pub(crate) fn announce<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        flow: FlowKey,
        claim: TokenClaim,
    ) {
        let snapshot = context.snapshot;
        if !context.may_act || !self.is_home_of(context, &claim) {
            return;
        }
        let Some(service) = snapshot.service_of(flow.service) else {
            return;
        };
        let hash = Self::hasher(snapshot).hash(&flow);
        let tables = snapshot.generations.first();
        let picked = tables.and_then(|tables| tables.select(service.id, hash));
        let picked = picked.filter(|picked| *picked != claim.backend);
        let Some(entry) = picked.and_then(|picked| snapshot.backend(picked)) else {
            return;
        };
        let shard = snapshot.shard_of(entry);
        let frame = RelayFrame::Announced { flow, claim, shard };
        match snapshot.shard(shard).home {
            Some(home) if home != self.identity.host => _ = context.relay(home, frame),
            Some(_) if !self.place.owns(shard) => {
                context.pass_to_thread(self.place.owner(shard), frame);
            }
            _ => {}
        }
    }

    /// Handles an announcement by the home of a flow's server.
    pub(crate) fn handle_announced<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        flow: FlowKey,
        claim: TokenClaim,
        shard: ShardId,
    ) {
        if !self.place.owns(shard) {
            let frame = RelayFrame::Announced { flow, claim, shard };
            return context.pass_to_thread(self.place.owner(shard), frame);
        }
        if context.snapshot.lease_at(shard, context.now).is_none() || self.pins_nearly_full() {
            return;
        }
        let hash = Self::hasher(context.snapshot).hash(&flow);
        if let Some(pin) = self.pins.get(hash, &flow)
            && self.is_authority(context, pin)
        {
            return;
        }
        let pin = FlowPin {
            claim,
            shard,
            role: PinRole::Redirect,
            disputed: false,
            since: context.now,
            last_seen: context.now,
            counted: false,
            announced: context.snapshot.version(),
            echoes_token: false,
        };
        self.insert_pin(context, hash, flow, pin);
    }
}
