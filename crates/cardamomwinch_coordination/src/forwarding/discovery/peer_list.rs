//! The peers that a host can query, and their order within a failure domain.

use std::net;
use std::time;

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{DomainId, SortedVector, Timestamp};

use crate::forwarding::discovery::peer_messages::PeerHost;

/// The maximum number of remembered hosts of the own domain: the first ones in the order.
/// This is enough for every host to find a source, and limits the lists that hosts
/// exchange.
const MAX_OWN_DOMAIN_HOSTS: usize = 64;
/// The maximum number of remembered hosts of other domains. They are queried when no host
/// of the own domain has data.
const MAX_OTHER_DOMAIN_HOSTS: usize = 32;
/// After this many unanswered queries in a row a peer is forgotten, unless the settings
/// name it: its address may no longer belong to a host.
const MAX_MISSED_ANSWERS: u32 = 3;
/// How long a peer is skipped after an unanswered query, multiplied by the number of
/// unanswered queries in a row.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(5);

/// What is known of one peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PeerEntry {
    domain: Option<DomainId>,
    is_seed: bool,
    missed_answers: u32,
    retry_at: Timestamp,
}

impl PeerEntry {
    /// Whether the peer is neither queried nor named to others, until it sends a query.
    const fn is_forgotten(&self) -> bool {
        self.missed_answers >= MAX_MISSED_ANSWERS && !self.is_seed
    }
}

/// The number that orders the host at `address` within its domain: a hash of the address,
/// which is the same on all hosts and unrelated to names or racks.
pub const fn order_number(address: net::SocketAddr) -> u64 {
    let number = match address.ip() {
        net::IpAddr::V4(address) => address.to_bits() as u64,
        net::IpAddr::V6(address) => address.to_bits() as u64,
    };
    flow::mix(number ^ ((address.port() as u64) << 48))
}

/// The peers that a host knows.
#[derive(Debug, Clone)]
pub struct PeerList {
    own: net::SocketAddr,
    domain: DomainId,
    peers: SortedVector<net::SocketAddr, PeerEntry>,
    cursor: usize,
}

impl PeerList {
    /// Creates the list with the seeds from the settings of the host at `own`.
    pub fn new(own: net::SocketAddr, domain: DomainId, seeds: &[net::SocketAddr]) -> Self {
        let mut list = Self {
            own,
            domain,
            peers: SortedVector::new(),
            // Spreads the first queries of the hosts over the peers.
            cursor: order_number(own) as usize % MAX_OTHER_DOMAIN_HOSTS,
        };
        for seed in seeds.iter().filter(|seed| **seed != own) {
            let entry = list.new_entry(None, true);
            list.peers.insert(*seed, entry);
        }
        list
    }

    const fn new_entry(&self, domain: Option<DomainId>, is_seed: bool) -> PeerEntry {
        PeerEntry {
            domain,
            is_seed,
            missed_answers: 0,
            retry_at: Timestamp::ZERO,
        }
    }

    /// Adds a host that a peer has named.
    fn add(&mut self, host: PeerHost) {
        if host.address == self.own {
            return;
        }
        if let Some(entry) = self.peers.get_mut(&host.address) {
            entry.domain = host.domain.or(entry.domain);
            return;
        }
        if self.make_room(host) {
            let entry = self.new_entry(host.domain, false);
            self.peers.insert(host.address, entry);
        }
    }

    /// Whether there is room for `host`; removes another host if necessary.
    fn make_room(&mut self, host: PeerHost) -> bool {
        let own_domain = host.domain == Some(self.domain);
        let limit = if own_domain {
            MAX_OWN_DOMAIN_HOSTS
        } else {
            MAX_OTHER_DOMAIN_HOSTS
        };
        let peers = self.peers.iter();
        let same_kind: Vec<_> = peers
            .filter(|(_, entry)| (entry.domain == Some(self.domain)) == own_domain)
            .collect();
        if same_kind.len() < limit {
            return true;
        }
        let removable = same_kind.iter().filter(|(_, entry)| !entry.is_seed);
        let last = removable
            .map(|(address, entry)| (entry.is_forgotten(), order_number(**address), **address))
            .max();
        let Some((forgotten, number, address)) = last else {
            return false;
        };
        let replaces = forgotten || (own_domain && order_number(host.address) < number);
        if replaces {
            self.peers.remove(&address);
        }
        replaces
    }

    /// The peers that are not forgotten.
    fn remembered(&self) -> impl Iterator<Item = (net::SocketAddr, &PeerEntry)> {
        self.peers
            .iter()
            .filter(|(_, entry)| !entry.is_forgotten())
            .map(|(address, entry)| (*address, entry))
    }

    /// The known peers and this host.
    pub fn hosts(&self) -> Vec<PeerHost> {
        let own = PeerHost {
            address: self.own,
            domain: Some(self.domain),
        };
        let peers = self.remembered().map(|(address, entry)| PeerHost {
            address,
            domain: entry.domain,
        });
        peers.chain([own]).collect()
    }

    /// The known hosts of the own domain, including this one.
    pub fn own_domain_hosts(&self) -> Vec<PeerHost> {
        self.hosts_in(self.domain)
    }

    /// A digest of the known hosts of the own domain, to compare with that of a peer.
    pub fn digest(&self) -> u64 {
        let hosts = self.own_domain_hosts();
        let sum = |sum: u64, host: &PeerHost| sum.wrapping_add(order_number(host.address));
        hosts.iter().fold(0, sum)
    }

    /// The known hosts of the own domain that precede this one in the order, unsorted.
    fn preceding(&self) -> impl Iterator<Item = (net::SocketAddr, &PeerEntry)> {
        let own = order_number(self.own);
        self.remembered().filter(move |(address, entry)| {
            entry.domain == Some(self.domain) && order_number(*address) < own
        })
    }

    /// The hosts of the own domain that precede this one in the order, sorted by it,
    /// without those that did not answer the last query.
    pub fn predecessors(&self) -> Vec<net::SocketAddr> {
        let answering = self
            .preceding()
            .filter(|(_, entry)| entry.missed_answers == 0);
        let mut hosts: Vec<_> = answering.map(|(address, _)| address).collect();
        hosts.sort_unstable_by_key(|address| order_number(*address));
        hosts
    }

    /// The next host of the own domain after this one in the order, skipping those that did
    /// not answer the last query.
    pub fn successor(&self) -> Option<net::SocketAddr> {
        let own = order_number(self.own);
        let later = self.remembered().filter(|(address, entry)| {
            entry.domain == Some(self.domain)
                && entry.missed_answers == 0
                && order_number(*address) > own
        });
        let hosts = later.map(|(address, _)| address);
        hosts.min_by_key(|address| order_number(*address))
    }

    /// A host that precedes this one, did not answer, and is due for a retry. Other hosts
    /// learn from it only after it has answered; until then later hosts replace it.
    pub fn predecessor_to_retry(&self, now: Timestamp) -> Option<net::SocketAddr> {
        let is_due = |entry: &PeerEntry| entry.missed_answers > 0 && entry.retry_at <= now;
        let mut due = self.preceding().filter(|(_, entry)| is_due(entry));
        due.next().map(|(address, _)| address)
    }

    /// Number of known hosts of the own domain, including this one.
    pub fn own_domain_count(&self) -> usize {
        self.own_domain_hosts().len()
    }

    /// The lowest order numbers of hosts of the own domain, including this one: the hosts
    /// that every host of the domain remembers.
    pub fn first_order_numbers(&self) -> Vec<u64> {
        let hosts = self.own_domain_hosts();
        let mut numbers: Vec<_> = hosts.iter().map(|one| order_number(one.address)).collect();
        numbers.sort_unstable();
        numbers.truncate(MAX_OWN_DOMAIN_HOSTS);
        numbers
    }

    /// Whether a host named in the settings has answered its last query or was not queried
    /// yet.
    pub fn seed_may_answer(&self) -> bool {
        let mut entries = self.remembered().map(|(_, entry)| entry);
        entries.any(|entry| entry.is_seed && entry.missed_answers == 0)
    }

    /// The next peer in the rotation.
    pub fn next_in_rotation(&mut self) -> Option<net::SocketAddr> {
        self.next_among(|_| true)
    }

    /// The next peer in the rotation among hosts of the own domain and those named in the
    /// settings, which know hosts of the own domain. All hosts know the latter, so no small
    /// group of hosts knows only its own members.
    pub fn next_for_own_domain(&mut self) -> Option<net::SocketAddr> {
        let domain = Some(self.domain);
        self.next_among(|entry| entry.domain == domain || entry.is_seed)
    }

    /// The peer to query for the full list: one named in the settings, because those read
    /// the store first. A peer that did not answer is included, because it may have started
    /// meanwhile.
    pub fn next_seed(&mut self) -> Option<net::SocketAddr> {
        self.next_among(|entry| entry.is_seed)
    }

    fn next_among(&mut self, fits: impl Fn(&PeerEntry) -> bool) -> Option<net::SocketAddr> {
        let fitting: Vec<_> = self
            .remembered()
            .filter(|(_, entry)| fits(entry))
            .map(|(address, _)| address)
            .collect();
        self.cursor = self.cursor.wrapping_add(1);
        let position = self.cursor.checked_rem(fitting.len())?;
        Some(fitting[position])
    }

    /// The known hosts of `domain`.
    pub fn hosts_in(&self, domain: DomainId) -> Vec<PeerHost> {
        let mut hosts = self.hosts();
        hosts.retain(|host| host.domain == Some(domain));
        hosts
    }

    /// Records that `host` has sent a query, which shows that it is alive, and that it
    /// knows `hosts`. Returns whether it had not answered before.
    pub fn note_query(&mut self, host: PeerHost, hosts: &[PeerHost]) -> bool {
        self.add(host);
        let regained = self.note_alive(host.address);
        for other in hosts {
            self.add(*other);
        }
        regained
    }

    fn note_alive(&mut self, address: net::SocketAddr) -> bool {
        let Some(entry) = self.peers.get_mut(&address) else {
            return false;
        };
        entry.retry_at = Timestamp::ZERO;
        std::mem::take(&mut entry.missed_answers) > 0
    }

    /// Records that `peer` answered and knows `hosts`. Returns whether it had not answered
    /// before.
    pub fn note_answer(&mut self, peer: net::SocketAddr, hosts: &[PeerHost]) -> bool {
        let regained = self.note_alive(peer);
        for host in hosts {
            self.add(*host);
        }
        regained
    }

    /// Records that `peer` did not answer. Returns whether it had answered before.
    pub fn note_missed_answer(&mut self, peer: net::SocketAddr, now: Timestamp) -> bool {
        let Some(entry) = self.peers.get_mut(&peer) else {
            return false;
        };
        entry.missed_answers = entry.missed_answers.saturating_add(1);
        entry.retry_at = now.after(RETRY_DELAY * entry.missed_answers.min(MAX_MISSED_ANSWERS));
        entry.missed_answers == 1
    }
}
