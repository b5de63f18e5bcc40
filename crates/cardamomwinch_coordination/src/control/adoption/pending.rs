//! A root document on its way into force. It comes into force as a whole,
//! once every fragment that it lists was read, or is known not to be had.

use std::time;

use cardamomwinch_state::prelude::{FragmentRevision, Timestamp};

use crate::control::adoption::accepted::AcceptedState;
use crate::control::adoption::document::{HeldFragment, HeldRoot};

/// A root document does not wait longer for fragments whose teams have an
/// earlier one: the platform may fail between two reads.
const PENDING_LIMIT: time::Duration = time::Duration::from_millis(1500);
/// A host that has nothing older waits this long for the fragments of single
/// teams while it was given those of others; then only the former are missing.
const STARTER_LIMIT: time::Duration = time::Duration::from_secs(5);

/// The root document and the fragments read for it so far.
#[derive(Debug)]
pub(crate) struct PendingRoot {
    root: HeldRoot,
    begun: Timestamp,
    /// Fragments are read from this point on, unless a peer offers them before.
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

    /// Keeps what was read for an earlier root document.
    pub(crate) fn inherit(&mut self, earlier: Self) {
        self.fragments = earlier.fragments;
    }

    /// The revision that the root document lists for `team`.
    pub(crate) fn listed(&self, team: &String) -> Option<FragmentRevision> {
        self.root.document.teams.get(team).copied()
    }

    /// Notes a fragment. One that is older than listed is all there is to be had.
    pub(crate) fn note(&mut self, team: String, fragment: HeldFragment) {
        let revision = FragmentRevision::new(fragment.stamp.revision);
        if self.listed(&team).is_some_and(|listed| revision < listed) {
            self.unavailable.push(team.clone());
        }
        self.fragments.push((team, fragment));
    }

    /// Notes that the platform has no fragment of `team`.
    pub(crate) fn note_missing(&mut self, team: String) {
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
        let late = now >= self.begun.after(PENDING_LIMIT);
        let starved = now >= self.begun.after(STARTER_LIMIT) && !self.fragments.is_empty();
        let mut teams = self.root.document.teams.iter();
        teams.all(|(team, listed)| {
            self.has(state, team, *listed)
                || self.unavailable.contains(team)
                || (late && state.teams.contains_key(team))
                || starved
        })
    }

    /// Raises `state` by what was read; by the root document, too, where
    /// `with_root` holds.
    pub(crate) fn raise(self, state: &mut AcceptedState, with_root: bool) {
        for (team, fragment) in &self.fragments {
            state.team_mut(team).note(fragment);
        }
        if with_root {
            state.raise_root(self.root);
        }
    }
}
