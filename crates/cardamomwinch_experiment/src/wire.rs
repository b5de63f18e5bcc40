//! What goes over the network, without payloads: nothing here depends on them,
//! so that datagrams own all that they hold.

use std::net;

use cardamomwinch_coordination::prelude::{
    ControlEffect, Counter, HostEffect, PlatformRequest, TrafficEffect,
};
use cardamomwinch_protocol::prelude::{
    BackendDatagram, BackendReply, BackendReplyKind, CallerDatagram, CallerReply, CallerReplyKind,
    PeerEnvelope, RelayEnvelope, RelayFrame,
};
use cardamomwinch_state::prelude::{BackendId, HostId};

/// What a host wants done.
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
    /// Ask a backend server about its load.
    AskLoad(BackendId, net::SocketAddr),
    /// Nothing: it has stopped, and its process may end.
    Drained,
    /// Count something.
    Count(Counter),
}

impl HostOutput {
    /// The owned form of `effect`; absent where it asks for nothing to be sent.
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
            // The rest stays between the engines of one host.
            _ => None,
        }
    }

    fn of_traffic(effect: &TrafficEffect<'_>) -> Option<Self> {
        match effect {
            TrafficEffect::ToCaller(reply) => Some(Self::ToCaller(bare_reply(reply))),
            TrafficEffect::ToBackend { address, datagram } => {
                Some(Self::ToBackend(*address, bare_backend(datagram)))
            }
            TrafficEffect::Relay { host, envelope, .. } => {
                Some(Self::Relay(*host, bare_relay(envelope)))
            }
            TrafficEffect::Count(counter) => Some(Self::Count(*counter)),
            // Hosts are driven with a single traffic thread each, and the rest
            // stays between the engines of one host.
            _ => None,
        }
    }
}

fn bare_reply(reply: &CallerReply<'_>) -> CallerReply<'static> {
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

const fn bare_backend(datagram: &BackendDatagram<'_>) -> BackendDatagram<'static> {
    BackendDatagram {
        flow: datagram.flow,
        backend: datagram.backend,
        via: datagram.via,
        kind: datagram.kind,
        request: datagram.request,
        payload: &[],
    }
}

const fn bare_caller(datagram: &CallerDatagram<'_>) -> CallerDatagram<'static> {
    CallerDatagram {
        flow: datagram.flow,
        kind: datagram.kind,
        echoes_token: datagram.echoes_token,
        token: datagram.token,
        request: datagram.request,
        payload: &[],
    }
}

const fn bare_answer(reply: &BackendReply<'_>) -> BackendReply<'static> {
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

const fn bare_relay(envelope: &RelayEnvelope<'_>) -> RelayEnvelope<'static> {
    let frame = match &envelope.frame {
        RelayFrame::Caller {
            datagram,
            decided,
            search,
            shard,
            hops,
        } => RelayFrame::Caller {
            datagram: bare_caller(datagram),
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
            reply: bare_answer(reply),
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
