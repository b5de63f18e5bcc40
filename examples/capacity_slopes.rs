//! Measures the memory and processor time of one host as configuration, fleet and
//! flows grow: each at three sizes, in a separate process. The figures of
//! `docs/CAPACITY.md` follow from the output.
//!
//! `cargo run --release --example capacity_slopes` prints the table;
//! `-- --json` prints one JSON object per line in addition.
#![allow(missing_docs)]

use std::env;
use std::fmt::Write;
use std::fs;
use std::hint;
use std::net;
use std::ops;
use std::process;
use std::time;

use cardamomwinch::coordination::control::event::PlatformAnswer;
use cardamomwinch::prelude::*;
use rustix::time::{ClockId, clock_gettime};
use serde_json::json;

const SECOND: u64 = 1_000_000;
const PAGE_BYTES: u64 = 4096;
/// Ticks of the control thread in one minute.
const TICKS: u64 = 600;
const PACKETS: u32 = 200_000;
/// Backend servers of the largest fleet that the design has to support.
const TARGET_SERVERS: u64 = 26_000;
/// Measured changes of one team's fragment. There are more than retained generations
/// of lookup tables, so that the mean includes removing the oldest generation.
const FRAGMENT_CHANGES: u64 = 20;

/// The quantity that grows from one measurement to the next.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Subject {
    Servers,
    Hosts,
    Flows,
    /// Published changes, each of every service, with `TARGET_SERVERS` servers.
    Generations,
    /// Servers of a fleet in which the fragment of one team changes.
    OneChange,
    /// Servers, on a host that can't become home of any.
    Unhomed,
}

impl Subject {
    const ALL: [Self; 6] = [
        Self::Servers,
        Self::Hosts,
        Self::Flows,
        Self::Generations,
        Self::OneChange,
        Self::Unhomed,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::Servers => "backend servers",
            Self::Hosts => "listed hosts",
            Self::Flows => "pinned flows",
            Self::Generations => "changes of all",
            Self::OneChange => "change of one",
            Self::Unhomed => "none homed",
        }
    }

    const fn sizes(self) -> [u64; 3] {
        match self {
            Self::Servers | Self::OneChange | Self::Unhomed => [2_600, 10_400, 26_000],
            Self::Hosts => [320, 1_280, 3_200],
            Self::Flows => [10_000, 70_000, 500_000],
            Self::Generations => [1, 3, 7],
        }
    }
}

fn main() {
    let words: Vec<String> = env::args().skip(1).collect();
    match words.as_slice() {
        [subject, size] if subject.parse::<usize>().is_ok() => {
            let subject = Subject::ALL[subject.parse::<usize>().unwrap_or_default()];
            measure(subject, size.parse().unwrap_or_default());
        }
        _ => measure_all(words.iter().any(|word| word == "--json")),
    }
}

/// Runs each measurement in a separate process, because a later measurement would reuse
/// memory that an earlier one freed and so appear too small.
fn measure_all(json: bool) {
    println!(
        "{:<16}{:>10}{:>16}{:>16}{:>18}",
        "grows", "size", "resident KiB", "adoption ms", "per unit"
    );
    for (index, subject) in Subject::ALL.into_iter().enumerate() {
        for size in subject.sizes() {
            let program = env::current_exe().expect("a running program has a path");
            let mut command = process::Command::new(program);
            let output = command.args([index.to_string(), size.to_string()]).output();
            let Ok(output) = output else {
                eprintln!("cannot measure {} at {size}", subject.name());
                continue;
            };
            let line = String::from_utf8_lossy(&output.stdout);
            let Ok(value) = serde_json::from_str::<serde_json::Value>(&line) else {
                eprintln!("no figure for {} at {size}", subject.name());
                continue;
            };
            println!(
                "{:<16}{:>10}{:>16}{:>16}{:>18}",
                subject.name(),
                size,
                value["resident_kib"].as_u64().unwrap_or_default(),
                value["adoption_ms"].as_u64().unwrap_or_default(),
                value["unit"].as_str().unwrap_or_default(),
            );
            if json {
                println!("{value}");
            }
        }
    }
}

fn measure(subject: Subject, size: u64) {
    let plan = match subject {
        Subject::Servers | Subject::OneChange => FleetPlan {
            servers: size,
            hosts: 9,
        },
        Subject::Unhomed => FleetPlan {
            servers: size,
            hosts: 90,
        },
        Subject::Generations => FleetPlan {
            servers: TARGET_SERVERS,
            hosts: 9,
        },
        Subject::Hosts => FleetPlan {
            servers: 18,
            hosts: size,
        },
        Subject::Flows => FleetPlan {
            servers: 18,
            hosts: 1,
        },
    };
    let documents = plan.documents();
    let before = resident_kib();
    let (mut fleet, adoption) = DrivenHost::start(&documents, plan.servers);
    let unit = match subject {
        Subject::Servers | Subject::Hosts | Subject::Unhomed => fleet.measure_ticks(),
        Subject::Flows => fleet.measure_flows(size),
        Subject::Generations => {
            let all = 0..documents.teams.len();
            let changes = (1..=size).map(|change| fleet.change(&plan, all.clone(), change));
            let spent: time::Duration = changes.sum();
            format!("{} ms a change", spent.as_millis() as u64 / size)
        }
        Subject::OneChange => {
            let changes = (1..=FRAGMENT_CHANGES).map(|change| fleet.change(&plan, 0..1, change));
            let spent: time::Duration = changes.sum();
            let each = spent.as_millis() as u64 / FRAGMENT_CHANGES;
            format!("{each} ms a change")
        }
    };
    let value = json!({
        "grows": subject.name(),
        "size": size,
        "resident_kib": resident_kib().saturating_sub(before),
        "adoption_ms": adoption.as_millis() as u64,
        "unit": unit,
    });
    println!("{value}");
    hint::black_box(&fleet);
}

/// The processor time of this thread, which other programs don't affect.
fn thread_time() -> time::Duration {
    let spent = clock_gettime(ClockId::ThreadCPUTime);
    time::Duration::new(spent.tv_sec as u64, spent.tv_nsec as u32)
}

fn resident_kib() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages
        .and_then(|pages| pages.parse().ok())
        .unwrap_or_default();
    pages * PAGE_BYTES / 1024
}

/// The size of the fleet.
struct FleetPlan {
    servers: u64,
    hosts: u64,
}

const DOMAINS: u64 = 10;
const SERVERS_PER_SERVICE: u64 = 10;
const SERVICES_PER_TEAM: u64 = 10;
/// Connections of each server: enough that the limit of the flow table is reached first.
const CONNECTIONS: u64 = 100_000;

/// The configuration documents of a fleet.
struct FleetDocuments {
    root: String,
    hosts: String,
    teams: Vec<String>,
}

impl FleetPlan {
    fn documents(&self) -> FleetDocuments {
        let services = self.servers.div_ceil(SERVERS_PER_SERVICE);
        let teams = services.div_ceil(SERVICES_PER_TEAM);
        FleetDocuments {
            root: self.root(1, teams),
            hosts: self.hosts(),
            teams: (0..teams).map(|team| self.fragment(team, 0)).collect(),
        }
    }

    /// The root document that lists the first `changed` teams at `revision`.
    fn root(&self, revision: u64, changed: u64) -> String {
        let services = self.servers.div_ceil(SERVERS_PER_SERVICE);
        let mut listed = serde_json::Map::new();
        for team in 0..services.div_ceil(SERVICES_PER_TEAM) {
            let published = if team < changed { revision } else { 1 };
            listed.insert(format!("team-{team}"), json!(published));
        }
        let limits = json!({"request_lifetime_ms": 5000});
        json!({"preset": "ordinary", "teams": listed, "limits": limits}).to_string()
    }

    fn hosts(&self) -> String {
        let mut text = "{\"hosts\": {".to_owned();
        for host in 0..self.hosts {
            let comma = if host == 0 { "" } else { "," };
            let domain = host % DOMAINS.min(self.hosts);
            let address = |port: u16| address(1, host, port);
            write!(
                text,
                "{comma}\"host-{host}\": {{\"domain\": \"domain-{domain}\", \
                 \"traffic_address\": \"{}\", \"relay_address\": \"{}\", \
                 \"peer_address\": \"{}\"}}",
                address(7100),
                address(7101),
                address(7102)
            )
            .expect("writing to a string cannot fail");
        }
        text.push_str("}}");
        text
    }

    /// The fragment of a team after `changes` changes. Each change lowers the weight
    /// of another server of every service.
    fn fragment(&self, team: u64, changes: u64) -> String {
        let mut services = serde_json::Map::new();
        let first = team * SERVICES_PER_TEAM;
        for service in first..first + SERVICES_PER_TEAM {
            let mut backends = serde_json::Map::new();
            let begin = service * SERVERS_PER_SERVICE;
            for server in begin..(begin + SERVERS_PER_SERVICE).min(self.servers) {
                let domain = server % DOMAINS.min(self.hosts);
                let definition = json!({
                    "domain": format!("domain-{domain}"),
                    "address": address(2, server, 9000).to_string(),
                    "connections": CONNECTIONS,
                    "weight": if server - begin == changes % SERVERS_PER_SERVICE { 50 } else { 100 },
                });
                backends.insert(format!("server-{server}"), definition);
            }
            if !backends.is_empty() {
                let address = address(3, service, 80).to_string();
                let definition = json!({"address": address, "backends": backends});
                services.insert(format!("service-{service}"), definition);
            }
        }
        json!({"team": format!("team-{team}"), "services": services}).to_string()
    }
}

/// A loopback address whose second byte is `kind`. No datagram is ever sent to it.
fn address(kind: u8, index: u64, port: u16) -> net::SocketAddr {
    let [.., high, low] = (index as u32).to_be_bytes();
    net::SocketAddr::from(([127, kind, high, low], port))
}

/// A host that is driven through its public interface.
struct DrivenHost {
    engine: HostEngine,
    now: Timestamp,
}

impl DrivenHost {
    /// Starts the host and lets it settle. Also returns the processor time that the
    /// control thread used until `servers` servers were in force.
    fn start(documents: &FleetDocuments, servers: u64) -> (Self, time::Duration) {
        let started = thread_time();
        let mut adoption = None;
        let identity = HostIdentity {
            host: HostId::from_name("host-0"),
            domain: DomainId::from_name("domain-0"),
            incarnation: Incarnation::new(1),
        };
        let keys = AuthenticationKeys::new(SecretKey::new([7; 32]), None);
        let engine = HostBuilder::new(identity, keys).build();
        let now = Timestamp::new(SECOND);
        let mut host = Self { engine, now };
        let mut calls = host.control(ControlEvent::Start);
        for _ in 0..200 {
            let mut next = Vec::new();
            for request in calls {
                next.extend(host.answer(request, documents));
            }
            next.extend(host.step());
            calls = next;
            let in_force = &host.engine.snapshot().configuration.backends;
            if adoption.is_none() && in_force.len() as u64 == servers {
                adoption = Some(thread_time() - started);
            }
        }
        let adoption = adoption.expect("a host adopts the servers in its documents");
        (host, adoption)
    }

    fn answer(
        &mut self,
        request: PlatformRequest,
        documents: &FleetDocuments,
    ) -> Vec<PlatformRequest> {
        if request.after.is_some_and(|after| after > 0) {
            return Vec::new();
        }
        let text = match &request.key {
            PlatformKey::Root => documents.root.clone(),
            PlatformKey::Hosts => documents.hosts.clone(),
            PlatformKey::Team(name) => {
                let number = name.trim_start_matches("team-").parse::<usize>();
                documents.teams[number.unwrap_or_default()].clone()
            }
        };
        let result = Ok(PlatformAnswer::Value { revision: 1, text });
        let outcome = PlatformOutcome { request, result };
        self.control(ControlEvent::Platform(outcome))
    }

    fn control(&mut self, event: ControlEvent) -> Vec<PlatformRequest> {
        let mut calls = Vec::new();
        let mut probed = Vec::new();
        let event = HostEvent::Control(event);
        self.engine.handle(
            self.now,
            event,
            &mut |effect: HostEffect<'_>| match effect {
                HostEffect::Control(ControlEffect::Platform(request)) => calls.push(request),
                HostEffect::Control(ControlEffect::ProbeLoad { backend, .. }) => {
                    probed.push(backend);
                }
                _ => {}
            },
        );
        // The health of servers that never answer would be evaluated again in each tick.
        for backend in probed {
            let result = Ok(LoadReport {
                busy_slots: 1,
                connections: 100,
                healthy: true,
                draining: false,
                answers: None,
            });
            calls.extend(self.control(ControlEvent::Load { backend, result }));
        }
        calls
    }

    fn step(&mut self) -> Vec<PlatformRequest> {
        self.now = Timestamp::new(self.now.get() + SECOND / 10);
        self.control(ControlEvent::Tick)
    }

    /// Publishes the next change of `teams` and returns the processor time that the
    /// control thread used until all of them were in force.
    fn change(
        &mut self,
        plan: &FleetPlan,
        teams: ops::Range<usize>,
        changes: u64,
    ) -> time::Duration {
        let revision = changes + 1;
        let texts: Vec<(String, String)> = teams
            .map(|team| (format!("team-{team}"), plan.fragment(team as u64, changes)))
            .collect();
        let root = plan.root(revision, texts.len() as u64);
        let started = thread_time();
        self.apply_document(PlatformKey::Root, revision, root);
        for (name, text) in texts {
            self.apply_document(PlatformKey::Team(name), revision, text);
        }
        self.step();
        thread_time() - started
    }

    fn apply_document(
        &mut self,
        key: PlatformKey,
        revision: u64,
        text: String,
    ) -> Vec<PlatformRequest> {
        let request = PlatformRequest {
            key,
            after: None,
            wait: time::Duration::ZERO,
        };
        let result = Ok(PlatformAnswer::Value { revision, text });
        self.control(ControlEvent::Platform(PlatformOutcome { request, result }))
    }

    /// Measures the processor time of the control thread of an idle host.
    fn measure_ticks(&mut self) -> String {
        let started = thread_time();
        for _ in 0..TICKS {
            hint::black_box(self.step());
        }
        let spent = thread_time() - started;
        let share = spent.as_secs_f64() / 60.0 * 100.0;
        format!("{share:.2} % of a core")
    }

    /// Opens `count` flows and sends packets on them; returns bytes per flow and time per
    /// packet.
    fn measure_flows(&mut self, count: u64) -> String {
        let before = resident_kib();
        for index in 0..count {
            self.send(CallerDatagram::open(flow(index), b""));
            if index % 2000 == 0 {
                self.step();
            }
        }
        let bytes = resident_kib().saturating_sub(before) * 1024 / count;
        let started = thread_time();
        for index in 0..u64::from(PACKETS) {
            if index % 2000 == 0 {
                self.step();
            }
            let datagram = CallerDatagram::carry(flow(index * 7919 % count), None, b"");
            self.send(datagram);
        }
        let each = (thread_time() - started).as_nanos() as u64 / u64::from(PACKETS);
        format!("{bytes} B, {each} ns")
    }

    fn send(&mut self, datagram: CallerDatagram<'_>) {
        let event = TrafficEvent::Fabric(FabricDatagram::Caller(datagram));
        self.engine.handle(
            self.now,
            HostEvent::Traffic(event),
            &mut |effect: HostEffect<'_>| {
                hint::black_box(&effect);
            },
        );
    }
}

fn flow(index: u64) -> FlowKey {
    let port = 1024 + (index % 60_000) as u16;
    FlowKey {
        caller: address(4, index / 60_000, port),
        service: address(3, index % 2, 80),
    }
}
