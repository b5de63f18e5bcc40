//! Which services the addresses lead to, version by version.

use std::collections;
use std::net;
use std::time;

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{
    ConfigurationVersion, FlowHash, RegionId, ServiceId, SortedVector, Weight,
};
use serde::{Deserialize, Serialize};

use crate::forwarding::cold_starts::ColdStart;
use crate::routing::rendezvous;

/// Addresses that led somewhere lately are remembered up to this number, so
/// that a caller of a dropped route is told so. One storm of changes drops fewer.
const DROPPED_LIMIT: usize = 4_096;
/// So many versions are remembered as having been in force: those of some minutes
/// of a storm of changes. A host that is further behind is told all routes.
const HELD_LIMIT: usize = 256;
/// Makes the choice of a service independent of the choice of a server.
const SERVICE_SALT: u64 = 0x5e1e_c7ed;

/// A service that takes a share of the new flows of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its share, relative to the other targets.
    pub weight: Weight,
}

/// Where flows to one address go.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteEntry {
    /// The name that operators gave the route.
    pub name: String,
    /// The services that take its flows.
    pub targets: Vec<RouteTarget>,
    /// Whether its requests may run twice, so that a caller whose flow was
    /// reset sends them again.
    pub idempotent: bool,
    /// How fast its requests should be answered; zero where that is unknown.
    pub latency_goal: time::Duration,
    /// The regions whose servers may take its flows; any may where there is none.
    pub regions: Vec<RegionId>,
}

impl RouteEntry {
    /// The service for the flow with the hash `hash`. All hosts choose alike, so
    /// that copies of an opening that meet different hosts stay on one service.
    pub fn service_for(&self, hash: FlowHash) -> Option<ServiceId> {
        let subject = hash.mixed_with(SERVICE_SALT);
        let cost = |target: &RouteTarget| {
            rendezvous::weighted_cost(target.service.get(), subject, target.weight)
        };
        let positive = self.targets.iter().filter(|t| t.weight != Weight::ZERO);
        positive
            .min_by(|left, right| cost(left).total_cmp(&cost(right)))
            .map(|target| target.service)
    }

    /// Whether flows of this route may be on `service`.
    pub fn leads_to(&self, service: ServiceId) -> bool {
        self.targets.iter().any(|target| target.service == service)
    }
}

/// One version of all routes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDocument {
    /// The version.
    pub version: ConfigurationVersion,
    /// The route of each address.
    pub routes: Vec<(net::SocketAddr, RouteEntry)>,
    /// How servers of the services behave after their start.
    pub cold_starts: Vec<ColdStart>,
    /// How long a flow may rest before it may be forgotten.
    pub idle_timeout: time::Duration,
}

/// What turns an earlier version of all routes into a later one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDifference {
    /// The later version.
    pub version: ConfigurationVersion,
    /// Whether `changed` are all routes, so that any earlier version will do.
    pub all: bool,
    /// Routes that are new or other than before.
    pub changed: Vec<(net::SocketAddr, RouteEntry)>,
    /// Addresses whose routes were dropped.
    pub dropped: Vec<net::SocketAddr>,
    /// How servers behave after their start, for all services, where that is other than
    /// before.
    pub cold_starts: Option<Vec<ColdStart>>,
    /// How long a flow may rest before it may be forgotten.
    pub idle_timeout: time::Duration,
}

/// A route, and the version that made it what it is.
#[derive(Debug, Clone)]
struct VersionedRoute {
    entry: RouteEntry,
    since: ConfigurationVersion,
}

/// The routes in force.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    version: ConfigurationVersion,
    routes: SortedVector<net::SocketAddr, VersionedRoute>,
    dropped: SortedVector<net::SocketAddr, ConfigurationVersion>,
    /// Versions that were in force here, in rising order. A difference can be told
    /// from these only: what changed and changed back between two of them shows
    /// in none.
    held: collections::VecDeque<ConfigurationVersion>,
    /// How servers behave after their start, in the order of services, and the version
    /// that made it so.
    cold_starts: SortedVector<ServiceId, ColdStart>,
    cold_since: ConfigurationVersion,
    idle_timeout: time::Duration,
}

impl RouteTable {
    /// Puts `document` in force where it is newer than what is in force, and
    /// returns whether it was. Versions never fall, whoever brings them in
    /// whatever order.
    pub fn adopt(&mut self, document: RouteDocument) -> bool {
        if document.version <= self.version {
            return false;
        }
        let version = document.version;
        let entries = document.routes.into_iter();
        let routes: SortedVector<_, _> = entries
            .map(|(address, entry)| (address, self.versioned(address, entry, version)))
            .collect();
        let dropped: Vec<_> = self
            .routes
            .keys()
            .filter(|address| !routes.contains_key(address))
            .copied()
            .collect();
        self.routes = routes;
        self.set_cold_starts(document.cold_starts, version);
        self.finish(version, dropped, document.idle_timeout);
        true
    }

    /// Puts in force what `difference` makes of the version in force, which must
    /// be the one that it was made for or a later one. Returns whether it is newer.
    pub fn apply(&mut self, difference: RouteDifference) -> bool {
        let version = difference.version;
        if version <= self.version {
            return false;
        }
        if difference.all {
            return self.adopt(RouteDocument {
                version,
                routes: difference.changed,
                cold_starts: difference.cold_starts.unwrap_or_default(),
                idle_timeout: difference.idle_timeout,
            });
        }
        if let Some(cold_starts) = difference.cold_starts {
            self.set_cold_starts(cold_starts, version);
        }
        for (address, entry) in difference.changed {
            let route = self.versioned(address, entry, version);
            self.routes.insert(address, route);
        }
        for address in &difference.dropped {
            self.routes.remove(address);
        }
        self.finish(version, difference.dropped, difference.idle_timeout);
        true
    }

    fn set_cold_starts(&mut self, cold_starts: Vec<ColdStart>, version: ConfigurationVersion) {
        let starts = cold_starts.into_iter();
        let starts: SortedVector<_, _> = starts.map(|start| (start.service, start)).collect();
        if starts != self.cold_starts {
            self.cold_starts = starts;
            self.cold_since = version;
        }
    }

    fn versioned(
        &self,
        address: net::SocketAddr,
        entry: RouteEntry,
        version: ConfigurationVersion,
    ) -> VersionedRoute {
        let earlier = self.routes.get(&address);
        let since = match earlier.filter(|earlier| earlier.entry == entry) {
            Some(earlier) => earlier.since,
            None => version,
        };
        VersionedRoute { entry, since }
    }

    fn finish(
        &mut self,
        version: ConfigurationVersion,
        dropped: Vec<net::SocketAddr>,
        idle_timeout: time::Duration,
    ) {
        for address in dropped {
            self.dropped.insert(address, version);
        }
        let routes = &self.routes;
        self.dropped
            .retain(|address, _| !routes.contains_key(address));
        self.bound_dropped();
        self.version = version;
        self.idle_timeout = idle_timeout;
        if self.held.len() >= HELD_LIMIT {
            self.held.pop_front();
        }
        self.held.push_back(version);
    }

    /// What turns version `earlier` into the one in force; `None` where it is not
    /// earlier.
    pub fn difference(&self, earlier: ConfigurationVersion) -> Option<RouteDifference> {
        if earlier >= self.version {
            return None;
        }
        let all = !self.held.contains(&earlier);
        let routes = self.routes.iter();
        let changed = routes.filter(|(_, route)| all || route.since > earlier);
        let dropped = self.dropped.iter().filter(|(_, since)| **since > earlier);
        Some(RouteDifference {
            version: self.version,
            all,
            changed: changed
                .map(|(address, route)| (*address, route.entry.clone()))
                .collect(),
            dropped: dropped.map(|(address, _)| *address).collect(),
            cold_starts: (all || self.cold_since > earlier)
                .then(|| self.cold_starts.values().copied().collect()),
            idle_timeout: self.idle_timeout,
        })
    }

    fn bound_dropped(&mut self) {
        let excess = self.dropped.len().saturating_sub(DROPPED_LIMIT);
        if excess == 0 {
            return;
        }
        let mut versions: Vec<_> = self.dropped.values().copied().collect();
        versions.sort_unstable();
        let oldest_kept = versions[excess];
        self.held.retain(|version| *version >= oldest_kept);
        self.dropped.retain(|_, version| *version >= oldest_kept);
    }

    /// The version in force; zero before the first.
    pub const fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// The route of `address`.
    pub fn find(&self, address: &net::SocketAddr) -> Option<&RouteEntry> {
        self.routes.get(address).map(|route| &route.entry)
    }

    /// How servers of `service` behave after their start, where the configuration says.
    pub fn cold_start(&self, service: ServiceId) -> Option<&ColdStart> {
        self.cold_starts.get(&service)
    }

    /// The version that dropped the route of `address`, if one did.
    pub fn dropped(&self, address: &net::SocketAddr) -> Option<ConfigurationVersion> {
        self.dropped.get(address).copied()
    }

    /// How many routes are in force.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether no route is in force.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// How long a flow may rest before it may be forgotten.
    pub const fn idle_timeout(&self) -> time::Duration {
        self.idle_timeout
    }
}

/// Spreads `hash` for a choice among servers, independent of the services.
pub const fn server_subject(hash: FlowHash) -> u64 {
    flow::mix(hash.get())
}
