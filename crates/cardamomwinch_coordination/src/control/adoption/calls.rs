//! The calls of this host to the platform: which ones are running, and when a call
//! that failed may be repeated.

use std::time;

use cardamomwinch_state::prelude::{SortedVector, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::control::event::{PlatformKey, PlatformRequest};

/// The backoff after a first failure, before jitter.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(250);
/// A call without an outcome is given up this long after its wait at the platform
/// has ended.
const LOST_CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Identifies a call. A read and a watch of the same key are separate calls, so that
/// a host that resumes after a pause can read while its old watch still hangs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct CallKey {
    key: PlatformKey,
    watch: bool,
}

impl CallKey {
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
    calls: SortedVector<CallKey, CallRecord>,
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
        let key = CallKey::of(request);
        let record = self.calls.get_or_insert_with(key, CallRecord::default);
        if now < record.until {
            return false;
        }
        record.started = now;
        record.until = now.after(request.wait + LOST_CALL_TIMEOUT);
        true
    }

    /// When `request` was last made.
    pub(crate) fn started(&self, request: &PlatformRequest) -> Option<Timestamp> {
        let record = self.calls.get(&CallKey::of(request));
        record.map(|record| record.started)
    }

    /// Records that `request` was answered.
    pub(crate) fn succeed(&mut self, request: &PlatformRequest) {
        self.calls.remove(&CallKey::of(request));
    }

    /// Defers `request`, because it failed or its answer was not useful.
    ///
    /// Guards against a burst of simultaneous calls when the platform recovers: the
    /// backoff doubles up to `longest`, and each host draws its own between half of
    /// it and all of it.
    pub(crate) fn back_off(
        &mut self,
        now: Timestamp,
        request: &PlatformRequest,
        longest: time::Duration,
    ) {
        let key = CallKey::of(request);
        let record = self.calls.get_or_insert_with(key, CallRecord::default);
        let grown = INITIAL_BACKOFF.saturating_mul(1 << record.failures.min(10));
        record.failures += 1;
        let backoff = grown.min(longest);
        record.until = now.after(backoff.mul_f64(self.random.random_range(0.5..=1.0)));
    }
}
