//! Passes what is observed of servers to the judgement of outliers, and its findings to the
//! other hosts of the domain.

use std::net;

use cardamomwinch_state::prelude::{BackendId, Timestamp};

use crate::forwarding::engine::ForwardingEngine;
use crate::forwarding::engine::maintenance::OVERDUE_TICKS;
use crate::forwarding::routes::RouteEntry;
use crate::forwarding::server_reports::{ReportSubject, ServerSilence};
use crate::forwarding::view::ForwardingView;
use crate::load::outliers::{OutlierReason, OverdueRequest, ReportedOutlier};

/// The subject of reports about outliers of this reason.
const fn subject_of(reason: OutlierReason) -> ReportSubject {
    match reason {
        OutlierReason::Hanging => ReportSubject::Hanging,
        OutlierReason::Failing => ReportSubject::Failing,
        OutlierReason::Slow => ReportSubject::Slow,
    }
}

impl ForwardingEngine {
    /// Whether servers are judged by the requests of `route`.
    pub(super) fn judges_outliers(&self, route: Option<&RouteEntry>) -> bool {
        self.load_policy.outliers && route.is_some_and(|route| !route.latency_goal.is_zero())
    }

    /// Records that a request to `address` that was sent to `server` at `sent_at` is overdue.
    pub(super) fn note_overdue_request(
        &mut self,
        view: &ForwardingView,
        address: net::SocketAddr,
        server: BackendId,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        if !self.judges_outliers(view.routes.find(&address)) || !self.is_evidence_reliable(now) {
            return;
        }
        let Some(record) = view.directory.get(server) else {
            return;
        };
        let request = OverdueRequest {
            server,
            service: record.service,
            domain: record.domain,
            address,
            sent_at,
        };
        self.progress.outliers.note_overdue(&request, now);
    }

    /// Whether what this host observes is caused by servers, and not by its own link.
    fn is_evidence_reliable(&self, now: Timestamp) -> bool {
        self.can_assess_servers(now) && self.reaches_servers()
    }

    /// Decides which servers are out, and reports what this host has found.
    pub(super) fn judge_outliers(&mut self, now: Timestamp, view: &ForwardingView) {
        if !self.load_policy.outliers || !self.ticks.is_multiple_of(OVERDUE_TICKS) {
            return;
        }
        let is_reliable = self.is_evidence_reliable(now);
        let reported = self.reported_outliers(now, view);
        let outliers = &mut self.progress.outliers;
        outliers.judge(now, is_reliable, &reported, |service, domain| {
            view.directory.count(service, Some(domain))
        });
        for finding in outliers.take_findings(now, is_reliable) {
            let (server, subject) = (finding.server, subject_of(finding.reason));
            if finding.weight == 0 {
                self.own_reports.note_healthy(server, subject, now);
                continue;
            }
            let silence = ServerSilence {
                flows: finding.weight,
                since: finding.since,
            };
            self.own_reports.note_silence(server, subject, silence, now);
        }
        if is_reliable && view.reports.has_outliers() {
            self.refute_hanging(view);
        }
    }

    /// What the reports of several hosts of the domain show. Reports of a single host, and
    /// about servers that this host has seen healthy since, show nothing.
    fn reported_outliers(&self, now: Timestamp, view: &ForwardingView) -> Vec<ReportedOutlier> {
        let mut reported = Vec::new();
        if !view.reports.has_outliers() {
            return reported;
        }
        let reasons = [
            OutlierReason::Slow,
            OutlierReason::Failing,
            OutlierReason::Hanging,
        ];
        for reason in reasons {
            let subject = subject_of(reason);
            for server in view.reports.servers(subject) {
                let healthy_at = self.progress.healthy_at(server, subject);
                let reports = &view.reports;
                let conclusion =
                    reports.outlier_conclusion(server, subject, self.reporter, healthy_at, now);
                if let (Some(conclusion), Some(record)) = (conclusion, view.directory.get(server)) {
                    reported.push(ReportedOutlier {
                        server,
                        service: record.service,
                        domain: record.domain,
                        reason,
                        weight: conclusion.weight,
                        is_watched_by_others: conclusion.is_watched_by_others,
                    });
                }
            }
        }
        reported
    }

    /// Reports that servers which others report as hanging have answered this host since.
    fn refute_hanging(&mut self, view: &ForwardingView) {
        let subject = ReportSubject::Hanging;
        for server in view.reports.servers(subject) {
            if let Some(healthy_at) = self.progress.healthy_at(server, subject)
                && view
                    .reports
                    .needs_counter_report(server, subject, self.reporter, healthy_at)
            {
                self.own_reports.note_healthy(server, subject, healthy_at);
            }
        }
    }
}
