//! Requests that wait or run while their home moves in a planned change.

#![allow(clippy::unwrap_used, missing_docs)]

mod admission_support;

use std::time;

use admission_support::{Bench, Sent, Told, flow, host, request};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::snapshot::{BackendView, ReportedLoad};
use cardamomwinch_coordination::traffic;
use cardamomwinch_protocol::peer::homes::HandOverId;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use yare::parameterized;

const FROZEN_FOR: time::Duration = time::Duration::from_millis(200);

/// A home with one request running and one waiting, and the next home.
fn before_hand_over() -> (Bench, Bench, Sent) {
    let mut first = Bench::new(1, 1);
    let token = first.open(1);
    for number in 1..=2 {
        let header = first.header(number, false, 9000);
        first.ask(1, token, header);
    }
    let running = first.take().runs()[0].clone();
    let mut second = Bench::of_host("muc-nord-2", 1, 1, TrafficBounds::default());
    second.lose_home(Some(host("muc-nord-1")));
    (first, second, running)
}

/// A request of flow 1 that another host has relayed `hops` times.
fn relayed(bench: &Bench, header: RequestHeader, hops: u8) -> RelayEnvelope<'static> {
    RelayEnvelope {
        sender: host("muc-nord-2"),
        version: ConfigurationVersion::new(1),
        frame: RelayFrame::Caller {
            datagram: CallerDatagram::carry(flow(1), None, b"payload").with_request(header),
            decided: Some(TokenClaim::from(&bench.servers[0])),
            search: None,
            shard: bench.home(),
            hops,
        },
    }
}

/// The first home freezes the shard and gives out what it knows, which the
/// second takes in.
fn hand_over(first: &mut Bench, second: &mut Bench) {
    let hand_over = HandOverId {
        shard: first.home(),
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

/// Guards against a waiting request that the next home sends, or speaks of, before it has
/// the lease, or sends twice.
#[test]
fn a_waiting_request_runs_once_at_the_next_home() {
    let (mut first, mut second, running) = before_hand_over();
    hand_over(&mut first, &mut second);
    second.pass_ms(150);
    let wanted = second.take();
    assert!(
        wanted.told.is_empty() && wanted.sent.is_empty(),
        "{wanted:?}"
    );
    assert!(wanted.relayed.is_empty(), "{wanted:?}");
    first.pass_ms(150);
    let shard = first.home();
    first.handle(TrafficEvent::ForgetShard { shard });
    first.lose_home(Some(host("muc-nord-2")));
    first.pass_ms(3000);
    let wanted = first.take();
    assert!(
        wanted.told.is_empty() && wanted.sent.is_empty(),
        "{wanted:?}"
    );
    second.renews_lease = true;
    second.renew();
    second.pass_ms(100);
    assert!(second.take().runs().is_empty(), "the slot is still taken");
    second.answer(1, &running);
    let wanted = second.take();
    assert_eq!(wanted.count(Counter::RequestAnswered), 1);
    let [sent] = wanted.runs()[..] else {
        panic!("not sent: {wanted:?}");
    };
    assert_eq!(sent.request.unwrap().id, request(2));
}

/// The hand-over is broken off: the lease never reaches the host that was handed
/// the requests. It must forget them in silence, and the first home must go on:
/// else the caller would hear of one request from two homes.
#[test]
fn a_hand_over_that_is_broken_off_leaves_requests_with_the_first_home() {
    let (mut first, mut second, running) = before_hand_over();
    hand_over(&mut first, &mut second);
    second.pass_ms(9500);
    let wanted = second.take();
    assert!(
        wanted.told.is_empty() && wanted.sent.is_empty(),
        "{wanted:?}"
    );
    assert!(wanted.relayed.is_empty(), "{wanted:?}");
    first.pass_ms(100);
    first.answer(1, &running);
    let held_back = first.take();
    assert!(held_back.runs().is_empty(), "frozen: {held_back:?}");
    first.pass_ms(300);
    let wanted = first.take();
    let [sent] = wanted.runs()[..] else {
        panic!("not sent: {wanted:?}");
    };
    assert_eq!(sent.request.unwrap().id, request(2));
    assert!(
        !wanted
            .told
            .iter()
            .any(|(_, told)| matches!(told, Told::NotRun(..) | Told::OutcomeUnknown(..)))
    );
}

/// Guards against a request that is handed over just after it was sent being given up when
/// the server answers another one.
#[test]
fn a_request_handed_over_soon_after_it_was_sent_is_not_given_up_beside_an_answer() {
    let mut first = Bench::new(1, 2);
    let tokens = [1, 2].map(|number| first.open(number));
    for (number, token) in (1..).zip(tokens) {
        let header = first.header(number.into(), false, 5500);
        first.ask(number, token, header);
    }
    let sent: Vec<_> = first.take().runs().into_iter().cloned().collect();
    let mut second = Bench::of_host("muc-nord-2", 1, 2, TrafficBounds::default());
    second.lose_home(Some(host("muc-nord-1")));
    first.pass_ms(60);
    second.pass_ms(60);
    hand_over(&mut first, &mut second);
    second.renews_lease = true;
    second.pass_ms(100);
    let backend = second.server();
    second.view(
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
    second.pass_ms(840);
    second.answer(1, &sent[0]);
    second.pass_ms(50);
    assert_eq!(second.take().finals(request(2)), Vec::<&Told>::new());
    second.answer(2, &sent[1]);
    assert_eq!(second.take().count(Counter::RequestAnswered), 1);
}

/// A host is added and takes shards over. The old home has released one and takes
/// the new host for its home; the new host has not been granted it yet and takes the
/// old one for its home. A request of an open session went to and fro between them
/// eighteen times within three milliseconds, and its caller was told that the outcome
/// is unknown, although nothing had failed: a copy a moment later would have run.
#[test]
fn a_request_that_comes_back_while_the_home_changes_is_left_to_its_next_copy() {
    let (mut first, mut second, _) = before_hand_over();
    hand_over(&mut first, &mut second);
    let shard = first.home();
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
        let wanted = bench.take();
        assert!(wanted.told.is_empty(), "{turn}: {wanted:?}");
        if wanted.relayed.is_empty() {
            break;
        }
    }
    assert!(seen_by[0] <= 2, "sent to and fro {seen_by:?} times");
}

/// A host that has been added knows the list of hosts and nobody of them yet; or it
/// takes an old host for the home of a shard, which takes the new one for it, while a
/// third holds the lease. A request was told "outcome unknown" within a millisecond
/// and ended, although its home was up: the next copy, 200 ms later, would have run.
#[parameterized(
    knows_nobody = { None, 0 },
    to_and_fro = { Some("muc-nord-2"), traffic::HOP_LIMIT },
)]
fn a_request_at_a_host_with_a_new_list_of_hosts_is_left_to_its_next_copy(
    home: Option<&str>,
    hops: u8,
) {
    let mut bench = Bench::new(1, 1);
    bench.lose_home(home.map(host));
    let bring = |bench: &mut Bench, number: u64| {
        let envelope = relayed(bench, bench.header(number, false, 9000), hops);
        bench.handle(TrafficEvent::Relay(envelope));
        bench.take()
    };
    bench.snapshot.hosts_since = bench.now;
    let lease = bench.snapshot.configuration.limits.home_lease;
    bench.pass(lease / 2);
    let early = bring(&mut bench, 1);
    assert!(early.told.is_empty(), "{early:?}");
    assert_eq!(early.count(Counter::FrozenDropped), 1);
    // Whoever has no home for longer is told at once instead of hearing nothing.
    bench.pass(lease);
    let late = bring(&mut bench, 2);
    let finals = late.finals(request(2));
    assert!(matches!(finals[..], [Told::OutcomeUnknown(..)]), "{late:?}");
}

/// The home has no processor time for a moment. It hands a request on to a helper, which
/// brings it back as to the home, and so on until its hops were used up: its caller was
/// told "outcome unknown" within two milliseconds, although the home went on. What comes
/// back is left to the next copy.
#[test]
fn a_request_that_comes_back_to_a_home_that_woke_late_is_left_to_its_next_copy() {
    let mut bench = Bench::new(1, 1);
    bench.snapshot.helpers = vec![host("muc-nord-2")];
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
    let wanted = bench.take();
    assert!(
        wanted.relayed.is_empty() && wanted.told.is_empty(),
        "{wanted:?}"
    );
    assert_eq!(wanted.count(Counter::Unconfirmed), 1);
}
