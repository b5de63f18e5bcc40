//! The sets of voters that leases on one shard may rely on.
//!
//! Hosts adopt a new list of hosts at different times. Meanwhile another host may
//! hold the shard with a majority of the earlier voters, and such a majority may
//! have no member in common with a majority of the new voters. A host that knows
//! of earlier voters therefore needs a majority of them as well. It drops a set of
//! earlier voters once a majority of that set has granted it the shard under a
//! list that no longer names them as the voters: from then on they refuse every
//! candidate with an older list. Earlier voters that the current list no longer
//! contains are ignored.

use cardamomwinch_protocol::peer::homes::EarlierHosts;
use cardamomwinch_state::prelude::{HostId, HostListVersion, HostTable, ShardId, Timestamp};

use crate::control::homes::ranking::{self, VOTER_COUNT};

/// The grant of one voter to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedGrant {
    /// The voter.
    pub voter: HostId,
    /// When this host stops relying on the grant, by its own clock.
    pub until: Timestamp,
    /// The list of hosts that was in force at the voter.
    pub host_list: HostListVersion,
}

/// A set of voters that a later list has replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EarlierVoters {
    voters: Vec<HostId>,
    /// Whether all of them are needed, because their witness is unknown.
    all_needed: bool,
    replaced_in: HostListVersion,
}

/// The current and the earlier voters of one shard.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct VoterSets {
    earlier: Vec<EarlierVoters>,
    current: Vec<HostId>,
}

impl VoterSets {
    /// Replaces the current voters by those of a newly adopted list, and keeps
    /// the former ones as earlier voters.
    pub fn adopt_hosts(&mut self, hosts: &HostTable, shard: ShardId) {
        let voters = ranking::voters(hosts, shard);
        if voters != self.current {
            let replaced = std::mem::replace(&mut self.current, voters);
            self.earlier.push(EarlierVoters {
                voters: replaced,
                all_needed: false,
                replaced_in: hosts.version,
            });
        }
        for set in &mut self.earlier {
            set.voters.retain(|voter| hosts.get(*voter).is_some());
        }
        self.earlier.retain(|set| !set.voters.is_empty());
    }

    /// Adds the earlier hosts of the domain that a voter has reported. If there
    /// are fewer than three, all of them are needed: a holder may rely on any one
    /// of them together with a witness that is unknown to this host.
    pub fn add_earlier(&mut self, earlier: &EarlierHosts, hosts: &HostTable, shard: ShardId) {
        if earlier.replaced_in > hosts.version {
            return;
        }
        let mut voters = ranking::ranked(earlier.hosts.iter().copied(), shard);
        voters.truncate(VOTER_COUNT);
        voters.sort_unstable();
        voters.retain(|voter| hosts.get(*voter).is_some());
        let known = self.earlier.iter().any(|set| set.voters == voters);
        if voters.is_empty() || voters == self.current || known {
            return;
        }
        let set = EarlierVoters {
            all_needed: earlier.hosts.len() < VOTER_COUNT,
            voters,
            replaced_in: earlier.replaced_in,
        };
        let position = self
            .earlier
            .partition_point(|known| known.replaced_in <= set.replaced_in);
        self.earlier.insert(position, set);
    }

    /// Whether only the current voters count.
    pub fn are_settled(&self) -> bool {
        self.earlier.is_empty()
    }

    /// Drops the earlier voters that `host_list` or an older list replaced,
    /// because another host has reported that they no longer count.
    pub fn drop_replaced_by(&mut self, host_list: HostListVersion) {
        self.earlier.retain(|set| set.replaced_in > host_list);
    }

    /// All voters, earlier and current. A host may occur more than once.
    pub fn voters(&self) -> impl Iterator<Item = HostId> {
        let earlier = self.earlier.iter().flat_map(|set| &set.voters);
        earlier.chain(&self.current).copied()
    }

    /// Until when `grants` suffice to acquire the lease. This takes a majority of
    /// every set of voters, since another host may hold the lease with any of
    /// them.
    pub fn acquirable_until(&self, grants: &[ReceivedGrant]) -> Timestamp {
        let earlier = self.earlier.iter().map(|set| set.granted_until(grants));
        let ends = earlier.chain([majority_until(&self.current, grants)]);
        ends.min().unwrap_or(Timestamp::ZERO)
    }

    /// Until when `grants` suffice to extend a running lease. This takes a
    /// majority of the oldest voters that still count. No other host can have
    /// acquired the lease meanwhile, because that takes their majority too.
    pub fn extendable_until(&self, grants: &[ReceivedGrant]) -> Timestamp {
        self.set_granted_until(0, grants)
    }

    /// Until when the earlier voters at `position`, or the current ones if there
    /// are none at `position`, have granted the shard.
    fn set_granted_until(&self, position: usize, grants: &[ReceivedGrant]) -> Timestamp {
        match self.earlier.get(position) {
            Some(set) => set.granted_until(grants),
            None => majority_until(&self.current, grants),
        }
    }

    /// Drops each oldest set of earlier voters that has granted the shard under
    /// the list that replaced it, provided that the next set has granted the shard
    /// as well.
    pub fn drop_replaced(&mut self, now: Timestamp, grants: &[ReceivedGrant]) {
        while let Some(oldest) = self.earlier.first() {
            let updated: Vec<ReceivedGrant> = grants
                .iter()
                .copied()
                .filter(|grant| grant.host_list >= oldest.replaced_in)
                .collect();
            let settled =
                now < oldest.granted_until(&updated) && now < self.set_granted_until(1, grants);
            if !settled {
                return;
            }
            self.earlier.remove(0);
        }
    }
}

impl EarlierVoters {
    fn granted_until(&self, grants: &[ReceivedGrant]) -> Timestamp {
        let needed = match self.all_needed {
            true => self.voters.len(),
            false => ranking::majority(self.voters.len()),
        };
        votes_until(&self.voters, needed, grants)
    }
}

/// Until when a majority of `voters` has granted the shard.
fn majority_until(voters: &[HostId], grants: &[ReceivedGrant]) -> Timestamp {
    votes_until(voters, ranking::majority(voters.len()), grants)
}

fn votes_until(voters: &[HostId], needed: usize, grants: &[ReceivedGrant]) -> Timestamp {
    let mut ends: Vec<Timestamp> = voters
        .iter()
        .filter_map(|voter| grants.iter().find(|grant| grant.voter == *voter))
        .map(|grant| grant.until)
        .collect();
    ends.sort_unstable_by_key(|end| std::cmp::Reverse(*end));
    ends.get(needed - 1).copied().unwrap_or(Timestamp::ZERO)
}
