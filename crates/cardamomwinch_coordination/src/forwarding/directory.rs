//! The known backend servers, including those that left recently.

use std::net;
use std::time;

use cardamomwinch_state::prelude::{
    BackendId, DomainId, ServiceId, SlotCount, SortedVector, Timestamp,
};

use crate::forwarding::discovery::store_call::{ServerStart, StoreRevision};
use crate::forwarding::evacuations::{EvacuationRecord, EvacuationTable};
use crate::forwarding::packet::FlowToken;
use crate::forwarding::routes::RouteEntry;

/// How long a server whose entry vanished without a drain may still receive new flows, if
/// no other server can take them. During an outage of the store, entries expire although
/// their servers are alive; they are back within two seconds after the outage.
pub const VANISHED_GRACE: time::Duration = time::Duration::from_millis(2_500);

/// The state of a server by its entry in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerPhase {
    /// It accepts new flows.
    Active,
    /// It is about to stop and accepts no new flows.
    Draining,
    /// Its entry can no longer be parsed. It receives no new flows; open flows continue until
    /// the entry is removed.
    Unreadable,
    /// Its entry vanished although the server was not draining.
    Vanished {
        /// When this host learned of it.
        since: Timestamp,
    },
    /// It has left the store for good. It stays known for flows that may still be open.
    Left {
        /// When this host learned of it.
        since: Timestamp,
    },
}

/// What is known of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRecord {
    /// Its identifier. It may change or stay the same when the server restarts.
    pub id: BackendId,
    /// When its process started, if its entry says so. It distinguishes incarnations that
    /// have the same identifier.
    pub started: Option<ServerStart>,
    /// The address that it receives packets at.
    pub address: net::SocketAddr,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The failure domain that it is in.
    pub domain: DomainId,
    /// The number of requests that it runs at the same time.
    pub slots: SlotCount,
    /// Its state by its last entry in the store, or since that entry is missing.
    pub phase: ServerPhase,
    /// The time from which it is no longer cold.
    pub warm_at: Timestamp,
    /// The revision of the store that last changed it.
    pub changed: StoreRevision,
}

impl ServerRecord {
    /// Whether the entry of the server is in the store.
    pub const fn is_listed(&self) -> bool {
        matches!(
            self.phase,
            ServerPhase::Active | ServerPhase::Draining | ServerPhase::Unreadable
        )
    }

    /// Whether its entry vanished from the store although the server was not draining.
    pub const fn has_vanished(&self) -> bool {
        matches!(self.phase, ServerPhase::Vanished { .. })
    }

    /// Whether the server left so long ago that no flow on it can still be open.
    fn is_expired(&self, now: Timestamp, flow_lifetime: time::Duration) -> bool {
        match self.phase {
            ServerPhase::Active | ServerPhase::Draining | ServerPhase::Unreadable => false,
            ServerPhase::Vanished { since } | ServerPhase::Left { since } => {
                now.since(since) > flow_lifetime
            }
        }
    }
}

/// The sort key of a server: by service, and within a service by failure domain.
type ServiceKey = (ServiceId, DomainId, BackendId);

/// All known servers, indexed by token and by service.
#[derive(Debug, Clone, Default)]
pub struct ServerDirectory {
    servers: SortedVector<BackendId, ServerRecord>,
    tokens: Vec<(FlowToken, BackendId)>,
    services: Vec<ServiceKey>,
    evacuations: EvacuationTable,
    /// The highest revision that changed a server, or ended an evacuation, that was removed
    /// from this directory since.
    removed_revision: StoreRevision,
}

impl ServerDirectory {
    /// The number of known servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// The number of servers that have an entry in the store.
    pub fn listed_count(&self) -> usize {
        self.iter().filter(|server| server.is_listed()).count()
    }

    /// The server with the identifier `id`.
    pub fn get(&self, id: BackendId) -> Option<&ServerRecord> {
        self.servers.get(&id)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values()
    }

    /// The server of `token` in a flow of `route`. If two known servers share the token,
    /// the one that `route` leads to is preferred; the other one does not hold the flow.
    pub fn find(&self, token: FlowToken, route: Option<&RouteEntry>) -> Option<&ServerRecord> {
        let start = self.tokens.partition_point(|(known, _)| *known < token);
        let same = self.tokens[start..]
            .iter()
            .take_while(|(known, _)| *known == token);
        let mut servers = same.filter_map(|(_, id)| self.servers.get(id));
        let first = servers.next()?;
        let fits = |server: &ServerRecord| route.is_none_or(|route| route.leads_to(server.service));
        if fits(first) {
            return Some(first);
        }
        servers.find(|server| fits(server)).or(Some(first))
    }

    /// The servers of `service`.
    pub fn of_service(&self, service: ServiceId) -> impl Iterator<Item = &ServerRecord> {
        self.records(self.keys_of(service, None))
    }

    /// The number of servers of `service`, in `domain` if one is given.
    pub fn count(&self, service: ServiceId, domain: Option<DomainId>) -> usize {
        self.keys_of(service, domain).len()
    }

    /// At most `limit` servers of `service`, in `domain` if one is given: consecutive ones
    /// in the order of the directory, from a start that `subject` selects.
    pub fn sample(
        &self,
        service: ServiceId,
        domain: Option<DomainId>,
        subject: u64,
        limit: usize,
    ) -> impl Iterator<Item = &ServerRecord> {
        let keys = self.keys_of(service, domain);
        let start = if keys.len() > limit {
            (subject % keys.len() as u64) as usize
        } else {
            0
        };
        let (before, after) = keys.split_at(start);
        self.records(after).chain(self.records(before)).take(limit)
    }

    /// The failure domains with active servers of `service`, in ascending order.
    pub fn active_domains(&self, service: ServiceId) -> Vec<DomainId> {
        let mut keys = self.keys_of(service, None);
        let mut domains = Vec::new();
        while let Some((_, domain, _)) = keys.first() {
            let (same, others) = keys.split_at(keys.partition_point(|key| key.1 == *domain));
            let mut records = self.records(same);
            if records.any(|server| server.phase == ServerPhase::Active) {
                domains.push(*domain);
            }
            keys = others;
        }
        domains
    }

    fn keys_of(&self, service: ServiceId, domain: Option<DomainId>) -> &[ServiceKey] {
        let is_before = |key: &ServiceKey| {
            key.0 < service || (key.0 == service && domain.is_some_and(|domain| key.1 < domain))
        };
        let fits =
            |key: &ServiceKey| key.0 == service && domain.is_none_or(|domain| key.1 == domain);
        let keys = &self.services[self.services.partition_point(is_before)..];
        &keys[..keys.partition_point(fits)]
    }

    fn records<'a>(&'a self, keys: &'a [ServiceKey]) -> impl Iterator<Item = &'a ServerRecord> {
        keys.iter().filter_map(|(_, _, id)| self.servers.get(id))
    }

    /// The evacuations of failure domains, including those that ended recently.
    pub const fn evacuations(&self) -> &EvacuationTable {
        &self.evacuations
    }

    /// Records that an evacuation began or ended, unless a later record is known. Returns
    /// whether this changed which servers may receive new flows.
    pub fn note_evacuation(&mut self, record: EvacuationRecord) -> bool {
        self.evacuations.note(record)
    }

    /// Replaces the evacuations by `listed`, all that are active at `revision`. Returns
    /// those that began or ended by this.
    pub fn replace_evacuations(
        &mut self,
        listed: &[EvacuationRecord],
        revision: StoreRevision,
        now: Timestamp,
    ) -> Vec<EvacuationRecord> {
        self.evacuations.replace(listed, revision, now)
    }

    /// Ends evacuations that are missing in a restored store and were not written again in
    /// time. Returns them.
    pub fn end_missing_evacuations(&mut self, now: Timestamp) -> Vec<EvacuationRecord> {
        self.evacuations.end_missing(now)
    }

    /// The time until which `server` is cold; servers of its service are cold for
    /// `cold_start` after their start.
    ///
    /// Guards against overload of servers that were all restarted during an evacuation of
    /// their domain, before their entries show the restart. So all servers of the domain
    /// count as cold for `cold_start` after its evacuation, or until their entries are
    /// written again.
    pub fn cold_until(&self, server: &ServerRecord, cold_start: time::Duration) -> Timestamp {
        match self.evacuations.ended(server.domain) {
            Some((at, revision)) if server.changed <= revision => {
                server.warm_at.max(at.after(cold_start))
            }
            _ => server.warm_at,
        }
    }

    /// Records what the store contains about one server, unless a later record is known.
    pub fn note(&mut self, record: ServerRecord) {
        self.note_all([record]);
    }

    /// Records what the store contains about several servers, except those of which a later
    /// record is known. The indexes are rebuilt once and not for each server; otherwise an
    /// update of hundreds of servers takes seconds in a large fleet.
    pub fn note_all(&mut self, records: impl IntoIterator<Item = ServerRecord>) {
        let mut moved = false;
        for record in records {
            if self.has_later_record(&record) {
                continue;
            }
            let record = self.keep_draining(record);
            let key = (record.service, record.domain);
            let known = self.servers.insert(record.id, record);
            moved |= known.is_none_or(|known| (known.service, known.domain) != key);
        }
        if moved {
            self.rebuild_indexes();
        }
    }

    /// Whether a later record than `record` is known of its server.
    pub fn has_later_record(&self, record: &ServerRecord) -> bool {
        let known = self.servers.get(&record.id);
        known.is_some_and(|known| known.changed > record.changed)
    }

    /// `record`, but still draining if the same process was draining before the store was
    /// restored from a backup.
    ///
    /// Guards against new flows on a server that is about to stop: the backup shows it as
    /// ready until it writes its entry again. A process that drains never becomes active
    /// again; a new process has a different start.
    fn keep_draining(&self, mut record: ServerRecord) -> ServerRecord {
        let is_drained = |known: &&ServerRecord| {
            known.phase == ServerPhase::Draining && known.started == record.started
        };
        let drained = self.servers.get(&record.id).filter(is_drained);
        let may_be_older = |known: &ServerRecord| {
            known.changed.era() < record.changed.era() || known.changed == record.changed
        };
        if record.phase == ServerPhase::Active && drained.is_some_and(may_be_older) {
            record.phase = ServerPhase::Draining;
        }
        record
    }

    /// Records that the entry of `id` cannot be parsed since `revision`, unless a later
    /// record is known. A server that was not known before stays unknown.
    pub fn note_unreadable(&mut self, id: BackendId, revision: StoreRevision) {
        let known = self.servers.get_mut(&id);
        if let Some(server) = known.filter(|one| one.changed < revision) {
            server.changed = revision;
            server.phase = ServerPhase::Unreadable;
        }
    }

    /// Records that the store has no entry of `id` since `revision`, unless a later record
    /// is known.
    pub fn note_removed(&mut self, id: BackendId, revision: StoreRevision, now: Timestamp) {
        let listed = |one: &&mut ServerRecord| one.is_listed() && one.changed <= revision;
        if let Some(server) = self.servers.get_mut(&id).filter(listed) {
            server.changed = revision;
            server.phase = match server.phase {
                ServerPhase::Active | ServerPhase::Unreadable => {
                    ServerPhase::Vanished { since: now }
                }
                ServerPhase::Draining => ServerPhase::Left { since: now },
                earlier => earlier,
            };
        }
    }

    /// Applies a complete listing, read at `revision`: servers that are neither in
    /// `records` nor `unreadable` no longer have an entry.
    ///
    /// Records of a later revision are kept. Guards against a peer that sends a change
    /// while the pages of the listing are read: otherwise a new server would seem to
    /// vanish, and a draining one would receive new flows again.
    pub fn replace(
        &mut self,
        records: Vec<ServerRecord>,
        unreadable: &[(BackendId, StoreRevision)],
        revision: StoreRevision,
        now: Timestamp,
    ) {
        let listed: SortedVector<_, _> = records.into_iter().map(|one| (one.id, one)).collect();
        let is_listed = |id: &BackendId| {
            listed.contains_key(id) || unreadable.iter().any(|(other, _)| other == id)
        };
        let missing = self.servers.keys().filter(|id| !is_listed(id));
        let missing: Vec<BackendId> = missing.copied().collect();
        for (id, changed) in unreadable {
            self.note_unreadable(*id, *changed);
        }
        for id in missing {
            self.note_removed(id, revision, now);
        }
        for record in listed.values() {
            if !self.has_later_record(record) {
                let record = self.keep_draining(record.clone());
                self.servers.insert(record.id, record);
            }
        }
        self.rebuild_indexes();
    }

    /// The servers that changed after `revision`; `None` if some of them were removed from
    /// the directory.
    pub fn changed_after(
        &self,
        revision: StoreRevision,
    ) -> Option<impl Iterator<Item = &ServerRecord>> {
        let known = revision >= self.removed_revision;
        known.then(|| self.iter().filter(move |server| server.changed > revision))
    }

    /// Applies the servers that a peer knows at `revision`, which is later than what is
    /// known here. `records` are those that changed, or all servers if `is_full_list`.
    pub fn merge(
        &mut self,
        records: Vec<ServerRecord>,
        is_full_list: bool,
        revision: StoreRevision,
        now: Timestamp,
    ) {
        let (listed, left): (Vec<_>, Vec<_>) =
            records.into_iter().partition(ServerRecord::is_listed);
        if is_full_list {
            self.replace(listed, &[], revision, now);
        } else {
            self.note_all(listed);
        }
        self.note_all(left);
    }

    /// Ends the grace period of servers that vanished, and removes those that left so long
    /// ago that no flow on them can still be open. Returns whether anything changed.
    pub fn expire(&mut self, now: Timestamp, flow_lifetime: time::Duration) -> bool {
        let mut changed = false;
        for (_, server) in self.servers.iter_mut() {
            if let ServerPhase::Vanished { since } = server.phase
                && now.since(since) >= VANISHED_GRACE
            {
                server.phase = ServerPhase::Left { since };
                changed = true;
            }
        }
        let before = self.servers.len();
        let removed_revision = &mut self.removed_revision;
        self.servers.retain(|_, server| {
            let expired = server.is_expired(now, flow_lifetime);
            if expired {
                *removed_revision = server.changed.max(*removed_revision);
            }
            !expired
        });
        if self.servers.len() != before {
            self.rebuild_indexes();
            changed = true;
        }
        if let Some(revision) = self.evacuations.expire(now) {
            self.removed_revision = self.removed_revision.max(revision);
            changed = true;
        }
        changed
    }

    fn rebuild_indexes(&mut self) {
        let token = |server: &ServerRecord| (FlowToken::of_server(server.id), server.id);
        self.tokens = self.servers.values().map(token).collect();
        self.tokens.sort_unstable();
        let key = |server: &ServerRecord| (server.service, server.domain, server.id);
        self.services = self.servers.values().map(key).collect();
        self.services.sort_unstable();
    }
}
