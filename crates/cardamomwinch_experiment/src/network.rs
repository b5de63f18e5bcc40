//! Delays, losses and cuts, and the fabric that sprays datagrams over hosts.

use std::time;

use rand::Rng;
use rand::rngs::SmallRng;

const DOUBLING: f64 = 0.005;
const HELD_UP: f64 = 0.005;
const HELD_UP_LIMIT: time::Duration = time::Duration::from_millis(40);
const WITHIN_DOMAIN: time::Duration = time::Duration::from_micros(200);
const BETWEEN_DOMAINS: time::Duration = time::Duration::from_millis(1);
const JITTER: f64 = 0.3;

/// The network between callers, hosts, backend servers and the platform.
#[derive(Debug)]
pub struct NetworkModel {
    rng: SmallRng,
    caller_delay: time::Duration,
    loss: f64,
    /// The failure domain that is cut off from the others, if any.
    pub cut: Option<usize>,
    /// The hosts to which the fabric hands datagrams.
    pub sprayed: Vec<usize>,
}

impl NetworkModel {
    /// A network without a cut that loses a `loss` share of all datagrams.
    pub const fn new(rng: SmallRng, caller_delay: time::Duration, loss: f64) -> Self {
        Self {
            rng,
            caller_delay,
            loss,
            cut: None,
            sprayed: Vec::new(),
        }
    }

    /// Whether two failure domains reach each other.
    pub fn connects(&self, one: usize, other: usize) -> bool {
        self.cut.is_none_or(|cut| (one == cut) == (other == cut))
    }

    /// Whether `domain` reaches the platform.
    pub fn reaches_platform(&self, domain: usize) -> bool {
        self.cut != Some(domain)
    }

    /// How often the fabric delivers a datagram: mostly once.
    pub fn copies(&mut self) -> usize {
        let drawn = self.rng.random::<f64>();
        match drawn {
            _ if drawn < self.loss => 0,
            _ if drawn < self.loss + DOUBLING => 2,
            _ => 1,
        }
    }

    /// Whether a datagram outside of the fabric is lost.
    pub fn loses(&mut self) -> bool {
        self.rng.random_bool(self.loss)
    }

    /// A host for a datagram of a caller.
    pub fn spray(&mut self) -> Option<usize> {
        let count = self.sprayed.len();
        (count > 0).then(|| self.sprayed[self.rng.random_range(0..count)])
    }

    /// A host for a datagram of a backend server in `domain`.
    pub fn spray_from(&mut self, domain: usize, domain_count: usize) -> Option<usize> {
        let reached = self.sprayed.iter().copied();
        let reached: Vec<usize> = reached
            .filter(|host| self.connects(domain, host % domain_count))
            .collect();
        let count = reached.len();
        (count > 0).then(|| reached[self.rng.random_range(0..count)])
    }

    /// The time between a caller and a host.
    pub fn caller_delay(&mut self) -> time::Duration {
        self.vary(self.caller_delay)
    }

    /// The time between two failure domains.
    pub fn delay(&mut self, one: usize, other: usize) -> time::Duration {
        self.vary(match one == other {
            true => WITHIN_DOMAIN,
            false => BETWEEN_DOMAINS,
        })
    }

    fn vary(&mut self, delay: time::Duration) -> time::Duration {
        let jitter = 1.0 + JITTER * self.rng.random::<f64>();
        let held_up = match self.rng.random_bool(HELD_UP) {
            true => HELD_UP_LIMIT.mul_f64(self.rng.random()),
            false => time::Duration::ZERO,
        };
        delay.mul_f64(jitter) + held_up
    }
}
