//! The state of one backend server: flows, slots, queue and recorded runs.

use std::collections::VecDeque;
use std::net;
use std::str;
use std::time;

use cardamomwinch_protocol::backend::BackendRequest;
use cardamomwinch_protocol::prelude::{AttemptNumber, BackendDatagram, LoadReport};
use cardamomwinch_state::prelude::{
    BackendId, ConnectionCount, FlowKey, HostId, RequestId, SlotCount, SortedVector, Timestamp,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The number of requests whose runs are listed; the runs of further requests
/// are only counted.
pub const MAX_LISTED_RUNS: usize = 100_000;
/// The number of sheds that are listed; further ones are only counted.
pub const MAX_LISTED_SHEDS: usize = 10_000;
/// The number of runs of one request that are listed one by one.
pub const MAX_LISTED_STARTS: usize = 16;

/// The flow, server and host that replies about a flow carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyRoute {
    /// The flow.
    pub flow: FlowKey,
    /// The server's id in the host's datagram.
    pub backend: BackendId,
    /// The host that forwarded the last datagram.
    pub via: HostId,
}

impl From<&BackendDatagram<'_>> for ReplyRoute {
    fn from(datagram: &BackendDatagram<'_>) -> Self {
        Self {
            flow: datagram.flow,
            backend: datagram.backend,
            via: datagram.via,
        }
    }
}

/// A request that is queued or runs.
#[derive(Debug, Clone)]
pub struct RequestJob {
    /// Where its answer goes.
    pub route: ReplyRoute,
    /// Its identifier and limits.
    pub request: BackendRequest,
    /// Its payload.
    pub payload: Vec<u8>,
}

impl RequestJob {
    /// Whether `now` is too late to start it.
    pub fn is_late(&self, now: Timestamp) -> bool {
        now > self.request.start_before || now > self.request.deadline
    }
}

/// The datagram by which a request was started or shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestOrder {
    /// When the request was started or shed.
    pub at: Timestamp,
    /// The host that sent the datagram.
    pub via: HostId,
    /// The server's id in the datagram.
    pub backend: BackendId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The time after which it must not be started.
    pub start_before: Timestamp,
}

impl RequestOrder {
    fn new(job: &RequestJob, at: Timestamp) -> Self {
        Self {
            at,
            via: job.route.via,
            backend: job.route.backend,
            attempt: job.request.attempt,
            start_before: job.request.start_before,
        }
    }
}

/// A request that was shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestShed {
    /// The flow.
    pub flow: FlowKey,
    /// The request.
    pub request: RequestId,
    /// What was shed, and when.
    pub order: RequestOrder,
}

/// The runs of one request on this server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestRuns {
    /// The flow.
    pub flow: FlowKey,
    /// The request.
    pub request: RequestId,
    /// The number of its runs.
    pub count: u64,
    /// When its last run started.
    pub begun: Timestamp,
    /// The first runs, up to [`MAX_LISTED_STARTS`].
    pub starts: Vec<RequestOrder>,
    /// When its last answer was sent; zero if there was none.
    pub answered: Timestamp,
    /// The payload of its first run; bytes that are not UTF-8 are replaced.
    pub payload: String,
}

/// Answer to `GET /runs`.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunReport {
    /// The number of runs.
    pub total: u64,
    /// Runs of requests that are not listed because the list was full; repeated
    /// runs are not detected among them.
    pub unlisted: u64,
    /// Requests and openings that were shed.
    pub shed: u64,
    /// Requests that were cancelled while they were queued.
    pub cancelled: u64,
    /// Datagrams for a service that is not this server's own; a violation.
    pub wrong_service: u64,
    /// Datagrams for a flow that is not open.
    pub unknown_flow: u64,
    /// Datagrams that could not be decoded.
    pub malformed: u64,
    /// Flows that are open now.
    pub open_flows: usize,
    /// Requests that ran more than once; a violation.
    pub repeated: Vec<RequestRuns>,
    /// Each request that ran, up to [`MAX_LISTED_RUNS`].
    pub runs: Vec<RequestRuns>,
    /// The first requests that were shed, up to [`MAX_LISTED_SHEDS`].
    pub sheds: Vec<RequestShed>,
}

/// What the load endpoint reports.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "mode")]
pub enum HealthMode {
    /// The current load.
    #[default]
    Truth,
    /// The load as of an earlier query. The first query after each period still
    /// gets the old report and stores a new one for later queries.
    Lag {
        /// The period in milliseconds.
        period_ms: u64,
    },
    /// A fixed report.
    Lie {
        /// The report.
        report: LoadReport,
    },
}

/// Text that is neither `truth`, `lag` nor `lie`.
#[derive(Debug, Clone, Copy)]
#[derive(Snafu)]
#[snafu(display("expected truth, lag or lie"))]
pub struct HealthParseError;

impl str::FromStr for HealthMode {
    type Err = HealthParseError;

    /// `lag` has a period of five seconds; `lie` reports an idle, healthy server.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "truth" => Ok(Self::Truth),
            "lag" => Ok(Self::Lag { period_ms: 5000 }),
            "lie" => Ok(Self::Lie {
                report: LoadReport {
                    busy_slots: 0,
                    connections: 0,
                    healthy: true,
                    draining: false,
                    answers: None,
                },
            }),
            _ => Err(HealthParseError),
        }
    }
}

/// A flow that is open.
#[derive(Debug, Clone, Copy)]
pub struct OpenFlow {
    /// Where its notices go.
    pub route: ReplyRoute,
    /// The sequence number of the last notice.
    pub notices: u64,
}

/// What the server does with a request.
#[derive(Debug)]
pub enum Admission {
    /// It got a slot and runs now.
    Run(RequestJob),
    /// It waits for a slot.
    Queued,
    /// It will not run.
    Shed(RequestJob),
}

/// The state of one backend server.
#[derive(Debug)]
pub struct BackendState {
    service: net::SocketAddr,
    slots: SlotCount,
    connections: ConnectionCount,
    queue_limit: usize,
    busy: u32,
    answers: u64,
    queue: VecDeque<RequestJob>,
    flows: SortedVector<FlowKey, OpenFlow>,
    runs: SortedVector<(FlowKey, RequestId), RequestRuns>,
    draining: bool,
    health: HealthMode,
    delayed_report: Option<(time::Instant, LoadReport)>,
    /// The counters. The lists are filled only by [`Self::report`].
    pub counters: RunReport,
}

impl BackendState {
    /// An idle server for `service`.
    pub fn new(
        service: net::SocketAddr,
        slots: SlotCount,
        connections: ConnectionCount,
        queue_limit: usize,
        health: HealthMode,
    ) -> Self {
        Self {
            service,
            slots,
            connections,
            queue_limit,
            busy: 0,
            answers: 0,
            queue: VecDeque::new(),
            flows: SortedVector::new(),
            runs: SortedVector::new(),
            draining: false,
            health,
            delayed_report: None,
            counters: RunReport::default(),
        }
    }

    /// Whether `flow` belongs to this server's service; counts it if not.
    pub fn accepts_service(&mut self, flow: &FlowKey) -> bool {
        let own = flow.service == self.service;
        self.counters.wrong_service += u64::from(!own);
        own
    }

    /// Opens the flow of `route`. Returns `true` if the flow is open, even if it
    /// was open before. Refuses new flows while draining and when the limit of
    /// connections is reached.
    pub fn open(&mut self, route: ReplyRoute) -> bool {
        if self.update_route(route) {
            return true;
        }
        if self.draining || self.flows.len() >= self.connections.get() as usize {
            self.counters.shed += 1;
            return false;
        }
        let flow = OpenFlow { route, notices: 0 };
        self.flows.insert(route.flow, flow);
        true
    }

    /// Updates the route of an open flow; returns `false` if it is not open.
    pub fn update_route(&mut self, route: ReplyRoute) -> bool {
        let Some(flow) = self.flows.get_mut(&route.flow) else {
            return false;
        };
        flow.route = route;
        true
    }

    /// Closes `flow`.
    pub fn close(&mut self, flow: &FlowKey) {
        self.flows.remove(flow);
    }

    /// Gives `job` a slot, queues it, or sheds it.
    pub fn admit(&mut self, job: RequestJob, now: Timestamp) -> Admission {
        if job.is_late(now) {
            self.note_shed(&job, now);
            return Admission::Shed(job);
        }
        if self.busy < self.slots.get() {
            self.busy += 1;
            self.record_run(&job, now);
            return Admission::Run(job);
        }
        if self.queue.len() < self.queue_limit {
            self.queue.push_back(job);
            return Admission::Queued;
        }
        self.note_shed(&job, now);
        Admission::Shed(job)
    }

    fn note_shed(&mut self, job: &RequestJob, now: Timestamp) {
        self.counters.shed += 1;
        if self.counters.sheds.len() < MAX_LISTED_SHEDS {
            self.counters.sheds.push(RequestShed {
                flow: job.route.flow,
                request: job.request.id,
                order: RequestOrder::new(job, now),
            });
        }
    }

    /// Frees a slot and returns the next queued request, which is shed if it is
    /// too late. Call it again until it returns no request to shed.
    pub fn next_job(&mut self, now: Timestamp) -> Option<Admission> {
        self.busy = self.busy.saturating_sub(1);
        let job = self.queue.pop_front()?;
        if job.is_late(now) {
            // The next call frees the slot again, for the request behind this one.
            self.busy += 1;
            self.note_shed(&job, now);
            return Some(Admission::Shed(job));
        }
        self.busy += 1;
        self.record_run(&job, now);
        Some(Admission::Run(job))
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, flow: &FlowKey, request: RequestId) -> Option<RequestJob> {
        let mut waiting = self.queue.iter();
        let position =
            waiting.position(|job| job.route.flow == *flow && job.request.id == request)?;
        self.counters.cancelled += 1;
        self.queue.remove(position)
    }

    fn record_run(&mut self, job: &RequestJob, now: Timestamp) {
        self.counters.total += 1;
        let key = (job.route.flow, job.request.id);
        if let Some(runs) = self.runs.get_mut(&key) {
            runs.count += 1;
            runs.begun = now;
            if runs.starts.len() < MAX_LISTED_STARTS {
                runs.starts.push(RequestOrder::new(job, now));
            }
        } else if self.runs.len() >= MAX_LISTED_RUNS {
            self.counters.unlisted += 1;
        } else {
            let runs = RequestRuns {
                flow: key.0,
                request: key.1,
                count: 1,
                begun: now,
                starts: vec![RequestOrder::new(job, now)],
                answered: Timestamp::ZERO,
                payload: String::from_utf8_lossy(&job.payload).into_owned(),
            };
            self.runs.insert(key, runs);
        }
    }

    /// Records that the answer to `job` is sent.
    pub fn note_answer(&mut self, job: &RequestJob, now: Timestamp) {
        self.answers += 1;
        let key = (job.route.flow, job.request.id);
        if let Some(runs) = self.runs.get_mut(&key) {
            runs.answered = now;
        }
    }

    /// Advances the notice number of each open flow and returns the flows.
    pub fn next_notices(&mut self) -> Vec<OpenFlow> {
        let flows = self.flows.iter_mut().map(|(_, flow)| {
            flow.notices += 1;
            *flow
        });
        flows.collect()
    }

    /// Refuses new flows from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Sets what the load endpoint reports.
    pub fn set_health(&mut self, health: HealthMode) {
        self.health = health;
        self.delayed_report = None;
    }

    /// The report of the load endpoint at `now`.
    pub fn load(&mut self, now: time::Instant) -> LoadReport {
        let truth = LoadReport {
            busy_slots: self.busy,
            connections: u32::try_from(self.flows.len()).unwrap_or(u32::MAX),
            healthy: true,
            draining: self.draining,
            answers: Some(self.answers),
        };
        match self.health {
            HealthMode::Truth => truth,
            HealthMode::Lie { report } => report,
            HealthMode::Lag { period_ms } => {
                let period = time::Duration::from_millis(period_ms);
                let (taken, report) = *self.delayed_report.get_or_insert((now, truth));
                if now.duration_since(taken) >= period {
                    self.delayed_report = Some((now, truth));
                }
                report
            }
        }
    }

    /// The report of all runs so far.
    pub fn report(&self) -> RunReport {
        let runs: Vec<_> = self.runs.values().cloned().collect();
        RunReport {
            open_flows: self.flows.len(),
            repeated: runs.iter().filter(|runs| runs.count > 1).cloned().collect(),
            runs,
            ..self.counters.clone()
        }
    }
}
