//! Requests for leases: sending them, and answering those of other hosts.

use cardamomwinch_protocol::peer::homes::{HomeMessage, LeaseGrant, LeaseRequest};
use cardamomwinch_state::prelude::{HostId, ShardId, SortedVector, Timestamp};

use crate::control::homes::voters::CandidateLife;
use crate::control::homes::{HomeAction, HomeTable, HomeWorld, ShardClaim, ranking};

impl HomeTable {
    pub(super) fn take_request(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        sender: CandidateLife,
        request: &LeaseRequest,
        out: &mut Vec<HomeAction>,
    ) {
        let Some(grant) = self.voters.decide(now, world, sender, request) else {
            return;
        };
        let host = sender.host;
        out.push(HomeAction::Send {
            host,
            message: HomeMessage::Grant(grant),
        });
        let domain = world.hosts.get(host).map(|entry| entry.domain);
        if domain != Some(world.identity.domain) || request.shard_count != self.shard_count {
            return;
        }
        let until = now.after(world.limits.home_lease);
        self.holders.note_stopping(host, request.stopping, until);
        let (held, count) = (&request.held, request.shard_count);
        let domain = world.identity.domain;
        self.holders.learn(host, domain, held, count, until);
        self.leases.learn_settled(request);
        let wanted = request
            .wanted
            .iter(count)
            .filter(|index| !held.contains(*index));
        for index in wanted {
            let shard = ShardId { domain, index };
            let earlier = self.claims.get(&shard);
            let earlier = earlier.filter(|claim| claim.host == host);
            let claim = ShardClaim {
                host,
                heard: now,
                since: earlier.map_or(now, |claim| claim.since),
                settled: !request.unsettled.contains(index),
            };
            self.claims.insert(shard, claim);
        }
    }

    pub(super) fn take_grant(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        voter: HostId,
        grant: &LeaseGrant,
        out: &mut Vec<HomeAction>,
    ) {
        let begun = self.leases.take_grant(now, world, voter, grant);
        if begun.is_empty() {
            return;
        }
        let home = world.identity.host;
        let changes = begun.into_iter();
        out.extend(changes.map(|shard| HomeAction::HomeChanged { shard, home }));
        out.push(HomeAction::Publish);
    }

    /// Requests leases on the shards that this host holds or is preferred for.
    pub(super) fn ask(&mut self, now: Timestamp, world: &HomeWorld<'_>, out: &mut Vec<HomeAction>) {
        let candidates = self.holders.candidates(now, world, world.identity.domain);
        let shards: Vec<ShardId> = self.leases.shards().collect();
        let wanted: Vec<ShardId> = shards
            .into_iter()
            .filter(|shard| {
                let held = self.leases.lease(now, *shard).is_some();
                let best = ranking::best(&candidates, *shard) == Some(world.identity.host);
                held || (best && !self.incoming.awaits(*shard))
            })
            .collect();
        self.request(now, world, &wanted, out);
    }

    pub(super) fn request(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        wanted: &[ShardId],
        out: &mut Vec<HomeAction>,
    ) {
        if wanted.is_empty() {
            return;
        }
        self.releases.retain(|shard, _| !wanted.contains(shard));
        let mut asked: SortedVector<HostId, Vec<ShardId>> = SortedVector::new();
        for shard in wanted {
            let holder = self.holders.learnt(now, world, *shard);
            let mut hosts = self.leases.voters(*shard);
            hosts.extend(holder.filter(|holder| !hosts.contains(holder)));
            for host in hosts {
                asked.get_or_insert_with(host, Vec::new).push(*shard);
            }
        }
        let round = self.leases.open_round(now, world.limits);
        for (host, shards) in asked.iter() {
            let request = self.leases.request(now, world, round, shards);
            if *host == world.identity.host {
                self.vote_for_self(now, world, &request, out);
                continue;
            }
            out.push(HomeAction::Send {
                host: *host,
                message: HomeMessage::Request(request),
            });
        }
    }

    pub(super) fn vote_for_self(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        request: &LeaseRequest,
        out: &mut Vec<HomeAction>,
    ) {
        let grant = self.voters.decide(now, world, world.life(), request);
        if let Some(grant) = grant {
            self.take_grant(now, world, world.identity.host, &grant, out);
        }
    }
}
