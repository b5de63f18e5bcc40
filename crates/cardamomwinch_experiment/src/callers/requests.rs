//! How callers make requests, resend them, and handle their answers.

use cardamomwinch_protocol::prelude::{AttemptNumber, CallerKind, PartNumber, RequestHeader};
use cardamomwinch_state::prelude::{RequestId, Timestamp};
use rand::Rng;

use crate::callers::{
    CallerFleet, CallerOutput, CallerRequest, CallerTimer, FIRST_RESEND_INTERVAL, FlowRole,
    FlowState, LONG_DEADLINE, MAX_RESEND_INTERVAL, RequestEnd, SETTLED_DURATION, SHORT_DEADLINE,
    SHORT_FLOW_PAUSE, SHORT_FLOW_REQUESTS, datagram,
};
use crate::measures::{RunCounts, RunMeasures};

impl CallerFleet {
    pub(super) fn next_request(
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
            outputs.push(CallerOutput::Wait(next, CallerTimer::Request(flow)));
        }
    }

    pub(super) fn make_request(
        &mut self,
        now: Timestamp,
        flow: usize,
        measures: &mut RunMeasures,
        outputs: &mut Vec<CallerOutput>,
    ) {
        self.flows[flow].requests += 1;
        let counted = now >= measures.begin;
        measures.counts.requests += u64::from(counted);
        let timeout = match self.rng.random_bool(0.5) {
            true => LONG_DEADLINE,
            false => SHORT_DEADLINE,
        };
        self.requests.push(CallerRequest {
            flow,
            created: now,
            idempotent: self.rng.random_bool(0.5),
            deadline: now.after(timeout),
            pause: FIRST_RESEND_INTERVAL,
            first_at_host: None,
            ended: false,
            counted,
            attempt: AttemptNumber::default(),
            parts: Vec::new(),
            runs: 0,
            reported_not_run: false,
            counted_violation: false,
        });
        self.resend(now, self.requests.len() - 1, measures, outputs);
    }

    pub(super) fn resend(
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
        request.pause = (request.pause * 2).min(MAX_RESEND_INTERVAL);
        outputs.push(CallerOutput::Wait(again, CallerTimer::Resend(index)));
    }

    /// Records a part of an answer; returns whether the answer is complete now.
    /// Parts of different runs are not mixed.
    pub(super) fn note_part(
        &mut self,
        index: usize,
        attempt: AttemptNumber,
        part: PartNumber,
    ) -> bool {
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

    pub(super) fn end(
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
        let created = request.created;
        if request.counted {
            count_end(end, &mut measures.counts);
        }
        self.note_request_end(now, flow, created, end);
        self.after_request(now, flow, measures, outputs);
    }

    /// An unanswered request counts towards silence only if no reply was received
    /// after the request was made.
    fn note_request_end(
        &mut self,
        now: Timestamp,
        index: usize,
        created: Timestamp,
        end: RequestEnd,
    ) {
        let settled_at = self.load_until.before(SETTLED_DURATION);
        let flow = &mut self.flows[index];
        match end {
            RequestEnd::Unanswered if created >= settled_at && created > flow.last_reply => {
                flow.unanswered += 1;
            }
            RequestEnd::Unanswered => {}
            _ => {
                flow.unanswered = 0;
                flow.last_reply = now;
            }
        }
    }

    pub(super) fn after_request(
        &mut self,
        now: Timestamp,
        index: usize,
        measures: &mut RunMeasures,
        outputs: &mut Vec<CallerOutput>,
    ) {
        let flow = &mut self.flows[index];
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
        outputs.push(CallerOutput::Wait(now.after(SHORT_FLOW_PAUSE), next));
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
