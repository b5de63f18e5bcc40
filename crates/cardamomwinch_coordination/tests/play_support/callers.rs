//! Callers that repeat each datagram until they have an outcome.

use std::collections::BTreeMap;

use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use rand::Rng;

use super::hosts::EngineInput;
use super::{MILLIS, Play, PlayEvent, PlayPlan, SERVICE};

const RESEND_INTERVAL: u64 = 200 * MILLIS;
const DEADLINE: u64 = 2_500 * MILLIS;
const OPEN_WAIT: u64 = 3_000 * MILLIS;
const REQUESTS_PER_FLOW: u64 = 20;
const PAUSE: u64 = 20 * MILLIS;

/// A request, with what its caller was told.
#[derive(Debug, Clone, Copy)]
pub struct SentRequest {
    pub idempotent: bool,
    pub deadline: u64,
    pub next_copy: u64,
    pub opens: bool,
    pub answered: bool,
    pub refused: bool,
    pub unknown: bool,
}

impl SentRequest {
    fn is_pending(&self, now: u64) -> bool {
        now < self.deadline && !self.answered && !self.refused && !self.unknown
    }
}

#[derive(Debug, Default)]
struct PlayedCaller {
    echoes_token: bool,
    flow: Option<FlowKey>,
    token: Option<RoutingToken>,
    opened: bool,
    reset: bool,
    opening_until: u64,
    sent_in_flow: u64,
    pending: Vec<RequestId>,
}

/// All callers, and the requests that they sent.
#[derive(Debug)]
pub struct Callers {
    callers: Vec<PlayedCaller>,
    pub requests: BTreeMap<(FlowKey, RequestId), SentRequest>,
    /// Requests with an answer and "not run".
    pub contradicted: Vec<(FlowKey, RequestId)>,
    pub held: bool,
    next_port: u16,
    next_request: u64,
}

impl Callers {
    pub fn new(plan: &PlayPlan) -> Self {
        let callers = (0..plan.callers).map(|index| PlayedCaller {
            echoes_token: index % 2 == 0,
            ..PlayedCaller::default()
        });
        Self {
            callers: callers.collect(),
            requests: BTreeMap::new(),
            contradicted: Vec::new(),
            held: false,
            next_port: 20_000,
            next_request: 0,
        }
    }

    pub fn request(&self, key: &(FlowKey, RequestId)) -> Option<&SentRequest> {
        self.requests.get(key)
    }

    pub fn answered(&self) -> usize {
        self.requests.values().filter(|sent| sent.answered).count()
    }
}

impl Play {
    /// Sends what is due and acts again after a pause.
    pub fn act_as_caller(&mut self, caller: usize) {
        let pause = self.rng.random_range(PAUSE / 2..=PAUSE);
        self.schedule(pause, PlayEvent::Caller { caller });
        self.repeat_requests(caller);
        let now = self.now;
        let state = &mut self.callers.callers[caller];
        let done = state.sent_in_flow >= REQUESTS_PER_FLOW && state.pending.is_empty();
        if state.flow.is_some() && (state.reset || done) {
            return self.close(caller);
        }
        if state.flow.is_none() {
            if !self.callers.held {
                self.begin_flow(caller);
            }
            return;
        }
        if !state.opened {
            if state.opening_until <= now {
                state.flow = None;
                return;
            }
            // A caller repeats its opening five times a second.
            if self.rng.random_bool(0.1) {
                self.send_opening(caller, None);
            }
            return;
        }
        let may_send = state.sent_in_flow < REQUESTS_PER_FLOW
            && state.pending.len() < self.plan.pending
            && !self.callers.held;
        if may_send {
            self.begin_request(caller, false);
        }
    }

    fn begin_flow(&mut self, caller: usize) {
        let now = self.now;
        self.callers.next_port += 1;
        let port = self.callers.next_port;
        let state = &mut self.callers.callers[caller];
        *state = PlayedCaller {
            echoes_token: state.echoes_token,
            flow: Some(FlowKey {
                caller: format!("127.0.0.1:{port}").parse().unwrap(),
                service: SERVICE.parse().unwrap(),
            }),
            opening_until: now + OPEN_WAIT,
            ..PlayedCaller::default()
        };
        if self.rng.random_bool(self.plan.opening_requests) {
            self.begin_request(caller, true);
        } else {
            self.send_opening(caller, None);
        }
    }

    fn begin_request(&mut self, caller: usize, opens: bool) {
        self.callers.next_request += 1;
        let id = RequestId::new(self.callers.next_request);
        let idempotent = self.rng.random_bool(0.1);
        let now = self.now;
        let state = &mut self.callers.callers[caller];
        state.sent_in_flow += 1;
        state.pending.push(id);
        let flow = state.flow.unwrap();
        let sent = SentRequest {
            idempotent,
            deadline: now + DEADLINE,
            next_copy: now,
            opens,
            answered: false,
            refused: false,
            unknown: false,
        };
        self.callers.requests.insert((flow, id), sent);
        self.repeat_requests(caller);
    }

    fn repeat_requests(&mut self, caller: usize) {
        let now = self.now;
        let Some(flow) = self.callers.callers[caller].flow else {
            return;
        };
        let requests = &self.callers.requests;
        let pending = &mut self.callers.callers[caller].pending;
        pending.retain(|id| requests[&(flow, *id)].is_pending(now));
        for id in pending.clone() {
            let sent = self.callers.requests.get_mut(&(flow, id)).unwrap();
            if sent.next_copy > now {
                continue;
            }
            sent.next_copy = now + RESEND_INTERVAL;
            let header = RequestHeader {
                id,
                idempotent: sent.idempotent,
                deadline: Timestamp::new(sent.deadline),
            };
            match sent.opens {
                true => self.send_opening(caller, Some(header)),
                false => self.send_request(caller, header),
            }
        }
    }

    fn send_opening(&mut self, caller: usize, request: Option<RequestHeader>) {
        let state = &self.callers.callers[caller];
        let datagram = CallerDatagram {
            echoes_token: state.echoes_token,
            request,
            ..CallerDatagram::open(state.flow.unwrap(), b"open")
        };
        self.spray(|| EngineInput::caller(&datagram));
    }

    fn send_request(&mut self, caller: usize, header: RequestHeader) {
        let state = &self.callers.callers[caller];
        let token = state.token.filter(|_| state.echoes_token);
        let datagram = CallerDatagram::carry(state.flow.unwrap(), token, b"submit");
        let datagram = CallerDatagram {
            echoes_token: state.echoes_token,
            ..datagram.with_request(header)
        };
        self.spray(|| EngineInput::caller(&datagram));
    }

    fn close(&mut self, caller: usize) {
        let state = &mut self.callers.callers[caller];
        let token = state.token.filter(|_| state.echoes_token);
        let flow = state.flow.take().unwrap();
        state.reset = false;
        let datagram = CallerDatagram {
            kind: CallerKind::Close,
            ..CallerDatagram::carry(flow, token, b"")
        };
        self.spray(|| EngineInput::caller(&datagram));
    }

    fn note_word(
        &mut self,
        flow: FlowKey,
        request: RequestId,
        word: &str,
    ) -> Option<&mut SentRequest> {
        let line = format!(
            "{} caller of {flow} hears {word} of request {request}",
            self.now
        );
        self.note(line);
        self.callers.requests.get_mut(&(flow, request))
    }

    pub fn receive_at_caller(&mut self, bytes: &[u8]) {
        let reply: CallerReply<'_> = codec::decode(bytes).unwrap();
        let mut callers = self.callers.callers.iter_mut();
        let caller = callers.find(|caller| caller.flow == Some(reply.flow));
        match reply.kind {
            CallerReplyKind::Opened { token } => {
                if let Some(caller) = caller {
                    caller.opened = true;
                    caller.token.get_or_insert(token);
                }
            }
            CallerReplyKind::Reset { .. } => {
                if let Some(caller) = caller {
                    caller.reset = true;
                }
            }
            CallerReplyKind::NotRun {
                request: Some(request),
                ..
            } => {
                if let Some(sent) = self.note_word(reply.flow, request, "not run") {
                    sent.refused = true;
                    if sent.answered {
                        self.callers.contradicted.push((reply.flow, request));
                    }
                }
            }
            CallerReplyKind::Answer { request, .. } => {
                if let Some(sent) = self.note_word(reply.flow, request, "the answer") {
                    sent.answered = true;
                    if sent.refused {
                        self.callers.contradicted.push((reply.flow, request));
                    }
                }
            }
            CallerReplyKind::OutcomeUnknown { request, .. } => {
                if let Some(sent) = self.note_word(reply.flow, request, "outcome unknown") {
                    sent.unknown = true;
                }
            }
            CallerReplyKind::NotRun { request: None, .. } | CallerReplyKind::Notice { .. } => {}
        }
    }
}
