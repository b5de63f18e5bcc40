//! The timeout after which a request counts as overdue, from the mean time that callers wait
//! for answers of all servers.

use std::time;

/// A new response time enters the moving mean with the weight `1 / RESPONSE_WEIGHT`.
const RESPONSE_WEIGHT: u32 = 16;
/// A request is overdue after this many times the mean response time.
const TIMEOUT_MEANS: u32 = 8;
/// The minimum timeout. A queue for a few slots and a delayed acknowledgement take some
/// tenths of a second.
const MIN_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// The moving mean of response times, and the timeout that follows from it.
#[derive(Debug, Default)]
pub struct OverdueTimeout {
    mean: time::Duration,
}

impl OverdueTimeout {
    /// Records that a caller waited for `response`.
    pub fn note_response(&mut self, response: time::Duration) {
        self.mean = if self.mean.is_zero() {
            response
        } else {
            (self.mean * (RESPONSE_WEIGHT - 1) + response) / RESPONSE_WEIGHT
        };
    }

    /// How long a request may wait before it counts against its server.
    pub fn timeout(&self) -> time::Duration {
        (self.mean * TIMEOUT_MEANS).max(MIN_TIMEOUT)
    }
}
