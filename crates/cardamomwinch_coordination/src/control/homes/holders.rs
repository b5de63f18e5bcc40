//! The presumed holders of the shards that this host does not hold itself.

use std::time;

use cardamomwinch_protocol::peer::homes::{HolderNotice, ShardSet};
use cardamomwinch_state::prelude::{DomainId, HostId, ShardId, SortedVector, Timestamp};

use crate::control::homes::HomeContext;
use crate::control::homes::ranking;

/// How long a notice from another failure domain stays valid.
const NOTICE_VALIDITY: time::Duration = time::Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct LearnedHolder {
    host: HostId,
    valid_until: Timestamp,
}

#[derive(Debug, Default)]
struct ExpectedHolders {
    candidates: Vec<HostId>,
    count: u16,
    by_shard: Vec<Option<HostId>>,
}

/// Holders learned from messages, and the expected holders of all other shards.
/// Both may be wrong for a while: a host that receives a relayed datagram and
/// does not hold the shard relays it further.
#[derive(Debug, Default)]
pub struct HolderTable {
    learned: SortedVector<ShardId, LearnedHolder>,
    stopping: SortedVector<HostId, Timestamp>,
    expected: SortedVector<DomainId, ExpectedHolders>,
}

impl HolderTable {
    /// Records the shards of its failure domain that `host` reports to hold.
    pub fn learn(
        &mut self,
        host: HostId,
        domain: DomainId,
        held: &ShardSet,
        count: u16,
        valid_until: Timestamp,
    ) {
        for index in held.iter(count) {
            let shard = ShardId { domain, index };
            let holder = LearnedHolder { host, valid_until };
            self.learned.insert(shard, holder);
        }
    }

    /// Handles a notice from a host of another failure domain. Returns `false` if
    /// the notice is invalid: `sender` is not listed in the domain of the notice,
    /// or the number of shards differs.
    pub fn handle_notice(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        sender: HostId,
        notice: &HolderNotice,
    ) -> bool {
        let entry = context.hosts.get(sender);
        let genuine = entry.is_some_and(|entry| entry.domain == notice.domain);
        if !genuine || notice.shard_count != context.limits.shards_per_domain {
            return false;
        }
        let until = now.after(NOTICE_VALIDITY);
        if notice.stopped {
            self.learned.retain(|_, learned| learned.host != sender);
        }
        self.record_stopping(sender, notice.stopped, until);
        let count = notice.shard_count;
        self.learn(sender, notice.domain, &notice.held, count, until);
        true
    }

    /// Records whether `host` reports that it is stopping, valid until `until`.
    pub fn record_stopping(&mut self, host: HostId, stopping: bool, until: Timestamp) {
        match stopping {
            true => drop(self.stopping.insert(host, until)),
            false => drop(self.stopping.remove(&host)),
        }
    }

    /// Hosts of `domain` that may currently receive shards, as known to this host.
    pub fn candidates(
        &self,
        now: Timestamp,
        context: &HomeContext<'_>,
        domain: DomainId,
    ) -> Vec<HostId> {
        let hosts = context.hosts.in_domain(domain);
        hosts
            .filter(|entry| ranking::may_hold(entry, domain))
            .map(|entry| entry.id)
            .filter(|host| self.takes_shards(now, context, *host))
            .collect()
    }

    fn takes_shards(&self, now: Timestamp, context: &HomeContext<'_>, host: HostId) -> bool {
        if host == context.identity.host {
            return context.is_serving();
        }
        let stopping = self.stopping.get(&host).is_some_and(|until| now < *until);
        !stopping && context.membership.is_reachable(now, host)
    }

    /// The holder of `shard` that this host has recently learned of, if it is
    /// reachable.
    pub fn learned(
        &self,
        now: Timestamp,
        context: &HomeContext<'_>,
        shard: ShardId,
    ) -> Option<HostId> {
        let learned = self.learned.get(&shard)?;
        let own = context.identity.host;
        let is_valid = now < learned.valid_until
            && learned.host != own
            && context.membership.is_reachable(now, learned.host);
        is_valid.then_some(learned.host)
    }

    /// The expected holder of each shard of `domain`, by the position of the shard.
    /// Recomputed only if the candidates or the number of shards have changed.
    pub fn expected_holders(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        domain: DomainId,
    ) -> &[Option<HostId>] {
        let mut candidates = self.candidates(now, context, domain);
        if candidates.is_empty() {
            // No host of the domain is known to be reachable. Hosts of another
            // domain may serve even if this host cannot reach them.
            let hosts = context.hosts.in_domain(domain);
            let live = hosts.filter(|entry| ranking::may_hold(entry, domain));
            candidates = live.map(|entry| entry.id).collect();
        }
        let count = context.limits.shards_per_domain;
        let expected = self
            .expected
            .get_or_insert_with(domain, ExpectedHolders::default);
        if expected.candidates != candidates || expected.count != count {
            let shards = (0..count).map(|index| ShardId { domain, index });
            expected.by_shard = shards
                .map(|shard| ranking::best(&candidates, shard))
                .collect();
            expected.candidates = candidates;
            expected.count = count;
        }
        &expected.by_shard
    }
}
