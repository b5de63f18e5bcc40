//! Measures the decisions of entry hosts, the hosts that receive datagrams from
//! the fabric. The real decision logic, or a baseline instead of it, is driven
//! through its public interface by small fakes of the fabric, callers, backend
//! servers and the platform. A run uses virtual time and one seed, so that
//! policies can be compared under the same load.
//!
//! ```
//! use std::time;
//!
//! use cardamomwinch_coordination::prelude::HostEngine;
//! use cardamomwinch_experiment::prelude::*;
//!
//! let options = RunOptions {
//!     plan: DeploymentPlan::new(DeploymentName::Budapest, 6),
//!     scenario: "calm".parse().unwrap(),
//!     load: 0.02,
//!     echo_share: 0.5,
//!     loss: 0.001,
//!     seed: 1,
//!     traced: None,
//! };
//! let measures = WorldRun::<HostEngine>::measure(options.clone(), &mut |_: time::Duration| ());
//! let report = RunReport::new("product", &options, 1, &measures);
//! assert!(report.established > 0);
//! ```

pub mod backends;
pub mod baseline;
pub mod callers;
pub mod changes;
pub mod deployment;
pub mod documents;
pub mod event_queue;
pub mod hosts;
pub mod measures;
pub mod network;
pub mod platform;
pub mod policy;
pub mod report;
pub mod wire;
pub mod world;

/// The items that most users of the experiment need.
pub mod prelude {
    pub use crate::baseline::BaselineHost;
    pub use crate::baseline::consistent_table::ConsistentTable;
    pub use crate::baseline::pinned_hash::PinnedHash;
    pub use crate::changes::{ChangeKind, ChangeScenario};
    pub use crate::deployment::{DeploymentName, DeploymentPlan};
    pub use crate::policy::HostPolicy;
    pub use crate::report::{RunReport, TABLE_HEAD};
    pub use crate::world::{RunOptions, WorldRun};
}
