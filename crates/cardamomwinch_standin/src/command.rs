//! Shared by the stand-in programs: options, JSON lines and the main loop.

use std::env;
use std::future;
use std::process;
use std::str;

use getopts::{Matches, Options};
use serde::Serialize;
use snafu::ResultExt;

use crate::error::{OptionValueSnafu, OptionsSnafu, StandinError};
use crate::runtime::TaskExecutor;

/// One option of a program.
#[derive(Debug, Clone, Copy)]
pub struct OptionHelp {
    /// The long name, without the dashes.
    pub name: &'static str,
    /// What it means, with the default.
    pub help: &'static str,
}

/// The parsed options of the command line.
#[derive(Debug)]
pub struct GivenOptions(Matches);

impl GivenOptions {
    /// The value of `name`, or `default` if it is not given.
    ///
    /// # Errors
    /// Fails if the value cannot be parsed.
    pub fn get<T: str::FromStr>(&self, name: &'static str, default: T) -> Result<T, StandinError> {
        match self.0.opt_str(name) {
            None => Ok(default),
            Some(found) => match found.parse() {
                Ok(value) => Ok(value),
                Err(_) => OptionValueSnafu { name, found }.fail(),
            },
        }
    }

    /// All values of `name`, separated by commas.
    ///
    /// # Errors
    /// Fails if one of them cannot be parsed.
    pub fn list<T: str::FromStr>(&self, name: &'static str) -> Result<Vec<T>, StandinError> {
        let text = self.0.opt_str(name).unwrap_or_default();
        let parts = text.split(',').filter(|part| !part.is_empty());
        parts
            .map(|found| {
                found
                    .parse()
                    .or_else(|_| OptionValueSnafu { name, found }.fail())
            })
            .collect()
    }
}

/// Parses the command line; each option takes a value. `--help` prints the usage
/// and exits.
///
/// # Errors
/// Fails on unknown options.
pub fn parse(table: &[OptionHelp]) -> Result<GivenOptions, StandinError> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    for option in table {
        options.optopt("", option.name, option.help, "VALUE");
    }
    let matches = options.parse(env::args().skip(1)).context(OptionsSnafu)?;
    if matches.opt_present("help") {
        println!(
            "{}",
            options.usage("A stand-in for tests and demonstrations.")
        );
        process::exit(0);
    }
    Ok(GivenOptions(matches))
}

/// Prints `line` as one line of JSON.
pub fn print<T: Serialize>(line: &T) {
    match serde_json::to_string(line) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("{error}"),
    }
}

/// Runs `program` on an executor of this thread. The exit code is 0 for success
/// and 2 for failure.
pub fn run<P, F>(program: P) -> process::ExitCode
where
    P: FnOnce(TaskExecutor) -> F,
    F: future::Future<Output = Result<(), StandinError>>,
{
    let executor = TaskExecutor::default();
    match async_io::block_on(executor.run(program(executor.clone()))) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::from(2)
        }
    }
}
