//! A fleet of adoption engines with a network and a platform, in simulated time.

use std::cmp;
use std::collections::BinaryHeap;
use std::fmt;
use std::time;

use cardamomwinch_configuration::check::CheckReport;
use cardamomwinch_configuration::host_list;
use cardamomwinch_coordination::control::adoption::accepted::AcceptedState;
use cardamomwinch_coordination::control::adoption::document::{HeldFragment, HeldRoot};
use cardamomwinch_coordination::control::adoption::effect::AdoptionEffect;
use cardamomwinch_coordination::control::adoption::host_lists::HeldHosts;
use cardamomwinch_coordination::control::adoption::{ConfigurationAdoption, PeerReachability};
use cardamomwinch_coordination::control::event::{PlatformAnswer, PlatformFailure};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::peer::configuration::{
    ConfigurationDigest, ConfigurationMessage, PublishedText,
};
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const TICK: time::Duration = time::Duration::from_millis(100);
/// Peers that each host probes per `PROBE_INTERVAL`; the answers carry digests, too.
const PROBES: usize = 3;
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(1000);
/// How long a dead host is still considered reachable.
const DETECTION_TIME: time::Duration = time::Duration::from_millis(1000);
const LOSS: f64 = 0.01;
/// Headers of IP and UDP, and the authentication code.
const HEADER_BYTES: usize = 28 + 16;
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1000);
/// How long the fleet runs after a change before the cost is computed.
const RUN_DURATION: time::Duration = time::Duration::from_secs(30);
const TEAMS: usize = 20;
const BACKENDS_PER_TEAM: usize = 20;

/// A way to bring a change to all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SpreadWay {
    /// Every host watches the platform.
    AllRead,
    /// Readers watch; the other hosts learn of changes only from the digests in
    /// heartbeats.
    Heartbeats,
    /// Readers watch; a host that adopts a change announces it to a few peers at once.
    Announced,
}

impl SpreadWay {
    pub(crate) const ALL: [Self; 3] = [Self::AllRead, Self::Heartbeats, Self::Announced];
}

impl fmt::Display for SpreadWay {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::AllRead => "every host watches",
            Self::Heartbeats => "readers, heartbeats only",
            Self::Announced => "readers, announcements",
        })
    }
}

/// The change that is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// A switch of the preset.
    Preset,
    /// A new fragment of one team.
    Fragment,
    /// A new fragment of one team, while the first reader of every failure domain
    /// is killed.
    ReadersKilled,
    /// One host is removed from the host list.
    HostList,
}

impl Change {
    pub(crate) const ALL: [Self; 4] = [
        Self::Preset,
        Self::Fragment,
        Self::ReadersKilled,
        Self::HostList,
    ];
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Preset => "preset",
            Self::Fragment => "fragment",
            Self::ReadersKilled => "fragment, a reader of each domain killed",
            Self::HostList => "list of hosts",
        })
    }
}

/// The times and messages that one change took.
#[derive(Debug)]
pub(crate) struct ChangeCost {
    median: time::Duration,
    last: Option<time::Duration>,
    messages: f64,
    bytes: f64,
    most_bytes: usize,
    calls: usize,
}

impl fmt::Display for ChangeCost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let last = self
            .last
            .map_or_else(|| "not all".to_owned(), |last| last.as_millis().to_string());
        write!(
            formatter,
            "{} | {last} | {:.1} | {:.0} | {} | {}",
            self.median.as_millis(),
            self.messages,
            self.bytes,
            self.most_bytes,
            self.calls
        )
    }
}

/// Counts of calls to the platform.
#[derive(Debug)]
pub(crate) struct CallCosts {
    calm: f64,
    outage: usize,
    after: [usize; 3],
}

impl fmt::Display for CallCosts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second, third] = self.after;
        let (calm, outage) = (self.calm, self.outage);
        write!(
            formatter,
            "{calm:.1} | {outage} | {first} | {second} | {third}"
        )
    }
}

#[derive(Debug)]
enum FleetEvent {
    Tick(usize),
    Probe(usize),
    Digest(usize, HostId, ConfigurationDigest),
    Message(usize, HostId, Box<ConfigurationMessage>),
    Call(usize, PlatformRequest),
    Outcome(usize, PlatformOutcome),
}

#[derive(Debug)]
struct Scheduled {
    due: Timestamp,
    order: u64,
    event: FleetEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.due, other.order).cmp(&(self.due, self.order))
    }
}

/// Reachability that detects a dead host after `DETECTION_TIME`.
#[derive(Debug)]
struct FakedReachability {
    /// When each host died.
    died: SortedVector<HostId, Timestamp>,
    nobody: bool,
}

impl PeerReachability for FakedReachability {
    fn is_reachable(&self, now: Timestamp, host: HostId) -> bool {
        let died = self.died.get(&host);
        !self.nobody && died.is_none_or(|died| now < died.after(DETECTION_TIME))
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Sent {
    messages: usize,
    bytes: usize,
}

#[derive(Debug, Default)]
struct Platform {
    values: SortedVector<PlatformKey, PublishedText>,
    revision: u64,
    fails: bool,
    watches: Vec<(usize, PlatformRequest)>,
    calls: Vec<Timestamp>,
}

/// The simulated fleet and its platform.
#[derive(Debug)]
pub(crate) struct FleetCosts {
    way: SpreadWay,
    domains: usize,
    engines: Vec<ConfigurationAdoption>,
    ids: Vec<HostId>,
    positions: SortedVector<HostId, usize>,
    alive: Vec<bool>,
    sent: Vec<Sent>,
    in_force: Vec<Option<Timestamp>>,
    awaited: ConfigurationDigest,
    reachability: FakedReachability,
    platform: Platform,
    random: SmallRng,
    queue: BinaryHeap<Scheduled>,
    order: u64,
    now: Timestamp,
    buffer: Vec<u8>,
}

impl FleetCosts {
    /// Creates a fleet in which a first configuration has been in force for five seconds.
    pub(crate) fn new(size: usize, way: SpreadWay, seed: u64) -> Result<Self, CheckReport> {
        let domains = match size {
            0..=49 => 3,
            50..=199 => 4,
            200..=999 => 10,
            _ => 40,
        };
        let mut platform = Platform::default();
        let now = Timestamp::new(1_000_000);
        let mut state = AcceptedState::default();
        for team in 0..TEAMS {
            let name = team_name(team);
            let published = platform.put(PlatformKey::Team(name.clone()), fragment(team, 0));
            let held = HeldFragment::read(&name, published);
            state.team_mut(&name).accept(&held);
        }
        let root = platform.put(PlatformKey::Root, platform.root("ordinary"));
        state.merge_root(HeldRoot::read(root)?);
        let list = platform.put(PlatformKey::Hosts, hosts(size, domains));
        let version = HostListVersion::new(list.revision);
        let table = host_list::parse("hosts", &list.text, version)?;
        state.hosts.replace_if_newer(HeldHosts::new(table));
        let ids: Vec<HostId> = (0..size)
            .map(|host| HostId::from_name(&host_name(host)))
            .collect();
        let identities = ids.iter().enumerate().map(|(host, id)| HostIdentity {
            host: *id,
            domain: DomainId::from_name(&domain_name(host % domains)),
            incarnation: Incarnation::new(seed),
        });
        let engines = identities
            .map(|identity| ConfigurationAdoption::resume(identity, now, state.clone()))
            .collect();
        let mut fleet = Self {
            way,
            domains,
            engines,
            positions: ids
                .iter()
                .copied()
                .enumerate()
                .map(|(position, id)| (id, position))
                .collect(),
            ids,
            alive: vec![true; size],
            sent: vec![Sent::default(); size],
            in_force: vec![None; size],
            awaited: ConfigurationDigest::default(),
            reachability: FakedReachability {
                died: SortedVector::new(),
                nobody: way == SpreadWay::AllRead,
            },
            platform,
            random: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            order: 0,
            now,
            buffer: vec![0; 16 * 1024 * 1024],
        };
        for host in 0..size {
            let tick = fleet.random.random_range(0..100_000);
            fleet.schedule(time::Duration::from_micros(tick), FleetEvent::Tick(host));
            if way != SpreadWay::AllRead {
                let probe = fleet.random.random_range(0..1_000_000);
                fleet.schedule(time::Duration::from_micros(probe), FleetEvent::Probe(host));
            }
        }
        fleet.run_for(time::Duration::from_secs(5));
        Ok(fleet)
    }

    /// Publishes `change` and measures when it is in force on each host.
    pub(crate) fn measure(&mut self, change: Change) -> Result<ChangeCost, CheckReport> {
        let begun = self.now;
        let calls = self.platform.calls.len();
        self.sent.fill(Sent::default());
        self.in_force.fill(None);
        if change == Change::HostList {
            let all = hosts(self.ids.len(), self.domains);
            let first = format!("{},", host_entry(0, self.domains));
            let list = self
                .platform
                .put(PlatformKey::Hosts, all.replace(&first, ""));
            self.awaited.host_list = HostListVersion::new(list.revision);
            self.alive[0] = false;
            self.answer_watches(&PlatformKey::Hosts);
        } else {
            if change != Change::Preset {
                let key = PlatformKey::Team(team_name(0));
                self.platform.put(key, fragment(0, 1));
            }
            let root = self
                .platform
                .put(PlatformKey::Root, self.platform.root("peak"));
            self.awaited.version = ConfigurationVersion::new(root.revision);
            self.answer_watches(&PlatformKey::Root);
        }
        if change == Change::ReadersKilled {
            self.run_for(time::Duration::from_millis(6));
            self.kill_readers();
        }
        self.run_for(RUN_DURATION);
        let alive = || (0..self.ids.len()).filter(|host| self.alive[*host]);
        let mut times: Vec<time::Duration> = alive()
            .filter_map(|host| Some(self.in_force[host]?.since(begun)))
            .collect();
        times.sort();
        let count = alive().count();
        let messages: usize = alive().map(|host| self.sent[host].messages).sum();
        let bytes: usize = alive().map(|host| self.sent[host].bytes).sum();
        Ok(ChangeCost {
            median: times.get(count / 2).copied().unwrap_or(RUN_DURATION),
            last: times.last().copied().filter(|_| times.len() == count),
            messages: messages as f64 / count as f64,
            bytes: bytes as f64 / count as f64,
            most_bytes: alive().map(|host| self.sent[host].bytes).max().unwrap_or(0),
            calls: self.calls_between(calls, begun.after(time::Duration::from_secs(3))),
        })
    }

    fn calls_between(&self, first: usize, end: Timestamp) -> usize {
        let calls = self.platform.calls[first..].iter();
        calls.filter(|call| **call < end).count()
    }

    fn kill_readers(&mut self) {
        let mut domains = vec![false; self.domains];
        for host in 0..self.ids.len() {
            let reads = self.engines[host].is_reader(self.now, &self.reachability);
            let seen = &mut domains[host % self.domains];
            if reads && !*seen {
                *seen = true;
                self.alive[host] = false;
                self.reachability.died.insert(self.ids[host], self.now);
            }
        }
    }

    /// Counts the calls while the platform answers without changes for `calm`, during an
    /// outage, and in each of the three seconds after it.
    pub(crate) fn measure_calls(
        &mut self,
        calm: time::Duration,
        outage: time::Duration,
    ) -> CallCosts {
        let second = time::Duration::from_secs(1);
        let first = self.platform.calls.len();
        self.run_for(calm);
        let calm_calls = self.platform.calls.len() - first;
        self.platform.fails = true;
        self.platform.watches.clear();
        let begun = self.now;
        self.run_for(outage);
        let outage_calls = (0..outage.as_secs()).map(|index| {
            let from = begun.after(second * index as u32);
            self.calls_from(from, from.after(second))
        });
        let outage_calls = outage_calls.max().unwrap_or(0);
        self.platform.fails = false;
        let back = self.now;
        self.run_for(second * 3);
        CallCosts {
            calm: calm_calls as f64 / calm.as_secs_f64(),
            outage: outage_calls,
            after: [0, 1, 2].map(|index| {
                let from = back.after(second * index);
                self.calls_from(from, from.after(second))
            }),
        }
    }

    fn calls_from(&self, from: Timestamp, end: Timestamp) -> usize {
        let calls = self.platform.calls.iter();
        calls.filter(|call| **call >= from && **call < end).count()
    }

    fn schedule(&mut self, after: time::Duration, event: FleetEvent) {
        self.order += 1;
        self.queue.push(Scheduled {
            due: self.now.after(after),
            order: self.order,
            event,
        });
    }

    fn run_for(&mut self, duration: time::Duration) {
        let end = self.now.after(duration);
        while self.queue.peek().is_some_and(|next| next.due <= end) {
            if let Some(next) = self.queue.pop() {
                self.now = next.due;
                self.handle(next.event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: FleetEvent) {
        let now = self.now;
        let mut effects = Vec::new();
        let host = match event {
            FleetEvent::Tick(host) => {
                if self.alive[host] {
                    self.schedule(TICK, FleetEvent::Tick(host));
                    self.engines[host].tick(now, &self.reachability, &mut effects);
                }
                host
            }
            FleetEvent::Probe(host) => return self.probe(host),
            FleetEvent::Digest(host, sender, digest) => {
                if self.alive[host] {
                    self.engines[host].handle_digest(now, sender, digest, &mut effects);
                }
                host
            }
            FleetEvent::Message(host, sender, message) => {
                if self.alive[host] {
                    self.engines[host].handle_message(now, sender, &message, &mut effects);
                }
                host
            }
            FleetEvent::Call(host, request) => return self.call(host, request),
            FleetEvent::Outcome(host, outcome) => {
                if self.alive[host] {
                    let reachability = &self.reachability;
                    self.engines[host].handle_platform_outcome(
                        now,
                        outcome,
                        reachability,
                        &mut effects,
                    );
                }
                host
            }
        };
        self.carry_out(host, effects);
    }

    fn delay(&mut self) -> time::Duration {
        time::Duration::from_micros(self.random.random_range(500..2_000))
    }

    fn probe(&mut self, host: usize) {
        if !self.alive[host] {
            return;
        }
        for _ in 0..PROBES {
            let peer = self.random.random_range(0..self.ids.len());
            if peer == host || !self.alive[peer] || self.random.random_bool(LOSS) {
                continue;
            }
            let (there, back) = (self.delay(), self.delay());
            let (own, other) = (self.engines[host].digest(), self.engines[peer].digest());
            self.schedule(there, FleetEvent::Digest(peer, self.ids[host], own));
            self.schedule(
                there + back,
                FleetEvent::Digest(host, self.ids[peer], other),
            );
        }
        self.schedule(PROBE_INTERVAL, FleetEvent::Probe(host));
    }

    fn carry_out(&mut self, host: usize, effects: Vec<AdoptionEffect>) {
        for effect in effects {
            match effect {
                AdoptionEffect::Call(request) => {
                    let delay = self.delay();
                    self.schedule(delay, FleetEvent::Call(host, request));
                }
                AdoptionEffect::Send {
                    host: to, message, ..
                } => self.send(host, to, message),
                _ => {}
            }
        }
        let digest = self.engines[host].digest();
        let arrived =
            digest.version >= self.awaited.version && digest.host_list >= self.awaited.host_list;
        if arrived {
            let now = self.now;
            self.in_force[host].get_or_insert(now);
        }
    }

    fn send(&mut self, from: usize, to: HostId, message: ConfigurationMessage) {
        let announces = matches!(message, ConfigurationMessage::Announce { .. });
        if announces && self.way != SpreadWay::Announced || self.way == SpreadWay::AllRead {
            return;
        }
        let envelope = PeerEnvelope {
            sender: self.ids[from],
            incarnation: Incarnation::new(1_700_000_000_000_000),
            sequence: self.order,
            message: PeerMessage::Configuration(message),
        };
        let length = codec::encode(&envelope, &mut self.buffer).map_or(0, |bytes| bytes.len());
        self.sent[from].messages += 1;
        self.sent[from].bytes += length + HEADER_BYTES;
        let PeerMessage::Configuration(message) = envelope.message else {
            return;
        };
        let (Some(to), false) = (
            self.positions.get(&to).copied(),
            self.random.random_bool(LOSS),
        ) else {
            return;
        };
        let delay = self.delay();
        self.schedule(
            delay,
            FleetEvent::Message(to, self.ids[from], Box::new(message)),
        );
    }

    fn call(&mut self, host: usize, request: PlatformRequest) {
        self.platform.calls.push(self.now);
        if self.platform.fails {
            let result = Err(PlatformFailure);
            let outcome = PlatformOutcome { request, result };
            return self.schedule(CALL_TIMEOUT, FleetEvent::Outcome(host, outcome));
        }
        let held = self.platform.values.get(&request.key);
        let revision = held.map_or(0, |held| held.revision);
        if request.after.is_some_and(|after| revision <= after) {
            let outcome = PlatformOutcome {
                request: request.clone(),
                result: Ok(PlatformAnswer::Unchanged),
            };
            self.schedule(request.wait, FleetEvent::Outcome(host, outcome));
            return self.platform.watches.push((host, request));
        }
        self.answer(host, request);
    }

    fn answer(&mut self, host: usize, request: PlatformRequest) {
        let held = self.platform.values.get(&request.key);
        let answer = held.map_or(PlatformAnswer::Missing, |held| PlatformAnswer::Value {
            revision: held.revision,
            text: held.text.clone(),
        });
        let result = Ok(answer);
        let delay = self.delay();
        self.schedule(
            delay,
            FleetEvent::Outcome(host, PlatformOutcome { request, result }),
        );
    }

    fn answer_watches(&mut self, key: &PlatformKey) {
        let watches = std::mem::take(&mut self.platform.watches);
        for (host, request) in watches {
            if request.key == *key {
                self.answer(host, request);
            } else {
                self.platform.watches.push((host, request));
            }
        }
    }
}

impl Platform {
    fn put(&mut self, key: PlatformKey, text: String) -> PublishedText {
        self.revision += 1;
        let revision = self.revision;
        let published = PublishedText { revision, text };
        self.values.insert(key, published.clone());
        published
    }

    fn root(&self, preset: &str) -> String {
        let teams = self.values.iter().filter_map(|(key, held)| match key {
            PlatformKey::Team(team) => Some(format!(r#""{team}": {}"#, held.revision)),
            _ => None,
        });
        let teams = teams.collect::<Vec<_>>().join(", ");
        format!(r#"{{"preset": "{preset}", "teams": {{{teams}}}}}"#)
    }
}

fn host_name(host: usize) -> String {
    format!("host-{host}")
}

fn domain_name(domain: usize) -> String {
    format!("domain-{domain}")
}

fn team_name(team: usize) -> String {
    format!("team-{team:02}")
}

fn host_entry(host: usize, domains: usize) -> String {
    let (name, domain) = (host_name(host), domain_name(host % domains));
    let address = format!("127.1.{}.{}", host / 250 + 1, host % 250 + 1);
    format!(
        r#""{name}": {{"domain": "{domain}", "traffic_address": "{address}:4000", "relay_address": "{address}:4001", "peer_address": "{address}:4002"}}"#
    )
}

fn hosts(count: usize, domains: usize) -> String {
    let hosts = (0..count).map(|host| host_entry(host, domains));
    format!(
        r#"{{"hosts": {{{}}}}}"#,
        hosts.collect::<Vec<_>>().join(",")
    )
}

fn fragment(team: usize, variant: usize) -> String {
    let name = team_name(team);
    let backends = (0..BACKENDS_PER_TEAM).map(|backend| {
        let port = 10_000 + team * 100 + backend;
        let weight = 100 + variant;
        format!(r#""{name}-{backend}": {{"domain": "domain-0", "address": "127.0.0.1:{port}", "slots": 2, "connections": 2000, "weight": {weight}}}"#)
    });
    let backends = backends.collect::<Vec<_>>().join(", ");
    let port = 7_000 + team;
    format!(
        r#"{{"team": "{name}", "presets": {{}}, "services": {{"{name}": {{"address": "127.0.0.1:{port}", "backends": {{{backends}}}}}}}}}"#
    )
}
