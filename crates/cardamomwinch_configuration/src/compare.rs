//! Compares two configurations: what changes for services, backend servers and
//! new flows.

use std::net;

use cardamomwinch_state::prelude::{
    BackendEntry, BackendPhase, ConfigurationLimits, ConfigurationVersion, ConnectionCount,
    InForceConfiguration, ServiceId, SlotCount, SortedVector, Weight,
};

use crate::flow_share::FlowShare;

/// A value before and after.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ValueChange<T> {
    /// The value before.
    pub old: T,
    /// The value after.
    pub new: T,
}

impl<T: PartialEq + Clone> ValueChange<T> {
    fn between(old: &T, new: &T) -> Option<Self> {
        (old != new).then(|| Self {
            old: old.clone(),
            new: new.clone(),
        })
    }
}

/// A service and its public address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLocation {
    /// The name of the service.
    pub service: String,
    /// Its public address.
    pub address: net::SocketAddr,
}

/// A service whose public address changes. Callers of the old address are no
/// longer served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceMove {
    /// The name of the service.
    pub service: String,
    /// Its public address.
    pub address: ValueChange<net::SocketAddr>,
}

/// A backend server and its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendLocation {
    /// The name of the service.
    pub service: String,
    /// The name of the backend server.
    pub backend: String,
    /// Its address.
    pub address: net::SocketAddr,
}

/// A backend server that is removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRemoval {
    /// The backend server.
    pub location: BackendLocation,
    /// Whether it accepts new flows until it is removed. If so, its open flows
    /// are certain to be cut.
    pub accepts_new_flows: bool,
}

/// A backend server whose address changes. Its open flows cannot move with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendMove {
    /// The name of the service.
    pub service: String,
    /// The name of the backend server.
    pub backend: String,
    /// Its address.
    pub address: ValueChange<net::SocketAddr>,
}

/// What an address is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AddressRole {
    /// It is the public address of a service.
    Service,
    /// It is the address of a backend server.
    BackendServer,
}

/// An address that moves from one service to another. This is dangerous: a late
/// datagram, or a caller that still uses the address, reaches the wrong
/// service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressReassignment {
    /// The address.
    pub address: net::SocketAddr,
    /// What it is used for.
    pub role: AddressRole,
    /// The name of the service that it belongs to.
    pub service: ValueChange<String>,
}

/// What changes about a backend server besides its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendChange {
    /// The name of the service.
    pub service: String,
    /// The name of the backend server.
    pub backend: String,
    /// Whether it gets new flows.
    pub phase: Option<ValueChange<BackendPhase>>,
    /// Its share of new flows.
    pub weight: Option<ValueChange<Weight>>,
    /// Requests it runs at the same time.
    pub slots: Option<ValueChange<SlotCount>>,
    /// Flows it holds open at the same time.
    pub connections: Option<ValueChange<ConnectionCount>>,
    /// Whether its failure domain changes.
    pub changes_domain: bool,
}

/// A change of the share of new flows that a backend server gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareChange {
    /// The name of the backend server.
    pub backend: String,
    /// Its share of the new flows.
    pub share: ValueChange<FlowShare>,
}

/// The changed shares of the new flows of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShares {
    /// The name of the service.
    pub service: String,
    /// The backend servers whose share changes, by name.
    pub backends: Vec<ShareChange>,
}

/// The differences between two configurations. Lists are ordered by the names
/// of service and backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationDifference {
    /// The versions compared.
    pub version: ValueChange<ConfigurationVersion>,
    /// The preset in force.
    pub preset: Option<ValueChange<String>>,
    /// Limits that all hosts apply alike.
    pub limits: Option<ValueChange<ConfigurationLimits>>,
    /// Added services.
    pub services_added: Vec<ServiceLocation>,
    /// Removed services. All their flows end.
    pub services_removed: Vec<ServiceLocation>,
    /// Services that get another public address.
    pub services_moved: Vec<ServiceMove>,
    /// Services that have no backend server left that accepts new flows.
    pub services_without_backends: Vec<String>,
    /// Added backend servers.
    pub backends_added: Vec<BackendLocation>,
    /// Removed backend servers.
    pub backends_removed: Vec<BackendRemoval>,
    /// Backend servers that get another address.
    pub backends_moved: Vec<BackendMove>,
    /// Addresses that move to another service.
    pub addresses_reassigned: Vec<AddressReassignment>,
    /// Backend servers that remain and change in something besides the address.
    pub backends_changed: Vec<BackendChange>,
    /// Changed shares of new flows.
    pub shares: Vec<ServiceShares>,
}

impl ConfigurationDifference {
    /// Whether nothing changes, apart from the version.
    pub fn is_empty(&self) -> bool {
        self.preset.is_none()
            && self.limits.is_none()
            && self.services_added.is_empty()
            && self.services_removed.is_empty()
            && self.services_moved.is_empty()
            && self.services_without_backends.is_empty()
            && self.backends_added.is_empty()
            && self.backends_removed.is_empty()
            && self.backends_moved.is_empty()
            && self.addresses_reassigned.is_empty()
            && self.backends_changed.is_empty()
            && self.shares.is_empty()
    }
}

/// The names that identify a backend server to operators.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BackendName<'c> {
    service: &'c str,
    backend: &'c str,
}

/// A configuration, indexed by name instead of by identifier.
struct NamedView<'c> {
    configuration: &'c InForceConfiguration,
    services: SortedVector<&'c str, net::SocketAddr>,
    backends: SortedVector<BackendName<'c>, &'c BackendEntry>,
}

impl<'c> NamedView<'c> {
    fn new(configuration: &'c InForceConfiguration) -> Self {
        let services = configuration.services.values();
        let backends = configuration.backends.values().filter_map(|entry| {
            let service = service_name(configuration, entry.service)?;
            let backend = entry.name.as_str();
            Some((BackendName { service, backend }, entry))
        });
        Self {
            configuration,
            services: services
                .map(|service| (service.name.as_str(), service.address))
                .collect(),
            backends: backends.collect(),
        }
    }

    /// Services that `other` does not have.
    fn services_missing_from(&self, other: &Self) -> Vec<ServiceLocation> {
        let services = self.services.iter();
        let missing = services.filter(|(service, _)| !other.services.contains_key(service));
        let locations = missing.map(|(service, address)| ServiceLocation {
            service: (*service).to_owned(),
            address: *address,
        });
        locations.collect()
    }

    /// Backend servers that `other` does not have.
    fn backends_missing_from<'s>(
        &'s self,
        other: &'s Self,
    ) -> impl Iterator<Item = (BackendLocation, &'c BackendEntry)> + 's {
        let backends = self.backends.iter();
        let missing = backends.filter(|(name, _)| !other.backends.contains_key(name));
        missing.map(|(name, entry)| {
            let location = BackendLocation {
                service: name.service.to_owned(),
                backend: name.backend.to_owned(),
                address: entry.address,
            };
            (location, *entry)
        })
    }

    /// Every address with its role and the name of its service.
    fn addresses(&self) -> SortedVector<(net::SocketAddr, AddressRole), &'c str> {
        let services = self.services.iter();
        let services = services.map(|(name, address)| ((*address, AddressRole::Service), *name));
        let backends = self.backends.iter();
        let backends = backends.map(|(name, entry)| {
            let key = (entry.address, AddressRole::BackendServer);
            (key, name.service)
        });
        services.chain(backends).collect()
    }

    /// The total weight of the servers that accept new flows, by service.
    fn total_weights(&self) -> SortedVector<&'c str, u64> {
        let mut totals: SortedVector<_, _> = self.services.keys().map(|name| (*name, 0)).collect();
        for (name, entry) in self.backends.iter() {
            if let Some(total) = totals.get_mut(&name.service)
                && entry.accepts_new_flows()
            {
                *total += u64::from(entry.weight.get());
            }
        }
        totals
    }

    /// The share of new flows that each backend server gets.
    fn shares(&self) -> SortedVector<BackendName<'c>, FlowShare> {
        let totals = self.total_weights();
        let shares = self.backends.iter().map(|(name, entry)| {
            let total = totals.get(&name.service).copied().unwrap_or(0);
            (*name, FlowShare::of(entry, total))
        });
        shares.collect()
    }

    fn without_backends(&self) -> Vec<&'c str> {
        let totals = self.total_weights();
        let without = totals.iter().filter(|(_, total)| **total == 0);
        without.map(|(service, _)| *service).collect()
    }
}

fn service_name(configuration: &InForceConfiguration, service: ServiceId) -> Option<&str> {
    let entry = configuration.services.get(&service)?;
    Some(entry.name.as_str())
}

/// Returns what changes from `old` to `new`.
pub fn compare(old: &InForceConfiguration, new: &InForceConfiguration) -> ConfigurationDifference {
    let old = NamedView::new(old);
    let new = NamedView::new(new);
    ConfigurationDifference {
        version: ValueChange {
            old: old.configuration.version,
            new: new.configuration.version,
        },
        preset: ValueChange::between(&old.configuration.preset, &new.configuration.preset),
        limits: ValueChange::between(&old.configuration.limits, &new.configuration.limits),
        services_added: new.services_missing_from(&old),
        services_removed: old.services_missing_from(&new),
        services_moved: services_moved(&old, &new),
        services_without_backends: newly_without_backends(&old, &new),
        backends_added: new
            .backends_missing_from(&old)
            .map(|(location, _)| location)
            .collect(),
        backends_removed: backends_removed(&old, &new),
        backends_moved: backends_moved(&old, &new),
        addresses_reassigned: addresses_reassigned(&old, &new),
        backends_changed: backends_changed(&old, &new),
        shares: shares_changed(&old, &new),
    }
}

fn services_moved(old: &NamedView<'_>, new: &NamedView<'_>) -> Vec<ServiceMove> {
    let moved = old.services.iter().filter_map(|(service, address)| {
        let address = ValueChange::between(address, new.services.get(service)?)?;
        let service = (*service).to_owned();
        Some(ServiceMove { service, address })
    });
    moved.collect()
}

fn newly_without_backends(old: &NamedView<'_>, new: &NamedView<'_>) -> Vec<String> {
    let before = old.without_backends();
    let now = new.without_backends().into_iter();
    let newly = now.filter(|service| before.binary_search(service).is_err());
    newly.map(str::to_owned).collect()
}

fn backends_removed(old: &NamedView<'_>, new: &NamedView<'_>) -> Vec<BackendRemoval> {
    let removed = old
        .backends_missing_from(new)
        .map(|(location, entry)| BackendRemoval {
            location,
            accepts_new_flows: entry.accepts_new_flows(),
        });
    removed.collect()
}

fn backends_moved(old: &NamedView<'_>, new: &NamedView<'_>) -> Vec<BackendMove> {
    let moved = old.backends.iter().filter_map(|(name, entry)| {
        let after = new.backends.get(name)?;
        let address = ValueChange::between(&entry.address, &after.address)?;
        Some(BackendMove {
            service: name.service.to_owned(),
            backend: name.backend.to_owned(),
            address,
        })
    });
    moved.collect()
}

fn addresses_reassigned(old: &NamedView<'_>, new: &NamedView<'_>) -> Vec<AddressReassignment> {
    let after = new.addresses();
    let before = old.addresses();
    let reassigned = before.iter().filter_map(|(key, service)| {
        let service = ValueChange::between(service, after.get(key)?)?;
        Some(AddressReassignment {
            address: key.0,
            role: key.1,
            service: ValueChange {
                old: service.old.to_owned(),
                new: service.new.to_owned(),
            },
        })
    });
    reassigned.collect()
}

fn backends_changed(old: &NamedView<'_>, new: &NamedView<'_>) -> Vec<BackendChange> {
    let pairs = old.backends.iter().filter_map(|(name, before)| {
        let after = new.backends.get(name)?;
        backend_change(name, before, after)
    });
    pairs.collect()
}

fn backend_change(
    name: &BackendName<'_>,
    before: &BackendEntry,
    after: &BackendEntry,
) -> Option<BackendChange> {
    let change = BackendChange {
        service: name.service.to_owned(),
        backend: name.backend.to_owned(),
        phase: ValueChange::between(&before.phase, &after.phase),
        weight: ValueChange::between(&before.weight, &after.weight),
        slots: ValueChange::between(&before.slots, &after.slots),
        connections: ValueChange::between(&before.connections, &after.connections),
        changes_domain: before.domain != after.domain,
    };
    let changed = change.phase.is_some()
        || change.weight.is_some()
        || change.slots.is_some()
        || change.connections.is_some()
        || change.changes_domain;
    changed.then_some(change)
}

fn shares_changed(old: &NamedView<'_>, new: &NamedView<'_>) -> Vec<ServiceShares> {
    let before = old.shares();
    let after = new.shares();
    let mut names: Vec<_> = before.keys().chain(after.keys()).copied().collect();
    names.sort();
    names.dedup();
    let mut services: Vec<ServiceShares> = Vec::new();
    for name in names {
        let old = before.get(&name).copied().unwrap_or_default();
        let new = after.get(&name).copied().unwrap_or_default();
        let Some(share) = ValueChange::between(&old, &new) else {
            continue;
        };
        let backend = name.backend.to_owned();
        let change = ShareChange { backend, share };
        match services.last_mut() {
            Some(last) if last.service == name.service => last.backends.push(change),
            _ => services.push(ServiceShares {
                service: name.service.to_owned(),
                backends: vec![change],
            }),
        }
    }
    services
}
