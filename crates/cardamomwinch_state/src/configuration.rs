//! The configuration in force: one preset, resolved over all teams.

use std::net;
use std::time;

use serde::{Deserialize, Serialize};

use crate::backend_server::BackendEntry;
use crate::identifiers::{BackendId, ServiceId};
use crate::quantities::ConfigurationVersion;
use crate::service::ServiceEntry;
use crate::sorted_vector::SortedVector;

/// Limits that all hosts must apply alike; the root document sets them.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationLimits {
    /// The longest time between the first sending of a request and its deadline.
    pub request_lifetime: time::Duration,
    /// How far apart two hosts' clocks may be.
    pub clock_skew: time::Duration,
    /// How long a home host may act without its lease being renewed.
    pub home_lease: time::Duration,
    /// Shards into which the backend servers of a failure domain are divided.
    pub shards_per_domain: u16,
    /// The seed of the flow hash.
    pub flow_hash_seed: u64,
    /// Retries allowed per hundred first tries.
    pub retry_percent: u32,
}

impl Default for ConfigurationLimits {
    fn default() -> Self {
        Self {
            request_lifetime: time::Duration::from_secs(10),
            clock_skew: time::Duration::from_millis(100),
            home_lease: time::Duration::from_millis(1500),
            shards_per_domain: 32,
            flow_hash_seed: 0,
            retry_percent: 10,
        }
    }
}

/// One version of the configuration with exactly one preset applied.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct InForceConfiguration {
    /// The version that this was resolved from.
    pub version: ConfigurationVersion,
    /// The name of the preset in force.
    pub preset: String,
    /// Limits that all hosts apply alike.
    pub limits: ConfigurationLimits,
    /// Services by identifier.
    pub services: SortedVector<ServiceId, ServiceEntry>,
    /// Backend servers by identifier.
    pub backends: SortedVector<BackendId, BackendEntry>,
    /// Services by the address that callers use.
    pub addresses: SortedVector<net::SocketAddr, ServiceId>,
}

impl InForceConfiguration {
    /// The service that callers reach at `address`.
    pub fn service_at(&self, address: net::SocketAddr) -> Option<&ServiceEntry> {
        let id = self.addresses.get(&address)?;
        self.services.get(id)
    }

    /// The backend servers of `service`, in the order of their identifiers.
    pub fn backends_of(&self, service: ServiceId) -> impl Iterator<Item = &BackendEntry> {
        self.backends
            .values()
            .filter(move |backend| backend.service == service)
    }
}
