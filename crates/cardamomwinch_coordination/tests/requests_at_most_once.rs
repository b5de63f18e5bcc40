//! What the home remembers of requests, and what it may say about them.

#![allow(clippy::unwrap_used, missing_docs)]

mod admission_support;

use std::time;

use admission_support::{Bench, Sent, Told, flow, request, service_address};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::prelude::*;
use yare::parameterized;

/// How far a request has got when its copy comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Queued,
    Running,
    Answered,
    Refused,
    Unknown,
}

fn bring_to(bench: &mut Bench, token: RoutingToken, header: RequestHeader, stage: Stage) {
    if stage == Stage::Queued || stage == Stage::Refused {
        for number in 100..102 {
            let filler = bench.header(number, false, 5000);
            bench.ask(1, token, filler);
        }
    }
    bench.ask(1, token, header);
    let sent = bench.take().runs().last().map(|sent| (*sent).clone());
    match stage {
        Stage::Queued | Stage::Running => {}
        Stage::Answered => bench.answer(1, &sent.unwrap()),
        Stage::Refused => bench.pass_ms(1500),
        Stage::Unknown => {
            let backend = bench.server();
            let kind = BackendReplyKind::UnknownFlow {
                request: Some(header.id),
                attempt: AttemptNumber(0),
            };
            bench.reply(1, backend, kind);
        }
    }
    bench.take();
}

/// Guards against a doubled datagram that runs twice, or is told something else than the
/// first copy, wherever that one has got.
#[parameterized(
    queued = { Stage::Queued },
    running = { Stage::Running },
    answered = { Stage::Answered },
    refused = { Stage::Refused },
    unknown = { Stage::Unknown },
)]
fn a_copy_never_runs(stage: Stage) {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 8000);
    bring_to(&mut bench, token, header, stage);
    bench.ask(1, token, header);
    let wanted = bench.take();
    assert!(wanted.runs().is_empty(), "ran twice: {wanted:?}");
    let words: Vec<&Told> = wanted.told.iter().map(|(_, told)| told).collect();
    match stage {
        Stage::Queued | Stage::Running => assert!(words.is_empty(), "{words:?}"),
        Stage::Answered => assert!(matches!(words[..], [Told::Answer(..)]), "{words:?}"),
        Stage::Refused => assert!(matches!(words[..], [Told::NotRun(..)]), "{words:?}"),
        Stage::Unknown => assert!(matches!(words[..], [Told::OutcomeUnknown(..)]), "{words:?}"),
    }
}

/// A copy comes in the last instant in which it would be accepted. The record
/// must still be there: it outlives the deadline by the skew of the clocks.
#[test]
fn a_record_outlives_every_copy_that_is_accepted() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 2000);
    bench.ask(1, token, header);
    let sent = bench.take().runs()[0].clone();
    bench.answer(1, &sent);
    bench.pass_ms(1999);
    bench.ask(1, token, header);
    assert!(bench.take().runs().is_empty());
    bench.pass_ms(100);
    bench.ask(1, token, header);
    assert!(bench.take().runs().is_empty());
    bench.pass_ms(2000);
    assert_eq!(bench.engine.remembered_requests().len(), 0);
    bench.ask(1, token, header);
    let wanted = bench.take();
    assert!(wanted.runs().is_empty());
    assert_eq!(wanted.count(Counter::RequestLate), 1);
}

/// A query is sent, no answer comes in time, and it is sent again; the server
/// sheds the second attempt, and no retry is left. The first attempt may have
/// run, so that "not run" would be a lie.
#[test]
fn a_request_that_may_have_run_is_never_called_not_run() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(1, true, 9000);
    bench.ask(1, token, header);
    bench.take();
    bench.pass_ms(800);
    let second = bench.take().runs()[0].clone();
    assert_eq!(second.request.unwrap().attempt, AttemptNumber(1));
    let mut next = Some(second);
    let mut finals = Vec::new();
    for _ in 0..10 {
        let Some(sent) = next else { break };
        bench.shed(1, &sent);
        bench.pass_ms(1200);
        let wanted = bench.take();
        finals.extend(wanted.finals(request(1)).into_iter().cloned());
        next = wanted.runs().first().map(|sent| (*sent).clone());
    }
    assert!(
        matches!(finals[..], [Told::OutcomeUnknown(..)]),
        "{finals:?}"
    );
}

/// An idempotent download was answered but not kept; its caller sends it again
/// while every slot and the queue are full. It has run before, so that it must
/// not be refused as "not run".
#[test]
fn a_repeated_download_is_never_called_not_run() {
    let mut bench = Bench::new(1, 1);
    let token = bench.open(1);
    let header = bench.header(1, true, 9000);
    bench.ask(1, token, header);
    let sent = bench.take().runs()[0].clone();
    for index in 0..30 {
        let part = PartNumber { index, total: 30 };
        bench.reply(1, sent.backend, part_of(&sent, part));
    }
    for number in 2..40 {
        let filler = bench.header(number, false, 9000);
        bench.ask(1, token, filler);
    }
    bench.take();
    bench.ask(1, token, header);
    let wanted = bench.take();
    assert!(
        matches!(wanted.finals(request(1))[..], [Told::OutcomeUnknown(..)]),
        "{wanted:?}"
    );
}

fn part_of(sent: &Sent, part: PartNumber) -> BackendReplyKind<'static> {
    let held = sent.request.unwrap();
    BackendReplyKind::Answer {
        request: held.id,
        attempt: held.attempt,
        part,
        payload: b"part",
    }
}

/// A datagram to the server is doubled on its way: the server runs one copy and
/// sheds the other. Once a part of the answer has come, the shed must count for
/// nothing: another run would be the second.
#[test]
fn a_shed_copy_of_a_running_request_counts_for_nothing() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 5000);
    bench.ask(1, token, header);
    let sent = bench.take().runs()[0].clone();
    bench.reply(
        1,
        sent.backend,
        part_of(&sent, PartNumber { index: 0, total: 2 }),
    );
    bench.shed(1, &sent);
    bench.pass_ms(1000);
    let wanted = bench.take();
    assert!(wanted.runs().is_empty());
    assert!(wanted.finals(request(1)).is_empty());
    bench.reply(
        1,
        sent.backend,
        part_of(&sent, PartNumber { index: 1, total: 2 }),
    );
    assert_eq!(bench.take().count(Counter::RequestAnswered), 1);
}

/// The same, but the answer comes while the shed copy's request waits for its
/// next attempt. It has run: the next attempt must not be made.
#[test]
fn an_answer_to_an_attempt_taken_for_shed_stops_the_next() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 5000);
    bench.ask(1, token, header);
    let sent = bench.take().runs()[0].clone();
    bench.shed(1, &sent);
    bench.answer(1, &sent);
    bench.pass_ms(1000);
    let wanted = bench.take();
    assert!(wanted.runs().is_empty());
    assert_eq!(wanted.count(Counter::RequestAnswered), 1);
}

/// A request is given up at its deadline, and its answer comes later, twice.
/// The slot was freed once; were it freed again, the home would send more than
/// the server has slots for.
#[test]
fn a_late_answer_frees_no_second_slot() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 300);
    bench.ask(1, token, header);
    let late = bench.take().runs()[0].clone();
    bench.pass_ms(1000);
    for number in 2..4 {
        let header = bench.header(number, false, 5000);
        bench.ask(1, token, header);
    }
    assert_eq!(bench.take().runs().len(), 2);
    bench.answer(1, &late);
    bench.answer(1, &late);
    let header = bench.header(9, false, 5000);
    bench.ask(1, token, header);
    assert!(bench.take().runs().is_empty());
    let ledger = bench.engine.ledgers().get(late.backend).unwrap();
    assert_eq!(ledger.busy(), 2);
}

/// The table of requests is full. A request that cannot be remembered cannot be
/// promised "not run", since a copy of it may run later; it gets "outcome
/// unknown", is not sent, and the table stays within its bound.
#[test]
fn a_full_table_refuses_nothing_falsely() {
    let bounds = TrafficBounds {
        request_records: 4,
        ..TrafficBounds::default()
    };
    let mut bench = Bench::with_bounds(1, 100, bounds);
    let token = bench.open(1);
    for number in 0..4 {
        let header = bench.header(number, false, 5000);
        bench.ask(1, token, header);
    }
    assert_eq!(bench.take().runs().len(), 4);
    let header = bench.header(9, false, 5000);
    bench.ask(1, token, header);
    let wanted = bench.take();
    assert!(wanted.runs().is_empty());
    assert!(matches!(
        wanted.finals(request(9))[..],
        [Told::OutcomeUnknown(..)]
    ));
    assert_eq!(bench.engine.remembered_requests().len(), 4);
}

/// Requests of every fate come and go: answered, shed, refused, expired,
/// cancelled. If any way left its bytes counted, the host would slowly lose its
/// memory bound and then keep no answer any more.
#[test]
fn held_bytes_return_to_nothing() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    for round in 0..20_u64 {
        for index in 0..10 {
            let number = round * 10 + index;
            let header = bench.header(number, index % 2 == 0, 400 + 100 * index);
            bench.ask(1, token, header);
        }
        let runs: Vec<Sent> = bench.take().runs().into_iter().cloned().collect();
        for (position, sent) in runs.iter().enumerate() {
            match (position + round as usize) % 3 {
                0 => bench.answer(1, sent),
                1 => bench.shed(1, sent),
                _ => {}
            }
        }
        bench.pass_ms(150);
        let counted = bench.engine.remembered_requests();
        let summed: usize = counted
            .iter()
            .map(|(_, record)| record.state.held_bytes())
            .sum();
        assert_eq!(counted.held_bytes(), summed);
    }
    bench.pass(time::Duration::from_secs(15));
    assert_eq!(bench.engine.remembered_requests().held_bytes(), 0);
    assert_eq!(bench.engine.remembered_requests().len(), 0);
    assert_eq!(
        bench.engine.ledgers().get(bench.server()).unwrap().busy(),
        0
    );
}

/// A new flow opens with a request while every slot and the queue are taken.
/// The caller is told that its request did not run, and that its flow is open
/// once the server says so. The server must have heard of the flow: else the caller's next packet
/// finds it unknown there, and the session breaks.
#[test]
fn a_flow_whose_first_request_is_refused_is_still_opened() {
    let mut bench = Bench::new(1, 1);
    for number in 10..20 {
        let filler = bench.header(1, false, 9000);
        let token = bench.open(number);
        bench.ask(number, token, filler);
    }
    bench.take();
    let header = bench.header(1, false, 5000);
    bench.caller(CallerDatagram::open(flow(2), b"first").with_request(header));
    bench.opened(2);
    let wanted = bench.take();
    let of_flow: Vec<&Told> = wanted
        .told
        .iter()
        .filter(|(of, _)| *of == flow(2))
        .map(|(_, told)| told)
        .collect();
    assert!(
        matches!(of_flow[..], [Told::NotRun(..), Told::Opened(_)]),
        "{of_flow:?}"
    );
    let opened: Vec<&Sent> = wanted
        .sent
        .iter()
        .filter(|sent| sent.flow == flow(2))
        .collect();
    assert_eq!(opened.len(), 1);
    assert_eq!(opened[0].kind, BackendKind::Open);
    assert_eq!(opened[0].request, None);
    assert_eq!(opened[0].flow.service, service_address());
}
