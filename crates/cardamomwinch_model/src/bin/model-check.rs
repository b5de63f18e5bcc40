//! Searches all states of the specifications and prints the results.

use std::fmt;
use std::process;

use cardamomwinch_model::prelude::*;
use cardamomwinch_model::search::SearchError;
use getopts::Options;

/// A search gives up above this many states unless `--states` is given.
const DEFAULT_LIMIT: usize = 30_000_000;

/// Searches a specification and prints the result. Returns whether the search
/// found the `expected` violation, or none if none is expected.
fn report<S: Specification>(
    name: &dyn fmt::Display,
    specification: &S,
    expected: Option<S::Property>,
    limit: StateLimit,
) -> Result<bool, SearchError> {
    let report = search::explore(specification, limit)?;
    println!("{name}: {report}");
    let found = report
        .violation
        .as_ref()
        .map(|violation| violation.property);
    match &report.violation {
        Some(violation) => println!("  {violation}"),
        None => println!("  nothing fails"),
    }
    Ok(found == expected)
}

fn check_sound(large: bool, limit: StateLimit) -> Result<bool, SearchError> {
    let mut as_expected = true;
    let mut homes = HomeBounds::ALL.to_vec();
    if large {
        homes.extend(HomeBounds::LARGE);
    }
    for (name, bounds) in homes {
        let sound = HomeSpecification::new(bounds);
        as_expected &= report(&name, &sound, None, limit)?;
    }
    let mut adoption = AdoptionBounds::ALL.to_vec();
    if large {
        adoption.extend(AdoptionBounds::LARGE);
    }
    for (name, bounds) in adoption {
        let sound = AdoptionSpecification::new(bounds);
        as_expected &= report(&name, &sound, None, limit)?;
    }
    Ok(as_expected)
}

fn check_mistakes(large: bool, limit: StateLimit) -> Result<bool, SearchError> {
    let mut as_expected = true;
    let homes = HomeMistake::ALL.iter();
    for mistake in homes.filter(|mistake| large || !mistake.is_large()) {
        let unsound = HomeSpecification::new(mistake.bounds()).with_mistake(*mistake);
        as_expected &= report(mistake, &unsound, Some(mistake.property()), limit)?;
    }
    for mistake in AdoptionMistake::ALL {
        let unsound = AdoptionSpecification::new(mistake.bounds()).with_mistake(*mistake);
        as_expected &= report(mistake, &unsound, Some(mistake.property()), limit)?;
    }
    Ok(as_expected)
}

fn main() -> process::ExitCode {
    let mut options = Options::new();
    options.optflag("h", "help", "show this help");
    options.optflag(
        "l",
        "large",
        "search larger worlds too (gigabytes, minutes)",
    );
    options.optflag(
        "m",
        "mistakes",
        "search with each mistake, and print its trace",
    );
    options.optopt("s", "states", "give up above this many states", "COUNT");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}\n{}", options.usage("Usage: model-check [OPTIONS]"));
            return process::ExitCode::FAILURE;
        }
    };
    if matches.opt_present("help") {
        println!("{}", options.usage("Usage: model-check [OPTIONS]"));
        return process::ExitCode::SUCCESS;
    }
    let limit = match matches.opt_get_default("states", DEFAULT_LIMIT) {
        Ok(count) => StateLimit::new(count),
        Err(error) => {
            eprintln!("--states: {error}");
            return process::ExitCode::FAILURE;
        }
    };
    let large = matches.opt_present("large");
    let outcome = match matches.opt_present("mistakes") {
        true => check_mistakes(large, limit),
        false => check_sound(large, limit),
    };
    match outcome {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}
