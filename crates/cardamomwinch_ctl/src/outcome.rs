//! Runs a command line and collects the text to print.

use std::fmt;

use serde::Serialize;

use crate::arguments::{self, CommandArguments, OperatorCommand};
use crate::check_command;
use crate::diff_command;
use crate::exit::CommandExit;
use crate::host_command;
use crate::identify_command;

/// The output of a command and its exit code.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutcome {
    /// The text for the standard output.
    pub output: String,
    /// The text for the standard error output.
    pub errors: String,
    /// The exit code.
    pub exit: CommandExit,
}

impl CommandOutcome {
    /// The outcome of a command that prints `output` and succeeds.
    pub fn success(output: String) -> Self {
        Self {
            output,
            errors: String::new(),
            exit: CommandExit::Success,
        }
    }

    /// The outcome of a command that prints `error` and ends with `exit`.
    pub fn failure(error: impl fmt::Display, exit: CommandExit) -> Self {
        Self {
            output: String::new(),
            errors: format!("cardamomwinchctl: {error}\n"),
            exit,
        }
    }

    /// The same outcome with the exit code `exit`.
    #[must_use]
    pub fn with_exit(mut self, exit: CommandExit) -> Self {
        self.exit = exit;
        self
    }
}

/// Returns `report` as indented JSON that ends with a line break.
pub(crate) fn to_json<T: Serialize>(report: &T) -> String {
    // Reports hold only strings, numbers, booleans, lists and structures of them.
    let text = serde_json::to_string_pretty(report).expect("a report has string keys only");
    text + "\n"
}

/// Runs the command line `arguments`, without the name of the program.
pub fn run(arguments: &[String]) -> CommandOutcome {
    let arguments = match CommandArguments::parse(arguments) {
        Ok(arguments) => arguments,
        Err(error) => {
            let hint = format!("{error}; see cardamomwinchctl --help");
            return CommandOutcome::failure(hint, CommandExit::Usage);
        }
    };
    let json = arguments.json;
    match arguments.command {
        OperatorCommand::Help => CommandOutcome::success(arguments::help()),
        OperatorCommand::Version => {
            let version = env!("CARGO_PKG_VERSION");
            CommandOutcome::success(format!("cardamomwinchctl {version}\n"))
        }
        OperatorCommand::Check { files, kind } => check_command::run(&files, kind, json),
        OperatorCommand::Diff { old, new } => diff_command::run(&old, &new, json),
        OperatorCommand::Identify { names } => identify_command::run(&names, json),
        OperatorCommand::Host(call) => host_command::run(&call, json),
    }
}
