//! Searches for the server of a flow if a datagram has no token and the host that received
//! it has no pin. The homes of all candidates are asked in turn for a pin. If none has
//! one, the servers themselves are asked.

use cardamomwinch_protocol::prelude::{
    BackendKind, CallerDatagram, CallerKind, CallerReplyKind, FlowSearch, RelayFrame, ResetReason,
    SearchStage, TokenClaim, TriedServers,
};
use cardamomwinch_state::prelude::{ConfigurationVersion, FlowKey, FlowTable, Timestamp};

use crate::counter::Counter;
use crate::decision::DecisionReason;
use crate::traffic::TrafficEngine;
use crate::traffic::caller_datagrams::{self, HomeRoute, RoutedDatagram};
use crate::traffic::context::{DecisionSubject, EventContext};
use crate::traffic::effect::TrafficSink;
use crate::traffic::pins::{FlowPin, PinRole};
use crate::traffic::requests::{RequestKey, RequestState};
use crate::traffic::resolve;
use crate::traffic::serving::ServerKnowledge;

/// A search that waits for the reply of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PendingSearch {
    /// The progress of the search.
    pub(crate) search: FlowSearch,
    /// When the server was asked.
    pub(crate) since: Timestamp,
    /// The payload of the last datagram without a request, to be sent to the next server
    /// if this one does not hold the flow.
    pub(crate) held: Option<Box<[u8]>>,
    /// Servers whose "unknown flow" reply was handled already, so that copies of it are
    /// ignored.
    pub(crate) refused: TriedServers,
}

/// Searches that wait for the reply of a server, bounded in number.
pub(crate) type SearchTable = FlowTable<PendingSearch>;

impl TrafficEngine {
    /// Sends a datagram to the home of the server that the search asks next.
    pub(crate) fn continue_search<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        search: FlowSearch,
    ) {
        let shard = resolve::shard_of(context.snapshot, &search.candidate);
        let frame = RelayFrame::Caller {
            datagram: *routed.datagram,
            decided: None,
            search: Some(search),
            shard,
            hops: routed.relay.hops.saturating_add(1),
        };
        match self.pass_to_home(context, routed, shard, frame) {
            HomeRoute::Here => self.search_at_home(context, routed, search),
            HomeRoute::Handled => {}
            HomeRoute::Unreachable => self.skip_home(context, routed, search),
        }
    }

    fn search_at_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        search: FlowSearch,
    ) {
        // Guards against a loop: the redirect may lead to a home that was already asked
        // and has no pin any longer, for example after it died. The datagram would be
        // dropped each time, and the caller would get no reply. A copy of an opening must
        // still follow its redirect, because it must not be placed anywhere else.
        let opens = routed.datagram.kind == CallerKind::Open;
        let redirect = self.redirect_of(routed);
        let redirect = redirect.filter(|next| opens || !search.tried.contains(next.backend));
        if let Some(next) = redirect {
            return self.search_next(context, routed, search, next);
        }
        match (routed.datagram.kind, search.stage) {
            (CallerKind::Open, _) => self.search_opening(context, routed, search),
            (_, SearchStage::Homes) => self.search_homes(context, routed, search),
            (_, SearchStage::Servers) => self.ask_server(context, routed, search),
        }
    }

    fn redirect_of(&mut self, routed: &RoutedDatagram<'_, '_>) -> Option<TokenClaim> {
        let pin = self.pins.get(routed.hash, &routed.datagram.flow)?;
        (pin.role == PinRole::Redirect).then_some(pin.claim)
    }

    /// Continues the search with `next`, unless that was asked before.
    pub(crate) fn search_next<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        mut search: FlowSearch,
        next: TokenClaim,
    ) {
        if search.tried.contains(next.backend) || !search.tried.add(search.candidate.backend) {
            return context.count(Counter::HopLimit);
        }
        search.candidate = next;
        let subject = DecisionSubject {
            backend: Some(next.backend),
            ..routed.subject()
        };
        context.decide(DecisionReason::SearchMoved, subject);
        self.continue_search(context, routed, search);
    }

    /// Asks the next home, because this one has no pin of the flow, or the servers if no
    /// home is left.
    fn search_homes<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        mut search: FlowSearch,
    ) {
        let kind = routed.datagram.kind;
        if let Some(next) = resolve::next_candidate(context.snapshot, kind, routed, &search) {
            return self.search_next(context, routed, search, next);
        }
        if kind == CallerKind::Close {
            return Self::close_everywhere(context, routed, &search);
        }
        search.stage = SearchStage::Servers;
        search.tried = TriedServers::default();
        self.ask_server(context, routed, search);
    }

    /// Closes a flow that no home knows on each server that may hold it. Closing a flow
    /// that is not open is harmless.
    fn close_everywhere<S: TrafficSink>(
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        search: &FlowSearch,
    ) {
        let snapshot = context.snapshot;
        let list = snapshot.candidates(routed.service.id, routed.hash);
        let entries = list.iter().filter_map(|id| snapshot.backend(id));
        let mut claims: Vec<TokenClaim> = entries.map(TokenClaim::from).collect();
        if !list.contains(search.candidate.backend) {
            claims.push(search.candidate);
        }
        for claim in claims {
            caller_datagrams::forward(context, routed.datagram, &claim, BackendKind::Close);
        }
    }

    /// Sends the datagram to the candidate, which replies that the flow is unknown if it
    /// does not hold it. A server that does not hold a flow runs none of its requests, so
    /// asking one server after another runs none twice.
    fn ask_server<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        search: FlowSearch,
    ) {
        let claim = search.candidate;
        if !context.may_send(routed.datagram.flow.service, &claim)
            || self.did_not_run_on(routed, &claim)
        {
            return self.ask_next_server(context, routed, search);
        }
        self.note_search(context, routed, search);
        context.decide(
            DecisionReason::PlacedByTable,
            DecisionSubject {
                backend: Some(claim.backend),
                ..routed.subject()
            },
        );
        match routed.datagram.request {
            Some(request) => {
                self.serve_request(context, routed, claim, request, ServerKnowledge::Asked);
            }
            None => caller_datagrams::forward(context, routed.datagram, &claim, BackendKind::Carry),
        }
    }

    /// Whether the request is known not to have run on the server of `claim`. If its
    /// record says that it did not run on another server of this home, the record is
    /// dropped, because the request may run on this one.
    fn did_not_run_on(&mut self, routed: &RoutedDatagram<'_, '_>, claim: &TokenClaim) -> bool {
        let Some(request) = routed.datagram.request else {
            return false;
        };
        let key = RequestKey {
            flow: routed.datagram.flow,
            id: request.id,
        };
        let record = self.requests.get(routed.hash, &key);
        let Some(RequestState::Moved { backend }) = record.map(|record| &record.state) else {
            return false;
        };
        let same = *backend == claim.backend;
        if !same {
            self.requests.remove(routed.hash, &key);
        }
        same
    }

    fn note_search<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        search: FlowSearch,
    ) {
        let flow = routed.datagram.flow;
        let plain = routed.datagram.request.is_none();
        let held: Option<Box<[u8]>> = plain.then(|| routed.datagram.payload.into());
        if let Some(pending) = self.searches.get_mut(routed.hash, &flow) {
            pending.search = search;
            pending.since = context.now;
            pending.refused = TriedServers::default();
            pending.held = held.or(pending.held.take());
            return;
        }
        let pending = PendingSearch {
            search,
            since: context.now,
            held,
            refused: TriedServers::default(),
        };
        if self.searches.insert(routed.hash, flow, pending).is_err() {
            context.count(Counter::TableFull);
        }
    }

    /// Asks the next server, or resets the flow if none holds it.
    pub(crate) fn ask_next_server<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        search: FlowSearch,
    ) {
        let kind = CallerKind::Carry;
        if let Some(next) = resolve::next_candidate(context.snapshot, kind, routed, &search) {
            context.count(Counter::SearchMoved);
            return self.search_next(context, routed, search, next);
        }
        if search.home_skipped {
            // The flow may be on a server whose home is unreachable.
            return Self::answer_without_home(context, routed, None);
        }
        let flow = routed.datagram.flow;
        if let Some(request) = routed.datagram.request {
            // No server that was asked has run it. A host that keeps other generations may
            // ask other servers, so the reply cannot be "not run".
            context.outcome_unknown(flow, request.id, caller_datagrams::RETRY_AFTER);
        }
        context.count(Counter::FlowUnknown);
        context.decide(DecisionReason::UnknownFlow, routed.subject());
        let reason = ResetReason::UnknownFlow;
        context.reply(flow, CallerReplyKind::Reset { reason });
    }

    /// Continues a search if the home of the candidate is unreachable.
    fn skip_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        mut search: FlowSearch,
    ) {
        let kind = routed.datagram.kind;
        search.home_skipped = true;
        if kind == CallerKind::Open {
            return self.skip_home_of_opening(context, routed, search);
        }
        if let Some(next) = resolve::next_candidate(context.snapshot, kind, routed, &search) {
            return self.search_next(context, routed, search, next);
        }
        Self::answer_without_home(context, routed, None);
    }

    /// Reports the server of the flow to the host that received the datagram from the
    /// fabric, so that it sends the next one directly to the server.
    pub(crate) fn notify_origin<S: TrafficSink>(
        &self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
    ) {
        let Some(search) = routed.relay.search else {
            return;
        };
        if routed.datagram.kind == CallerKind::Carry {
            self.send_learned(context, routed.datagram.flow, &search, claim);
        }
    }

    pub(crate) fn send_learned<S: TrafficSink>(
        &self,
        context: &mut EventContext<'_, S>,
        flow: FlowKey,
        search: &FlowSearch,
        claim: TokenClaim,
    ) {
        let thread = search.thread;
        let frame = RelayFrame::Learned {
            flow,
            claim,
            thread,
        };
        if search.origin != self.identity.host {
            context.relay(search.origin, frame);
        } else if thread != self.place.index {
            context.pass_to_thread(thread, frame);
        }
    }

    /// Handles a home's report about the server of a flow.
    pub(crate) fn handle_learned<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        frame: RelayFrame<'_>,
        flow: FlowKey,
        claim: TokenClaim,
        thread: u16,
    ) {
        if thread != self.place.index && thread < self.place.count {
            return context.pass_to_thread(thread, frame);
        }
        let hash = Self::hasher(context.snapshot).hash(&flow);
        if let Some(pin) = self.pins.get(hash, &flow)
            && pin.role != PinRole::Learned
        {
            return;
        }
        let pin = FlowPin {
            claim,
            shard: resolve::shard_of(context.snapshot, &claim),
            role: PinRole::Learned,
            disputed: false,
            since: context.now,
            last_seen: context.now,
            counted: false,
            announced: ConfigurationVersion::ZERO,
            echoes_token: false,
        };
        // If the table is nearly full, the remaining room is reserved for flows that
        // depend on a pin; the home is then asked each time.
        if !self.pins_nearly_full() && self.insert_pin(context, hash, flow, pin) {
            context.count(Counter::FlowLearned);
        }
    }
}

/// Rebuilds a caller's data datagram, to send it to another server.
pub(crate) const fn carry_datagram<'p>(flow: FlowKey, payload: &'p [u8]) -> CallerDatagram<'p> {
    CallerDatagram::carry(flow, None, payload)
}
