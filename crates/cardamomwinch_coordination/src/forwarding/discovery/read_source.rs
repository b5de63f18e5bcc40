//! Chooses the source that a host learns from: the store, or another host of its failure
//! domain.
//!
//! All hosts sort the hosts of a domain in the same order. The first few are readers: they
//! read the store. Every other host is a follower: it queries a host that precedes it, its
//! source, which answers as soon as it has something newer. There is no election and no
//! agreement: hosts that know different hosts only make more calls to the store than
//! necessary. Correctness depends on the age of the data, which every answer includes. When
//! the data gets too old, a host queries another host and reads the store itself.
//!
//! Otherwise the calls to the store would grow with the number of hosts, and each host
//! would receive every listing and every change over its own link.

use std::fmt;
use std::net;
use std::time;

use cardamomwinch_state::prelude::Timestamp;

use crate::forwarding::discovery::peer_list::{self, PeerList};
use crate::forwarding::discovery::peer_messages::PeerAnswer;

/// A domain has one reader per this many hosts, so that the loss of a reader affects few of
/// them.
const HOSTS_PER_READER: usize = 8;
/// The maximum number of readers of a domain. More of them only add calls to the store.
const MAX_READERS: usize = 2;
/// The number of hosts that query the same host. While nothing changes, each query takes
/// half a kilobyte per second in both directions; a host may use two kilobytes per second.
const FAN_OUT: usize = 4;
/// How long a host uses another source after a useless answer. A host that the store
/// refuses is still reachable, and its answers would stay useless.
const FALLBACK_DURATION: time::Duration = time::Duration::from_secs(15);
/// Hosts from this rank on may not know all hosts that precede them, so many of them
/// compute the same rank. They spread their queries over predecessors whose rank is at
/// least [`INNER_RANKS`].
const SPREAD_RANK: usize = 48;
/// Hosts below this rank are the sources of the hosts below [`SPREAD_RANK`].
const INNER_RANKS: usize = SPREAD_RANK / FAN_OUT;
/// After this many useless answers in a row the host reads the store.
const MAX_USELESS_ANSWERS: usize = 2;
/// The maximum age of the data of a useful answer. A source that reaches the store has read it
/// by this age, if need be by itself.
const MAX_ANSWER_AGE: time::Duration = MAX_DATA_AGE.saturating_add(MAX_DATA_AGE_SPREAD);
/// A source whose call to the store failed more recently than this has no current data.
const STORE_FAILURE_WINDOW: time::Duration = time::Duration::from_secs(1);
/// At this age of its data a host reads the store itself, plus up to [`MAX_DATA_AGE_SPREAD`],
/// so that not all hosts of a domain that lost their source call the store at the same
/// time.
///
/// Changes must be in force within three seconds, and the first one may follow the last
/// contact at once. Half a second of them is left for the call and a second try.
const MAX_DATA_AGE: time::Duration = time::Duration::from_millis(2_300);
/// The same for a host whose source is not a reader: by then its source has read the store, with
/// a second try if need be. So only the few hosts that query a reader call the store.
const MAX_INNER_DATA_AGE: time::Duration = time::Duration::from_millis(3_000);
/// See [`MAX_DATA_AGE`].
const MAX_DATA_AGE_SPREAD: time::Duration = time::Duration::from_millis(200);
/// See [`MAX_INNER_DATA_AGE`].
const MAX_INNER_DATA_AGE_SPREAD: time::Duration = time::Duration::from_millis(400);

/// The source that a host learns from.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum ReadSource {
    /// The store.
    #[default]
    Store,
    /// The host at this address.
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

/// The number of readers of the own domain.
fn reader_count(peers: &PeerList) -> usize {
    let hosts = peers.own_domain_count();
    hosts.div_ceil(HOSTS_PER_READER).clamp(1, MAX_READERS)
}

/// Chooses the source of one host.
#[derive(Debug)]
pub struct SourceChoice {
    order_number: u64,
    /// Useless answers in a row.
    useless_answers: usize,
    /// How many hosts after its first choice the host queries, until `fallback_until`.
    fallback_steps: usize,
    fallback_until: Timestamp,
}

impl SourceChoice {
    /// Creates the choice of the host at address `own`.
    pub const fn new(own: net::SocketAddr) -> Self {
        Self {
            order_number: peer_list::order_number(own),
            useless_answers: 0,
            fallback_steps: 0,
            fallback_until: Timestamp::ZERO,
        }
    }

    /// The host to query; `None` for a reader.
    pub fn host_to_query(&self, peers: &PeerList, now: Timestamp) -> Option<net::SocketAddr> {
        let predecessors = peers.predecessors();
        let rank = predecessors.len();
        let first = self.first_choice(rank, reader_count(peers))?;
        let steps = if now < self.fallback_until {
            self.fallback_steps
        } else {
            0
        };
        Some(predecessors[(first + steps) % rank])
    }

    /// The rank of the host that this one queries, as long as that one's answers are useful;
    /// `None` for a reader.
    fn first_choice(&self, rank: usize, readers: usize) -> Option<usize> {
        let inner = rank.checked_sub(readers)? / FAN_OUT;
        let spread = || INNER_RANKS + self.order_number as usize % (rank - INNER_RANKS);
        Some(if rank >= SPREAD_RANK { spread() } else { inner })
    }

    /// The host to send reports about servers to: the one that this host queries. A reader
    /// sends them to another reader, because not all hosts learn from the same one.
    pub fn host_to_report_to(&self, peers: &PeerList, now: Timestamp) -> Option<net::SocketAddr> {
        let source = self.host_to_query(peers, now);
        source.or_else(|| match peers.predecessors().first() {
            Some(first) => Some(*first),
            None => peers.successor(),
        })
    }

    /// Whether the host reads the store itself although it has a source.
    pub fn must_read_store(&self, peers: &PeerList, age: time::Duration) -> bool {
        let is_useless = self.useless_answers >= MAX_USELESS_ANSWERS;
        is_useless || self.remaining_age(peers, age).is_zero()
    }

    /// How much older data of the age `age` may get before the host reads the store itself.
    pub fn remaining_age(&self, peers: &PeerList, age: time::Duration) -> time::Duration {
        self.max_data_age(peers).saturating_sub(age)
    }

    /// The age at which the host no longer relies on its data.
    fn max_data_age(&self, peers: &PeerList) -> time::Duration {
        let readers = reader_count(peers);
        let source = self.first_choice(peers.predecessors().len(), readers);
        let queries_reader = source.is_none_or(|rank| rank < readers);
        let (least, spread) = if queries_reader {
            (MAX_DATA_AGE, MAX_DATA_AGE_SPREAD)
        } else {
            (MAX_INNER_DATA_AGE, MAX_INNER_DATA_AGE_SPREAD)
        };
        least + spread * (self.order_number % 16) as u32 / 16
    }

    /// Records the answer of the source, if any. Returns whether it was useful.
    pub fn note_answer(&mut self, now: Timestamp, answer: Option<&PeerAnswer>) -> bool {
        let is_useful = answer.is_some_and(|answer| {
            let store_failed_ago = answer.store_failed_ago;
            answer.age <= MAX_ANSWER_AGE
                && store_failed_ago.is_none_or(|ago| ago >= STORE_FAILURE_WINDOW)
        });
        if is_useful {
            self.useless_answers = 0;
        } else {
            self.useless_answers += 1;
            self.fallback_steps = if now < self.fallback_until {
                self.fallback_steps + 1
            } else {
                1
            };
            self.fallback_until = now.after(FALLBACK_DURATION);
        }
        is_useful
    }
}
