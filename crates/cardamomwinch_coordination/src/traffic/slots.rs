//! Estimates how many slots of a backend server its home may use. The home's own count of
//! sent requests is exact. The estimate covers other causes: requests that an earlier home
//! sent, requests that were given up and still run, and a server that is cold or has fewer
//! slots than configured.
//!
//! It uses three inexact inputs. A shed is certain, but applies to one instant. A load
//! report is delayed, and may be too high or too low. The warm share is a guess. So none
//! of them ever raises the number of usable slots above the configured number minus the
//! home's own count, and none lowers it below one.

use std::time;

use cardamomwinch_state::prelude::Timestamp;

use crate::snapshot::BackendView;

/// A load report is ignored after this time.
pub const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(3);
/// Reports of other work are ignored after this many answers without a shed.
const ANSWERS_UNTIL_IGNORED: u32 = 8;
/// How long the reports of a server are ignored.
const REPORT_IGNORE_DURATION: time::Duration = time::Duration::from_secs(30);
/// The pause after the first shed.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(20);
/// The longest pause, after many sheds in a row.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// An estimate of the slots of one server that are occupied by other work than the
/// requests that its home counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotEstimate {
    /// For each slot that is assumed to be occupied, when it is assumed to be free again.
    busy_until: Vec<Timestamp>,
    pause: time::Duration,
    reported: u32,
    report_made: Timestamp,
    reports_ignored_until: Timestamp,
    answers_since_shed: u32,
    busy_peak: u32,
}

impl Default for SlotEstimate {
    fn default() -> Self {
        Self {
            busy_until: Vec::new(),
            pause: FIRST_PAUSE,
            reported: 0,
            report_made: Timestamp::ZERO,
            reports_ignored_until: Timestamp::ZERO,
            answers_since_shed: 0,
            busy_peak: 0,
        }
    }
}

impl SlotEstimate {
    /// The number of slots that the home may fill, out of `slots` configured ones.
    pub fn usable(&self, now: Timestamp, slots: u32, view: BackendView) -> u32 {
        let percent = u64::from(view.warm_percent.min(100));
        let warm = (u64::from(slots) * percent).div_ceil(100) as u32;
        let assumed = self.busy_until.iter().filter(|end| **end > now).count() as u32;
        let fresh = now.since(self.report_made) < MAX_REPORT_AGE;
        let reported = if fresh { self.reported } else { 0 };
        warm.saturating_sub(assumed.max(reported)).max(1)
    }

    /// How long a request that was just shed must wait.
    pub const fn pause(&self) -> time::Duration {
        self.pause
    }

    /// Records how many requests of the home are running.
    pub(crate) fn note_busy(&mut self, busy: u32) {
        self.busy_peak = self.busy_peak.max(busy);
    }

    /// Applies a load report. Reports are delayed, so only busy slots in excess of the
    /// home's peak since the previous report count as other work.
    pub(crate) fn apply_report(&mut self, now: Timestamp, view: BackendView, busy: u32) {
        let Some(report) = view.report.filter(|report| report.made > self.report_made) else {
            return;
        };
        let own = self.busy_peak.max(busy);
        self.busy_peak = busy;
        self.report_made = report.made;
        self.reported = match now < self.reports_ignored_until {
            true => 0,
            false => report.busy_slots.saturating_sub(own),
        };
    }

    /// Assumes a slot to be occupied until `until`, for example by a request that was
    /// given up.
    pub(crate) fn note_still_running(&mut self, now: Timestamp, until: Timestamp) {
        self.busy_until.retain(|end| *end > now);
        self.busy_until.push(until);
    }

    /// Records that the server shed a request while this home used `busy` of `slots`: all
    /// other slots must be occupied. The pause doubles with each shed.
    pub(crate) fn note_shed(&mut self, now: Timestamp, slots: u32, busy: u32) {
        let until = now.after(self.pause);
        self.busy_until.retain(|end| *end > until);
        let other = slots.saturating_sub(busy) as usize;
        let missing = other.saturating_sub(self.busy_until.len());
        self.busy_until
            .resize(self.busy_until.len() + missing, until);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        self.answers_since_shed = 0;
        self.reports_ignored_until = now;
    }

    /// Records an answer. If a server permanently reports other work but answers requests
    /// and sheds none, its reports are ignored for a while. If the reports were correct,
    /// the server soon sheds a request, after which they are used again.
    pub(crate) fn note_answer(&mut self, now: Timestamp) {
        self.pause = FIRST_PAUSE;
        if self.reported == 0 {
            return;
        }
        self.answers_since_shed += 1;
        if self.answers_since_shed >= ANSWERS_UNTIL_IGNORED {
            self.answers_since_shed = 0;
            self.reported = 0;
            self.reports_ignored_until = now.after(REPORT_IGNORE_DURATION);
        }
    }
}
