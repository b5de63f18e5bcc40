//! Tests of cases in which the traffic engine once violated the specification.
//! Each test is the shortest trace to the violation.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::net;
use std::sync;
use std::time;

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::routing::lookup_table::LookupTables;
use cardamomwinch_model::homes::CopyOutcome;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;

use crate::support::{SmallWorld, WorldLayout};

const FIRST: usize = 0;
const SECOND: usize = 1;
const ROOMY: WorldLayout = WorldLayout {
    slots: 100,
    connections: 100,
};
/// Number of ticks that sweep all records.
const SWEEPS: usize = 8;
const SHORT_TIME: time::Duration = time::Duration::from_millis(10);

fn submission(world: &SmallWorld, id: u64, lifetime: time::Duration) -> RequestHeader {
    RequestHeader {
        id: RequestId::new(id),
        idempotent: false,
        deadline: world.now.after(lifetime),
    }
}

fn opening(number: u16, header: RequestHeader) -> CallerDatagram<'static> {
    CallerDatagram::open(support::flow(number), b"submission").with_request(header)
}

fn carrying(number: u16, header: RequestHeader) -> CallerDatagram<'static> {
    CallerDatagram::carry(support::flow(number), None, b"submission").with_request(header)
}

/// Guards against a "not run" answer that becomes false. A caller whose deadline
/// is too far away gets the answer that its submission was not run. The home
/// crashes, and the fabric sends a late copy to the next home, which does not
/// know of the refusal. The deadline is now near enough, so the copy runs.
/// Cause: the answer is final, but only one host remembers the refusal.
/// Mistake `FarDeadlineRefused` of the specification.
#[test]
fn far_deadline_is_not_answered_with_not_run() {
    let mut world = SmallWorld::new(ROOMY);
    assert!(world.grant(FIRST));
    let lifetime = world.limits.request_lifetime;
    let header = submission(&world, 1, lifetime * 2);
    let first = world.copy(FIRST, carrying(1, header));
    world.crash(FIRST);
    world.advance(world.limits.home_lease);
    assert!(world.grant(SECOND));
    for _ in 0..lifetime.as_secs() {
        world.advance(time::Duration::from_secs(1));
        assert!(world.grant(SECOND), "renewed in time");
    }
    world.copy(SECOND, carrying(1, header));
    let under_way = world.under_way.len();
    if under_way > 0 {
        world.begin(0).unwrap();
    }
    let outcome = world.outcomes[&header.id];
    assert!(
        !outcome.received_not_run || outcome.runs == 0,
        "{outcome:?}"
    );
    assert!(first.shows(CopyOutcome::OutcomeUnknown), "{first:?}");
}

/// Guards against a false "not run" answer. A submission that opens its flow
/// runs, and its home crashes. The next home has no room for the flow and answers
/// that the submission was not run.
/// Cause: an opening is refused because there is no room before the home checks
/// whether an earlier home may have run the request in it.
/// Mistake `RefusedBeforeRecordsSince` of the specification.
#[test]
fn full_server_does_not_refuse_what_an_earlier_home_ran() {
    let mut world = SmallWorld::new(WorldLayout {
        slots: 100,
        connections: 1,
    });
    assert!(world.grant(FIRST));
    let header = submission(&world, 1, world.limits.request_lifetime);
    world.copy(FIRST, opening(1, header));
    world.begin(0).unwrap();
    world.crash(FIRST);
    world.advance(world.limits.home_lease);
    assert!(world.grant(SECOND));
    world.copy(SECOND, CallerDatagram::open(support::flow(2), b"hello"));
    let seen = world.copy(SECOND, opening(1, header));
    let outcome = world.outcomes[&header.id];
    assert!(
        !outcome.received_not_run || outcome.runs == 0,
        "{outcome:?}"
    );
    assert!(seen.shows(CopyOutcome::OutcomeUnknown), "{seen:?}");
}

/// Guards against sending a waiting request without a lease. A home with one
/// running and one waiting submission cannot reach its voters, and its lease
/// expires. The running one is answered, and the host sends the waiting one to a
/// server for which another host may already decide.
/// Cause: the lease is not checked before a waiting request is sent, and without
/// a lease the server may begin the request until its deadline.
/// Mistake `QueueIgnoresLease` of the specification.
#[test]
fn waiting_request_is_not_sent_without_a_lease() {
    let mut world = SmallWorld::new(WorldLayout {
        slots: 1,
        connections: 100,
    });
    assert!(world.grant(FIRST));
    let running = submission(&world, 1, world.limits.request_lifetime);
    let waiting = submission(&world, 2, world.limits.request_lifetime);
    assert!(
        world
            .copy(FIRST, opening(1, running))
            .shows(CopyOutcome::Dispatch)
    );
    assert!(
        world
            .copy(FIRST, carrying(2, waiting))
            .shows(CopyOutcome::Queue)
    );
    let begun = world.begin(0).unwrap();
    world.advance(world.limits.home_lease);
    assert_eq!(world.home(), None);
    let seen = world.reply(FIRST, &begun, false);
    assert_eq!(
        seen.dispatched, 0,
        "sent after the lease: {:?}",
        world.under_way
    );
}

/// Returns the snapshot of a home that has adopted a version in which the address
/// of the server `removed` belongs to another service, and another server replaces
/// it.
fn after_reassignment(world: &SmallWorld, removed: &BackendEntry) -> RoutingSnapshot {
    let other = ServiceId::from_name("benchmark-desk");
    let spare_address: net::SocketAddr = "127.0.0.1:9101".parse().unwrap();
    let spare = BackendEntry {
        id: BackendId::from_parts(support::service(), "two", spare_address),
        address: spare_address,
        ..removed.clone()
    };
    let configuration = support::configuration(vec![spare]);
    let addresses = [
        (removed.address, other),
        (spare_address, support::service()),
    ];
    RoutingSnapshot {
        generations: vec![sync::Arc::new(LookupTables::derive(&configuration, None))],
        configuration: sync::Arc::new(configuration),
        retained: [(removed.id, removed.clone())].into_iter().collect(),
        server_addresses: sync::Arc::new(addresses.into_iter().collect()),
        ..world.snapshot(FIRST)
    }
}

/// Returns the addresses to which `engine` sends datagrams when it handles
/// `event`.
fn addresses_reached(
    engine: &mut TrafficEngine,
    now: Timestamp,
    snapshot: &RoutingSnapshot,
    event: TrafficEvent<'_>,
) -> Vec<net::SocketAddr> {
    let mut reached = Vec::new();
    let mut sink = |effect: TrafficEffect<'_>| {
        if let TrafficEffect::ToBackend { address, .. } = effect {
            reached.push(address);
        }
    };
    engine.handle(now, snapshot, event, &mut sink);
    reached
}

/// Guards against a request that reaches another service. A server's address is
/// given to another service while a flow without a token is open on it. A host
/// that has not adopted the change yet relays a request of the flow, with the
/// server that it has pinned, to the home, which has adopted it. The home sends
/// the request to the address, where the other service receives it.
/// Cause: the server that a relaying host names is looked up among the servers
/// of earlier versions, and its address is not compared with those in force.
/// Mistake `RelayedServerUnguarded` of the specification.
#[test]
fn relayed_decision_does_not_reach_a_reassigned_address() {
    let mut world = SmallWorld::new(ROOMY);
    assert!(world.grant(FIRST));
    let removed = support::server(ROOMY);
    let snapshot = after_reassignment(&world, &removed);
    let header = submission(&world, 1, world.limits.request_lifetime);
    let frame = RelayFrame::Caller {
        datagram: CallerDatagram::carry(support::flow(1), None, b"submission").with_request(header),
        decided: Some(TokenClaim::from(&removed)),
        search: None,
        shard: removed.shard(1),
        hops: 1,
    };
    let event = TrafficEvent::Relay(RelayEnvelope {
        sender: world.host(SECOND),
        version: ConfigurationVersion::new(1),
        frame,
    });
    let mut engine = support::engine(world.host(FIRST), 1);
    let reached = addresses_reached(&mut engine, world.now.after(SHORT_TIME), &snapshot, event);
    assert!(
        !reached.contains(&removed.address),
        "sent to the other service"
    );
}

/// Guards against a request that reaches another service. A submission waits for
/// a slot while the address of its server is given to another service. The one
/// before it is answered, and the waiting one is sent to the address, where the
/// other service receives it.
/// Cause: the addresses in force are not checked before a waiting request is sent.
#[test]
fn waiting_request_does_not_reach_a_reassigned_address() {
    let layout = WorldLayout {
        slots: 1,
        connections: 100,
    };
    let (world, mut engine, removed) = with_one_running_and_one_waiting(layout);
    let snapshot = after_reassignment(&world, &removed);
    let reply = BackendReply {
        flow: support::flow(1),
        backend: removed.id,
        via: world.host(FIRST),
        kind: BackendReplyKind::Answer {
            request: RequestId::new(1),
            attempt: AttemptNumber(0),
            part: PartNumber::WHOLE,
            payload: b"done",
        },
    };
    let event = TrafficEvent::Fabric(FabricDatagram::Backend(reply));
    let reached = addresses_reached(&mut engine, world.now.after(SHORT_TIME), &snapshot, event);
    assert!(
        !reached.contains(&removed.address),
        "sent to the other service"
    );
}

/// Guards against a cancellation that reaches another service. A submission runs
/// while the address of its server is given to another service. Its deadline
/// passes, and the cancellation is sent to the address, where the other service
/// receives it.
/// Cause: the addresses in force are not checked before a cancellation is sent.
#[test]
fn cancellation_does_not_reach_a_reassigned_address() {
    let (world, mut engine, removed) = with_one_running_and_one_waiting(ROOMY);
    let snapshot = after_reassignment(&world, &removed);
    let after = world.now.after(world.limits.request_lifetime * 2);
    for _ in 0..SWEEPS {
        let reached = addresses_reached(&mut engine, after, &snapshot, TrafficEvent::Tick);
        assert!(
            !reached.contains(&removed.address),
            "sent to the other service"
        );
    }
}

/// Returns an engine that is home and has accepted two submissions.
fn with_one_running_and_one_waiting(
    layout: WorldLayout,
) -> (SmallWorld, TrafficEngine, BackendEntry) {
    let mut world = SmallWorld::new(layout);
    assert!(world.grant(FIRST));
    let mut engine = support::engine(world.host(FIRST), 1);
    for number in [1, 2] {
        let header = submission(&world, u64::from(number), world.limits.request_lifetime);
        let event = TrafficEvent::Fabric(FabricDatagram::Caller(opening(number, header)));
        addresses_reached(&mut engine, world.now, &world.snapshot(FIRST), event);
    }
    assert_eq!(engine.remembered_requests().len(), 2);
    (world, engine, support::server(layout))
}
