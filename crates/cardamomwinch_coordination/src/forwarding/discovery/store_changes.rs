//! Applies listings and changes of routes, servers and evacuations that the store sends.

use std::sync;

use cardamomwinch_state::prelude::{BackendId, DomainId, Timestamp};

use crate::forwarding::directory::{ServerPhase, ServerRecord};
use crate::forwarding::discovery::store_call::{ServerEntry, StoreChange, StoreRevision};
use crate::forwarding::discovery::{DiscoveryChange, DiscoveryEngine, store_reader};
use crate::forwarding::evacuations::{EvacuationPhase, EvacuationRecord};
use crate::forwarding::routes::RouteDocument;

/// If more than this percentage of the listed servers vanishes with one answer of the
/// store, the store had an outage that this host did not notice. Servers that fail
/// independently, or with their machine, are fewer.
const OUTAGE_PERCENT: usize = 25;
/// The least number of vanished servers that indicates an outage, so that one of three
/// servers does not.
const MIN_OUTAGE_SERVERS: usize = 3;

impl DiscoveryEngine {
    pub(super) fn apply_step(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        step: store_reader::ReadStep,
    ) {
        match step {
            store_reader::ReadStep::Listing { items, revision } => {
                self.note_era(now, revision);
                self.apply_listing(now, items, revision);
                self.advance(sent_at, revision);
            }
            store_reader::ReadStep::Changes { changes, revision } => {
                for change in changes {
                    self.apply(now, change);
                }
                self.advance(sent_at, revision);
            }
        }
        self.detect_outage(now);
        self.review_own_servers();
    }

    pub(super) fn review_own_servers(&mut self) {
        let domain = self.settings.domain;
        let changes = self.own_services.review(&self.directory, domain);
        self.changes.extend(changes);
    }

    /// Assumes an outage of the store if many servers have just vanished.
    ///
    /// Guards against an outage that is shorter than the calls of this host, during which
    /// the entries of running servers expire. Without this check, flows would be ended on
    /// many servers at once. Missing entries then count as unknown until they are back, as
    /// after an outage that was noticed. A failure domain that loses power looks the same,
    /// so its idle flows are ended later.
    fn detect_outage(&mut self, now: Timestamp) {
        let vanished =
            |server: &&ServerRecord| server.phase == ServerPhase::Vanished { since: now };
        let servers = self.directory.iter().filter(vanished).count();
        let listed = self.directory.listed_count() + servers;
        if servers >= MIN_OUTAGE_SERVERS && servers * 100 > listed * OUTAGE_PERCENT {
            self.store_failed_at = Some(now);
            self.changes.push(DiscoveryChange::ManyVanished { servers });
        }
    }

    fn apply_listing(&mut self, now: Timestamp, items: Vec<StoreChange>, revision: StoreRevision) {
        let mut records = Vec::new();
        let mut unreadable = Vec::new();
        let mut evacuations = Vec::new();
        for item in items {
            match item {
                StoreChange::Routes(document) => self.adopt_routes(document),
                StoreChange::Server(entry) => records.push(entry.into_record(now)),
                StoreChange::ServerUnreadable { id, revision } => unreadable.push((id, revision)),
                StoreChange::EvacuationBegun { domain, revision } => {
                    evacuations.push(EvacuationRecord {
                        domain,
                        phase: EvacuationPhase::Active,
                        changed: revision,
                    });
                }
                StoreChange::EvacuationEnded { .. } | StoreChange::ServerRemoved { .. } => {}
            }
        }
        let servers = records.len();
        let directory = sync::Arc::make_mut(&mut self.directory);
        directory.replace(records, &unreadable, revision, now);
        let changed = directory.replace_evacuations(&evacuations, revision, now);
        self.record_evacuation_changes(changed);
        let change = DiscoveryChange::ServersListed { revision, servers };
        self.changes.push(change);
    }

    fn advance(&mut self, sent_at: Timestamp, revision: StoreRevision) {
        if revision.era() < self.revision.era() {
            // This was sent before the store was restored from a backup.
            return;
        }
        self.revision = self.revision.max(revision);
        self.as_of = self.as_of.max(sent_at);
    }

    fn apply(&mut self, now: Timestamp, change: StoreChange) {
        match change {
            StoreChange::Routes(document) => self.adopt_routes(document),
            StoreChange::Server(entry) => self.note_server(entry, now),
            StoreChange::ServerUnreadable { id, revision } => {
                sync::Arc::make_mut(&mut self.directory).note_unreadable(id, revision);
                self.record_server_change(id);
            }
            StoreChange::ServerRemoved { id, revision } => {
                sync::Arc::make_mut(&mut self.directory).note_removed(id, revision, now);
                self.record_server_change(id);
            }
            StoreChange::EvacuationBegun { domain, revision } => {
                self.note_evacuation(domain, EvacuationPhase::Active, revision);
            }
            StoreChange::EvacuationEnded { domain, revision } => {
                self.note_evacuation(domain, EvacuationPhase::Ended { at: now }, revision);
            }
        }
    }

    fn note_evacuation(
        &mut self,
        domain: DomainId,
        phase: EvacuationPhase,
        changed: StoreRevision,
    ) {
        let evacuation = EvacuationRecord {
            domain,
            phase,
            changed,
        };
        if sync::Arc::make_mut(&mut self.directory).note_evacuation(evacuation) {
            self.record_evacuation_changes([evacuation]);
        }
    }

    pub(super) fn record_evacuation_changes(
        &mut self,
        evacuations: impl IntoIterator<Item = EvacuationRecord>,
    ) {
        let evacuations = evacuations.into_iter();
        let changes =
            evacuations.map(|evacuation| DiscoveryChange::EvacuationChanged { evacuation });
        self.changes.extend(changes);
    }

    fn record_server_change(&mut self, id: BackendId) {
        if let Some(server) = self.directory.get(id).cloned() {
            self.changes.push(DiscoveryChange::ServerChanged { server });
        }
    }

    fn note_server(&mut self, entry: ServerEntry, now: Timestamp) {
        let server = entry.into_record(now);
        let directory = sync::Arc::make_mut(&mut self.directory);
        if directory.has_later_record(&server) {
            self.record_outdated_change(&server);
            return;
        }
        let id = server.id;
        directory.note(server);
        self.record_server_change(id);
    }

    fn record_outdated_change(&mut self, server: &ServerRecord) {
        if let Some(known) = self.directory.get(server.id) {
            self.changes.push(DiscoveryChange::ChangeOutdated {
                server: server.id,
                revision: server.changed,
                known: known.changed,
            });
        }
    }

    pub(super) fn adopt_routes(&mut self, document: RouteDocument) {
        if document.version <= self.routes.version() {
            return;
        }
        sync::Arc::make_mut(&mut self.routes).adopt(document);
        self.note_configuration();
    }

    pub(super) fn note_configuration(&mut self) {
        self.changes.push(DiscoveryChange::ConfigurationInForce {
            version: self.routes.version(),
            routes: self.routes.len(),
        });
    }
}

impl ServerEntry {
    fn into_record(self, now: Timestamp) -> ServerRecord {
        ServerRecord {
            id: self.id,
            started: self.started,
            address: self.address,
            service: self.service,
            domain: self.domain,
            slots: self.slots,
            phase: if self.draining {
                ServerPhase::Draining
            } else {
                ServerPhase::Active
            },
            warm_at: now.after(self.cold_left),
            registered: self.registered,
            changed: self.revision,
        }
    }
}
