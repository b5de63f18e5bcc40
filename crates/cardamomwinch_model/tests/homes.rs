//! The specification of homes holds, and every rule of it is needed.
#![allow(clippy::unwrap_used, missing_docs)]

use cardamomwinch_model::prelude::*;

const LIMIT: StateLimit = StateLimit::new(4_000_000);

#[yare::parameterized(
    leases = { HomeBounds::leases_only() },
    request_never_refused = { HomeBounds::without_refusals() },
    request = { HomeBounds::with_request() },
)]
fn nothing_fails(bounds: HomeBounds) {
    let report = search::explore(&HomeSpecification::new(bounds), LIMIT).unwrap();
    println!("{report}");
    if let Some(violation) = report.violation {
        panic!("{violation}");
    }
}

#[test]
fn every_mistake_is_found() {
    for mistake in HomeMistake::ALL {
        let unsound = HomeSpecification::new(mistake.bounds()).with_mistake(*mistake);
        let report = search::explore(&unsound, LIMIT).unwrap();
        let violation = report.violation.as_ref();
        let violation = violation.unwrap_or_else(|| panic!("{mistake} is not found: {report}"));
        println!("{mistake}: {report}\n{violation}");
        assert_eq!(violation.property, mistake.property(), "{mistake}");
    }
}
