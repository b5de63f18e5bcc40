//! The search for the server of a flow whose datagram carries no token and
//! whose pin the host that got it does not hold. The homes of all candidates
//! are asked in turn for a pin; where none holds one, the servers themselves.

use cardamomwinch_protocol::prelude::{
    BackendKind, CallerDatagram, CallerKind, CallerReplyKind, FlowSearch, RelayFrame, ResetReason,
    SearchStage, TokenClaim, TriedServers,
};
use cardamomwinch_state::prelude::{ConfigurationVersion, FlowKey, FlowTable, Timestamp};

use crate::counter::Counter;
use crate::decision::DecisionReason;
use crate::traffic::TrafficEngine;
use crate::traffic::caller_datagrams::{self, HomePlace, RoutedDatagram};
use crate::traffic::context::{DecisionSubject, EventContext};
use crate::traffic::effect::TrafficSink;
use crate::traffic::pins::{FlowPin, PinRole};
use crate::traffic::requests::{RequestKey, RequestState};
use crate::traffic::resolve;
use crate::traffic::serving::ServerKnowledge;

/// A search that waits for the word of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PendingSearch {
    /// How far it has come.
    pub(crate) search: FlowSearch,
    /// When the server was asked.
    pub(crate) since: Timestamp,
    /// The last datagram without a request, to be sent to the next server
    /// where this one does not hold the flow.
    pub(crate) held: Option<Box<[u8]>>,
    /// Servers whose word was taken already, so that a copy of it is not.
    pub(crate) refused: TriedServers,
}

/// Searches that wait for the word of a server, bounded in number.
pub(crate) type SearchTable = FlowTable<PendingSearch>;

impl TrafficEngine {
    /// Brings a datagram to the home of the server that the search asks next.
    pub(crate) fn pursue<S: TrafficSink>(
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
            hops: routed.passage.hops.saturating_add(1),
        };
        match self.pass_to_home(context, routed, shard, frame) {
            HomePlace::Here => self.search_at_home(context, routed, search),
            HomePlace::Passed => {}
            HomePlace::Nowhere => self.skip_home(context, routed, search),
        }
    }

    fn search_at_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        search: FlowSearch,
    ) {
        // Guards against a circle: the redirect leads to a home that was asked
        // and holds no pin any more, as after a death. The datagram would be
        // dropped each time, and the caller hear nothing. A copy of an opening
        // must follow its redirect nevertheless, or not be placed at all.
        let opens = routed.datagram.kind == CallerKind::Open;
        let redirect = self.redirect_of(routed);
        let redirect = redirect.filter(|next| opens || !search.tried.contains(next.backend));
        if let Some(next) = redirect {
            return self.move_on(context, routed, search, next);
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

    /// Goes on to `next`, unless that was asked before.
    pub(crate) fn move_on<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        mut search: FlowSearch,
        next: TokenClaim,
    ) {
        if search.tried.contains(next.backend) || !search.tried.note(search.candidate.backend) {
            return context.count(Counter::HopLimit);
        }
        search.candidate = next;
        let subject = DecisionSubject {
            backend: Some(next.backend),
            ..routed.subject()
        };
        context.decide(DecisionReason::SearchMoved, subject);
        self.pursue(context, routed, search);
    }

    /// This home holds no pin of the flow: asks the next one, or the servers
    /// once no home is left.
    fn search_homes<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        mut search: FlowSearch,
    ) {
        let kind = routed.datagram.kind;
        if let Some(next) = resolve::next_candidate(context.snapshot, kind, routed, &search) {
            return self.move_on(context, routed, search, next);
        }
        if kind == CallerKind::Close {
            return Self::close_everywhere(context, routed, &search);
        }
        search.stage = SearchStage::Servers;
        search.tried = TriedServers::default();
        self.ask_server(context, routed, search);
    }

    /// Closes a flow that no home knows on each server that may hold it.
    /// Closing what is not open harms nothing.
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

    /// Sends the datagram to the candidate, which says so where it does not
    /// hold the flow. A server that does not hold a flow runs none of its
    /// requests, so that asking one after the other runs none twice.
    fn ask_server<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        search: FlowSearch,
    ) {
        let claim = search.candidate;
        if !context.may_send(routed.datagram.flow.service, &claim) || self.was_moved(routed, &claim)
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

    /// Whether the request is known not to have run on the server of `claim`.
    /// The record of one that did not run on another server of this home is
    /// dropped, since it may run on this one.
    fn was_moved(&mut self, routed: &RoutedDatagram<'_, '_>, claim: &TokenClaim) -> bool {
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

    /// Asks the next server, or tells the caller that none holds the flow.
    pub(crate) fn ask_next_server<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        search: FlowSearch,
    ) {
        let kind = CallerKind::Carry;
        if let Some(next) = resolve::next_candidate(context.snapshot, kind, routed, &search) {
            context.count(Counter::SearchMoved);
            return self.move_on(context, routed, search, next);
        }
        if search.skipped {
            // The flow may live where no home can be reached.
            return Self::without_home(context, routed, None);
        }
        let flow = routed.datagram.flow;
        if let Some(request) = routed.datagram.request {
            // No server that was asked has run it. A host that keeps other
            // generations may ask others, so "not run" cannot be promised.
            context.outcome_unknown(flow, request.id, caller_datagrams::RETRY_AFTER);
        }
        context.count(Counter::FlowUnknown);
        context.decide(DecisionReason::UnknownFlow, routed.subject());
        let reason = ResetReason::UnknownFlow;
        context.reply(flow, CallerReplyKind::Reset { reason });
    }

    /// The home of the candidate cannot be reached.
    fn skip_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        mut search: FlowSearch,
    ) {
        let kind = routed.datagram.kind;
        search.skipped = true;
        if kind == CallerKind::Open {
            return self.skip_home_of_opening(context, routed, search);
        }
        if let Some(next) = resolve::next_candidate(context.snapshot, kind, routed, &search) {
            return self.move_on(context, routed, search, next);
        }
        Self::without_home(context, routed, None);
    }

    /// Tells the host that got the datagram from the fabric where the flow
    /// belongs, so that the next one goes straight to the server.
    pub(crate) fn tell_origin<S: TrafficSink>(
        &self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
    ) {
        let Some(search) = routed.passage.search else {
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

    /// Takes a home's word about the server of a flow.
    pub(crate) fn learn<S: TrafficSink>(
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
        // Where room is short it is left to flows that need a pin more; the home
        // is asked again each time.
        if !self.pins_are_short() && self.hold_pin(context, hash, flow, pin) {
            context.count(Counter::FlowLearned);
        }
    }
}

/// Builds anew what a caller sent, to be sent to another server.
pub(crate) const fn carried<'p>(flow: FlowKey, payload: &'p [u8]) -> CallerDatagram<'p> {
    CallerDatagram::carry(flow, None, payload)
}
