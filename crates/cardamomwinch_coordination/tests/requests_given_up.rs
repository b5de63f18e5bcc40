//! What a caller is told, and when, about a request that its home gives up.

#![allow(clippy::unwrap_used, missing_docs)]

mod admission_support;

use std::time;

use admission_support::{Bench, Sent, Told, host, request};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::snapshot::{BackendView, ReportedLoad};
use cardamomwinch_protocol::prelude::*;

/// Guards against a caller that hears nothing of a request whose server fell silent, because
/// the word sent at the deadline comes after it.
#[test]
fn a_request_that_runs_until_its_deadline_gets_its_last_word_before() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(7, false, 1000);
    bench.ask(1, token, header);
    bench.take();
    bench.pass_ms(750);
    assert_eq!(bench.take().finals(request(7)), Vec::<&Told>::new());
    bench.pass_ms(100);
    let wanted = bench.take();
    assert!(
        matches!(wanted.finals(request(7))[..], [Told::OutcomeUnknown(..)]),
        "{wanted:?}"
    );
    assert!(wanted.cancellations().is_empty());
    bench.pass_ms(200);
    let wanted = bench.take();
    assert_eq!(wanted.finals(request(7)), Vec::<&Told>::new());
    assert_eq!(wanted.cancellations().len(), 1);
    bench.pass_ms(3000);
    assert_eq!(bench.take().finals(request(7)), Vec::<&Told>::new());
}

/// Both slots of a server hang. A third request waits in the queue and hears
/// nothing until its deadline, though the home knows much earlier that no slot
/// comes free in time. It must be refused as not run long before, with a time
/// to come back, and a copy that comes later must get the same word.
#[test]
fn a_request_that_waits_too_long_is_refused_before_its_deadline() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    for number in 1..=3 {
        let header = bench.header(number, false, 9000);
        bench.ask(1, token, header);
    }
    let late = bench.header(3, false, 9000);
    assert_eq!(bench.take().runs().len(), 2);
    bench.pass_ms(2000);
    let wanted = bench.take();
    let Some(Told::NotRun(_, RefusalReason::Full, after)) =
        wanted.finals(request(3)).first().copied()
    else {
        panic!("not refused: {wanted:?}");
    };
    assert!(*after > time::Duration::ZERO);
    bench.ask(1, token, late);
    let wanted = bench.take();
    assert!(matches!(
        wanted.finals(request(3))[..],
        [Told::NotRun(Some(_), RefusalReason::Full, _)]
    ));
    assert!(wanted.runs().is_empty());
}

/// The home of a server loses its lease while a request waits for a slot there.
/// The request was never sent, but only the next home may say so: it must be
/// brought there, and must not be sent from here when a slot comes free.
#[test]
fn a_waiting_request_goes_to_the_next_home_when_the_lease_is_lost() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    for number in 1..=3 {
        let header = bench.header(number, false, 9000);
        bench.ask(1, token, header);
    }
    let first = bench.take().runs()[0].clone();
    bench.lose_home(Some(host("muc-nord-2")));
    bench.answer(1, &first);
    assert!(bench.take().runs().is_empty(), "sent after the lease ended");
    bench.pass_ms(100);
    let wanted = bench.take();
    let brought: Vec<_> = wanted
        .relayed
        .iter()
        .filter(|(_, of)| of.is_some())
        .collect();
    assert_eq!(brought, [&(host("muc-nord-2"), Some(request(3)))]);
    assert!(wanted.runs().is_empty());
    bench.pass_ms(2000);
    let wanted = bench.take();
    assert!(wanted.runs().is_empty());
    assert!(wanted.finals(request(3)).is_empty(), "{wanted:?}");
}

/// The same, but nobody is home any more. "Not run" cannot be promised, since a
/// copy may reach the next home; silence until the deadline helps nobody.
#[test]
fn a_waiting_request_without_any_home_gets_a_final_word_at_once() {
    let mut bench = Bench::new(1, 1);
    let token = bench.open(1);
    for number in 1..=2 {
        let header = bench.header(number, true, 9000);
        bench.ask(1, token, header);
    }
    bench.take();
    bench.lose_home(None);
    bench.pass_ms(100);
    let wanted = bench.take();
    assert!(matches!(
        wanted.finals(request(2))[..],
        [Told::OutcomeUnknown(..)]
    ));
}

/// The lease ran out while the control thread hung; the snapshot still shows
/// it. An answer frees a slot, and the waiting request must not be sent: the
/// next home may be running it already.
#[test]
fn nothing_is_sent_after_the_end_of_the_lease() {
    let mut bench = Bench::new(1, 1);
    let token = bench.open(1);
    for number in 1..=2 {
        let header = bench.header(number, false, 9000);
        bench.ask(1, token, header);
    }
    let first = bench.take().runs()[0].clone();
    bench.hold_until(bench.now.after(time::Duration::from_millis(300)));
    bench.now = bench.now.after(time::Duration::from_millis(400));
    bench.answer(1, &first);
    assert!(bench.take().runs().is_empty());
}

/// A caller (or someone who means harm) sends requests with a deadline a year
/// away. Each is refused, but the record of the refusal stayed for a year, so
/// that the table filled and every honest request got "outcome unknown".
#[test]
fn far_deadlines_do_not_fill_the_table() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    for number in 0..100 {
        let header = bench.header(number, true, 31_536_000_000);
        bench.ask(1, token, header);
    }
    let wanted = bench.take();
    assert!(wanted.runs().is_empty());
    bench.pass_ms(30_000);
    assert_eq!(bench.engine.remembered_requests().len(), 0);
    assert_eq!(wanted.count(Counter::RequestDispatched), 0);
}

/// A server sheds the request of an established flow. The request did not run,
/// and its flow cannot move to another server: a pause later there may be a
/// slot. Only once the retry budget is spent is the caller told to come back.
#[test]
fn a_shed_request_is_sent_again_to_its_server() {
    let mut bench = Bench::new(2, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 5000);
    bench.ask(1, token, header);
    let first = bench.take().runs()[0].clone();
    bench.shed(1, &first);
    assert!(bench.take().finals(request(1)).is_empty());
    bench.pass_ms(1000);
    let wanted = bench.take();
    let [second] = wanted.runs()[..] else {
        panic!("not sent again: {wanted:?}");
    };
    assert_eq!(second.backend, first.backend);
    assert_eq!(second.request.unwrap().attempt, AttemptNumber(1));
    // A late copy of the first attempt's fate says nothing about the second.
    bench.shed(1, &first);
    let second = second.clone();
    bench.answer(1, &second);
    let wanted = bench.take();
    assert!(wanted.finals(request(1)).is_empty(), "{wanted:?}");
    assert_eq!(wanted.count(Counter::RequestAnswered), 1);
}

/// A download of thirty parts is answered whole, but not kept. The caller lost
/// a part and sends the request again. It is idempotent: it may run again, as
/// an attempt of its own, so that parts of two runs are never mixed.
#[test]
fn a_lost_part_of_an_answer_not_kept_runs_an_idempotent_request_again() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    for idempotent in [true, false] {
        let number = u64::from(idempotent);
        let header = bench.header(number, idempotent, 5000);
        bench.ask(1, token, header);
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
        bench.ask(1, token, header);
        let wanted = bench.take();
        if idempotent {
            let again = wanted.runs()[0].request.unwrap();
            assert_eq!(again.attempt, AttemptNumber(1));
        } else {
            assert!(wanted.runs().is_empty());
            assert!(matches!(
                wanted.finals(header.id)[..],
                [Told::OutcomeUnknown(..)]
            ));
        }
    }
}

/// Guards against a caller of a new home that comes back too early, so that its next request
/// ends with an unknown outcome as well.
#[test]
fn a_caller_of_a_new_home_is_told_when_the_home_will_know() {
    let mut bench = Bench::new(1, 2);
    bench.pass_ms(1000);
    bench.records_since = bench.now;
    bench.renew();
    let token = bench.open(1);
    let header = bench.header(1, false, 4000);
    bench.ask(1, token, header);
    let wanted = bench.take();
    let [Told::OutcomeUnknown(_, after)] = wanted.finals(request(1))[..] else {
        panic!("{wanted:?}");
    };
    let after = *after;
    bench.pass(after);
    let header = bench.header(2, false, 4000);
    bench.ask(1, token, header);
    assert_eq!(
        bench.take().runs().len(),
        1,
        "told to come back after {after:?}"
    );
}

/// Guards against a caller that waits until its deadline because the one datagram to the
/// server was lost, and its copies are taken for copies of a request that runs.
#[test]
fn a_request_that_the_server_does_not_work_on_is_given_up_at_once() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(7, false, 9000);
    bench.ask(1, token, header);
    bench.take();
    bench.pass_ms(500);
    assert_eq!(bench.take().finals(request(7)), Vec::<&Told>::new());
    report(&mut bench, 0);
    bench.pass_ms(100);
    let wanted = bench.take();
    let [Told::OutcomeUnknown(_, after)] = wanted.finals(request(7))[..] else {
        panic!("{wanted:?}");
    };
    assert!(*after > time::Duration::ZERO);
    bench.ask(1, token, header);
    let wanted = bench.take();
    assert!(wanted.runs().is_empty());
    assert!(matches!(
        wanted.finals(request(7))[..],
        [Told::OutcomeUnknown(..)]
    ));
}

/// A long export runs for one and a half seconds where the server usually takes fifty
/// milliseconds. Its server counts it in every report. It must not be given up,
/// or the caller would be told that the outcome is unknown of a request that is
/// well under way.
#[test]
fn a_long_request_that_the_server_counts_is_not_given_up() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(7, false, 9000);
    bench.ask(1, token, header);
    let sent = bench.take().runs()[0].clone();
    for number in 8..10 {
        bench.pass_ms(500);
        report(&mut bench, 1);
        bench.pass_ms(100);
        // The server answers others meanwhile, so that it is not stuck.
        let header = bench.header(number, false, 9000);
        bench.ask(1, token, header);
        let other = bench.take().runs()[0].clone();
        bench.answer(1, &other);
    }
    bench.pass_ms(300);
    assert_eq!(bench.take().finals(request(7)), Vec::<&Told>::new());
    bench.answer(1, &sent);
    assert_eq!(bench.take().count(Counter::RequestAnswered), 1);
}

/// Guards against a request being given up for taking a little longer than the first one
/// that its server ever answered here, before any load report speaks of either.
#[test]
fn a_request_that_takes_as_long_as_the_one_beside_it_is_not_given_up() {
    let mut bench = Bench::new(1, 2);
    let tokens = [1, 2].map(|number| bench.open(number));
    for (number, token) in (1..).zip(tokens) {
        let header = bench.header(number.into(), false, 5500);
        bench.ask(number, token, header);
    }
    let sent: Vec<_> = bench.take().runs().into_iter().cloned().collect();
    bench.pass_ms(1000);
    bench.answer(1, &sent[0]);
    bench.pass_ms(50);
    assert_eq!(bench.take().finals(request(2)), Vec::<&Told>::new());
    bench.answer(2, &sent[1]);
    assert_eq!(bench.take().count(Counter::RequestAnswered), 1);
}

/// Guards against a late answer that is lost because its request was given up, and against
/// a slot that it leaves taken.
#[test]
fn a_late_answer_of_a_request_given_up_reaches_the_caller() {
    let mut bench = Bench::new(1, 1);
    let token = bench.open(1);
    let header = bench.header(7, false, 9000);
    bench.ask(1, token, header);
    let sent = bench.take().runs()[0].clone();
    bench.pass_ms(500);
    report(&mut bench, 0);
    bench.pass_ms(100);
    assert_eq!(bench.take().finals(request(7)).len(), 1);
    for _ in 0..2 {
        bench.answer(1, &sent);
        let wanted = bench.take();
        let answered = |told: &Told| matches!(told, Told::Answer(of, ..) if *of == request(7));
        assert!(wanted.told.iter().any(|(_, told)| answered(told)));
    }
    bench.ask(1, token, header);
    let wanted = bench.take();
    assert!(matches!(wanted.told[..], [(_, Told::Answer(..))]));
    bench.pass_ms(9000);
    assert_eq!(bench.take().finals(request(7)), Vec::<&Told>::new());
}

/// A server that has sent no answer when its home first asks it, and a request on it that
/// ran for a second.
fn ask_counted_server(bench: &mut Bench) -> Sent {
    report_answers(bench, 0, Some(0));
    bench.pass_ms(100);
    let token = bench.open(1);
    let header = bench.header(7, false, 9000);
    bench.ask(1, token, header);
    let sent = bench.take().runs()[0].clone();
    bench.pass_ms(1000);
    sent
}

/// Guards against a request being given up although its answer is on its way, because the
/// load report that was asked for meanwhile does not count it any more.
#[test]
fn a_request_whose_answer_is_on_its_way_is_not_given_up() {
    let mut bench = Bench::new(1, 2);
    let sent = ask_counted_server(&mut bench);
    report_answers(&mut bench, 0, Some(1));
    bench.pass_ms(150);
    assert_eq!(bench.take().finals(request(7)), Vec::<&Told>::new());
    bench.answer(1, &sent);
    bench.pass_ms(1000);
    report_answers(&mut bench, 0, Some(1));
    bench.pass_ms(100);
    let wanted = bench.take();
    assert_eq!(wanted.count(Counter::RequestAnswered), 1);
    assert_eq!(wanted.finals(request(7)), Vec::<&Told>::new());
}

/// Guards against a caller waiting for its deadline where the answer was lost: it is given
/// up at the second report that knows of the answer.
#[test]
fn a_request_whose_answer_does_not_come_until_the_next_report_is_given_up() {
    let mut bench = Bench::new(1, 2);
    ask_counted_server(&mut bench);
    report_answers(&mut bench, 0, Some(1));
    bench.pass_ms(1000);
    assert_eq!(bench.take().finals(request(7)), Vec::<&Told>::new());
    report_answers(&mut bench, 0, Some(1));
    bench.pass_ms(100);
    assert_eq!(bench.take().finals(request(7)).len(), 1);
}

/// Guards against a caller waiting for a second report where the request never reached its
/// server, which the first one shows: it counts neither a run nor an answer.
#[test]
fn a_request_that_its_server_has_neither_run_nor_answered_is_given_up_at_once() {
    let mut bench = Bench::new(1, 2);
    ask_counted_server(&mut bench);
    report_answers(&mut bench, 0, Some(0));
    bench.pass_ms(100);
    assert_eq!(bench.take().finals(request(7)).len(), 1);
}

/// Guards against a request being given up by a report that was made before it was sent and
/// came much later, as where the control thread of its home has no processor time.
#[test]
fn a_request_that_was_sent_after_the_report_was_asked_for_is_not_given_up() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    bench.take();
    let asked = bench.now;
    bench.pass_ms(20);
    let header = bench.header(7, false, 9000);
    bench.ask(1, token, header);
    bench.pass_ms(500);
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
    bench.view(backend, view);
    bench.pass_ms(100);
    assert_eq!(bench.take().finals(request(7)), Vec::<&Told>::new());
}

/// Guards against the count of a server that started again: it begins anew, and the answer
/// of a request that is on its way must not be waited for in vain for ever.
#[test]
fn a_server_that_counts_anew_is_believed_from_then_on() {
    let mut bench = Bench::new(1, 2);
    report_answers(&mut bench, 0, Some(500));
    bench.pass_ms(100);
    ask_counted_server(&mut bench);
    report_answers(&mut bench, 0, Some(0));
    bench.pass_ms(100);
    assert_eq!(bench.take().finals(request(7)).len(), 1);
}

/// The server says now how many slots are busy.
fn report(bench: &mut Bench, busy_slots: u32) {
    report_answers(bench, busy_slots, None);
}

/// The server says now how many slots are busy, and how many answers it has sent.
fn report_answers(bench: &mut Bench, busy_slots: u32, answers: Option<u64>) {
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
    bench.view(backend, view);
}
