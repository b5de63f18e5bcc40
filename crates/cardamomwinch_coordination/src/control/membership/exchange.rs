//! The slow exchange that repairs what rumours missed: two hosts compare
//! hashes over blocks of the list, and one sends the claims of those that
//! differ.

use std::time;

use cardamomwinch_protocol::peer::membership::HostStanding;
use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{HostId, Timestamp};

use crate::control::membership::jitter::JitterSource;

/// How often a host that knows the fleet compares with another.
const EXCHANGE_INTERVAL: time::Duration = time::Duration::from_secs(15);
/// How often a host does that has started lately and misses hosts, that slept,
/// or for which a cut ended.
const CATCH_UP_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// How long after its start a host catches up.
const CATCH_UP_FOR: time::Duration = time::Duration::from_secs(60);
/// Exchanges in quick succession after a cut or a sleep.
const HURRIED_EXCHANGES: u32 = 3;
/// The most hashes in an exchange.
const BLOCK_LIMIT: usize = 32;
/// Hosts to a block at least.
const BLOCK_LENGTH: usize = 4;
/// Claims in one answer, so that it fits into a datagram.
pub(super) const DIFFERENCE_LIMIT: usize = 60;

/// When to compare with another host, and with which.
#[derive(Debug, Default)]
pub(super) struct ExchangeSchedule {
    started: Option<Timestamp>,
    next: Timestamp,
    hurried: u32,
    preferred: Option<HostId>,
}

impl ExchangeSchedule {
    /// Whether an exchange is due. `missing` tells whether listed hosts were
    /// never heard of.
    pub(super) fn due(&mut self, now: Timestamp, missing: bool, jitter: &mut JitterSource) -> bool {
        let started = *self.started.get_or_insert(now);
        if now < self.next {
            return false;
        }
        let catching_up = missing && now.since(started) < CATCH_UP_FOR;
        let hurrying = self.hurried > 0;
        self.hurried = self.hurried.saturating_sub(1);
        let interval = if catching_up || hurrying {
            CATCH_UP_INTERVAL
        } else {
            EXCHANGE_INTERVAL
        };
        self.next = now.after(jitter.around(interval));
        true
    }

    /// Brings the next few exchanges forward, since this host may have missed
    /// much. The jitter keeps all hosts from doing so at once.
    pub(super) fn hasten(&mut self, now: Timestamp, jitter: &mut JitterSource) {
        self.next = self.next.min(now.after(jitter.around(CATCH_UP_INTERVAL)));
        self.hurried = HURRIED_EXCHANGES;
    }

    /// Makes the next exchange one with `host`.
    pub(super) fn prefer(&mut self, host: HostId) {
        self.preferred = Some(host);
    }

    /// The host to compare with next, if one is preferred.
    pub(super) fn take_preferred(&mut self) -> Option<HostId> {
        self.preferred.take()
    }
}

/// The blocks into which `hosts` are divided.
pub(super) fn blocks(hosts: &[HostId]) -> impl Iterator<Item = &[HostId]> {
    let length = hosts.len().div_ceil(BLOCK_LIMIT).max(BLOCK_LENGTH);
    hosts.chunks(length)
}

/// The hash of what is claimed of the hosts of a block.
pub(super) fn block_hash(standings: impl Iterator<Item = Option<HostStanding>>) -> u32 {
    let hash = standings.fold(0, |hash, standing| {
        let number = standing.map_or(0, |standing| {
            let counts = u64::from(standing.refutation.get()) << 1 | u64::from(standing.dead);
            flow::mix(standing.incarnation.get() ^ flow::mix(counts)) | 1
        });
        flow::mix(hash ^ number).wrapping_add(number)
    });
    (hash >> 32) as u32
}
