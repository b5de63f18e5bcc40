//! How long the flows of each route live.
//!
//! A flow that leaves its failure domain is stranded where the domain is cut off. That
//! costs little where callers open a flow for each request, and much where sessions last
//! for minutes. Nothing configures which is which; how callers close their flows shows it.

use std::net;
use std::time;

use cardamomwinch_state::prelude::SortedVector;

/// Routes remembered at most: more than a host of today has traffic for. Flows of others
/// count as long.
const ROUTE_LIMIT: usize = 1_024;
/// A lifetime counts as one of so many in the moving mean.
const LIFETIME_WEIGHT: u32 = 8;
/// Flows that live no longer than this are short: a request and its answer, not the
/// several seconds that sessions last.
const SHORT: time::Duration = time::Duration::from_secs(1);

/// The mean lifetime of flows by the address that they were opened to.
#[derive(Debug, Default)]
pub struct FlowLifetimes {
    means: SortedVector<net::SocketAddr, time::Duration>,
}

impl FlowLifetimes {
    /// A flow to `service` was closed by its caller after `lifetime`.
    pub fn note(&mut self, service: net::SocketAddr, lifetime: time::Duration) {
        if self.means.len() >= ROUTE_LIMIT && !self.means.contains_key(&service) {
            return;
        }
        let mean = self.means.get_or_insert_with(service, || lifetime);
        *mean = (*mean * (LIFETIME_WEIGHT - 1) + lifetime) / LIFETIME_WEIGHT;
    }

    /// Whether flows to `service` are short. Until some were closed they are not.
    pub fn are_short(&self, service: &net::SocketAddr) -> bool {
        self.means.get(service).is_some_and(|mean| *mean <= SHORT)
    }
}
