//! `cardamomwinch-forwarder`: forwards flows until it receives a signal to stop.

use std::process;

use cardamomwinch_daemon::prelude::DaemonArguments;
use cardamomwinch_daemon::program::{self, ProgramEnd};
use cardamomwinch_forwarder::prelude::*;
use cardamomwinch_forwarder::stopping::StopCause;

fn main() -> process::ExitCode {
    program::run("cardamomwinch-forwarder", serve)
}

fn serve(arguments: &DaemonArguments) -> ProgramEnd {
    match launch::run(&arguments.settings) {
        Ok(StopCause::Quiet | StopCause::Deadline) => ProgramEnd::Graceful,
        Ok(StopCause::SecondSignal) => {
            ProgramEnd::Cut("ended by a second signal while packets still arrived".to_owned())
        }
        Err(error @ LaunchError::Settings { .. }) => ProgramEnd::SettingsRefused(error.to_string()),
        Err(error) => ProgramEnd::LaunchFailed(error.to_string()),
    }
}
