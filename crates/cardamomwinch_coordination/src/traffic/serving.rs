//! What the home of a backend server does with requests: run each at most
//! once where it is not idempotent, within the server's slots, and answer each
//! once for all.

use std::time;

use cardamomwinch_protocol::backend::BackendRequest;
use cardamomwinch_protocol::prelude::{
    AttemptNumber, BackendDatagram, BackendKind, CallerKind, CallerReplyKind, RefusalReason,
    RequestHeader, TokenClaim,
};
use cardamomwinch_state::prelude::{BackendEntry, BackendId, FlowHash, ShardId, Timestamp};

use crate::counter::Counter;
use crate::decision::DecisionReason;
use crate::traffic::TrafficEngine;
use crate::traffic::caller_datagrams::{RETRY_AFTER, RoutedDatagram};
use crate::traffic::context::{DecisionSubject, EventContext};
use crate::traffic::effect::{TrafficEffect, TrafficSink};
use crate::traffic::ledger::QueueEntry;
use crate::traffic::requests::{
    HeldRequest, PartTracker, RequestKey, RequestRecord, RequestState, RunningRequest,
};
use crate::traffic::resolve;

impl TrafficEngine {
    /// Handles a request at the home of the server of `claim`.
    pub(crate) fn serve_request<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
        header: RequestHeader,
    ) {
        let key = RequestKey {
            flow: routed.datagram.flow,
            id: header.id,
        };
        let shard = resolve::shard_of(context.snapshot, &claim);
        if self.requests.get(routed.hash, &key).is_some() {
            return self.repeat(context, routed.hash, &key);
        }
        if header.deadline <= context.now {
            // Nobody waits any more, and an earlier copy may have run and been
            // forgotten since, so that nothing true can be said.
            return context.count(Counter::RequestLate);
        }
        let limits = &context.snapshot.configuration.limits;
        let furthest = context
            .now
            .after(limits.request_lifetime + limits.clock_skew);
        if header.deadline > furthest {
            return self.refuse_request(context, routed, shard, RefusalReason::Deadline);
        }
        if !header.idempotent && self.may_be_known_elsewhere(context, &claim, &header) {
            return context.outcome_unknown(key.flow, key.id, RETRY_AFTER);
        }
        self.admit(context, routed, claim, header);
    }

    /// Guards against a second run after the home has moved without a hand-over:
    /// the earlier home may have run the request, and what it knew is lost. A
    /// request can have been sent at most its longest lifetime before its
    /// deadline, so one whose deadline is late enough is certainly newer than
    /// this home's own records.
    fn may_be_known_elsewhere<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        claim: &TokenClaim,
        header: &RequestHeader,
    ) -> bool {
        let shard = resolve::shard_of(context.snapshot, claim);
        let Some(lease) = context.snapshot.lease_at(shard, context.now) else {
            return true;
        };
        let lifetime = context.snapshot.configuration.limits.request_lifetime;
        header.deadline.before(lifetime) < lease.records_since
    }

    fn admit<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
        header: RequestHeader,
    ) {
        let Some(entry) = context.snapshot.backend(claim.backend) else {
            return self.admit_unlisted(context, routed, claim, header);
        };
        let ledger = self.ledgers.of(entry.id);
        let free = ledger.has_free_slot(entry);
        let wait = ledger.expected_wait(entry);
        let room = ledger.has_queue_room(entry, self.bounds.queue_per_slot);
        let may_wait = room && context.now.after(wait) < header.deadline;
        if !free && !may_wait {
            let shard = context.snapshot.shard_of(entry);
            return self.refuse_request(context, routed, shard, RefusalReason::Full);
        }
        let state = RequestState::Queued {
            backend: entry.id,
            attempt: AttemptNumber(0),
            held: held(routed, header),
        };
        let shard = context.snapshot.shard_of(entry);
        let Some(entry_in_queue) = self.remember(context, routed, shard, header, state) else {
            return;
        };
        self.ledgers.of(entry.id).queue.push_back(entry_in_queue);
        self.start_queued(context, entry);
    }

    /// Serves a flow whose server has left the configuration: its slots are
    /// not known any more, so its requests are not queued.
    fn admit_unlisted<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
        header: RequestHeader,
    ) {
        let shard = resolve::shard_of(context.snapshot, &claim);
        if !Self::may_reach(context, routed, &claim) {
            return self.refuse_request(context, routed, shard, RefusalReason::NoBackend);
        }
        let state = RequestState::Queued {
            backend: claim.backend,
            attempt: AttemptNumber(0),
            held: held(routed, header),
        };
        if let Some(queued) = self.remember(context, routed, shard, header, state) {
            self.dispatch(context, &claim, queued);
        }
    }

    fn remember<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        shard: ShardId,
        header: RequestHeader,
        state: RequestState,
    ) -> Option<QueueEntry> {
        let key = RequestKey {
            flow: routed.datagram.flow,
            id: header.id,
        };
        let skew = context.snapshot.configuration.limits.clock_skew;
        let record = RequestRecord {
            shard,
            expires: header.deadline.after(skew),
            idempotent: header.idempotent,
            state,
        };
        if self.requests.insert(routed.hash, key, record).is_err() {
            // Without a record a copy could run after a refusal, so that "not
            // run" could not be promised.
            context.count(Counter::TableFull);
            context.outcome_unknown(key.flow, key.id, RETRY_AFTER);
            return None;
        }
        let hash = routed.hash;
        Some(QueueEntry { hash, key })
    }

    /// Refuses the request of a datagram for good, or the opening where it
    /// carries none.
    pub(crate) fn refuse_request<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        shard: ShardId,
        reason: RefusalReason,
    ) {
        let flow = routed.datagram.flow;
        let Some(header) = routed.datagram.request else {
            return context.refuse(flow, None, reason, RETRY_AFTER);
        };
        let key = RequestKey {
            flow,
            id: header.id,
        };
        if self.requests.get(routed.hash, &key).is_some() {
            return self.repeat(context, routed.hash, &key);
        }
        let state = RequestState::Refused { reason };
        if self
            .remember(context, routed, shard, header, state)
            .is_some()
        {
            context.refuse(flow, Some(header.id), reason, RETRY_AFTER);
        }
    }

    /// Sends waiting requests of `entry` while slots are free. Guards against a
    /// home that acts after its time: an answer or a tick may free a slot long
    /// after the requests came in, when the lease has run out or the shard is
    /// being handed over; then they stay where they are.
    pub(crate) fn start_queued<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        entry: &BackendEntry,
    ) {
        if !self.is_home_of(context, entry) {
            return;
        }
        loop {
            let ledger = self.ledgers.of(entry.id);
            if !ledger.has_free_slot(entry) {
                return;
            }
            let Some(queued) = ledger.queue.pop_front() else {
                return;
            };
            if self.dispatch(context, &TokenClaim::from(entry), queued) {
                self.ledgers.of(entry.id).busy += 1;
            }
        }
    }

    /// Sends a waiting request to its server; `false` where it waits no more.
    fn dispatch<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        claim: &TokenClaim,
        queued: QueueEntry,
    ) -> bool {
        let Some(record) = self.requests.get_mut(queued.hash, &queued.key) else {
            return false;
        };
        let taken = std::mem::replace(&mut record.state, RequestState::Unknown);
        let RequestState::Queued { attempt, held, .. } = taken else {
            record.state = taken;
            return false;
        };
        let start_before = start_before(context, claim, &held, record.idempotent);
        let request = BackendRequest {
            id: held.header.id,
            attempt,
            start_before,
            deadline: held.header.deadline,
        };
        let kind = match held.kind {
            CallerKind::Open => BackendKind::Open,
            CallerKind::Carry | CallerKind::Close => BackendKind::Carry,
        };
        context.sink.emit(TrafficEffect::ToBackend {
            address: claim.address,
            datagram: BackendDatagram {
                flow: queued.key.flow,
                backend: claim.backend,
                via: context.identity.host,
                kind,
                request: Some(request),
                payload: &held.payload,
            },
        });
        context.count(match attempt {
            AttemptNumber(0) => Counter::RequestDispatched,
            AttemptNumber(_) => Counter::RequestRetried,
        });
        record.state = RequestState::Running(Box::new(RunningRequest {
            backend: claim.backend,
            attempt,
            sent: context.now,
            held,
            tracker: PartTracker::default(),
            kept: Vec::new(),
            complete: true,
        }));
        true
    }

    /// Handles a copy of a request that is remembered.
    fn repeat<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        hash: FlowHash,
        key: &RequestKey,
    ) {
        context.count(Counter::RequestDuplicate);
        let subject = DecisionSubject {
            flow: Some(key.flow),
            ..DecisionSubject::default()
        };
        context.decide(DecisionReason::Duplicate, subject);
        let Some(record) = self.requests.get(hash, key) else {
            return;
        };
        match &record.state {
            RequestState::Queued { .. } => {}
            RequestState::Running(running) => {
                for kept in &running.kept {
                    let (attempt, part) = (running.attempt, kept.part);
                    let payload = &kept.payload;
                    context.reply(key.flow, answer(key, attempt, part, payload));
                }
            }
            RequestState::Answered {
                attempt,
                kept: Some(parts),
            } => {
                for kept in parts {
                    context.reply(key.flow, answer(key, *attempt, kept.part, &kept.payload));
                }
            }
            RequestState::Refused { reason } => {
                context.refuse(key.flow, Some(key.id), *reason, RETRY_AFTER);
            }
            RequestState::Answered { kept: None, .. } | RequestState::Unknown => {
                context.outcome_unknown(key.flow, key.id, RETRY_AFTER);
            }
        }
    }

    /// Frees the slot of a request that has finished on `backend`.
    pub(crate) fn release_slot<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        backend: BackendId,
    ) {
        let ledger = self.ledgers.of(backend);
        ledger.busy = ledger.busy.saturating_sub(1);
        if let Some(entry) = context.snapshot.backend(backend) {
            self.start_queued(context, entry);
        }
    }
}

/// The point from which the server must not begin the request any more. For a
/// request that must not run twice it lies within this home's lease, so that a
/// datagram that is held up on its way cannot run beside the next home's.
fn start_before<S: TrafficSink>(
    context: &EventContext<'_, S>,
    claim: &TokenClaim,
    held: &HeldRequest,
    idempotent: bool,
) -> Timestamp {
    let shard = resolve::shard_of(context.snapshot, claim);
    let lease = context.snapshot.lease_at(shard, context.now);
    match lease {
        Some(lease) if !idempotent => held.header.deadline.min(lease.held_until),
        _ => held.header.deadline,
    }
}

fn held(routed: &RoutedDatagram<'_, '_>, header: RequestHeader) -> HeldRequest {
    HeldRequest {
        header,
        kind: routed.datagram.kind,
        payload: routed.datagram.payload.into(),
    }
}

pub(crate) fn answer<'p>(
    key: &RequestKey,
    attempt: AttemptNumber,
    part: cardamomwinch_protocol::prelude::PartNumber,
    payload: &'p [u8],
) -> CallerReplyKind<'p> {
    CallerReplyKind::Answer {
        request: key.id,
        attempt,
        part,
        payload,
    }
}

/// The time since `sent`, as the service time of a request.
pub(crate) fn service_time(now: Timestamp, sent: Timestamp) -> time::Duration {
    now.since(sent)
}
