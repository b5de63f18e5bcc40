//! The clock of a host.

use std::time;

use cardamomwinch_state::prelude::Timestamp;
use rustix::time::{self as system_time, ClockId};

/// A source of the current time.
pub trait Clock {
    /// Returns the current time, which is never earlier than that of a previous call.
    fn now(&self) -> Timestamp;
}

/// The clock of this process: the wall time at its start plus the time elapsed
/// since then, measured by `CLOCK_BOOTTIME`.
///
/// If the wall clock itself were used and set back, expired leases and deadlines
/// would become valid again. The elapsed time never decreases, and unlike
/// `CLOCK_MONOTONIC` it includes the time during which the machine was suspended, so
/// that data from before a suspension is recognised as outdated.
#[derive(Debug, Clone, Copy)]
pub struct HostClock {
    wall_at_start: time::Duration,
    elapsed_at_start: time::Duration,
}

impl HostClock {
    /// Starts a clock; the wall time is read only here. Copies of one clock agree, so
    /// a process should create a single clock and copy it.
    pub fn start() -> Self {
        // A wall clock set before 1970 counts as 1970.
        let wall_at_start = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or(time::Duration::ZERO);
        Self {
            wall_at_start,
            elapsed_at_start: elapsed_since_boot(),
        }
    }
}

impl Clock for HostClock {
    fn now(&self) -> Timestamp {
        let elapsed = elapsed_since_boot().saturating_sub(self.elapsed_at_start);
        Timestamp::ZERO.after(self.wall_at_start.saturating_add(elapsed))
    }
}

fn elapsed_since_boot() -> time::Duration {
    let reading = system_time::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(reading.tv_nsec).unwrap_or(0);
    time::Duration::new(seconds, nanoseconds)
}
