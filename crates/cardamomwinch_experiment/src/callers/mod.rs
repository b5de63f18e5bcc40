//! Callers: long sessions with notices, short flows, requests and resends.

mod flows;
mod observing;
mod requests;

use std::time;

use cardamomwinch_protocol::prelude::{
    AttemptNumber, CallerDatagram, CallerKind, CallerReply, CallerReplyKind, RefusalReason,
    RequestHeader, RoutingToken,
};
use cardamomwinch_state::prelude::{FlowKey, Timestamp};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::deployment;
use crate::measures::{BreakCause, RunMeasures};

/// The longest time from first sending to deadline, as the configuration has it.
const LONG_DEADLINE: time::Duration = time::Duration::from_secs(10);
const SHORT_DEADLINE: time::Duration = time::Duration::from_secs(4);
const FIRST_RESEND: time::Duration = time::Duration::from_millis(400);
const LAST_RESEND: time::Duration = time::Duration::from_millis(1600);
const OPENING_LIMIT: u32 = 12;
const DATA_INTERVAL: time::Duration = time::Duration::from_secs(4);
const REOPEN_AFTER: time::Duration = time::Duration::from_millis(200);
const SHORT_FLOW_PAUSE: time::Duration = time::Duration::from_millis(300);
/// Requests of a short flow.
pub const SHORT_FLOW_REQUESTS: u32 = 2;
/// A session counts as silent after this many requests without any reply.
const SILENT_REQUESTS: u32 = 2;
/// Only requests of this last part of a run tell whether a session is silent:
/// by then all changes are over.
const SETTLED_PART: time::Duration = time::Duration::from_secs(40);
const SILENT_NOTICES: time::Duration = time::Duration::from_secs(16);
/// How often a backend server sends a notice on a session.
pub const NOTICE_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// What a flow is for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FlowRole {
    /// Open for the whole run, with a request every so often.
    Session(time::Duration),
    /// A few requests, then closed.
    Short,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FlowState {
    Opening,
    Open,
    Closed,
    Broken,
    Abandoned,
}

#[derive(Debug)]
struct CallerFlow {
    key: FlowKey,
    role: FlowRole,
    echoes: bool,
    state: FlowState,
    token: Option<RoutingToken>,
    own_server: Option<usize>,
    opened: Timestamp,
    opening_sends: u32,
    requests: u32,
    unheard: u32,
    last_heard: Timestamp,
    notices: Vec<bool>,
    last_notice: Timestamp,
}

#[derive(Debug)]
struct CallerRequest {
    flow: usize,
    made: Timestamp,
    idempotent: bool,
    deadline: Timestamp,
    pause: time::Duration,
    first_arrival: Option<Timestamp>,
    ended: bool,
    counted: bool,
    attempt: AttemptNumber,
    parts: Vec<bool>,
    runs: u32,
    told_not_run: bool,
    counted_false: bool,
}

/// What a caller waits for.
#[derive(Debug, Clone, Copy)]
pub enum CallerTimer {
    /// To open a flow, or to try again.
    Open(usize),
    /// To make the next request on a flow.
    Request(usize),
    /// To send a request again.
    Resend(usize),
    /// To send data without a request on a flow.
    Data(usize),
    /// To close a flow.
    Close(usize),
    /// To begin the next short flow to a service.
    Arrival(usize),
}

/// What a caller does.
#[derive(Debug)]
pub enum CallerOutput {
    /// It sends a datagram into the fabric.
    Send(CallerDatagram<'static>),
    /// It waits.
    At(Timestamp, CallerTimer),
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy)]
enum RequestEnd {
    Answered,
    NotRun(RefusalReason),
    OutcomeUnknown,
    Unanswered,
}

/// All callers.
#[derive(Debug)]
pub struct CallerFleet {
    rng: SmallRng,
    echo_share: f64,
    /// From one short flow to the next, by service.
    arrivals: [time::Duration; 2],
    load_until: Timestamp,
    flows: Vec<CallerFlow>,
    requests: Vec<CallerRequest>,
}

impl CallerFleet {
    /// Callers of whom `echo_share` echo their tokens.
    pub const fn new(
        rng: SmallRng,
        echo_share: f64,
        arrivals: [time::Duration; 2],
        load_until: Timestamp,
    ) -> Self {
        Self {
            rng,
            echo_share,
            arrivals,
            load_until,
            flows: Vec::new(),
            requests: Vec::new(),
        }
    }

    /// Adds a flow that has still to be opened.
    pub fn add_flow(&mut self, service: usize, role: FlowRole) -> usize {
        let flow = self.flows.len();
        self.flows.push(CallerFlow {
            key: deployment::flow_key(flow, service),
            role,
            echoes: self.rng.random_bool(self.echo_share),
            state: FlowState::Opening,
            token: None,
            own_server: None,
            opened: Timestamp::ZERO,
            opening_sends: 0,
            requests: 0,
            unheard: 0,
            last_heard: Timestamp::ZERO,
            notices: Vec::new(),
            last_notice: Timestamp::ZERO,
        });
        flow
    }

    /// Does what was waited for.
    pub fn act(
        &mut self,
        now: Timestamp,
        timer: CallerTimer,
        measures: &mut RunMeasures,
        outputs: &mut Vec<CallerOutput>,
    ) {
        match timer {
            CallerTimer::Open(flow) => self.open(now, flow, measures, outputs),
            CallerTimer::Request(flow) => self.next_request(now, flow, measures, outputs),
            CallerTimer::Resend(request) => self.resend(now, request, measures, outputs),
            CallerTimer::Data(flow) => self.send_data(now, flow, outputs),
            CallerTimer::Close(flow) => self.close(flow, outputs),
            CallerTimer::Arrival(service) => self.arrive(now, service, measures, outputs),
        }
    }

    /// Takes a reply.
    pub fn receive(
        &mut self,
        now: Timestamp,
        reply: &CallerReply<'_>,
        measures: &mut RunMeasures,
        outputs: &mut Vec<CallerOutput>,
    ) {
        let flow = deployment::flow_at(&reply.flow);
        match reply.kind {
            CallerReplyKind::Opened { token } => self.opened(now, flow, token, measures, outputs),
            CallerReplyKind::Answer {
                request,
                attempt,
                part,
                ..
            } => {
                let request = request.get() as usize;
                if self.note_part(request, attempt, part) {
                    self.end(now, request, RequestEnd::Answered, measures, outputs);
                }
            }
            CallerReplyKind::Notice { sequence, .. } => {
                self.note_notice(now, flow, sequence, measures);
            }
            CallerReplyKind::NotRun {
                request: Some(request),
                reason,
                ..
            } => {
                let request = request.get() as usize;
                self.requests[request].told_not_run = true;
                self.check_refusal(request, measures);
                self.end(now, request, RequestEnd::NotRun(reason), measures, outputs);
            }
            // The opening is tried again in any case.
            CallerReplyKind::NotRun { request: None, .. } => {}
            CallerReplyKind::OutcomeUnknown { request, .. } => {
                let request = request.get() as usize;
                self.end(now, request, RequestEnd::OutcomeUnknown, measures, outputs);
            }
            CallerReplyKind::Reset { .. } => {
                self.break_flow(now, flow, BreakCause::Reset, measures, outputs);
            }
        }
    }

    fn exponential(&mut self, mean: time::Duration) -> time::Duration {
        mean.mul_f64(-(1.0 - self.rng.random::<f64>()).ln())
    }
}

const fn datagram(
    flow: &CallerFlow,
    kind: CallerKind,
    request: Option<RequestHeader>,
) -> CallerDatagram<'static> {
    CallerDatagram {
        flow: flow.key,
        kind,
        echoes_token: flow.echoes,
        token: flow.token,
        request,
        payload: &[],
    }
}
