//! The bounded table of pins: what goes when room is short.

#![allow(clippy::unwrap_used, missing_docs)]

mod routing_support;

use std::time;

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::traffic::pins::PinRole;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use routing_support::{Fleet, Told, flow, plain_open, server};

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
    Fleet::bounded(&HOSTS[..1], &configuration, &bounds)
}

fn refused(fleet: &Fleet, range: std::ops::Range<u16>) -> usize {
    range
        .filter(|number| {
            let full = Told::NotRun(None, RefusalReason::TableFull);
            fleet.told(flow(*number)).contains(&full)
        })
        .count()
}

fn pass_quietly(fleet: &mut Fleet, span: time::Duration) {
    fleet.pass(span);
    fleet.members[0].snapshot.made = fleet.now;
}

// Callers vanish without closing their flows. Their pins fill the table, and
// from then on nobody can open a session, although the tokens of the old ones
// would bring their packets home without a pin. Both old and new must work.
#[test]
fn dead_flows_make_room_for_new_ones() {
    let mut fleet = fleet();
    for number in 0..FLOWS {
        fleet.hand(0, &CallerDatagram::open(flow(number), b"open"));
    }
    pass_quietly(&mut fleet, LONG);
    for number in FLOWS..2 * FLOWS {
        fleet.hand(0, &CallerDatagram::open(flow(number), b"open"));
    }
    assert_eq!(refused(&fleet, FLOWS..2 * FLOWS), 0);
    for number in 0..2 * FLOWS {
        let key = flow(number);
        let token = fleet.told(key).iter().find_map(|told| match told {
            Told::Opened(token) => Some(*token),
            _ => None,
        });
        fleet.hand(0, &CallerDatagram::carry(key, token, b"data"));
        let holder = fleet.holders(key)[0];
        assert!(
            fleet.servers[&holder]
                .plain
                .contains(&(key, b"data".to_vec()))
        );
    }
}

// Where every pin belongs to a flow that was just in use, a new one is refused
// as "not run" rather than that an open one loses what it needs.
#[test]
fn pins_in_use_are_kept() {
    let mut fleet = fleet();
    for number in 0..=FLOWS {
        let request = fleet.request(1);
        fleet.hand(
            0,
            &CallerDatagram::open(flow(number), b"open").with_request(request),
        );
    }
    let last = Told::NotRun(Some(RequestId::new(1)), RefusalReason::TableFull);
    assert_eq!(fleet.told(flow(FLOWS)), [last]);
    assert_eq!(
        fleet.members[0].engine.pinned_flows().len(),
        usize::from(FLOWS)
    );
}

// Half of the callers echo their tokens and half do not. When room gets short,
// it is the former's pins that go, since the latter's flows need them.
#[test]
fn pins_of_callers_without_token_stay_longest() {
    let mut fleet = fleet();
    for number in 0..FLOWS {
        let mut datagram = plain_open(flow(number));
        datagram.echoes_token = number % 2 == 0;
        fleet.hand(0, &datagram);
    }
    pass_quietly(&mut fleet, LONG);
    for number in FLOWS..FLOWS + FLOWS / 2 {
        fleet.hand(0, &CallerDatagram::open(flow(number), b"open"));
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

// An adviser only listens. His pin has made room for others; the next deadline
// notice must still reach him, and his connection is not counted any more than
// the server holds.
#[test]
fn listener_without_pin_gets_its_notices() {
    let mut fleet = fleet();
    fleet.hand(0, &CallerDatagram::open(flow(0), b"open"));
    for number in 1..FLOWS {
        fleet.hand(0, &CallerDatagram::open(flow(number), b"open"));
    }
    pass_quietly(&mut fleet, LONG);
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
    fleet.answer(0, reply);
    assert!(fleet.told(flow(0)).contains(&Told::Notice(5)));
}

// A host learned where flows belong and never hears of them again: what it
// learned is forgotten, so that it does not stay until the table is full.
#[test]
fn learned_pins_are_forgotten_when_idle() {
    let servers: Vec<BackendEntry> = (1..=4).map(|number| server(number, "a")).collect();
    let mut fleet = Fleet::new(HOSTS, &routing_support::configuration(1, &servers));
    for number in 0..FLOWS {
        fleet.hand(0, &plain_open(flow(number)));
        for member in 0..HOSTS.len() {
            fleet.hand(member, &CallerDatagram::carry(flow(number), None, b"data"));
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
    fleet.pass(LONG);
    assert_eq!(learned(&fleet), 0);
    let placed = fleet
        .members
        .iter()
        .map(|member| member.engine.pinned_flows().len());
    assert_eq!(placed.sum::<usize>(), usize::from(FLOWS));
}
