//! cardamomwinch: a layer-4 load balancer. Its hosts act as one towards callers
//! without shared state.
//!
//! This crate re-exports the others of the workspace, so that a program that
//! builds on the load balancer names one dependency:
//!
//! ```
//! use cardamomwinch::prelude::*;
//!
//! let identity = HostIdentity {
//!     host: HostId::from_name("bud-angyal-1"),
//!     domain: DomainId::from_name("bud-angyal"),
//!     incarnation: Incarnation::new(1),
//! };
//! let keys = AuthenticationKeys::new(SecretKey::new([7; 32]), None);
//! let engine = HostBuilder::new(identity, keys).build();
//! assert_eq!(engine.snapshot().phase, ServingPhase::Starting);
//! ```

pub use cardamomwinch_configuration as configuration;
pub use cardamomwinch_coordination as coordination;
pub use cardamomwinch_daemon as daemon;
pub use cardamomwinch_protocol as protocol;
pub use cardamomwinch_state as state;
pub use cardamomwinch_transport as transport;

/// The items that programs which embed a host use most often.
pub mod prelude {
    pub use cardamomwinch_configuration::prelude::*;
    pub use cardamomwinch_coordination::prelude::*;
    pub use cardamomwinch_protocol::prelude::*;
    pub use cardamomwinch_state::prelude::*;
}
