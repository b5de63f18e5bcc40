//! Which requests the home remembers, and what it may reply about them.

#![allow(clippy::unwrap_used, missing_docs)]

mod admission_support;

use std::time;

use admission_support::{CallerMessage, EngineBench, SentDatagram, flow, request, service_address};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::prelude::*;
use yare::parameterized;

/// The state of a request when its copy arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Queued,
    Running,
    Answered,
    Refused,
    Unknown,
}

fn advance_to_stage(
    bench: &mut EngineBench,
    token: RoutingToken,
    header: RequestHeader,
    stage: Stage,
) {
    if stage == Stage::Queued || stage == Stage::Refused {
        for number in 100..102 {
            let filler = bench.header(number, false, 5000);
            bench.send_request(1, token, filler);
        }
    }
    bench.send_request(1, token, header);
    let sent = bench.take().runs().last().map(|sent| (*sent).clone());
    match stage {
        Stage::Queued | Stage::Running => {}
        Stage::Answered => bench.answer(1, &sent.unwrap()),
        Stage::Refused => bench.advance_ms(1500),
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

/// Guards against a duplicated datagram that runs twice, or gets another reply than the
/// first copy, in every state of the request.
#[parameterized(
    queued = { Stage::Queued },
    running = { Stage::Running },
    answered = { Stage::Answered },
    refused = { Stage::Refused },
    unknown = { Stage::Unknown },
)]
fn a_copy_never_runs(stage: Stage) {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 8000);
    advance_to_stage(&mut bench, token, header, stage);
    bench.send_request(1, token, header);
    let output = bench.take();
    assert!(output.runs().is_empty(), "ran twice: {output:?}");
    let messages: Vec<&CallerMessage> = output
        .to_callers
        .iter()
        .map(|(_, message)| message)
        .collect();
    match stage {
        Stage::Queued | Stage::Running => assert!(messages.is_empty(), "{messages:?}"),
        Stage::Answered => assert!(
            matches!(messages[..], [CallerMessage::Answer(..)]),
            "{messages:?}"
        ),
        Stage::Refused => assert!(
            matches!(messages[..], [CallerMessage::NotRun(..)]),
            "{messages:?}"
        ),
        Stage::Unknown => assert!(
            matches!(messages[..], [CallerMessage::OutcomeUnknown(..)]),
            "{messages:?}"
        ),
    }
}

/// Guards against a copy that runs because the record of the request has expired: the
/// record must outlive the deadline by the clock skew, because a copy is accepted until
/// then.
#[test]
fn a_record_outlives_every_copy_that_is_accepted() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 2000);
    bench.send_request(1, token, header);
    let sent = bench.take().runs()[0].clone();
    bench.answer(1, &sent);
    bench.advance_ms(1999);
    bench.send_request(1, token, header);
    assert!(bench.take().runs().is_empty());
    bench.advance_ms(100);
    bench.send_request(1, token, header);
    assert!(bench.take().runs().is_empty());
    bench.advance_ms(2000);
    assert_eq!(bench.engine.remembered_requests().len(), 0);
    bench.send_request(1, token, header);
    let output = bench.take();
    assert!(output.runs().is_empty());
    assert_eq!(output.count(Counter::RequestLate), 1);
}

/// A request gets no answer in time and is sent again; the server sheds the second
/// attempt, and no retry is left. The first attempt may have run, so the reply must not be
/// "not run".
#[test]
fn a_request_that_may_have_run_never_gets_not_run() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(1, true, 9000);
    bench.send_request(1, token, header);
    bench.take();
    bench.advance_ms(800);
    let second = bench.take().runs()[0].clone();
    assert_eq!(second.request.unwrap().attempt, AttemptNumber(1));
    let mut next = Some(second);
    let mut final_replies = Vec::new();
    for _ in 0..10 {
        let Some(sent) = next else { break };
        bench.shed(1, &sent);
        bench.advance_ms(1200);
        let output = bench.take();
        final_replies.extend(output.final_replies(request(1)).into_iter().cloned());
        next = output.runs().first().map(|sent| (*sent).clone());
    }
    assert!(
        matches!(final_replies[..], [CallerMessage::OutcomeUnknown(..)]),
        "{final_replies:?}"
    );
}

/// The answer of an idempotent download was not kept, and its caller repeats the request
/// while every slot and the queue are full. The request has run before, so it must not be
/// refused as "not run".
#[test]
fn a_repeated_download_never_gets_not_run() {
    let mut bench = EngineBench::new(1, 1);
    let token = bench.open(1);
    let header = bench.header(1, true, 9000);
    bench.send_request(1, token, header);
    let sent = bench.take().runs()[0].clone();
    for index in 0..30 {
        let part = PartNumber { index, total: 30 };
        bench.reply(1, sent.backend, part_of(&sent, part));
    }
    for number in 2..40 {
        let filler = bench.header(number, false, 9000);
        bench.send_request(1, token, filler);
    }
    bench.take();
    bench.send_request(1, token, header);
    let output = bench.take();
    assert!(
        matches!(
            output.final_replies(request(1))[..],
            [CallerMessage::OutcomeUnknown(..)]
        ),
        "{output:?}"
    );
}

fn part_of(sent: &SentDatagram, part: PartNumber) -> BackendReplyKind<'static> {
    let held = sent.request.unwrap();
    BackendReplyKind::Answer {
        request: held.id,
        attempt: held.attempt,
        part,
        payload: b"part",
    }
}

/// A datagram to the server is duplicated on its way: the server runs one copy and sheds
/// the other. Once a part of the answer has arrived, the shed must be ignored, or the
/// request would run a second time.
#[test]
fn a_shed_copy_of_a_running_request_is_ignored() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 5000);
    bench.send_request(1, token, header);
    let sent = bench.take().runs()[0].clone();
    bench.reply(
        1,
        sent.backend,
        part_of(&sent, PartNumber { index: 0, total: 2 }),
    );
    bench.shed(1, &sent);
    bench.advance_ms(1000);
    let output = bench.take();
    assert!(output.runs().is_empty());
    assert!(output.final_replies(request(1)).is_empty());
    bench.reply(
        1,
        sent.backend,
        part_of(&sent, PartNumber { index: 1, total: 2 }),
    );
    assert_eq!(bench.take().count(Counter::RequestAnswered), 1);
}

/// A datagram to the server is duplicated on its way, and one copy is shed. The answer to
/// the other arrives while the request waits for its next attempt. The request has run, so
/// the next attempt must not be made.
#[test]
fn an_answer_to_a_shed_attempt_stops_the_next() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 5000);
    bench.send_request(1, token, header);
    let sent = bench.take().runs()[0].clone();
    bench.shed(1, &sent);
    bench.answer(1, &sent);
    bench.advance_ms(1000);
    let output = bench.take();
    assert!(output.runs().is_empty());
    assert_eq!(output.count(Counter::RequestAnswered), 1);
}

/// A request is given up at its deadline, and its answer arrives later, twice. Its slot
/// was freed once; if it were freed again, the home would send more requests than the
/// server has slots.
#[test]
fn a_late_answer_frees_no_second_slot() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 300);
    bench.send_request(1, token, header);
    let late = bench.take().runs()[0].clone();
    bench.advance_ms(1000);
    for number in 2..4 {
        let header = bench.header(number, false, 5000);
        bench.send_request(1, token, header);
    }
    assert_eq!(bench.take().runs().len(), 2);
    bench.answer(1, &late);
    bench.answer(1, &late);
    let header = bench.header(9, false, 5000);
    bench.send_request(1, token, header);
    assert!(bench.take().runs().is_empty());
    let ledger = bench.engine.ledgers().get(late.backend).unwrap();
    assert_eq!(ledger.busy(), 2);
}

/// The table of requests is full. The reply for a request that cannot be remembered must
/// not be "not run", because a copy of it may run later. It gets "outcome unknown", is not
/// sent, and the table stays within its bound.
#[test]
fn a_request_without_room_in_the_table_gets_an_unknown_outcome() {
    let bounds = TrafficBounds {
        request_records: 4,
        ..TrafficBounds::default()
    };
    let mut bench = EngineBench::with_bounds(1, 100, bounds);
    let token = bench.open(1);
    for number in 0..4 {
        let header = bench.header(number, false, 5000);
        bench.send_request(1, token, header);
    }
    assert_eq!(bench.take().runs().len(), 4);
    let header = bench.header(9, false, 5000);
    bench.send_request(1, token, header);
    let output = bench.take();
    assert!(output.runs().is_empty());
    assert!(matches!(
        output.final_replies(request(9))[..],
        [CallerMessage::OutcomeUnknown(..)]
    ));
    assert_eq!(bench.engine.remembered_requests().len(), 4);
}

/// Guards against held bytes that stay counted after a request was answered, shed,
/// refused, expired or cancelled: the count would reach its limit, and answers would no
/// longer be kept.
#[test]
fn held_bytes_return_to_zero() {
    let mut bench = EngineBench::new(1, 2);
    let token = bench.open(1);
    for round in 0..20_u64 {
        for index in 0..10 {
            let number = round * 10 + index;
            let header = bench.header(number, index % 2 == 0, 400 + 100 * index);
            bench.send_request(1, token, header);
        }
        let runs: Vec<SentDatagram> = bench.take().runs().into_iter().cloned().collect();
        for (position, sent) in runs.iter().enumerate() {
            match (position + round as usize) % 3 {
                0 => bench.answer(1, sent),
                1 => bench.shed(1, sent),
                _ => {}
            }
        }
        bench.advance_ms(150);
        let counted = bench.engine.remembered_requests();
        let summed: usize = counted
            .iter()
            .map(|(_, record)| record.state.held_bytes())
            .sum();
        assert_eq!(counted.held_bytes(), summed);
    }
    bench.advance(time::Duration::from_secs(15));
    assert_eq!(bench.engine.remembered_requests().held_bytes(), 0);
    assert_eq!(bench.engine.remembered_requests().len(), 0);
    assert_eq!(
        bench.engine.ledgers().get(bench.server()).unwrap().busy(),
        0
    );
}

/// A new flow opens with a request while every slot and the queue are full. The caller
/// gets "not run" for its request, and its flow is open once the server confirms it. The
/// server must have received the opening, or the caller's next packet would reach an
/// unknown flow and the session would break.
#[test]
fn a_flow_whose_first_request_is_refused_is_still_opened() {
    let mut bench = EngineBench::new(1, 1);
    for number in 10..20 {
        let filler = bench.header(1, false, 9000);
        let token = bench.open(number);
        bench.send_request(number, token, filler);
    }
    bench.take();
    let header = bench.header(1, false, 5000);
    bench.receive(CallerDatagram::open(flow(2), b"first").with_request(header));
    bench.confirm_open(2);
    let output = bench.take();
    let of_flow: Vec<&CallerMessage> = output
        .to_callers
        .iter()
        .filter(|(of, _)| *of == flow(2))
        .map(|(_, message)| message)
        .collect();
    assert!(
        matches!(
            of_flow[..],
            [CallerMessage::NotRun(..), CallerMessage::Opened(_)]
        ),
        "{of_flow:?}"
    );
    let opened: Vec<&SentDatagram> = output
        .sent
        .iter()
        .filter(|sent| sent.flow == flow(2))
        .collect();
    assert_eq!(opened.len(), 1);
    assert_eq!(opened[0].kind, BackendKind::Open);
    assert_eq!(opened[0].request, None);
    assert_eq!(opened[0].flow.service, service_address());
}
