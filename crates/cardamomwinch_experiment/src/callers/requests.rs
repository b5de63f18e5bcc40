//! How a caller makes requests, sends them again, and takes their answers.

use cardamomwinch_protocol::prelude::{AttemptNumber, CallerKind, PartNumber, RequestHeader};
use cardamomwinch_state::prelude::{RequestId, Timestamp};
use rand::Rng;

use crate::callers::{
    CallerFleet, CallerOutput, CallerRequest, CallerTimer, FIRST_RESEND, FlowRole, FlowState,
    LAST_RESEND, LONG_DEADLINE, RequestEnd, SETTLED_PART, SHORT_DEADLINE, SHORT_FLOW_PAUSE,
    SHORT_FLOW_REQUESTS, datagram,
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
            outputs.push(CallerOutput::At(next, CallerTimer::Request(flow)));
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
        let patience = match self.rng.random_bool(0.5) {
            true => LONG_DEADLINE,
            false => SHORT_DEADLINE,
        };
        self.requests.push(CallerRequest {
            flow,
            made: now,
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
        request.pause = (request.pause * 2).min(LAST_RESEND);
        outputs.push(CallerOutput::At(again, CallerTimer::Resend(index)));
    }

    /// Notes a part of an answer; `true` where the answer is whole now. Parts
    /// of different runs are not mixed.
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
        let made = request.made;
        if request.counted {
            count_end(end, &mut measures.counts);
        }
        self.note_heard(now, flow, made, end);
        self.after_request(now, flow, measures, outputs);
    }

    /// A session is silent only by requests that nothing was heard after.
    fn note_heard(&mut self, now: Timestamp, index: usize, made: Timestamp, end: RequestEnd) {
        let settled = self.load_until.before(SETTLED_PART);
        let flow = &mut self.flows[index];
        match end {
            RequestEnd::Unanswered if made >= settled && made > flow.last_heard => {
                flow.unheard += 1;
            }
            RequestEnd::Unanswered => {}
            _ => {
                flow.unheard = 0;
                flow.last_heard = now;
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
        outputs.push(CallerOutput::At(now.after(SHORT_FLOW_PAUSE), next));
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
