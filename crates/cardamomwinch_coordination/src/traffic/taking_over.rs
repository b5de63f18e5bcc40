//! Imports waiting and running requests that an earlier home has handed over.

use std::time;

use cardamomwinch_protocol::prelude::AttemptNumber;
use cardamomwinch_state::prelude::{BackendId, ShardId, Timestamp};

use crate::decision::DecisionReason;
use crate::traffic::TrafficEngine;
use crate::traffic::context::EventContext;
use crate::traffic::effect::TrafficSink;
use crate::traffic::ledger::{QueueEntry, WaitingRequest};
use crate::traffic::requests::RunningRequest;
use crate::traffic::serving;

/// The lease of an imported shard must arrive within this time.
const LEASE_ARRIVAL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

impl TrafficEngine {
    /// Queues a request that waited at the earlier home.
    pub(crate) fn import_waiting<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        backend: BackendId,
        entry: QueueEntry,
        attempt: AttemptNumber,
        deadline: Timestamp,
    ) {
        let reason = DecisionReason::TakenOverWaiting;
        context.decide_attempt(reason, &entry.key, backend, attempt);
        let now = context.now;
        let view = context.snapshot.view(backend);
        let ledger = self.ledgers.get_or_create(backend);
        let server = context.snapshot.backend(backend);
        let give_up = server.map_or(deadline, |server| {
            serving::give_up_time(now, ledger, server, view, deadline)
        });
        ledger.taken_over_at = Some(now);
        ledger.queue.push_back(WaitingRequest {
            entry,
            not_before: now,
            give_up_at: give_up,
        });
    }

    /// Counts a request that the earlier home has sent.
    pub(crate) fn import_running<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        entry: QueueEntry,
        running: &RunningRequest,
    ) {
        let reason = DecisionReason::TakenOverRunning;
        context.decide_attempt(reason, &entry.key, running.backend, running.attempt);
        let ledger = self.ledgers.get_or_create(running.backend);
        ledger.taken_over_at = Some(context.now);
        let deadline = running.held.header.deadline;
        ledger.start(context.now, entry, running.sent, deadline);
    }

    /// Whether no decision about the requests of `backend` is allowed, because its shard
    /// is being handed over by or to this host. Two homes must not send different final
    /// replies about one request, so the next home does nothing until it has the lease. If
    /// the lease does not arrive, the earlier home continues, and this host forgets the
    /// imported requests.
    pub(crate) fn is_changing_home<S: TrafficSink>(
        &mut self,
        context: &EventContext<'_, S>,
        backend: BackendId,
        shard: ShardId,
    ) -> bool {
        if self.frozen.is_frozen(shard, context.now) {
            return true;
        }
        let held = context.snapshot.lease_at(shard, context.now).is_some();
        let ledger = self.ledgers.get_or_create(backend);
        let Some(taken_over_at) = ledger.taken_over_at else {
            return false;
        };
        if !held && context.now.since(taken_over_at) < LEASE_ARRIVAL_TIMEOUT {
            return true;
        }
        ledger.taken_over_at = None;
        if !held {
            for entry in ledger.clear() {
                self.requests.remove(entry.hash, &entry.key);
            }
        }
        !held
    }
}
