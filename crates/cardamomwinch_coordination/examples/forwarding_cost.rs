//! Measures the time per packet and the memory of forwarding, for several numbers of
//! servers and services.
//!
//! `cargo run --release -p cardamomwinch_coordination --example forwarding_cost`
#![allow(clippy::unwrap_used, missing_docs)]

use std::net;
use std::sync;
use std::time;

use cardamomwinch_coordination::forwarding::directory::{
    ServerDirectory, ServerPhase, ServerRecord,
};
use cardamomwinch_coordination::forwarding::discovery::store_call::StoreRevision;
use cardamomwinch_coordination::forwarding::engine::{ForwardingEngine, ForwardingSink};
use cardamomwinch_coordination::forwarding::packet::{FlowPacket, FlowToken, PacketKind};
use cardamomwinch_coordination::forwarding::record::ForwardingRecord;
use cardamomwinch_coordination::forwarding::routes::{
    RouteDocument, RouteEntry, RouteTable, RouteTarget,
};
use cardamomwinch_coordination::forwarding::server_reports::ReporterId;
use cardamomwinch_coordination::forwarding::view::ForwardingView;
use cardamomwinch_state::prelude::*;

/// The flows of one of 3,200 hosts if there are 110 million flows in all.
const FLOWS: u32 = 34_375;

/// Records the server to which the last packet was sent.
#[derive(Default)]
struct LastServer(Option<BackendId>);

impl ForwardingSink for LastServer {
    fn send(&mut self, server: &ServerRecord, _token: FlowToken) {
        self.0 = Some(server.id);
    }

    fn reset(&mut self) {}

    fn reset_flow(&mut self, _flow: &FlowKey, _acknowledged: u32) {}

    fn hold(&mut self) {}

    fn measure_opening(&mut self, _time: time::Duration) {}

    fn measure_response(&mut self, _time: time::Duration) {}

    fn record(&mut self, _record: &ForwardingRecord<'_>) {}
}

fn address(service: u32) -> net::SocketAddr {
    net::SocketAddr::from(((0xc612_0000 + service).to_be_bytes(), 443))
}

fn server(number: u32, services: u32) -> ServerRecord {
    ServerRecord {
        id: BackendId::new(flow_mix(number)),
        address: net::SocketAddr::from(((0x0a00_0000 + number).to_be_bytes(), 8080)),
        service: ServiceId::new(u64::from(number % services)),
        domain: DomainId::new(u64::from(number / services % 10)),
        slots: SlotCount::new(2),
        started: None,
        phase: ServerPhase::Active,
        warm_at: Timestamp::ZERO,
        registered: StoreRevision::new(1),
        changed: StoreRevision::new(1),
    }
}

fn flow_mix(number: u32) -> u64 {
    cardamomwinch_state::flow::mix(u64::from(number) + 1)
}

fn route(service: u32) -> RouteEntry {
    RouteEntry {
        name: format!("r-{service}"),
        targets: vec![RouteTarget {
            service: ServiceId::new(u64::from(service)),
            weight: Weight::new(1),
        }],
        idempotent: true,
        latency_goal: time::Duration::from_millis(150),
        regions: Vec::new(),
        priority: None,
        timeout: time::Duration::ZERO,
    }
}

fn view(servers: u32, services: u32) -> ForwardingView {
    let mut directory = ServerDirectory::default();
    let records = (0..servers).map(|number| server(number, services));
    directory.replace(
        records.collect(),
        &[],
        StoreRevision::new(1),
        Timestamp::ZERO,
    );
    let mut routes = RouteTable::default();
    routes.adopt(RouteDocument {
        version: ConfigurationVersion::new(1),
        routes: (0..services)
            .map(|one| (address(one), route(one)))
            .collect(),
        cold_starts: Vec::new(),
        idle_timeout: time::Duration::from_secs(15),
    });
    ForwardingView {
        domain: Some(DomainId::new(0)),
        regions: sync::Arc::default(),
        cold_share: None,
        routes: sync::Arc::new(routes),
        directory: sync::Arc::new(directory),
        as_of: Timestamp::ZERO,
        store_failed_at: None,
        reports: sync::Arc::default(),
    }
}

fn packet(number: u32, services: u32, kind: PacketKind, token: FlowToken) -> FlowPacket<'static> {
    FlowPacket {
        flow: FlowKey {
            caller: net::SocketAddr::from(((0x6440_0000 + number).to_be_bytes(), 40_000)),
            service: address(number % services),
        },
        kind,
        token,
        sequence: 500,
        acknowledged: 1,
        length: 0,
        request: None,
    }
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn measure(servers: u32, services: u32) {
    let before = resident_kib();
    let view = view(servers, services);
    let known = resident_kib();
    let mut engine = ForwardingEngine::new(FLOWS as usize, 0, ReporterId::new(1));
    let mut sink = LastServer::default();
    let mut tokens = Vec::new();
    let now = Timestamp::new(1_000_000);
    let begin = time::Instant::now();
    for number in 0..FLOWS {
        let opening = packet(
            number,
            services,
            PacketKind::Opening { copy: 0 },
            FlowToken::NONE,
        );
        engine.handle(now, &view, &opening, &mut sink);
        tokens.push(FlowToken::of_server(sink.0.unwrap()));
    }
    let opening = begin.elapsed() / FLOWS;
    let watched = resident_kib();
    let begin = time::Instant::now();
    for (number, token) in (0..FLOWS).zip(&tokens) {
        let data = packet(number, services, PacketKind::Data, *token);
        engine.handle(now, &view, &data, &mut sink);
    }
    let data = begin.elapsed() / FLOWS;
    println!(
        "| {servers} | {services} | {} ns | {} ns | {} KiB | {} KiB |",
        opening.as_nanos(),
        data.as_nanos(),
        known - before,
        watched - known,
    );
}

fn main() {
    println!("| servers | services | opening | data | routes and servers | {FLOWS} flows |");
    for (servers, services) in [
        (18, 2),
        (150, 2),
        (2_600, 250),
        (26_000, 2_500),
        (26_000, 2),
    ] {
        measure(servers, services);
    }
}
