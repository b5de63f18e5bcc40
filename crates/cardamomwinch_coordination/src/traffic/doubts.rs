//! Which requests a home gives up: what load reports, times and deadlines say of those
//! that it has sent and not seen end.

use std::time;

use cardamomwinch_state::prelude::Timestamp;

use crate::decision::GivingUpCause;
use crate::snapshot::BackendView;
use crate::traffic::ledger::{COUNTED_TIMEOUTS, ServerLedger};
use crate::traffic::running_slot::{DoubtedRun, RunningSlot};

/// A load report vouches for the requests that it counts for this long: until the
/// next one is due, and some more.
const VOUCHED_FOR: time::Duration = time::Duration::from_millis(1500);
/// A request that a load report vouches for is given up after this many times as
/// long as another.
const VOUCHED_FACTOR: u32 = 4;
/// A datagram is taken to have arrived, or to be lost, after this long.
const NETWORK_ALLOWANCE: time::Duration = time::Duration::from_millis(50);

impl ServerLedger {
    /// Takes in a load report and returns the requests that the server cannot be
    /// working on: of those sent well before the report, as many of the oldest
    /// overdue ones as exceed what it said to be busy with.
    ///
    /// Guards against a request, an answer, or the copy of it for this home that
    /// was lost: the slot would stay taken, and the caller without a word. Only
    /// overdue ones are doubted, and none for a datagram that is still under way
    /// in either direction, so that a long request is not taken for a lost one
    /// while the server counts it. None is doubted either where the server has sent
    /// answers that have not come yet: they have until the next report. Nor is one
    /// doubted while all `slots` are busy: the server may have it in a queue of its
    /// own, which it does not report.
    pub fn take_report(
        &mut self,
        now: Timestamp,
        slots: u32,
        view: BackendView,
    ) -> Vec<DoubtedRun> {
        let Some(report) = view.report.filter(|report| {
            report.made > self.reconciled && now.since(report.made) >= NETWORK_ALLOWANCE
        }) else {
            return Vec::new();
        };
        self.reconciled = report.made;
        let running = self.busy();
        let answers = &mut self.answers;
        self.answers_under_way = answers.take_report(report.answers, running, report.busy_slots);
        let reached = report.asked.before(NETWORK_ALLOWANCE);
        if report.busy_slots >= slots {
            self.vouched = reached;
            return Vec::new();
        }
        let counted = self.running.iter().filter(|slot| slot.counted);
        let counted = counted.filter(|slot| slot.sent < reached);
        let mut slots: Vec<RunningSlot> = counted.copied().collect();
        if report.busy_slots > 0 && slots.len() <= report.busy_slots as usize {
            self.vouched = reached;
        }
        if self.answers_under_way {
            return Vec::new();
        }
        let excess = slots.len().saturating_sub(report.busy_slots as usize);
        slots.retain(|slot| slot.overdue && slot.progress < reached);
        slots.sort_by_key(|slot| slot.sent);
        slots.truncate(excess);
        let heard = self.last_heard;
        for lost in slots.iter().filter(|lost| heard > lost.sent) {
            if let Ok(position) = self.slot_position(&lost.entry.key) {
                self.running[position].counted = false;
                self.uncounted += 1;
            }
        }
        let cause = GivingUpCause::Uncounted;
        let lost = slots.into_iter();
        lost.map(|slot| DoubtedRun { slot, cause }).collect()
    }

    /// Stops counting the requests that have been overdue for long.
    pub fn release_overdue(&mut self, now: Timestamp) {
        let heard = self.last_heard;
        for slot in &mut self.running {
            // A server that says nothing at all may be stuck with everything it
            // was sent; more must not be piled on it.
            let over = now >= slot.counted_until;
            if slot.overdue && slot.counted && over && heard > slot.sent {
                slot.counted = false;
                self.uncounted += 1;
            }
        }
    }

    /// The requests whose callers must get their last word now: those that do not count
    /// any more and take longer than others, unless a load report vouches for them, and
    /// those whose deadline is near.
    pub fn due_words(&self, now: Timestamp) -> Vec<DoubtedRun> {
        let due = self.running.iter().filter_map(|slot| {
            let cause = self.due_word(now, slot)?;
            Some(DoubtedRun { slot: *slot, cause })
        });
        due.collect()
    }

    fn due_word(&self, now: Timestamp, slot: &RunningSlot) -> Option<GivingUpCause> {
        let is_explained = self.is_vouched(now, slot) || self.is_awaiting_answers(now);
        if !slot.counted && self.takes_longer(now, slot) && !is_explained {
            return Some(GivingUpCause::Overdue);
        }
        (slot.last_word() <= now).then_some(GivingUpCause::BeforeDeadline)
    }

    /// Whether a request takes longer than the server does by what is measured now. Its
    /// slot stops counting by what was known when it was sent, which for the first
    /// requests is nothing.
    fn takes_longer(&self, now: Timestamp, slot: &RunningSlot) -> bool {
        now.since(slot.sent) > self.service_times.attempt_timeout() * COUNTED_TIMEOUTS
    }

    /// Whether the last load report, where it is no older than the next one may be, told of
    /// answers that have not come.
    fn is_awaiting_answers(&self, now: Timestamp) -> bool {
        self.answers_under_way && now.since(self.reconciled) < VOUCHED_FOR
    }

    /// Whether the server says that it is busy with all that was sent to it when
    /// this was, and that is plausible: a report counts requests, not which.
    fn is_vouched(&self, now: Timestamp, slot: &RunningSlot) -> bool {
        let patience = slot.counted_until.since(slot.sent) * VOUCHED_FACTOR;
        slot.sent < self.vouched
            && now.since(self.vouched) < VOUCHED_FOR
            && now < slot.sent.after(patience)
    }

    /// Marks the requests that have become overdue and returns them.
    pub fn mark_overdue(&mut self, now: Timestamp) -> Vec<RunningSlot> {
        let timeout = self.service_times.attempt_timeout();
        let mut late = Vec::new();
        for slot in &mut self.running {
            if !slot.overdue && now.since(slot.progress) > timeout {
                slot.overdue = true;
                late.push(*slot);
            }
        }
        late
    }
}
