//! Whose request gets a slot, and what the home believes about slots.

#![allow(clippy::unwrap_used, missing_docs)]

mod admission_support;

use admission_support::{Bench, Sent, Told, flow, request};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::snapshot::{BackendView, ReportedLoad};
use cardamomwinch_protocol::prelude::*;
use yare::parameterized;

fn runs(bench: &mut Bench) -> Vec<Sent> {
    bench.take().runs().into_iter().cloned().collect()
}

fn number_of(sent: &Sent) -> u16 {
    sent.flow.caller.port() - 1024
}

/// One adviser's script sends a hundred queries at once. Another adviser's
/// single query comes a moment later and finds the queue filled by the first.
/// A flow may only take its share, and slots go to the flow that has the fewest.
#[test]
fn one_flow_does_not_fill_the_queue() {
    let mut bench = Bench::new(1, 2);
    let greedy = bench.open(1);
    let modest = bench.open(2);
    for number in 0..100 {
        let header = bench.header(number, true, 5000);
        bench.ask(1, greedy, header);
    }
    let first = runs(&mut bench);
    assert_eq!(first.len(), 2);
    let header = bench.header(1, true, 5000);
    bench.ask(2, modest, header);
    let wanted = bench.take();
    assert!(wanted.told.is_empty(), "refused: {wanted:?}");
    bench.answer(1, &first[0]);
    let next = runs(&mut bench);
    assert_eq!(number_of(&next[0]), 2, "the modest flow is served next");
}

/// A thousand new flows a second arrive, each with a request. They fill their
/// part of the queue; a request of a session that has been open all day still
/// finds room, and the tables stay within their bounds.
#[test]
fn a_flood_of_openings_leaves_room_for_open_flows() {
    let bounds = TrafficBounds {
        flows: 300,
        request_records: 400,
        ..TrafficBounds::default()
    };
    let mut bench = Bench::with_bounds(1, 2, bounds);
    let token = bench.open(1);
    for number in 2..1000 {
        let header = bench.header(1, false, 5000);
        bench.caller(CallerDatagram::open(flow(number), b"").with_request(header));
    }
    bench.take();
    let header = bench.header(7, false, 5000);
    bench.ask(1, token, header);
    let wanted = bench.take();
    assert!(wanted.finals(request(7)).is_empty(), "{wanted:?}");
    assert!(bench.engine.pinned_flows().len() <= 300);
    assert!(bench.engine.remembered_requests().len() <= 400);
}

/// A server comes back cold. Were it given all its slots at once, its first
/// requests would all be slow; it begins with a part of them.
#[parameterized(
    cold = { 10, 1 },
    half = { 50, 4 },
    warm = { 100, 8 },
)]
fn a_cold_server_gets_a_part_of_its_slots(warm_percent: u8, expected: usize) {
    let mut bench = Bench::new(1, 8);
    let server = bench.server();
    let view = BackendView {
        warm_percent,
        ..BackendView::default()
    };
    bench.view(server, view);
    let token = bench.open(1);
    for number in 0..8 {
        let header = bench.header(number, true, 5000);
        bench.ask(1, token, header);
    }
    assert_eq!(runs(&mut bench).len(), expected);
}

fn report(bench: &mut Bench, busy_slots: u32) {
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
    bench.view(server, view);
    bench.pass_ms(50);
}

/// The home died, and another took over without a hand-over. What the first one
/// had sent still runs; the load report tells, and the new home does not send
/// on top of it. After some seconds without a report it counts for nothing.
#[test]
fn reported_work_of_an_earlier_home_is_respected_and_ages_out() {
    let mut bench = Bench::new(1, 4);
    let token = bench.open(1);
    report(&mut bench, 3);
    for number in 0..4 {
        let header = bench.header(number, false, 9000);
        bench.ask(1, token, header);
    }
    assert_eq!(runs(&mut bench).len(), 1);
    bench.pass_ms(450);
    assert_eq!(runs(&mut bench).len(), 0);
    bench.pass_ms(3000);
    for number in 10..14 {
        let header = bench.header(number, false, 5000);
        bench.ask(1, token, header);
    }
    assert_eq!(runs(&mut bench).len(), 3);
}

/// A load endpoint says "idle" for ever. The home's own count must win, or the
/// server would be sent more than it has slots for.
#[test]
fn a_report_of_an_idle_server_never_frees_a_slot() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    for number in 0..2 {
        let header = bench.header(number, false, 9000);
        bench.ask(1, token, header);
    }
    assert_eq!(runs(&mut bench).len(), 2);
    report(&mut bench, 0);
    let header = bench.header(2, false, 9000);
    bench.ask(1, token, header);
    assert_eq!(runs(&mut bench).len(), 0);
}

/// A load endpoint lags: it still shows the two requests that this home itself
/// had running a moment ago. They must not be counted as somebody else's.
#[test]
fn a_lagging_report_of_own_requests_takes_no_slot() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    for number in 0..2 {
        let header = bench.header(number, true, 9000);
        bench.ask(1, token, header);
    }
    for sent in runs(&mut bench) {
        bench.answer(1, &sent);
    }
    report(&mut bench, 2);
    for number in 2..4 {
        let header = bench.header(number, true, 9000);
        bench.ask(1, token, header);
    }
    assert_eq!(runs(&mut bench).len(), 2);
}

/// A load endpoint says "busy" for ever, while the server answers promptly. The
/// service would run at half its capacity all day. After some prompt answers
/// the report loses its weight.
#[test]
fn a_report_of_a_busy_server_that_answers_loses_weight() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    let mut most = 0;
    for number in 0..40 {
        report(&mut bench, 2);
        for index in 0..2 {
            let header = bench.header(number * 2 + index, true, 5000);
            bench.ask(1, token, header);
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

/// A server has one slot where two are configured. Each shed costs a caller
/// time; the home learns from the shed, pauses, and does not send the second
/// one again and again.
#[test]
fn sheds_teach_how_many_slots_there_are() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    for number in 0..2 {
        let header = bench.header(number, false, 9000);
        bench.ask(1, token, header);
    }
    let sent = runs(&mut bench);
    bench.shed(1, &sent[1]);
    let mut sheds = 1;
    for _ in 0..60 {
        bench.pass_ms(50);
        for sent in runs(&mut bench) {
            bench.shed(1, &sent);
            sheds += 1;
        }
    }
    assert!((2..=4).contains(&sheds), "{sheds}");
}

/// The relayed copy of an answer is lost on its way to the home, so that the
/// home goes on counting a request that has long finished. Its slot must not
/// stay taken until the deadline while the server answers everybody else.
#[test]
fn a_lost_copy_of_an_answer_does_not_keep_its_slot() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    for number in 0..2 {
        let header = bench.header(number, false, 9000);
        bench.ask(1, token, header);
    }
    runs(&mut bench);
    let mut served = 0;
    bench.pass_ms(600);
    let ledger = bench.engine.ledgers().get(bench.server()).unwrap();
    assert_eq!(ledger.busy(), 2);
    // Nothing was heard since: the server may be stuck with both.
    let header = bench.header(9, true, 9000);
    bench.ask(1, token, header);
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
        bench.ask(1, token, header);
        bench.pass_ms(50);
        let sent = runs(&mut bench);
        served = served.max(sent.len());
        for sent in sent {
            bench.answer(1, &sent);
        }
    }
    assert!(served >= 1);
    for number in 50..52 {
        let header = bench.header(number, true, 9000);
        bench.ask(1, token, header);
    }
    assert_eq!(runs(&mut bench).len(), 2, "both slots are used again");
}

/// Retries of a service that sheds everything would double its load. Only so
/// many are made as the budget gives; the rest is refused with a time to come
/// back.
#[test]
fn retries_stay_within_their_budget() {
    let mut bench = Bench::new(1, 1000);
    let token = bench.open(1);
    let mut first_tries = 0;
    let mut retries = 0;
    for number in 0..1000 {
        let header = bench.header(number, false, 5000);
        bench.ask(1, token, header);
        bench.pass_ms(50);
        for sent in runs(&mut bench) {
            match sent.request.unwrap().attempt {
                AttemptNumber(0) => first_tries += 1,
                AttemptNumber(_) => retries += 1,
            }
            bench.shed(1, &sent);
        }
        for (_, told) in bench.take().told {
            if let Told::NotRun(_, reason, after) = told {
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

/// A caller resends a request that was refused a moment ago because everything
/// was full. It must be told to come back after the wait that is expected now,
/// not after a fixed time: else all refused callers come back at once.
#[test]
fn a_copy_of_a_refused_request_is_told_the_wait_expected_now() {
    let mut bench = Bench::new(1, 1);
    for number in 1..8 {
        let token = bench.open(number);
        let header = bench.header(1, false, 9000);
        bench.ask(number, token, header);
    }
    bench.take();
    let mut waits = Vec::new();
    for number in 10..20 {
        let token = bench.open(number);
        let header = bench.header(1, false, 9000);
        bench.ask(number, token, header);
        bench.take();
        bench.ask(number, token, header);
        for told in bench.take().finals(request(1)) {
            if let Told::NotRun(_, RefusalReason::Full, after) = told {
                waits.push(*after);
            }
        }
    }
    assert_eq!(waits.len(), 10);
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 5, "{waits:?}");
}

/// Configurations change thousands of times a day, and servers come and go. What
/// was counted for a server that has gone must go too, or the host grows.
#[test]
fn counts_of_servers_that_are_gone_are_forgotten() {
    let mut bench = Bench::new(3, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 500);
    bench.ask(1, token, header);
    let gone = bench.take().runs()[0].backend;
    let mut in_force = (*bench.snapshot.configuration).clone();
    in_force.backends.remove(&gone);
    bench.snapshot.configuration = std::sync::Arc::new(in_force);
    bench.pass_ms(300);
    assert!(bench.engine.ledgers().get(gone).is_some(), "a request runs");
    bench.caller(CallerDatagram {
        kind: CallerKind::Close,
        ..CallerDatagram::carry(flow(1), Some(token), b"")
    });
    bench.pass_ms(1000);
    assert!(bench.engine.ledgers().get(gone).is_none());
}
