//! Keeps the routes and servers that this host knows, learned from the store and from
//! peers.
//!
//! Configuration versions and directory revisions only rise. The higher one wins, whether
//! it comes from the store or from a peer that read the store.

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

/// How often a host that learns from another host checks whether it must read the store
/// itself, because it has become a reader that other hosts depend on.
const SOURCE_PERIOD: time::Duration = time::Duration::from_millis(300);

/// How often a starting host checks whether another host has sent it everything, or whether
/// it has to read the store after all.
const START_PERIOD: time::Duration = time::Duration::from_millis(20);

/// Settings of a [`BeliefEngine`].
#[derive(Debug, Clone)]
pub struct BeliefSettings {
    /// The failure domain of this host.
    pub domain: DomainId,
    /// The regions of all failure domains.
    pub regions: DomainRegions,
    /// Address at which peers reach this host.
    pub address: net::SocketAddr,
    /// Hosts to query after the start.
    pub seeds: Vec<net::SocketAddr>,
    /// The longest time that a flow may last. A removed server is remembered for this time.
    pub flow_lifetime: time::Duration,
    /// How long the store holds a watch open until there is a change.
    pub watch_wait: time::Duration,
    /// The most servers in one part of the full server list.
    pub list_part: usize,
}

/// A change of what a host knows, for its log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeliefChange {
    /// A configuration came into force.
    ConfigurationInForce {
        /// Its version.
        version: ConfigurationVersion,
        /// How many routes it has.
        routes: usize,
    },
    /// A server changed.
    ServerChanged {
        /// The server after the change.
        server: ServerRecord,
    },
    /// The store sent a change of a server that is older than what is known.
    ChangeOutdated {
        /// The server.
        server: BackendId,
        /// The revision of the change.
        revision: StoreRevision,
        /// The revision that is known.
        known: StoreRevision,
    },
    /// Operators began or ended the evacuation of a failure domain.
    EvacuationChanged {
        /// The evacuation after the change.
        evacuation: EvacuationRecord,
    },
    /// A full listing of the servers was applied.
    ServersListed {
        /// The revision of the listing.
        revision: StoreRevision,
        /// How many servers it holds.
        servers: usize,
    },
    /// So many servers vanished at the same time that there must have been an outage of the
    /// store which this host did not notice.
    ManyVanished {
        /// Number of vanished servers.
        servers: usize,
    },
    /// The store cannot be read.
    StoreLost,
    /// The store can be read again.
    StoreRegained {
        /// How long it could not be read.
        silence: time::Duration,
    },
    /// The store was restored from a backup.
    StoreRestored {
        /// The last revision known of the previous era.
        last: StoreRevision,
        /// The first revision known of the new era.
        first: StoreRevision,
    },
    /// A peer does not answer.
    PeerLost {
        /// The peer.
        peer: net::SocketAddr,
    },
    /// A peer that did not answer is reachable again.
    PeerRegained {
        /// The peer.
        peer: net::SocketAddr,
    },
    /// No server of the own failure domain accepts flows of a service any more.
    OwnServersLost {
        /// The service.
        service: ServiceId,
    },
    /// A server of the own failure domain accepts flows of the service again.
    OwnServersRegained {
        /// The service.
        service: ServiceId,
    },
    /// The host learns from another source than before.
    SourceChanged {
        /// The new source.
        source: ReadSource,
    },
    /// A peer sent newer data.
    PeerBelieved {
        /// The peer.
        peer: net::SocketAddr,
        /// The peer's revision.
        revision: StoreRevision,
        /// The peer's configuration version.
        version: ConfigurationVersion,
    },
}

/// What one host knows of routes, servers and peers, and whom it queries next.
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
    /// The full server list that this host sends to hosts without data, or that it is
    /// receiving.
    list: StartList,
    /// The previous list, which some hosts are still receiving.
    last_list: StartList,
    /// The host to query next, as named by a host that was serving too many others.
    referred_to: Option<net::SocketAddr>,
    source: ReadSource,
    pause: time::Duration,
    /// Whether a peer has sent the servers that left before this host started.
    knows_left: bool,
    /// The revision known when the last query was sent.
    asked_revision: StoreRevision,
    /// When the last query was sent.
    asked_at: Option<Timestamp>,
    /// When the store sent the first page of the listing that is being read.
    listing_said_at: Option<Timestamp>,
    told_hosts_at: Option<Timestamp>,
    /// Whether the last peer that answered knows other hosts than this one.
    knows_other_hosts: bool,
    own_services: OwnServices,
    reports: sync::Arc<ReportTable>,
    /// The host that reports were last sent to, and the serial up to which it has them.
    reports_told: Option<(net::SocketAddr, ReportSerial)>,
    /// The host that was queried last, and the serial up to which it has sent its reports.
    reports_known: Option<(net::SocketAddr, ReportSerial)>,
    changes: Vec<BeliefChange>,
}

impl BeliefEngine {
    /// Creates the engine of a host that has just started and has no data.
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

    /// The view that forwarding decides by.
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

    /// This host's share of the flows that cold servers accept. It is unknown while peers
    /// may know hosts that this one does not.
    fn cold_share(&self) -> Option<ColdShare> {
        let knows_hosts = !self.knows_other_hosts || self.settings.seeds.is_empty();
        knows_hosts.then(|| ColdShare {
            host_number: peer_book::order_number(self.settings.address),
            host_numbers: self.peers.first_order_numbers().into(),
        })
    }

    /// The store revision up to which changes are known.
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// The time as of which the data was current: when the store last answered this host,
    /// or a host that it learned from.
    pub const fn heard_at(&self) -> Timestamp {
        self.heard_at
    }

    /// When a call to the store last failed, as far as this host knows.
    pub const fn silent_at(&self) -> Option<Timestamp> {
        self.silent_at
    }

    /// The source that this host learns from.
    pub const fn source(&self) -> ReadSource {
        self.source
    }

    /// Whether this host has something newer than the host that sent `question`.
    pub fn knows_more_than(&self, question: &PeerQuestion) -> bool {
        self.revision > question.revision
            || self.routes.version() > question.version
            || self.has_reports_for(question)
    }

    /// The known peers.
    pub const fn peers(&self) -> &PeerBook {
        &self.peers
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<BeliefChange> {
        std::mem::take(&mut self.changes)
    }

    /// The next call to the store. A host that learns from another host makes no calls
    /// while the data from that host is fresh.
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

    /// Whether this host waits for others to send it the server list, instead of listing
    /// the store.
    fn leaves_listing(&mut self, now: Timestamp) -> bool {
        if !self.start.waits_for_reader(now) {
            return self.knows_nothing()
                && self.start.waits_for_hosts(now)
                && self.peers.may_answer();
        }
        self.knows_nothing() || self.choice.host_to_ask(&self.peers, now).is_some()
    }

    /// Whether neither the store nor a peer has provided any data yet.
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
            // The store is no longer called, so its failure is no longer tracked.
            self.silent_since = None;
        }
    }

    /// Handles the outcome of the call returned by [`Self::next_store_call`].
    pub fn handle_store(&mut self, now: Timestamp, outcome: StoreOutcome) {
        self.handle_store_answer(now, now, outcome);
    }

    /// Handles the outcome of a call that the store answered at `said_at`. A long answer
    /// takes a while over a saturated link, and its content is as old as `said_at`.
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

    /// Applies a configuration as soon as its page arrives, once the host forwards: a list
    /// of thousands of servers may take seconds, during which the older configuration would
    /// stay in force.
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

    /// Returns the time at which the content of `outcome` was current: a listing of several
    /// pages is as old as its first page.
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

    /// Detects by the era of `revision` that the store was restored from a backup. Entries
    /// missing after that count as unknown, not as removed, until they are written again.
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

    /// Drops what has expired. To be called every 500 ms.
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
