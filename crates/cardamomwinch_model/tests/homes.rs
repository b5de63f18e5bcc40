//! All properties of the specification of homes hold, and each of its rules is
//! needed.
#![allow(clippy::unwrap_used, missing_docs)]

use cardamomwinch_model::prelude::*;

const LIMIT: StateLimit = StateLimit::new(4_000_000);

#[yare::parameterized(
    first = { 0 },
    second = { 1 },
    third = { 2 },
)]
fn nothing_fails(world: usize) {
    let (name, bounds) = HomeBounds::ALL[world];
    let report = search::explore(&HomeSpecification::new(bounds), LIMIT).unwrap();
    println!("{name}: {report}");
    if let Some(violation) = report.violation {
        panic!("{name}: {violation}");
    }
}

/// Large mistakes are only searched by `model-check --mistakes --large`.
#[yare::parameterized(
    one_holder = { HomeProperty::OneHolder },
    runs_once = { HomeProperty::RunsOnce },
    not_run_is_true = { HomeProperty::NotRunIsTrue },
    one_dispatcher = { HomeProperty::OneDispatcher },
    copy_answered = { HomeProperty::CopyAnswered },
    home_emerges = { HomeProperty::HomeEmerges },
)]
fn every_mistake_is_found(property: HomeProperty) {
    let mistakes = HomeMistake::ALL.iter();
    let searched: Vec<HomeMistake> = mistakes
        .copied()
        .filter(|mistake| mistake.property() == property && !mistake.is_large())
        .collect();
    assert!(!searched.is_empty());
    for mistake in searched {
        let unsound = HomeSpecification::new(mistake.bounds()).with_mistake(mistake);
        let report = search::explore(&unsound, LIMIT).unwrap();
        let violation = report.violation.as_ref();
        let violation = violation.unwrap_or_else(|| panic!("{mistake} is not found: {report}"));
        println!("{mistake}: {report}\n{violation}");
        assert_eq!(violation.property, property, "{mistake}");
    }
}
