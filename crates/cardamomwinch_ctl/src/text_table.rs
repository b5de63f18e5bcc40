//! Tables for people.

use std::cmp;
use std::fmt;

const COLUMN_GAP: &str = "  ";

/// Rows under a heading, printed in aligned columns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with `headings`.
    pub fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(|heading| heading.to_uppercase());
        Self {
            rows: vec![headings.collect()],
        }
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
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

/// `value` as text, or a dash where there is none.
pub fn or_dash<T: fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
