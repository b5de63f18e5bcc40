//! Which requests get slots, and how the home estimates the free slots of a server.

#![allow(clippy::unwrap_used, missing_docs)]

mod admission_support;

use admission_support::{CallerMessage, EngineBench, SentDatagram, flow, request};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::snapshot::{BackendView, ReportedLoad};
use cardamomwinch_protocol::prelude::*;
use yare::parameterized;

fn runs(bench: &mut EngineBench) -> Vec<SentDatagram> {
    bench.take().runs().into_iter().cloned().collect()
}

fn number_of(sent: &SentDatagram) -> u16 {
    sent.flow.caller.port() - 1024
}

/// Guards against one flow that fills the whole queue: one caller sends a hundred requests
/// at once, and another caller's single request arrives shortly after. A flow may only use
/// its share of the queue, and slots go to the flow with the fewest running requests.
#[test]
fn one_flow_does_not_fill_the_queue() {
    let mut bench = EngineBench::new(1, 2);
    let greedy = bench.open(1);
    let modest = bench.open(2);
    for number in 0..100 {
        let header = bench.header(number, true, 5000);
        bench.send_request(1, greedy, header);
    }
    let first = runs(&mut bench);
    assert_eq!(first.len(), 2);
    let header = bench.header(1, true, 5000);
    bench.send_request(2, modest, header);
    let output = bench.take();
    assert!(output.to_callers.is_empty(), "refused: {output:?}");
    bench.answer(1, &first[0]);
    let next = runs(&mut bench);
    assert_eq!(number_of(&next[0]), 2, "the modest flow is served next");
}

/// Guards against new flows that displace open ones: a thousand new flows arrive, each
/// with a request. They fill their part of the queue; a request of a flow that is already
/// open still finds room, and the tables stay within their bounds.
#[test]
fn a_flood_of_openings_leaves_room_for_open_flows() {
    let bounds = TrafficBounds {
        flows: 300,
        request_records: 400,
        ..TrafficBounds::default()
    };
    let mut bench = EngineBench::with_bounds(1, 2, bounds);
    let token = bench.open(1);
    for number in 2..1000 {
        let header = bench.header(1, false, 5000);
        bench.receive(CallerDatagram::open(flow(number), b"").with_request(header));
    }
    bench.take();
    let header = bench.header(7, false, 5000);
    bench.send_request(1, token, header);
    let output = bench.take();
    assert!(output.final_replies(request(7)).is_empty(), "{output:?}");
    assert!(bench.engine.pinned_flows().len() <= 300);
    assert!(bench.engine.remembered_requests().len() <= 400);
}

/// Guards against slow requests after a server has started cold: if all its slots were
/// used at once, its first requests would all be slow. It starts with a part of its slots.
#[parameterized(
    cold = { 10, 1 },
    half = { 50, 4 },
    warm = { 100, 8 },
)]
fn a_cold_server_gets_a_part_of_its_slots(warm_percent: u8, expected: usize) {
    let mut bench = EngineBench::new(1, 8);
    let server = bench.server();
    let view = BackendView {
        warm_percent,
        ..BackendView::default()
    };
    bench.set_view(server, view);
    let token = bench.open(1);
    for number in 0..8 {
        let header = bench.header(number, true, 5000);
        bench.send_request(1, token, header);
    }
    assert_eq!(runs(&mut bench).len(), expected);
}

fn report(bench: &mut EngineBench, busy_slots: u32) {
    let server = bench.server();
    let view = BackendView {
        report: Some(ReportedLoad {
            asked: bench.now,
            made: bench.now,
            busy_slots,
            answers: None,
        }),
        ..BackendView::default()
    };
    bench.set_view(server, view);
    bench.advance_ms(50);
}

/// Guards against overload after a home has died and another became the home without a
/// hand-over: requests of the first home still run. The load report shows them, and the
/// new home does not send more than the free slots allow. After some seconds without a new
/// report the old one is ignored.
#[test]
fn reported_work_of_an_earlier_home_counts_until_the_report_expires() {
    let mut bench = EngineBench::new(1, 4);
    let token = bench.open(1);
    report(&mut bench, 3);
    for number in 0..4 {
        let header = bench.header(number, false, 9000);
        bench.send_request(1, token, header);
    }
    assert_eq!(runs(&mut bench).len(), 1);
    bench.advance_ms(450);
    assert_eq!(runs(&mut bench).len(), 0);
    bench.advance_ms(3000);
    for number in 10..14 {
        let header = bench.header(number, false, 5000);
        bench.send_request(1, token, header);
    }
    assert_eq!(runs(&mut bench).len(), 3);
}

/// A load endpoint always reports "idle". The home's own count must take precedence, or
/// the server would be sent more requests than it has slots.
#[test]
fn a_report_of_an_idle_server_never_frees_a_slot() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    for number in 0..2 {
        let header = bench.header(number, false, 9000);
        bench.send_request(1, token, header);
    }
    assert_eq!(runs(&mut bench).len(), 2);
    report(&mut bench, 0);
    let header = bench.header(2, false, 9000);
    bench.send_request(1, token, header);
    assert_eq!(runs(&mut bench).len(), 0);
}

/// A load report is delayed: it still shows the two requests that this home itself had
/// running shortly before. They must not be counted as other work.
#[test]
fn a_lagging_report_of_own_requests_takes_no_slot() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    for number in 0..2 {
        let header = bench.header(number, true, 9000);
        bench.send_request(1, token, header);
    }
    for sent in runs(&mut bench) {
        bench.answer(1, &sent);
    }
    report(&mut bench, 2);
    for number in 2..4 {
        let header = bench.header(number, true, 9000);
        bench.send_request(1, token, header);
    }
    assert_eq!(runs(&mut bench).len(), 2);
}

/// A load endpoint always reports "busy" while the server answers promptly. If the reports
/// were used, the service would run at half its capacity. After some prompt answers they are
/// ignored.
#[test]
fn reports_of_a_busy_server_that_answers_are_ignored() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    let mut most = 0;
    for number in 0..40 {
        report(&mut bench, 2);
        for index in 0..2 {
            let header = bench.header(number * 2 + index, true, 5000);
            bench.send_request(1, token, header);
        }
        let mut sent = runs(&mut bench);
        most = most.max(sent.len());
        while let Some(next) = sent.pop() {
            bench.answer(1, &next);
            sent.extend(runs(&mut bench));
        }
    }
    assert_eq!(most, 2);
}

/// A server has one slot although two are configured. Each shed costs a caller time, so
/// the home lowers its estimate after a shed, pauses, and does not repeatedly send the
/// second request.
#[test]
fn sheds_lower_the_estimated_number_of_slots() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    for number in 0..2 {
        let header = bench.header(number, false, 9000);
        bench.send_request(1, token, header);
    }
    let sent = runs(&mut bench);
    bench.shed(1, &sent[1]);
    let mut sheds = 1;
    for _ in 0..60 {
        bench.advance_ms(50);
        for sent in runs(&mut bench) {
            bench.shed(1, &sent);
            sheds += 1;
        }
    }
    assert!((2..=4).contains(&sheds), "{sheds}");
}

/// The relayed copy of an answer is lost on its way to the home, so the home still counts
/// a request that has finished. Its slot must not stay occupied until the deadline while
/// the server answers other requests.
#[test]
fn a_lost_copy_of_an_answer_does_not_keep_its_slot() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    for number in 0..2 {
        let header = bench.header(number, false, 9000);
        bench.send_request(1, token, header);
    }
    runs(&mut bench);
    let mut served = 0;
    bench.advance_ms(600);
    let ledger = bench.engine.ledgers().get(bench.server()).unwrap();
    assert_eq!(ledger.busy(), 2);
    // No reply has arrived since: the server may be stuck with both.
    let header = bench.header(9, true, 9000);
    bench.send_request(1, token, header);
    assert_eq!(runs(&mut bench).len(), 0);
    let kind = BackendReplyKind::Answer {
        request: request(0),
        attempt: AttemptNumber(0),
        part: PartNumber::WHOLE,
        payload: b"",
    };
    let server = bench.server();
    bench.reply(1, server, kind);
    for number in 10..30 {
        let header = bench.header(number, true, 9000);
        bench.send_request(1, token, header);
        bench.advance_ms(50);
        let sent = runs(&mut bench);
        served = served.max(sent.len());
        for sent in sent {
            bench.answer(1, &sent);
        }
    }
    assert!(served >= 1);
    for number in 50..52 {
        let header = bench.header(number, true, 9000);
        bench.send_request(1, token, header);
    }
    assert_eq!(runs(&mut bench).len(), 2, "both slots are used again");
}

/// Guards against retries that double the load of a service that sheds everything. Only as
/// many retries are made as the budget allows; the other requests are refused with a time
/// to try again.
#[test]
fn retries_stay_within_their_budget() {
    let mut bench = EngineBench::new(1, 1000);
    let token = bench.open(1);
    let mut first_tries = 0;
    let mut retries = 0;
    for number in 0..1000 {
        let header = bench.header(number, false, 5000);
        bench.send_request(1, token, header);
        bench.advance_ms(50);
        for sent in runs(&mut bench) {
            match sent.request.unwrap().attempt {
                AttemptNumber(0) => first_tries += 1,
                AttemptNumber(_) => retries += 1,
            }
            bench.shed(1, &sent);
        }
        for (_, message) in bench.take().to_callers {
            if let CallerMessage::NotRun(_, reason, after) = message {
                assert_eq!(reason, RefusalReason::Shed);
                assert!(!after.is_zero());
            }
        }
    }
    assert!(first_tries > 100);
    assert!(retries > 0);
    assert!(
        retries <= first_tries / 10 + 10,
        "{retries} of {first_tries}"
    );
}

/// A caller repeats a request that was just refused because the queue was full. It must
/// get the wait that is expected now, not a fixed time, or all refused callers would
/// return at once.
#[test]
fn a_copy_of_a_refused_request_gets_the_wait_expected_now() {
    let mut bench = EngineBench::new(1, 1);
    for number in 1..8 {
        let token = bench.open(number);
        let header = bench.header(1, false, 9000);
        bench.send_request(number, token, header);
    }
    bench.take();
    let mut waits = Vec::new();
    for number in 10..20 {
        let token = bench.open(number);
        let header = bench.header(1, false, 9000);
        bench.send_request(number, token, header);
        bench.take();
        bench.send_request(number, token, header);
        for message in bench.take().final_replies(request(1)) {
            if let CallerMessage::NotRun(_, RefusalReason::Full, after) = message {
                waits.push(*after);
            }
        }
    }
    assert_eq!(waits.len(), 10);
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 5, "{waits:?}");
}

/// Guards against memory that grows with each configuration change: the counts of a server
/// that was removed must be dropped.
#[test]
fn counts_of_removed_servers_are_dropped() {
    let mut bench = EngineBench::new(3, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 500);
    bench.send_request(1, token, header);
    let gone = bench.take().runs()[0].backend;
    let mut in_force = (*bench.snapshot.configuration).clone();
    in_force.backends.remove(&gone);
    bench.snapshot.configuration = std::sync::Arc::new(in_force);
    bench.advance_ms(300);
    assert!(bench.engine.ledgers().get(gone).is_some(), "a request runs");
    bench.receive(CallerDatagram {
        kind: CallerKind::Close,
        ..CallerDatagram::carry(flow(1), Some(token), b"")
    });
    bench.advance_ms(1000);
    assert!(bench.engine.ledgers().get(gone).is_none());
}
