//! What the experiment sees of callers' flows and requests from outside, and
//! checks against what the callers were told.

use cardamomwinch_state::prelude::{FlowKey, RequestId, Timestamp};

use crate::callers::{
    CallerFleet, CallerOutput, FlowRole, FlowState, SILENT_NOTICES, SILENT_REQUESTS,
};
use crate::deployment;
use crate::measures::{BreakCause, RunMeasures};

impl CallerFleet {
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
            measures.note_violation(index);
        }
        let arrival = request.first_arrival.unwrap_or(now);
        if request.runs == 1 && request.counted {
            let wait = now.since(arrival).as_micros() as u64;
            measures.waits.saturating_record(wait);
        }
        self.check_refusal(index, measures);
    }

    pub(super) fn check_refusal(&mut self, index: usize, measures: &mut RunMeasures) {
        let request = &mut self.requests[index];
        if request.told_not_run && request.runs > 0 && !request.counted_false {
            request.counted_false = true;
            measures.counts.not_run_but_ran += 1;
            measures.note_violation(index);
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
}
