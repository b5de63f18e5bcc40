//! The bounded table of pins: which pins are dropped when it is nearly full.

#![allow(clippy::unwrap_used, missing_docs)]

mod routing_support;

use std::time;

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::traffic::pins::PinRole;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use routing_support::{CallerMessage, Fleet, flow, plain_open, server};

const HOSTS: &[(&str, &str)] = &[("a1", "a"), ("a2", "a")];
const FLOWS: u16 = 64;
const LONG: time::Duration = time::Duration::from_secs(120);

fn fleet() -> Fleet {
    let servers: Vec<BackendEntry> = (1..=4).map(|number| server(number, "a")).collect();
    let configuration = routing_support::configuration(1, &servers);
    let bounds = TrafficBounds {
        flows: usize::from(FLOWS),
        ..TrafficBounds::default()
    };
    Fleet::with_bounds(&HOSTS[..1], &configuration, &bounds)
}

fn refused(fleet: &Fleet, range: std::ops::Range<u16>) -> usize {
    range
        .filter(|number| {
            let full = CallerMessage::NotRun(None, RefusalReason::TableFull);
            fleet.messages_to(flow(*number)).contains(&full)
        })
        .count()
}

fn advance_idle(fleet: &mut Fleet, span: time::Duration) {
    fleet.advance(span);
    fleet.members[0].snapshot.made = fleet.now;
}

// Callers disappear without closing their flows, and their pins fill the table. If
// these pins were kept, no more sessions could be opened, although packets of
// the old flows can be routed by their tokens without a pin. Both old and new
// flows must work.
#[test]
fn pins_of_idle_flows_are_dropped_for_new_ones() {
    let mut fleet = fleet();
    for number in 0..FLOWS {
        fleet.deliver(0, &CallerDatagram::open(flow(number), b"open"));
    }
    advance_idle(&mut fleet, LONG);
    for number in FLOWS..2 * FLOWS {
        fleet.deliver(0, &CallerDatagram::open(flow(number), b"open"));
    }
    assert_eq!(refused(&fleet, FLOWS..2 * FLOWS), 0);
    for number in 0..2 * FLOWS {
        let key = flow(number);
        let token = fleet
            .messages_to(key)
            .iter()
            .find_map(|message| match message {
                CallerMessage::Opened(token) => Some(*token),
                _ => None,
            });
        fleet.deliver(0, &CallerDatagram::carry(key, token, b"data"));
        let holder = fleet.holders(key)[0];
        assert!(
            fleet.servers[&holder]
                .plain
                .contains(&(key, b"data".to_vec()))
        );
    }
}

// If every pin belongs to a recently used flow, a new flow must be refused as "not
// run" instead of dropping a pin that an open flow needs.
#[test]
fn pins_in_use_are_kept() {
    let mut fleet = fleet();
    for number in 0..=FLOWS {
        let request = fleet.request(1);
        fleet.deliver(
            0,
            &CallerDatagram::open(flow(number), b"open").with_request(request),
        );
    }
    let last = CallerMessage::NotRun(Some(RequestId::new(1)), RefusalReason::TableFull);
    assert_eq!(fleet.messages_to(flow(FLOWS)), [last]);
    assert_eq!(
        fleet.members[0].engine.pinned_flows().len(),
        usize::from(FLOWS)
    );
}

// Half of the callers echo their tokens and half do not. When the table is nearly
// full, pins of flows with token must be dropped first, since flows without token
// depend on their pins.
#[test]
fn pins_of_flows_without_token_are_kept_longest() {
    let mut fleet = fleet();
    for number in 0..FLOWS {
        let mut datagram = plain_open(flow(number));
        datagram.echoes_token = number % 2 == 0;
        fleet.deliver(0, &datagram);
    }
    advance_idle(&mut fleet, LONG);
    for number in FLOWS..FLOWS + FLOWS / 2 {
        fleet.deliver(0, &CallerDatagram::open(flow(number), b"open"));
    }
    assert_eq!(refused(&fleet, FLOWS..FLOWS + FLOWS / 2), 0);
    let hasher = FlowHasher::new(0);
    let pins = fleet.members[0].engine.pinned_flows();
    for number in (1..FLOWS).step_by(2) {
        let key = flow(number);
        assert!(
            pins.get(hasher.hash(&key), &key).is_some(),
            "{key} lost its pin"
        );
    }
}

// A caller only receives notices, and the pin of its flow has been dropped. The
// next notice must still reach it. The counted connections must match the pins
// that remain.
#[test]
fn flow_without_pin_receives_its_notices() {
    let mut fleet = fleet();
    fleet.deliver(0, &CallerDatagram::open(flow(0), b"open"));
    for number in 1..FLOWS {
        fleet.deliver(0, &CallerDatagram::open(flow(number), b"open"));
    }
    advance_idle(&mut fleet, LONG);
    assert!(fleet.members[0].engine.pinned_flows().len() < usize::from(FLOWS));
    let ledgers = fleet.members[0].engine.ledgers().iter();
    let counted: u32 = ledgers.map(|(_, ledger)| ledger.connections).sum();
    assert_eq!(
        counted as usize,
        fleet.members[0].engine.pinned_flows().len()
    );
    let holder = fleet.holders(flow(0))[0];
    let entries = &fleet.members[0].snapshot.configuration.backends;
    let backend = entries
        .values()
        .find(|entry| entry.address == holder)
        .unwrap()
        .id;
    let reply = BackendReply {
        flow: flow(0),
        backend,
        via: fleet.members[0].identity.host,
        kind: BackendReplyKind::Notice {
            sequence: 5,
            payload: b"recall",
        },
    };
    fleet.deliver_reply(0, reply);
    assert!(
        fleet
            .messages_to(flow(0))
            .contains(&CallerMessage::Notice(5))
    );
}

// A host learned the servers of flows and then receives no more packets of them.
// The learned pins must be dropped and not stay until the table is full.
#[test]
fn learned_pins_are_dropped_when_idle() {
    let servers: Vec<BackendEntry> = (1..=4).map(|number| server(number, "a")).collect();
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers));
    for number in 0..FLOWS {
        fleet.deliver(0, &plain_open(flow(number)));
        for member in 0..HOSTS.len() {
            fleet.deliver(member, &CallerDatagram::carry(flow(number), None, b"data"));
        }
    }
    let learned = |fleet: &Fleet| {
        let pins = fleet
            .members
            .iter()
            .flat_map(|member| member.engine.pinned_flows().iter());
        pins.filter(|(_, pin)| pin.role == PinRole::Learned).count()
    };
    assert_eq!(learned(&fleet), usize::from(FLOWS));
    fleet.advance(LONG);
    assert_eq!(learned(&fleet), 0);
    let placed = fleet
        .members
        .iter()
        .map(|member| member.engine.pinned_flows().len());
    assert_eq!(placed.sum::<usize>(), usize::from(FLOWS));
}
