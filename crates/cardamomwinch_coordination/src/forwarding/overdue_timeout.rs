//! How long callers usually wait for answers, whatever their servers.

use std::time;

/// A response counts as one of so many in the moving mean.
const RESPONSE_WEIGHT: u32 = 16;
/// A request that waits this many times as long as is usual waits for too long.
const TIMEOUT_MEANS: u32 = 8;
/// But for no less than this: a queue before a few slots, and an acknowledgement that is
/// held back, take some tenths of a second.
const MIN_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// The moving mean of what callers wait.
#[derive(Debug, Default)]
pub struct OverdueTimeout {
    mean: time::Duration,
}

impl OverdueTimeout {
    /// A caller waited for `response`.
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
