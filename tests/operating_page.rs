//! Checks the operators' page against the sources: metrics, reasons and outcomes.
#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeSet;
use std::fs;
use std::path;

use cardamomwinch::prelude::{Counter, ForwardingOutcome};

fn root() -> &'static path::Path {
    path::Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(file: &str) -> String {
    fs::read_to_string(root().join(file)).unwrap()
}

/// The concatenated source files of all crates except the stand-ins, without tests and
/// benches.
fn sources() -> String {
    let mut directories = vec![root().join("crates"), root().join("platform")];
    let mut text = String::new();
    while let Some(directory) = directories.pop() {
        for entry in fs::read_dir(directory).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                let skipped = ["tests", "benches", "cardamomwinch_standin"];
                if !skipped.iter().any(|name| path.ends_with(name)) {
                    directories.push(path);
                }
            } else if path.extension().is_some_and(|kind| kind == "rs") {
                text += &fs::read_to_string(path).unwrap();
            }
        }
    }
    text
}

/// The words of lower-case letters and underscores that stand between two `quote`s.
fn quoted(text: &str, quote: char) -> BTreeSet<String> {
    let words = text.split(quote);
    let snake = |word: &&str| {
        let mut characters = word.chars();
        !word.is_empty() && characters.all(|held| held.is_ascii_lowercase() || held == '_')
    };
    words.filter(snake).map(str::to_owned).collect()
}

fn is_metric(word: &str) -> bool {
    word.starts_with("cardamomwinch_") && word.ends_with("_total")
}

/// The first cells of the table rows below `heading`, up to the next heading.
fn first_cells(page: &str, heading: &str) -> BTreeSet<String> {
    let begin = page.find(heading).unwrap() + heading.len();
    let section = page[begin..].split("\n#").next().unwrap();
    let rows = section.lines().filter_map(|row| row.strip_prefix("| `"));
    rows.map(|row| row.split('`').next().unwrap().to_owned())
        .collect()
}

/// The words in quotes in the `Display` implementation of `enumeration` in `file`.
fn printed_by(file: &str, enumeration: &str) -> BTreeSet<String> {
    let source = read(file);
    let begin = source
        .find(&format!("impl fmt::Display for {enumeration}"))
        .unwrap();
    let end = source[begin..].find("\n}\n").unwrap();
    quoted(&source[begin..begin + end], '"')
}

#[test]
fn the_page_has_each_metric_and_no_other() {
    let mut metrics: BTreeSet<String> = quoted(&sources(), '"')
        .into_iter()
        .filter(|word| is_metric(word))
        .collect();
    assert!(metrics.len() > 5, "{metrics:?}");
    metrics.extend(Counter::ALL.iter().map(|held| held.name().to_owned()));
    let page = read("docs/OPERATIONS.md");
    assert_eq!(first_cells(&page, "\n## Metrics\n"), metrics);
    let named = quoted(&page, '`').into_iter();
    let named: BTreeSet<String> = named.filter(|word| is_metric(word)).collect();
    assert_eq!(named, metrics);
}

#[test]
fn the_page_explains_each_decision_reason_and_no_other() {
    let file = "crates/cardamomwinch_coordination/src/decision.rs";
    let reasons = printed_by(file, "DecisionReason");
    assert!(reasons.len() > 20, "{reasons:?}");
    let page = read("docs/OPERATIONS.md");
    assert_eq!(first_cells(&page, "\n### Decision reasons\n"), reasons);
}

#[test]
fn the_page_explains_each_reason_of_a_refusal_and_no_other() {
    let file = "crates/cardamomwinch_protocol/src/caller.rs";
    let reasons = printed_by(file, "RefusalReason");
    let page = read("docs/OPERATIONS.md");
    let heading = "\n## What callers see and should do\n";
    assert_eq!(first_cells(&page, heading), reasons);
}

#[test]
fn the_page_explains_each_forwarding_outcome_and_no_other() {
    let outcomes = ForwardingOutcome::ALL
        .iter()
        .map(|one| one.name().to_owned());
    let page = read("docs/OPERATIONS.md");
    let heading = "\n### Forwarding outcomes\n";
    assert_eq!(first_cells(&page, heading), outcomes.collect());
}
