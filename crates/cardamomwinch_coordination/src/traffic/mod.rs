//! Decides about each datagram: which backend server its flow belongs to,
//! which host is its home, and whether the request that it carries runs.

pub(crate) mod announcing;
pub mod answer_count;
pub(crate) mod caller_datagrams;
pub(crate) mod context;
pub(crate) mod dispatching;
mod doubts;
pub mod effect;
pub mod event;
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
pub(crate) mod repeating;
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
use crate::traffic::caller_datagrams::CallerPassage;
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

/// A datagram that was relayed this often is dropped instead of relayed again.
///
/// A search asks each of at most [`SEARCH_LIMIT`] homes and then as many
/// servers once.
pub const HOP_LIMIT: u8 = 2 * SEARCH_LIMIT as u8 + 2;

/// The decisions of one traffic thread.
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
    /// Replies that came before this host knew any other.
    pub(crate) early_replies: HeldReplies,
    last_event: Timestamp,
    slept_until: Option<Timestamp>,
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
            slept_until: None,
            bounds,
        }
    }

    /// Places new flows by `placement`.
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

    /// What this thread counts for the servers that it is home of.
    pub fn ledgers(&self) -> &ServerLedgers {
        &self.ledgers
    }

    /// Decides about `event` at `now` against `snapshot`, and gives the effects
    /// to `sink`.
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
        self.notice_sleep(&mut context);
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
                self.route(context, &datagram, CallerPassage::from_fabric());
            }
            FabricDatagram::Backend(reply) => {
                context.count(Counter::BackendReply);
                self.take_reply(context, &reply);
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
                let passage = CallerPassage {
                    decided,
                    search,
                    shard: Some(shard),
                    hops,
                };
                self.route(context, &datagram, passage);
            }
            RelayFrame::Backend { reply, shard, hops } => match reply.kind {
                BackendReplyKind::UnknownFlow { .. } => {
                    self.take_relayed_unknown(context, &reply, shard, hops);
                }
                _ => self.take_relayed_reply(context, &reply, shard, hops),
            },
            RelayFrame::Learned {
                flow,
                claim,
                thread,
            } => self.learn(context, frame, flow, claim, thread),
            RelayFrame::Announced { flow, claim, shard } => {
                self.take_announced(context, flow, claim, shard);
            }
        }
    }

    pub(crate) fn hasher(snapshot: &RoutingSnapshot) -> FlowHasher {
        FlowHasher::new(snapshot.configuration.limits.flow_hash_seed)
    }

    /// Guards against a process that was paused and acts on what it believed
    /// before. A gap between two events longer than the tick shows the pause;
    /// until control has published a snapshot made after the wake, nothing is
    /// decided here. Control makes none before it has heard from others.
    fn notice_sleep<S: TrafficSink>(&mut self, context: &mut EventContext<'_, S>) {
        let gap = context.now.since(self.last_event);
        if self.last_event > Timestamp::ZERO && gap > self.bounds.sleep_gap {
            self.slept_until = Some(context.now);
            context.count(Counter::WokeLate);
        }
        self.last_event = self.last_event.max(context.now);
        if self
            .slept_until
            .is_some_and(|wake| context.snapshot.made > wake)
        {
            self.slept_until = None;
        }
    }

    /// Whether this thread may act on `snapshot`.
    pub(crate) fn may_act(&self, now: Timestamp, snapshot: &RoutingSnapshot) -> bool {
        self.slept_until.is_none() && now < snapshot.fresh_until
    }
}
