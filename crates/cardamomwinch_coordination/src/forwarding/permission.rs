//! Which servers may take a new flow, by the will of operators.

use cardamomwinch_state::prelude::{DomainId, RegionId, ServiceId, Timestamp};

use crate::forwarding::cold_starts::{ColdLimiter, ColdStart};
use crate::forwarding::directory::{ServerPhase, ServerRecord};
use crate::forwarding::view::ForwardingView;

/// What limits the choice of a server for one flow.
///
/// Three rules that must hold whatever the load is: nothing new goes to an evacuated
/// failure domain, nothing leaves the regions that a route is bound to, and a server
/// that has just started gets no more than it bears.
#[derive(Debug, Clone, Copy)]
pub struct FlowPermission<'a> {
    view: &'a ForwardingView,
    allowed: &'a [RegionId],
    start: Option<&'a ColdStart>,
    limiter: &'a ColdLimiter,
    now: Timestamp,
}

impl<'a> FlowPermission<'a> {
    /// What holds at `now` for a flow to `service` that is bound to the `allowed`
    /// regions, or to none where there are none.
    pub fn new(
        view: &'a ForwardingView,
        service: ServiceId,
        allowed: &'a [RegionId],
        limiter: &'a ColdLimiter,
        now: Timestamp,
    ) -> Self {
        Self {
            view,
            allowed,
            start: view.routes.cold_start(service),
            limiter,
            now,
        }
    }

    /// Whether servers of `domain` may take the flow.
    pub fn admits_domain(&self, domain: DomainId) -> bool {
        let in_region = || {
            let region = self.view.regions.of(domain);
            region.is_some_and(|region| self.allowed.contains(&region))
        };
        let evacuations = self.view.directory.evacuations();
        (self.allowed.is_empty() || in_region()) && !evacuations.is_evacuated(domain)
    }

    /// Whether `server` may take the flow now.
    pub fn admits(&self, server: &ServerRecord) -> bool {
        self.admits_domain(server.domain) && self.spares_cold(server)
    }

    /// Whether `server` works slowly because it has just started.
    pub fn is_cold(&self, server: &ServerRecord) -> bool {
        let lasting = self.start.map(|start| start.lasting).unwrap_or_default();
        self.view.directory.cold_until(server, lasting) > self.now
    }

    /// Whether `server` gets a bounded number of new flows at present.
    pub fn is_bounded(&self, server: &ServerRecord) -> bool {
        self.bound().is_some() && self.is_cold(server)
    }

    fn bound(&self) -> Option<&ColdStart> {
        self.start.filter(|start| start.openings.get() > 0)
    }

    /// Whether `server` is warm, or has not had what this host may give it.
    fn spares_cold(&self, server: &ServerRecord) -> bool {
        let Some(start) = self.bound() else {
            return true;
        };
        if !self.is_cold(server) {
            return true;
        }
        let is_near = self.view.domain == Some(server.domain);
        let share = self.view.cold_share.as_ref().filter(|_| is_near);
        share.is_some_and(|share| {
            let limiter = self.limiter;
            limiter.allows(server.id, start.openings, share, self.now)
        })
    }

    /// Whether servers of `service` take flows, but none of them may take this one: to
    /// wait for another copy would be in vain.
    pub fn forbids_all(&self, service: ServiceId) -> bool {
        let servers = self.view.directory.of_service(service);
        let mut active = servers.filter(|server| server.phase == ServerPhase::Active);
        let Some(first) = active.next() else {
            return false;
        };
        !self.admits_domain(first.domain) && !active.any(|one| self.admits_domain(one.domain))
    }
}
