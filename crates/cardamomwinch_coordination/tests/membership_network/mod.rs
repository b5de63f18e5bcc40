//! A simulation of many hosts and the network between them, for membership
//! tests only: seeded loss, delay, duplication and reordering of messages; cuts
//! between failure domains; crashes, pauses and restarts of hosts.

#![allow(dead_code, missing_docs, unreachable_pub, clippy::unwrap_used)]

pub mod heartbeats;
pub mod policy;

use std::cmp;
use std::collections;
use std::net;
use std::rc;
use std::time;

use cardamomwinch_coordination::control::membership::{
    MembershipContext, MembershipEvent, MembershipOutput, Reachability,
};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::authentication::CODE_LENGTH;
use cardamomwinch_protocol::peer::configuration::ConfigurationDigest;
use cardamomwinch_protocol::prelude::{PeerEnvelope, PeerMessage, codec};
use cardamomwinch_state::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use self::policy::MembershipPolicy;

/// The time at which the simulation starts.
pub const START: Timestamp = Timestamp::new(1_780_000_000_000_000);
/// The length of the IP and UDP headers of a message in bytes.
pub const HEADER_LENGTH: usize = 28;
const TICK: time::Duration = time::Duration::from_millis(100);
/// The number of messages that each host has already sent, so that encoded
/// sequence numbers have a realistic length.
const EARLIER_MESSAGES: u64 = 20_000;

#[derive(Debug, Clone)]
pub struct NetworkOptions {
    pub seed: u64,
    pub domains: usize,
    pub hosts: usize,
    /// The fraction of messages that are lost.
    pub loss: f64,
    /// The fraction of messages that are delivered twice.
    pub duplicated: f64,
    /// The maximum one-way delay in microseconds; the minimum is half of it.
    pub delay: u64,
}

impl NetworkOptions {
    pub fn new(hosts: usize, loss: f64, seed: u64) -> Self {
        Self {
            seed,
            domains: if hosts <= 9 { 3 } else { 4 },
            hosts,
            loss,
            duplicated: 0.01,
            delay: 2_000,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostCondition {
    Running,
    Crashed,
    Paused,
}

#[derive(Debug)]
pub struct SimulatedHost<P> {
    pub identity: HostIdentity,
    pub policy: P,
    pub condition: HostCondition,
    pub list: rc::Rc<HostTable>,
    pub sent_bytes: u64,
    pub sent_messages: u64,
    /// The number of the scheduled tick; queued ticks with another number are
    /// ignored.
    round: u64,
    /// The messages that arrived while the host was paused.
    buffered: Vec<PeerEnvelope>,
}

#[derive(Debug, Clone)]
enum NetworkEvent {
    Tick { host: usize, round: u64 },
    Arrival { host: usize, envelope: PeerEnvelope },
}

#[derive(Debug)]
struct QueuedEvent {
    time: Timestamp,
    order: u64,
    event: NetworkEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.time, other.order).cmp(&(self.time, self.order))
    }
}

/// A change that a host observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenEvent {
    pub time: Timestamp,
    pub observer: usize,
    pub event: MembershipEvent,
}

#[derive(Debug)]
pub struct Network<P> {
    pub now: Timestamp,
    pub hosts: Vec<SimulatedHost<P>>,
    pub seen: Vec<SeenEvent>,
    pub refused: u64,
    /// Domains that are cut off from all others.
    pub cut: Vec<DomainId>,
    /// Hosts that run without a network.
    pub isolated: Vec<usize>,
    options: NetworkOptions,
    queue: collections::BinaryHeap<QueuedEvent>,
    order: u64,
    random: SmallRng,
}

pub fn host_name(index: usize) -> String {
    format!("host-{index}")
}

pub fn domain(index: usize) -> DomainId {
    DomainId::from_name(&format!("domain-{index}"))
}

pub fn host_entry(index: usize, domains: usize, phase: HostPhase) -> HostEntry {
    let name = host_name(index);
    let address = |port| net::SocketAddr::from(([127, 0, 0, 1], port));
    HostEntry {
        id: HostId::from_name(&name),
        name,
        domain: domain(index % domains),
        traffic_address: address(1),
        peer_address: address(2),
        relay_address: address(3),
        phase,
    }
}

pub fn host_table(version: u64, entries: impl Iterator<Item = HostEntry>) -> HostTable {
    HostTable {
        version: HostListVersion::new(version),
        hosts: entries.map(|entry| (entry.id, entry)).collect(),
    }
}

impl<P: MembershipPolicy> Network<P> {
    pub fn new(options: NetworkOptions) -> Self {
        let entries =
            (0..options.hosts).map(|index| host_entry(index, options.domains, HostPhase::Live));
        let list = rc::Rc::new(host_table(1000, entries));
        let mut network = Self {
            now: START,
            hosts: Vec::new(),
            seen: Vec::new(),
            refused: 0,
            cut: Vec::new(),
            isolated: Vec::new(),
            queue: collections::BinaryHeap::new(),
            order: 0,
            random: SmallRng::seed_from_u64(options.seed),
            options,
        };
        for index in 0..network.options.hosts {
            let host = network.make_host(index, rc::Rc::clone(&list));
            network.hosts.push(host);
            network.schedule_first_tick(index);
        }
        network
    }

    fn make_host(&mut self, index: usize, list: rc::Rc<HostTable>) -> SimulatedHost<P> {
        let mut policy = P::default();
        for _ in 0..EARLIER_MESSAGES {
            policy.next_sequence();
        }
        SimulatedHost {
            identity: HostIdentity {
                host: HostId::from_name(&host_name(index)),
                domain: domain(index % self.options.domains),
                incarnation: Incarnation::new(self.now.get() + index as u64),
            },
            policy,
            condition: HostCondition::Running,
            list,
            sent_bytes: 0,
            sent_messages: 0,
            round: 0,
            buffered: Vec::new(),
        }
    }

    fn schedule_first_tick(&mut self, index: usize) {
        let phase = self.random.random_range(0..TICK.as_micros() as u64);
        self.schedule_tick(index, time::Duration::from_micros(phase));
    }

    fn schedule_tick(&mut self, host: usize, wait: time::Duration) {
        self.hosts[host].round += 1;
        let round = self.hosts[host].round;
        self.schedule(wait, NetworkEvent::Tick { host, round });
    }

    fn schedule(&mut self, wait: time::Duration, event: NetworkEvent) {
        self.order += 1;
        self.queue.push(QueuedEvent {
            time: self.now.after(wait),
            order: self.order,
            event,
        });
    }

    pub fn id(&self, host: usize) -> HostId {
        self.hosts[host].identity.host
    }

    pub fn index_of(&self, id: HostId) -> usize {
        let mut hosts = self.hosts.iter();
        hosts.position(|host| host.identity.host == id).unwrap()
    }

    pub fn running(&self) -> Vec<usize> {
        let running = |host: &usize| self.hosts[*host].condition == HostCondition::Running;
        (0..self.hosts.len()).filter(running).collect()
    }

    pub fn in_domain(&self, of: DomainId) -> Vec<usize> {
        let inside = |host: &usize| self.hosts[*host].identity.domain == of;
        (0..self.hosts.len()).filter(inside).collect()
    }

    pub fn is_reachable(&self, observer: usize, target: usize) -> bool {
        let target = self.id(target);
        self.hosts[observer].policy.is_reachable(self.now, target)
    }

    /// Whether every running host considers every other running host reachable.
    pub fn all_reach_all(&self) -> bool {
        let running = self.running();
        running.iter().all(|observer| {
            let others = running.iter().filter(|target| *target != observer);
            let mut others = others;
            others.all(|target| self.is_reachable(*observer, *target))
        })
    }

    /// Whether none of `observers` considers `target` reachable.
    pub fn none_reaches(&self, observers: &[usize], target: usize) -> bool {
        let mut observers = observers.iter();
        observers.all(|observer| *observer == target || !self.is_reachable(*observer, target))
    }

    pub fn run(&mut self, duration: time::Duration) {
        let end = self.now.after(duration);
        self.run_until(duration, |_| false);
        self.now = end;
    }

    /// Runs until `reached` returns true, which is checked every 50 ms, and
    /// returns how long that took, or nothing if `limit` passes first.
    pub fn run_until(
        &mut self,
        limit: time::Duration,
        reached: impl Fn(&Self) -> bool,
    ) -> Option<time::Duration> {
        let started = self.now;
        let end = started.after(limit);
        let mut next_check = started;
        loop {
            let next = self.queue.peek().map_or(end, |queued| queued.time.min(end));
            if next >= next_check {
                self.now = self.now.max(next_check);
                if reached(self) {
                    return Some(self.now.since(started));
                }
                next_check = next_check.after(TICK / 2);
                if next_check > end {
                    return None;
                }
                continue;
            }
            let queued = self.queue.pop().unwrap();
            self.now = queued.time;
            self.carry_out(queued.event);
        }
    }

    fn carry_out(&mut self, event: NetworkEvent) {
        match event {
            NetworkEvent::Tick { host, round } => {
                let state = &self.hosts[host];
                if state.round == round && state.condition == HostCondition::Running {
                    self.schedule_tick(host, TICK);
                    self.decide(host, None);
                }
            }
            NetworkEvent::Arrival { host, envelope } => match self.hosts[host].condition {
                HostCondition::Running => self.decide(host, Some(&envelope)),
                HostCondition::Paused => self.hosts[host].buffered.push(envelope),
                HostCondition::Crashed => {}
            },
        }
    }

    fn decide(&mut self, observer: usize, envelope: Option<&PeerEnvelope>) {
        let now = self.now;
        let host = &mut self.hosts[observer];
        let list = rc::Rc::clone(&host.list);
        let context = MembershipContext {
            now,
            identity: host.identity,
            hosts: &list,
            digest: digest(list.version),
        };
        let mut output = MembershipOutput::default();
        match envelope {
            None => host.policy.tick(&context, &mut output),
            Some(envelope) if list.get(envelope.sender).is_none() => self.refused += 1,
            Some(envelope) => {
                if !host.policy.receive(&context, envelope, &mut output) {
                    self.refused += 1;
                }
            }
        }
        for event in output.events {
            self.seen.push(SeenEvent {
                time: now,
                observer,
                event,
            });
        }
        for send in output.sends {
            let target = self.index_of_listed(send.host, &list);
            if let Some(target) = target {
                self.transmit(observer, target, PeerMessage::Membership(send.message));
            }
        }
    }

    fn index_of_listed(&self, id: HostId, list: &HostTable) -> Option<usize> {
        let entry = list.get(id)?;
        entry.name.strip_prefix("host-")?.parse().ok()
    }

    fn transmit(&mut self, from: usize, to: usize, message: PeerMessage) {
        let host = &mut self.hosts[from];
        let envelope = PeerEnvelope {
            sender: host.identity.host,
            incarnation: host.identity.incarnation,
            sequence: host.policy.next_sequence(),
            message,
        };
        let mut buffer = [0; 4096];
        let length = codec::encode(&envelope, &mut buffer).unwrap().len();
        assert!(CODE_LENGTH + length <= 1200, "a message exceeds a datagram");
        host.sent_bytes += (HEADER_LENGTH + CODE_LENGTH + length) as u64;
        host.sent_messages += 1;
        let copies = if self.random.random_bool(self.options.duplicated) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            self.carry(from, to, envelope.clone());
        }
    }

    fn carry(&mut self, from: usize, to: usize, envelope: PeerEnvelope) {
        if self.isolated.contains(&from) || self.isolated.contains(&to) {
            return;
        }
        let domain_of = |host: usize| self.hosts.get(host).map(|host| host.identity.domain);
        let (from, destination) = (domain_of(from), domain_of(to));
        let is_cut = |domain: Option<DomainId>| domain.is_some_and(|of| self.cut.contains(&of));
        let severed = from != destination && (is_cut(from) || is_cut(destination));
        if destination.is_none() || severed || self.random.random_bool(self.options.loss) {
            return;
        }
        let delay = self.options.delay;
        let delay = self.random.random_range(delay / 2..=delay);
        let wait = time::Duration::from_micros(delay);
        self.schedule(wait, NetworkEvent::Arrival { host: to, envelope });
    }

    pub fn set_loss(&mut self, loss: f64) {
        self.options.loss = loss;
    }

    pub fn crash(&mut self, host: usize) {
        self.hosts[host].condition = HostCondition::Crashed;
    }

    pub fn pause(&mut self, host: usize) {
        self.hosts[host].condition = HostCondition::Paused;
    }

    /// Resumes a paused host, which first handles the messages that its socket
    /// has buffered.
    pub fn resume(&mut self, host: usize) {
        self.hosts[host].condition = HostCondition::Running;
        let buffered = std::mem::take(&mut self.hosts[host].buffered);
        for envelope in buffered.iter().take(200) {
            self.decide(host, Some(envelope));
        }
        self.schedule_first_tick(host);
    }

    /// Restarts a host with a new incarnation and without any earlier state.
    pub fn restart(&mut self, host: usize) {
        let list = rc::Rc::clone(&self.hosts[host].list);
        let round = self.hosts[host].round;
        self.hosts[host] = self.make_host(host, list);
        self.hosts[host].round = round;
        self.schedule_first_tick(host);
    }

    /// Replaces the host list of `host`.
    pub fn publish(&mut self, host: usize, list: &rc::Rc<HostTable>) {
        self.hosts[host].list = rc::Rc::clone(list);
    }

    /// Delivers `envelope` to `host` directly, bypassing the network.
    pub fn deliver(&mut self, host: usize, envelope: &PeerEnvelope) {
        self.decide(host, Some(envelope));
    }

    pub fn reset_traffic_counts(&mut self) {
        for host in &mut self.hosts {
            host.sent_bytes = 0;
            host.sent_messages = 0;
        }
    }

    /// Observed changes of a host to `reachability`, since `since`.
    pub fn changes_to(&self, reachability: Reachability, since: Timestamp) -> Vec<SeenEvent> {
        let seen = self.seen.iter().filter(|seen| seen.time >= since);
        let matching = seen.filter(|seen| match seen.event {
            MembershipEvent::Host {
                reachability: found,
                ..
            } => found == reachability,
            MembershipEvent::Domain { .. } => false,
        });
        matching.copied().collect()
    }

    /// Observations that a domain was cut off, since `since`.
    pub fn cuts_seen(&self, since: Timestamp) -> Vec<SeenEvent> {
        let is_cut = |seen: &&SeenEvent| {
            matches!(
                seen.event,
                MembershipEvent::Domain {
                    reachable: false,
                    ..
                }
            )
        };
        let seen = self.seen.iter().filter(|seen| seen.time >= since);
        seen.filter(is_cut).copied().collect()
    }
}

/// A digest of realistic encoded size.
pub fn digest(host_list: HostListVersion) -> ConfigurationDigest {
    ConfigurationDigest {
        version: ConfigurationVersion::new(1000),
        host_list,
        hash: 0xfedc_ba98_7654_3210,
    }
}
