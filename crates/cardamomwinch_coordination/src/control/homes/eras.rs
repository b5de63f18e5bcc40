//! The sets of voters that leases on one shard may rest on.
//!
//! Hosts adopt a new list at different times. Until then somebody may hold the
//! shard with a majority of the earlier voters, who need not meet a majority of
//! the new ones. So a host that knows of earlier voters needs their majority
//! besides; it stops counting on them once a majority of them has granted it the
//! shard while going by a list that no longer makes them the voters: from then
//! on they refuse every candidate that still takes them to be. Earlier voters
//! that the list has dropped are not waited for.

use cardamomwinch_state::prelude::{HostId, HostListVersion, HostTable, ShardId, Timestamp};

use crate::control::homes::ranking;

/// What a voter has granted to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldGrant {
    /// The voter.
    pub voter: HostId,
    /// When this host stops counting on the grant, by its own clock.
    pub until: Timestamp,
    /// The list that the voter goes by.
    pub host_list: HostListVersion,
}

/// A set of voters that a later list has replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EarlierVoters {
    voters: Vec<HostId>,
    replaced_in: HostListVersion,
}

/// The present and the earlier voters of one shard.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct VoterEras {
    earlier: Vec<EarlierVoters>,
    present: Vec<HostId>,
}

impl VoterEras {
    /// Takes a newly adopted list into account.
    pub fn adopt_hosts(&mut self, hosts: &HostTable, shard: ShardId) {
        let voters = ranking::voters(hosts, shard);
        if voters != self.present {
            let replaced = std::mem::replace(&mut self.present, voters);
            self.earlier.push(EarlierVoters {
                voters: replaced,
                replaced_in: hosts.version,
            });
        }
        for era in &mut self.earlier {
            era.voters.retain(|voter| hosts.get(*voter).is_some());
        }
        self.earlier.retain(|era| !era.voters.is_empty());
    }

    /// Whether only the present voters count.
    pub fn are_settled(&self) -> bool {
        self.earlier.is_empty()
    }

    /// Takes another host's word that voters replaced up to `host_list` do not
    /// count any more.
    pub fn settle(&mut self, host_list: HostListVersion) {
        self.earlier.retain(|era| era.replaced_in > host_list);
    }

    /// All voters, present and earlier.
    pub fn voters(&self) -> impl Iterator<Item = HostId> {
        let earlier = self.earlier.iter().flat_map(|era| &era.voters);
        earlier.chain(&self.present).copied()
    }

    /// Until when `grants` are enough to begin to hold: a majority of every
    /// set of voters, since somebody may hold with any of them.
    pub fn acquirable_until(&self, grants: &[HeldGrant]) -> Timestamp {
        let earlier = self.earlier.iter().map(|era| era.voters.as_slice());
        let sets = earlier.chain([self.present.as_slice()]);
        let ends = sets.map(|voters| majority_until(voters, grants));
        ends.min().unwrap_or(Timestamp::ZERO)
    }

    /// Until when `grants` are enough to go on holding without a gap: a
    /// majority of the oldest voters that count. Nobody can have replaced them
    /// meanwhile, because that takes their majority.
    pub fn extendable_until(&self, grants: &[HeldGrant]) -> Timestamp {
        let oldest = self.earlier.first().map(|era| era.voters.as_slice());
        majority_until(oldest.unwrap_or(&self.present), grants)
    }

    /// Drops earlier voters that `grants` show to have moved on, as long as the
    /// next set of voters has granted the shard as well.
    pub fn settle_by(&mut self, now: Timestamp, grants: &[HeldGrant]) {
        while let Some(oldest) = self.earlier.first() {
            let moved: Vec<HeldGrant> = grants
                .iter()
                .copied()
                .filter(|grant| grant.host_list >= oldest.replaced_in)
                .collect();
            let next = self.earlier.get(1).map(|era| era.voters.as_slice());
            let next = next.unwrap_or(&self.present);
            let settled =
                now < majority_until(&oldest.voters, &moved) && now < majority_until(next, grants);
            if !settled {
                return;
            }
            self.earlier.remove(0);
        }
    }
}

/// Until when a majority of `voters` has granted.
fn majority_until(voters: &[HostId], grants: &[HeldGrant]) -> Timestamp {
    let mut ends: Vec<Timestamp> = voters
        .iter()
        .filter_map(|voter| grants.iter().find(|grant| grant.voter == *voter))
        .map(|grant| grant.until)
        .collect();
    ends.sort_unstable_by_key(|end| std::cmp::Reverse(*end));
    let needed = ranking::majority(voters.len());
    ends.get(needed - 1).copied().unwrap_or(Timestamp::ZERO)
}
