//! A root document that is not in force yet. It comes into force as a whole, once
//! every fragment that it lists was read or is known to be unavailable.

use std::time;

use cardamomwinch_state::prelude::{FragmentRevision, Timestamp};

use crate::control::adoption::accepted::AcceptedState;
use crate::control::adoption::document::{HeldFragment, HeldRoot};

/// How long a root document waits for fragments of teams that have an earlier
/// fragment: the platform may fail between two reads.
const PENDING_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
/// How long a root document waits for fragments of teams that have none, if it has
/// received those of other teams. Then only the missing teams are not in force.
const STARTER_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// The root document and the fragments read for it so far.
#[derive(Debug)]
pub(crate) struct PendingRoot {
    root: HeldRoot,
    begun: Timestamp,
    /// Fragments are read from the platform from this time on, unless a peer offers
    /// them before.
    reads_from: Timestamp,
    fragments: Vec<(String, HeldFragment)>,
    unavailable: Vec<String>,
}

impl PendingRoot {
    pub(crate) fn new(root: HeldRoot, now: Timestamp, reads_from: Timestamp) -> Self {
        Self {
            root,
            begun: now,
            reads_from,
            fragments: Vec::new(),
            unavailable: Vec::new(),
        }
    }

    /// The revision of the root document.
    pub(crate) fn revision(&self) -> u64 {
        self.root.stamp.revision
    }

    /// Keeps the fragments that were read for an earlier root document.
    pub(crate) fn reuse_fragments(&mut self, earlier: Self) {
        self.fragments = earlier.fragments;
    }

    /// The revision that the root document lists for `team`.
    pub(crate) fn listed(&self, team: &String) -> Option<FragmentRevision> {
        self.root.document.teams.get(team).copied()
    }

    /// Records a fragment that was read. If it is older than listed, the listed one
    /// is unavailable.
    pub(crate) fn record_fragment(&mut self, team: String, fragment: HeldFragment) {
        let revision = FragmentRevision::new(fragment.stamp.revision);
        if self.listed(&team).is_some_and(|listed| revision < listed) {
            self.unavailable.push(team.clone());
        }
        self.fragments.push((team, fragment));
    }

    /// Records that the platform has no fragment of `team`.
    pub(crate) fn record_missing(&mut self, team: String) {
        self.unavailable.push(team);
    }

    /// The teams whose fragments are to be read now.
    pub(crate) fn wanted<'p>(
        &'p self,
        now: Timestamp,
        state: &'p AcceptedState,
    ) -> impl Iterator<Item = &'p String> {
        let due = now >= self.reads_from;
        let teams = self.root.document.teams.iter();
        let open = teams.filter(move |(team, listed)| due && !self.has(state, team, **listed));
        open.map(|(team, _)| team)
    }

    fn has(&self, state: &AcceptedState, team: &String, listed: FragmentRevision) -> bool {
        let read = |(name, held): &(String, HeldFragment)| {
            name == team && held.stamp.revision >= listed.get()
        };
        state.newest_revision(team) >= listed.get() || self.fragments.iter().any(read)
    }

    /// Whether the root document can come into force.
    pub(crate) fn is_complete(&self, now: Timestamp, state: &AcceptedState) -> bool {
        let late = now >= self.begun.after(PENDING_TIMEOUT);
        let gives_up = now >= self.begun.after(STARTER_TIMEOUT) && !self.fragments.is_empty();
        let mut teams = self.root.document.teams.iter();
        teams.all(|(team, listed)| {
            self.has(state, team, *listed)
                || self.unavailable.contains(team)
                || (late && state.teams.contains_key(team))
                || gives_up
        })
    }

    /// Merges the fragments that were read into `state`, and the root document too
    /// if `with_root` is set.
    pub(crate) fn merge_into(self, state: &mut AcceptedState, with_root: bool) {
        for (team, fragment) in &self.fragments {
            state.team_mut(team).record_published(fragment);
        }
        if with_root {
            state.merge_root(self.root);
        }
    }
}
