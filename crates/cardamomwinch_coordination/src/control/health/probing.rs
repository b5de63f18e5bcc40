//! Schedules the probes of a server's load endpoint.

use std::time;

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{BackendId, Timestamp};

/// The usual interval between two probes.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Each interval is longer or shorter by up to one part in this many, so that homes do not
/// probe at the same times.
const JITTER_PARTS: u32 = 8;
/// The longest interval while a server is ejected.
const MAX_INTERVAL: time::Duration = time::Duration::from_secs(30);

/// The probe schedule of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ProbeSchedule {
    /// When the last probe was sent.
    pub(crate) probed_at: Timestamp,
    next_at: Timestamp,
    interval: time::Duration,
    seed: u64,
    is_pending: bool,
    backs_off: bool,
    /// Number of failed probes in a row.
    pub(crate) failures: u32,
}

impl ProbeSchedule {
    pub(crate) fn new(now: Timestamp, backend: BackendId) -> Self {
        Self {
            probed_at: now,
            next_at: now,
            interval: PROBE_INTERVAL,
            seed: backend.get(),
            is_pending: false,
            backs_off: false,
            failures: 0,
        }
    }

    /// Returns whether the endpoint must be probed now; if so, records the probe as sent.
    pub(crate) fn probe_if_due(&mut self, now: Timestamp) -> bool {
        if now < self.next_at {
            return false;
        }
        // A probe without any outcome counts as failed.
        self.failures += u32::from(self.is_pending);
        self.is_pending = true;
        self.probed_at = now;
        self.next_at = now.after(self.jittered());
        if self.backs_off {
            self.interval = (self.interval * 2).min(MAX_INTERVAL);
        }
        true
    }

    fn jittered(&mut self) -> time::Duration {
        self.seed = flow::mix(self.seed.wrapping_add(1));
        let part = self.interval / JITTER_PARTS;
        let spread = (self.seed % 512) as u32;
        self.interval - part + part * spread / 256
    }

    pub(crate) fn note_answer(&mut self) {
        self.is_pending = false;
        self.failures = 0;
    }

    pub(crate) fn note_failure(&mut self) {
        self.is_pending = false;
        self.failures = self.failures.saturating_add(1);
    }

    /// Doubles the interval with each probe, because the server is ejected.
    pub(crate) fn back_off(&mut self) {
        self.backs_off = true;
    }

    /// Returns to the usual interval.
    pub(crate) fn resume(&mut self, now: Timestamp) {
        self.backs_off = false;
        self.interval = PROBE_INTERVAL;
        self.next_at = self.next_at.min(now.after(PROBE_INTERVAL));
    }
}
