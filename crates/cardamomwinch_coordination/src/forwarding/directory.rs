//! The backend servers that are known, also those that have left.

use std::net;
use std::time;

use cardamomwinch_state::prelude::{
    BackendId, DomainId, ServiceId, SlotCount, SortedVector, Timestamp,
};

use crate::forwarding::beliefs::store_call::{ServerStart, StoreRevision};
use crate::forwarding::evacuations::{EvacuationRecord, EvacuationTable};
use crate::forwarding::packet::FlowToken;
use crate::forwarding::routes::RouteEntry;

/// How long a server whose entry vanished without a word may still get new
/// flows, where nobody else can. While the store is down entries expire though
/// their servers live; those are back within two seconds of its return.
pub const VANISHED_GRACE: time::Duration = time::Duration::from_millis(2_500);

/// What a server said of itself, or what its silence says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerPhase {
    /// It takes new flows.
    Active,
    /// It is about to leave and takes no new flows.
    Draining,
    /// Its entry cannot be understood any more. It takes no new flows; those that it
    /// holds go on until the entry is gone.
    Unreadable,
    /// Its entry vanished without a word before.
    Vanished {
        /// When this host learned so.
        since: Timestamp,
    },
    /// It has left. It stays known for the flows that it may still hold.
    Left {
        /// When this host learned so.
        since: Timestamp,
    },
}

/// What is known of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRecord {
    /// Its identifier. A server that starts again has another one or the same.
    pub id: BackendId,
    /// When its process started, where it says so: tells incarnations with one
    /// identifier apart.
    pub started: Option<ServerStart>,
    /// Where it takes packets.
    pub address: net::SocketAddr,
    /// The service that it serves.
    pub service: ServiceId,
    /// The failure domain that it stands in.
    pub domain: DomainId,
    /// Requests that it runs at the same time.
    pub slots: SlotCount,
    /// What it said of itself last.
    pub phase: ServerPhase,
    /// Until when it is slow because it has just started.
    pub warm_at: Timestamp,
    /// The revision of the store that changed it last.
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

    /// Whether the store took the server off its list without a word before.
    pub const fn has_vanished(&self) -> bool {
        matches!(self.phase, ServerPhase::Vanished { .. })
    }

    /// Whether `now` is so late that no flow can be left on the server.
    fn is_forgotten(&self, now: Timestamp, flow_lifetime: time::Duration) -> bool {
        match self.phase {
            ServerPhase::Active | ServerPhase::Draining | ServerPhase::Unreadable => false,
            ServerPhase::Vanished { since } | ServerPhase::Left { since } => {
                now.since(since) > flow_lifetime
            }
        }
    }
}

/// A server in the order of services, and in a service in that of failure domains.
type ServicePlace = (ServiceId, DomainId, BackendId);

/// All known servers, found by token or by service.
#[derive(Debug, Clone, Default)]
pub struct ServerDirectory {
    servers: SortedVector<BackendId, ServerRecord>,
    tokens: Vec<(FlowToken, BackendId)>,
    services: Vec<ServicePlace>,
    evacuations: EvacuationTable,
    /// The last revision that changed a server, or ended an evacuation, which is no
    /// longer known.
    forgotten: StoreRevision,
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

    /// How many servers are listed in the store.
    pub fn listed_count(&self) -> usize {
        self.iter().filter(|server| server.is_listed()).count()
    }

    /// The server `id`.
    pub fn get(&self, id: BackendId) -> Option<&ServerRecord> {
        self.servers.get(&id)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values()
    }

    /// The server that `token` names in a flow of `route`. Where two known
    /// servers share the token, it is one that `route` leads to. A packet that
    /// goes to the other one of the two reaches nobody's flow: that server does
    /// not hold it.
    pub fn find(&self, token: FlowToken, route: Option<&RouteEntry>) -> Option<&ServerRecord> {
        let start = self.tokens.partition_point(|(held, _)| *held < token);
        let same = self.tokens[start..]
            .iter()
            .take_while(|(held, _)| *held == token);
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
        self.records(self.places(service, None))
    }

    /// How many servers of `service` there are, in `domain` where one is given.
    pub fn count(&self, service: ServiceId, domain: Option<DomainId>) -> usize {
        self.places(service, domain).len()
    }

    /// At most `limit` servers of `service`, in `domain` where one is given: those
    /// that follow a place that `subject` chooses.
    pub fn sample(
        &self,
        service: ServiceId,
        domain: Option<DomainId>,
        subject: u64,
        limit: usize,
    ) -> impl Iterator<Item = &ServerRecord> {
        let places = self.places(service, domain);
        let start = if places.len() > limit {
            (subject % places.len() as u64) as usize
        } else {
            0
        };
        let (before, after) = places.split_at(start);
        self.records(after).chain(self.records(before)).take(limit)
    }

    fn places(&self, service: ServiceId, domain: Option<DomainId>) -> &[ServicePlace] {
        let is_before = |place: &ServicePlace| {
            place.0 < service
                || (place.0 == service && domain.is_some_and(|domain| place.1 < domain))
        };
        let fits = |place: &ServicePlace| {
            place.0 == service && domain.is_none_or(|domain| place.1 == domain)
        };
        let places = &self.services[self.services.partition_point(is_before)..];
        &places[..places.partition_point(fits)]
    }

    fn records<'a>(&'a self, places: &'a [ServicePlace]) -> impl Iterator<Item = &'a ServerRecord> {
        places.iter().filter_map(|(_, _, id)| self.servers.get(id))
    }

    /// The failure domains whose servers are to get no new flows, or were until lately.
    pub const fn evacuations(&self) -> &EvacuationTable {
        &self.evacuations
    }

    /// Takes over that an evacuation began or ended, unless something later is known.
    /// Returns whether that changed who may get new flows.
    pub fn note_evacuation(&mut self, record: EvacuationRecord) -> bool {
        self.evacuations.note(record)
    }

    /// Takes over all evacuations that last at `revision`. Returns those that began or
    /// ended by it.
    pub fn replace_evacuations(
        &mut self,
        listed: &[EvacuationRecord],
        revision: StoreRevision,
        now: Timestamp,
    ) -> Vec<EvacuationRecord> {
        self.evacuations.replace(listed, revision, now)
    }

    /// Ends evacuations that a restored store lacks and nobody has written again.
    /// Returns them.
    pub fn end_missing_evacuations(&mut self, now: Timestamp) -> Vec<EvacuationRecord> {
        self.evacuations.end_missing(now)
    }

    /// Until when `server` works slowly because it has just started; servers of its
    /// service do so for `cold_start`.
    ///
    /// Guards against a domain that comes back from an evacuation with all its servers
    /// started anew, before their entries say so. It shows as a rush on servers without
    /// flows that cannot bear it. An entry written after the end of the evacuation is
    /// believed again.
    pub fn cold_until(&self, server: &ServerRecord, cold_start: time::Duration) -> Timestamp {
        match self.evacuations.ended(server.domain) {
            Some((at, revision)) if server.changed <= revision => {
                server.warm_at.max(at.after(cold_start))
            }
            _ => server.warm_at,
        }
    }

    /// Takes over what the store says of one server, unless something later is
    /// known.
    pub fn note(&mut self, record: ServerRecord) {
        self.note_all([record]);
    }

    /// Takes over what the store says of some servers, unless something later is known
    /// of them. The indexes are made once: made for each server, what a peer tells of
    /// hundreds would keep a host of a large fleet busy for seconds.
    pub fn note_all(&mut self, records: impl IntoIterator<Item = ServerRecord>) {
        let mut moved = false;
        for record in records {
            if self.knows_later(&record) {
                continue;
            }
            let record = self.keep_drain(record);
            let place = (record.service, record.domain);
            let known = self.servers.insert(record.id, record);
            moved |= known.is_none_or(|known| (known.service, known.domain) != place);
        }
        if moved {
            self.index();
        }
    }

    /// Whether something later than `record` is known of its server.
    pub fn knows_later(&self, record: &ServerRecord) -> bool {
        let known = self.servers.get(&record.id);
        known.is_some_and(|known| known.changed > record.changed)
    }

    /// `record`, with what its server said of itself before the store came back from a
    /// copy.
    ///
    /// Guards against a server that announced its end and is shown as ready by the copy,
    /// until it writes its entry again. It shows as new flows on a server that leaves. No
    /// process takes its word back; another one has another start.
    fn keep_drain(&self, mut record: ServerRecord) -> ServerRecord {
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

    /// Since `revision` the entry of `id` cannot be understood, unless something later
    /// is known. A server that was not known before stays unknown.
    pub fn note_unreadable(&mut self, id: BackendId, revision: StoreRevision) {
        let known = self.servers.get_mut(&id);
        if let Some(server) = known.filter(|one| one.changed < revision) {
            server.changed = revision;
            server.phase = ServerPhase::Unreadable;
        }
    }

    /// Since `revision` the store no longer lists `id`, unless something later is
    /// known.
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

    /// Takes over a whole listing, read at `revision`: servers that are neither in
    /// `records` nor `unreadable` are no longer listed.
    ///
    /// What is known from a later revision stays. Guards against a peer that tells of
    /// a change while the pages are read: without this a server that has just come
    /// would seem to vanish, and one that leaves would get new flows again.
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
            if !self.knows_later(record) {
                let record = self.keep_drain(record.clone());
                self.servers.insert(record.id, record);
            }
        }
        self.index();
    }

    /// The servers that changed after `revision`; `None` where some of them are no
    /// longer known.
    pub fn changed_after(
        &self,
        revision: StoreRevision,
    ) -> Option<impl Iterator<Item = &ServerRecord>> {
        let known = revision >= self.forgotten;
        known.then(|| self.iter().filter(move |server| server.changed > revision))
    }

    /// Takes over what a peer knows at `revision`, which is later than what is
    /// known here: the servers that changed, or `all` servers.
    pub fn merge(
        &mut self,
        records: Vec<ServerRecord>,
        all: bool,
        revision: StoreRevision,
        now: Timestamp,
    ) {
        let (listed, left): (Vec<_>, Vec<_>) =
            records.into_iter().partition(ServerRecord::is_listed);
        if all {
            self.replace(listed, &[], revision, now);
        } else {
            self.note_all(listed);
        }
        self.note_all(left);
    }

    /// Ends the grace of servers that vanished, and forgets those that left so
    /// long ago that no flow can be on them. Returns whether anything changed.
    pub fn age(&mut self, now: Timestamp, flow_lifetime: time::Duration) -> bool {
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
        let forgotten = &mut self.forgotten;
        self.servers.retain(|_, server| {
            let forget = server.is_forgotten(now, flow_lifetime);
            if forget {
                *forgotten = server.changed.max(*forgotten);
            }
            !forget
        });
        if self.servers.len() != before {
            self.index();
            changed = true;
        }
        if let Some(revision) = self.evacuations.age(now) {
            self.forgotten = self.forgotten.max(revision);
            changed = true;
        }
        changed
    }

    fn index(&mut self) {
        let token = |server: &ServerRecord| (FlowToken::of_server(server.id), server.id);
        self.tokens = self.servers.values().map(token).collect();
        self.tokens.sort_unstable();
        let place = |server: &ServerRecord| (server.service, server.domain, server.id);
        self.services = self.servers.values().map(place).collect();
        self.services.sort_unstable();
    }
}
