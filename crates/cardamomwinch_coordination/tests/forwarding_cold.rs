//! The number of new flows that hundreds of hosts together send to servers that have just
//! started.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use cardamomwinch_coordination::forwarding::cold_starts::{ColdShare, ColdStart};
use cardamomwinch_coordination::forwarding::directory::ServerRecord;
use cardamomwinch_coordination::forwarding::discovery::store_call::StoreRevision;
use cardamomwinch_coordination::forwarding::evacuations::{EvacuationPhase, EvacuationRecord};
use cardamomwinch_coordination::forwarding::record::ForwardingOutcome;
use cardamomwinch_coordination::forwarding::routes::RouteDocument;
use cardamomwinch_state::flow::mix;
use cardamomwinch_state::prelude::*;
use forwarding_support::*;
use yare::parameterized;

/// How long servers are cold, in milliseconds.
const COLD: u64 = 2_000;
/// The number of new flows that a cold server may receive in any second beyond one and a half
/// times its rate.
const SLACK: u64 = 5;

/// Limits the new flows that a cold server may receive to `rate` per second.
fn adopt_rate(host: &mut TestHost, rate: u64) {
    let start = ColdStart {
        service: service("desk"),
        duration: millis(COLD),
        openings: OpeningRate::new(rate * 1_000),
    };
    host.adopt(RouteDocument {
        cold_starts: vec![start],
        ..document(2, vec![(service_address(), route(true))])
    });
}

fn cold(server: ServerRecord, until: u64) -> ServerRecord {
    ServerRecord {
        warm_at: at(until),
        ..server
    }
}

/// The host `number` of `hosts` hosts, of which it does not know `unknown` per cent.
fn host_of(
    number: u64,
    hosts: u64,
    unknown: u64,
    rate: u64,
    servers: Vec<ServerRecord>,
) -> TestHost {
    let mut host = TestHost::new(servers);
    adopt_rate(&mut host, rate);
    let knows = |other: &u64| *other == number || mix(mix(number) ^ *other) % 100 >= unknown;
    host.view.cold_share = Some(ColdShare {
        host_number: mix(number),
        host_numbers: (0..hosts).filter(knows).map(mix).collect(),
    });
    host
}

/// The largest number of openings that a cold server received in any second.
fn busiest_second(openings: &mut [(BackendId, u64)]) -> usize {
    openings.sort_unstable();
    let counts = openings.iter().enumerate().map(|(first, (id, moment))| {
        let same = openings[first..].iter();
        same.take_while(|(other, later)| other == id && *later < moment + 1_000)
            .count()
    });
    counts.max().unwrap_or(0)
}

/// All servers of a domain are replaced at once. Each of hundreds of hosts sees servers without
/// flows and sends its callers there. Together they would send each cold server many times what
/// it can handle, and callers would wait in its queue. The limit must hold even if hosts do not
/// know all others, and more of them than intended consider themselves chosen.
#[parameterized(
    two_hosts = { 2, 0, 4 },
    few_hosts = { 8, 0, 4 },
    a_domain = { 23, 0, 4 },
    a_large_domain = { 107, 0, 4 },
    some_hosts_unknown = { 107, 25, 4 },
    a_slow_start = { 23, 0, 1 },
    a_quick_start = { 23, 0, 50 },
    a_quick_start_with_some_unknown = { 107, 25, 50 },
)]
fn cold_servers_receive_no_more_than_their_rate(hosts: u64, unknown: u64, rate: u64) {
    let servers: Vec<_> = (1..=40)
        .map(|number| cold(near_server(number), COLD))
        .chain([far_server(1)])
        .collect();
    let mut openings = Vec::new();
    for number in 0..hosts {
        let mut host = host_of(number, hosts, unknown, rate, servers.clone());
        for step in 0..COLD / 10 {
            let port = 1_000 + (step * hosts + number) as u16;
            let sink = host.handle(at(step * 10), &opening(port, 0));
            let (server, _) = sink.sent[0];
            if server != far_server(1).id {
                openings.push((server, step * 10));
            }
        }
    }
    let limit = (rate + rate / 2 + SLACK) as usize;
    let most = busiest_second(&mut openings);
    assert!(most <= limit, "{most} in a second, {limit} allowed");
    let servers: std::collections::BTreeSet<_> = openings.iter().map(|(id, _)| id).collect();
    assert_eq!(servers.len(), 40, "each server receives some flows");
}

/// Cold servers have received their share, and warm ones in another domain have free slots. No
/// caller may be refused or kept waiting then.
#[test]
fn flows_beyond_the_rate_of_cold_servers_go_to_warm_ones() {
    let servers = vec![cold(near_server(1), COLD), far_server(1)];
    let mut host = host_of(1, 20, 0, 4, servers);
    for port in 1..50 {
        let sink = host.handle(at(u64::from(port) * 5), &opening(port, 0));
        assert_eq!(sink.outcomes, [ForwardingOutcome::OpeningPlaced]);
    }
}

/// A host has just started and does not know the other hosts yet. It must not send flows to a
/// cold server, because it does not know its share of the rate.
#[test]
fn a_host_that_knows_no_others_sends_nothing_to_cold_servers() {
    let servers = vec![cold(near_server(1), COLD), far_server(1)];
    let mut host = host_of(1, 2, 0, 4, servers);
    host.view.cold_share = None;
    for port in 1..50 {
        let server = host.open(at(u64::from(port) * 5), port);
        assert_eq!(server, far_server(1).id);
    }
}

/// If operators set no rate, cold servers only count as more loaded and receive a smaller share.
#[test]
fn a_rate_of_zero_limits_nothing() {
    let mut host = host_of(1, 200, 0, 0, vec![cold(near_server(1), COLD)]);
    for port in 1..50 {
        let sink = host.handle(at(u64::from(port)), &opening(port, 0));
        assert_eq!(sink.outcomes, [ForwardingOutcome::OpeningPlaced]);
    }
}

/// The evacuation of a domain ends. All its servers were restarted, but their entries are still
/// the earlier ones. The servers count as cold until their entries are written again.
#[test]
fn servers_are_cold_after_an_evacuation_until_their_entries_are_written_again() {
    let servers = vec![near_server(1), near_server(2), far_server(1)];
    let mut host = host_of(1, 1_000, 0, 4, servers);
    let ended = EvacuationRecord {
        domain: domain("near"),
        phase: EvacuationPhase::Ended { at: at(1_000) },
        changed: StoreRevision::new(9),
    };
    host.change(|directory| {
        directory.note_evacuation(ended);
    });
    assert_eq!(host.open(at(1_010), 1), far_server(1).id);
    let warm = ServerRecord {
        changed: StoreRevision::new(10),
        ..near_server(2)
    };
    host.change(|directory| directory.note(warm));
    assert_eq!(host.open(at(1_020), 2), near_server(2).id);
    assert_eq!(host.open(at(3_100), 3), near_server(1).id);
}
