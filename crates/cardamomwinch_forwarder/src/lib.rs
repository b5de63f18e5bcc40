//! The process of a forwarding host. The control thread discovers the configuration and
//! the backend servers and publishes them as a view; the traffic thread forwards packets
//! by the view published last.
//!
//! Every decision is made by [`cardamomwinch_coordination::forwarding`], and every
//! format is defined by [`cardamomwinch_platform`]. This crate connects them with the
//! sockets and the clock.
//!
//! ```no_run
//! use cardamomwinch_forwarder::prelude::*;
//!
//! launch::run("host.jsonc".as_ref()).unwrap();
//! ```

pub mod administration;
pub mod admission_metrics;
pub mod control_thread;
pub mod decision_lines;
pub mod discovery_lines;
pub mod launch;
pub mod outcome_counters;
pub mod outlier_lines;
pub mod peer_calls;
pub mod peer_wire;
pub mod reload;
pub mod spill_metrics;
pub mod stopping;
pub mod traffic_thread;
pub mod view_cell;

/// The items that a program needs to run a host.
pub mod prelude {
    pub use crate::launch::{self, LaunchError};
}
