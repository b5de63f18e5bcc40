//! Measures how long the flows of each route last.
//!
//! A flow to a server in another failure domain breaks if a domain is cut off. That costs
//! little if callers open a flow for each request, and much if sessions last for minutes.
//! No setting specifies which routes are of which kind, so it is measured when callers close
//! their flows.

use std::net;
use std::time;

use cardamomwinch_state::prelude::SortedVector;

/// The maximum number of routes that are measured. Flows of others count as long.
const ROUTE_LIMIT: usize = 1_024;
/// A new lifetime enters the moving mean with the weight `1 / LIFETIME_WEIGHT`.
const LIFETIME_WEIGHT: u32 = 8;
/// Flows that last no longer than this are short: a request and its answer. Sessions last
/// several seconds.
const SHORT: time::Duration = time::Duration::from_secs(1);

/// The mean lifetime of flows by the address that they were opened to.
#[derive(Debug, Default)]
pub struct FlowLifetimes {
    means: SortedVector<net::SocketAddr, time::Duration>,
}

impl FlowLifetimes {
    /// Records that a flow to the address `service` was closed by its caller after
    /// `lifetime`.
    pub fn note(&mut self, service: net::SocketAddr, lifetime: time::Duration) {
        if self.means.len() >= ROUTE_LIMIT && !self.means.contains_key(&service) {
            return;
        }
        let mean = self.means.get_or_insert_with(service, || lifetime);
        *mean = (*mean * (LIFETIME_WEIGHT - 1) + lifetime) / LIFETIME_WEIGHT;
    }

    /// Whether flows to the address `service` are short. They count as long until one was
    /// closed.
    pub fn are_short(&self, service: &net::SocketAddr) -> bool {
        self.means.get(service).is_some_and(|mean| *mean <= SHORT)
    }
}
