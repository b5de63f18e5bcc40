//! Openings whose copies meet hosts that do not agree: on the version in force,
//! on room, or on who can be reached.

#![allow(clippy::unwrap_used, missing_docs)]

mod routing_support;

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use routing_support::{Fleet, Told, flow, plain_open, server};
use yare::parameterized;

const HOSTS: &[(&str, &str)] = &[("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
const FLOWS: u16 = 150;

fn servers(numbers: std::ops::RangeInclusive<u8>) -> Vec<BackendEntry> {
    let domains = ["a", "b"];
    numbers
        .map(|number| server(number, domains[usize::from(number) % 2]))
        .collect()
}

/// Hands a copy of each opening to every host, the first to `number % hosts`.
/// With `together`, all copies are on their way before any is answered.
fn open_doubled(fleet: &mut Fleet, echoes_token: bool, together: bool) {
    for number in 0..FLOWS {
        let request = fleet.request(1);
        let mut datagram = plain_open(flow(number)).with_request(request);
        datagram.echoes_token = echoes_token;
        for step in 0..HOSTS.len() {
            let member = (usize::from(number) + step) % HOSTS.len();
            if fleet.members[member].reachable {
                fleet.hand_quietly(member, &datagram);
            }
            if !together {
                fleet.settle();
            }
        }
        fleet.settle();
    }
}

fn check_once(fleet: &Fleet) {
    for number in 0..FLOWS {
        let key = flow(number);
        assert_eq!(
            fleet.runs(key, RequestId::new(1)),
            1,
            "{key}: {:?}",
            fleet.told(key)
        );
        assert_eq!(fleet.holders(key).len(), 1, "{key}");
    }
}

// A filing is submitted with the datagram that opens its flow, which the fabric
// doubles. The copies meet hosts of which some have adopted the new preset and
// some have not; their tables name different servers. Both servers would run
// the filing. Every split of the hosts into those ahead and those behind is
// tried.
#[parameterized(
    in_turn = { false, false },
    together = { false, true },
    in_turn_echoing = { true, false },
    together_echoing = { true, true },
)]
fn doubled_opening_runs_once_while_versions_differ(echoes_token: bool, together: bool) {
    for ahead in 0..(1_usize << HOSTS.len()) {
        let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers(1..=6)));
        let newer = routing_support::configuration(2, &servers(3..=8));
        for member in 0..HOSTS.len() {
            if ahead & (1 << member) != 0 {
                fleet.adopt(member, &newer);
            }
        }
        open_doubled(&mut fleet, echoes_token, together);
        check_once(&fleet);
    }
}

// As before with three versions at once, and the copy comes again after all
// hosts have caught up.
#[test]
fn copy_after_the_change_finds_the_flow() {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers(1..=6)));
    let second = routing_support::configuration(2, &servers(3..=8));
    let third = routing_support::configuration(3, &servers(5..=10));
    for member in 0..3 {
        fleet.adopt(member, &second);
    }
    fleet.adopt(1, &third);
    open_doubled(&mut fleet, false, true);
    for member in [0, 2] {
        fleet.adopt(member, &third);
    }
    fleet.adopt(3, &second);
    fleet.adopt(3, &third);
    open_doubled(&mut fleet, false, false);
    check_once(&fleet);
}

// A host that has just started knows only the newest version, while another is
// still behind. Copies of an opening meet both. The new host, asked as home,
// can't tell where the older version would place the flow: it must decide
// nothing rather than run the request beside the other. A copy that comes by way
// of a host that can tell is served.
#[test]
fn host_without_history_runs_nothing_twice() {
    for cold in 0..HOSTS.len() {
        let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers(1..=6)));
        let newer = routing_support::configuration(2, &servers(3..=8));
        for member in 0..HOSTS.len() - 1 {
            fleet.adopt((cold + member) % HOSTS.len(), &newer);
        }
        let snapshot = &mut fleet.members[cold].snapshot;
        snapshot.generations.truncate(1);
        snapshot.opening_generations = 1;
        snapshot.history_missing = true;
        open_doubled(&mut fleet, false, true);
        check_once(&fleet);
        let unknown = Told::Unknown(RequestId::new(1));
        assert!(fleet.told.iter().all(|(_, told)| *told != unknown));
        assert_eq!(
            fleet.count(Counter::HopLimit),
            0,
            "copies circle between homes"
        );
    }
}

// The servers of one home are full while others have room. A new session must
// not be refused, and both copies of its opening must end on the same server.
#[parameterized(echoing = { true }, plain = { false })]
fn opening_goes_to_another_home_where_one_is_full(echoes_token: bool) {
    let mut servers = servers(1..=6);
    for entry in servers
        .iter_mut()
        .filter(|entry| entry.domain == routing_support::domain("a"))
    {
        entry.connections = ConnectionCount::new(3);
    }
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers));
    open_doubled(&mut fleet, echoes_token, false);
    check_once(&fleet);
    for number in 0..FLOWS {
        for member in 0..HOSTS.len() {
            fleet.hand(member, &CallerDatagram::carry(flow(number), None, b"data"));
        }
        let holder = fleet.holders(flow(number))[0];
        let got = fleet.servers[&holder]
            .plain
            .iter()
            .filter(|got| got.0 == flow(number));
        assert_eq!(got.count(), HOSTS.len());
    }
}

// Every server is full. The caller is told at once that nothing was run.
#[test]
fn opening_is_refused_where_all_are_full() {
    let mut servers = servers(1..=6);
    for entry in &mut servers {
        entry.connections = ConnectionCount::new(1);
    }
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers));
    open_doubled(&mut fleet, false, false);
    let mut opened = 0;
    for number in 0..FLOWS {
        let runs = fleet.runs(flow(number), RequestId::new(1));
        let refused = Told::NotRun(Some(RequestId::new(1)), RefusalReason::Full);
        assert_eq!(runs == 0, fleet.told(flow(number)).contains(&refused));
        opened += runs;
    }
    assert_eq!(opened, 6, "each server takes one");
}

// The failure domains are cut off from each other while callers' packets reach
// both sides. New flows must be served on both, on servers that can be reached,
// and a filing whose opening reaches both sides must not run on both.
#[parameterized(echoing = { true }, plain = { false })]
fn both_sides_of_a_cut_serve_and_run_nothing_twice(echoes_token: bool) {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers(1..=6)));
    fleet.cut = true;
    fleet.choose_homes();
    open_doubled(&mut fleet, echoes_token, true);
    for number in 0..FLOWS {
        let key = flow(number);
        let runs = fleet.runs(key, RequestId::new(1));
        assert_eq!(runs, 1, "{key}: {:?}", fleet.told(key));
        assert_eq!(
            fleet.holders(key).len(),
            2,
            "{key} must be open on either side"
        );
        // A copied request on the open flow, without token.
        let request = fleet.request(2);
        let datagram = CallerDatagram::carry(key, None, b"ask").with_request(request);
        fleet.hand(0, &datagram);
        fleet.hand(3, &datagram);
        assert!(fleet.runs(key, request.id) <= 1, "{key}");
        // One that names its flow by the token runs on either side.
        let tokens: Vec<RoutingToken> = fleet
            .told(key)
            .iter()
            .filter_map(|told| match told {
                Told::Opened(token) => Some(*token),
                _ => None,
            })
            .collect();
        let request = fleet.request(3);
        for token in [tokens[0], tokens[tokens.len() - 1]] {
            let datagram = CallerDatagram::carry(key, Some(token), b"ask").with_request(request);
            let member = if token.unverified_claim().domain == routing_support::domain("a") {
                0
            } else {
                3
            };
            fleet.hand(member, &datagram);
            assert!(fleet.runs(key, request.id) >= 1);
        }
    }
    assert_eq!(fleet.count(Counter::HopLimit), 0);
}

// During a cut the servers of one side are full while those of the other have
// room. Copies of an opening reach both sides. The full side must not say "not
// run" of a request that the other side runs.
#[parameterized(idempotent = { true }, once = { false })]
fn refusal_on_one_side_of_a_cut_promises_nothing(idempotent: bool) {
    let mut servers = servers(1..=6);
    for entry in servers
        .iter_mut()
        .filter(|entry| entry.domain == routing_support::domain("a"))
    {
        entry.connections = ConnectionCount::new(1);
    }
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers));
    fleet.cut = true;
    fleet.choose_homes();
    for number in 0..FLOWS {
        let mut request = fleet.request(1);
        request.idempotent = idempotent;
        let datagram = plain_open(flow(number)).with_request(request);
        fleet.hand(0, &datagram);
        fleet.hand(3, &datagram);
        let told = fleet.told(flow(number));
        let refused = |told: &Told| matches!(told, Told::NotRun(Some(_), _));
        let runs = fleet.runs(flow(number), request.id);
        assert!(
            runs == 0 || !told.iter().any(refused),
            "{}: {told:?}",
            flow(number)
        );
    }
}
