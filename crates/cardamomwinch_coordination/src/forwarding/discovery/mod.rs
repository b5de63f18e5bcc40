//! Keeps the routes and servers that this host knows, learned from the store and from
//! peers.
//!
//! Configuration versions and directory revisions only increase. The higher one applies,
//! whether it comes from the store or from a peer that read the store.

pub mod own_servers;
mod peer_exchange;
pub mod peer_list;
pub mod peer_messages;
pub mod read_source;
mod report_exchange;
pub mod server_list;
pub mod startup;
pub mod store_call;
mod store_changes;
pub mod store_reader;
pub mod store_revision;
pub mod waiting_queries;

use std::net;
use std::sync;
use std::time;

use cardamomwinch_state::prelude::{
    BackendId, ConfigurationVersion, DomainId, ServiceId, Timestamp,
};

use crate::forwarding::cold_starts::ColdShare;
use crate::forwarding::directory::{ServerDirectory, ServerRecord};
use crate::forwarding::discovery::own_servers::OwnServices;
use crate::forwarding::discovery::peer_list::PeerList;
use crate::forwarding::discovery::peer_messages::PeerQuery;
use crate::forwarding::discovery::read_source::{ReadSource, SourceChoice};
use crate::forwarding::discovery::server_list::ServerList;
use crate::forwarding::discovery::startup::{StartupPlan, TransferSlots};
use crate::forwarding::discovery::store_call::{
    StoreCall, StoreChange, StoreOutcome, StoreRevision,
};
use crate::forwarding::discovery::store_reader::StoreReader;
use crate::forwarding::evacuations::EvacuationRecord;
use crate::forwarding::regions::DomainRegions;
use crate::forwarding::routes::RouteTable;
use crate::forwarding::server_reports::{ReportSerial, ReportTable};
use crate::forwarding::view::ForwardingView;

/// How often a host that learns from another host checks whether it must read the store
/// itself, because it has become a reader that other hosts depend on. It checks sooner if its
/// data gets too old before that.
const SOURCE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// How often a starting host checks whether another host has sent it everything, or whether
/// it has to read the store after all.
const START_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Settings of a [`DiscoveryEngine`].
#[derive(Debug, Clone)]
pub struct DiscoverySettings {
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
    /// The maximum number of servers in one part of the full server list.
    pub max_part_servers: usize,
}

/// A change of what a host knows, for its log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiscoveryChange {
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
        outage: time::Duration,
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
    PeerDataApplied {
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
pub struct DiscoveryEngine {
    settings: DiscoverySettings,
    regions: sync::Arc<DomainRegions>,
    routes: sync::Arc<RouteTable>,
    directory: sync::Arc<ServerDirectory>,
    revision: StoreRevision,
    as_of: Timestamp,
    store_failing_since: Option<Timestamp>,
    store_failed_at: Option<Timestamp>,
    reader: StoreReader,
    peers: PeerList,
    source_choice: SourceChoice,
    startup_plan: StartupPlan,
    transfer_slots: TransferSlots,
    /// The full server list that this host sends to hosts without data, or that it is
    /// receiving.
    server_list: ServerList,
    /// The previous list, which some hosts are still receiving.
    previous_list: ServerList,
    /// The host to query next, as named by a host that was serving too many others.
    redirected_to: Option<net::SocketAddr>,
    source: ReadSource,
    query_pause: time::Duration,
    /// Whether a peer has sent the servers that left before this host started.
    knows_left_servers: bool,
    /// The revision known when the last query was sent.
    queried_revision: StoreRevision,
    /// When the last query was sent.
    queried_at: Option<Timestamp>,
    /// When the store sent the first page of the listing that is being read.
    listing_sent_at: Option<Timestamp>,
    /// When the page of a listing was requested that is being read.
    page_requested_at: Option<Timestamp>,
    host_list_sent_at: Option<Timestamp>,
    /// Whether the last peer that answered knows other hosts than this one.
    knows_other_hosts: bool,
    own_services: OwnServices,
    reports: sync::Arc<ReportTable>,
    /// The host that reports were last sent to, and the serial up to which it has them.
    reports_sent: Option<(net::SocketAddr, ReportSerial)>,
    /// The host that was queried last, and the serial up to which it has sent its reports.
    reports_received: Option<(net::SocketAddr, ReportSerial)>,
    changes: Vec<DiscoveryChange>,
}

impl DiscoveryEngine {
    /// Creates the engine of a host that has just started and has no data.
    pub fn new(settings: DiscoverySettings, jitter_seed: u64) -> Self {
        let peers = PeerList::new(settings.address, settings.domain, &settings.seeds);
        let is_seed = settings.seeds.contains(&settings.address);
        let queries_others = !is_seed && !settings.seeds.is_empty();
        Self {
            routes: sync::Arc::default(),
            directory: sync::Arc::default(),
            revision: StoreRevision::ZERO,
            as_of: Timestamp::ZERO,
            store_failing_since: None,
            store_failed_at: None,
            reader: StoreReader::new(settings.watch_wait, jitter_seed),
            peers,
            source_choice: SourceChoice::new(settings.address),
            startup_plan: StartupPlan::new(
                peer_list::order_number(settings.address),
                queries_others,
            ),
            transfer_slots: TransferSlots::default(),
            server_list: ServerList::default(),
            previous_list: ServerList::default(),
            redirected_to: None,
            source: ReadSource::Store,
            query_pause: peer_exchange::IDLE_PAUSE,
            knows_left_servers: false,
            queried_revision: StoreRevision::ZERO,
            queried_at: None,
            listing_sent_at: None,
            page_requested_at: None,
            host_list_sent_at: None,
            knows_other_hosts: true,
            own_services: OwnServices::default(),
            reports: sync::Arc::default(),
            reports_sent: None,
            reports_received: None,
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
            as_of: self.as_of,
            store_failed_at: self.store_failed_at,
        }
    }

    /// This host's share of the new flows of cold servers; `None` while peers may know
    /// hosts that this one does not.
    fn cold_share(&self) -> Option<ColdShare> {
        let knows_hosts = !self.knows_other_hosts || self.settings.seeds.is_empty();
        knows_hosts.then(|| ColdShare {
            host_number: peer_list::order_number(self.settings.address),
            host_numbers: self.peers.first_order_numbers().into(),
        })
    }

    /// The store revision up to which changes are known.
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// The time as of which the data was current: when the store last answered this host,
    /// or a host that it learned from.
    pub const fn as_of(&self) -> Timestamp {
        self.as_of
    }

    /// When a call to the store last failed, as far as this host knows.
    pub const fn store_failed_at(&self) -> Option<Timestamp> {
        self.store_failed_at
    }

    /// The source that this host learns from.
    pub const fn source(&self) -> ReadSource {
        self.source
    }

    /// Whether this host has something newer than the host that sent `query`.
    pub fn knows_more_than(&self, query: &PeerQuery) -> bool {
        self.revision > query.revision
            || self.routes.version() > query.version
            || self.has_reports_for(query)
    }

    /// The known peers.
    pub const fn peers(&self) -> &PeerList {
        &self.peers
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<DiscoveryChange> {
        std::mem::take(&mut self.changes)
    }

    /// The next call to the store. A host that learns from another host makes no calls
    /// while the data from that host is fresh.
    pub fn next_store_call(&mut self, now: Timestamp) -> StoreCall {
        let call = self.choose_store_call(now);
        let is_listing = matches!(call, StoreCall::List { .. });
        self.page_requested_at = is_listing.then_some(now);
        call
    }

    fn choose_store_call(&mut self, now: Timestamp) -> StoreCall {
        self.choose_source(now);
        let age = now.since(self.as_of);
        if self.waits_for_server_list(now) {
            return StoreCall::Pause(START_CHECK_INTERVAL);
        }
        if self.has_no_data() {
            return self.reader.next_call(age);
        }
        let watching = self.reader.is_watching();
        let may_skip_watch =
            self.startup_plan.may_skip_watch(age, now) && self.store_failing_since.is_none();
        match self.source {
            ReadSource::Host(_) if watching => {
                let remaining = self.source_choice.remaining_age(&self.peers, age);
                StoreCall::Pause(SOURCE_CHECK_INTERVAL.min(remaining))
            }
            ReadSource::Store if watching && may_skip_watch => {
                StoreCall::Pause(SOURCE_CHECK_INTERVAL)
            }
            _ => self.reader.next_call(age),
        }
    }

    /// Whether this host waits for others to send it the server list, instead of listing
    /// the store.
    fn waits_for_server_list(&mut self, now: Timestamp) -> bool {
        if !self.startup_plan.waits_for_listing(now) {
            return self.has_no_data()
                && self.startup_plan.waits_for_hosts(now)
                && self.peers.seed_may_answer();
        }
        self.has_no_data() || self.source_choice.host_to_query(&self.peers, now).is_some()
    }

    /// Whether neither the store nor a peer has provided any data yet.
    pub(super) fn has_no_data(&self) -> bool {
        self.revision == StoreRevision::ZERO
    }

    fn choose_source(&mut self, now: Timestamp) {
        let host = self.source_choice.host_to_query(&self.peers, now);
        let age = now.since(self.as_of);
        let usable = host.filter(|_| !self.source_choice.must_read_store(&self.peers, age));
        let source = usable.map_or(ReadSource::Store, ReadSource::Host);
        if source != self.source {
            self.source = source;
            self.changes.push(DiscoveryChange::SourceChanged { source });
        }
        if usable.is_some() && self.store_failing_since.is_some() {
            // The store is no longer called, so its failure is no longer tracked.
            self.store_failing_since = None;
        }
    }

    /// Handles the outcome of the call returned by [`Self::next_store_call`].
    pub fn handle_store(&mut self, now: Timestamp, outcome: StoreOutcome) {
        self.handle_store_answer(now, now, outcome);
    }

    /// Handles the outcome of a call that the store answered at `sent_at`. A long answer
    /// takes a while over a saturated link, and its content is as old as `sent_at`.
    pub fn handle_store_answer(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        outcome: StoreOutcome,
    ) {
        let sent_at = self.page_sent_at(sent_at, &outcome);
        match outcome {
            StoreOutcome::Paused => {}
            StoreOutcome::Failed => self.note_store_failure(now),
            _ => self.note_store_answer(now),
        }
        if matches!(outcome, StoreOutcome::HistoryGone) {
            self.startup_plan.note_lost_history(now);
        }
        let has_source = self.source_choice.host_to_query(&self.peers, now).is_some();
        self.adopt_listed_routes(&outcome);
        let had_no_data = self.has_no_data();
        if let Some(step) = self.reader.handle(outcome, has_source) {
            self.apply_step(now, sent_at, step);
        }
        if had_no_data && !self.has_no_data() {
            self.transfer_slots.free_waiting();
        }
    }

    /// Applies a configuration as soon as its page arrives, once the host forwards: a list
    /// of thousands of servers may take seconds, during which the older configuration would
    /// stay in force.
    fn adopt_listed_routes(&mut self, outcome: &StoreOutcome) {
        let StoreOutcome::Page { items, .. } = outcome else {
            return;
        };
        if self.has_no_data() {
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
    fn page_sent_at(&mut self, sent_at: Timestamp, outcome: &StoreOutcome) -> Timestamp {
        let StoreOutcome::Page { next, .. } = outcome else {
            self.listing_sent_at = None;
            return sent_at;
        };
        let first = *self.listing_sent_at.get_or_insert(sent_at);
        if next.is_none() {
            self.listing_sent_at = None;
        }
        first
    }

    fn note_store_answer(&mut self, now: Timestamp) {
        if let Some(since) = self.store_failing_since.take() {
            self.store_failed_at = Some(now);
            let outage = now.since(since);
            self.changes.push(DiscoveryChange::StoreRegained { outage });
        }
    }

    fn note_store_failure(&mut self, now: Timestamp) {
        self.store_failed_at = Some(now);
        if self.store_failing_since.is_none() {
            self.store_failing_since = Some(now);
            self.changes.push(DiscoveryChange::StoreLost);
        }
    }

    /// Detects by the era of `revision` that the store was restored from a backup. Entries
    /// missing after that count as unknown, not as removed, until they are written again.
    fn note_era(&mut self, now: Timestamp, revision: StoreRevision) {
        if self.has_no_data() || revision.era() <= self.revision.era() {
            return;
        }
        self.store_failed_at = Some(now);
        self.changes.push(DiscoveryChange::StoreRestored {
            last: self.revision,
            first: revision,
        });
    }

    /// Removes expired entries. Must be called every 500 ms.
    pub fn tick(&mut self, now: Timestamp) {
        let lifetime = self.settings.flow_lifetime;
        if self.directory.evacuations().has_missing() {
            let directory = sync::Arc::make_mut(&mut self.directory);
            let ended = directory.end_missing_evacuations(now);
            self.record_evacuation_changes(ended);
        }
        let has_removed = self.directory.iter().any(|server| !server.is_listed());
        if has_removed || !self.directory.evacuations().is_empty() {
            sync::Arc::make_mut(&mut self.directory).expire(now, lifetime);
        }
        if !self.reports.is_empty() {
            sync::Arc::make_mut(&mut self.reports).expire(now);
        }
        for list in [&mut self.server_list, &mut self.previous_list] {
            if list.is_expired(now) {
                *list = ServerList::default();
            }
        }
    }
}
