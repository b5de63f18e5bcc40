//! The line on standard output in which a process reports the addresses that it listens on.

use std::net;

use serde::Serialize;

/// The addresses that a host listens on. The settings may leave the choice of ports to the
/// operating system, so programs that start hosts read them from this line.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize)]
pub struct StartLine<'a> {
    /// The name of the host.
    pub host: &'a str,
    /// The name of its failure domain.
    pub domain: &'a str,
    /// Receives packets from callers.
    pub traffic_address: net::SocketAddr,
    /// Receives datagrams that other hosts relay; `None` for forwarding hosts, which relay none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub relay_address: Option<net::SocketAddr>,
    /// Serves readiness checks, if there is a separate address for them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub readiness_address: Option<net::SocketAddr>,
    /// Receives control messages from other hosts.
    pub peer_address: net::SocketAddr,
    /// Serves the administration API and metrics.
    pub admin_address: net::SocketAddr,
    /// Always true: the sockets are open. The host may not have a configuration yet.
    pub ready: bool,
}

impl StartLine<'_> {
    /// Writes the line to standard output, before any log line of a decision.
    pub fn print(&self) {
        println!("{}", serde_json::json!(self));
    }
}
