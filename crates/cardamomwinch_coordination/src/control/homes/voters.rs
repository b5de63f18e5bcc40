//! What this host promises as a voter.
//!
//! A grant is a promise to grant the shard to nobody else before it has run
//! out. All that a voter must not do follows from keeping it:
//!
//! - A host without a disk forgets its promises when it restarts. It therefore
//!   grants nothing before the longest promise of its earlier life has run out.
//! - A process that was paused cannot know what it missed; it grants nothing
//!   for as long after it wakes.
//! - A candidate that goes by a list of hosts from before the voters of its
//!   domain changed gets nothing new, because the majority that it counts may
//!   not be one any more. A holder is renewed meanwhile: its running grant keeps
//!   everybody else out anyway.
//! - A candidate that has just started never heard of earlier voters, who may
//!   still be counted on by a holder that lags behind; it is told of them.
//! - Messages of one host may overtake each other. A release that was held up
//!   does not end a grant that its sender asked for later, and a request that
//!   was held up does not bring back what its sender has released since. Other
//!   requests may come in any order: a grant only adds a promise.

use std::time;

use cardamomwinch_protocol::peer::homes::{
    EarlierHosts, LeaseGrant, LeaseRelease, LeaseRequest, LeaseRound, ShardSet,
};
use cardamomwinch_state::prelude::{
    DomainId, HostId, HostListVersion, HostTable, Incarnation, ShardId, SortedVector, Timestamp,
};

use crate::control::homes::HomeWorld;
use crate::control::homes::ranking::{self, VOTER_COUNT};

/// No grant runs longer than this, whatever the request says.
const LONGEST_GRANT: time::Duration = time::Duration::from_secs(60);

/// One life of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CandidateLife {
    /// The host.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// A promise about one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoterGrant {
    /// To whom it was given.
    pub holder: CandidateLife,
    /// When it runs out, by this host's clock; already past once released.
    pub until: Timestamp,
    /// The latest request or release of the holder about the shard.
    pub round: LeaseRound,
}

#[derive(Debug)]
struct DomainHosts {
    /// The hosts that voters are taken from.
    pool: Vec<HostId>,
    /// Those of the domain itself.
    own: Vec<HostId>,
    changed: HostListVersion,
    earlier: Vec<EarlierHosts>,
}

/// Earlier lists of a domain's hosts that are remembered.
const EARLIER_LIMIT: usize = 8;

impl DomainHosts {
    fn replace(&mut self, pool: Vec<HostId>, own: Vec<HostId>, hosts: &HostTable) {
        if self.pool != pool {
            let replaced_in = hosts.version;
            let replaced = std::mem::replace(&mut self.own, own);
            self.pool = pool;
            self.changed = replaced_in;
            self.earlier.retain(|earlier| earlier.hosts != replaced);
            self.earlier.push(EarlierHosts {
                hosts: replaced,
                replaced_in,
            });
        }
        for earlier in &mut self.earlier {
            earlier.hosts.retain(|host| hosts.get(*host).is_some());
        }
        self.earlier.retain(|earlier| !earlier.hosts.is_empty());
        let excess = self.earlier.len().saturating_sub(EARLIER_LIMIT);
        self.earlier.drain(..excess);
    }
}

/// The promises of this host.
#[derive(Debug, Default)]
pub struct VoterTable {
    grants: SortedVector<ShardId, VoterGrant>,
    lives: SortedVector<HostId, Incarnation>,
    domains: SortedVector<DomainId, DomainHosts>,
    silent_until: Timestamp,
}

impl VoterTable {
    /// The promises that were made, run out or not.
    pub fn grants(&self) -> &SortedVector<ShardId, VoterGrant> {
        &self.grants
    }

    /// Grants nothing before `until`.
    pub fn stay_silent(&mut self, until: Timestamp) {
        self.silent_until = self.silent_until.max(until);
    }

    /// Notes in which failure domains a newly adopted list changes the voters.
    /// A domain too small to fill its voters changes with any other.
    pub fn adopt_hosts(&mut self, hosts: &HostTable) {
        let mut named: Vec<DomainId> = hosts.hosts.values().map(|host| host.domain).collect();
        named.extend(self.domains.keys());
        named.sort_unstable();
        named.dedup();
        for domain in named {
            let own: Vec<HostId> = hosts.in_domain(domain).map(|host| host.id).collect();
            let pool = match own.len() < VOTER_COUNT {
                true => hosts.hosts.keys().copied().collect(),
                false => own.clone(),
            };
            let changed = hosts.version;
            let known = self.domains.get_or_insert_with(domain, || DomainHosts {
                pool: Vec::new(),
                own: Vec::new(),
                changed,
                earlier: Vec::new(),
            });
            known.replace(pool, own, hosts);
        }
    }

    /// Decides about a request of `candidate`. `None` where it is not worth an
    /// answer: from an earlier life, or of a host that is not listed.
    pub fn decide(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        candidate: CandidateLife,
        request: &LeaseRequest,
    ) -> Option<LeaseGrant> {
        if !self.is_latest_life(candidate) {
            return None;
        }
        let mut grant = LeaseGrant {
            round: request.round,
            host_list: world.hosts.version,
            granted: ShardSet::default(),
            earlier: Vec::new(),
        };
        let entry = world.hosts.get(candidate.host)?;
        let limits = world.limits;
        if now < self.silent_until || request.shard_count != limits.shards_per_domain {
            return Some(grant);
        }
        let domain = entry.domain;
        let asked = time::Duration::from_millis(request.lease_millis.into());
        let until = now.after(asked.min(LONGEST_GRANT));
        let known = self.domains.get(&domain);
        let changed = known.map(|known| known.changed);
        if !request.unsettled.is_empty() {
            grant.earlier = known.map_or_else(Vec::new, |known| known.earlier.clone());
        }
        let may_be_new = ranking::may_hold(entry, domain)
            && changed.is_some_and(|changed| request.host_list >= changed);
        for index in request.wanted.iter(request.shard_count) {
            let shard = ShardId { domain, index };
            let known = self.grants.get(&shard);
            let own = known.filter(|known| known.holder == candidate);
            let released = own.is_some_and(|own| own.until == Timestamp::ZERO);
            if released && own.is_some_and(|own| request.round <= own.round) {
                continue;
            }
            let running = known.filter(|known| now < known.until);
            let allowed = running.map_or(may_be_new, |known| known.holder == candidate);
            if !allowed {
                continue;
            }
            let promise = VoterGrant {
                holder: candidate,
                until: own.map_or(until, |own| own.until.max(until)),
                round: own.map_or(request.round, |own| own.round.max(request.round)),
            };
            self.grants.insert(shard, promise);
            grant.granted.insert(index);
        }
        Some(grant)
    }

    /// Ends grants that their holder gives up.
    pub fn release(
        &mut self,
        world: &HomeWorld<'_>,
        candidate: CandidateLife,
        release: &LeaseRelease,
    ) {
        let Some(entry) = world.hosts.get(candidate.host) else {
            return;
        };
        if !self.is_latest_life(candidate) {
            return;
        }
        for index in release.shards.iter(world.limits.shards_per_domain) {
            let domain = entry.domain;
            let shard = ShardId { domain, index };
            let Some(held) = self.grants.get_mut(&shard) else {
                continue;
            };
            if held.holder == candidate && release.round > held.round {
                held.until = Timestamp::ZERO;
                held.round = release.round;
            }
        }
    }

    /// Guards against the earlier life of a host that has restarted: its
    /// messages may still be on their way.
    fn is_latest_life(&mut self, candidate: CandidateLife) -> bool {
        let incarnation = candidate.incarnation;
        let known = self
            .lives
            .get_or_insert_with(candidate.host, || incarnation);
        *known = incarnation.max(*known);
        *known == incarnation
    }
}
