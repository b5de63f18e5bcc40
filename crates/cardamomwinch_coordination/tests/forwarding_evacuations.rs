//! How evacuations become known to hosts: from the store, from each other, and late.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use cardamomwinch_coordination::forwarding::discovery::peer_messages::{PeerAnswer, PeerQuery};
use cardamomwinch_coordination::forwarding::discovery::store_call::{
    StoreChange, StoreOutcome, StoreRevision,
};
use cardamomwinch_coordination::forwarding::discovery::{DiscoveryChange, DiscoveryEngine};
use forwarding_support::*;

fn begun(name: &str, revision: u64) -> StoreChange {
    StoreChange::EvacuationBegun {
        domain: domain(name),
        revision: StoreRevision::new(revision),
    }
}

fn ended(name: &str, revision: u64) -> StoreChange {
    StoreChange::EvacuationEnded {
        domain: domain(name),
        revision: StoreRevision::new(revision),
    }
}

/// All items of the store at `revision`: a route, a server, and `more`.
fn listing(more: Vec<StoreChange>, revision: u64) -> StoreOutcome {
    let routes = document(1, vec![(service_address(), route(true))]);
    let mut items = vec![StoreChange::Routes(routes), server_entry(1, 1, false)];
    items.extend(more);
    StoreOutcome::Page {
        items,
        revision: StoreRevision::new(revision),
        next: None,
    }
}

fn watched(changes: Vec<StoreChange>, revision: u64) -> StoreOutcome {
    StoreOutcome::Changes {
        changes,
        revision: StoreRevision::new(revision),
    }
}

/// A host that has listed everything at revision 10.
fn started(number: u8, more: Vec<StoreChange>) -> DiscoveryEngine {
    let mut engine = discovery_engine(number);
    engine.handle_store(at(0), listing(more, 10));
    engine.take_changes();
    engine
}

fn is_evacuated(engine: &DiscoveryEngine, name: &str) -> bool {
    let view = engine.view();
    view.directory.evacuations().is_evacuated(domain(name))
}

/// The answer of `sender` to a query of `receiver`.
fn query(sender: &mut DiscoveryEngine, receiver: &mut DiscoveryEngine, moment: u64) -> PeerAnswer {
    let (_, query) = receiver.next_query(at(moment)).unwrap();
    sender.answer_query(
        at(moment),
        &PeerQuery {
            wait: millis(0),
            ..query
        },
    )
}

/// The recorded changes of evacuations: whether each is active, and its revision.
fn recorded_changes(engine: &mut DiscoveryEngine) -> Vec<(bool, u64)> {
    let changes = engine.take_changes().into_iter();
    let evacuations = changes.filter_map(|change| match change {
        DiscoveryChange::EvacuationChanged { evacuation } => {
            Some((evacuation.is_active(), evacuation.changed.get()))
        }
        _ => None,
    });
    evacuations.collect()
}

#[test]
fn begin_and_end_are_recorded_once_each() {
    let mut engine = started(1, Vec::new());
    engine.handle_store(at(100), watched(vec![begun("far", 11)], 11));
    assert!(is_evacuated(&engine, "far") && !is_evacuated(&engine, "near"));
    engine.handle_store(at(200), watched(vec![begun("far", 11)], 12));
    engine.handle_store(at(300), watched(vec![ended("far", 13)], 13));
    assert!(!is_evacuated(&engine, "far"));
    assert_eq!(recorded_changes(&mut engine), [(true, 11), (false, 13)]);
}

/// A host starts while a domain is evacuated. It must not send new flows there.
#[test]
fn a_host_that_starts_receives_active_evacuations() {
    let engine_from_store = started(1, vec![begun("far", 7)]);
    assert!(is_evacuated(&engine_from_store, "far"));
    let mut sender = engine_from_store;
    let mut starting = discovery_engine(9);
    let answer = query(&mut sender, &mut starting, 20);
    starting.handle_answer(at(20), host_address(1), Some(answer));
    assert!(is_evacuated(&starting, "far"));
}

/// An evacuation ends while the history of the store is lost or the host is cut off. No change
/// shows the end; only a listing without the item does.
#[test]
fn a_listing_ends_evacuations_that_it_does_not_contain() {
    let mut engine = started(1, vec![begun("far", 7), begun("near", 8)]);
    engine.handle_store(at(100), StoreOutcome::HistoryGone);
    engine.handle_store(at(110), listing(vec![begun("near", 8)], 30));
    assert!(!is_evacuated(&engine, "far") && is_evacuated(&engine, "near"));
    assert_eq!(recorded_changes(&mut engine), [(false, 30)]);
}

/// A later evacuation becomes known while the pages of a listing are read. The listing does not
/// contain it, and must not end it.
#[test]
fn a_listing_does_not_end_evacuations_that_began_later() {
    let mut engine = started(1, Vec::new());
    engine.handle_store(at(100), watched(vec![begun("far", 40)], 40));
    engine.handle_store(at(110), StoreOutcome::HistoryGone);
    engine.handle_store(at(120), listing(Vec::new(), 35));
    assert!(is_evacuated(&engine, "far"));
}

/// The store does not answer for a long time. Earlier commands of operators stay in force.
#[test]
fn an_evacuation_stays_active_in_an_outage_of_the_store() {
    let mut engine = started(1, vec![begun("far", 7)]);
    for second in 1..120 {
        engine.handle_store(at(second * 1_000), StoreOutcome::Failed);
        engine.tick(at(second * 1_000));
    }
    assert!(is_evacuated(&engine, "far"));
}

/// A host is cut off while an evacuation ends. It receives the end from a peer, and an older
/// answer of another peer must not start the evacuation again.
#[test]
fn an_end_from_a_peer_is_not_undone_by_an_older_answer() {
    let mut sender = started(1, Vec::new());
    let mut receiver = started(9, vec![begun("far", 9)]);
    let mut outdated = started(2, vec![begun("far", 9)]);
    let old_answer = query(&mut outdated, &mut discovery_engine(8), 10);
    sender.handle_store(at(50), watched(vec![begun("far", 9), ended("far", 20)], 20));
    let answer = query(&mut sender, &mut receiver, 100);
    receiver.handle_answer(at(100), host_address(1), Some(answer));
    assert!(!is_evacuated(&receiver, "far"));
    receiver.handle_answer(at(110), host_address(2), Some(old_answer));
    assert!(!is_evacuated(&receiver, "far"));
    let (moment, revision) = receiver
        .view()
        .directory
        .evacuations()
        .ended(domain("far"))
        .unwrap();
    assert_eq!((moment, revision.get()), (at(50), 20));
}

/// Ended evacuations are removed after a while. A host with older data must then receive
/// everything, and not a difference in which the end is missing.
#[test]
fn after_an_ended_evacuation_is_removed_older_hosts_receive_everything() {
    let mut sender = started(1, vec![begun("far", 7)]);
    sender.handle_store(at(100), watched(vec![ended("far", 11)], 12));
    sender.tick(at(70_000));
    assert!(sender.view().directory.evacuations().is_empty());
    let mut receiver = started(9, vec![begun("far", 7)]);
    let answer = query(&mut sender, &mut receiver, 70_000);
    assert!(answer.all_servers);
    receiver.handle_answer(at(70_000), host_address(1), Some(answer));
    assert!(!is_evacuated(&receiver, "far"));
}

/// Two domains are evacuated at the same time, and each evacuation ends by itself.
#[test]
fn evacuations_of_two_domains_are_independent() {
    let mut engine = started(1, vec![begun("far", 7)]);
    engine.handle_store(at(100), watched(vec![begun("near", 11)], 11));
    engine.handle_store(at(200), watched(vec![ended("far", 12)], 12));
    assert!(is_evacuated(&engine, "near") && !is_evacuated(&engine, "far"));
}
