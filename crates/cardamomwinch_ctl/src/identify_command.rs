//! `id`: the identifiers of names.

use cardamomwinch_state::prelude::ServiceId;
use serde::Serialize;

use crate::outcome::{self, CommandOutcome};
use crate::text_table::TextTable;

/// A name and its identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
struct NamedIdentifier<'n> {
    name: &'n str,
    id: String,
}

/// Returns the identifier of each of `names`. The identifiers of services, failure
/// domains and hosts are computed in the same way.
pub fn run(names: &[String], json: bool) -> CommandOutcome {
    let identify = |name: &'_ String| ServiceId::from_name(name).to_string();
    let identifiers: Vec<_> = names
        .iter()
        .map(|name| NamedIdentifier {
            name,
            id: identify(name),
        })
        .collect();
    if json {
        return CommandOutcome::success(outcome::to_json(&identifiers));
    }
    let mut table = TextTable::new(&["name", "id"]);
    for identifier in identifiers {
        table.push(vec![identifier.name.to_owned(), identifier.id]);
    }
    CommandOutcome::success(table.to_string())
}
