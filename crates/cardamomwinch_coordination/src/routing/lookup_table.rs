//! One lookup table per service, derived alike on every host from the version
//! in force. Each position of a table is won by weighted rendezvous, so that a
//! change of one server moves only the positions that it wins or loses.

use std::sync;

use cardamomwinch_state::prelude::{
    BackendEntry, BackendId, ConfigurationVersion, FlowHash, InForceConfiguration, ServiceId,
    SortedVector, Weight,
};

use crate::routing::rendezvous;

/// Positions of a table. A prime well above the number of servers of a service.
const POSITION_COUNT: usize = 1021;

/// The lookup table of one service.
#[derive(Debug, PartialEq, Eq)]
pub struct LookupTable {
    servers: Vec<BackendId>,
    weights: Vec<Weight>,
    positions: Vec<u16>,
}

impl LookupTable {
    /// Fills a table for those of `servers` that take new flows.
    pub fn fill<'e>(servers: impl Iterator<Item = &'e BackendEntry>) -> Self {
        let takers: Vec<&BackendEntry> = servers.filter(|entry| entry.takes_new_flows()).collect();
        let positions = match takers.is_empty() {
            true => Vec::new(),
            false => (0..POSITION_COUNT)
                .map(|position| winner(&takers, position))
                .collect(),
        };
        Self {
            servers: takers.iter().map(|entry| entry.id).collect(),
            weights: takers.iter().map(|entry| entry.weight).collect(),
            positions,
        }
    }

    /// The server for a flow, unless no server takes new flows.
    pub fn select(&self, hash: FlowHash) -> Option<BackendId> {
        if self.positions.is_empty() {
            return None;
        }
        let position = hash.get() % self.positions.len() as u64;
        let server = self.positions[position as usize];
        Some(self.servers[usize::from(server)])
    }

    /// Servers that take new flows, in the order of their identifiers.
    pub fn servers(&self) -> &[BackendId] {
        &self.servers
    }

    fn is_for(&self, takers: &[&BackendEntry]) -> bool {
        let held = self.servers.iter().zip(&self.weights);
        let wanted = takers.iter().map(|entry| (&entry.id, &entry.weight));
        self.servers.len() == takers.len() && held.eq(wanted)
    }
}

fn winner(takers: &[&BackendEntry], position: usize) -> u16 {
    let costs = takers.iter().enumerate().map(|(index, entry)| {
        let cost = rendezvous::weighted_cost(entry.id.get(), position as u64, entry.weight);
        (cost, index)
    });
    let best = costs.min_by(|left, right| left.0.total_cmp(&right.0));
    best.map_or(0, |(_, index)| index as u16)
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

    /// The server that `service` gives to a flow.
    pub fn select(&self, service: ServiceId, hash: FlowHash) -> Option<BackendId> {
        self.of_service(service)?.select(hash)
    }
}
