//! The presumed holders of the shards that this host does not hold itself.

use std::time;

use cardamomwinch_protocol::peer::homes::{HolderNotice, ShardSet};
use cardamomwinch_state::prelude::{DomainId, HostId, ShardId, SortedVector, Timestamp};

use crate::control::homes::HomeWorld;
use crate::control::homes::ranking;

/// How long a notice from another failure domain stays valid.
const NOTICE_COUNTS_FOR: time::Duration = time::Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct LearntHolder {
    host: HostId,
    counts_until: Timestamp,
}

#[derive(Debug, Default)]
struct DomainForecast {
    candidates: Vec<HostId>,
    count: u16,
    best: Vec<Option<HostId>>,
}

/// Holders learned from messages, and the expected holders of all other shards.
/// Both may be wrong for a while: a host that receives a relayed datagram and
/// does not hold the shard relays it further.
#[derive(Debug, Default)]
pub struct HolderTable {
    learnt: SortedVector<ShardId, LearntHolder>,
    stopping: SortedVector<HostId, Timestamp>,
    forecasts: SortedVector<DomainId, DomainForecast>,
}

impl HolderTable {
    /// Records the shards of its failure domain that `host` reports to hold.
    pub fn learn(
        &mut self,
        host: HostId,
        domain: DomainId,
        held: &ShardSet,
        count: u16,
        counts_until: Timestamp,
    ) {
        for index in held.iter(count) {
            let shard = ShardId { domain, index };
            let holder = LearntHolder { host, counts_until };
            self.learnt.insert(shard, holder);
        }
    }

    /// Handles a notice from a host of another failure domain. Returns `false` if
    /// the notice is invalid: `sender` is not listed in the domain of the notice,
    /// or the number of shards differs.
    pub fn take_notice(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        sender: HostId,
        notice: &HolderNotice,
    ) -> bool {
        let entry = world.hosts.get(sender);
        let genuine = entry.is_some_and(|entry| entry.domain == notice.domain);
        if !genuine || notice.shard_count != world.limits.shards_per_domain {
            return false;
        }
        let until = now.after(NOTICE_COUNTS_FOR);
        if notice.stopped {
            self.learnt.retain(|_, learnt| learnt.host != sender);
        }
        self.note_stopping(sender, notice.stopped, until);
        let count = notice.shard_count;
        self.learn(sender, notice.domain, &notice.held, count, until);
        true
    }

    /// Records whether `host` reports that it is stopping, valid until `until`.
    pub fn note_stopping(&mut self, host: HostId, stopping: bool, until: Timestamp) {
        match stopping {
            true => drop(self.stopping.insert(host, until)),
            false => drop(self.stopping.remove(&host)),
        }
    }

    /// Hosts of `domain` that may currently receive shards, as this host sees it.
    pub fn candidates(
        &self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        domain: DomainId,
    ) -> Vec<HostId> {
        let hosts = world.hosts.in_domain(domain);
        hosts
            .filter(|entry| ranking::may_hold(entry, domain))
            .map(|entry| entry.id)
            .filter(|host| self.takes_shards(now, world, *host))
            .collect()
    }

    fn takes_shards(&self, now: Timestamp, world: &HomeWorld<'_>, host: HostId) -> bool {
        if host == world.identity.host {
            return world.is_serving();
        }
        let stopping = self.stopping.get(&host).is_some_and(|until| now < *until);
        !stopping && world.membership.is_reachable(now, host)
    }

    /// The holder of `shard` that this host has recently learned of, if it is
    /// reachable.
    pub fn learnt(&self, now: Timestamp, world: &HomeWorld<'_>, shard: ShardId) -> Option<HostId> {
        let learnt = self.learnt.get(&shard)?;
        let own = world.identity.host;
        let counts = now < learnt.counts_until
            && learnt.host != own
            && world.membership.is_reachable(now, learnt.host);
        counts.then_some(learnt.host)
    }

    /// The expected holder of each shard of `domain`, by the position of the shard.
    /// Recomputed only if the candidates or the number of shards have changed.
    pub fn forecast(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        domain: DomainId,
    ) -> &[Option<HostId>] {
        let mut candidates = self.candidates(now, world, domain);
        if candidates.is_empty() {
            // No host of the domain is known to be reachable. Hosts of another
            // domain may serve even if this host cannot reach them.
            let hosts = world.hosts.in_domain(domain);
            let live = hosts.filter(|entry| ranking::may_hold(entry, domain));
            candidates = live.map(|entry| entry.id).collect();
        }
        let count = world.limits.shards_per_domain;
        let forecast = self
            .forecasts
            .get_or_insert_with(domain, DomainForecast::default);
        if forecast.candidates != candidates || forecast.count != count {
            let shards = (0..count).map(|index| ShardId { domain, index });
            forecast.best = shards
                .map(|shard| ranking::best(&candidates, shard))
                .collect();
            forecast.candidates = candidates;
            forecast.count = count;
        }
        &forecast.best
    }
}
