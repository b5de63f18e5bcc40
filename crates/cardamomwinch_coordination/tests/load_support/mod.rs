//! Load tests in virtual time: callers open flows through the engines of many hosts to
//! servers with slots and a queue.
//!
//! Times are in microseconds since the start, unless a name says otherwise. The same seed
//! gives the same run.
#![allow(clippy::unwrap_used, missing_docs, dead_code, unreachable_pub)]

pub mod backends;
pub mod callers;
pub mod events;
pub mod hosts;
pub mod outcomes;
pub mod routes;

use std::collections;

use cardamomwinch_coordination::forwarding::view::ForwardingView;
use cardamomwinch_coordination::load::LoadPolicy;
use cardamomwinch_state::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::forwarding_support;
use crate::load_support::backends::{LoadServer, ServerMode};
use crate::load_support::callers::{ArrivalPattern, LoadCaller};
use crate::load_support::events::{CallerPacket, EventQueue, LoadEvent};
use crate::load_support::hosts::LoadHost;
use crate::load_support::outcomes::{ArrivalRecord, RequestRecord};
use crate::load_support::routes::{LoadRoute, ServerGroup};

/// The one-way delay between a caller and its domain.
pub const CALLER_DELAY: u64 = 1_000;
/// The one-way delay within a domain.
pub const NEAR_DELAY: u64 = 100;
/// The interval at which engines tick.
pub const TICK: u64 = 100_000;

/// The name of domain `number`.
pub fn domain_name(number: usize) -> String {
    format!("domain-{number}")
}

pub fn domain_id(number: usize) -> DomainId {
    forwarding_support::domain(&domain_name(number))
}

pub fn seconds(number: f64) -> u64 {
    (number * 1e6) as u64
}

/// The time on the clock of the hosts.
pub fn timestamp(now: u64) -> Timestamp {
    forwarding_support::at(0).after(std::time::Duration::from_micros(now))
}

/// What a run begins with.
#[derive(Debug, Clone)]
pub struct LoadSetup {
    pub seed: u64,
    /// The number of hosts of each domain.
    pub hosts: Vec<usize>,
    /// The one-way delay between two domains.
    pub domain_delay: u64,
    pub policy: LoadPolicy,
    pub routes: Vec<LoadRoute>,
    pub servers: Vec<ServerGroup>,
}

/// Domains with hosts, servers and callers.
#[derive(Debug)]
pub struct LoadWorld {
    pub now: u64,
    pub hosts: Vec<LoadHost>,
    pub servers: Vec<LoadServer>,
    /// All requests of callers, in the order in which they were made.
    pub requests: Vec<RequestRecord>,
    /// Each request that reached a server.
    pub arrivals: Vec<ArrivalRecord>,
    pub(crate) routes: Vec<LoadRoute>,
    pub(crate) callers: Vec<LoadCaller>,
    pub(crate) patterns: Vec<ArrivalPattern>,
    pub(crate) events: EventQueue,
    pub(crate) random: SmallRng,
    /// The hosts of each domain that the fabric uses.
    pub(crate) rotation: Vec<Vec<usize>>,
    domain_delay: u64,
    cuts: collections::BTreeSet<(usize, usize)>,
}

impl LoadWorld {
    pub fn new(setup: LoadSetup) -> Self {
        let servers = routes::make_servers(&setup.servers);
        let views = hosts::make_views(&setup, &servers);
        let mut world = Self {
            now: 0,
            hosts: hosts::make_hosts(&setup, views),
            servers: servers.into_iter().map(LoadServer::new).collect(),
            requests: Vec::new(),
            arrivals: Vec::new(),
            routes: setup.routes,
            callers: Vec::new(),
            patterns: Vec::new(),
            events: EventQueue::default(),
            random: SmallRng::seed_from_u64(setup.seed),
            rotation: vec![Vec::new(); setup.hosts.len()],
            domain_delay: setup.domain_delay,
            cuts: collections::BTreeSet::new(),
        };
        for host in 0..world.hosts.len() {
            // Hosts tick at different times.
            let first = world.random.random_range(0..TICK);
            world.events.push(first, LoadEvent::Tick { host });
        }
        world.update_rotation();
        world
    }

    /// Callers begin to ask by `pattern`.
    pub fn add_arrivals(&mut self, pattern: ArrivalPattern) {
        self.patterns.push(pattern);
        self.schedule_arrival(self.patterns.len() - 1, self.now);
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some((at, event)) = self.events.pop_before(end) {
            self.now = at;
            match event {
                LoadEvent::Tick { host } => self.tick(host),
                LoadEvent::Arrival { pattern } => self.arrive(pattern),
                LoadEvent::AtFabric(packet) => self.forward(packet),
                LoadEvent::AtHost { host, packet } => self.handle_at_host(host, packet),
                LoadEvent::AtServer { server, packet } => self.handle_at_server(server, packet),
                LoadEvent::Done { server, job, life } => self.finish_job(server, job, life),
                LoadEvent::AtCaller { flow, message } => self.handle_at_caller(flow, message),
                LoadEvent::Timer { flow, timer } => self.handle_timer(flow, timer),
            }
        }
        self.now = end;
    }

    /// The one-way delay between two domains.
    pub(crate) const fn distance(&self, one: usize, other: usize) -> u64 {
        if one == other {
            NEAR_DELAY
        } else {
            self.domain_delay
        }
    }

    /// The one-way delay from a host of a domain to a server of another; `None` if these
    /// are cut off from each other.
    pub(crate) fn host_delay(&self, one: usize, other: usize) -> Option<u64> {
        let is_cut = self.cuts.contains(&(one.min(other), one.max(other)));
        (!is_cut).then(|| self.distance(one, other))
    }

    /// Cuts the hosts of each of two domains from the servers of the other. Callers still
    /// reach the hosts of both, and get replies of the servers of both.
    pub fn cut(&mut self, one: usize, other: usize) {
        self.cuts.insert((one.min(other), one.max(other)));
    }

    /// Cuts a domain from all others.
    pub fn cut_off(&mut self, domain: usize) {
        let others = (0..self.rotation.len()).filter(|other| *other != domain);
        others.for_each(|other| self.cut(domain, other));
    }

    /// Connects all domains again.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn set_mode(&mut self, server: usize, mode: ServerMode) {
        self.servers[server].set_mode(mode);
    }

    /// The numbers of the servers of a service in a domain.
    pub fn servers_of(&self, service: &str, domain: usize) -> Vec<usize> {
        let wanted = (forwarding_support::service(service), domain_id(domain));
        let of = |server: &LoadServer| (server.record.service, server.record.domain) == wanted;
        let numbers = 0..self.servers.len();
        numbers.filter(|one| of(&self.servers[*one])).collect()
    }

    /// The numbers of the hosts of a domain.
    pub fn hosts_of(&self, domain: usize) -> Vec<usize> {
        let numbers = 0..self.hosts.len();
        numbers
            .filter(|one| self.hosts[*one].domain == domain)
            .collect()
    }

    /// Changes the views of all hosts for which `which` holds.
    pub fn change_views(
        &mut self,
        which: impl Fn(&LoadHost) -> bool,
        change: impl Fn(&mut ForwardingView),
    ) {
        let hosts = self.hosts.iter_mut().filter(|host| which(host));
        hosts.for_each(|host| change(&mut host.view));
    }

    /// Hands `packet` to the fabric, which chooses a host of the caller's domain.
    pub(crate) fn send_from_caller(&mut self, packet: CallerPacket) {
        let at = self.now + CALLER_DELAY;
        self.events.push(at, LoadEvent::AtFabric(packet));
    }
}
