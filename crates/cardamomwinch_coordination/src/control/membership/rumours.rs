//! Claims that this host spreads through the fleet. Each is sent a limited
//! number of times, and all of them together stay within a byte rate.

use std::time;

use cardamomwinch_state::prelude::{ByteCount, HostId, Timestamp};

/// How often a rumour is sent in addition to the logarithm of the fleet size.
const EXTRA_REPEATS: u32 = 2;
/// The maximum number of queued rumours. The exchange repairs what is dropped.
const MAX_QUEUED_RUMOURS: usize = 64;
/// The maximum number of rumours that are attached to a probe.
pub(super) const MAX_ATTACHED_RUMOURS: usize = 8;
/// The maximum number of rumours in a message that carries only rumours.
pub(super) const MAX_PUSHED_RUMOURS: usize = 24;
/// The minimum interval between pushes.
const PUSH_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// The encoded size of a rumour in bytes.
const RUMOUR_BYTES: ByteCount = ByteCount::new(13);
/// The size in bytes of a message that carries only rumours, without them.
const PUSH_BYTES: ByteCount = ByteCount::new(90);
/// The refill rate of the rumour budget in bytes per second.
const BUDGET_BYTES_PER_SECOND: u64 = 150;
/// The maximum burst of rumours in bytes.
const MAX_BURST_BYTES: ByteCount = ByteCount::new(1200);

#[derive(Debug, Clone, Copy)]
struct QueuedRumour {
    host: HostId,
    times_sent: u32,
}

/// A token bucket over bytes.
///
/// When many hosts change at once, the rumours could exceed the rate that is
/// allowed for control messages. Rumours that exceed the budget stay queued.
#[derive(Debug)]
struct ByteBudget {
    left: ByteCount,
    refilled: Timestamp,
}

impl ByteBudget {
    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.refilled).as_millis().min(60_000) as u64;
        let earned = elapsed * BUDGET_BYTES_PER_SECOND / 1000;
        if earned > 0 {
            self.refilled = now;
            let left = self.left.saturating_add(ByteCount::new(earned));
            self.left = left.min(MAX_BURST_BYTES);
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

/// The rumours to send; those sent least often come first.
#[derive(Debug)]
pub(super) struct RumourQueue {
    queued: Vec<QueuedRumour>,
    max_times_sent: u32,
    budget: ByteBudget,
    has_unpushed: bool,
    next_push: Timestamp,
}

impl Default for RumourQueue {
    fn default() -> Self {
        Self {
            queued: Vec::new(),
            max_times_sent: EXTRA_REPEATS,
            budget: ByteBudget {
                left: MAX_BURST_BYTES,
                refilled: Timestamp::ZERO,
            },
            has_unpushed: false,
            next_push: Timestamp::ZERO,
        }
    }
}

impl RumourQueue {
    /// Sets how often each rumour is sent, from the logarithm of the number of
    /// hosts.
    pub(super) fn set_fleet_size(&mut self, hosts: usize) {
        self.max_times_sent = EXTRA_REPEATS + usize::BITS - hosts.leading_zeros();
    }

    /// Queues the claim about `host` as new.
    pub(super) fn push(&mut self, host: HostId) {
        self.queued.retain(|rumour| rumour.host != host);
        self.queued.push(QueuedRumour {
            host,
            times_sent: 0,
        });
        self.has_unpushed = true;
        if self.queued.len() > MAX_QUEUED_RUMOURS {
            self.drop_most_sent();
        }
    }

    fn drop_most_sent(&mut self) {
        let positions = (0..self.queued.len()).rev();
        let most = positions.max_by_key(|position| self.queued[*position].times_sent);
        if let Some(position) = most {
            self.queued.remove(position);
        }
    }

    pub(super) fn clear(&mut self) {
        self.queued.clear();
        self.has_unpushed = false;
    }

    /// Stops spreading the claim about `host`.
    pub(super) fn withdraw(&mut self, host: HostId) {
        self.queued.retain(|rumour| rumour.host != host);
    }

    /// Starts a push if there are new rumours, it is time, and the budget allows
    /// the cost of `messages`, which is then deducted. Returns whether it did.
    pub(super) fn begin_push(&mut self, now: Timestamp, messages: usize) -> bool {
        if !self.has_unpushed || now < self.next_push || self.queued.is_empty() {
            return false;
        }
        self.budget.refill(now);
        let cost = ByteCount::new(PUSH_BYTES.get() * messages as u64);
        if !self.budget.spend(cost) {
            return false;
        }
        self.has_unpushed = false;
        self.next_push = now.after(PUSH_INTERVAL);
        true
    }

    /// Returns up to `limit` hosts whose claims to send, and counts them as sent.
    pub(super) fn take(&mut self, now: Timestamp, limit: usize) -> Vec<HostId> {
        self.budget.refill(now);
        let max_times_sent = self.max_times_sent;
        self.queued
            .retain(|rumour| rumour.times_sent < max_times_sent);
        self.queued.sort_by_key(|rumour| rumour.times_sent);
        let mut taken = Vec::new();
        for rumour in self.queued.iter_mut().take(limit) {
            if !self.budget.spend(RUMOUR_BYTES) {
                break;
            }
            rumour.times_sent += 1;
            taken.push(rumour.host);
        }
        taken
    }
}
