//! The calls of this host to the platform: which ones run, and when a call
//! that failed may be made again.

use std::time;

use cardamomwinch_state::prelude::{SortedVector, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::control::event::{PlatformKey, PlatformRequest};

/// The rest after a first failure, before jitter.
const FIRST_REST: time::Duration = time::Duration::from_millis(250);
/// A call without an outcome for this long after its wait is given up.
const LOST_AFTER: time::Duration = time::Duration::from_secs(10);

/// A call; a read and a watch of one key run apart, so that a host that woke
/// can ask anew while its old watch still hangs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct CallName {
    key: PlatformKey,
    watch: bool,
}

impl CallName {
    fn of(request: &PlatformRequest) -> Self {
        Self {
            key: request.key.clone(),
            watch: request.after.is_some(),
        }
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct CallRecord {
    failures: u32,
    started: Timestamp,
    /// While it runs: when it is given up. While it rests: when that is over.
    until: Timestamp,
}

/// All calls, and the randomness of their rests.
#[derive(Debug)]
pub(crate) struct PlatformCalls {
    calls: SortedVector<CallName, CallRecord>,
    random: SmallRng,
}

impl PlatformCalls {
    /// Creates an empty set whose rests follow from `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            calls: SortedVector::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Whether `request` may be made now; notes that it runs where it may.
    pub(crate) fn try_start(&mut self, now: Timestamp, request: &PlatformRequest) -> bool {
        let name = CallName::of(request);
        let record = self.calls.get_or_insert_with(name, CallRecord::default);
        if now < record.until {
            return false;
        }
        record.started = now;
        record.until = now.after(request.wait + LOST_AFTER);
        true
    }

    /// When `request` was made last.
    pub(crate) fn started(&self, request: &PlatformRequest) -> Option<Timestamp> {
        let record = self.calls.get(&CallName::of(request));
        record.map(|record| record.started)
    }

    /// Notes that `request` was answered.
    pub(crate) fn succeed(&mut self, request: &PlatformRequest) {
        self.calls.remove(&CallName::of(request));
    }

    /// Notes that `request` is to rest: it failed, or its answer was of no use.
    ///
    /// Guards against a herd when the platform comes back: rests grow up to
    /// `longest`, and each host draws its own between half and all of it.
    pub(crate) fn rest(
        &mut self,
        now: Timestamp,
        request: &PlatformRequest,
        longest: time::Duration,
    ) {
        let name = CallName::of(request);
        let record = self.calls.get_or_insert_with(name, CallRecord::default);
        let grown = FIRST_REST.saturating_mul(1 << record.failures.min(10));
        record.failures += 1;
        let rest = grown.min(longest);
        record.until = now.after(rest.mul_f64(self.random.random_range(0.5..=1.0)));
    }
}
