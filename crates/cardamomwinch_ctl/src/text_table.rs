//! Tables for people.

use std::borrow;
use std::cmp;
use std::fmt;

const COLUMN_GAP: &str = "  ";

/// Rows under a heading, printed in aligned columns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with the column headings `headings`, printed in upper case.
    pub fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(|heading| heading.to_uppercase());
        Self {
            rows: vec![headings.collect()],
        }
    }

    /// Adds a row. Control characters in it are escaped.
    pub fn push(&mut self, row: Vec<String>) {
        let row = row.iter().map(|cell| printable(cell).into_owned());
        self.rows.push(row.collect());
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths = Vec::new();
        for row in &self.rows {
            widths.resize(cmp::max(widths.len(), row.len()), 0);
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = cmp::max(*width, cell.chars().count());
            }
        }
        widths
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let padded: Vec<_> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(formatter, "{}", padded.join(COLUMN_GAP).trim_end())?;
        }
        Ok(())
    }
}

/// Returns `value` as text, or a dash if it is `None`.
pub fn or_dash<T: fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Returns `text` with its control characters escaped. Names and reasons come from
/// documents of many teams. If they were printed unescaped, an escape sequence in one
/// of them could recolour or overwrite the other output that the operator sees.
pub fn printable(text: &str) -> borrow::Cow<'_, str> {
    if !text.contains(char::is_control) {
        return borrow::Cow::Borrowed(text);
    }
    let mut escaped = String::new();
    for character in text.chars() {
        if character.is_control() {
            escaped.extend(character.escape_default());
        } else {
            escaped.push(character);
        }
    }
    borrow::Cow::Owned(escaped)
}
