//! What a home may say of a request whose flow it does not know: it asks a server
//! that may not be the flow's, and the flow's own home may have run a copy.

#![allow(clippy::unwrap_used, missing_docs)]

mod admission_support;

use std::time;

use admission_support::{Bench, Told, Wanted, flow, request};
use cardamomwinch_protocol::prelude::*;

/// The caller whose flow lives on a server of another home.
const STRANGER: u16 = 9;
const LATEST: time::Duration = time::Duration::from_secs(10);

/// A home of one server with one slot, which a request of its own flow takes.
fn busy_home() -> (Bench, RoutingToken) {
    let mut bench = Bench::new(1, 1);
    let token = bench.open(1);
    let running = bench.header(100, false, 9000);
    bench.ask(1, token, running);
    bench.take();
    (bench, token)
}

/// A request of a flow without token, of which this home holds no pin.
fn ask_as_stranger(bench: &mut Bench, header: RequestHeader) {
    let datagram = CallerDatagram::carry(flow(STRANGER), None, b"payload");
    bench.caller(datagram.with_request(header));
}

fn assert_unknown(wanted: &Wanted, header: RequestHeader) {
    let finals = wanted.finals(header.id);
    assert!(
        matches!(finals[..], [Told::OutcomeUnknown(..)]),
        "{finals:?}"
    );
}

/// A session without token was placed around a cut, on a server whose home is not
/// the one of the lookup table. One copy of its request runs there and is answered;
/// another reaches the home of the table's server, whose queue is full. Its caller
/// was told an answer and then "not run" of one request: a full queue here says
/// nothing about the server that holds the flow.
#[test]
fn a_full_server_says_nothing_of_a_flow_that_may_live_elsewhere() {
    let (mut bench, _) = busy_home();
    for number in 0..40 {
        let token = bench.open(20 + number);
        let filler = bench.header(u64::from(200 + number), false, 9000);
        bench.ask(20 + number, token, filler);
    }
    bench.take();
    let header = bench.header(1, false, 9000);
    ask_as_stranger(&mut bench, header);
    let wanted = bench.take();
    assert!(wanted.runs().is_empty(), "{wanted:?}");
    assert_unknown(&wanted, header);
    // A further copy gets the same word.
    ask_as_stranger(&mut bench, header);
    assert_unknown(&bench.take(), header);
}

/// The same, but the queue has room: the copy waits for a slot until it has waited
/// too long. Meanwhile the other home has run its own copy.
#[test]
fn a_copy_that_waited_in_vain_says_nothing_of_a_flow_that_may_live_elsewhere() {
    let (mut bench, _) = busy_home();
    let header = bench.header(1, false, 9000);
    ask_as_stranger(&mut bench, header);
    assert!(bench.take().finals(request(1)).is_empty());
    bench.pass(LATEST);
    assert_unknown(&bench.take(), header);
}

/// The same, but the table's server is asked and sheds the copy, each time it is
/// sent. That it did not run there says nothing of the server that holds the flow.
#[test]
fn a_shed_copy_says_nothing_of_a_flow_that_may_live_elsewhere() {
    let mut bench = Bench::new(1, 1);
    let header = bench.header(1, false, 9000);
    ask_as_stranger(&mut bench, header);
    let mut finals = Vec::new();
    for _ in 0..20 {
        let wanted = bench.take();
        finals.extend(wanted.finals(header.id).into_iter().cloned());
        if let Some(sent) = wanted.runs().first() {
            bench.shed(STRANGER, sent);
        }
        bench.pass_ms(500);
    }
    assert!(
        matches!(finals[..], [Told::OutcomeUnknown(..)]),
        "{finals:?}"
    );
}
