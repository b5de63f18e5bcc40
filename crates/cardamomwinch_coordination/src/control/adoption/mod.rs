//! Adopts configuration. Documents from the platform and from peers are merged
//! into an accepted state whose parts are only ever replaced by newer ones. The
//! configuration in force follows from that state alone.
//!
//! - [`accepted`] is the state, [`selection`] derives the configuration in force
//!   from it.
//! - `readers` decides which hosts read the platform, `calls` when they do, and
//!   `pending` holds a root document until its fragments were read.
//! - `exchange` decides which peers to query and to announce changes to.
//! - `confirmation` tracks whether the state was compared with peers or the
//!   platform since the host started or was last paused.

pub mod accepted;
mod calls;
mod confirmation;
pub mod document;
mod earlier_tables;
pub mod effect;
mod exchange;
pub mod host_lists;
mod pending;
mod platform;
mod readers;
pub mod refusal;
pub mod selection;

use std::sync;

use cardamomwinch_protocol::peer::configuration::{
    ConfigurationDigest, ConfigurationMessage, ConfigurationOffer, DocumentStamp, KnownDocuments,
};
use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{ConfigurationVersion, HostId, HostTable, Timestamp};

use crate::control::adoption::accepted::AcceptedState;
use crate::control::adoption::calls::PlatformCalls;
use crate::control::adoption::confirmation::StateConfirmation;
use crate::control::adoption::document::{HeldFragment, HeldRoot};
use crate::control::adoption::earlier_tables::EarlierTablesRequest;
use crate::control::adoption::effect::AdoptionEffect;
use crate::control::adoption::exchange::PeerExchange;
use crate::control::adoption::pending::PendingRoot;
pub use crate::control::adoption::readers::READERS_PER_DOMAIN;
use crate::control::adoption::readers::ReaderRanking;
use crate::control::adoption::refusal::{RefusalReason, RefusedDocument};
use crate::control::event::PlatformKey;
use crate::control::membership::PeerMembership;
use crate::counter::Counter;
use crate::identity::HostIdentity;

/// The reachability of other hosts.
pub trait PeerReachability {
    /// Whether `host` is considered reachable at `now`.
    fn is_reachable(&self, now: Timestamp, host: HostId) -> bool;
}

impl PeerReachability for PeerMembership {
    fn is_reachable(&self, now: Timestamp, host: HostId) -> bool {
        Self::is_reachable(self, now, host)
    }
}

/// The documents that the last selection put in force.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
struct ChosenStamps {
    root: DocumentStamp,
    fragments: Vec<(String, DocumentStamp)>,
}

/// The configuration that this host has accepted, and the documents that it is
/// still reading. Each call pushes its effects to the vector that it is given.
#[derive(Debug)]
pub struct ConfigurationAdoption {
    identity: HostIdentity,
    state: AcceptedState,
    /// Parts of an offer that is too large for one message. They are merged
    /// into `state` together with the last part, so that no mixture of old and new
    /// fragments comes into force.
    staged: AcceptedState,
    /// The digest of `state`, cached because every heartbeat carries it.
    digest: ConfigurationDigest,
    chosen: ChosenStamps,
    /// The documents of teams that are refused under the root document in force.
    refused: Vec<RefusedDocument>,
    /// Refused documents that concern all teams, with their revisions.
    refused_root: Option<RefusedDocument>,
    refused_hosts: Option<RefusedDocument>,
    pending: Option<PendingRoot>,
    calls: PlatformCalls,
    ranking: ReaderRanking,
    exchange: PeerExchange,
    confirmation: StateConfirmation,
    earlier_tables: EarlierTablesRequest,
}

impl ConfigurationAdoption {
    /// Creates the state of a host that has just started. The identity of the host
    /// is the seed of its random delays and choices.
    pub fn new(identity: HostIdentity) -> Self {
        let seed = flow::mix(identity.host.get() ^ flow::mix(identity.incarnation.get()));
        let state = AcceptedState::default();
        Self {
            identity,
            digest: state.digest(),
            state,
            staged: AcceptedState::default(),
            chosen: ChosenStamps::default(),
            refused: Vec::new(),
            refused_root: None,
            refused_hosts: None,
            pending: None,
            calls: PlatformCalls::new(seed),
            ranking: ReaderRanking::default(),
            exchange: PeerExchange::new(flow::mix(seed)),
            confirmation: StateConfirmation::starting(),
            earlier_tables: EarlierTablesRequest::default(),
        }
    }

    /// Creates the state of a host that has accepted `state` and compared it with
    /// peers, for programs that simulate fleets without starting each host.
    pub fn resume(identity: HostIdentity, now: Timestamp, state: AcceptedState) -> Self {
        let mut adoption = Self::new(identity);
        adoption.confirmation = StateConfirmation::completed();
        let mut effects = Vec::new();
        adoption.adopt_state(now, state, &mut effects);
        adoption.exchange.end_announcing();
        adoption
    }

    /// The version in force; zero before there is one.
    pub fn version(&self) -> ConfigurationVersion {
        self.state.version()
    }

    /// The list of hosts in force.
    pub fn hosts(&self) -> &HostTable {
        self.state.hosts.table()
    }

    /// The list of hosts in force, as a shared pointer.
    pub fn shared_hosts(&self) -> &sync::Arc<HostTable> {
        self.state.hosts.table()
    }

    /// The accepted state.
    pub fn state(&self) -> &AcceptedState {
        &self.state
    }

    /// The digest of the accepted state, which this host sends to peers.
    pub fn digest(&self) -> ConfigurationDigest {
        self.digest
    }

    /// Whether this host has compared its state with peers or the platform since
    /// it started or was last paused. Until then it must not serve.
    pub fn is_confirmed(&self) -> bool {
        self.confirmation.is_done()
    }

    /// Whether this host currently reads the platform.
    pub fn is_reader<R: PeerReachability>(&self, now: Timestamp, peers: &R) -> bool {
        let rank = self.ranking.reader_rank(now, self.identity, peers);
        self.confirmation.is_done() && rank.is_some()
    }

    /// Published documents that are not in force, with the reasons.
    pub fn refused(&self) -> Vec<RefusedDocument> {
        let shared = self.refused_root.iter().chain(&self.refused_hosts);
        shared.chain(&self.refused).cloned().collect()
    }

    /// Handles the start of the process.
    pub fn start(&mut self, now: Timestamp, effects: &mut Vec<AdoptionEffect>) {
        self.confirmation.note_start(now);
        self.earlier_tables.note_start(now);
        self.read_shared_documents(now, effects);
    }

    /// Handles the end of a pause of the process or of the control thread.
    pub fn note_pause(&mut self, now: Timestamp) {
        self.confirmation.note_pause(now);
    }

    /// Does what is due at `now`.
    pub fn tick<R: PeerReachability>(
        &mut self,
        now: Timestamp,
        peers: &R,
        effects: &mut Vec<AdoptionEffect>,
    ) {
        self.finish_pending(now, effects);
        self.decide_confirmation(now);
        self.call_platform(now, peers, effects);
        self.query_peers(now, effects);
        self.request_earlier_tables(now, effects);
        self.announce(now, effects);
        let hosts = self.state.hosts.table();
        let unreachable =
            self.exchange
                .due_unreachable_announcement(now, self.identity, hosts, peers);
        if let Some(host) = unreachable {
            self.announce_to(host, effects);
        }
    }

    fn decide_confirmation(&mut self, now: Timestamp) {
        let listed = self.hosts().hosts.len();
        let peers = (listed > 0).then(|| {
            let own = self.hosts().get(self.identity.host).is_some();
            listed - usize::from(own)
        });
        let confirmed = self.confirmation.is_done();
        // A newer root document is known, but not in force until its fragments
        // were read. Until then the configuration in force is outdated.
        let newer_root_pending = self.pending.is_some();
        self.confirmation.decide(now, peers, newer_root_pending);
        if self.confirmation.is_done() && !confirmed {
            self.exchange.begin_announcing(now);
        }
    }

    fn query_peers(&mut self, now: Timestamp, effects: &mut Vec<AdoptionEffect>) {
        let hosts = self.state.hosts.table();
        let confirmation = &self.confirmation;
        let peer = self
            .exchange
            .next_query(now, self.digest, self.identity, hosts, confirmation);
        if let Some(host) = peer {
            effects.push(self.want_effect(now, host, None));
        }
    }

    fn request_earlier_tables(&mut self, now: Timestamp, effects: &mut Vec<AdoptionEffect>) {
        if !self.confirmation.is_done() || !self.earlier_tables.try_query(now) {
            return;
        }
        let hosts = self.state.hosts.table();
        let peer = self.exchange.random_host(self.identity, hosts);
        if let Some(host) = peer.filter(|host| self.exchange.try_query(now, *host)) {
            effects.push(self.want_effect(now, host, None));
        }
    }

    fn want_effect(
        &self,
        asked: Timestamp,
        host: HostId,
        address: Option<std::net::SocketAddr>,
    ) -> AdoptionEffect {
        let mut held = self.state.clone();
        held.merge(&self.staged);
        let known = held.known();
        let message = ConfigurationMessage::Want {
            asked,
            known,
            needs_earlier_tables: self.earlier_tables.is_open(asked),
        };
        AdoptionEffect::Send {
            host,
            address,
            message,
        }
    }

    fn announce(&mut self, now: Timestamp, effects: &mut Vec<AdoptionEffect>) {
        let hosts = self.state.hosts.table();
        let receivers = self.exchange.due_announcements(now, self.identity, hosts);
        for host in receivers {
            self.announce_to(host, effects);
        }
    }

    fn announce_to(&self, host: HostId, effects: &mut Vec<AdoptionEffect>) {
        let Some(own) = self.hosts().get(self.identity.host) else {
            return;
        };
        let message = ConfigurationMessage::Announce {
            digest: self.digest,
            reply_to: own.peer_address,
        };
        effects.push(AdoptionEffect::Send {
            host,
            address: None,
            message,
        });
    }

    /// Handles the digest of a peer's accepted state.
    pub fn handle_digest(
        &mut self,
        now: Timestamp,
        sender: HostId,
        digest: ConfigurationDigest,
        effects: &mut Vec<AdoptionEffect>,
    ) {
        if exchange::may_be_ahead(digest, self.digest) {
            self.exchange.note_ahead(sender, digest);
            self.query_peers(now, effects);
        }
    }

    /// Handles a message from a peer about configuration. Because merging only
    /// replaces documents by newer ones, a message may arrive twice, late, or from a
    /// host that is not in this host's list yet.
    pub fn handle_message(
        &mut self,
        now: Timestamp,
        sender: HostId,
        message: &ConfigurationMessage,
        effects: &mut Vec<AdoptionEffect>,
    ) {
        match message {
            ConfigurationMessage::Announce { digest, reply_to } => {
                if self.hosts().get(sender).is_some() {
                    self.handle_digest(now, sender, *digest, effects);
                } else if exchange::may_be_ahead(*digest, self.digest)
                    && self.exchange.try_query(now, sender)
                {
                    effects.push(self.want_effect(now, sender, Some(*reply_to)));
                }
            }
            ConfigurationMessage::Want {
                asked,
                known,
                needs_earlier_tables,
            } => {
                // A host that has not compared its own state may lack them too.
                if *needs_earlier_tables && self.confirmation.is_done() {
                    effects.push(AdoptionEffect::SendEarlierTables { host: sender });
                }
                self.handle_want(now, sender, *asked, known, effects);
            }
            ConfigurationMessage::Earlier(tables) => {
                if self.earlier_tables.is_open(now) {
                    self.earlier_tables
                        .handle_answer(self.state.version(), tables);
                    effects.push(AdoptionEffect::ApplyEarlierTables(tables.clone()));
                }
            }
            ConfigurationMessage::Offer(offer) => self.handle_offer(now, sender, offer, effects),
        }
    }

    fn handle_want(
        &mut self,
        now: Timestamp,
        sender: HostId,
        asked: Timestamp,
        known: &KnownDocuments,
        effects: &mut Vec<AdoptionEffect>,
    ) {
        let confirmed = self.confirmation.is_done();
        let offer = self.state.difference(known, asked, confirmed);
        effects.push(AdoptionEffect::Send {
            host: sender,
            address: None,
            message: ConfigurationMessage::Offer(offer),
        });
        if self.state.lacks(known) {
            // The digest of the sender is unknown. Any digest that differs from
            // this host's makes this host query the sender.
            let digest = ConfigurationDigest {
                hash: !self.digest.hash,
                ..self.digest
            };
            self.exchange.note_ahead(sender, digest);
            self.query_peers(now, effects);
        }
    }

    fn handle_offer(
        &mut self,
        now: Timestamp,
        sender: HostId,
        offer: &ConfigurationOffer,
        effects: &mut Vec<AdoptionEffect>,
    ) {
        let mut updated = self.state.clone();
        let mut offered_teams = std::mem::take(&mut self.staged);
        if let Some(root) = &offer.root {
            match HeldRoot::read(root.clone()) {
                Ok(root) => updated.merge_root(root),
                Err(_) => effects.push(AdoptionEffect::Count(Counter::DocumentRefused)),
            }
        }
        for offered in &offer.fragments {
            let fragment = HeldFragment::read(&offered.team, offered.document.clone());
            let team = offered_teams.team_mut(&offered.team);
            if offered.accepted && fragment.is_well_formed() {
                team.accept(&fragment);
            } else {
                team.record_published(&fragment);
            }
        }
        if let Some(hosts) = &offer.hosts
            && let Some(hosts) = updated.hosts.assemble(hosts)
        {
            updated.hosts.replace_if_newer(hosts);
        }
        if offer.complete {
            updated.merge(&offered_teams);
        } else {
            self.staged = offered_teams;
        }
        self.exchange.note_answer(sender);
        if offer.complete && self.confirmation.covers(offer.asked) {
            self.confirmation.note_answer(sender, offer.confirmed);
        }
        self.drop_superseded(&mut updated);
        self.adopt_state(now, updated, effects);
        self.decide_confirmation(now);
        if exchange::may_be_ahead(offer.digest, self.digest) {
            self.exchange.note_ahead(sender, offer.digest);
        }
        self.query_peers(now, effects);
    }

    /// Drops the pending root document if a peer has offered one that is as new.
    /// The fragments that were read for it are kept.
    fn drop_superseded(&mut self, updated: &mut AcceptedState) {
        let revision = updated.root_stamp().revision;
        let superseded = self
            .pending
            .take_if(|pending| pending.revision() <= revision);
        if let Some(pending) = superseded {
            pending.merge_into(updated, false);
        }
    }

    /// Replaces the state by `updated`, and puts the configuration that follows from
    /// it in force.
    fn adopt_state(
        &mut self,
        now: Timestamp,
        updated: AcceptedState,
        effects: &mut Vec<AdoptionEffect>,
    ) {
        let earlier = self.digest;
        let earlier_hosts = self.state.hosts.stamp();
        self.state = updated;
        self.choose(effects);
        self.digest = self.state.digest();
        let stamp = self.state.hosts.stamp();
        if stamp != earlier_hosts {
            let hosts = self.state.hosts.table();
            self.ranking.update(self.identity, stamp, hosts);
            let superseded = |refused: &mut RefusedDocument| refused.revision <= stamp.revision;
            self.refused_hosts.take_if(superseded);
            effects.push(AdoptionEffect::HostsChanged);
        }
        if self.digest != earlier && self.confirmation.is_done() {
            self.exchange.begin_announcing(now);
            self.announce(now, effects);
        }
    }

    fn choose(&mut self, effects: &mut Vec<AdoptionEffect>) {
        let Some(root) = self.state.root.clone() else {
            return;
        };
        let selection = selection::select(&root, &self.state);
        for (team, held) in &selection.chosen {
            self.state.team_mut(team).accept(held);
        }
        self.report_refused(selection.refused, effects);
        let superseded = |refused: &mut RefusedDocument| refused.revision <= root.stamp.revision;
        self.refused_root.take_if(superseded);
        let fragments = selection.chosen.into_iter();
        let chosen = ChosenStamps {
            root: root.stamp,
            fragments: fragments.map(|(team, held)| (team, held.stamp)).collect(),
        };
        if chosen != self.chosen {
            self.chosen = chosen;
            effects.push(AdoptionEffect::InForce(Box::new(selection.resolution)));
        }
    }

    fn report_refused(&mut self, refused: Vec<RefusedDocument>, effects: &mut Vec<AdoptionEffect>) {
        for document in &refused {
            if !self.refused.contains(document) {
                report(document.clone(), effects);
            }
        }
        self.refused = refused;
    }
}

/// Counts and logs a refused document.
fn report(document: RefusedDocument, effects: &mut Vec<AdoptionEffect>) {
    effects.push(AdoptionEffect::Count(Counter::DocumentRefused));
    effects.push(AdoptionEffect::Refused(document));
}

fn malformed(
    key: PlatformKey,
    revision: u64,
    report: cardamomwinch_configuration::check::CheckReport,
) -> RefusedDocument {
    RefusedDocument {
        key,
        revision,
        reason: RefusalReason::Malformed { report },
    }
}
