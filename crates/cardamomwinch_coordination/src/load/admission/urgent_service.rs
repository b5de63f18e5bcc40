//! The share of the most urgent requests that is served.
//!
//! Requests whose flows servers reset are not counted: a host does not see these resets.

use std::time;

use cardamomwinch_state::prelude::Timestamp;

use crate::load::moving_rate::MovingRate;

/// The time over which the share is measured: long enough for some urgent requests on a host
/// with one per second, and short enough to show an overload of some seconds.
const MEAN_TIME: time::Duration = time::Duration::from_secs(10);
/// The unit of the rates.
const RATE_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Counts the most urgent requests of all services.
#[derive(Debug, Default, Clone, Copy)]
pub struct UrgentService {
    served: MovingRate,
    failed: MovingRate,
    counted_served: u32,
    counted_failed: u32,
    updated_at: Option<Timestamp>,
}

impl UrgentService {
    /// Counts an urgent request that was answered.
    pub const fn note_served(&mut self) {
        self.counted_served += 1;
    }

    /// Counts an urgent request that a server or this host refused.
    pub const fn note_failed(&mut self) {
        self.counted_failed += 1;
    }

    /// Updates the share.
    pub fn update(&mut self, now: Timestamp) {
        let Some(updated_at) = self.updated_at.replace(now) else {
            return;
        };
        let elapsed = now.since(updated_at);
        if elapsed.is_zero() {
            return;
        }
        let served = std::mem::take(&mut self.counted_served);
        let failed = std::mem::take(&mut self.counted_failed);
        self.served.note(served, elapsed, RATE_PERIOD, MEAN_TIME);
        self.failed.note(failed, elapsed, RATE_PERIOD, MEAN_TIME);
    }

    /// The share of recent urgent requests that was served, between zero and one; `None`
    /// without any.
    pub fn share(&self) -> Option<f64> {
        let all = self.served.get() + self.failed.get();
        (all > 0.0).then(|| self.served.get() / all)
    }
}
