//! `check`: the errors of documents, with line and column.

use std::path;

use cardamomwinch_configuration::prelude::{CheckError, CheckReport, DocumentKind};
use serde::Serialize;
use snafu::Snafu;

use crate::exit::CommandExit;
use crate::outcome::{self, CommandOutcome};
use crate::text_file::{self, TextFileError};

/// Why a document does not pass the check.
#[derive(Debug)]
#[derive(Snafu)]
pub enum DocumentFailure {
    /// The file can't be read.
    #[snafu(transparent)]
    File {
        /// Why the file can't be read.
        source: TextFileError,
    },
    /// The document has errors.
    #[snafu(transparent)]
    Errors {
        /// The errors.
        source: CheckReport,
    },
    /// No top-level key shows the kind of the document.
    #[snafu(display("{}: no key tells the kind of the document; give it by --kind", file.display()))]
    UnknownKind {
        /// The file.
        file: path::PathBuf,
    },
}

/// An error of a document, as written in JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ErrorLine {
    /// The line, counted from one.
    pub line: usize,
    /// The column in characters, counted from one.
    pub column: usize,
    /// The dotted path of the key.
    pub key: String,
    /// What was found and what is allowed.
    pub problem: String,
}

impl From<&CheckError> for ErrorLine {
    fn from(error: &CheckError) -> Self {
        Self {
            line: error.line,
            column: error.column,
            key: error.key.clone(),
            problem: error.problem.to_string(),
        }
    }
}

/// The outcome for one document, as written in JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct CheckedDocument {
    /// The file.
    pub file: String,
    /// Its kind; `None` if the document does not pass.
    pub kind: Option<String>,
    /// Whether it passes.
    pub passed: bool,
    /// Why it could not be checked at all.
    pub failure: Option<String>,
    /// Its errors.
    pub errors: Vec<ErrorLine>,
}

impl CheckedDocument {
    fn new(file: &path::Path, outcome: &Result<DocumentKind, DocumentFailure>) -> Self {
        let mut document = Self {
            file: file.display().to_string(),
            kind: None,
            passed: outcome.is_ok(),
            failure: None,
            errors: Vec::new(),
        };
        match outcome {
            Ok(kind) => document.kind = Some(kind.to_string()),
            Err(DocumentFailure::Errors { source }) => {
                document.errors = source.errors.iter().map(ErrorLine::from).collect();
            }
            Err(failure) => document.failure = Some(failure.to_string()),
        }
        document
    }
}

/// Checks `files` as documents of `kind`, which is guessed for each file if it is
/// `None`.
pub fn run(files: &[path::PathBuf], kind: Option<DocumentKind>, json: bool) -> CommandOutcome {
    let checked: Vec<_> = files.iter().map(|file| check(file, kind)).collect();
    let documents = files.iter().zip(&checked);
    let output = if json {
        let documents = documents.map(|(file, outcome)| CheckedDocument::new(file, outcome));
        outcome::to_json(&documents.collect::<Vec<_>>())
    } else {
        documents
            .map(|(file, outcome)| describe(file, outcome))
            .collect()
    };
    let exit = if checked.iter().all(Result::is_ok) {
        CommandExit::Success
    } else {
        CommandExit::CheckFailed
    };
    CommandOutcome::success(output).with_exit(exit)
}

fn check(file: &path::Path, kind: Option<DocumentKind>) -> Result<DocumentKind, DocumentFailure> {
    let text = text_file::read(file)?;
    let name = file.display().to_string();
    let kind = match kind {
        Some(kind) => kind,
        None => DocumentKind::guess(&name, &text)?
            .ok_or_else(|| DocumentFailure::UnknownKind { file: file.into() })?,
    };
    kind.check(&name, &text)?;
    Ok(kind)
}

fn describe(file: &path::Path, outcome: &Result<DocumentKind, DocumentFailure>) -> String {
    match outcome {
        Ok(kind) => format!("{}: {kind}: no error\n", file.display()),
        Err(failure) => format!("{failure}\n"),
    }
}
