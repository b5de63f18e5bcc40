//! The whole decision logic of one host behind one interface, for programs
//! that drive hosts without threads and sockets.

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
use crate::snapshot::RoutingSnapshot;
use crate::traffic::TrafficEngine;
use crate::traffic::effect::TrafficEffect;
use crate::traffic::event::TrafficEvent;

/// Something that a host has to decide about.
#[derive(Debug, Clone)]
pub enum HostEvent<'a> {
    /// For control.
    Control(ControlEvent),
    /// For traffic.
    Traffic(TrafficEvent<'a>),
}

/// Something that a host is to do.
#[derive(Debug, Clone)]
pub enum HostEffect<'a> {
    /// From control. Snapshots, and what passes between control and traffic
    /// of this host, are taken over by the engine itself.
    Control(ControlEffect),
    /// From traffic.
    Traffic(TrafficEffect<'a>),
}

/// Takes the effects of a host.
pub trait HostSink {
    /// Carries out `effect`.
    fn emit(&mut self, effect: HostEffect<'_>);
}

impl<F: FnMut(HostEffect<'_>)> HostSink for F {
    fn emit(&mut self, effect: HostEffect<'_>) {
        self(effect);
    }
}

/// Puts the parts of a host together.
#[derive(Debug, Clone)]
pub struct HostBuilder {
    identity: HostIdentity,
    keys: AuthenticationKeys,
    bounds: TrafficBounds,
}

impl HostBuilder {
    /// Starts with the identity of the host and the keys that all hosts share.
    pub fn new(identity: HostIdentity, keys: AuthenticationKeys) -> Self {
        Self {
            identity,
            keys,
            bounds: TrafficBounds::default(),
        }
    }

    /// Bounds the tables of each traffic engine.
    #[must_use]
    pub fn with_bounds(mut self, bounds: TrafficBounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// The control engine alone.
    pub fn build_control(&self) -> ControlEngine {
        ControlEngine::new(self.identity)
    }

    /// The traffic engine of one thread alone.
    pub fn build_traffic(&self, place: ThreadPlace) -> TrafficEngine {
        TrafficEngine::new(self.identity, place, self.keys.clone(), self.bounds.clone())
    }

    /// The whole host with one traffic engine.
    pub fn build(&self) -> HostEngine {
        HostEngine {
            control: self.build_control(),
            traffic: self.build_traffic(ThreadPlace::ONLY),
            snapshot: sync::Arc::new(RoutingSnapshot::starting()),
        }
    }
}

/// What one engine of the host tells the other.
#[derive(Debug)]
enum PassedEvent {
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

/// One host: its control engine, one traffic engine, and the snapshot between.
#[derive(Debug)]
pub struct HostEngine {
    control: ControlEngine,
    traffic: TrafficEngine,
    snapshot: sync::Arc<RoutingSnapshot>,
}

impl HostEngine {
    /// Decides about `event` at `now` and gives the effects to `sink`. The time
    /// must not fall from one call to the next.
    pub fn handle<S: HostSink>(&mut self, now: Timestamp, event: HostEvent<'_>, sink: &mut S) {
        let mut passed = collections::VecDeque::new();
        match event {
            HostEvent::Control(event) => self.handle_control(now, event, &mut passed, sink),
            HostEvent::Traffic(event) => self.handle_traffic(now, event, &mut passed, sink),
        }
        while let Some(next) = passed.pop_front() {
            self.handle_passed(now, next, &mut passed, sink);
        }
    }

    fn handle_passed<S: HostSink>(
        &mut self,
        now: Timestamp,
        event: PassedEvent,
        passed: &mut collections::VecDeque<PassedEvent>,
        sink: &mut S,
    ) {
        let event = match &event {
            PassedEvent::Exported(chunk) => {
                let event = ControlEvent::HandOver(chunk.clone());
                return self.handle_control(now, event, passed, sink);
            }
            PassedEvent::Imported(report) => {
                let event = ControlEvent::TookOver(*report);
                return self.handle_control(now, event, passed, sink);
            }
            PassedEvent::Observed(observations) => {
                let event = ControlEvent::Observed(observations.clone());
                return self.handle_control(now, event, passed, sink);
            }
            PassedEvent::Release {
                hand_over,
                frozen_until,
            } => TrafficEvent::ReleaseShard {
                hand_over: *hand_over,
                frozen_until: *frozen_until,
            },
            PassedEvent::Thaw(shard) => TrafficEvent::ThawShard { shard: *shard },
            PassedEvent::Forget(shard) => TrafficEvent::ForgetShard { shard: *shard },
            PassedEvent::TakeOver(chunk) => TrafficEvent::TakeOver { chunk },
        };
        self.handle_traffic(now, event, passed, sink);
    }

    fn handle_traffic<S: HostSink>(
        &mut self,
        now: Timestamp,
        event: TrafficEvent<'_>,
        passed: &mut collections::VecDeque<PassedEvent>,
        sink: &mut S,
    ) {
        let mut emit = |effect: TrafficEffect<'_>| match effect {
            TrafficEffect::HandOver { chunk } => passed.push_back(PassedEvent::Exported(chunk)),
            TrafficEffect::TookOver(report) => passed.push_back(PassedEvent::Imported(report)),
            TrafficEffect::Observe(observations) => {
                passed.push_back(PassedEvent::Observed(observations));
            }
            effect => sink.emit(HostEffect::Traffic(effect)),
        };
        self.traffic.handle(now, &self.snapshot, event, &mut emit);
    }

    fn handle_control<S: HostSink>(
        &mut self,
        now: Timestamp,
        event: ControlEvent,
        passed: &mut collections::VecDeque<PassedEvent>,
        sink: &mut S,
    ) {
        let snapshot = &mut self.snapshot;
        let mut emit = |effect: ControlEffect| match effect {
            ControlEffect::Publish(published) => *snapshot = published,
            ControlEffect::ReleaseShard {
                hand_over,
                frozen_until,
            } => passed.push_back(PassedEvent::Release {
                hand_over,
                frozen_until,
            }),
            ControlEffect::ThawShard { shard } => passed.push_back(PassedEvent::Thaw(shard)),
            ControlEffect::ForgetShard { shard } => passed.push_back(PassedEvent::Forget(shard)),
            ControlEffect::TakeOver { chunk } => passed.push_back(PassedEvent::TakeOver(chunk)),
            effect => sink.emit(HostEffect::Control(effect)),
        };
        self.control.handle(now, event, &mut emit);
    }

    /// What traffic decides against at present.
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
