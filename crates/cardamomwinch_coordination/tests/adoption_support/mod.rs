//! A deterministic simulation of a fleet of control engines, a network and a
//! platform: a seed determines all delays and losses, and time is simulated.
#![allow(dead_code, unreachable_pub)]

pub mod documents;
pub mod platform;

use std::collections::BinaryHeap;
use std::time;

use cardamomwinch_coordination::control::adoption::refusal::RefusedDocument;
use cardamomwinch_coordination::control::event::{PlatformAnswer, PlatformFailure};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use documents::{FleetShape, host_name};
use platform::{TestPlatform, WaitingWatch};

pub const TICK: time::Duration = time::Duration::from_millis(100);
const CALL_DELAY: time::Duration = time::Duration::from_millis(2);

#[derive(Debug)]
enum FleetEvent {
    Start(usize),
    Tick(usize),
    Deliver(usize, PeerEnvelope),
    Call(usize, PlatformRequest),
    Outcome(usize, PlatformOutcome),
}

impl FleetEvent {
    fn host(&self) -> usize {
        match self {
            Self::Start(host)
            | Self::Tick(host)
            | Self::Deliver(host, _)
            | Self::Call(host, _)
            | Self::Outcome(host, _) => *host,
        }
    }
}

#[derive(Debug)]
struct Scheduled {
    due: Timestamp,
    order: u64,
    incarnation: u64,
    event: FleetEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.order) == (other.due, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.due, other.order).cmp(&(self.due, self.order))
    }
}

/// One host of the fleet.
pub struct FleetHost {
    pub domain: usize,
    pub engine: Option<ControlEngine>,
    pub snapshot: std::sync::Arc<RoutingSnapshot>,
    pub counts: SortedVector<Counter, u64>,
    pub refusals: Vec<RefusedDocument>,
    pub paused_until: Timestamp,
    /// The versions that the host had in force, in order.
    pub versions: Vec<ConfigurationVersion>,
    incarnation: u64,
}

impl FleetHost {
    pub fn count(&self, counter: Counter) -> u64 {
        self.counts.get(&counter).copied().unwrap_or(0)
    }

    pub fn preset(&self) -> &str {
        &self.snapshot.configuration.preset
    }

    pub fn serves(&self) -> bool {
        self.snapshot.phase == ServingPhase::Serving
    }
}

type CutRule = Box<dyn Fn(usize, usize) -> bool>;

/// The fleet, its network and its platform.
pub struct TestFleet {
    pub shape: FleetShape,
    pub hosts: Vec<FleetHost>,
    pub platform: TestPlatform,
    pub now: Timestamp,
    /// The fraction of messages between hosts that get lost.
    pub loss: f64,
    /// The longest delay of a message between hosts.
    pub delay: time::Duration,
    /// Whether messages from the first to the second host are cut.
    pub cut: CutRule,
    /// Whether a host is cut off from the platform.
    pub platform_cut: Box<dyn Fn(usize) -> bool>,
    /// Presets that the platform has published, by version.
    pub published: SortedVector<u64, String>,
    random: SmallRng,
    queue: BinaryHeap<Scheduled>,
    order: u64,
}

impl TestFleet {
    /// Creates a fleet whose hosts are not started yet.
    pub fn new(shape: FleetShape, seed: u64) -> Self {
        let count = shape.count();
        let hosts = (0..count).map(|host| FleetHost {
            domain: shape.domain_of(host),
            engine: None,
            snapshot: std::sync::Arc::new(RoutingSnapshot::starting()),
            counts: SortedVector::new(),
            refusals: Vec::new(),
            paused_until: Timestamp::ZERO,
            versions: Vec::new(),
            incarnation: 0,
        });
        let mut fleet = Self {
            hosts: hosts.collect(),
            platform: TestPlatform::default(),
            now: Timestamp::new(1_000_000),
            loss: 0.0,
            delay: time::Duration::from_millis(2),
            cut: Box::new(|_, _| false),
            platform_cut: Box::new(|_| false),
            published: SortedVector::new(),
            random: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            order: 0,
            shape,
        };
        let list = fleet.shape.host_list(|_| true);
        fleet.publish(PlatformKey::Hosts, &list);
        fleet
    }

    /// Creates a fleet in which every host serves under the preset "ordinary".
    pub fn serving(shape: FleetShape, seed: u64) -> Self {
        let mut fleet = Self::new(shape, seed);
        fleet.publish_ordinary("ordinary");
        for host in 0..fleet.hosts.len() {
            fleet.start(host);
        }
        fleet.run_for(time::Duration::from_secs(6));
        fleet.expect_everywhere("ordinary");
        fleet
    }

    /// Cuts off the hosts that match `rule` from the platform. Their watches hang.
    pub fn cut_platform(&mut self, rule: fn(usize) -> bool) {
        self.platform_cut = Box::new(rule);
        self.platform.drop_watches(rule);
    }

    /// Publishes `text` and returns its revision.
    pub fn publish(&mut self, key: PlatformKey, text: &str) -> u64 {
        let (revision, answered) = self.platform.publish(key, text);
        for watch in answered {
            self.answer(watch.host, watch.incarnation, watch.request);
        }
        revision
    }

    /// Publishes a root document with `preset` that lists the newest fragments.
    pub fn publish_root(&mut self, preset: &str) -> u64 {
        let text = documents::root(preset, &self.platform.team_revisions());
        let revision = self.publish(PlatformKey::Root, &text);
        self.published.insert(revision, preset.to_owned());
        revision
    }

    /// Publishes a fragment of `team`.
    pub fn publish_team(&mut self, team: &str, text: &str) -> u64 {
        self.publish(PlatformKey::Team(team.to_owned()), text)
    }

    /// Publishes two ordinary teams and the root document.
    pub fn publish_ordinary(&mut self, preset: &str) -> u64 {
        self.publish_team("search", &documents::fragment("search", "desk", 7001, 9001));
        self.publish_team(
            "vault",
            &documents::fragment("vault", "docvault", 7002, 9002),
        );
        self.publish_root(preset)
    }

    /// Starts a new incarnation of `host`.
    pub fn start(&mut self, host: usize) {
        let identity = self.shape.identity(host, self.now);
        let entry = &mut self.hosts[host];
        entry.engine = Some(ControlEngine::new(identity));
        entry.snapshot = std::sync::Arc::new(RoutingSnapshot::starting());
        entry.versions.clear();
        entry.paused_until = Timestamp::ZERO;
        entry.incarnation += 1;
        let offset = time::Duration::from_micros(self.random.random_range(0..100_000));
        self.schedule(time::Duration::ZERO, FleetEvent::Start(host));
        self.schedule(offset, FleetEvent::Tick(host));
    }

    /// Crashes `host`.
    pub fn crash(&mut self, host: usize) {
        self.hosts[host].engine = None;
        self.hosts[host].incarnation += 1;
    }

    /// Pauses `host`: its events wait until it resumes.
    pub fn pause(&mut self, host: usize, duration: time::Duration) {
        self.hosts[host].paused_until = self.now.after(duration);
    }

    fn schedule(&mut self, after: time::Duration, event: FleetEvent) {
        let incarnation = self.hosts[event.host()].incarnation;
        self.schedule_at(self.now.after(after), incarnation, event);
    }

    fn schedule_at(&mut self, due: Timestamp, incarnation: u64, event: FleetEvent) {
        self.order += 1;
        self.queue.push(Scheduled {
            due,
            order: self.order,
            incarnation,
            event,
        });
    }

    /// Runs until `duration` has passed.
    pub fn run_for(&mut self, duration: time::Duration) {
        let end = self.now.after(duration);
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until `condition` holds, at most for `limit`. Returns whether it held.
    pub fn run_until(&mut self, limit: time::Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now.after(limit);
        while !condition(self) {
            if !self.step(end) {
                return false;
            }
        }
        true
    }

    fn step(&mut self, end: Timestamp) -> bool {
        if self.queue.peek().is_none_or(|next| next.due > end) {
            return false;
        }
        let Some(next) = self.queue.pop() else {
            return false;
        };
        self.now = next.due;
        let host = next.event.host();
        if let FleetEvent::Call(_, request) = next.event {
            self.handle_call(host, next.incarnation, request);
            return true;
        }
        if self.hosts[host].incarnation != next.incarnation || self.hosts[host].engine.is_none() {
            return true;
        }
        let resumes = self.hosts[host].paused_until;
        if resumes > self.now {
            self.schedule_at(resumes, next.incarnation, next.event);
            return true;
        }
        let event = match next.event {
            FleetEvent::Start(_) => ControlEvent::Start,
            FleetEvent::Tick(_) => {
                self.schedule(TICK, FleetEvent::Tick(host));
                ControlEvent::Tick
            }
            FleetEvent::Deliver(_, envelope) => ControlEvent::Peer(envelope),
            FleetEvent::Outcome(_, outcome) => ControlEvent::Platform(outcome),
            FleetEvent::Call(..) => return true,
        };
        self.handle(host, event);
        true
    }

    fn handle(&mut self, host: usize, event: ControlEvent) {
        let Some(mut engine) = self.hosts[host].engine.take() else {
            return;
        };
        let mut effects = Vec::new();
        engine.handle(self.now, event, &mut |effect| effects.push(effect));
        self.hosts[host].engine = Some(engine);
        for effect in effects {
            self.carry_out(host, effect);
        }
    }

    fn carry_out(&mut self, host: usize, effect: ControlEffect) {
        match effect {
            ControlEffect::ToPeer {
                host: to, envelope, ..
            } => {
                documents::expect_deliverable(&envelope);
                self.send(host, to, envelope);
            }
            ControlEffect::Platform(request) => {
                self.schedule(CALL_DELAY, FleetEvent::Call(host, request));
            }
            ControlEffect::Publish(snapshot) => self.check_snapshot(host, snapshot),
            ControlEffect::Count(counter) => {
                let counts = &mut self.hosts[host].counts;
                *counts.get_or_insert_with(counter, || 0) += 1;
            }
            ControlEffect::Refused(document) => self.hosts[host].refusals.push(document),
            _ => {}
        }
    }

    /// Checks every published snapshot: versions never decrease, and the preset is
    /// the one that was published under the version.
    fn check_snapshot(&mut self, host: usize, snapshot: std::sync::Arc<RoutingSnapshot>) {
        let version = snapshot.version();
        let entry = &mut self.hosts[host];
        assert!(
            version >= entry.snapshot.version(),
            "host {host} went back from {} to {version}",
            entry.snapshot.version()
        );
        assert!(snapshot.hosts.version >= entry.snapshot.hosts.version);
        if version > ConfigurationVersion::ZERO {
            let published = self.published.get(&version.get()).unwrap();
            assert_eq!(*published, snapshot.configuration.preset);
        }
        if entry.versions.last() != Some(&version) {
            entry.versions.push(version);
        }
        entry.snapshot = snapshot;
    }

    fn send(&mut self, from: usize, to: HostId, envelope: PeerEnvelope) {
        let to = (0..self.hosts.len()).find(|host| HostId::from_name(&host_name(*host)) == to);
        let to = to.unwrap();
        let lost = self.random.random_bool(self.loss);
        if lost || (self.cut)(from, to) {
            return;
        }
        let delay = self.delay.mul_f64(self.random.random_range(0.25..=1.0));
        self.schedule(delay, FleetEvent::Deliver(to, envelope));
    }

    fn handle_call(&mut self, host: usize, incarnation: u64, request: PlatformRequest) {
        let cut = (self.platform_cut)(host);
        let now = self.now;
        self.platform.record_call(now, &request);
        if cut || self.platform.is_unavailable() {
            let result = Err(PlatformFailure);
            let outcome = PlatformOutcome { request, result };
            let timeout = time::Duration::from_secs(1);
            let due = now.after(timeout);
            return self.schedule_at(due, incarnation, FleetEvent::Outcome(host, outcome));
        }
        if self.platform.would_wait(&request) {
            let due = now.after(request.wait);
            let result = Ok(PlatformAnswer::Unchanged);
            let outcome = PlatformOutcome {
                request: request.clone(),
                result,
            };
            self.platform.wait(WaitingWatch {
                host,
                incarnation,
                request,
            });
            // If the watch is answered earlier, this is a second answer, which the
            // engine must tolerate as well.
            return self.schedule_at(due, incarnation, FleetEvent::Outcome(host, outcome));
        }
        self.answer(host, incarnation, request);
    }

    fn answer(&mut self, host: usize, incarnation: u64, request: PlatformRequest) {
        let answer = self.platform.value(&request.key);
        let result = Ok(answer);
        let outcome = PlatformOutcome { request, result };
        let due = self.now.after(self.platform.delay);
        self.schedule_at(due, incarnation, FleetEvent::Outcome(host, outcome));
    }

    /// The hosts that run.
    pub fn running(&self) -> impl Iterator<Item = (usize, &FleetHost)> {
        let hosts = self.hosts.iter().enumerate();
        hosts.filter(|(_, host)| host.engine.is_some())
    }

    /// Whether every running host serves under `preset`.
    pub fn all_have(&self, preset: &str) -> bool {
        self.running()
            .all(|(_, host)| host.serves() && host.preset() == preset)
    }

    /// Checks that every running host serves under `preset`.
    pub fn expect_everywhere(&self, preset: &str) {
        for (index, host) in self.running() {
            assert!(host.serves(), "host {index} does not serve");
            assert_eq!(host.preset(), preset, "at host {index}");
        }
    }

    /// Checks that all running hosts have the same accepted state.
    pub fn expect_same_state(&self) {
        let digests = self.running().map(|(_, host)| {
            let engine = host.engine.as_ref().unwrap();
            engine.adoption().digest()
        });
        let digests: Vec<_> = digests.collect();
        assert!(
            digests.windows(2).all(|pair| pair[0] == pair[1]),
            "{digests:?}"
        );
    }

    /// The hosts that currently read the platform.
    pub fn readers(&self) -> Vec<usize> {
        let readers = self.running().filter(|(_, host)| {
            let engine = host.engine.as_ref().unwrap();
            engine.adoption().is_reader(self.now, engine.membership())
        });
        readers.map(|(index, _)| index).collect()
    }

    /// A counter summed over all hosts.
    pub fn total(&self, counter: Counter) -> u64 {
        self.hosts.iter().map(|host| host.count(counter)).sum()
    }
}
