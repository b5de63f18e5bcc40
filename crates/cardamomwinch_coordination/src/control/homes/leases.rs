//! The leases that this host requests and holds as a candidate.
//!
//! A round is one batch of requests or releases. Rounds are numbered, so that a
//! grant can be matched with its request.

use std::time;

use cardamomwinch_protocol::peer::homes::{
    HandOverId, LeaseGrant, LeaseRequest, LeaseRound, ShardSet,
};
use cardamomwinch_state::prelude::{
    ConfigurationLimits, HostId, HostListVersion, HostTable, ShardId, SortedVector, Timestamp,
};

use crate::control::homes::HomeContext;
use crate::control::homes::voter_sets::{ReceivedGrant, VoterSets};
use crate::snapshot::HomeLease;

/// Request rounds whose answers still count.
const MAX_OPEN_ROUNDS: usize = 8;

/// The state of this host as a candidate for one shard of its failure domain.
#[derive(Debug, Default)]
struct CandidateShard {
    voter_sets: VoterSets,
    /// Whether earlier voters may exist that this incarnation does not know.
    may_miss_voters: bool,
    grants: Vec<ReceivedGrant>,
    /// Answers to requests up to this round are ignored.
    ignored_up_to: LeaseRound,
    lease: Option<HomeLease>,
    inherited: Option<InheritedRecords>,
}

/// Records from a hand-over to this host, kept until it holds the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InheritedRecords {
    /// The hand-over.
    pub hand_over: HandOverId,
    /// Requests sent before this time may be missing from the records.
    pub records_since: Timestamp,
    /// The records are valid until this time. Later, another host may have held
    /// the shard since the hand-over.
    pub valid_until: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct OpenRound {
    round: LeaseRound,
    valid_until: Timestamp,
}

/// The leases of this host, and its requests for them.
#[derive(Debug, Default)]
pub struct LeaseTable {
    shards: SortedVector<ShardId, CandidateShard>,
    last_round: LeaseRound,
    open_rounds: Vec<OpenRound>,
    first_list: HostListVersion,
    own_list_suffices_from: Timestamp,
}

impl LeaseTable {
    /// Until `until` this host acquires no lease on a shard whose earlier
    /// voters it may not know. After that it relies on its own list.
    pub fn wait_for_earlier_voters(&mut self, until: Timestamp) {
        self.own_list_suffices_from = until;
    }

    /// Applies a newly adopted list of hosts, or a new number of shards.
    pub fn adopt_hosts(&mut self, context: &HomeContext<'_>) {
        let first = self.first_list == HostListVersion::ZERO;
        if first {
            self.first_list = context.hosts.version;
        }
        let count = context.limits.shards_per_domain;
        self.shards.retain(|shard, _| shard.index < count);
        for index in 0..count {
            let domain = context.identity.domain;
            let shard = ShardId { domain, index };
            let state = self
                .shards
                .get_or_insert_with(shard, || new_candidate(context.hosts, shard));
            state.voter_sets.adopt_hosts(context.hosts, shard);
        }
    }

    /// This host's lease on `shard`, if it holds one at `now`.
    pub fn lease(&self, now: Timestamp, shard: ShardId) -> Option<HomeLease> {
        let lease = self.shards.get(&shard)?.lease?;
        (now < lease.held_until).then_some(lease)
    }

    /// The shards that this host holds at `now`.
    pub fn held(&self, now: Timestamp) -> impl Iterator<Item = ShardId> {
        let shards = self.shards.iter();
        shards
            .filter(move |(_, state)| state.lease.is_some_and(|lease| now < lease.held_until))
            .map(|(shard, _)| *shard)
    }

    /// All shards of this host's failure domain.
    pub fn shards(&self) -> impl Iterator<Item = ShardId> {
        self.shards.keys().copied()
    }

    /// The voters to ask for `shard`, earlier and current, sorted by id.
    pub fn voters(&self, shard: ShardId) -> Vec<HostId> {
        let state = self.shards.get(&shard);
        let mut voters: Vec<HostId> =
            state.map_or_else(Vec::new, |state| state.voter_sets.voters().collect());
        voters.sort_unstable();
        voters.dedup();
        voters
    }

    /// Opens a request round whose grants run from `now`.
    pub fn open_round(&mut self, now: Timestamp, limits: &ConfigurationLimits) -> LeaseRound {
        let round = self.next_round();
        let valid_until = now.after(limits.home_lease).before(limits.clock_skew);
        if self.open_rounds.len() == MAX_OPEN_ROUNDS {
            self.open_rounds.remove(0);
        }
        self.open_rounds.push(OpenRound { round, valid_until });
        round
    }

    /// The number of the last request or release.
    pub fn last_round(&self) -> LeaseRound {
        self.last_round
    }

    /// The number of the next request or release.
    pub fn next_round(&mut self) -> LeaseRound {
        self.last_round = LeaseRound(self.last_round.0 + 1);
        self.last_round
    }

    /// The request of `round` for `wanted`.
    pub fn request(
        &self,
        now: Timestamp,
        context: &HomeContext<'_>,
        round: LeaseRound,
        wanted: &[ShardId],
    ) -> LeaseRequest {
        let held = |shard: &ShardId| self.lease(now, *shard).is_some();
        let unsettled = |shard: &ShardId| !self.is_settled(*shard);
        LeaseRequest {
            round,
            lease_millis: context.limits.home_lease.as_millis() as u32,
            host_list: context.hosts.version,
            shard_count: context.limits.shards_per_domain,
            stopping: context.is_stopping(),
            wanted: shard_set(wanted, |_| true),
            held: shard_set(wanted, held),
            unsettled: shard_set(wanted, unsettled),
        }
    }

    fn is_settled(&self, shard: ShardId) -> bool {
        let state = self.shards.get(&shard);
        state.is_some_and(|state| state.voter_sets.are_settled() && !state.may_miss_voters)
    }

    /// Drops earlier voters that the request of another host reports as no longer
    /// relevant.
    pub fn drop_settled_voters(&mut self, request: &LeaseRequest) {
        let first = self.first_list;
        for (shard, state) in self.shards.iter_mut() {
            let index = shard.index;
            if !request.wanted.contains(index) || request.unsettled.contains(index) {
                continue;
            }
            state.voter_sets.drop_replaced_by(request.host_list);
            if request.host_list >= first {
                state.may_miss_voters = false;
            }
        }
    }

    /// Records the grants of `voter`. Returns the shards that this host begins to
    /// hold.
    pub fn handle_grant(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        voter: HostId,
        grant: &LeaseGrant,
    ) -> Vec<ShardId> {
        let mut begun = Vec::new();
        let open = self.open_rounds.iter();
        let Some(open) = open.copied().find(|open| open.round == grant.round) else {
            return begun;
        };
        let own_list_suffices = now >= self.own_list_suffices_from;
        for (shard, state) in self.shards.iter_mut() {
            if state.may_miss_voters {
                for earlier in &grant.earlier {
                    state.voter_sets.add_earlier(earlier, context.hosts, *shard);
                }
            }
            if !grant.granted.contains(shard.index) || grant.round <= state.ignored_up_to {
                continue;
            }
            state.record_grant(ReceivedGrant {
                voter,
                until: open.valid_until,
                host_list: grant.host_list,
            });
            let may_begin = own_list_suffices || !state.may_miss_voters;
            if state.renew(now, context.limits.clock_skew, may_begin) {
                begun.push(*shard);
            }
        }
        begun
    }

    /// Forgets the records of a hand-over that began before `newer`.
    pub fn forget_inherited_before(&mut self, newer: HandOverId) {
        if let Some(state) = self.shards.get_mut(&newer.shard) {
            let inherited = state.inherited;
            state.inherited = inherited.filter(|records| records.hand_over >= newer);
        }
    }

    /// Keeps the records of a hand-over until this host holds the lease.
    pub fn inherit(&mut self, shard: ShardId, inherited: InheritedRecords) {
        if let Some(state) = self.shards.get_mut(&shard) {
            state.inherited = Some(inherited);
        }
    }

    /// Shards that were handed over to this host and whose lease it does not hold
    /// yet.
    pub fn inherited(&self, now: Timestamp) -> impl Iterator<Item = ShardId> {
        let shards = self.shards.iter();
        shards
            .filter(move |(_, state)| {
                let inherited = state.inherited;
                inherited.is_some_and(|records| now < records.valid_until)
            })
            .map(|(shard, _)| *shard)
    }

    /// Gives up the lease on `shard`. Grants that arrive later for rounds up to now
    /// are ignored: voters may have granted the shard to another host by then.
    pub fn give_up(&mut self, shard: ShardId) {
        let last_round = self.last_round;
        if let Some(state) = self.shards.get_mut(&shard) {
            state.lease = None;
            state.grants.clear();
            state.inherited = None;
            state.ignored_up_to = last_round;
        }
    }

    /// Gives up every lease.
    pub fn give_up_all(&mut self) {
        let shards: Vec<ShardId> = self.shards().collect();
        for shard in shards {
            self.give_up(shard);
        }
    }
}

fn shard_set(shards: &[ShardId], keep: impl Fn(&ShardId) -> bool) -> ShardSet {
    let kept = shards.iter().filter(|shard| keep(shard));
    kept.map(|shard| shard.index).collect()
}

fn new_candidate(hosts: &HostTable, shard: ShardId) -> CandidateShard {
    let mut state = CandidateShard {
        may_miss_voters: true,
        ..CandidateShard::default()
    };
    state.voter_sets.adopt_hosts(hosts, shard);
    state
}

impl CandidateShard {
    fn record_grant(&mut self, grant: ReceivedGrant) {
        let known = self
            .grants
            .iter_mut()
            .find(|known| known.voter == grant.voter);
        match known {
            Some(known) => {
                known.until = known.until.max(grant.until);
                known.host_list = known.host_list.max(grant.host_list);
            }
            None => self.grants.push(grant),
        }
    }

    /// Extends the lease, or acquires it if `may_begin` is set. Returns `true` if it
    /// was acquired.
    fn renew(&mut self, now: Timestamp, skew: time::Duration, may_begin: bool) -> bool {
        let running = self.lease.filter(|lease| now < lease.held_until);
        let lease = match running {
            Some(lease) => HomeLease {
                held_until: lease
                    .held_until
                    .max(self.voter_sets.extendable_until(&self.grants)),
                ..lease
            },
            None => HomeLease {
                held_until: self.voter_sets.acquirable_until(&self.grants),
                records_since: self.records_since(now, skew),
            },
        };
        if now >= lease.held_until || (running.is_none() && !may_begin) {
            self.lease = None;
            return false;
        }
        self.lease = Some(lease);
        self.voter_sets.drop_replaced(now, &self.grants);
        let begun = running.is_none();
        if begun {
            self.inherited = None;
            self.may_miss_voters = false;
        }
        begun
    }

    /// The time before which records may be missing. Without a hand-over this is
    /// `now` plus the clock skew: an earlier home may have accepted requests until
    /// now, and the clocks of callers may be ahead by the skew.
    fn records_since(&self, now: Timestamp, skew: time::Duration) -> Timestamp {
        let inherited = self.inherited.filter(|records| now < records.valid_until);
        inherited.map_or(now.after(skew), |records| records.records_since)
    }
}
