//! The periodic exchange that repairs what rumours missed: one host sends
//! hashes of its claims over blocks of the host list, and the other answers
//! with its claims about the blocks whose hashes differ.

use std::time;

use cardamomwinch_protocol::peer::membership::HostStanding;
use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{HostId, Timestamp};

use crate::control::membership::jitter::JitterSource;

/// The mean interval between exchanges in normal operation.
const EXCHANGE_INTERVAL: time::Duration = time::Duration::from_secs(15);
/// The mean interval between exchanges after a pause of the process, after the
/// end of a cut, and shortly after the start while some hosts are unknown.
const CATCH_UP_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// How long after its start a host uses the shorter interval if it does not
/// know all hosts.
const CATCH_UP_DURATION: time::Duration = time::Duration::from_secs(60);
/// Exchanges at the shorter interval after a cut or a pause.
const FAST_EXCHANGES: u32 = 3;
/// The maximum number of hashes in an exchange.
const MAX_BLOCKS: usize = 32;
/// The minimum number of hosts in a block.
const MIN_BLOCK_LENGTH: usize = 4;
/// The maximum number of claims in an answer, so that it fits into a datagram.
pub(super) const MAX_DIFFERENCE_CLAIMS: usize = 60;

/// When the next exchange is due, and with which host.
#[derive(Debug, Default)]
pub(super) struct ExchangeSchedule {
    started: Option<Timestamp>,
    next: Timestamp,
    fast_exchanges_left: u32,
    preferred: Option<HostId>,
}

impl ExchangeSchedule {
    /// Returns whether an exchange is due, and schedules the next one if so.
    /// `hosts_missing` is whether some listed hosts are still unknown.
    pub(super) fn due(
        &mut self,
        now: Timestamp,
        hosts_missing: bool,
        jitter: &mut JitterSource,
    ) -> bool {
        let started = *self.started.get_or_insert(now);
        if now < self.next {
            return false;
        }
        let catching_up = hosts_missing && now.since(started) < CATCH_UP_DURATION;
        let fast = self.fast_exchanges_left > 0;
        self.fast_exchanges_left = self.fast_exchanges_left.saturating_sub(1);
        let interval = if catching_up || fast {
            CATCH_UP_INTERVAL
        } else {
            EXCHANGE_INTERVAL
        };
        self.next = now.after(jitter.around(interval));
        true
    }

    /// Runs the next few exchanges sooner, because this host may have missed
    /// many rumours. Jitter prevents all hosts from doing this simultaneously.
    pub(super) fn schedule_soon(&mut self, now: Timestamp, jitter: &mut JitterSource) {
        self.next = self.next.min(now.after(jitter.around(CATCH_UP_INTERVAL)));
        self.fast_exchanges_left = FAST_EXCHANGES;
    }

    /// Selects `host` for the next exchange.
    pub(super) fn prefer(&mut self, host: HostId) {
        self.preferred = Some(host);
    }

    /// Returns and clears the host selected by [`Self::prefer`].
    pub(super) fn take_preferred(&mut self) -> Option<HostId> {
        self.preferred.take()
    }
}

/// Divides `hosts` into blocks, which depend only on their number.
pub(super) fn blocks(hosts: &[HostId]) -> impl Iterator<Item = &[HostId]> {
    let length = hosts.len().div_ceil(MAX_BLOCKS).max(MIN_BLOCK_LENGTH);
    hosts.chunks(length)
}

/// Hashes the claims about the hosts of a block.
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
