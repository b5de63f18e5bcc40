//! The health of one server.

use std::time;

use cardamomwinch_protocol::prelude::LoadReport;
use cardamomwinch_state::prelude::{BackendId, Timestamp};

use crate::control::event::LoadFailure;
use crate::control::health::asking::AskSchedule;
use crate::control::health::observation::BackendObservation;
use crate::snapshot::ReportedLoad;

/// A server that is silent for this long is failing.
const SILENT_FOR: time::Duration = time::Duration::from_secs(2);
/// A server counts as answering for this long after an answer.
const ALIVE_FOR: time::Duration = time::Duration::from_millis(2500);
/// This many unanswered requests show that a server fails although its endpoint answers.
const UNANSWERED_LIMIT: u32 = 2;
/// An endpoint counts as silent after this many unanswered probes.
const FAILURE_LIMIT: u32 = 3;
/// The minimum duration of the first ejection.
const FIRST_EJECTION: time::Duration = time::Duration::from_secs(2);
/// The limit of the minimum duration, which doubles with each ejection.
const LONGEST_EJECTION: time::Duration = time::Duration::from_secs(30);
/// After this long without an ejection the next one starts at [`FIRST_EJECTION`] again.
const FORGIVEN_AFTER: time::Duration = time::Duration::from_secs(60);

/// Whether a server gets new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// It gets new flows.
    Serving,
    /// It gets no new flows.
    Ejected {
        /// Since when.
        since: Timestamp,
        /// The earliest time at which it may return.
        until: Timestamp,
    },
}

/// What is known about one server.
#[derive(Debug, Clone)]
pub(crate) struct ServerHealth {
    pub(crate) state: HealthState,
    pub(crate) asking: AskSchedule,
    pub(crate) report: Option<ReportedLoad>,
    /// Whether the last report of the server said that it drains. This stays set while the
    /// endpoint is silent: a draining server often exits without another report.
    pub(crate) draining: bool,
    /// Whether `draining` has been logged.
    pub(crate) told_draining: bool,
    says_unhealthy: bool,
    /// When its endpoint last answered.
    last_report: Timestamp,
    /// When it last answered or shed a request.
    last_answer: Timestamp,
    /// Since when requests have been unanswered.
    silent_since: Option<Timestamp>,
    /// Number of unanswered requests.
    unanswered: u32,
    ejection: time::Duration,
    ejection_ended: Timestamp,
}

impl ServerHealth {
    /// Creates the health of a server, which counts as healthy from `now` on.
    pub(crate) fn new(now: Timestamp, backend: BackendId) -> Self {
        Self {
            state: HealthState::Serving,
            asking: AskSchedule::new(now, backend),
            report: None,
            draining: false,
            told_draining: false,
            says_unhealthy: false,
            last_report: Timestamp::ZERO,
            last_answer: Timestamp::ZERO,
            silent_since: None,
            unanswered: 0,
            ejection: FIRST_EJECTION,
            ejection_ended: Timestamp::ZERO,
        }
    }

    pub(crate) fn take_load(&mut self, now: Timestamp, result: Result<LoadReport, LoadFailure>) {
        let Ok(load) = result else {
            return self.asking.note_failure();
        };
        self.asking.note_answer();
        self.last_report = now;
        self.says_unhealthy = !load.healthy;
        self.draining = load.draining;
        self.report = Some(ReportedLoad {
            asked: self.asking.asked,
            made: now,
            busy_slots: load.busy_slots,
            answers: load.answers,
        });
    }

    pub(crate) fn take_observation(&mut self, now: Timestamp, observation: &BackendObservation) {
        if observation.answers + observation.sheds > 0 {
            self.last_answer = now;
        }
        let silent = observation.unanswered > 0;
        self.silent_since = silent.then(|| now.before(observation.silent_for));
        self.unanswered = observation.unanswered;
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.state, HealthState::Ejected { .. })
    }

    /// Whether the server fails to answer where it should. Traffic takes precedence over
    /// the endpoint: an endpoint may fail, or report the server as unhealthy, while the
    /// server works; and it may report the server as healthy while requests stay
    /// unanswered.
    pub(crate) fn is_failing(&self, now: Timestamp) -> bool {
        if now.since(self.last_answer) < SILENT_FOR {
            return false;
        }
        let silent = self
            .silent_since
            .is_some_and(|since| now.since(since) > SILENT_FOR);
        // A single request may just take long if the endpoint answers.
        let reported = now.since(self.last_report) < ALIVE_FOR;
        let traffic = silent && (self.unanswered >= UNANSWERED_LIMIT || !reported);
        traffic || self.asking.failures >= FAILURE_LIMIT || self.says_unhealthy
    }

    /// Whether the server has answered recently.
    pub(crate) fn is_answering(&self, now: Timestamp) -> bool {
        let last = self.last_answer.max(self.last_report);
        now.since(last) < ALIVE_FOR && !self.is_failing(now)
    }

    pub(crate) fn eject(&mut self, now: Timestamp) {
        if now.since(self.ejection_ended) > FORGIVEN_AFTER {
            self.ejection = FIRST_EJECTION;
        }
        self.state = HealthState::Ejected {
            since: now,
            until: now.after(self.ejection),
        };
        self.asking.back_off();
        self.ejection = (self.ejection * 2).min(LONGEST_EJECTION);
    }

    /// Ends the ejection if the server has answered since it began. Its minimum duration
    /// doubles with each ejection, so that a server whose endpoint answers while its
    /// requests stay unanswered is tried less and less often.
    pub(crate) fn return_if_well(&mut self, now: Timestamp) -> bool {
        let HealthState::Ejected { since, until } = self.state else {
            return false;
        };
        let life = self.last_answer.max(self.last_report);
        if now < until || life <= since || !self.is_answering(now) {
            return false;
        }
        self.state = HealthState::Serving;
        self.ejection_ended = now;
        self.asking.resume(now);
        true
    }
}
