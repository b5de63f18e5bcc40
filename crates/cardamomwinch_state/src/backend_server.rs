//! Backend servers, which run the requests.

use std::fmt;
use std::net;

use serde::{Deserialize, Serialize};

use crate::identifiers::{BackendId, DomainId, ServiceId, ShardId};
use crate::quantities::{ConnectionCount, SlotCount, Weight};

/// Whether a backend server gets new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendPhase {
    /// It accepts new flows.
    Active,
    /// It keeps its open flows and gets no new ones.
    Draining,
}

impl fmt::Display for BackendPhase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Active => "active",
            Self::Draining => "draining",
        })
    }
}

/// A backend server of the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendEntry {
    /// The identifier, derived from service, name and address.
    pub id: BackendId,
    /// The name that its team gave it.
    pub name: String,
    /// The service it serves.
    pub service: ServiceId,
    /// The failure domain it is in.
    pub domain: DomainId,
    /// Where it receives datagrams (UDP) and serves its load report (HTTP).
    pub address: net::SocketAddr,
    /// The most requests it runs at the same time.
    pub slots: SlotCount,
    /// The most flows it holds open at the same time.
    pub connections: ConnectionCount,
    /// Its relative share of new flows.
    pub weight: Weight,
    /// Whether it gets new flows.
    pub phase: BackendPhase,
}

impl BackendEntry {
    /// Whether a new flow may be placed on the server.
    pub fn accepts_new_flows(&self) -> bool {
        self.phase == BackendPhase::Active && self.weight > Weight::ZERO
    }

    /// The shard of its failure domain that the server belongs to.
    pub fn shard(&self, shards_per_domain: u16) -> ShardId {
        ShardId::of_backend(self.domain, self.id, shards_per_domain)
    }
}
