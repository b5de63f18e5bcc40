//! The lookup tables of the version in force and of earlier ones that flows may
//! still live under.

use std::sync;
use std::time;

use cardamomwinch_protocol::peer::earlier_tables::{
    EarlierGeneration, LISTED_LIMIT, ListedServer, ListedService,
};
use cardamomwinch_protocol::prelude::SEARCH_LIMIT;
use cardamomwinch_state::prelude::{
    BackendId, InForceConfiguration, ServiceId, SortedVector, Timestamp,
};

use crate::routing::lookup_table::{LookupTable, LookupTables};

/// Hosts that can reach each other have adopted the same version after this
/// time. It is three times what is promised for adoption, and more.
pub const ADOPTION_OVERLAP: time::Duration = time::Duration::from_secs(10);
/// What a host adopts when it starts is in force on all hosts that it can reach
/// after this time: the promised three seconds, and one more.
pub const START_OVERLAP: time::Duration = time::Duration::from_secs(4);
/// No flow is expected to stay open for longer.
pub const FLOW_LIFE: time::Duration = time::Duration::from_secs(24 * 3600);
/// Generations kept at most, since a search asks no more candidates.
pub const GENERATION_LIMIT: usize = SEARCH_LIMIT;

#[derive(Debug, Clone)]
struct Generation {
    tables: sync::Arc<LookupTables>,
    /// When a newer one came into force here; absent for the newest.
    superseded: Option<Timestamp>,
    /// Whether no host places new flows by it any more.
    settled: bool,
}

/// The kept generations.
///
/// How long one is kept can't follow from the pins of this host: the pin of a
/// flow lies on its home, while every other host needs the generation to find
/// that home. So it is kept for as long as a flow may live, and what bounds the
/// number is counted for each service apart: teams that change their service
/// often do not push out the tables of the others.
#[derive(Debug, Default, Clone)]
pub struct GenerationHistory {
    generations: Vec<Generation>,
    first_adopted: Option<Timestamp>,
}

impl GenerationHistory {
    /// Takes the tables of `configuration` in as the newest generation.
    pub fn adopt(&mut self, now: Timestamp, configuration: &InForceConfiguration) {
        self.first_adopted.get_or_insert(now);
        let newest = self.generations.first_mut();
        let earlier = newest.as_deref().map(|held| held.tables.as_ref());
        let tables = LookupTables::derive(configuration, earlier);
        if let Some(newest) = newest {
            if newest.tables.places_like(&tables) {
                newest.tables = sync::Arc::new(tables);
                return;
            }
            newest.superseded = Some(now);
        }
        let generation = Generation {
            tables: sync::Arc::new(tables),
            superseded: None,
            settled: false,
        };
        self.generations.insert(0, generation);
        self.generations.retain(|held| {
            let ended = held.superseded.map(|end| end.after(FLOW_LIFE));
            ended.is_none_or(|end| now < end)
        });
        if self.generations.len() > GENERATION_LIMIT {
            self.compact();
        }
    }

    /// What the kept generations derive from, newest first. Where that is more
    /// than one message takes, the oldest are left out.
    pub fn listed(&self) -> Vec<EarlierGeneration> {
        let mut listed = Vec::new();
        let mut room = LISTED_LIMIT;
        let mut newer = None;
        for held in &self.generations {
            let services = difference(newer, &held.tables);
            let servers = services.iter().flat_map(|service| &service.servers);
            let size = servers.map(Vec::len).sum::<usize>() + services.len();
            if size > room {
                break;
            }
            room -= size;
            listed.push(EarlierGeneration {
                version: held.tables.version,
                superseded: held.superseded,
                settled: held.settled,
                services,
            });
            newer = Some(held.tables.as_ref());
        }
        listed
    }

    /// Takes generations in that a peer keeps, newest first, and that this host
    /// missed. The one in force here stays the newest.
    pub fn learn(&mut self, listed: &[EarlierGeneration]) {
        let mut newer: SortedVector<ServiceId, sync::Arc<LookupTable>> = SortedVector::new();
        for generation in listed.iter().take(GENERATION_LIMIT) {
            for service in &generation.services {
                match &service.servers {
                    Some(servers) => {
                        let table = self.table_of(service.service, servers);
                        newer.insert(service.service, table);
                    }
                    None => {
                        newer.remove(&service.service);
                    }
                }
            }
            let tables = newer
                .iter()
                .map(|(id, table)| (*id, sync::Arc::clone(table)));
            let tables = LookupTables::assemble(generation.version, tables);
            self.learn_one(generation, tables);
        }
        if self.generations.len() > GENERATION_LIMIT {
            self.compact();
        }
    }

    /// The table that derives from `listed`, shared with a kept generation where
    /// one has it: filling all tables of a large fleet takes most of a second.
    fn table_of(&self, service: ServiceId, listed: &[ListedServer]) -> sync::Arc<LookupTable> {
        let mut held = self
            .generations
            .iter()
            .filter_map(|held| held.tables.shared(service));
        held.find(|table| table.is_filled_for(listed))
            .cloned()
            .unwrap_or_else(|| sync::Arc::new(LookupTable::refill(listed)))
    }

    /// Puts one generation where its version belongs, unless its neighbours
    /// place flows like it.
    fn learn_one(&mut self, generation: &EarlierGeneration, tables: LookupTables) {
        let versions = self.generations.iter().map(|held| held.tables.version);
        let position = versions
            .filter(|version| *version >= tables.version)
            .count();
        let Some(above) = position.checked_sub(1) else {
            return;
        };
        let mut neighbours = self.generations[above..].iter().take(2);
        if self.generations[above].tables.version == tables.version
            || neighbours.any(|held| held.tables.places_like(&tables))
        {
            return;
        }
        let held = Generation {
            tables: sync::Arc::new(tables),
            superseded: generation.superseded.or(self.first_adopted),
            settled: generation.settled,
        };
        self.generations.insert(position, held);
    }

    /// Settles generations that no host places new flows by any more. None is
    /// settled while a domain is `cut_off`, since what is in force there is not
    /// known.
    pub fn settle(&mut self, now: Timestamp, cut_off: bool) {
        for held in &mut self.generations {
            let end = held.superseded.map(|end| end.after(ADOPTION_OVERLAP));
            held.settled |= !cut_off && end.is_some_and(|end| now >= end);
        }
    }

    /// The tables, newest first.
    pub fn tables(&self) -> Vec<sync::Arc<LookupTables>> {
        let held = self.generations.iter();
        held.map(|held| sync::Arc::clone(&held.tables)).collect()
    }

    /// How many of the newest generations some host may place new flows by.
    pub fn opening_count(&self) -> usize {
        let mut held = self.generations.iter();
        held.rposition(|held| !held.settled)
            .map_or(1, |oldest| oldest + 1)
    }

    /// Whether other hosts may still place new flows by generations that this
    /// host, which started lately, never knew.
    pub fn history_missing(&self, now: Timestamp) -> bool {
        self.first_adopted
            .is_none_or(|first| now < first.after(START_OVERLAP))
    }

    /// Whether a kept generation may have placed a flow on `server`.
    pub fn names(&self, service: ServiceId, server: BackendId) -> bool {
        self.generations.iter().any(|held| {
            let table = held.tables.of_service(service);
            table.is_some_and(|table| table.servers().binary_search(&server).is_ok())
        })
    }

    /// Lets the distinct tables of each service move up, newest first, into the
    /// generations that are kept. A table may so be kept longer, never shorter,
    /// than its own time.
    fn compact(&mut self) {
        let mut services: SortedVector<ServiceId, Vec<sync::Arc<LookupTable>>> =
            SortedVector::new();
        for held in &self.generations {
            for (service, table) in held.tables.iter() {
                let distinct = services.get_or_insert_with(*service, Vec::new);
                if !distinct.iter().any(|kept| **kept == **table) {
                    distinct.push(sync::Arc::clone(table));
                }
            }
        }
        self.generations.truncate(GENERATION_LIMIT);
        for (position, held) in self.generations.iter_mut().enumerate().skip(1) {
            let tables = services.iter().filter_map(|(service, distinct)| {
                let table = distinct.get(position).or(distinct.last())?;
                Some((*service, sync::Arc::clone(table)))
            });
            let version = held.tables.version;
            held.tables = sync::Arc::new(LookupTables::assemble(version, tables));
        }
    }
}

/// The services whose table in `tables` is not the one in `newer`.
fn difference(newer: Option<&LookupTables>, tables: &LookupTables) -> Vec<ListedService> {
    let changed = tables.iter().filter(|(service, table)| {
        let held = newer.and_then(|newer| newer.of_service(**service));
        held != Some(table.as_ref())
    });
    let changed = changed.map(|(service, table)| ListedService {
        service: *service,
        servers: Some(table.listed()),
    });
    let earlier = newer.into_iter().flat_map(LookupTables::iter);
    let gone = earlier.filter(|(service, _)| tables.of_service(**service).is_none());
    let gone = gone.map(|(service, _)| ListedService {
        service: *service,
        servers: None,
    });
    changed.chain(gone).collect()
}
