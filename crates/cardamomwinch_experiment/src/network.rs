//! Delays, losses and cuts, and the fabric that distributes datagrams among hosts.

use std::time;

use rand::Rng;
use rand::rngs::SmallRng;

/// The share of datagrams that the fabric delivers twice.
const DUPLICATE_SHARE: f64 = 0.005;
/// The share of datagrams with a long delay.
const LONG_DELAY_SHARE: f64 = 0.005;
const MAX_LONG_DELAY: time::Duration = time::Duration::from_millis(40);
const DELAY_WITHIN_DOMAIN: time::Duration = time::Duration::from_micros(200);
const DELAY_BETWEEN_DOMAINS: time::Duration = time::Duration::from_millis(1);
/// The largest random addition to a delay, as a share of the delay.
const JITTER: f64 = 0.3;

/// The network between callers, hosts, backend servers and the platform.
#[derive(Debug)]
pub struct NetworkModel {
    rng: SmallRng,
    caller_delay: time::Duration,
    loss: f64,
    /// The failure domain that is cut off from the others, if any.
    pub cut: Option<usize>,
    /// The hosts to which the fabric sends datagrams.
    pub fabric_hosts: Vec<usize>,
}

impl NetworkModel {
    /// A network without a cut that loses the share `loss` of all datagrams.
    pub const fn new(rng: SmallRng, caller_delay: time::Duration, loss: f64) -> Self {
        Self {
            rng,
            caller_delay,
            loss,
            cut: None,
            fabric_hosts: Vec::new(),
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

    /// The number of copies of a datagram that the fabric delivers, mostly one.
    pub fn copies(&mut self) -> usize {
        let drawn = self.rng.random::<f64>();
        match drawn {
            _ if drawn < self.loss => 0,
            _ if drawn < self.loss + DUPLICATE_SHARE => 2,
            _ => 1,
        }
    }

    /// Whether a datagram outside of the fabric is lost.
    pub fn loses(&mut self) -> bool {
        self.rng.random_bool(self.loss)
    }

    /// A random host for a datagram of a caller.
    pub fn choose_host(&mut self) -> Option<usize> {
        let count = self.fabric_hosts.len();
        (count > 0).then(|| self.fabric_hosts[self.rng.random_range(0..count)])
    }

    /// A random reachable host for a datagram of a backend server in `domain`.
    pub fn choose_host_from(&mut self, domain: usize, domain_count: usize) -> Option<usize> {
        let reached = self.fabric_hosts.iter().copied();
        let reached: Vec<usize> = reached
            .filter(|host| self.connects(domain, host % domain_count))
            .collect();
        let count = reached.len();
        (count > 0).then(|| reached[self.rng.random_range(0..count)])
    }

    /// The delay between a caller and a host.
    pub fn caller_delay(&mut self) -> time::Duration {
        self.vary(self.caller_delay)
    }

    /// The delay between two failure domains.
    pub fn delay(&mut self, one: usize, other: usize) -> time::Duration {
        self.vary(match one == other {
            true => DELAY_WITHIN_DOMAIN,
            false => DELAY_BETWEEN_DOMAINS,
        })
    }

    fn vary(&mut self, delay: time::Duration) -> time::Duration {
        let jitter = 1.0 + JITTER * self.rng.random::<f64>();
        let long_delay = match self.rng.random_bool(LONG_DELAY_SHARE) {
            true => MAX_LONG_DELAY.mul_f64(self.rng.random()),
            false => time::Duration::ZERO,
        };
        delay.mul_f64(jitter) + long_delay
    }
}
