//! The data that forwarding decides by: published by the control thread, never changed.

use std::sync;
use std::time;

use cardamomwinch_state::prelude::{DomainId, Timestamp};

use crate::forwarding::cold_starts::ColdShare;
use crate::forwarding::directory::ServerDirectory;
use crate::forwarding::regions::DomainRegions;
use crate::forwarding::routes::RouteTable;
use crate::forwarding::server_reports::ReportTable;

/// Up to this age of the view, a server or route that is missing from it counts as
/// nonexistent. While the store can be reached, watches and keep-alive probes confirm the
/// data more often than this.
pub const MAX_FRESH_AGE: time::Duration = time::Duration::from_millis(4_500);
/// For this long after an outage of the store, missing entries show nothing. Entries of
/// servers that are alive are back within two seconds.
pub const SETTLING_TIME: time::Duration = time::Duration::from_secs(3);

/// The routes, servers and reports that this host knows at one time.
#[derive(Debug, Clone, Default)]
pub struct ForwardingView {
    /// The failure domain of this host.
    pub domain: Option<DomainId>,
    /// The regions of all failure domains.
    pub regions: sync::Arc<DomainRegions>,
    /// The share of this host in the new flows of cold servers; `None` until it knows the
    /// hosts of its domain.
    pub cold_share: Option<ColdShare>,
    /// The routes in force.
    pub routes: sync::Arc<RouteTable>,
    /// The known servers.
    pub directory: sync::Arc<ServerDirectory>,
    /// What hosts of the own domain have reported about servers.
    pub reports: sync::Arc<ReportTable>,
    /// The time as of which this view was current with the store, by an answer of the store
    /// or of a peer.
    pub as_of: Timestamp,
    /// When the store last failed to answer or refused a call.
    pub store_failed_at: Option<Timestamp>,
}

impl ForwardingView {
    /// Whether routes and servers are known at all.
    pub fn is_usable(&self) -> bool {
        !self.routes.is_empty() && !self.directory.is_empty()
    }

    /// Whether routes and servers are the same as in `other`.
    pub fn has_same_data(&self, other: &Self) -> bool {
        sync::Arc::ptr_eq(&self.routes, &other.routes)
            && sync::Arc::ptr_eq(&self.directory, &other.directory)
    }

    /// How long ago this view was last current with the store.
    pub fn age(&self, now: Timestamp) -> time::Duration {
        now.since(self.as_of)
    }

    /// Whether a server or route that is missing from this view counts as nonexistent.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        let settled = self
            .store_failed_at
            .is_none_or(|at| now.since(at) >= SETTLING_TIME);
        settled && self.age(now) <= MAX_FRESH_AGE
    }
}
