//! What a home counts for each backend server whose home it is. Only the home
//! sends requests to the server, so that its own count is exact.

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

/// A caller that is refused is told to wait at least this long.
const SHORTEST_RETRY: time::Duration = time::Duration::from_millis(20);
/// A caller that is refused is told to wait at most this long, so that a server
/// that has become fast again is found out.
const LONGEST_RETRY: time::Duration = time::Duration::from_secs(5);

/// A request without progress counts as taking a slot for this many timeouts.
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
    /// Which.
    pub entry: QueueEntry,
    /// It must not be sent earlier: it was shed a moment ago.
    pub not_before: Timestamp,
    /// When it is refused if no slot has come free.
    pub give_up: Timestamp,
}

/// Slots, connections and waiting requests of one backend server.
#[derive(Debug, Default)]
pub struct ServerLedger {
    /// Flows placed on the server and not closed.
    pub connections: u32,
    /// Those of `connections` that are not pinned here: an earlier home handed
    /// over their number alone.
    pub unpinned: u32,
    /// Requests waiting for a slot, oldest first.
    pub queue: collections::VecDeque<WaitingRequest>,
    /// How long the server takes.
    pub service_times: ServiceTimes,
    /// What else takes slots of the server.
    pub estimate: SlotEstimate,
    /// When the server last said anything.
    pub last_heard: Timestamp,
    /// What happened since control was last told.
    pub unreported: LedgerCounts,
    /// When the load report was made that was last compared with the count.
    pub reconciled: Timestamp,
    /// What was sent before this point is vouched for by a load report: the
    /// server is busy with as many requests as this home counts.
    pub vouched: Timestamp,
    /// The answers that the server has sent, beside those that came.
    pub answers: AnswerCount,
    /// Whether answers were under way when the last load report was made.
    pub(super) answers_under_way: bool,
    /// When an earlier home handed requests over, until the lease has followed.
    pub taken_over: Option<Timestamp>,
    pub(super) running: Vec<RunningSlot>,
    pub(super) uncounted: u32,
}

/// What a server did since control was last told.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LedgerCounts {
    /// Requests answered whole.
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

    /// Whether nothing is counted.
    pub fn is_unused(&self) -> bool {
        self.connections == 0 && self.queue.is_empty() && self.running.is_empty()
    }

    /// Requests running and waiting, per thousand slots: the load to compare.
    /// A cold server has fewer slots to offer, so that it looks fuller.
    pub fn load(&self, now: Timestamp, entry: &BackendEntry, view: BackendView) -> u64 {
        let held = u64::from(self.busy()) + self.queue.len() as u64;
        let usable = self.estimate.usable(now, entry.slots.get(), view);
        held * 1000 / u64::from(usable.max(1))
    }

    /// Whether a slot is free. An overdue request does not count once the server
    /// has answered others since: where its answer, or the copy of it that tells
    /// this home, was lost, the slot would stay taken until the deadline. Where
    /// it does run on, the server sheds what comes too much, and
    /// [`SlotEstimate`] learns from that.
    pub fn has_free_slot(&self, now: Timestamp, entry: &BackendEntry, view: BackendView) -> bool {
        let occupied = self.busy() - self.uncounted;
        occupied < self.estimate.usable(now, entry.slots.get(), view)
    }

    /// Whether one more flow may be placed.
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

    /// When a refused caller should come back: once those ahead of it are
    /// served, spread over as long again so that not all come back at once.
    pub fn retry_after(
        &self,
        now: Timestamp,
        entry: &BackendEntry,
        view: BackendView,
        hash: FlowHash,
    ) -> time::Duration {
        let wait = self.expected_wait(now, entry, view);
        let wait = wait.clamp(SHORTEST_RETRY, LONGEST_RETRY / 2);
        let spread = u32::from(hash.mixed_with(now.get()) as u8);
        wait + wait * spread / 256
    }

    /// Requests of `flow` that wait.
    pub fn waiting_of(&self, flow: &FlowKey) -> usize {
        let waiting = self.queue.iter();
        waiting.filter(|held| held.entry.key.flow == *flow).count()
    }

    /// Requests of `flow` that run.
    pub fn running_of(&self, flow: &FlowKey) -> usize {
        let first = self
            .running
            .partition_point(|slot| slot.entry.key.flow < *flow);
        let slots = self.running[first..].iter();
        slots
            .take_while(|slot| slot.entry.key.flow == *flow)
            .count()
    }

    /// Takes the next request out of the queue: of those that may be sent at
    /// `now`, the oldest one of a flow with the fewest requests running.
    pub fn next_waiting(&mut self, now: Timestamp) -> Option<WaitingRequest> {
        let ready = self.queue.iter().enumerate();
        let ready = ready.filter(|(_, held)| held.not_before <= now);
        let (position, _) = ready.min_by_key(|(_, held)| self.running_of(&held.entry.key.flow))?;
        self.queue.remove(position)
    }

    /// Takes a request out of the queue.
    pub fn leave_queue(&mut self, key: &RequestKey) -> bool {
        let before = self.queue.len();
        self.queue.retain(|held| held.entry.key != *key);
        self.queue.len() < before
    }

    /// Notes that a request was sent, here or by an earlier home. From `now` on it has as
    /// long to make progress as any other.
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

    /// Frees the slot of a request. Nothing happens where it has none: an
    /// answer that comes after the slot was freed must not free it again.
    pub fn finish(&mut self, key: &RequestKey) -> Option<RunningSlot> {
        let position = self.slot_position(key).ok()?;
        let slot = self.running.remove(position);
        self.uncounted -= u32::from(!slot.counted);
        Some(slot)
    }

    /// Notes that a part of an answer came.
    pub fn note_progress(&mut self, now: Timestamp, key: &RequestKey) {
        self.last_heard = now;
        if let Ok(position) = self.slot_position(key) {
            let slot = &mut self.running[position];
            slot.progress = now;
            self.uncounted -= u32::from(!slot.counted);
            slot.counted = true;
            slot.overdue = false;
        }
    }

    /// Notes that a request took `taken` to be answered.
    pub fn note_answer(&mut self, now: Timestamp, taken: time::Duration) {
        self.service_times.note(taken);
        self.estimate.note_answer(now);
        self.last_heard = now;
        self.unreported.answers += 1;
    }

    /// Takes overdue requests to be running after all, because the server shed
    /// another one: for as long again as they have been running.
    pub fn count_overdue(&mut self, now: Timestamp) {
        for slot in &mut self.running {
            if !slot.counted {
                slot.counted = true;
                slot.counted_until = now.after(now.since(slot.sent));
            }
        }
        self.uncounted = 0;
    }

    /// Forgets all that waits and runs, and returns it.
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
    /// The ledger of `backend`, where there is one.
    pub fn get(&self, backend: BackendId) -> Option<&ServerLedger> {
        self.ledgers.get(&backend)
    }

    /// The ledger of `backend`, created where there is none.
    pub fn of(&mut self, backend: BackendId) -> &mut ServerLedger {
        self.ledgers
            .get_or_insert_with(backend, ServerLedger::default)
    }

    /// The servers that there are ledgers of.
    pub fn servers(&self) -> Vec<BackendId> {
        self.ledgers.keys().copied().collect()
    }

    /// Forgets the ledgers for which `keep` does not hold.
    pub fn retain(&mut self, mut keep: impl FnMut(BackendId, &ServerLedger) -> bool) {
        self.ledgers
            .retain(|backend, ledger| keep(*backend, ledger));
    }

    /// All ledgers, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&BackendId, &mut ServerLedger)> {
        self.ledgers.iter_mut()
    }

    /// All ledgers.
    pub fn iter(&self) -> impl Iterator<Item = (&BackendId, &ServerLedger)> {
        self.ledgers.iter()
    }
}
