//! A request that was sent to its server, and when its caller must have the last word.

use std::time;

use cardamomwinch_state::prelude::Timestamp;

use crate::decision::GivingUpCause;
use crate::traffic::ledger::QueueEntry;

/// A caller that has no word this long before its deadline gets one: a tick may
/// come 100 ms late, and the word must reach the caller.
const LAST_WORD_MARGIN: time::Duration = time::Duration::from_millis(200);
/// Of the time that a request had when it was sent, the margin takes at most one
/// part in this many, so that a short deadline is not spent on it.
const LAST_WORD_SHARE: u32 = 4;

/// A request that was sent and has not finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningSlot {
    /// Which.
    pub entry: QueueEntry,
    /// When it was sent.
    pub sent: Timestamp,
    /// When it was sent, or the last part of its answer came.
    pub progress: Timestamp,
    /// When nobody waits for the answer any more.
    pub deadline: Timestamp,
    /// Whether it has made no progress for longer than the server usually takes.
    pub overdue: bool,
    /// Whether it counts as taking a slot.
    pub counted: bool,
    /// It counts at least until this point.
    pub counted_until: Timestamp,
}

/// A request that is given up, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DoubtedRun {
    /// Which.
    pub slot: RunningSlot,
    /// Why.
    pub cause: GivingUpCause,
}

impl RunningSlot {
    /// When its caller must have got the last word, so that it arrives in time.
    pub fn last_word(&self) -> Timestamp {
        last_word(self.sent, self.deadline)
    }
}

/// When the caller of a request that was taken up at `begun` must have got its
/// last word.
pub fn last_word(begun: Timestamp, deadline: Timestamp) -> Timestamp {
    let share = deadline.since(begun) / LAST_WORD_SHARE;
    deadline.before(LAST_WORD_MARGIN.min(share))
}
