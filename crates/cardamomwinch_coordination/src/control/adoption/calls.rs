//! The calls of this host to the platform: which ones are running, and when a call
//! that failed may be repeated.

use std::time;

use cardamomwinch_state::prelude::{SortedVector, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::control::event::{PlatformKey, PlatformRequest};

/// The backoff after a first failure, before jitter.
const FIRST_REST: time::Duration = time::Duration::from_millis(250);
/// A call is given up if it has no outcome this long after its wait has ended.
const LOST_AFTER: time::Duration = time::Duration::from_secs(10);

/// Identifies a call. A read and a watch of the same key are separate calls, so that
/// a host that resumes after a pause can read while its old watch still hangs.
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
    /// While the call runs: when it is given up. During backoff: when that ends.
    until: Timestamp,
}

/// All calls, and the random source of their backoff.
#[derive(Debug)]
pub(crate) struct PlatformCalls {
    calls: SortedVector<CallName, CallRecord>,
    random: SmallRng,
}

impl PlatformCalls {
    /// Creates an empty set; `seed` determines the backoff.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            calls: SortedVector::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns whether `request` may be made now, and if so records that it runs.
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

    /// When `request` was last made.
    pub(crate) fn started(&self, request: &PlatformRequest) -> Option<Timestamp> {
        let record = self.calls.get(&CallName::of(request));
        record.map(|record| record.started)
    }

    /// Records that `request` was answered.
    pub(crate) fn succeed(&mut self, request: &PlatformRequest) {
        self.calls.remove(&CallName::of(request));
    }

    /// Defers `request`, because it failed or its answer was not useful.
    ///
    /// Guards against a burst of simultaneous calls when the platform recovers: the
    /// backoff doubles up to `longest`, and each host draws its own between half of
    /// it and all of it.
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
