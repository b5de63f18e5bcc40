//! Flows without token while the servers of their service change.

#![allow(clippy::unwrap_used, missing_docs)]

mod routing_support;

use std::time;

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use routing_support::{CallerMessage, Fleet, flow, plain_open, server};
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
        fleet.deliver(usize::from(number) % HOSTS.len(), &plain_open(flow(number)));
    }
}

/// Sends plain data and a request of every flow through every host. The server
/// that holds the flow must receive both, and no caller may be notified that its
/// flow was lost.
fn check_all(fleet: &mut Fleet) {
    for number in 0..FLOWS {
        let key = flow(number);
        let holders = fleet.holders(key);
        assert_eq!(holders.len(), 1);
        for member in 0..HOSTS.len() {
            let payload = [member as u8];
            fleet.deliver(member, &CallerDatagram::carry(key, None, &payload));
            let request = fleet.request(100 + member as u64);
            let datagram = CallerDatagram::carry(key, None, b"ask").with_request(request);
            fleet.deliver(member, &datagram);
            fleet.deliver((member + 1) % HOSTS.len(), &datagram);
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
        let messages = fleet.messages_to(key);
        let lost = |message: &CallerMessage| {
            matches!(
                message,
                CallerMessage::Reset(_) | CallerMessage::Unknown(_) | CallerMessage::NotRun(..)
            )
        };
        assert!(!messages.iter().any(lost), "{key} received {messages:?}");
    }
}

// Flows are open whose callers echo no token. The operator switches presets, or
// drains, adds, removes or reweighs servers. The next packet of a flow reaches a
// host without a pin, whose newest table selects another server, which does not
// know the flow. The flow must continue on its server and not be reset.
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

// As above, but with two successive changes: one host has adopted both, others
// only the first, and the last host neither.
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

// After a change, every flow has sent data, so the homes of the newest candidates
// have been notified of flows that are on another server than their table
// selects. Then the home of that server crashes and its pins are lost. The next
// home has no pin and relays packets to the home of the newest candidate, which
// relays them back. They were relayed in a circle and dropped, and the caller
// received no more replies.
#[parameterized(drain = { drained }, add = { added }, preset = { swapped })]
fn flow_without_token_survives_the_loss_of_its_home_after_others_were_notified(
    change: fn(Vec<BackendEntry>) -> Vec<BackendEntry>,
) {
    for lost in 0..HOSTS.len() {
        let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers()));
        open_all(&mut fleet);
        fleet.adopt_everywhere(&routing_support::configuration(2, &change(servers())));
        check_all(&mut fleet);
        // The sweep of the pins notifies the other homes.
        fleet.advance(time::Duration::from_secs(30));
        fleet.members[lost].reachable = false;
        fleet.assign_homes();
        for number in 0..FLOWS {
            let key = flow(number);
            let holders = fleet.holders(key);
            for member in (0..HOSTS.len()).filter(|member| *member != lost) {
                let payload = [50 + member as u8];
                fleet.deliver(member, &CallerDatagram::carry(key, None, &payload));
                let server = &fleet.servers[&holders[0]];
                assert!(
                    server.plain.contains(&(key, payload.to_vec())),
                    "{key} through host {member} after the loss of {lost}"
                );
                let request = fleet.request(200 + member as u64);
                let datagram = CallerDatagram::carry(key, None, b"ask").with_request(request);
                fleet.deliver(member, &datagram);
                assert_eq!(
                    fleet.runs(key, request.id),
                    1,
                    "request of {key} through host {member} after the loss of {lost}"
                );
            }
        }
    }
}

// A host crashes just after a change, and the pins of the shards that it was home
// of are lost without a hand-over. The home that receives the next packet has no
// pin for the flow. It must ask the servers on which the flow may be one after
// another, until the one that holds the flow serves it.
#[parameterized(drain = { drained }, add = { added }, preset = { swapped })]
fn flow_without_token_survives_the_loss_of_its_pin(
    change: fn(Vec<BackendEntry>) -> Vec<BackendEntry>,
) {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers()));
    open_all(&mut fleet);
    fleet.adopt_everywhere(&routing_support::configuration(2, &change(servers())));
    fleet.members[1].reachable = false;
    fleet.assign_homes();
    for number in 0..FLOWS {
        let key = flow(number);
        let holders = fleet.holders(key);
        for member in [0, 2, 3] {
            let payload = [member as u8];
            fleet.deliver(member, &CallerDatagram::carry(key, None, &payload));
            let request = fleet.request(100 + member as u64);
            let datagram = CallerDatagram::carry(key, None, b"ask").with_request(request);
            fleet.deliver(member, &datagram);
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
        let messages = fleet.messages_to(key);
        assert!(
            !messages.contains(&CallerMessage::Reset(ResetReason::UnknownFlow)),
            "{key}: {messages:?}"
        );
    }
}

// A caller continues a flow that no server holds. After all candidates have
// replied that they do not know it, the caller must be notified once that the
// flow is unknown, and that the outcome of its request is unknown.
#[test]
fn flow_that_no_server_holds_is_reset() {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers()));
    fleet.adopt_everywhere(&routing_support::configuration(2, &swapped(servers())));
    fleet.deliver(0, &CallerDatagram::carry(flow(1), None, b"data"));
    assert_eq!(
        fleet.messages_to(flow(1)),
        [CallerMessage::Reset(ResetReason::UnknownFlow)]
    );
    let request = fleet.request(5);
    fleet.deliver(
        1,
        &CallerDatagram::carry(flow(2), None, b"ask").with_request(request),
    );
    let messages = fleet.messages_to(flow(2));
    assert!(
        messages.contains(&CallerMessage::Unknown(request.id)),
        "{messages:?}"
    );
    assert!(
        messages.contains(&CallerMessage::Reset(ResetReason::UnknownFlow)),
        "{messages:?}"
    );
    assert_eq!(fleet.runs(flow(2), request.id), 0);
}

// A flow is on another server than the newest table selects. If hosts did not
// remember its server, most of its packets would be relayed permanently. A host
// that has learned the server must send the next packet directly to it.
#[test]
fn host_learns_the_server_of_a_flow() {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers()));
    open_all(&mut fleet);
    fleet.adopt_everywhere(&routing_support::configuration(2, &swapped(servers())));
    check_all(&mut fleet);
    let before = fleet.relays;
    for number in 0..FLOWS {
        for member in 0..HOSTS.len() {
            fleet.deliver(member, &CallerDatagram::carry(flow(number), None, b"more"));
        }
    }
    assert_eq!(
        fleet.relays, before,
        "packets of learned flows were relayed"
    );
}

// A caller closes its flow and opens a new one from the same port, which is placed
// on another server. A host that has learned the old server must not reset the
// new flow: when the old server replies that it does not know the flow, the host
// only forgets what it has learned.
#[test]
fn learned_server_that_is_out_of_date_is_forgotten() {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers()));
    open_all(&mut fleet);
    for number in 0..FLOWS {
        for member in 0..HOSTS.len() {
            fleet.deliver(member, &CallerDatagram::carry(flow(number), None, b"data"));
        }
        let mut close = CallerDatagram::carry(flow(number), None, b"");
        close.kind = CallerKind::Close;
        fleet.deliver(0, &close);
        assert!(fleet.holders(flow(number)).is_empty());
    }
    let changed = routing_support::configuration(2, &swapped(servers()));
    fleet.adopt_everywhere(&changed);
    fleet.advance(time::Duration::from_secs(20));
    for member in &mut fleet.members {
        member.snapshot.opening_generations = 1;
    }
    open_all(&mut fleet);
    for number in 0..FLOWS {
        let holders = fleet.holders(flow(number));
        for member in 0..HOSTS.len() {
            // The first datagram may be lost if the old server receives it.
            fleet.deliver(member, &CallerDatagram::carry(flow(number), None, b"lost?"));
            let payload = [100 + member as u8];
            fleet.deliver(member, &CallerDatagram::carry(flow(number), None, &payload));
            let server = &fleet.servers[&holders[0]];
            assert!(server.plain.contains(&(flow(number), payload.to_vec())));
        }
        let messages = fleet.messages_to(flow(number));
        assert!(
            !messages.contains(&CallerMessage::Reset(ResetReason::UnknownFlow)),
            "{messages:?}"
        );
    }
    assert_eq!(fleet.count(Counter::RequestAnswered), 0);
}

// After a change of the servers, every host is replaced one after another, with a
// hand-over. None of the new hosts knows the earlier table, but each must find
// the flows without token that were placed by it.
#[parameterized(drain = { drained }, preset = { swapped })]
fn flow_without_token_is_found_by_hosts_that_know_only_the_newest_table(
    change: fn(Vec<BackendEntry>) -> Vec<BackendEntry>,
) {
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers()));
    open_all(&mut fleet);
    fleet.adopt_everywhere(&routing_support::configuration(2, &change(servers())));
    fleet.advance(time::Duration::from_secs(10));
    for member in &mut fleet.members {
        member.snapshot.generations.truncate(1);
        member.snapshot.opening_generations = 1;
    }
    check_all(&mut fleet);
}
