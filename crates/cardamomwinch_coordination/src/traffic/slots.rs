//! How many slots of a backend server its home may use. The home's own count of
//! what it sent is exact; this estimates what else takes slots: requests that an
//! earlier home sent, requests given up that still run, a server that is cold or
//! has fewer slots than configured.
//!
//! Three hints err each in its own way. A shed is certain, but tells of one
//! instant. A load report lags, and may lie in both directions. The warm share
//! is a guess. So none of them ever raises the number of usable slots above the
//! configured one less the home's own count, and none lowers it below one.

use std::time;

use cardamomwinch_state::prelude::Timestamp;

use crate::snapshot::BackendView;

/// A load report says nothing after this long.
pub const REPORT_FRESH_FOR: time::Duration = time::Duration::from_secs(3);
/// A report of foreign work is doubted after this many answers without a shed.
const CALM_ANSWERS: u32 = 8;
/// A server whose reports are doubted is believed again after this long.
const DOUBT_FOR: time::Duration = time::Duration::from_secs(30);
/// The pause after the first shed.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(20);
/// The pause after many sheds in a row.
const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(1);

/// What takes slots of one server besides the requests that its home counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotEstimate {
    /// When each slot that is assumed to be taken is assumed to be free again.
    foreign: Vec<Timestamp>,
    pause: time::Duration,
    reported: u32,
    report_made: Timestamp,
    doubted_until: Timestamp,
    calm_answers: u32,
    busy_peak: u32,
}

impl Default for SlotEstimate {
    fn default() -> Self {
        Self {
            foreign: Vec::new(),
            pause: FIRST_PAUSE,
            reported: 0,
            report_made: Timestamp::ZERO,
            doubted_until: Timestamp::ZERO,
            calm_answers: 0,
            busy_peak: 0,
        }
    }
}

impl SlotEstimate {
    /// The slots that the home may fill, of `slots` that are configured.
    pub fn usable(&self, now: Timestamp, slots: u32, view: BackendView) -> u32 {
        let percent = u64::from(view.warm_percent.min(100));
        let warm = (u64::from(slots) * percent).div_ceil(100) as u32;
        let seen = self.foreign.iter().filter(|end| **end > now).count() as u32;
        let fresh = now.since(self.report_made) < REPORT_FRESH_FOR;
        let reported = if fresh { self.reported } else { 0 };
        warm.saturating_sub(seen.max(reported)).max(1)
    }

    /// How long a request that was just shed should wait.
    pub const fn pause(&self) -> time::Duration {
        self.pause
    }

    /// Notes how many requests the home has running.
    pub(crate) fn note_busy(&mut self, busy: u32) {
        self.busy_peak = self.busy_peak.max(busy);
    }

    /// Takes in a load report. It lags, so that only what exceeds the most that
    /// the home had running since the report before can be foreign work.
    pub(crate) fn take_report(&mut self, now: Timestamp, view: BackendView, busy: u32) {
        let Some(report) = view.report.filter(|report| report.made > self.report_made) else {
            return;
        };
        let own = self.busy_peak.max(busy);
        self.busy_peak = busy;
        self.report_made = report.made;
        self.reported = match now < self.doubted_until {
            true => 0,
            false => report.busy_slots.saturating_sub(own),
        };
    }

    /// Takes a slot to be in use, for instance by a request that was given up.
    pub(crate) fn note_lingering(&mut self, now: Timestamp, until: Timestamp) {
        self.foreign.retain(|end| *end > now);
        self.foreign.push(until);
    }

    /// Notes that the server shed a request while `busy` of `slots` were in use
    /// here: all others must be taken. The pause doubles with each shed.
    pub(crate) fn note_shed(&mut self, now: Timestamp, slots: u32, busy: u32) {
        let until = now.after(self.pause);
        self.foreign.retain(|end| *end > until);
        let taken = slots.saturating_sub(busy) as usize;
        let missing = taken.saturating_sub(self.foreign.len());
        self.foreign.resize(self.foreign.len() + missing, until);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        self.calm_answers = 0;
        self.doubted_until = now;
    }

    /// Notes an answer. Guards against a server that reports foreign work for
    /// ever: where it answers and sheds nothing, its reports are doubted for a
    /// while. Should they be true, the next shed restores them.
    pub(crate) fn note_answer(&mut self, now: Timestamp) {
        self.pause = FIRST_PAUSE;
        if self.reported == 0 {
            return;
        }
        self.calm_answers += 1;
        if self.calm_answers >= CALM_ANSWERS {
            self.calm_answers = 0;
            self.reported = 0;
            self.doubted_until = now.after(DOUBT_FOR);
        }
    }
}
