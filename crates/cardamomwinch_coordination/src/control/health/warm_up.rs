//! Cold servers: those that have just joined or returned, and get few flows at first.

use std::time;

use cardamomwinch_state::prelude::{BackendId, SortedVector, Timestamp};

/// How long it takes until a server may use all of its slots.
pub(crate) const WARM_UP: time::Duration = time::Duration::from_secs(15);
/// The share of its slots that a server starts with, in percent.
const FIRST_PERCENT: u64 = 10;

/// The cold servers, with the time at which they joined or returned.
#[derive(Debug, Default)]
pub(crate) struct ColdServers {
    since: SortedVector<BackendId, Timestamp>,
}

impl ColdServers {
    pub(crate) fn note(&mut self, now: Timestamp, backend: BackendId) {
        self.since.insert(backend, now);
    }

    pub(crate) fn forget_warm(&mut self, now: Timestamp) {
        self.since.retain(|_, since| now.since(*since) < WARM_UP);
    }

    /// The share of its slots that each cold server may use, in percent.
    pub(crate) fn percents(&self, now: Timestamp) -> impl Iterator<Item = (BackendId, u8)> {
        self.since
            .iter()
            .map(move |(backend, since)| (*backend, percent(now.since(*since))))
    }
}

fn percent(elapsed: time::Duration) -> u8 {
    let whole = WARM_UP.as_millis() as u64;
    let passed = (elapsed.as_millis() as u64).min(whole);
    (FIRST_PERCENT + (100 - FIRST_PERCENT) * passed / whole) as u8
}
