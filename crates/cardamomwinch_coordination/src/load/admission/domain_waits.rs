//! How long requests wait in the failure domains that may take a flow.

use std::time;

use crate::load::domain_wait::DomainWait;

/// What is known of all domains that may take a flow.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct DomainWaits {
    best: Option<DomainWait>,
    shortest: Option<time::Duration>,
    /// Whether a domain has no recent measurement.
    is_incomplete: bool,
}

impl DomainWaits {
    /// Summarizes the recent measurements of the domains that may take a flow; `None` for a
    /// domain without one. `latency_goal` is the cost of a refused answer.
    pub fn of(
        domains: impl IntoIterator<Item = Option<DomainWait>>,
        latency_goal: time::Duration,
    ) -> Self {
        let mut waits = Self::default();
        for domain in domains {
            let Some(domain) = domain else {
                waits.is_incomplete = true;
                continue;
            };
            let cost = |one: &DomainWait| one.wait + latency_goal * one.refused_permille / 1_000;
            if waits.best.is_none_or(|best| cost(&domain) < cost(&best)) {
                waits.best = Some(domain);
            }
            let shortest = waits
                .shortest
                .map_or(domain.wait, |one| one.min(domain.wait));
            waits.shortest = Some(shortest);
        }
        waits
    }

    /// The domain with the lowest cost among those that were measured.
    pub const fn best(&self) -> Option<DomainWait> {
        self.best
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
