//! The context in which one event is handled.

use std::net;
use std::time;

use cardamomwinch_protocol::backend::BackendRequest;
use cardamomwinch_protocol::prelude::{
    AttemptNumber, BackendDatagram, BackendKind, CallerReply, CallerReplyKind, RefusalReason,
    RelayEnvelope, RelayFrame, TokenClaim,
};
use cardamomwinch_state::prelude::{
    BackendId, FlowKey, HostId, RequestId, ServiceId, ShardId, Timestamp,
};

use crate::counter::Counter;
use crate::decision::{DecisionReason, DecisionRecord, RunEvidence};
use crate::identity::HostIdentity;
use crate::snapshot::RoutingSnapshot;
use crate::traffic::effect::{TrafficEffect, TrafficSink};
use crate::traffic::requests::RequestKey;

/// The time, the snapshot and the sink of one event.
pub(crate) struct EventContext<'c, S> {
    pub(crate) now: Timestamp,
    pub(crate) identity: HostIdentity,
    pub(crate) snapshot: &'c RoutingSnapshot,
    /// Whether the thread may act on the snapshot.
    pub(crate) may_act: bool,
    pub(crate) sink: &'c mut S,
}

/// A message to a backend server about a flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BackendMessage<'p> {
    pub(crate) kind: BackendKind,
    pub(crate) request: Option<BackendRequest>,
    pub(crate) payload: &'p [u8],
}

/// The subject of a decision record.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct DecisionSubject {
    pub(crate) flow: Option<FlowKey>,
    pub(crate) request: Option<RequestId>,
    pub(crate) service: Option<ServiceId>,
    pub(crate) backend: Option<BackendId>,
    pub(crate) peer: Option<HostId>,
    pub(crate) shard: Option<ShardId>,
    pub(crate) attempt: Option<AttemptNumber>,
    pub(crate) evidence: Option<RunEvidence>,
}

impl<S: TrafficSink> EventContext<'_, S> {
    pub(crate) fn count(&mut self, counter: Counter) {
        self.sink.emit(TrafficEffect::Count(counter));
    }

    /// Records a decision about an attempt to run the request `key` on `backend`.
    pub(crate) fn decide_attempt(
        &mut self,
        reason: DecisionReason,
        key: &RequestKey,
        backend: BackendId,
        attempt: AttemptNumber,
    ) {
        let subject = DecisionSubject {
            flow: Some(key.flow),
            request: Some(key.id),
            backend: Some(backend),
            attempt: Some(attempt),
            ..DecisionSubject::default()
        };
        self.decide(reason, subject);
    }

    pub(crate) fn decide(&mut self, reason: DecisionReason, subject: DecisionSubject) {
        let record = DecisionRecord {
            time: self.now,
            host: self.identity.host,
            version: self.snapshot.version(),
            reason,
            flow: subject.flow,
            request: subject.request,
            service: subject.service,
            backend: subject.backend,
            peer: subject.peer,
            shard: subject.shard,
            attempt: subject.attempt,
            evidence: subject.evidence,
        };
        self.sink.emit(TrafficEffect::Decide(record));
    }

    /// Whether datagrams of a flow to `service` may be sent to the address of `claim`.
    /// They may unless the version in force assigns the address to another service.
    ///
    /// Without this check, a packet of the old service would reach the new one after a
    /// server's address has moved to another service. The address table of the version in
    /// force takes precedence over every token, pin and waiting request.
    pub(crate) fn may_send(&self, service: net::SocketAddr, claim: &TokenClaim) -> bool {
        let Some(owner) = self.snapshot.server_addresses.get(&claim.address) else {
            return true;
        };
        let entry = self.snapshot.service_of(service);
        entry.is_some_and(|entry| entry.id == *owner)
    }

    /// Sends a datagram to the server of `claim`; returns `false` if it must not be sent.
    /// Every datagram to a backend server goes through this method, including those of
    /// queues, retries, cancellations and closings, so that none can bypass the address
    /// check. A host that was paused during a change of addresses sends none at all.
    #[must_use]
    pub(crate) fn send_to_backend(
        &mut self,
        claim: &TokenClaim,
        flow: FlowKey,
        message: BackendMessage<'_>,
    ) -> bool {
        if !self.may_act {
            self.count(Counter::Withheld);
            return false;
        }
        if !self.may_send(flow.service, claim) {
            self.count(Counter::ReassignedAddress);
            return false;
        }
        let datagram = BackendDatagram {
            flow,
            backend: claim.backend,
            via: self.identity.host,
            kind: message.kind,
            request: message.request,
            payload: message.payload,
        };
        let address = claim.address;
        self.sink
            .emit(TrafficEffect::ToBackend { address, datagram });
        true
    }

    pub(crate) fn reply(&mut self, flow: FlowKey, kind: CallerReplyKind<'_>) {
        let reply = CallerReply { flow, kind };
        self.sink.emit(TrafficEffect::ToCaller(reply));
    }

    /// Replies to the caller that the request, or the opening, was not run. Only the home
    /// of the flow may send this, after it has recorded the refusal.
    pub(crate) fn refuse(
        &mut self,
        flow: FlowKey,
        request: Option<RequestId>,
        reason: RefusalReason,
        retry_after: time::Duration,
    ) {
        self.count(Counter::RequestRefused);
        let subject = DecisionSubject {
            flow: Some(flow),
            request,
            ..DecisionSubject::default()
        };
        self.decide(DecisionReason::Refused, subject);
        let kind = CallerReplyKind::NotRun {
            request,
            reason,
            retry_after,
        };
        self.reply(flow, kind);
    }

    /// Replies to the caller that the outcome of its request is unknown.
    pub(crate) fn outcome_unknown(
        &mut self,
        flow: FlowKey,
        request: RequestId,
        retry_after: time::Duration,
    ) {
        self.count(Counter::OutcomeUnknown);
        let subject = DecisionSubject {
            flow: Some(flow),
            request: Some(request),
            ..DecisionSubject::default()
        };
        self.decide(DecisionReason::OutcomeUnknown, subject);
        let kind = CallerReplyKind::OutcomeUnknown {
            request,
            retry_after,
        };
        self.reply(flow, kind);
    }

    pub(crate) fn relay(&mut self, host: HostId, frame: RelayFrame<'_>) -> bool {
        let Some(entry) = self.snapshot.hosts.get(host) else {
            return false;
        };
        self.count(Counter::Relayed);
        let envelope = self.envelope(frame);
        self.sink.emit(TrafficEffect::Relay {
            host,
            address: entry.relay_address,
            envelope,
        });
        true
    }

    pub(crate) fn pass_to_thread(&mut self, thread: u16, frame: RelayFrame<'_>) {
        let envelope = self.envelope(frame);
        self.sink.emit(TrafficEffect::ToThread { thread, envelope });
    }

    fn envelope<'f>(&self, frame: RelayFrame<'f>) -> RelayEnvelope<'f> {
        RelayEnvelope {
            sender: self.identity.host,
            version: self.snapshot.version(),
            frame,
        }
    }
}
