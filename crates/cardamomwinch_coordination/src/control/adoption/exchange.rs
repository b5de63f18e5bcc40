//! Whom to ask for what is lacking, and whom to tell of what is new.

use std::time;

use cardamomwinch_protocol::peer::configuration::ConfigurationDigest;
use cardamomwinch_state::prelude::{HostEntry, HostId, HostPhase, HostTable, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::control::adoption::PeerReachability;
use crate::control::adoption::confirmation::StateConfirmation;
use crate::identity::HostIdentity;

/// Another peer is asked where one does not answer within this time. Questions
/// and answers get lost, and the last host of a fleet is the one that loses
/// several in a row; a difference that takes longer to send may come twice.
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// Peers kept that seem to hold something newer.
const AHEAD_LIMIT: usize = 4;
/// Random hosts told in each round, besides the successors in the first.
const ROUND_PEERS: usize = 2;
/// The rests before each round of telling: a lost message is made good by the
/// next round, and the last gap by the digests in heartbeats.
const ROUND_RESTS: [time::Duration; 3] = [
    time::Duration::ZERO,
    time::Duration::from_millis(250),
    time::Duration::from_millis(500),
];
/// How often a listed host that is not reachable is greeted: it may be one
/// that starts, and knows no other host.
const GREETING_INTERVAL: time::Duration = time::Duration::from_millis(1000);

#[derive(Debug, Clone, Copy)]
struct AskedPeer {
    host: HostId,
    until: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct AheadPeer {
    host: HostId,
    digest: ConfigurationDigest,
}

#[derive(Debug, Clone, Copy)]
struct SpreadRound {
    next: usize,
    due: Timestamp,
}

/// The exchange with peers.
#[derive(Debug)]
pub(crate) struct PeerExchange {
    random: SmallRng,
    asked: Option<AskedPeer>,
    ahead: Vec<AheadPeer>,
    spread: Option<SpreadRound>,
    next_greeting: Timestamp,
    greet_afar: bool,
}

impl PeerExchange {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            asked: None,
            ahead: Vec::new(),
            spread: None,
            next_greeting: Timestamp::ZERO,
            greet_afar: false,
        }
    }

    /// Notes that `host` seems to hold something newer.
    pub(crate) fn note_ahead(&mut self, host: HostId, digest: ConfigurationDigest) {
        self.ahead.retain(|peer| peer.host != host);
        self.ahead.push(AheadPeer { host, digest });
        if self.ahead.len() > AHEAD_LIMIT {
            self.ahead.remove(0);
        }
    }

    /// Notes that `host` has answered.
    pub(crate) fn note_answer(&mut self, host: HostId) {
        self.ahead.retain(|peer| peer.host != host);
        if self.asked.is_some_and(|asked| asked.host == host) {
            self.asked = None;
        }
    }

    /// The peer to ask now. Only one is asked at a time, so that a large
    /// difference is not sent by many at once.
    pub(crate) fn next_ask(
        &mut self,
        now: Timestamp,
        own: ConfigurationDigest,
        identity: HostIdentity,
        hosts: &HostTable,
        confirmation: &StateConfirmation,
    ) -> Option<HostId> {
        if self.is_asking(now) {
            return None;
        }
        self.ahead.retain(|peer| may_be_ahead(peer.digest, own));
        let host = match self.ahead.pop() {
            Some(peer) => Some(peer.host),
            None if confirmation.is_done() => None,
            None => self.unanswered(identity, hosts, confirmation),
        };
        let until = now.after(ASK_TIMEOUT);
        self.asked = host.map(|host| AskedPeer { host, until });
        host
    }

    fn is_asking(&self, now: Timestamp) -> bool {
        self.asked.is_some_and(|asked| now < asked.until)
    }

    /// Notes that `host` is asked, unless an answer of another is awaited.
    pub(crate) fn try_ask(&mut self, now: Timestamp, host: HostId) -> bool {
        if self.is_asking(now) {
            return false;
        }
        let until = now.after(ASK_TIMEOUT);
        self.asked = Some(AskedPeer { host, until });
        true
    }

    /// Some peer that has not answered since the comparison began: of the own
    /// domain and of the others in turn, as either side may be cut off.
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
        let near = self.random.random_bool(0.5);
        let side: Vec<&&HostEntry> = open
            .iter()
            .filter(|host| (host.domain == identity.domain) == near)
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

    /// Begins to tell others of something new.
    pub(crate) fn begin_spread(&mut self, now: Timestamp) {
        self.spread = Some(SpreadRound { next: 0, due: now });
    }

    /// Tells no more of what was new.
    pub(crate) fn end_spread(&mut self) {
        self.spread = None;
    }

    /// The hosts to tell now.
    pub(crate) fn due_announcements(
        &mut self,
        now: Timestamp,
        identity: HostIdentity,
        hosts: &HostTable,
    ) -> Vec<HostId> {
        let Some(round) = self.spread.filter(|round| now >= round.due) else {
            return Vec::new();
        };
        let next = round.next + 1;
        self.spread = ROUND_RESTS.get(next).map(|rest| SpreadRound {
            next,
            due: now.after(*rest),
        });
        let mut told = Vec::new();
        if round.next == 0 {
            told.extend(successor(identity.host, hosts, |_| true));
            let near = |host: &HostEntry| host.domain == identity.domain;
            told.extend(successor(identity.host, hosts, near));
        }
        for _ in 0..ROUND_PEERS {
            told.extend(self.random_host(identity, hosts));
        }
        told.sort_unstable();
        told.dedup();
        told
    }

    /// Some other host that is listed.
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

    /// The host to greet now, if any: of the own domain and of all in turn.
    pub(crate) fn due_greeting<R: PeerReachability>(
        &mut self,
        now: Timestamp,
        identity: HostIdentity,
        hosts: &HostTable,
        peers: &R,
    ) -> Option<HostId> {
        if now < self.next_greeting {
            return None;
        }
        let jitter = self.random.random_range(0.75..=1.25);
        self.next_greeting = now.after(GREETING_INTERVAL.mul_f64(jitter));
        self.greet_afar = !self.greet_afar;
        let afar = self.greet_afar;
        let absent: Vec<HostId> = hosts
            .hosts
            .values()
            .filter(|host| host.phase == HostPhase::Live && host.id != identity.host)
            .filter(|host| afar || host.domain == identity.domain)
            .map(|host| host.id)
            .filter(|host| !peers.is_reachable(now, *host))
            .collect();
        self.pick(&absent).copied()
    }
}

/// The next host in the order of identifiers, which runs in a ring. That every
/// host is the successor of another bounds how far telling by chance can miss one.
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

/// Whether a host with digest `theirs` may hold something newer than one with
/// `own`. The hash does not tell which of two is ahead.
pub(crate) fn may_be_ahead(theirs: ConfigurationDigest, own: ConfigurationDigest) -> bool {
    let behind = theirs.version < own.version && theirs.host_list <= own.host_list
        || theirs.version <= own.version && theirs.host_list < own.host_list;
    theirs != own && !behind
}
