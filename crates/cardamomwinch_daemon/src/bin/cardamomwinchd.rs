//! `cardamomwinchd`: serves as an entry host until it is stopped.

use std::process;

use cardamomwinch_daemon::prelude::*;
use cardamomwinch_daemon::program::{self, ProgramEnd};

fn main() -> process::ExitCode {
    program::run("cardamomwinchd", serve)
}

fn serve(arguments: &DaemonArguments) -> ProgramEnd {
    match launch::run(arguments) {
        Ok(StopStatus::Graceful) => ProgramEnd::Graceful,
        Ok(StopStatus::Cut { pending_requests }) => {
            ProgramEnd::Cut(format!("{pending_requests} requests were cut off"))
        }
        Err(error @ (LaunchError::Settings { .. } | LaunchError::Read { .. })) => {
            ProgramEnd::SettingsRefused(error.to_string())
        }
        Err(error) => ProgramEnd::LaunchFailed(error.to_string()),
    }
}
