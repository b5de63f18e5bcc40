//! Routes on the wire.

use std::net;
use std::time;

use cardamomwinch_coordination::forwarding::cold_starts::ColdStart;
use cardamomwinch_coordination::forwarding::routes::{RouteDifference, RouteEntry, RouteTarget};
use cardamomwinch_state::prelude::{ConfigurationVersion, RegionId, RoutePriority};
use serde::{Deserialize, Serialize};

use crate::peer_wire::kinds::{self, UnknownKindError};

/// The properties that routes to the same services share.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct WireRouteKind {
    targets: Vec<RouteTarget>,
    idempotent: bool,
    latency_goal: time::Duration,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    regions: Vec<RegionId>,
    /// Hosts of builds without admission by priority neither send nor read it; a route
    /// without it is treated like one whose configuration has no priority.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    priority: Option<RoutePriority>,
    /// Zero if the timeout is unknown; left out by the same builds.
    #[serde(default, skip_serializing_if = "is_zero")]
    timeout_ms: u64,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// A route: its address, its name, and the index of its kind.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct WireRoute(net::SocketAddr, String, usize);

/// The changes of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireRoutes {
    version: ConfigurationVersion,
    all: bool,
    kinds: Vec<WireRouteKind>,
    changed: Vec<WireRoute>,
    dropped: Vec<net::SocketAddr>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    cold_starts: Option<Vec<ColdStart>>,
    idle_timeout_ms: u64,
}

impl From<RouteDifference> for WireRoutes {
    fn from(difference: RouteDifference) -> Self {
        let mut kinds = Vec::new();
        let mut changed = Vec::with_capacity(difference.changed.len());
        for (address, entry) in difference.changed {
            let kind = WireRouteKind {
                targets: entry.targets,
                idempotent: entry.idempotent,
                latency_goal: entry.latency_goal,
                regions: entry.regions,
                priority: entry.priority,
                timeout_ms: entry.timeout.as_millis() as u64,
            };
            let index = kinds::index_of(&mut kinds, kind);
            changed.push(WireRoute(address, entry.name, index));
        }
        Self {
            version: difference.version,
            all: difference.all,
            kinds,
            changed,
            dropped: difference.dropped,
            cold_starts: difference.cold_starts,
            idle_timeout_ms: difference.idle_timeout.as_millis() as u64,
        }
    }
}

impl TryFrom<WireRoutes> for RouteDifference {
    type Error = UnknownKindError;

    fn try_from(routes: WireRoutes) -> Result<Self, Self::Error> {
        let mut changed = Vec::with_capacity(routes.changed.len());
        for WireRoute(address, name, index) in routes.changed {
            let kind = kinds::kind_at(&routes.kinds, index)?.clone();
            let entry = RouteEntry {
                name,
                targets: kind.targets,
                idempotent: kind.idempotent,
                latency_goal: kind.latency_goal,
                regions: kind.regions,
                priority: kind.priority,
                timeout: time::Duration::from_millis(kind.timeout_ms),
            };
            changed.push((address, entry));
        }
        Ok(Self {
            version: routes.version,
            all: routes.all,
            changed,
            dropped: routes.dropped,
            cold_starts: routes.cold_starts,
            idle_timeout: time::Duration::from_millis(routes.idle_timeout_ms),
        })
    }
}
