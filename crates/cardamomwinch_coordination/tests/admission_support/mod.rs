//! A test bench for one traffic engine that is the home of the only shard of its failure
//! domain, with a hand-made snapshot.

#![allow(clippy::unwrap_used, missing_docs, dead_code, unreachable_pub)]

use std::net;
use std::sync;
use std::time;

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::routing::lookup_table::LookupTables;
use cardamomwinch_coordination::snapshot::{BackendView, ShardView};
use cardamomwinch_protocol::backend::BackendRequest;
use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;

pub const START: Timestamp = Timestamp::new(1_000_000_000_000);
pub const TICK: time::Duration = time::Duration::from_millis(50);

/// A message to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    Opened(RoutingToken),
    Answer(RequestId, AttemptNumber, PartNumber, Vec<u8>),
    NotRun(Option<RequestId>, RefusalReason, time::Duration),
    OutcomeUnknown(RequestId, time::Duration),
    Reset(ResetReason),
    Notice,
}

/// A datagram that was sent to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentDatagram {
    pub flow: FlowKey,
    pub backend: BackendId,
    pub kind: BackendKind,
    pub request: Option<BackendRequest>,
    pub payload: Vec<u8>,
}

/// The effects of the engine since the last call of [`EngineBench::take`].
#[derive(Debug, Default, Clone)]
pub struct EngineOutput {
    pub to_callers: Vec<(FlowKey, CallerMessage)>,
    pub sent: Vec<SentDatagram>,
    pub relayed: Vec<(HostId, Option<RequestId>)>,
    pub counts: Vec<Counter>,
    /// Chunks of a hand-over to another home.
    pub chunks: Vec<HandOverChunk>,
}

impl EngineOutput {
    /// The requests sent to servers, without cancellations.
    pub fn runs(&self) -> Vec<&SentDatagram> {
        let sent = self.sent.iter();
        sent.filter(|sent| sent.request.is_some() && sent.kind != BackendKind::Cancel)
            .collect()
    }

    pub fn cancellations(&self) -> Vec<&SentDatagram> {
        let sent = self.sent.iter();
        sent.filter(|sent| sent.kind == BackendKind::Cancel)
            .collect()
    }

    /// The final replies about `request`, other than answers.
    pub fn final_replies(&self, request: RequestId) -> Vec<&CallerMessage> {
        let messages = self.to_callers.iter().map(|(_, message)| message);
        messages
            .filter(|message| match message {
                CallerMessage::NotRun(of, ..) => *of == Some(request),
                CallerMessage::OutcomeUnknown(of, _) => *of == request,
                _ => false,
            })
            .collect()
    }

    pub fn count(&self, counter: Counter) -> usize {
        self.counts.iter().filter(|held| **held == counter).count()
    }
}

pub fn host(name: &str) -> HostId {
    HostId::from_name(name)
}

pub fn domain() -> DomainId {
    DomainId::from_name("muc-nord")
}

pub fn keys() -> AuthenticationKeys {
    AuthenticationKeys::new(SecretKey::new([7; 32]), None)
}

pub fn service_address() -> net::SocketAddr {
    "10.0.0.1:443".parse().unwrap()
}

pub fn service() -> ServiceId {
    ServiceId::from_name("renewal")
}

pub fn flow(number: u16) -> FlowKey {
    FlowKey {
        caller: net::SocketAddr::from(([192, 0, 2, 1], 1024 + number)),
        service: service_address(),
    }
}

pub fn request(number: u64) -> RequestId {
    RequestId::new(number)
}

/// One engine with its snapshot and its clock.
pub struct EngineBench {
    pub engine: TrafficEngine,
    pub snapshot: RoutingSnapshot,
    pub now: Timestamp,
    pub output: EngineOutput,
    pub servers: Vec<BackendEntry>,
    /// The host.
    pub host: HostId,
    /// Requests that may have been sent before this time may be known to another home
    /// only.
    pub records_since: Timestamp,
    /// Whether control keeps renewing the lease while time passes.
    pub renews_lease: bool,
}

impl EngineBench {
    /// The home of `servers` servers with `slots` slots each.
    pub fn new(servers: u16, slots: u32) -> Self {
        Self::with_bounds(servers, slots, TrafficBounds::default())
    }

    pub fn with_bounds(servers: u16, slots: u32, bounds: TrafficBounds) -> Self {
        Self::of_host("muc-nord-1", servers, slots, bounds)
    }

    /// The engine of the host `name`, which is the home.
    pub fn of_host(name: &str, servers: u16, slots: u32, bounds: TrafficBounds) -> Self {
        let identity = HostIdentity {
            host: host(name),
            domain: domain(),
            incarnation: Incarnation::new(1),
        };
        let builder = HostBuilder::new(identity, keys()).with_bounds(bounds);
        let servers: Vec<BackendEntry> = (0..servers).map(|index| server(index, slots)).collect();
        let mut bench = Self {
            engine: builder.build_traffic(ThreadPlace::ONLY),
            snapshot: snapshot(&servers),
            now: START,
            output: EngineOutput::default(),
            servers,
            renews_lease: true,
            host: identity.host,
            records_since: Timestamp::ZERO,
        };
        bench.renew();
        bench
    }

    pub fn home_shard(&self) -> ShardId {
        self.servers[0].shard(1)
    }

    pub fn server(&self) -> BackendId {
        self.servers[0].id
    }

    /// Control publishes a new snapshot, with a renewed lease.
    pub fn renew(&mut self) {
        self.snapshot.made = self.now;
        self.snapshot.fresh_until = self.now.after(time::Duration::from_millis(1500));
        if self.renews_lease {
            self.hold_lease_until(self.now.after(time::Duration::from_millis(1400)));
        }
    }

    pub fn hold_lease_until(&mut self, held_until: Timestamp) {
        let view = ShardView {
            home: Some(self.host),
            lease: Some(HomeLease {
                held_until,
                records_since: self.records_since,
            }),
        };
        self.snapshot.shards.insert(self.home_shard(), view);
    }

    /// Another host, or none, is the home from now on.
    pub fn lose_home(&mut self, to: Option<HostId>) {
        self.renews_lease = false;
        let view = ShardView {
            home: to,
            lease: None,
        };
        self.snapshot.shards.insert(self.home_shard(), view);
    }

    pub fn set_view(&mut self, backend: BackendId, view: BackendView) {
        self.snapshot.backends.insert(backend, view);
    }

    pub fn handle(&mut self, event: TrafficEvent<'_>) {
        let output = &mut self.output;
        let mut sink = |effect: TrafficEffect<'_>| match effect {
            TrafficEffect::ToCaller(reply) => output
                .to_callers
                .push((reply.flow, caller_message(reply.kind))),
            TrafficEffect::ToBackend { datagram, .. } => output.sent.push(SentDatagram {
                flow: datagram.flow,
                backend: datagram.backend,
                kind: datagram.kind,
                request: datagram.request,
                payload: datagram.payload.to_vec(),
            }),
            TrafficEffect::Relay { host, envelope, .. } => {
                let of = match envelope.frame {
                    RelayFrame::Caller { datagram, .. } => datagram.request.map(|held| held.id),
                    RelayFrame::Backend { .. }
                    | RelayFrame::Learned { .. }
                    | RelayFrame::Announced { .. } => None,
                };
                output.relayed.push((host, of));
            }
            TrafficEffect::Count(counter) => output.counts.push(counter),
            TrafficEffect::HandOver { chunk } => output.chunks.push(chunk),
            _ => {}
        };
        self.engine
            .handle(self.now, &self.snapshot, event, &mut sink);
    }

    pub fn take(&mut self) -> EngineOutput {
        std::mem::take(&mut self.output)
    }

    /// Advances the clock in ticks, with control renewing its snapshot.
    pub fn advance(&mut self, duration: time::Duration) {
        let end = self.now.after(duration);
        while self.now < end {
            self.now = self.now.after(TICK).min(end);
            self.renew();
            self.handle(TrafficEvent::Tick);
        }
    }

    pub fn advance_ms(&mut self, millis: u64) {
        self.advance(time::Duration::from_millis(millis));
    }

    pub fn receive(&mut self, datagram: CallerDatagram<'_>) {
        self.handle(TrafficEvent::Fabric(FabricDatagram::Caller(datagram)));
    }

    /// The server that received the opening of a flow replies that it is open.
    pub fn confirm_open(&mut self, number: u16) {
        let sent = self.output.sent.iter().rev();
        let mut openings = sent.filter(|sent| sent.kind == BackendKind::Open);
        let opening = openings.find(|sent| sent.flow == flow(number));
        let backend = opening.expect("the server got the opening").backend;
        self.reply(number, backend, BackendReplyKind::Opened);
    }

    /// Opens a flow and returns its token.
    pub fn open(&mut self, number: u16) -> RoutingToken {
        self.receive(CallerDatagram::open(flow(number), b""));
        self.confirm_open(number);
        let of_flow = self.output.to_callers.iter().rev();
        let token = of_flow.into_iter().find_map(|(of, message)| match message {
            CallerMessage::Opened(token) if *of == flow(number) => Some(*token),
            _ => None,
        });
        token.expect("the opening was answered")
    }

    pub fn header(&self, number: u64, idempotent: bool, millis: u64) -> RequestHeader {
        RequestHeader {
            id: request(number),
            idempotent,
            deadline: self.now.after(time::Duration::from_millis(millis)),
        }
    }

    /// A request on an open flow.
    pub fn send_request(&mut self, number: u16, token: RoutingToken, header: RequestHeader) {
        let datagram = CallerDatagram::carry(flow(number), Some(token), b"payload");
        self.receive(datagram.with_request(header));
    }

    pub fn reply(&mut self, number: u16, backend: BackendId, kind: BackendReplyKind<'_>) {
        let reply = BackendReply {
            flow: flow(number),
            backend,
            via: host("muc-nord-1"),
            kind,
        };
        self.handle(TrafficEvent::Fabric(FabricDatagram::Backend(reply)));
    }

    pub fn answer(&mut self, number: u16, sent: &SentDatagram) {
        let held = sent.request.unwrap();
        let kind = BackendReplyKind::Answer {
            request: held.id,
            attempt: held.attempt,
            part: PartNumber::WHOLE,
            payload: b"answer",
        };
        self.reply(number, sent.backend, kind);
    }

    pub fn shed(&mut self, number: u16, sent: &SentDatagram) {
        let held = sent.request.unwrap();
        let kind = BackendReplyKind::Shed {
            request: Some(held.id),
            attempt: held.attempt,
        };
        self.reply(number, sent.backend, kind);
    }
}

fn caller_message(kind: CallerReplyKind<'_>) -> CallerMessage {
    match kind {
        CallerReplyKind::Opened { token } => CallerMessage::Opened(token),
        CallerReplyKind::Answer {
            request,
            attempt,
            part,
            payload,
        } => CallerMessage::Answer(request, attempt, part, payload.to_vec()),
        CallerReplyKind::Notice { .. } => CallerMessage::Notice,
        CallerReplyKind::NotRun {
            request,
            reason,
            retry_after,
        } => CallerMessage::NotRun(request, reason, retry_after),
        CallerReplyKind::OutcomeUnknown {
            request,
            retry_after,
        } => CallerMessage::OutcomeUnknown(request, retry_after),
        CallerReplyKind::Reset { reason } => CallerMessage::Reset(reason),
    }
}

fn server(index: u16, slots: u32) -> BackendEntry {
    let address = net::SocketAddr::from(([10, 1, 0, 1], 9000 + index));
    let name = format!("renewal-{index}");
    BackendEntry {
        id: BackendId::from_parts(service(), &name, address),
        name,
        service: service(),
        domain: domain(),
        address,
        slots: SlotCount::new(slots),
        connections: ConnectionCount::new(2000),
        weight: Weight::new(100),
        phase: BackendPhase::Active,
    }
}

fn host_entry(name: &str, number: u8) -> (HostId, HostEntry) {
    let address = |port| net::SocketAddr::from(([10, 2, 0, number], port));
    let entry = HostEntry {
        id: host(name),
        name: name.to_owned(),
        domain: domain(),
        traffic_address: address(1),
        peer_address: address(2),
        relay_address: address(3),
        phase: HostPhase::Live,
    };
    (host(name), entry)
}

fn snapshot(servers: &[BackendEntry]) -> RoutingSnapshot {
    let entry = ServiceEntry {
        id: service(),
        name: "renewal".to_owned(),
        team: TeamId::from_name("renewal"),
        address: service_address(),
    };
    let limits = ConfigurationLimits {
        shards_per_domain: 1,
        ..ConfigurationLimits::default()
    };
    let in_force = InForceConfiguration {
        version: ConfigurationVersion::new(1),
        preset: "ordinary".to_owned(),
        limits,
        services: [(service(), entry)].into_iter().collect(),
        backends: servers.iter().map(|held| (held.id, held.clone())).collect(),
        addresses: [(service_address(), service())].into_iter().collect(),
    };
    let addresses = servers.iter().map(|held| (held.address, held.service));
    let hosts = HostTable {
        version: HostListVersion::new(1),
        hosts: [host_entry("muc-nord-1", 1), host_entry("muc-nord-2", 2)]
            .into_iter()
            .collect(),
    };
    RoutingSnapshot {
        made: START,
        phase: ServingPhase::Serving,
        fresh_until: START,
        generations: vec![sync::Arc::new(LookupTables::derive(&in_force, None))],
        server_addresses: sync::Arc::new(addresses.collect()),
        configuration: sync::Arc::new(in_force),
        hosts: sync::Arc::new(hosts),
        ..RoutingSnapshot::starting()
    }
}
