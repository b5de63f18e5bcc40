//! Delivers inputs to hosts, and applies their effects.

use std::time;

use cardamomwinch_coordination::control::event::LoadFailure;
use cardamomwinch_coordination::prelude::ControlEvent;
use cardamomwinch_protocol::prelude::{
    BackendDatagram, BackendReply, BackendReplyKind, CallerReply, CallerReplyKind, FabricDatagram,
    PeerEnvelope, RelayEnvelope, RelayFrame,
};
use cardamomwinch_state::prelude::{BackendId, HostId};

use crate::deployment;
use crate::hosts::HostInput;
use crate::policy::HostPolicy;
use crate::wire::HostOutput;
use crate::world::{
    CALL_TIMEOUT, CONTROL_OVERHEAD, DATAGRAM_MESSAGE_LIMIT, TICK, WorldEvent, WorldRun,
};

impl<P: HostPolicy> WorldRun<P> {
    pub(super) fn tick(&mut self, host: usize, start_count: u32) {
        self.hosts[host].end_if_quiet(self.now);
        if self.hosts[host].start_count != start_count || !self.hosts[host].is_up() {
            return;
        }
        self.deliver_to_host(host, HostInput::Tick);
        self.after(TICK, WorldEvent::Tick(host, start_count));
    }

    pub(super) fn deliver_to_host(&mut self, host: usize, input: HostInput) {
        self.note_fabric(&input);
        let notice = is_notice(&input);
        let mut outputs = Vec::new();
        let accepted = self.hosts[host].handle_input(self.now, input, &mut outputs);
        if notice && !accepted {
            self.measures.counts.notices_to_gone_hosts += 1;
        }
        self.apply_host_outputs(host, outputs);
    }

    pub(super) fn note_fabric(&mut self, input: &HostInput) {
        let HostInput::Fabric(datagram) = input else {
            return;
        };
        self.measures.counts.fabric_datagrams += 1;
        if let FabricDatagram::Caller(datagram) = datagram
            && let Some(request) = datagram.request
        {
            self.fleet.note_arrival(self.now, request.id);
        }
    }

    pub(super) fn apply_host_outputs(&mut self, host: usize, outputs: Vec<HostOutput>) {
        for output in outputs {
            self.trace(Some(host), &output);
            match output {
                HostOutput::ToCaller(reply) => self.send_to_caller(reply),
                HostOutput::ToBackend(address, datagram) => {
                    self.send_to_server(host, deployment::server_at(address), datagram);
                }
                HostOutput::Relay(peer, envelope) => self.relay(host, peer, envelope),
                HostOutput::ToPeer(peer, envelope) => self.send_to_peer(host, peer, envelope),
                HostOutput::Platform(request) => self.call_platform(host, request),
                HostOutput::AskLoad(backend, address) => {
                    self.probe_load(host, backend, deployment::server_at(address));
                }
                HostOutput::Drained => self.hosts[host].note_drained(),
                HostOutput::Count(counter) => self.measures.count(counter),
            }
        }
    }

    pub(super) fn send_to_caller(&mut self, reply: CallerReply<'static>) {
        if self.network.loses() {
            let notice = matches!(reply.kind, CallerReplyKind::Notice { .. });
            self.measures.counts.notices_lost_by_fabric += u64::from(notice);
            return;
        }
        let delay = self.network.caller_delay();
        self.after(delay, WorldEvent::ToCaller(reply));
    }

    pub(super) fn send_to_server(
        &mut self,
        host: usize,
        server: usize,
        datagram: BackendDatagram<'static>,
    ) {
        let domain = self.options.plan.domain_of_server(server);
        let from = self.domain_of(host);
        if self.network.connects(from, domain) && !self.network.loses() {
            let delay = self.network.delay(from, domain);
            self.after(delay, WorldEvent::ToServer(server, datagram));
        }
    }

    /// The index of another host and the delay to it; nothing if a cut separates them.
    pub(super) fn path_to_host(
        &mut self,
        host: usize,
        peer: HostId,
    ) -> Option<(usize, time::Duration)> {
        let target = *self.host_index.get(&peer)?;
        let (from, to) = (self.domain_of(host), self.domain_of(target));
        let connected = self.network.connects(from, to);
        connected.then(|| (target, self.network.delay(from, to)))
    }

    pub(super) fn relay(&mut self, host: usize, peer: HostId, envelope: RelayEnvelope<'static>) {
        match envelope.frame {
            RelayFrame::Caller { .. } => self.measures.counts.relayed_callers += 1,
            RelayFrame::Learned { .. } | RelayFrame::Announced { .. } => {
                self.measures.counts.relayed_results += 1;
            }
            RelayFrame::Backend { .. } => self.measures.counts.relayed_replies += 1,
        }
        if let Some((target, delay)) = self.path_to_host(host, peer)
            && !self.network.loses()
        {
            let input = HostInput::Relay(Box::new(envelope));
            self.after(delay, WorldEvent::ToHost(target, input));
        }
    }

    pub(super) fn send_to_peer(&mut self, host: usize, peer: HostId, envelope: PeerEnvelope) {
        let encoded = postcard::to_allocvec(&envelope);
        let length = encoded.map_or(0, |bytes| bytes.len() as u64);
        self.measures
            .count_control(self.now, host, length + CONTROL_OVERHEAD);
        let lost = length <= DATAGRAM_MESSAGE_LIMIT && self.network.loses();
        if let Some((target, delay)) = self.path_to_host(host, peer)
            && !lost
        {
            let input = HostInput::Control(ControlEvent::Peer(envelope));
            self.after(delay, WorldEvent::ToHost(target, input));
        }
    }

    pub(super) fn probe_load(&mut self, host: usize, backend: BackendId, server: usize) {
        let (from, to) = (
            self.domain_of(host),
            self.options.plan.domain_of_server(server),
        );
        let connected = self.network.connects(from, to);
        let result = match connected {
            true => Ok(self.servers[server].load()),
            false => Err(LoadFailure),
        };
        let delay = match connected {
            true => self.network.delay(from, to) * 2,
            false => CALL_TIMEOUT,
        };
        let input = HostInput::Control(ControlEvent::Load { backend, result });
        self.after(delay, WorldEvent::ToHost(host, input));
    }
}

const fn is_notice(input: &HostInput) -> bool {
    matches!(
        input,
        HostInput::Fabric(FabricDatagram::Backend(BackendReply {
            kind: BackendReplyKind::Notice { .. },
            ..
        }))
    )
}
