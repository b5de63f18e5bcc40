//! Measures how much processor time the control thread of one host needs to evaluate
//! the health of backend servers, and how many load probes it sends, at several sizes.
//!
//! `cargo run --release -p cardamomwinch_coordination --example health_cost`
#![allow(missing_docs)]

use std::net;
use std::time;

use cardamomwinch_coordination::control::health::HealthTable;
use cardamomwinch_coordination::control::health::observation::BackendObservation;
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::snapshot::ShardView;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;

const SECONDS: u64 = 30;
const TICKS_PER_SECOND: u64 = 10;
const SHARDS: u16 = 32;
const START: Timestamp = Timestamp::new(1_000_000_000_000);

/// The size of a fleet.
struct FleetSize {
    servers: u32,
    domains: u32,
    hosts: u32,
}

fn server(index: u32, domains: u32) -> BackendEntry {
    let host = net::Ipv4Addr::from(0x0a00_0000 + index);
    let address = net::SocketAddr::from((host, 9000));
    let service = ServiceId::from_name(&format!("service-{}", index % 250));
    let name = format!("server-{index}");
    BackendEntry {
        id: BackendId::from_parts(service, &name, address),
        name,
        service,
        domain: domain(index % domains),
        address,
        slots: SlotCount::new(2),
        connections: ConnectionCount::new(2000),
        weight: Weight::new(100),
        phase: BackendPhase::Active,
    }
}

fn domain(index: u32) -> DomainId {
    DomainId::from_name(&format!("domain-{index}"))
}

/// The shards of all domains. Those of the first domain are spread evenly over its
/// hosts, and the measured host holds its part.
fn shards(size: &FleetSize) -> SortedVector<ShardId, ShardView> {
    let hosts_per_domain = size.hosts.div_ceil(size.domains);
    let own = u32::from(SHARDS).div_ceil(hosts_per_domain);
    let mut shards = SortedVector::new();
    for number in 0..size.domains {
        for index in 0..SHARDS {
            let held = number == 0 && u32::from(index) < own;
            let lease = held.then_some(HomeLease {
                held_until: Timestamp::MAX,
                records_since: Timestamp::ZERO,
            });
            let home = Some(HostId::from_name("domain-0-host"));
            let domain = domain(number);
            shards.insert(ShardId { domain, index }, ShardView { home, lease });
        }
    }
    shards
}

fn measure(size: &FleetSize) {
    let backends = (0..size.servers).map(|index| server(index, size.domains));
    let configuration = InForceConfiguration {
        backends: backends.map(|held| (held.id, held)).collect(),
        ..InForceConfiguration::default()
    };
    let shards = shards(size);
    let mut table = HealthTable::default();
    let mut spent = time::Duration::ZERO;
    let mut probed = 0;
    let mut tracked = 0;
    for tick in 0..SECONDS * TICKS_PER_SECOND {
        let millis = tick * 1000 / TICKS_PER_SECOND;
        let now = START.after(time::Duration::from_millis(millis));
        let begun = time::Instant::now();
        table.track(now, &configuration, &shards);
        let probes = table.due_probes(now, &configuration);
        for probe in &probes {
            let report = LoadReport {
                busy_slots: 1,
                connections: 100,
                healthy: true,
                draining: false,
                answers: None,
            };
            table.handle_load(now, probe.backend, Ok(report));
        }
        let views = table.views(now);
        let observations: Vec<BackendObservation> = views
            .keys()
            .map(|backend| BackendObservation {
                backend: *backend,
                answers: 5,
                sheds: 0,
                unanswered: 0,
                silent_for: time::Duration::ZERO,
            })
            .collect();
        table.apply_observations(now, &observations);
        table.review(now, &configuration);
        spent += begun.elapsed();
        probed += probes.len();
        tracked = views.len();
    }
    println!(
        "| {} | {} | {} | {tracked} | {:.1} | {:.3} |",
        size.servers,
        size.domains,
        size.hosts,
        probed as f64 / SECONDS as f64,
        spent.as_secs_f64() * 100.0 / SECONDS as f64,
    );
}

fn main() {
    println!(
        "| servers | domains | hosts | servers of this home | questions a second | % of a core |"
    );
    println!("|---|---|---|---|---|---|");
    let sizes = [
        (18, 3, 9),
        (180, 3, 9),
        (2_600, 10, 320),
        (26_000, 10, 3_200),
    ];
    for (servers, domains, hosts) in sizes {
        measure(&FleetSize {
            servers,
            domains,
            hosts,
        });
    }
}
