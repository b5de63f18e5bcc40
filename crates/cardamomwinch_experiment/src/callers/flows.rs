//! How callers open and close flows, and how flows break.

use cardamomwinch_protocol::prelude::{CallerKind, RoutingToken};
use cardamomwinch_state::prelude::Timestamp;

use crate::callers::{
    CallerFleet, CallerOutput, CallerTimer, DATA_INTERVAL, FIRST_RESEND_INTERVAL, FlowRole,
    FlowState, MAX_OPENING_SENDS, REOPEN_DELAY, datagram,
};
use crate::deployment;
use crate::measures::{BreakCause, RunMeasures};

impl CallerFleet {
    pub(super) fn open(
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
        if flow.opening_sends >= MAX_OPENING_SENDS {
            flow.state = FlowState::Abandoned;
            measures.counts.not_established += 1;
            return;
        }
        flow.opening_sends += 1;
        outputs.push(CallerOutput::Send(datagram(flow, CallerKind::Open, None)));
        let again = now.after(FIRST_RESEND_INTERVAL);
        outputs.push(CallerOutput::Wait(again, CallerTimer::Open(index)));
    }

    pub(super) fn start_short_flow(
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
        outputs.push(CallerOutput::Wait(next, CallerTimer::Arrival(service)));
    }

    pub(super) fn send_data(
        &mut self,
        now: Timestamp,
        index: usize,
        outputs: &mut Vec<CallerOutput>,
    ) {
        let flow = &self.flows[index];
        if flow.state == FlowState::Open && now < self.load_until {
            outputs.push(CallerOutput::Send(datagram(flow, CallerKind::Carry, None)));
            let next = now.after(DATA_INTERVAL);
            outputs.push(CallerOutput::Wait(next, CallerTimer::Data(index)));
        }
    }

    pub(super) fn close(&mut self, index: usize, outputs: &mut Vec<CallerOutput>) {
        let flow = &mut self.flows[index];
        if flow.state == FlowState::Open {
            flow.state = FlowState::Closed;
            outputs.push(CallerOutput::Send(datagram(flow, CallerKind::Close, None)));
        }
    }

    pub(super) fn opened(
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
            outputs.push(CallerOutput::Wait(request, CallerTimer::Request(index)));
            let data = now.after(self.exponential(DATA_INTERVAL));
            outputs.push(CallerOutput::Wait(data, CallerTimer::Data(index)));
        }
    }

    pub(super) fn note_notice(
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

    pub(super) fn break_flow(
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
            let then = now.after(REOPEN_DELAY);
            outputs.push(CallerOutput::Wait(then, CallerTimer::Open(fresh)));
        }
    }
}
