//! Reading documents from the platform.

use std::time;

use cardamomwinch_configuration::host_list;
use cardamomwinch_protocol::peer::configuration::PublishedText;
use cardamomwinch_state::prelude::{FragmentRevision, HostListVersion, Timestamp};

use crate::control::adoption::document::{HeldFragment, HeldRoot};
use crate::control::adoption::effect::AdoptionEffect;
use crate::control::adoption::host_lists::HeldHosts;
use crate::control::adoption::pending::PendingRoot;
use crate::control::adoption::refusal::RefusedDocument;
use crate::control::adoption::{self, ConfigurationAdoption, PeerReachability};
use crate::control::event::{PlatformAnswer, PlatformKey, PlatformOutcome, PlatformRequest};
use crate::counter::Counter;

/// How long a watch waits at the platform. A connection that is cut off without
/// being closed is detected only after this time.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(10);
/// The longest backoff of a reader. There are few readers, and a change that is
/// published right after an outage must be seen within this time.
const MAX_READER_BACKOFF: time::Duration = time::Duration::from_secs(2);
/// The longest backoff of a starting host: the whole fleet may start at once.
const MAX_STARTER_BACKOFF: time::Duration = time::Duration::from_secs(8);
/// The delay with which the readers of each further failure domain fetch fragments:
/// by then a peer has usually offered them.
const DOMAIN_STAGGER: time::Duration = time::Duration::from_millis(20);
/// The delay with which each further reader of a domain fetches fragments.
const RANK_STAGGER: time::Duration = time::Duration::from_millis(250);
/// The longest delay between reading a root document and fetching its fragments.
const MAX_STAGGER: time::Duration = time::Duration::from_millis(750);

impl ConfigurationAdoption {
    /// Reads the two documents that belong to no team.
    pub(super) fn read_shared_documents(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<AdoptionEffect>,
    ) {
        for key in [PlatformKey::Root, PlatformKey::Hosts] {
            self.call(now, read(key), effects);
        }
    }

    fn call(
        &mut self,
        now: Timestamp,
        request: PlatformRequest,
        effects: &mut Vec<AdoptionEffect>,
    ) {
        if self.calls.try_start(now, &request) {
            let kind = match request.after {
                None => Counter::PlatformRead,
                Some(_) => Counter::PlatformWatch,
            };
            effects.push(AdoptionEffect::Count(kind));
            effects.push(AdoptionEffect::Call(request));
        }
    }

    /// Makes the calls that are due.
    pub(super) fn call_platform<R: PeerReachability>(
        &mut self,
        now: Timestamp,
        peers: &R,
        effects: &mut Vec<AdoptionEffect>,
    ) {
        if self.confirmation.reads_platform(now) {
            if !self.confirmation.has_read_root() {
                self.call(now, read(PlatformKey::Root), effects);
            }
            if !self.confirmation.has_read_hosts() {
                self.call(now, read(PlatformKey::Hosts), effects);
            }
        }
        let reads = self.is_reader(now, peers);
        if reads {
            let root = newest_seen(self.version().get(), &self.refused_root);
            let hosts = newest_seen(self.hosts().version.get(), &self.refused_hosts);
            let pending = self.pending.as_ref().map_or(0, PendingRoot::revision);
            self.call(now, watch(PlatformKey::Root, root.max(pending)), effects);
            self.call(now, watch(PlatformKey::Hosts, hosts), effects);
        }
        for team in self.wanted_teams(now, reads) {
            self.call(now, read(PlatformKey::Team(team)), effects);
        }
    }

    /// The teams whose fragments are to be read: those that the pending root
    /// document waits for. If there is none, readers read those whose newest fragment
    /// is older than the one listed in the root document in force.
    fn wanted_teams(&self, now: Timestamp, reads: bool) -> Vec<String> {
        if let Some(pending) = &self.pending {
            return pending.wanted(now, &self.state).cloned().collect();
        }
        let Some(root) = self.state.root.as_ref().filter(|_| reads) else {
            return Vec::new();
        };
        let outdated = root
            .document
            .teams
            .iter()
            .filter(|(team, listed)| self.state.newest_revision(team) < listed.get());
        outdated.map(|(team, _)| team.clone()).collect()
    }

    /// Handles the outcome of a call.
    pub fn handle_platform_outcome<R: PeerReachability>(
        &mut self,
        now: Timestamp,
        outcome: PlatformOutcome,
        peers: &R,
        effects: &mut Vec<AdoptionEffect>,
    ) {
        let PlatformOutcome { request, result } = outcome;
        match result {
            Err(_) => {
                self.back_off(now, &request);
                effects.push(AdoptionEffect::Count(Counter::PlatformFailed));
            }
            Ok(PlatformAnswer::Missing) => {
                self.back_off(now, &request);
                effects.push(AdoptionEffect::Count(Counter::PlatformFailed));
                if let (Some(pending), PlatformKey::Team(team)) = (&mut self.pending, request.key) {
                    pending.record_missing(team);
                }
            }
            Ok(PlatformAnswer::Unchanged) => self.calls.succeed(&request),
            Ok(PlatformAnswer::Value { revision, text }) => {
                let published = PublishedText { revision, text };
                self.handle_value(now, request, published, peers, effects);
            }
        }
        self.finish_pending(now, effects);
        self.decide_confirmation(now);
        self.call_platform(now, peers, effects);
    }

    fn back_off(&mut self, now: Timestamp, request: &PlatformRequest) {
        let longest = if self.confirmation.is_done() {
            MAX_READER_BACKOFF
        } else {
            MAX_STARTER_BACKOFF
        };
        self.calls.back_off(now, request, longest);
    }

    fn handle_value<R: PeerReachability>(
        &mut self,
        now: Timestamp,
        request: PlatformRequest,
        published: PublishedText,
        peers: &R,
        effects: &mut Vec<AdoptionEffect>,
    ) {
        let held = self.held_revision(&request.key);
        let started = self.calls.started(&request);
        let current = started.is_some_and(|started| self.confirmation.covers(started));
        if current && published.revision >= held {
            match request.key {
                PlatformKey::Root => self.confirmation.note_root(),
                PlatformKey::Hosts => self.confirmation.note_hosts(),
                PlatformKey::Team(_) => {}
            }
        }
        // Counts answers of a platform that returns older documents than before:
        // their revision is lower than the accepted one.
        if published.revision < held {
            effects.push(AdoptionEffect::Count(Counter::PlatformStale));
        }
        // Guards against a busy loop: backs off after a watch that returns nothing
        // new, or a read that returns an older revision than is known to exist.
        let expected = self.expected_revision(&request).max(held);
        if published.revision < expected {
            self.back_off(now, &request);
        } else {
            self.calls.succeed(&request);
        }
        match request.key {
            PlatformKey::Root => self.handle_root(now, published, peers, effects),
            PlatformKey::Hosts => self.handle_hosts(now, published, effects),
            PlatformKey::Team(team) => {
                self.handle_fragment(now, team, published, effects);
            }
        }
    }

    fn held_revision(&self, key: &PlatformKey) -> u64 {
        match key {
            PlatformKey::Root => self.version().get(),
            PlatformKey::Hosts => self.hosts().version.get(),
            PlatformKey::Team(team) => self.state.newest_revision(team),
        }
    }

    /// The lowest revision that makes the answer to `request` useful.
    fn expected_revision(&self, request: &PlatformRequest) -> u64 {
        let PlatformKey::Team(team) = &request.key else {
            return request.after.map_or(0, |after| after.saturating_add(1));
        };
        let pending = self.pending.as_ref();
        let root = self.state.root.as_ref();
        let listed = pending
            .and_then(|pending| pending.listed(team))
            .or_else(|| root.and_then(|root| root.document.teams.get(team).copied()));
        listed.map_or(0, FragmentRevision::get)
    }

    fn handle_root<R: PeerReachability>(
        &mut self,
        now: Timestamp,
        published: PublishedText,
        peers: &R,
        effects: &mut Vec<AdoptionEffect>,
    ) {
        let revision = published.revision;
        let pending = self.pending.as_ref().map_or(0, PendingRoot::revision);
        let newest = newest_seen(self.version().get(), &self.refused_root).max(pending);
        if revision <= newest {
            return;
        }
        match HeldRoot::read(published) {
            Ok(root) => {
                let reads_from = now.after(self.stagger(now, revision, peers));
                let mut begun = PendingRoot::new(root, now, reads_from);
                if let Some(earlier) = self.pending.take() {
                    begun.reuse_fragments(earlier);
                }
                self.pending = Some(begun);
            }
            Err(report) => {
                let refused = adoption::malformed(PlatformKey::Root, revision, report);
                adoption::report(refused.clone(), effects);
                self.refused_root = Some(refused);
            }
        }
    }

    /// How long to wait for other hosts to fetch fragments and offer them. A starting
    /// host that is not a reader waits longest.
    fn stagger<R: PeerReachability>(
        &self,
        now: Timestamp,
        version: u64,
        peers: &R,
    ) -> time::Duration {
        let Some(rank) = self.ranking.reader_rank(now, self.identity, peers) else {
            return MAX_STAGGER;
        };
        let position = self.ranking.domain_position(self.identity, version);
        let by_domain = DOMAIN_STAGGER.saturating_mul(position as u32);
        let by_rank = RANK_STAGGER.saturating_mul(rank as u32);
        (by_domain + by_rank).min(MAX_STAGGER)
    }

    fn handle_fragment(
        &mut self,
        now: Timestamp,
        team: String,
        published: PublishedText,
        effects: &mut Vec<AdoptionEffect>,
    ) {
        let fragment = HeldFragment::read(&team, published);
        if let Some(pending) = &mut self.pending {
            return pending.record_fragment(team, fragment);
        }
        let mut updated = self.state.clone();
        updated.team_mut(&team).record_published(&fragment);
        self.adopt_state(now, updated, effects);
    }

    /// Puts the pending root document in force if it no longer waits for fragments.
    pub(super) fn finish_pending(&mut self, now: Timestamp, effects: &mut Vec<AdoptionEffect>) {
        let state = &self.state;
        let complete = self
            .pending
            .take_if(|pending| pending.is_complete(now, state));
        if let Some(pending) = complete {
            let mut updated = self.state.clone();
            pending.merge_into(&mut updated, true);
            self.adopt_state(now, updated, effects);
        }
    }

    fn handle_hosts(
        &mut self,
        now: Timestamp,
        published: PublishedText,
        effects: &mut Vec<AdoptionEffect>,
    ) {
        let revision = published.revision;
        if revision <= newest_seen(self.hosts().version.get(), &self.refused_hosts) {
            return;
        }
        let version = HostListVersion::new(revision);
        match host_list::parse("hosts", &published.text, version) {
            Ok(table) => {
                let mut updated = self.state.clone();
                updated.hosts.replace_if_newer(HeldHosts::new(table));
                self.adopt_state(now, updated, effects);
            }
            Err(report) => {
                let refused = adoption::malformed(PlatformKey::Hosts, revision, report);
                adoption::report(refused.clone(), effects);
                self.refused_hosts = Some(refused);
            }
        }
    }
}

/// The highest revision of a document, whether accepted or refused.
fn newest_seen(accepted: u64, refused: &Option<RefusedDocument>) -> u64 {
    let refused = refused.as_ref().map_or(0, |refused| refused.revision);
    accepted.max(refused)
}

const fn read(key: PlatformKey) -> PlatformRequest {
    PlatformRequest {
        key,
        after: None,
        wait: time::Duration::ZERO,
    }
}

const fn watch(key: PlatformKey, after: u64) -> PlatformRequest {
    PlatformRequest {
        key,
        after: Some(after),
        wait: WATCH_WAIT,
    }
}
