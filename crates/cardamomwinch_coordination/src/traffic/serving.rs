//! What the home of a backend server does with requests that come to it: each
//! is remembered before anything is done with it, so that none runs twice where
//! it is not idempotent and each is answered once for all.

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

/// A request waits for at least this long before it is refused.
const SHORTEST_PATIENCE: time::Duration = time::Duration::from_millis(500);
/// A request is refused once it has waited this many times as long as expected.
const PATIENCE_FACTOR: u32 = 4;
/// One flow may fill this part of a queue.
const FLOW_SHARE: usize = 4;
/// Requests that open their flow may fill this part of a queue.
const OPENING_SHARE: usize = 2;
/// Slots assumed of a server that is not in the configuration any more.
const UNLISTED_SLOTS: SlotCount = SlotCount::new(2);

/// How it is known that a flow belongs to the server that its request goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerKnowledge {
    /// By its token, or by the pin of this home.
    Known,
    /// Not at all: the server is asked, and runs nothing of a flow that it does
    /// not hold.
    ///
    /// Guards against "not run" for a request that another home has run: it shows
    /// as a caller that is answered and refused at once, where its flow lives on
    /// another server than the one of the lookup table. What a server that is only
    /// asked refuses says nothing of the flow's own, so that nothing but "outcome
    /// unknown" is said.
    Asked,
}

/// What is known about a request that has just come in.
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
            return self.repeat(context, routed, claim, &arriving);
        }
        if header.deadline <= context.now {
            // Nobody waits any more, and an earlier copy may have run and been
            // forgotten since, so that nothing true can be said.
            return context.count(Counter::RequestLate);
        }
        let limits = &context.snapshot.configuration.limits;
        let lifetime = limits.request_lifetime + limits.clock_skew;
        if header.deadline > context.now.after(lifetime) {
            // A refusal is remembered by this home only: the next one could run
            // a late copy once the deadline is near enough.
            return context.outcome_unknown(arriving.key.flow, header.id, RETRY_AFTER);
        }
        if !header.idempotent && self.may_be_known_elsewhere(context, &claim, &header) {
            let retry_after = knows_after(context, arriving.shard, &header);
            return context.outcome_unknown(arriving.key.flow, header.id, retry_after);
        }
        self.retry_budgets.note_first_try(
            routed.service.id,
            context.snapshot.configuration.limits.retry_percent,
        );
        self.admit(context, routed, claim, &arriving, AttemptNumber(0));
    }

    /// Guards against a second run after the home has moved without a hand-over:
    /// the earlier home may have run the request, and what it knew is lost. A
    /// request can have been sent at most its longest lifetime before its
    /// deadline, so one whose deadline is late enough is certainly newer than
    /// this home's own records.
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

    /// Whether a home other than this one may have run the request, idempotent or
    /// not, so that "not run" must not be said.
    fn may_have_run_elsewhere<S: TrafficSink>(
        context: &EventContext<'_, S>,
        arriving: &ArrivingRequest,
    ) -> bool {
        arriving.server == ServerKnowledge::Asked
            || Self::predates_records(context, arriving.shard, &arriving.header)
    }

    /// Queues a request for its server, or refuses it where it could not be
    /// served in time.
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
            // Nothing tells when a slot of an unknown server comes free.
            None => 0,
        };
        let now = context.now;
        let ledger = self.ledgers.of(entry.id);
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
        if self.payload_is_too_much(routed) {
            context.count(Counter::TableFull);
            let reason = RefusalReason::TableFull;
            return self.refuse_attempt(context, arriving, attempt, reason, RETRY_AFTER);
        }
        let state = RequestState::Queued {
            backend: entry.id,
            attempt,
            held: held(routed, arriving.header),
        };
        if let Some(queued) = self.remember(context, arriving, state) {
            self.ledgers.of(entry.id).queue.push_back(WaitingRequest {
                entry: queued,
                not_before: now,
                give_up,
            });
            self.start_queued(context, entry);
        }
    }

    fn payload_is_too_much(&self, routed: &RoutedDatagram<'_, '_>) -> bool {
        let added = routed.datagram.payload.len();
        self.requests.held_bytes() + added > self.bounds.held_bytes
    }

    /// How many requests may wait for `entry` before one of this kind. Guards
    /// against a flood of new flows: it fills only its part of the queue, and
    /// established flows still find room.
    fn queue_room(&self, entry: &BackendEntry, kind: CallerKind) -> usize {
        let room = (entry.slots.get() * self.bounds.queue_per_slot) as usize;
        match kind {
            CallerKind::Open => room.div_ceil(OPENING_SHARE),
            CallerKind::Carry | CallerKind::Close => room,
        }
    }

    /// Remembers a request before anything is done with it; where it cannot be
    /// remembered its caller is told that the outcome is unknown, because a
    /// copy could still run after a refusal. The last quarter of the table is
    /// kept for flows that are open already.
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

    /// Opens a flow at its server where the request that came with the opening
    /// waits or was refused. Guards against a flow that its caller was told is
    /// open while the server has never heard of it: the caller's next datagram
    /// would find it unknown there, and the session would break.
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
            return self.repeat_known(context, &arriving, RETRY_AFTER);
        }
        // What holds before a request is run holds before "not run" is said.
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

    /// Refuses an attempt. Where it is not the first one, an earlier one has
    /// run: what is remembered of that stays, and "not run" is not said.
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
        // What it knew may be lost: whatever this home does not run may have run there.
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

/// How long it takes until a request like this one is certainly newer than the
/// records of this home.
fn knows_after<S: TrafficSink>(
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

/// Whether a request may wait: the queue has room, its flow does not fill the
/// queue alone, and there will be time left to serve it.
fn may_wait(
    now: Timestamp,
    ledger: &ServerLedger,
    entry: &BackendEntry,
    view: BackendView,
    room: usize,
    key: &RequestKey,
    header: &RequestHeader,
) -> bool {
    let share = room.div_ceil(FLOW_SHARE);
    let needed = ledger.expected_wait(now, entry, view) + ledger.service_times.mean();
    ledger.queue.len() < room
        && ledger.waiting_of(&key.flow) < share
        && now.after(needed) < header.deadline
}

/// When a request that starts to wait now is refused: once it has waited far
/// longer than expected, or could not be served in time any more.
pub(crate) fn give_up_time(
    now: Timestamp,
    ledger: &ServerLedger,
    entry: &BackendEntry,
    view: BackendView,
    deadline: Timestamp,
) -> Timestamp {
    let expected = ledger.expected_wait(now, entry, view);
    let patience = (expected * PATIENCE_FACTOR).max(SHORTEST_PATIENCE);
    let latest = deadline.before(ledger.service_times.mean());
    let latest = latest.min(running_slot::last_word(now, deadline));
    now.after(patience).min(latest)
}

/// Stands for a server that has left the configuration and was never known
/// here: its flows are still served, on the word of their tokens.
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

fn held(routed: &RoutedDatagram<'_, '_>, header: RequestHeader) -> HeldRequest {
    HeldRequest {
        header,
        kind: routed.datagram.kind,
        payload: routed.datagram.payload.into(),
    }
}
