//! A small backend server: slots, a short queue, shedding, a cold start,
//! cancellation, deadlines and heavy-tailed service times. It does not notice
//! that it is asked to run a request again.

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

/// Requests that wait at the server at most.
const QUEUE_LIMIT: usize = 8;
/// The shortest service time.
const SHORTEST: f64 = 0.020;
/// The longest service time.
const LONGEST: f64 = 2.0;
/// The exponent of the tail of service times.
const TAIL: f64 = 1.6;
/// A cold server takes this many times longer.
const COLD_FACTOR: f64 = 3.0;
/// One request in this many has an answer of several parts.
const LONG_ANSWER_SHARE: u64 = 10;
const LONG_ANSWER_PARTS: u32 = 3;

/// The mean of the service times: that of the bounded Pareto distribution.
pub fn mean_service_time() -> time::Duration {
    let spread = 1.0 - (SHORTEST / LONGEST).powf(TAIL);
    let tail = 1.0 - (SHORTEST / LONGEST).powf(TAIL - 1.0);
    time::Duration::from_secs_f64(SHORTEST * TAIL / (TAIL - 1.0) * tail / spread)
}

fn service_time(rng: &mut SmallRng) -> time::Duration {
    let spread = 1.0 - (SHORTEST / LONGEST).powf(TAIL);
    let uniform = rng.random::<f64>();
    time::Duration::from_secs_f64(SHORTEST / (1.0 - uniform * spread).powf(1.0 / TAIL))
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
    began: Timestamp,
    request: ServerRequest,
}

/// What a server does.
#[derive(Debug)]
pub enum ServerOutput {
    /// It sends a reply into the fabric.
    Reply(BackendReply<'static>),
    /// It has begun to run a request, and will end at that time.
    Began(RequestId, u64, Timestamp),
    /// It was busy with a request from one point to another.
    Busy(Timestamp, Timestamp),
    /// It holds a new flow.
    Holds(FlowKey, BackendId, HostId),
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
    /// The service that it serves.
    pub service: usize,
    /// Whether it is about to leave.
    pub draining: bool,
}

impl BackendServer {
    /// A server of `service` that is cold until then.
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

    /// Starts anew for another service, and cold.
    pub fn serve_other(&mut self, service: usize, cold_until: Timestamp) {
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

    /// What the load endpoint answers.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            busy_slots: self.running.len() as u32,
            connections: self.flows.len() as u32,
            healthy: true,
            draining: self.draining,
            answers: Some(self.answers),
        }
    }

    /// Takes a datagram.
    pub fn take(
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
            outputs.push(ServerOutput::Holds(datagram.flow, backend, via));
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
            let mut taken = service_time(&mut self.rng);
            if now < self.cold_until {
                taken = taken.mul_f64(COLD_FACTOR);
            }
            outputs.push(ServerOutput::Began(
                request.request.id,
                number,
                now.after(taken),
            ));
            self.running.push(ActiveRun {
                number,
                began: now,
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
        outputs.push(ServerOutput::Busy(run.began, now));
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
        let is_it = |request: &ServerRequest| {
            (request.flow, request.request.id) == (datagram.flow, cancelled.id)
        };
        self.waiting.retain(|request| !is_it(request));
        self.running.retain(|run| {
            let keep = !is_it(&run.request);
            if !keep {
                outputs.push(ServerOutput::Busy(run.began, now));
            }
            keep
        });
        self.begin_waiting(now, outputs);
    }

    /// The next notice of `flow`, where the flow is open.
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
    about(request, kind)
}

fn shed(request: &ServerRequest, outputs: &mut Vec<ServerOutput>) {
    let kind = BackendReplyKind::Shed {
        request: Some(request.request.id),
        attempt: request.request.attempt,
    };
    outputs.push(about(request, kind));
}

const fn about(request: &ServerRequest, kind: BackendReplyKind<'static>) -> ServerOutput {
    ServerOutput::Reply(BackendReply {
        flow: request.flow,
        backend: request.backend,
        via: request.via,
        kind,
    })
}
