//! Limits on the tables of a traffic engine, and the gap that shows a pause.

use std::time;

/// The gap between two events of a thread from which on the process is considered
/// to have been paused.
///
/// Control and traffic use the same gap. If control did not detect a pause that
/// traffic detected, its next snapshot would confirm state from before the
/// pause.
pub const PAUSE_GAP: time::Duration = time::Duration::from_millis(700);

/// The bounds of one traffic engine. Each table refuses entries beyond its bound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficBounds {
    /// The maximum number of flows that are pinned to a backend server.
    pub flows: usize,
    /// The maximum number of known requests, running or finished.
    pub request_records: usize,
    /// The maximum number of concurrent searches for the servers of flows.
    pub searches: usize,
    /// The maximum total size of buffered request payloads and answers in bytes.
    pub held_bytes: usize,
    /// The maximum number of requests that wait for a backend server, per slot of
    /// the server.
    pub queue_per_slot: u32,
    /// The gap between two events that shows a pause of the process.
    pub pause_gap: time::Duration,
}

impl Default for TrafficBounds {
    fn default() -> Self {
        Self {
            flows: 500_000,
            request_records: 200_000,
            searches: 4096,
            held_bytes: 16 * 1024 * 1024,
            queue_per_slot: 4,
            pause_gap: PAUSE_GAP,
        }
    }
}
