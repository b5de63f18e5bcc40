//! Hand-overs and the graceful stop: which shards are handed over to which host,
//! and how the lease is given up once the successor has received all records.

use std::time;

use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::{
    HandOverCommit, HomeMessage, LeaseRelease, LeaseSuccessor, ShardSet,
};
use cardamomwinch_state::prelude::{HostId, ShardId, SortedVector, Timestamp};

use crate::control::event::TakeOverReport;
use crate::control::homes;
use crate::control::homes::incoming::ImportedHandOver;
use crate::control::homes::leases::InheritedRecords;
use crate::control::homes::outgoing::OutgoingHandOver;
use crate::control::homes::{HomeAction, HomeContext, HomeTable, SentRelease, ranking};

/// The interval at which releases are repeated.
const RELEASE_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// How long releases are repeated.
const RELEASE_DURATION: time::Duration = time::Duration::from_millis(350);

/// The receiver of a release, and the successor that the release names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReleaseRoute {
    voter: HostId,
    successor: LeaseSuccessor,
}

impl HomeTable {
    /// Sends a chunk that the traffic thread has exported to the successor.
    pub fn send_exported(
        &mut self,
        now: Timestamp,
        chunk: HandOverChunk,
        out: &mut Vec<HomeAction>,
    ) {
        self.outgoing.send_chunk(now, chunk, out);
    }

    /// Records that the traffic thread has imported a chunk. After the last chunk,
    /// requests the lease.
    pub fn handle_imported(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        report: TakeOverReport,
        out: &mut Vec<HomeAction>,
    ) {
        let imported = self.incoming.record_import(report);
        let Some(ImportedHandOver {
            commit,
            records_since,
        }) = imported
        else {
            return;
        };
        // The records are valid until one lease after the release. Later, a third
        // host may have held the shard and let its lease expire, so that records
        // are missing here.
        let limits = context.limits;
        let valid_until = commit
            .released
            .after(limits.home_lease)
            .before(limits.clock_skew);
        let inherited = InheritedRecords {
            hand_over: report.hand_over,
            records_since,
            valid_until,
        };
        let shard = report.hand_over.shard;
        self.leases.inherit(shard, inherited);
        self.request(now, context, &[shard], out);
    }

    /// Requests shards that were handed over to this host again without waiting
    /// for the next round: the release may reach the voters after the first
    /// request.
    pub(super) fn request_inherited(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        out: &mut Vec<HomeAction>,
    ) {
        let shards: Vec<ShardId> = self.leases.inherited(now).collect();
        self.request(now, context, &shards, out);
    }

    pub(super) fn begin_hand_overs(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        out: &mut Vec<HomeAction>,
    ) {
        let leaving = context.is_stopping() || !context.may_hold();
        let candidates = self
            .holders
            .candidates(now, context, context.identity.domain);
        let others: Vec<HostId> = candidates
            .into_iter()
            .filter(|host| *host != context.identity.host)
            .filter(|host| !self.outgoing.is_avoided(now, *host))
            .collect();
        let held: Vec<ShardId> = self.leases.held(now).collect();
        for shard in held {
            if !self.outgoing.may_begin(shard) {
                continue;
            }
            let successor = match leaving {
                true => ranking::best(&others, shard),
                false => self.better_claimant(now, context, &others, shard),
            };
            if let Some(successor) = successor {
                let lease = context.limits.home_lease;
                self.outgoing.begin(now, shard, successor, lease, out);
            }
        }
    }

    /// A host that ranks before this one, has recently requested the shard, and can
    /// acquire the lease.
    ///
    /// Guards against a hand-over to a host that has just started and may not acquire
    /// the lease yet, because other hosts may rely on voters that it does not know. If
    /// the shard were handed over at once, it would have no home for four seconds: the
    /// new host learns from the requests of the holder that no earlier voters count,
    /// and the holder stops sending requests after the hand-over. Callers would see
    /// requests with an unknown outcome when a host is added. A claimant that does not
    /// learn this can acquire the lease once every host must have adopted the list.
    pub(super) fn better_claimant(
        &self,
        now: Timestamp,
        context: &HomeContext<'_>,
        others: &[HostId],
        shard: ShardId,
    ) -> Option<HostId> {
        let claim = self.claims.get(&shard)?;
        let recent = now.since(claim.last_request) < context.limits.home_lease;
        let own = context.identity.host;
        let better = ranking::best(&[own, claim.host], shard) == Some(claim.host);
        let waited =
            now.since(claim.first_request) >= homes::MAX_ADOPTION_TIME + context.limits.home_lease;
        let can_begin = claim.settled || waited;
        let fit = recent && better && can_begin && others.contains(&claim.host);
        fit.then_some(claim.host)
    }

    /// Gives up the lease once the successor has acknowledged all chunks. The order
    /// matters: this host stops using the lease, also in the snapshot, the traffic
    /// thread forgets the shard, the successor may use the chunks that it has
    /// buffered, and the voters may grant the shard to the successor. With the lease
    /// still in its snapshot, a traffic thread that has forgotten the shard would take
    /// a copy of a request for a new one and run it again.
    pub(super) fn commit(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        ready: OutgoingHandOver,
        out: &mut Vec<HomeAction>,
    ) {
        let shard = ready.id.shard;
        let (Some(lease), Some(successor)) =
            (self.leases.lease(now, shard), ready.acknowledged_by())
        else {
            return;
        };
        self.leases.give_up(shard);
        self.claims.remove(&shard);
        out.push(HomeAction::Publish);
        out.push(HomeAction::ForgetShard { shard });
        let home = ready.successor;
        out.push(HomeAction::HomeChanged { shard, home });
        let commit = HandOverCommit {
            hand_over: ready.id,
            released: now,
            records_since: lease.records_since,
        };
        self.outgoing.commit(now, ready.successor, commit, out);
        let until = now.after(context.limits.home_lease);
        let shards: ShardSet = std::iter::once(shard.index).collect();
        let (domain, count) = (shard.domain, self.shard_count);
        self.holders
            .learn(ready.successor, domain, &shards, count, until);
        let released = now;
        let sent = SentRelease {
            released,
            successor,
        };
        self.releases.insert(shard, sent);
        self.send_releases(now, context, &[shard], out);
    }

    pub(super) fn send_releases(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        shards: &[ShardId],
        out: &mut Vec<HomeAction>,
    ) {
        self.next_release = now.after(RELEASE_INTERVAL);
        let mut receivers: SortedVector<ReleaseRoute, ShardSet> = SortedVector::new();
        for shard in shards {
            let Some(SentRelease { successor, .. }) = self.releases.get(shard).copied() else {
                continue;
            };
            for voter in self.leases.voters(*shard) {
                let route = ReleaseRoute { voter, successor };
                receivers
                    .get_or_insert_with(route, ShardSet::default)
                    .insert(shard.index);
            }
        }
        if receivers.is_empty() {
            return;
        }
        let round = self.leases.next_round();
        for (route, shards) in receivers.iter() {
            let release = LeaseRelease {
                round,
                successor: route.successor,
                shards: shards.clone(),
            };
            if route.voter == context.identity.host {
                self.voters
                    .release(context, context.own_incarnation(), &release);
                continue;
            }
            out.push(HomeAction::Send {
                host: route.voter,
                message: HomeMessage::Release(release),
            });
        }
    }

    /// Repeats releases, because they may have been lost: a voter that did not
    /// receive one refuses the successor until its grant to this host expires.
    pub(super) fn repeat_releases(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        out: &mut Vec<HomeAction>,
    ) {
        self.releases
            .retain(|_, sent| now.since(sent.released) < RELEASE_DURATION);
        if now < self.next_release {
            return;
        }
        let shards: Vec<ShardId> = self.releases.keys().copied().collect();
        self.send_releases(now, context, &shards, out);
    }

    pub(super) fn finish_stop(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        out: &mut Vec<HomeAction>,
    ) {
        let Some(stop_by) = self.stop_by else {
            return;
        };
        if now >= stop_by {
            // No host took the remaining shards. Their leases expire at the
            // voters: releasing them earlier would let a successor begin without
            // the records.
            self.leases.give_up_all();
        }
        let empty = self.leases.held(now).next().is_none() && self.outgoing.is_idle();
        if !self.drained && (empty || now >= stop_by) {
            self.drained = true;
            self.announce_stop(now, context, out);
            out.push(HomeAction::Publish);
            out.push(HomeAction::Drained);
        }
    }
}
