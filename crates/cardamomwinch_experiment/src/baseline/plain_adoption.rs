//! How a baseline host gets its configuration: it watches the platform.

use std::time;

use cardamomwinch_configuration::prelude::{RootDocument, TeamFragment};
use cardamomwinch_configuration::resolve::{self, AcceptedFragment};
use cardamomwinch_coordination::control::event::PlatformAnswer;
use cardamomwinch_coordination::prelude::{PlatformKey, PlatformOutcome, PlatformRequest};
use cardamomwinch_state::prelude::{
    ConfigurationVersion, FragmentRevision, InForceConfiguration, SortedVector,
};

const WATCH_WAIT: time::Duration = time::Duration::from_secs(20);

/// The configuration that a baseline host has in force, and the documents that
/// it has read.
#[derive(Debug, Default)]
pub struct PlainAdoption {
    /// The configuration in force.
    pub configuration: InForceConfiguration,
    fragments: SortedVector<String, AcceptedFragment>,
    pending: Option<(ConfigurationVersion, RootDocument)>,
    failed: Vec<PlatformRequest>,
}

impl PlainAdoption {
    /// The calls of a host that has just started.
    pub fn first_requests() -> Vec<PlatformRequest> {
        vec![request(PlatformKey::Root, None)]
    }

    /// Removes and returns the failed calls, which are due for a retry.
    pub fn due_requests(&mut self) -> Vec<PlatformRequest> {
        std::mem::take(&mut self.failed)
    }

    /// Handles the outcome of a call; returns the calls to make next.
    pub fn handle(&mut self, outcome: PlatformOutcome) -> Vec<PlatformRequest> {
        match outcome.result {
            Ok(PlatformAnswer::Value { revision, text }) => match outcome.request.key {
                PlatformKey::Root => self.handle_root(revision, &text),
                PlatformKey::Team(team) => self.handle_fragment(team, revision, &text),
                PlatformKey::Hosts => Vec::new(),
            },
            Ok(PlatformAnswer::Unchanged) => vec![outcome.request],
            Ok(PlatformAnswer::Missing) | Err(_) => {
                self.failed.push(outcome.request);
                Vec::new()
            }
        }
    }

    fn handle_root(&mut self, revision: u64, text: &str) -> Vec<PlatformRequest> {
        let version = ConfigurationVersion::new(revision);
        let mut next = vec![request(PlatformKey::Root, Some(revision))];
        let Ok(document) = RootDocument::parse("root", text) else {
            return next;
        };
        let held = &self.fragments;
        let missing = document.teams.iter().filter(|(team, revision)| {
            held.get(team).is_none_or(|held| held.revision < **revision)
        });
        next.extend(missing.map(|(team, _)| request(PlatformKey::Team(team.clone()), None)));
        if version > self.configuration.version {
            self.pending = Some((version, document));
            self.resolve_if_complete();
        }
        next
    }

    fn handle_fragment(&mut self, team: String, revision: u64, text: &str) -> Vec<PlatformRequest> {
        if let Ok(fragment) = TeamFragment::parse(&team, text) {
            let accepted = AcceptedFragment {
                team: team.clone(),
                revision: FragmentRevision::new(revision),
                fragment,
            };
            self.fragments.insert(team, accepted);
            self.resolve_if_complete();
        }
        Vec::new()
    }

    fn resolve_if_complete(&mut self) {
        let Some((version, document)) = &self.pending else {
            return;
        };
        let complete = document.teams.iter().all(|(team, revision)| {
            let held = self.fragments.get(team);
            held.is_some_and(|held| held.revision >= *revision)
        });
        if complete {
            let fragments: Vec<_> = self.fragments.values().cloned().collect();
            self.configuration = resolve::resolve(document, *version, &fragments).configuration;
            self.pending = None;
        }
    }
}

fn request(key: PlatformKey, after: Option<u64>) -> PlatformRequest {
    let wait = match after {
        Some(_) => WATCH_WAIT,
        None => time::Duration::ZERO,
    };
    PlatformRequest { key, after, wait }
}
