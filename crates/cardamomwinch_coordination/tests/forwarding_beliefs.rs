//! What a host learns from the store and from peers, and which peers it queries.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use std::net;

use cardamomwinch_coordination::forwarding::directory::ServerPhase;
use cardamomwinch_coordination::forwarding::discovery::store_call::{
    StoreCall, StoreChange, StoreOutcome, StoreRevision,
};
use cardamomwinch_coordination::forwarding::discovery::{
    DiscoveryChange, DiscoveryEngine, DiscoverySettings,
};
use cardamomwinch_coordination::forwarding::regions::DomainRegions;
use cardamomwinch_state::prelude::*;
use forwarding_support::*;

fn host_address(number: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 1, 0, number], 8166))
}

fn engine(number: u8) -> DiscoveryEngine {
    engine_of("near", number)
}

fn engine_of(domain_name: &str, number: u8) -> DiscoveryEngine {
    let settings = DiscoverySettings {
        domain: domain(domain_name),
        regions: DomainRegions::default(),
        address: host_address(number),
        seeds: vec![host_address(1), host_address(2), host_address(3)],
        flow_lifetime: millis(60_000),
        watch_wait: millis(3_000),
        max_part_servers: server_list::MAX_PART_SERVERS,
    };
    DiscoveryEngine::new(settings, number.into())
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(number)
}

fn routes(version: u64) -> StoreChange {
    StoreChange::Routes(document(version, vec![(service_address(), route(true))]))
}

fn page(items: Vec<StoreChange>, read_at: u64) -> StoreOutcome {
    StoreOutcome::Page {
        items,
        revision: revision(read_at),
        next: None,
    }
}

fn changes(changes: Vec<StoreChange>, up_to: u64) -> StoreOutcome {
    StoreOutcome::Changes {
        changes,
        revision: revision(up_to),
    }
}

fn phase(engine: &DiscoveryEngine, number: u64) -> Option<ServerPhase> {
    let view = engine.view();
    Some(view.directory.get(near_server(number).id)?.phase)
}

/// A host that knows version 1 and servers 1 and 2, at revision 10.
fn started(number: u8) -> DiscoveryEngine {
    started_of("near", number)
}

fn started_of(domain_name: &str, number: u8) -> DiscoveryEngine {
    let mut engine = engine_of(domain_name, number);
    let call = engine.next_store_call(at(0));
    let is_seed = number <= 3;
    let lists = call == StoreCall::List { after: None };
    assert_eq!(lists, is_seed, "others are queried first: {call:?}");
    let items = vec![
        routes(1),
        server_entry(1, 5, false),
        server_entry(2, 6, false),
    ];
    engine.handle_store(at(0), page(items, 10));
    engine.take_changes();
    engine
}

#[test]
fn a_host_lists_and_then_watches_from_the_first_page() {
    let mut engine = engine(1);
    engine.handle_store(
        at(0),
        StoreOutcome::Page {
            items: vec![routes(1)],
            revision: revision(10),
            next: Some("op/config".to_owned()),
        },
    );
    assert!(!engine.view().is_usable());
    let after = Some("op/config".to_owned());
    assert_eq!(engine.next_store_call(at(0)), StoreCall::List { after });
    engine.handle_store(at(5), page(vec![server_entry(1, 11, false)], 12));
    assert!(engine.view().is_usable());
    assert!(matches!(
        engine.next_store_call(at(0)),
        StoreCall::Watch { after, .. } if after == revision(10)
    ));
}

/// Guards against a watch as long as the settings allow, here 20 seconds. Hosts that learn
/// from this one would take it for dead and all read the store.
#[test]
fn a_watch_waits_no_longer_than_hosts_rely_on_its_data() {
    let settings = DiscoverySettings {
        domain: domain("near"),
        regions: DomainRegions::default(),
        address: host_address(1),
        seeds: Vec::new(),
        flow_lifetime: millis(60_000),
        watch_wait: millis(20_000),
        max_part_servers: server_list::MAX_PART_SERVERS,
    };
    let mut engine = DiscoveryEngine::new(settings, 1);
    engine.handle_store(at(0), page(vec![routes(1)], 10));
    let StoreCall::Watch { wait, .. } = engine.next_store_call(at(0)) else {
        panic!("a host that has listed watches");
    };
    assert!(wait <= millis(2_000));
}

/// The store no longer has the history that a watch needs. Unless it lists everything
/// again, the host never learns of the changes in the gap.
#[test]
fn a_host_lists_again_where_the_history_is_gone() {
    let mut engine = started(1);
    engine.handle_store(at(100), StoreOutcome::HistoryGone);
    assert_eq!(
        engine.next_store_call(at(0)),
        StoreCall::List { after: None }
    );
    engine.handle_store(
        at(105),
        page(vec![routes(2), server_entry(2, 6, false)], 40),
    );
    assert!(matches!(
        phase(&engine, 1),
        Some(ServerPhase::Vanished { .. })
    ));
    assert_eq!(phase(&engine, 2), Some(ServerPhase::Active));
}

/// The store refuses all calls. Calls in a tight loop would cost as much as successful
/// ones, and hosts that lost the store at the same time must not retry at the same time.
#[test]
fn failures_are_followed_by_growing_pauses() {
    let mut engine = started(1);
    let mut pauses = Vec::new();
    for turn in 0..6 {
        engine.handle_store(at(turn), StoreOutcome::Failed);
        let StoreCall::Pause(pause) = engine.next_store_call(at(0)) else {
            panic!("a failure must be followed by a pause");
        };
        pauses.push(pause);
        engine.handle_store(at(turn), StoreOutcome::Paused);
    }
    assert!(pauses[0] < pauses[2] && pauses[2] < pauses[4]);
    assert!(pauses[5] <= millis(750));
    let lost = engine.take_changes();
    assert_eq!(lost, [DiscoveryChange::StoreLost], "logged once");
}

/// Entries of running servers expired during an outage of the store, so the next listing
/// has none of them. Without a grace period the host would refuse every caller.
#[test]
fn servers_whose_entries_expired_stay_usable_for_a_grace_period() {
    let mut engine = started(1);
    engine.handle_store(at(100), StoreOutcome::Failed);
    engine.handle_store(at(150), StoreOutcome::Paused);
    engine.handle_store(at(4_990), StoreOutcome::HistoryGone);
    engine.handle_store(at(5_000), page(vec![routes(1)], 30));
    assert!(matches!(
        phase(&engine, 1),
        Some(ServerPhase::Vanished { .. })
    ));
    assert!(
        !engine.view().is_complete(at(5_000)),
        "missing entries are unknown"
    );
    engine.handle_store(at(6_000), changes(vec![server_entry(1, 31, false)], 31));
    engine.tick(at(8_000));
    assert_eq!(phase(&engine, 1), Some(ServerPhase::Active));
    assert!(matches!(phase(&engine, 2), Some(ServerPhase::Left { .. })));
}

/// A draining server is removed from the store. It must not get new flows during the grace
/// period of servers whose entry expired.
#[test]
fn a_server_that_drained_has_left_at_once() {
    let mut engine = started(1);
    engine.handle_store(at(10), changes(vec![server_entry(1, 11, true)], 11));
    let id = near_server(1).id;
    let removed = StoreChange::ServerRemoved {
        id,
        revision: revision(12),
    };
    engine.handle_store(at(20), changes(vec![removed], 12));
    assert!(matches!(phase(&engine, 1), Some(ServerPhase::Left { .. })));
}

/// A host is cut off from the store, and a server begins to drain. The host must apply the
/// answer of a peer that still reads the store.
#[test]
fn a_host_without_the_store_applies_the_data_of_a_peer() {
    let mut cut = started(1);
    let mut peer = started_of("far", 2);
    let first = query_peer(&mut peer, &mut cut, 50);
    cut.handle_answer(at(50), host_address(2), Some(first));
    assert_eq!(cut.next_query(at(60)), None, "the store answers");
    peer.handle_store(
        at(100),
        changes(vec![routes(2), server_entry(1, 11, true)], 11),
    );
    cut.handle_store(at(100), StoreOutcome::Failed);
    let answer = query_peer(&mut peer, &mut cut, 200);
    assert_eq!(answer.servers.len(), 1, "only what changed is sent");
    cut.handle_answer(at(200), host_address(2), Some(answer));
    assert_eq!(phase(&cut, 1), Some(ServerPhase::Draining));
    assert_eq!(cut.view().routes.version(), ConfigurationVersion::new(2));
    assert_eq!(cut.revision(), revision(11));
}

/// Returns the answer of `peer` to a query of `host`.
fn query_peer(
    peer: &mut DiscoveryEngine,
    host: &mut DiscoveryEngine,
    moment: u64,
) -> cardamomwinch_coordination::forwarding::discovery::peer_messages::PeerAnswer {
    let (_, query) = host.next_query(at(moment)).expect("a peer is needed");
    peer.answer_query(at(moment), &query)
}

/// An answer of a peer with older data must not undo newer changes.
#[test]
fn an_older_answer_changes_nothing() {
    let mut host = started(1);
    let mut peer = started(2);
    host.handle_store(at(10), changes(vec![server_entry(1, 11, true)], 11));
    let answer = query_peer(&mut peer, &mut host, 20);
    host.handle_answer(at(20), host_address(2), Some(answer));
    assert_eq!(phase(&host, 1), Some(ServerPhase::Draining));
    assert_eq!(host.revision(), revision(11));
}

/// A host starts after a server was removed with flows still on it. Only peers can tell the
/// host where the packets of these flows belong.
#[test]
fn a_host_that_starts_learns_of_servers_that_have_left() {
    let mut peer = started(2);
    let removed = StoreChange::ServerRemoved {
        id: near_server(1).id,
        revision: revision(11),
    };
    peer.handle_store(at(10), changes(vec![removed], 11));
    let mut host = engine(1);
    host.handle_store(
        at(1_000),
        page(vec![routes(1), server_entry(2, 6, false)], 11),
    );
    let answer = query_peer(&mut peer, &mut host, 1_010);
    host.handle_answer(at(1_010), host_address(2), Some(answer));
    assert!(matches!(phase(&host, 1), Some(ServerPhase::Left { .. })));
    assert_eq!(phase(&host, 2), Some(ServerPhase::Active));
}

fn knows(host: &DiscoveryEngine, number: u8) -> bool {
    let hosts = host.peers().hosts();
    hosts.iter().any(|one| one.address == host_address(number))
}

/// Peers fail and are replaced. A peer that stays silent must be forgotten, because each
/// query to it is wasted; seeds of the settings are kept.
#[test]
fn silent_peers_are_forgotten() {
    let mut host = started(1);
    let answer = {
        let mut peer = started(2);
        let mut other = started(9);
        let (_, query) = other.next_query(at(0)).unwrap();
        peer.answer_query(at(0), &query);
        query_peer(&mut peer, &mut host, 0)
    };
    host.handle_answer(at(0), host_address(2), Some(answer));
    assert!(knows(&host, 9));
    for _ in 0..3 {
        host.handle_answer(at(1), host_address(9), None);
        host.handle_answer(at(1), host_address(3), None);
    }
    assert!(!knows(&host, 9));
    assert!(knows(&host, 3));
}

/// While a host lists the store page by page, a peer sends it a server that was added after
/// the first page, and one that began to drain. The listing is older than both. Applied
/// without comparing revisions, it made the new server vanish, so its flows were ended, and
/// sent new flows to the draining one.
#[test]
fn a_listing_does_not_undo_what_came_after_its_first_page() {
    let mut peer = started_of("far", 2);
    let later = vec![server_entry(1, 11, true), server_entry(3, 12, false)];
    peer.handle_store(at(10), changes(later, 12));
    let mut host = engine(1);
    let first_page = StoreOutcome::Page {
        items: vec![routes(1), server_entry(1, 5, false)],
        revision: revision(10),
        next: Some("servers/1".to_owned()),
    };
    host.handle_store(at(20), first_page);
    let answer = query_peer(&mut peer, &mut host, 25);
    host.handle_answer(at(25), host_address(2), Some(answer));
    assert_eq!(phase(&host, 3), Some(ServerPhase::Active));
    host.handle_store(at(30), page(vec![server_entry(2, 6, false)], 12));
    assert_eq!(phase(&host, 3), Some(ServerPhase::Active));
    assert_eq!(phase(&host, 1), Some(ServerPhase::Draining));
    assert_eq!(phase(&host, 2), Some(ServerPhase::Active));
}

/// A host that knows `count` servers at revision 5,000, one of which has left.
fn host_of_many(count: u64) -> DiscoveryEngine {
    let mut peer = engine_of("far", 2);
    let servers = (1..=count).map(|number| server_entry(number, number, false));
    let items = servers.chain([routes(1)]).collect();
    peer.handle_store(at(0), page(items, 5_000));
    let removed = StoreChange::ServerRemoved {
        id: near_server(1).id,
        revision: revision(5_001),
    };
    peer.handle_store(at(1), changes(vec![removed], 5_001));
    peer
}

/// Hundreds of hosts start at the same time and query the few seeds. Sending thousands of
/// servers to all of them at once would saturate the links and memory of the seeds. Four
/// hosts receive the list and pass it on; the others are redirected to them.
#[test]
fn few_starting_hosts_receive_the_full_list_at_a_time() {
    let mut peer = host_of_many(2_000);
    let mut receives = Vec::new();
    for number in 10..30 {
        let mut host = engine(number);
        let answer = query_peer(&mut peer, &mut host, 10);
        host.handle_answer(at(10), host_address(2), Some(answer.clone()));
        let receives_list = answer.list.is_some();
        assert!(receives_list || (answer.servers.is_empty() && answer.routes.is_none()));
        assert_eq!(answer.query_instead.is_some(), !receives_list);
        if receives_list {
            assert_eq!(
                query_remaining_parts(&mut peer, &mut host, 10),
                answer.servers.len()
            );
        }
        assert_eq!(host.view().is_usable(), receives_list);
        if let Some(other) = answer.query_instead {
            let (queried, _) = host.next_query(at(40)).unwrap();
            assert_eq!(queried, other, "one that receives the list");
            assert!((10..14).map(host_address).any(|receiver| receiver == other));
        }
        receives.push(receives_list);
    }
    assert_eq!(receives.iter().filter(|all| **all).count(), 4);
    assert!(receives[..4].iter().all(|all| *all));
    let mut later = engine(30);
    assert!(query_peer(&mut peer, &mut later, 300).list.is_some());
}

/// Has `host` query `peer` for all further parts of the list of 2,000 servers, and returns
/// how many servers the first part held.
fn query_remaining_parts(
    peer: &mut DiscoveryEngine,
    host: &mut DiscoveryEngine,
    moment: u64,
) -> usize {
    let mut others = 0;
    while !host.view().is_usable() && others < 2_000 {
        let answer = query_peer(peer, host, moment);
        others += answer.servers.len();
        host.handle_answer(at(moment), host_address(2), Some(answer));
    }
    2_000 - others
}

/// Four hosts query a peer that is starting, too, and has no data. Shortly after, it has
/// the full list. The next host that queries it must receive the list, instead of being
/// redirected to the four, which have no data.
#[test]
fn answers_of_a_host_without_data_occupy_no_transfer_slot() {
    let mut peer = engine(2);
    for number in 10..14 {
        let mut host = engine(number);
        let answer = query_peer(&mut peer, &mut host, 0);
        assert!(!answer.all_servers && answer.query_instead.is_none());
    }
    peer.handle_store(at(10), page(vec![routes(1), server_entry(1, 5, false)], 10));
    let mut host = engine(14);
    assert!(query_peer(&mut peer, &mut host, 20).all_servers);
}

/// A host was cut off for so long that its source cannot send a difference and must send
/// the full list, which four others are receiving. The host must query the one that it is
/// redirected to; it used to query its source again and again without a pause.
#[test]
fn a_redirected_host_queries_another_host() {
    let mut peer = host_of_many(20);
    for number in 10..14 {
        let mut other = engine(number);
        assert!(query_peer(&mut peer, &mut other, 10).all_servers);
    }
    let mut host = started(9);
    let (queried, query) = host.next_query(at(10)).unwrap();
    let mut answer = peer.answer_query(at(10), &query);
    let elsewhere = host_address(12);
    answer.revision = StoreRevision::ZERO;
    answer.query_instead = Some(elsewhere);
    host.handle_answer(at(10), queried, Some(answer));
    assert_eq!(host.next_query(at(11)).unwrap().0, elsewhere);
    assert_ne!(
        host.next_query(at(12)).map(|(queried, _)| queried),
        Some(elsewhere)
    );
}

/// A host receives the full list from a peer while it lists the store. The pages that it
/// has read are older, and the rest is not needed.
#[test]
fn a_host_that_received_the_full_list_stops_listing() {
    let mut peer = started_of("far", 2);
    let mut host = engine(9);
    host.next_store_call(at(0));
    let answer = query_peer(&mut peer, &mut host, 5);
    host.handle_answer(at(5), host_address(2), Some(answer));
    assert!(host.view().is_usable());
    let call = host.next_store_call(at(10));
    assert!(matches!(call, StoreCall::Pause(_)), "{call:?}");
    let call = host.next_store_call(at(2_000));
    let after = revision(10);
    assert!(matches!(call, StoreCall::Watch { after: from, .. } if from == after));
}

/// Like the test above, but calls to the store fail, so only a peer can send the list.
#[test]
fn a_host_that_starts_without_the_store_receives_the_full_list() {
    let mut peer = host_of_many(2_000);
    let mut host = engine(1);
    host.handle_store(at(5), StoreOutcome::Failed);
    query_remaining_parts(&mut peer, &mut host, 10);
    assert!(host.view().is_usable());
    assert_eq!(host.view().directory.len(), 2_000);
}

/// The store has an outage of two and a half seconds that no call of this host notices, and
/// the entries of running servers expire. Idle flows were ended on half of all servers at
/// once.
#[test]
fn entries_that_vanish_together_count_as_an_outage() {
    let mut engine = engine(1);
    let servers = (1..=8).map(|number| server_entry(number, number, false));
    engine.handle_store(at(0), page(servers.chain([routes(1)]).collect(), 10));
    engine.take_changes();
    let removed = |number| StoreChange::ServerRemoved {
        id: near_server(number).id,
        revision: revision(10 + number),
    };
    engine.handle_store(at(2_500), changes((1..=4).map(removed).collect(), 14));
    assert!(!engine.view().is_complete(at(2_600)));
    let changed = engine.take_changes();
    let outage = DiscoveryChange::ManyVanished { servers: 4 };
    assert!(changed.contains(&outage), "{changed:?}");
    assert!(engine.view().is_complete(at(6_000)), "it does not last");
}

/// Two of eight servers lose power. Their idle flows must be ended at once.
#[test]
fn few_vanished_entries_mean_that_their_servers_are_dead() {
    let mut engine = engine(1);
    let servers = (1..=8).map(|number| server_entry(number, number, false));
    engine.handle_store(at(0), page(servers.chain([routes(1)]).collect(), 10));
    let removed = |number| StoreChange::ServerRemoved {
        id: near_server(number).id,
        revision: revision(10 + number),
    };
    engine.handle_store(at(2_500), changes((1..=2).map(removed).collect(), 12));
    assert!(engine.view().is_complete(at(2_600)));
}

/// A peer fails and comes back. The log must show both times, with one line each, however
/// often the peer is queried: engineers need them to explain late changes.
#[test]
fn a_peer_is_logged_as_lost_and_regained_once() {
    let mut host = started(1);
    let peer = host_address(2);
    host.handle_answer(at(10), peer, None);
    host.handle_answer(at(20), peer, None);
    assert_eq!(host.take_changes(), [DiscoveryChange::PeerLost { peer }]);
    let mut other = started(2);
    let (_, query) = other.next_query(at(30)).unwrap();
    host.answer_query(at(30), &query);
    assert_eq!(
        host.take_changes(),
        [DiscoveryChange::PeerRegained { peer }]
    );
    host.answer_query(at(40), &query);
    assert_eq!(host.take_changes(), []);
}

/// All servers of a service in the own domain leave, and later one joins. Other domains
/// serve the callers meanwhile, with more delay; the log must show when this began and
/// ended.
#[test]
fn a_domain_without_servers_is_logged_as_lost_and_regained() {
    let mut host = started(1);
    let desk = service("desk");
    host.handle_store(at(10), changes(vec![server_entry(1, 11, true)], 11));
    let lost = DiscoveryChange::OwnServersLost { service: desk };
    assert!(!host.take_changes().contains(&lost), "one of two is left");
    host.handle_store(at(20), changes(vec![server_entry(2, 12, true)], 12));
    assert!(host.take_changes().contains(&lost));
    host.handle_store(at(30), changes(vec![server_entry(3, 13, false)], 13));
    let regained = DiscoveryChange::OwnServersRegained { service: desk };
    assert!(host.take_changes().contains(&regained));
}

/// A host with a saturated link queries a peer, and the answer takes a second and a half to
/// arrive. Dated by its arrival, the answer would claim that a server which started
/// meanwhile does not exist, and flows on that server would be reset.
#[test]
fn the_age_of_a_peer_answer_includes_its_transit_time() {
    let mut host = started(1);
    let mut peer = started(2);
    peer.handle_store(at(1_000), changes(vec![server_entry(2, 11, true)], 12));
    let (address, query) = host.next_query(at(1_000)).unwrap();
    let mut answer = peer.answer_query(at(1_010), &query);
    answer.waited = millis(5);
    host.handle_answer(at(2_500), address, Some(answer));
    let as_of = host.as_of();
    assert!(as_of > at(900) && as_of <= at(1_010), "{as_of}");
}

/// Like the test above, with long answers of the store.
#[test]
fn the_age_of_a_store_answer_includes_its_transit_time() {
    let mut host = started(1);
    let changed = changes(vec![server_entry(2, 11, true)], 12);
    host.handle_store_answer(at(3_000), at(1_500), changed);
    assert_eq!(host.as_of(), at(1_500));
    let page = |next: Option<&str>| StoreOutcome::Page {
        items: Vec::new(),
        revision: revision(20),
        next: next.map(str::to_owned),
    };
    host.handle_store(at(3_100), StoreOutcome::HistoryGone);
    host.handle_store_answer(at(4_000), at(3_900), page(Some("servers/i-01")));
    host.handle_store_answer(at(5_000), at(4_900), page(None));
    assert_eq!(host.as_of(), at(3_900), "the first page is the oldest data");
}
