//! The health of one server.

use std::time;

use cardamomwinch_protocol::prelude::LoadReport;
use cardamomwinch_state::prelude::{BackendId, Timestamp};

use crate::control::event::LoadFailure;
use crate::control::health::observation::BackendObservation;
use crate::control::health::probing::ProbeSchedule;
use crate::snapshot::ReportedLoad;

/// A server that is silent for this long is failing.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// A server counts as answering for this long after an answer.
const ANSWER_VALIDITY: time::Duration = time::Duration::from_millis(2500);
/// This many unanswered requests show that a server fails although its endpoint answers.
const UNANSWERED_LIMIT: u32 = 2;
/// An endpoint counts as silent after this many unanswered probes.
const FAILURE_LIMIT: u32 = 3;
/// The minimum duration of the first ejection.
const FIRST_EJECTION: time::Duration = time::Duration::from_secs(2);
/// The limit of the minimum duration, which doubles with each ejection.
const MAX_EJECTION: time::Duration = time::Duration::from_secs(30);
/// After this long without an ejection the next one starts at [`FIRST_EJECTION`] again.
const EJECTION_RESET_AFTER: time::Duration = time::Duration::from_secs(60);

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
    pub(crate) probes: ProbeSchedule,
    pub(crate) report: Option<ReportedLoad>,
    /// Whether the last report of the server said that it drains. This stays set while the
    /// endpoint is silent: a draining server often exits without another report.
    pub(crate) draining: bool,
    /// Whether `draining` has been logged.
    pub(crate) logged_draining: bool,
    reports_unhealthy: bool,
    /// When its endpoint last answered.
    last_report_at: Timestamp,
    /// When it last answered or shed a request.
    last_answer_at: Timestamp,
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
            probes: ProbeSchedule::new(now, backend),
            report: None,
            draining: false,
            logged_draining: false,
            reports_unhealthy: false,
            last_report_at: Timestamp::ZERO,
            last_answer_at: Timestamp::ZERO,
            silent_since: None,
            unanswered: 0,
            ejection: FIRST_EJECTION,
            ejection_ended: Timestamp::ZERO,
        }
    }

    pub(crate) fn handle_load(&mut self, now: Timestamp, result: Result<LoadReport, LoadFailure>) {
        let Ok(load) = result else {
            return self.probes.note_failure();
        };
        self.probes.note_answer();
        self.last_report_at = now;
        self.reports_unhealthy = !load.healthy;
        self.draining = load.draining;
        self.report = Some(ReportedLoad {
            asked: self.probes.probed_at,
            made: now,
            busy_slots: load.busy_slots,
            answers: load.answers,
        });
    }

    pub(crate) fn apply_observation(&mut self, now: Timestamp, observation: &BackendObservation) {
        if observation.answers + observation.sheds > 0 {
            self.last_answer_at = now;
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
        if now.since(self.last_answer_at) < SILENCE_TIMEOUT {
            return false;
        }
        let silent = self
            .silent_since
            .is_some_and(|since| now.since(since) > SILENCE_TIMEOUT);
        // A single request may just take long if the endpoint answers.
        let reported = now.since(self.last_report_at) < ANSWER_VALIDITY;
        let traffic = silent && (self.unanswered >= UNANSWERED_LIMIT || !reported);
        traffic || self.probes.failures >= FAILURE_LIMIT || self.reports_unhealthy
    }

    /// Whether the server has answered recently.
    pub(crate) fn is_answering(&self, now: Timestamp) -> bool {
        let last = self.last_answer_at.max(self.last_report_at);
        now.since(last) < ANSWER_VALIDITY && !self.is_failing(now)
    }

    pub(crate) fn eject(&mut self, now: Timestamp) {
        if now.since(self.ejection_ended) > EJECTION_RESET_AFTER {
            self.ejection = FIRST_EJECTION;
        }
        self.state = HealthState::Ejected {
            since: now,
            until: now.after(self.ejection),
        };
        self.probes.back_off();
        self.ejection = (self.ejection * 2).min(MAX_EJECTION);
    }

    /// Ends the ejection if the server has answered since it began. Its minimum duration
    /// doubles with each ejection, so that a server whose endpoint answers while its
    /// requests stay unanswered is tried less and less often.
    pub(crate) fn return_if_healthy(&mut self, now: Timestamp) -> bool {
        let HealthState::Ejected { since, until } = self.state else {
            return false;
        };
        let last = self.last_answer_at.max(self.last_report_at);
        if now < until || last <= since || !self.is_answering(now) {
            return false;
        }
        self.state = HealthState::Serving;
        self.ejection_ended = now;
        self.probes.resume(now);
        true
    }
}
