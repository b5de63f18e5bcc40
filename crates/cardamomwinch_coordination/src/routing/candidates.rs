//! The servers that a flow without token may have been placed on: one for each
//! kept generation of lookup tables.

use std::sync;

use cardamomwinch_protocol::prelude::{SEARCH_LIMIT, TriedServers};
use cardamomwinch_state::prelude::{BackendId, FlowHash, ServiceId};

use crate::routing::lookup_table::LookupTables;

/// Distinct servers, oldest generation first. All hosts that keep the same
/// generations derive the same list.
///
/// The oldest generation comes first because a host that has not yet adopted
/// the newest one would place the flow by an older one. A search of the list
/// therefore begins at the server where such a host would place the flow.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct CandidateList {
    servers: [Option<BackendId>; SEARCH_LIMIT],
}

impl CandidateList {
    /// The candidates for the flow of `hash` under `generations`, newest first.
    pub fn derive(
        generations: &[sync::Arc<LookupTables>],
        service: ServiceId,
        hash: FlowHash,
    ) -> Self {
        let mut list = Self::default();
        let mut length = 0;
        for tables in generations.iter().rev() {
            let Some(server) = tables.select(service, hash) else {
                continue;
            };
            if list.iter().any(|listed| listed == server) {
                continue;
            }
            // No more generations than the limit are ever kept. If there were
            // more, the newest one must still be in the list.
            let position = length.min(SEARCH_LIMIT - 1);
            list.servers[position] = Some(server);
            length = position + 1;
        }
        list
    }

    /// The candidates, oldest generation first.
    pub fn iter(&self) -> impl Iterator<Item = BackendId> {
        self.servers.iter().copied().flatten()
    }

    /// The first candidate that is neither `current` nor among `tried`.
    pub fn next_after(&self, current: BackendId, tried: &TriedServers) -> Option<BackendId> {
        self.iter()
            .find(|server| *server != current && !tried.contains(*server))
    }

    /// Whether `server` is a candidate.
    pub fn contains(&self, server: BackendId) -> bool {
        self.iter().any(|candidate| candidate == server)
    }
}
