//! The configuration, the snapshot and the flows of the benchmarks.
#![allow(dead_code, missing_docs)]

use std::net;
use std::sync;

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::routing::lookup_table::LookupTables;
use cardamomwinch_coordination::snapshot::ShardView;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;

pub(crate) const NOW: Timestamp = Timestamp::new(1_700_000_000_000_000);

pub(crate) fn identity() -> HostIdentity {
    HostIdentity {
        host: HostId::from_name("bud-angyal-1"),
        domain: DomainId::from_name("bud-angyal"),
        incarnation: Incarnation::new(1),
    }
}

pub(crate) fn keys() -> AuthenticationKeys {
    AuthenticationKeys::new(SecretKey::new([7; 32]), None)
}

fn address(network: u8, index: usize) -> net::SocketAddr {
    let [_, high, middle, low] = (index as u32).to_be_bytes();
    let address = net::Ipv4Addr::new(network + high, middle, low, 1);
    net::SocketAddr::from((address, 7000))
}

pub(crate) fn service_address() -> net::SocketAddr {
    address(20, 0)
}

pub(crate) fn flow(index: usize) -> FlowKey {
    let [_, high, middle, low] = (index as u32).to_be_bytes();
    let caller = net::Ipv4Addr::new(10, high, middle, low);
    FlowKey {
        caller: net::SocketAddr::from((caller, 40_000)),
        service: service_address(),
    }
}

/// A configuration with `servers` backend servers in the domain of the benchmarked
/// host, evenly divided among `services` services.
pub(crate) fn configuration(services: usize, servers: usize) -> InForceConfiguration {
    let mut configuration = InForceConfiguration {
        version: ConfigurationVersion::new(1),
        ..InForceConfiguration::default()
    };
    let ids: Vec<ServiceId> = (0..services)
        .map(|index| ServiceId::from_name(&format!("service-{index}")))
        .collect();
    configuration.services = ids
        .iter()
        .enumerate()
        .map(|(index, id)| {
            let entry = ServiceEntry {
                id: *id,
                name: format!("service-{index}"),
                team: TeamId::from_name("team"),
                address: address(20, index),
            };
            (*id, entry)
        })
        .collect();
    let entries = configuration.services.values();
    configuration.addresses = entries.map(|entry| (entry.address, entry.id)).collect();
    let backends = (0..servers).map(|index| backend(ids[index % services], index));
    configuration.backends = backends.map(|entry| (entry.id, entry)).collect();
    configuration
}

fn backend(service: ServiceId, index: usize) -> BackendEntry {
    let name = format!("server-{index}");
    let address = address(120, index);
    BackendEntry {
        id: BackendId::from_parts(service, &name, address),
        name,
        service,
        domain: identity().domain,
        address,
        slots: SlotCount::MAX,
        connections: ConnectionCount::MAX,
        weight: Weight::new(100),
        phase: BackendPhase::Active,
    }
}

/// The snapshot of the benchmarked host while `home` holds the leases of all shards.
pub(crate) fn snapshot(configuration: InForceConfiguration, home: HostId) -> RoutingSnapshot {
    let tables = LookupTables::derive(&configuration, None);
    let here = identity();
    let lease = HomeLease {
        held_until: Timestamp::MAX,
        records_since: Timestamp::ZERO,
    };
    let view = ShardView {
        home: Some(home),
        lease: (home == here.host).then_some(lease),
    };
    let shards = (0..configuration.limits.shards_per_domain).map(|index| {
        let domain = here.domain;
        (ShardId { domain, index }, view)
    });
    let hosts = [here.host, home].map(|id| (id, host_entry(id)));
    let servers = configuration.backends.values();
    let server_addresses = servers.map(|entry| (entry.address, entry.service));
    let mut snapshot = RoutingSnapshot::starting();
    snapshot.made = NOW;
    snapshot.phase = ServingPhase::Serving;
    snapshot.fresh_until = Timestamp::MAX;
    snapshot.shards = shards.collect();
    snapshot.server_addresses = sync::Arc::new(server_addresses.collect());
    snapshot.generations = vec![sync::Arc::new(tables)];
    snapshot.hosts = sync::Arc::new(HostTable {
        version: HostListVersion::new(1),
        hosts: hosts.into_iter().collect(),
    });
    snapshot.configuration = sync::Arc::new(configuration);
    snapshot
}

fn host_entry(id: HostId) -> HostEntry {
    HostEntry {
        id,
        name: id.to_string(),
        domain: identity().domain,
        traffic_address: address(60, 1),
        peer_address: address(60, 2),
        relay_address: address(60, 3),
        phase: HostPhase::Live,
    }
}

pub(crate) fn engine(flows: usize) -> TrafficEngine {
    let bounds = TrafficBounds {
        flows: flows + 1,
        request_records: 1_000_000,
        ..TrafficBounds::default()
    };
    HostBuilder::new(identity(), keys())
        .with_bounds(bounds)
        .build_traffic(ThreadPlace::ONLY)
}

/// Opens `count` flows at their home and checks that each is pinned.
pub(crate) fn open_flows(engine: &mut TrafficEngine, snapshot: &RoutingSnapshot, count: usize) {
    for index in 0..count {
        let datagram = CallerDatagram::open(flow(index), b"");
        let event = TrafficEvent::Fabric(FabricDatagram::Caller(datagram));
        engine.handle(NOW, snapshot, event, &mut |_: TrafficEffect<'_>| ());
    }
    assert_eq!(engine.pinned_flows().len(), count, "every flow is pinned");
}
