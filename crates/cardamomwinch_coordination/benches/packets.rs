//! How long a traffic thread takes to decide about one datagram, with 10,000,
//! 100,000 and 500,000 open flows. An iteration is one datagram; for a request at its
//! home it is the request and the complete answer to it.
#![allow(missing_docs)]

mod bench_common;

use std::hint;
use std::time;

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use criterion::measurement::WallTime;
use criterion::{BenchmarkGroup, BenchmarkId, Criterion, criterion_group, criterion_main};

const FLOW_COUNTS: [usize; 3] = [10_000, 100_000, 500_000];
/// A stride that visits the flows in an order that a cache can't predict.
const STRIDE: usize = 7_919;
const BATCH: u64 = 64;
const REQUEST_INTERVAL: time::Duration = time::Duration::from_micros(50);
const REQUESTS_PER_TICK: u64 = 2_000;

fn handle(
    engine: &mut TrafficEngine,
    now: Timestamp,
    snapshot: &RoutingSnapshot,
    event: TrafficEvent<'_>,
) {
    engine.handle(now, snapshot, event, &mut |effect: TrafficEffect<'_>| {
        hint::black_box(&effect);
    });
}

fn caller_event(datagram: CallerDatagram<'_>) -> TrafficEvent<'_> {
    TrafficEvent::Fabric(FabricDatagram::Caller(datagram))
}

fn bench_carried(
    group: &mut BenchmarkGroup<'_, WallTime>,
    name: &str,
    count: usize,
    engine: &mut TrafficEngine,
    snapshot: &RoutingSnapshot,
    datagrams: &[CallerDatagram<'static>],
) {
    let mut position = 0;
    group.bench_function(BenchmarkId::new(name, count), |bencher| {
        bencher.iter_custom(|iterations| {
            let mut spent = time::Duration::ZERO;
            let mut left = iterations;
            while left > 0 {
                let size = left.min(BATCH);
                // A datagram that was just received is in the cache; only the tables of
                // the engine may not be.
                let batch: Vec<CallerDatagram<'_>> = (0..size)
                    .map(|_| {
                        position = (position + STRIDE) % datagrams.len();
                        datagrams[position]
                    })
                    .collect();
                let began = time::Instant::now();
                for datagram in batch {
                    let event = caller_event(datagram);
                    handle(engine, bench_common::NOW, snapshot, event);
                }
                spent += began.elapsed();
                left -= size;
            }
            spent
        });
    });
}

fn tokens(snapshot: &RoutingSnapshot, count: usize) -> Vec<CallerDatagram<'static>> {
    let issuer = TokenIssuer::new(bench_common::keys());
    let backends = &snapshot.configuration.backends;
    let claims: Vec<TokenClaim> = backends.values().map(TokenClaim::from).collect();
    (0..count)
        .map(|index| {
            let flow = bench_common::flow(index);
            let token = issuer.issue(&flow, claims[index % claims.len()]);
            CallerDatagram::carry(flow, Some(token), b"data")
        })
        .collect()
}

fn bench_packets(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("packet");
    let here = bench_common::identity().host;
    let other = HostId::from_name("bud-angyal-2");
    for count in FLOW_COUNTS {
        let at_home = bench_common::snapshot(bench_common::configuration(1, 14), here);
        let elsewhere = bench_common::snapshot(bench_common::configuration(1, 14), other);
        let mut engine = bench_common::engine(count);
        bench_common::open_flows(&mut engine, &at_home, count);
        let bare =
            (0..count).map(|index| CallerDatagram::carry(bench_common::flow(index), None, b"data"));
        let bare: Vec<CallerDatagram<'static>> = bare.collect();
        let with_token = tokens(&at_home, count);
        bench_carried(
            &mut group,
            "token",
            count,
            &mut engine,
            &at_home,
            &with_token,
        );
        bench_carried(&mut group, "pin", count, &mut engine, &at_home, &bare);
        let mut empty = bench_common::engine(count);
        bench_carried(
            &mut group,
            "table and relay",
            count,
            &mut empty,
            &elsewhere,
            &bare,
        );
        bench_request(&mut group, count, &mut engine, &at_home);
    }
    group.finish();
}

fn bench_request(
    group: &mut BenchmarkGroup<'_, WallTime>,
    count: usize,
    engine: &mut TrafficEngine,
    snapshot: &RoutingSnapshot,
) {
    let mut number = 0_u64;
    let mut now = bench_common::NOW;
    group.bench_function(
        BenchmarkId::new("request at home with answer", count),
        |bencher| {
            bencher.iter(|| {
                number += 1;
                now = now.after(REQUEST_INTERVAL);
                if number.is_multiple_of(REQUESTS_PER_TICK) {
                    handle(engine, now, snapshot, TrafficEvent::Tick);
                }
                let index = number as usize * STRIDE % count;
                request_and_answer(engine, now, snapshot, bench_common::flow(index), number);
            });
        },
    );
}

fn request_and_answer(
    engine: &mut TrafficEngine,
    now: Timestamp,
    snapshot: &RoutingSnapshot,
    flow: FlowKey,
    number: u64,
) {
    let header = RequestHeader {
        id: RequestId::new(number),
        idempotent: true,
        deadline: now.after(time::Duration::from_secs(1)),
    };
    let datagram = CallerDatagram::carry(flow, None, b"data").with_request(header);
    let mut dispatched = None;
    engine.handle(
        now,
        snapshot,
        caller_event(datagram),
        &mut |effect: TrafficEffect<'_>| {
            if let TrafficEffect::ToBackend { datagram, .. } = effect {
                dispatched = datagram
                    .request
                    .map(|request| (datagram.backend, request.attempt));
            }
        },
    );
    let (backend, attempt) = dispatched.expect("a home with free slots dispatches at once");
    let reply = BackendReply {
        flow,
        backend,
        via: bench_common::identity().host,
        kind: BackendReplyKind::Answer {
            request: header.id,
            attempt,
            part: PartNumber::WHOLE,
            payload: b"answer",
        },
    };
    let event = TrafficEvent::Fabric(FabricDatagram::Backend(reply));
    handle(engine, now, snapshot, event);
}

criterion_group!(benches, bench_packets);
criterion_main!(benches);
