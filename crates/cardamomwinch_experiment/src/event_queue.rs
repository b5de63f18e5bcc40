//! The queue of all future events, in virtual time.

use std::cmp;
use std::collections;

use cardamomwinch_state::prelude::Timestamp;

#[derive(Debug)]
struct QueuedEvent<E> {
    time: Timestamp,
    sequence: u64,
    event: E,
}

impl<E> QueuedEvent<E> {
    const fn key(&self) -> (Timestamp, u64) {
        (self.time, self.sequence)
    }
}

impl<E> PartialEq for QueuedEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for QueuedEvent<E> {}

impl<E> PartialOrd for QueuedEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for QueuedEvent<E> {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        other.key().cmp(&self.key())
    }
}

/// Events by time. Events of the same time keep the order in which they were
/// added, so that a run can be repeated with its seed.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: collections::BinaryHeap<QueuedEvent<E>>,
    sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: collections::BinaryHeap::new(),
            sequence: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds `event` at `time`.
    pub fn push(&mut self, time: Timestamp, event: E) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.heap.push(QueuedEvent {
            time,
            sequence,
            event,
        });
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(Timestamp, E)> {
        self.heap.pop().map(|queued| (queued.time, queued.event))
    }
}
