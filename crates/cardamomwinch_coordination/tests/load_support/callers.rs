//! Callers: they open flows, send requests, and try again on other flows.

use std::net;

use cardamomwinch_coordination::forwarding::packet::{FlowToken, PacketKind};
use cardamomwinch_state::prelude::*;
use rand::Rng;

use crate::load_support::LoadWorld;
use crate::load_support::events::{
    CallerMessage, CallerPacket, CallerTimer, FlowNumber, LoadEvent,
};
use crate::load_support::outcomes::{RequestOutcome, RequestRecord};

/// The times after the first opening at which copies are sent and the opening is given up.
const OPENING_TIMES: [u64; 4] = [0, 200_000, 600_000, 1_400_000];
/// The first pause before a request is sent again; each further one is twice as long.
const RESEND_PAUSE: u64 = 200_000;
const MAX_RESEND_PAUSE: u64 = 1_600_000;
/// How often a request is tried again on another flow.
const RETRY_LIMIT: u32 = 2;
const FIRST_PORT: u16 = 20_000;
/// The positions at which the streams of callers and servers begin.
const FIRST_SEQUENCE: u32 = 100;
const FIRST_ACKNOWLEDGED: u32 = 1_000;
const REQUEST_BYTES: u16 = 80;
/// The answer of a server that does not run a request.
const REFUSAL_BYTES: u32 = 150;
/// The most data of a packet, and the time between two packets of an answer.
const PACKET_BYTES: u32 = 1_200;
const PACKET_TIME: u64 = 100;

/// New requests by the callers of a domain.
#[derive(Debug, Clone)]
pub struct ArrivalPattern {
    pub domain: usize,
    pub route: usize,
    /// Times and the rates per second then; linear in between.
    pub points: Vec<(u64, f64)>,
    /// The number of requests of each caller, which uses one flow for them.
    pub requests: u32,
    /// The mean time between these.
    pub pause: u64,
}

impl ArrivalPattern {
    /// Short flows at a constant rate per second.
    pub fn steady(domain: usize, route: usize, rate: f64, times: std::ops::Range<u64>) -> Self {
        Self::shaped(domain, route, vec![(times.start, rate), (times.end, rate)])
    }

    /// Short flows at rates that change linearly between `points`. Two points at the same
    /// time make a step.
    pub fn shaped(domain: usize, route: usize, points: Vec<(u64, f64)>) -> Self {
        Self {
            domain,
            route,
            points,
            requests: 1,
            pause: 0,
        }
    }

    /// Makes each caller send `requests` on a flow, with a mean of `pause` between them.
    pub fn on_long_flows(mut self, requests: u32, pause: u64) -> Self {
        self.requests = requests;
        self.pause = pause;
        self
    }

    fn rate(&self, at: u64) -> f64 {
        let next = self.points.iter().position(|(time, _)| *time > at);
        let Some(next) = next.filter(|next| *next > 0) else {
            return 0.0;
        };
        let ((begin, from), (end, to)) = (self.points[next - 1], self.points[next]);
        from + (to - from) * (at - begin) as f64 / (end - begin) as f64
    }
}

/// A caller and its latest flow.
#[derive(Debug)]
pub struct LoadCaller {
    pub domain: usize,
    pub route: usize,
    /// The number of its requests that have not begun.
    left: u32,
    pause: u64,
    stage: FlowStage,
    flow: u16,
    token: FlowToken,
    sequence: u32,
    acknowledged: u32,
    /// The request that it waits for.
    request: Option<usize>,
    retries: u32,
    /// Whether a server has received the request.
    received: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FlowStage {
    Closed,
    Opening,
    Open,
}

/// The key of a flow to `service`.
pub fn flow_key(number: FlowNumber, service: net::SocketAddr) -> FlowKey {
    let base = u32::from_be_bytes([100, 64, 0, 0]);
    let ip = net::Ipv4Addr::from_bits(base + number.caller as u32);
    FlowKey {
        caller: net::SocketAddr::from((ip, FIRST_PORT + number.flow)),
        service,
    }
}

pub fn flow_number(key: &FlowKey) -> FlowNumber {
    let net::IpAddr::V4(ip) = key.caller.ip() else {
        unreachable!("callers have addresses of version 4");
    };
    FlowNumber {
        caller: (ip.to_bits() - u32::from_be_bytes([100, 64, 0, 0])) as usize,
        flow: key.caller.port() - FIRST_PORT,
    }
}

impl LoadWorld {
    pub(crate) fn exponential(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.random.random::<f64>()).ln() * mean) as u64
    }

    /// Schedules the next caller of a pattern after `now`, by thinning.
    pub(crate) fn schedule_arrival(&mut self, pattern: usize, now: u64) {
        let points = &self.patterns[pattern].points;
        let highest = points.iter().map(|(_, rate)| *rate).fold(0.0, f64::max);
        let (begin, end) = (points[0].0, points[points.len() - 1].0);
        let mut at = now.max(begin);
        while at < end && highest > 0.0 {
            at += 1 + self.exponential(1e6 / highest);
            if self.random.random::<f64>() * highest < self.patterns[pattern].rate(at) {
                return self.events.push(at, LoadEvent::Arrival { pattern });
            }
        }
    }

    pub(crate) fn arrive(&mut self, pattern: usize) {
        let from = &self.patterns[pattern];
        self.callers.push(LoadCaller {
            domain: from.domain,
            route: from.route,
            left: from.requests,
            pause: from.pause,
            stage: FlowStage::Closed,
            flow: 0,
            token: FlowToken::NONE,
            sequence: FIRST_SEQUENCE,
            acknowledged: 0,
            request: None,
            retries: 0,
            received: false,
        });
        self.ask(self.callers.len() - 1);
        self.schedule_arrival(pattern, self.now);
    }

    fn number(&self, caller: usize) -> FlowNumber {
        let flow = self.callers[caller].flow;
        FlowNumber { caller, flow }
    }

    fn set_timer(&mut self, caller: usize, time: u64, timer: CallerTimer) {
        let flow = self.number(caller);
        let event = LoadEvent::Timer { flow, timer };
        self.events.push(self.now + time, event);
    }

    fn send(&mut self, number: usize, kind: PacketKind, length: u16) {
        let caller = &self.callers[number];
        let packet = CallerPacket {
            number: self.number(number),
            kind,
            token: caller.token,
            sequence: caller.sequence,
            acknowledged: caller.acknowledged,
            length,
        };
        self.send_from_caller(packet);
    }

    /// Begins the next request of a caller.
    fn ask(&mut self, number: usize) {
        let (route, request) = (self.callers[number].route, self.requests.len());
        let caller = &mut self.callers[number];
        caller.left -= 1;
        caller.retries = 0;
        caller.request = Some(request);
        self.requests.push(RequestRecord {
            route,
            domain: caller.domain,
            asked_at: self.now,
            outcome: RequestOutcome::Pending,
            shed: 0,
            reset: 0,
            refused: 0,
            ended: 0,
            flows: 0,
            crossed: 0,
        });
        let timeout = self.routes[route].timeout;
        self.set_timer(number, timeout, CallerTimer::Deadline { request });
        match self.callers[number].stage {
            FlowStage::Open => self.send_request(number),
            FlowStage::Closed | FlowStage::Opening => self.open(number),
        }
    }

    fn open(&mut self, number: usize) {
        let caller = &mut self.callers[number];
        caller.stage = FlowStage::Opening;
        caller.flow += 1;
        caller.token = FlowToken::NONE;
        caller.sequence = FIRST_SEQUENCE;
        caller.acknowledged = 0;
        if let Some(request) = caller.request {
            self.requests[request].flows += 1;
        }
        self.send_opening(number, 0);
    }

    fn send_opening(&mut self, number: usize, copy: u32) {
        self.callers[number].acknowledged = copy;
        self.send(number, PacketKind::Opening { copy }, 0);
        let times = &OPENING_TIMES[copy as usize..];
        let timer = CallerTimer::Opening { copy: copy + 1 };
        self.set_timer(number, times[1] - times[0], timer);
    }

    fn send_request(&mut self, number: usize) {
        let caller = &mut self.callers[number];
        caller.sequence += u32::from(REQUEST_BYTES);
        caller.received = false;
        let Some(request) = caller.request else {
            return;
        };
        self.send(number, PacketKind::Data, REQUEST_BYTES);
        let pause = RESEND_PAUSE;
        let timer = CallerTimer::Resend { request, pause };
        self.set_timer(number, pause, timer);
    }

    pub(crate) fn handle_timer(&mut self, flow: FlowNumber, timer: CallerTimer) {
        let number = flow.caller;
        let caller = &self.callers[number];
        let is_current = caller.flow == flow.flow;
        match timer {
            CallerTimer::Deadline { request } if caller.request == Some(request) => {
                if caller.stage == FlowStage::Open {
                    self.send(number, PacketKind::Reset, 0);
                }
                self.callers[number].stage = FlowStage::Closed;
                self.finish(number, RequestOutcome::Lost);
            }
            CallerTimer::Opening { copy } if is_current && caller.stage == FlowStage::Opening => {
                match copy {
                    0..3 => self.send_opening(number, copy),
                    _ => self.fail(number, true),
                }
            }
            CallerTimer::Resend { request, pause }
                if is_current && caller.request == Some(request) && !caller.received =>
            {
                self.send(number, PacketKind::Data, REQUEST_BYTES);
                let pause = (pause * 2).min(MAX_RESEND_PAUSE);
                let timer = CallerTimer::Resend { request, pause };
                self.set_timer(number, pause, timer);
            }
            CallerTimer::Part { request, bytes }
                if is_current && caller.request == Some(request) =>
            {
                self.take_part(number, bytes);
            }
            CallerTimer::Next if caller.request.is_none() => self.ask(number),
            _ => {}
        }
    }

    pub(crate) fn handle_at_caller(&mut self, flow: FlowNumber, message: CallerMessage) {
        let number = flow.caller;
        let caller = &mut self.callers[number];
        if caller.flow != flow.flow || caller.stage == FlowStage::Closed {
            return;
        }
        match message {
            CallerMessage::Opened { server, token } => self.confirm(number, server, token),
            CallerMessage::Received { sequence } => {
                caller.received |= caller.sequence == sequence;
            }
            CallerMessage::Answer { bytes } => self.take_part(number, bytes.min(PACKET_BYTES)),
            CallerMessage::Shed => self.take_refusal(number, true),
            CallerMessage::Failed => self.take_refusal(number, false),
            CallerMessage::ServerReset => self.take_reset(number, false),
            CallerMessage::HostReset => self.take_reset(number, true),
        }
    }

    fn confirm(&mut self, number: usize, server: usize, token: FlowToken) {
        let caller = &mut self.callers[number];
        if caller.stage != FlowStage::Opening {
            return;
        }
        caller.stage = FlowStage::Open;
        caller.token = token;
        caller.acknowledged = FIRST_ACKNOWLEDGED;
        caller.sequence += 1;
        if let Some(request) = caller.request {
            let crossed = self.servers[server].domain != caller.domain;
            self.requests[request].crossed += u32::from(crossed);
        }
        self.send(number, PacketKind::Data, 0);
        self.send_request(number);
    }

    /// Another packet of an answer has arrived, and `bytes` in all.
    fn take_part(&mut self, number: usize, bytes: u32) {
        let caller = &mut self.callers[number];
        let Some(request) = caller.request else {
            return;
        };
        caller.received = true;
        let answer = self.routes[caller.route].answer;
        let is_last = bytes == answer;
        let is_short = caller.left == 0;
        let is_second = bytes.is_multiple_of(2 * PACKET_BYTES);
        if is_second || is_last {
            let packet = (bytes - 1) % (2 * PACKET_BYTES) + 1;
            caller.acknowledged += packet;
        }
        if is_last {
            if is_short {
                self.close(number);
            } else if is_second {
                self.send(number, PacketKind::Data, 0);
            }
            let time = self.now - self.requests[request].asked_at;
            return self.finish(number, RequestOutcome::Answered(time));
        }
        if is_second {
            self.send(number, PacketKind::Data, 0);
        }
        let bytes = (bytes + PACKET_BYTES).min(answer);
        let timer = CallerTimer::Part { request, bytes };
        self.set_timer(number, PACKET_TIME, timer);
    }

    fn close(&mut self, number: usize) {
        self.callers[number].stage = FlowStage::Closed;
        self.send(number, PacketKind::Closing, 0);
    }

    /// The server has answered that it did not run the request, or that it failed.
    fn take_refusal(&mut self, number: usize, shed: bool) {
        self.callers[number].acknowledged += REFUSAL_BYTES;
        self.close(number);
        if let Some(request) = self.callers[number].request {
            self.requests[request].shed += u32::from(shed);
            self.fail(number, shed);
        }
    }

    fn take_reset(&mut self, number: usize, by_host: bool) {
        let caller = &mut self.callers[number];
        let was_opening = caller.stage == FlowStage::Opening;
        caller.stage = FlowStage::Closed;
        let Some(request) = caller.request else {
            return;
        };
        let record = &mut self.requests[request];
        match (by_host, was_opening) {
            (true, true) => record.refused += 1,
            (true, false) => record.ended += 1,
            (false, _) => record.reset += 1,
        }
        self.fail(number, was_opening);
    }

    /// The current flow has failed. `not_run` is whether the request certainly did not run.
    fn fail(&mut self, number: usize, not_run: bool) {
        let caller = &mut self.callers[number];
        caller.stage = FlowStage::Closed;
        let may_run_again = not_run || self.routes[caller.route].entry.idempotent;
        if may_run_again && caller.retries < RETRY_LIMIT {
            caller.retries += 1;
            self.open(number);
        } else {
            self.finish(number, RequestOutcome::Lost);
        }
    }

    fn finish(&mut self, number: usize, outcome: RequestOutcome) {
        let caller = &mut self.callers[number];
        if let Some(request) = caller.request.take() {
            self.requests[request].outcome = outcome;
        }
        if caller.left > 0 {
            let mean = caller.pause as f64;
            let pause = self.exponential(mean);
            self.set_timer(number, pause, CallerTimer::Next);
        }
    }
}
