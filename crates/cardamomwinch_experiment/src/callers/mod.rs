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

/// The longest time from the first send of a request to its deadline, as in the
/// configuration.
const LONG_DEADLINE: time::Duration = time::Duration::from_secs(10);
const SHORT_DEADLINE: time::Duration = time::Duration::from_secs(4);
const FIRST_RESEND_INTERVAL: time::Duration = time::Duration::from_millis(400);
const MAX_RESEND_INTERVAL: time::Duration = time::Duration::from_millis(1600);
const MAX_OPENING_SENDS: u32 = 12;
const DATA_INTERVAL: time::Duration = time::Duration::from_secs(4);
const REOPEN_DELAY: time::Duration = time::Duration::from_millis(200);
const SHORT_FLOW_PAUSE: time::Duration = time::Duration::from_millis(300);
/// The number of requests of a short flow.
pub const SHORT_FLOW_REQUESTS: u32 = 2;
/// A session counts as silent after this many consecutive requests without a reply.
const SILENT_REQUESTS: u32 = 2;
/// Only requests of this last part of the load, when all changes are over, are
/// used to find silent sessions.
const SETTLED_DURATION: time::Duration = time::Duration::from_secs(40);
/// A session counts as silent if it received no notice in this last part of the load.
const SILENT_NOTICE_DURATION: time::Duration = time::Duration::from_secs(16);
/// The time between two notices of a backend server on a session.
pub const NOTICE_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// The kind of a flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FlowRole {
    /// Open for the whole run, with requests at this mean interval.
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
    unanswered: u32,
    last_reply: Timestamp,
    notices: Vec<bool>,
    last_notice: Timestamp,
}

#[derive(Debug)]
struct CallerRequest {
    flow: usize,
    created: Timestamp,
    idempotent: bool,
    deadline: Timestamp,
    pause: time::Duration,
    first_at_host: Option<Timestamp>,
    ended: bool,
    counted: bool,
    attempt: AttemptNumber,
    parts: Vec<bool>,
    runs: u32,
    reported_not_run: bool,
    counted_violation: bool,
}

/// The action at the end of a caller's timer.
#[derive(Debug, Clone, Copy)]
pub enum CallerTimer {
    /// Send or resend the opening of a flow.
    Open(usize),
    /// Make the next request on a flow.
    Request(usize),
    /// Resend a request.
    Resend(usize),
    /// Send data without a request on a flow.
    Data(usize),
    /// Close a flow.
    Close(usize),
    /// Start the next short flow to a service.
    Arrival(usize),
}

/// An effect of a caller.
#[derive(Debug)]
pub enum CallerOutput {
    /// It sends a datagram into the fabric.
    Send(CallerDatagram<'static>),
    /// It waits until a time, then handles the timer.
    Wait(Timestamp, CallerTimer),
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
    /// The mean time between two short flows, by service.
    arrivals: [time::Duration; 2],
    load_until: Timestamp,
    flows: Vec<CallerFlow>,
    requests: Vec<CallerRequest>,
}

impl CallerFleet {
    /// Callers that make requests until `load_until`; a share `echo_share` of their
    /// flows echo tokens.
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

    /// Adds a flow that is not open yet and returns its index.
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
            unanswered: 0,
            last_reply: Timestamp::ZERO,
            notices: Vec::new(),
            last_notice: Timestamp::ZERO,
        });
        flow
    }

    /// Handles the end of a timer.
    pub fn handle_timer(
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
            CallerTimer::Arrival(service) => self.start_short_flow(now, service, measures, outputs),
        }
    }

    /// Handles a reply.
    pub fn handle_reply(
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
                self.requests[request].reported_not_run = true;
                self.check_refusal(request, measures);
                self.end(now, request, RequestEnd::NotRun(reason), measures, outputs);
            }
            // A timer resends the opening in any case.
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
