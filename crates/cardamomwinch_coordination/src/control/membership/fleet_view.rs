//! The list as one host sees it: the ring of its own failure domain, and the
//! hosts of each other domain.

use cardamomwinch_state::prelude::{DomainId, HostId, HostListVersion, HostTable, SortedVector};

use crate::identity::HostIdentity;
use crate::routing::rendezvous;

/// The listed hosts, arranged for choosing whom to probe.
#[derive(Debug, Default)]
pub(super) struct FleetView {
    version: Option<HostListVersion>,
    domains: SortedVector<HostId, DomainId>,
    /// The other hosts of the own domain, in ring order, from this host on.
    ring: Vec<HostId>,
    others: SortedVector<DomainId, Vec<HostId>>,
}

impl FleetView {
    /// Arranges `hosts` anew if the list is another; tells whether it was.
    pub(super) fn refresh(&mut self, identity: HostIdentity, hosts: &HostTable) -> bool {
        if self.version == Some(hosts.version) {
            return false;
        }
        self.version = Some(hosts.version);
        let entries = hosts.hosts.values();
        self.domains = entries.map(|entry| (entry.id, entry.domain)).collect();
        self.ring = ring(identity, hosts);
        self.others.clear();
        for entry in hosts.hosts.values() {
            if entry.domain != identity.domain {
                let group = self.others.get_or_insert_with(entry.domain, Vec::new);
                group.push(entry.id);
            }
        }
        true
    }

    pub(super) fn domain_of(&self, host: HostId) -> Option<DomainId> {
        self.domains.get(&host).copied()
    }

    /// The other hosts of the own domain, in ring order, from this host on.
    pub(super) fn ring(&self) -> &[HostId] {
        &self.ring
    }

    /// The hosts of each other domain.
    pub(super) fn others(&self) -> &SortedVector<DomainId, Vec<HostId>> {
        &self.others
    }

    /// The hosts of another domain.
    pub(super) fn hosts_of(&self, domain: DomainId) -> &[HostId] {
        self.others.get(&domain).map_or(&[], Vec::as_slice)
    }
}

/// Every host of a domain derives the same ring, so that neighbours watch each
/// other and need one exchange of messages for both.
fn ring(identity: HostIdentity, hosts: &HostTable) -> Vec<HostId> {
    let place = |host: HostId| rendezvous::score(host.get(), identity.domain.get());
    let own = place(identity.host);
    let mates = hosts.in_domain(identity.domain).map(|entry| entry.id);
    let mut ring: Vec<HostId> = mates.filter(|host| *host != identity.host).collect();
    ring.sort_by_key(|host| (place(*host).wrapping_sub(own), *host));
    ring
}
