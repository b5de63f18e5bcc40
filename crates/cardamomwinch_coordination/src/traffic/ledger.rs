//! What a home counts for each backend server whose home it is.

use std::collections;
use std::time;

use cardamomwinch_state::prelude::{BackendEntry, BackendId, FlowHash, SortedVector, Timestamp};

use crate::traffic::requests::RequestKey;

/// Service time assumed of a server that has not answered yet.
const ASSUMED_SERVICE_TIME: time::Duration = time::Duration::from_millis(50);
/// A new measurement counts one part in this many.
const SMOOTHING: u32 = 8;

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueEntry {
    /// The hash of its flow.
    pub hash: FlowHash,
    /// The request.
    pub key: RequestKey,
}

/// Slots, connections and waiting requests of one backend server.
#[derive(Debug)]
pub struct ServerLedger {
    /// Requests sent and not yet finished.
    pub busy: u32,
    /// Flows placed on the server and not closed.
    pub connections: u32,
    /// Those of `connections` that are not pinned here: an earlier home handed
    /// over their number alone.
    pub unpinned: u32,
    /// Requests waiting for a slot, oldest first.
    pub queue: collections::VecDeque<QueueEntry>,
    /// The smoothed time from sending a request to its answer.
    pub service_time: time::Duration,
    /// When the server last answered anything.
    pub last_answer: Timestamp,
}

impl Default for ServerLedger {
    fn default() -> Self {
        Self {
            busy: 0,
            connections: 0,
            unpinned: 0,
            queue: collections::VecDeque::new(),
            service_time: ASSUMED_SERVICE_TIME,
            last_answer: Timestamp::ZERO,
        }
    }
}

impl ServerLedger {
    /// Requests running and waiting, per thousand slots: the load to compare.
    pub fn load(&self, entry: &BackendEntry) -> u64 {
        let held = u64::from(self.busy) + self.queue.len() as u64;
        held * 1000 / u64::from(entry.slots.get().max(1))
    }

    /// Whether a slot is free.
    pub fn has_free_slot(&self, entry: &BackendEntry) -> bool {
        self.busy < entry.slots.get()
    }

    /// Whether one more flow may be placed.
    pub fn has_free_connection(&self, entry: &BackendEntry) -> bool {
        self.connections < entry.connections.get()
    }

    /// Whether one more request may wait, at `per_slot` for each slot.
    pub fn has_queue_room(&self, entry: &BackendEntry, per_slot: u32) -> bool {
        self.queue.len() < (entry.slots.get() * per_slot) as usize
    }

    /// How long one more request would wait for a slot.
    pub fn expected_wait(&self, entry: &BackendEntry) -> time::Duration {
        let ahead = self.queue.len() as u32 + 1;
        self.service_time * ahead / entry.slots.get().max(1)
    }

    /// Notes that a request took `taken` to be answered.
    pub fn note_answer(&mut self, now: Timestamp, taken: time::Duration) {
        self.service_time = (self.service_time * (SMOOTHING - 1) + taken) / SMOOTHING;
        self.last_answer = now;
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

    /// Forgets the ledgers for which `keep` does not hold.
    pub fn retain(&mut self, mut keep: impl FnMut(BackendId) -> bool) {
        self.ledgers.retain(|backend, _| keep(*backend));
    }

    /// All ledgers.
    pub fn iter(&self) -> impl Iterator<Item = (&BackendId, &ServerLedger)> {
        self.ledgers.iter()
    }
}
