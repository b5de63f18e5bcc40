//! Forwarding of flows whose contents only their two ends read: hosts pass the
//! packets of callers on, and backend servers answer callers directly.
//!
//! Hosts share nothing. What makes any packet reach the server of its flow on
//! any host is the [`packet::FlowToken`] that a host writes into the packets to
//! the server and that both ends hand back. The rest is decided alone:
//!
//! - [`beliefs`] decides what is in force: which routes and which servers, how
//!   old that word is, and whom to ask next.
//! - [`view`] is the immutable result, which forwarding reads.
//! - [`permission`] says which servers may take it: neither those of an evacuated
//!   failure domain, nor those outside the regions of its route, nor cold ones that
//!   have had their part.
//! - [`placement`] chooses the server of a new flow.
//! - [`progress`] judges servers by what callers send again, and [`server_reports`] by
//!   what the hosts of a domain have seen together.
//! - [`engine`] decides about each packet.
//! - [`explanation`] tells operators what would be decided.

pub mod beliefs;
pub mod cold_starts;
pub mod deliveries;
pub mod directory;
pub mod engine;
pub mod evacuations;
pub mod explanation;
pub mod flow_lifetimes;
pub mod flow_watch;
pub mod held_packets;
pub mod own_reports;
pub mod packet;
pub mod permission;
pub mod placement;
pub mod progress;
pub mod recent_openings;
pub mod record;
pub mod regions;
pub mod routes;
pub mod server_reach;
pub mod server_reports;
pub mod server_starts;
pub mod slowness;
pub mod unknown_flows;
pub mod usual_wait;
pub mod view;
