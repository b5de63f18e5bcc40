//! The entry host process. The control thread maintains the control state and publishes
//! snapshots of it; the traffic threads handle datagrams by the latest snapshot.
//!
//! All decisions are made by the engines of [`cardamomwinch_coordination`]. The process passes
//! events to them and carries out their effects:
//!
//! ```no_run
//! use cardamomwinch_daemon::prelude::*;
//!
//! let arguments = DaemonArguments { settings: "host.jsonc".into() };
//! let status = launch::run(&arguments).unwrap();
//! assert_eq!(status, StopStatus::Graceful);
//! ```

pub mod administration;
pub mod arguments;
pub mod control_effects;
pub mod control_thread;
pub mod counter_handles;
pub mod decision_line;
pub mod launch;
pub mod log_level;
pub mod messages;
pub mod peer_delivery;
pub mod platform_calls;
pub mod program;
pub mod snapshot_cell;
pub mod start_line;
pub mod stopping;
pub mod traffic_effects;
pub mod traffic_thread;

/// The items that a program needs to run a host.
pub mod prelude {
    pub use crate::arguments::{ArgumentError, DaemonArguments, DaemonCommand};
    pub use crate::launch::{self, LaunchError};
    pub use crate::stopping::StopStatus;
}
