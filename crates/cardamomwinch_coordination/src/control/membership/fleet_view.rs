//! The host list grouped for probing: the ring of the own failure domain and
//! the hosts of each other domain.

use cardamomwinch_state::prelude::{DomainId, HostId, HostListVersion, HostTable, SortedVector};

use crate::identity::HostIdentity;
use crate::routing::rendezvous;

/// The listed hosts, grouped for choosing probe targets.
#[derive(Debug, Default)]
pub(super) struct FleetView {
    version: Option<HostListVersion>,
    domains: SortedVector<HostId, DomainId>,
    /// The other hosts of the own domain, in ring order starting after this
    /// host.
    ring: Vec<HostId>,
    others: SortedVector<DomainId, Vec<HostId>>,
}

impl FleetView {
    /// Groups `hosts` again if the version of the list has changed, and returns
    /// whether it has.
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

    /// The other hosts of the own domain, in ring order starting after this
    /// host.
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

/// Every host of a domain derives the same ring. Two neighbours therefore probe
/// each other, and one ping with its pong shows both that the other is alive.
fn ring(identity: HostIdentity, hosts: &HostTable) -> Vec<HostId> {
    let position = |host: HostId| rendezvous::score(host.get(), identity.domain.get());
    let own = position(identity.host);
    let peers = hosts.in_domain(identity.domain).map(|entry| entry.id);
    let mut ring: Vec<HostId> = peers.filter(|host| *host != identity.host).collect();
    ring.sort_by_key(|host| (position(*host).wrapping_sub(own), *host));
    ring
}
