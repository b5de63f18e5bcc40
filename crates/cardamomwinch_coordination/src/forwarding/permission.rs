//! Which servers may take a new flow by the settings and commands of operators.

use cardamomwinch_state::prelude::{DomainId, RegionId, ServiceId, Timestamp};

use crate::forwarding::cold_starts::{ColdLimiter, ColdStart};
use crate::forwarding::directory::{ServerPhase, ServerRecord};
use crate::forwarding::view::ForwardingView;

/// Which servers one flow may be sent to.
///
/// Three rules hold regardless of load: no new flow is sent to an evacuated failure domain,
/// no flow leaves the regions that its route allows, and a cold server receives new flows at
/// a limited rate.
#[derive(Debug, Clone, Copy)]
pub struct FlowPermission<'a> {
    view: &'a ForwardingView,
    allowed_regions: &'a [RegionId],
    cold_start: Option<&'a ColdStart>,
    limiter: &'a ColdLimiter,
    now: Timestamp,
}

impl<'a> FlowPermission<'a> {
    /// Creates the rules at `now` for a flow to `service` that may use servers in
    /// `allowed_regions`, or in any region if there are none.
    pub fn new(
        view: &'a ForwardingView,
        service: ServiceId,
        allowed_regions: &'a [RegionId],
        limiter: &'a ColdLimiter,
        now: Timestamp,
    ) -> Self {
        Self {
            view,
            allowed_regions,
            cold_start: view.routes.cold_start(service),
            limiter,
            now,
        }
    }

    /// Whether servers of `domain` may take the flow.
    pub fn admits_domain(&self, domain: DomainId) -> bool {
        let in_region = || {
            let region = self.view.regions.of(domain);
            region.is_some_and(|region| self.allowed_regions.contains(&region))
        };
        let evacuations = self.view.directory.evacuations();
        (self.allowed_regions.is_empty() || in_region()) && !evacuations.is_evacuated(domain)
    }

    /// Whether `server` may take the flow now.
    pub fn admits(&self, server: &ServerRecord) -> bool {
        self.admits_domain(server.domain) && self.is_within_cold_limit(server)
    }

    /// Whether `server` is still slow because it has just started.
    pub fn is_cold(&self, server: &ServerRecord) -> bool {
        let duration = self
            .cold_start
            .map(|start| start.duration)
            .unwrap_or_default();
        self.view.directory.cold_until(server, duration) > self.now
    }

    /// Whether the rate of new flows to `server` is currently limited.
    pub fn is_rate_limited(&self, server: &ServerRecord) -> bool {
        self.rate_limit().is_some() && self.is_cold(server)
    }

    fn rate_limit(&self) -> Option<&ColdStart> {
        self.cold_start.filter(|start| start.openings.get() > 0)
    }

    /// Whether `server` has no rate limit now, or this host may send it a flow within it.
    fn is_within_cold_limit(&self, server: &ServerRecord) -> bool {
        let Some(start) = self.rate_limit() else {
            return true;
        };
        if !self.is_cold(server) {
            return true;
        }
        let is_own_domain = self.view.domain == Some(server.domain);
        let share = self.view.cold_share.as_ref().filter(|_| is_own_domain);
        share.is_some_and(|share| {
            let limiter = self.limiter;
            limiter.allows(server.id, start.openings, share, self.now)
        })
    }

    /// Whether `service` has active servers, but none of them may take this flow, so that
    /// waiting for another copy is of no use.
    pub fn forbids_all(&self, service: ServiceId) -> bool {
        let servers = self.view.directory.of_service(service);
        let mut active = servers.filter(|server| server.phase == ServerPhase::Active);
        let Some(first) = active.next() else {
            return false;
        };
        !self.admits_domain(first.domain) && !active.any(|one| self.admits_domain(one.domain))
    }
}
