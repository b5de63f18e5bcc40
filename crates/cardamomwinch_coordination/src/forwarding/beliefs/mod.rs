//! Decides what is in force and which servers there are, from the words of the
//! store and of peers.
//!
//! Versions of the configuration and revisions of the directory only rise; who
//! brings the higher one is believed, whether the store or a peer that read it.

pub mod own_servers;
pub mod peer_book;
mod peer_exchange;
pub mod peer_word;
pub mod read_source;
mod report_exchange;
pub mod start;
pub mod start_list;
pub mod store_call;
mod store_changes;
pub mod store_reader;
pub mod store_revision;
pub mod waiting_questions;

use std::net;
use std::sync;
use std::time;

use cardamomwinch_state::prelude::{
    BackendId, ConfigurationVersion, DomainId, ServiceId, Timestamp,
};

use crate::forwarding::beliefs::own_servers::OwnServices;
use crate::forwarding::beliefs::peer_book::PeerBook;
use crate::forwarding::beliefs::peer_word::PeerQuestion;
use crate::forwarding::beliefs::read_source::{ReadSource, SourceChoice};
use crate::forwarding::beliefs::start::{StartPlan, TellingPlaces};
use crate::forwarding::beliefs::start_list::StartList;
use crate::forwarding::beliefs::store_call::{StoreCall, StoreChange, StoreOutcome, StoreRevision};
use crate::forwarding::beliefs::store_reader::StoreReader;
use crate::forwarding::cold_starts::ColdShare;
use crate::forwarding::directory::{ServerDirectory, ServerRecord};
use crate::forwarding::evacuations::EvacuationRecord;
use crate::forwarding::regions::DomainRegions;
use crate::forwarding::routes::RouteTable;
use crate::forwarding::server_reports::{ReportSerial, ReportTable};
use crate::forwarding::view::ForwardingView;

/// How often a host that learns from another one looks whether it must read the
/// store itself. It may have become a reader, on which others wait.
const SOURCE_PERIOD: time::Duration = time::Duration::from_millis(300);

/// How often a host that starts looks whether another one has told it everything, or
/// the store is to be read after all.
const START_PERIOD: time::Duration = time::Duration::from_millis(20);

/// What a host starts with.
#[derive(Debug, Clone)]
pub struct BeliefSettings {
    /// The failure domain of this host.
    pub domain: DomainId,
    /// The regions of all failure domains.
    pub regions: DomainRegions,
    /// Where peers reach this host.
    pub address: net::SocketAddr,
    /// Hosts that may be asked at first.
    pub seeds: Vec<net::SocketAddr>,
    /// How long a flow may last: servers that have left are known for so long.
    pub flow_lifetime: time::Duration,
    /// How long a watch waits at the store for a change.
    pub watch_wait: time::Duration,
    /// How many servers are told at a time to a host that knows nothing.
    pub list_part: usize,
}

/// What changed in the beliefs of a host, for its log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeliefChange {
    /// A configuration came into force.
    ConfigurationInForce {
        /// Its version.
        version: ConfigurationVersion,
        /// How many routes it has.
        routes: usize,
    },
    /// What is known of a server changed.
    ServerChanged {
        /// The server as it is known now.
        server: ServerRecord,
    },
    /// The store said something of a server, and something later is known of it.
    ChangeOutdated {
        /// The server.
        server: BackendId,
        /// The revision of what the store said.
        revision: StoreRevision,
        /// The revision of what is known.
        known: StoreRevision,
    },
    /// Operators have begun or ended the evacuation of a failure domain.
    EvacuationChanged {
        /// The evacuation as it is known now.
        evacuation: EvacuationRecord,
    },
    /// A whole listing of the servers was taken over.
    ServersListed {
        /// The revision of the listing.
        revision: StoreRevision,
        /// How many servers it holds.
        servers: usize,
    },
    /// So many servers vanished together that the store must have been away, unnoticed
    /// by this host.
    ManyVanished {
        /// How many.
        servers: usize,
    },
    /// The store cannot be read.
    StoreLost,
    /// The store can be read again.
    StoreRegained {
        /// How long it could not be read.
        silence: time::Duration,
    },
    /// The store came back from a copy of itself.
    StoreRestored {
        /// The last revision that was known.
        last: StoreRevision,
        /// The first one of the new era that is known.
        first: StoreRevision,
    },
    /// A peer does not answer.
    PeerLost {
        /// The peer.
        peer: net::SocketAddr,
    },
    /// A peer that did not answer lives.
    PeerRegained {
        /// The peer.
        peer: net::SocketAddr,
    },
    /// No server of the own failure domain takes flows of a service any more.
    OwnServersLost {
        /// The service.
        service: ServiceId,
    },
    /// One does again.
    OwnServersRegained {
        /// The service.
        service: ServiceId,
    },
    /// The host learns from somewhere else than before.
    SourceChanged {
        /// From there.
        source: ReadSource,
    },
    /// A peer knew something newer.
    PeerBelieved {
        /// The peer.
        peer: net::SocketAddr,
        /// The revision that it knew.
        revision: StoreRevision,
        /// The version that it knew.
        version: ConfigurationVersion,
    },
}

/// The beliefs of one host.
#[derive(Debug)]
pub struct BeliefEngine {
    settings: BeliefSettings,
    regions: sync::Arc<DomainRegions>,
    routes: sync::Arc<RouteTable>,
    directory: sync::Arc<ServerDirectory>,
    revision: StoreRevision,
    heard_at: Timestamp,
    silent_since: Option<Timestamp>,
    silent_at: Option<Timestamp>,
    reader: StoreReader,
    peers: PeerBook,
    choice: SourceChoice,
    start: StartPlan,
    places: TellingPlaces,
    /// What hosts that know nothing are told, or what this one has been told of it.
    list: StartList,
    /// The list before, which some are still being told.
    last_list: StartList,
    /// The host that one which had too many to tell named instead of itself.
    referred_to: Option<net::SocketAddr>,
    source: ReadSource,
    pause: time::Duration,
    /// Whether a peer has told of servers that left before this host started.
    knows_left: bool,
    /// What was known when the last question was asked.
    asked_revision: StoreRevision,
    /// When the last question was asked.
    asked_at: Option<Timestamp>,
    /// When the first page of the listing that is being read was said.
    listing_said_at: Option<Timestamp>,
    told_hosts_at: Option<Timestamp>,
    /// Whether the last one who answered knows other hosts.
    knows_other_hosts: bool,
    own_services: OwnServices,
    reports: sync::Arc<ReportTable>,
    /// The host that was told reports last, and how far.
    reports_told: Option<(net::SocketAddr, ReportSerial)>,
    /// How far the host that was asked last has told its reports.
    reports_known: Option<(net::SocketAddr, ReportSerial)>,
    changes: Vec<BeliefChange>,
}

impl BeliefEngine {
    /// Creates the beliefs of a host that has just started and knows nothing.
    pub fn new(settings: BeliefSettings, jitter_seed: u64) -> Self {
        let peers = PeerBook::new(settings.address, settings.domain, &settings.seeds);
        let is_named = settings.seeds.contains(&settings.address);
        let asks_others = !is_named && !settings.seeds.is_empty();
        Self {
            routes: sync::Arc::default(),
            directory: sync::Arc::default(),
            revision: StoreRevision::ZERO,
            heard_at: Timestamp::ZERO,
            silent_since: None,
            silent_at: None,
            reader: StoreReader::new(settings.watch_wait, jitter_seed),
            peers,
            choice: SourceChoice::new(settings.address),
            start: StartPlan::new(peer_book::order_number(settings.address), asks_others),
            places: TellingPlaces::default(),
            list: StartList::default(),
            last_list: StartList::default(),
            referred_to: None,
            source: ReadSource::Store,
            pause: peer_exchange::IDLE_PAUSE,
            knows_left: false,
            asked_revision: StoreRevision::ZERO,
            asked_at: None,
            listing_said_at: None,
            told_hosts_at: None,
            knows_other_hosts: true,
            own_services: OwnServices::default(),
            reports: sync::Arc::default(),
            reports_told: None,
            reports_known: None,
            regions: sync::Arc::new(settings.regions.clone()),
            settings,
            changes: Vec::new(),
        }
    }

    /// What forwarding is to decide against.
    pub fn view(&self) -> ForwardingView {
        ForwardingView {
            domain: Some(self.settings.domain),
            regions: sync::Arc::clone(&self.regions),
            cold_share: self.cold_share(),
            routes: sync::Arc::clone(&self.routes),
            directory: sync::Arc::clone(&self.directory),
            reports: sync::Arc::clone(&self.reports),
            heard_at: self.heard_at,
            silent_at: self.silent_at,
        }
    }

    /// The part of this host in what cold servers get. It is not known while others may
    /// know hosts that this one has not heard of.
    fn cold_share(&self) -> Option<ColdShare> {
        let knows_hosts = !self.knows_other_hosts || self.settings.seeds.is_empty();
        knows_hosts.then(|| ColdShare {
            host_number: peer_book::order_number(self.settings.address),
            host_numbers: self.peers.first_order_numbers().into(),
        })
    }

    /// The revision of the store up to which changes are known.
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// When this host, or a host that it asked, heard of the store last.
    pub const fn heard_at(&self) -> Timestamp {
        self.heard_at
    }

    /// When the store was found silent last.
    pub const fn silent_at(&self) -> Option<Timestamp> {
        self.silent_at
    }

    /// Where this host learns from.
    pub const fn source(&self) -> ReadSource {
        self.source
    }

    /// Whether there is something to tell a host that asks.
    pub fn knows_more_than(&self, question: &PeerQuestion) -> bool {
        self.revision > question.revision
            || self.routes.version() > question.version
            || self.has_reports_for(question)
    }

    /// The peers that are known.
    pub const fn peers(&self) -> &PeerBook {
        &self.peers
    }

    /// Takes out what changed since the last call.
    pub fn take_changes(&mut self) -> Vec<BeliefChange> {
        std::mem::take(&mut self.changes)
    }

    /// What to ask the store next. Who learns from another host asks nothing while
    /// what that tells is fresh.
    pub fn next_store_call(&mut self, now: Timestamp) -> StoreCall {
        self.choose_source(now);
        let age = now.since(self.heard_at);
        if self.leaves_listing(now) {
            return StoreCall::Pause(START_PERIOD);
        }
        if self.knows_nothing() {
            return self.reader.next_call(age);
        }
        let watching = self.reader.is_watching();
        let spared = self.start.leaves_watching(age, now) && self.silent_since.is_none();
        match self.source {
            ReadSource::Host(_) if watching => StoreCall::Pause(SOURCE_PERIOD),
            ReadSource::Store if watching && spared => StoreCall::Pause(SOURCE_PERIOD),
            _ => self.reader.next_call(age),
        }
    }

    /// Whether this host leaves the store's list to others, which tell it.
    fn leaves_listing(&mut self, now: Timestamp) -> bool {
        if !self.start.waits_for_reader(now) {
            return self.knows_nothing()
                && self.start.waits_for_hosts(now)
                && self.peers.may_answer();
        }
        self.knows_nothing() || self.choice.host_to_ask(&self.peers, now).is_some()
    }

    /// Whether neither the store nor a host has told anything yet.
    pub(super) fn knows_nothing(&self) -> bool {
        self.revision == StoreRevision::ZERO
    }

    fn choose_source(&mut self, now: Timestamp) {
        let host = self.choice.host_to_ask(&self.peers, now);
        let age = now.since(self.heard_at);
        let trusted = host.filter(|_| !self.choice.distrusts_hosts(age));
        let source = trusted.map_or(ReadSource::Store, ReadSource::Host);
        if source != self.source {
            self.source = source;
            self.changes.push(BeliefChange::SourceChanged { source });
        }
        if trusted.is_some() && self.silent_since.is_some() {
            // Whether the store would answer is no longer tried.
            self.silent_since = None;
        }
    }

    /// Takes the outcome of the call that [`Self::next_store_call`] gave.
    pub fn handle_store(&mut self, now: Timestamp, outcome: StoreOutcome) {
        self.handle_store_answer(now, now, outcome);
    }

    /// Takes the outcome of a call that the store answered at `said_at`. Long answers take
    /// a while to come over a link that is full, and what they say is as old as that.
    pub fn handle_store_answer(
        &mut self,
        now: Timestamp,
        said_at: Timestamp,
        outcome: StoreOutcome,
    ) {
        let said_at = self.note_page(said_at, &outcome);
        match outcome {
            StoreOutcome::Paused => {}
            StoreOutcome::Failed => self.note_store_silent(now),
            _ => self.note_store_heard(now),
        }
        let follows = self.choice.host_to_ask(&self.peers, now).is_some();
        self.adopt_listed_routes(&outcome);
        let knew_nothing = self.knows_nothing();
        if let Some(step) = self.reader.handle(outcome, follows) {
            self.take_step(now, said_at, step);
        }
        if knew_nothing && !self.knows_nothing() {
            self.places.free_waiting();
        }
    }

    /// A host that forwards takes a configuration over from the page that holds it: a list
    /// of thousands of servers may take seconds, in which an older one would stay in force.
    fn adopt_listed_routes(&mut self, outcome: &StoreOutcome) {
        let StoreOutcome::Page { items, .. } = outcome else {
            return;
        };
        if self.knows_nothing() {
            return;
        }
        for item in items {
            if let StoreChange::Routes(document) = item {
                self.adopt_routes(document.clone());
            }
        }
    }

    /// Where a listing takes several pages, it is as old as the first one.
    fn note_page(&mut self, said_at: Timestamp, outcome: &StoreOutcome) -> Timestamp {
        let StoreOutcome::Page { next, .. } = outcome else {
            self.listing_said_at = None;
            return said_at;
        };
        let first = *self.listing_said_at.get_or_insert(said_at);
        if next.is_none() {
            self.listing_said_at = None;
        }
        first
    }

    fn note_store_heard(&mut self, now: Timestamp) {
        if let Some(since) = self.silent_since.take() {
            self.silent_at = Some(now);
            let silence = now.since(since);
            self.changes.push(BeliefChange::StoreRegained { silence });
        }
    }

    fn note_store_silent(&mut self, now: Timestamp) {
        self.silent_at = Some(now);
        if self.silent_since.is_none() {
            self.silent_since = Some(now);
            self.changes.push(BeliefChange::StoreLost);
        }
    }

    /// Notes that `revision` is known now, where it shows that the store came back from a
    /// copy. What is missing then says nothing until it is written again.
    fn note_era(&mut self, now: Timestamp, revision: StoreRevision) {
        if self.knows_nothing() || revision.era() <= self.revision.era() {
            return;
        }
        self.silent_at = Some(now);
        self.changes.push(BeliefChange::StoreRestored {
            last: self.revision,
            first: revision,
        });
    }

    /// Ages what is known. To be called every half second.
    pub fn tick(&mut self, now: Timestamp) {
        let lifetime = self.settings.flow_lifetime;
        if self.directory.evacuations().has_missing() {
            let directory = sync::Arc::make_mut(&mut self.directory);
            let ended = directory.end_missing_evacuations(now);
            self.tell_evacuations(ended);
        }
        let ages = self.directory.iter().any(|server| !server.is_listed());
        if ages || !self.directory.evacuations().is_empty() {
            sync::Arc::make_mut(&mut self.directory).age(now, lifetime);
        }
        if !self.reports.is_empty() {
            sync::Arc::make_mut(&mut self.reports).age(now);
        }
        for list in [&mut self.list, &mut self.last_list] {
            if list.is_outdated(now) {
                *list = StartList::default();
            }
        }
    }
}
