//! Measures how busy failure domains are, by the answers to the flows that a host sent there.
//!
//! Routes of one service need different work. So each response time is compared with the base
//! response of its route, and the mean of the differences shows the queues of a domain. Refused
//! answers come after a fixed time, whatever the load, and count by their number only.

use std::net;
use std::time;

use cardamomwinch_state::prelude::{DomainId, ServiceId, SortedVector, Timestamp};

use crate::load::answer::AnswerObservation;
use crate::load::base_response::BaseResponse;
use crate::load::domain_wait::DomainWait;
use crate::load::typical_answer::TypicalAnswer;

/// An observation loses its weight with this time constant. Queues of a domain fill within
/// 0.4 s of a step of load, and the mean has to follow before they are full.
const DECAY: time::Duration = time::Duration::from_millis(150);
/// The same while few observations count, so that a host that sees few answers does not take
/// the work of a single one for a queue.
const SLOW_DECAY: time::Duration = time::Duration::from_millis(400);
/// A smaller sum of weights counts as few observations. With exponential weights, a sum of
/// three is as exact as a plain mean of six, which differs from the true one by a fifth of the
/// work if service times vary by half of it.
const FEW_OBSERVATIONS: f64 = 3.0;
/// A measurement expires this long after the last answer.
const MEASUREMENT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// The number of answers of which a mean enters the base response.
const BASE_ANSWERS: u32 = 8;
/// This many answers that were not refused are added to the measured ones, so that a single
/// refusal does not look like a domain without room.
const REFUSAL_PRIOR: f64 = 5.0;
/// This many answers without a queue are added to the measured ones for the wait, so that it
/// ends when hardly any requests come, whatever the last ones waited.
const WAIT_PRIOR: f64 = 1.0;
/// The maximum number of routes, and of services and domains, that are measured. Further ones
/// are not measured, so that their flows stay in the own domain.
const MEASURED_LIMIT: usize = 1_024;

/// A route by its service and the address that callers open flows to.
type RouteKey = (ServiceId, net::SocketAddr);

/// What is known of the answers of a route.
#[derive(Debug, Default, Clone, Copy)]
struct RouteAnswers {
    typical: TypicalAnswer,
    base: Option<BaseResponse>,
}

/// The response times of some consecutive answers.
#[derive(Debug, Default, Clone, Copy)]
struct ResponseWindow {
    count: u32,
    /// In seconds.
    sum: f64,
}

impl ResponseWindow {
    /// Records a response time in seconds. Returns the mean of every [`BASE_ANSWERS`].
    fn note(&mut self, response: f64) -> Option<f64> {
        self.count += 1;
        self.sum += response;
        if self.count < BASE_ANSWERS {
            return None;
        }
        let mean = self.sum / f64::from(self.count);
        *self = Self::default();
        Some(mean)
    }
}

/// What is measured of a service in a domain. Sums are weighted by age.
#[derive(Debug, Default, Clone, Copy)]
struct DomainAnswers {
    /// The weight of the answers whose response time was measured.
    timed: f64,
    /// The sum of the differences from the base response, in seconds.
    excess: f64,
    /// The sum of the base responses, in seconds.
    base: f64,
    /// The weight of all answers and failures.
    all: f64,
    /// The weight of refused answers and failures.
    refused: f64,
    decayed_at: Timestamp,
    /// When the last answer came that shows how busy the domain is.
    measured_at: Option<Timestamp>,
}

impl DomainAnswers {
    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.since(self.decayed_at).as_secs_f64();
        self.decayed_at = self.decayed_at.max(now);
        let factor = |weight: f64| {
            let is_few = weight < FEW_OBSERVATIONS;
            let constant = if is_few { SLOW_DECAY } else { DECAY };
            (-elapsed / constant.as_secs_f64()).exp()
        };
        let timed = factor(self.timed);
        self.timed *= timed;
        self.excess *= timed;
        self.base *= timed;
        let all = factor(self.all);
        self.all *= all;
        self.refused *= all;
    }

    fn is_measured(&self, now: Timestamp) -> bool {
        let is_recent = |at: Timestamp| now.since(at) <= MEASUREMENT_TIMEOUT;
        self.measured_at.is_some_and(is_recent)
    }

    /// `sum` per timed answer; zero without any, so that an unknown response shows no wait.
    fn per_answer(&self, sum: f64) -> f64 {
        if self.timed > 0.0 {
            sum / self.timed
        } else {
            0.0
        }
    }
}

/// The load of a domain as a host has measured it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DomainMeasurement {
    /// What requests take without a queue, in seconds.
    pub base: f64,
    /// The mean response beyond the base, in seconds. It is negative if requests take less
    /// than the base, which then is about to fall.
    pub excess: f64,
    /// The share of refused answers, of openings without a confirmation and of requests without
    /// an answer, from 0 to 1.
    pub refused: f64,
    /// The number of timed answers that the mean stands for.
    pub answers: f64,
}

impl DomainMeasurement {
    /// What requests with the latency goal `goal` wait for in the domain, in seconds. Refused
    /// requests count as if each waited for the whole goal.
    pub fn wait(&self, goal: time::Duration) -> f64 {
        self.excess + self.refused * goal.as_secs_f64()
    }

    /// Like [`Self::wait`], but the mean of few answers counts less. This is for the own domain,
    /// whose wait must end when hardly any requests come.
    pub fn damped_wait(&self, goal: time::Duration) -> f64 {
        let trust = self.answers / (self.answers + WAIT_PRIOR);
        trust * self.excess + self.refused * goal.as_secs_f64()
    }

    /// What requests with the latency goal `goal` cost in the domain, in seconds.
    pub fn cost(&self, goal: time::Duration) -> f64 {
        self.base + self.wait(goal)
    }

    /// The mean response time of requests that are not refused.
    pub fn response(&self) -> time::Duration {
        time::Duration::from_secs_f64((self.base + self.excess).max(0.0))
    }
}

/// What a host has measured of each service in each domain.
#[derive(Debug, Default)]
pub struct DomainLoads {
    routes: SortedVector<RouteKey, RouteAnswers>,
    windows: SortedVector<(RouteKey, DomainId), ResponseWindow>,
    domains: SortedVector<(ServiceId, DomainId), DomainAnswers>,
    refused_answers: u64,
}

impl DomainLoads {
    /// Records an answer.
    pub fn note_answer(&mut self, answer: &AnswerObservation) {
        let key = (answer.service, answer.address);
        if self.routes.len() >= MEASURED_LIMIT && !self.routes.contains_key(&key) {
            return;
        }
        let route = self.routes.get_or_insert_with(key, RouteAnswers::default);
        let refused = route.typical.note(answer.bytes);
        let response = answer.response.filter(|_| !refused);
        let response = response.map(|time| time.as_secs_f64());
        let window = (key, answer.domain);
        if let Some(seconds) = response {
            self.note_base(window, seconds, answer.at);
        }
        let base = self.routes.get(&key).and_then(|route| route.base);
        self.refused_answers += u64::from(refused);
        let Some(domain) = self.domain(answer.service, answer.domain, answer.at) else {
            return;
        };
        domain.all += 1.0;
        domain.refused += f64::from(u8::from(refused));
        if refused {
            domain.measured_at = Some(answer.at);
        }
        if let (Some(seconds), Some(base)) = (response, base) {
            domain.timed += 1.0;
            domain.excess += seconds - base.as_secs();
            domain.base += base.as_secs();
            domain.measured_at = Some(answer.at);
        }
    }

    /// Records that `requests` requests to `service` in `domain` failed: their openings were
    /// not confirmed, or they stay without an answer. They count as refused answers, but not as
    /// a measurement: a domain that answers nothing stays unmeasured.
    pub fn note_failures(
        &mut self,
        service: ServiceId,
        domain: DomainId,
        requests: u32,
        now: Timestamp,
    ) {
        if let Some(domain) = self.domain(service, domain, now) {
            domain.all += f64::from(requests);
            domain.refused += f64::from(requests);
        }
    }

    fn note_base(&mut self, key: (RouteKey, DomainId), seconds: f64, now: Timestamp) {
        let window = self
            .windows
            .get_or_insert_with(key, ResponseWindow::default);
        let Some(mean) = window.note(seconds) else {
            return;
        };
        if let Some(route) = self.routes.get_mut(&key.0) {
            let base = route.base.get_or_insert(BaseResponse::new(mean, now));
            base.note(mean, now);
        }
    }

    fn domain(
        &mut self,
        service: ServiceId,
        domain: DomainId,
        now: Timestamp,
    ) -> Option<&mut DomainAnswers> {
        let key = (service, domain);
        if self.domains.len() >= MEASURED_LIMIT && !self.domains.contains_key(&key) {
            return None;
        }
        let answers = self.domains.get_or_insert_with(key, DomainAnswers::default);
        answers.decay(now);
        Some(answers)
    }

    /// Ends all measurements. Base responses and usual sizes of answers stay known.
    pub fn clear_measurements(&mut self) {
        self.domains.clear();
    }

    /// What was measured of `service` in `domain`; `None` without an answer in the last second
    /// that shows it.
    pub fn measurement(
        &self,
        service: ServiceId,
        domain: DomainId,
        now: Timestamp,
    ) -> Option<DomainMeasurement> {
        let mut answers = *self.domains.get(&(service, domain))?;
        if !answers.is_measured(now) {
            return None;
        }
        answers.decay(now);
        Some(DomainMeasurement {
            base: answers.per_answer(answers.base),
            excess: answers.per_answer(answers.excess),
            refused: answers.refused / (answers.all + REFUSAL_PRIOR),
            answers: answers.timed,
        })
    }

    /// How long requests to `service` wait in `domain`; `None` without a measurement of the
    /// last second.
    pub fn wait(&self, service: ServiceId, domain: DomainId, now: Timestamp) -> Option<DomainWait> {
        let measurement = self.measurement(service, domain, now)?;
        Some(DomainWait {
            wait: time::Duration::from_secs_f64(measurement.excess.max(0.0)),
            refused_permille: (measurement.refused * 1_000.0) as u32,
        })
    }

    /// The services and domains that were measured in the last second.
    pub fn measured(&self, now: Timestamp) -> impl Iterator<Item = (ServiceId, DomainId)> {
        let measured = self.domains.iter();
        let measured = measured.filter(move |(_, answers)| answers.is_measured(now));
        measured.map(|(key, _)| *key)
    }

    /// The number of refused answers.
    pub const fn refused_answers(&self) -> u64 {
        self.refused_answers
    }

    /// Removes the services that do not exist any more.
    pub fn retain(&mut self, mut keep: impl FnMut(ServiceId) -> bool) {
        self.routes.retain(|(service, _), _| keep(*service));
        self.windows.retain(|((service, _), _), _| keep(*service));
        self.domains.retain(|(service, _), _| keep(*service));
    }
}
