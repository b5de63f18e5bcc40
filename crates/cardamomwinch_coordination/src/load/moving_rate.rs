//! Rates of events as exponentially weighted means.

use std::time;

/// A moving mean of the number of events in a period.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct MovingRate {
    sum: f64,
    /// The weight of everything that was counted; below one until the mean time has passed.
    weight: f64,
}

impl MovingRate {
    /// Adds the `count` events of the last `elapsed` time. The rate is per `period`, and older
    /// events lose weight with the time constant `mean_time`.
    pub fn note(
        &mut self,
        count: u32,
        elapsed: time::Duration,
        period: time::Duration,
        mean_time: time::Duration,
    ) {
        let kept = (-elapsed.as_secs_f64() / mean_time.as_secs_f64()).exp();
        let rate = f64::from(count) * period.as_secs_f64() / elapsed.as_secs_f64();
        self.sum = self.sum * kept + rate * (1.0 - kept);
        self.weight = self.weight * kept + (1.0 - kept);
    }

    /// The events in a period; zero before the first one was counted.
    pub fn get(&self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            0.0
        }
    }
}
