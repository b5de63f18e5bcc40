//! The accepted state of a host, which is a join-semilattice: merging the states
//! of two hosts keeps the newer version of each part. Merging is commutative,
//! associative and idempotent, and never replaces a part by an older one. Hosts
//! that exchange their states in any order and any number of times therefore end
//! with the same state.

use std::cmp;
use std::sync;

use cardamomwinch_protocol::peer::configuration::{
    ConfigurationDigest, ConfigurationOffer, DocumentStamp, FragmentOffer, KnownDocuments,
    KnownTeam,
};
use cardamomwinch_state::prelude::{
    ConfigurationVersion, HostListVersion, SortedVector, Timestamp,
};

use crate::control::adoption::document::{self, HeldFragment, HeldRoot};
use crate::control::adoption::host_lists::HostLists;

/// Accepted fragments that are kept for each team. The second one is used if two
/// hosts have independently accepted fragments of two teams that conflict.
pub const MAX_ACCEPTED: usize = 2;

/// The most bytes of fragments in one offer. An offer is sent as one message, in
/// which its text is escaped once more.
pub const MAX_OFFER_BYTES: usize = 1536 * 1024;

/// The fragments of one team.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct TeamFragments {
    /// The newest published fragment, whether or not it can be in force.
    pub newest: Option<HeldFragment>,
    /// The last fragments that were in force on any host, newest first.
    pub accepted: Vec<HeldFragment>,
}

impl TeamFragments {
    /// Records a fragment that was published.
    pub fn record_published(&mut self, fragment: &HeldFragment) {
        let newest = self.newest.as_ref().map(|newest| newest.stamp);
        if newest < Some(fragment.stamp) {
            self.newest = Some(fragment.clone());
        }
    }

    /// Records a fragment that was in force.
    pub fn accept(&mut self, fragment: &HeldFragment) {
        self.record_published(fragment);
        if self.accepted.contains(fragment) {
            return;
        }
        self.accepted.push(fragment.clone());
        self.accepted.sort_by_key(|held| cmp::Reverse(held.stamp));
        self.accepted.truncate(MAX_ACCEPTED);
    }

    fn merge(&mut self, other: &Self) {
        if let Some(newest) = &other.newest {
            self.record_published(newest);
        }
        for fragment in &other.accepted {
            self.accept(fragment);
        }
    }

    /// All distinct fragments, newest first.
    pub fn choices(&self) -> Vec<&HeldFragment> {
        let mut choices: Vec<&HeldFragment> = self.newest.iter().collect();
        choices.extend(
            self.accepted
                .iter()
                .filter(|held| Some(*held) != self.newest.as_ref()),
        );
        choices
    }

    fn newest_stamp(&self) -> DocumentStamp {
        self.newest
            .as_ref()
            .map_or_else(DocumentStamp::default, |held| held.stamp)
    }

    fn known(&self, team: &str) -> KnownTeam {
        KnownTeam {
            team: team.to_owned(),
            newest: self.newest_stamp(),
            accepted: self.accepted.iter().map(|held| held.stamp).collect(),
        }
    }
}

/// The documents that a host has accepted.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct AcceptedState {
    /// The root document.
    pub root: Option<sync::Arc<HeldRoot>>,
    /// The fragments by team.
    pub teams: SortedVector<String, TeamFragments>,
    /// The list of hosts.
    pub hosts: HostLists,
}

impl AcceptedState {
    /// The stamp of the root document; the lowest before there is one.
    pub fn root_stamp(&self) -> DocumentStamp {
        self.root
            .as_ref()
            .map_or_else(DocumentStamp::default, |root| root.stamp)
    }

    /// The version of the root document.
    pub fn version(&self) -> ConfigurationVersion {
        ConfigurationVersion::new(self.root_stamp().revision)
    }

    /// Replaces the root document if `root` is newer.
    pub fn merge_root(&mut self, root: HeldRoot) {
        if root.stamp > self.root_stamp() {
            self.root = Some(sync::Arc::new(root));
        }
    }

    /// The fragments of `team`, created empty if there are none.
    pub fn team_mut(&mut self, team: &str) -> &mut TeamFragments {
        self.teams
            .get_or_insert_with(team.to_owned(), TeamFragments::default)
    }

    /// The revision of the newest fragment of `team`; zero if there is none.
    pub fn newest_revision(&self, team: &String) -> u64 {
        let team = self.teams.get(team);
        team.map_or(0, |team| team.newest_stamp().revision)
    }

    /// Replaces each part that is newer in `other`.
    pub fn merge(&mut self, other: &Self) {
        if other.root_stamp() > self.root_stamp() {
            self.root.clone_from(&other.root);
        }
        for (name, team) in other.teams.iter() {
            self.team_mut(name).merge(team);
        }
        self.hosts.merge(&other.hosts);
    }

    /// The stamps of all documents.
    pub fn known(&self) -> KnownDocuments {
        let teams = self.teams.iter().map(|(name, team)| team.known(name));
        KnownDocuments {
            root: self.root_stamp(),
            hosts: self.hosts.stamp(),
            teams: teams.collect(),
        }
    }

    /// A digest of the stamps of all documents.
    pub fn digest(&self) -> ConfigurationDigest {
        let mut bytes = Vec::new();
        push_stamp(&mut bytes, self.root_stamp());
        push_stamp(&mut bytes, self.hosts.stamp());
        for (name, team) in self.teams.iter() {
            bytes.extend((name.len() as u64).to_le_bytes());
            bytes.extend(name.as_bytes());
            push_stamp(&mut bytes, team.newest_stamp());
            bytes.push(team.accepted.len() as u8);
            for held in &team.accepted {
                push_stamp(&mut bytes, held.stamp);
            }
        }
        ConfigurationDigest {
            version: self.version(),
            host_list: HostListVersion::new(self.hosts.stamp().revision),
            hash: document::content_hash(&bytes),
        }
    }

    /// The difference from a host that holds `known`: an offer of the documents that
    /// it lacks. `asked` is the time at which that host sent its query, by its own
    /// clock.
    pub fn difference(
        &self,
        known: &KnownDocuments,
        asked: Timestamp,
        confirmed: bool,
    ) -> ConfigurationOffer {
        let root = self.root.as_ref();
        let newer_root = root.filter(|root| root.stamp > known.root);
        let teams = self.teams.iter();
        let mut fragments: Vec<FragmentOffer> = teams
            .flat_map(|(name, team)| lacking(name, team, known_team(known, name)))
            .collect();
        let fitting = fitting_count(&fragments);
        let complete = fitting == fragments.len();
        fragments.truncate(fitting);
        ConfigurationOffer {
            asked,
            digest: self.digest(),
            complete,
            confirmed,
            // The root document is sent last, so that it never comes into force
            // before the fragments that it lists have arrived.
            root: newer_root
                .filter(|_| complete)
                .map(|root| root.published.clone()),
            fragments,
            hosts: self.hosts.offer(known.hosts),
        }
    }

    /// Whether a host that holds `known` has a document that is missing here.
    pub fn lacks(&self, known: &KnownDocuments) -> bool {
        let team_lacks = |theirs: &KnownTeam| {
            let Some(own) = self.teams.get(&theirs.team) else {
                return true;
            };
            let accepted = own.known(&theirs.team).accepted;
            let is_missing = |stamp: &DocumentStamp| would_accept(&accepted, *stamp);
            theirs.newest > own.newest_stamp() || theirs.accepted.iter().any(is_missing)
        };
        known.root > self.root_stamp()
            || known.hosts > self.hosts.stamp()
            || known.teams.iter().any(team_lacks)
    }
}

/// Whether a host that has accepted the fragments `held`, newest first, would keep
/// one with `stamp`.
fn would_accept(held: &[DocumentStamp], stamp: DocumentStamp) -> bool {
    let displaces = held.len() < MAX_ACCEPTED || held.last() < Some(&stamp);
    displaces && !held.contains(&stamp)
}

/// How many of `fragments`, in order, fit into one offer. The first one always
/// counts as fitting.
fn fitting_count(fragments: &[FragmentOffer]) -> usize {
    let sizes = fragments.iter().scan(0, |total, offer| {
        *total += offer.document.text.len();
        Some(*total)
    });
    let fitting = sizes.take_while(|total| *total <= MAX_OFFER_BYTES).count();
    fitting.max(1).min(fragments.len())
}

fn push_stamp(bytes: &mut Vec<u8>, stamp: DocumentStamp) {
    bytes.extend(stamp.revision.to_le_bytes());
    bytes.extend(stamp.hash.to_le_bytes());
}

fn known_team<'k>(known: &'k KnownDocuments, name: &str) -> Option<&'k KnownTeam> {
    let position = known
        .teams
        .binary_search_by(|team| team.team.as_str().cmp(name));
    position.ok().map(|position| &known.teams[position])
}

fn lacking(name: &str, team: &TeamFragments, known: Option<&KnownTeam>) -> Vec<FragmentOffer> {
    let known_newest = known.map(|known| known.newest).unwrap_or_default();
    let known_accepted = known.map_or(&[][..], |known| &known.accepted);
    let mut offers = Vec::new();
    for held in team.choices() {
        let accepted = team.accepted.contains(held);
        let lacks = if accepted {
            would_accept(known_accepted, held.stamp)
        } else {
            held.stamp > known_newest
        };
        if lacks {
            offers.push(FragmentOffer {
                team: name.to_owned(),
                document: held.published.as_ref().clone(),
                accepted,
            });
        }
    }
    offers
}
