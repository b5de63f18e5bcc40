//! The routes and servers of a load test.

use std::net;

use cardamomwinch_coordination::forwarding::directory::ServerRecord;
use cardamomwinch_coordination::forwarding::routes::{RouteEntry, RouteTarget};
use cardamomwinch_state::prelude::*;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::forwarding_support::*;
use crate::load_support;

/// A route and the requests on it.
#[derive(Debug, Clone)]
pub struct LoadRoute {
    pub address: net::SocketAddr,
    pub entry: RouteEntry,
    /// The mean time that a request takes in a slot.
    pub work: u64,
    /// The standard deviation of that time in relation to the mean, from 0 to 1; 1 gives an
    /// exponential distribution.
    pub spread: f64,
    /// The length of an answer in bytes.
    pub answer: u32,
    /// After this time a caller gives up.
    pub timeout: u64,
}

impl LoadRoute {
    /// An idempotent route to `service` with answers of 900 bytes. `number` distinguishes it
    /// from other routes; `work`, `goal` and `timeout` are in milliseconds.
    pub fn new(number: u8, service_name: &str, work: u64, goal: u64, timeout: u64) -> Self {
        let target = RouteTarget {
            service: service(service_name),
            weight: Weight::new(1),
        };
        let entry = RouteEntry {
            name: format!("route-{number}"),
            targets: vec![target],
            latency_goal: millis(goal),
            ..route(true)
        };
        Self {
            address: net::SocketAddr::from(([198, 18, 1, number], SERVICE_PORT)),
            entry,
            work: work * 1_000,
            spread: 0.5,
            answer: 900,
            timeout: timeout * 1_000,
        }
    }

    /// Makes its requests run at most once.
    pub fn once(mut self) -> Self {
        self.entry.idempotent = false;
        self
    }

    /// The time that a request takes in a slot.
    pub fn draw_work(&self, random: &mut SmallRng) -> u64 {
        let exponential = -(1.0 - random.random::<f64>()).ln();
        (self.work as f64 * (1.0 - self.spread + self.spread * exponential)) as u64
    }
}

/// Servers of a service in a domain.
#[derive(Debug, Clone)]
pub struct ServerGroup {
    pub service: String,
    pub domain: usize,
    pub count: usize,
    /// The slots of each.
    pub slots: u32,
}

impl ServerGroup {
    pub fn new(service: &str, domain: usize, count: usize, slots: u32) -> Self {
        Self {
            service: service.to_owned(),
            domain,
            count,
            slots,
        }
    }
}

pub fn make_servers(groups: &[ServerGroup]) -> Vec<ServerRecord> {
    let each = |group: &ServerGroup| vec![group.clone(); group.count];
    let groups = groups.iter().flat_map(each);
    let make = |(index, group): (usize, ServerGroup)| ServerRecord {
        address: net::SocketAddr::from((
            [
                10,
                1 + group.domain as u8,
                (index / 250) as u8,
                (index % 250) as u8,
            ],
            8301,
        )),
        service: service(&group.service),
        domain: load_support::domain_id(group.domain),
        slots: SlotCount::new(group.slots),
        ..near_server(index as u64)
    };
    groups.enumerate().map(make).collect()
}

/// The number of the server `id`.
pub fn server_number(id: BackendId) -> usize {
    (id.get() & 0xffff_ffff) as usize
}
