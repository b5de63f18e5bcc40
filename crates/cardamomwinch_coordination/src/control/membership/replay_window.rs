//! Recognises replayed messages although the network changes their order.

/// How far behind the highest number a message may come.
const WIDTH: u64 = u128::BITS as u64;

/// The sequence numbers taken lately: the highest one, and one bit for each of
/// those just below it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    taken: u128,
}

impl ReplayWindow {
    /// The highest number taken.
    pub const fn highest(&self) -> u64 {
        self.highest
    }

    /// Takes `sequence`, and tells whether it is new. A number so far back that
    /// it is not known whether it was taken counts as taken.
    pub fn take(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.taken = if shift < WIDTH {
                self.taken << shift
            } else {
                0
            };
            self.taken |= 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WIDTH || self.taken & (1 << age) != 0 {
            return false;
        }
        self.taken |= 1 << age;
        true
    }
}
