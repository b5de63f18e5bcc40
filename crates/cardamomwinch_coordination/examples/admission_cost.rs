//! Compares admission by one home with other policies, with the real traffic engine
//! and simple models of servers. The random numbers come from a fixed seed.
//!
//! `cargo run --release -p cardamomwinch_coordination --example admission_cost`
//!
//! Fourteen servers with two slots each serve the flows that are placed on them;
//! requests take 50 ms on average, with a heavy tail, and must be answered within two
//! seconds. The wait is the time from the arrival of a request at a host to its start
//! at the server. Wasted slot time is the time in which a slot was idle while a request
//! waited for the same server.
#![allow(missing_docs)]

use std::cmp;
use std::collections;
use std::net;
use std::sync;
use std::time;

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::routing::lookup_table::LookupTables;
use cardamomwinch_coordination::snapshot::{BackendView, ReportedLoad, ShardView};
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 7;
const HOSTS: usize = 9;
const SERVERS: u16 = 14;
const SLOTS: u32 = 2;
const FLOWS: u16 = 1400;
/// The mean service time. All times in this example are in microseconds.
const MEAN_SERVICE: f64 = 50_000.0;
const TAIL_EXPONENT: f64 = 1.8;
/// The longest service time, as a multiple of the mean.
const MAX_SERVICE_FACTOR: f64 = 40.0;
/// The time from the arrival of a request to its deadline.
const REQUEST_TIMEOUT: u64 = 2_000_000;
/// The time that a datagram takes between two hosts or processes.
const HOP: u64 = 1_000;
/// How often a home probes the load of its servers.
const REPORT_INTERVAL: u64 = 1_000_000;
const TICK: u64 = 50_000;
const DURATION: u64 = 120_000_000;
const START: u64 = 1_000_000_000_000;

/// Who decides whether a request goes to its server.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AdmissionPolicy {
    /// The home, with a queue of `queue_per_slot` requests per slot; `lost` of 1,000
    /// copies of answers don't reach it.
    Home { queue_per_slot: u32, lost: u32 },
    /// Each host by itself, with a fixed share of each server's slots, at least one slot.
    FixedShare,
    /// No host: every request is sent to its server, which sheds.
    SendAll,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival,
    Tick,
    Received {
        server: u16,
        request: u64,
        attempt: u8,
    },
    Finished {
        server: u16,
        request: u64,
        attempt: u8,
    },
    Replied {
        server: u16,
        request: u64,
        attempt: u8,
        shed: bool,
    },
}

#[derive(Debug, Clone, Copy)]
struct OpenRequest {
    flow: u16,
    host: usize,
    arrived: u64,
    started: Option<u64>,
    waiting: bool,
    settled: bool,
    runs: u32,
}

#[derive(Debug, Default, Clone, Copy)]
struct SimulatedServer {
    busy: u32,
    waiting: u32,
    by_host: [u32; HOSTS],
}

#[derive(Debug, Default)]
struct CostFigures {
    offered: u64,
    answered: u64,
    refused: u64,
    unknown: u64,
    sent: u64,
    shed: u64,
    runs: u64,
    run_twice: u64,
    waits: Vec<u64>,
    busy_time: u128,
    wasted_time: u128,
}

struct Simulation {
    policy: AdmissionPolicy,
    random: SmallRng,
    now: u64,
    /// When the servers last reported their load.
    reported: u64,
    queue: collections::BinaryHeap<cmp::Reverse<(u64, u64, SimulationEvent)>>,
    sequence: u64,
    engine: TrafficEngine,
    snapshot: RoutingSnapshot,
    entries: Vec<BackendEntry>,
    tokens: Vec<Option<RoutingToken>>,
    servers: Vec<SimulatedServer>,
    requests: Vec<OpenRequest>,
    figures: CostFigures,
    gap: f64,
}

/// The effects of the engine that matter to the simulation.
#[derive(Debug, Default)]
struct EngineEffects {
    openings: Vec<BackendId>,
    sent: Vec<(BackendId, RequestId, AttemptNumber)>,
    refused: Vec<RequestId>,
    unknown: Vec<RequestId>,
    opened: Vec<RoutingToken>,
}

impl Simulation {
    fn new(policy: AdmissionPolicy, load: f64) -> Self {
        let queue_per_slot = match policy {
            AdmissionPolicy::Home { queue_per_slot, .. } => queue_per_slot,
            _ => 0,
        };
        let identity = HostIdentity {
            host: HostId::from_name("muc-nord-1"),
            domain: domain(),
            incarnation: Incarnation::new(1),
        };
        let bounds = TrafficBounds {
            queue_per_slot,
            ..TrafficBounds::default()
        };
        let keys = AuthenticationKeys::new(SecretKey::new([7; 32]), None);
        let builder = HostBuilder::new(identity, keys).with_bounds(bounds);
        let entries: Vec<BackendEntry> = (0..SERVERS).map(server).collect();
        let capacity = f64::from(u32::from(SERVERS) * SLOTS);
        let mut simulation = Self {
            policy,
            random: SmallRng::seed_from_u64(SEED),
            now: START,
            reported: START,
            queue: collections::BinaryHeap::new(),
            sequence: 0,
            engine: builder.build_traffic(ThreadPlace::ONLY),
            snapshot: snapshot(&entries, identity.host),
            entries,
            tokens: vec![None; usize::from(FLOWS)],
            servers: vec![SimulatedServer::default(); usize::from(SERVERS)],
            requests: Vec::new(),
            figures: CostFigures::default(),
            gap: MEAN_SERVICE / (capacity * load),
        };
        simulation.open_flows();
        simulation
    }

    /// Opens all flows before the measurement.
    fn open_flows(&mut self) {
        for number in 0..FLOWS {
            let datagram = CallerDatagram::open(flow(number), b"");
            let effects = self.drive(TrafficEvent::Fabric(FabricDatagram::Caller(datagram)));
            let Some(backend) = effects.openings.first().copied() else {
                continue;
            };
            // A flow is open and has its token once its server has replied.
            let reply = BackendReply {
                flow: flow(number),
                backend,
                via: HostId::from_name("muc-nord-1"),
                kind: BackendReplyKind::Opened,
            };
            let effects = self.drive(TrafficEvent::Fabric(FabricDatagram::Backend(reply)));
            self.tokens[usize::from(number)] = effects.opened.first().copied();
        }
    }

    fn drive(&mut self, event: TrafficEvent<'_>) -> EngineEffects {
        let mut effects = EngineEffects::default();
        let mut sink = |effect: TrafficEffect<'_>| match effect {
            TrafficEffect::ToBackend { datagram, .. } if datagram.kind != BackendKind::Cancel => {
                if datagram.kind == BackendKind::Open {
                    effects.openings.push(datagram.backend);
                }
                if let Some(request) = datagram.request {
                    effects
                        .sent
                        .push((datagram.backend, request.id, request.attempt));
                }
            }
            TrafficEffect::ToCaller(reply) => match reply.kind {
                CallerReplyKind::Opened { token } => effects.opened.push(token),
                CallerReplyKind::NotRun { request, .. } => effects.refused.extend(request),
                CallerReplyKind::OutcomeUnknown { request, .. } => effects.unknown.push(request),
                _ => {}
            },
            _ => {}
        };
        let now = Timestamp::new(self.now);
        self.engine.handle(now, &self.snapshot, event, &mut sink);
        effects
    }

    fn schedule(&mut self, delay: u64, event: SimulationEvent) {
        self.sequence += 1;
        let entry = (self.now + delay, self.sequence, event);
        self.queue.push(cmp::Reverse(entry));
    }

    fn run(mut self) -> CostFigures {
        self.schedule(0, SimulationEvent::Arrival);
        self.schedule(0, SimulationEvent::Tick);
        while let Some(cmp::Reverse((at, _, event))) = self.queue.pop() {
            self.integrate(at);
            self.now = at;
            if at > START + DURATION + 2 * REQUEST_TIMEOUT {
                break;
            }
            self.handle(event);
        }
        self.figures
    }

    fn integrate(&mut self, until: u64) {
        let passed = u128::from(until - self.now);
        let busy: u32 = self.servers.iter().map(|server| server.busy).sum();
        self.figures.busy_time += passed * u128::from(busy);
        for server in &self.servers {
            let wasted = (SLOTS - server.busy).min(server.waiting);
            self.figures.wasted_time += passed * u128::from(wasted);
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival => self.arrive(),
            SimulationEvent::Tick => self.tick(),
            SimulationEvent::Received {
                server,
                request,
                attempt,
            } => self.receive(server, request, attempt),
            SimulationEvent::Finished {
                server,
                request,
                attempt,
            } => self.finish(server, request, attempt),
            SimulationEvent::Replied {
                server,
                request,
                attempt,
                shed,
            } => self.reply(server, request, attempt, shed),
        }
    }

    fn arrive(&mut self) {
        if self.now > START + DURATION {
            return;
        }
        let uniform: f64 = self.random.random_range(0.0..1.0);
        let gap = -(1.0 - uniform).ln() * self.gap;
        self.schedule(gap as u64, SimulationEvent::Arrival);
        let number = self.requests.len() as u64;
        let flow_number = self.random.random_range(0..FLOWS);
        let host = self.random.random_range(0..HOSTS);
        self.requests.push(OpenRequest {
            flow: flow_number,
            host,
            arrived: self.now,
            started: None,
            waiting: false,
            settled: false,
            runs: 0,
        });
        self.figures.offered += 1;
        let server = self.server_of(flow_number);
        match self.policy {
            AdmissionPolicy::Home { .. } => self.send_to_home(number, flow_number, server),
            AdmissionPolicy::FixedShare => {
                let share = (SLOTS as usize / HOSTS).max(1) as u32;
                let held = &mut self.servers[usize::from(server)].by_host[host];
                if *held >= share {
                    return self.settle(number, |figures| figures.refused += 1);
                }
                *held += 1;
                self.send(server, number, 0);
            }
            AdmissionPolicy::SendAll => self.send(server, number, 0),
        }
    }

    fn send_to_home(&mut self, number: u64, flow_number: u16, server: u16) {
        self.wait(number, server, true);
        let header = RequestHeader {
            id: RequestId::new(number),
            idempotent: is_idempotent(number),
            deadline: Timestamp::new(self.now + REQUEST_TIMEOUT),
        };
        let token = self.tokens[usize::from(flow_number)];
        let datagram = CallerDatagram::carry(flow(flow_number), token, b"").with_request(header);
        let effects = self.drive(TrafficEvent::Fabric(FabricDatagram::Caller(datagram)));
        self.apply_effects(effects);
    }

    fn server_of(&self, flow_number: u16) -> u16 {
        let token = self.tokens[usize::from(flow_number)];
        let backend = token.map(|token| token.unverified_claim().backend);
        let mut entries = self.entries.iter();
        let position = entries.position(|entry| Some(entry.id) == backend);
        position.map_or(0, |position| position as u16)
    }

    fn apply_effects(&mut self, effects: EngineEffects) {
        for (backend, request, attempt) in effects.sent {
            let mut entries = self.entries.iter();
            let Some(position) = entries.position(|entry| entry.id == backend) else {
                continue;
            };
            self.wait(request.get(), position as u16, false);
            self.send(position as u16, request.get(), attempt.0);
        }
        for request in effects.refused {
            let server = self.server_of(self.requests[request.get() as usize].flow);
            self.wait(request.get(), server, false);
            self.settle(request.get(), |figures| figures.refused += 1);
        }
        for request in effects.unknown {
            self.settle(request.get(), |figures| figures.unknown += 1);
        }
    }

    fn wait(&mut self, number: u64, server: u16, waits: bool) {
        let request = &mut self.requests[number as usize];
        let held = &mut self.servers[usize::from(server)].waiting;
        *held = *held + u32::from(waits) - u32::from(request.waiting);
        request.waiting = waits;
    }

    fn settle(&mut self, number: u64, count: impl FnOnce(&mut CostFigures)) {
        let request = &mut self.requests[number as usize];
        if !request.settled {
            request.settled = true;
            count(&mut self.figures);
        }
    }

    fn send(&mut self, server: u16, request: u64, attempt: u8) {
        self.figures.sent += 1;
        let event = SimulationEvent::Received {
            server,
            request,
            attempt,
        };
        self.schedule(HOP, event);
    }

    fn receive(&mut self, server: u16, request: u64, attempt: u8) {
        let held = &mut self.servers[usize::from(server)];
        if held.busy >= SLOTS {
            self.figures.shed += 1;
            let event = SimulationEvent::Replied {
                server,
                request,
                attempt,
                shed: true,
            };
            return self.schedule(2 * HOP, event);
        }
        held.busy += 1;
        self.figures.runs += 1;
        let open = &mut self.requests[request as usize];
        open.started = Some(self.now);
        open.runs += 1;
        let twice = open.runs > 1 && !is_idempotent(request);
        self.figures.run_twice += u64::from(twice);
        let duration = self.service_time();
        let event = SimulationEvent::Finished {
            server,
            request,
            attempt,
        };
        self.schedule(duration, event);
    }

    fn service_time(&mut self) -> u64 {
        let uniform: f64 = self.random.random_range(0.0..1.0);
        let pareto = (1.0 - uniform).powf(-1.0 / TAIL_EXPONENT);
        let mean = TAIL_EXPONENT / (TAIL_EXPONENT - 1.0);
        (MEAN_SERVICE * (pareto / mean).min(MAX_SERVICE_FACTOR)) as u64
    }

    fn finish(&mut self, server: u16, request: u64, attempt: u8) {
        self.servers[usize::from(server)].busy -= 1;
        let open = self.requests[request as usize];
        let in_time = self.now + HOP <= open.arrived + REQUEST_TIMEOUT;
        if in_time && !open.settled {
            let wait = open.started.unwrap_or(self.now) - open.arrived;
            self.figures.waits.push(wait);
            self.settle(request, |figures| figures.answered += 1);
        } else {
            self.settle(request, |figures| figures.unknown += 1);
        }
        let lost = match self.policy {
            AdmissionPolicy::Home { lost, .. } => self.random.random_range(0..1000) < lost,
            _ => false,
        };
        if !lost {
            let event = SimulationEvent::Replied {
                server,
                request,
                attempt,
                shed: false,
            };
            self.schedule(2 * HOP, event);
        }
    }

    fn reply(&mut self, server: u16, request: u64, attempt: u8, shed: bool) {
        let open = self.requests[request as usize];
        if !matches!(self.policy, AdmissionPolicy::Home { .. }) {
            let held = &mut self.servers[usize::from(server)].by_host[open.host];
            *held = held.saturating_sub(1);
            if shed {
                self.settle(request, |figures| figures.refused += 1);
            }
            return;
        }
        let id = RequestId::new(request);
        let attempt = AttemptNumber(attempt);
        let kind = match shed {
            true => BackendReplyKind::Shed {
                request: Some(id),
                attempt,
            },
            false => BackendReplyKind::Answer {
                request: id,
                attempt,
                part: PartNumber::WHOLE,
                payload: b"",
            },
        };
        let reply = BackendReply {
            flow: flow(open.flow),
            backend: self.entries[usize::from(server)].id,
            via: HostId::from_name("muc-nord-1"),
            kind,
        };
        let effects = self.drive(TrafficEvent::Fabric(FabricDatagram::Backend(reply)));
        self.apply_effects(effects);
    }

    fn tick(&mut self) {
        let now = Timestamp::new(self.now);
        self.snapshot.made = now;
        self.snapshot.fresh_until = now.after(time::Duration::from_secs(1));
        let shard = self.entries[0].shard(1);
        let view = ShardView {
            home: Some(HostId::from_name("muc-nord-1")),
            lease: Some(HomeLease {
                held_until: now.after(time::Duration::from_secs(1)),
                records_since: Timestamp::ZERO,
            }),
        };
        self.snapshot.shards.insert(shard, view);
        if self.now >= self.reported + REPORT_INTERVAL {
            self.reported = self.now;
            for (server, entry) in self.servers.iter().zip(&self.entries) {
                let report = ReportedLoad {
                    asked: now,
                    made: now,
                    busy_slots: server.busy,
                    answers: None,
                };
                let view = BackendView {
                    report: Some(report),
                    ..BackendView::default()
                };
                self.snapshot.backends.insert(entry.id, view);
            }
        }
        let effects = self.drive(TrafficEvent::Tick);
        self.apply_effects(effects);
        self.schedule(TICK, SimulationEvent::Tick);
    }
}

/// Whether the request is idempotent; every second one is.
fn is_idempotent(number: u64) -> bool {
    number.is_multiple_of(2)
}

fn domain() -> DomainId {
    DomainId::from_name("muc-nord")
}

fn service() -> ServiceId {
    ServiceId::from_name("renewal")
}

fn flow(number: u16) -> FlowKey {
    FlowKey {
        caller: net::SocketAddr::from(([192, 0, 2, 1], 1024 + number)),
        service: net::SocketAddr::from(([10, 0, 0, 1], 443)),
    }
}

fn server(index: u16) -> BackendEntry {
    let address = net::SocketAddr::from(([10, 1, 0, 1], 9000 + index));
    let name = format!("renewal-{index}");
    BackendEntry {
        id: BackendId::from_parts(service(), &name, address),
        name,
        service: service(),
        domain: domain(),
        address,
        slots: SlotCount::new(SLOTS),
        connections: ConnectionCount::new(2000),
        weight: Weight::new(100),
        phase: BackendPhase::Active,
    }
}

fn snapshot(entries: &[BackendEntry], home: HostId) -> RoutingSnapshot {
    let address = flow(0).service;
    let entry = ServiceEntry {
        id: service(),
        name: "renewal".to_owned(),
        team: TeamId::from_name("renewal"),
        address,
    };
    let configuration = InForceConfiguration {
        version: ConfigurationVersion::new(1),
        limits: ConfigurationLimits {
            shards_per_domain: 1,
            ..ConfigurationLimits::default()
        },
        services: [(service(), entry)].into_iter().collect(),
        backends: entries.iter().map(|held| (held.id, held.clone())).collect(),
        addresses: [(address, service())].into_iter().collect(),
        ..InForceConfiguration::default()
    };
    let view = ShardView {
        home: Some(home),
        lease: Some(HomeLease {
            held_until: Timestamp::MAX,
            records_since: Timestamp::ZERO,
        }),
    };
    RoutingSnapshot {
        made: Timestamp::new(START),
        phase: ServingPhase::Serving,
        fresh_until: Timestamp::MAX,
        generations: vec![sync::Arc::new(LookupTables::derive(&configuration, None))],
        shards: [(entries[0].shard(1), view)].into_iter().collect(),
        configuration: sync::Arc::new(configuration),
        ..RoutingSnapshot::starting()
    }
}

fn percentile(sorted: &[u64], percent: usize) -> f64 {
    let position = sorted.len().saturating_sub(1) * percent / 100;
    sorted
        .get(position)
        .map_or(0.0, |wait| *wait as f64 / 1000.0)
}

fn print_line(name: &str, load: f64, mut figures: CostFigures) {
    figures.waits.sort_unstable();
    let share = |count: u64| count as f64 * 100.0 / figures.offered as f64;
    let slot_time = u128::from(u32::from(SERVERS) * SLOTS) * u128::from(DURATION);
    println!(
        "| {name} | {:.0} % | {:.1} | {:.1} | {:.2} | {:.1} | {:.3} | {} | {:.1} | {:.1} | {:.1} | {:.1} |",
        load * 100.0,
        share(figures.answered),
        share(figures.refused),
        share(figures.unknown),
        figures.shed as f64 * 1000.0 / figures.sent.max(1) as f64,
        figures.runs as f64 / figures.answered.max(1) as f64,
        figures.run_twice,
        percentile(&figures.waits, 50),
        percentile(&figures.waits, 99),
        figures.busy_time as f64 * 100.0 / slot_time as f64,
        figures.wasted_time as f64 * 100.0 / slot_time as f64,
    );
}

fn main() {
    let home = |queue_per_slot, lost| AdmissionPolicy::Home {
        queue_per_slot,
        lost,
    };
    let ways = [
        ("home, queue of 4 a slot", home(4, 0)),
        ("home, queue of 1 a slot", home(1, 0)),
        ("home, queue of 8 a slot", home(8, 0)),
        ("home, queue of 16 a slot", home(16, 0)),
        ("home, queue of 4, 1 % of copies lost", home(4, 10)),
        ("home, queue of 4, 0.1 % of copies lost", home(4, 1)),
        ("home, no queue", home(0, 0)),
        ("fixed share of each host", AdmissionPolicy::FixedShare),
        ("send all, server sheds", AdmissionPolicy::SendAll),
    ];
    println!(
        "| way | load | answered % | refused % | unknown % | shed of 1,000 sent | \
         runs per answer | non-idempotent run twice | wait p50 ms | wait p99 ms | slots busy % | slots wasted % |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for load in [0.5, 0.8, 1.2] {
        for (name, policy) in ways {
            let figures = Simulation::new(policy, load).run();
            print_line(name, load, figures);
        }
    }
}
