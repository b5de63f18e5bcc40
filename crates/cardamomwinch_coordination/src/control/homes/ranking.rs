//! Which hosts vote about a shard, and which is to hold it: both derived alike
//! on every host from the published list.

use cardamomwinch_state::prelude::{DomainId, HostEntry, HostId, HostPhase, HostTable, ShardId};

use crate::routing::rendezvous;

/// Voters of a shard, where the list has that many hosts.
pub const VOTER_COUNT: usize = 3;

/// How many of `count` voters are a majority.
pub const fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// The score of `host` for `shard`; the highest ranks first.
pub(crate) fn score(host: HostId, shard: ShardId) -> u64 {
    rendezvous::score(host.get(), shard.domain.get() ^ u64::from(shard.index))
}

/// The best-ranked of `hosts` for `shard`.
pub fn best(hosts: &[HostId], shard: ShardId) -> Option<HostId> {
    hosts
        .iter()
        .copied()
        .max_by_key(|host| (score(*host, shard), *host))
}

/// The voters of `shard`: the best-ranked listed hosts of its failure domain.
/// Two hosts are filled up with the best-ranked host of the other domains, so
/// that one of them may fail. A single host decides alone: nobody else may
/// hold, and it has to serve while its domain is cut off.
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

/// `hosts` in the order in which they are preferred for `shard`.
pub(crate) fn ranked(hosts: impl Iterator<Item = HostId>, shard: ShardId) -> Vec<HostId> {
    let mut ranked: Vec<HostId> = hosts.collect();
    ranked.sort_unstable_by_key(|host| std::cmp::Reverse((score(*host, shard), *host)));
    ranked
}

/// Whether `host` may be given a shard of `domain`.
pub fn may_hold(host: &HostEntry, domain: DomainId) -> bool {
    host.domain == domain && host.phase == HostPhase::Live
}
