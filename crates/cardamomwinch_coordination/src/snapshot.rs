//! The immutable view that control publishes and traffic decides against.

use std::net;
use std::sync;

use cardamomwinch_state::prelude::{
    BackendEntry, BackendId, ConfigurationVersion, DomainId, FlowHash, HostId, HostTable,
    InForceConfiguration, ServiceEntry, ServiceId, ShardId, SortedVector, Timestamp,
};

use crate::routing::candidates::CandidateList;
use crate::routing::lookup_table::LookupTables;

/// Whether the host serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingPhase {
    /// It holds no configuration yet.
    Starting,
    /// It serves.
    Serving,
    /// It hands over and takes nothing new.
    Stopping,
}

/// The right of this host to act as the home of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeLease {
    /// Nothing is dispatched from this point on.
    pub held_until: Timestamp,
    /// Requests that may have been sent before this point may be known to an
    /// earlier home only.
    pub records_since: Timestamp,
}

/// What a host believes about the home of one shard.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ShardView {
    /// The host believed to be home.
    pub home: Option<HostId>,
    /// This host's own lease, where it is home.
    pub lease: Option<HomeLease>,
}

/// What the load endpoint of a backend server said last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// When it was asked; what it says is so at some point since.
    pub asked: Timestamp,
    /// When its answer came.
    pub made: Timestamp,
    /// Requests that it says are running.
    pub busy_slots: u32,
    /// Answers that it has sent since it started, where it counts them.
    pub answers: Option<u64>,
}

/// What is known about the health and load of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendView {
    /// Whether new flows are kept away because the server seems to fail.
    pub ejected: bool,
    /// Whether new flows are kept away because the server says that it drains.
    pub draining: bool,
    /// The share of its slots that a cold server is given, in percent.
    pub warm_percent: u8,
    /// Its last load report, where this host asks for one.
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

/// Everything that traffic threads decide against. A new one is published as a
/// whole; nothing in it ever changes.
#[derive(Debug)]
pub struct RoutingSnapshot {
    /// When control made the snapshot.
    pub made: Timestamp,
    /// Whether the host serves.
    pub phase: ServingPhase,
    /// Traffic must not rely on this snapshot after this point: control
    /// renews it long before, so that passing it means that control is stuck
    /// or that the whole process slept.
    pub fresh_until: Timestamp,
    /// What is in force.
    pub configuration: sync::Arc<InForceConfiguration>,
    /// The published hosts.
    pub hosts: sync::Arc<HostTable>,
    /// Since when these are the published hosts, as this host knows.
    pub hosts_since: Timestamp,
    /// Lookup tables of the version in force, and of earlier versions that
    /// flows may still live under, newest first.
    pub generations: Vec<sync::Arc<LookupTables>>,
    /// How many of the newest generations another host may still place new
    /// flows by, because it has not adopted a newer one yet; at least one.
    pub opening_generations: usize,
    /// Whether this host started so lately that other hosts may still place new
    /// flows by generations that it never knew.
    pub history_missing: bool,
    /// Servers of earlier versions whose flows may still be open.
    pub retained: SortedVector<BackendId, BackendEntry>,
    /// Addresses of backend servers in force, with the service each belongs to.
    pub server_addresses: sync::Arc<SortedVector<net::SocketAddr, ServiceId>>,
    /// The names of failure domains, for people.
    pub domain_names: sync::Arc<SortedVector<DomainId, String>>,
    /// The homes of shards.
    pub shards: SortedVector<ShardId, ShardView>,
    /// Health of backend servers; a server that is absent is healthy and warm.
    pub backends: SortedVector<BackendId, BackendView>,
    /// Peers of the own failure domain that answer, most useful first.
    pub helpers: Vec<HostId>,
}

impl RoutingSnapshot {
    /// The view of a host that has just started.
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
            helpers: Vec::new(),
        }
    }

    /// The version in force.
    pub fn version(&self) -> ConfigurationVersion {
        self.configuration.version
    }

    /// The name of a failure domain, or its identifier where no fragment names it.
    pub fn domain_name(&self, domain: DomainId) -> String {
        let name = self.domain_names.get(&domain);
        name.cloned().unwrap_or_else(|| domain.to_string())
    }

    /// The service that callers reach at `address`.
    pub fn service_of(&self, address: net::SocketAddr) -> Option<&ServiceEntry> {
        self.configuration.service_at(address)
    }

    /// Some shard of the fleet, where there is any.
    pub fn any_shard(&self) -> Option<ShardId> {
        self.shards.keys().next().copied()
    }

    /// The server `id`, whether in force or retained for its flows.
    pub fn backend(&self, id: BackendId) -> Option<&BackendEntry> {
        let in_force = self.configuration.backends.get(&id);
        in_force.or_else(|| self.retained.get(&id))
    }

    /// The servers that a flow may have been placed on, oldest generation first.
    pub fn candidates(&self, service: ServiceId, hash: FlowHash) -> CandidateList {
        CandidateList::derive(&self.generations, service, hash)
    }

    /// The servers that some host may place a new flow on at present.
    pub fn opening_candidates(&self, service: ServiceId, hash: FlowHash) -> CandidateList {
        let kept = self.opening_generations.max(1).min(self.generations.len());
        CandidateList::derive(&self.generations[..kept], service, hash)
    }

    /// Whether no shard of `domain` has a home that this host can reach.
    pub fn is_cut_off(&self, domain: DomainId) -> bool {
        let mut shards = self.shards.iter();
        !shards.any(|(shard, view)| shard.domain == domain && view.home.is_some())
    }

    /// Whether the list of hosts changed so lately that hosts may take different ones
    /// for the home of a shard: its holder is heard of again within a lease.
    pub fn hosts_are_new(&self, now: Timestamp) -> bool {
        now < self.hosts_since.after(self.configuration.limits.home_lease)
    }

    /// The shard that `backend` belongs to.
    pub fn shard_of(&self, backend: &BackendEntry) -> ShardId {
        backend.shard(self.configuration.limits.shards_per_domain)
    }

    /// What is believed about `shard`.
    pub fn shard(&self, shard: ShardId) -> ShardView {
        self.shards.get(&shard).copied().unwrap_or_default()
    }

    /// This host's lease on `shard`, where it still holds at `now`.
    pub fn lease_at(&self, shard: ShardId, now: Timestamp) -> Option<HomeLease> {
        let lease = self.shard(shard).lease?;
        (now < lease.held_until).then_some(lease)
    }

    /// What is known about the health and load of `backend`.
    pub fn view(&self, backend: BackendId) -> BackendView {
        self.backends.get(&backend).copied().unwrap_or_default()
    }

    /// Whether new flows are kept away from `backend`.
    pub fn is_ejected(&self, backend: BackendId) -> bool {
        let view = self.view(backend);
        view.ejected || view.draining
    }
}
