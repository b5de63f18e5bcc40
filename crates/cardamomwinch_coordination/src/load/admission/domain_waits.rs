//! How long requests wait in the failure domains that may take a flow.

use std::time;

use crate::load::domain_wait::DomainWait;

/// With fewer answers than this, a measurement may be low by chance: the mean of six differs
/// from the true one by a fifth of the work, if service times vary by half of it.
const FEW_ANSWERS: f64 = 6.0;

/// A recent measurement of a domain.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeasuredWait {
    /// The wait and the refused answers.
    pub wait: DomainWait,
    /// The number of answers that it stands for.
    pub answers: f64,
}

/// The mean of several measurements.
#[derive(Debug, Default, Clone, Copy)]
struct MeanWait {
    /// The sum of the waits in seconds, weighted by answers.
    wait: f64,
    /// The sum of the refused answers in thousandths, weighted by answers.
    refused: f64,
    answers: f64,
}

impl MeanWait {
    fn add(&mut self, domain: &MeasuredWait) {
        self.wait += domain.wait.wait.as_secs_f64() * domain.answers;
        self.refused += f64::from(domain.wait.refused_permille) * domain.answers;
        self.answers += domain.answers;
    }

    fn get(&self) -> Option<DomainWait> {
        (self.answers > 0.0).then(|| DomainWait {
            wait: time::Duration::from_secs_f64(self.wait / self.answers),
            refused_permille: (self.refused / self.answers) as u32,
        })
    }
}

/// What is known of all domains that may take a flow.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct DomainWaits {
    best: Option<DomainWait>,
    expected: Option<DomainWait>,
    shortest: Option<time::Duration>,
    /// Whether a domain has no recent measurement.
    is_incomplete: bool,
}

impl DomainWaits {
    /// Summarizes the recent measurements of the domains that may take a flow; `None` for a
    /// domain without one. `latency_goal` is the cost of a refused answer.
    pub fn of(domains: &[Option<MeasuredWait>], latency_goal: time::Duration) -> Self {
        let measured = || domains.iter().flatten();
        let mut mean = MeanWait::default();
        measured().for_each(|domain| mean.add(domain));
        let cost = |one: &DomainWait| one.wait + latency_goal * one.refused_permille / 1_000;
        let known = measured().filter(|domain| domain.answers >= FEW_ANSWERS);
        let known = known.map(|domain| domain.wait);
        let best = measured().map(|domain| domain.wait).min_by_key(cost);
        Self {
            best,
            expected: known.chain(mean.get()).min_by_key(cost).or(best),
            shortest: measured().map(|domain| domain.wait.wait).min(),
            is_incomplete: domains.iter().any(Option::is_none),
        }
    }

    /// The domain with the lowest cost among those that were measured.
    pub const fn best(&self) -> Option<DomainWait> {
        self.best
    }

    /// What a request must expect: the best domain that enough answers have measured, or the
    /// mean of the host's recent requests if that is better.
    ///
    /// A host sends few flows to other domains. If the best of several means of one or two
    /// answers counted, an overload of all domains would always seem to leave room somewhere.
    pub const fn expected(&self) -> Option<DomainWait> {
        self.expected
    }

    /// The shortest wait among the domains that were measured.
    pub const fn shortest(&self) -> Option<time::Duration> {
        self.shortest
    }

    /// The shortest wait of all domains; `None` unless each of them was measured.
    pub fn shortest_of_all(&self) -> Option<time::Duration> {
        self.shortest.filter(|_| !self.is_incomplete)
    }
}
