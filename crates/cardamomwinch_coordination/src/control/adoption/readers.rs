//! Which hosts of a failure domain read the platform. Nobody is appointed:
//! every host ranks the listed live hosts of its domain alike, and those that
//! find themselves among the first reachable ones read. When a reader dies,
//! the next in rank takes over as soon as it finds the reader unreachable.

use cardamomwinch_protocol::peer::configuration::DocumentStamp;
use cardamomwinch_state::prelude::{DomainId, HostId, HostPhase, HostTable, Timestamp};

use crate::control::adoption::PeerReachability;
use crate::identity::HostIdentity;
use crate::routing::rendezvous;

/// Hosts of a failure domain that read the platform.
pub const READERS_PER_DOMAIN: usize = 2;

/// The ranks of one list of hosts.
#[derive(Debug, Default)]
pub(crate) struct ReaderRanking {
    stamp: DocumentStamp,
    ranked: Vec<HostId>,
    domains: Vec<DomainId>,
    /// Whether the own host is on the list, live or leaving.
    listed: bool,
}

impl ReaderRanking {
    /// Ranks anew where the list has changed.
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

    /// The rank of this host among the reachable hosts of its domain where it
    /// reads, from zero. A leaving host reads only where too few others can. A
    /// host that its list does not name at all reads for itself: no peer would
    /// tell it of a newer list.
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

    /// The position of the own domain among all, in an order that each
    /// `version` shuffles anew.
    pub(crate) fn domain_position(&self, identity: HostIdentity, version: u64) -> usize {
        let score = |domain: &DomainId| rendezvous::score(domain.get(), version);
        let own = score(&identity.domain);
        let earlier = self.domains.iter().filter(|domain| score(domain) > own);
        earlier.count()
    }
}
