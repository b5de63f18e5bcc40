//! How long it takes to choose the server of a new flow, among all servers that may take it
//! and within the window of a host.
#![allow(missing_docs)]

use std::hint;
use std::net;
use std::time;

use cardamomwinch_coordination::forwarding::cold_starts::{ColdLimiter, ColdShare};
use cardamomwinch_coordination::forwarding::directory::{
    ServerDirectory, ServerPhase, ServerRecord,
};
use cardamomwinch_coordination::forwarding::discovery::store_call::StoreRevision;
use cardamomwinch_coordination::forwarding::permission::FlowPermission;
use cardamomwinch_coordination::forwarding::placement::PlacementInput;
use cardamomwinch_coordination::forwarding::progress::ProgressTable;
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::*;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const NOW: Timestamp = Timestamp::new(1_700_000_000_000_000);
const DOMAINS: usize = 3;
/// Numbers of servers of the service, all servers and hosts of the own domain.
const SIZES: [(usize, usize, u64); 4] = [
    (18, 18, 23),
    (120, 26_000, 23),
    (120, 26_000, 1_067),
    (26_000, 26_000, 1_067),
];

fn domain(number: usize) -> DomainId {
    DomainId::from_name(&format!("domain-{number}"))
}

fn service(number: usize) -> ServiceId {
    ServiceId::from_name(&format!("service-{number}"))
}

fn server(index: usize, per_service: usize) -> ServerRecord {
    ServerRecord {
        id: BackendId::new(flow::mix(index as u64)),
        address: net::SocketAddr::from(([10, 1, 64, 1], 8301)),
        service: service(index / per_service),
        domain: domain(index % DOMAINS),
        slots: SlotCount::new(2),
        started: None,
        phase: ServerPhase::Active,
        warm_at: Timestamp::ZERO,
        registered: StoreRevision::new(1),
        changed: StoreRevision::new(1),
    }
}

/// One flow and one measured response time on every third server.
fn progress(directory: &ServerDirectory) -> ProgressTable {
    let mut progress = ProgressTable::default();
    for server in directory.iter().step_by(3) {
        progress.add_flow(server.id, NOW);
        progress.note_response(server.id, time::Duration::from_millis(40), NOW);
    }
    progress
}

/// The host in the middle of `hosts` hosts, of which it knows at most 64.
fn share(hosts: u64) -> ColdShare {
    let mut numbers: Vec<u64> = (0..hosts).map(flow::mix).collect();
    numbers.sort_unstable();
    let host_number = numbers[numbers.len() / 2];
    numbers.truncate(64);
    ColdShare {
        host_number,
        host_numbers: numbers.into(),
    }
}

fn bench_placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for (per_service, servers, hosts) in SIZES {
        let records = (0..servers).map(|index| server(index, per_service));
        let mut directory = ServerDirectory::default();
        directory.replace(records.collect(), &[], StoreRevision::new(1), NOW);
        let progress = progress(&directory);
        let view = ForwardingView::default();
        let limiter = ColdLimiter::default();
        let share = share(hosts);
        let input = |subject| PlacementInput {
            directory: &directory,
            progress: &progress,
            reports: &view.reports,
            domain: Some(domain(0)),
            permission: FlowPermission::new(&view, service(0), &[], &limiter, NOW),
            service: service(0),
            subject: flow::mix(subject),
            is_short: true,
            spill_to: None,
            spills_by_share: true,
            latency_goal: time::Duration::from_millis(500),
            now: NOW,
        };
        let size = format!("{per_service} of {servers} servers, {hosts} hosts");
        let mut subject = 0;
        group.bench_function(BenchmarkId::new("all", &size), |bencher| {
            bencher.iter(|| {
                subject += 1;
                hint::black_box(input(subject).choose(|_| false));
            });
        });
        group.bench_function(BenchmarkId::new("window", &size), |bencher| {
            bencher.iter(|| {
                subject += 1;
                hint::black_box(input(subject).choose_in_window(&share, |_| false));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_placement);
criterion_main!(benches);
