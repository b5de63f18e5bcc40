//! What this host has observed of one server, and what it reports about it.

use std::net;
use std::time;

use cardamomwinch_state::prelude::{BackendId, DomainId, ServiceId, Timestamp};

use crate::load::answer::AnswerObservation;
use crate::load::outcome_counts::{EvidenceWeight, OutcomeCount, RecentCount};
use crate::load::outliers::ejection::{self, Ejection};
use crate::load::outliers::{
    MIN_REPORTED_FAILING, MIN_REPORTED_HANGING, OutlierFinding, OutlierReason, OverdueRequest,
    REPORT_INTERVAL, ReportedOutlier,
};

/// The servers that are compared: those of a service in a failure domain.
pub(super) type ServerGroup = (ServiceId, DomainId);

/// A response time enters the moving mean with the weight `1 / RESPONSE_WEIGHT`.
const RESPONSE_WEIGHT: u32 = 4;
/// The number of response times that a mean needs, so that one long request is no evidence.
const MIN_RESPONSES: u32 = 4;
/// How long a mean is valid without new measurements.
const RESPONSE_RETENTION: time::Duration = time::Duration::from_secs(5);
/// How long after a server returned the reports of others are ignored, so that those from
/// before its return have expired.
const REPORTS_IGNORED: time::Duration = time::Duration::from_secs(4);
/// A server that is ejected again within this time after its return starts with a multiple
/// of the delay of its last trials, so that a server that fails again and again costs fewer
/// requests each time.
const RELAPSE_TIME: time::Duration = time::Duration::from_secs(60);
/// The factor by which the last trial delay is multiplied after a relapse.
const RELAPSE_FACTOR: u32 = 4;

/// The least evidence for which a host reports a server.
const fn least_reported(reason: OutlierReason) -> EvidenceWeight {
    match reason {
        OutlierReason::Hanging => MIN_REPORTED_HANGING,
        OutlierReason::Slow | OutlierReason::Failing => MIN_REPORTED_FAILING,
    }
}

/// Requests without an answer since the last answer.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct HangEvidence {
    pub(super) weight: EvidenceWeight,
    since: Option<Timestamp>,
}

/// What was last reported about a server.
#[derive(Debug, Clone, Copy)]
struct SentReport {
    reason: OutlierReason,
    weight: u32,
    at: Timestamp,
}

/// The last return of a server.
#[derive(Debug, Clone, Copy)]
struct ServerReturn {
    at: Timestamp,
    trial_delay: time::Duration,
}

/// What this host has observed of one server.
#[derive(Debug)]
pub(super) struct WatchedServer {
    pub(super) group: ServerGroup,
    /// Its requests by route; empty while it is out.
    pub(super) counts: Vec<(net::SocketAddr, RecentCount)>,
    pub(super) hang: HangEvidence,
    pub(super) ejection: Option<Ejection>,
    pub(super) reported: Option<ReportedOutlier>,
    pub(super) reported_slowness: Option<u32>,
    response: Option<(time::Duration, Timestamp)>,
    responses: u32,
    sent: Option<SentReport>,
    returned: Option<ServerReturn>,
}

impl WatchedServer {
    pub(super) const fn new(group: ServerGroup) -> Self {
        Self {
            group,
            counts: Vec::new(),
            hang: HangEvidence {
                weight: EvidenceWeight::ZERO,
                since: None,
            },
            ejection: None,
            reported: None,
            reported_slowness: None,
            response: None,
            responses: 0,
            sent: None,
            returned: None,
        }
    }

    fn counts_mut(&mut self, address: net::SocketAddr) -> &mut RecentCount {
        let known = self.counts.iter().position(|one| one.0 == address);
        let index = known.unwrap_or_else(|| {
            self.counts.push((address, RecentCount::default()));
            self.counts.len() - 1
        });
        &mut self.counts[index].1
    }

    pub(super) fn counts_of(&self, address: net::SocketAddr) -> RecentCount {
        let known = self.counts.iter().find(|one| one.0 == address);
        known.map(|one| one.1).unwrap_or_default()
    }

    pub(super) fn note_answer(&mut self, answer: &AnswerObservation, refused: bool) {
        self.clear_overdue();
        if let Some(response) = answer.response.filter(|_| !refused) {
            self.note_response(response, answer.at);
        }
        match &mut self.ejection {
            Some(ejection) if refused => ejection.note_failure(answer.at),
            Some(ejection) => ejection.note_success(answer.at),
            None => {
                let counts = self.counts_mut(answer.address);
                counts.add(OutcomeCount::answer(refused));
            }
        }
    }

    fn note_response(&mut self, response: time::Duration, now: Timestamp) {
        let known = self.mean_before(now);
        if known.is_none() {
            self.responses = 0;
        }
        let mean = known.map_or(response, |mean| {
            (mean * (RESPONSE_WEIGHT - 1) + response) / RESPONSE_WEIGHT
        });
        self.responses = self.responses.saturating_add(1);
        self.response = Some((mean, now));
    }

    fn mean_before(&self, now: Timestamp) -> Option<time::Duration> {
        let (mean, at) = self.response?;
        (now.since(at) <= RESPONSE_RETENTION).then_some(mean)
    }

    /// The mean response time, if enough requests were measured recently.
    pub(super) fn mean_response(&self, now: Timestamp) -> Option<time::Duration> {
        self.mean_before(now)
            .filter(|_| self.responses >= MIN_RESPONSES)
    }

    /// The response time in per cent of `median`.
    pub(super) fn slowness(&self, median: Option<time::Duration>, now: Timestamp) -> Option<u32> {
        let median = median?.as_micros().max(1);
        let percent = self.mean_response(now)?.as_micros() * 100 / median;
        Some(percent.min(u128::from(u32::MAX)) as u32)
    }

    /// Records a request without an answer. Returns whether it counts for the comparison of
    /// servers.
    pub(super) fn note_overdue(
        &mut self,
        request: &OverdueRequest,
        weight: EvidenceWeight,
        now: Timestamp,
    ) -> bool {
        self.hang.weight = self.hang.weight.plus(weight);
        let since = self.hang.since.get_or_insert(request.sent_at);
        *since = (*since).min(request.sent_at);
        match &mut self.ejection {
            Some(ejection) => {
                // Requests from before the ejection are no trials.
                if request.sent_at > ejection.since {
                    ejection.note_failure(now);
                }
                false
            }
            None => {
                let counts = self.counts_mut(request.address);
                counts.add(OutcomeCount::one_overdue());
                true
            }
        }
    }

    fn clear_overdue(&mut self) {
        self.hang = HangEvidence::default();
    }

    /// Forgets requests without an answer, although the server has not answered since.
    pub(super) fn forget_overdue(&mut self) {
        self.clear_overdue();
        self.sent = None;
    }

    pub(super) fn rotate_fresh(&mut self) {
        self.counts.iter_mut().for_each(|one| one.1.rotate_fresh());
    }

    pub(super) fn rotate(&mut self) {
        self.counts.iter_mut().for_each(|one| one.1.rotate());
        self.counts.retain(|one| !one.1.is_empty());
    }

    /// Whether anything is known of the server that may still matter.
    pub(super) fn is_needed(&self, now: Timestamp) -> bool {
        let relapses = self
            .returned
            .is_some_and(|one| now.since(one.at) < RELAPSE_TIME);
        !self.counts.is_empty() || self.ejection.is_some() || self.reported.is_some() || relapses
    }

    pub(super) const fn is_measured(&self) -> bool {
        !self.counts.is_empty() || self.ejection.is_some()
    }

    pub(super) fn heeds_reports(&self, now: Timestamp) -> bool {
        self.returned
            .is_none_or(|one| now.since(one.at) >= REPORTS_IGNORED)
    }

    /// Ejects the server. Its counts start anew, so that only later requests count when it
    /// returns.
    pub(super) fn eject(&mut self, ejection: Ejection, now: Timestamp) -> Ejection {
        let relapse = self.returned.filter(|one| now.since(one.at) < RELAPSE_TIME);
        let delay = relapse.map_or(ejection::FIRST_TRIAL_DELAY, |one| {
            one.trial_delay * RELAPSE_FACTOR
        });
        self.counts.clear();
        let ejection = ejection.begin(delay, now);
        self.ejection = Some(ejection);
        self.update_ejection(now);
        ejection
    }

    /// Ends the ejection.
    pub(super) fn take_back(&mut self, now: Timestamp) {
        if let Some(ejection) = self.ejection.take() {
            self.returned = Some(ServerReturn {
                at: now,
                trial_delay: ejection.trial_delay,
            });
        }
        self.clear_overdue();
    }

    /// Whether other hosts watch the server while it is out.
    fn is_left_to_others(&self) -> bool {
        self.reported.is_some_and(|one| one.is_watched_by_others)
    }

    /// Updates the own evidence that the server hangs. While other hosts report the server, the
    /// next trial is postponed if enough of them watch it, or if this host has too little
    /// evidence of its own.
    pub(super) fn update_ejection(&mut self, now: Timestamp) {
        let (has_reports, left) = (self.reported.is_some(), self.is_left_to_others());
        let hang = self.hang.weight;
        let Some(ejection) = &mut self.ejection else {
            return;
        };
        if ejection.reason == OutlierReason::Hanging {
            ejection.own_weight = hang;
        }
        let is_watching = ejection.own_weight >= least_reported(ejection.reason);
        if has_reports && (left || !is_watching) {
            ejection.postpone(now);
        }
    }

    /// What this host has to report, given the weight of refused answers and the response
    /// time in per cent of the median.
    pub(super) fn finding(
        &self,
        failing: EvidenceWeight,
        slow: Option<u32>,
    ) -> Option<(OutlierReason, u32)> {
        if self.is_left_to_others() {
            return None;
        }
        match &self.ejection {
            Some(ejection) => {
                let (reason, weight) = (ejection.reason, ejection.own_weight);
                (weight >= least_reported(reason)).then_some((reason, weight.get()))
            }
            None if self.hang.weight >= MIN_REPORTED_HANGING => {
                Some((OutlierReason::Hanging, self.hang.weight.get()))
            }
            None if failing >= MIN_REPORTED_FAILING => {
                Some((OutlierReason::Failing, failing.get()))
            }
            None => slow.map(|percent| (OutlierReason::Slow, percent)),
        }
    }

    /// The reports that are due: `found`, if it is new, much weightier than the last one, or
    /// has to be repeated, and the withdrawal of a report that no longer holds.
    pub(super) fn next_reports(
        &mut self,
        server: BackendId,
        found: Option<(OutlierReason, u32)>,
        now: Timestamp,
    ) -> Vec<OutlierFinding> {
        let since = self.hang.since.unwrap_or(now);
        let report = |reason, weight| OutlierFinding {
            server,
            reason,
            weight,
            since,
        };
        let mut reports = Vec::new();
        let ended = |sent: &SentReport| found.is_none_or(|one| one.0 != sent.reason);
        if let Some(sent) = self.sent.filter(ended) {
            // That a server does not hang is reported only after an answer. Otherwise the
            // report expires.
            if sent.reason != OutlierReason::Hanging || self.hang.weight == EvidenceWeight::ZERO {
                reports.push(report(sent.reason, 0));
            }
            self.sent = None;
        }
        if let Some((reason, weight)) = found {
            let is_due = self.sent.is_none_or(|sent| {
                now.since(sent.at) >= REPORT_INTERVAL || weight >= sent.weight.saturating_mul(2)
            });
            if is_due {
                let at = now;
                self.sent = Some(SentReport { reason, weight, at });
                reports.push(report(reason, weight));
            }
        }
        reports
    }
}
