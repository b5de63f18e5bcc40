//! Admission control: which requests are refused first while a service has room for too few.
//!
//! The most urgent requests are never refused in favour of others. The others share what is
//! left, the more urgent ones first, and none of them less than a floor. A refused caller is
//! admitted more easily each time it returns.
//!
//! - [`share_control`] measures arrivals and sets the admitted shares of the priorities.
//! - [`spreading`] divides the room among the priorities.
//! - [`domain_waits`] is what is known of the domains that may take a flow.
//! - [`returning_callers`] counts how often callers were refused.
//! - [`refused_flows`] lets copies of a refused opening get the same answer.
//! - [`urgent_service`] measures the share of urgent requests that is served.

pub mod domain_waits;
pub mod refused_flows;
pub mod returning_callers;
pub mod share_control;
pub mod spreading;
pub mod urgent_service;

use std::fmt;
use std::time;

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{
    FlowHash, FlowKey, RoutePriority, ServiceId, SortedVector, Timestamp,
};

use crate::load::admission::domain_waits::DomainWaits;
use crate::load::admission::refused_flows::RefusedFlows;
use crate::load::admission::returning_callers::{CallerKey, ReturningCallers};
use crate::load::admission::share_control::ShareControl;
use crate::load::admission::urgent_service::UrgentService;
use crate::load::domain_wait::DomainWait;

/// The number of different priorities that are needed for a choice between them.
const MIN_PRIORITIES: usize = 2;
/// Makes the decision to refuse a flow independent of the choice of its server.
const ADMISSION_SALT: u64 = 0xad31_0bf5;
/// The shares of a service that no opening asked for in this time are removed.
const SERVICE_IDLE_TIME: time::Duration = time::Duration::from_secs(10);
/// The shortest time after which a refused caller should return: one period of the shares.
const MIN_RETRY_AFTER: time::Duration = share_control::PERIOD;

/// An opening that is about to be sent to a server.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// The flow.
    pub flow: &'a FlowKey,
    /// The hash of the flow, the same on all hosts.
    pub hash: FlowHash,
    /// The service that it goes to.
    pub service: ServiceId,
    /// Identifies the set of regions that may take the flow. Flows that may go elsewhere have
    /// other waits, and shares of their own.
    pub reach: u64,
    /// The priority of its route; `None` if the route has none.
    pub priority: Option<RoutePriority>,
    /// The priorities of all routes to the service, in ascending order and without
    /// duplicates.
    pub priorities: &'a [RoutePriority],
    /// How fast the request should be answered; zero if that is unknown.
    pub latency_goal: time::Duration,
    /// How long its caller waits for the answer; zero if that is unknown.
    pub timeout: time::Duration,
    /// The domains that may take the flow.
    pub waits: DomainWaits,
}

/// The position of `priority` among the sorted `priorities` of a service; without one, the last.
fn class_of(priority: Option<RoutePriority>, priorities: &[RoutePriority]) -> usize {
    priority.map_or(priorities.len(), |priority| {
        priorities.partition_point(|one| *one < priority)
    })
}

impl AdmissionRequest<'_> {
    /// The position of its priority among those of the service; zero is the most urgent. A
    /// request without a priority comes last.
    fn class(&self) -> usize {
        class_of(self.priority, self.priorities)
    }

    /// The IP address of the caller and the service address.
    const fn caller(&self) -> CallerKey {
        (self.flow.caller.ip(), self.flow.service)
    }

    fn exceeds_timeout(&self) -> bool {
        let shortest = self.waits.shortest_of_all();
        !self.timeout.is_zero() && shortest.is_some_and(|wait| wait > self.timeout)
    }
}

/// Why an opening was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// There was too little room, and more urgent requests went first.
    Share,
    /// The request would have waited longer than its caller does.
    Timeout,
}

impl RefusalReason {
    /// Every reason.
    pub const ALL: [Self; 2] = [Self::Share, Self::Timeout];

    /// The name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Share => "share",
            Self::Timeout => "timeout",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// The decision to refuse an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Why it was refused.
    pub reason: RefusalReason,
    /// The priority of its route; `None` if the route has none.
    pub priority: Option<RoutePriority>,
    /// The probability with which it would have been admitted, in thousandths.
    pub share_permille: u32,
    /// The wait and the refused answers that were expected in the domains that may take it.
    pub expected: DomainWait,
    /// The time after which the caller should try again.
    pub retry_after: time::Duration,
}

/// The flows that have the same shares: those to one service that may go to the same regions.
type ShareKey = (ServiceId, u64);

/// Openings of one priority since the start of the process. A request without a priority
/// counts under `None`.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionCount {
    /// Openings that arrived at services with different priorities.
    pub arrived: u64,
    /// Openings that were refused, in the order of [`RefusalReason::ALL`].
    pub refused: [u64; RefusalReason::ALL.len()],
}

/// Decides which openings of one host are refused.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    services: SortedVector<ShareKey, ShareControl>,
    callers: ReturningCallers,
    refused: RefusedFlows,
    counts: SortedVector<Option<RoutePriority>, AdmissionCount>,
    urgent: UrgentService,
    /// Until then nothing is refused, because openings were sent that are not watched.
    admits_all_until: Timestamp,
}

impl AdmissionControl {
    /// Whether routes of these priorities leave a choice which requests go first.
    pub const fn acts_for(priorities: &[RoutePriority]) -> bool {
        priorities.len() >= MIN_PRIORITIES
    }

    /// The earlier refusal of `flow`, if its opening was refused a short time ago. Each copy
    /// must get the same answer, because the caller may not have received the first one.
    pub fn earlier_refusal(
        &self,
        flow: &FlowKey,
        hash: FlowHash,
        now: Timestamp,
    ) -> Option<AdmissionRefusal> {
        self.refused.get(flow, hash, now)
    }

    /// Decides about the first opening of a flow, which no server has received yet.
    ///
    /// # Errors
    ///
    /// Fails with the refusal if the opening is refused.
    pub fn decide(
        &mut self,
        request: &AdmissionRequest<'_>,
        now: Timestamp,
    ) -> Result<(), AdmissionRefusal> {
        if !Self::acts_for(request.priorities) {
            return Ok(());
        }
        let returns = self.callers.returns(&request.caller(), now);
        let class = request.class();
        let key = (request.service, request.reach);
        let control = self
            .services
            .get_or_insert_with(key, || ShareControl::new(now));
        control.advance(request, class, now);
        let share = control.note_arrival(class, returns);
        let is_urgent = control.is_most_urgent(class);
        let hash = flow::mix(request.hash.get() ^ ADMISSION_SALT);
        let reason = if request.exceeds_timeout() {
            Some(RefusalReason::Timeout)
        } else if share_control::admits(share, hash) {
            None
        } else {
            Some(RefusalReason::Share)
        };
        let reason = reason.filter(|_| now >= self.admits_all_until && self.refused.has_space());
        let count = self
            .counts
            .get_or_insert_with(request.priority, AdmissionCount::default);
        count.arrived += 1;
        let Some(reason) = reason else {
            if let Some(control) = self.services.get_mut(&key) {
                control.note_admitted();
            }
            self.callers.note_admitted(&request.caller());
            return Ok(());
        };
        count.refused[reason as usize] += 1;
        if is_urgent {
            self.urgent.note_failed();
        }
        let wait = request.waits.shortest().unwrap_or_default();
        let refusal = AdmissionRefusal {
            reason,
            priority: request.priority,
            share_permille: (share * 1_000.0) as u32,
            expected: request.waits.expected().unwrap_or_default(),
            retry_after: wait.max(MIN_RETRY_AFTER),
        };
        self.callers.note_refused(request.caller(), now);
        self.refused.note(request.flow, request.hash, refusal, now);
        Err(refusal)
    }

    /// Records that a caller sends a request on a flow to `service` with the given `reach`.
    pub fn note_request(&mut self, service: ServiceId, reach: u64) {
        if let Some(control) = self.services.get_mut(&(service, reach)) {
            control.note_request();
        }
    }

    /// Whether nobody asks for more urgent requests than those of `priority`, among the
    /// `priorities` of the service.
    pub fn is_most_urgent(
        &self,
        service: ServiceId,
        reach: u64,
        priority: Option<RoutePriority>,
        priorities: &[RoutePriority],
    ) -> bool {
        let control = self.services.get(&(service, reach));
        control.is_some_and(|control| control.is_most_urgent(class_of(priority, priorities)))
    }

    /// Records an answer on such a flow. `urgent` is whether nobody asks for more urgent
    /// requests of the service.
    pub fn note_answer(&mut self, service: ServiceId, reach: u64, refused: bool, urgent: bool) {
        if let Some(control) = self
            .services
            .get_mut(&(service, reach))
            .filter(|_| !refused)
        {
            control.note_answered();
        }
        match (urgent, refused) {
            (true, true) => self.urgent.note_failed(),
            (true, false) => self.urgent.note_served(),
            (false, _) => {}
        }
    }

    /// Records that an opening was sent to a server but not watched, because the table of
    /// flows is full. A copy of it would look like a new opening, and must not be refused.
    pub fn note_unwatched(&mut self, now: Timestamp) {
        self.admits_all_until = now.after(refused_flows::COPY_TIME);
    }

    /// Updates the measured shares and removes what is no longer needed. Must be called about
    /// once a second.
    pub fn sweep(&mut self, now: Timestamp) {
        self.urgent.update(now);
        self.callers.sweep(now);
        self.refused.sweep(now);
        self.services
            .retain(|_, control| now.since(control.updated_at()) <= SERVICE_IDLE_TIME);
    }

    /// The openings of each priority since the start of the process.
    pub fn counts(&self) -> impl Iterator<Item = (Option<RoutePriority>, AdmissionCount)> {
        self.counts
            .iter()
            .map(|(priority, count)| (*priority, *count))
    }

    /// The share of recent requests with the highest priority of their services that was
    /// served, between zero and one; `None` without any.
    pub fn urgent_served_share(&self) -> Option<f64> {
        self.urgent.share()
    }

    /// The part of the arrivals of each class that is admitted, by service, between zero and
    /// one. The classes are in the order of the priorities of the service; the last one is
    /// that of routes without a priority.
    pub fn admitted_shares(&self) -> impl Iterator<Item = (ServiceId, &[f64])> {
        self.services
            .iter()
            .map(|((service, _), control)| (*service, control.admitted_shares()))
    }
}
