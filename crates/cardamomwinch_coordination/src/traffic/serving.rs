//! Handles requests at the home of their backend server. Each request is remembered before
//! anything is done with it, so that no request runs twice unless it is idempotent, and
//! every copy gets the same reply.

use std::time;

use cardamomwinch_protocol::prelude::{
    AttemptNumber, BackendKind, CallerDatagram, CallerKind, RefusalReason, RequestHeader,
    TokenClaim,
};
use cardamomwinch_state::prelude::{
    BackendEntry, BackendPhase, ConnectionCount, FlowHash, RequestId, ShardId, SlotCount,
    Timestamp, Weight,
};

use crate::counter::Counter;
use crate::snapshot::BackendView;
use crate::traffic::TrafficEngine;
use crate::traffic::caller_datagrams::{self, RETRY_AFTER, RoutedDatagram};
use crate::traffic::context::EventContext;
use crate::traffic::effect::TrafficSink;
use crate::traffic::ledger::{QueueEntry, ServerLedger, WaitingRequest};
use crate::traffic::requests::{HeldRequest, RequestKey, RequestRecord, RequestState};
use crate::traffic::{resolve, running_slot};

/// A request waits at least this long before it is refused.
const MIN_QUEUE_WAIT: time::Duration = time::Duration::from_millis(500);
/// A request is refused once it has waited this many times as long as expected.
const QUEUE_WAIT_FACTOR: u32 = 4;
/// One flow may fill the queue up to its capacity divided by this number.
const FLOW_QUEUE_DIVISOR: usize = 4;
/// Requests in openings may fill the queue up to its capacity divided by this number.
const OPENING_QUEUE_DIVISOR: usize = 2;
/// Slots assumed for a server that is no longer in the configuration.
const UNLISTED_SLOTS: SlotCount = SlotCount::new(2);

/// Whether a flow is known to belong to the server to which its request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerKnowledge {
    /// Known by its token or by the pin of this home.
    Known,
    /// Unknown: the server is asked, and runs no request of a flow that it does not hold.
    ///
    /// If the flow is on another server than the one that the lookup table selects,
    /// another home may have run the request. Its caller would get an answer and "not run"
    /// for the same request. A refusal by a server that was only asked says nothing about
    /// the flow's own server, so the only reply is "outcome unknown".
    Asked,
}

/// A request that has just arrived.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ArrivingRequest {
    pub(crate) key: RequestKey,
    pub(crate) hash: FlowHash,
    pub(crate) shard: ShardId,
    pub(crate) header: RequestHeader,
    pub(crate) kind: CallerKind,
    pub(crate) server: ServerKnowledge,
}

impl TrafficEngine {
    /// Handles a request at the home of the server of `claim`.
    pub(crate) fn serve_request<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
        header: RequestHeader,
        server: ServerKnowledge,
    ) {
        let arriving = arriving(context, routed, &claim, header, server);
        if self.requests.get(routed.hash, &arriving.key).is_some() {
            return self.handle_duplicate(context, routed, claim, &arriving);
        }
        if header.deadline <= context.now {
            // Nobody waits any longer, and an earlier copy may have run and been forgotten
            // since, so no correct reply is possible.
            return context.count(Counter::RequestLate);
        }
        let limits = &context.snapshot.configuration.limits;
        let lifetime = limits.request_lifetime + limits.clock_skew;
        if header.deadline > context.now.after(lifetime) {
            // Only this home would remember a refusal. The next home could run a late copy
            // once the deadline is near enough.
            return context.outcome_unknown(arriving.key.flow, header.id, RETRY_AFTER);
        }
        if !header.idempotent && self.may_be_known_elsewhere(context, &claim, &header) {
            let retry_after = wait_for_own_records(context, arriving.shard, &header);
            return context.outcome_unknown(arriving.key.flow, header.id, retry_after);
        }
        self.retry_budgets.note_first_try(
            routed.service.id,
            context.snapshot.configuration.limits.retry_percent,
        );
        self.admit(context, routed, claim, &arriving, AttemptNumber(0));
    }

    /// Whether an earlier home may have run the request. Guards against a second run after
    /// the home has moved without a hand-over, when the records of the earlier home are
    /// lost. A request cannot have been sent earlier than the maximum request lifetime
    /// before its deadline, so a request whose deadline is late enough is certainly newer
    /// than the start of this home's records.
    pub(crate) fn may_be_known_elsewhere<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        claim: &TokenClaim,
        header: &RequestHeader,
    ) -> bool {
        let shard = resolve::shard_of(context.snapshot, claim);
        Self::predates_records(context, shard, header)
    }

    fn predates_records<S: TrafficSink>(
        context: &EventContext<'_, S>,
        shard: ShardId,
        header: &RequestHeader,
    ) -> bool {
        let Some(lease) = context.snapshot.lease_at(shard, context.now) else {
            return true;
        };
        let lifetime = context.snapshot.configuration.limits.request_lifetime;
        header.deadline.before(lifetime) < lease.records_since
    }

    /// Whether another home may have run the request, idempotent or not, so that the reply
    /// must not be "not run".
    fn may_have_run_elsewhere<S: TrafficSink>(
        context: &EventContext<'_, S>,
        arriving: &ArrivingRequest,
    ) -> bool {
        arriving.server == ServerKnowledge::Asked
            || Self::predates_records(context, arriving.shard, &arriving.header)
    }

    /// Queues a request for its server, or refuses it if it could not be served in time.
    pub(crate) fn admit<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
        arriving: &ArrivingRequest,
        attempt: AttemptNumber,
    ) {
        if !context.may_send(routed.datagram.flow.service, &claim) {
            let reason = RefusalReason::NoBackend;
            return self.refuse_attempt(context, arriving, attempt, reason, RETRY_AFTER);
        }
        let listed = context.snapshot.backend(claim.backend);
        let unlisted = listed.is_none().then(|| unlisted_server(routed, &claim));
        let Some(entry) = listed.or(unlisted.as_ref()) else {
            return;
        };
        let view = context.snapshot.view(entry.id);
        let hash = routed.hash;
        let room = match listed {
            Some(entry) => self.queue_room(entry, routed.datagram.kind),
            // It is not known when a slot of an unlisted server becomes free.
            None => 0,
        };
        let now = context.now;
        let ledger = self.ledgers.get_or_create(entry.id);
        let free = ledger.queue.is_empty() && ledger.has_free_slot(now, entry, view);
        if !free
            && !may_wait(
                now,
                ledger,
                entry,
                view,
                room,
                &arriving.key,
                &arriving.header,
            )
        {
            let retry_after = ledger.retry_after(now, entry, view, hash);
            let reason = RefusalReason::Full;
            return self.refuse_attempt(context, arriving, attempt, reason, retry_after);
        }
        let give_up = give_up_time(now, ledger, entry, view, arriving.header.deadline);
        if self.exceeds_held_bytes(routed) {
            context.count(Counter::TableFull);
            let reason = RefusalReason::TableFull;
            return self.refuse_attempt(context, arriving, attempt, reason, RETRY_AFTER);
        }
        let state = RequestState::Queued {
            backend: entry.id,
            attempt,
            held: held_request(routed, arriving.header),
        };
        if let Some(queued) = self.remember(context, arriving, state) {
            self.ledgers
                .get_or_create(entry.id)
                .queue
                .push_back(WaitingRequest {
                    entry: queued,
                    not_before: now,
                    give_up_at: give_up,
                });
            self.start_queued(context, entry);
        }
    }

    fn exceeds_held_bytes(&self, routed: &RoutedDatagram<'_, '_>) -> bool {
        let added = routed.datagram.payload.len();
        self.requests.held_bytes() + added > self.bounds.held_bytes
    }

    /// The number of requests that may wait for `entry` when one of this kind is queued. A
    /// flood of new flows fills only a part of the queue, so that established flows still
    /// find room.
    fn queue_room(&self, entry: &BackendEntry, kind: CallerKind) -> usize {
        let room = (entry.slots.get() * self.bounds.queue_per_slot) as usize;
        match kind {
            CallerKind::Open => room.div_ceil(OPENING_QUEUE_DIVISOR),
            CallerKind::Carry | CallerKind::Close => room,
        }
    }

    /// Remembers a request before anything is done with it. If the table has no room, the
    /// reply is "outcome unknown", because a copy could still run after a refusal. The
    /// last quarter of the table is reserved for flows that are already open.
    fn remember<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        arriving: &ArrivingRequest,
        state: RequestState,
    ) -> Option<QueueEntry> {
        let ArrivingRequest {
            key, hash, header, ..
        } = *arriving;
        let skew = context.snapshot.configuration.limits.clock_skew;
        let elsewhere = Self::may_have_run_elsewhere(context, arriving);
        let record = RequestRecord {
            shard: arriving.shard,
            expires: header.deadline.after(skew),
            idempotent: header.idempotent,
            may_have_run: elsewhere || state.may_have_run_before(),
            state,
        };
        let limit = self.requests.limit();
        let opens = arriving.kind == CallerKind::Open;
        let reserved = opens && self.requests.len() >= limit - limit / 4;
        if reserved || self.requests.insert(hash, key, record).is_err() {
            context.count(Counter::TableFull);
            context.outcome_unknown(key.flow, key.id, RETRY_AFTER);
            return None;
        }
        Some(QueueEntry { hash, key })
    }

    /// Opens a flow at its server if the request in the opening waits or was refused.
    /// Without this, the caller would consider the flow open while the server does not
    /// know it; the caller's next datagram would reach an unknown flow, and the session
    /// would break.
    pub(crate) fn open_without_request<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: &TokenClaim,
        request: RequestId,
    ) {
        let key = RequestKey {
            flow: routed.datagram.flow,
            id: request,
        };
        let record = self.requests.get(routed.hash, &key);
        let reaches_server = record.is_some_and(|record| {
            !matches!(
                record.state,
                RequestState::Queued { .. } | RequestState::Refused { .. }
            )
        });
        if !reaches_server {
            let bare = CallerDatagram {
                payload: &[],
                ..*routed.datagram
            };
            caller_datagrams::forward(context, &bare, claim, BackendKind::Open);
        }
    }

    /// Permanently refuses the request of a datagram, or the opening if it has no request.
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
        let arriving = ArrivingRequest {
            key: RequestKey {
                flow,
                id: header.id,
            },
            hash: routed.hash,
            shard,
            header,
            kind: routed.datagram.kind,
            server: ServerKnowledge::Known,
        };
        if self.requests.get(routed.hash, &arriving.key).is_some() {
            return self.resend_outcome(context, arriving.hash, arriving.key, RETRY_AFTER);
        }
        // The checks before a request runs also apply before the reply "not run".
        if header.deadline <= context.now {
            return context.count(Counter::RequestLate);
        }
        let limits = &context.snapshot.configuration.limits;
        let lifetime = limits.request_lifetime + limits.clock_skew;
        if header.deadline > context.now.after(lifetime) {
            return context.outcome_unknown(flow, header.id, RETRY_AFTER);
        }
        self.refuse_arriving(context, &arriving, reason, RETRY_AFTER);
    }

    /// Refuses an attempt. If it is not the first one, an earlier attempt has run: its
    /// record stays, and the reply is not "not run".
    fn refuse_attempt<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        arriving: &ArrivingRequest,
        attempt: AttemptNumber,
        reason: RefusalReason,
        retry_after: time::Duration,
    ) {
        match attempt {
            AttemptNumber(0) => self.refuse_arriving(context, arriving, reason, retry_after),
            AttemptNumber(_) => {
                let ArrivingRequest { key, .. } = arriving;
                context.outcome_unknown(key.flow, key.id, retry_after);
            }
        }
    }

    fn refuse_arriving<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        arriving: &ArrivingRequest,
        reason: RefusalReason,
        retry_after: time::Duration,
    ) {
        // The records of an earlier home may be lost, and it may have run any request that
        // this home does not run.
        if Self::may_have_run_elsewhere(context, arriving) {
            let ArrivingRequest { key, .. } = arriving;
            return context.outcome_unknown(key.flow, key.id, retry_after);
        }
        let state = RequestState::Refused { reason };
        if self.remember(context, arriving, state).is_some() {
            let ArrivingRequest { key, .. } = arriving;
            context.refuse(key.flow, Some(key.id), reason, retry_after);
        }
    }
}

fn arriving<S: TrafficSink>(
    context: &EventContext<'_, S>,
    routed: &RoutedDatagram<'_, '_>,
    claim: &TokenClaim,
    header: RequestHeader,
    server: ServerKnowledge,
) -> ArrivingRequest {
    ArrivingRequest {
        key: RequestKey {
            flow: routed.datagram.flow,
            id: header.id,
        },
        hash: routed.hash,
        shard: resolve::shard_of(context.snapshot, claim),
        header,
        kind: routed.datagram.kind,
        server,
    }
}

/// How long a caller must wait until a request like this one is certainly newer than the
/// start of this home's records.
fn wait_for_own_records<S: TrafficSink>(
    context: &EventContext<'_, S>,
    shard: ShardId,
    header: &RequestHeader,
) -> time::Duration {
    let lifetime = context.snapshot.configuration.limits.request_lifetime;
    let lease = context.snapshot.lease_at(shard, context.now);
    let since = lease.map_or(Timestamp::ZERO, |lease| lease.records_since);
    since
        .since(header.deadline.before(lifetime))
        .max(RETRY_AFTER)
}

/// Whether a request may wait: the queue has room, its flow has not used up its share of
/// the queue, and there will be time left to serve it.
fn may_wait(
    now: Timestamp,
    ledger: &ServerLedger,
    entry: &BackendEntry,
    view: BackendView,
    room: usize,
    key: &RequestKey,
    header: &RequestHeader,
) -> bool {
    let share = room.div_ceil(FLOW_QUEUE_DIVISOR);
    let needed = ledger.expected_wait(now, entry, view) + ledger.service_times.mean();
    ledger.queue.len() < room
        && ledger.waiting_in_flow(&key.flow) < share
        && now.after(needed) < header.deadline
}

/// When a request that starts to wait now is refused: after it has waited much longer than
/// expected, or when it could no longer be served in time.
pub(crate) fn give_up_time(
    now: Timestamp,
    ledger: &ServerLedger,
    entry: &BackendEntry,
    view: BackendView,
    deadline: Timestamp,
) -> Timestamp {
    let expected = ledger.expected_wait(now, entry, view);
    let max_wait = (expected * QUEUE_WAIT_FACTOR).max(MIN_QUEUE_WAIT);
    let latest = deadline.before(ledger.service_times.mean());
    let latest = latest.min(running_slot::final_reply_due(now, deadline));
    now.after(max_wait).min(latest)
}

/// A placeholder for a server that was removed from the configuration and was never known
/// here. Its flows are still served, because their tokens name it.
fn unlisted_server(routed: &RoutedDatagram<'_, '_>, claim: &TokenClaim) -> BackendEntry {
    BackendEntry {
        id: claim.backend,
        name: claim.backend.to_string(),
        service: routed.service.id,
        domain: claim.domain,
        address: claim.address,
        slots: UNLISTED_SLOTS,
        connections: ConnectionCount::MAX,
        weight: Weight::ZERO,
        phase: BackendPhase::Draining,
    }
}

fn held_request(routed: &RoutedDatagram<'_, '_>, header: RequestHeader) -> HeldRequest {
    HeldRequest {
        header,
        kind: routed.datagram.kind,
        payload: routed.datagram.payload.into(),
    }
}
