//! The way of a server's reply to the home that counts the slots of the server.

#![allow(clippy::unwrap_used, missing_docs)]

mod admission_support;

use admission_support::{Bench, Told, host, request};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::snapshot::ServingPhase;
use cardamomwinch_protocol::prelude::*;

const HOME: &str = "muc-nord-1";
const OTHER: &str = "muc-nord-2";

fn answer() -> BackendReplyKind<'static> {
    BackendReplyKind::Answer {
        request: request(1),
        attempt: AttemptNumber(0),
        part: PartNumber::WHOLE,
        payload: b"answer",
    }
}

/// A host that is not the home of the server, which `home` is.
fn host_beside(home: &str) -> Bench {
    let mut bench = Bench::of_host(OTHER, 1, 2, TrafficBounds::default());
    bench.lose_home(Some(host(home)));
    bench
}

/// A host is added while sessions go on. The fabric hands it the answers of two
/// requests before it knows any other host: it told the callers and dropped what the
/// home has to know. The home counted both slots of the server as taken for a second
/// and a half, and refused the next request of a session as if the server were full.
#[test]
fn a_starting_host_tells_the_home_once_it_knows_it() {
    let mut bench = host_beside(HOME);
    bench.snapshot.phase = ServingPhase::Starting;
    let server = bench.server();
    bench.reply(1, server, answer());
    let early = bench.take();
    assert!(
        matches!(early.told[..], [(_, Told::Answer(..))]),
        "{early:?}"
    );
    assert!(early.relayed.is_empty());

    bench.snapshot.phase = ServingPhase::Serving;
    bench.handle(TrafficEvent::Tick);
    let later = bench.take();
    assert_eq!(later.relayed, [(host(HOME), None)]);
    assert!(
        later.told.is_empty(),
        "the caller has the answer: {later:?}"
    );
    bench.handle(TrafficEvent::Tick);
    assert!(bench.take().relayed.is_empty());
}

/// While a host is added, two hosts take each other for the home, and a third holds
/// the lease. An answer went to and fro until it was dropped, and its slot stayed taken.
/// The host that had sent the request was home then, or knows who is.
#[test]
fn a_reply_that_goes_to_and_fro_is_brought_to_the_sender_of_the_request() {
    let mut bench = host_beside("muc-nord-3");
    let reply = BackendReply {
        flow: admission_support::flow(1),
        backend: bench.server(),
        via: host(HOME),
        kind: answer(),
    };
    let shard = bench.home();
    let mut bring = |hops| {
        let frame = RelayFrame::Backend { reply, shard, hops };
        bench.handle(TrafficEvent::Relay(RelayEnvelope {
            sender: host("muc-nord-3"),
            version: bench.snapshot.version(),
            frame,
        }));
        bench.take().relayed
    };
    // The believed home is not listed here, so that nothing can be sent to it.
    assert_eq!(bring(1), []);
    assert_eq!(bring(2), [(host(HOME), None)]);
}

/// A reply comes to the home by two other hosts. It must end there: sent on to the host
/// that had sent the request, which takes this one for the home, it would go round until
/// it is dropped.
#[test]
fn a_home_keeps_a_reply_however_often_it_was_relayed() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 5000);
    bench.ask(1, token, header);
    bench.take();
    let reply = BackendReply {
        flow: admission_support::flow(1),
        backend: bench.server(),
        via: host(OTHER),
        kind: answer(),
    };
    let shard = bench.home();
    bench.handle(TrafficEvent::Relay(RelayEnvelope {
        sender: host(OTHER),
        version: bench.snapshot.version(),
        frame: RelayFrame::Backend {
            reply,
            shard,
            hops: 3,
        },
    }));
    let wanted = bench.take();
    assert!(wanted.relayed.is_empty(), "{wanted:?}");
    assert_eq!(wanted.count(Counter::RequestAnswered), 1);
}

/// Servers that seem full while a host is added: it takes itself for the home before it
/// holds the lease, and kept answers that the home which sent the requests waited for.
#[test]
fn a_host_without_the_lease_brings_a_reply_to_the_home_that_sent_the_request() {
    let mut bench = host_beside(OTHER);
    let reply = BackendReply {
        flow: admission_support::flow(1),
        backend: bench.server(),
        via: host(HOME),
        kind: answer(),
    };
    let shard = bench.home();
    let frame = |hops| RelayFrame::Backend { reply, shard, hops };
    bench.handle(TrafficEvent::Relay(RelayEnvelope {
        sender: host("muc-nord-3"),
        version: bench.snapshot.version(),
        frame: frame(1),
    }));
    assert_eq!(bench.take().relayed, [(host(HOME), None)]);
}

/// Slots that stay taken where a lease lapses for a moment: who has the request accounts
/// for its answer, with a lease or without.
#[test]
fn a_host_that_knows_the_request_keeps_its_reply_without_a_lease() {
    let mut bench = Bench::new(1, 2);
    let token = bench.open(1);
    let header = bench.header(1, false, 5000);
    bench.ask(1, token, header);
    bench.take();
    bench.lose_home(Some(host(HOME)));
    let reply = BackendReply {
        flow: admission_support::flow(1),
        backend: bench.server(),
        via: host(OTHER),
        kind: answer(),
    };
    let shard = bench.home();
    bench.handle(TrafficEvent::Relay(RelayEnvelope {
        sender: host(OTHER),
        version: bench.snapshot.version(),
        frame: RelayFrame::Backend {
            reply,
            shard,
            hops: 1,
        },
    }));
    let wanted = bench.take();
    assert!(wanted.relayed.is_empty(), "{wanted:?}");
    assert_eq!(wanted.count(Counter::RequestAnswered), 1);
}
