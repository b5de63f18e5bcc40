//! A simulation of several traffic engines with hand-made snapshots, the relaying
//! of datagrams between them, and backend servers that hold flows and run
//! requests.

#![allow(clippy::unwrap_used, dead_code, missing_docs, unreachable_pub)]

use std::collections;
use std::net;
use std::sync;
use std::time;

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::routing::lookup_table::LookupTables;
use cardamomwinch_coordination::snapshot::ShardView;
use cardamomwinch_protocol::backend::{BackendKind, BackendReply, BackendReplyKind};
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;

pub const START: Timestamp = Timestamp::new(1_000_000_000_000);
const STEP_LIMIT: usize = 10_000;

pub fn service_id() -> ServiceId {
    ServiceId::from_name("renewal")
}

pub fn service_address() -> net::SocketAddr {
    "10.9.0.1:443".parse().unwrap()
}

pub fn domain(name: &str) -> DomainId {
    DomainId::from_name(name)
}

pub fn flow(number: u16) -> FlowKey {
    FlowKey {
        caller: net::SocketAddr::from(([10, 1, 0, 1], 1024 + number)),
        service: service_address(),
    }
}

/// The backend server with number `number` of the service.
pub fn server(number: u8, domain_name: &str) -> BackendEntry {
    server_of(service_id(), number, domain_name)
}

pub fn server_of(service: ServiceId, number: u8, domain_name: &str) -> BackendEntry {
    let address = net::SocketAddr::from(([10, 2, 0, number], 7000));
    let name = format!("server-{number}");
    BackendEntry {
        id: BackendId::from_parts(service, &name, address),
        name,
        service,
        domain: domain(domain_name),
        address,
        slots: SlotCount::new(2),
        connections: ConnectionCount::new(2000),
        weight: Weight::new(100),
        phase: BackendPhase::Active,
    }
}

pub fn configuration(version: u64, servers: &[BackendEntry]) -> InForceConfiguration {
    let mut configuration = InForceConfiguration {
        version: ConfigurationVersion::new(version),
        ..InForceConfiguration::default()
    };
    let entry = ServiceEntry {
        id: service_id(),
        name: "renewal".to_owned(),
        team: TeamId::from_name("team"),
        address: service_address(),
    };
    configuration.addresses.insert(entry.address, entry.id);
    configuration.services.insert(entry.id, entry);
    for server in servers {
        configuration.backends.insert(server.id, server.clone());
    }
    configuration
}

/// A simulated backend server and a record of what it has received.
#[derive(Default)]
pub struct FakeServer {
    pub open_flows: collections::BTreeSet<FlowKey>,
    pub runs: Vec<(FlowKey, RequestId)>,
    pub plain: Vec<(FlowKey, Vec<u8>)>,
    pub refused: usize,
    pub silent: bool,
    pub domain: Option<DomainId>,
    /// All received datagrams, each with the server that it was addressed to.
    pub received: Vec<(BackendId, BackendKind)>,
}

pub struct Member {
    pub identity: HostIdentity,
    pub engine: TrafficEngine,
    pub snapshot: RoutingSnapshot,
    pub counts: collections::BTreeMap<Counter, usize>,
    pub reachable: bool,
}

/// A message to a caller, in owned form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    Opened(RoutingToken),
    Answer(RequestId),
    NotRun(Option<RequestId>, RefusalReason),
    Unknown(RequestId),
    Reset(ResetReason),
    Notice(u64),
}

enum TransitDatagram {
    Relay(HostId, Vec<u8>),
    Server(net::SocketAddr, Vec<u8>),
    Reply(Option<DomainId>, Vec<u8>),
}

pub struct Fleet {
    pub members: Vec<Member>,
    pub servers: collections::BTreeMap<net::SocketAddr, FakeServer>,
    pub to_callers: Vec<(FlowKey, CallerMessage)>,
    pub now: Timestamp,
    /// Whether the failure domains are cut off from each other.
    pub cut: bool,
    pub relays: usize,
    pub relay_bytes: usize,
    in_transit: collections::VecDeque<TransitDatagram>,
    next_reply_host: usize,
}

impl Fleet {
    /// A fleet of hosts `(name, domain)`, all with `configuration` in force.
    pub fn new(hosts: &[(&str, &str)], configuration: &InForceConfiguration) -> Self {
        Self::with_bounds(hosts, configuration, &TrafficBounds::default())
    }

    /// Like [`Self::new`], with bounds on the tables of each host.
    pub fn with_bounds(
        hosts: &[(&str, &str)],
        configuration: &InForceConfiguration,
        bounds: &TrafficBounds,
    ) -> Self {
        let keys = || AuthenticationKeys::new(SecretKey::new([7; 32]), None);
        let members = hosts.iter().map(|(name, domain_name)| {
            let identity = HostIdentity {
                host: HostId::from_name(name),
                domain: domain(domain_name),
                incarnation: Incarnation::new(1),
            };
            Member {
                identity,
                engine: HostBuilder::new(identity, keys())
                    .with_bounds(bounds.clone())
                    .build_traffic(ThreadPlace::ONLY),
                snapshot: RoutingSnapshot::starting(),
                counts: collections::BTreeMap::new(),
                reachable: true,
            }
        });
        let mut fleet = Self {
            members: members.collect(),
            servers: collections::BTreeMap::new(),
            to_callers: Vec::new(),
            now: START,
            cut: false,
            relays: 0,
            relay_bytes: 0,
            in_transit: collections::VecDeque::new(),
            next_reply_host: 0,
        };
        for member in 0..hosts.len() {
            fleet.adopt(member, configuration);
        }
        fleet
    }

    fn host_table(&self) -> HostTable {
        let mut table = HostTable::default();
        for (number, member) in self.members.iter().enumerate() {
            let address = net::SocketAddr::from(([10, 3, 0, number as u8], 9000));
            let entry = HostEntry {
                id: member.identity.host,
                name: format!("host-{number}"),
                domain: member.identity.domain,
                traffic_address: address,
                peer_address: address,
                relay_address: address,
                phase: HostPhase::Live,
            };
            table.hosts.insert(entry.id, entry);
        }
        table
    }

    /// Puts `configuration` in force on one host only.
    pub fn adopt(&mut self, member: usize, configuration: &InForceConfiguration) {
        let hosts = self.host_table();
        let shards = self.shards(&hosts, configuration, member);
        let adopting = &mut self.members[member];
        let old = std::mem::replace(&mut adopting.snapshot, RoutingSnapshot::starting());
        let earlier = old.generations.first().map(sync::Arc::as_ref);
        let tables = sync::Arc::new(LookupTables::derive(configuration, earlier));
        let mut generations = old.generations.clone();
        generations.insert(0, tables);
        let mut retained = old.retained.clone();
        for entry in old.configuration.backends.values() {
            retained.insert(entry.id, entry.clone());
        }
        retained.retain(|id, _| !configuration.backends.contains_key(id));
        let addresses = configuration.backends.values();
        let addresses = addresses.map(|entry| (entry.address, entry.service));
        adopting.snapshot = RoutingSnapshot {
            made: self.now,
            phase: ServingPhase::Serving,
            fresh_until: self.now.after(time::Duration::from_secs(3600)),
            configuration: sync::Arc::new(configuration.clone()),
            hosts: sync::Arc::new(hosts),
            opening_generations: generations.len(),
            generations,
            retained,
            server_addresses: sync::Arc::new(addresses.collect()),
            shards,
            ..RoutingSnapshot::starting()
        };
        for entry in configuration.backends.values() {
            let server = self.servers.entry(entry.address).or_default();
            server.domain = Some(entry.domain);
        }
    }

    pub fn adopt_everywhere(&mut self, configuration: &InForceConfiguration) {
        for member in 0..self.members.len() {
            self.adopt(member, configuration);
        }
    }

    /// Assigns the shards of a domain to its reachable hosts in rotation.
    fn shards(
        &self,
        hosts: &HostTable,
        configuration: &InForceConfiguration,
        member: usize,
    ) -> SortedVector<ShardId, ShardView> {
        let mut shards = SortedVector::new();
        let own = self.members[member].identity.host;
        let own_domain = self.members[member].identity.domain;
        let mut domains: Vec<DomainId> = hosts.hosts.values().map(|host| host.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        for domain in domains {
            let homes: Vec<HostId> = self
                .members
                .iter()
                .filter(|member| member.reachable && member.identity.domain == domain)
                .filter(|_| !self.cut || domain == own_domain)
                .map(|member| member.identity.host)
                .collect();
            for index in 0..configuration.limits.shards_per_domain {
                let home = (!homes.is_empty()).then(|| homes[usize::from(index) % homes.len()]);
                let lease = (home == Some(own)).then(|| HomeLease {
                    held_until: self.now.after(time::Duration::from_secs(3600)),
                    records_since: Timestamp::new(1),
                });
                shards.insert(ShardId { domain, index }, ShardView { home, lease });
            }
        }
        shards
    }

    /// Assigns the homes again on all hosts, after reachability changed.
    pub fn assign_homes(&mut self) {
        for member in 0..self.members.len() {
            let configuration = sync::Arc::clone(&self.members[member].snapshot.configuration);
            let hosts = self.host_table();
            self.members[member].snapshot.shards = self.shards(&hosts, &configuration, member);
        }
    }

    /// Delivers `datagram` from the fabric to the host at position `member`, and
    /// then all resulting datagrams until none is in transit.
    pub fn deliver(&mut self, member: usize, datagram: &CallerDatagram<'_>) {
        self.deliver_only(member, datagram);
        self.settle();
    }

    /// Like [`Self::deliver`], without delivering the resulting datagrams.
    pub fn deliver_only(&mut self, member: usize, datagram: &CallerDatagram<'_>) {
        let event = TrafficEvent::Fabric(FabricDatagram::Caller(*datagram));
        self.drive(member, event);
    }

    /// Delivers a backend server's reply to the host at position `member`.
    pub fn deliver_reply(&mut self, member: usize, reply: BackendReply<'_>) {
        let event = TrafficEvent::Fabric(FabricDatagram::Backend(reply));
        self.drive(member, event);
        self.settle();
    }

    pub fn tick(&mut self, member: usize) {
        self.drive(member, TrafficEvent::Tick);
    }

    /// Advances the time on all hosts in steps of a tick.
    pub fn advance(&mut self, span: time::Duration) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(time::Duration::from_millis(250));
            for member in 0..self.members.len() {
                self.tick(member);
            }
        }
        self.settle();
    }

    /// Delivers datagrams until none is in transit.
    pub fn settle(&mut self) {
        for _ in 0..STEP_LIMIT {
            if !self.step() {
                return;
            }
        }
        panic!("datagrams are relayed in a circle");
    }

    /// Delivers one datagram in transit. Returns false if there was none.
    pub fn step(&mut self) -> bool {
        let Some(datagram) = self.in_transit.pop_front() else {
            return false;
        };
        match datagram {
            TransitDatagram::Relay(host, bytes) => {
                let position = self.position(host);
                let envelope: RelayEnvelope<'_> = codec::decode(&bytes).unwrap();
                let sender = &self.members[self.position(envelope.sender)];
                let domain = self.members[position].identity.domain;
                let joined = !self.cut || sender.identity.domain == domain;
                if self.members[position].reachable && joined {
                    self.drive(position, TrafficEvent::Relay(envelope));
                }
            }
            TransitDatagram::Server(address, bytes) => {
                let datagram: BackendDatagram<'_> = codec::decode(&bytes).unwrap();
                let sender = &self.members[self.position(datagram.via)];
                let domain = Some(sender.identity.domain);
                if !self.cut
                    || self
                        .servers
                        .get(&address)
                        .is_some_and(|server| server.domain == domain)
                {
                    self.serve(address, &datagram);
                }
            }
            TransitDatagram::Reply(domain, bytes) => {
                let reply: BackendReply<'_> = codec::decode(&bytes).unwrap();
                self.next_reply_host += 1;
                let live: Vec<usize> = (0..self.members.len())
                    .filter(|member| self.members[*member].reachable)
                    .filter(|member| {
                        !self.cut || Some(self.members[*member].identity.domain) == domain
                    })
                    .collect();
                let member = live[self.next_reply_host % live.len()];
                let event = TrafficEvent::Fabric(FabricDatagram::Backend(reply));
                self.drive(member, event);
            }
        }
        true
    }

    pub fn position(&self, host: HostId) -> usize {
        let mut members = self.members.iter();
        members
            .position(|member| member.identity.host == host)
            .unwrap()
    }

    fn drive(&mut self, position: usize, event: TrafficEvent<'_>) {
        let member = &mut self.members[position];
        let (in_transit, to_callers, counts) = (
            &mut self.in_transit,
            &mut self.to_callers,
            &mut member.counts,
        );
        let (relays, relay_bytes) = (&mut self.relays, &mut self.relay_bytes);
        let mut sink = |effect: TrafficEffect<'_>| match effect {
            TrafficEffect::ToCaller(reply) => to_callers.push((reply.flow, owned(&reply.kind))),
            TrafficEffect::ToBackend { address, datagram } => {
                in_transit.push_back(TransitDatagram::Server(address, bytes(&datagram)));
            }
            TrafficEffect::Relay { host, envelope, .. } => {
                let bytes = bytes(&envelope);
                *relays += 1;
                *relay_bytes += bytes.len();
                in_transit.push_back(TransitDatagram::Relay(host, bytes));
            }
            TrafficEffect::ToThread { .. }
            | TrafficEffect::Decide(_)
            | TrafficEffect::HandOver { .. }
            | TrafficEffect::TookOver(_)
            | TrafficEffect::Observe(_) => {}
            TrafficEffect::Count(counter) => *counts.entry(counter).or_default() += 1,
        };
        member
            .engine
            .handle(self.now, &member.snapshot, event, &mut sink);
    }

    fn serve(&mut self, address: net::SocketAddr, datagram: &BackendDatagram<'_>) {
        let server = self.servers.entry(address).or_default();
        server.received.push((datagram.backend, datagram.kind));
        let domain = server.domain;
        if server.silent {
            return;
        }
        let flow = datagram.flow;
        let mut reply = |kind| {
            let message = BackendReply {
                flow,
                backend: datagram.backend,
                via: datagram.via,
                kind,
            };
            self.in_transit
                .push_back(TransitDatagram::Reply(domain, bytes(&message)));
        };
        match datagram.kind {
            BackendKind::Open => {
                server.open_flows.insert(flow);
                reply(BackendReplyKind::Opened);
            }
            BackendKind::Close => {
                server.open_flows.remove(&flow);
                return reply(BackendReplyKind::Closed);
            }
            BackendKind::Cancel => return,
            BackendKind::Carry => {}
        }
        if !server.open_flows.contains(&flow) {
            server.refused += 1;
            let request = datagram.request.map(|request| request.id);
            let attempt = datagram.request.map(|request| request.attempt);
            let attempt = attempt.unwrap_or_default();
            return reply(BackendReplyKind::UnknownFlow { request, attempt });
        }
        match datagram.request {
            Some(request) => {
                server.runs.push((flow, request.id));
                reply(BackendReplyKind::Answer {
                    request: request.id,
                    attempt: request.attempt,
                    part: PartNumber::WHOLE,
                    payload: b"answer",
                });
            }
            None if datagram.kind == BackendKind::Open => {}
            None => server.plain.push((flow, datagram.payload.to_vec())),
        }
    }

    /// The servers that hold `flow` open.
    pub fn holders(&self, flow: FlowKey) -> Vec<net::SocketAddr> {
        let holding = self.servers.iter();
        let holding = holding.filter(|(_, server)| server.open_flows.contains(&flow));
        holding.map(|(address, _)| *address).collect()
    }

    /// How often `request` of `flow` ran on all servers together.
    pub fn runs(&self, flow: FlowKey, request: RequestId) -> usize {
        let runs = self.servers.values().flat_map(|server| &server.runs);
        runs.filter(|run| **run == (flow, request)).count()
    }

    /// All messages to the caller of `flow`.
    pub fn messages_to(&self, flow: FlowKey) -> Vec<CallerMessage> {
        let messages = self.to_callers.iter().filter(|(to, _)| *to == flow);
        messages.map(|(_, message)| message.clone()).collect()
    }

    pub fn count(&self, counter: Counter) -> usize {
        let counts = self
            .members
            .iter()
            .map(|member| member.counts.get(&counter));
        counts.flatten().sum()
    }

    /// A request whose deadline is well within the maximum request lifetime.
    pub fn request(&self, number: u64) -> RequestHeader {
        RequestHeader {
            id: RequestId::new(number),
            idempotent: false,
            deadline: self.now.after(time::Duration::from_secs(5)),
        }
    }
}

/// An opening by a caller that does not echo tokens.
pub fn plain_open(flow: FlowKey) -> CallerDatagram<'static> {
    CallerDatagram {
        echoes_token: false,
        ..CallerDatagram::open(flow, b"open")
    }
}

fn bytes<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut buffer = [0; codec::DATAGRAM_LIMIT];
    codec::encode(value, &mut buffer).unwrap().to_vec()
}

fn owned(kind: &CallerReplyKind<'_>) -> CallerMessage {
    match kind {
        CallerReplyKind::Opened { token } => CallerMessage::Opened(*token),
        CallerReplyKind::Answer { request, .. } => CallerMessage::Answer(*request),
        CallerReplyKind::NotRun {
            request, reason, ..
        } => CallerMessage::NotRun(*request, *reason),
        CallerReplyKind::OutcomeUnknown { request, .. } => CallerMessage::Unknown(*request),
        CallerReplyKind::Reset { reason } => CallerMessage::Reset(*reason),
        CallerReplyKind::Notice { sequence, .. } => CallerMessage::Notice(*sequence),
    }
}
