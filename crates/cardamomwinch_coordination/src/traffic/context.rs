//! What is at hand while one event is decided.

use std::time;

use cardamomwinch_protocol::prelude::{
    CallerReply, CallerReplyKind, RefusalReason, RelayEnvelope, RelayFrame,
};
use cardamomwinch_state::prelude::{
    BackendId, FlowKey, HostId, RequestId, ServiceId, ShardId, Timestamp,
};

use crate::counter::Counter;
use crate::decision::{DecisionReason, DecisionRecord};
use crate::identity::HostIdentity;
use crate::snapshot::RoutingSnapshot;
use crate::traffic::effect::{TrafficEffect, TrafficSink};

/// The time, the snapshot and the sink of one event.
pub(crate) struct EventContext<'c, S> {
    pub(crate) now: Timestamp,
    pub(crate) identity: HostIdentity,
    pub(crate) snapshot: &'c RoutingSnapshot,
    pub(crate) sink: &'c mut S,
}

/// What a decision concerns besides its reason.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct DecisionSubject {
    pub(crate) flow: Option<FlowKey>,
    pub(crate) service: Option<ServiceId>,
    pub(crate) backend: Option<BackendId>,
    pub(crate) peer: Option<HostId>,
    pub(crate) shard: Option<ShardId>,
}

impl<S: TrafficSink> EventContext<'_, S> {
    pub(crate) fn count(&mut self, counter: Counter) {
        self.sink.emit(TrafficEffect::Count(counter));
    }

    pub(crate) fn decide(&mut self, reason: DecisionReason, subject: DecisionSubject) {
        let record = DecisionRecord {
            time: self.now,
            host: self.identity.host,
            version: self.snapshot.version(),
            reason,
            flow: subject.flow,
            service: subject.service,
            backend: subject.backend,
            peer: subject.peer,
            shard: subject.shard,
        };
        self.sink.emit(TrafficEffect::Decide(record));
    }

    pub(crate) fn reply(&mut self, flow: FlowKey, kind: CallerReplyKind<'_>) {
        let reply = CallerReply { flow, kind };
        self.sink.emit(TrafficEffect::ToCaller(reply));
    }

    /// Tells the caller that the request, or the opening, was not run. Only
    /// the home of a flow may say so, after it has recorded the refusal.
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

    /// Tells the caller that the outcome of its request is not known.
    pub(crate) fn outcome_unknown(
        &mut self,
        flow: FlowKey,
        request: RequestId,
        retry_after: time::Duration,
    ) {
        self.count(Counter::OutcomeUnknown);
        let subject = DecisionSubject {
            flow: Some(flow),
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
