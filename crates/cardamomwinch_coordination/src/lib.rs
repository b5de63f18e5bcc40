//! The decision logic of a host as pure code: an engine handles an event at a
//! given time and emits typed effects into a sink. It opens no sockets and reads
//! no clock, so any program can run one host, or many in one process, with
//! [`host_engine::HostEngine`].
//!
//! - [`control`] decides which configuration is in force, which hosts are
//!   reachable, and which host is the home of each shard.
//! - [`traffic`] decides about each datagram by the immutable
//!   [`snapshot::RoutingSnapshot`] that control publishes.
//! - [`forwarding`] decides about flows whose contents only the caller and the
//!   backend server can read.
//! - [`load`] contains the decisions under load that `forwarding` and `traffic` share.
//! - [`routing`] contains the selection of backend servers and homes.
//!
//! ```
//! use cardamomwinch_coordination::prelude::*;
//! use cardamomwinch_protocol::prelude::*;
//! use cardamomwinch_state::prelude::*;
//!
//! let identity = HostIdentity {
//!     host: HostId::from_name("bud-angyal-1"),
//!     domain: DomainId::from_name("bud-angyal"),
//!     incarnation: Incarnation::new(1),
//! };
//! let keys = AuthenticationKeys::new(SecretKey::new([7; 32]), None);
//! let mut engine = HostBuilder::new(identity, keys).build();
//! let mut called_platform = false;
//! engine.handle(Timestamp::new(1), HostEvent::Control(ControlEvent::Start), &mut |effect: HostEffect<'_>| {
//!     called_platform |= matches!(effect, HostEffect::Control(ControlEffect::Platform(_)));
//! });
//! assert!(called_platform, "a starting host calls the platform first");
//! ```

pub mod bounds;
pub mod control;
pub mod counter;
pub mod decision;
pub mod forwarding;
pub mod host_engine;
pub mod identity;
pub mod load;
pub mod routing;
pub mod snapshot;
pub mod traffic;

/// The most commonly used items of the decision logic.
pub mod prelude {
    pub use crate::bounds::TrafficBounds;
    pub use crate::control::ControlEngine;
    pub use crate::control::effect::{ControlEffect, ControlSink};
    pub use crate::control::event::{ControlEvent, PlatformKey, PlatformOutcome, PlatformRequest};
    pub use crate::counter::Counter;
    pub use crate::decision::{DecisionReason, DecisionRecord};
    pub use crate::forwarding::engine::{ForwardingEngine, ForwardingSink};
    pub use crate::forwarding::record::{ForwardingOutcome, ForwardingRecord};
    pub use crate::forwarding::view::ForwardingView;
    pub use crate::host_engine::{HostBuilder, HostEffect, HostEngine, HostEvent, HostSink};
    pub use crate::identity::{HostIdentity, ThreadPlace};
    pub use crate::load::LoadPolicy;
    pub use crate::snapshot::{HomeLease, RoutingSnapshot, ServingPhase};
    pub use crate::traffic::TrafficEngine;
    pub use crate::traffic::effect::{TrafficEffect, TrafficSink};
    pub use crate::traffic::event::TrafficEvent;
}
