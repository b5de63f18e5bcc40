//! Which reply a caller gets, and when, about a request that its home gives up.

#![allow(clippy::unwrap_used, missing_docs)]

mod admission_support;

use std::time;

use admission_support::{CallerMessage, EngineBench, SentDatagram, host, request};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::snapshot::{BackendView, ReportedLoad};
use cardamomwinch_protocol::prelude::*;

/// Guards against a caller that gets no reply about a request whose server has become
/// silent, because a reply sent at the deadline arrives after it.
#[test]
fn a_request_that_runs_until_its_deadline_gets_its_final_reply_before() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(7, false, 1000);
    bench.send_request(1, token, header);
    bench.take();
    bench.advance_ms(750);
    assert_eq!(
        bench.take().final_replies(request(7)),
        Vec::<&CallerMessage>::new()
    );
    bench.advance_ms(100);
    let output = bench.take();
    assert!(
        matches!(
            output.final_replies(request(7))[..],
            [CallerMessage::OutcomeUnknown(..)]
        ),
        "{output:?}"
    );
    assert!(output.cancellations().is_empty());
    bench.advance_ms(200);
    let output = bench.take();
    assert_eq!(
        output.final_replies(request(7)),
        Vec::<&CallerMessage>::new()
    );
    assert_eq!(output.cancellations().len(), 1);
    bench.advance_ms(3000);
    assert_eq!(
        bench.take().final_replies(request(7)),
        Vec::<&CallerMessage>::new()
    );
}

/// Guards against a waiting request that gets no reply until its deadline: both slots of a
/// server hang, and the home knows much earlier that none becomes free in time. The
/// request must be refused as not run long before, with a time to try again, and a later
/// copy must get the same reply.
#[test]
fn a_request_that_waits_too_long_is_refused_before_its_deadline() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    for number in 1..=3 {
        let header = bench.header(number, false, 9000);
        bench.send_request(1, token, header);
    }
    let late = bench.header(3, false, 9000);
    assert_eq!(bench.take().runs().len(), 2);
    bench.advance_ms(2000);
    let output = bench.take();
    let Some(CallerMessage::NotRun(_, RefusalReason::Full, after)) =
        output.final_replies(request(3)).first().copied()
    else {
        panic!("not refused: {output:?}");
    };
    assert!(*after > time::Duration::ZERO);
    bench.send_request(1, token, late);
    let output = bench.take();
    assert!(matches!(
        output.final_replies(request(3))[..],
        [CallerMessage::NotRun(Some(_), RefusalReason::Full, _)]
    ));
    assert!(output.runs().is_empty());
}

/// The home of a server loses its lease while a request waits for a slot. The request was
/// never sent, but only the next home may reply "not run": it must be relayed there, and
/// must not be sent from here when a slot becomes free.
#[test]
fn a_waiting_request_goes_to_the_next_home_when_the_lease_is_lost() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    for number in 1..=3 {
        let header = bench.header(number, false, 9000);
        bench.send_request(1, token, header);
    }
    let first = bench.take().runs()[0].clone();
    bench.lose_home(Some(host("muc-nord-2")));
    bench.answer(1, &first);
    assert!(bench.take().runs().is_empty(), "sent after the lease ended");
    bench.advance_ms(100);
    let output = bench.take();
    let brought: Vec<_> = output
        .relayed
        .iter()
        .filter(|(_, of)| of.is_some())
        .collect();
    assert_eq!(brought, [&(host("muc-nord-2"), Some(request(3)))]);
    assert!(output.runs().is_empty());
    bench.advance_ms(2000);
    let output = bench.take();
    assert!(output.runs().is_empty());
    assert!(output.final_replies(request(3)).is_empty(), "{output:?}");
}

/// The home of a server loses its lease while a request waits, and there is no next home
/// yet. The reply must not be "not run", because a copy may reach the next home, and it
/// must not be delayed until the deadline.
#[test]
fn a_waiting_request_without_any_home_gets_a_final_reply_at_once() {
    let mut bench = EngineBench::new(1, 1);
    let token = bench.open(1);
    for number in 1..=2 {
        let header = bench.header(number, true, 9000);
        bench.send_request(1, token, header);
    }
    bench.take();
    bench.lose_home(None);
    bench.advance_ms(100);
    let output = bench.take();
    assert!(matches!(
        output.final_replies(request(2))[..],
        [CallerMessage::OutcomeUnknown(..)]
    ));
}

/// The lease expired while the control thread hung; the snapshot still contains it. An
/// answer frees a slot, but the waiting request must not be sent, because the next home
/// may already be running it.
#[test]
fn nothing_is_sent_after_the_end_of_the_lease() {
    let mut bench = EngineBench::new(1, 1);
    let token = bench.open(1);
    for number in 1..=2 {
        let header = bench.header(number, false, 9000);
        bench.send_request(1, token, header);
    }
    let first = bench.take().runs()[0].clone();
    bench.hold_lease_until(bench.now.after(time::Duration::from_millis(300)));
    bench.now = bench.now.after(time::Duration::from_millis(400));
    bench.answer(1, &first);
    assert!(bench.take().runs().is_empty());
}

/// Guards against a full table of requests: a caller sends requests with a deadline a year
/// away. Each is refused, but if the record of the refusal stayed for a year, the table
/// would fill and every other request would get "outcome unknown".
#[test]
fn far_deadlines_do_not_fill_the_table() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    for number in 0..100 {
        let header = bench.header(number, true, 31_536_000_000);
        bench.send_request(1, token, header);
    }
    let output = bench.take();
    assert!(output.runs().is_empty());
    bench.advance_ms(30_000);
    assert_eq!(bench.engine.remembered_requests().len(), 0);
    assert_eq!(output.count(Counter::RequestDispatched), 0);
}

/// A server sheds the request of an established flow. The request did not run, and its
/// flow cannot move to another server, but after a pause a slot may be free. So the
/// request is sent again unless the retry budget is used up.
#[test]
fn a_shed_request_is_sent_again_to_its_server() {
    let mut bench = EngineBench::new(2, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 5000);
    bench.send_request(1, token, header);
    let first = bench.take().runs()[0].clone();
    bench.shed(1, &first);
    assert!(bench.take().final_replies(request(1)).is_empty());
    bench.advance_ms(1000);
    let output = bench.take();
    let [second] = output.runs()[..] else {
        panic!("not sent again: {output:?}");
    };
    assert_eq!(second.backend, first.backend);
    assert_eq!(second.request.unwrap().attempt, AttemptNumber(1));
    // A late copy of the first attempt's shed does not affect the second.
    bench.shed(1, &first);
    let second = second.clone();
    bench.answer(1, &second);
    let output = bench.take();
    assert!(output.final_replies(request(1)).is_empty(), "{output:?}");
    assert_eq!(output.count(Counter::RequestAnswered), 1);
}

/// The answer of a download in thirty parts is complete, but was not kept. The caller lost
/// a part and repeats the request. If it is idempotent it may run again, as a new attempt,
/// so that parts of two runs are never mixed.
#[test]
fn a_lost_part_of_an_answer_not_kept_runs_an_idempotent_request_again() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    for idempotent in [true, false] {
        let number = u64::from(idempotent);
        let header = bench.header(number, idempotent, 5000);
        bench.send_request(1, token, header);
        let sent = bench.take().runs()[0].clone();
        for index in 0..30 {
            let kind = BackendReplyKind::Answer {
                request: header.id,
                attempt: sent.request.unwrap().attempt,
                part: PartNumber { index, total: 30 },
                payload: b"part",
            };
            bench.reply(1, sent.backend, kind);
        }
        bench.take();
        bench.send_request(1, token, header);
        let output = bench.take();
        if idempotent {
            let again = output.runs()[0].request.unwrap();
            assert_eq!(again.attempt, AttemptNumber(1));
        } else {
            assert!(output.runs().is_empty());
            assert!(matches!(
                output.final_replies(header.id)[..],
                [CallerMessage::OutcomeUnknown(..)]
            ));
        }
    }
}

/// Guards against a caller of a new home that tries again too early, so that the outcome
/// of its next request is unknown as well.
#[test]
fn a_caller_of_a_new_home_is_sent_a_sufficient_wait() {
    let mut bench = EngineBench::new(1, 2);
    bench.advance_ms(1000);
    bench.records_since = bench.now;
    bench.renew();
    let token = bench.open(1);
    let header = bench.header(1, false, 4000);
    bench.send_request(1, token, header);
    let output = bench.take();
    let [CallerMessage::OutcomeUnknown(_, after)] = output.final_replies(request(1))[..] else {
        panic!("{output:?}");
    };
    let after = *after;
    bench.advance(after);
    let header = bench.header(2, false, 4000);
    bench.send_request(1, token, header);
    assert_eq!(
        bench.take().runs().len(),
        1,
        "not sent after the wait of {after:?}"
    );
}

/// Guards against a caller that waits until its deadline because the only datagram to the
/// server was lost and its copies are ignored as copies of a running request.
#[test]
fn a_request_that_the_server_does_not_work_on_is_given_up_at_once() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(7, false, 9000);
    bench.send_request(1, token, header);
    bench.take();
    bench.advance_ms(500);
    assert_eq!(
        bench.take().final_replies(request(7)),
        Vec::<&CallerMessage>::new()
    );
    report(&mut bench, 0);
    bench.advance_ms(100);
    let output = bench.take();
    let [CallerMessage::OutcomeUnknown(_, after)] = output.final_replies(request(7))[..] else {
        panic!("{output:?}");
    };
    assert!(*after > time::Duration::ZERO);
    bench.send_request(1, token, header);
    let output = bench.take();
    assert!(output.runs().is_empty());
    assert!(matches!(
        output.final_replies(request(7))[..],
        [CallerMessage::OutcomeUnknown(..)]
    ));
}

/// A long export runs for 1.5 seconds on a server that usually takes 50 milliseconds. The
/// server counts it in every report. It must not be given up, or the caller would get
/// "outcome unknown" for a request that is making progress.
#[test]
fn a_long_request_that_the_server_counts_is_not_given_up() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(7, false, 9000);
    bench.send_request(1, token, header);
    let sent = bench.take().runs()[0].clone();
    for number in 8..10 {
        bench.advance_ms(500);
        report(&mut bench, 1);
        bench.advance_ms(100);
        // The server answers other requests meanwhile, so it is not stuck.
        let header = bench.header(number, false, 9000);
        bench.send_request(1, token, header);
        let other = bench.take().runs()[0].clone();
        bench.answer(1, &other);
    }
    bench.advance_ms(300);
    assert_eq!(
        bench.take().final_replies(request(7)),
        Vec::<&CallerMessage>::new()
    );
    bench.answer(1, &sent);
    assert_eq!(bench.take().count(Counter::RequestAnswered), 1);
}

/// Guards against a request being given up because it takes a little longer than the first
/// one that its server answered, before there is any load report.
#[test]
fn a_request_that_takes_as_long_as_the_one_beside_it_is_not_given_up() {
    let mut bench = EngineBench::new(1, 2);
    let tokens = [1, 2].map(|number| bench.open(number));
    for (number, token) in (1..).zip(tokens) {
        let header = bench.header(number.into(), false, 5500);
        bench.send_request(number, token, header);
    }
    let sent: Vec<_> = bench.take().runs().into_iter().cloned().collect();
    bench.advance_ms(1000);
    bench.answer(1, &sent[0]);
    bench.advance_ms(50);
    assert_eq!(
        bench.take().final_replies(request(2)),
        Vec::<&CallerMessage>::new()
    );
    bench.answer(2, &sent[1]);
    assert_eq!(bench.take().count(Counter::RequestAnswered), 1);
}

/// Guards against a late answer that is lost because its request was given up, and against
/// its slot staying occupied.
#[test]
fn a_late_answer_of_a_request_given_up_reaches_the_caller() {
    let mut bench = EngineBench::new(1, 1);
    let token = bench.open(1);
    let header = bench.header(7, false, 9000);
    bench.send_request(1, token, header);
    let sent = bench.take().runs()[0].clone();
    bench.advance_ms(500);
    report(&mut bench, 0);
    bench.advance_ms(100);
    assert_eq!(bench.take().final_replies(request(7)).len(), 1);
    for _ in 0..2 {
        bench.answer(1, &sent);
        let output = bench.take();
        let answered = |message: &CallerMessage| matches!(message, CallerMessage::Answer(of, ..) if *of == request(7));
        assert!(
            output
                .to_callers
                .iter()
                .any(|(_, message)| answered(message))
        );
    }
    bench.send_request(1, token, header);
    let output = bench.take();
    assert!(matches!(
        output.to_callers[..],
        [(_, CallerMessage::Answer(..))]
    ));
    bench.advance_ms(9000);
    assert_eq!(
        bench.take().final_replies(request(7)),
        Vec::<&CallerMessage>::new()
    );
}

/// Creates a server that has sent no answer at its first load report, with a request that
/// has run for a second.
fn run_on_counted_server(bench: &mut EngineBench) -> SentDatagram {
    report_answers(bench, 0, Some(0));
    bench.advance_ms(100);
    let token = bench.open(1);
    let header = bench.header(7, false, 9000);
    bench.send_request(1, token, header);
    let sent = bench.take().runs()[0].clone();
    bench.advance_ms(1000);
    sent
}

/// Guards against a request being given up although its answer is on its way, because the
/// load report that was fetched meanwhile no longer counts it.
#[test]
fn a_request_whose_answer_is_on_its_way_is_not_given_up() {
    let mut bench = EngineBench::new(1, 2);
    let sent = run_on_counted_server(&mut bench);
    report_answers(&mut bench, 0, Some(1));
    bench.advance_ms(150);
    assert_eq!(
        bench.take().final_replies(request(7)),
        Vec::<&CallerMessage>::new()
    );
    bench.answer(1, &sent);
    bench.advance_ms(1000);
    report_answers(&mut bench, 0, Some(1));
    bench.advance_ms(100);
    let output = bench.take();
    assert_eq!(output.count(Counter::RequestAnswered), 1);
    assert_eq!(
        output.final_replies(request(7)),
        Vec::<&CallerMessage>::new()
    );
}

/// Guards against a caller waiting until its deadline if the answer was lost: the request
/// is given up at the second report that counts the answer.
#[test]
fn a_request_whose_answer_does_not_come_until_the_next_report_is_given_up() {
    let mut bench = EngineBench::new(1, 2);
    run_on_counted_server(&mut bench);
    report_answers(&mut bench, 0, Some(1));
    bench.advance_ms(1000);
    assert_eq!(
        bench.take().final_replies(request(7)),
        Vec::<&CallerMessage>::new()
    );
    report_answers(&mut bench, 0, Some(1));
    bench.advance_ms(100);
    assert_eq!(bench.take().final_replies(request(7)).len(), 1);
}

/// Guards against a caller waiting for a second report if the request never reached its
/// server: the first report shows this, because it counts neither a running request nor an
/// answer.
#[test]
fn a_request_that_its_server_has_neither_run_nor_answered_is_given_up_at_once() {
    let mut bench = EngineBench::new(1, 2);
    run_on_counted_server(&mut bench);
    report_answers(&mut bench, 0, Some(0));
    bench.advance_ms(100);
    assert_eq!(bench.take().final_replies(request(7)).len(), 1);
}

/// Guards against a request being given up because of a report that was fetched before the
/// request was sent and arrived much later, for example because the control thread of the
/// home had no processor time.
#[test]
fn a_request_that_was_sent_after_the_report_was_requested_is_not_given_up() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    bench.take();
    let asked = bench.now;
    bench.advance_ms(20);
    let header = bench.header(7, false, 9000);
    bench.send_request(1, token, header);
    bench.advance_ms(500);
    let backend = bench.server();
    let report = ReportedLoad {
        asked,
        made: bench.now,
        busy_slots: 0,
        answers: None,
    };
    let view = BackendView {
        report: Some(report),
        ..BackendView::default()
    };
    bench.set_view(backend, view);
    bench.advance_ms(100);
    assert_eq!(
        bench.take().final_replies(request(7)),
        Vec::<&CallerMessage>::new()
    );
}

/// Guards against waiting forever for an answer after a server has restarted: its answer
/// count starts again at zero.
#[test]
fn an_answer_count_that_starts_again_is_used_from_then_on() {
    let mut bench = EngineBench::new(1, 2);
    report_answers(&mut bench, 0, Some(500));
    bench.advance_ms(100);
    run_on_counted_server(&mut bench);
    report_answers(&mut bench, 0, Some(0));
    bench.advance_ms(100);
    assert_eq!(bench.take().final_replies(request(7)).len(), 1);
}

/// Makes a load report of the server with the number of busy slots.
fn report(bench: &mut EngineBench, busy_slots: u32) {
    report_answers(bench, busy_slots, None);
}

/// Makes a load report of the server with the number of busy slots and of answers sent.
fn report_answers(bench: &mut EngineBench, busy_slots: u32, answers: Option<u64>) {
    let view = BackendView {
        report: Some(ReportedLoad {
            asked: bench.now,
            made: bench.now,
            busy_slots,
            answers,
        }),
        ..BackendView::default()
    };
    let backend = bench.server();
    bench.set_view(backend, view);
}
