//! Forwarding of flows whose contents only their two ends read: hosts forward the
//! packets of callers to backend servers, and the servers answer callers directly.
//!
//! Hosts share no state about flows. A packet reaches the server of its flow through any
//! host because of its [`packet::FlowToken`]: a host writes the token into the packets to
//! the server, the server passes it to the caller, and the caller sends it in each later
//! packet. [`token_index`] says which tokens identify which servers. Everything else each host
//! decides on its own:
//!
//! - [`discovery`] keeps the known routes and servers up to date, and decides which source to
//!   query next.
//! - [`view`] is the immutable result, which forwarding reads.
//! - [`permission`] decides which servers may take a new flow: none of an evacuated
//!   failure domain, none outside the regions of the route, and none that is cold and has
//!   received its share of new flows.
//! - [`placement`] chooses the server of a new flow.
//! - [`progress`] detects silent servers by the packets that callers repeat, and
//!   [`server_reports`] by what all hosts of a domain have observed.
//! - [`server_reach`] detects that no server answers this host, and [`sudden_silence`] does so
//!   within half a second.
//! - [`engine`] decides about each packet.
//! - [`explanation`] shows operators what would be decided.

pub mod cold_starts;
pub mod deliveries;
pub mod directory;
pub mod discovery;
pub mod engine;
pub mod evacuations;
pub mod explanation;
pub mod flow_lifetimes;
pub mod flow_watch;
pub mod held_packets;
pub mod overdue_timeout;
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
pub mod sudden_silence;
pub mod token_index;
pub mod unknown_flows;
pub mod view;
