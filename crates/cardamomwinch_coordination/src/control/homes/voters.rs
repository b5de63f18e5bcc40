//! The grants that this host makes as a voter.
//!
//! A grant is a promise to grant the shard to no other host before the grant
//! expires. The restrictions on a voter follow from this promise:
//!
//! - Grants are not stored on disk, so a host forgets them when it restarts. It
//!   therefore grants nothing until the longest grant of its previous incarnation
//!   has expired.
//! - A process that was paused does not know what it missed. It grants nothing
//!   for the same time after it resumes.
//! - A candidate whose list of hosts is older than the last change of the voters
//!   of its domain gets no new grant, because the majority that it counts may no
//!   longer be one. A holder is still renewed: its running grant excludes all
//!   other hosts anyway.
//! - A candidate that has just started does not know of earlier voters, on whom a
//!   holder with an older list may still rely. The voter sends them to it.
//! - A release passes the grant on to the successor that it names, and to no
//!   other host. Any other host may still trust records that it inherited from an
//!   earlier hand-over, and would run again the requests that were run since.
//!   Such records are valid for one lease after the hand-over, which is also how
//!   long a grant excludes other hosts.
//! - Messages of one host may overtake each other. A delayed release does not
//!   pass on a grant that its sender requested, or received as a named successor,
//!   after it sent the release. Requests may arrive in any order, because a grant
//!   only adds a promise.

use std::time;

use cardamomwinch_protocol::peer::homes::{
    EarlierHosts, LeaseGrant, LeaseRelease, LeaseRequest, LeaseRound, ShardSet,
};
use cardamomwinch_state::prelude::{
    DomainId, HostId, HostListVersion, HostTable, Incarnation, ShardId, SortedVector, Timestamp,
};

use crate::control::homes::HomeContext;
use crate::control::homes::ranking::{self, VOTER_COUNT};

/// The longest duration of a grant, whatever the request asks for.
const MAX_GRANT_DURATION: time::Duration = time::Duration::from_secs(60);

/// One incarnation of a host: the time from one start of its process to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostIncarnation {
    /// The host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// The grant of one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoterGrant {
    /// The host that it was granted to.
    pub holder: HostIncarnation,
    /// When it expires, by this host's clock.
    pub until: Timestamp,
    /// The latest round in which the holder requested the shard. Releases up to
    /// this round concern earlier grants.
    pub round: LeaseRound,
    /// Whether the holder was named as successor by the previous holder and has not
    /// been granted the shard yet. Its first request is then checked like that of any
    /// new holder.
    pub is_named: bool,
}

#[derive(Debug)]
struct DomainHosts {
    /// The hosts from which the voters are chosen.
    pool: Vec<HostId>,
    /// The hosts of the domain itself.
    own: Vec<HostId>,
    changed_in: HostListVersion,
    earlier: Vec<EarlierHosts>,
}

/// Earlier lists of hosts that are kept for each domain.
const MAX_EARLIER_LISTS: usize = 8;

impl DomainHosts {
    fn replace(&mut self, pool: Vec<HostId>, own: Vec<HostId>, hosts: &HostTable) {
        if self.pool != pool {
            let replaced_in = hosts.version;
            let replaced = std::mem::replace(&mut self.own, own);
            self.pool = pool;
            self.changed_in = replaced_in;
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
        let excess = self.earlier.len().saturating_sub(MAX_EARLIER_LISTS);
        self.earlier.drain(..excess);
    }
}

/// The grants of this host as a voter.
#[derive(Debug, Default)]
pub struct VoterTable {
    grants: SortedVector<ShardId, VoterGrant>,
    incarnations: SortedVector<HostId, Incarnation>,
    domains: SortedVector<DomainId, DomainHosts>,
    withheld_until: Timestamp,
}

impl VoterTable {
    /// The grants by shard, expired ones included.
    pub fn grants(&self) -> &SortedVector<ShardId, VoterGrant> {
        &self.grants
    }

    /// Withholds all grants until `until`.
    pub fn withhold_grants_until(&mut self, until: Timestamp) {
        self.withheld_until = self.withheld_until.max(until);
    }

    /// Records in which failure domains a newly adopted list changes the voters.
    /// In a domain with fewer hosts than voters, they change with any host of any
    /// domain.
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
                changed_in: changed,
                earlier: Vec::new(),
            });
            known.replace(pool, own, hosts);
        }
    }

    /// Decides a request of `candidate`. Returns `None` if the request is ignored:
    /// it comes from an earlier incarnation, or from a host that is not listed.
    pub fn decide(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        candidate: HostIncarnation,
        request: &LeaseRequest,
    ) -> Option<LeaseGrant> {
        if !self.is_latest_incarnation(candidate) {
            return None;
        }
        let mut grant = LeaseGrant {
            round: request.round,
            host_list: context.hosts.version,
            granted: ShardSet::default(),
            earlier: Vec::new(),
        };
        let entry = context.hosts.get(candidate.host)?;
        let limits = context.limits;
        if now < self.withheld_until || request.shard_count != limits.shards_per_domain {
            return Some(grant);
        }
        let domain = entry.domain;
        let requested = time::Duration::from_millis(request.lease_millis.into());
        let until = now.after(requested.min(MAX_GRANT_DURATION));
        let domain_hosts = self.domains.get(&domain);
        let changed_in = domain_hosts.map(|known| known.changed_in);
        if !request.unsettled.is_empty() {
            grant.earlier = domain_hosts.map_or_else(Vec::new, |known| known.earlier.clone());
        }
        let may_be_new = ranking::may_hold(entry, domain)
            && changed_in.is_some_and(|changed_in| request.host_list >= changed_in);
        for index in request.wanted.iter(request.shard_count) {
            let shard = ShardId { domain, index };
            let known = self.grants.get(&shard);
            let own_grant = known.filter(|known| known.holder == candidate);
            let running = known.filter(|known| now < known.until);
            let allowed = running.map_or(may_be_new, |known| {
                known.holder == candidate && (may_be_new || !known.is_named)
            });
            if !allowed {
                continue;
            }
            let promise = VoterGrant {
                holder: candidate,
                until: own_grant.map_or(until, |own| own.until.max(until)),
                round: own_grant.map_or(request.round, |own| own.round.max(request.round)),
                is_named: false,
            };
            self.grants.insert(shard, promise);
            grant.granted.insert(index);
        }
        Some(grant)
    }

    /// Passes the grants that `candidate` gives up to the successor that it names.
    /// Their expiry does not change.
    pub fn release(
        &mut self,
        context: &HomeContext<'_>,
        candidate: HostIncarnation,
        release: &LeaseRelease,
    ) {
        let Some(entry) = context.hosts.get(candidate.host) else {
            return;
        };
        if !self.is_latest_incarnation(candidate) {
            return;
        }
        for index in release.shards.iter(context.limits.shards_per_domain) {
            let domain = entry.domain;
            let shard = ShardId { domain, index };
            let Some(held) = self.grants.get_mut(&shard) else {
                continue;
            };
            if held.holder == candidate && release.round > held.round {
                let successor = release.successor;
                held.holder = HostIncarnation::new(successor.host, successor.incarnation);
                held.round = successor.round;
                held.is_named = true;
            }
        }
    }

    /// Whether `candidate` is the latest known incarnation of its host. Messages
    /// of an earlier incarnation may arrive after a restart.
    fn is_latest_incarnation(&mut self, candidate: HostIncarnation) -> bool {
        let incarnation = candidate.incarnation;
        let known = self
            .incarnations
            .get_or_insert_with(candidate.host, || incarnation);
        *known = incarnation.max(*known);
        *known == incarnation
    }
}
