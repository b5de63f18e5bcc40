//! Observes the flows and requests of callers at hosts and servers, and compares
//! them with the replies that callers received.

use cardamomwinch_state::prelude::{FlowKey, RequestId, Timestamp};

use crate::callers::{
    CallerFleet, CallerOutput, FlowRole, FlowState, SILENT_NOTICE_DURATION, SILENT_REQUESTS,
};
use crate::deployment;
use crate::measures::{BreakCause, RunMeasures};

impl CallerFleet {
    /// Records that a datagram of an open flow reached `server`.
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

    /// Records that a request reached a host.
    pub fn note_arrival(&mut self, now: Timestamp, request: RequestId) {
        let request = &mut self.requests[request.get() as usize];
        request.first_at_host.get_or_insert(now);
    }

    /// Records that a server started to run a request.
    pub fn note_run(&mut self, now: Timestamp, id: RequestId, measures: &mut RunMeasures) {
        let index = id.get() as usize;
        let request = &mut self.requests[index];
        request.runs += 1;
        if request.runs == 2 && !request.idempotent {
            measures.counts.run_twice += 1;
            measures.note_violation(index);
        }
        let arrival = request.first_at_host.unwrap_or(now);
        if request.runs == 1 && request.counted {
            let wait = now.since(arrival).as_micros() as u64;
            measures.waits.saturating_record(wait);
        }
        self.check_refusal(index, measures);
    }

    pub(super) fn check_refusal(&mut self, index: usize, measures: &mut RunMeasures) {
        let request = &mut self.requests[index];
        if request.reported_not_run && request.runs > 0 && !request.counted_violation {
            request.counted_violation = true;
            measures.counts.not_run_but_ran += 1;
            measures.note_violation(index);
        }
    }

    /// Whether its caller regards `flow` as open, with `server` as its server.
    pub fn is_open_on(&self, flow: usize, server: usize) -> bool {
        let flow = &self.flows[flow];
        flow.state == FlowState::Open && flow.own_server == Some(server)
    }

    /// Whether its caller regards `flow` as ended.
    pub fn is_over(&self, flow: usize) -> bool {
        !matches!(self.flows[flow].state, FlowState::Opening | FlowState::Open)
    }

    /// Whether `flow` is a session.
    pub fn is_session(&self, flow: usize) -> bool {
        self.flows[flow].role != FlowRole::Short
    }

    /// Counts the open sessions that are silent as broken.
    pub fn count_silent(&self, measures: &mut RunMeasures) {
        let silent_since = self.load_until.before(SILENT_NOTICE_DURATION);
        let sessions = self
            .flows
            .iter()
            .filter(|flow| flow.state == FlowState::Open && flow.role != FlowRole::Short);
        for flow in sessions {
            let no_notices = flow.opened < silent_since && flow.last_notice < silent_since;
            if flow.unanswered >= SILENT_REQUESTS || no_notices {
                measures.count_broken(BreakCause::Silent);
            }
        }
    }
}
