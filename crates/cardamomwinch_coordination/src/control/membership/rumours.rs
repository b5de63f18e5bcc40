//! Claims on their way through the fleet. Each is repeated a bounded number of
//! times, and all of them together stay within a byte rate.

use std::time;

use cardamomwinch_state::prelude::{ByteCount, HostId, Timestamp};

/// Repeats of a rumour beyond the logarithm of the fleet's size.
const EXTRA_REPEATS: u32 = 2;
/// Rumours that wait at most. The exchange repairs what is dropped.
const QUEUE_LIMIT: usize = 64;
/// Rumours that ride on one probe at most.
pub(super) const PIGGYBACK_LIMIT: usize = 8;
/// Rumours in a message sent only for their sake.
pub(super) const PUSH_LIMIT: usize = 24;
/// Pushes follow each other no faster than this.
const PUSH_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// The encoded size of a rumour.
const RUMOUR_COST: ByteCount = ByteCount::new(13);
/// The size of a message that carries only rumours, without them.
const PUSH_COST: ByteCount = ByteCount::new(90);
/// Bytes a second that rumours may use in the long run.
const BUDGET_RATE: u64 = 150;
/// Bytes that rumours may use at once after a quiet time.
const BUDGET_LIMIT: ByteCount = ByteCount::new(1200);

#[derive(Debug, Clone, Copy)]
struct QueuedRumour {
    host: HostId,
    sent: u32,
}

/// A token bucket over bytes.
///
/// Guards against a storm: when many hosts change at once, everyone's rumours
/// together would exceed what control may send. It shows as an empty bucket,
/// and rumours then wait for their turn instead of being dropped.
#[derive(Debug)]
struct ByteBudget {
    left: ByteCount,
    refilled: Timestamp,
}

impl ByteBudget {
    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.refilled).as_millis().min(60_000) as u64;
        let earned = elapsed * BUDGET_RATE / 1000;
        if earned > 0 {
            self.refilled = now;
            let left = self.left.saturating_add(ByteCount::new(earned));
            self.left = left.min(BUDGET_LIMIT);
        }
    }

    fn spend(&mut self, cost: ByteCount) -> bool {
        if self.left < cost {
            return false;
        }
        self.left = self.left.saturating_sub(cost);
        true
    }
}

/// Rumours to be sent, those sent least often first.
#[derive(Debug)]
pub(super) struct RumourQueue {
    queued: Vec<QueuedRumour>,
    repeats: u32,
    budget: ByteBudget,
    unpushed: bool,
    next_push: Timestamp,
}

impl Default for RumourQueue {
    fn default() -> Self {
        Self {
            queued: Vec::new(),
            repeats: EXTRA_REPEATS,
            budget: ByteBudget {
                left: BUDGET_LIMIT,
                refilled: Timestamp::ZERO,
            },
            unpushed: false,
            next_push: Timestamp::ZERO,
        }
    }
}

impl RumourQueue {
    /// Bounds the repeats by the logarithm of the number of hosts.
    pub(super) fn set_fleet_size(&mut self, hosts: usize) {
        self.repeats = EXTRA_REPEATS + usize::BITS - hosts.leading_zeros();
    }

    /// Queues what is believed of `host`, as news.
    pub(super) fn push(&mut self, host: HostId) {
        self.queued.retain(|rumour| rumour.host != host);
        self.queued.push(QueuedRumour { host, sent: 0 });
        self.unpushed = true;
        if self.queued.len() > QUEUE_LIMIT {
            self.drop_most_sent();
        }
    }

    fn drop_most_sent(&mut self) {
        let positions = (0..self.queued.len()).rev();
        let most = positions.max_by_key(|position| self.queued[*position].sent);
        if let Some(position) = most {
            self.queued.remove(position);
        }
    }

    pub(super) fn clear(&mut self) {
        self.queued.clear();
        self.unpushed = false;
    }

    /// Does not spread what is believed of `host` any further.
    pub(super) fn withdraw(&mut self, host: HostId) {
        self.queued.retain(|rumour| rumour.host != host);
    }

    /// Whether news is to be pushed now, and so many messages for it are within
    /// the budget, which then pays for them.
    pub(super) fn begin_push(&mut self, now: Timestamp, messages: usize) -> bool {
        if !self.unpushed || now < self.next_push || self.queued.is_empty() {
            return false;
        }
        self.budget.refill(now);
        let cost = ByteCount::new(PUSH_COST.get() * messages as u64);
        if !self.budget.spend(cost) {
            return false;
        }
        self.unpushed = false;
        self.next_push = now.after(PUSH_INTERVAL);
        true
    }

    /// Up to `limit` hosts to tell about, counted as told.
    pub(super) fn take(&mut self, now: Timestamp, limit: usize) -> Vec<HostId> {
        self.budget.refill(now);
        let repeats = self.repeats;
        self.queued.retain(|rumour| rumour.sent < repeats);
        self.queued.sort_by_key(|rumour| rumour.sent);
        let mut taken = Vec::new();
        for rumour in self.queued.iter_mut().take(limit) {
            if !self.budget.spend(RUMOUR_COST) {
                break;
            }
            rumour.sent += 1;
            taken.push(rumour.host);
        }
        taken
    }
}
