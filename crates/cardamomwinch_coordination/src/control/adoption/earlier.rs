//! Whether this host, having started, still lacks the earlier lookup tables
//! that a peer keeps.

use std::time;

use cardamomwinch_protocol::peer::earlier_tables::EarlierTables;
use cardamomwinch_state::prelude::{ConfigurationVersion, Timestamp};

/// Nobody is asked any more this long after the start: whoever could answer has
/// adopted by then what is in force here.
const WISH_LIFE: time::Duration = time::Duration::from_secs(10);
/// Some peer is asked again after this time.
const ASK_INTERVAL: time::Duration = time::Duration::from_millis(1000);

/// The wish for earlier tables. Closed before the start.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct EarlierWish {
    until: Timestamp,
    next_ask: Timestamp,
}

impl EarlierWish {
    /// Notes when the process started.
    pub(crate) fn note_start(&mut self, now: Timestamp) {
        self.until = now.after(WISH_LIFE);
    }

    /// Whether earlier tables are still wanted.
    pub(crate) fn is_open(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Whether to ask some peer now; notes that it is asked where so. A first
    /// answer may be lost, or come from a peer that is behind.
    pub(crate) fn try_ask(&mut self, now: Timestamp) -> bool {
        let due = self.is_open(now) && now >= self.next_ask;
        if due {
            self.next_ask = now.after(ASK_INTERVAL);
        }
        due
    }

    /// Notes what a peer has sent, while `version` is in force here.
    ///
    /// Guards against a gap: a peer that is behind does not send the servers
    /// that have left the configuration since, so that another answer is needed.
    pub(crate) fn note(&mut self, version: ConfigurationVersion, tables: &EarlierTables) {
        let newest = tables.generations.first().map(|held| held.version);
        if newest >= Some(version) {
            self.until = Timestamp::ZERO;
        }
    }
}
