//! Handles openings, closings and other datagrams of flows at the home of their backend
//! server.

use cardamomwinch_protocol::prelude::{
    BackendKind, CallerDatagram, CallerKind, FlowSearch, RefusalReason, TokenClaim,
};
use cardamomwinch_state::prelude::{
    BackendEntry, BackendId, ConfigurationVersion, FlowHash, FlowKey, HostId,
};

use crate::counter::Counter;
use crate::decision::DecisionReason;
use crate::routing::placement::PlacementOption;
use crate::traffic::TrafficEngine;
use crate::traffic::caller_datagrams::{self, RETRY_AFTER, RoutedDatagram};
use crate::traffic::context::{DecisionSubject, EventContext};
use crate::traffic::effect::TrafficSink;
use crate::traffic::pins::{FlowPin, PinRole};
use crate::traffic::resolve;
use crate::traffic::serving::ServerKnowledge;

/// Positions of the lookup table that are tried if the flow's own server is not available.
const PROBE_LIMIT: u64 = 16;
/// If probing failed, all servers of a service are checked if there are at most this many.
const SCAN_LIMIT: usize = 256;

impl TrafficEngine {
    /// Handles a datagram at the home of the server of `claim`, to which its flow is known
    /// to belong.
    pub(crate) fn serve_at_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
    ) {
        match routed.datagram.kind {
            CallerKind::Open => {
                let disputed = self.is_disputed(routed);
                self.open_at(
                    context,
                    routed,
                    claim,
                    DecisionReason::RelayedDecision,
                    disputed,
                );
            }
            CallerKind::Carry => self.carry_at_home(context, routed, claim),
            CallerKind::Close => self.close_at_home(context, routed, claim),
        }
    }

    /// Decides at one home after another where an opening goes.
    ///
    /// Guards against a second run of the request in an opening: copies of it may reach
    /// hosts with different versions in force, whose lookup tables select different
    /// servers with different homes. All hosts ask the home of the oldest generation's
    /// candidate first, and each home that relays the opening keeps a redirect. So every
    /// copy takes the same path, and the home at its end recognises the copies.
    pub(crate) fn search_opening<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        mut search: FlowSearch,
    ) {
        if self.resend_remembered(context, routed) {
            // A copy whose flow is closed has no pin left that keeps it here.
            return;
        }
        let snapshot = context.snapshot;
        let list = snapshot.opening_candidates(routed.service.id, routed.hash);
        // The sender started recently and knows no older generation, or this home has an
        // outdated configuration and does not know the newer candidate: the search starts
        // again with the first candidate. A home that itself started recently does not
        // know the older candidate that it is asked about, and continues the search in the
        // given order.
        let known = list.contains(search.candidate.backend);
        let out_of_order = search.tried.is_empty() && (known || !snapshot.history_missing);
        let first = list.iter().next().filter(|_| out_of_order);
        let first = first.filter(|first| *first != search.candidate.backend);
        if let Some(first) = first.and_then(|id| snapshot.backend(id)) {
            search.candidate = TokenClaim::from(first);
            return self.continue_search(context, routed, search);
        }
        search.history_missing &= snapshot.history_missing;
        let Some(next) = resolve::next_candidate(snapshot, CallerKind::Open, routed, &search)
        else {
            return self.place_opening(context, routed, search);
        };
        let request = routed.datagram.request.filter(|header| {
            !header.idempotent && self.may_be_known_elsewhere(context, &search.candidate, header)
        });
        let Some(request) = request else {
            return self.redirect(context, routed, search, next);
        };
        // An earlier home may have placed the flow and run the request. The flow is opened
        // nevertheless, without the request.
        context.outcome_unknown(routed.datagram.flow, request.id, RETRY_AFTER);
        let bare = bare_opening(routed.datagram);
        let routed = RoutedDatagram {
            datagram: &bare,
            ..*routed
        };
        self.redirect(context, &routed, search, next);
    }

    /// Relays an opening to the home of another server, and keeps a redirect.
    fn redirect<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        search: FlowSearch,
        next: TokenClaim,
    ) {
        if !self.is_home_of(context, &next) {
            let pin = FlowPin {
                claim: next,
                shard: resolve::shard_of(context.snapshot, &search.candidate),
                role: PinRole::Redirect,
                disputed: search.home_skipped,
                since: context.now,
                last_seen: context.now,
                counted: false,
                announced: ConfigurationVersion::ZERO,
                echoes_token: routed.datagram.echoes_token,
            };
            if self
                .pins
                .insert(routed.hash, routed.datagram.flow, pin)
                .is_err()
            {
                let reason = RefusalReason::TableFull;
                return self.refuse_opening(
                    context,
                    routed,
                    &search.candidate,
                    reason,
                    search.home_skipped,
                );
            }
            context.count(Counter::OpeningRedirected);
        }
        self.search_next(context, routed, search, next);
    }

    fn place_opening<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        search: FlowSearch,
    ) {
        if search.history_missing
            && (routed.datagram.request.is_some() || !routed.datagram.echoes_token)
        {
            // Neither this home nor a host before it knows which homes would be chosen by
            // hosts with an outdated configuration, so one of those homes may place the
            // flow as well and run the request. The caller sends again, until it reaches a
            // host that knows or all hosts are up to date.
            return context.count(Counter::OpeningHeld);
        }
        if let Some((claim, reason)) = self.place(context, routed, search.candidate) {
            return self.open_at(context, routed, claim, reason, search.home_skipped);
        }
        if let Some(next) = self.overflow_candidate(context, routed, &search) {
            return self.redirect(context, routed, search, next);
        }
        let reason = RefusalReason::Full;
        self.refuse_opening(
            context,
            routed,
            &search.candidate,
            reason,
            search.home_skipped,
        );
    }

    /// Refuses an opening at the home of the server of `claim`. If another home may have
    /// placed the flow, it may have run the request.
    fn refuse_opening<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: &TokenClaim,
        reason: RefusalReason,
        disputed: bool,
    ) {
        match routed.datagram.request {
            Some(request) if disputed => {
                context.outcome_unknown(routed.datagram.flow, request.id, RETRY_AFTER);
            }
            _ => {
                let shard = resolve::shard_of(context.snapshot, claim);
                self.refuse_request(context, routed, shard, reason);
            }
        }
    }

    /// A server of another home, for a flow for which none of this home's servers has
    /// room. The choice depends only on the flow, unless homes are unreachable; the
    /// redirect sends copies the same way in any case.
    fn overflow_candidate<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        search: &FlowSearch,
    ) -> Option<TokenClaim> {
        let snapshot = context.snapshot;
        let home = |claim: &TokenClaim| snapshot.shard(resolve::shard_of(snapshot, claim)).home;
        let asked = |host: HostId| {
            let mut servers = search.tried.iter().filter_map(|id| snapshot.backend(id));
            Some(host) == home(&search.candidate)
                || servers.any(|entry| home(&TokenClaim::from(entry)) == Some(host))
        };
        self.probe_table(context, routed, |claim| {
            home(claim).is_some_and(|host| host != self.identity.host && !asked(host))
        })
    }

    /// Handles an opening if the home of its candidate is unreachable. A home that died is
    /// replaced within a lease, so the caller tries again. A domain may be cut off for
    /// long, so its flows are placed elsewhere.
    pub(crate) fn skip_home_of_opening<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        search: FlowSearch,
    ) {
        let snapshot = context.snapshot;
        if !snapshot.is_cut_off(search.candidate.domain) {
            return Self::answer_without_home(context, routed, None);
        }
        let newer = resolve::next_candidate(snapshot, CallerKind::Open, routed, &search);
        let next = newer.or_else(|| {
            self.probe_table(context, routed, |claim| {
                !search.tried.contains(claim.backend) && !snapshot.is_cut_off(claim.domain)
            })
        });
        match next {
            Some(next) => {
                context.decide(
                    DecisionReason::PlacedAroundCut,
                    DecisionSubject {
                        backend: Some(next.backend),
                        ..routed.subject()
                    },
                );
                self.search_next(context, routed, search, next);
            }
            None => Self::answer_without_home(context, routed, None),
        }
    }

    /// The first server that `accept` allows, in an order that depends only on the flow.
    fn probe_table<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        accept: impl Fn(&TokenClaim) -> bool,
    ) -> Option<TokenClaim> {
        let snapshot = context.snapshot;
        let table = snapshot
            .generations
            .first()?
            .of_service(routed.service.id)?;
        let probed = (1..=PROBE_LIMIT)
            .map(|salt| FlowHash::new(routed.hash.mixed_with(salt)))
            .filter_map(|hash| snapshot.backend(table.select(hash)?))
            .map(TokenClaim::from)
            .find(&accept);
        if probed.is_some() || table.servers().len() > SCAN_LIMIT {
            return probed;
        }
        let servers = table.servers().iter();
        let claims = servers.filter_map(|id| snapshot.backend(*id).map(TokenClaim::from));
        claims
            .filter(accept)
            .min_by_key(|claim| routed.hash.mixed_with(claim.backend.get()))
    }

    fn is_disputed(&self, routed: &RoutedDatagram<'_, '_>) -> bool {
        let pin = self.pins.get(routed.hash, &routed.datagram.flow);
        pin.is_some_and(|pin| pin.disputed)
    }

    fn open_at<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
        reason: DecisionReason,
        disputed: bool,
    ) {
        if !self.pin_flow(context, routed, claim, disputed) {
            return self.refuse_opening(
                context,
                routed,
                &claim,
                RefusalReason::TableFull,
                disputed,
            );
        }
        let subject = DecisionSubject {
            backend: Some(claim.backend),
            ..routed.subject()
        };
        context.decide(reason, subject);
        let datagram = routed.datagram;
        let Some(request) = datagram.request else {
            return caller_datagrams::forward(context, datagram, &claim, BackendKind::Open);
        };
        if disputed {
            // Another home may have placed the flow too, and have run the request or
            // replied that it never runs.
            context.outcome_unknown(datagram.flow, request.id, RETRY_AFTER);
        } else {
            self.serve_request(context, routed, claim, request, ServerKnowledge::Known);
        }
        self.open_without_request(context, routed, &claim, request.id);
    }

    fn carry_at_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
    ) {
        let datagram = routed.datagram;
        if let Some(pin) = self.pins.get_mut(routed.hash, &datagram.flow) {
            pin.last_seen = context.now;
        }
        match datagram.request {
            Some(request) if datagram.token.is_none() && self.is_disputed(routed) => {
                // A copy without a token may reach another home that placed the flow as
                // well, and run or be refused there.
                context.outcome_unknown(datagram.flow, request.id, RETRY_AFTER);
            }
            Some(request) => {
                self.serve_request(context, routed, claim, request, ServerKnowledge::Known);
            }
            None => caller_datagrams::forward(context, datagram, &claim, BackendKind::Carry),
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
            let ledger = self.ledgers.get_or_create(pin.claim.backend);
            ledger.connections = ledger.connections.saturating_sub(1);
        }
    }

    /// Uncounts a closed flow whose pin was not handed over.
    fn uncount_unpinned(&mut self, claim: &TokenClaim) {
        let ledger = self.ledgers.get_or_create(claim.backend);
        if ledger.unpinned > 0 {
            ledger.unpinned -= 1;
            ledger.connections = ledger.connections.saturating_sub(1);
        }
    }

    /// Chooses the server of a new flow among those whose home this thread is. The flow of
    /// a caller that echoes its token may be placed by load. Any other flow gets the
    /// server that the lookup table selects if that server has room, because other hosts
    /// use the table once this pin is lost.
    fn place<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        preferred: TokenClaim,
    ) -> Option<(TokenClaim, DecisionReason)> {
        let first = context.snapshot.backend(preferred.backend);
        let first =
            first.filter(|entry| entry.accepts_new_flows() && self.has_room(context, entry));
        if let Some(entry) = first.filter(|_| !routed.datagram.echoes_token) {
            return Some((TokenClaim::from(entry), DecisionReason::PlacedByTable));
        }
        let entries = self.servers_with_room(context, routed)?;
        let options: Vec<PlacementOption> = entries
            .iter()
            .map(|entry| self.placement_option(context, entry, preferred.backend))
            .collect();
        let best = entries[self.placement.choose(routed.hash, &options)?];
        let reason = match best.id == preferred.backend {
            true => DecisionReason::PlacedByTable,
            false => DecisionReason::PlacedByLoad,
        };
        Some((TokenClaim::from(best), reason))
    }

    fn servers_with_room<'c, S: TrafficSink>(
        &self,
        context: &EventContext<'c, S>,
        routed: &RoutedDatagram<'_, '_>,
    ) -> Option<Vec<&'c BackendEntry>> {
        let snapshot = context.snapshot;
        let tables = snapshot.generations.first()?;
        let table = tables.of_service(routed.service.id)?;
        let entries = table.servers().iter();
        let entries = entries
            .filter_map(|id| snapshot.backend(*id))
            .filter(|entry| self.is_home_of(context, &TokenClaim::from(*entry)))
            .filter(|entry| self.has_room(context, entry));
        Some(entries.collect())
    }

    fn placement_option<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        entry: &BackendEntry,
        preferred: BackendId,
    ) -> PlacementOption {
        let view = context.snapshot.view(entry.id);
        let ledger = self.ledgers.get(entry.id);
        let held = ledger.map_or(0, |ledger| u64::from(ledger.connections));
        PlacementOption {
            server: entry.id.get(),
            by_table: entry.id == preferred,
            load: ledger.map_or(0, |ledger| ledger.load(context.now, entry, view)),
            flows: held * 1000 / u64::from(entry.weight.get().max(1)),
        }
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

    /// Inserts `pin`, and removes an old pin if the table is full. Returns whether there
    /// was room.
    pub(crate) fn insert_pin<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        hash: FlowHash,
        flow: FlowKey,
        pin: FlowPin,
    ) -> bool {
        self.remove_pin(hash, &flow);
        if self.pins.len() >= self.bounds.flows {
            self.make_pin_room(context);
        }
        let held = self.pins.insert(hash, flow, pin).is_ok();
        if !held {
            context.count(Counter::TableFull);
        }
        held
    }

    /// Pins a flow to its server; returns `false` if the table is full.
    fn pin_flow<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
        disputed: bool,
    ) -> bool {
        let flow = routed.datagram.flow;
        if let Some(pin) = self.pins.get_mut(routed.hash, &flow)
            && pin.role == PinRole::Placed
            && pin.claim == claim
        {
            pin.last_seen = context.now;
            if !std::mem::replace(&mut pin.counted, true) {
                self.ledgers.get_or_create(claim.backend).connections += 1;
            }
            return true;
        }
        let pin = FlowPin {
            claim,
            shard: resolve::shard_of(context.snapshot, &claim),
            role: PinRole::Placed,
            disputed,
            since: context.now,
            last_seen: context.now,
            counted: true,
            announced: ConfigurationVersion::ZERO,
            echoes_token: routed.datagram.echoes_token,
        };
        if !self.insert_pin(context, routed.hash, flow, pin) {
            return false;
        }
        context.count(Counter::FlowOpened);
        self.ledgers.get_or_create(claim.backend).connections += 1;
        true
    }
}

/// The opening of a flow without the request that came with it.
const fn bare_opening(datagram: &CallerDatagram<'_>) -> CallerDatagram<'static> {
    CallerDatagram {
        flow: datagram.flow,
        kind: CallerKind::Open,
        echoes_token: datagram.echoes_token,
        token: datagram.token,
        request: None,
        payload: &[],
    }
}
