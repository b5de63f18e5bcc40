//! Hosts and the list of them that the platform publishes.

use std::fmt;
use std::net;

use serde::{Deserialize, Serialize};

use crate::identifiers::{DomainId, HostId};
use crate::quantities::HostListVersion;
use crate::sorted_vector::SortedVector;

/// The phase of a host in the published list, which lags behind the real state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostPhase {
    /// The host should be running.
    Live,
    /// The host is about to stop.
    Leaving,
}

impl fmt::Display for HostPhase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
        })
    }
}

/// A host in the list that the platform publishes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostEntry {
    /// The identifier, derived from the name.
    pub id: HostId,
    /// The name of the host.
    pub name: String,
    /// The failure domain it is in.
    pub domain: DomainId,
    /// Where it receives datagrams from the fabric (UDP).
    pub traffic_address: net::SocketAddr,
    /// Where it receives control messages from other hosts (UDP, and TCP for large messages).
    pub peer_address: net::SocketAddr,
    /// Where it receives datagrams that other hosts relay (UDP).
    pub relay_address: net::SocketAddr,
    /// Its phase according to the platform.
    pub phase: HostPhase,
}

/// One version of the published list of hosts.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct HostTable {
    /// The version of the list.
    pub version: HostListVersion,
    /// The hosts by identifier.
    pub hosts: SortedVector<HostId, HostEntry>,
}

impl HostTable {
    /// The host with identifier `id`.
    pub fn get(&self, id: HostId) -> Option<&HostEntry> {
        self.hosts.get(&id)
    }

    /// The hosts of failure domain `domain`, in the order of their identifiers.
    pub fn in_domain(&self, domain: DomainId) -> impl Iterator<Item = &HostEntry> {
        self.hosts
            .values()
            .filter(move |host| host.domain == domain)
    }
}
