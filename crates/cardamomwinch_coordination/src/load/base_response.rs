//! What requests of a route take without a queue.

use std::time;

use cardamomwinch_state::prelude::Timestamp;

/// The base moves towards a lower mean by this part of the difference. Means of few answers vary,
/// so that their lowest alone would be too low.
const FALL_PART: f64 = 0.25;
/// The base rises towards a higher mean by at most this part of itself in a second. An overload
/// of a minute then raises it by a third; a release that makes requests slower for good is
/// learned within minutes.
const RISE_PER_SECOND: f64 = 0.005;

/// The base response of a route: the lowest of its recent mean response times, approximately.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BaseResponse {
    /// In seconds.
    seconds: f64,
    changed_at: Timestamp,
}

impl BaseResponse {
    /// Creates a base from the first mean response time, in seconds.
    pub const fn new(mean: f64, now: Timestamp) -> Self {
        Self {
            seconds: mean,
            changed_at: now,
        }
    }

    /// Records a mean response time in seconds.
    pub fn note(&mut self, mean: f64, now: Timestamp) {
        let elapsed = now.since(self.changed_at).as_secs_f64();
        self.changed_at = now;
        self.seconds = if mean < self.seconds {
            self.seconds - (self.seconds - mean) * FALL_PART
        } else {
            mean.min(self.seconds * (1.0 + RISE_PER_SECOND * elapsed))
        };
    }

    /// The base in seconds.
    pub const fn as_secs(&self) -> f64 {
        self.seconds
    }

    /// The base.
    pub fn get(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.seconds)
    }
}
