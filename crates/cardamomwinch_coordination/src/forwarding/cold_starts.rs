//! Limits how many new flows a host sends to servers that have just started ("cold" servers).
//!
//! Operators limit the rate of new flows that a cold server receives from all hosts
//! together, but no host sees what the others send. So a hash chooses a few hosts of the
//! server's failure domain. Each of them may use a part of the rate; all other hosts send
//! the server nothing. Hosts whose lists of hosts differ may choose differently, so that
//! more hosts than intended take part. For this reason the parts add up to less than the
//! whole rate.

use std::sync;
use std::time;

use cardamomwinch_state::prelude::{BackendId, OpeningRate, ServiceId, SortedVector, Timestamp};
use serde::{Deserialize, Serialize};

use crate::routing::rendezvous;

/// The number of hosts of its domain that send new flows to a cold server.
const CHOSEN_HOSTS: usize = 3;
/// The part of the rate that each of them may use, in per cent. If twice as many hosts
/// take part, the server receives one and a half times its rate.
const CHOSEN_PERCENT: u64 = 25;
/// An [`OpeningRate`] of one new flow per second.
const ONE_PER_SECOND: u64 = 1_000;

/// How long servers of a service are cold after their start, and how many new flows they
/// may receive until then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ColdStart {
    /// The service.
    pub service: ServiceId,
    /// How long a server is cold.
    #[serde(rename = "lasting")]
    pub duration: time::Duration,
    /// The rate of new flows that a cold server may receive; zero if it is not limited.
    pub openings: OpeningRate,
}

/// Decides for which cold servers of its failure domain a host may use a part of the rate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdShare {
    /// The number of this host, which no other host has.
    pub host_number: u64,
    /// The numbers of the hosts among which some are chosen for each server. This host
    /// need not be among them.
    pub host_numbers: sync::Arc<[u64]>,
}

impl ColdShare {
    /// Whether this host is one of those that send new flows to `server` while it is cold.
    fn is_chosen(&self, server: BackendId) -> bool {
        let score = |number: u64| rendezvous::score(number, server.get());
        let own = score(self.host_number);
        let hosts = || self.host_numbers.iter();
        let ahead = hosts().filter(|number| score(**number) > own).count();
        ahead < CHOSEN_HOSTS && hosts().any(|number| *number == self.host_number)
    }
}

/// The least time between two new flows that a chosen host sends to one server.
fn min_interval(openings: OpeningRate) -> time::Duration {
    let part = (openings.get() * CHOSEN_PERCENT).max(1);
    time::Duration::from_micros(ONE_PER_SECOND * 1_000_000 * 100 / part)
}

/// When this host last sent a new flow to each cold server.
#[derive(Debug, Default)]
pub struct ColdLimiter {
    openings: SortedVector<BackendId, Timestamp>,
}

impl ColdLimiter {
    /// Whether the host with this `share` may send a new flow to `server`, which is cold.
    ///
    /// Guards against overload of a cold server: it has no flows and looks idle, so
    /// hundreds of hosts would each send it a flow in the same second.
    pub fn allows(
        &self,
        server: BackendId,
        openings: OpeningRate,
        share: &ColdShare,
        now: Timestamp,
    ) -> bool {
        let last = self.openings.get(&server);
        let has_waited = last.is_none_or(|last| now.since(*last) >= min_interval(openings));
        has_waited && share.is_chosen(server)
    }

    /// Records that this host sends a new flow to `server`, which is cold.
    pub fn note(&mut self, server: BackendId, now: Timestamp) {
        self.openings.insert(server, now);
    }

    /// Removes the servers for which `keep` does not hold.
    pub fn retain(&mut self, mut keep: impl FnMut(BackendId) -> bool) {
        self.openings.retain(|id, _| keep(*id));
    }
}
