//! Callers: long sessions with notices, short flows, requests and resends.

use std::time;

use cardamomwinch_protocol::prelude::{
    AttemptNumber, CallerDatagram, CallerKind, CallerReply, CallerReplyKind, PartNumber,
    RefusalReason, RequestHeader, RoutingToken,
};
use cardamomwinch_state::prelude::{FlowKey, RequestId, Timestamp};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::deployment;
use crate::measures::{BreakCause, RunCounts, RunMeasures};

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
    notices: Vec<bool>,
    last_notice: Timestamp,
}

#[derive(Debug)]
struct CallerRequest {
    flow: usize,
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

    fn open(
        &mut self,
        now: Timestamp,
        index: usize,
        measures: &mut RunMeasures,
        outputs: &mut Vec<CallerOutput>,
    ) {
        let flow = &mut self.flows[index];
        if flow.state != FlowState::Opening {
            return;
        }
        if flow.opening_sends >= OPENING_LIMIT {
            flow.state = FlowState::Abandoned;
            measures.counts.not_established += 1;
            return;
        }
        flow.opening_sends += 1;
        outputs.push(CallerOutput::Send(datagram(flow, CallerKind::Open, None)));
        let again = now.after(FIRST_RESEND);
        outputs.push(CallerOutput::At(again, CallerTimer::Open(index)));
    }

    fn arrive(
        &mut self,
        now: Timestamp,
        service: usize,
        measures: &mut RunMeasures,
        outputs: &mut Vec<CallerOutput>,
    ) {
        if now >= self.load_until {
            return;
        }
        let flow = self.add_flow(service, FlowRole::Short);
        self.make_request(now, flow, measures, outputs);
        let pause = self.exponential(self.arrivals[service]);
        let next = now.after(pause);
        outputs.push(CallerOutput::At(next, CallerTimer::Arrival(service)));
    }

    fn next_request(
        &mut self,
        now: Timestamp,
        flow: usize,
        measures: &mut RunMeasures,
        outputs: &mut Vec<CallerOutput>,
    ) {
        if self.flows[flow].state != FlowState::Open || now >= self.load_until {
            return;
        }
        self.make_request(now, flow, measures, outputs);
        if let FlowRole::Session(interval) = self.flows[flow].role {
            let next = now.after(self.exponential(interval));
            outputs.push(CallerOutput::At(next, CallerTimer::Request(flow)));
        }
    }

    fn make_request(
        &mut self,
        now: Timestamp,
        flow: usize,
        measures: &mut RunMeasures,
        outputs: &mut Vec<CallerOutput>,
    ) {
        self.flows[flow].requests += 1;
        let counted = now >= measures.begin;
        measures.counts.requests += u64::from(counted);
        let patience = match self.rng.random_bool(0.5) {
            true => LONG_DEADLINE,
            false => SHORT_DEADLINE,
        };
        self.requests.push(CallerRequest {
            flow,
            idempotent: self.rng.random_bool(0.5),
            deadline: now.after(patience),
            pause: FIRST_RESEND,
            first_arrival: None,
            ended: false,
            counted,
            attempt: AttemptNumber::default(),
            parts: Vec::new(),
            runs: 0,
            told_not_run: false,
            counted_false: false,
        });
        self.resend(now, self.requests.len() - 1, measures, outputs);
    }

    fn resend(
        &mut self,
        now: Timestamp,
        index: usize,
        measures: &mut RunMeasures,
        outputs: &mut Vec<CallerOutput>,
    ) {
        let request = &mut self.requests[index];
        if request.ended {
            return;
        }
        if now >= request.deadline {
            return self.end(now, index, RequestEnd::Unanswered, measures, outputs);
        }
        let header = RequestHeader {
            id: RequestId::new(index as u64),
            idempotent: request.idempotent,
            deadline: request.deadline,
        };
        let flow = &self.flows[request.flow];
        let kind = match flow.state {
            FlowState::Opening => CallerKind::Open,
            _ => CallerKind::Carry,
        };
        outputs.push(CallerOutput::Send(datagram(flow, kind, Some(header))));
        let again = now.after(request.pause).min(request.deadline);
        request.pause = (request.pause * 2).min(LAST_RESEND);
        outputs.push(CallerOutput::At(again, CallerTimer::Resend(index)));
    }

    fn send_data(&mut self, now: Timestamp, index: usize, outputs: &mut Vec<CallerOutput>) {
        let flow = &self.flows[index];
        if flow.state == FlowState::Open && now < self.load_until {
            outputs.push(CallerOutput::Send(datagram(flow, CallerKind::Carry, None)));
            let next = now.after(DATA_INTERVAL);
            outputs.push(CallerOutput::At(next, CallerTimer::Data(index)));
        }
    }

    fn close(&mut self, index: usize, outputs: &mut Vec<CallerOutput>) {
        let flow = &mut self.flows[index];
        if flow.state == FlowState::Open {
            flow.state = FlowState::Closed;
            outputs.push(CallerOutput::Send(datagram(flow, CallerKind::Close, None)));
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

    fn opened(
        &mut self,
        now: Timestamp,
        index: usize,
        token: RoutingToken,
        measures: &mut RunMeasures,
        outputs: &mut Vec<CallerOutput>,
    ) {
        let flow = &mut self.flows[index];
        if flow.state != FlowState::Opening {
            return;
        }
        measures.counts.established += 1;
        flow.state = FlowState::Open;
        flow.opened = now;
        flow.last_notice = now;
        let address = token.unverified_claim().address;
        flow.own_server = Some(deployment::server_at(address));
        flow.token = flow.echoes.then_some(token);
        if let FlowRole::Session(interval) = flow.role {
            let request = now.after(self.exponential(interval));
            outputs.push(CallerOutput::At(request, CallerTimer::Request(index)));
            let data = now.after(self.exponential(DATA_INTERVAL));
            outputs.push(CallerOutput::At(data, CallerTimer::Data(index)));
        }
    }

    /// Notes a part of an answer; `true` where the answer is whole now. Parts
    /// of different runs are not mixed.
    fn note_part(&mut self, index: usize, attempt: AttemptNumber, part: PartNumber) -> bool {
        let request = &mut self.requests[index];
        if request.ended || attempt < request.attempt {
            return false;
        }
        if attempt > request.attempt || request.parts.is_empty() {
            request.attempt = attempt;
            request.parts = vec![false; part.total as usize];
        }
        request.parts[part.index as usize] = true;
        request.parts.iter().all(|seen| *seen)
    }

    fn note_notice(
        &mut self,
        now: Timestamp,
        index: usize,
        sequence: u64,
        measures: &mut RunMeasures,
    ) {
        let flow = &mut self.flows[index];
        let position = sequence as usize;
        if flow.notices.len() <= position {
            flow.notices.resize(position + 1, false);
        }
        if !flow.notices[position] {
            flow.notices[position] = true;
            flow.last_notice = now;
            measures.counts.notices_received += 1;
        }
    }

    fn end(
        &mut self,
        now: Timestamp,
        index: usize,
        end: RequestEnd,
        measures: &mut RunMeasures,
        outputs: &mut Vec<CallerOutput>,
    ) {
        let request = &mut self.requests[index];
        if request.ended {
            return;
        }
        request.ended = true;
        let flow = request.flow;
        if request.counted {
            count_end(end, &mut measures.counts);
        }
        self.after_request(now, flow, end, measures, outputs);
    }

    fn after_request(
        &mut self,
        now: Timestamp,
        index: usize,
        end: RequestEnd,
        measures: &mut RunMeasures,
        outputs: &mut Vec<CallerOutput>,
    ) {
        let flow = &mut self.flows[index];
        flow.unheard = match end {
            RequestEnd::Unanswered => flow.unheard + 1,
            _ => 0,
        };
        if flow.role != FlowRole::Short {
            return;
        }
        if flow.state == FlowState::Opening {
            flow.state = FlowState::Abandoned;
            measures.counts.not_established += 1;
            return;
        }
        let next = match flow.requests < SHORT_FLOW_REQUESTS {
            true => CallerTimer::Request(index),
            false => CallerTimer::Close(index),
        };
        outputs.push(CallerOutput::At(now.after(SHORT_FLOW_PAUSE), next));
    }

    fn break_flow(
        &mut self,
        now: Timestamp,
        index: usize,
        cause: BreakCause,
        measures: &mut RunMeasures,
        outputs: &mut Vec<CallerOutput>,
    ) {
        let flow = &mut self.flows[index];
        if flow.state != FlowState::Open {
            return;
        }
        flow.state = FlowState::Broken;
        measures.count_broken(cause);
        let (role, service) = (flow.role, deployment::service_at(&flow.key));
        if role != FlowRole::Short && now < self.load_until {
            let fresh = self.add_flow(service, role);
            let then = now.after(REOPEN_AFTER);
            outputs.push(CallerOutput::At(then, CallerTimer::Open(fresh)));
        }
    }

    /// Notes that a datagram of an open flow has reached `server`.
    pub fn note_delivery(
        &mut self,
        now: Timestamp,
        key: &FlowKey,
        server: usize,
        measures: &mut RunMeasures,
        outputs: &mut Vec<CallerOutput>,
    ) {
        let index = deployment::flow_at(key);
        let flow = &self.flows[index];
        if flow.own_server.is_some_and(|own| own != server) {
            self.break_flow(now, index, BreakCause::OtherServer, measures, outputs);
        }
    }

    /// Notes that a request has reached a host.
    pub fn note_arrival(&mut self, now: Timestamp, request: RequestId) {
        let request = &mut self.requests[request.get() as usize];
        request.first_arrival.get_or_insert(now);
    }

    /// Notes that a server has begun to run a request.
    pub fn note_run(&mut self, now: Timestamp, id: RequestId, measures: &mut RunMeasures) {
        let index = id.get() as usize;
        let request = &mut self.requests[index];
        request.runs += 1;
        if request.runs == 2 && !request.idempotent {
            measures.counts.run_twice += 1;
            measures.counts.violations.push(index);
        }
        let arrival = request.first_arrival.unwrap_or(now);
        if request.runs == 1 && request.counted {
            let wait = now.since(arrival).as_micros() as u64;
            measures.waits.saturating_record(wait);
        }
        self.check_refusal(index, measures);
    }

    fn check_refusal(&mut self, index: usize, measures: &mut RunMeasures) {
        let request = &mut self.requests[index];
        if request.told_not_run && request.runs > 0 && !request.counted_false {
            request.counted_false = true;
            measures.counts.not_run_but_ran += 1;
            measures.counts.violations.push(index);
        }
    }

    /// Whether `flow` is open for its caller, with `server` as its server.
    pub fn is_open_on(&self, flow: usize, server: usize) -> bool {
        let flow = &self.flows[flow];
        flow.state == FlowState::Open && flow.own_server == Some(server)
    }

    /// Whether `flow` has ended for its caller.
    pub fn is_over(&self, flow: usize) -> bool {
        !matches!(self.flows[flow].state, FlowState::Opening | FlowState::Open)
    }

    /// Whether `flow` is a session.
    pub fn is_session(&self, flow: usize) -> bool {
        self.flows[flow].role != FlowRole::Short
    }

    /// Counts the sessions that are still open but silent.
    pub fn count_silent(&self, measures: &mut RunMeasures) {
        let heard_by = self.load_until.before(SILENT_NOTICES);
        let sessions = self
            .flows
            .iter()
            .filter(|flow| flow.state == FlowState::Open && flow.role != FlowRole::Short);
        for flow in sessions {
            let no_notices = flow.opened < heard_by && flow.last_notice < heard_by;
            if flow.unheard >= SILENT_REQUESTS || no_notices {
                measures.count_broken(BreakCause::Silent);
            }
        }
    }

    fn exponential(&mut self, mean: time::Duration) -> time::Duration {
        mean.mul_f64(-(1.0 - self.rng.random::<f64>()).ln())
    }
}

fn count_end(end: RequestEnd, counts: &mut RunCounts) {
    match end {
        RequestEnd::Answered => counts.answered += 1,
        RequestEnd::NotRun(reason) => *counts.not_run.get_or_insert_with(reason, || 0) += 1,
        RequestEnd::OutcomeUnknown => counts.outcome_unknown += 1,
        RequestEnd::Unanswered => counts.unanswered += 1,
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
