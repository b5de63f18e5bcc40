//! The immutable state that control publishes and traffic decides by.

use std::net;
use std::sync;

use cardamomwinch_state::prelude::{
    BackendEntry, BackendId, ConfigurationVersion, DomainId, FlowHash, HostId, HostTable,
    InForceConfiguration, ServiceEntry, ServiceId, ShardId, SortedVector, Timestamp,
};

use crate::routing::candidates::CandidateList;
use crate::routing::lookup_table::LookupTables;

/// The serving phase of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingPhase {
    /// It does not serve yet, because it has no confirmed configuration or is not
    /// listed.
    Starting,
    /// It serves.
    Serving,
    /// It hands over its shards and accepts nothing new.
    Stopping,
}

/// The right of this host to act as the home of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeLease {
    /// This host acts as the home until this time, and then dispatches nothing.
    pub held_until: Timestamp,
    /// Requests that were sent before this time may be known only to an earlier
    /// home.
    pub records_since: Timestamp,
}

/// What a host knows about the home of one shard.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ShardView {
    /// The host that is assumed to be the home.
    pub home: Option<HostId>,
    /// This host's own lease, if it is the home.
    pub lease: Option<HomeLease>,
}

/// The last load report of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// When the server was probed; the report describes some time since then.
    pub asked: Timestamp,
    /// When the report was received.
    pub made: Timestamp,
    /// The number of running requests.
    pub busy_slots: u32,
    /// The number of answers sent since the server started, if it counts them.
    pub answers: Option<u64>,
}

/// The known health and load of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendView {
    /// Whether it gets no new flows because it seems to fail.
    pub ejected: bool,
    /// Whether it gets no new flows because it reports that it drains.
    pub draining: bool,
    /// The share of its slots in percent that may be used; below 100 for a cold
    /// server.
    pub warm_percent: u8,
    /// Its last load report, if this host requests reports.
    pub report: Option<ReportedLoad>,
}

impl Default for BackendView {
    /// A server that is healthy and warm.
    fn default() -> Self {
        Self {
            ejected: false,
            draining: false,
            warm_percent: 100,
            report: None,
        }
    }
}

/// The state by which traffic threads decide. It is immutable; control publishes
/// a new one for every change.
#[derive(Debug)]
pub struct RoutingSnapshot {
    /// When control created the snapshot.
    pub made: Timestamp,
    /// The serving phase of the host.
    pub phase: ServingPhase,
    /// Traffic must not use this snapshot from this time on. Control publishes a
    /// new one long before, unless it hangs or the process was paused.
    pub fresh_until: Timestamp,
    /// The configuration in force.
    pub configuration: sync::Arc<InForceConfiguration>,
    /// The published list of hosts.
    pub hosts: sync::Arc<HostTable>,
    /// When this host adopted this version of the list.
    pub hosts_since: Timestamp,
    /// The lookup tables of the version in force and of earlier versions by which
    /// open flows may have been placed, newest first.
    pub generations: Vec<sync::Arc<LookupTables>>,
    /// The number of newest generations by which some host may still place new
    /// flows, because it has not adopted a newer one yet; at least one.
    pub opening_generations: usize,
    /// Whether this host has started so recently that other hosts may still place
    /// new flows by generations that it does not know.
    pub history_missing: bool,
    /// Servers of earlier versions on which flows may still be open.
    pub retained: SortedVector<BackendId, BackendEntry>,
    /// The addresses of the backend servers in force, with their services.
    pub server_addresses: sync::Arc<SortedVector<net::SocketAddr, ServiceId>>,
    /// The names of failure domains, for display.
    pub domain_names: sync::Arc<SortedVector<DomainId, String>>,
    /// The homes of shards.
    pub shards: SortedVector<ShardId, ShardView>,
    /// The health of backend servers; an absent server is healthy and warm.
    pub backends: SortedVector<BackendId, BackendView>,
    /// Reachable peers to which a datagram can be relayed if this host may not
    /// decide about it: those of the own failure domain, or of other domains if
    /// there are none.
    pub relay_peers: Vec<HostId>,
}

impl RoutingSnapshot {
    /// The snapshot of a host that has just started.
    pub fn starting() -> Self {
        Self {
            made: Timestamp::ZERO,
            phase: ServingPhase::Starting,
            fresh_until: Timestamp::ZERO,
            configuration: sync::Arc::default(),
            hosts: sync::Arc::default(),
            hosts_since: Timestamp::ZERO,
            generations: Vec::new(),
            opening_generations: 1,
            history_missing: false,
            retained: SortedVector::new(),
            server_addresses: sync::Arc::default(),
            domain_names: sync::Arc::default(),
            shards: SortedVector::new(),
            backends: SortedVector::new(),
            relay_peers: Vec::new(),
        }
    }

    /// The version in force.
    pub fn version(&self) -> ConfigurationVersion {
        self.configuration.version
    }

    /// The name of a failure domain, or its identifier if no fragment names it.
    pub fn domain_name(&self, domain: DomainId) -> String {
        let name = self.domain_names.get(&domain);
        name.cloned().unwrap_or_else(|| domain.to_string())
    }

    /// The service that callers reach at `address`.
    pub fn service_of(&self, address: net::SocketAddr) -> Option<&ServiceEntry> {
        self.configuration.service_at(address)
    }

    /// Any shard of the fleet, if there is one.
    pub fn any_shard(&self) -> Option<ShardId> {
        self.shards.keys().next().copied()
    }

    /// The server `id`, in force or retained for its open flows.
    pub fn backend(&self, id: BackendId) -> Option<&BackendEntry> {
        let in_force = self.configuration.backends.get(&id);
        in_force.or_else(|| self.retained.get(&id))
    }

    /// The servers on which a flow may have been placed, oldest generation first.
    pub fn candidates(&self, service: ServiceId, hash: FlowHash) -> CandidateList {
        CandidateList::derive(&self.generations, service, hash)
    }

    /// The servers on which some host may currently place a new flow.
    pub fn opening_candidates(&self, service: ServiceId, hash: FlowHash) -> CandidateList {
        let kept = self.opening_generations.max(1).min(self.generations.len());
        CandidateList::derive(&self.generations[..kept], service, hash)
    }

    /// Whether this host knows no reachable home for any shard of `domain`.
    pub fn is_cut_off(&self, domain: DomainId) -> bool {
        let mut shards = self.shards.iter();
        !shards.any(|(shard, view)| shard.domain == domain && view.home.is_some())
    }

    /// Whether the list of hosts changed so recently that hosts may assume
    /// different homes for a shard. Within the duration of a lease, every host
    /// receives a message about the holder of the lease again.
    pub fn hosts_are_new(&self, now: Timestamp) -> bool {
        now < self.hosts_since.after(self.configuration.limits.home_lease)
    }

    /// The shard that `backend` belongs to.
    pub fn shard_of(&self, backend: &BackendEntry) -> ShardId {
        backend.shard(self.configuration.limits.shards_per_domain)
    }

    /// What is known about the home of `shard`.
    pub fn shard(&self, shard: ShardId) -> ShardView {
        self.shards.get(&shard).copied().unwrap_or_default()
    }

    /// This host's lease on `shard`, if it is still valid at `now`.
    pub fn lease_at(&self, shard: ShardId, now: Timestamp) -> Option<HomeLease> {
        let lease = self.shard(shard).lease?;
        (now < lease.held_until).then_some(lease)
    }

    /// The known health and load of `backend`.
    pub fn view(&self, backend: BackendId) -> BackendView {
        self.backends.get(&backend).copied().unwrap_or_default()
    }

    /// Whether `backend` gets no new flows.
    pub fn is_ejected(&self, backend: BackendId) -> bool {
        let view = self.view(backend);
        view.ejected || view.draining
    }
}
