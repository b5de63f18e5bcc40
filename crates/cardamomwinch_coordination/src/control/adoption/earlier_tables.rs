//! The request of a starting host for the earlier lookup tables that its peers
//! keep.

use std::time;

use cardamomwinch_protocol::peer::earlier_tables::EarlierTables;
use cardamomwinch_state::prelude::{ConfigurationVersion, Timestamp};

/// The host stops querying this long after its start: by then every peer that could
/// answer has adopted the configuration in force here.
const REQUEST_DURATION: time::Duration = time::Duration::from_secs(10);
/// The interval between queries to a random peer.
const QUERY_INTERVAL: time::Duration = time::Duration::from_millis(1000);

/// The request for earlier tables; not open before the start.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct EarlierTablesRequest {
    open_until: Timestamp,
    next_query: Timestamp,
}

impl EarlierTablesRequest {
    /// Opens the request when the process starts.
    pub(crate) fn note_start(&mut self, now: Timestamp) {
        self.open_until = now.after(REQUEST_DURATION);
    }

    /// Whether earlier tables are still missing.
    pub(crate) fn is_open(&self, now: Timestamp) -> bool {
        now < self.open_until
    }

    /// Returns whether to query a peer now, and if so records the query. Queries are
    /// repeated because an answer may be lost, or come from an outdated peer.
    pub(crate) fn try_query(&mut self, now: Timestamp) -> bool {
        let due = self.is_open(now) && now >= self.next_query;
        if due {
            self.next_query = now.after(QUERY_INTERVAL);
        }
        due
    }

    /// Handles the tables of a peer while `version` is in force here.
    ///
    /// Guards against missing servers: the tables of an outdated peer lack the
    /// backend servers that were removed from the configuration since, so another
    /// answer is needed.
    pub(crate) fn handle_answer(&mut self, version: ConfigurationVersion, tables: &EarlierTables) {
        let newest = tables.generations.first().map(|held| held.version);
        if newest >= Some(version) {
            self.open_until = Timestamp::ZERO;
        }
    }
}
