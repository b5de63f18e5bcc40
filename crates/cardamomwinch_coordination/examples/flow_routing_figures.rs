//! Prints the effect of a change of the servers on flows without a token: flows whose
//! datagrams miss their server, and relays and bytes per datagram, by the number of
//! retained generations of lookup tables.

#![allow(missing_docs, clippy::print_stdout, clippy::unwrap_used)]

#[path = "../tests/routing_support/mod.rs"]
mod routing_support;

use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use routing_support::{Fleet, flow, plain_open, server};

const FLOWS: u16 = 3000;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const HOSTS: [(&str, &str); 9] = [
    ("a1", "a"),
    ("a2", "a"),
    ("a3", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("b3", "b"),
    ("c1", "c"),
    ("c2", "c"),
    ("c3", "c"),
];

#[derive(Clone, Copy)]
struct Change {
    name: &'static str,
    apply: fn(&mut Vec<BackendEntry>),
}

const CHANGES: [Change; 6] = [
    Change {
        name: "none",
        apply: |_| {},
    },
    Change {
        name: "drain",
        apply: |servers| servers[0].phase = BackendPhase::Draining,
    },
    Change {
        name: "server added",
        apply: |servers| servers.push(server(15, "a")),
    },
    Change {
        name: "server removed",
        apply: |servers| drop(servers.remove(3)),
    },
    Change {
        name: "weight doubled",
        apply: |servers| servers[5].weight = Weight::new(200),
    },
    Change {
        name: "preset: half drained, four added",
        apply: |servers| {
            for entry in servers.iter_mut().take(7) {
                entry.phase = BackendPhase::Draining;
            }
            for number in 15..19 {
                servers.push(server(number, DOMAINS[usize::from(number) % 3]));
            }
        },
    },
];

/// The cost of sending one datagram of every flow.
struct Round {
    missed: usize,
    reset: usize,
    relays: f64,
    bytes: f64,
}

fn send_all(fleet: &mut Fleet, round: u16) -> Round {
    let (relays, bytes) = (fleet.relays, fleet.relay_bytes);
    let sent = fleet.to_callers.len();
    let mut missed = 0;
    for number in 0..FLOWS {
        let holder = fleet.holders(flow(number))[0];
        let payload = round.to_le_bytes();
        let member = usize::from(number + round) % HOSTS.len();
        let before = fleet.servers[&holder].plain.len();
        fleet.deliver(member, &CallerDatagram::carry(flow(number), None, &payload));
        missed += usize::from(fleet.servers[&holder].plain.len() == before);
    }
    let reset = fleet.to_callers[sent..].iter();
    let reset =
        reset.filter(|(_, message)| matches!(message, routing_support::CallerMessage::Reset(_)));
    Round {
        missed,
        reset: reset.count(),
        relays: (fleet.relays - relays) as f64 / f64::from(FLOWS),
        bytes: (fleet.relay_bytes - bytes) as f64 / f64::from(FLOWS),
    }
}

fn line(change: Change, kept: usize, lost_pins: bool) {
    let mut servers: Vec<BackendEntry> = (1..=14)
        .map(|number| server(number, DOMAINS[usize::from(number) % 3]))
        .collect();
    let mut fleet = Fleet::new(&HOSTS, &routing_support::configuration(1, &servers));
    for number in 0..FLOWS {
        let member = usize::from(number) % HOSTS.len();
        fleet.deliver(member, &plain_open(flow(number)));
    }
    (change.apply)(&mut servers);
    fleet.adopt_everywhere(&routing_support::configuration(2, &servers));
    for member in &mut fleet.members {
        member.snapshot.generations.truncate(kept);
        member.snapshot.opening_generations = 1;
    }
    if lost_pins {
        fleet.members[0].reachable = false;
        fleet.assign_homes();
        let fresh = Fleet::new(&HOSTS, &routing_support::configuration(1, &servers));
        let first = fresh.members.into_iter().next().unwrap();
        fleet.members[0].engine = first.engine;
        fleet.members[0].reachable = true;
        fleet.assign_homes();
    }
    let first = send_all(&mut fleet, 0);
    // Each flow reaches the same host again, which has learned its server meanwhile.
    let again = send_all(&mut fleet, 9);
    println!(
        "| {} | {kept} | {} | {} | {} | {:.3} | {:.1} | {:.3} | {:.1} |",
        change.name,
        if lost_pins { "of one home" } else { "none" },
        first.missed,
        first.reset,
        first.relays,
        first.bytes,
        again.relays,
        again.bytes
    );
}

fn main() {
    println!("{FLOWS} flows without token, 14 servers, 9 hosts in 3 failure domains\n");
    println!(
        "| change | generations kept | pins lost | missed | reset | relays, first datagram | bytes | relays, next | bytes |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for change in CHANGES {
        line(change, 1, false);
        line(change, 2, false);
        line(change, 2, true);
    }
}
