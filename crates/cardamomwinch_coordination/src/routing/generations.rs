//! The lookup tables of the version in force and of earlier versions by which
//! open flows may have been placed. A generation is the lookup tables of one
//! version.

use std::sync;
use std::time;

use cardamomwinch_protocol::peer::earlier_tables::{
    EarlierGeneration, ListedServer, ListedService, MAX_LISTED_SERVERS,
};
use cardamomwinch_protocol::prelude::SEARCH_LIMIT;
use cardamomwinch_state::prelude::{
    BackendId, InForceConfiguration, ServiceId, SortedVector, Timestamp,
};

use crate::routing::lookup_table::{LookupTable, LookupTables};

/// After this time, all hosts that can reach each other have adopted a new
/// version. It is more than three times the promised adoption time of three
/// seconds.
pub const ADOPTION_OVERLAP: time::Duration = time::Duration::from_secs(10);
/// After this time, the version that a starting host adopts is in force on all
/// hosts that it can reach: the promised adoption time of three seconds, plus
/// one second.
pub const START_OVERLAP: time::Duration = time::Duration::from_secs(4);
/// The maximum time that a flow is expected to stay open.
pub const MAX_FLOW_DURATION: time::Duration = time::Duration::from_secs(24 * 3600);
/// The maximum number of kept generations. A search does not ask more
/// candidates than this.
pub const GENERATION_LIMIT: usize = SEARCH_LIMIT;

#[derive(Debug, Clone)]
struct Generation {
    tables: sync::Arc<LookupTables>,
    /// When a newer generation came into force on this host; absent for the
    /// newest.
    superseded: Option<Timestamp>,
    /// Whether no host places new flows by this generation any longer.
    settled: bool,
}

/// The kept generations, newest first.
///
/// A generation is kept for the maximum duration of a flow. The pins of this
/// host cannot show whether it is still needed: the pin of a flow is on its
/// home, while every other host needs the generation to find that home. The
/// limit on the number of generations applies to each service separately, so
/// frequent changes of one service do not displace the tables of the others.
#[derive(Debug, Default, Clone)]
pub struct GenerationHistory {
    generations: Vec<Generation>,
    first_adopted: Option<Timestamp>,
}

impl GenerationHistory {
    /// Adds the tables of `configuration` as the newest generation. If they place
    /// all flows like the newest tables so far, they replace these instead.
    pub fn adopt(&mut self, now: Timestamp, configuration: &InForceConfiguration) {
        self.first_adopted.get_or_insert(now);
        let newest = self.generations.first_mut();
        let earlier = newest.as_deref().map(|kept| kept.tables.as_ref());
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
        self.generations.retain(|kept| {
            let ended = kept.superseded.map(|end| end.after(MAX_FLOW_DURATION));
            ended.is_none_or(|end| now < end)
        });
        if self.generations.len() > GENERATION_LIMIT {
            self.compact();
        }
    }

    /// The servers and weights from which the kept generations are derived,
    /// newest first. The oldest are left out if one message cannot hold all.
    pub fn listed(&self) -> Vec<EarlierGeneration> {
        let mut listed = Vec::new();
        let mut capacity = MAX_LISTED_SERVERS;
        let mut newer = None;
        for kept in &self.generations {
            let services = difference(newer, &kept.tables);
            let servers = services.iter().flat_map(|service| &service.servers);
            let size = servers.map(Vec::len).sum::<usize>() + services.len();
            if size > capacity {
                break;
            }
            capacity -= size;
            listed.push(EarlierGeneration {
                version: kept.tables.version,
                superseded: kept.superseded,
                settled: kept.settled,
                services,
            });
            newer = Some(kept.tables.as_ref());
        }
        listed
    }

    /// Adds generations that a peer keeps, newest first, and that this host
    /// lacks. The one in force here remains the newest.
    pub fn add_missing(&mut self, listed: &[EarlierGeneration]) {
        let mut newer: SortedVector<ServiceId, sync::Arc<LookupTable>> = SortedVector::new();
        for generation in listed.iter().take(GENERATION_LIMIT) {
            for service in &generation.services {
                match &service.servers {
                    Some(servers) => {
                        let table = self.find_or_fill(service.service, servers);
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
            self.insert_missing(generation, tables);
        }
        if self.generations.len() > GENERATION_LIMIT {
            self.compact();
        }
    }

    /// The table derived from `listed`. It is shared with a kept generation that
    /// contains it, because filling all tables of a large fleet takes most of a
    /// second.
    fn find_or_fill(&self, service: ServiceId, listed: &[ListedServer]) -> sync::Arc<LookupTable> {
        let mut kept = self
            .generations
            .iter()
            .filter_map(|kept| kept.tables.shared(service));
        kept.find(|table| table.is_derived_from(listed))
            .cloned()
            .unwrap_or_else(|| sync::Arc::new(LookupTable::fill_listed(listed)))
    }

    /// Inserts one generation in the order of versions, unless it is already
    /// kept or an adjacent one places all flows like it.
    fn insert_missing(&mut self, generation: &EarlierGeneration, tables: LookupTables) {
        let versions = self.generations.iter().map(|kept| kept.tables.version);
        let position = versions
            .filter(|version| *version >= tables.version)
            .count();
        let Some(above) = position.checked_sub(1) else {
            return;
        };
        let mut neighbours = self.generations[above..].iter().take(2);
        if self.generations[above].tables.version == tables.version
            || neighbours.any(|kept| kept.tables.places_like(&tables))
        {
            return;
        }
        let kept = Generation {
            tables: sync::Arc::new(tables),
            superseded: generation.superseded.or(self.first_adopted),
            settled: generation.settled,
        };
        self.generations.insert(position, kept);
    }

    /// Marks a generation as settled once no host places new flows by it any
    /// longer. While a domain is `cut_off`, none is marked, because the version in
    /// force there is unknown.
    pub fn settle(&mut self, now: Timestamp, cut_off: bool) {
        for kept in &mut self.generations {
            let end = kept.superseded.map(|end| end.after(ADOPTION_OVERLAP));
            kept.settled |= !cut_off && end.is_some_and(|end| now >= end);
        }
    }

    /// The tables of the kept generations, newest first.
    pub fn tables(&self) -> Vec<sync::Arc<LookupTables>> {
        let kept = self.generations.iter();
        kept.map(|kept| sync::Arc::clone(&kept.tables)).collect()
    }

    /// The number of newest generations by which some host may still place new
    /// flows; at least one.
    pub fn opening_count(&self) -> usize {
        let mut kept = self.generations.iter();
        kept.rposition(|kept| !kept.settled)
            .map_or(1, |oldest| oldest + 1)
    }

    /// Whether this host has started so recently that other hosts may still
    /// place new flows by generations that it does not know.
    pub fn history_missing(&self, now: Timestamp) -> bool {
        self.first_adopted
            .is_none_or(|first| now < first.after(START_OVERLAP))
    }

    /// Whether a kept generation may have placed a flow on `server`.
    pub fn contains_server(&self, service: ServiceId, server: BackendId) -> bool {
        self.generations.iter().any(|kept| {
            let table = kept.tables.of_service(service);
            table.is_some_and(|table| table.servers().binary_search(&server).is_ok())
        })
    }

    /// Drops the oldest generations and reassigns the distinct tables of each
    /// service, newest first, to those that remain. As a result, a table can be
    /// kept longer than its own generation, but never shorter.
    fn compact(&mut self) {
        let mut services: SortedVector<ServiceId, Vec<sync::Arc<LookupTable>>> =
            SortedVector::new();
        for kept in &self.generations {
            for (service, table) in kept.tables.iter() {
                let distinct = services.get_or_insert_with(*service, Vec::new);
                if !distinct.iter().any(|other| **other == **table) {
                    distinct.push(sync::Arc::clone(table));
                }
            }
        }
        self.generations.truncate(GENERATION_LIMIT);
        for (position, kept) in self.generations.iter_mut().enumerate().skip(1) {
            let tables = services.iter().filter_map(|(service, distinct)| {
                let table = distinct.get(position).or(distinct.last())?;
                Some((*service, sync::Arc::clone(table)))
            });
            let version = kept.tables.version;
            kept.tables = sync::Arc::new(LookupTables::assemble(version, tables));
        }
    }
}

/// The services whose table in `tables` differs from that in `newer`.
fn difference(newer: Option<&LookupTables>, tables: &LookupTables) -> Vec<ListedService> {
    let changed = tables.iter().filter(|(service, table)| {
        let kept = newer.and_then(|newer| newer.of_service(**service));
        kept != Some(table.as_ref())
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
