//! One lookup table per service, derived alike on every host from the version
//! in force.

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
    /// Fills a table for those of `servers` that take new flows.
    pub fn fill<'e>(servers: impl Iterator<Item = &'e BackendEntry>) -> Self {
        Self::fill_by::<PermutationFill>(servers)
    }

    /// The same in a way of the caller's choice, to compare.
    pub fn fill_by<'e, F: TableFill>(servers: impl Iterator<Item = &'e BackendEntry>) -> Self {
        let takers = servers.filter(|entry| entry.takes_new_flows());
        let listed = takers.map(|entry| ListedServer {
            backend: entry.id,
            weight: entry.weight,
        });
        Self::fill_sorted::<F>(&listed.collect::<Vec<_>>())
    }

    /// The server for a flow, unless no server takes new flows.
    pub fn select(&self, hash: FlowHash) -> Option<BackendId> {
        if self.positions.is_empty() {
            return None;
        }
        let position = hash.get() % self.positions.len() as u64;
        let server = self.positions[position as usize];
        self.servers.get(server as usize).copied()
    }

    /// Servers that take new flows, in the order of their identifiers.
    pub fn servers(&self) -> &[BackendId] {
        &self.servers
    }

    /// The share of positions, in parts of one, that `other` gives to another
    /// server. Both must have the same number of positions.
    pub fn moved_share(&self, other: &Self) -> f64 {
        let pairs = self.positions.iter().zip(&other.positions);
        let moved = pairs.filter(|(mine, theirs)| {
            self.servers.get(**mine as usize) != other.servers.get(**theirs as usize)
        });
        moved.count() as f64 / self.positions.len().max(1) as f64
    }

    /// Positions of each server, in the order of their identifiers.
    pub fn shares(&self) -> Vec<usize> {
        let mut shares = vec![0; self.servers.len()];
        for server in &self.positions {
            shares[*server as usize] += 1;
        }
        shares
    }

    /// What the table derives from.
    pub fn listed(&self) -> Vec<ListedServer> {
        let pairs = self.servers.iter().zip(&self.weights);
        pairs
            .map(|(backend, weight)| ListedServer {
                backend: *backend,
                weight: *weight,
            })
            .collect()
    }

    /// Fills the table that `listed` describes. The order of a message is not
    /// relied on: tables are equal only where their servers are sorted alike.
    pub fn refill(listed: &[ListedServer]) -> Self {
        let mut takers = listed.to_vec();
        takers.retain(|taker| taker.weight > Weight::ZERO);
        takers.sort_unstable_by_key(|taker| taker.backend);
        takers.dedup_by_key(|taker| taker.backend);
        Self::fill_sorted::<PermutationFill>(&takers)
    }

    fn fill_sorted<F: TableFill>(takers: &[ListedServer]) -> Self {
        let positions = match takers.is_empty() {
            true => Vec::new(),
            false => F::fill(takers),
        };
        Self {
            servers: takers.iter().map(|taker| taker.backend).collect(),
            weights: takers.iter().map(|taker| taker.weight).collect(),
            positions,
        }
    }

    /// Whether the table derives from `listed`.
    pub fn is_filled_for(&self, listed: &[ListedServer]) -> bool {
        let held = self.servers.iter().zip(&self.weights);
        let wanted = listed.iter().map(|taker| (&taker.backend, &taker.weight));
        self.servers.len() == listed.len() && held.eq(wanted)
    }

    fn is_for(&self, takers: &[&BackendEntry]) -> bool {
        let held = self.servers.iter().zip(&self.weights);
        let wanted = takers.iter().map(|entry| (&entry.id, &entry.weight));
        self.servers.len() == takers.len() && held.eq(wanted)
    }
}

/// The lookup tables of all services at one version.
#[derive(Debug, Default)]
pub struct LookupTables {
    /// The version that they were derived from.
    pub version: ConfigurationVersion,
    tables: SortedVector<ServiceId, sync::Arc<LookupTable>>,
}

impl LookupTables {
    /// Derives the tables of `configuration`; a service whose servers did not
    /// change shares its table with `earlier`.
    pub fn derive(configuration: &InForceConfiguration, earlier: Option<&Self>) -> Self {
        let mut by_service: SortedVector<ServiceId, Vec<&BackendEntry>> = SortedVector::new();
        for entry in configuration.backends.values() {
            by_service
                .get_or_insert_with(entry.service, Vec::new)
                .push(entry);
        }
        let tables = by_service.iter().map(|(service, entries)| {
            let takers: Vec<&BackendEntry> = entries
                .iter()
                .copied()
                .filter(|entry| entry.takes_new_flows())
                .collect();
            let shared = earlier
                .and_then(|tables| tables.tables.get(service))
                .filter(|table| table.is_for(&takers));
            let table = shared
                .cloned()
                .unwrap_or_else(|| sync::Arc::new(LookupTable::fill(takers.iter().copied())));
            (*service, table)
        });
        Self {
            version: configuration.version,
            tables: tables.collect(),
        }
    }

    /// Puts tables together that were derived before.
    pub fn assemble(
        version: ConfigurationVersion,
        tables: impl Iterator<Item = (ServiceId, sync::Arc<LookupTable>)>,
    ) -> Self {
        Self {
            version,
            tables: tables.collect(),
        }
    }

    /// Whether `other` gives every flow of every service the same server.
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

    /// The table of `service`, to be shared.
    pub fn shared(&self, service: ServiceId) -> Option<&sync::Arc<LookupTable>> {
        self.tables.get(&service)
    }

    /// The server that `service` gives to a flow.
    pub fn select(&self, service: ServiceId, hash: FlowHash) -> Option<BackendId> {
        self.of_service(service)?.select(hash)
    }
}
