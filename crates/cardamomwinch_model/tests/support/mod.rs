//! Two traffic engines, one backend server and a caller. The tests drive them step
//! by step.
#![allow(dead_code)]

use std::collections;
use std::net;
use std::sync;
use std::time;

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::routing::lookup_table::LookupTables;
use cardamomwinch_coordination::snapshot::ShardView;
use cardamomwinch_model::homes::{CopyFacts, CopyOutcome};
use cardamomwinch_protocol::backend::BackendRequest;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;

/// The address that callers use.
pub(crate) const SERVICE_ADDRESS: &str = "127.0.0.1:9000";
/// The address of the server.
pub(crate) const SERVER_ADDRESS: &str = "127.0.0.1:9100";
/// The time at which tests start. It is far from zero, so that earlier times can
/// be computed.
pub(crate) const BEGIN: Timestamp = Timestamp::new(1_000_000_000_000);
/// Long enough that no process pause is detected, because tests advance the time
/// in long steps.
const PAUSE_GAP: time::Duration = time::Duration::from_secs(1_000_000);

/// How the small world is laid out.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorldLayout {
    /// Slots of the server.
    pub(crate) slots: u32,
    /// Connections of the server.
    pub(crate) connections: u32,
}

/// What has happened to one request.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct RequestOutcome {
    /// How often the server began it.
    pub(crate) runs: u32,
    /// Whether the caller has received "not run".
    pub(crate) received_not_run: bool,
}

/// A request under way to the server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnderWay {
    pub(crate) flow: FlowKey,
    pub(crate) request: BackendRequest,
    pub(crate) via: HostId,
}

/// The visible effects of one event.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct VisibleOutcome {
    pub(crate) dispatched: u32,
    pub(crate) not_run: u32,
    pub(crate) unknown: u32,
    pub(crate) answered: u32,
    pub(crate) resets: u32,
    /// Datagrams to a server that carry no request.
    pub(crate) forwarded: u32,
}

impl VisibleOutcome {
    /// Returns whether these are the visible effects of `outcome`.
    pub(crate) fn shows(&self, outcome: CopyOutcome) -> bool {
        let nothing = Self::default();
        match outcome {
            CopyOutcome::Dispatch => {
                *self
                    == (Self {
                        dispatched: 1,
                        ..nothing
                    })
            }
            CopyOutcome::Refuse => {
                *self
                    == (Self {
                        not_run: 1,
                        ..nothing
                    })
            }
            CopyOutcome::OutcomeUnknown => {
                *self
                    == (Self {
                        unknown: 1,
                        ..nothing
                    })
            }
            CopyOutcome::Queue | CopyOutcome::Late => *self == nothing,
            CopyOutcome::Repeat => self.dispatched == 0 && self.forwarded == 0 && self.resets == 0,
        }
    }
}

/// One host of the world.
pub(crate) struct WorldHost {
    pub(crate) id: HostId,
    engine: TrafficEngine,
    lease: Option<HomeLease>,
}

/// The whole world.
pub(crate) struct SmallWorld {
    pub(crate) now: Timestamp,
    pub(crate) limits: ConfigurationLimits,
    pub(crate) under_way: Vec<UnderWay>,
    pub(crate) outcomes: collections::BTreeMap<RequestId, RequestOutcome>,
    hosts: Vec<WorldHost>,
    /// No other host can be granted the lease before this time.
    granted_until: Timestamp,
    holder: Option<usize>,
    snapshot_parts: SnapshotParts,
}

#[derive(Clone)]
struct SnapshotParts {
    configuration: sync::Arc<InForceConfiguration>,
    table: sync::Arc<LookupTables>,
    addresses: sync::Arc<SortedVector<net::SocketAddr, ServiceId>>,
    hosts: sync::Arc<HostTable>,
    shard: ShardId,
}

pub(crate) fn domain() -> DomainId {
    DomainId::from_name("bud-angyal")
}

pub(crate) fn service() -> ServiceId {
    ServiceId::from_name("docvault")
}

pub(crate) fn server(layout: WorldLayout) -> BackendEntry {
    let address = SERVER_ADDRESS.parse().unwrap();
    BackendEntry {
        id: BackendId::from_parts(service(), "one", address),
        name: "one".to_owned(),
        service: service(),
        domain: domain(),
        address,
        slots: SlotCount::new(layout.slots),
        connections: ConnectionCount::new(layout.connections),
        weight: Weight::new(1),
        phase: BackendPhase::Active,
    }
}

pub(crate) fn configuration(servers: Vec<BackendEntry>) -> InForceConfiguration {
    let address = SERVICE_ADDRESS.parse().unwrap();
    let entry = ServiceEntry {
        id: service(),
        name: "docvault".to_owned(),
        team: TeamId::from_name("team"),
        address,
    };
    InForceConfiguration {
        version: ConfigurationVersion::new(1),
        limits: ConfigurationLimits {
            shards_per_domain: 1,
            ..ConfigurationLimits::default()
        },
        services: [(service(), entry)].into_iter().collect(),
        backends: servers.into_iter().map(|entry| (entry.id, entry)).collect(),
        addresses: [(address, service())].into_iter().collect(),
        ..InForceConfiguration::default()
    }
}

fn host_entry(index: u16) -> HostEntry {
    let name = format!("bud-angyal-{index}");
    let address = |base: u16| net::SocketAddr::from(([127, 0, 0, 1], base + index));
    HostEntry {
        id: HostId::from_name(&name),
        name,
        domain: domain(),
        traffic_address: address(9200),
        peer_address: address(9300),
        relay_address: address(9400),
        phase: HostPhase::Live,
    }
}

pub(crate) fn engine(host: HostId, incarnation: u64) -> TrafficEngine {
    let identity = HostIdentity {
        host,
        domain: domain(),
        incarnation: Incarnation::new(incarnation),
    };
    let keys = AuthenticationKeys::new(SecretKey::new([7; 32]), None);
    let bounds = TrafficBounds {
        pause_gap: PAUSE_GAP,
        ..TrafficBounds::default()
    };
    TrafficEngine::new(identity, ThreadPlace::ONLY, keys, bounds)
}

pub(crate) fn flow(number: u16) -> FlowKey {
    FlowKey {
        caller: net::SocketAddr::from(([127, 0, 0, 1], 20_000 + number)),
        service: SERVICE_ADDRESS.parse().unwrap(),
    }
}

/// A datagram that an engine relays, without its payload.
struct Relayed {
    to: HostId,
    datagram: CallerDatagram<'static>,
    decided: Option<TokenClaim>,
    search: Option<FlowSearch>,
    shard: ShardId,
    hops: u8,
}

/// A reply that an engine relays, without its payload.
struct RelayedReply {
    to: HostId,
    reply: BackendReply<'static>,
    shard: ShardId,
    hops: u8,
}

/// The server of a flow, as an engine reports it to another host.
struct LearnedServer {
    to: HostId,
    flow: FlowKey,
    claim: TokenClaim,
    thread: u16,
}

#[derive(Default)]
struct Collected {
    learned: Vec<LearnedServer>,
    visible: VisibleOutcome,
    dispatched: Vec<UnderWay>,
    refused: Vec<RequestId>,
    relayed: Vec<Relayed>,
    replies: Vec<RelayedReply>,
}

fn owned(datagram: &CallerDatagram<'_>) -> CallerDatagram<'static> {
    CallerDatagram {
        flow: datagram.flow,
        kind: datagram.kind,
        echoes_token: datagram.echoes_token,
        token: datagram.token,
        request: datagram.request,
        payload: &[],
    }
}

fn owned_reply(reply: &BackendReply<'_>) -> BackendReply<'static> {
    let kind = match reply.kind {
        BackendReplyKind::Answer {
            request,
            attempt,
            part,
            ..
        } => BackendReplyKind::Answer {
            request,
            attempt,
            part,
            payload: b"ok",
        },
        BackendReplyKind::Shed { request, attempt } => BackendReplyKind::Shed { request, attempt },
        _ => BackendReplyKind::Opened,
    };
    BackendReply {
        flow: reply.flow,
        backend: reply.backend,
        via: reply.via,
        kind,
    }
}

impl Collected {
    fn add_effect(&mut self, effect: TrafficEffect<'_>) {
        match effect {
            TrafficEffect::ToCaller(reply) => self.add_reply(reply.kind),
            TrafficEffect::ToBackend { datagram, .. } => match datagram.request {
                Some(request) if datagram.kind != BackendKind::Cancel => {
                    self.visible.dispatched += 1;
                    self.dispatched.push(UnderWay {
                        flow: datagram.flow,
                        request,
                        via: datagram.via,
                    });
                }
                Some(_) => {}
                None => self.visible.forwarded += 1,
            },
            TrafficEffect::Relay { host, envelope, .. } => self.add_relay(host, &envelope.frame),
            _ => {}
        }
    }

    fn add_reply(&mut self, kind: CallerReplyKind<'_>) {
        match kind {
            CallerReplyKind::NotRun { request, .. } => {
                self.visible.not_run += 1;
                self.refused.extend(request);
            }
            CallerReplyKind::OutcomeUnknown { .. } => self.visible.unknown += 1,
            CallerReplyKind::Answer { .. } => self.visible.answered += 1,
            CallerReplyKind::Reset { .. } => self.visible.resets += 1,
            CallerReplyKind::Opened { .. } | CallerReplyKind::Notice { .. } => {}
        }
    }

    fn add_relay(&mut self, to: HostId, frame: &RelayFrame<'_>) {
        match frame {
            RelayFrame::Caller {
                datagram,
                decided,
                search,
                shard,
                hops,
            } => self.relayed.push(Relayed {
                to,
                datagram: owned(datagram),
                decided: *decided,
                search: *search,
                shard: *shard,
                hops: *hops,
            }),
            RelayFrame::Learned {
                flow,
                claim,
                thread,
            } => self.learned.push(LearnedServer {
                to,
                flow: *flow,
                claim: *claim,
                thread: *thread,
            }),
            // The server of an announced flow affects no outcome that is compared.
            RelayFrame::Announced { .. } => {}
            RelayFrame::Backend { reply, shard, hops } => self.replies.push(RelayedReply {
                to,
                reply: owned_reply(reply),
                shard: *shard,
                hops: *hops,
            }),
        }
    }
}

impl SmallWorld {
    pub(crate) fn new(layout: WorldLayout) -> Self {
        let configuration = configuration(vec![server(layout)]);
        let entries = [host_entry(1), host_entry(2)];
        let hosts = entries.iter().map(|entry| WorldHost {
            id: entry.id,
            engine: engine(entry.id, BEGIN.get()),
            lease: None,
        });
        let hosts = hosts.collect();
        let parts = SnapshotParts {
            table: sync::Arc::new(LookupTables::derive(&configuration, None)),
            addresses: sync::Arc::new(
                [(SERVER_ADDRESS.parse().unwrap(), service())]
                    .into_iter()
                    .collect(),
            ),
            hosts: sync::Arc::new(HostTable {
                version: HostListVersion::new(1),
                hosts: entries.into_iter().map(|entry| (entry.id, entry)).collect(),
            }),
            shard: server(layout).shard(1),
            configuration: sync::Arc::new(configuration),
        };
        Self {
            now: BEGIN,
            limits: parts.configuration.limits.clone(),
            under_way: Vec::new(),
            outcomes: collections::BTreeMap::new(),
            hosts,
            granted_until: BEGIN,
            holder: None,
            snapshot_parts: parts,
        }
    }

    pub(crate) fn host(&self, index: usize) -> HostId {
        self.hosts[index].id
    }

    /// Returns the host that may currently act as home.
    pub(crate) fn home(&self) -> Option<usize> {
        let valid = |index: &usize| {
            let lease = self.hosts[*index].lease;
            lease.is_some_and(|lease| self.now < lease.held_until)
        };
        self.holder.filter(valid)
    }

    pub(crate) fn records_since(&self, index: usize) -> Option<Timestamp> {
        self.hosts[index].lease.map(|lease| lease.records_since)
    }

    /// Grants or renews the lease of a host. Returns `false` if voters would
    /// refuse.
    pub(crate) fn grant(&mut self, index: usize) -> bool {
        let renews = self.home() == Some(index);
        if !renews && self.now < self.granted_until {
            return false;
        }
        let earlier = self.hosts[index].lease.filter(|_| renews);
        let records_since = earlier.map_or(self.now, |lease| lease.records_since);
        self.granted_until = self.now.after(self.limits.home_lease);
        self.hosts[index].lease = Some(HomeLease {
            held_until: self.granted_until.before(self.limits.clock_skew),
            records_since,
        });
        self.holder = Some(index);
        true
    }

    pub(crate) fn crash(&mut self, index: usize) {
        let id = self.hosts[index].id;
        self.hosts[index].engine = engine(id, self.now.get());
        self.hosts[index].lease = None;
        if self.holder == Some(index) {
            self.holder = None;
        }
    }

    pub(crate) fn advance(&mut self, by: time::Duration) -> VisibleOutcome {
        /// Each tick sweeps an eighth of the tables.
        const TICKS: usize = 8;
        self.now = self.now.after(by);
        let mut visible = VisibleOutcome::default();
        for index in 0..self.hosts.len() {
            for _ in 0..TICKS {
                let seen = self.drive(index, TrafficEvent::Tick);
                visible.dispatched += seen.dispatched;
            }
        }
        visible
    }

    /// Delivers a datagram to a host, and at once everything that is relayed
    /// because of it.
    pub(crate) fn copy(&mut self, index: usize, datagram: CallerDatagram<'_>) -> VisibleOutcome {
        if let Some(header) = datagram.request {
            self.outcomes.entry(header.id).or_default();
        }
        let event = TrafficEvent::Fabric(FabricDatagram::Caller(datagram));
        self.drive(index, event)
    }

    /// Lets the server begin a request that is under way. The server's clock is
    /// behind by the skew. Returns `None` if it is too late to begin.
    pub(crate) fn begin(&mut self, position: usize) -> Option<UnderWay> {
        let dispatch = self.under_way.remove(position);
        let server_clock = self.now.before(self.limits.clock_skew);
        if server_clock >= dispatch.request.start_before {
            return None;
        }
        let outcome = self.outcomes.entry(dispatch.request.id).or_default();
        outcome.runs += 1;
        Some(dispatch)
    }

    /// Delivers a reply of the server to a host.
    pub(crate) fn reply(&mut self, index: usize, to: &UnderWay, shed: bool) -> VisibleOutcome {
        let (request, attempt) = (to.request.id, to.request.attempt);
        let kind = match shed {
            true => BackendReplyKind::Shed {
                request: Some(request),
                attempt,
            },
            false => BackendReplyKind::Answer {
                request,
                attempt,
                part: PartNumber::WHOLE,
                payload: b"ok",
            },
        };
        let backend = *self
            .snapshot_parts
            .configuration
            .backends
            .keys()
            .next()
            .unwrap();
        let reply = BackendReply {
            flow: to.flow,
            backend,
            via: to.via,
            kind,
        };
        self.drive(index, TrafficEvent::Fabric(FabricDatagram::Backend(reply)))
    }

    pub(crate) fn snapshot(&self, index: usize) -> RoutingSnapshot {
        let parts = &self.snapshot_parts;
        let view = ShardView {
            home: self.holder.map(|holder| self.hosts[holder].id),
            lease: self.hosts[index].lease,
        };
        RoutingSnapshot {
            made: self.now.after(time::Duration::from_micros(1)),
            phase: ServingPhase::Serving,
            fresh_until: Timestamp::MAX,
            configuration: sync::Arc::clone(&parts.configuration),
            hosts: sync::Arc::clone(&parts.hosts),
            generations: vec![sync::Arc::clone(&parts.table)],
            server_addresses: sync::Arc::clone(&parts.addresses),
            shards: [(parts.shard, view)].into_iter().collect(),
            ..RoutingSnapshot::starting()
        }
    }

    fn drive(&mut self, index: usize, event: TrafficEvent<'_>) -> VisibleOutcome {
        let snapshot = self.snapshot(index);
        let mut collected = Collected::default();
        let engine = &mut self.hosts[index].engine;
        engine.handle(self.now, &snapshot, event, &mut |effect: TrafficEffect<
            '_,
        >| {
            collected.add_effect(effect);
        });
        for id in collected.refused {
            self.outcomes.entry(id).or_default().received_not_run = true;
        }
        self.under_way.extend(collected.dispatched);
        let mut visible = collected.visible;
        for relayed in collected.relayed {
            let frame = RelayFrame::Caller {
                datagram: relayed.datagram,
                decided: relayed.decided,
                search: relayed.search,
                shard: relayed.shard,
                hops: relayed.hops,
            };
            visible.add(&self.relay(index, relayed.to, frame));
        }
        for learned in collected.learned {
            let frame = RelayFrame::Learned {
                flow: learned.flow,
                claim: learned.claim,
                thread: learned.thread,
            };
            visible.add(&self.relay(index, learned.to, frame));
        }
        for relayed in collected.replies {
            let frame = RelayFrame::Backend {
                reply: relayed.reply,
                shard: relayed.shard,
                hops: relayed.hops,
            };
            visible.add(&self.relay(index, relayed.to, frame));
        }
        visible
    }

    fn relay(&mut self, from: usize, to: HostId, frame: RelayFrame<'_>) -> VisibleOutcome {
        let target = self.hosts.iter().position(|host| host.id == to).unwrap();
        let envelope = RelayEnvelope {
            sender: self.hosts[from].id,
            version: ConfigurationVersion::new(1),
            frame,
        };
        self.drive(target, TrafficEvent::Relay(envelope))
    }

    /// Returns what the rule of the specification depends on, if `index` is home.
    pub(crate) fn facts(
        &self,
        index: usize,
        header: &RequestHeader,
        remembered: bool,
    ) -> CopyFacts {
        let limits = &self.limits;
        let furthest = self.now.after(limits.request_lifetime + limits.clock_skew);
        CopyFacts {
            remembered,
            past_deadline: header.deadline <= self.now,
            far_deadline: header.deadline > furthest,
            may_be_known_elsewhere: !header.idempotent && self.predates(index, header),
        }
    }

    /// Returns whether the request may have been sent before the records of the
    /// home `index` begin.
    pub(crate) fn predates(&self, index: usize, header: &RequestHeader) -> bool {
        let earliest = header.deadline.before(self.limits.request_lifetime);
        earliest < self.records_since(index).unwrap()
    }
}

impl VisibleOutcome {
    fn add(&mut self, other: &Self) {
        self.dispatched += other.dispatched;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.answered += other.answered;
        self.resets += other.resets;
        self.forwarded += other.forwarded;
    }
}
