//! Counts the requests that an earlier home has handed over.

use std::time;

use cardamomwinch_state::prelude::{BackendId, ShardId, Timestamp};

use crate::traffic::TrafficEngine;
use crate::traffic::context::EventContext;
use crate::traffic::effect::TrafficSink;
use crate::traffic::ledger::{QueueEntry, WaitingRequest};
use crate::traffic::requests::RunningRequest;
use crate::traffic::serving;

/// The lease follows what is handed over within this time, or not at all.
const TAKE_OVER_GRACE: time::Duration = time::Duration::from_secs(2);

impl TrafficEngine {
    /// Queues a request that waited at the earlier home.
    pub(crate) fn take_waiting<S: TrafficSink>(
        &mut self,
        context: &EventContext<'_, S>,
        backend: BackendId,
        entry: QueueEntry,
        deadline: Timestamp,
    ) {
        let now = context.now;
        let view = context.snapshot.view(backend);
        let ledger = self.ledgers.of(backend);
        let server = context.snapshot.backend(backend);
        let give_up = server.map_or(deadline, |server| {
            serving::give_up_time(now, ledger, server, view, deadline)
        });
        ledger.taken_over = Some(now);
        ledger.queue.push_back(WaitingRequest {
            entry,
            not_before: now,
            give_up,
        });
    }

    /// Counts a request that the earlier home had sent.
    pub(crate) fn take_running<S: TrafficSink>(
        &mut self,
        context: &EventContext<'_, S>,
        entry: QueueEntry,
        running: &RunningRequest,
    ) {
        let ledger = self.ledgers.of(running.backend);
        ledger.taken_over = Some(context.now);
        let deadline = running.held.header.deadline;
        ledger.start(context.now, entry, running.sent, deadline);
    }

    /// Whether nothing may be decided about what waits or runs at `backend`,
    /// since it is being handed over, in either direction. Guards against two
    /// homes giving a request different last words: until the lease has moved
    /// the one that is handed to keeps still, and where it does not come the
    /// earlier home goes on, so that what was taken in is forgotten.
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
        let ledger = self.ledgers.of(backend);
        let Some(taken) = ledger.taken_over else {
            return false;
        };
        if !held && context.now.since(taken) < TAKE_OVER_GRACE {
            return true;
        }
        ledger.taken_over = None;
        if !held {
            for entry in ledger.clear() {
                self.requests.remove(entry.hash, &entry.key);
            }
        }
        !held
    }
}
