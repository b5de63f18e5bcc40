//! What the home of a backend server does with openings, closings and datagrams
//! of flows that nobody knows.

use cardamomwinch_protocol::prelude::{
    BackendKind, CallerKind, CallerReplyKind, RefusalReason, ResetReason, TokenClaim,
};
use cardamomwinch_state::prelude::{BackendEntry, BackendId};

use crate::counter::Counter;
use crate::decision::DecisionReason;
use crate::traffic::TrafficEngine;
use crate::traffic::caller_datagrams::{self, RoutedDatagram};
use crate::traffic::context::{DecisionSubject, EventContext};
use crate::traffic::effect::TrafficSink;
use crate::traffic::pins::FlowPin;
use crate::traffic::resolve;

impl TrafficEngine {
    /// Handles a datagram at the home of the server of `claim`. `decided` is
    /// set where the flow is known to belong to that server.
    pub(crate) fn serve_at_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
        decided: Option<BackendId>,
    ) {
        match routed.datagram.kind {
            CallerKind::Open => self.open_at_home(context, routed, claim, decided),
            CallerKind::Carry => self.carry_at_home(context, routed, claim, decided),
            CallerKind::Close => self.close_at_home(context, routed, claim),
        }
    }

    fn open_at_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
        decided: Option<BackendId>,
    ) {
        let placed = match decided {
            Some(_) => Some((claim, DecisionReason::RelayedDecision)),
            None => self.place(context, routed, claim),
        };
        let shard = resolve::shard_of(context.snapshot, &claim);
        let Some((claim, reason)) = placed else {
            return self.refuse_request(context, routed, shard, RefusalReason::Full);
        };
        if !self.pin(context, routed, claim) {
            return self.refuse_request(context, routed, shard, RefusalReason::TableFull);
        }
        let subject = DecisionSubject {
            backend: Some(claim.backend),
            ..routed.subject()
        };
        context.decide(reason, subject);
        let token = self.tokens.issue(&routed.datagram.flow, claim);
        context.reply(routed.datagram.flow, CallerReplyKind::Opened { token });
        match routed.datagram.request {
            Some(request) => {
                self.serve_request(context, routed, claim, request);
                self.open_without_request(context, routed, &claim, request.id);
            }
            None => caller_datagrams::forward(context, routed.datagram, &claim, BackendKind::Open),
        }
    }

    fn carry_at_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
        decided: Option<BackendId>,
    ) {
        if decided.is_none() {
            // Neither token nor pin: the table that every host derives alike is
            // all there is. The server says whether it knows the flow.
            context.decide(DecisionReason::PlacedByTable, routed.subject());
        }
        match routed.datagram.request {
            Some(request) => self.serve_request(context, routed, claim, request),
            None => caller_datagrams::forward(context, routed.datagram, &claim, BackendKind::Carry),
        }
    }

    fn close_at_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
    ) {
        if let Some(pin) = self.pins.remove(routed.hash, &routed.datagram.flow) {
            self.uncount(&pin);
        } else {
            self.uncount_unpinned(&claim);
        }
        caller_datagrams::forward(context, routed.datagram, &claim, BackendKind::Close);
    }

    pub(crate) fn uncount(&mut self, pin: &FlowPin) {
        if pin.counted {
            let ledger = self.ledgers.of(pin.claim.backend);
            ledger.connections = ledger.connections.saturating_sub(1);
        }
    }

    /// Counts the closing of a flow whose pin was not handed over.
    fn uncount_unpinned(&mut self, claim: &TokenClaim) {
        let ledger = self.ledgers.of(claim.backend);
        if ledger.unpinned > 0 {
            ledger.unpinned -= 1;
            ledger.connections = ledger.connections.saturating_sub(1);
        }
    }

    /// Chooses the server of a new flow among those that this thread is home
    /// of. A caller that echoes its token may be placed by load; any other gets
    /// the server of the lookup table wherever that one has room, because the
    /// table is what other hosts go by once this pin is lost.
    fn place<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        preferred: TokenClaim,
    ) -> Option<(TokenClaim, DecisionReason)> {
        let first = context.snapshot.backend(preferred.backend);
        let first = first.filter(|entry| self.has_room(context, entry));
        if let Some(entry) = first {
            let idle = self.load_of(context, entry) == 0;
            if idle || !routed.datagram.echoes_token {
                return Some((TokenClaim::from(entry), DecisionReason::PlacedByTable));
            }
        }
        let best = self.least_loaded(context, routed)?;
        let reason = match best.id == preferred.backend {
            true => DecisionReason::PlacedByTable,
            false => DecisionReason::PlacedByLoad,
        };
        Some((TokenClaim::from(best), reason))
    }

    fn least_loaded<'c, S: TrafficSink>(
        &self,
        context: &EventContext<'c, S>,
        routed: &RoutedDatagram<'_, '_>,
    ) -> Option<&'c BackendEntry> {
        let snapshot = context.snapshot;
        let tables = snapshot.generations.first()?;
        let table = tables.of_service(routed.service.id)?;
        table
            .servers()
            .iter()
            .filter_map(|id| snapshot.backend(*id))
            .filter(|entry| self.is_home_of(context, entry))
            .filter(|entry| self.has_room(context, entry))
            .min_by_key(|entry| {
                let load = self.load_of(context, entry);
                (load, routed.hash.mixed_with(entry.id.get()))
            })
    }

    pub(crate) fn is_home_of<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        entry: &BackendEntry,
    ) -> bool {
        let shard = context.snapshot.shard_of(entry);
        self.place.owns(shard)
            && context.snapshot.lease_at(shard, context.now).is_some()
            && !self.frozen.is_frozen(shard, context.now)
    }

    fn has_room<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        entry: &BackendEntry,
    ) -> bool {
        let ledger = self.ledgers.get(entry.id);
        let free = ledger.is_none_or(|ledger| ledger.has_free_connection(entry));
        free && !context.snapshot.is_ejected(entry.id)
    }

    fn load_of<S: TrafficSink>(&self, context: &EventContext<'_, S>, entry: &BackendEntry) -> u64 {
        let view = context.snapshot.view(entry.id);
        let ledger = self.ledgers.get(entry.id);
        ledger.map_or(0, |ledger| ledger.load(context.now, entry, view))
    }

    /// Pins a flow to its server; `false` where no more flows can be held.
    fn pin<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
    ) -> bool {
        let flow = routed.datagram.flow;
        if let Some(pin) = self.pins.get_mut(routed.hash, &flow) {
            pin.last_seen = context.now;
            return true;
        }
        let pin = FlowPin {
            claim,
            since: context.now,
            last_seen: context.now,
            counted: true,
            echoes_token: routed.datagram.echoes_token,
        };
        if self.pins.insert(routed.hash, flow, pin).is_err() {
            context.count(Counter::TableFull);
            return false;
        }
        context.count(Counter::FlowOpened);
        self.ledgers.of(claim.backend).connections += 1;
        true
    }

    /// Takes a server's word that it does not hold a flow.
    pub(crate) fn forget_flow<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        flow: cardamomwinch_state::prelude::FlowKey,
        reason: ResetReason,
    ) {
        let hash = Self::hasher(context.snapshot).hash(&flow);
        if let Some(pin) = self.pins.remove(hash, &flow) {
            self.uncount(&pin);
        }
        context.count(Counter::FlowUnknown);
        context.decide(
            DecisionReason::UnknownFlow,
            DecisionSubject {
                flow: Some(flow),
                ..DecisionSubject::default()
            },
        );
        context.reply(flow, CallerReplyKind::Reset { reason });
    }

    /// Whether the server of `claim` may be given something at all.
    pub(crate) fn may_reach<S: TrafficSink>(
        context: &EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: &TokenClaim,
    ) -> bool {
        resolve::address_serves(context.snapshot, routed.service.id, claim)
    }
}
