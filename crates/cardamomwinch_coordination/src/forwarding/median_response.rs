//! How much slower a server is than others of its service.
//!
//! Guards against a server that works slowly, or whose host does, while it tells that
//! it is well. It has no more flows than others and so got as many new ones; it shows
//! as answers that are late on one server only. Judged by what callers wait, it gets
//! fewer flows in proportion. The flows that it holds go on to measure it, and without
//! measurements for two seconds it counts as any other.

use std::time;

/// A server as slow as the others, in per cent.
const EVEN: u64 = 100;
/// A server that takes this many per cent of the usual time is slow; below it,
/// differences come from the requests that it happened to get.
const LEAST: u64 = 150;
/// However slow a server is, it counts as no slower than this.
const LARGEST: u64 = 800;
/// Response times of so many servers make a median worth comparing with.
const LEAST_MEASURED: usize = 3;

/// The usual response time of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsualResponse {
    median: time::Duration,
}

impl UsualResponse {
    /// The median of `responses`, one of each server that was measured lately; `None`
    /// where there are too few.
    pub fn of(responses: impl Iterator<Item = time::Duration>) -> Option<Self> {
        let mut responses: Vec<_> = responses.collect();
        if responses.len() < LEAST_MEASURED {
            return None;
        }
        let middle = responses.len() / 2;
        let (_, median, _) = responses.select_nth_unstable(middle);
        Some(Self { median: *median })
    }

    /// What `load` weighs on a server that answers after `response`.
    pub fn weigh(&self, load: u64, response: time::Duration) -> u64 {
        let usual = self.median.as_micros().max(1) as u64;
        let slowness = response.as_micros() as u64 * EVEN / usual;
        if slowness < LEAST {
            return load;
        }
        load * slowness.min(LARGEST) / EVEN
    }
}
