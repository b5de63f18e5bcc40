//! Measures the decisions of entry hosts. Real decision logic, or a baseline
//! in its place, is driven through its public interface by small fakes of
//! fabric, callers, backend servers and platform, in virtual time and from one
//! seed, so that policies are compared side by side under the same load.
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

/// What users of the experiment need most often.
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
