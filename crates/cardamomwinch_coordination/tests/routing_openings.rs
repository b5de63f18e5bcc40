//! Openings whose copies reach hosts with different state: another version in
//! force, servers that are full, or another set of reachable hosts.

#![allow(clippy::unwrap_used, missing_docs)]

mod routing_support;

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use routing_support::{CallerMessage, Fleet, flow, plain_open, server};
use yare::parameterized;

const HOSTS: &[(&str, &str)] = &[("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
const FLOWS: u16 = 150;

fn servers(numbers: std::ops::RangeInclusive<u8>) -> Vec<BackendEntry> {
    let domains = ["a", "b"];
    numbers
        .map(|number| server(number, domains[usize::from(number) % 2]))
        .collect()
}

/// Delivers a copy of each opening to every host, starting with host
/// `number % HOSTS.len()`. With `together`, all copies are delivered before any
/// resulting datagram.
fn open_duplicated(fleet: &mut Fleet, echoes_token: bool, together: bool) {
    for number in 0..FLOWS {
        let request = fleet.request(1);
        let mut datagram = plain_open(flow(number)).with_request(request);
        datagram.echoes_token = echoes_token;
        for step in 0..HOSTS.len() {
            let member = (usize::from(number) + step) % HOSTS.len();
            if fleet.members[member].reachable {
                fleet.deliver_only(member, &datagram);
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
            fleet.messages_to(key)
        );
        assert_eq!(fleet.holders(key).len(), 1, "{key}");
    }
}

// A request that must run at most once is part of an opening, which the fabric
// duplicates. Some of the hosts that receive the copies have adopted a new version
// and others have not, so their tables select different servers. Without
// precautions, both servers would run the request. The test tries all divisions
// of the hosts into up-to-date and outdated ones.
#[parameterized(
    in_turn = { false, false },
    together = { false, true },
    in_turn_echoing = { true, false },
    together_echoing = { true, true },
)]
fn duplicated_opening_runs_once_while_versions_differ(echoes_token: bool, together: bool) {
    for ahead in 0..(1_usize << HOSTS.len()) {
        let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers(1..=6)));
        let newer = routing_support::configuration(2, &servers(3..=8));
        for member in 0..HOSTS.len() {
            if ahead & (1 << member) != 0 {
                fleet.adopt(member, &newer);
            }
        }
        open_duplicated(&mut fleet, echoes_token, together);
        check_once(&fleet);
    }
}

// As above with three versions in force at once, and further copies arrive after
// all hosts have adopted the newest.
#[test]
fn copy_after_the_change_finds_the_flow() {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers(1..=6)));
    let second = routing_support::configuration(2, &servers(3..=8));
    let third = routing_support::configuration(3, &servers(5..=10));
    for member in 0..3 {
        fleet.adopt(member, &second);
    }
    fleet.adopt(1, &third);
    open_duplicated(&mut fleet, false, true);
    for member in [0, 2] {
        fleet.adopt(member, &third);
    }
    fleet.adopt(3, &second);
    fleet.adopt(3, &third);
    open_duplicated(&mut fleet, false, false);
    check_once(&fleet);
}

// A host that has just started knows only the newest version, while another host
// still has an older one in force. Copies of an opening reach both. The started
// host, as home, cannot know where the older version would place the flow. It
// must not decide, because the request could run a second time. A copy that
// arrives through a host that knows the older version is served.
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
        open_duplicated(&mut fleet, false, true);
        check_once(&fleet);
        let unknown = CallerMessage::Unknown(RequestId::new(1));
        assert!(
            fleet
                .to_callers
                .iter()
                .all(|(_, message)| *message != unknown)
        );
        assert_eq!(
            fleet.count(Counter::HopLimit),
            0,
            "copies are relayed in a circle between homes"
        );
    }
}

// The servers of one home are full while others are not. A new session must not be
// refused, and all copies of its opening must be placed on the same server.
#[parameterized(echoing = { true }, plain = { false })]
fn opening_is_placed_by_another_home_if_one_is_full(echoes_token: bool) {
    let mut servers = servers(1..=6);
    for entry in servers
        .iter_mut()
        .filter(|entry| entry.domain == routing_support::domain("a"))
    {
        entry.connections = ConnectionCount::new(3);
    }
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers));
    open_duplicated(&mut fleet, echoes_token, false);
    check_once(&fleet);
    for number in 0..FLOWS {
        for member in 0..HOSTS.len() {
            fleet.deliver(member, &CallerDatagram::carry(flow(number), None, b"data"));
        }
        let holder = fleet.holders(flow(number))[0];
        let received = fleet.servers[&holder]
            .plain
            .iter()
            .filter(|data| data.0 == flow(number));
        assert_eq!(received.count(), HOSTS.len());
    }
}

// All servers are full. The caller must be notified immediately that its request
// did not run.
#[test]
fn opening_is_refused_if_all_servers_are_full() {
    let mut servers = servers(1..=6);
    for entry in &mut servers {
        entry.connections = ConnectionCount::new(1);
    }
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers));
    open_duplicated(&mut fleet, false, false);
    let mut opened = 0;
    for number in 0..FLOWS {
        let runs = fleet.runs(flow(number), RequestId::new(1));
        let refused = CallerMessage::NotRun(Some(RequestId::new(1)), RefusalReason::Full);
        assert_eq!(
            runs == 0,
            fleet.messages_to(flow(number)).contains(&refused)
        );
        opened += runs;
    }
    assert_eq!(opened, 6, "each server accepts one");
}

// The failure domains are cut off from each other while packets of callers reach
// both sides. Both sides must serve new flows on servers that they can reach, but
// a request whose opening reaches both sides must not run on both.
#[parameterized(echoing = { true }, plain = { false })]
fn both_sides_of_a_cut_serve_and_run_nothing_twice(echoes_token: bool) {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers(1..=6)));
    fleet.cut = true;
    fleet.assign_homes();
    open_duplicated(&mut fleet, echoes_token, true);
    for number in 0..FLOWS {
        let key = flow(number);
        let runs = fleet.runs(key, RequestId::new(1));
        assert_eq!(runs, 1, "{key}: {:?}", fleet.messages_to(key));
        assert_eq!(
            fleet.holders(key).len(),
            2,
            "{key} must be open on either side"
        );
        // Two copies of a request on the open flow without token: at most one runs.
        let request = fleet.request(2);
        let datagram = CallerDatagram::carry(key, None, b"ask").with_request(request);
        fleet.deliver(0, &datagram);
        fleet.deliver(3, &datagram);
        assert!(fleet.runs(key, request.id) <= 1, "{key}");
        // A request with a token runs on the side of its server.
        let tokens: Vec<RoutingToken> = fleet
            .messages_to(key)
            .iter()
            .filter_map(|message| match message {
                CallerMessage::Opened(token) => Some(*token),
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
            fleet.deliver(member, &datagram);
            assert!(fleet.runs(key, request.id) >= 1);
        }
    }
    assert_eq!(fleet.count(Counter::HopLimit), 0);
}

// During a cut, the servers of one side are full and those of the other are not.
// Copies of an opening reach both sides. The full side must not reply "not run"
// for a request that the other side runs.
#[parameterized(idempotent = { true }, once = { false })]
fn full_side_of_a_cut_does_not_reply_not_run(idempotent: bool) {
    let mut servers = servers(1..=6);
    for entry in servers
        .iter_mut()
        .filter(|entry| entry.domain == routing_support::domain("a"))
    {
        entry.connections = ConnectionCount::new(1);
    }
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers));
    fleet.cut = true;
    fleet.assign_homes();
    for number in 0..FLOWS {
        let mut request = fleet.request(1);
        request.idempotent = idempotent;
        let datagram = plain_open(flow(number)).with_request(request);
        fleet.deliver(0, &datagram);
        fleet.deliver(3, &datagram);
        let messages = fleet.messages_to(flow(number));
        let refused =
            |message: &CallerMessage| matches!(message, CallerMessage::NotRun(Some(_), _));
        let runs = fleet.runs(flow(number), request.id);
        assert!(
            runs == 0 || !messages.iter().any(refused),
            "{}: {messages:?}",
            flow(number)
        );
    }
}
