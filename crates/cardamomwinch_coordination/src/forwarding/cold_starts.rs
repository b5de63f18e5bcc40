//! How many new flows a host gives to servers that have just started.
//!
//! Operators bound what a cold server gets from all hosts together, and no host sees
//! what the others send. So a few hosts of its failure domain, which a hash chooses,
//! each have a part of the rate, and all others leave the server alone. Hosts that know
//! different hosts choose others, and the parts add up to more; what the chosen ones
//! leave of the rate, and what the rate may be exceeded by, is for that.

use std::sync;
use std::time;

use cardamomwinch_state::prelude::{BackendId, OpeningRate, ServiceId, SortedVector, Timestamp};
use serde::{Deserialize, Serialize};

use crate::routing::rendezvous;

/// So many hosts of its domain give new flows to a cold server.
const CHOSEN_HOSTS: usize = 3;
/// What each of them gives, in per cent of the rate. Twice as many hosts may take
/// themselves for chosen before a server gets half as much again as its rate.
const CHOSEN_PERCENT: u64 = 25;
/// A rate of one new flow a second.
const ONE_A_SECOND: u64 = 1_000;

/// How servers of a service behave after their start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ColdStart {
    /// The service.
    pub service: ServiceId,
    /// How long they are cold.
    pub lasting: time::Duration,
    /// The new flows that one bears meanwhile; zero where that is not bounded.
    pub openings: OpeningRate,
}

/// The part that one host has in what cold servers of its failure domain get.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdShare {
    /// A number of the host that differs from those of others.
    pub host_number: u64,
    /// The numbers of the hosts among which some are chosen for each server; this host
    /// may be one of them.
    pub host_numbers: sync::Arc<[u64]>,
}

impl ColdShare {
    /// Whether this host is one of those that give new flows to `server` while it is cold.
    fn is_chosen(&self, server: BackendId) -> bool {
        let score = |number: u64| rendezvous::score(number, server.get());
        let own = score(self.host_number);
        let hosts = || self.host_numbers.iter();
        let ahead = hosts().filter(|number| score(**number) > own).count();
        ahead < CHOSEN_HOSTS && hosts().any(|number| *number == self.host_number)
    }
}

/// The time between two new flows that a chosen host gives to one server.
fn interval(openings: OpeningRate) -> time::Duration {
    let part = (openings.get() * CHOSEN_PERCENT).max(1);
    time::Duration::from_micros(ONE_A_SECOND * 1_000_000 * 100 / part)
}

/// When this host last gave a new flow to each server that is cold.
#[derive(Debug, Default)]
pub struct ColdLimiter {
    openings: SortedVector<BackendId, Timestamp>,
}

impl ColdLimiter {
    /// Whether `server`, which is cold, may get a new flow from the host with this
    /// `share`.
    ///
    /// Guards against a rush on servers that are empty and look idle. It shows as
    /// hundreds of hosts that each give one flow to the same server in the same second.
    pub fn allows(
        &self,
        server: BackendId,
        openings: OpeningRate,
        share: &ColdShare,
        now: Timestamp,
    ) -> bool {
        let last = self.openings.get(&server);
        let has_waited = last.is_none_or(|last| now.since(*last) >= interval(openings));
        has_waited && share.is_chosen(server)
    }

    /// This host gives a new flow to `server`, which is cold.
    pub fn note(&mut self, server: BackendId, now: Timestamp) {
        self.openings.insert(server, now);
    }

    /// Forgets the servers for which `keep` does not hold.
    pub fn retain(&mut self, mut keep: impl FnMut(BackendId) -> bool) {
        self.openings.retain(|id, _| keep(*id));
    }
}
