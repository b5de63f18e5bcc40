//! Searches all states of the specifications and prints what was found.

use cardamomwinch_model::prelude::*;

fn main() {
    for bounds in [
        HomeBounds::leases_only(),
        HomeBounds::with_request(),
        HomeBounds::without_refusals(),
    ] {
        let sound = HomeSpecification::new(bounds);
        match search::explore(&sound, StateLimit::new(60_000_000)) {
            Ok(report) => {
                println!("{bounds:?}: {report}");
                if let Some(violation) = report.violation {
                    println!("{violation}");
                }
            }
            Err(error) => println!("{bounds:?}: {error}"),
        }
    }
    for mistake in HomeMistake::ALL {
        let spec = HomeSpecification::new(mistake.bounds()).with_mistake(*mistake);
        match search::explore(&spec, StateLimit::new(60_000_000)) {
            Ok(report) => {
                println!("{mistake}: {report}");
                match report.violation {
                    Some(violation) => println!("{violation}"),
                    None => println!("NOT FOUND {mistake}"),
                }
            }
            Err(error) => println!("{mistake}: {error}"),
        }
    }
}
