//! Delivers datagrams to callers and backend servers, and applies their effects.

use cardamomwinch_protocol::prelude::{
    BackendDatagram, BackendKind, BackendReply, BackendReplyKind, CallerDatagram, FabricDatagram,
};
use cardamomwinch_state::prelude::{BackendId, FlowKey, HostId};
use rand::Rng;

use crate::backends::ServerOutput;
use crate::callers::{self, CallerOutput};
use crate::deployment;
use crate::hosts::HostInput;
use crate::policy::HostPolicy;
use crate::world::{MAX_ADOPTION_TIME, WorldEvent, WorldRun};

impl<P: HostPolicy> WorldRun<P> {
    pub(super) fn apply_caller_outputs(&mut self, outputs: Vec<CallerOutput>) {
        for output in outputs {
            match output {
                CallerOutput::Send(datagram) => self.send_from_caller(datagram),
                CallerOutput::Wait(time, timer) => self.queue.push(time, WorldEvent::Caller(timer)),
            }
        }
    }

    pub(super) fn send_from_caller(&mut self, datagram: CallerDatagram<'static>) {
        for _ in 0..self.network.copies() {
            if let Some(host) = self.network.choose_host() {
                let delay = self.network.caller_delay();
                let input = HostInput::Fabric(FabricDatagram::Caller(datagram));
                self.after(delay, WorldEvent::ToHost(host, input));
            }
        }
    }

    pub(super) fn deliver_to_server(&mut self, server: usize, datagram: &BackendDatagram<'static>) {
        let service = self.servers[server].service;
        if deployment::service_at(&datagram.flow) != service {
            let counts = &mut self.measures.counts;
            match self.now < self.moved_at.after(MAX_ADOPTION_TIME) {
                true => counts.wrong_service_in_adoption += 1,
                false => counts.wrong_service += 1,
            }
        }
        let flow = deployment::flow_at(&datagram.flow);
        if datagram.kind == BackendKind::Carry && self.servers[server].holds(flow) {
            let mut outputs = Vec::new();
            let measures = &mut self.measures;
            let flow = &datagram.flow;
            self.fleet
                .note_delivery(self.now, flow, server, measures, &mut outputs);
            self.apply_caller_outputs(outputs);
        }
        let mut outputs = Vec::new();
        self.servers[server].handle(self.now, datagram, &mut outputs);
        self.apply_server_outputs(server, outputs);
    }

    pub(super) fn apply_server_outputs(&mut self, server: usize, outputs: Vec<ServerOutput>) {
        for output in outputs {
            match output {
                ServerOutput::Reply(reply) => self.send_from_server(server, reply),
                ServerOutput::RunStarted(request, number, end) => {
                    let measures = &mut self.measures;
                    self.fleet.note_run(self.now, request, measures);
                    self.queue.push(end, WorldEvent::RunEnds(server, number));
                }
                ServerOutput::SlotBusy(from, to) => self.measures.busy.add(server, from, to),
                ServerOutput::FlowOpened(flow, backend, via) => {
                    if self.fleet.is_session(deployment::flow_at(&flow)) {
                        let pause = callers::NOTICE_INTERVAL.mul_f64(self.rng.random());
                        self.after(pause, WorldEvent::Notice(server, flow, backend, via));
                    }
                }
            }
        }
    }

    pub(super) fn send_notice(
        &mut self,
        server: usize,
        flow: FlowKey,
        backend: BackendId,
        via: HostId,
    ) {
        let index = deployment::flow_at(&flow);
        if self.now >= self.load_until || self.fleet.is_over(index) {
            return;
        }
        let next = WorldEvent::Notice(server, flow, backend, via);
        self.after(callers::NOTICE_INTERVAL, next);
        if !self.fleet.is_open_on(index, server) {
            return;
        }
        let Some(sequence) = self.servers[server].next_notice(index) else {
            return;
        };
        self.measures.counts.notices += 1;
        let kind = BackendReplyKind::Notice {
            sequence,
            payload: &[],
        };
        let reply = BackendReply {
            flow,
            backend,
            via,
            kind,
        };
        self.send_from_server(server, reply);
    }

    pub(super) fn send_from_server(&mut self, server: usize, reply: BackendReply<'static>) {
        let domain = self.options.plan.domain_of_server(server);
        let domain_count = self.options.plan.domains.len();
        let copies = self.network.copies();
        if copies == 0 && matches!(reply.kind, BackendReplyKind::Notice { .. }) {
            self.measures.counts.notices_lost_by_fabric += 1;
        }
        for _ in 0..copies {
            if let Some(host) = self.network.choose_host_from(domain, domain_count) {
                let delay = self.network.delay(domain, self.domain_of(host));
                let input = HostInput::Fabric(FabricDatagram::Backend(reply));
                self.after(delay, WorldEvent::ToHost(host, input));
            }
        }
    }
}
