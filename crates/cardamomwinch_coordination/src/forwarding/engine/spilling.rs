//! Decides which new flows leave the failure domain of the host.

use std::time;

use cardamomwinch_state::prelude::{BackendId, DomainId, ServiceId, Timestamp};

use crate::forwarding::engine::{ForwardingEngine, PacketContext};
use crate::forwarding::permission::FlowPermission;
use crate::forwarding::view::ForwardingView;
use crate::load::domain_load::DomainLoads;
use crate::load::spill_shares::{SpillShares, SpillTarget};

/// Makes the decision to leave the domain independent of the choices of a service and a server.
const SPILL_SALT: u64 = 0x0ff1_0ad5;

impl ForwardingEngine {
    /// What this host has measured of the load of failure domains.
    pub const fn domain_loads(&self) -> &DomainLoads {
        &self.domain_loads
    }

    /// The shares of new flows that this host sends to other failure domains.
    pub const fn spill_shares(&self) -> &SpillShares {
        &self.spill_shares
    }

    /// Whether shares decide which flows of the route leave the domain. Without a latency goal,
    /// a wait cannot be judged.
    pub(super) fn spills_by_share(&self, context: &PacketContext<'_>) -> bool {
        let has_goal = |goal: time::Duration| !goal.is_zero();
        let route = context.route;
        self.load_policy.spill && route.is_some_and(|route| has_goal(route.latency_goal))
    }

    /// The other domain that the current new flow to `service` is sent to, if any.
    pub(super) fn choose_spill(
        &mut self,
        context: &PacketContext<'_>,
        service: ServiceId,
    ) -> Option<SpillTarget> {
        let route = context.route.filter(|_| self.spills_by_share(context))?;
        let own = context.view.domain?;
        let shares = &mut self.spill_shares;
        shares.note_opening(service, route.latency_goal, context.now);
        let (view, limiter) = (context.view, &self.cold_limiter);
        let permission = FlowPermission::new(view, service, &route.regions, limiter, context.now);
        let admits = |domain: DomainId| domain != own && permission.admits_domain(domain);
        shares.choose(service, context.hash.mixed_with(SPILL_SALT), admits)
    }

    /// Adjusts the shares to the current measurements.
    pub(super) fn update_spill(&mut self, now: Timestamp, view: &ForwardingView) {
        let Some(own) = view.domain.filter(|_| self.load_policy.spill) else {
            return;
        };
        let evacuations = view.directory.evacuations();
        let shares = &mut self.spill_shares;
        shares.update(own, &self.domain_loads, now, |service| {
            let mut domains = view.directory.active_domains(service);
            domains.retain(|domain| !evacuations.is_evacuated(*domain));
            domains
        });
    }

    /// Records that `server` did not confirm an opening, or did not answer a request in time.
    pub(super) fn note_failure(
        &mut self,
        server: BackendId,
        now: Timestamp,
        view: &ForwardingView,
    ) {
        if let Some(server) = view
            .directory
            .get(server)
            .filter(|_| self.measures_domains())
        {
            let (service, domain) = (server.service, server.domain);
            self.domain_loads.note_failures(service, domain, 1, now);
            if !self.is_slow(server, now) {
                self.queue_loads.note_failures(service, domain, 1, now);
            }
        }
    }
}
