//! What the daemons have in common: help, version and exit codes.

use std::env;
use std::process;

use crate::arguments::{self, DaemonArguments, DaemonCommand};

// The exit codes, which the help text explains.
const CUT: u8 = 1;
const USAGE: u8 = 2;
const SETTINGS: u8 = 3;
const LAUNCH: u8 = 4;

/// How a daemon ended.
/// The texts are printed to standard error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProgramEnd {
    /// It stopped gracefully.
    Graceful,
    /// It stopped and cut off what the text names.
    Cut(String),
    /// It did not start, because the settings cannot be read or are not valid; the text holds
    /// the errors.
    SettingsRefused(String),
    /// It did not start for another reason, which the text names.
    LaunchFailed(String),
}

/// Runs the daemon `program`: parses the command line and, if it asks to serve, calls `serve`.
pub fn run(program: &str, serve: impl FnOnce(&DaemonArguments) -> ProgramEnd) -> process::ExitCode {
    let command_line: Vec<String> = env::args().skip(1).collect();
    match DaemonCommand::parse(&command_line) {
        Ok(DaemonCommand::Help) => {
            print!("{}", arguments::usage(program));
            process::ExitCode::SUCCESS
        }
        Ok(DaemonCommand::Version) => {
            println!("{program} {}", env!("CARGO_PKG_VERSION"));
            process::ExitCode::SUCCESS
        }
        Ok(DaemonCommand::Serve(arguments)) => report(program, serve(&arguments)),
        Err(error) => {
            eprintln!("{program}: {error}\n\n{}", arguments::usage(program));
            process::ExitCode::from(USAGE)
        }
    }
}

fn report(program: &str, end: ProgramEnd) -> process::ExitCode {
    let code = match &end {
        ProgramEnd::Graceful => return process::ExitCode::SUCCESS,
        ProgramEnd::Cut(_) => CUT,
        ProgramEnd::SettingsRefused(_) => SETTINGS,
        ProgramEnd::LaunchFailed(_) => LAUNCH,
    };
    match end {
        ProgramEnd::SettingsRefused(text) => eprintln!("{text}"),
        ProgramEnd::Cut(text) | ProgramEnd::LaunchFailed(text) => eprintln!("{program}: {text}"),
        ProgramEnd::Graceful => {}
    }
    process::ExitCode::from(code)
}
