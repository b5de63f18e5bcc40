//! Raises the load of a server that is slower than the others of its service.
//!
//! Guards against late answers of one server that is slow, or runs on a slow machine, while
//! its entry says that it is healthy. By its number of flows alone it would receive as many
//! new ones as any other. Its load is therefore raised in proportion to the time that
//! callers wait. The flows that it still holds measure it; after two seconds without a
//! measurement it counts like any other.

use std::time;

/// The slowness of a server with the median response time, in per cent.
const EVEN_PERCENT: u64 = 100;
/// From this many per cent of the median response time on, a server counts as slow. Smaller
/// differences come from differences between its requests.
const MIN_SLOW_PERCENT: u64 = 150;
/// The maximum slowness that a server counts with, in per cent.
const MAX_SLOW_PERCENT: u64 = 800;
/// The number of measured servers that is needed for a useful median.
const MIN_MEASURED: usize = 3;

/// The median response time of the servers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MedianResponse {
    median: time::Duration,
}

impl MedianResponse {
    /// The median of `responses`, which has one response time for each server that was
    /// recently measured; `None` if there are too few.
    pub fn of(responses: impl Iterator<Item = time::Duration>) -> Option<Self> {
        let mut responses: Vec<_> = responses.collect();
        if responses.len() < MIN_MEASURED {
            return None;
        }
        let middle = responses.len() / 2;
        let (_, median, _) = responses.select_nth_unstable(middle);
        Some(Self { median: *median })
    }

    /// `response` in per cent of the median.
    pub fn percent_of(&self, response: time::Duration) -> u64 {
        let median = self.median.as_micros().max(1) as u64;
        response.as_micros() as u64 * EVEN_PERCENT / median
    }

    /// `load`, raised in proportion if the server answers after a `response` that is much
    /// longer than the median.
    pub fn weigh(&self, load: u64, response: time::Duration) -> u64 {
        let slowness = self.percent_of(response);
        if slowness < MIN_SLOW_PERCENT {
            return load;
        }
        load * slowness.min(MAX_SLOW_PERCENT) / EVEN_PERCENT
    }
}
