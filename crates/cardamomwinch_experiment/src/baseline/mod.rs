//! Baselines: the decisions of a plain layer-4 load balancer, made on each host
//! alone. Hosts relay nothing, count no slots and record no requests.

pub mod consistent_table;
pub mod pinned_hash;
pub mod plain_adoption;

use cardamomwinch_coordination::prelude::{
    ControlEffect, ControlEvent, HostEffect, HostEvent, HostIdentity, HostSink, TrafficEffect,
    TrafficEvent,
};
use cardamomwinch_protocol::backend::BackendRequest;
use cardamomwinch_protocol::prelude::{
    AttemptNumber, AuthenticationKeys, BackendDatagram, BackendKind, BackendReply,
    BackendReplyKind, CallerDatagram, CallerKind, CallerReply, CallerReplyKind, FabricDatagram,
    RefusalReason, ResetReason, TokenClaim, TokenIssuer,
};
use cardamomwinch_state::prelude::{FlowKey, InForceConfiguration, Timestamp};

use crate::baseline::plain_adoption::PlainAdoption;
use crate::policy::HostPolicy;

const RETRY_AFTER: std::time::Duration = std::time::Duration::from_millis(250);

/// How a baseline chooses the backend server of a flow.
pub trait FlowChoice: Default {
    /// Its name in reports.
    const NAME: &'static str;

    /// Puts a configuration in force.
    fn adopt(&mut self, configuration: &InForceConfiguration);

    /// The server of `flow`, if there is one.
    fn choose(
        &mut self,
        configuration: &InForceConfiguration,
        flow: &FlowKey,
    ) -> Option<TokenClaim>;

    /// Removes `flow`.
    fn close(&mut self, flow: &FlowKey);
}

/// A host that chooses servers only by `C`.
#[derive(Debug)]
pub struct BaselineHost<C> {
    identity: HostIdentity,
    tokens: TokenIssuer,
    adoption: PlainAdoption,
    choice: C,
}

impl<C: FlowChoice> HostPolicy for BaselineHost<C> {
    const NAME: &'static str = C::NAME;

    fn start(identity: HostIdentity, keys: AuthenticationKeys) -> Self {
        Self {
            identity,
            tokens: TokenIssuer::new(keys),
            adoption: PlainAdoption::default(),
            choice: C::default(),
        }
    }

    fn handle<S: HostSink>(&mut self, _now: Timestamp, event: HostEvent<'_>, sink: &mut S) {
        match event {
            HostEvent::Control(event) => self.control(event, sink),
            HostEvent::Traffic(TrafficEvent::Fabric(FabricDatagram::Caller(datagram))) => {
                self.forward(&datagram, sink);
            }
            HostEvent::Traffic(TrafficEvent::Fabric(FabricDatagram::Backend(reply))) => {
                self.send_to_caller(&reply, sink);
            }
            HostEvent::Traffic(_) => {}
        }
    }
}

impl<C: FlowChoice> BaselineHost<C> {
    fn control<S: HostSink>(&mut self, event: ControlEvent, sink: &mut S) {
        let requests = match event {
            ControlEvent::Start => PlainAdoption::first_requests(),
            ControlEvent::Platform(outcome) => {
                let before = self.adoption.configuration.version;
                let requests = self.adoption.handle(outcome);
                if self.adoption.configuration.version > before {
                    self.choice.adopt(&self.adoption.configuration);
                }
                requests
            }
            ControlEvent::Tick => self.adoption.due_requests(),
            _ => Vec::new(),
        };
        for request in requests {
            sink.emit(HostEffect::Control(ControlEffect::Platform(request)));
        }
    }

    fn forward<S: HostSink>(&mut self, datagram: &CallerDatagram<'_>, sink: &mut S) {
        let flow = datagram.flow;
        let Some(claim) = self.choice.choose(&self.adoption.configuration, &flow) else {
            if datagram.request.is_some() || datagram.kind == CallerKind::Open {
                reply(sink, flow, not_run(datagram, RefusalReason::NoBackend));
            }
            return;
        };
        let kind = match datagram.kind {
            CallerKind::Open => BackendKind::Open,
            CallerKind::Carry => BackendKind::Carry,
            CallerKind::Close => BackendKind::Close,
        };
        if datagram.kind == CallerKind::Close {
            self.choice.close(&flow);
        }
        sink.emit(HostEffect::Traffic(TrafficEffect::ToBackend {
            address: claim.address,
            datagram: BackendDatagram {
                flow,
                backend: claim.backend,
                via: self.identity.host,
                kind,
                request: datagram.request.map(|header| BackendRequest {
                    id: header.id,
                    attempt: AttemptNumber(0),
                    start_before: header.deadline,
                    deadline: header.deadline,
                }),
                payload: datagram.payload,
            },
        }));
    }

    fn send_to_caller<S: HostSink>(&self, answer: &BackendReply<'_>, sink: &mut S) {
        let kind = match answer.kind {
            BackendReplyKind::Answer {
                request,
                attempt,
                part,
                payload,
            } => CallerReplyKind::Answer {
                request,
                attempt,
                part,
                payload,
            },
            BackendReplyKind::Notice { sequence, payload } => {
                CallerReplyKind::Notice { sequence, payload }
            }
            BackendReplyKind::Shed { request, .. } => CallerReplyKind::NotRun {
                request,
                reason: RefusalReason::Shed,
                retry_after: RETRY_AFTER,
            },
            BackendReplyKind::UnknownFlow { .. } => CallerReplyKind::Reset {
                reason: ResetReason::UnknownFlow,
            },
            BackendReplyKind::Opened => {
                let entry = self.adoption.configuration.backends.get(&answer.backend);
                let Some(claim) = entry.map(TokenClaim::from) else {
                    return;
                };
                let token = self.tokens.issue(&answer.flow, claim);
                CallerReplyKind::Opened { token }
            }
            BackendReplyKind::Closed => return,
        };
        reply(sink, answer.flow, kind);
    }
}

fn not_run(datagram: &CallerDatagram<'_>, reason: RefusalReason) -> CallerReplyKind<'static> {
    CallerReplyKind::NotRun {
        request: datagram.request.map(|header| header.id),
        reason,
        retry_after: RETRY_AFTER,
    }
}

fn reply<S: HostSink>(sink: &mut S, flow: FlowKey, kind: CallerReplyKind<'_>) {
    let reply = CallerReply { flow, kind };
    sink.emit(HostEffect::Traffic(TrafficEffect::ToCaller(reply)));
}
