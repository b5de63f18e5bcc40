//! One traffic engine that is home of every shard of one failure domain, driven
//! by hand against a snapshot made by hand.

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

/// What a caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    Opened(RoutingToken),
    Answer(RequestId, AttemptNumber, PartNumber, Vec<u8>),
    NotRun(Option<RequestId>, RefusalReason, time::Duration),
    OutcomeUnknown(RequestId, time::Duration),
    Reset(ResetReason),
    Notice,
}

/// What a backend server was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sent {
    pub flow: FlowKey,
    pub backend: BackendId,
    pub kind: BackendKind,
    pub request: Option<BackendRequest>,
    pub payload: Vec<u8>,
}

/// Everything that the engine wanted since it was last asked.
#[derive(Debug, Default, Clone)]
pub struct Wanted {
    pub told: Vec<(FlowKey, Told)>,
    pub sent: Vec<Sent>,
    pub relayed: Vec<(HostId, Option<RequestId>)>,
    pub counts: Vec<Counter>,
    /// What is handed over to another home.
    pub chunks: Vec<HandOverChunk>,
}

impl Wanted {
    /// The requests sent to servers, without cancellations.
    pub fn runs(&self) -> Vec<&Sent> {
        let sent = self.sent.iter();
        sent.filter(|sent| sent.request.is_some() && sent.kind != BackendKind::Cancel)
            .collect()
    }

    pub fn cancellations(&self) -> Vec<&Sent> {
        let sent = self.sent.iter();
        sent.filter(|sent| sent.kind == BackendKind::Cancel)
            .collect()
    }

    /// The final words about `request`.
    pub fn finals(&self, request: RequestId) -> Vec<&Told> {
        let told = self.told.iter().map(|(_, told)| told);
        told.filter(|told| match told {
            Told::NotRun(of, ..) => *of == Some(request),
            Told::OutcomeUnknown(of, _) => *of == request,
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
pub struct Bench {
    pub engine: TrafficEngine,
    pub snapshot: RoutingSnapshot,
    pub now: Timestamp,
    pub wanted: Wanted,
    pub servers: Vec<BackendEntry>,
    /// The host.
    pub host: HostId,
    /// Requests that may have been sent before may be known elsewhere only.
    pub records_since: Timestamp,
    /// Whether control goes on publishing while time passes.
    pub renews_lease: bool,
}

impl Bench {
    /// A home of `servers` servers with `slots` slots each.
    pub fn new(servers: u16, slots: u32) -> Self {
        Self::with_bounds(servers, slots, TrafficBounds::default())
    }

    pub fn with_bounds(servers: u16, slots: u32, bounds: TrafficBounds) -> Self {
        Self::of_host("muc-nord-1", servers, slots, bounds)
    }

    /// The engine of the host `name`, which is home.
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
            wanted: Wanted::default(),
            servers,
            renews_lease: true,
            host: identity.host,
            records_since: Timestamp::ZERO,
        };
        bench.renew();
        bench
    }

    pub fn home(&self) -> ShardId {
        self.servers[0].shard(1)
    }

    pub fn server(&self) -> BackendId {
        self.servers[0].id
    }

    /// Control publishes anew, with the lease held for some time.
    pub fn renew(&mut self) {
        self.snapshot.made = self.now;
        self.snapshot.fresh_until = self.now.after(time::Duration::from_millis(1500));
        if self.renews_lease {
            self.hold_until(self.now.after(time::Duration::from_millis(1400)));
        }
    }

    pub fn hold_until(&mut self, held_until: Timestamp) {
        let view = ShardView {
            home: Some(self.host),
            lease: Some(HomeLease {
                held_until,
                records_since: self.records_since,
            }),
        };
        self.snapshot.shards.insert(self.home(), view);
    }

    /// Another host is home from now on.
    pub fn lose_home(&mut self, to: Option<HostId>) {
        self.renews_lease = false;
        let view = ShardView {
            home: to,
            lease: None,
        };
        self.snapshot.shards.insert(self.home(), view);
    }

    pub fn view(&mut self, backend: BackendId, view: BackendView) {
        self.snapshot.backends.insert(backend, view);
    }

    pub fn handle(&mut self, event: TrafficEvent<'_>) {
        let wanted = &mut self.wanted;
        let mut sink = |effect: TrafficEffect<'_>| match effect {
            TrafficEffect::ToCaller(reply) => wanted.told.push((reply.flow, told(reply.kind))),
            TrafficEffect::ToBackend { datagram, .. } => wanted.sent.push(Sent {
                flow: datagram.flow,
                backend: datagram.backend,
                kind: datagram.kind,
                request: datagram.request,
                payload: datagram.payload.to_vec(),
            }),
            TrafficEffect::Relay { host, envelope, .. } => {
                let of = match envelope.frame {
                    RelayFrame::Caller { datagram, .. } => datagram.request.map(|held| held.id),
                    RelayFrame::Backend { .. } => None,
                };
                wanted.relayed.push((host, of));
            }
            TrafficEffect::Count(counter) => wanted.counts.push(counter),
            TrafficEffect::HandOver { chunk } => wanted.chunks.push(chunk),
            _ => {}
        };
        self.engine
            .handle(self.now, &self.snapshot, event, &mut sink);
    }

    pub fn take(&mut self) -> Wanted {
        std::mem::take(&mut self.wanted)
    }

    /// Lets time pass in ticks, with control renewing what it publishes.
    pub fn pass(&mut self, duration: time::Duration) {
        let end = self.now.after(duration);
        while self.now < end {
            self.now = self.now.after(TICK).min(end);
            self.renew();
            self.handle(TrafficEvent::Tick);
        }
    }

    pub fn pass_ms(&mut self, millis: u64) {
        self.pass(time::Duration::from_millis(millis));
    }

    pub fn caller(&mut self, datagram: CallerDatagram<'_>) {
        self.handle(TrafficEvent::Fabric(FabricDatagram::Caller(datagram)));
    }

    /// Opens a flow and returns its token.
    pub fn open(&mut self, number: u16) -> RoutingToken {
        self.caller(CallerDatagram::open(flow(number), b""));
        let of_flow = self.wanted.told.iter().rev();
        let token = of_flow.into_iter().find_map(|(of, told)| match told {
            Told::Opened(token) if *of == flow(number) => Some(*token),
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
    pub fn ask(&mut self, number: u16, token: RoutingToken, header: RequestHeader) {
        let datagram = CallerDatagram::carry(flow(number), Some(token), b"payload");
        self.caller(datagram.with_request(header));
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

    pub fn answer(&mut self, number: u16, sent: &Sent) {
        let held = sent.request.unwrap();
        let kind = BackendReplyKind::Answer {
            request: held.id,
            attempt: held.attempt,
            part: PartNumber::WHOLE,
            payload: b"answer",
        };
        self.reply(number, sent.backend, kind);
    }

    pub fn shed(&mut self, number: u16, sent: &Sent) {
        let held = sent.request.unwrap();
        let kind = BackendReplyKind::Shed {
            request: Some(held.id),
            attempt: held.attempt,
        };
        self.reply(number, sent.backend, kind);
    }
}

fn told(kind: CallerReplyKind<'_>) -> Told {
    match kind {
        CallerReplyKind::Opened { token } => Told::Opened(token),
        CallerReplyKind::Answer {
            request,
            attempt,
            part,
            payload,
        } => Told::Answer(request, attempt, part, payload.to_vec()),
        CallerReplyKind::Notice { .. } => Told::Notice,
        CallerReplyKind::NotRun {
            request,
            reason,
            retry_after,
        } => Told::NotRun(request, reason, retry_after),
        CallerReplyKind::OutcomeUnknown {
            request,
            retry_after,
        } => Told::OutcomeUnknown(request, retry_after),
        CallerReplyKind::Reset { reason } => Told::Reset(reason),
    }
}

fn server(index: u16, slots: u32) -> BackendEntry {
    let address = net::SocketAddr::from(([10, 1, 0, 1], 9000 + index));
    let name = format!("renewal-{index}");
    BackendEntry {
        id: BackendId::from_role(service(), &name, address),
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

fn entry_host(name: &str, number: u8) -> (HostId, HostEntry) {
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
        hosts: [entry_host("muc-nord-1", 1), entry_host("muc-nord-2", 2)]
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
