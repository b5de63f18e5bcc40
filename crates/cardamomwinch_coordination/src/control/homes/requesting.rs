//! Requests for leases: sending them, and answering those of other hosts.

use cardamomwinch_protocol::peer::homes::{HomeMessage, LeaseGrant, LeaseRequest};
use cardamomwinch_state::prelude::{HostId, ShardId, SortedVector, Timestamp};

use crate::control::homes::voters::HostIncarnation;
use crate::control::homes::{HomeAction, HomeContext, HomeTable, ShardClaim, ranking};

impl HomeTable {
    pub(super) fn handle_request(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        sender: HostIncarnation,
        request: &LeaseRequest,
        out: &mut Vec<HomeAction>,
    ) {
        let Some(grant) = self.voters.decide(now, context, sender, request) else {
            return;
        };
        let host = sender.host;
        out.push(HomeAction::Send {
            host,
            message: HomeMessage::Grant(grant),
        });
        let domain = context.hosts.get(host).map(|entry| entry.domain);
        if domain != Some(context.identity.domain) || request.shard_count != self.shard_count {
            return;
        }
        let until = now.after(context.limits.home_lease);
        self.holders.record_stopping(host, request.stopping, until);
        let (held, count) = (&request.held, request.shard_count);
        let domain = context.identity.domain;
        self.holders.learn(host, domain, held, count, until);
        self.leases.drop_settled_voters(request);
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
                last_request: now,
                first_request: earlier.map_or(now, |claim| claim.first_request),
                settled: !request.unsettled.contains(index),
            };
            self.claims.insert(shard, claim);
        }
    }

    pub(super) fn handle_grant(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        voter: HostId,
        grant: &LeaseGrant,
        out: &mut Vec<HomeAction>,
    ) {
        let begun = self.leases.handle_grant(now, context, voter, grant);
        if begun.is_empty() {
            return;
        }
        let home = context.identity.host;
        let changes = begun.into_iter();
        out.extend(changes.map(|shard| HomeAction::HomeChanged { shard, home }));
        out.push(HomeAction::Publish);
    }

    /// Requests leases on the shards that this host holds or is preferred for.
    pub(super) fn request_round(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        out: &mut Vec<HomeAction>,
    ) {
        let candidates = self
            .holders
            .candidates(now, context, context.identity.domain);
        let shards: Vec<ShardId> = self.leases.shards().collect();
        let wanted: Vec<ShardId> = shards
            .into_iter()
            .filter(|shard| {
                let held = self.leases.lease(now, *shard).is_some();
                let best = ranking::best(&candidates, *shard) == Some(context.identity.host);
                held || (best && !self.incoming.is_receiving(*shard))
            })
            .collect();
        self.request(now, context, &wanted, out);
    }

    pub(super) fn request(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        wanted: &[ShardId],
        out: &mut Vec<HomeAction>,
    ) {
        if wanted.is_empty() {
            return;
        }
        self.releases.retain(|shard, _| !wanted.contains(shard));
        let mut receivers: SortedVector<HostId, Vec<ShardId>> = SortedVector::new();
        for shard in wanted {
            let holder = self.holders.learned(now, context, *shard);
            let mut hosts = self.leases.voters(*shard);
            hosts.extend(holder.filter(|holder| !hosts.contains(holder)));
            for host in hosts {
                receivers.get_or_insert_with(host, Vec::new).push(*shard);
            }
        }
        let round = self.leases.open_round(now, context.limits);
        for (host, shards) in receivers.iter() {
            let request = self.leases.request(now, context, round, shards);
            if *host == context.identity.host {
                self.vote_for_self(now, context, &request, out);
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
        context: &HomeContext<'_>,
        request: &LeaseRequest,
        out: &mut Vec<HomeAction>,
    ) {
        let grant = self
            .voters
            .decide(now, context, context.own_incarnation(), request);
        if let Some(grant) = grant {
            self.handle_grant(now, context, context.identity.host, &grant, out);
        }
    }
}
