//! Hosts, backend servers and callers in one process, for seeded plays of requests.
//!
//! The control engine and the traffic engine of a host take their events from queues of
//! their own, as their threads do, and either can be stalled by itself. Datagrams are
//! lost, doubled and delayed, but those to servers are never doubled: a server runs each
//! datagram that it receives.
#![allow(dead_code, unreachable_pub, clippy::unwrap_used, missing_docs)]

pub mod callers;
pub mod faults;
pub mod hosts;
pub mod plans;
pub mod servers;

use std::collections::BTreeMap;

use cardamomwinch_coordination::control::event::PlatformAnswer;
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use callers::Callers;
use hosts::{EngineInput, EngineKind, PlayedHost};
use servers::Servers;

/// The time at which each play begins, in microseconds.
pub const BEGIN: u64 = 1_000_000_000;
pub const MILLIS: u64 = 1_000;
pub const SERVICE: &str = "127.0.0.1:7001";
/// How long a datagram is held so that later ones overtake it.
const REORDER_DELAY: u64 = 20 * MILLIS;

/// The faults of one kind of link.
#[derive(Debug, Clone, Copy)]
pub struct LinkFaults {
    pub loss: f64,
    pub doubled: f64,
    pub reordered: f64,
    /// The longest delay of an ordinary datagram, in microseconds.
    pub delay: u64,
    /// The share of datagrams that are held for up to `long_delay`.
    pub held: f64,
    /// In microseconds.
    pub long_delay: u64,
}

impl LinkFaults {
    pub const NONE: Self = Self {
        loss: 0.0,
        doubled: 0.0,
        reordered: 0.0,
        delay: MILLIS,
        held: 0.0,
        long_delay: 0,
    };

    /// The delay of each copy of a datagram; none if it is lost.
    fn copies(&self, rng: &mut SmallRng) -> Vec<u64> {
        if rng.random_bool(self.loss) {
            return Vec::new();
        }
        let count = 1 + usize::from(rng.random_bool(self.doubled));
        let delays = (0..count).map(|_| {
            let mut delay = rng.random_range(0..=self.delay);
            if rng.random_bool(self.reordered) {
                delay += REORDER_DELAY;
            }
            if rng.random_bool(self.held) {
                delay += rng.random_range(0..=self.long_delay);
            }
            delay
        });
        delays.collect()
    }
}

/// What a play consists of.
#[derive(Debug, Clone)]
pub struct PlayPlan {
    /// Hosts with their failure domains; the first `listed` are published at the start.
    pub hosts: Vec<(&'static str, &'static str)>,
    pub listed: usize,
    /// Failure domains of the backend servers.
    pub servers: Vec<&'static str>,
    pub slots: u32,
    pub server_queue: usize,
    pub connections: u32,
    pub shards: u16,
    pub lifetime_millis: u64,
    pub lease_millis: u64,
    pub callers: usize,
    /// Requests of one caller that may be pending at the same time.
    pub pending: usize,
    /// The share of flows that are opened with a request.
    pub opening_requests: f64,
    pub fabric: LinkFaults,
    pub between_hosts: LinkFaults,
    pub to_servers: LinkFaults,
    /// Whether a host that has stopped is removed from the published list, and another one
    /// is listed later.
    pub replaces_hosts: bool,
    /// The share of control events during which the control thread loses the processor, so
    /// that some effects of the event are carried out later than others.
    pub preempted: f64,
    /// The mean service time in microseconds.
    pub service_time: u64,
}

/// An event at a point of time.
#[derive(Debug)]
pub enum PlayEvent {
    Engine {
        host: usize,
        incarnation: u64,
        input: EngineInput,
    },
    /// The control thread of a host goes on with the effects of an event.
    Effects {
        host: usize,
        incarnation: u64,
        effects: Vec<ControlEffect>,
    },
    Tick {
        host: usize,
        incarnation: u64,
        kind: EngineKind,
    },
    ToServer {
        server: usize,
        bytes: Vec<u8>,
    },
    ServerDone {
        server: usize,
        job: u64,
    },
    ToCaller {
        bytes: Vec<u8>,
    },
    Caller {
        caller: usize,
    },
}

/// One play.
pub struct Play {
    pub now: u64,
    pub rng: SmallRng,
    pub plan: PlayPlan,
    pub hosts: Vec<PlayedHost>,
    pub servers: Servers,
    pub callers: Callers,
    /// Links between hosts that deliver nothing, as (from, to).
    pub cuts: Vec<(usize, usize)>,
    /// Hosts to which the fabric delivers.
    pub fabric_hosts: Vec<usize>,
    /// Published lists of hosts, from version one.
    pub lists: Vec<Vec<usize>>,
    /// Decisions and runs, one line each, to explain a failure.
    pub lines: Vec<String>,
    pub keys: AuthenticationKeys,
    events: BTreeMap<(u64, u64), PlayEvent>,
    sequence: u64,
}

impl Play {
    /// Starts the hosts of `plan` and waits until each shard has a home.
    pub fn start(seed: u64, plan: PlayPlan) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = plan.hosts.iter();
        let hosts = hosts.map(|(name, domain)| PlayedHost::new(name, domain, &mut rng));
        let hosts = hosts.collect();
        let servers = Servers::new(&plan);
        let callers = Callers::new(&plan);
        let mut play = Self {
            now: BEGIN,
            rng,
            hosts,
            servers,
            callers,
            cuts: Vec::new(),
            fabric_hosts: (0..plan.listed).collect(),
            lists: vec![(0..plan.listed).collect()],
            lines: Vec::new(),
            keys: AuthenticationKeys::new(SecretKey::new([7; 32]), None),
            events: BTreeMap::new(),
            sequence: 0,
            plan,
        };
        for host in 0..play.plan.listed {
            play.start_host(host);
        }
        play.advance(8_000 * MILLIS);
        for caller in 0..play.plan.callers {
            play.schedule(caller as u64 * MILLIS, PlayEvent::Caller { caller });
        }
        play
    }

    pub fn schedule(&mut self, delay: u64, event: PlayEvent) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    /// Plays all events of the next `micros` microseconds.
    pub fn advance(&mut self, micros: u64) {
        let end = self.now + micros;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: PlayEvent) {
        match event {
            PlayEvent::Engine {
                host,
                incarnation,
                input,
            } => self.handle_input(host, incarnation, input),
            PlayEvent::Effects {
                host,
                incarnation,
                effects,
            } => self.resume_effects(host, incarnation, effects),
            PlayEvent::Tick {
                host,
                incarnation,
                kind,
            } => self.handle_tick(host, incarnation, kind),
            PlayEvent::ToServer { server, bytes } => self.receive_at_server(server, &bytes),
            PlayEvent::ServerDone { server, job } => self.finish_job(server, job),
            PlayEvent::ToCaller { bytes } => self.receive_at_caller(&bytes),
            PlayEvent::Caller { caller } => self.act_as_caller(caller),
        }
    }

    /// Delivers a datagram to any host of the fabric, or a copy each to two hosts.
    pub fn spray(&mut self, input: impl Fn() -> EngineInput) {
        if self.fabric_hosts.is_empty() {
            return;
        }
        let first = self.rng.random_range(0..self.fabric_hosts.len());
        let faults = self.plan.fabric;
        for (copy, delay) in faults.copies(&mut self.rng).into_iter().enumerate() {
            let host = self.fabric_hosts[(first + copy) % self.fabric_hosts.len()];
            self.send_input(host, delay, input());
        }
    }

    /// Publishes a list of hosts, which reaches each host at a time of its own.
    pub fn publish(&mut self, listed: Vec<usize>) {
        self.lists.push(listed);
        for host in 0..self.hosts.len() {
            let delay = self.rng.random_range(0..500 * MILLIS);
            let input = self.list_input(self.lists.len() as u64);
            self.send_input(host, delay, input);
        }
    }

    pub fn list_input(&self, version: u64) -> EngineInput {
        let listed = self.lists[version as usize - 1].iter().map(|index| {
            let (name, domain) = self.plan.hosts[*index];
            let address = |role| format!("127.0.0.1:{}", 10_000 + index * 10 + role);
            format!(
                r#""{name}": {{"domain": "{domain}", "traffic_address": "{}", "relay_address": "{}", "peer_address": "{}", "phase": "live"}}"#,
                address(1),
                address(2),
                address(3)
            )
        });
        let listed: Vec<String> = listed.collect();
        let text = format!("{{\"hosts\": {{{}}}}}", listed.join(", "));
        document(PlatformKey::Hosts, version, text)
    }

    pub fn document_inputs(&self) -> [EngineInput; 2] {
        let PlayPlan {
            shards,
            lifetime_millis,
            lease_millis,
            slots,
            connections,
            ..
        } = self.plan;
        let root = format!(
            r#"{{"preset": "p", "teams": {{"t": 1}}, "limits": {{"shards_per_domain": {shards}, "request_lifetime_ms": {lifetime_millis}, "home_lease_ms": {lease_millis}}}}}"#
        );
        let backends = self.plan.servers.iter().enumerate().map(|(index, domain)| {
            let address = servers::address(index);
            format!(
                r#""s{index}": {{"domain": "{domain}", "address": "{address}", "slots": {slots}, "connections": {connections}}}"#
            )
        });
        let backends = backends.collect::<Vec<_>>().join(", ");
        let fragment = format!(
            r#"{{"team": "t", "services": {{"desk": {{"address": "{SERVICE}", "backends": {{{backends}}}}}}}, "presets": {{}}}}"#
        );
        [
            document(PlatformKey::Root, 1, root),
            document(PlatformKey::Team("t".to_owned()), 1, fragment),
        ]
    }

    /// Requests that must not run twice and did.
    pub fn doubled(&self) -> Vec<(FlowKey, RequestId)> {
        let runs = self.servers.runs.iter();
        let doubled = runs.filter(|(key, runs)| {
            runs.len() > 1
                && self
                    .callers
                    .request(key)
                    .is_some_and(|sent| !sent.idempotent)
        });
        doubled.map(|(key, _)| *key).collect()
    }

    /// Requests of which a caller was told that they did not run, and that ran.
    pub fn refused_and_run(&self) -> Vec<(FlowKey, RequestId)> {
        let refused = self.callers.requests.iter();
        let refused =
            refused.filter(|(key, sent)| sent.refused && self.servers.runs.contains_key(*key));
        refused.map(|(key, _)| *key).collect()
    }

    /// Prints all that happened to the flow of `key`.
    pub fn explain(&self, key: &(FlowKey, RequestId)) {
        let flow = key.0.to_string();
        for line in &self.lines {
            if line.contains(&flow) || line.contains("home_changed") || line.starts_with('#') {
                println!("{line}");
            }
        }
    }
}

fn document(key: PlatformKey, revision: u64, text: String) -> EngineInput {
    let request = PlatformRequest {
        key,
        after: None,
        wait: std::time::Duration::ZERO,
    };
    let result = Ok(PlatformAnswer::Value { revision, text });
    EngineInput::Control(ControlEvent::Platform(PlatformOutcome { request, result }))
}
