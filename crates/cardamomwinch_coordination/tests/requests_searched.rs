//! What a home may reply about a request whose flow it does not know: the server that it
//! asks may not be the flow's, and the flow's own home may have run a copy.

#![allow(clippy::unwrap_used, missing_docs)]

mod admission_support;

use std::time;

use admission_support::{CallerMessage, EngineBench, EngineOutput, flow, request};
use cardamomwinch_protocol::prelude::*;

/// The caller whose flow is on a server of another home.
const UNKNOWN_FLOW: u16 = 9;
const LONGEST_WAIT: time::Duration = time::Duration::from_secs(10);

/// The home of one server with one slot, which a request of a known flow occupies.
fn busy_home() -> (EngineBench, RoutingToken) {
    let mut bench = EngineBench::new(1, 1);
    let token = bench.open(1);
    let running = bench.header(100, false, 9000);
    bench.send_request(1, token, running);
    bench.take();
    (bench, token)
}

/// Sends a request of a flow without a token, for which this home has no pin.
fn send_from_unknown_flow(bench: &mut EngineBench, header: RequestHeader) {
    let datagram = CallerDatagram::carry(flow(UNKNOWN_FLOW), None, b"payload");
    bench.receive(datagram.with_request(header));
}

fn assert_unknown(output: &EngineOutput, header: RequestHeader) {
    let final_replies = output.final_replies(header.id);
    assert!(
        matches!(final_replies[..], [CallerMessage::OutcomeUnknown(..)]),
        "{final_replies:?}"
    );
}

/// A flow without a token was placed while a domain was cut off, on a server of another
/// home than the lookup table selects. One copy of its request runs there and is answered;
/// another copy reaches the home of the table's server, whose queue is full. A full queue
/// there says nothing about the server that holds the flow, so the caller must not get
/// "not run" in addition to the answer.
#[test]
fn a_full_queue_gives_an_unknown_outcome_for_a_flow_that_may_be_elsewhere() {
    let (mut bench, _) = busy_home();
    for number in 0..40 {
        let token = bench.open(20 + number);
        let filler = bench.header(u64::from(200 + number), false, 9000);
        bench.send_request(20 + number, token, filler);
    }
    bench.take();
    let header = bench.header(1, false, 9000);
    send_from_unknown_flow(&mut bench, header);
    let output = bench.take();
    assert!(output.runs().is_empty(), "{output:?}");
    assert_unknown(&output, header);
    // A further copy gets the same reply.
    send_from_unknown_flow(&mut bench, header);
    assert_unknown(&bench.take(), header);
}

/// The flow is on a server of another home, which runs its own copy of the request, while
/// the copy here waits in the queue until it has waited too long.
#[test]
fn a_copy_that_waited_too_long_gives_an_unknown_outcome_for_a_flow_that_may_be_elsewhere() {
    let (mut bench, _) = busy_home();
    let header = bench.header(1, false, 9000);
    send_from_unknown_flow(&mut bench, header);
    assert!(bench.take().final_replies(request(1)).is_empty());
    bench.advance(LONGEST_WAIT);
    assert_unknown(&bench.take(), header);
}

/// The flow is on a server of another home, and the server of the lookup table sheds the
/// copy each time it is sent. That it did not run there says nothing about the server that
/// holds the flow.
#[test]
fn a_shed_copy_gives_an_unknown_outcome_for_a_flow_that_may_be_elsewhere() {
    let mut bench = EngineBench::new(1, 1);
    let header = bench.header(1, false, 9000);
    send_from_unknown_flow(&mut bench, header);
    let mut final_replies = Vec::new();
    for _ in 0..20 {
        let output = bench.take();
        final_replies.extend(output.final_replies(header.id).into_iter().cloned());
        if let Some(sent) = output.runs().first() {
            bench.shed(UNKNOWN_FLOW, sent);
        }
        bench.advance_ms(500);
    }
    assert!(
        matches!(final_replies[..], [CallerMessage::OutcomeUnknown(..)]),
        "{final_replies:?}"
    );
}
