//! The configuration in force: one preset, resolved over all teams.

use std::net;
use std::time;

use serde::{Deserialize, Serialize};

use crate::backend_server::BackendEntry;
use crate::identifiers::{BackendId, ServiceId};
use crate::quantities::ConfigurationVersion;
use crate::service::ServiceEntry;
use crate::sorted_vector::SortedVector;

/// Limits that must be the same on all hosts; the root document sets them.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationLimits {
    /// The longest time from when a request is first sent to its deadline.
    pub request_lifetime: time::Duration,
    /// The largest difference allowed between the clocks of two hosts.
    pub clock_skew: time::Duration,
    /// How long the home of a shard may act without a renewal of its lease.
    pub home_lease: time::Duration,
    /// The number of shards into which the backend servers of a failure domain are divided.
    pub shards_per_domain: u16,
    /// The seed of the flow hash.
    pub flow_hash_seed: u64,
    /// Retries allowed per hundred first attempts.
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

/// One version of the configuration with one preset applied.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct InForceConfiguration {
    /// The version that this was resolved from.
    pub version: ConfigurationVersion,
    /// The name of the preset in force.
    pub preset: String,
    /// Limits that are the same on all hosts.
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
