//! How long it takes to derive the lookup tables of 14 and of 26,000 backend
//! servers, and to adopt a configuration of about one megabyte.
#![allow(missing_docs)]

mod bench_common;

use std::hint;

use cardamomwinch_coordination::control::event::PlatformAnswer;
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::routing::lookup_table::LookupTables;
use cardamomwinch_state::prelude::*;
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use serde_json::{Map, json};

/// Numbers of services and of backend servers.
const SIZES: [(usize, usize); 2] = [(1, 14), (2_500, 26_000)];
const MEGABYTE: usize = 1_000_000;

fn bench_tables(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("lookup tables");
    group.sample_size(10);
    for (services, servers) in SIZES {
        let configuration = bench_common::configuration(services, servers);
        let earlier = LookupTables::derive(&configuration, None);
        let mut changed = configuration.clone();
        if let Some((_, entry)) = changed.backends.iter_mut().next() {
            entry.phase = BackendPhase::Draining;
        }
        group.bench_function(format!("all of {servers} servers"), |bencher| {
            bencher.iter(|| LookupTables::derive(hint::black_box(&configuration), None));
        });
        group.bench_function(format!("one of {servers} servers drains"), |bencher| {
            bencher.iter(|| LookupTables::derive(hint::black_box(&changed), Some(&earlier)));
        });
    }
    group.finish();
}

/// A fragment of about a megabyte, the largest value that the platform stores.
fn large_fragment() -> String {
    let mut services = Map::new();
    let mut length = 0;
    for service in 0.. {
        let backends = (0..10).map(|server| {
            let index = service * 10 + server;
            let entry = json!({
                "domain": "bud-angyal",
                "address": format!("10.{}.{}.2:9000", index / 250, index % 250),
                "slots": 2,
                "connections": 2000,
            });
            (format!("server-{index}"), entry)
        });
        let backends: Map<_, _> = backends.collect();
        let address = format!("11.{}.{}.1:80", service / 250, service % 250);
        let entry = json!({ "address": address, "backends": backends });
        length += entry.to_string().len() + 20;
        if length > MEGABYTE {
            break;
        }
        services.insert(format!("service-{service}"), entry);
    }
    json!({ "team": "team", "services": services }).to_string()
}

/// A host that has read everything except the fragment.
fn waiting_host(sink: &mut impl HostSink) -> HostEngine {
    let mut engine = HostBuilder::new(bench_common::identity(), bench_common::keys()).build();
    engine.handle(
        bench_common::NOW,
        HostEvent::Control(ControlEvent::Start),
        sink,
    );
    let hosts = json!({"hosts": {"bud-angyal-1": {
        "domain": "bud-angyal",
        "traffic_address": "127.0.0.1:1",
        "relay_address": "127.0.0.1:2",
        "peer_address": "127.0.0.1:3",
    }}});
    let root = json!({"preset": "ordinary", "teams": {"team": 1}});
    answer(&mut engine, PlatformKey::Hosts, 1, hosts.to_string(), sink);
    answer(&mut engine, PlatformKey::Root, 2, root.to_string(), sink);
    engine
}

fn answer(
    engine: &mut HostEngine,
    key: PlatformKey,
    revision: u64,
    text: String,
    sink: &mut impl HostSink,
) {
    let request = PlatformRequest {
        key,
        after: None,
        wait: std::time::Duration::ZERO,
    };
    let result = Ok(PlatformAnswer::Value { revision, text });
    let outcome = PlatformOutcome { request, result };
    let event = HostEvent::Control(ControlEvent::Platform(outcome));
    engine.handle(bench_common::NOW, event, sink);
}

fn bench_adoption(criterion: &mut Criterion) {
    let fragment = large_fragment();
    let mut sink = |effect: HostEffect<'_>| {
        hint::black_box(&effect);
    };
    let mut check = waiting_host(&mut sink);
    let key = || PlatformKey::Team("team".to_owned());
    answer(&mut check, key(), 1, fragment.clone(), &mut sink);
    let servers = check.snapshot().configuration.backends.len();
    assert!(servers > 0, "the fragment is in force");
    let mut group = criterion.benchmark_group("adoption");
    group.sample_size(10);
    let name = format!("{} bytes, {servers} servers", fragment.len());
    group.bench_function(name, |bencher| {
        bencher.iter_batched(
            || (waiting_host(&mut |_: HostEffect<'_>| ()), fragment.clone()),
            |(mut engine, text)| {
                answer(&mut engine, key(), 1, text, &mut |_: HostEffect<'_>| ());
                engine
            },
            BatchSize::PerIteration,
        );
    });
    group.finish();
}

criterion_group!(benches, bench_tables, bench_adoption);
criterion_main!(benches);
