//! The exit codes of the command.

use std::fmt;
use std::process;

/// How a command ended. The number is the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum CommandExit {
    /// The command succeeded.
    Success = 0,
    /// A document has an error, or can't be read.
    CheckFailed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The host gave no answer in time.
    Unreachable = 3,
    /// The host refused the request, or its answer was not understood.
    Refused = 4,
    /// The output could not be written.
    Output = 5,
}

impl CommandExit {
    /// Every exit code.
    pub const ALL: [Self; 6] = [
        Self::Success,
        Self::CheckFailed,
        Self::Usage,
        Self::Unreachable,
        Self::Refused,
        Self::Output,
    ];

    /// The number that the process returns.
    pub const fn code(self) -> u8 {
        self as u8
    }
}

impl fmt::Display for CommandExit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Success => "success",
            Self::CheckFailed => "a document has an error, or can't be read",
            Self::Usage => "the command line is wrong",
            Self::Unreachable => "the host gave no answer in time",
            Self::Refused => "the host refused, or its answer was not understood",
            Self::Output => "the output could not be written",
        })
    }
}

impl From<CommandExit> for process::ExitCode {
    fn from(exit: CommandExit) -> Self {
        Self::from(exit.code())
    }
}
