//! The whole decision logic of one host behind one interface, for programs
//! that drive hosts without threads and sockets.

use std::sync;

use cardamomwinch_protocol::prelude::AuthenticationKeys;
use cardamomwinch_state::prelude::Timestamp;

use crate::bounds::TrafficBounds;
use crate::control::ControlEngine;
use crate::control::effect::ControlEffect;
use crate::control::event::ControlEvent;
use crate::identity::{HostIdentity, ThreadPlace};
use crate::routing::placement::PlacementChoice;
use crate::snapshot::RoutingSnapshot;
use crate::traffic::TrafficEngine;
use crate::traffic::effect::TrafficEffect;
use crate::traffic::event::TrafficEvent;

/// Something that a host has to decide about.
#[derive(Debug, Clone)]
#[expect(
    clippy::large_enum_variant,
    reason = "an event is made on the stack and used at once, never stored"
)]
pub enum HostEvent<'a> {
    /// For control.
    Control(ControlEvent),
    /// For traffic.
    Traffic(TrafficEvent<'a>),
}

/// Something that a host is to do.
#[derive(Debug, Clone)]
#[expect(
    clippy::large_enum_variant,
    reason = "an effect is made on the stack and used at once, never stored"
)]
pub enum HostEffect<'a> {
    /// From control. Snapshots are taken over by the engine itself.
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
    placement: PlacementChoice,
}

impl HostBuilder {
    /// Starts with the identity of the host and the keys that all hosts share.
    pub fn new(identity: HostIdentity, keys: AuthenticationKeys) -> Self {
        Self {
            identity,
            keys,
            bounds: TrafficBounds::default(),
            placement: PlacementChoice::default(),
        }
    }

    /// Bounds the tables of each traffic engine.
    #[must_use]
    pub fn with_bounds(mut self, bounds: TrafficBounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Places new flows by another policy than the product's, to compare.
    #[must_use]
    pub fn with_placement(mut self, placement: PlacementChoice) -> Self {
        self.placement = placement;
        self
    }

    /// The control engine alone.
    pub fn build_control(&self) -> ControlEngine {
        ControlEngine::new(self.identity)
    }

    /// The traffic engine of one thread alone.
    pub fn build_traffic(&self, place: ThreadPlace) -> TrafficEngine {
        let bounds = self.bounds.clone();
        TrafficEngine::new(self.identity, place, self.keys.clone(), bounds)
            .with_placement(self.placement)
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
        match event {
            HostEvent::Control(event) => self.handle_control(now, event, sink),
            HostEvent::Traffic(event) => {
                let mut emit = |effect: TrafficEffect<'_>| sink.emit(HostEffect::Traffic(effect));
                self.traffic.handle(now, &self.snapshot, event, &mut emit);
            }
        }
    }

    fn handle_control<S: HostSink>(&mut self, now: Timestamp, event: ControlEvent, sink: &mut S) {
        let snapshot = &mut self.snapshot;
        let mut emit = |effect: ControlEffect| match effect {
            ControlEffect::Publish(published) => *snapshot = published,
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
