//! Several hosts in one process, with a simulated network between them that
//! loses, duplicates, delays and cuts off messages. One seed determines all of it.
#![allow(dead_code, unreachable_pub, clippy::unwrap_used, missing_docs)]

use std::collections::{BTreeMap, BTreeSet};

use cardamomwinch_coordination::control::event::PlatformAnswer;
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::peer::PEER_CONTEXT;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The time at which every simulation begins, in microseconds.
pub const BEGIN: u64 = 1_000_000_000;
/// The clocks of hosts differ from that of the network by at most half of this.
const MAX_SKEW_MICROS: i64 = 100_000;
/// UDP and IP headers, counted with each message.
pub const HEADER_BYTES: usize = 28;

/// Faults of the network.
#[derive(Clone, Copy)]
pub struct Faults {
    pub loss: f64,
    pub doubled: f64,
    /// The longest delay, in microseconds.
    pub delay: u64,
}

impl Faults {
    pub const NONE: Self = Self {
        loss: 0.0,
        doubled: 0.0,
        delay: 1_000,
    };
}

/// A host in a published list.
#[derive(Clone)]
pub struct ListedHost {
    pub name: String,
    pub domain: String,
    pub leaving: bool,
}

/// One simulated host.
pub struct Host {
    pub name: String,
    pub id: HostId,
    pub domain: String,
    pub offset: i64,
    pub engine: Option<HostEngine>,
    pub paused_until: u64,
    pub next_tick: u64,
    pub drained: bool,
    pub sent: BTreeMap<&'static str, (usize, usize)>,
}

enum Packet {
    Peer { from: usize, envelope: PeerEnvelope },
    Relay { bytes: Vec<u8> },
}

/// A datagram from a host to a backend server or a caller.
pub enum OutgoingDatagram {
    ToBackend { host: usize, bytes: Vec<u8> },
    ToCaller { host: usize, bytes: Vec<u8> },
}

pub struct SimulatedNetwork {
    pub now: u64,
    pub rng: SmallRng,
    pub hosts: Vec<Host>,
    pub faults: Faults,
    pub cuts: BTreeSet<(usize, usize)>,
    /// Like `cuts`, but only for control messages.
    pub peer_cuts: BTreeSet<(usize, usize)>,
    pub root: String,
    pub fragment: String,
    /// Published lists, from version one.
    pub lists: Vec<Vec<ListedHost>>,
    pub outgoing: Vec<OutgoingDatagram>,
    pub keys: AuthenticationKeys,
    pub tick: u64,
    /// Whether traffic engines receive ticks.
    pub traffic: bool,
    /// Whether the bytes of control messages are counted.
    pub counting: bool,
    in_flight: BTreeMap<(u64, u64), (usize, Packet)>,
    sequence: u64,
}

fn address(host: usize, role: usize) -> String {
    format!("127.0.0.1:{}", 10_000 + host * 10 + role)
}

impl SimulatedNetwork {
    pub fn new(seed: u64, hosts: &[(&str, &str)], shards: u16) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts: Vec<Host> = hosts
            .iter()
            .map(|(name, domain)| Host {
                name: (*name).to_owned(),
                id: HostId::from_name(name),
                domain: (*domain).to_owned(),
                offset: rng.random_range(-MAX_SKEW_MICROS / 2..=MAX_SKEW_MICROS / 2),
                engine: None,
                paused_until: 0,
                next_tick: 0,
                drained: false,
                sent: BTreeMap::new(),
            })
            .collect();
        Self {
            now: BEGIN,
            rng,
            hosts,
            faults: Faults::NONE,
            cuts: BTreeSet::new(),
            peer_cuts: BTreeSet::new(),
            root: format!(
                r#"{{"preset": "p", "teams": {{"t": 1}}, "limits": {{"shards_per_domain": {shards}}}}}"#
            ),
            fragment: r#"{"team": "t", "services": {}, "presets": {}}"#.to_owned(),
            lists: Vec::new(),
            outgoing: Vec::new(),
            keys: AuthenticationKeys::new(SecretKey::new([7; 32]), None),
            tick: 100_000,
            traffic: false,
            counting: false,
            in_flight: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Publishes a list of these hosts and returns its version.
    pub fn publish(&mut self, listed: &[usize], leaving: &[usize]) -> u64 {
        let list = listed.iter().map(|index| ListedHost {
            name: self.hosts[*index].name.clone(),
            domain: self.hosts[*index].domain.clone(),
            leaving: leaving.contains(index),
        });
        self.lists.push(list.collect());
        self.lists.len() as u64
    }

    fn list_text(&self, version: u64) -> String {
        let list = &self.lists[version as usize - 1];
        let entries = list.iter().map(|listed| {
            let index = self.hosts.iter().position(|host| host.name == listed.name).unwrap();
            let phase = if listed.leaving { "leaving" } else { "live" };
            format!(
                r#""{}": {{"domain": "{}", "traffic_address": "{}", "relay_address": "{}", "peer_address": "{}", "phase": "{phase}"}}"#,
                listed.name, listed.domain, address(index, 1), address(index, 2), address(index, 3)
            )
        });
        format!(
            "{{\"hosts\": {{{}}}}}",
            entries.collect::<Vec<_>>().join(", ")
        )
    }

    pub fn id(&self, host: usize) -> HostId {
        self.hosts[host].id
    }

    pub fn index(&self, id: HostId) -> usize {
        (0..self.hosts.len())
            .find(|index| self.id(*index) == id)
            .unwrap()
    }

    pub fn domain(&self, host: usize) -> DomainId {
        DomainId::from_name(&self.hosts[host].domain)
    }

    /// The time by the clock of `host`.
    pub fn local(&self, host: usize) -> Timestamp {
        Timestamp::new(self.now.saturating_add_signed(self.hosts[host].offset))
    }

    /// Starts a new incarnation of a host, which adopts the configuration and the
    /// list `version`.
    pub fn start(&mut self, host: usize, version: u64) {
        let identity = HostIdentity {
            host: self.id(host),
            domain: self.domain(host),
            incarnation: Incarnation::new(self.local(host).get()),
        };
        let bounds = TrafficBounds {
            flows: 10_000,
            request_records: 10_000,
            ..TrafficBounds::default()
        };
        let engine = HostBuilder::new(identity, self.keys.clone())
            .with_bounds(bounds)
            .build();
        self.hosts[host].engine = Some(engine);
        self.hosts[host].paused_until = 0;
        self.hosts[host].drained = false;
        self.hosts[host].next_tick = self.now + self.rng.random_range(0..self.tick);
        self.control(host, ControlEvent::Start);
        self.deliver_list(host, version);
        self.deliver_document(host, PlatformKey::Root, 1, self.root.clone());
        self.deliver_document(
            host,
            PlatformKey::Team("t".to_owned()),
            1,
            self.fragment.clone(),
        );
    }

    pub fn crash(&mut self, host: usize) {
        self.hosts[host].engine = None;
    }

    pub fn is_up(&self, host: usize) -> bool {
        self.hosts[host].engine.is_some()
    }

    pub fn deliver_list(&mut self, host: usize, version: u64) {
        let text = self.list_text(version);
        self.deliver_document(host, PlatformKey::Hosts, version, text);
    }

    pub fn deliver_document(&mut self, host: usize, key: PlatformKey, revision: u64, text: String) {
        let request = PlatformRequest {
            key,
            after: None,
            wait: std::time::Duration::ZERO,
        };
        let result = Ok(PlatformAnswer::Value { revision, text });
        self.control(
            host,
            ControlEvent::Platform(PlatformOutcome { request, result }),
        );
    }

    pub fn control(&mut self, host: usize, event: ControlEvent) {
        self.handle(host, HostEvent::Control(event));
    }

    pub fn fabric(&mut self, host: usize, datagram: FabricDatagram<'_>) {
        self.handle(host, HostEvent::Traffic(TrafficEvent::Fabric(datagram)));
    }

    fn handle(&mut self, host: usize, event: HostEvent<'_>) {
        let local = self.local(host);
        let Some(mut engine) = self.hosts[host].engine.take() else {
            return;
        };
        let mut sink = |effect: HostEffect<'_>| self.carry_out(host, effect);
        engine.handle(local, event, &mut sink);
        self.hosts[host].engine = Some(engine);
    }

    fn carry_out(&mut self, from: usize, effect: HostEffect<'_>) {
        let encoded = |value: &dyn Fn(&mut [u8]) -> Vec<u8>| value(&mut [0; 8192]);
        match effect {
            HostEffect::Control(ControlEffect::ToPeer { host, envelope, .. }) => {
                self.count_bytes(from, &envelope);
                let to = self.index(host);
                if self.peer_cuts.contains(&(from, to)) {
                    return;
                }
                self.send(from, to, || Packet::Peer {
                    from,
                    envelope: envelope.clone(),
                });
            }
            HostEffect::Control(ControlEffect::Drained) => self.hosts[from].drained = true,
            HostEffect::Traffic(TrafficEffect::Relay { host, envelope, .. }) => {
                let to = self.index(host);
                let bytes = encoded(&|buffer| codec::encode(&envelope, buffer).unwrap().to_vec());
                self.send(from, to, || Packet::Relay {
                    bytes: bytes.clone(),
                });
            }
            HostEffect::Traffic(TrafficEffect::ToBackend { datagram, .. }) => {
                let bytes = encoded(&|buffer| codec::encode(&datagram, buffer).unwrap().to_vec());
                self.outgoing
                    .push(OutgoingDatagram::ToBackend { host: from, bytes });
            }
            HostEffect::Traffic(TrafficEffect::ToCaller(reply)) => {
                let bytes = encoded(&|buffer| codec::encode(&reply, buffer).unwrap().to_vec());
                self.outgoing
                    .push(OutgoingDatagram::ToCaller { host: from, bytes });
            }
            _ => {}
        }
    }

    fn count_bytes(&mut self, from: usize, envelope: &PeerEnvelope) {
        if !self.counting {
            return;
        }
        let kind = match &envelope.message {
            PeerMessage::Home(_) => "homes",
            PeerMessage::Membership(_) => "membership",
            PeerMessage::Configuration(_) => "configuration",
        };
        let mut buffer = vec![0; 64 * 1024];
        let sealed = self.keys.seal(PEER_CONTEXT, envelope, &mut buffer).unwrap();
        let bytes = sealed.len() + HEADER_BYTES;
        assert!(bytes <= 32 * 1024, "a message of {bytes} bytes");
        let counted = self.hosts[from].sent.entry(kind).or_default();
        counted.0 += 1;
        counted.1 += bytes;
    }

    fn send(&mut self, from: usize, to: usize, packet: impl Fn() -> Packet) {
        if self.cuts.contains(&(from, to)) || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.doubled));
        for _ in 0..copies {
            let due = self.now + self.rng.random_range(0..=self.faults.delay);
            self.sequence += 1;
            self.in_flight.insert((due, self.sequence), (to, packet()));
        }
    }

    pub fn cut(&mut self, one: usize, other: usize) {
        self.cuts.insert((one, other));
        self.cuts.insert((other, one));
    }

    /// Advances the time to `self.now + micros`, event by event.
    pub fn advance(&mut self, micros: u64) {
        let end = self.now + micros;
        loop {
            let packet = self.in_flight.first_key_value().map(|(key, _)| key.0);
            let ticks = self.hosts.iter().filter(|host| host.engine.is_some());
            let tick = ticks
                .map(|host| host.next_tick.max(host.paused_until))
                .min();
            let next = packet.unwrap_or(u64::MAX).min(tick.unwrap_or(u64::MAX));
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            self.deliver_due();
            self.tick_due();
        }
        self.now = end;
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let sequence = entry.key().1;
            let (to, packet) = entry.remove();
            let paused_until = self.hosts[to].paused_until;
            if self.now < paused_until {
                // The message waits in the socket of the paused process.
                self.in_flight
                    .insert((paused_until, sequence), (to, packet));
                continue;
            }
            match packet {
                Packet::Peer { envelope, .. } => self.control(to, ControlEvent::Peer(envelope)),
                Packet::Relay { bytes } => {
                    let envelope = codec::decode(&bytes).unwrap();
                    self.handle(to, HostEvent::Traffic(TrafficEvent::Relay(envelope)));
                }
            }
        }
    }

    fn tick_due(&mut self) {
        for host in 0..self.hosts.len() {
            let due = self.hosts[host]
                .next_tick
                .max(self.hosts[host].paused_until);
            if self.is_up(host) && due <= self.now {
                self.hosts[host].next_tick = self.now + self.tick;
                self.control(host, ControlEvent::Tick);
                if self.traffic {
                    self.handle(host, HostEvent::Traffic(TrafficEvent::Tick));
                }
            }
        }
    }

    pub fn pause(&mut self, host: usize, micros: u64) {
        self.hosts[host].paused_until = self.now + micros;
    }

    /// The hosts that hold an unexpired lease on `shard` by their own clocks,
    /// including paused hosts.
    pub fn holders(&self, shard: ShardId) -> Vec<usize> {
        let hosts = (0..self.hosts.len()).filter(|index| {
            let engine = self.hosts[*index].engine.as_ref();
            engine.is_some_and(|engine| {
                engine
                    .snapshot()
                    .lease_at(shard, self.local(*index))
                    .is_some()
            })
        });
        hosts.collect()
    }

    /// Whether every shard of `domain` has a holder.
    pub fn all_held(&self, domain: DomainId, shards: u16) -> bool {
        (0..shards).all(|index| !self.holders(ShardId { domain, index }).is_empty())
    }
}
