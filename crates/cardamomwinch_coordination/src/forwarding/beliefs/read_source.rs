//! Where a host learns from: the store, or another host of its failure domain.
//!
//! Every host orders the hosts of its domain alike. The first few read the store;
//! each other one asks a host before it, which answers as soon as it has heard of
//! something newer. Nobody is appointed and nothing is agreed: hosts that know
//! different hosts only ask more of the store than need be. What keeps every host
//! right is the age of what it knows, which is told along. Where that grows, a
//! host asks another one, and reads the store itself.
//!
//! Without this the calls to the store grow with the number of hosts, and each
//! host receives every listing and every change over its own link.

use std::fmt;
use std::net;
use std::time;

use cardamomwinch_state::prelude::Timestamp;

use crate::forwarding::beliefs::peer_book::{self, PeerBook};
use crate::forwarding::beliefs::peer_word::PeerWord;

/// A domain has one reader for so many hosts, so that the loss of one concerns few.
const HOSTS_PER_READER: usize = 8;
/// More readers than this add calls and nothing else.
const READER_LIMIT: usize = 2;
/// How many hosts ask the same one. Each question in a quiet second takes half a
/// kilobyte both ways; a host may use two kilobytes a second.
const FAN_OUT: usize = 4;
/// For so long after a useless answer a host asks another one than it would. A
/// host that the store turns away stays in reach, and would be asked in vain.
const DETOUR: time::Duration = time::Duration::from_secs(15);
/// From this rank on hosts may not know all hosts before them, so that many seem
/// to have the same rank. They spread over the hosts behind [`INNER_RANKS`].
const SPREAD_RANK: usize = 48;
/// Hosts of lower rank are asked by others by their rank.
const INNER_RANKS: usize = SPREAD_RANK / FAN_OUT;
/// So many useless answers in a row, and the host reads the store meanwhile.
const MISS_LIMIT: usize = 2;
/// What a source tells must not be older. Readers hear of the store at least
/// every two seconds.
const LATEST_WORD: time::Duration = time::Duration::from_millis(2_400);
/// A source that found the store silent so lately knows nothing of what happens.
const SILENCE_MEMORY: time::Duration = time::Duration::from_secs(1);
/// What a host knows must not get older than this before it reads the store
/// itself, and up to [`STALENESS_SPREAD`] more, so that not all hosts of a domain
/// that lost their source go to the store at once.
const STALENESS: time::Duration = time::Duration::from_millis(2_600);
/// See [`STALENESS`].
const STALENESS_SPREAD: time::Duration = time::Duration::from_millis(600);

/// Where a host learns from.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum ReadSource {
    /// From the store itself.
    #[default]
    Store,
    /// From this host.
    Host(net::SocketAddr),
}

impl fmt::Display for ReadSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => formatter.write_str("store"),
            Self::Host(address) => address.fmt(formatter),
        }
    }
}

/// Chooses the source of one host.
#[derive(Debug)]
pub struct SourceChoice {
    order_number: u64,
    /// Useless answers in a row.
    misses: usize,
    /// How many hosts further than its first one the host asks, and until when.
    detour: usize,
    detour_until: Timestamp,
}

impl SourceChoice {
    /// Begins for the host that others ask at `own`.
    pub const fn new(own: net::SocketAddr) -> Self {
        Self {
            order_number: peer_book::order_number(own),
            misses: 0,
            detour: 0,
            detour_until: Timestamp::ZERO,
        }
    }

    /// The host to ask; `None` for a reader.
    pub fn host_to_ask(&self, peers: &PeerBook, now: Timestamp) -> Option<net::SocketAddr> {
        let predecessors = peers.predecessors();
        let hosts = peers.own_domain_count();
        let readers = hosts.div_ceil(HOSTS_PER_READER).clamp(1, READER_LIMIT);
        let rank = predecessors.len();
        if rank < readers {
            return None;
        }
        let first = if rank >= SPREAD_RANK {
            INNER_RANKS + self.order_number as usize % (rank - INNER_RANKS)
        } else {
            (rank - readers) / FAN_OUT
        };
        let detour = if now < self.detour_until {
            self.detour
        } else {
            0
        };
        Some(predecessors[(first + detour) % rank])
    }

    /// The host that is told what this one has seen of servers: the one that it asks, and
    /// among readers another one, which the others do not all learn from.
    pub fn host_to_report_to(&self, peers: &PeerBook, now: Timestamp) -> Option<net::SocketAddr> {
        let source = self.host_to_ask(peers, now);
        source.or_else(|| match peers.predecessors().first() {
            Some(first) => Some(*first),
            None => peers.successor(),
        })
    }

    /// Whether the host reads the store itself although it has someone to ask.
    pub fn distrusts_hosts(&self, age: time::Duration) -> bool {
        self.misses >= MISS_LIMIT || age >= self.staleness()
    }

    /// The age from which on what the host knows is not relied on.
    fn staleness(&self) -> time::Duration {
        STALENESS + STALENESS_SPREAD * (self.order_number % 16) as u32 / 16
    }

    /// Notes what the host that was asked has told, if anything. Returns whether
    /// it was of use.
    pub fn note_word(&mut self, now: Timestamp, word: Option<&PeerWord>) -> bool {
        let is_useful = word.is_some_and(|word| {
            let silent = word.store_silent_for;
            word.age <= LATEST_WORD && silent.is_none_or(|ago| ago >= SILENCE_MEMORY)
        });
        if is_useful {
            self.misses = 0;
        } else {
            self.misses += 1;
            self.detour = if now < self.detour_until {
                self.detour + 1
            } else {
                1
            };
            self.detour_until = now.after(DETOUR);
        }
        is_useful
    }
}
