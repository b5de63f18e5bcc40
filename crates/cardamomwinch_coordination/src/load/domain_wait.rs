//! How long requests wait in a failure domain.

use std::time;

/// What a host has measured of the requests that it recently sent to the servers of a service
/// in a failure domain.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct DomainWait {
    /// The mean response time beyond what a request takes without a queue.
    pub wait: time::Duration,
    /// Requests that were refused or reset by servers, in thousandths of all.
    pub refused_permille: u32,
}

impl DomainWait {
    /// Whether a request with this latency goal finds room: it waits for at most `percent` per
    /// cent of the goal, and none is refused.
    pub fn has_room(&self, latency_goal: time::Duration, percent: u32) -> bool {
        self.refused_permille == 0 && self.wait * 100 <= latency_goal * percent
    }
}
