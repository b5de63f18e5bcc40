//! Reviews waiting and running requests at each tick. The caller of a request gets the
//! final reply as soon as the home gives the request up.

use std::time;

use cardamomwinch_protocol::prelude::{
    AttemptNumber, CallerDatagram, RefusalReason, RelayFrame, TokenClaim,
};
use cardamomwinch_state::prelude::{BackendId, FlowKey, ShardId};

use crate::counter::Counter;
use crate::decision::{DecisionReason, RunEvidence};
use crate::traffic::TrafficEngine;
use crate::traffic::caller_datagrams::RETRY_AFTER;
use crate::traffic::context::{DecisionSubject, EventContext};
use crate::traffic::dispatching;
use crate::traffic::effect::TrafficSink;
use crate::traffic::ledger::{QueueEntry, ServerLedger, WaitingRequest};
use crate::traffic::requests::{HeldRequest, RequestState};
use crate::traffic::running_slot::{GivenUpRun, RunningSlot};

/// A request is sent to its server at most this many times.
const ATTEMPT_LIMIT: u8 = 4;
/// A request that has less time than this left is not sent again.
const MIN_TIME_LEFT: time::Duration = time::Duration::from_millis(10);

impl TrafficEngine {
    /// Reviews all requests that wait or run.
    pub(crate) fn review_requests<S: TrafficSink>(&mut self, context: &mut EventContext<'_, S>) {
        for backend in self.ledgers.servers() {
            let entry = context.snapshot.backend(backend);
            let shard = entry.map(|entry| context.snapshot.shard_of(entry));
            if shard.is_some_and(|shard| self.is_changing_home(context, backend, shard)) {
                continue;
            }
            let view = context.snapshot.view(backend);
            let ledger = self.ledgers.get_or_create(backend);
            let busy = ledger.busy();
            ledger.estimate.apply_report(context.now, view, busy);
            self.end_expired(context, backend);
            self.retry_overdue(context, backend);
            // Nothing is known of the slots of a server that is not listed.
            let slots = entry.map_or(0, |entry| entry.slots.get());
            let ledger = self.ledgers.get_or_create(backend);
            let mut given_up = ledger.apply_report(context.now, slots, view);
            ledger.release_overdue(context.now);
            given_up.extend(ledger.due_final_replies(context.now));
            for run in given_up {
                self.give_up_running(context, backend, run);
            }
            self.release_without_lease(context, backend);
            self.refuse_waiting(context, backend);
            self.start_next(context, backend);
        }
        // The ledger of a server that is no longer configured stays until its counts are
        // zero.
        let snapshot = context.snapshot;
        self.ledgers
            .retain(|backend, ledger| !ledger.is_unused() || snapshot.backend(backend).is_some());
    }

    /// Ends running requests whose deadline has passed.
    fn end_expired<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        backend: BackendId,
    ) {
        let slots = self.ledgers.get_or_create(backend).running().iter();
        let expired: Vec<RunningSlot> = slots
            .filter(|slot| slot.deadline <= context.now)
            .copied()
            .collect();
        for slot in expired {
            let QueueEntry { hash, key } = slot.entry;
            self.free_running_slot(context, backend, &slot);
            let state = self
                .requests
                .replace_state(hash, &key, RequestState::Unknown);
            context.count(Counter::RequestExpired);
            if let Some(RequestState::Running(running)) = state {
                let attempt = running.attempt;
                dispatching::cancel(context, &key, backend, attempt, slot.deadline);
                if !running.given_up {
                    let wait = self.ledgers.get_or_create(backend).service_times.mean();
                    context.outcome_unknown(key.flow, key.id, wait.max(RETRY_AFTER));
                }
            }
        }
    }

    /// Replies "outcome unknown" for a request that runs or was lost. Without this, the
    /// caller would get no reply until its deadline if one datagram to or from the server
    /// was lost, because the home ignores copies of the request, which must not run twice.
    /// A later answer still reaches the caller through whichever host receives it.
    fn give_up_running<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        backend: BackendId,
        run: GivenUpRun,
    ) {
        let QueueEntry { hash, key } = run.slot.entry;
        let given_up = self.requests.change(hash, &key, |record| {
            let RequestState::Running(running) = &mut record.state else {
                return false;
            };
            !std::mem::replace(&mut running.given_up, true)
        });
        if given_up == Some(true) {
            context.count(Counter::RequestGivenUp);
            let subject = DecisionSubject {
                flow: Some(key.flow),
                request: Some(key.id),
                backend: Some(backend),
                evidence: Some(self.evidence_of(context, backend, &run.slot)),
                ..DecisionSubject::default()
            };
            context.decide(DecisionReason::GivenUp(run.cause), subject);
            let wait = self
                .ledgers
                .get_or_create(backend)
                .service_times
                .attempt_timeout();
            context.outcome_unknown(key.flow, key.id, wait.max(RETRY_AFTER));
        }
    }

    fn evidence_of<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        backend: BackendId,
        slot: &RunningSlot,
    ) -> RunEvidence {
        let report = context.snapshot.view(backend).report;
        RunEvidence {
            sent_ago: context.now.since(slot.sent),
            running: self.ledgers.get(backend).map_or(0, ServerLedger::busy),
            report_age: report.map(|report| context.now.since(report.made)),
            reported_busy: report.map(|report| report.busy_slots),
        }
    }

    /// Frees the slot of a request that may still be running. How long it will run is not
    /// known; with heavy-tailed service times the best guess is as long again as it has
    /// run.
    fn free_running_slot<S: TrafficSink>(
        &mut self,
        context: &EventContext<'_, S>,
        backend: BackendId,
        slot: &RunningSlot,
    ) {
        let ledger = self.ledgers.get_or_create(backend);
        ledger.finish(&slot.entry.key);
        if slot.counted {
            let until = context.now.after(context.now.since(slot.sent));
            ledger.estimate.note_still_running(context.now, until);
        }
    }

    /// Retries overdue idempotent requests, which the server seems to have lost.
    fn retry_overdue<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        backend: BackendId,
    ) {
        for slot in self
            .ledgers
            .get_or_create(backend)
            .mark_overdue(context.now)
        {
            let QueueEntry { hash, key } = slot.entry;
            let Some(record) = self.requests.get(hash, &key) else {
                continue;
            };
            let RequestState::Running(running) = &record.state else {
                continue;
            };
            // Parts that have arrived have reached the caller too, and a second run would
            // start from the beginning.
            if !record.idempotent || running.given_up || !running.tracker.is_empty() {
                continue;
            }
            let attempt = running.attempt;
            if self.may_retry(context, &slot, attempt, time::Duration::ZERO) {
                dispatching::cancel(context, &key, backend, attempt, slot.deadline);
                self.free_running_slot(context, backend, &slot);
                self.requests
                    .change(hash, &key, |record| record.may_have_run = true);
                self.queue_again(context, backend, &slot, time::Duration::ZERO);
            }
        }
    }

    /// Whether a request that did not run, or may run twice, is sent again after `pause`.
    /// Takes the retry from the budget.
    pub(crate) fn may_retry<S: TrafficSink>(
        &mut self,
        context: &EventContext<'_, S>,
        slot: &RunningSlot,
        attempt: AttemptNumber,
        pause: time::Duration,
    ) -> bool {
        let snapshot = context.snapshot;
        let needed = pause + MIN_TIME_LEFT;
        let Some(service) = snapshot.service_of(slot.entry.key.flow.service) else {
            return false;
        };
        attempt.0 + 1 < ATTEMPT_LIMIT
            && context.now.after(needed) < slot.deadline
            && self
                .retry_budgets
                .take(service.id, snapshot.configuration.limits.retry_percent)
    }

    /// Returns a request that was sent to the front of the queue, for its next attempt.
    pub(crate) fn queue_again<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        backend: BackendId,
        slot: &RunningSlot,
        pause: time::Duration,
    ) {
        let QueueEntry { hash, key } = slot.entry;
        let next = self.requests.change(hash, &key, |record| {
            let RequestState::Running(running) = &mut record.state else {
                return None;
            };
            let next = AttemptNumber(running.attempt.0.saturating_add(1));
            let held = HeldRequest {
                header: running.held.header,
                kind: running.held.kind,
                payload: std::mem::take(&mut running.held.payload),
            };
            record.state = RequestState::Queued {
                backend,
                attempt: next,
                held,
            };
            Some(next)
        });
        if let Some(next) = next.flatten() {
            context.decide_attempt(DecisionReason::Retried, &key, backend, next);
        }
        let ledger = self.ledgers.get_or_create(backend);
        let max_wait = pause + ledger.service_times.attempt_timeout();
        ledger.queue.push_front(WaitingRequest {
            entry: slot.entry,
            not_before: context.now.after(pause),
            give_up_at: context.now.after(max_wait).min(slot.deadline),
        });
    }

    /// Moves waiting requests to the next home if this host has lost the lease of their
    /// server; otherwise they would stay here without a reply. They were never sent, or
    /// provably did not run, but only the next home may reply "not run" or send them. If
    /// there is no next home, their callers get "outcome unknown".
    fn release_without_lease<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        backend: BackendId,
    ) {
        let Some(entry) = context.snapshot.backend(backend) else {
            return self.refuse_unlisted(context, backend);
        };
        let shard = context.snapshot.shard_of(entry);
        if context.snapshot.lease_at(shard, context.now).is_some() {
            return;
        }
        let claim = TokenClaim::from(entry);
        for waiting in std::mem::take(&mut self.ledgers.get_or_create(backend).queue) {
            self.move_to_next_home(context, waiting.entry, claim, shard);
        }
    }

    fn move_to_next_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        waiting: QueueEntry,
        claim: TokenClaim,
        shard: ShardId,
    ) {
        let QueueEntry { hash, key } = waiting;
        let home = context.snapshot.shard(shard).home;
        let home = home.filter(|host| *host != self.identity.host);
        let record = self.requests.get(hash, &key);
        let relayed = match (home, record.map(|record| &record.state)) {
            // Only this host knows of an earlier attempt. If its number were lost, parts
            // of two runs could be combined into one answer.
            (Some(host), Some(RequestState::Queued { attempt, held, .. }))
                if *attempt == AttemptNumber(0) =>
            {
                let datagram = CallerDatagram {
                    flow: key.flow,
                    kind: held.kind,
                    echoes_token: true,
                    token: Some(self.tokens.issue(&key.flow, claim)),
                    request: Some(held.header),
                    payload: &held.payload,
                };
                let frame = RelayFrame::Caller {
                    datagram,
                    decided: Some(claim),
                    search: None,
                    shard,
                    hops: 1,
                };
                context.relay(host, frame)
            }
            _ => false,
        };
        if relayed {
            self.requests.remove(hash, &key);
        } else {
            let wait = context.snapshot.configuration.limits.home_lease;
            self.end_as_unknown(context, waiting, wait);
        }
    }

    fn end_as_unknown<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        entry: QueueEntry,
        retry_after: time::Duration,
    ) {
        let QueueEntry { hash, key } = entry;
        let before = self
            .requests
            .replace_state(hash, &key, RequestState::Unknown);
        if !before.is_some_and(|state| state.is_given_up()) {
            context.outcome_unknown(key.flow, key.id, retry_after);
        }
    }

    /// Refuses the waiting requests of a server that is no longer configured.
    fn refuse_unlisted<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        backend: BackendId,
    ) {
        for waiting in std::mem::take(&mut self.ledgers.get_or_create(backend).queue) {
            self.refuse_remembered(
                context,
                waiting.entry,
                RefusalReason::NoBackend,
                RETRY_AFTER,
            );
        }
    }

    /// Refuses requests that have waited too long.
    fn refuse_waiting<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        backend: BackendId,
    ) {
        let now = context.now;
        let ledger = self.ledgers.get_or_create(backend);
        let mut expired = Vec::new();
        ledger.queue.retain(|held| {
            let keep = held.give_up_at > now;
            if !keep {
                expired.push(held.entry);
            }
            keep
        });
        for queued in expired {
            let retry_after = self.retry_after(context, backend, queued.hash);
            self.refuse_remembered(context, queued, RefusalReason::Full, retry_after);
        }
    }

    /// Gives up a waiting request that is remembered. The reply is "not run" only if no
    /// attempt may have run and this home holds the lease; without the lease, a copy may
    /// run at the next home.
    pub(crate) fn refuse_remembered<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        entry: QueueEntry,
        reason: RefusalReason,
        retry_after: time::Duration,
    ) {
        let QueueEntry { hash, key } = entry;
        let record = self.requests.get(hash, &key);
        let shard = record
            .filter(|record| !record.may_have_run)
            .map(|record| record.shard);
        let held = shard.and_then(|shard| context.snapshot.lease_at(shard, context.now));
        if held.is_none() {
            return self.end_as_unknown(context, entry, retry_after);
        }
        self.requests
            .replace_state(hash, &key, RequestState::Refused { reason });
        context.refuse(key.flow, Some(key.id), reason, retry_after);
    }

    /// Ends the requests of a flow that its server does not hold, or no longer holds. The
    /// server's reply does not indicate which datagram it refers to. Waiting requests have not
    /// run, but requests that were sent may have run before the flow was closed.
    pub(crate) fn end_flow_requests<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        backend: BackendId,
        flow: &FlowKey,
    ) {
        let ledger = self.ledgers.get_or_create(backend);
        let slots = ledger.running().iter().map(|slot| slot.entry);
        let sent: Vec<QueueEntry> = slots.filter(|entry| entry.key.flow == *flow).collect();
        let waiting = ledger.queue.iter().map(|held| held.entry);
        let waiting: Vec<QueueEntry> = waiting.filter(|entry| entry.key.flow == *flow).collect();
        for entry in sent {
            self.ledgers.get_or_create(backend).finish(&entry.key);
            self.end_as_unknown(context, entry, RETRY_AFTER);
        }
        for entry in waiting {
            self.ledgers
                .get_or_create(backend)
                .remove_from_queue(&entry.key);
            self.refuse_remembered(context, entry, RefusalReason::NoBackend, RETRY_AFTER);
        }
        self.start_next(context, backend);
    }
}
