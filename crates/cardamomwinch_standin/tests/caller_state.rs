//! The counters of a caller must show each fault, because other tests rely on
//! them to detect faults.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time;

use cardamomwinch_protocol::prelude::*;
use cardamomwinch_standin::caller_state::{CallerCounters, CallerState, NoticeSummary};
use cardamomwinch_standin::fabric;
use cardamomwinch_standin::prelude::*;
use cardamomwinch_state::prelude::*;
use support::{TIMEOUT, any, service};
use yare::parameterized;

const REQUEST: RequestId = RequestId::new(1);

fn answer(index: u32, payload: &[u8]) -> CallerReplyKind<'_> {
    let part = PartNumber { index, total: 2 };
    let request = REQUEST;
    CallerReplyKind::Answer {
        request,
        attempt: AttemptNumber::default(),
        part,
        payload,
    }
}

fn not_run() -> CallerReplyKind<'static> {
    CallerReplyKind::NotRun {
        request: Some(REQUEST),
        reason: RefusalReason::Full,
        retry_after: time::Duration::ZERO,
    }
}

fn unknown() -> CallerReplyKind<'static> {
    CallerReplyKind::OutcomeUnknown {
        request: REQUEST,
        retry_after: time::Duration::ZERO,
    }
}

fn flow() -> FlowKey {
    FlowKey {
        caller: any(),
        service: service(),
    }
}

fn after(kinds: &[CallerReplyKind<'_>]) -> CallerState {
    let mut state = CallerState::default();
    state.track(REQUEST);
    for kind in kinds {
        let (flow, kind) = (flow(), *kind);
        state.handle(&CallerReply { flow, kind });
    }
    state
}

#[parameterized(
    whole = {&[answer(1, b"b"), answer(0, b"a")], CallerCounters::default()},
    repeated = {
        &[answer(0, b"a"), answer(1, b"b"), answer(0, b"a"), answer(1, b"b")],
        CallerCounters { duplicate_parts: 2, duplicate_answers: 1, ..CallerCounters::default() },
    },
    conflicting = {
        &[answer(0, b"a"), answer(1, b"b"), answer(1, b"c")],
        CallerCounters { conflicting_parts: 1, ..CallerCounters::default() },
    },
    refused_after_answer = {
        &[answer(0, b"a"), answer(1, b"b"), not_run(), not_run()],
        CallerCounters { contradictions: 1, ..CallerCounters::default() },
    },
)]
fn an_answer_is_stored_once_and_faults_are_counted(
    kinds: &[CallerReplyKind<'_>],
    counters: CallerCounters,
) {
    let state = after(kinds);
    let payload = b"ab".to_vec();
    assert_eq!(
        state.outcome(REQUEST),
        Some(RequestOutcome::Answered { payload })
    );
    assert_eq!(state.counters, counters);
}

#[test]
fn an_answer_after_not_run_is_a_contradiction() {
    let state = after(&[not_run(), answer(0, b"a"), answer(1, b"b")]);
    assert!(matches!(
        state.outcome(REQUEST),
        Some(RequestOutcome::NotRun { .. })
    ));
    assert_eq!(state.counters.contradictions, 1);
}

#[test]
fn an_answer_after_outcome_unknown_is_only_late() {
    let state = after(&[unknown(), answer(0, b"a"), answer(1, b"b")]);
    assert_eq!(state.counters.late_answers, 1);
    assert_eq!(state.counters.contradictions, 0);
}

#[test]
fn missing_and_repeated_notices_are_counted() {
    let notice = |sequence| CallerReplyKind::Notice {
        sequence,
        payload: b"",
    };
    let state = after(&[notice(1), notice(4), notice(2), notice(4)]);
    let summary = NoticeSummary {
        received: 3,
        duplicates: 1,
        highest: 4,
        missing: 1,
    };
    assert_eq!(state.notices(), summary);
}

#[parameterized(echoing = {true}, silent = {false})]
fn a_caller_echoes_the_first_token_or_none(echoes_token: bool) {
    support::run(async |executor| {
        let (host, address) = fabric::bind_datagrams(any()).await.unwrap();
        let mut settings = CallerSettings::new(address, service());
        settings.echoes_token = echoes_token;
        let client = CallerClient::bind(&executor, settings).await.unwrap();
        let keys = AuthenticationKeys::new(SecretKey::new([7; 32]), None);
        let issuer = TokenIssuer::new(keys);
        let flow = client.flow();
        let first = issuer.issue(&flow, support::claim(BackendId::new(1)));
        let opened = async {
            let mut buffer = [0; codec::DATAGRAM_LIMIT];
            host.recv_from(&mut buffer).await.unwrap();
            for token in [
                first,
                issuer.issue(&flow, support::claim(BackendId::new(2))),
            ] {
                let kind = CallerReplyKind::Opened { token };
                support::send(&host, flow.caller, &CallerReply { flow, kind }).await;
            }
        };
        let (outcome, ()) = futures_lite::future::zip(client.open(b"", TIMEOUT), opened).await;
        assert_eq!(outcome.unwrap(), OpenOutcome::Opened);
        client.close().await.unwrap();
        let mut buffer = [0; codec::DATAGRAM_LIMIT];
        loop {
            let (length, _) = host.recv_from(&mut buffer).await.unwrap();
            let datagram: CallerDatagram<'_> = codec::decode(&buffer[..length]).unwrap();
            assert_eq!(datagram.echoes_token, echoes_token);
            if datagram.kind == CallerKind::Close {
                assert_eq!(datagram.token, echoes_token.then_some(first));
                break;
            }
            assert_eq!(datagram.token, None);
        }
    });
}

/// Guards against a caller that joins part 0 of one run and part 1 of another into
/// an answer. An idempotent request runs twice when a host retries it because its
/// answer is late, and both runs answer.
#[test]
fn parts_of_two_attempts_are_not_mixed() {
    let mut state = CallerState::default();
    state.track(REQUEST);
    let second = |index, payload| CallerReplyKind::Answer {
        request: REQUEST,
        attempt: AttemptNumber(1),
        part: PartNumber { index, total: 2 },
        payload,
    };
    for kind in [answer(0, b"first-"), second(1, b"-second")] {
        state.handle(&CallerReply { flow: flow(), kind });
    }
    assert_eq!(state.outcome(REQUEST), None);
    let kind = second(0, b"second-");
    state.handle(&CallerReply { flow: flow(), kind });
    let payload = b"second--second".to_vec();
    assert_eq!(
        state.outcome(REQUEST),
        Some(RequestOutcome::Answered { payload })
    );
}
