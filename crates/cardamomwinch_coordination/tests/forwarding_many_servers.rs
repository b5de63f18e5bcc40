//! What it takes a host to learn of thousands of servers that start and leave.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use std::net;
use std::time;

use cardamomwinch_coordination::forwarding::beliefs::store_call::{
    StoreChange, StoreOutcome, StoreRevision,
};
use cardamomwinch_coordination::forwarding::beliefs::{BeliefEngine, BeliefSettings};
use cardamomwinch_coordination::forwarding::directory::ServerPhase;
use cardamomwinch_coordination::forwarding::regions::DomainRegions;
use cardamomwinch_state::flow;
use forwarding_support::*;
use yare::parameterized;

/// Answers of the store in which all servers are told.
const ANSWERS: u64 = 12;
/// Each is measured so often, and the fastest one counts: others may use the processor.
const TRIES: usize = 3;
/// So many times what it takes to read all servers at once.
const FACTOR: u32 = 10;
/// The revision before any server is known.
const EMPTY: u64 = 1;

fn address(number: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 1, 0, number], 8166))
}

fn settings(number: u8) -> BeliefSettings {
    BeliefSettings {
        domain: domain("near"),
        regions: DomainRegions::default(),
        address: address(number),
        seeds: vec![address(1), address(2)],
        flow_lifetime: millis(60_000),
        watch_wait: millis(2_000),
        list_part: start_list::PART_LIMIT,
    }
}

/// A host that has read `items` from the store.
fn engine(number: u8, items: Vec<StoreChange>, read_at: u64) -> BeliefEngine {
    let mut engine = BeliefEngine::new(settings(number), number.into());
    engine.next_store_call(at(0));
    engine.handle_store(at(0), page(items, read_at));
    engine.next_store_call(at(0));
    engine
}

fn page(items: Vec<StoreChange>, read_at: u64) -> StoreOutcome {
    StoreOutcome::Page {
        items,
        revision: StoreRevision::new(read_at),
        next: None,
    }
}

/// The number of the server that comes as the `position`-th: servers are not written in
/// the order of their ids.
const fn number(position: u64) -> u64 {
    flow::mix(position)
}

/// The entries of `servers` servers, each written by a revision of its own.
fn entries(servers: u64) -> Vec<StoreChange> {
    let entry = |position| {
        let revision = StoreRevision::new(EMPTY + position);
        server_entry_at(number(position), revision, false)
    };
    (1..=servers).map(entry).collect()
}

/// The first `servers` servers leave, by the revisions after `revision`.
fn removals(servers: u64, revision: u64) -> Vec<StoreChange> {
    let removal = |position| StoreChange::ServerRemoved {
        id: near_server(number(position)).id,
        revision: StoreRevision::new(revision + position),
    };
    (1..=servers).map(removal).collect()
}

/// Tells `engine` of `changes` in [`ANSWERS`] answers.
fn tell(engine: &mut BeliefEngine, changes: &[StoreChange], up_to: u64) {
    for part in changes.chunks(changes.len().div_ceil(ANSWERS as usize)) {
        let outcome = StoreOutcome::Changes {
            changes: part.to_vec(),
            revision: StoreRevision::new(up_to),
        };
        engine.handle_store(at(1_000), outcome);
    }
}

/// The least time that `work` takes.
fn fastest(mut work: impl FnMut() -> time::Duration) -> time::Duration {
    (0..TRIES).map(|_| work()).min().unwrap()
}

/// What it takes to read `servers` servers in one page.
fn listing_time(servers: u64) -> time::Duration {
    let entries = entries(servers);
    fastest(|| {
        let begun = time::Instant::now();
        let engine = engine(1, entries.clone(), EMPTY + servers);
        assert_eq!(engine.view().directory.listed_count() as u64, servers);
        begun.elapsed()
    })
}

/// Guards against a host that makes its indexes anew for each server that the store tells
/// of, and is busy for seconds where thousands start.
#[parameterized(
    whole_fleet = { 6_000 },
    twice_the_fleet = { 12_000 },
)]
fn servers_that_start_are_noted_together(servers: u64) {
    let entries = entries(servers);
    let time = fastest(|| {
        let mut engine = engine(1, Vec::new(), EMPTY);
        let begun = time::Instant::now();
        tell(&mut engine, &entries, EMPTY + servers);
        assert_eq!(engine.view().directory.listed_count() as u64, servers);
        begun.elapsed()
    });
    let limit = FACTOR * listing_time(servers);
    assert!(time <= limit, "{time:?}, more than {limit:?}");
}

/// Guards against the same where servers are replaced, so that one is removed between each
/// two that start.
#[parameterized(
    whole_fleet = { 6_000 },
    twice_the_fleet = { 12_000 },
)]
fn servers_that_replace_others_are_noted_together(servers: u64) {
    let half = servers / 2;
    let entries = entries(servers);
    let (old, new) = entries.split_at(half as usize);
    let removed = removals(half, EMPTY + servers);
    let pairs = new.iter().zip(&removed);
    let changes: Vec<_> = pairs
        .flat_map(|(new, old)| [new.clone(), old.clone()])
        .collect();
    let time = fastest(|| {
        let mut engine = engine(1, old.to_vec(), EMPTY + half);
        let begun = time::Instant::now();
        tell(&mut engine, &changes, EMPTY + servers + half);
        assert_eq!(engine.view().directory.listed_count() as u64, half);
        begun.elapsed()
    });
    let limit = FACTOR * listing_time(servers);
    assert!(time <= limit, "{time:?}, more than {limit:?}");
}

/// Guards against the same at a host that starts, and that another one tells of thousands of
/// servers that left before.
#[parameterized(
    whole_fleet = { 6_000 },
    twice_the_fleet = { 12_000 },
)]
fn servers_that_left_are_noted_together(servers: u64) {
    let last = EMPTY + 2 * servers;
    let mut teller = engine(1, entries(servers), EMPTY + servers);
    tell(&mut teller, &removals(servers, EMPTY + servers), last);
    let time = fastest(|| {
        let mut starting = engine(2, Vec::new(), last);
        let (_, question) = starting.next_peer(at(1_000)).unwrap();
        let word = teller.answer_peer(at(1_000), &question);
        let begun = time::Instant::now();
        starting.handle_peer(at(1_000), address(1), Some(word));
        assert_eq!(starting.view().directory.len() as u64, servers);
        begun.elapsed()
    });
    let limit = FACTOR * listing_time(servers);
    assert!(time <= limit, "{time:?}, more than {limit:?}");
}

/// An entry that is written and removed in one answer of the store ends up removed, and one
/// that is removed and written again as listed.
#[test]
fn changes_of_one_server_keep_their_order() {
    let revision = StoreRevision::new;
    let written = |number, at| server_entry_at(number, revision(at), false);
    let removed = |number, at| StoreChange::ServerRemoved {
        id: near_server(number).id,
        revision: revision(at),
    };
    let mut engine = engine(1, Vec::new(), EMPTY);
    let changes = vec![
        written(1, 2),
        written(2, 3),
        removed(1, 4),
        removed(2, 5),
        written(2, 6),
    ];
    engine.handle_store(
        at(1_000),
        StoreOutcome::Changes {
            changes,
            revision: revision(6),
        },
    );
    let view = engine.view();
    assert!(!view.directory.get(near_server(1).id).unwrap().is_listed());
    assert!(view.directory.get(near_server(2).id).unwrap().is_listed());
}

/// Two entries of a new server in one answer: the later one counts, in whichever order.
#[test]
fn the_latest_entry_of_a_new_server_counts() {
    let revision = StoreRevision::new;
    let mut engine = engine(1, Vec::new(), EMPTY);
    let changes = vec![
        server_entry_at(1, revision(2), false),
        server_entry_at(1, revision(4), true),
        server_entry_at(2, revision(5), true),
        server_entry_at(2, revision(3), false),
    ];
    let revision = revision(5);
    engine.handle_store(at(1_000), StoreOutcome::Changes { changes, revision });
    let view = engine.view();
    for number in [1, 2] {
        let server = view.directory.get(near_server(number).id).unwrap();
        assert_eq!(server.phase, ServerPhase::Draining);
    }
}
