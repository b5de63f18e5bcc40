//! Decides which running requests a home gives up, by load reports, elapsed times and
//! deadlines.

use std::time;

use cardamomwinch_state::prelude::Timestamp;

use crate::decision::GivingUpCause;
use crate::snapshot::BackendView;
use crate::traffic::ledger::{COUNTED_TIMEOUTS, ServerLedger};
use crate::traffic::running_slot::{GivenUpRun, RunningSlot};

/// A load report confirms the requests that it counts for this long: until the next one is
/// due, plus a margin.
const REPORT_VALIDITY: time::Duration = time::Duration::from_millis(1500);
/// A request that a load report confirms is given up after this many times the usual
/// duration.
const CONFIRMED_WAIT_FACTOR: u32 = 4;
/// A datagram is assumed to have arrived, or to be lost, after this long.
const NETWORK_ALLOWANCE: time::Duration = time::Duration::from_millis(50);

impl ServerLedger {
    /// Applies a load report and returns the requests that the server cannot be working
    /// on. If more requests were sent well before the report than it has busy slots, these
    /// are the oldest overdue ones, as many as exceed the busy slots.
    ///
    /// Without this, a request would keep its slot and its caller would get no reply if
    /// the request, its answer, or the copy of the answer for this home was lost. A long
    /// request that the server counts must not be considered lost, so only overdue
    /// requests are given up, and none
    ///
    /// - because of a datagram that may still be under way in either direction,
    /// - if the server has sent answers that have not arrived; they have until the next
    ///   report,
    /// - while all `slots` are busy, because the server may hold the request in a queue of
    ///   its own, which it does not report.
    pub fn apply_report(
        &mut self,
        now: Timestamp,
        slots: u32,
        view: BackendView,
    ) -> Vec<GivenUpRun> {
        let Some(report) = view.report.filter(|report| {
            report.made > self.last_report && now.since(report.made) >= NETWORK_ALLOWANCE
        }) else {
            return Vec::new();
        };
        self.last_report = report.made;
        let running = self.busy();
        let answers = &mut self.answers;
        self.answers_under_way = answers.apply_report(report.answers, running, report.busy_slots);
        let reached = report.asked.before(NETWORK_ALLOWANCE);
        if report.busy_slots >= slots {
            self.confirmed_before = reached;
            return Vec::new();
        }
        let counted = self.running.iter().filter(|slot| slot.counted);
        let counted = counted.filter(|slot| slot.sent < reached);
        let mut slots: Vec<RunningSlot> = counted.copied().collect();
        if report.busy_slots > 0 && slots.len() <= report.busy_slots as usize {
            self.confirmed_before = reached;
        }
        if self.answers_under_way {
            return Vec::new();
        }
        let excess = slots.len().saturating_sub(report.busy_slots as usize);
        slots.retain(|slot| slot.overdue && slot.progress < reached);
        slots.sort_by_key(|slot| slot.sent);
        slots.truncate(excess);
        let last_reply = self.last_reply;
        for lost in slots.iter().filter(|lost| last_reply > lost.sent) {
            if let Ok(position) = self.slot_position(&lost.entry.key) {
                self.running[position].counted = false;
                self.uncounted += 1;
            }
        }
        let cause = GivingUpCause::Uncounted;
        let lost = slots.into_iter();
        lost.map(|slot| GivenUpRun { slot, cause }).collect()
    }

    /// Stops counting slots of requests that have been overdue for long.
    pub fn release_overdue(&mut self, now: Timestamp) {
        let last_reply = self.last_reply;
        for slot in &mut self.running {
            // A server that has replied to nothing since the request was sent may be stuck
            // with all requests that it was sent, and must not get more.
            let over = now >= slot.counted_until;
            if slot.overdue && slot.counted && over && last_reply > slot.sent {
                slot.counted = false;
                self.uncounted += 1;
            }
        }
    }

    /// The requests whose callers must get their final reply now: those whose slots no
    /// longer count and that take longer than usual, unless a load report confirms them,
    /// and those whose deadline is near.
    pub fn due_final_replies(&self, now: Timestamp) -> Vec<GivenUpRun> {
        let due = self.running.iter().filter_map(|slot| {
            let cause = self.final_reply_cause(now, slot)?;
            Some(GivenUpRun { slot: *slot, cause })
        });
        due.collect()
    }

    fn final_reply_cause(&self, now: Timestamp, slot: &RunningSlot) -> Option<GivingUpCause> {
        let is_explained = self.is_confirmed_by_report(now, slot) || self.is_awaiting_answers(now);
        if !slot.counted && self.is_slow(now, slot) && !is_explained {
            return Some(GivingUpCause::Overdue);
        }
        (slot.final_reply_due() <= now).then_some(GivingUpCause::BeforeDeadline)
    }

    /// Whether a request takes longer than usual by the service times measured so far.
    /// When its slot stops counting depends on the service times at the time of sending,
    /// and none were measured before the first requests.
    fn is_slow(&self, now: Timestamp, slot: &RunningSlot) -> bool {
        now.since(slot.sent) > self.service_times.attempt_timeout() * COUNTED_TIMEOUTS
    }

    /// Whether the last load report showed answers that have not arrived, and is not
    /// outdated itself.
    fn is_awaiting_answers(&self, now: Timestamp) -> bool {
        self.answers_under_way && now.since(self.last_report) < REPORT_VALIDITY
    }

    /// Whether a load report shows the server as busy with all requests that were sent up
    /// to then, including this one. The confirmation has a time limit, because a report
    /// gives only the number of requests, not which ones run.
    fn is_confirmed_by_report(&self, now: Timestamp, slot: &RunningSlot) -> bool {
        let max_duration = slot.counted_until.since(slot.sent) * CONFIRMED_WAIT_FACTOR;
        slot.sent < self.confirmed_before
            && now.since(self.confirmed_before) < REPORT_VALIDITY
            && now < slot.sent.after(max_duration)
    }

    /// Marks requests that have become overdue and returns them.
    pub fn mark_overdue(&mut self, now: Timestamp) -> Vec<RunningSlot> {
        let timeout = self.service_times.attempt_timeout();
        let mut newly_overdue = Vec::new();
        for slot in &mut self.running {
            if !slot.overdue && now.since(slot.progress) > timeout {
                slot.overdue = true;
                newly_overdue.push(*slot);
            }
        }
        newly_overdue
    }
}
