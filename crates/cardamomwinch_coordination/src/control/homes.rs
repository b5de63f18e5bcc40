//! Which host is home of which shard.

use cardamomwinch_state::prelude::{
    DomainId, HostId, HostPhase, HostTable, InForceConfiguration, ShardId, SortedVector, Timestamp,
};

use crate::control::membership::PeerMembership;
use crate::identity::HostIdentity;
use crate::routing::rendezvous;
use crate::snapshot::{HomeLease, ShardView};

/// The homes of all shards as this host sees them.
#[derive(Debug, Default)]
pub struct HomeTable {
    shards: SortedVector<ShardId, ShardView>,
}

impl HomeTable {
    /// The homes by shard.
    pub fn shards(&self) -> &SortedVector<ShardId, ShardView> {
        &self.shards
    }

    /// Chooses homes anew: of the reachable live hosts of a domain, the one
    /// that rendezvous gives the shard to.
    pub fn choose(
        &mut self,
        now: Timestamp,
        identity: HostIdentity,
        configuration: &InForceConfiguration,
        hosts: &HostTable,
        membership: &PeerMembership,
    ) {
        let limits = &configuration.limits;
        let mut chosen = SortedVector::new();
        for domain in domains(hosts) {
            let candidates: Vec<HostId> = hosts
                .in_domain(domain)
                .filter(|host| host.phase == HostPhase::Live)
                .map(|host| host.id)
                .filter(|id| *id == identity.host || membership.is_reachable(now, *id))
                .collect();
            for index in 0..limits.shards_per_domain {
                let shard = ShardId { domain, index };
                let home = preferred(&candidates, shard);
                let lease = (home == Some(identity.host)).then(|| HomeLease {
                    held_until: now.after(limits.home_lease),
                    records_since: self.records_since(shard, identity, now),
                });
                chosen.insert(shard, ShardView { home, lease });
            }
        }
        self.shards = chosen;
    }

    fn records_since(&self, shard: ShardId, identity: HostIdentity, now: Timestamp) -> Timestamp {
        match self.shards.get(&shard) {
            Some(ShardView {
                lease: Some(lease), ..
            }) => lease.records_since,
            Some(_) => now,
            None => Timestamp::new(identity.incarnation.get()),
        }
    }
}

fn domains(hosts: &HostTable) -> Vec<DomainId> {
    let mut domains: Vec<DomainId> = hosts.hosts.values().map(|host| host.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    domains
}

fn preferred(candidates: &[HostId], shard: ShardId) -> Option<HostId> {
    let subject = shard.domain.get() ^ u64::from(shard.index);
    let best = candidates
        .iter()
        .max_by_key(|id| rendezvous::score(id.get(), subject));
    best.copied()
}
