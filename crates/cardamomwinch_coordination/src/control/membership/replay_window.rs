//! Detects replayed messages while allowing the network to reorder them.

/// A number that is at least this far below the highest one is rejected.
const WINDOW_LENGTH: u64 = u128::BITS as u64;

/// The recent sequence numbers: the highest one, and one bit for each of the
/// numbers just below it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    received: u128,
}

impl ReplayWindow {
    /// The highest number received.
    pub const fn highest(&self) -> u64 {
        self.highest
    }

    /// Records `sequence` and returns whether it is new. A number below the
    /// window is not new, since it may have been received before.
    pub fn record(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.received = if shift < WINDOW_LENGTH {
                self.received << shift
            } else {
                0
            };
            self.received |= 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW_LENGTH || self.received & (1 << age) != 0 {
            return false;
        }
        self.received |= 1 << age;
        true
    }
}
