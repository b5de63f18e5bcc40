//! Which peers to query for newer documents, and which peers to announce new
//! documents to.

use std::time;

use cardamomwinch_protocol::peer::configuration::ConfigurationDigest;
use cardamomwinch_state::prelude::{HostEntry, HostId, HostPhase, HostTable, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::control::adoption::PeerReachability;
use crate::control::adoption::confirmation::StateConfirmation;
use crate::identity::HostIdentity;

/// A peer that does not answer within this time is replaced by another one. Queries
/// and answers get lost, and the last host of a fleet to adopt a change is one that
/// loses several in a row. Documents that take longer to send may arrive twice, from
/// two peers.
const QUERY_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// The most remembered peers that may hold something newer.
const MAX_AHEAD_PEERS: usize = 4;
/// Random hosts to announce to in each round, in addition to the successors in the
/// first round.
const PEERS_PER_ROUND: usize = 2;
/// The delay before each round of announcements. The next round makes up for lost
/// messages, and the digests in heartbeats for those of the last round.
const ROUND_DELAYS: [time::Duration; 3] = [
    time::Duration::ZERO,
    time::Duration::from_millis(250),
    time::Duration::from_millis(500),
];
/// The interval of announcements to unreachable listed hosts: such a host may be
/// starting, and know no other host yet.
const UNREACHABLE_ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_millis(1000);

#[derive(Debug, Clone, Copy)]
struct QueriedPeer {
    host: HostId,
    until: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct AheadPeer {
    host: HostId,
    digest: ConfigurationDigest,
}

#[derive(Debug, Clone, Copy)]
struct AnnouncementRound {
    next: usize,
    due: Timestamp,
}

/// The state of the exchange of documents with peers.
#[derive(Debug)]
pub(crate) struct PeerExchange {
    random: SmallRng,
    queried: Option<QueriedPeer>,
    ahead: Vec<AheadPeer>,
    announcing: Option<AnnouncementRound>,
    next_unreachable_announcement: Timestamp,
    announce_to_all_domains: bool,
}

impl PeerExchange {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            queried: None,
            ahead: Vec::new(),
            announcing: None,
            next_unreachable_announcement: Timestamp::ZERO,
            announce_to_all_domains: false,
        }
    }

    /// Records that `host` may hold something newer.
    pub(crate) fn note_ahead(&mut self, host: HostId, digest: ConfigurationDigest) {
        self.ahead.retain(|peer| peer.host != host);
        self.ahead.push(AheadPeer { host, digest });
        if self.ahead.len() > MAX_AHEAD_PEERS {
            self.ahead.remove(0);
        }
    }

    /// Records that `host` has answered.
    pub(crate) fn note_answer(&mut self, host: HostId) {
        self.ahead.retain(|peer| peer.host != host);
        if self.queried.is_some_and(|queried| queried.host == host) {
            self.queried = None;
        }
    }

    /// The peer to query now. Only one is queried at a time, so that several peers do
    /// not send the same large documents at once.
    pub(crate) fn next_query(
        &mut self,
        now: Timestamp,
        own: ConfigurationDigest,
        identity: HostIdentity,
        hosts: &HostTable,
        confirmation: &StateConfirmation,
    ) -> Option<HostId> {
        if self.is_querying(now) {
            return None;
        }
        self.ahead.retain(|peer| may_be_ahead(peer.digest, own));
        let host = match self.ahead.pop() {
            Some(peer) => Some(peer.host),
            None if confirmation.is_done() => None,
            None => self.unanswered(identity, hosts, confirmation),
        };
        let until = now.after(QUERY_TIMEOUT);
        self.queried = host.map(|host| QueriedPeer { host, until });
        host
    }

    fn is_querying(&self, now: Timestamp) -> bool {
        self.queried.is_some_and(|queried| now < queried.until)
    }

    /// Records a query to `host`. Returns `false` if another query is unanswered.
    pub(crate) fn try_query(&mut self, now: Timestamp, host: HostId) -> bool {
        if self.is_querying(now) {
            return false;
        }
        let until = now.after(QUERY_TIMEOUT);
        self.queried = Some(QueriedPeer { host, until });
        true
    }

    /// A random peer that has not answered since the comparison began. Hosts of the
    /// own domain and of other domains are equally likely, because either group may
    /// be cut off.
    fn unanswered(
        &mut self,
        identity: HostIdentity,
        hosts: &HostTable,
        confirmation: &StateConfirmation,
    ) -> Option<HostId> {
        let open: Vec<&HostEntry> = hosts
            .hosts
            .values()
            .filter(|host| host.id != identity.host && !confirmation.has_answer(host.id))
            .collect();
        let own_domain = self.random.random_bool(0.5);
        let side: Vec<&&HostEntry> = open
            .iter()
            .filter(|host| (host.domain == identity.domain) == own_domain)
            .collect();
        match side.is_empty() {
            true => self.pick(&open).map(|host| host.id),
            false => self.pick(&side).map(|host| host.id),
        }
    }

    fn pick<'h, T>(&mut self, hosts: &'h [T]) -> Option<&'h T> {
        let count = hosts.len();
        (count > 0).then(|| &hosts[self.random.random_range(0..count)])
    }

    /// Begins to announce new documents.
    pub(crate) fn begin_announcing(&mut self, now: Timestamp) {
        self.announcing = Some(AnnouncementRound { next: 0, due: now });
    }

    /// Ends the rounds of announcements.
    pub(crate) fn end_announcing(&mut self) {
        self.announcing = None;
    }

    /// The hosts to send an announcement to now.
    pub(crate) fn due_announcements(
        &mut self,
        now: Timestamp,
        identity: HostIdentity,
        hosts: &HostTable,
    ) -> Vec<HostId> {
        let Some(round) = self.announcing.filter(|round| now >= round.due) else {
            return Vec::new();
        };
        let next = round.next + 1;
        self.announcing = ROUND_DELAYS.get(next).map(|delay| AnnouncementRound {
            next,
            due: now.after(*delay),
        });
        let mut receivers = Vec::new();
        if round.next == 0 {
            receivers.extend(successor(identity.host, hosts, |_| true));
            let own_domain = |host: &HostEntry| host.domain == identity.domain;
            receivers.extend(successor(identity.host, hosts, own_domain));
        }
        for _ in 0..PEERS_PER_ROUND {
            receivers.extend(self.random_host(identity, hosts));
        }
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }

    /// A random listed host other than this one.
    pub(crate) fn random_host(
        &mut self,
        identity: HostIdentity,
        hosts: &HostTable,
    ) -> Option<HostId> {
        let count = hosts.hosts.len();
        if count < 2 {
            return None;
        }
        let (host, _) = hosts.hosts.nth(self.random.random_range(0..count))?;
        if *host != identity.host {
            return Some(*host);
        }
        successor(identity.host, hosts, |_| true)
    }

    /// The unreachable host to send an announcement to now, if any. It is chosen
    /// alternately from the own domain and from all domains.
    pub(crate) fn due_unreachable_announcement<R: PeerReachability>(
        &mut self,
        now: Timestamp,
        identity: HostIdentity,
        hosts: &HostTable,
        peers: &R,
    ) -> Option<HostId> {
        if now < self.next_unreachable_announcement {
            return None;
        }
        let jitter = self.random.random_range(0.75..=1.25);
        self.next_unreachable_announcement =
            now.after(UNREACHABLE_ANNOUNCE_INTERVAL.mul_f64(jitter));
        self.announce_to_all_domains = !self.announce_to_all_domains;
        let all_domains = self.announce_to_all_domains;
        let absent: Vec<HostId> = hosts
            .hosts
            .values()
            .filter(|host| host.phase == HostPhase::Live && host.id != identity.host)
            .filter(|host| all_domains || host.domain == identity.domain)
            .map(|host| host.id)
            .filter(|host| !peers.is_reachable(now, *host))
            .collect();
        self.pick(&absent).copied()
    }
}

/// The next host by identifier, the first one after the last. Every host is the
/// successor of another, so random choice alone cannot leave a host without an
/// announcement.
fn successor(
    host: HostId,
    hosts: &HostTable,
    counts: impl Fn(&HostEntry) -> bool,
) -> Option<HostId> {
    let mut counted = hosts.hosts.values().filter(|entry| counts(entry));
    let later = counted.find(|entry| entry.id > host);
    let first = || hosts.hosts.values().find(|entry| counts(entry));
    let found = later.or_else(first).map(|entry| entry.id);
    found.filter(|found| *found != host)
}

/// Whether a host with the digest `theirs` may hold something newer than one with
/// `own`. If only the hashes differ, either of the two may be ahead.
pub(crate) fn may_be_ahead(theirs: ConfigurationDigest, own: ConfigurationDigest) -> bool {
    let behind = theirs.version < own.version && theirs.host_list <= own.host_list
        || theirs.version <= own.version && theirs.host_list < own.host_list;
    theirs != own && !behind
}
