//! The program `cardamomwinchctl`; see the library for what it does.

use std::env;
use std::io::{self, Write};
use std::process;

use cardamomwinch_ctl::prelude::*;

fn main() -> process::ExitCode {
    let arguments: Vec<String> = env::args_os()
        .skip(1)
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    let outcome = run(&arguments);
    match print(&outcome) {
        Ok(()) => outcome.exit.into(),
        // A reader such as `head` closes the pipe when it has read enough.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => outcome.exit.into(),
        Err(_) => CommandExit::Output.into(),
    }
}

fn print(outcome: &CommandOutcome) -> io::Result<()> {
    io::stderr().write_all(outcome.errors.as_bytes())?;
    let mut output = io::stdout().lock();
    output.write_all(outcome.output.as_bytes())?;
    output.flush()
}
