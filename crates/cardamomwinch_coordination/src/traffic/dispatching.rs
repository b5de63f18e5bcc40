//! Sends waiting requests to their backend server while the server has free slots and this
//! home holds the lease.

use cardamomwinch_protocol::backend::BackendRequest;
use cardamomwinch_protocol::prelude::{
    AttemptNumber, BackendKind, CallerKind, RefusalReason, TokenClaim,
};
use cardamomwinch_state::prelude::{BackendEntry, BackendId, ShardId, Timestamp};

use crate::counter::Counter;
use crate::decision::DecisionReason;
use crate::traffic::TrafficEngine;
use crate::traffic::caller_datagrams::RETRY_AFTER;
use crate::traffic::context::{BackendMessage, EventContext};
use crate::traffic::effect::TrafficSink;
use crate::traffic::ledger::QueueEntry;
use crate::traffic::requests::{
    HeldRequest, PartTracker, RequestKey, RequestState, RunningRequest,
};
use crate::traffic::resolve;

impl TrafficEngine {
    /// Whether this thread may send requests to the servers of `shard`. An answer or a
    /// tick may free a slot long after the requests arrived, when the lease has expired,
    /// the process was paused or the shard is being handed over. By then the next home may
    /// be running them.
    pub(crate) fn may_dispatch<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        shard: ShardId,
    ) -> bool {
        self.place.owns(shard)
            && context.snapshot.lease_at(shard, context.now).is_some()
            && !self.frozen.is_frozen(shard, context.now)
            && self.may_act(context.now, context.snapshot)
    }

    /// Sends waiting requests of `entry` while slots are free.
    pub(crate) fn start_queued<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        entry: &BackendEntry,
    ) {
        let shard = context.snapshot.shard_of(entry);
        if !self.may_dispatch(context, shard) {
            return;
        }
        let view = context.snapshot.view(entry.id);
        let now = context.now;
        loop {
            let ledger = self.ledgers.get_or_create(entry.id);
            if !ledger.has_free_slot(now, entry, view) {
                return;
            }
            let Some(waiting) = ledger.next_waiting(now) else {
                return;
            };
            self.dispatch(context, &TokenClaim::from(entry), waiting.entry);
        }
    }

    /// Sends a waiting request to its server, unless it is no longer waiting.
    fn dispatch<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        claim: &TokenClaim,
        queued: QueueEntry,
    ) {
        if !context.may_send(queued.key.flow.service, claim) {
            // The address was given to another service while the request waited.
            context.count(Counter::ReassignedAddress);
            return self.refuse_remembered(context, queued, RefusalReason::NoBackend, RETRY_AFTER);
        }
        let now = context.now;
        let started = self.requests.change(queued.hash, &queued.key, |record| {
            let RequestState::Queued { attempt, held, .. } = &mut record.state else {
                return None;
            };
            let attempt = *attempt;
            let empty = HeldRequest {
                header: held.header,
                kind: held.kind,
                payload: Box::default(),
            };
            let held = std::mem::replace(held, empty);
            let start_before = start_before(context, claim, &held, record.idempotent);
            send(context, claim, &queued.key, attempt, start_before, &held);
            let deadline = held.header.deadline;
            record.state = RequestState::Running(Box::new(RunningRequest {
                backend: claim.backend,
                attempt,
                sent: now,
                held,
                tracker: PartTracker::default(),
                kept: Vec::new(),
                complete: true,
                given_up: false,
            }));
            Some((attempt, deadline))
        });
        let Some((attempt, deadline)) = started.flatten() else {
            return;
        };
        let reason = DecisionReason::Dispatched;
        context.decide_attempt(reason, &queued.key, claim.backend, attempt);
        context.count(match attempt {
            AttemptNumber(0) => Counter::RequestDispatched,
            AttemptNumber(_) => Counter::RequestRetried,
        });
        let ledger = self.ledgers.get_or_create(claim.backend);
        ledger.start(now, queued, now, deadline);
    }

    /// Sends waiting requests to `backend` after a slot has become free.
    pub(crate) fn start_next<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        backend: BackendId,
    ) {
        if let Some(entry) = context.snapshot.backend(backend) {
            self.start_queued(context, entry);
        }
    }
}

fn send<S: TrafficSink>(
    context: &mut EventContext<'_, S>,
    claim: &TokenClaim,
    key: &RequestKey,
    attempt: AttemptNumber,
    start_before: Timestamp,
    held: &HeldRequest,
) {
    let kind = match held.kind {
        CallerKind::Open => BackendKind::Open,
        CallerKind::Carry | CallerKind::Close => BackendKind::Carry,
    };
    let message = BackendMessage {
        kind,
        request: Some(BackendRequest {
            id: key.id,
            attempt,
            start_before,
            deadline: held.header.deadline,
        }),
        payload: &held.payload,
    };
    // `dispatch` has checked that it may be sent before it marked the request as running.
    let _sent = context.send_to_backend(claim, key.flow, message);
}

/// The time after which the server must no longer start the request. For a request that
/// must not run twice it lies within this home's lease, so that a delayed datagram cannot
/// run in addition to the next home's.
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

/// Notifies the server that no caller waits for the answer any longer.
pub(crate) fn cancel<S: TrafficSink>(
    context: &mut EventContext<'_, S>,
    key: &RequestKey,
    backend: BackendId,
    attempt: AttemptNumber,
    deadline: Timestamp,
) {
    let Some(entry) = context.snapshot.backend(backend) else {
        return;
    };
    let message = BackendMessage {
        kind: BackendKind::Cancel,
        request: Some(BackendRequest {
            id: key.id,
            attempt,
            start_before: deadline,
            deadline,
        }),
        payload: &[],
    };
    // Nobody waits for the outcome, so a cancellation that may not be sent is dropped.
    let _sent = context.send_to_backend(&TokenClaim::from(entry), key.flow, message);
}
