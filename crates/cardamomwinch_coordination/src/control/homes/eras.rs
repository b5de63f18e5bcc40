//! The sets of voters that leases on one shard may rest on.
//!
//! Hosts adopt a new list at different times. Until then somebody may hold the
//! shard with a majority of the earlier voters, who need not meet a majority of
//! the new ones. So a host that knows of earlier voters needs their majority
//! besides; it stops counting on them once a majority of them has granted it the
//! shard while going by a list that no longer makes them the voters: from then
//! on they refuse every candidate that still takes them to be. Earlier voters
//! that the list has dropped are not waited for.

use cardamomwinch_protocol::peer::homes::EarlierHosts;
use cardamomwinch_state::prelude::{HostId, HostListVersion, HostTable, ShardId, Timestamp};

use crate::control::homes::ranking::{self, VOTER_COUNT};

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
    /// Whether all of them are needed, because their witness is not known.
    all: bool,
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
                all: false,
                replaced_in: hosts.version,
            });
        }
        for era in &mut self.earlier {
            era.voters.retain(|voter| hosts.get(*voter).is_some());
        }
        self.earlier.retain(|era| !era.voters.is_empty());
    }

    /// Takes in what a voter says of earlier hosts of the domain. Of fewer than
    /// three, each one is needed: a holder may rest on any one of them and on a
    /// witness that is not known here.
    pub fn learn_earlier(&mut self, earlier: &EarlierHosts, hosts: &HostTable, shard: ShardId) {
        if earlier.replaced_in > hosts.version {
            return;
        }
        let mut voters = ranking::ranked(earlier.hosts.iter().copied(), shard);
        voters.truncate(VOTER_COUNT);
        voters.sort_unstable();
        voters.retain(|voter| hosts.get(*voter).is_some());
        let known = self.earlier.iter().any(|era| era.voters == voters);
        if voters.is_empty() || voters == self.present || known {
            return;
        }
        let era = EarlierVoters {
            all: earlier.hosts.len() < VOTER_COUNT,
            voters,
            replaced_in: earlier.replaced_in,
        };
        let position = self
            .earlier
            .partition_point(|known| known.replaced_in <= era.replaced_in);
        self.earlier.insert(position, era);
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
        let earlier = self.earlier.iter().map(|era| era.granted_until(grants));
        let ends = earlier.chain([majority_until(&self.present, grants)]);
        ends.min().unwrap_or(Timestamp::ZERO)
    }

    /// Until when `grants` are enough to go on holding without a gap: a
    /// majority of the oldest voters that count. Nobody can have replaced them
    /// meanwhile, because that takes their majority.
    pub fn extendable_until(&self, grants: &[HeldGrant]) -> Timestamp {
        self.granted_until(0, grants)
    }

    /// Until when the earlier voters at `position`, or else the present ones,
    /// have granted.
    fn granted_until(&self, position: usize, grants: &[HeldGrant]) -> Timestamp {
        match self.earlier.get(position) {
            Some(era) => era.granted_until(grants),
            None => majority_until(&self.present, grants),
        }
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
            let settled = now < oldest.granted_until(&moved) && now < self.granted_until(1, grants);
            if !settled {
                return;
            }
            self.earlier.remove(0);
        }
    }
}

impl EarlierVoters {
    fn granted_until(&self, grants: &[HeldGrant]) -> Timestamp {
        let needed = match self.all {
            true => self.voters.len(),
            false => ranking::majority(self.voters.len()),
        };
        granted_until(&self.voters, needed, grants)
    }
}

/// Until when a majority of `voters` has granted.
fn majority_until(voters: &[HostId], grants: &[HeldGrant]) -> Timestamp {
    granted_until(voters, ranking::majority(voters.len()), grants)
}

fn granted_until(voters: &[HostId], needed: usize, grants: &[HeldGrant]) -> Timestamp {
    let mut ends: Vec<Timestamp> = voters
        .iter()
        .filter_map(|voter| grants.iter().find(|grant| grant.voter == *voter))
        .map(|grant| grant.until)
        .collect();
    ends.sort_unstable_by_key(|end| std::cmp::Reverse(*end));
    ends.get(needed - 1).copied().unwrap_or(Timestamp::ZERO)
}
