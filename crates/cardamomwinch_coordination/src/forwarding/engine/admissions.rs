//! Refuses openings while a service has room for too few requests, before a server is chosen.

use cardamomwinch_state::prelude::{DomainId, RegionId, ServiceId, Timestamp};

use crate::forwarding::engine::{ForwardingEngine, ForwardingSink, PacketContext};
use crate::forwarding::record::ForwardingOutcome;
use crate::forwarding::routes::RouteEntry;
use crate::load::admission::domain_waits::{DomainWaits, MeasuredWait};
use crate::load::admission::{AdmissionControl, AdmissionRefusal, AdmissionRequest};

/// Identifies a set of regions.
fn reach_of(regions: &[RegionId]) -> u64 {
    regions
        .iter()
        .fold(0, |reach, region| reach ^ region.get().rotate_left(7))
}

impl ForwardingEngine {
    /// Which openings were admitted and refused.
    pub const fn admission(&self) -> &AdmissionControl {
        &self.admission
    }

    /// Decides whether the current opening, which this host has sent to no server, is
    /// admitted. Refuses it if not. Returns whether it is admitted.
    pub(super) fn admit<S: ForwardingSink>(
        &mut self,
        context: &PacketContext<'_>,
        service: ServiceId,
        copy: u32,
        sink: &mut S,
    ) -> bool {
        let Some(route) = context.route.filter(|_| self.load_policy.priorities) else {
            return true;
        };
        let flow = &context.packet.flow;
        let earlier = self
            .admission
            .earlier_refusal(flow, context.hash, context.now);
        let refusal = match earlier {
            Some(refusal) => Err(refusal),
            // Another host, or this one before a restart, may have sent the first copy to a
            // server, so that a reset would be wrong.
            None if copy > 0 => Ok(()),
            None => self.decide_admission(context, route, service),
        };
        let Err(refusal) = refusal else {
            return true;
        };
        sink.reset();
        context.record_refusal(refusal, copy, sink);
        false
    }

    fn decide_admission(
        &mut self,
        context: &PacketContext<'_>,
        route: &RouteEntry,
        service: ServiceId,
    ) -> Result<(), AdmissionRefusal> {
        let priorities = context.view.routes.priorities(service);
        if !AdmissionControl::acts_for(priorities) {
            return Ok(());
        }
        let request = AdmissionRequest {
            flow: &context.packet.flow,
            hash: context.hash,
            service,
            reach: reach_of(&route.regions),
            priority: route.priority,
            priorities,
            latency_goal: route.latency_goal,
            timeout: route.timeout,
            waits: self.domain_waits(context, route, service),
        };
        self.admission.decide(&request, context.now)
    }

    /// What is measured of the domains that may take the current flow.
    fn domain_waits(
        &self,
        context: &PacketContext<'_>,
        route: &RouteEntry,
        service: ServiceId,
    ) -> DomainWaits {
        let permission = self.permission(context, service);
        let domains = context.view.directory.active_domains(service).into_iter();
        let permitted = domains.filter(|domain| permission.admits_domain(*domain));
        let waits: Vec<_> = permitted
            .map(|domain| self.measured_wait(service, domain, context.now))
            .collect();
        DomainWaits::of(&waits, route.latency_goal)
    }

    fn measured_wait(
        &self,
        service: ServiceId,
        domain: DomainId,
        now: Timestamp,
    ) -> Option<MeasuredWait> {
        let measurement = self.queue_loads.measurement(service, domain, now)?;
        Some(MeasuredWait {
            wait: self.queue_loads.wait(service, domain, now)?,
            answers: measurement.answers,
        })
    }

    /// Records that the caller of the current flow sends a request to `service`.
    pub(super) fn note_admitted_request(
        &mut self,
        context: &PacketContext<'_>,
        service: ServiceId,
    ) {
        if let Some(route) = context.route.filter(|_| self.load_policy.priorities) {
            self.admission
                .note_request(service, reach_of(&route.regions));
        }
    }

    /// Records an answer on the current flow to `service`, which its server `refused` or not.
    pub(super) fn note_admitted_answer(
        &mut self,
        context: &PacketContext<'_>,
        service: ServiceId,
        refused: bool,
    ) {
        let Some(route) = context.route.filter(|_| self.load_policy.priorities) else {
            return;
        };
        let priorities = context.view.routes.priorities(service);
        let reach = reach_of(&route.regions);
        let admission = &self.admission;
        let urgent = AdmissionControl::acts_for(priorities)
            && admission.is_most_urgent(service, reach, route.priority, priorities);
        self.admission.note_answer(service, reach, refused, urgent);
    }
}

impl PacketContext<'_> {
    fn record_refusal<S: ForwardingSink>(
        &self,
        refusal: AdmissionRefusal,
        copy: u32,
        sink: &mut S,
    ) {
        let mut record = self.make_record(ForwardingOutcome::AdmissionReset, None, copy, 0);
        record.refusal = Some(refusal);
        sink.record(&record);
    }
}
