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
