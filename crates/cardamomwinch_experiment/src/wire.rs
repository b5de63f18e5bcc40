//! The messages of hosts on the network, without payloads. The experiment needs
//! no payloads, and without them datagrams own all their data.

use std::net;

use cardamomwinch_coordination::prelude::{
    ControlEffect, Counter, HostEffect, PlatformRequest, TrafficEffect,
};
use cardamomwinch_protocol::prelude::{
    BackendDatagram, BackendReply, BackendReplyKind, CallerDatagram, CallerReply, CallerReplyKind,
    PeerEnvelope, RelayEnvelope, RelayFrame,
};
use cardamomwinch_state::prelude::{BackendId, HostId};

/// An effect of a host.
#[derive(Debug, Clone)]
pub enum HostOutput {
    /// Send a reply to a caller.
    ToCaller(CallerReply<'static>),
    /// Send a datagram to the backend server at an address.
    ToBackend(net::SocketAddr, BackendDatagram<'static>),
    /// Relay a datagram to a host.
    Relay(HostId, RelayEnvelope<'static>),
    /// Send a control message to a host.
    ToPeer(HostId, PeerEnvelope),
    /// Call the platform.
    Platform(PlatformRequest),
    /// Probe the load endpoint of a backend server.
    AskLoad(BackendId, net::SocketAddr),
    /// The host has stopped, and its process may end.
    Drained,
    /// Increment a counter.
    Count(Counter),
}

impl HostOutput {
    /// The owned form of `effect`; nothing if it stays inside the host.
    pub fn of_effect(effect: HostEffect<'_>) -> Option<Self> {
        match effect {
            HostEffect::Control(effect) => Self::of_control(effect),
            HostEffect::Traffic(effect) => Self::of_traffic(&effect),
        }
    }

    fn of_control(effect: ControlEffect) -> Option<Self> {
        match effect {
            ControlEffect::ToPeer { host, envelope, .. } => Some(Self::ToPeer(host, envelope)),
            ControlEffect::Platform(request) => Some(Self::Platform(request)),
            ControlEffect::ProbeLoad { backend, address } => Some(Self::AskLoad(backend, address)),
            ControlEffect::Count(counter) => Some(Self::Count(counter)),
            ControlEffect::Drained => Some(Self::Drained),
            // The other effects stay between the engines of one host.
            _ => None,
        }
    }

    fn of_traffic(effect: &TrafficEffect<'_>) -> Option<Self> {
        match effect {
            TrafficEffect::ToCaller(reply) => Some(Self::ToCaller(strip_caller_reply(reply))),
            TrafficEffect::ToBackend { address, datagram } => {
                Some(Self::ToBackend(*address, strip_backend_datagram(datagram)))
            }
            TrafficEffect::Relay { host, envelope, .. } => {
                Some(Self::Relay(*host, strip_relay_envelope(envelope)))
            }
            TrafficEffect::Count(counter) => Some(Self::Count(*counter)),
            // Each host has a single traffic thread, and the other effects stay
            // between the engines of one host.
            _ => None,
        }
    }
}

fn strip_caller_reply(reply: &CallerReply<'_>) -> CallerReply<'static> {
    let kind = match reply.kind {
        CallerReplyKind::Opened { token } => CallerReplyKind::Opened { token },
        CallerReplyKind::Answer {
            request,
            attempt,
            part,
            ..
        } => CallerReplyKind::Answer {
            request,
            attempt,
            part,
            payload: &[],
        },
        CallerReplyKind::Notice { sequence, .. } => CallerReplyKind::Notice {
            sequence,
            payload: &[],
        },
        CallerReplyKind::NotRun {
            request,
            reason,
            retry_after,
        } => CallerReplyKind::NotRun {
            request,
            reason,
            retry_after,
        },
        CallerReplyKind::OutcomeUnknown {
            request,
            retry_after,
        } => CallerReplyKind::OutcomeUnknown {
            request,
            retry_after,
        },
        CallerReplyKind::Reset { reason } => CallerReplyKind::Reset { reason },
    };
    CallerReply {
        flow: reply.flow,
        kind,
    }
}

const fn strip_backend_datagram(datagram: &BackendDatagram<'_>) -> BackendDatagram<'static> {
    BackendDatagram {
        flow: datagram.flow,
        backend: datagram.backend,
        via: datagram.via,
        kind: datagram.kind,
        request: datagram.request,
        payload: &[],
    }
}

const fn strip_caller_datagram(datagram: &CallerDatagram<'_>) -> CallerDatagram<'static> {
    CallerDatagram {
        flow: datagram.flow,
        kind: datagram.kind,
        echoes_token: datagram.echoes_token,
        token: datagram.token,
        request: datagram.request,
        payload: &[],
    }
}

const fn strip_backend_reply(reply: &BackendReply<'_>) -> BackendReply<'static> {
    let kind = match reply.kind {
        BackendReplyKind::Opened => BackendReplyKind::Opened,
        BackendReplyKind::Answer {
            request,
            attempt,
            part,
            ..
        } => BackendReplyKind::Answer {
            request,
            attempt,
            part,
            payload: &[],
        },
        BackendReplyKind::Shed { request, attempt } => BackendReplyKind::Shed { request, attempt },
        BackendReplyKind::Notice { sequence, .. } => BackendReplyKind::Notice {
            sequence,
            payload: &[],
        },
        BackendReplyKind::UnknownFlow { request, attempt } => {
            BackendReplyKind::UnknownFlow { request, attempt }
        }
        BackendReplyKind::Closed => BackendReplyKind::Closed,
    };
    BackendReply {
        flow: reply.flow,
        backend: reply.backend,
        via: reply.via,
        kind,
    }
}

const fn strip_relay_envelope(envelope: &RelayEnvelope<'_>) -> RelayEnvelope<'static> {
    let frame = match &envelope.frame {
        RelayFrame::Caller {
            datagram,
            decided,
            search,
            shard,
            hops,
        } => RelayFrame::Caller {
            datagram: strip_caller_datagram(datagram),
            decided: *decided,
            search: *search,
            shard: *shard,
            hops: *hops,
        },
        RelayFrame::Learned {
            flow,
            claim,
            thread,
        } => RelayFrame::Learned {
            flow: *flow,
            claim: *claim,
            thread: *thread,
        },
        RelayFrame::Announced { flow, claim, shard } => RelayFrame::Announced {
            flow: *flow,
            claim: *claim,
            shard: *shard,
        },
        RelayFrame::Backend { reply, shard, hops } => RelayFrame::Backend {
            reply: strip_backend_reply(reply),
            shard: *shard,
            hops: *hops,
        },
    };
    RelayEnvelope {
        sender: envelope.sender,
        version: envelope.version,
        frame,
    }
}
