//! The counts that a home keeps for each of its backend servers. Only the home sends
//! requests to a server, so its own count is exact.

use std::collections;
use std::time;

use cardamomwinch_state::prelude::{
    BackendEntry, BackendId, FlowHash, FlowKey, SortedVector, Timestamp,
};

use crate::snapshot::BackendView;
use crate::traffic::answer_count::AnswerCount;
use crate::traffic::requests::RequestKey;
use crate::traffic::running_slot::RunningSlot;
use crate::traffic::service_time::ServiceTimes;
use crate::traffic::slots::SlotEstimate;

/// The shortest wait that a refused caller is given.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(20);
/// The longest wait that a refused caller is given, so that callers notice when a server
/// has become fast again.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(5);

/// A request without progress counts as occupying a slot for this many timeouts.
pub(super) const COUNTED_TIMEOUTS: u32 = 2;

/// A request in a queue or in a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueEntry {
    /// The hash of its flow.
    pub hash: FlowHash,
    /// The request.
    pub key: RequestKey,
}

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The request.
    pub entry: QueueEntry,
    /// The earliest time to send it. A request that was shed waits for a pause.
    pub not_before: Timestamp,
    /// When it is refused if no slot has become free.
    pub give_up_at: Timestamp,
}

/// Running and waiting requests, connections and slot estimate of one backend server.
#[derive(Debug, Default)]
pub struct ServerLedger {
    /// Flows placed on the server and not closed.
    pub connections: u32,
    /// The part of `connections` without a pin here: an earlier home handed over only
    /// their number.
    pub unpinned: u32,
    /// Requests waiting for a slot, oldest first.
    pub queue: collections::VecDeque<WaitingRequest>,
    /// Measured service times of the server.
    pub service_times: ServiceTimes,
    /// Estimate of the slots that are occupied by other work.
    pub estimate: SlotEstimate,
    /// When the last reply of the server arrived.
    pub last_reply: Timestamp,
    /// Counts since the last report to control.
    pub unreported: LedgerCounts,
    /// When the last load report that was compared with the count was made.
    pub last_report: Timestamp,
    /// Requests sent before this time are confirmed by a load report, which showed as many
    /// busy slots as this home counts, or all slots busy.
    pub confirmed_before: Timestamp,
    /// Compares answers sent by the server with answers received.
    pub answers: AnswerCount,
    /// Whether answers were under way when the last load report was made.
    pub(super) answers_under_way: bool,
    /// When an earlier home handed requests over, until the lease arrives.
    pub taken_over_at: Option<Timestamp>,
    pub(super) running: Vec<RunningSlot>,
    pub(super) uncounted: u32,
}

/// What a server did since the last report to control.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LedgerCounts {
    /// Requests whose answers are complete.
    pub answers: u32,
    /// Requests and openings shed.
    pub sheds: u32,
}

impl ServerLedger {
    /// Requests sent and not yet finished.
    pub fn busy(&self) -> u32 {
        self.running.len() as u32
    }

    /// The requests sent and not yet finished, in the order of their keys.
    pub fn running(&self) -> &[RunningSlot] {
        &self.running
    }

    /// Whether all counts are zero.
    pub fn is_unused(&self) -> bool {
        self.connections == 0 && self.queue.is_empty() && self.running.is_empty()
    }

    /// Requests running and waiting, per thousand usable slots, for comparing servers. A
    /// cold server has fewer usable slots, so its load is higher.
    pub fn load(&self, now: Timestamp, entry: &BackendEntry, view: BackendView) -> u64 {
        let held = u64::from(self.busy()) + self.queue.len() as u64;
        let usable = self.estimate.usable(now, entry.slots.get(), view);
        held * 1000 / u64::from(usable.max(1))
    }

    /// Whether a slot is free. An overdue request does not count once the server has
    /// answered others since it was sent: if its answer, or the copy of the answer for
    /// this home, was lost, the slot would stay occupied until the deadline. If the
    /// request does still run, the server sheds excess requests, and [`SlotEstimate`] is
    /// adjusted.
    pub fn has_free_slot(&self, now: Timestamp, entry: &BackendEntry, view: BackendView) -> bool {
        let occupied = self.busy() - self.uncounted;
        occupied < self.estimate.usable(now, entry.slots.get(), view)
    }

    /// Whether the server has room for one more flow.
    pub fn has_free_connection(&self, entry: &BackendEntry) -> bool {
        self.connections < entry.connections.get()
    }

    /// How long one more request would wait for a slot.
    pub fn expected_wait(
        &self,
        now: Timestamp,
        entry: &BackendEntry,
        view: BackendView,
    ) -> time::Duration {
        let ahead = self.queue.len() as u32 + 1;
        let usable = self.estimate.usable(now, entry.slots.get(), view);
        self.service_times.mean() * ahead / usable.max(1)
    }

    /// When a refused caller should try again: after the requests ahead of it are served,
    /// plus up to the same time again so that callers do not all return at once.
    pub fn retry_after(
        &self,
        now: Timestamp,
        entry: &BackendEntry,
        view: BackendView,
        hash: FlowHash,
    ) -> time::Duration {
        let wait = self.expected_wait(now, entry, view);
        let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER / 2);
        let spread = u32::from(hash.mixed_with(now.get()) as u8);
        wait + wait * spread / 256
    }

    /// The number of waiting requests of `flow`.
    pub fn waiting_in_flow(&self, flow: &FlowKey) -> usize {
        let waiting = self.queue.iter();
        waiting.filter(|held| held.entry.key.flow == *flow).count()
    }

    /// The number of running requests of `flow`.
    pub fn running_in_flow(&self, flow: &FlowKey) -> usize {
        let first = self
            .running
            .partition_point(|slot| slot.entry.key.flow < *flow);
        let slots = self.running[first..].iter();
        slots
            .take_while(|slot| slot.entry.key.flow == *flow)
            .count()
    }

    /// Removes and returns the next request of the queue: of those that may be sent at
    /// `now`, the oldest of the flow with the fewest running requests.
    pub fn next_waiting(&mut self, now: Timestamp) -> Option<WaitingRequest> {
        let ready = self.queue.iter().enumerate();
        let ready = ready.filter(|(_, held)| held.not_before <= now);
        let (position, _) =
            ready.min_by_key(|(_, held)| self.running_in_flow(&held.entry.key.flow))?;
        self.queue.remove(position)
    }

    /// Removes a request from the queue. Returns whether it was there.
    pub fn remove_from_queue(&mut self, key: &RequestKey) -> bool {
        let before = self.queue.len();
        self.queue.retain(|held| held.entry.key != *key);
        self.queue.len() < before
    }

    /// Records that a request was sent, here or by an earlier home. Its time without
    /// progress counts from `now`.
    pub fn start(
        &mut self,
        now: Timestamp,
        entry: QueueEntry,
        sent: Timestamp,
        deadline: Timestamp,
    ) {
        let slot = RunningSlot {
            entry,
            sent,
            progress: now,
            deadline,
            overdue: false,
            counted: true,
            counted_until: now.after(self.service_times.attempt_timeout() * COUNTED_TIMEOUTS),
        };
        match self.slot_position(&slot.entry.key) {
            Ok(position) => self.running[position] = slot,
            Err(position) => self.running.insert(position, slot),
        }
        self.estimate.note_busy(self.busy());
    }

    /// Frees the slot of a request and returns it. Returns `None` if the request has none:
    /// an answer that arrives after the slot was freed must not free another one.
    pub fn finish(&mut self, key: &RequestKey) -> Option<RunningSlot> {
        let position = self.slot_position(key).ok()?;
        let slot = self.running.remove(position);
        self.uncounted -= u32::from(!slot.counted);
        Some(slot)
    }

    /// Records that a part of an answer arrived.
    pub fn note_progress(&mut self, now: Timestamp, key: &RequestKey) {
        self.last_reply = now;
        if let Ok(position) = self.slot_position(key) {
            let slot = &mut self.running[position];
            slot.progress = now;
            self.uncounted -= u32::from(!slot.counted);
            slot.counted = true;
            slot.overdue = false;
        }
    }

    /// Records that a request was answered after `duration`.
    pub fn note_answer(&mut self, now: Timestamp, duration: time::Duration) {
        self.service_times.note(duration);
        self.estimate.note_answer(now);
        self.last_reply = now;
        self.unreported.answers += 1;
    }

    /// Counts overdue requests as running again, because the server shed another request:
    /// for as long again as they have been running.
    pub fn count_overdue(&mut self, now: Timestamp) {
        for slot in &mut self.running {
            if !slot.counted {
                slot.counted = true;
                slot.counted_until = now.after(now.since(slot.sent));
            }
        }
        self.uncounted = 0;
    }

    /// Removes and returns all waiting and running requests.
    pub fn clear(&mut self) -> Vec<QueueEntry> {
        self.uncounted = 0;
        let waiting = self.queue.drain(..).map(|held| held.entry);
        let running = self.running.drain(..).map(|slot| slot.entry);
        waiting.chain(running).collect()
    }

    pub(super) fn slot_position(&self, key: &RequestKey) -> Result<usize, usize> {
        self.running
            .binary_search_by(|slot| slot.entry.key.cmp(key))
    }
}

/// The ledgers of all backend servers that this thread is the home of.
#[derive(Debug, Default)]
pub struct ServerLedgers {
    ledgers: SortedVector<BackendId, ServerLedger>,
}

impl ServerLedgers {
    /// The ledger of `backend`, if there is one.
    pub fn get(&self, backend: BackendId) -> Option<&ServerLedger> {
        self.ledgers.get(&backend)
    }

    /// The ledger of `backend`, created if there is none.
    pub fn get_or_create(&mut self, backend: BackendId) -> &mut ServerLedger {
        self.ledgers
            .get_or_insert_with(backend, ServerLedger::default)
    }

    /// The servers that have a ledger.
    pub fn servers(&self) -> Vec<BackendId> {
        self.ledgers.keys().copied().collect()
    }

    /// Keeps only the ledgers for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(BackendId, &ServerLedger) -> bool) {
        self.ledgers
            .retain(|backend, ledger| keep(*backend, ledger));
    }

    /// All ledgers, mutable.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&BackendId, &mut ServerLedger)> {
        self.ledgers.iter_mut()
    }

    /// All ledgers.
    pub fn iter(&self) -> impl Iterator<Item = (&BackendId, &ServerLedger)> {
        self.ledgers.iter()
    }
}
