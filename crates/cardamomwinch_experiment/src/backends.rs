//! A small backend server: slots, a short queue, shedding, a cold start,
//! cancellation, deadlines and heavy-tailed service times. It does not detect
//! duplicates: a request that reaches it twice runs twice.

use std::collections;
use std::time;

use cardamomwinch_protocol::backend::BackendRequest;
use cardamomwinch_protocol::prelude::{
    BackendDatagram, BackendKind, BackendReply, BackendReplyKind, LoadReport, PartNumber,
};
use cardamomwinch_state::prelude::{
    BackendId, FlowKey, HostId, RequestId, SortedVector, Timestamp,
};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::deployment;

/// The largest number of requests that wait at a server.
const QUEUE_LIMIT: usize = 8;
/// The shortest service time, in seconds.
const SHORTEST_SERVICE_SECONDS: f64 = 0.020;
/// The longest service time, in seconds.
const LONGEST_SERVICE_SECONDS: f64 = 2.0;
/// The exponent of the bounded Pareto distribution of service times.
const TAIL_EXPONENT: f64 = 1.6;
/// Service times of a cold server are this many times longer.
const COLD_FACTOR: f64 = 3.0;
/// One request in this many has an answer of [`LONG_ANSWER_PARTS`] parts.
const LONG_ANSWER_SHARE: u64 = 10;
const LONG_ANSWER_PARTS: u32 = 3;

/// The mean service time: the mean of the bounded Pareto distribution.
pub fn mean_service_time() -> time::Duration {
    let spread = 1.0 - (SHORTEST_SERVICE_SECONDS / LONGEST_SERVICE_SECONDS).powf(TAIL_EXPONENT);
    let tail = 1.0 - (SHORTEST_SERVICE_SECONDS / LONGEST_SERVICE_SECONDS).powf(TAIL_EXPONENT - 1.0);
    time::Duration::from_secs_f64(
        SHORTEST_SERVICE_SECONDS * TAIL_EXPONENT / (TAIL_EXPONENT - 1.0) * tail / spread,
    )
}

fn service_time(rng: &mut SmallRng) -> time::Duration {
    let spread = 1.0 - (SHORTEST_SERVICE_SECONDS / LONGEST_SERVICE_SECONDS).powf(TAIL_EXPONENT);
    let uniform = rng.random::<f64>();
    time::Duration::from_secs_f64(
        SHORTEST_SERVICE_SECONDS / (1.0 - uniform * spread).powf(1.0 / TAIL_EXPONENT),
    )
}

/// A request at a server.
#[derive(Debug, Clone, Copy)]
struct ServerRequest {
    flow: FlowKey,
    backend: BackendId,
    via: HostId,
    request: BackendRequest,
}

#[derive(Debug)]
struct ActiveRun {
    number: u64,
    started: Timestamp,
    request: ServerRequest,
}

/// An effect of a server.
#[derive(Debug)]
pub enum ServerOutput {
    /// It sends a reply into the fabric.
    Reply(BackendReply<'static>),
    /// It started a run of a request: the request, the number of the run, and when
    /// the run ends.
    RunStarted(RequestId, u64, Timestamp),
    /// A slot was busy from one time to another.
    SlotBusy(Timestamp, Timestamp),
    /// It opened a new flow.
    FlowOpened(FlowKey, BackendId, HostId),
}

/// One backend server.
#[derive(Debug)]
pub struct BackendServer {
    rng: SmallRng,
    cold_until: Timestamp,
    flows: SortedVector<usize, u64>,
    running: Vec<ActiveRun>,
    waiting: collections::VecDeque<ServerRequest>,
    run_count: u64,
    answers: u64,
    /// The index of its service.
    pub service: usize,
    /// Whether it is draining.
    pub draining: bool,
}

impl BackendServer {
    /// A server of `service` that is cold until `cold_until`.
    pub const fn new(service: usize, rng: SmallRng, cold_until: Timestamp) -> Self {
        Self {
            rng,
            cold_until,
            flows: SortedVector::new(),
            running: Vec::new(),
            waiting: collections::VecDeque::new(),
            run_count: 0,
            answers: 0,
            service,
            draining: false,
        }
    }

    /// Restarts for another service without any flows, cold until `cold_until`.
    pub fn restart_for(&mut self, service: usize, cold_until: Timestamp) {
        self.service = service;
        self.cold_until = cold_until;
        self.draining = false;
        self.flows.clear();
        self.running.clear();
        self.waiting.clear();
    }

    /// Whether `flow` is open here.
    pub fn holds(&self, flow: usize) -> bool {
        self.flows.contains_key(&flow)
    }

    /// The report of the load endpoint.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            busy_slots: self.running.len() as u32,
            connections: self.flows.len() as u32,
            healthy: true,
            draining: self.draining,
            answers: Some(self.answers),
        }
    }

    /// Handles a datagram from a host.
    pub fn handle(
        &mut self,
        now: Timestamp,
        datagram: &BackendDatagram<'_>,
        outputs: &mut Vec<ServerOutput>,
    ) {
        let flow = deployment::flow_at(&datagram.flow);
        match datagram.kind {
            BackendKind::Open => self.open(flow, datagram, outputs),
            BackendKind::Carry if !self.flows.contains_key(&flow) => {
                let request = datagram.request;
                let unknown = BackendReplyKind::UnknownFlow {
                    request: request.map(|request| request.id),
                    attempt: request.map(|request| request.attempt).unwrap_or_default(),
                };
                outputs.push(reply(datagram, unknown));
                return;
            }
            BackendKind::Carry => {}
            BackendKind::Close => {
                self.flows.remove(&flow);
                outputs.push(reply(datagram, BackendReplyKind::Closed));
            }
            BackendKind::Cancel => return self.cancel(now, datagram, outputs),
        }
        if let Some(request) = datagram.request
            && self.flows.contains_key(&flow)
        {
            let request = ServerRequest {
                flow: datagram.flow,
                backend: datagram.backend,
                via: datagram.via,
                request,
            };
            self.enqueue(now, request, outputs);
        }
    }

    fn open(
        &mut self,
        flow: usize,
        datagram: &BackendDatagram<'_>,
        outputs: &mut Vec<ServerOutput>,
    ) {
        if self.flows.len() >= deployment::CONNECTIONS as usize {
            let request = datagram.request.map(|request| request.id);
            let attempt = datagram.request.map(|request| request.attempt);
            let attempt = attempt.unwrap_or_default();
            outputs.push(reply(datagram, BackendReplyKind::Shed { request, attempt }));
            return;
        }
        if !self.flows.contains_key(&flow) {
            self.flows.insert(flow, 0);
            let (backend, via) = (datagram.backend, datagram.via);
            outputs.push(ServerOutput::FlowOpened(datagram.flow, backend, via));
        }
        outputs.push(reply(datagram, BackendReplyKind::Opened));
    }

    fn enqueue(&mut self, now: Timestamp, request: ServerRequest, outputs: &mut Vec<ServerOutput>) {
        if self.waiting.len() >= QUEUE_LIMIT {
            return shed(&request, outputs);
        }
        self.waiting.push_back(request);
        self.begin_waiting(now, outputs);
    }

    fn begin_waiting(&mut self, now: Timestamp, outputs: &mut Vec<ServerOutput>) {
        while self.running.len() < deployment::SLOTS as usize {
            let Some(request) = self.waiting.pop_front() else {
                return;
            };
            if now >= request.request.start_before {
                shed(&request, outputs);
                continue;
            }
            self.run_count += 1;
            let number = self.run_count;
            let mut duration = service_time(&mut self.rng);
            if now < self.cold_until {
                duration = duration.mul_f64(COLD_FACTOR);
            }
            outputs.push(ServerOutput::RunStarted(
                request.request.id,
                number,
                now.after(duration),
            ));
            self.running.push(ActiveRun {
                number,
                started: now,
                request,
            });
        }
    }

    /// Ends run `number`, unless it was cancelled.
    pub fn end(&mut self, now: Timestamp, number: u64, outputs: &mut Vec<ServerOutput>) {
        let position = self.running.iter().position(|run| run.number == number);
        let Some(position) = position else {
            return;
        };
        let run = self.running.swap_remove(position);
        outputs.push(ServerOutput::SlotBusy(run.started, now));
        let request = run.request.request;
        let total = match request.id.get() % LONG_ANSWER_SHARE {
            0 => LONG_ANSWER_PARTS,
            _ => 1,
        };
        for index in 0..total {
            outputs.push(answer(&run.request, PartNumber { index, total }));
        }
        self.answers += 1;
        self.begin_waiting(now, outputs);
    }

    fn cancel(
        &mut self,
        now: Timestamp,
        datagram: &BackendDatagram<'_>,
        outputs: &mut Vec<ServerOutput>,
    ) {
        let Some(cancelled) = datagram.request else {
            return;
        };
        let is_cancelled = |request: &ServerRequest| {
            (request.flow, request.request.id) == (datagram.flow, cancelled.id)
        };
        self.waiting.retain(|request| !is_cancelled(request));
        self.running.retain(|run| {
            let keep = !is_cancelled(&run.request);
            if !keep {
                outputs.push(ServerOutput::SlotBusy(run.started, now));
            }
            keep
        });
        self.begin_waiting(now, outputs);
    }

    /// The sequence number of the next notice of `flow`, if the flow is open.
    pub fn next_notice(&mut self, flow: usize) -> Option<u64> {
        let sequence = self.flows.get_mut(&flow)?;
        *sequence += 1;
        Some(*sequence)
    }
}

fn reply(datagram: &BackendDatagram<'_>, kind: BackendReplyKind<'static>) -> ServerOutput {
    ServerOutput::Reply(BackendReply {
        flow: datagram.flow,
        backend: datagram.backend,
        via: datagram.via,
        kind,
    })
}

fn answer(request: &ServerRequest, part: PartNumber) -> ServerOutput {
    let kind = BackendReplyKind::Answer {
        request: request.request.id,
        attempt: request.request.attempt,
        part,
        payload: &[],
    };
    reply_about(request, kind)
}

fn shed(request: &ServerRequest, outputs: &mut Vec<ServerOutput>) {
    let kind = BackendReplyKind::Shed {
        request: Some(request.request.id),
        attempt: request.request.attempt,
    };
    outputs.push(reply_about(request, kind));
}

const fn reply_about(request: &ServerRequest, kind: BackendReplyKind<'static>) -> ServerOutput {
    ServerOutput::Reply(BackendReply {
        flow: request.flow,
        backend: request.backend,
        via: request.via,
        kind,
    })
}
