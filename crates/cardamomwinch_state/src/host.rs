//! Entry hosts as the platform lists them.

use std::fmt;
use std::net;

use serde::{Deserialize, Serialize};

use crate::identifiers::{DomainId, HostId};
use crate::quantities::HostListVersion;
use crate::sorted_vector::SortedVector;

/// What the platform says about a host. The list lags behind the truth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostPhase {
    /// The host is meant to run.
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

/// A host as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostEntry {
    /// The identifier, derived from the name.
    pub id: HostId,
    /// The name of the host.
    pub name: String,
    /// The failure domain it stands in.
    pub domain: DomainId,
    /// Where it takes datagrams from the fabric (UDP).
    pub traffic_address: net::SocketAddr,
    /// Where it takes control messages of other hosts (UDP, and TCP for bulk).
    pub peer_address: net::SocketAddr,
    /// Where it takes datagrams relayed by other hosts (UDP).
    pub relay_address: net::SocketAddr,
    /// What the platform says about it.
    pub phase: HostPhase,
}

/// The published list of hosts at one version.
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
