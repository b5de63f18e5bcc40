//! Collects the errors of a document, with their positions, while it is read.

use std::cmp;
use std::fmt;

use crate::check::{CheckError, CheckReport};
use crate::problem::CheckProblem;

/// Quoted text in an error is truncated after this many characters. Otherwise
/// a document with one long name and many errors below it would produce a
/// report many times its own size.
const MAX_QUOTED_CHARS: usize = 64;

/// Returns `text`, truncated if it is long.
pub(crate) fn quote(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text.to_owned(),
    }
}

/// Like [`quote`], but on a single line. A name with a line break would
/// otherwise spread its error over two lines, and an escape sequence could
/// change the state of the operator's terminal.
pub(crate) fn quote_on_one_line(text: &str) -> String {
    let quoted = quote(text);
    if quoted.contains(char::is_control) {
        quoted.escape_debug().to_string()
    } else {
        quoted
    }
}

/// The dotted path of a key.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct KeyPath(String);

impl KeyPath {
    /// Returns the path of `key` below this one.
    pub(crate) fn child(&self, key: &str) -> Self {
        let key = quote_on_one_line(key);
        if self.0.is_empty() {
            Self(key)
        } else {
            Self(format!("{}.{key}", self.0))
        }
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(if self.0.is_empty() { "." } else { &self.0 })
    }
}

struct Finding {
    offset: usize,
    key: String,
    problem: CheckProblem,
}

/// The errors found so far in one document.
pub(crate) struct DocumentChecker<'t> {
    file: &'t str,
    text: &'t str,
    line_starts: Vec<usize>,
    findings: Vec<Finding>,
}

impl<'t> DocumentChecker<'t> {
    pub(crate) fn new(file: &'t str, text: &'t str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(at, _)| at + 1);
        Self {
            file,
            text,
            line_starts: std::iter::once(0).chain(after_breaks).collect(),
            findings: Vec::new(),
        }
    }

    /// Records `problem` at byte `offset` under `path`.
    pub(crate) fn report(&mut self, offset: usize, path: &KeyPath, problem: CheckProblem) {
        self.findings.push(Finding {
            offset,
            key: path.to_string(),
            problem,
        });
    }

    /// The line of byte `offset`, from one.
    pub(crate) fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// Returns `value` if the document has no errors, and otherwise the report.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, CheckReport> {
        match value {
            Some(value) if self.findings.is_empty() => Ok(value),
            _ => Err(self.into_report()),
        }
    }

    /// Computes all positions in one pass over the text. Counting the columns
    /// of each error from the start of its line would take minutes for a
    /// document that is one long line full of errors.
    fn into_report(mut self) -> CheckReport {
        self.findings.sort_by_key(|finding| finding.offset);
        let mut cursor = PositionCursor::new(self.text);
        let errors = self.findings.into_iter().map(|finding| {
            cursor.advance(finding.offset);
            CheckError {
                file: self.file.to_owned(),
                line: cursor.line,
                column: cursor.column,
                key: finding.key,
                problem: finding.problem,
            }
        });
        CheckReport {
            errors: errors.collect(),
        }
    }
}

struct PositionCursor<'t> {
    text: &'t str,
    offset: usize,
    line: usize,
    column: usize,
}

impl<'t> PositionCursor<'t> {
    const fn new(text: &'t str) -> Self {
        Self {
            text,
            offset: 0,
            line: 1,
            column: 1,
        }
    }

    fn advance(&mut self, offset: usize) {
        let offset = cmp::min(offset, self.text.len());
        let passed = self.text.get(self.offset..offset).unwrap_or_default();
        for passed_char in passed.chars() {
            if passed_char == '\n' {
                self.line += 1;
                self.column = 1;
            } else {
                self.column += 1;
            }
        }
        self.offset = cmp::max(offset, self.offset);
    }
}
