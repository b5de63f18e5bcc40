//! How long lookup tables of earlier versions are kept, and used for openings.

#![allow(clippy::unwrap_used, missing_docs)]

mod routing_support;

use std::time;

use cardamomwinch_coordination::routing::generations::{
    ADOPTION_OVERLAP, FLOW_LIFE, GENERATION_LIMIT, GenerationHistory, START_OVERLAP,
};
use cardamomwinch_state::prelude::*;
use routing_support::{START, configuration, server, server_of, service_id};

const SECOND: time::Duration = time::Duration::from_secs(1);

fn servers(numbers: std::ops::RangeInclusive<u8>) -> Vec<BackendEntry> {
    numbers.map(|number| server(number, "a")).collect()
}

#[test]
fn a_change_that_moves_nothing_adds_no_generation() {
    let mut history = GenerationHistory::default();
    for version in 1..100 {
        history.adopt(START, &configuration(version, &servers(1..=4)));
    }
    assert_eq!(history.tables().len(), 1);
    assert_eq!(history.tables()[0].version, ConfigurationVersion::new(99));
}

// Hosts adopt a version within seconds of each other. For so long openings ask
// the homes of the earlier version as well; while a failure domain is cut off
// nobody knows what is in force there, and it goes on.
#[test]
fn openings_follow_earlier_tables_until_all_have_adopted() {
    let mut history = GenerationHistory::default();
    history.adopt(START, &configuration(1, &servers(1..=4)));
    assert!(history.history_missing(START));
    let changed = START.after(START_OVERLAP);
    assert!(!history.history_missing(changed));
    history.adopt(changed, &configuration(2, &servers(2..=5)));
    history.settle(changed.after(SECOND), false);
    assert_eq!(history.opening_count(), 2);
    let later = changed.after(ADOPTION_OVERLAP);
    history.settle(later, true);
    assert_eq!(history.opening_count(), 2, "a domain is cut off");
    history.settle(later, false);
    assert_eq!(history.opening_count(), 1);
    assert_eq!(history.tables().len(), 2, "flows still live under it");
}

// One team changes its service many times a day. Sessions of another team's
// service, which changed once, must still be found.
#[test]
fn changes_of_one_service_push_out_no_table_of_another() {
    let quiet = ServiceId::from_name("archive");
    let mut history = GenerationHistory::default();
    let old = server_of(quiet, 100, "a");
    let new = server_of(quiet, 101, "a");
    for step in 0..40_u8 {
        let mut entries = servers(1..=4);
        entries[0].weight = Weight::new(100 + u32::from(step));
        entries.push(match step {
            0 => old.clone(),
            _ => new.clone(),
        });
        let now = START.after(SECOND * u32::from(step));
        history.adopt(now, &configuration(u64::from(step) + 1, &entries));
    }
    assert_eq!(history.tables().len(), GENERATION_LIMIT);
    assert!(history.names(quiet, old.id) && history.names(quiet, new.id));
    assert!(history.names(service_id(), server(4, "a").id));
}

#[test]
fn a_generation_outlives_no_flow() {
    let mut history = GenerationHistory::default();
    history.adopt(START, &configuration(1, &servers(1..=4)));
    history.adopt(START.after(SECOND), &configuration(2, &servers(2..=5)));
    let later = START.after(SECOND).after(FLOW_LIFE);
    history.adopt(later, &configuration(3, &servers(3..=6)));
    assert_eq!(history.tables().len(), 2);
    assert!(!history.names(service_id(), server(1, "a").id));
}

fn history_of(versions: &[(u64, std::ops::RangeInclusive<u8>)]) -> GenerationHistory {
    let mut history = GenerationHistory::default();
    for (version, numbers) in versions {
        let now = START.after(SECOND * (*version as u32));
        history.adopt(now, &configuration(*version, &servers(numbers.clone())));
    }
    history
}

fn kept_versions(history: &GenerationHistory) -> Vec<u64> {
    let tables = history.tables();
    tables.iter().map(|held| held.version.get()).collect()
}

// A host restarts while its peers are ahead of it, behind it, or neither. What
// a peer keeps goes where its version belongs, and the table in force here
// stays the newest, so that new flows lie where every host looks for them.
#[yare::parameterized(
    level = { 4, &[4, 3, 2, 1] },
    ahead = { 3, &[3, 2, 1] },
    between = { 2, &[2, 1] },
)]
fn a_started_host_learns_what_came_before(own: u64, expected: &[u64]) {
    let known = [(1, 1..=4), (2, 2..=5), (3, 3..=6), (4, 4..=7)];
    let peer = history_of(&known);
    let position = own as usize - 1;
    let mut started = history_of(&known[position..=position]);
    started.learn(&peer.listed());
    started.learn(&peer.listed());
    assert_eq!(kept_versions(&started), expected);
    let peer_tables = peer.tables();
    for (held, wanted) in started
        .tables()
        .iter()
        .zip(&peer_tables[4 - own as usize..])
    {
        assert!(held.places_like(wanted));
    }
}

#[test]
fn a_started_host_learns_from_a_peer_that_is_behind() {
    let peer = history_of(&[(1, 1..=4), (2, 2..=5)]);
    let mut started = history_of(&[(3, 3..=6)]);
    started.learn(&peer.listed());
    assert_eq!(kept_versions(&started), [3, 2, 1]);
    assert_eq!(
        started.opening_count(),
        3,
        "the peer still opens by its own"
    );
}

// Every change of a service that a peer keeps is learned, also where it has
// been given up and taken up again.
#[test]
fn a_started_host_learns_of_services_that_were_gone_for_a_while() {
    let other = ServiceId::from_name("archive");
    let with = |version, present: bool| {
        let mut entries = servers(1..=4);
        entries.extend(present.then(|| server_of(other, 100, "a")));
        configuration(version, &entries)
    };
    let mut peer = GenerationHistory::default();
    for (version, present) in [(1, true), (2, false), (3, true)] {
        peer.adopt(START, &with(version, present));
    }
    let mut started = GenerationHistory::default();
    started.adopt(START, &with(3, true));
    started.learn(&peer.listed());
    let tables = started.tables();
    let present = tables.iter().map(|held| held.of_service(other).is_some());
    assert_eq!(present.collect::<Vec<_>>(), [true, false, true]);
}
