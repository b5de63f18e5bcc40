//! Requests that wait or run while their home moves in a planned hand-over.

#![allow(clippy::unwrap_used, missing_docs)]

mod admission_support;

use std::time;

use admission_support::{CallerMessage, EngineBench, SentDatagram, flow, host, request};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::snapshot::{BackendView, ReportedLoad};
use cardamomwinch_coordination::traffic;
use cardamomwinch_protocol::peer::homes::HandOverId;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use yare::parameterized;

const FROZEN_FOR: time::Duration = time::Duration::from_millis(200);

/// A home with one request running and one waiting, and the next home.
fn before_hand_over() -> (EngineBench, EngineBench, SentDatagram) {
    let mut first = EngineBench::new(1, 1);
    let token = first.open(1);
    for number in 1..=2 {
        let header = first.header(number, false, 9000);
        first.send_request(1, token, header);
    }
    let running = first.take().runs()[0].clone();
    let mut second = EngineBench::of_host("muc-nord-2", 1, 1, TrafficBounds::default());
    second.lose_home(Some(host("muc-nord-1")));
    (first, second, running)
}

/// A request of flow 1 that another host has relayed `hops` times.
fn relayed(bench: &EngineBench, header: RequestHeader, hops: u8) -> RelayEnvelope<'static> {
    RelayEnvelope {
        sender: host("muc-nord-2"),
        version: ConfigurationVersion::new(1),
        frame: RelayFrame::Caller {
            datagram: CallerDatagram::carry(flow(1), None, b"payload").with_request(header),
            decided: Some(TokenClaim::from(&bench.servers[0])),
            search: None,
            shard: bench.home_shard(),
            hops,
        },
    }
}

/// The first home freezes the shard and exports its state, which the second imports.
fn hand_over(first: &mut EngineBench, second: &mut EngineBench) {
    let hand_over = HandOverId {
        shard: first.home_shard(),
        begun: first.now,
    };
    let frozen_until = first.now.after(FROZEN_FOR);
    first.handle(TrafficEvent::ReleaseShard {
        hand_over,
        frozen_until,
    });
    for chunk in first.take().chunks {
        second.handle(TrafficEvent::TakeOver { chunk: &chunk });
    }
    second.take();
}

/// Guards against a waiting request that the next home sends or answers before it has the
/// lease, or that is sent twice.
#[test]
fn a_waiting_request_runs_once_at_the_next_home() {
    let (mut first, mut second, running) = before_hand_over();
    hand_over(&mut first, &mut second);
    second.advance_ms(150);
    let output = second.take();
    assert!(
        output.to_callers.is_empty() && output.sent.is_empty(),
        "{output:?}"
    );
    assert!(output.relayed.is_empty(), "{output:?}");
    first.advance_ms(150);
    let shard = first.home_shard();
    first.handle(TrafficEvent::ForgetShard { shard });
    first.lose_home(Some(host("muc-nord-2")));
    first.advance_ms(3000);
    let output = first.take();
    assert!(
        output.to_callers.is_empty() && output.sent.is_empty(),
        "{output:?}"
    );
    second.renews_lease = true;
    second.renew();
    second.advance_ms(100);
    assert!(second.take().runs().is_empty(), "the slot is still taken");
    second.answer(1, &running);
    let output = second.take();
    assert_eq!(output.count(Counter::RequestAnswered), 1);
    let [sent] = output.runs()[..] else {
        panic!("not sent: {output:?}");
    };
    assert_eq!(sent.request.unwrap().id, request(2));
}

/// The hand-over is aborted: the lease never reaches the host that imported the requests.
/// It must forget them without a reply, and the first home must continue, or the caller
/// would get replies about one request from two homes.
#[test]
fn an_aborted_hand_over_leaves_requests_with_the_first_home() {
    let (mut first, mut second, running) = before_hand_over();
    hand_over(&mut first, &mut second);
    second.advance_ms(9500);
    let output = second.take();
    assert!(
        output.to_callers.is_empty() && output.sent.is_empty(),
        "{output:?}"
    );
    assert!(output.relayed.is_empty(), "{output:?}");
    first.advance_ms(100);
    first.answer(1, &running);
    let held_back = first.take();
    assert!(held_back.runs().is_empty(), "frozen: {held_back:?}");
    first.advance_ms(300);
    let output = first.take();
    let [sent] = output.runs()[..] else {
        panic!("not sent: {output:?}");
    };
    assert_eq!(sent.request.unwrap().id, request(2));
    assert!(!output.to_callers.iter().any(|(_, message)| matches!(
        message,
        CallerMessage::NotRun(..) | CallerMessage::OutcomeUnknown(..)
    )));
}

/// Guards against a request that is handed over shortly after it was sent being given up
/// when the server answers another one.
#[test]
fn a_request_handed_over_soon_after_it_was_sent_is_not_given_up_after_another_answer() {
    let mut first = EngineBench::new(1, 2);
    let tokens = [1, 2].map(|number| first.open(number));
    for (number, token) in (1..).zip(tokens) {
        let header = first.header(number.into(), false, 5500);
        first.send_request(number, token, header);
    }
    let sent: Vec<_> = first.take().runs().into_iter().cloned().collect();
    let mut second = EngineBench::of_host("muc-nord-2", 1, 2, TrafficBounds::default());
    second.lose_home(Some(host("muc-nord-1")));
    first.advance_ms(60);
    second.advance_ms(60);
    hand_over(&mut first, &mut second);
    second.renews_lease = true;
    second.advance_ms(100);
    let backend = second.server();
    second.set_view(
        backend,
        BackendView {
            report: Some(ReportedLoad {
                asked: second.now,
                made: second.now,
                busy_slots: 2,
                answers: None,
            }),
            ..BackendView::default()
        },
    );
    second.advance_ms(840);
    second.answer(1, &sent[0]);
    second.advance_ms(50);
    assert_eq!(
        second.take().final_replies(request(2)),
        Vec::<&CallerMessage>::new()
    );
    second.answer(2, &sent[1]);
    assert_eq!(second.take().count(Counter::RequestAnswered), 1);
}

/// Guards against a request that is relayed back and forth while a home moves: the old
/// home has released the shard and considers the new host the home; the new host has no
/// lease yet and considers the old host the home. Relayed 18 times within 3 milliseconds,
/// the request would use up its hops and get "outcome unknown", although nothing had
/// failed and a copy sent later would run.
#[test]
fn a_request_that_comes_back_while_the_home_changes_is_left_to_its_next_copy() {
    let (mut first, mut second, _) = before_hand_over();
    hand_over(&mut first, &mut second);
    let shard = first.home_shard();
    first.handle(TrafficEvent::ForgetShard { shard });
    first.lose_home(Some(host("muc-nord-2")));
    first.take();
    let header = first.header(3, false, 9000);
    let mut seen_by = [0, 0];
    for turn in 0..=traffic::HOP_LIMIT {
        let mut envelope = relayed(&first, header, turn);
        let bench = if turn % 2 == 0 {
            &mut first
        } else {
            &mut second
        };
        seen_by[usize::from(turn % 2)] += 1;
        envelope.sender = host(if turn % 2 == 0 {
            "muc-nord-2"
        } else {
            "muc-nord-1"
        });
        bench.handle(TrafficEvent::Relay(envelope));
        let output = bench.take();
        assert!(output.to_callers.is_empty(), "{turn}: {output:?}");
        if output.relayed.is_empty() {
            break;
        }
    }
    assert!(seen_by[0] <= 2, "sent to and fro {seen_by:?} times");
}

/// Guards against requests that end while a host is added: the new host has the host list
/// but has no contact to the other hosts yet; or it and an old host consider each other
/// the home of a shard while a third host holds the lease. The request would get "outcome
/// unknown" within a millisecond although its home is up, while the next copy, 200 ms
/// later, would run.
#[parameterized(
    knows_nobody = { None, 0 },
    to_and_fro = { Some("muc-nord-2"), traffic::HOP_LIMIT },
)]
fn a_request_at_a_host_with_a_new_list_of_hosts_is_left_to_its_next_copy(
    home: Option<&str>,
    hops: u8,
) {
    let mut bench = EngineBench::new(1, 1);
    bench.lose_home(home.map(host));
    let bring = |bench: &mut EngineBench, number: u64| {
        let envelope = relayed(bench, bench.header(number, false, 9000), hops);
        bench.handle(TrafficEvent::Relay(envelope));
        bench.take()
    };
    bench.snapshot.hosts_since = bench.now;
    let lease = bench.snapshot.configuration.limits.home_lease;
    bench.advance(lease / 2);
    let early = bring(&mut bench, 1);
    assert!(early.to_callers.is_empty(), "{early:?}");
    assert_eq!(early.count(Counter::FrozenDropped), 1);
    // If there is no home for longer, the reply is sent at once instead of none.
    bench.advance(lease);
    let late = bring(&mut bench, 2);
    let final_replies = late.final_replies(request(2));
    assert!(
        matches!(final_replies[..], [CallerMessage::OutcomeUnknown(..)]),
        "{late:?}"
    );
}

/// Guards against a request that is relayed back and forth after the home had no processor
/// time for a short time: the home relays it to a relay peer, which relays it back to the
/// home. Its hops would be used up and the caller would get "outcome unknown" within 2
/// milliseconds, although the home works again. A datagram that comes back is dropped, and
/// the next copy is served.
#[test]
fn a_request_that_comes_back_to_a_home_after_a_pause_is_left_to_its_next_copy() {
    let mut bench = EngineBench::new(1, 1);
    bench.snapshot.relay_peers = vec![host("muc-nord-2")];
    let header = bench.header(1, false, 9000);
    bench.snapshot.fresh_until = Timestamp::ZERO;
    let first = relayed(&bench, header, 1);
    bench.handle(TrafficEvent::Relay(first));
    assert_eq!(
        bench.take().relayed,
        [(host("muc-nord-2"), Some(header.id))]
    );
    let back = relayed(&bench, header, 3);
    bench.handle(TrafficEvent::Relay(back));
    let output = bench.take();
    assert!(
        output.relayed.is_empty() && output.to_callers.is_empty(),
        "{output:?}"
    );
    assert_eq!(output.count(Counter::Unconfirmed), 1);
}
