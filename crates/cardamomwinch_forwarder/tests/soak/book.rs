//! What callers, servers and the operator of a soak have seen, and which promises
//! it breaks.

use std::fmt;
use std::net;
use std::sync;
use std::time;

use cardamomwinch_state::prelude::SortedVector;

/// Nothing may have disturbed a host or a server for so long before a moment for
/// which a time bound counts.
const STABILITY: time::Duration = time::Duration::from_secs(4);
/// After this a change that the store holds must be in force everywhere.
const CHANGE_BOUND: time::Duration = time::Duration::from_secs(3);
/// For so long the end of a server may explain a refused opening: its entry lapses
/// after 3.6 s, and a host that is cut off from the store learns of it 3 s later.
const SERVER_END_MEMORY: time::Duration = time::Duration::from_secs(8);
/// So many packets of a flow at other servers, and none at its own, within
/// [`STRAY_TIME`] break it.
const STRAY_PACKETS: usize = 3;
const STRAY_TIME: time::Duration = time::Duration::from_secs(2);

/// Since the start of traffic.
pub(crate) type SoakTime = time::Duration;

/// The identifier of a server's incarnation.
pub(crate) type ServerNumber = u64;

/// A flow by the caller's end; no caller uses a port twice.
pub(crate) type FlowEnd = net::SocketAddrV4;

/// What a disturbance concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DisturbedPart {
    /// Everything, this process too.
    Everything,
    /// The store.
    Store,
    /// The host that takes packets there.
    Host(net::SocketAddr),
    /// The same while it stops as it was told to: that excuses delays, and nothing that
    /// it does to flows.
    StoppingHost(net::SocketAddr),
    /// One server.
    Server(ServerNumber),
}

#[derive(Debug, Clone, Copy)]
struct Disturbance {
    part: DisturbedPart,
    from: SoakTime,
    until: Option<SoakTime>,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Violation {
    pub(crate) promise: Promise,
    pub(crate) what: String,
}

/// What must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Promise {
    /// A packet never reaches a service that its route does not lead to.
    OwnService,
    /// Nothing that an end wrote is changed on its way.
    Unchanged,
    /// A request that may run once runs at most once.
    RunsOnce,
    /// No flow is ended while its server serves it.
    FlowKept,
    /// The packets of a flow go to its server.
    OwnServer,
    /// A leaving server gets no new flows.
    LeavingSpared,
    /// A change is in force in time.
    ChangeInForce,
    /// A stop that is planned ends by itself, in time and without an error; no
    /// process ends otherwise.
    CleanStop,
    /// The store is only read.
    StoreOnlyRead,
    /// All requests are served again once every disruption is over.
    Recovery,
    /// A log holds lines of JSON and nothing else.
    ReadableLog,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.promise, self.what)
    }
}

#[derive(Debug, Clone)]
struct RouteChange {
    at: SoakTime,
    /// Absent where the route was dropped.
    service: Option<String>,
}

#[derive(Debug, Clone)]
struct FlowRecord {
    server: ServerNumber,
    /// When packets came to other servers since one came to the own.
    strays: Vec<SoakTime>,
}

#[derive(Debug, Default)]
struct BookEntries {
    disturbances: Vec<Disturbance>,
    routes: SortedVector<u16, Vec<RouteChange>>,
    draining: SortedVector<ServerNumber, SoakTime>,
    ended: SortedVector<ServerNumber, SoakTime>,
    flows: SortedVector<FlowEnd, FlowRecord>,
    runs: SortedVector<String, u32>,
    violations: Vec<Violation>,
    answered: u64,
    unanswered: u64,
    resets: u64,
}

/// The book of one run.
#[derive(Debug, Clone)]
pub(crate) struct SoakBook {
    start: time::Instant,
    /// Whether bounds in time are judged.
    timed: bool,
    entries: sync::Arc<sync::Mutex<BookEntries>>,
}

/// A disturbance that goes on until this is dropped.
#[derive(Debug)]
pub(crate) struct DisturbanceGuard {
    book: SoakBook,
    position: usize,
}

impl Drop for DisturbanceGuard {
    fn drop(&mut self) {
        let now = self.book.now();
        self.book.lock().disturbances[self.position].until = Some(now);
    }
}

/// How requests ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestCounts {
    pub(crate) answered: u64,
    pub(crate) unanswered: u64,
    /// Open flows that hosts ended.
    pub(crate) resets: u64,
}

impl BookEntries {
    /// Whether nothing disturbed `part` in the time before `at`.
    fn is_calm(&self, part: DisturbedPart, at: SoakTime) -> bool {
        let from = at.saturating_sub(STABILITY);
        !self.disturbances.iter().any(|one| {
            let concerned = one.part == part || one.part == DisturbedPart::Everything;
            concerned && one.from <= at && one.until.is_none_or(|until| until >= from)
        })
    }

    /// Whether bounds in time count for `host`.
    fn is_in_touch(&self, host: net::SocketAddr, at: SoakTime) -> bool {
        let parts = [DisturbedPart::Host(host), DisturbedPart::StoppingHost(host)];
        parts.into_iter().all(|part| self.is_calm(part, at))
    }

    fn is_serving(&self, server: ServerNumber, at: SoakTime) -> bool {
        let ended = self.ended.get(&server).is_some_and(|end| *end <= at);
        !ended && self.is_calm(DisturbedPart::Server(server), at)
    }

    /// Whether `service` may have been named for `route` by any configuration.
    fn was_allowed(&self, route: u16, service: &str) -> bool {
        let changes = self.routes.get(&route);
        let mut changes = changes.into_iter().flatten();
        changes.any(|change| change.service.as_deref() == Some(service))
    }

    /// The last change of `route` that must have been in force at `at`.
    fn route_in_force(&self, route: u16, at: SoakTime) -> Option<&RouteChange> {
        let changes = self.routes.get(&route)?;
        let last = changes.iter().rev().find(|change| change.at <= at)?;
        let bound = last.at + CHANGE_BOUND;
        (bound <= at && self.store_was_calm(last.at, at)).then_some(last)
    }

    fn store_was_calm(&self, from: SoakTime, until: SoakTime) -> bool {
        let from = from.saturating_sub(STABILITY);
        !self.disturbances.iter().any(|one| {
            let concerned = matches!(one.part, DisturbedPart::Store | DisturbedPart::Everything);
            concerned && one.from <= until && one.until.is_none_or(|end| end >= from)
        })
    }

    /// Whether no server has ended lately.
    fn servers_stayed(&self, at: SoakTime) -> bool {
        self.ended.values().all(|end| *end + SERVER_END_MEMORY < at)
    }

    fn break_promise(&mut self, promise: Promise, what: String) {
        self.violations.push(Violation { promise, what });
    }
}

impl SoakBook {
    pub(crate) fn new(timed: bool) -> Self {
        Self {
            start: time::Instant::now(),
            timed,
            entries: sync::Arc::default(),
        }
    }

    pub(crate) fn now(&self) -> SoakTime {
        self.start.elapsed()
    }

    pub(crate) const fn is_timed(&self) -> bool {
        self.timed
    }

    fn lock(&self) -> sync::MutexGuard<'_, BookEntries> {
        let locked = self.entries.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Notes that `part` is disturbed until the guard is dropped.
    pub(crate) fn disturb(&self, part: DisturbedPart) -> DisturbanceGuard {
        let from = self.now();
        let mut entries = self.lock();
        let position = entries.disturbances.len();
        entries.disturbances.push(Disturbance {
            part,
            from,
            until: None,
        });
        DisturbanceGuard {
            book: self.clone(),
            position,
        }
    }

    /// Notes that this process itself did not run for a while.
    pub(crate) fn note_stall(&self, from: SoakTime) {
        let until = Some(self.now());
        let part = DisturbedPart::Everything;
        self.lock()
            .disturbances
            .push(Disturbance { part, from, until });
    }

    /// The store has taken a configuration in which `route` leads to `service`.
    pub(crate) fn note_route(&self, route: u16, service: Option<&str>) {
        let at = self.now();
        let service = service.map(str::to_owned);
        let mut entries = self.lock();
        let changes = entries.routes.get_or_insert_with(route, Vec::new);
        changes.push(RouteChange { at, service });
    }

    /// The store has taken the word of `server` that it leaves.
    pub(crate) fn note_draining(&self, server: ServerNumber) {
        let at = self.now();
        self.lock().draining.insert(server, at);
    }

    /// `server` has ended, with all its flows.
    pub(crate) fn note_ended(&self, server: ServerNumber) {
        let at = self.now();
        self.lock().ended.insert(server, at);
    }

    /// `server` of `service` took an opening that `host` forwarded.
    pub(crate) fn note_opening(
        &self,
        flow: FlowEnd,
        route: u16,
        server: ServerNumber,
        service: &str,
        host: net::SocketAddr,
    ) {
        let at = self.now();
        let mut entries = self.lock();
        if !entries.was_allowed(route, service) {
            let what = format!("{flow} to port {route} opened at {server:x} of {service}");
            entries.break_promise(Promise::OwnService, what);
        }
        if !self.timed || !entries.is_in_touch(host, at) {
            return;
        }
        let dropped = entries.route_in_force(route, at);
        if dropped.is_some_and(|change| change.service.is_none()) {
            let what = format!("{flow} to the dropped port {route} by {host} at {at:?}");
            entries.break_promise(Promise::ChangeInForce, what);
        }
        let draining = entries.draining.get(&server).copied();
        let late = draining.filter(|since| *since + CHANGE_BOUND < at);
        if let Some(since) = late.filter(|since| entries.store_was_calm(*since, at)) {
            let what =
                format!("{flow} at {server:x} by {host} at {at:?}, draining since {since:?}");
            entries.break_promise(Promise::LeavingSpared, what);
        }
    }

    /// A packet of `flow` that is no opening came to `server`, which `holds` it.
    pub(crate) fn note_packet(&self, flow: FlowEnd, server: ServerNumber, holds: bool) {
        let at = self.now();
        let mut entries = self.lock();
        if holds {
            let strays = Vec::new();
            entries.flows.insert(flow, FlowRecord { server, strays });
            return;
        }
        let Some(own) = entries.flows.get(&flow).map(|record| record.server) else {
            return;
        };
        if own == server || !entries.is_serving(own, at) {
            return;
        }
        let Some(record) = entries.flows.get_mut(&flow) else {
            return;
        };
        record.strays.retain(|since| at - *since <= STRAY_TIME);
        record.strays.push(at);
        if record.strays.len() == STRAY_PACKETS {
            let what = format!("{flow} of {own:x} at {server:x}, at {at:?}");
            entries.break_promise(Promise::OwnServer, what);
        }
    }

    /// `host` told a caller that its open `flow` to `route` is over.
    pub(crate) fn note_reset(&self, flow: FlowEnd, route: u16, host: net::SocketAddr) {
        let at = self.now();
        let mut entries = self.lock();
        entries.resets += 1;
        let changes = entries.routes.get(&route).into_iter().flatten();
        let dropped = changes.last().is_none_or(|change| change.service.is_none());
        let Some(record) = entries.flows.get(&flow) else {
            return;
        };
        let server = record.server;
        let undisturbed = entries.is_calm(DisturbedPart::Host(host), at);
        if self.timed && !dropped && undisturbed && entries.is_serving(server, at) {
            let what = format!("{flow} of {server:x} was reset by {host} at {at:?}");
            entries.break_promise(Promise::FlowKept, what);
        }
    }

    /// Another server than its own told a caller that its open `flow` is over: a packet
    /// of the flow had gone there.
    pub(crate) fn note_foreign_reset(&self, flow: FlowEnd, server: net::SocketAddr) {
        let at = self.now();
        let mut entries = self.lock();
        let own = entries.flows.get(&flow).map(|record| record.server);
        if let Some(own) = own.filter(|own| entries.is_serving(*own, at)) {
            let what = format!("{flow} of {own:x} was reset by the server at {server}, at {at:?}");
            entries.break_promise(Promise::OwnServer, what);
        }
    }

    /// `host` refused an opening of `flow` to `route`.
    pub(crate) fn note_refusal(&self, flow: FlowEnd, route: u16, host: net::SocketAddr) {
        let at = self.now();
        let mut entries = self.lock();
        let in_touch = self.timed && entries.is_in_touch(host, at);
        let present = entries.route_in_force(route, at);
        let present = present.is_some_and(|change| change.service.is_some());
        // A caller whose server has gone is told so, whatever its route.
        if in_touch && present && entries.servers_stayed(at) {
            let what = format!("{flow} to port {route}, which exists, refused by {host} at {at:?}");
            entries.break_promise(Promise::ChangeInForce, what);
        }
    }

    /// A server runs `request`, which may run once only where `once` holds.
    pub(crate) fn note_run(&self, request: &str, once: bool) {
        let mut entries = self.lock();
        let count = entries.runs.get_or_insert_with(request.to_owned(), || 0);
        *count += 1;
        let count = *count;
        if once && count > 1 {
            let what = format!("{request} ran {count} times");
            entries.break_promise(Promise::RunsOnce, what);
        }
    }

    /// A request ended, with its answer or without.
    pub(crate) fn note_request(&self, answered: bool) {
        let mut entries = self.lock();
        if answered {
            entries.answered += 1;
        } else {
            entries.unanswered += 1;
        }
    }

    pub(crate) fn counts(&self) -> RequestCounts {
        let entries = self.lock();
        RequestCounts {
            answered: entries.answered,
            unanswered: entries.unanswered,
            resets: entries.resets,
        }
    }

    pub(crate) fn break_promise(&self, promise: Promise, what: String) {
        self.lock().break_promise(promise, what);
    }

    pub(crate) fn violations(&self) -> Vec<Violation> {
        self.lock().violations.clone()
    }
}
