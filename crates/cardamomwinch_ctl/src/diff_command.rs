//! `diff`: the effects of a change of the configuration.

use std::path;

use cardamomwinch_configuration::prelude::{RefusedFragment, compare};
use serde::Serialize;

use crate::difference_text::{self, ChangeLine};
use crate::directory::{ConfigurationDirectory, DirectoryFailure};
use crate::exit::CommandExit;
use crate::outcome::{self, CommandOutcome};
use crate::text_table::TextTable;

/// A fragment of the new directory that would not be in force, as written in JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RefusedLine {
    /// The team.
    pub team: String,
    /// The revision of its fragment.
    pub revision: u64,
    /// Why it would be refused.
    pub reason: String,
}

impl From<&RefusedFragment> for RefusedLine {
    fn from(refused: &RefusedFragment) -> Self {
        Self {
            team: refused.team.clone(),
            revision: refused.revision.get(),
            reason: refused.reason.to_string(),
        }
    }
}

/// The effects of a change, as written in JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct DiffReport {
    /// The preset that would be in force.
    pub preset: String,
    /// Whether a fragment mentions that preset. A preset that no fragment mentions
    /// changes nothing, and its name may be misspelt.
    pub preset_mentioned: bool,
    /// The changes; dangers first.
    pub changes: Vec<ChangeLine>,
    /// Fragments that would not be in force.
    pub refused: Vec<RefusedLine>,
}

/// Compares the directories `old` and `new`.
pub fn run(old: &path::Path, new: &path::Path, json: bool) -> CommandOutcome {
    let old = ConfigurationDirectory::read(old);
    let new = ConfigurationDirectory::read(new);
    let (old, new) = match (old, new) {
        (Ok(old), Ok(new)) => (old, new),
        (old, new) => return fail(old.err().into_iter().chain(new.err()).flatten()),
    };
    let report = report(&old, &new);
    let output = if json {
        outcome::to_json(&report)
    } else {
        describe(&report)
    };
    let exit = if report.refused.is_empty() {
        CommandExit::Success
    } else {
        CommandExit::CheckFailed
    };
    CommandOutcome::success(output).with_exit(exit)
}

fn fail(failures: impl Iterator<Item = DirectoryFailure>) -> CommandOutcome {
    let lines = failures.map(|failure| format!("{failure}\n"));
    CommandOutcome {
        output: String::new(),
        errors: lines.collect(),
        exit: CommandExit::CheckFailed,
    }
}

fn report(old: &ConfigurationDirectory, new: &ConfigurationDirectory) -> DiffReport {
    let before = old.resolve();
    let after = new.resolve();
    let difference = compare(&before.configuration, &after.configuration);
    DiffReport {
        preset: after.configuration.preset,
        preset_mentioned: new.mentions_preset(),
        changes: difference_text::change_lines(&difference),
        refused: after.refused.iter().map(RefusedLine::from).collect(),
    }
}

fn describe(report: &DiffReport) -> String {
    let mut text = String::new();
    if !report.preset_mentioned {
        let preset = &report.preset;
        text.push_str(&format!(
            "note: no fragment mentions preset {preset}; it changes nothing\n\n"
        ));
    }
    if report.changes.is_empty() {
        text.push_str("nothing in force would change\n");
    } else {
        text.push_str(&difference_text::change_table(&report.changes).to_string());
    }
    if !report.refused.is_empty() {
        let mut table = TextTable::new(&["refused team", "revision", "reason"]);
        for refused in &report.refused {
            table.push(vec![
                refused.team.clone(),
                refused.revision.to_string(),
                refused.reason.clone(),
            ]);
        }
        text.push_str(&format!("\n{table}"));
    }
    text
}
