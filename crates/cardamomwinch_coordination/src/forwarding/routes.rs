//! The routes: which services the flows to each address go to. Keeps enough of earlier
//! versions to send only differences to peers.

use std::collections;
use std::net;
use std::time;

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{
    ConfigurationVersion, FlowHash, RegionId, RoutePriority, ServiceId, SortedVector, Weight,
};
use serde::{Deserialize, Serialize};

use crate::forwarding::cold_starts::ColdStart;
use crate::routing::rendezvous;

/// The maximum number of dropped addresses that are kept, so that flows of dropped routes
/// are reset. A burst of changes drops fewer.
const DROPPED_LIMIT: usize = 4_096;
/// The number of earlier versions from which a difference can be made: those of some minutes
/// of a burst of changes. A host that is further behind receives all routes.
const PAST_VERSIONS_LIMIT: usize = 256;
/// Makes the choice of a service independent of the choice of a server.
const SERVICE_SALT: u64 = 0x5e1e_c7ed;

/// A service that receives a share of the new flows of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its share, relative to the other targets.
    pub weight: Weight,
}

/// The route of one address.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteEntry {
    /// The name that operators gave the route.
    pub name: String,
    /// The services that receive its flows.
    pub targets: Vec<RouteTarget>,
    /// Whether its requests may run twice, so that a caller whose flow was
    /// reset sends them again.
    pub idempotent: bool,
    /// How fast its requests should be answered; zero if that is unknown.
    pub latency_goal: time::Duration,
    /// The regions whose servers may take its flows; if empty, all may.
    pub regions: Vec<RegionId>,
    /// How urgent its requests are; `None`, which is less urgent than any priority, if the
    /// configuration does not say so.
    pub priority: Option<RoutePriority>,
    /// How long its callers wait for an answer; zero if that is unknown.
    pub timeout: time::Duration,
}

impl RouteEntry {
    /// The service for the flow with the hash `hash`. All hosts choose the same one, so that
    /// copies of an opening that reach different hosts stay on one service.
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

    /// Whether `service` is a target of this route.
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
    /// How servers of the services are treated after their start.
    pub cold_starts: Vec<ColdStart>,
    /// How long a flow may be idle before its state is removed.
    pub idle_timeout: time::Duration,
}

/// The difference from an earlier version of all routes to a later one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDifference {
    /// The later version.
    pub version: ConfigurationVersion,
    /// Whether `changed` contains all routes, so that the difference applies to any earlier
    /// version.
    pub all: bool,
    /// Routes that are new or changed.
    pub changed: Vec<(net::SocketAddr, RouteEntry)>,
    /// Addresses whose routes were dropped.
    pub dropped: Vec<net::SocketAddr>,
    /// How servers are treated after their start, for all services; `None` if unchanged.
    pub cold_starts: Option<Vec<ColdStart>>,
    /// How long a flow may be idle before its state is removed.
    pub idle_timeout: time::Duration,
}

/// A route, and the version that last changed it.
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
    /// Versions that were in force on this host, in ascending order. A difference can be
    /// made only from one of these: from another version, a change that was undone before
    /// the next version in this list would be missing from it.
    past_versions: collections::VecDeque<ConfigurationVersion>,
    /// How servers are treated after their start, by service, and the version that last
    /// changed this.
    cold_starts: SortedVector<ServiceId, ColdStart>,
    cold_starts_since: ConfigurationVersion,
    /// The priorities of the routes to each service, in ascending order and without
    /// duplicates. Routes without a priority, and targets that get no flows, do not count.
    priorities: SortedVector<ServiceId, Vec<RoutePriority>>,
    idle_timeout: time::Duration,
}

impl RouteTable {
    /// Puts `document` in force if it is newer than the version in force, and returns
    /// whether it is. The version never decreases, whatever order documents come in.
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

    /// Applies `difference` to the version in force, which must be the earlier version that
    /// it was made from or a later one. Returns whether its version is newer.
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
            self.cold_starts_since = version;
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
        self.limit_dropped();
        self.version = version;
        self.idle_timeout = idle_timeout;
        self.collect_priorities();
        if self.past_versions.len() >= PAST_VERSIONS_LIMIT {
            self.past_versions.pop_front();
        }
        self.past_versions.push_back(version);
    }

    fn collect_priorities(&mut self) {
        let mut pairs = Vec::new();
        for entry in self.routes.values().map(|route| &route.entry) {
            let Some(priority) = entry.priority else {
                continue;
            };
            let targets = entry.targets.iter();
            let targets = targets.filter(|target| target.weight != Weight::ZERO);
            pairs.extend(targets.map(|target| (target.service, priority)));
        }
        pairs.sort_unstable();
        pairs.dedup();
        let groups = pairs.chunk_by(|left, right| left.0 == right.0);
        let groups = groups.map(|group| {
            (
                group[0].0,
                group.iter().map(|pair| pair.1).collect::<Vec<_>>(),
            )
        });
        self.priorities = groups.collect();
    }

    /// The difference from version `earlier` to the version in force; `None` if `earlier` is
    /// not earlier.
    pub fn difference(&self, earlier: ConfigurationVersion) -> Option<RouteDifference> {
        if earlier >= self.version {
            return None;
        }
        let all = !self.past_versions.contains(&earlier);
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
            cold_starts: (all || self.cold_starts_since > earlier)
                .then(|| self.cold_starts.values().copied().collect()),
            idle_timeout: self.idle_timeout,
        })
    }

    fn limit_dropped(&mut self) {
        let excess = self.dropped.len().saturating_sub(DROPPED_LIMIT);
        if excess == 0 {
            return;
        }
        let mut versions: Vec<_> = self.dropped.values().copied().collect();
        versions.sort_unstable();
        let oldest_kept = versions[excess];
        self.past_versions.retain(|version| *version >= oldest_kept);
        self.dropped.retain(|_, version| *version >= oldest_kept);
    }

    /// The version in force; zero before the first one.
    pub const fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// The route of `address`.
    pub fn find(&self, address: &net::SocketAddr) -> Option<&RouteEntry> {
        self.routes.get(address).map(|route| &route.entry)
    }

    /// The priorities of the routes that lead to `service`, in ascending order and without
    /// duplicates. Routes without a priority do not count.
    pub fn priorities(&self, service: ServiceId) -> &[RoutePriority] {
        self.priorities.get(&service).map_or(&[], Vec::as_slice)
    }

    /// How servers of `service` are treated after their start, if the configuration says so.
    pub fn cold_start(&self, service: ServiceId) -> Option<&ColdStart> {
        self.cold_starts.get(&service)
    }

    /// The version that dropped the route of `address`, if one did and is still kept.
    pub fn dropped(&self, address: &net::SocketAddr) -> Option<ConfigurationVersion> {
        self.dropped.get(address).copied()
    }

    /// The number of routes in force.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether no route is in force.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// How long a flow may be idle before its state is removed.
    pub const fn idle_timeout(&self) -> time::Duration {
        self.idle_timeout
    }
}

/// Derives the number that a choice among servers uses from `hash`, independent of the
/// choice of a service.
pub const fn server_subject(hash: FlowHash) -> u64 {
    flow::mix(hash.get())
}
