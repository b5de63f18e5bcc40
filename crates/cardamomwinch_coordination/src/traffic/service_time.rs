//! How long a backend server takes for a request, as the home measures it.

use std::time;

/// Service time assumed of a server that has not answered yet.
const ASSUMED_SERVICE_TIME: time::Duration = time::Duration::from_millis(50);
/// A new measurement counts one part in this many.
const SMOOTHING: u32 = 8;
/// An attempt is overdue after the mean and this many times the deviation.
const DEVIATIONS: u32 = 4;
/// An attempt is never taken to be overdue earlier: a relayed copy of an answer
/// may wait in a socket for a while.
const SHORTEST_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Smoothed service times of one server, as TCP smooths round trips.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceTimes {
    mean: time::Duration,
    deviation: time::Duration,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self {
            mean: ASSUMED_SERVICE_TIME,
            deviation: ASSUMED_SERVICE_TIME,
        }
    }
}

impl ServiceTimes {
    /// The smoothed time from sending a request to its answer.
    pub const fn mean(&self) -> time::Duration {
        self.mean
    }

    /// How long a request may go without progress before it is overdue.
    pub fn attempt_timeout(&self) -> time::Duration {
        (self.mean + self.deviation * DEVIATIONS).max(SHORTEST_TIMEOUT)
    }

    /// Notes that a request took `taken`.
    pub fn note(&mut self, taken: time::Duration) {
        let distance = self.mean.abs_diff(taken);
        self.deviation = (self.deviation * (SMOOTHING - 1) + distance) / SMOOTHING;
        self.mean = (self.mean * (SMOOTHING - 1) + taken) / SMOOTHING;
    }
}
