//! A server that gets no new flows, and the trials that decide when it gets them again.

use std::time;

use cardamomwinch_state::prelude::{BackendId, Timestamp};

use crate::load::outcome_counts::EvidenceWeight;
use crate::load::outliers::watched::ServerGroup;
use crate::load::outliers::{OutlierChange, OutlierReason};

/// The time before the first trial. A process that hung for a moment has recovered by then.
pub(super) const FIRST_TRIAL_DELAY: time::Duration = time::Duration::from_secs(2);
/// Each failed trial doubles the delay, up to this: each one costs a caller its timeout.
const MAX_TRIAL_DELAY: time::Duration = time::Duration::from_secs(32);
/// The time between trials that succeed.
const TRIAL_SPACING: time::Duration = time::Duration::from_millis(100);
/// How long a host leaves the trials to others after it last had reports of theirs: longer
/// than the time between two judgements.
const POSTPONEMENT: time::Duration = time::Duration::from_secs(1);
/// After this time requests that may run only once are used as trials as well, because some
/// services have no others.
const IDEMPOTENT_TRIAL_TIME: time::Duration = time::Duration::from_secs(10);
/// A server that answers one request does not hang; the second one excludes a late answer
/// to an earlier request.
const HANGING_TRIALS: u32 = 2;
/// A server that fails 40 % of its requests passes eight trials in a row only once in 60
/// attempts.
const FAILING_TRIALS: u32 = 8;

/// Why and since when a server is out.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ejection {
    pub(super) reason: OutlierReason,
    pub(super) weight: EvidenceWeight,
    /// The evidence of this host itself, which it reports. Hosts with too little of it wait
    /// for the trials of those that report.
    pub(super) own_weight: EvidenceWeight,
    pub(super) since: Timestamp,
    pub(super) trial_delay: time::Duration,
    pub(super) next_trial_at: Timestamp,
    /// Successful trials in a row.
    successes: u32,
}

impl Ejection {
    pub(super) const fn new(
        reason: OutlierReason,
        weight: EvidenceWeight,
        own_weight: EvidenceWeight,
    ) -> Self {
        Self {
            reason,
            weight,
            own_weight,
            since: Timestamp::ZERO,
            trial_delay: FIRST_TRIAL_DELAY,
            next_trial_at: Timestamp::ZERO,
            successes: 0,
        }
    }

    /// Begins at `now`, with this delay before the first trial.
    pub(super) fn begin(mut self, trial_delay: time::Duration, now: Timestamp) -> Self {
        self.since = now;
        self.trial_delay = trial_delay.min(MAX_TRIAL_DELAY);
        self.next_trial_at = now.after(self.trial_delay);
        self
    }

    pub(super) fn allows_trial(&self, is_idempotent: bool, now: Timestamp) -> bool {
        let is_safe = is_idempotent || now.since(self.since) >= IDEMPOTENT_TRIAL_TIME;
        is_safe && now >= self.next_trial_at
    }

    /// Records that a flow is sent to the server. The next one waits for its result.
    pub(super) fn note_trial(&mut self, now: Timestamp) {
        self.next_trial_at = now.after(self.trial_delay);
    }

    pub(super) fn note_success(&mut self, now: Timestamp) {
        self.successes += 1;
        self.next_trial_at = now.after(TRIAL_SPACING);
    }

    pub(super) fn note_failure(&mut self, now: Timestamp) {
        self.successes = 0;
        self.trial_delay = (self.trial_delay * 2).min(MAX_TRIAL_DELAY);
        self.next_trial_at = now.after(self.trial_delay);
    }

    /// Leaves the trials to other hosts for now.
    pub(super) fn postpone(&mut self, now: Timestamp) {
        self.next_trial_at = self.next_trial_at.max(now.after(POSTPONEMENT));
    }

    pub(super) const fn has_recovered(&self) -> bool {
        let needed = match self.reason {
            OutlierReason::Hanging => HANGING_TRIALS,
            OutlierReason::Slow | OutlierReason::Failing => FAILING_TRIALS,
        };
        self.successes >= needed
    }

    pub(super) fn change(
        &self,
        server: BackendId,
        group: ServerGroup,
        is_out: bool,
        now: Timestamp,
    ) -> OutlierChange {
        OutlierChange {
            server,
            service: group.0,
            reason: self.reason,
            is_out,
            weight: self.weight,
            own_weight: self.own_weight,
            duration: now.since(self.since),
        }
    }
}
