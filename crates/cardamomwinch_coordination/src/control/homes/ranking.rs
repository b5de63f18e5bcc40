//! Which hosts vote on a shard, and which host is preferred as its home. Every
//! host derives the same result from the published list of hosts.

use cardamomwinch_state::prelude::{DomainId, HostEntry, HostId, HostPhase, HostTable, ShardId};

use crate::routing::rendezvous;

/// Voters of a shard, if the list has that many hosts.
pub const VOTER_COUNT: usize = 3;

/// The size of a majority of `count` voters.
pub const fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// The rendezvous score of `host` for `shard`; the highest score ranks first.
pub(crate) fn score(host: HostId, shard: ShardId) -> u64 {
    rendezvous::score(host.get(), shard.domain.get() ^ u64::from(shard.index))
}

/// The best-ranked of `hosts` for `shard`, or `None` if there are no hosts.
pub fn best(hosts: &[HostId], shard: ShardId) -> Option<HostId> {
    hosts
        .iter()
        .copied()
        .max_by_key(|host| (score(*host, shard), *host))
}

/// The voters of `shard`, sorted by id: the best-ranked listed hosts of its
/// failure domain.
///
/// In a domain of two hosts, the best-ranked host of the other domains is added
/// as a witness, so that one of the two may fail. A single host votes alone: no
/// other host may hold the shard, and this one must serve while its domain is
/// cut off.
pub fn voters(hosts: &HostTable, shard: ShardId) -> Vec<HostId> {
    let own = hosts.in_domain(shard.domain).map(|host| host.id);
    let mut voters = ranked(own, shard);
    voters.truncate(VOTER_COUNT);
    if voters.len() == VOTER_COUNT - 1 {
        let others = hosts.hosts.values();
        let others = others.filter(|host| host.domain != shard.domain);
        let witnesses = ranked(others.map(|host| host.id), shard);
        voters.extend(witnesses.first());
    }
    voters.sort_unstable();
    voters
}

/// `hosts` in order of preference for `shard`, best first.
pub(crate) fn ranked(hosts: impl Iterator<Item = HostId>, shard: ShardId) -> Vec<HostId> {
    let mut ranked: Vec<HostId> = hosts.collect();
    ranked.sort_unstable_by_key(|host| std::cmp::Reverse((score(*host, shard), *host)));
    ranked
}

/// Whether `host` may hold a shard of `domain`.
pub fn may_hold(host: &HostEntry, domain: DomainId) -> bool {
    host.domain == domain && host.phase == HostPhase::Live
}
