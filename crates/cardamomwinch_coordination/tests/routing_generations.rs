//! How long lookup tables of earlier versions are kept and used for openings.

#![allow(clippy::unwrap_used, missing_docs)]

mod routing_support;

use std::time;

use cardamomwinch_coordination::routing::generations::{
    ADOPTION_OVERLAP, GENERATION_LIMIT, GenerationHistory, MAX_FLOW_DURATION, START_OVERLAP,
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

// Hosts adopt a version within seconds of each other. Until all have done so,
// openings must also consider the homes according to the earlier version. While a
// failure domain is cut off, the version in force there is unknown, so this must
// continue.
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
    assert_eq!(
        history.tables().len(),
        2,
        "flows placed by it may still be open"
    );
}

// One team changes its service many times a day. The number of generations is
// limited, but sessions of another team's service that changed only once must
// still be found.
#[test]
fn changes_of_one_service_displace_no_table_of_another() {
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
    assert!(history.contains_server(quiet, old.id) && history.contains_server(quiet, new.id));
    assert!(history.contains_server(service_id(), server(4, "a").id));
}

#[test]
fn a_generation_is_kept_for_the_maximum_flow_duration() {
    let mut history = GenerationHistory::default();
    history.adopt(START, &configuration(1, &servers(1..=4)));
    history.adopt(START.after(SECOND), &configuration(2, &servers(2..=5)));
    let later = START.after(SECOND).after(MAX_FLOW_DURATION);
    history.adopt(later, &configuration(3, &servers(3..=6)));
    assert_eq!(history.tables().len(), 2);
    assert!(!history.contains_server(service_id(), server(1, "a").id));
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
    tables.iter().map(|kept| kept.version.get()).collect()
}

// A host restarts and receives the generations that a peer keeps. They must be
// inserted in the order of versions, and the table in force on this host must
// remain the newest, also if the peer has adopted a newer version. Otherwise new
// flows would be placed where other hosts do not look for them.
#[yare::parameterized(
    level = { 4, &[4, 3, 2, 1] },
    ahead = { 3, &[3, 2, 1] },
    between = { 2, &[2, 1] },
)]
fn a_started_host_learns_earlier_generations(own: u64, expected: &[u64]) {
    let known = [(1, 1..=4), (2, 2..=5), (3, 3..=6), (4, 4..=7)];
    let peer = history_of(&known);
    let position = own as usize - 1;
    let mut started = history_of(&known[position..=position]);
    started.add_missing(&peer.listed());
    started.add_missing(&peer.listed());
    assert_eq!(kept_versions(&started), expected);
    let peer_tables = peer.tables();
    for (kept, wanted) in started
        .tables()
        .iter()
        .zip(&peer_tables[4 - own as usize..])
    {
        assert!(kept.places_like(wanted));
    }
}

#[test]
fn a_started_host_learns_from_an_outdated_peer() {
    let peer = history_of(&[(1, 1..=4), (2, 2..=5)]);
    let mut started = history_of(&[(3, 3..=6)]);
    started.add_missing(&peer.listed());
    assert_eq!(kept_versions(&started), [3, 2, 1]);
    assert_eq!(
        started.opening_count(),
        3,
        "the peer still places new flows by its own version"
    );
}

// A service was removed in one version and added again in the next. The
// generations that a started host learns must contain this gap.
#[test]
fn a_started_host_learns_that_a_service_was_temporarily_removed() {
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
    started.add_missing(&peer.listed());
    let tables = started.tables();
    let present = tables.iter().map(|kept| kept.of_service(other).is_some());
    assert_eq!(present.collect::<Vec<_>>(), [true, false, true]);
}
