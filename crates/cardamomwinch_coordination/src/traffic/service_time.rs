//! Service times of a backend server as measured by its home.

use std::time;

/// The service time assumed for a server that has not answered yet.
const ASSUMED_SERVICE_TIME: time::Duration = time::Duration::from_millis(50);
/// The weight of a new measurement is one over this number.
const SMOOTHING: u32 = 8;
/// An attempt is overdue after the mean plus this many times the deviation.
const DEVIATIONS: u32 = 4;
/// An attempt is never overdue before this time, because a relayed copy of an answer may
/// wait in a socket for a while.
const MIN_ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Smoothed service times of one server, computed like TCP round-trip times.
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
        (self.mean + self.deviation * DEVIATIONS).max(MIN_ATTEMPT_TIMEOUT)
    }

    /// Adds the measured time `duration` of a request.
    pub fn note(&mut self, duration: time::Duration) {
        let distance = self.mean.abs_diff(duration);
        self.deviation = (self.deviation * (SMOOTHING - 1) + distance) / SMOOTHING;
        self.mean = (self.mean * (SMOOTHING - 1) + duration) / SMOOTHING;
    }
}
