//! The known backend servers, including those that left recently.

use std::net;
use std::time;

use cardamomwinch_state::prelude::{
    BackendId, DomainId, ServiceId, SlotCount, SortedVector, Timestamp,
};

use crate::forwarding::discovery::store_call::{ServerStart, StoreRevision};
use crate::forwarding::evacuations::{EvacuationRecord, EvacuationTable};
use crate::forwarding::packet::FlowToken;
use crate::forwarding::token_index::TokenIndex;

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
    /// The revision of the store that created its entry, or an earlier one if the entry was
    /// missing in the meantime. If that is unknown, the first known revision that changed it.
    pub registered: StoreRevision,
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

/// The part of the sorted `keys` that is of `service`, and in `domain` if one is given.
fn keys_within(keys: &[ServiceKey], service: ServiceId, domain: Option<DomainId>) -> &[ServiceKey] {
    let is_before = |key: &ServiceKey| {
        key.0 < service || (key.0 == service && domain.is_some_and(|domain| key.1 < domain))
    };
    let fits = |key: &ServiceKey| key.0 == service && domain.is_none_or(|domain| key.1 == domain);
    let keys = &keys[keys.partition_point(is_before)..];
    &keys[..keys.partition_point(fits)]
}

/// All known servers, indexed by token and by service.
#[derive(Debug, Clone, Default)]
pub struct ServerDirectory {
    servers: SortedVector<BackendId, ServerRecord>,
    tokens: TokenIndex,
    services: Vec<ServiceKey>,
    /// The keys of the active servers.
    active: Vec<ServiceKey>,
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

    /// The server of `token`. If several known servers share the token, that is the one that
    /// registered first: hosts that know the later ones never write the token for them.
    pub fn find(&self, token: FlowToken) -> Option<&ServerRecord> {
        let servers = self.tokens.servers(token);
        let servers = servers.filter_map(|id| self.servers.get(&id));
        servers.min_by_key(|server| (server.registered, server.id))
    }

    /// The token that packets to the server `id` carry.
    pub fn token_of(&self, id: BackendId) -> FlowToken {
        self.tokens.token_of(id)
    }

    /// Whether a token may identify the server `id` or another known one, so that it matters
    /// which of them registered first.
    pub fn shares_token(&self, id: BackendId) -> bool {
        self.tokens.has_shared_candidate(id)
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
        self.rotated(keys, start).take(limit)
    }

    /// The number of active servers of `service` in `domain`.
    pub fn active_count(&self, service: ServiceId, domain: DomainId) -> usize {
        keys_within(&self.active, service, Some(domain)).len()
    }

    /// The active servers of `service` in `domain`, in the order of the directory, from the
    /// one at `position` on. Positions wrap around.
    pub fn active_from(
        &self,
        service: ServiceId,
        domain: DomainId,
        position: usize,
    ) -> impl Iterator<Item = &ServerRecord> {
        let keys = keys_within(&self.active, service, Some(domain));
        self.rotated(keys, position.checked_rem(keys.len()).unwrap_or(0))
    }

    fn rotated<'a>(
        &'a self,
        keys: &'a [ServiceKey],
        start: usize,
    ) -> impl Iterator<Item = &'a ServerRecord> {
        let (before, after) = keys.split_at(start);
        self.records(after).chain(self.records(before))
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
        keys_within(&self.services, service, domain)
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
            let record = self.keep_known(record);
            let (id, key) = (record.id, (record.service, record.domain));
            let known = self.servers.insert(id, record);
            moved |= known.is_none_or(|known| (known.service, known.domain) != key);
            if !moved {
                self.index_active(id);
            }
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

    /// `record` with what is known of its server from earlier records.
    fn keep_known(&self, record: ServerRecord) -> ServerRecord {
        let mut record = self.keep_draining(record);
        if let Some(known) = self.servers.get(&record.id) {
            // An entry that was missing during an outage of the store is created again.
            record.registered = record.registered.min(known.registered);
        }
        record
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
        self.set_unreadable(id, revision);
        self.index_active(id);
    }

    fn set_unreadable(&mut self, id: BackendId, revision: StoreRevision) {
        let known = self.servers.get_mut(&id);
        if let Some(server) = known.filter(|one| one.changed < revision) {
            server.changed = revision;
            server.phase = ServerPhase::Unreadable;
        }
    }

    /// Records that the store has no entry of `id` since `revision`, unless a later record
    /// is known.
    pub fn note_removed(&mut self, id: BackendId, revision: StoreRevision, now: Timestamp) {
        self.set_removed(id, revision, now);
        self.index_active(id);
    }

    fn set_removed(&mut self, id: BackendId, revision: StoreRevision, now: Timestamp) {
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
            self.set_unreadable(*id, *changed);
        }
        for id in missing {
            self.set_removed(id, revision, now);
        }
        for record in listed.values() {
            if !self.has_later_record(record) {
                let record = self.keep_known(record.clone());
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
        self.tokens = TokenIndex::new(self.servers.keys().copied());
        let key = |server: &ServerRecord| (server.service, server.domain, server.id);
        self.services = self.servers.values().map(key).collect();
        self.services.sort_unstable();
        let is_active = |server: &&ServerRecord| server.phase == ServerPhase::Active;
        self.active = self.servers.values().filter(is_active).map(key).collect();
        self.active.sort_unstable();
    }

    /// Adds the server `id` to the index of active servers, or removes it.
    fn index_active(&mut self, id: BackendId) {
        let Some(server) = self.servers.get(&id) else {
            return;
        };
        let is_active = server.phase == ServerPhase::Active;
        let key = (server.service, server.domain, id);
        match self.active.binary_search(&key) {
            Ok(position) if !is_active => {
                self.active.remove(position);
            }
            Err(position) if is_active => self.active.insert(position, key),
            _ => {}
        }
    }
}
