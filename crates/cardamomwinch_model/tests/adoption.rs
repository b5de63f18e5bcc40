//! All properties of the specification of adoption and routing hold, and each of
//! its rules is needed.
#![allow(clippy::unwrap_used, missing_docs)]

use cardamomwinch_model::prelude::*;

const LIMIT: StateLimit = StateLimit::new(4_000_000);

#[test]
fn nothing_fails() {
    for (name, bounds) in AdoptionBounds::ALL {
        let sound = AdoptionSpecification::new(bounds);
        let report = search::explore(&sound, LIMIT).unwrap();
        println!("{name}: {report}");
        if let Some(violation) = report.violation {
            panic!("{name}: {violation}");
        }
    }
}

#[test]
fn every_mistake_is_found() {
    for mistake in AdoptionMistake::ALL {
        let unsound = AdoptionSpecification::new(mistake.bounds()).with_mistake(*mistake);
        let report = search::explore(&unsound, LIMIT).unwrap();
        let violation = report.violation.as_ref();
        let violation = violation.unwrap_or_else(|| panic!("{mistake} is not found: {report}"));
        println!("{mistake}: {report}\n{violation}");
        assert_eq!(violation.property, mistake.property(), "{mistake}");
    }
}

/// The hosts alone cannot prevent this failure: an address is reused, the
/// platform goes back to an earlier version, and a host restarts. The host
/// adopts the earlier version, no other host corrects it, and it sends a new
/// flow to the address. Only the server can stop that, by refusing a service
/// that is not its own.
#[test]
fn servers_must_refuse_where_the_platform_goes_back() {
    let bounds = AdoptionBounds {
        relapses: 1,
        ..AdoptionBounds::trusting_servers(true)
    };
    let specification = AdoptionSpecification::new(bounds).numbered();
    let report = search::explore(&specification, LIMIT).unwrap();
    let violation = report.violation.unwrap();
    println!("{violation}");
    assert_eq!(violation.property, AdoptionProperty::OwnServiceOnly);
}
