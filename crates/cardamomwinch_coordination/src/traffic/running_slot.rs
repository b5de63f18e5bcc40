//! Requests that were sent to their server, and when their callers must get the final
//! reply.

use std::time;

use cardamomwinch_state::prelude::Timestamp;

use crate::decision::GivingUpCause;
use crate::traffic::ledger::QueueEntry;

/// A caller without a final reply gets one this long before its deadline: a tick may be
/// 100 ms late, and the reply needs time to reach the caller.
const FINAL_REPLY_MARGIN: time::Duration = time::Duration::from_millis(200);
/// The margin is at most this fraction of the time that a request had when it was sent, so
/// that it does not use up a short deadline.
const FINAL_REPLY_DIVISOR: u32 = 4;

/// A request that was sent and has not finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningSlot {
    /// The request.
    pub entry: QueueEntry,
    /// When it was sent.
    pub sent: Timestamp,
    /// When it was sent, or when the last part of its answer arrived.
    pub progress: Timestamp,
    /// When nobody waits for the answer any longer.
    pub deadline: Timestamp,
    /// Whether it has made no progress for longer than the usual service time.
    pub overdue: bool,
    /// Whether it counts as occupying a slot.
    pub counted: bool,
    /// Until when it counts at least.
    pub counted_until: Timestamp,
}

/// A request to give up, with the reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenUpRun {
    /// The request.
    pub slot: RunningSlot,
    /// The reason.
    pub cause: GivingUpCause,
}

impl RunningSlot {
    /// When the final reply must be sent so that it reaches the caller in time.
    pub fn final_reply_due(&self) -> Timestamp {
        final_reply_due(self.sent, self.deadline)
    }
}

/// When the final reply about a request that was accepted at the time `accepted` must be sent.
pub fn final_reply_due(accepted: Timestamp, deadline: Timestamp) -> Timestamp {
    let share = deadline.since(accepted) / FINAL_REPLY_DIVISOR;
    deadline.before(FINAL_REPLY_MARGIN.min(share))
}
