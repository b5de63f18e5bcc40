//! The clock of a host.

use std::time;

use cardamomwinch_state::prelude::Timestamp;
use rustix::time::{self as system_time, ClockId};

/// Gives the present point in time.
pub trait Clock {
    /// The present; never earlier than what an earlier call returned.
    fn now(&self) -> Timestamp;
}

/// The clock of this process: the wall time at its start plus the time elapsed
/// since, counted by `CLOCK_BOOTTIME`.
///
/// A wall clock that is set back would make leases and deadlines live again.
/// The elapsed time never falls, and unlike `CLOCK_MONOTONIC` it counts the time
/// during which the machine was suspended, so that an old state looks old.
#[derive(Debug, Clone, Copy)]
pub struct HostClock {
    wall_at_start: time::Duration,
    elapsed_at_start: time::Duration,
}

impl HostClock {
    /// Reads the wall time once. Copies of one clock agree; a process should
    /// create a single one.
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
