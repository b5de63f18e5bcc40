//! One lookup table per service. Every host derives the same tables from the
//! version in force.

use std::sync;

use cardamomwinch_protocol::peer::earlier_tables::ListedServer;
use cardamomwinch_state::prelude::{
    BackendEntry, BackendId, ConfigurationVersion, FlowHash, InForceConfiguration, ServiceId,
    SortedVector, Weight,
};

use crate::routing::table_fill::{PermutationFill, TableFill};

/// The lookup table of one service.
#[derive(Debug, PartialEq, Eq)]
pub struct LookupTable {
    servers: Vec<BackendId>,
    weights: Vec<Weight>,
    positions: Vec<u32>,
}

impl LookupTable {
    /// Fills a table with those of `servers` that accept new flows.
    pub fn fill<'e>(servers: impl Iterator<Item = &'e BackendEntry>) -> Self {
        Self::fill_with::<PermutationFill>(servers)
    }

    /// Like [`Self::fill`], with the given method, for comparisons.
    pub fn fill_with<'e, F: TableFill>(servers: impl Iterator<Item = &'e BackendEntry>) -> Self {
        let accepting = servers.filter(|entry| entry.accepts_new_flows());
        let listed = accepting.map(|entry| ListedServer {
            backend: entry.id,
            weight: entry.weight,
        });
        Self::fill_sorted::<F>(&listed.collect::<Vec<_>>())
    }

    /// The server for a flow, or nothing if no server accepts new flows.
    pub fn select(&self, hash: FlowHash) -> Option<BackendId> {
        if self.positions.is_empty() {
            return None;
        }
        let position = hash.get() % self.positions.len() as u64;
        let server = self.positions[position as usize];
        self.servers.get(server as usize).copied()
    }

    /// The servers that accept new flows, ordered by identifier.
    pub fn servers(&self) -> &[BackendId] {
        &self.servers
    }

    /// The fraction of positions that have another server in `other`. Both tables
    /// must have the same number of positions.
    pub fn moved_share(&self, other: &Self) -> f64 {
        let pairs = self.positions.iter().zip(&other.positions);
        let moved = pairs.filter(|(own, theirs)| {
            self.servers.get(**own as usize) != other.servers.get(**theirs as usize)
        });
        moved.count() as f64 / self.positions.len().max(1) as f64
    }

    /// The number of positions of each server, ordered by identifier.
    pub fn shares(&self) -> Vec<usize> {
        let mut shares = vec![0; self.servers.len()];
        for server in &self.positions {
            shares[*server as usize] += 1;
        }
        shares
    }

    /// The servers and weights from which the table is derived.
    pub fn listed(&self) -> Vec<ListedServer> {
        let pairs = self.servers.iter().zip(&self.weights);
        pairs
            .map(|(backend, weight)| ListedServer {
                backend: *backend,
                weight: *weight,
            })
            .collect()
    }

    /// Fills the table for `listed`, which may be in any order and contain
    /// duplicates. The servers are sorted first, because equal tables must have
    /// the same order of servers.
    pub fn fill_listed(listed: &[ListedServer]) -> Self {
        let mut accepting = listed.to_vec();
        accepting.retain(|server| server.weight > Weight::ZERO);
        accepting.sort_unstable_by_key(|server| server.backend);
        accepting.dedup_by_key(|server| server.backend);
        Self::fill_sorted::<PermutationFill>(&accepting)
    }

    fn fill_sorted<F: TableFill>(accepting: &[ListedServer]) -> Self {
        let positions = match accepting.is_empty() {
            true => Vec::new(),
            false => F::fill(accepting),
        };
        Self {
            servers: accepting.iter().map(|server| server.backend).collect(),
            weights: accepting.iter().map(|server| server.weight).collect(),
            positions,
        }
    }

    /// Whether the table is derived from `listed`.
    pub fn is_derived_from(&self, listed: &[ListedServer]) -> bool {
        let own = self.servers.iter().zip(&self.weights);
        let wanted = listed
            .iter()
            .map(|server| (&server.backend, &server.weight));
        self.servers.len() == listed.len() && own.eq(wanted)
    }

    fn matches_entries(&self, accepting: &[&BackendEntry]) -> bool {
        let own = self.servers.iter().zip(&self.weights);
        let wanted = accepting.iter().map(|entry| (&entry.id, &entry.weight));
        self.servers.len() == accepting.len() && own.eq(wanted)
    }
}

/// The lookup tables of all services at one version.
#[derive(Debug, Default)]
pub struct LookupTables {
    /// The version from which the tables are derived.
    pub version: ConfigurationVersion,
    tables: SortedVector<ServiceId, sync::Arc<LookupTable>>,
}

impl LookupTables {
    /// Derives the tables of `configuration`. A service whose servers have not
    /// changed shares its table with `earlier`.
    pub fn derive(configuration: &InForceConfiguration, earlier: Option<&Self>) -> Self {
        let mut by_service: SortedVector<ServiceId, Vec<&BackendEntry>> = SortedVector::new();
        for entry in configuration.backends.values() {
            by_service
                .get_or_insert_with(entry.service, Vec::new)
                .push(entry);
        }
        let tables = by_service.iter().map(|(service, entries)| {
            let accepting: Vec<&BackendEntry> = entries
                .iter()
                .copied()
                .filter(|entry| entry.accepts_new_flows())
                .collect();
            let shared = earlier
                .and_then(|tables| tables.tables.get(service))
                .filter(|table| table.matches_entries(&accepting));
            let table = shared
                .cloned()
                .unwrap_or_else(|| sync::Arc::new(LookupTable::fill(accepting.iter().copied())));
            (*service, table)
        });
        Self {
            version: configuration.version,
            tables: tables.collect(),
        }
    }

    /// Combines existing tables of single services.
    pub fn assemble(
        version: ConfigurationVersion,
        tables: impl Iterator<Item = (ServiceId, sync::Arc<LookupTable>)>,
    ) -> Self {
        Self {
            version,
            tables: tables.collect(),
        }
    }

    /// Whether `other` has the same tables, and so selects the same server for
    /// every flow.
    pub fn places_like(&self, other: &Self) -> bool {
        self.tables == other.tables
    }

    /// The tables by service.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceId, &sync::Arc<LookupTable>)> {
        self.tables.iter()
    }

    /// The table of `service`.
    pub fn of_service(&self, service: ServiceId) -> Option<&LookupTable> {
        self.tables.get(&service).map(sync::Arc::as_ref)
    }

    /// The table of `service`, as a shared reference.
    pub fn shared(&self, service: ServiceId) -> Option<&sync::Arc<LookupTable>> {
        self.tables.get(&service)
    }

    /// The server that the table of `service` selects for a flow.
    pub fn select(&self, service: ServiceId, hash: FlowHash) -> Option<BackendId> {
        self.of_service(service)?.select(hash)
    }
}
