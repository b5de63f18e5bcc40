//! Flows whose callers echo no token, while the servers of their service change.

#![allow(clippy::unwrap_used, missing_docs)]

mod routing_support;

use std::time;

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use routing_support::{Fleet, Told, flow, plain_open, server};
use yare::parameterized;

const HOSTS: &[(&str, &str)] = &[("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
const FLOWS: u16 = 200;

fn servers() -> Vec<BackendEntry> {
    let domains = ["a", "b"];
    (1..=6)
        .map(|number| server(number, domains[usize::from(number) % 2]))
        .collect()
}

fn drained(mut servers: Vec<BackendEntry>) -> Vec<BackendEntry> {
    servers[0].phase = BackendPhase::Draining;
    servers
}

fn added(mut servers: Vec<BackendEntry>) -> Vec<BackendEntry> {
    servers.push(server(7, "a"));
    servers.push(server(8, "b"));
    servers
}

fn removed(mut servers: Vec<BackendEntry>) -> Vec<BackendEntry> {
    servers.remove(1);
    servers
}

fn reweighted(mut servers: Vec<BackendEntry>) -> Vec<BackendEntry> {
    servers[2].weight = Weight::new(400);
    servers
}

fn swapped(servers: Vec<BackendEntry>) -> Vec<BackendEntry> {
    let mut servers = drained(reweighted(removed(servers)));
    servers.push(server(9, "b"));
    servers
}

fn open_all(fleet: &mut Fleet) {
    for number in 0..FLOWS {
        fleet.hand(usize::from(number) % HOSTS.len(), &plain_open(flow(number)));
    }
}

/// Every flow sends plain data and a request through every host; the server
/// that held the flow must get both, and nobody must be told that it is gone.
fn check_all(fleet: &mut Fleet) {
    for number in 0..FLOWS {
        let key = flow(number);
        let holders = fleet.holders(key);
        assert_eq!(holders.len(), 1);
        for member in 0..HOSTS.len() {
            let payload = [member as u8];
            fleet.hand(member, &CallerDatagram::carry(key, None, &payload));
            let request = fleet.request(100 + member as u64);
            let datagram = CallerDatagram::carry(key, None, b"ask").with_request(request);
            fleet.hand(member, &datagram);
            fleet.hand((member + 1) % HOSTS.len(), &datagram);
            let server = &fleet.servers[&holders[0]];
            assert!(
                server.plain.contains(&(key, payload.to_vec())),
                "{key}: plain data through host {member} did not reach its server"
            );
            assert_eq!(
                fleet.runs(key, request.id),
                1,
                "{key} through host {member}"
            );
        }
        let told = fleet.told(key);
        let lost =
            |told: &Told| matches!(told, Told::Reset(_) | Told::Unknown(_) | Told::NotRun(..));
        assert!(!told.iter().any(lost), "{key} was told {told:?}");
    }
}

// An adviser's notice stream is open and its caller echoes no token. The
// operator switches presets, drains, adds, removes or reweighs servers. The
// next packet meets a host without a pin, whose newest table names another
// server: that one does not know the flow, and the adviser is cut off.
#[parameterized(
    drain = { drained },
    add = { added },
    remove = { removed },
    reweigh = { reweighted },
    preset = { swapped },
)]
fn flow_without_token_survives(change: fn(Vec<BackendEntry>) -> Vec<BackendEntry>) {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers()));
    open_all(&mut fleet);
    fleet.adopt_everywhere(&routing_support::configuration(2, &change(servers())));
    check_all(&mut fleet);
}

// As before, but two changes follow each other, and the first hosts have
// adopted the second while the last host still has neither.
#[test]
fn flow_without_token_survives_two_changes_adopted_unevenly() {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers()));
    open_all(&mut fleet);
    let second = routing_support::configuration(2, &added(servers()));
    let third = routing_support::configuration(3, &swapped(added(servers())));
    for member in 0..3 {
        fleet.adopt(member, &second);
    }
    fleet.adopt(0, &third);
    check_all(&mut fleet);
}

// A home host dies without a hand-over just after a change, and with it the
// pins of its flows. The next packet's home knows nothing of the flow: the
// servers that it may belong to are asked in turn, and the one that holds it
// serves it.
#[parameterized(drain = { drained }, add = { added }, preset = { swapped })]
fn flow_without_token_survives_the_loss_of_its_pin(
    change: fn(Vec<BackendEntry>) -> Vec<BackendEntry>,
) {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers()));
    open_all(&mut fleet);
    fleet.adopt_everywhere(&routing_support::configuration(2, &change(servers())));
    fleet.members[1].reachable = false;
    fleet.choose_homes();
    for number in 0..FLOWS {
        let key = flow(number);
        let holders = fleet.holders(key);
        for member in [0, 2, 3] {
            let payload = [member as u8];
            fleet.hand(member, &CallerDatagram::carry(key, None, &payload));
            let request = fleet.request(100 + member as u64);
            let datagram = CallerDatagram::carry(key, None, b"ask").with_request(request);
            fleet.hand(member, &datagram);
            assert!(
                fleet.servers[&holders[0]]
                    .plain
                    .contains(&(key, payload.to_vec()))
            );
            assert_eq!(
                fleet.runs(key, request.id),
                1,
                "{key} through host {member}"
            );
        }
        let told = fleet.told(key);
        assert!(
            !told.contains(&Told::Reset(ResetReason::UnknownFlow)),
            "{key}: {told:?}"
        );
    }
}

// A caller goes on with a flow that no server holds. All are asked, none knows
// it: the caller is told once that the flow is gone, and that the outcome of
// its request is not known.
#[test]
fn flow_that_nobody_holds_is_reset() {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers()));
    fleet.adopt_everywhere(&routing_support::configuration(2, &swapped(servers())));
    fleet.hand(0, &CallerDatagram::carry(flow(1), None, b"data"));
    assert_eq!(fleet.told(flow(1)), [Told::Reset(ResetReason::UnknownFlow)]);
    let request = fleet.request(5);
    fleet.hand(
        1,
        &CallerDatagram::carry(flow(2), None, b"ask").with_request(request),
    );
    let told = fleet.told(flow(2));
    assert!(told.contains(&Told::Unknown(request.id)), "{told:?}");
    assert!(
        told.contains(&Told::Reset(ResetReason::UnknownFlow)),
        "{told:?}"
    );
    assert_eq!(fleet.runs(flow(2), request.id), 0);
}

// Most packets of a flow that the newest table misplaces must not be relayed
// for ever: a host that was told where the flow belongs sends the next packet
// straight to the server.
#[test]
fn host_learns_where_a_flow_belongs() {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers()));
    open_all(&mut fleet);
    fleet.adopt_everywhere(&routing_support::configuration(2, &swapped(servers())));
    check_all(&mut fleet);
    let before = fleet.relays;
    for number in 0..FLOWS {
        for member in 0..HOSTS.len() {
            fleet.hand(member, &CallerDatagram::carry(flow(number), None, b"more"));
        }
    }
    assert_eq!(
        fleet.relays, before,
        "packets of learned flows were relayed"
    );
}

// A caller closes its flow and opens it again under the same port; the new one
// lies on another server. A host that learned the old server must not cut the
// new flow off: the old server's word only makes it forget.
#[test]
fn learned_server_that_is_out_of_date_is_forgotten() {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers()));
    open_all(&mut fleet);
    for number in 0..FLOWS {
        for member in 0..HOSTS.len() {
            fleet.hand(member, &CallerDatagram::carry(flow(number), None, b"data"));
        }
        let mut close = CallerDatagram::carry(flow(number), None, b"");
        close.kind = CallerKind::Close;
        fleet.hand(0, &close);
        assert!(fleet.holders(flow(number)).is_empty());
    }
    let changed = routing_support::configuration(2, &swapped(servers()));
    fleet.adopt_everywhere(&changed);
    fleet.pass(time::Duration::from_secs(20));
    for member in &mut fleet.members {
        member.snapshot.opening_generations = 1;
    }
    open_all(&mut fleet);
    for number in 0..FLOWS {
        let holders = fleet.holders(flow(number));
        for member in 0..HOSTS.len() {
            // The first datagram may be lost where the old server gets it.
            fleet.hand(member, &CallerDatagram::carry(flow(number), None, b"lost?"));
            let payload = [100 + member as u8];
            fleet.hand(member, &CallerDatagram::carry(flow(number), None, &payload));
            let server = &fleet.servers[&holders[0]];
            assert!(server.plain.contains(&(flow(number), payload.to_vec())));
        }
        let told = fleet.told(flow(number));
        assert!(
            !told.contains(&Told::Reset(ResetReason::UnknownFlow)),
            "{told:?}"
        );
    }
    assert_eq!(fleet.count(Counter::RequestAnswered), 0);
}

// A change moves flows of callers that echo no token; then every host is
// replaced in turn, each handing over. None of the new hosts has ever known the
// earlier table, and yet each must find the flows.
#[parameterized(drain = { drained }, preset = { swapped })]
fn flow_without_token_is_found_by_hosts_that_know_the_newest_table_only(
    change: fn(Vec<BackendEntry>) -> Vec<BackendEntry>,
) {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers()));
    open_all(&mut fleet);
    fleet.adopt_everywhere(&routing_support::configuration(2, &change(servers())));
    fleet.pass(time::Duration::from_secs(10));
    for member in &mut fleet.members {
        member.snapshot.generations.truncate(1);
        member.snapshot.opening_generations = 1;
    }
    check_all(&mut fleet);
}
