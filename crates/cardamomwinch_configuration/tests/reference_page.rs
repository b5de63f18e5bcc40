//! The reference page `docs/SETTINGS.md` names every key that the code knows.
#![allow(clippy::unwrap_used, missing_docs)]

use cardamomwinch_configuration::prelude::DocumentKind;
use cardamomwinch_configuration::{document, keys, rules, values};

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");

/// The rows of the table under `heading`.
fn rows(heading: &str) -> Vec<&'static str> {
    let start = PAGE
        .find(&format!("\n### {heading}\n"))
        .unwrap_or_else(|| panic!("no heading {heading}"));
    let section = &PAGE[start + 5..];
    let end = section
        .find("\n## ")
        .into_iter()
        .chain(section.find("\n### "))
        .min();
    let section = &section[..end.unwrap_or(section.len())];
    section
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect()
}

fn key_of(row: &str) -> &str {
    row.split('`').nth(1).unwrap()
}

#[test]
fn every_key_has_a_row_under_its_heading_and_no_other_has() {
    for object in keys::ALL {
        let mut found: Vec<_> = rows(object.heading).into_iter().map(key_of).collect();
        let mut known = object.keys.to_vec();
        found.sort_unstable();
        known.sort_unstable();
        assert_eq!(found, known, "under heading {}", object.heading);
    }
}

#[test]
fn every_number_has_its_range_and_default() {
    for rule in rules::ALL {
        let range = format!(
            "| {} to {} | {} |",
            rule.minimum, rule.maximum, rule.default
        );
        let mut rows = keys::ALL.iter().flat_map(|object| rows(object.heading));
        let found = rows.any(|row| key_of(row) == rule.key && row.contains(&range));
        assert!(found, "no row of {} has {range}", rule.key);
    }
}

#[test]
fn the_general_limits_are_named() {
    assert!(PAGE.contains(&format!("{} bytes", document::DOCUMENT_BYTE_LIMIT)));
    assert!(PAGE.contains(&format!("{} levels", document::NESTING_LIMIT)));
    assert!(PAGE.contains(&format!("1 to {} ASCII", values::NAME_LENGTH_LIMIT)));
}

#[test]
fn the_examples_pass_the_check() {
    let examples: Vec<_> = PAGE.split("```jsonc\n").skip(1).collect();
    assert_eq!(examples.len(), DocumentKind::ALL.len());
    for (example, kind) in examples.into_iter().zip(DocumentKind::ALL) {
        let text = example.split("```").next().unwrap();
        assert_eq!(DocumentKind::guess("page", text), Ok(Some(kind)));
        assert_eq!(kind.check("page", text), Ok(()));
    }
}
