//! What the home of a backend server does with requests that come to it: each
//! is remembered before anything is done with it, so that none runs twice where
//! it is not idempotent and each is answered once for all.

use std::time;

use cardamomwinch_protocol::prelude::{
    AttemptNumber, BackendKind, CallerDatagram, CallerKind, CallerReplyKind, PartNumber,
    RefusalReason, RequestHeader, TokenClaim,
};
use cardamomwinch_state::prelude::{
    BackendEntry, BackendId, BackendPhase, ConnectionCount, FlowHash, RequestId, ShardId,
    SlotCount, Timestamp, Weight,
};

use crate::counter::Counter;
use crate::decision::DecisionReason;
use crate::snapshot::BackendView;
use crate::traffic::TrafficEngine;
use crate::traffic::caller_datagrams::{self, RETRY_AFTER, RoutedDatagram};
use crate::traffic::context::{DecisionSubject, EventContext};
use crate::traffic::effect::TrafficSink;
use crate::traffic::ledger::{QueueEntry, ServerLedger, WaitingRequest};
use crate::traffic::requests::{HeldRequest, RequestKey, RequestRecord, RequestState};
use crate::traffic::resolve;

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

/// What is known about a request that has just come in.
#[derive(Debug, Clone, Copy)]
struct ArrivingRequest {
    key: RequestKey,
    hash: FlowHash,
    shard: ShardId,
    header: RequestHeader,
    kind: CallerKind,
}

impl TrafficEngine {
    /// Handles a request at the home of the server of `claim`.
    pub(crate) fn serve_request<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
        header: RequestHeader,
    ) {
        let arriving = arriving(context, routed, &claim, header);
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
        if header.deadline > context.now.after(lifetime * 2) {
            // Guards against records that stay for years: a refusal has to be
            // remembered until the deadline, and a caller that sets absurd ones
            // would fill the table. Without a record nothing can be promised.
            return context.outcome_unknown(arriving.key.flow, header.id, RETRY_AFTER);
        }
        if header.deadline > context.now.after(lifetime) {
            return self.refuse_request(context, routed, arriving.shard, RefusalReason::Deadline);
        }
        if !header.idempotent && self.may_be_known_elsewhere(context, &claim, &header) {
            return context.outcome_unknown(arriving.key.flow, header.id, RETRY_AFTER);
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

    /// Queues a request for its server, or refuses it where it could not be
    /// served in time.
    fn admit<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
        arriving: &ArrivingRequest,
        attempt: AttemptNumber,
    ) {
        if !Self::may_reach(context, routed, &claim) {
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
        let record = RequestRecord {
            shard: arriving.shard,
            expires: header.deadline.after(skew),
            idempotent: header.idempotent,
            may_have_run: state.may_have_run_before(),
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
        };
        if self.requests.get(routed.hash, &arriving.key).is_some() {
            return self.repeat_known(context, &arriving, RETRY_AFTER);
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
        let state = RequestState::Refused { reason };
        if self.remember(context, arriving, state).is_some() {
            let ArrivingRequest { key, .. } = arriving;
            context.refuse(key.flow, Some(key.id), reason, retry_after);
        }
    }

    /// Handles a copy of a request that is remembered. An idempotent one whose
    /// answer was not kept may run again, as an attempt of its own, so that the
    /// parts of two runs are never mixed.
    fn repeat<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
        arriving: &ArrivingRequest,
    ) {
        let record = self.requests.get(arriving.hash, &arriving.key);
        let attempt = record.and_then(|record| match record.state {
            RequestState::Answered {
                attempt,
                kept: None,
            } if record.idempotent => attempt.0.checked_add(1),
            _ => None,
        });
        let percent = context.snapshot.configuration.limits.retry_percent;
        let in_time = arriving.header.deadline > context.now;
        match attempt {
            Some(attempt) if in_time && self.retry_budgets.take(routed.service.id, percent) => {
                self.admit(context, routed, claim, arriving, AttemptNumber(attempt));
            }
            _ => {
                let retry_after = self.retry_after(context, claim.backend, arriving.hash);
                self.repeat_known(context, arriving, retry_after);
            }
        }
    }

    /// When a caller whose request `backend` cannot take now should come back.
    pub(crate) fn retry_after<S: TrafficSink>(
        &mut self,
        context: &EventContext<'_, S>,
        backend: BackendId,
        hash: FlowHash,
    ) -> time::Duration {
        let Some(entry) = context.snapshot.backend(backend) else {
            return RETRY_AFTER;
        };
        let view = context.snapshot.view(backend);
        let ledger = self.ledgers.of(backend);
        ledger.retry_after(context.now, entry, view, hash)
    }

    fn repeat_known<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        arriving: &ArrivingRequest,
        retry_after: time::Duration,
    ) {
        let key = arriving.key;
        context.count(Counter::RequestDuplicate);
        let subject = DecisionSubject {
            flow: Some(key.flow),
            ..DecisionSubject::default()
        };
        context.decide(DecisionReason::Duplicate, subject);
        let Some(record) = self.requests.get(arriving.hash, &key) else {
            return;
        };
        match &record.state {
            RequestState::Queued { .. } => {}
            RequestState::Running(running) => {
                for kept in &running.kept {
                    let (attempt, part) = (running.attempt, kept.part);
                    context.reply(key.flow, answer(&key, attempt, part, &kept.payload));
                }
            }
            RequestState::Answered {
                attempt,
                kept: Some(parts),
            } => {
                for kept in parts {
                    context.reply(key.flow, answer(&key, *attempt, kept.part, &kept.payload));
                }
            }
            RequestState::Refused { reason } => {
                context.refuse(key.flow, Some(key.id), *reason, retry_after);
            }
            RequestState::Answered { kept: None, .. } | RequestState::Unknown => {
                context.outcome_unknown(key.flow, key.id, retry_after);
            }
        }
    }
}

fn arriving<S: TrafficSink>(
    context: &EventContext<'_, S>,
    routed: &RoutedDatagram<'_, '_>,
    claim: &TokenClaim,
    header: RequestHeader,
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
    }
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

pub(crate) fn answer<'p>(
    key: &RequestKey,
    attempt: AttemptNumber,
    part: PartNumber,
    payload: &'p [u8],
) -> CallerReplyKind<'p> {
    CallerReplyKind::Answer {
        request: key.id,
        attempt,
        part,
        payload,
    }
}
