//! Which hosts of a failure domain read the platform. There is no election: every
//! host computes the same ranking of the listed live hosts of its domain, and reads
//! if it is among the first reachable ones. When a reader fails, the next host in
//! the ranking starts to read as soon as it considers the reader unreachable.

use cardamomwinch_protocol::peer::configuration::DocumentStamp;
use cardamomwinch_state::prelude::{DomainId, HostId, HostPhase, HostTable, Timestamp};

use crate::control::adoption::PeerReachability;
use crate::identity::HostIdentity;
use crate::routing::rendezvous;

/// Hosts of a failure domain that read the platform.
pub const READERS_PER_DOMAIN: usize = 2;

/// The ranking for one list of hosts.
#[derive(Debug, Default)]
pub(crate) struct ReaderRanking {
    stamp: DocumentStamp,
    ranked: Vec<HostId>,
    domains: Vec<DomainId>,
    /// Whether this host is in the list, live or leaving.
    listed: bool,
}

impl ReaderRanking {
    /// Recomputes the ranking if the list has changed.
    pub(crate) fn update(
        &mut self,
        identity: HostIdentity,
        stamp: DocumentStamp,
        hosts: &HostTable,
    ) {
        if stamp == self.stamp {
            return;
        }
        let subject = identity.domain.get();
        let live = hosts
            .in_domain(identity.domain)
            .filter(|host| host.phase == HostPhase::Live);
        self.ranked = live.map(|host| host.id).collect();
        let score = |host: &HostId| std::cmp::Reverse(rendezvous::score(host.get(), subject));
        self.ranked.sort_by_key(score);
        self.domains = hosts.hosts.values().map(|host| host.domain).collect();
        self.domains.sort_unstable();
        self.domains.dedup();
        self.listed = hosts.get(identity.host).is_some();
        self.stamp = stamp;
    }

    /// The rank of this host among the readers of its domain, from zero; `None` if it
    /// is not a reader. A leaving host reads only if too few other hosts can. A host
    /// that is not in its own list reads for itself, because no peer would announce a
    /// newer list to it.
    pub(crate) fn reader_rank<R: PeerReachability>(
        &self,
        now: Timestamp,
        identity: HostIdentity,
        peers: &R,
    ) -> Option<usize> {
        let reachable = self
            .ranked
            .iter()
            .filter(|host| **host == identity.host || peers.is_reachable(now, **host));
        let first: Vec<&HostId> = reachable.take(READERS_PER_DOMAIN).collect();
        let own = first.iter().position(|host| **host == identity.host);
        own.or((first.len() < READERS_PER_DOMAIN || !self.listed).then_some(first.len()))
    }

    /// The position of the own domain in an order of all domains that differs for
    /// each `version`.
    pub(crate) fn domain_position(&self, identity: HostIdentity, version: u64) -> usize {
        let score = |domain: &DomainId| rendezvous::score(domain.get(), version);
        let own = score(&identity.domain);
        let earlier = self.domains.iter().filter(|domain| score(domain) > own);
        earlier.count()
    }
}
