//! Decides for each datagram which backend server its flow belongs to, which host is the
//! home of that server, and whether the request in it runs.
//!
//! The home of a server is the host that holds the lease of the server's shard. Only the
//! home sends requests to the server and counts its connections. Data without a request
//! goes directly to the server, from any host that knows the server by a token or a pin.

pub(crate) mod announcing;
pub mod answer_count;
pub(crate) mod caller_datagrams;
pub(crate) mod context;
pub(crate) mod dispatching;
pub(crate) mod duplicates;
pub mod effect;
pub mod event;
mod give_up_rules;
pub(crate) mod giving_up;
pub(crate) mod handover;
pub mod handover_items;
pub(crate) mod held_replies;
pub mod ledger;
pub(crate) mod observing;
pub(crate) mod opening;
pub(crate) mod packing;
pub(crate) mod pin_sweeping;
pub mod pins;
pub(crate) mod replies;
mod reply_effects;
pub mod requests;
pub(crate) mod resolve;
pub mod retry_budget;
pub mod running_slot;
pub(crate) mod searching;
pub mod service_time;
pub(crate) mod serving;
pub mod slots;
pub(crate) mod sweeping;
pub(crate) mod taking_over;
pub(crate) mod unknown_flows;

use cardamomwinch_protocol::prelude::{
    AuthenticationKeys, BackendReplyKind, FabricDatagram, RelayFrame, SEARCH_LIMIT, TokenIssuer,
};
use cardamomwinch_state::prelude::{FlowHasher, FlowTable, Timestamp};

use crate::bounds::TrafficBounds;
use crate::counter::Counter;
use crate::identity::{HostIdentity, ThreadPlace};
use crate::routing::placement::PlacementChoice;
use crate::snapshot::RoutingSnapshot;
use crate::traffic::caller_datagrams::RelayContext;
use crate::traffic::context::EventContext;
use crate::traffic::effect::TrafficSink;
use crate::traffic::event::TrafficEvent;
use crate::traffic::handover::FrozenShards;
use crate::traffic::held_replies::HeldReplies;
use crate::traffic::ledger::ServerLedgers;
use crate::traffic::pins::FlowPin;
use crate::traffic::requests::RequestTable;
use crate::traffic::retry_budget::RetryBudgets;
use crate::traffic::searching::SearchTable;

/// A datagram with this many relays is dropped instead of relayed again.
///
/// A search asks each of at most [`SEARCH_LIMIT`] homes once, and then as many servers.
pub const HOP_LIMIT: u8 = 2 * SEARCH_LIMIT as u8 + 2;

/// The state and decisions of one traffic thread.
#[derive(Debug)]
pub struct TrafficEngine {
    pub(crate) identity: HostIdentity,
    pub(crate) place: ThreadPlace,
    pub(crate) bounds: TrafficBounds,
    pub(crate) placement: PlacementChoice,
    pub(crate) tokens: TokenIssuer,
    pub(crate) pins: FlowTable<FlowPin>,
    pub(crate) requests: RequestTable,
    pub(crate) ledgers: ServerLedgers,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) searches: SearchTable,
    pub(crate) pin_position: usize,
    pub(crate) sweep_position: usize,
    pub(crate) next_observation: Timestamp,
    pub(crate) frozen: FrozenShards,
    /// Replies that arrived before this host knew any other host.
    pub(crate) early_replies: HeldReplies,
    last_event: Timestamp,
    resumed_at: Option<Timestamp>,
}

impl TrafficEngine {
    /// Creates the engine of one traffic thread.
    pub fn new(
        identity: HostIdentity,
        place: ThreadPlace,
        keys: AuthenticationKeys,
        bounds: TrafficBounds,
    ) -> Self {
        Self {
            identity,
            place,
            placement: PlacementChoice::default(),
            tokens: TokenIssuer::new(keys),
            pins: FlowTable::new(bounds.flows),
            requests: RequestTable::new(bounds.request_records),
            ledgers: ServerLedgers::default(),
            retry_budgets: RetryBudgets::default(),
            searches: SearchTable::new(bounds.searches),
            pin_position: 0,
            sweep_position: 0,
            next_observation: Timestamp::ZERO,
            frozen: FrozenShards::default(),
            early_replies: HeldReplies::default(),
            last_event: Timestamp::ZERO,
            resumed_at: None,
            bounds,
        }
    }

    /// Sets the rule by which new flows are placed.
    #[must_use]
    pub fn with_placement(mut self, placement: PlacementChoice) -> Self {
        self.placement = placement;
        self
    }

    /// Flows that this thread has pinned.
    pub fn pinned_flows(&self) -> &FlowTable<FlowPin> {
        &self.pins
    }

    /// Requests that this thread remembers.
    pub fn remembered_requests(&self) -> &RequestTable {
        &self.requests
    }

    /// The counts for the servers whose home this thread is.
    pub fn ledgers(&self) -> &ServerLedgers {
        &self.ledgers
    }

    /// Handles `event` at `now` with `snapshot`, and passes the effects to `sink`.
    pub fn handle<S: TrafficSink>(
        &mut self,
        now: Timestamp,
        snapshot: &RoutingSnapshot,
        event: TrafficEvent<'_>,
        sink: &mut S,
    ) {
        let mut context = EventContext {
            now,
            identity: self.identity,
            snapshot,
            may_act: false,
            sink,
        };
        self.detect_pause(&mut context);
        context.may_act = self.may_act(now, snapshot);
        self.account_early_replies(&mut context);
        match event {
            TrafficEvent::Tick => self.tick(&mut context),
            TrafficEvent::Fabric(datagram) => self.handle_fabric(&mut context, datagram),
            TrafficEvent::Relay(envelope) => self.handle_relay(&mut context, envelope.frame),
            TrafficEvent::ReleaseShard {
                hand_over,
                frozen_until,
            } => self.release_shard(&mut context, hand_over, frozen_until),
            TrafficEvent::ThawShard { shard } => self.thaw_shard(&mut context, shard),
            TrafficEvent::ForgetShard { shard } => self.forget_shard(&mut context, shard),
            TrafficEvent::TakeOver { chunk } => self.take_over(&mut context, chunk),
        }
    }

    fn tick<S: TrafficSink>(&mut self, context: &mut EventContext<'_, S>) {
        self.review_requests(context);
        self.sweep(context.now);
        self.sweep_searches(context.now);
        self.sweep_pins(context);
        self.thaw(context);
        self.observe(context);
    }

    fn handle_fabric<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        datagram: FabricDatagram<'_>,
    ) {
        match datagram {
            FabricDatagram::Caller(datagram) => {
                context.count(Counter::CallerDatagram);
                self.route(context, &datagram, RelayContext::from_fabric());
            }
            FabricDatagram::Backend(reply) => {
                context.count(Counter::BackendReply);
                self.handle_reply(context, &reply);
            }
        }
    }

    fn handle_relay<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        frame: RelayFrame<'_>,
    ) {
        match frame {
            RelayFrame::Caller {
                datagram,
                decided,
                search,
                shard,
                hops,
            } => {
                let relay = RelayContext {
                    decided,
                    search,
                    shard: Some(shard),
                    hops,
                };
                self.route(context, &datagram, relay);
            }
            RelayFrame::Backend { reply, shard, hops } => match reply.kind {
                BackendReplyKind::UnknownFlow { .. } => {
                    self.handle_relayed_unknown(context, &reply, shard, hops);
                }
                _ => self.handle_relayed_reply(context, &reply, shard, hops),
            },
            RelayFrame::Learned {
                flow,
                claim,
                thread,
            } => self.handle_learned(context, frame, flow, claim, thread),
            RelayFrame::Announced { flow, claim, shard } => {
                self.handle_announced(context, flow, claim, shard);
            }
        }
    }

    pub(crate) fn hasher(snapshot: &RoutingSnapshot) -> FlowHasher {
        FlowHasher::new(snapshot.configuration.limits.flow_hash_seed)
    }

    /// Detects that the process was paused, so that it does not act on outdated state. A
    /// gap between two events that is longer than the tick indicates a pause. No decisions
    /// are made until control has published a snapshot made after the pause, which it does
    /// only after it has received messages from other hosts.
    fn detect_pause<S: TrafficSink>(&mut self, context: &mut EventContext<'_, S>) {
        let gap = context.now.since(self.last_event);
        if self.last_event > Timestamp::ZERO && gap > self.bounds.pause_gap {
            self.resumed_at = Some(context.now);
            context.count(Counter::WokeLate);
        }
        self.last_event = self.last_event.max(context.now);
        if self
            .resumed_at
            .is_some_and(|resumed_at| context.snapshot.made > resumed_at)
        {
            self.resumed_at = None;
        }
    }

    /// Whether this thread may make decisions by `snapshot`.
    pub(crate) fn may_act(&self, now: Timestamp, snapshot: &RoutingSnapshot) -> bool {
        self.resumed_at.is_none() && now < snapshot.fresh_until
    }
}
