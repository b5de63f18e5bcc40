//! What forwarding decides against: published by the control thread, never changed.

use std::sync;
use std::time;

use cardamomwinch_state::prelude::{DomainId, Timestamp};

use crate::forwarding::cold_starts::ColdShare;
use crate::forwarding::directory::ServerDirectory;
use crate::forwarding::regions::DomainRegions;
use crate::forwarding::routes::RouteTable;
use crate::forwarding::server_reports::ReportTable;

/// Up to this age of the last word of the store or of a peer, what is missing is
/// taken as not there. Watches and keep-alive probes bring a word more often
/// than this while the store can be reached.
pub const FRESH_AGE: time::Duration = time::Duration::from_millis(4_500);
/// After the store was silent, entries of servers that live are back within two
/// seconds; for this long, what is missing says nothing.
pub const SETTLING_TIME: time::Duration = time::Duration::from_secs(3);

/// What is believed at one moment.
#[derive(Debug, Clone, Default)]
pub struct ForwardingView {
    /// The failure domain of this host.
    pub domain: Option<DomainId>,
    /// The regions of all failure domains.
    pub regions: sync::Arc<DomainRegions>,
    /// The part of this host in what cold servers get; `None` until it knows the hosts
    /// of its domain.
    pub cold_share: Option<ColdShare>,
    /// The routes in force.
    pub routes: sync::Arc<RouteTable>,
    /// The known servers.
    pub directory: sync::Arc<ServerDirectory>,
    /// What hosts of the own domain have seen of servers.
    pub reports: sync::Arc<ReportTable>,
    /// When the store, or a peer that had heard of it, said all of this last.
    pub heard_at: Timestamp,
    /// When the store was last found to be silent or refusing.
    pub silent_at: Option<Timestamp>,
}

impl ForwardingView {
    /// Whether routes and servers are known at all.
    pub fn is_usable(&self) -> bool {
        !self.routes.is_empty() && !self.directory.is_empty()
    }

    /// Whether routes and servers are those of `other`.
    pub fn holds_same(&self, other: &Self) -> bool {
        sync::Arc::ptr_eq(&self.routes, &other.routes)
            && sync::Arc::ptr_eq(&self.directory, &other.directory)
    }

    /// How old the last word is.
    pub fn age(&self, now: Timestamp) -> time::Duration {
        now.since(self.heard_at)
    }

    /// Whether what is missing from this view can be taken as not there.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        let settled = self
            .silent_at
            .is_none_or(|at| now.since(at) >= SETTLING_TIME);
        settled && self.age(now) <= FRESH_AGE
    }
}
