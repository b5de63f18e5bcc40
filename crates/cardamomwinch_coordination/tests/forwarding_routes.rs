//! Versions of the routes, and the differences that hosts send each other.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use std::net;

use cardamomwinch_coordination::forwarding::record::ForwardingOutcome;
use cardamomwinch_coordination::forwarding::routes::{RouteEntry, RouteTable, RouteTarget};
use cardamomwinch_state::prelude::*;
use forwarding_support::*;

fn address(number: u8) -> net::SocketAddr {
    net::SocketAddr::from(([198, 18, 0, number], 80))
}

fn version(number: u64) -> ConfigurationVersion {
    ConfigurationVersion::new(number)
}

fn named(name: &str) -> RouteEntry {
    RouteEntry {
        name: name.to_owned(),
        ..route(true)
    }
}

fn names(table: &RouteTable) -> Vec<Option<&str>> {
    (1..=3)
        .map(|number| {
            table
                .find(&address(number))
                .map(|route| route.name.as_str())
        })
        .collect()
}

/// An older version arrives late, from a peer with outdated data. If it came into force, flows
/// of a route that was just added would be reset.
#[test]
fn the_version_in_force_never_decreases() {
    let mut table = RouteTable::default();
    assert!(table.adopt(document(5, vec![(address(1), named("a"))])));
    assert!(!table.adopt(document(4, Vec::new())));
    assert!(!table.adopt(document(5, Vec::new())));
    assert_eq!(table.version(), version(5));
    assert!(table.find(&address(1)).is_some());
}

#[test]
fn a_difference_turns_the_earlier_version_into_the_later_one() {
    let first = document(1, vec![(address(1), named("a")), (address(2), named("b"))]);
    let second = document(2, vec![(address(2), named("c")), (address(3), named("d"))]);
    let (mut ahead, mut behind) = (RouteTable::default(), RouteTable::default());
    ahead.adopt(first.clone());
    behind.adopt(first);
    ahead.adopt(second);
    let difference = ahead.difference(version(1)).unwrap();
    assert_eq!(difference.changed.len(), 2);
    assert!(behind.apply(difference));
    assert_eq!(names(&behind), [None, Some("c"), Some("d")]);
    assert_eq!(behind.dropped(&address(1)), Some(version(2)));
    assert_eq!(ahead.difference(version(2)), None);
}

/// A peer skipped a version in which a route was changed; in the next one it was changed back.
/// For the peer the route never changed. A host that has the skipped version and queries the
/// peer would keep the changed route forever.
#[test]
fn a_change_that_the_peer_never_saw_is_undone() {
    let one = |number, name| document(number, vec![(address(1), named(name))]);
    let (mut peer, mut host) = (RouteTable::default(), RouteTable::default());
    peer.adopt(one(1, "a"));
    peer.adopt(one(3, "a"));
    host.adopt(one(1, "a"));
    host.adopt(one(2, "b"));
    host.apply(peer.difference(host.version()).unwrap());
    assert_eq!(host.version(), version(3));
    assert_eq!(host.find(&address(1)).unwrap().name, "a");
}

/// A host that starts has no version and receives all routes.
#[test]
fn a_host_that_starts_receives_all_routes() {
    let mut peer = RouteTable::default();
    for number in 1..400 {
        peer.adopt(document(number, vec![(address(1), named("a"))]));
    }
    let mut host = RouteTable::default();
    host.apply(peer.difference(version(0)).unwrap());
    assert_eq!(host.len(), 1);
}

/// All hosts must choose the same service for a flow, because copies of its opening may reach
/// different hosts; and the shares of the services must follow their weights.
#[test]
fn services_are_chosen_by_hash_and_weight() {
    let target = |name, weight| RouteTarget {
        service: service(name),
        weight: Weight::new(weight),
    };
    let entry = RouteEntry {
        targets: vec![target("a", 90), target("b", 10), target("c", 0)],
        ..route(true)
    };
    let chosen = |seed: u64| entry.service_for(FlowHash::new(cardamomwinch_state::flow::mix(seed)));
    let count = |name| {
        (0..10_000)
            .filter(|seed| chosen(*seed) == Some(service(name)))
            .count()
    };
    assert!((8_800..=9_200).contains(&count("a")));
    assert_eq!(count("c"), 0);
}

/// A route was dropped. Packets of its open flows must no longer be forwarded, and the flows are
/// reset at once.
#[test]
fn flows_of_a_dropped_route_are_reset() {
    let mut host = TestHost::new(vec![near_server(1)]);
    let server = host.establish(at(0), 1);
    host.adopt(document(2, Vec::new()));
    let sink = host.handle(at(100), &data(1, server, 500, 1, 80));
    assert_eq!(sink.outcomes, [ForwardingOutcome::RouteDroppedReset]);
    assert_eq!((sink.sent.len(), sink.resets), (0, 1));
}

/// A flow was opened through a host that already knows a new route. A host with an outdated view
/// must forward its packets as well: their token identifies the server.
#[test]
fn flows_of_a_route_that_is_not_known_yet_are_forwarded() {
    let mut host = TestHost::new(vec![near_server(1)]);
    let mut packet = data(1, near_server(1).id, 500, 1, 80);
    packet.flow.service = address(3);
    let sink = host.handle(at(0), &packet);
    assert_eq!(sink.sent.len(), 1);
}

/// A host that cannot reach the store does not know whether a route was added since. A reset
/// would refuse callers a route that is in force.
#[test]
fn an_unknown_route_is_refused_only_by_a_current_view() {
    let mut host = TestHost::new(vec![near_server(1)]);
    let mut packet = opening(1, 0);
    packet.flow.service = address(3);
    let sink = host.handle_stale(at(60_000), &packet);
    assert_eq!(sink.outcomes, [ForwardingOutcome::NoRouteHeld]);
    let sink = host.handle(at(60_001), &packet);
    assert_eq!(sink.outcomes, [ForwardingOutcome::NoRouteReset]);
}

/// The server of a flow left while this host was not running, or was added a short time ago. The
/// flow is reset only if a later update of the view still lacks the server.
#[test]
fn a_flow_with_an_unknown_token_is_reset_after_an_update_of_the_view() {
    let mut host = TestHost::new(vec![near_server(1)]);
    let packet = data(1, BackendId::new(0xdead), 500, 1, 80);
    let first = host.handle(at(1_000), &packet);
    assert_eq!(first.outcomes, [ForwardingOutcome::UnknownTokenHeld]);
    let repeated = host.handle_stale(at(1_200), &packet);
    assert_eq!(repeated.outcomes, [ForwardingOutcome::UnknownTokenHeld]);
    let later = host.handle(at(1_600), &packet);
    assert_eq!(later.outcomes, [ForwardingOutcome::UnknownTokenReset]);
}

/// Admission by priority acts only for services that routes of different priorities lead to.
/// Guards against refusals because of a route that names no priority or sends no flows, and
/// against priorities of routes that were changed or dropped.
#[test]
fn the_table_knows_the_priorities_that_lead_to_each_service() {
    let with = |priority: Option<u32>, name, weight| RouteEntry {
        targets: vec![RouteTarget {
            service: service(name),
            weight: Weight::new(weight),
        }],
        priority: priority.map(RoutePriority::new),
        ..route(true)
    };
    let mut table = RouteTable::default();
    let routes = vec![
        (address(1), with(Some(2), "desk", 1)),
        (address(2), with(Some(1), "desk", 1)),
        (address(3), with(Some(2), "desk", 1)),
        (address(4), with(None, "desk", 1)),
        (address(5), with(Some(0), "desk", 0)),
        (address(6), with(Some(3), "mail", 1)),
    ];
    table.adopt(document(1, routes.clone()));
    let numbers = |table: &RouteTable, name| {
        let priorities = table.priorities(service(name)).iter();
        priorities.map(|one| one.get()).collect::<Vec<_>>()
    };
    assert_eq!(numbers(&table, "desk"), [1, 2]);
    assert_eq!(numbers(&table, "mail"), [3]);
    assert!(numbers(&table, "none").is_empty());
    let mut later = table.clone();
    let changed = routes.into_iter().filter(|(one, _)| *one != address(2));
    later.adopt(document(2, changed.collect()));
    assert_eq!(numbers(&later, "desk"), [2]);
    table.apply(later.difference(version(1)).unwrap());
    assert_eq!(numbers(&table, "desk"), [2]);
}
