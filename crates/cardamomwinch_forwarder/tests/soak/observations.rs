//! What callers, servers and the operator of a run have observed, and the promises that
//! are broken according to it.

use std::fmt;
use std::net;
use std::sync;
use std::time;

use cardamomwinch_state::prelude::SortedVector;

/// A time bound applies to a host, a server or the store only if nothing has disturbed it for
/// this time before.
const STABLE_TIME: time::Duration = time::Duration::from_secs(4);
/// The time after which a change in the store must be in force on all hosts.
const CHANGE_BOUND: time::Duration = time::Duration::from_secs(3);
/// The time for which the end of a server may explain a refused opening: its entry expires
/// after 3.6 s, and a host that is cut off from the store detects this 3 s later.
const SERVER_END_RETENTION: time::Duration = time::Duration::from_secs(8);
/// The number of packets of a flow that arrive at other servers, and none at its own, within
/// [`MISROUTED_WINDOW`] for [`Promise::OwnServer`] to be broken.
const MISROUTED_THRESHOLD: usize = 3;
const MISROUTED_WINDOW: time::Duration = time::Duration::from_secs(2);

/// The time since the start of the run.
pub(crate) type SoakTime = time::Duration;

/// The identifier of a server's incarnation.
pub(crate) type ServerNumber = u64;

/// The address of a flow's caller. It identifies the flow, because no caller uses a port
/// twice.
pub(crate) type FlowAddress = net::SocketAddrV4;

/// What a disturbance affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DisturbedPart {
    /// Everything, including this process.
    Everything,
    /// The store.
    Store,
    /// The host that receives packets at this address.
    Host(net::SocketAddr),
    /// The same host while it stops on a signal. This excuses delays, but not what the host
    /// does to flows.
    StoppingHost(net::SocketAddr),
    /// One server.
    Server(ServerNumber),
    /// The servers get more requests than they can serve. Hosts may refuse openings.
    Load,
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
    /// Nothing that a caller or a server wrote is changed on the way.
    Unchanged,
    /// A request that may run once runs at most once.
    RunsOnce,
    /// No flow is ended while its server serves it.
    FlowKept,
    /// The packets of a flow go to its server.
    OwnServer,
    /// A draining server gets no new flows.
    LeavingSpared,
    /// A change of the configuration is in force in time.
    ChangeInForce,
    /// A process that is asked to stop ends by itself, in time and without an error; no other
    /// process ends.
    CleanStop,
    /// The store is only read.
    StoreOnlyRead,
    /// All requests are served again once every disruption is over.
    Recovery,
    /// A log contains only lines of JSON.
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
    /// `None` if the route was dropped.
    service: Option<String>,
}

#[derive(Debug, Clone)]
struct FlowRecord {
    server: ServerNumber,
    /// When packets arrived at other servers since the last one at the own server.
    misrouted: Vec<SoakTime>,
}

#[derive(Debug, Default)]
struct ObservationState {
    disturbances: Vec<Disturbance>,
    routes: SortedVector<u16, Vec<RouteChange>>,
    draining: SortedVector<ServerNumber, SoakTime>,
    ended: SortedVector<ServerNumber, SoakTime>,
    flows: SortedVector<FlowAddress, FlowRecord>,
    runs: SortedVector<String, u32>,
    violations: Vec<Violation>,
    answered: u64,
    unanswered: u64,
    resets: u64,
    shed: u64,
}

/// The observations of one run.
#[derive(Debug, Clone)]
pub(crate) struct SoakObservations {
    start: time::Instant,
    /// Whether time bounds are checked.
    timed: bool,
    state: sync::Arc<sync::Mutex<ObservationState>>,
}

/// A disturbance that lasts until this is dropped.
#[derive(Debug)]
pub(crate) struct DisturbanceGuard {
    observations: SoakObservations,
    position: usize,
}

impl Drop for DisturbanceGuard {
    fn drop(&mut self) {
        let now = self.observations.now();
        self.observations.lock().disturbances[self.position].until = Some(now);
    }
}

/// The numbers of requests by outcome.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestCounts {
    pub(crate) answered: u64,
    pub(crate) unanswered: u64,
    /// Open flows that hosts ended.
    pub(crate) resets: u64,
    /// Requests that servers did not run.
    pub(crate) shed: u64,
}

impl ObservationState {
    /// Whether nothing disturbed `part` within [`STABLE_TIME`] before `at`.
    fn is_undisturbed(&self, part: DisturbedPart, at: SoakTime) -> bool {
        let from = at.saturating_sub(STABLE_TIME);
        !self.disturbances.iter().any(|one| {
            let affected = one.part == part || one.part == DisturbedPart::Everything;
            affected && one.from <= at && one.until.is_none_or(|until| until >= from)
        })
    }

    /// Whether time bounds apply to `host`.
    fn is_stable_host(&self, host: net::SocketAddr, at: SoakTime) -> bool {
        let parts = [DisturbedPart::Host(host), DisturbedPart::StoppingHost(host)];
        parts.into_iter().all(|part| self.is_undisturbed(part, at))
    }

    fn is_serving(&self, server: ServerNumber, at: SoakTime) -> bool {
        let ended = self.ended.get(&server).is_some_and(|end| *end <= at);
        !ended && self.is_undisturbed(DisturbedPart::Server(server), at)
    }

    /// Whether any configuration routed `route` to `service`.
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
        (bound <= at && self.store_was_undisturbed(last.at, at)).then_some(last)
    }

    fn store_was_undisturbed(&self, from: SoakTime, until: SoakTime) -> bool {
        let from = from.saturating_sub(STABLE_TIME);
        !self.disturbances.iter().any(|one| {
            let affected = matches!(one.part, DisturbedPart::Store | DisturbedPart::Everything);
            affected && one.from <= until && one.until.is_none_or(|end| end >= from)
        })
    }

    /// Whether no server has ended within [`SERVER_END_RETENTION`].
    fn servers_stayed(&self, at: SoakTime) -> bool {
        self.ended
            .values()
            .all(|end| *end + SERVER_END_RETENTION < at)
    }

    fn record_violation(&mut self, promise: Promise, what: String) {
        self.violations.push(Violation { promise, what });
    }
}

impl SoakObservations {
    pub(crate) fn new(timed: bool) -> Self {
        Self {
            start: time::Instant::now(),
            timed,
            state: sync::Arc::default(),
        }
    }

    pub(crate) fn now(&self) -> SoakTime {
        self.start.elapsed()
    }

    pub(crate) const fn is_timed(&self) -> bool {
        self.timed
    }

    fn lock(&self) -> sync::MutexGuard<'_, ObservationState> {
        let locked = self.state.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Records that `part` is disturbed until the guard is dropped.
    pub(crate) fn disturb(&self, part: DisturbedPart) -> DisturbanceGuard {
        let from = self.now();
        let mut state = self.lock();
        let position = state.disturbances.len();
        state.disturbances.push(Disturbance {
            part,
            from,
            until: None,
        });
        DisturbanceGuard {
            observations: self.clone(),
            position,
        }
    }

    /// Records that this process itself did not run since `from`.
    pub(crate) fn note_stall(&self, from: SoakTime) {
        let until = Some(self.now());
        let part = DisturbedPart::Everything;
        self.lock()
            .disturbances
            .push(Disturbance { part, from, until });
    }

    /// The store has stored a configuration that routes `route` to `service`, or drops it.
    pub(crate) fn note_route(&self, route: u16, service: Option<&str>) {
        let at = self.now();
        let service = service.map(str::to_owned);
        let mut state = self.lock();
        let changes = state.routes.get_or_insert_with(route, Vec::new);
        changes.push(RouteChange { at, service });
    }

    /// The store has stored the entry of `server` as draining.
    pub(crate) fn note_draining(&self, server: ServerNumber) {
        let at = self.now();
        self.lock().draining.insert(server, at);
    }

    /// `server` has ended, and all its flows with it.
    pub(crate) fn note_ended(&self, server: ServerNumber) {
        let at = self.now();
        self.lock().ended.insert(server, at);
    }

    /// `server` of `service` received an opening that `host` forwarded.
    pub(crate) fn note_opening(
        &self,
        flow: FlowAddress,
        route: u16,
        server: ServerNumber,
        service: &str,
        host: net::SocketAddr,
    ) {
        let at = self.now();
        let mut state = self.lock();
        if !state.was_allowed(route, service) {
            let what = format!("{flow} to port {route} opened at {server:x} of {service}");
            state.record_violation(Promise::OwnService, what);
        }
        if !self.timed || !state.is_stable_host(host, at) {
            return;
        }
        let dropped = state.route_in_force(route, at);
        if dropped.is_some_and(|change| change.service.is_none()) {
            let what = format!("{flow} to the dropped port {route} by {host} at {at:?}");
            state.record_violation(Promise::ChangeInForce, what);
        }
        let draining = state.draining.get(&server).copied();
        let late = draining.filter(|since| *since + CHANGE_BOUND < at);
        if let Some(since) = late.filter(|since| state.store_was_undisturbed(*since, at)) {
            let what =
                format!("{flow} at {server:x} by {host} at {at:?}, draining since {since:?}");
            state.record_violation(Promise::LeavingSpared, what);
        }
    }

    /// A packet of `flow` that is not an opening arrived at `server`. `holds` is whether the
    /// server has the flow.
    pub(crate) fn note_packet(&self, flow: FlowAddress, server: ServerNumber, holds: bool) {
        let at = self.now();
        let mut state = self.lock();
        if holds {
            let misrouted = Vec::new();
            state.flows.insert(flow, FlowRecord { server, misrouted });
            return;
        }
        let Some(own) = state.flows.get(&flow).map(|record| record.server) else {
            return;
        };
        if own == server || !state.is_serving(own, at) {
            return;
        }
        let Some(record) = state.flows.get_mut(&flow) else {
            return;
        };
        record
            .misrouted
            .retain(|since| at - *since <= MISROUTED_WINDOW);
        record.misrouted.push(at);
        if record.misrouted.len() == MISROUTED_THRESHOLD {
            let what = format!("{flow} of {own:x} at {server:x}, at {at:?}");
            state.record_violation(Promise::OwnServer, what);
        }
    }

    /// A caller received a reset of its open `flow` to `route` from `host`.
    pub(crate) fn note_reset(&self, flow: FlowAddress, route: u16, host: net::SocketAddr) {
        let at = self.now();
        let mut state = self.lock();
        state.resets += 1;
        let changes = state.routes.get(&route).into_iter().flatten();
        let dropped = changes.last().is_none_or(|change| change.service.is_none());
        let Some(record) = state.flows.get(&flow) else {
            return;
        };
        let server = record.server;
        let undisturbed = state.is_undisturbed(DisturbedPart::Host(host), at);
        if self.timed && !dropped && undisturbed && state.is_serving(server, at) {
            let what = format!("{flow} of {server:x} was reset by {host} at {at:?}");
            state.record_violation(Promise::FlowKept, what);
        }
    }

    /// A caller received a reset of its open `flow` from a server other than its own, because
    /// a packet of the flow was sent there.
    pub(crate) fn note_foreign_reset(&self, flow: FlowAddress, server: net::SocketAddr) {
        let at = self.now();
        let mut state = self.lock();
        let own = state.flows.get(&flow).map(|record| record.server);
        if let Some(own) = own.filter(|own| state.is_serving(*own, at)) {
            let what = format!("{flow} of {own:x} was reset by the server at {server}, at {at:?}");
            state.record_violation(Promise::OwnServer, what);
        }
    }

    /// `host` refused an opening of `flow` to `route`. Only routes that are not `urgent` may be
    /// refused because of the load.
    pub(crate) fn note_refusal(
        &self,
        flow: FlowAddress,
        route: u16,
        urgent: bool,
        host: net::SocketAddr,
    ) {
        let at = self.now();
        let mut state = self.lock();
        let stable = self.timed && state.is_stable_host(host, at);
        let present = state.route_in_force(route, at);
        let present = present.is_some_and(|change| change.service.is_some());
        // A caller whose server has ended gets a reset too, although its route exists.
        let has_room = urgent || state.is_undisturbed(DisturbedPart::Load, at);
        if stable && present && has_room && state.servers_stayed(at) {
            let what = format!("{flow} to port {route}, which exists, refused by {host} at {at:?}");
            state.record_violation(Promise::ChangeInForce, what);
        }
    }

    /// A server runs `request`. `once` is whether it may run only once.
    pub(crate) fn note_run(&self, request: &str, once: bool) {
        let mut state = self.lock();
        let count = state.runs.get_or_insert_with(request.to_owned(), || 0);
        *count += 1;
        let count = *count;
        if once && count > 1 {
            let what = format!("{request} ran {count} times");
            state.record_violation(Promise::RunsOnce, what);
        }
    }

    /// A server does not run a request, because its queue is full.
    pub(crate) fn note_shed(&self) {
        self.lock().shed += 1;
    }

    /// A request ended with or without an answer.
    pub(crate) fn note_request(&self, answered: bool) {
        let mut state = self.lock();
        if answered {
            state.answered += 1;
        } else {
            state.unanswered += 1;
        }
    }

    pub(crate) fn counts(&self) -> RequestCounts {
        let state = self.lock();
        RequestCounts {
            answered: state.answered,
            unanswered: state.unanswered,
            resets: state.resets,
            shed: state.shed,
        }
    }

    pub(crate) fn record_violation(&self, promise: Promise, what: String) {
        self.lock().record_violation(promise, what);
    }

    pub(crate) fn violations(&self) -> Vec<Violation> {
        self.lock().violations.clone()
    }
}
