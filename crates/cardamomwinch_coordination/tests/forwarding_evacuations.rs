//! How hosts learn of evacuations: from the store, from each other, and late.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use cardamomwinch_coordination::forwarding::beliefs::peer_word::{PeerQuestion, PeerWord};
use cardamomwinch_coordination::forwarding::beliefs::store_call::{
    StoreChange, StoreOutcome, StoreRevision,
};
use cardamomwinch_coordination::forwarding::beliefs::{BeliefChange, BeliefEngine};
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

/// Everything that the store holds at `revision`: a route, a server, and `more`.
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
fn started(number: u8, more: Vec<StoreChange>) -> BeliefEngine {
    let mut engine = belief_engine(number);
    engine.handle_store(at(0), listing(more, 10));
    engine.take_changes();
    engine
}

fn is_evacuated(engine: &BeliefEngine, name: &str) -> bool {
    let view = engine.view();
    view.directory.evacuations().is_evacuated(domain(name))
}

/// What the host that knows `asker`'s beliefs is told by `teller`.
fn ask(teller: &mut BeliefEngine, asker: &mut BeliefEngine, moment: u64) -> PeerWord {
    let (_, question) = asker.next_peer(at(moment)).unwrap();
    teller.answer_peer(
        at(moment),
        &PeerQuestion {
            wait: millis(0),
            ..question
        },
    )
}

fn told(engine: &mut BeliefEngine) -> Vec<(bool, u64)> {
    let changes = engine.take_changes().into_iter();
    let evacuations = changes.filter_map(|change| match change {
        BeliefChange::EvacuationChanged { evacuation } => {
            Some((evacuation.is_lasting(), evacuation.changed.get()))
        }
        _ => None,
    });
    evacuations.collect()
}

#[test]
fn a_watch_tells_begin_and_end_once_each() {
    let mut engine = started(1, Vec::new());
    engine.handle_store(at(100), watched(vec![begun("far", 11)], 11));
    assert!(is_evacuated(&engine, "far") && !is_evacuated(&engine, "near"));
    engine.handle_store(at(200), watched(vec![begun("far", 11)], 12));
    engine.handle_store(at(300), watched(vec![ended("far", 13)], 13));
    assert!(!is_evacuated(&engine, "far"));
    assert_eq!(told(&mut engine), [(true, 11), (false, 13)]);
}

/// A host starts while a domain is empty. It must not be the one that sends flows there.
#[test]
fn a_host_that_starts_learns_of_evacuations_that_last() {
    let engine_from_store = started(1, vec![begun("far", 7)]);
    assert!(is_evacuated(&engine_from_store, "far"));
    let mut teller = engine_from_store;
    let mut young = belief_engine(9);
    let word = ask(&mut teller, &mut young, 20);
    young.handle_peer(at(20), host_address(1), Some(word));
    assert!(is_evacuated(&young, "far"));
}

/// The history is lost, or the host was cut off, while an evacuation ended. Nothing tells
/// of the end by itself; a listing without the item does.
#[test]
fn a_listing_ends_what_it_does_not_hold() {
    let mut engine = started(1, vec![begun("far", 7), begun("near", 8)]);
    engine.handle_store(at(100), StoreOutcome::HistoryGone);
    engine.handle_store(at(110), listing(vec![begun("near", 8)], 30));
    assert!(!is_evacuated(&engine, "far") && is_evacuated(&engine, "near"));
    assert_eq!(told(&mut engine), [(false, 30)]);
}

/// Pages of a listing were read while another host told of a later evacuation. The listing
/// knows nothing of it, and must not end it.
#[test]
fn a_listing_does_not_end_what_began_later() {
    let mut engine = started(1, Vec::new());
    engine.handle_store(at(100), watched(vec![begun("far", 40)], 40));
    engine.handle_store(at(110), StoreOutcome::HistoryGone);
    engine.handle_store(at(120), listing(Vec::new(), 35));
    assert!(is_evacuated(&engine, "far"));
}

/// The store is silent for long. What operators asked for before holds on.
#[test]
fn an_evacuation_outlives_an_outage_of_the_store() {
    let mut engine = started(1, vec![begun("far", 7)]);
    for second in 1..120 {
        engine.handle_store(at(second * 1_000), StoreOutcome::Failed);
        engine.tick(at(second * 1_000));
    }
    assert!(is_evacuated(&engine, "far"));
}

/// A host was cut off while an evacuation began and ended. It learns both from a neighbour
/// as one difference, in which only the end counts; an old word must not bring it back.
#[test]
fn a_neighbour_tells_the_end_and_no_old_word_undoes_it() {
    let mut teller = started(1, Vec::new());
    let mut asker = started(9, vec![begun("far", 9)]);
    let mut old = started(2, vec![begun("far", 9)]);
    let old_word = ask(&mut old, &mut belief_engine(8), 10);
    teller.handle_store(at(50), watched(vec![begun("far", 9), ended("far", 20)], 20));
    let word = ask(&mut teller, &mut asker, 100);
    asker.handle_peer(at(100), host_address(1), Some(word));
    assert!(!is_evacuated(&asker, "far"));
    asker.handle_peer(at(110), host_address(2), Some(old_word));
    assert!(!is_evacuated(&asker, "far"));
    let (moment, revision) = asker
        .view()
        .directory
        .evacuations()
        .ended(domain("far"))
        .unwrap();
    assert_eq!((moment, revision.get()), (at(50), 20));
}

/// Ended evacuations are forgotten some time. Whoever asks from before then is told
/// everything, not a difference in which the end is missing.
#[test]
fn a_forgotten_end_is_told_as_a_whole() {
    let mut teller = started(1, vec![begun("far", 7)]);
    teller.handle_store(at(100), watched(vec![ended("far", 11)], 12));
    teller.tick(at(70_000));
    assert!(teller.view().directory.evacuations().is_empty());
    let mut asker = started(9, vec![begun("far", 7)]);
    let word = ask(&mut teller, &mut asker, 70_000);
    assert!(word.all_servers);
    asker.handle_peer(at(70_000), host_address(1), Some(word));
    assert!(!is_evacuated(&asker, "far"));
}

/// Two domains are emptied at once, and each is taken back by itself.
#[test]
fn evacuations_of_two_domains_are_apart() {
    let mut engine = started(1, vec![begun("far", 7)]);
    engine.handle_store(at(100), watched(vec![begun("near", 11)], 11));
    engine.handle_store(at(200), watched(vec![ended("far", 12)], 12));
    assert!(is_evacuated(&engine, "near") && !is_evacuated(&engine, "far"));
}
