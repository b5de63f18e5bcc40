//! Hosts whose control and traffic engines run beside each other.

use std::sync;

use cardamomwinch_coordination::control::event::{LoadFailure, TakeOverReport};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::HandOverId;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use rand::Rng;
use rand::rngs::SmallRng;

use super::{MILLIS, Play, PlayEvent, servers};

/// Host clocks differ from the time of the play by at most this, in microseconds.
const MAX_CLOCK_OFFSET: i64 = 40_000;
const CONTROL_TICK: u64 = 100 * MILLIS;
const TRAFFIC_TICK: u64 = 50 * MILLIS;
/// A message between the threads of a host takes up to this, in microseconds.
const CHANNEL_DELAY: u64 = MILLIS / 2;
/// The longest time that a thread is kept from the processor, in microseconds.
const MAX_PREEMPTION: u64 = 100 * MILLIS;

/// The engines of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineKind {
    Control,
    Traffic,
}

/// An event for one engine of a host, as it is kept until it is due.
#[derive(Debug, Clone)]
pub enum EngineInput {
    Control(ControlEvent),
    Fabric(Vec<u8>),
    Relay(Vec<u8>),
    Release(HandOverId, Timestamp),
    Thaw(ShardId),
    Forget(ShardId),
    TakeOver(HandOverChunk),
}

impl EngineInput {
    pub fn caller(datagram: &CallerDatagram<'_>) -> Self {
        Self::Fabric(encoded(&FabricDatagram::Caller(*datagram)))
    }

    pub fn backend(reply: &BackendReply<'_>) -> Self {
        Self::Fabric(encoded(&FabricDatagram::Backend(*reply)))
    }

    fn kind(&self) -> EngineKind {
        match self {
            Self::Control(_) => EngineKind::Control,
            _ => EngineKind::Traffic,
        }
    }

    /// Whether it comes through a channel between threads, which keeps its order.
    fn is_ordered(&self) -> bool {
        match self {
            Self::Control(event) => {
                matches!(event, ControlEvent::HandOver(_) | ControlEvent::TookOver(_))
            }
            Self::Fabric(_) | Self::Relay(_) => false,
            _ => true,
        }
    }
}

pub fn encoded(value: &impl serde::Serialize) -> Vec<u8> {
    codec::encode(value, &mut [0; 8192]).unwrap().to_vec()
}

#[derive(Debug)]
pub struct RunningEngines {
    control: ControlEngine,
    traffic: TrafficEngine,
    snapshot: sync::Arc<RoutingSnapshot>,
}

/// One host.
#[derive(Debug)]
pub struct PlayedHost {
    pub name: String,
    pub id: HostId,
    pub domain: String,
    offset: i64,
    pub engines: Option<Box<RunningEngines>>,
    incarnation: u64,
    pub drained: bool,
    /// Until when the control thread and the traffic thread handle nothing.
    stalled_until: [u64; 2],
    /// When the last message of each channel arrives.
    channel_due: [u64; 2],
}

impl PlayedHost {
    pub fn new(name: &str, domain: &str, rng: &mut SmallRng) -> Self {
        Self {
            name: name.to_owned(),
            id: HostId::from_name(name),
            domain: domain.to_owned(),
            offset: rng.random_range(-MAX_CLOCK_OFFSET..=MAX_CLOCK_OFFSET),
            engines: None,
            incarnation: 0,
            drained: false,
            stalled_until: [0; 2],
            channel_due: [0; 2],
        }
    }

    pub fn is_up(&self) -> bool {
        self.engines.is_some()
    }
}

impl Play {
    pub fn local(&self, host: usize) -> Timestamp {
        Timestamp::new(self.now.saturating_add_signed(self.hosts[host].offset))
    }

    pub fn host_of(&self, id: HostId) -> Option<usize> {
        self.hosts.iter().position(|host| host.id == id)
    }

    /// Starts a new incarnation of a host, which reads all documents.
    pub fn start_host(&mut self, host: usize) {
        let incarnation = self.local(host).get();
        let identity = HostIdentity {
            host: self.hosts[host].id,
            domain: DomainId::from_name(&self.hosts[host].domain),
            incarnation: Incarnation::new(incarnation),
        };
        let bounds = TrafficBounds {
            flows: 10_000,
            request_records: 10_000,
            ..TrafficBounds::default()
        };
        let builder = HostBuilder::new(identity, self.keys.clone()).with_bounds(bounds);
        let started = &mut self.hosts[host];
        started.engines = Some(Box::new(RunningEngines {
            control: builder.build_control(),
            traffic: builder.build_traffic(ThreadPlace::ONLY),
            snapshot: sync::Arc::new(RoutingSnapshot::starting()),
        }));
        started.incarnation = incarnation;
        started.drained = false;
        started.stalled_until = [0; 2];
        started.channel_due = [0; 2];
        self.note(format!("# {} {} starts", self.now, self.hosts[host].name));
        self.send_input(host, 0, EngineInput::Control(ControlEvent::Start));
        let mut delay = MILLIS;
        let list = self.list_input(self.lists.len() as u64);
        for input in self.document_inputs().into_iter().chain([list]) {
            delay += self.rng.random_range(0..20 * MILLIS);
            self.send_input(host, delay, input);
        }
        for kind in [EngineKind::Control, EngineKind::Traffic] {
            let delay = self.rng.random_range(0..CONTROL_TICK);
            let tick = PlayEvent::Tick {
                host,
                incarnation,
                kind,
            };
            self.schedule(delay, tick);
        }
    }

    pub fn crash_host(&mut self, host: usize) {
        self.note(format!(
            "# {} {} is killed",
            self.now, self.hosts[host].name
        ));
        self.hosts[host].engines = None;
    }

    pub fn stop_host(&mut self, host: usize) {
        self.note(format!(
            "# {} {} is to stop",
            self.now, self.hosts[host].name
        ));
        self.send_input(host, 0, EngineInput::Control(ControlEvent::Stop));
    }

    /// Lets the given threads of a host handle nothing for `micros`.
    pub fn stall_host(&mut self, host: usize, kinds: &[EngineKind], micros: u64) {
        let name = &self.hosts[host].name;
        self.note(format!("# {} {name} stalls {kinds:?} {micros}", self.now));
        for kind in kinds {
            self.hosts[host].stalled_until[*kind as usize] = self.now + micros;
        }
    }

    pub fn send_input(&mut self, host: usize, delay: u64, input: EngineInput) {
        let mut due = self.now + delay;
        let channel = &mut self.hosts[host].channel_due[input.kind() as usize];
        if input.is_ordered() {
            due = due.max(*channel);
            *channel = due;
        }
        let incarnation = self.hosts[host].incarnation;
        let event = PlayEvent::Engine {
            host,
            incarnation,
            input,
        };
        self.schedule(due - self.now, event);
    }

    pub fn handle_input(&mut self, host: usize, incarnation: u64, input: EngineInput) {
        let played = &self.hosts[host];
        // Datagrams reach whoever has the address now; messages between threads do not
        // outlive their process.
        let datagram = matches!(
            input,
            EngineInput::Fabric(_)
                | EngineInput::Relay(_)
                | EngineInput::Control(ControlEvent::Peer(_))
        );
        if !played.is_up() || (played.incarnation != incarnation && !datagram) {
            return;
        }
        let stalled_until = played.stalled_until[input.kind() as usize];
        if stalled_until > self.now {
            let jitter = match input.is_ordered() {
                true => 0,
                false => self.rng.random_range(0..MILLIS),
            };
            let event = PlayEvent::Engine {
                host,
                incarnation,
                input,
            };
            return self.schedule(stalled_until - self.now + jitter, event);
        }
        match input {
            EngineInput::Control(event) => self.control(host, event),
            EngineInput::Fabric(bytes) => {
                let datagram = codec::decode(&bytes).unwrap();
                self.traffic(host, TrafficEvent::Fabric(datagram));
            }
            EngineInput::Relay(bytes) => {
                let envelope = codec::decode(&bytes).unwrap();
                self.traffic(host, TrafficEvent::Relay(envelope));
            }
            EngineInput::Release(hand_over, frozen_until) => {
                let event = TrafficEvent::ReleaseShard {
                    hand_over,
                    frozen_until,
                };
                self.traffic(host, event);
            }
            EngineInput::Thaw(shard) => self.traffic(host, TrafficEvent::ThawShard { shard }),
            EngineInput::Forget(shard) => self.traffic(host, TrafficEvent::ForgetShard { shard }),
            EngineInput::TakeOver(chunk) => {
                self.traffic(host, TrafficEvent::TakeOver { chunk: &chunk });
            }
        }
    }

    pub fn handle_tick(&mut self, host: usize, incarnation: u64, kind: EngineKind) {
        let played = &self.hosts[host];
        if !played.is_up() || played.incarnation != incarnation {
            return;
        }
        let stalled_until = played.stalled_until[kind as usize];
        let tick = PlayEvent::Tick {
            host,
            incarnation,
            kind,
        };
        if stalled_until > self.now {
            let jitter = self.rng.random_range(0..MILLIS);
            return self.schedule(stalled_until - self.now + jitter, tick);
        }
        match kind {
            EngineKind::Control => {
                let jitter = self.rng.random_range(0..20 * MILLIS);
                self.schedule(CONTROL_TICK + jitter, tick);
                self.control(host, ControlEvent::Tick);
            }
            EngineKind::Traffic => {
                self.schedule(TRAFFIC_TICK, tick);
                self.traffic(host, TrafficEvent::Tick);
            }
        }
    }

    fn control(&mut self, host: usize, event: ControlEvent) {
        let local = self.local(host);
        let Some(mut engines) = self.hosts[host].engines.take() else {
            return;
        };
        let mut effects = Vec::new();
        let mut sink = |effect: ControlEffect| effects.push(effect);
        engines.control.handle(local, event, &mut sink);
        self.hosts[host].engines = Some(engines);
        let preempted = self.plan.preempted;
        if preempted > 0.0 && effects.len() > 1 && self.rng.random_bool(preempted) {
            let later = effects.split_off(self.rng.random_range(1..effects.len()));
            let micros = self.rng.random_range(0..MAX_PREEMPTION);
            self.hosts[host].stalled_until[EngineKind::Control as usize] = self.now + micros + 1;
            let incarnation = self.hosts[host].incarnation;
            let event = PlayEvent::Effects {
                host,
                incarnation,
                effects: later,
            };
            self.schedule(micros, event);
        }
        for effect in effects {
            self.carry_out_control(host, effect);
        }
    }

    pub fn resume_effects(&mut self, host: usize, incarnation: u64, effects: Vec<ControlEffect>) {
        let played = &self.hosts[host];
        if !played.is_up() || played.incarnation != incarnation {
            return;
        }
        for effect in effects {
            self.carry_out_control(host, effect);
        }
    }

    fn traffic(&mut self, host: usize, event: TrafficEvent<'_>) {
        let local = self.local(host);
        let Some(mut engines) = self.hosts[host].engines.take() else {
            return;
        };
        let RunningEngines {
            traffic, snapshot, ..
        } = &mut *engines;
        let mut sink = |effect: TrafficEffect<'_>| self.carry_out_traffic(host, effect);
        traffic.handle(local, snapshot, event, &mut sink);
        self.hosts[host].engines = Some(engines);
    }

    fn channel(&mut self, host: usize, input: EngineInput) {
        let delay = self.rng.random_range(0..=CHANNEL_DELAY);
        self.send_input(host, delay, input);
    }

    fn carry_out_control(&mut self, host: usize, effect: ControlEffect) {
        match effect {
            ControlEffect::Publish(published) => {
                if let Some(engines) = &mut self.hosts[host].engines {
                    engines.snapshot = published;
                }
            }
            ControlEffect::ToPeer {
                host: to, envelope, ..
            } => {
                let input = EngineInput::Control(ControlEvent::Peer(envelope));
                self.send_to_host(host, to, &input);
            }
            ControlEffect::ReleaseShard {
                hand_over,
                frozen_until,
            } => self.channel(host, EngineInput::Release(hand_over, frozen_until)),
            ControlEffect::ThawShard { shard } => self.channel(host, EngineInput::Thaw(shard)),
            ControlEffect::ForgetShard { shard } => self.channel(host, EngineInput::Forget(shard)),
            ControlEffect::TakeOver { chunk } => self.channel(host, EngineInput::TakeOver(chunk)),
            ControlEffect::ProbeLoad { backend, .. } => self.probe(host, backend),
            ControlEffect::Drained => self.hosts[host].drained = true,
            ControlEffect::Decide(record) => self.note_decision(host, &record),
            _ => {}
        }
    }

    /// Asks the load endpoint, whose answer is not subject to the faults of datagrams.
    fn probe(&mut self, host: usize, backend: BackendId) {
        let index = servers::index_of(&self.plan, backend);
        let result = index
            .filter(|index| !self.servers.is_frozen(*index, self.now))
            .map(|index| self.servers.load(index))
            .ok_or(LoadFailure);
        let delay = self.rng.random_range(0..5 * MILLIS);
        let event = ControlEvent::Load { backend, result };
        self.send_input(host, delay, EngineInput::Control(event));
    }

    fn carry_out_traffic(&mut self, host: usize, effect: TrafficEffect<'_>) {
        match effect {
            TrafficEffect::Relay {
                host: to, envelope, ..
            } => {
                let input = EngineInput::Relay(encoded(&envelope));
                self.send_to_host(host, to, &input);
            }
            TrafficEffect::ToBackend { address, datagram } => {
                self.send_to_server(address, &datagram);
            }
            TrafficEffect::ToCaller(reply) => {
                let bytes = encoded(&reply);
                let delay = self.rng.random_range(0..MILLIS);
                self.schedule(delay, PlayEvent::ToCaller { bytes });
            }
            TrafficEffect::HandOver { chunk } => {
                let event = ControlEvent::HandOver(chunk);
                self.channel(host, EngineInput::Control(event));
            }
            TrafficEffect::TookOver(report) => self.report_import(host, report),
            TrafficEffect::Observe(observations) => {
                let event = ControlEvent::Observed(observations);
                self.channel(host, EngineInput::Control(event));
            }
            TrafficEffect::Decide(record) => self.note_decision(host, &record),
            TrafficEffect::ToThread { .. } | TrafficEffect::Count(_) => {}
        }
    }

    fn report_import(&mut self, host: usize, report: TakeOverReport) {
        let event = ControlEvent::TookOver(report);
        self.channel(host, EngineInput::Control(event));
    }

    fn send_to_host(&mut self, from: usize, to: HostId, input: &EngineInput) {
        let Some(to) = self.host_of(to) else {
            return;
        };
        if self.cuts.contains(&(from, to)) {
            return;
        }
        let faults = self.plan.between_hosts;
        for delay in faults.copies(&mut self.rng) {
            self.send_input(to, delay, input.clone());
        }
    }

    pub fn note(&mut self, line: String) {
        self.lines.push(line);
    }

    fn note_decision(&mut self, host: usize, record: &DecisionRecord) {
        let name = &self.hosts[host].name;
        let mut line = format!("{} {name} {}", self.now, record.reason);
        if let Some(flow) = record.flow {
            line += &format!(" {flow}");
        }
        if let Some(request) = record.request {
            line += &format!(" request {request}");
        }
        if let Some(attempt) = record.attempt {
            line += &format!(" attempt {}", attempt.0);
        }
        if let Some(backend) = record.backend {
            let index = servers::index_of(&self.plan, backend);
            line += &format!(" server {index:?}");
        }
        if let Some(peer) = record.peer {
            let index = self.host_of(peer);
            let peer = index.map(|index| self.hosts[index].name.clone());
            line += &format!(" peer {peer:?}");
        }
        if let Some(shard) = record.shard {
            line += &format!(" shard {shard}");
        }
        self.lines.push(line);
    }
}
