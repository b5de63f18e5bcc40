//! Backend servers: what runs the requests.

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
    /// It takes new flows.
    Active,
    /// It keeps the flows it has and gets no new one.
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

/// A backend server as it is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendEntry {
    /// The identifier, derived from service, name and address.
    pub id: BackendId,
    /// The name that its team gave it.
    pub name: String,
    /// The service it serves.
    pub service: ServiceId,
    /// The failure domain it stands in.
    pub domain: DomainId,
    /// Where it takes datagrams (UDP) and answers about its load (HTTP).
    pub address: net::SocketAddr,
    /// Requests it runs at the same time.
    pub slots: SlotCount,
    /// Flows it holds open at the same time.
    pub connections: ConnectionCount,
    /// Its share of new flows.
    pub weight: Weight,
    /// Whether it gets new flows.
    pub phase: BackendPhase,
}

impl BackendEntry {
    /// Whether the server may be given a new flow.
    pub fn takes_new_flows(&self) -> bool {
        self.phase == BackendPhase::Active && self.weight > Weight::ZERO
    }

    /// The shard of its failure domain that the server belongs to.
    pub fn shard(&self, shards_per_domain: u16) -> ShardId {
        ShardId::of_backend(self.domain, self.id, shards_per_domain)
    }
}
