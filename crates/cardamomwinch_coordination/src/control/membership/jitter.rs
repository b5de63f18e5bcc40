//! Pseudo-random numbers that spread the actions of hosts over time and
//! targets. They need not be unpredictable, only different on each host and
//! identical in every simulation with the same seed.

use std::time;

use cardamomwinch_state::flow;

use crate::identity::HostIdentity;

/// The increment of the state: an odd number with irregular bits (2^64 divided
/// by the golden ratio), as in SplitMix64.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A sequence of pseudo-random numbers, seeded by a host and its incarnation.
#[derive(Debug, Default)]
pub(super) struct JitterSource {
    state: u64,
}

impl JitterSource {
    /// Seeds the sequence of `identity`.
    pub(super) fn seed(&mut self, identity: HostIdentity) {
        self.state = flow::mix(identity.host.get() ^ flow::mix(identity.incarnation.get()));
    }

    pub(super) fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(STEP);
        flow::mix(self.state)
    }

    /// A number below `bound`, or zero if `bound` is zero.
    pub(super) fn below(&mut self, bound: usize) -> usize {
        let bound = bound.max(1) as u64;
        (self.next() % bound) as usize
    }

    /// A duration between 75 % and 125 % of `mean`.
    pub(super) fn around(&mut self, mean: time::Duration) -> time::Duration {
        let percent = 75 + (self.next() % 51) as u32;
        mean * percent / 100
    }

    /// Up to `count` different elements of `candidates`.
    pub(super) fn sample<T: Copy>(&mut self, candidates: &[T], count: usize) -> Vec<T> {
        let mut rest = candidates.to_vec();
        let mut chosen = Vec::new();
        while chosen.len() < count && !rest.is_empty() {
            let position = self.below(rest.len());
            chosen.push(rest.swap_remove(position));
        }
        chosen
    }
}
