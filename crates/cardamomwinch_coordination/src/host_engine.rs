//! The complete decision logic of one host behind one interface, for programs
//! that run hosts without threads and sockets.

use std::collections;
use std::sync;

use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::HandOverId;
use cardamomwinch_protocol::prelude::AuthenticationKeys;
use cardamomwinch_state::prelude::{ShardId, Timestamp};

use crate::bounds::TrafficBounds;
use crate::control::ControlEngine;
use crate::control::effect::ControlEffect;
use crate::control::event::{ControlEvent, TakeOverReport};
use crate::control::health::observation::BackendObservation;
use crate::identity::{HostIdentity, ThreadPlace};
use crate::routing::placement::PlacementChoice;
use crate::snapshot::RoutingSnapshot;
use crate::traffic::TrafficEngine;
use crate::traffic::effect::TrafficEffect;
use crate::traffic::event::TrafficEvent;

/// An event for a host.
#[derive(Debug, Clone)]
pub enum HostEvent<'a> {
    /// An event for the control engine.
    Control(ControlEvent),
    /// An event for the traffic engine.
    Traffic(TrafficEvent<'a>),
}

/// An action for the host to carry out.
#[derive(Debug, Clone)]
pub enum HostEffect<'a> {
    /// An effect of the control engine. Snapshots and other effects that only
    /// concern the traffic engine of this host are handled internally.
    Control(ControlEffect),
    /// An effect of the traffic engine.
    Traffic(TrafficEffect<'a>),
}

/// Receives the effects of a host.
pub trait HostSink {
    /// Carries out `effect`.
    fn emit(&mut self, effect: HostEffect<'_>);
}

impl<F: FnMut(HostEffect<'_>)> HostSink for F {
    fn emit(&mut self, effect: HostEffect<'_>) {
        self(effect);
    }
}

/// Builds the engines of a host.
#[derive(Debug, Clone)]
pub struct HostBuilder {
    identity: HostIdentity,
    keys: AuthenticationKeys,
    bounds: TrafficBounds,
    placement: PlacementChoice,
}

impl HostBuilder {
    /// Creates a builder with the identity of the host and the keys that all hosts
    /// share.
    pub fn new(identity: HostIdentity, keys: AuthenticationKeys) -> Self {
        Self {
            identity,
            keys,
            bounds: TrafficBounds::default(),
            placement: PlacementChoice::default(),
        }
    }

    /// Sets the bounds of each traffic engine.
    #[must_use]
    pub fn with_bounds(mut self, bounds: TrafficBounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Sets another placement policy for new flows than the default, for
    /// comparisons.
    #[must_use]
    pub fn with_placement(mut self, placement: PlacementChoice) -> Self {
        self.placement = placement;
        self
    }

    /// Builds only the control engine.
    pub fn build_control(&self) -> ControlEngine {
        ControlEngine::new(self.identity)
    }

    /// Builds only the traffic engine of one thread.
    pub fn build_traffic(&self, place: ThreadPlace) -> TrafficEngine {
        let bounds = self.bounds.clone();
        TrafficEngine::new(self.identity, place, self.keys.clone(), bounds)
            .with_placement(self.placement)
    }

    /// Builds a host with one traffic engine.
    pub fn build(&self) -> HostEngine {
        HostEngine {
            control: self.build_control(),
            traffic: self.build_traffic(ThreadPlace::ONLY),
            snapshot: sync::Arc::new(RoutingSnapshot::starting()),
        }
    }
}

/// An effect of one engine of the host that is an event for the other.
#[derive(Debug)]
enum InternalEvent {
    Release {
        hand_over: HandOverId,
        frozen_until: Timestamp,
    },
    Thaw(ShardId),
    Forget(ShardId),
    TakeOver(HandOverChunk),
    Exported(HandOverChunk),
    Imported(TakeOverReport),
    Observed(Vec<BackendObservation>),
}

/// One host: its control engine, one traffic engine, and the current snapshot.
#[derive(Debug)]
pub struct HostEngine {
    control: ControlEngine,
    traffic: TrafficEngine,
    snapshot: sync::Arc<RoutingSnapshot>,
}

impl HostEngine {
    /// Handles `event` at `now` and emits the effects into `sink`. `now` must not
    /// decrease between calls.
    pub fn handle<S: HostSink>(&mut self, now: Timestamp, event: HostEvent<'_>, sink: &mut S) {
        let mut queue = collections::VecDeque::new();
        match event {
            HostEvent::Control(event) => self.handle_control(now, event, &mut queue, sink),
            HostEvent::Traffic(event) => self.handle_traffic(now, event, &mut queue, sink),
        }
        while let Some(next) = queue.pop_front() {
            self.handle_internal(now, next, &mut queue, sink);
        }
    }

    fn handle_internal<S: HostSink>(
        &mut self,
        now: Timestamp,
        event: InternalEvent,
        queue: &mut collections::VecDeque<InternalEvent>,
        sink: &mut S,
    ) {
        let event = match &event {
            InternalEvent::Exported(chunk) => {
                let event = ControlEvent::HandOver(chunk.clone());
                return self.handle_control(now, event, queue, sink);
            }
            InternalEvent::Imported(report) => {
                let event = ControlEvent::TookOver(*report);
                return self.handle_control(now, event, queue, sink);
            }
            InternalEvent::Observed(observations) => {
                let event = ControlEvent::Observed(observations.clone());
                return self.handle_control(now, event, queue, sink);
            }
            InternalEvent::Release {
                hand_over,
                frozen_until,
            } => TrafficEvent::ReleaseShard {
                hand_over: *hand_over,
                frozen_until: *frozen_until,
            },
            InternalEvent::Thaw(shard) => TrafficEvent::ThawShard { shard: *shard },
            InternalEvent::Forget(shard) => TrafficEvent::ForgetShard { shard: *shard },
            InternalEvent::TakeOver(chunk) => TrafficEvent::TakeOver { chunk },
        };
        self.handle_traffic(now, event, queue, sink);
    }

    fn handle_traffic<S: HostSink>(
        &mut self,
        now: Timestamp,
        event: TrafficEvent<'_>,
        queue: &mut collections::VecDeque<InternalEvent>,
        sink: &mut S,
    ) {
        let mut emit = |effect: TrafficEffect<'_>| match effect {
            TrafficEffect::HandOver { chunk } => queue.push_back(InternalEvent::Exported(chunk)),
            TrafficEffect::TookOver(report) => queue.push_back(InternalEvent::Imported(report)),
            TrafficEffect::Observe(observations) => {
                queue.push_back(InternalEvent::Observed(observations));
            }
            effect => sink.emit(HostEffect::Traffic(effect)),
        };
        self.traffic.handle(now, &self.snapshot, event, &mut emit);
    }

    fn handle_control<S: HostSink>(
        &mut self,
        now: Timestamp,
        event: ControlEvent,
        queue: &mut collections::VecDeque<InternalEvent>,
        sink: &mut S,
    ) {
        let snapshot = &mut self.snapshot;
        let mut emit = |effect: ControlEffect| match effect {
            ControlEffect::Publish(published) => *snapshot = published,
            ControlEffect::ReleaseShard {
                hand_over,
                frozen_until,
            } => queue.push_back(InternalEvent::Release {
                hand_over,
                frozen_until,
            }),
            ControlEffect::ThawShard { shard } => queue.push_back(InternalEvent::Thaw(shard)),
            ControlEffect::ForgetShard { shard } => queue.push_back(InternalEvent::Forget(shard)),
            ControlEffect::TakeOver { chunk } => queue.push_back(InternalEvent::TakeOver(chunk)),
            effect => sink.emit(HostEffect::Control(effect)),
        };
        self.control.handle(now, event, &mut emit);
    }

    /// The current snapshot.
    pub fn snapshot(&self) -> &RoutingSnapshot {
        &self.snapshot
    }

    /// The control engine, for inspection.
    pub fn control(&self) -> &ControlEngine {
        &self.control
    }

    /// The traffic engine, for inspection.
    pub fn traffic(&self) -> &TrafficEngine {
        &self.traffic
    }
}
