//! The share of new flows of each service that a host sends to other failure domains.
//!
//! A share follows the wait in the own domain. Queues accumulate what exceeds the capacity, so
//! that a share that depended on the wait alone would lag behind and oscillate. It is moved by
//! the change of the wait and, more slowly, by the wait beyond its limit. Steps are relative to the
//! part of the flows that stays, so that the effect on the queues does not depend on how far
//! the domain is overloaded, and all hosts of a domain together act as one would.

use std::time;

use cardamomwinch_state::prelude::{DomainId, ServiceId, SortedVector, Timestamp};

use crate::load::domain_load::{DomainLoads, DomainMeasurement};

/// Below this wait in the own domain, as a part of the latency goal, the shares of other
/// domains fall.
const CALM_PART: f64 = 0.1;
/// The advantage that another domain must have, in parts of the base response: requests there
/// are lost if the domains are cut off from each other.
const LEAVING_PRICE: f64 = 0.25;
/// This many answers without an advantage are added to the measured ones: service times vary,
/// so that a few answers of an equally busy domain may all be fast by chance.
const ADVANTAGE_PRIOR: f64 = 2.0;
/// The step in 100 ms per second of wait beyond the limit: a tenth of a second of wait moves
/// half of the flows in a second.
const WAIT_GAIN: f64 = 0.6;
/// The step per second by which the wait changes: a rise of a tenth of a second moves a
/// quarter of the flows at once.
const CHANGE_GAIN: f64 = 2.5;
/// The largest step. Two in a row halve the flows that stay, which balances a domain with
/// twice its share of callers before its queues are full.
const MAX_RISE: f64 = 0.4;
/// The step back with no wait at all: eight of them end the largest share.
const MAX_RETURN: f64 = 0.2;
/// The step in 100 ms by which a share falls, per second that the other domain costs more.
const EXCESS_GAIN: f64 = 3.0;
/// A smaller share counts as none.
const MIN_SHARE: f64 = 0.005;
/// The largest share that all other domains get. The rest stays, so that the own domain is
/// still measured.
const MAX_TOTAL: f64 = 0.8;
/// A domain that is not measured gets at most one flow of this many.
const MEASURING_FLOWS: u32 = 50;
/// The maximum number of services whose flows are shared.
const SERVICE_LIMIT: usize = 1_024;
/// Shares of a service without openings for this long are dropped.
const SERVICE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Why a flow leaves the domain of its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpillReason {
    /// Requests wait longer in the own domain.
    Busy,
    /// The flow measures how busy the other domain is.
    Measuring,
}

impl SpillReason {
    /// Every reason.
    pub const ALL: [Self; 2] = [Self::Busy, Self::Measuring];

    /// The name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Measuring => "measuring",
        }
    }
}

/// The other domain that a flow is sent to, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpillTarget {
    /// The domain.
    pub domain: DomainId,
    /// The reason.
    pub reason: SpillReason,
}

/// The share of the flows of a service that a domain gets.
#[derive(Debug, Clone, Copy)]
struct DomainShare {
    /// From 0 to 1.
    share: f64,
    /// Whether flows are sent there to measure it.
    is_measuring: bool,
    /// The number of flows since the last one that measured it.
    flows: u32,
}

impl Default for DomainShare {
    fn default() -> Self {
        Self {
            share: 0.0,
            is_measuring: false,
            flows: MEASURING_FLOWS,
        }
    }
}

/// The shares of a service.
#[derive(Debug, Clone)]
struct ServiceShares {
    /// The shortest latency goal of the routes that opened flows.
    goal: time::Duration,
    opened_at: Timestamp,
    /// The wait in the own domain at the last step, in seconds.
    wait: Option<f64>,
    domains: SortedVector<DomainId, DomainShare>,
}

impl ServiceShares {
    fn total(&self) -> f64 {
        self.domains.values().map(|one| one.share).sum()
    }

    /// Sends no more flows to other domains.
    fn stop(&mut self) {
        self.wait = None;
        for (_, one) in self.domains.iter_mut() {
            one.share = 0.0;
            one.is_measuring = false;
        }
    }

    /// The domain that the next flow measures, if one is due.
    fn take_measuring(&mut self, admits: impl Fn(DomainId) -> bool) -> Option<DomainId> {
        let mut domains = self.domains.iter_mut();
        let (domain, one) = domains.find(|(domain, one)| {
            one.is_measuring && one.flows >= MEASURING_FLOWS && admits(**domain)
        })?;
        one.flows = 0;
        Some(*domain)
    }

    /// The domain that a flow with this `hash` is sent to by the shares: the same one as long as
    /// they stay the same.
    fn choose_by_share(&self, hash: u64, admits: impl Fn(DomainId) -> bool) -> Option<SpillTarget> {
        let mut point = hash as f64 / u64::MAX as f64;
        for (domain, one) in self.domains.iter() {
            if point < one.share {
                let reason = SpillReason::Busy;
                let domain = *domain;
                return admits(domain).then_some(SpillTarget { domain, reason });
            }
            point -= one.share;
        }
        None
    }

    /// Lowers the shares while flows wait little in the own domain.
    fn step_back(&mut self, wait: f64, limit: f64) {
        let calm = 1.0 - wait.max(0.0) / limit;
        let total = self.total();
        let kept = (1.0 - total) * (MAX_RETURN * calm.powi(3)).exp();
        let factor = if total > 0.0 {
            ((1.0 - kept) / total).clamp(0.0, 1.0)
        } else {
            0.0
        };
        for (_, one) in self.domains.iter_mut() {
            one.share *= factor;
            one.is_measuring = false;
        }
    }

    /// Moves the shares while flows wait in the own domain. `excess` is the wait beyond the
    /// limit, and `change` how much the wait has changed, in seconds. `advantage` returns how
    /// much less requests cost in another domain, if it is measured.
    fn step_out(
        &mut self,
        excess: f64,
        change: f64,
        limit: f64,
        advantage: impl Fn(DomainId) -> Option<f64>,
    ) {
        let kept = 1.0 - self.total();
        let mut steps = Vec::with_capacity(self.domains.len());
        for (domain, one) in self.domains.iter_mut() {
            let advantage = advantage(*domain);
            let was_measuring = std::mem::replace(&mut one.is_measuring, advantage.is_none());
            // At the first measurement of another domain, the whole rise of the wait until then
            // counts as its change.
            let change = if was_measuring && excess >= limit {
                change.max(excess)
            } else {
                change
            };
            match advantage {
                None => one.share = 0.0,
                Some(advantage) if advantage < 0.0 => {
                    one.share *= (EXCESS_GAIN * advantage).exp();
                }
                Some(advantage) => {
                    let room = (advantage / excess.max(f64::MIN_POSITIVE)).min(1.0);
                    let step = WAIT_GAIN * excess + CHANGE_GAIN * change;
                    steps.push((*domain, room * step.min(MAX_RISE)));
                }
            }
        }
        self.share_out(kept, &steps);
    }

    /// Moves a part of the flows that are `kept` to the domains of `steps`, or back.
    fn share_out(&mut self, kept: f64, steps: &[(DomainId, f64)]) {
        let largest = steps.iter().map(|(_, step)| *step).fold(0.0, f64::max);
        let sum: f64 = steps.iter().map(|(_, step)| step.max(0.0)).sum();
        let moved = (kept * (1.0 - (-largest).exp())).min(MAX_TOTAL - (1.0 - kept));
        for (domain, step) in steps {
            let Some(one) = self.domains.get_mut(domain) else {
                continue;
            };
            if *step > 0.0 {
                one.share += moved.max(0.0) * step / sum;
            } else {
                one.share *= step.max(-MAX_RISE).exp();
            }
        }
    }
}

/// The shares of all services.
#[derive(Debug, Default)]
pub struct SpillShares {
    services: SortedVector<ServiceId, ServiceShares>,
}

impl SpillShares {
    /// Records that a flow with the latency goal `goal` is opened to `service`.
    pub fn note_opening(&mut self, service: ServiceId, goal: time::Duration, now: Timestamp) {
        if self.services.len() >= SERVICE_LIMIT && !self.services.contains_key(&service) {
            return;
        }
        let make = || ServiceShares {
            goal,
            opened_at: now,
            wait: None,
            domains: SortedVector::new(),
        };
        let shares = self.services.get_or_insert_with(service, make);
        shares.goal = shares.goal.min(goal);
        shares.opened_at = now;
        for (_, one) in shares.domains.iter_mut() {
            one.flows = one.flows.saturating_add(1);
        }
    }

    /// Moves the shares of all services by one step. Must be called every 100 ms. `domains`
    /// lists the domains that may take flows of a service.
    pub fn update(
        &mut self,
        own: DomainId,
        loads: &DomainLoads,
        now: Timestamp,
        domains: impl Fn(ServiceId) -> Vec<DomainId>,
    ) {
        self.services
            .retain(|_, shares| now.since(shares.opened_at) <= SERVICE_TIMEOUT);
        for (service, shares) in self.services.iter_mut() {
            let domains = domains(*service);
            let others = domains.into_iter().filter(|domain| *domain != own);
            let others: Vec<_> = others.collect();
            shares.domains.retain(|domain, _| others.contains(domain));
            for domain in others {
                shares
                    .domains
                    .get_or_insert_with(domain, DomainShare::default);
            }
            let measurement = |domain| loads.measurement(*service, domain, now);
            match measurement(own) {
                Some(measured) => Self::step(shares, &measured, measurement),
                None => shares.stop(),
            }
        }
    }

    fn step(
        shares: &mut ServiceShares,
        own: &DomainMeasurement,
        measurement: impl Fn(DomainId) -> Option<DomainMeasurement>,
    ) {
        let goal = shares.goal;
        let wait = own.damped_wait(goal);
        let change = shares.wait.map_or(0.0, |last| wait - last);
        shares.wait = Some(wait);
        let limit = CALM_PART * goal.as_secs_f64();
        if wait < limit {
            shares.step_back(wait, limit);
        } else {
            let bound = own.cost(goal) - LEAVING_PRICE * own.base;
            // The longer the own wait is, the fewer answers must show an advantage.
            let urgency = (wait / limit - 2.0).clamp(0.0, 1.0);
            shares.step_out(wait - limit, change, limit, |domain| {
                let other = measurement(domain)?;
                let trust = other.answers / (other.answers + ADVANTAGE_PRIOR);
                Some(trust.max(urgency) * (bound - other.cost(goal)))
            });
        }
        for (_, one) in shares.domains.iter_mut() {
            if one.share < MIN_SHARE {
                one.share = 0.0;
            }
        }
    }

    /// The other domain that a new flow to `service` is sent to, if any. `hash` is a hash of the
    /// flow, and `admits` returns whether a domain may take it.
    pub fn choose(
        &mut self,
        service: ServiceId,
        hash: u64,
        admits: impl Fn(DomainId) -> bool,
    ) -> Option<SpillTarget> {
        let shares = self.services.get_mut(&service)?;
        if let Some(domain) = shares.take_measuring(&admits) {
            let reason = SpillReason::Measuring;
            return Some(SpillTarget { domain, reason });
        }
        shares.choose_by_share(hash, admits)
    }

    /// The share of each service and other domain, from 0 to 1.
    pub fn iter(&self) -> impl Iterator<Item = (ServiceId, DomainId, f64)> {
        self.services.iter().flat_map(|(service, shares)| {
            let domains = shares.domains.iter();
            domains.map(|(domain, one)| (*service, *domain, one.share))
        })
    }
}
