//! Servers that restart under the same identifier, and entries that can no longer be
//! parsed.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use cardamomwinch_coordination::forwarding::directory::{ServerPhase, ServerRecord};
use cardamomwinch_coordination::forwarding::discovery::peer_messages::PeerServer;
use cardamomwinch_coordination::forwarding::discovery::store_call::{
    ServerStart, StoreChange, StoreOutcome, StoreRevision,
};
use cardamomwinch_coordination::forwarding::discovery::{DiscoveryEngine, DiscoverySettings};
use cardamomwinch_coordination::forwarding::regions::DomainRegions;
use forwarding_support::*;

fn started_at(number: u64, start: u64, changed: u64) -> ServerRecord {
    ServerRecord {
        started: Some(ServerStart::new(start)),
        changed: StoreRevision::new(changed),
        ..near_server(number)
    }
}

fn host() -> TestHost {
    let mut host = TestHost::new(vec![started_at(1, 1_000, 1)]);
    host.tick(at(0));
    host
}

/// A server crashes and is back within a second under its identifier, so its entry never
/// expires. The server would reset the next request on an idle flow, because it does not
/// know the flow, and a request that may run only once would be lost. If this host resets
/// the idle flow first, the caller opens another one for its next request.
#[test]
fn idle_flows_on_the_earlier_process_are_ended() {
    let mut host = host();
    host.establish(at(100), 1);
    host.change(|directory| directory.note(started_at(1, 4_000, 7)));
    let sink = host.tick(at(2_000));
    assert_eq!(sink.ended, [flow(1)]);
    assert!(host.tick(at(2_100)).ended.is_empty());
}

/// Like the test above, but the caller waits for an answer. The restarted server resets the
/// flow on the next retransmission. A reset by this host could also hit callers whose flow
/// the new process has already accepted.
#[test]
fn a_caller_that_waits_is_left_to_the_restarted_server() {
    let mut host = host();
    let server = host.establish(at(100), 1);
    host.handle(at(1_900), &data(1, server, 200, 1, 100));
    host.change(|directory| directory.note(started_at(1, 4_000, 7)));
    assert!(host.tick(at(2_000)).ended.is_empty());
}

/// A silent server restarts under its identifier. If it inherited the suspicion against the
/// earlier process, it would get no flow for seconds.
#[test]
fn a_restarted_server_begins_without_suspicion_or_load() {
    let mut host = host();
    let server = host.establish(at(100), 1);
    for port in 2..6 {
        host.handle(at(200), &opening(port, 0));
    }
    for port in 2..6 {
        host.handle(at(410), &opening(port, 1));
    }
    let progress = host.engine.progress();
    assert!(progress.is_suspected(server, at(420)) && progress.flows(server) > 0);
    host.change(|directory| directory.note(started_at(1, 4_000, 7)));
    host.tick(at(500));
    let progress = host.engine.progress();
    assert!(!progress.is_suspected(server, at(510)));
    assert_eq!(progress.flows(server), 0);
}

/// An earlier entry of the server arrives late, in a page or from a peer. It must not count
/// as another restart, which would end flows of a running server.
#[test]
fn an_earlier_start_that_arrives_late_changes_nothing() {
    let mut host = TestHost::new(vec![started_at(1, 4_000, 7)]);
    host.tick(at(0));
    host.establish(at(100), 1);
    host.change(|directory| directory.note(started_at(1, 1_000, 1)));
    assert!(host.tick(at(2_000)).ended.is_empty());
    let server = started_at(1, 4_000, 7);
    assert_eq!(host.view.directory.get(server.id), Some(&server));
}

#[test]
fn answers_include_process_starts_and_unreadable_entries() {
    let mut record = started_at(1, 4_000, 7);
    for phase in [ServerPhase::Active, ServerPhase::Unreadable] {
        record.phase = phase;
        let received = PeerServer::from_record(&record, at(50)).into_record(at(50));
        assert_eq!((received.started, received.phase), (record.started, phase));
    }
}

fn discovery_engine() -> DiscoveryEngine {
    let settings = DiscoverySettings {
        domain: domain("near"),
        regions: DomainRegions::default(),
        address: "10.1.0.1:8166".parse().unwrap(),
        seeds: Vec::new(),
        flow_lifetime: millis(60_000),
        watch_wait: millis(3_000),
        max_part_servers: server_list::MAX_PART_SERVERS,
    };
    let mut engine = DiscoveryEngine::new(settings, 1);
    let routes = document(1, vec![(service_address(), route(true))]);
    let items = vec![
        StoreChange::Routes(routes),
        server_entry(1, 5, false),
        server_entry(2, 6, false),
    ];
    engine.handle_store(at(0), page(items, 10));
    engine
}

fn page(items: Vec<StoreChange>, read_at: u64) -> StoreOutcome {
    StoreOutcome::Page {
        items,
        revision: StoreRevision::new(read_at),
        next: None,
    }
}

fn unreadable(number: u64, written: u64) -> StoreChange {
    StoreChange::ServerUnreadable {
        id: near_server(number).id,
        revision: StoreRevision::new(written),
    }
}

fn phase(engine: &DiscoveryEngine, number: u64) -> Option<ServerPhase> {
    let view = engine.view();
    Some(view.directory.get(near_server(number).id)?.phase)
}

/// Another program overwrites the entry of a server with something that cannot be parsed.
/// The server still runs, so its flows must not be ended. New flows must go elsewhere,
/// because nothing shows that it still accepts them.
#[test]
fn a_server_whose_entry_became_unreadable_keeps_its_flows_and_gets_no_new_ones() {
    let mut engine = discovery_engine();
    let changes = vec![unreadable(1, 11), unreadable(3, 12)];
    let revision = StoreRevision::new(12);
    engine.handle_store(at(100), StoreOutcome::Changes { changes, revision });
    assert_eq!(phase(&engine, 1), Some(ServerPhase::Unreadable));
    assert_eq!(phase(&engine, 3), None);

    let mut host = TestHost::new(vec![near_server(1)]);
    host.establish(at(0), 1);
    host.view.directory = engine.view().directory;
    assert!(host.tick(at(2_500)).ended.is_empty());
    assert_eq!(host.open(at(2_600), 2), near_server(2).id);
    let packet = data(1, near_server(1).id, 200, 1, 100);
    assert_eq!(host.handle(at(2_700), &packet).sent[0].0, near_server(1).id);
}

/// A host lists the store again while an entry is unreadable, as it does after lost
/// history. The server must not count as vanished.
#[test]
fn a_listing_with_an_unreadable_entry_keeps_its_server() {
    let mut engine = discovery_engine();
    engine.handle_store(at(100), StoreOutcome::HistoryGone);
    let items = vec![unreadable(1, 11), server_entry(2, 6, false)];
    engine.handle_store(at(110), page(items, 20));
    assert_eq!(phase(&engine, 1), Some(ServerPhase::Unreadable));
    let changes = vec![server_entry(1, 21, false)];
    let revision = StoreRevision::new(21);
    engine.handle_store(at(200), StoreOutcome::Changes { changes, revision });
    assert_eq!(phase(&engine, 1), Some(ServerPhase::Active));
}
