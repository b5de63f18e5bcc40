//! Tells answers of slow servers from answers that waited in a queue.
//!
//! Guards against refusals because some servers are slow: their answers take long
//! although the other servers of the domain have room, and new flows go to those.

use std::time;

use cardamomwinch_state::prelude::{DomainId, ServiceId, SortedVector};

use crate::load::median_response::MedianResponse;

/// From this many per cent of the median on, a server counts as slow. Means of a few
/// answers of equal servers differ by less.
const MIN_SLOW_PERCENT: u64 = 200;

/// A service in a failure domain.
type ServerGroup = (ServiceId, DomainId);

/// The median response time of the servers of each service in each domain.
#[derive(Debug, Default)]
pub struct SlowServers {
    medians: SortedVector<ServerGroup, MedianResponse>,
}

impl SlowServers {
    /// Replaces the medians. `responses` has the mean response time of each server that was
    /// measured recently.
    pub fn update(&mut self, mut responses: Vec<(ServerGroup, time::Duration)>) {
        responses.sort_unstable_by_key(|(group, _)| *group);
        let groups = responses.chunk_by(|left, right| left.0 == right.0);
        let median = |group: &[(ServerGroup, time::Duration)]| {
            let (key, _) = group.first()?;
            let times = group.iter().map(|(_, response)| *response);
            Some((*key, MedianResponse::of(times)?))
        };
        self.medians = groups.filter_map(median).collect();
    }

    /// Whether a server of `service` in `domain` with the mean response time `response` is
    /// much slower than most of the others there.
    pub fn is_slow(&self, service: ServiceId, domain: DomainId, response: time::Duration) -> bool {
        let median = self.medians.get(&(service, domain));
        median.is_some_and(|median| median.percent_of(response) >= MIN_SLOW_PERCENT)
    }
}
