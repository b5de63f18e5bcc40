//! Errors of a document with their positions, collected into one report.

use std::error;
use std::fmt;

use snafu::Snafu;

use crate::problem::CheckProblem;

/// One error and its position.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("{file}:{line}:{column}: {key}: {problem}"))]
pub struct CheckError {
    /// The name under which the document was given.
    pub file: String,
    /// The line, from one.
    pub line: usize,
    /// The column in characters, from one.
    pub column: usize,
    /// The dotted path of the key; `.` for the document itself.
    pub key: String,
    /// What is wrong.
    pub problem: CheckProblem,
}

/// All errors of a document, ordered by position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckReport {
    /// The errors.
    pub errors: Vec<CheckError>,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, error) in self.errors.iter().enumerate() {
            if position > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{error}")?;
        }
        Ok(())
    }
}

impl error::Error for CheckReport {}
