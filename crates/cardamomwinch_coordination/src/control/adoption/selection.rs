//! Selects which fragment of each team is in force under a root document: the
//! newest one if it is well-formed and conflicts with no other team's, else the
//! last accepted one. The selection depends only on the accepted state, so hosts
//! with equal states have the same configuration in force.

use cardamomwinch_configuration::resolve::{self, AcceptedFragment, FragmentRefusal, Resolution};
use cardamomwinch_state::prelude::{ConfigurationVersion, FragmentRevision, SortedVector};

use crate::control::adoption::accepted::{AcceptedState, TeamFragments};
use crate::control::adoption::document::{HeldFragment, HeldRoot};
use crate::control::adoption::refusal::{RefusalReason, RefusedDocument};
use crate::control::event::PlatformKey;

/// The result of a selection.
#[derive(Debug, Clone)]
pub struct FragmentSelection {
    /// The configuration in force.
    pub resolution: Resolution,
    /// The fragments in force by team.
    pub chosen: Vec<(String, HeldFragment)>,
    /// The newest fragments that are not in force.
    pub refused: Vec<RefusedDocument>,
}

/// The fragments of one team, and the position of the one currently selected.
#[derive(Debug)]
struct TeamChoice<'s> {
    team: &'s String,
    listed: FragmentRevision,
    newest: Option<&'s HeldFragment>,
    choices: Vec<&'s HeldFragment>,
    position: usize,
    conflict: Option<FragmentRefusal>,
}

impl<'s> TeamChoice<'s> {
    fn new(
        team: &'s String,
        listed: FragmentRevision,
        fragments: Option<&'s TeamFragments>,
    ) -> Self {
        let choices = fragments.map(TeamFragments::choices).unwrap_or_default();
        Self {
            team,
            listed,
            newest: choices.first().copied(),
            choices: choices
                .into_iter()
                .filter(|held| held.is_well_formed())
                .collect(),
            position: 0,
            conflict: None,
        }
    }

    fn current(&self) -> Option<&'s HeldFragment> {
        self.choices.get(self.position).copied()
    }

    fn candidate(&self) -> Option<AcceptedFragment> {
        let held = self.current()?;
        let fragment = held.content.as_ref().as_ref().ok()?.clone();
        Some(AcceptedFragment {
            team: self.team.clone(),
            revision: FragmentRevision::new(held.stamp.revision),
            fragment,
        })
    }

    fn refusal(&self) -> Option<RefusedDocument> {
        let key = PlatformKey::Team(self.team.clone());
        let Some(newest) = self
            .newest
            .filter(|held| held.stamp.revision >= self.listed.get())
        else {
            let listed = self.listed;
            return Some(RefusedDocument {
                key,
                revision: listed.get(),
                reason: RefusalReason::Missing { listed },
            });
        };
        let reason = match (newest.content.as_ref(), &self.conflict) {
            (Err(report), _) => RefusalReason::Malformed {
                report: report.clone(),
            },
            (Ok(_), Some(refusal)) => RefusalReason::Conflict {
                refusal: refusal.clone(),
            },
            (Ok(_), None) => return None,
        };
        Some(RefusedDocument {
            key,
            revision: newest.stamp.revision,
            reason,
        })
    }
}

/// Selects under `root` from the fragments of `state`.
pub fn select(root: &HeldRoot, state: &AcceptedState) -> FragmentSelection {
    let listed = &root.document.teams;
    let mut teams: SortedVector<String, TeamChoice<'_>> = listed
        .iter()
        .map(|(team, revision)| {
            let choice = TeamChoice::new(team, *revision, state.teams.get(team));
            (team.clone(), choice)
        })
        .collect();
    loop {
        let resolution = resolve_current(root, &teams);
        // Every iteration moves at least one team to an older fragment, so there
        // are at most as many iterations as fragments.
        if resolution.refused.is_empty() {
            return finish(resolution, &teams);
        }
        for refused in resolution.refused {
            if let Some(choice) = teams.get_mut(&refused.team) {
                choice.position += 1;
                choice.conflict.get_or_insert(refused.reason);
            }
        }
    }
}

fn resolve_current(root: &HeldRoot, teams: &SortedVector<String, TeamChoice<'_>>) -> Resolution {
    let candidates: Vec<AcceptedFragment> =
        teams.values().filter_map(TeamChoice::candidate).collect();
    let version = ConfigurationVersion::new(root.stamp.revision);
    resolve::resolve(&root.document, version, &candidates)
}

fn finish(
    resolution: Resolution,
    teams: &SortedVector<String, TeamChoice<'_>>,
) -> FragmentSelection {
    let chosen = teams
        .iter()
        .filter_map(|(team, choice)| Some((team.clone(), choice.current()?.clone())));
    FragmentSelection {
        resolution,
        chosen: chosen.collect(),
        refused: teams.values().filter_map(TeamChoice::refusal).collect(),
    }
}
