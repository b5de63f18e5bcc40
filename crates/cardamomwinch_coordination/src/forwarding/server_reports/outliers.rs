//! Reports about servers that do worse than the others of their service.
//!
//! Each report carries the weight of the evidence of its host. The weights of different
//! hosts add up, but that of one host is limited, and so is what one host can refute.

use cardamomwinch_state::prelude::{BackendId, Timestamp};

use crate::forwarding::server_reports::{
    MIN_SILENT_HOSTS, ReportSubject, ReportTable, ReporterId, ServerSilence, StoredReport,
};
use crate::load::outliers::{CONCLUSIVE, MAX_HOST_EVIDENCE};

/// The maximum number of reports about outliers: three for each of eight servers. A report
/// has about 70 bytes and is repeated every 1.2 seconds, so that a host sends at most
/// 1.4 KB of them per second to each host that it exchanges reports with.
const MAX_OUTLIER_REPORTS: usize = 24;
/// The number of hosts that report and try a server while it is out; further ones only read
/// their reports. One of the three may be wrong, and another one may stop.
const WATCHING_HOSTS: usize = 3;

/// The number of hosts that must report an outlier to convince others. Answers refute that a
/// server hangs, but not that it refuses some requests. A host that saw no refused answer
/// cannot contradict, so chance reports are excluded by a third host instead.
const fn least_hosts(subject: ReportSubject) -> usize {
    match subject {
        ReportSubject::Failing => MIN_SILENT_HOSTS + 1,
        _ => MIN_SILENT_HOSTS,
    }
}

/// What the reports of several hosts show about an outlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutlierConclusion {
    /// The sum of the evidence, in hundredths of a nat; for a slow server, its response time
    /// in per cent of the median.
    pub weight: u32,
    /// Whether enough hosts other than this one report it.
    pub is_watched_by_others: bool,
}

impl ReportTable {
    /// Whether there are reports about outliers.
    pub fn has_outliers(&self) -> bool {
        self.reports.keys().any(|key| key.1.is_outlier())
    }

    pub(super) fn has_room_for_outlier(&self) -> bool {
        let outliers = self.reports.keys().filter(|key| key.1.is_outlier());
        outliers.count() < MAX_OUTLIER_REPORTS
    }

    /// The reports that `server` stands out which are not refuted. Two hosts are needed to
    /// refute one. This host alone refutes it for itself, if it observed at `healthy_at` that
    /// the server is healthy.
    fn standing_out(
        &self,
        server: BackendId,
        subject: ReportSubject,
        healthy_at: Option<Timestamp>,
        now: Timestamp,
    ) -> impl Iterator<Item = &StoredReport> {
        let fresh = self.reports_about(server, subject);
        let fresh = fresh.filter(move |kept| kept.report.is_fresh(now));
        fresh.filter(move |kept| {
            let is_refuted = |silence: &ServerSilence| {
                healthy_at.is_some_and(|at| silence.is_refuted_by(at))
                    || self.refuting_hosts(server, subject, silence) >= MIN_SILENT_HOSTS
            };
            kept.report
                .silence
                .is_some_and(|silence| !is_refuted(&silence))
        })
    }

    fn refuting_hosts(
        &self,
        server: BackendId,
        subject: ReportSubject,
        silence: &ServerSilence,
    ) -> usize {
        let reports = self.reports_about(server, subject).map(|kept| &kept.report);
        let healthy = reports.filter(|report| report.silence.is_none());
        healthy
            .filter(|report| silence.is_refuted_by(report.at))
            .count()
    }

    /// What reports of two hosts or more show, if they are conclusive; `reporter` is this
    /// host, which itself observed at `healthy_at` that the server is healthy.
    pub fn outlier_conclusion(
        &self,
        server: BackendId,
        subject: ReportSubject,
        reporter: ReporterId,
        healthy_at: Option<Timestamp>,
        now: Timestamp,
    ) -> Option<OutlierConclusion> {
        let (mut weights, mut earlier) = (Vec::new(), 0);
        for kept in self.standing_out(server, subject, healthy_at, now) {
            weights.push(kept.report.silence.map_or(0, |silence| silence.flows));
            earlier += usize::from(kept.report.reporter < reporter);
        }
        if weights.len() < least_hosts(subject) {
            return None;
        }
        weights.sort_unstable();
        let weight = if subject == ReportSubject::Slow {
            weights[weights.len() - MIN_SILENT_HOSTS]
        } else {
            let limit = MAX_HOST_EVIDENCE.get();
            weights.iter().map(|weight| (*weight).min(limit)).sum()
        };
        let is_conclusive = subject == ReportSubject::Slow || weight >= CONCLUSIVE.get();
        is_conclusive.then_some(OutlierConclusion {
            weight,
            is_watched_by_others: earlier >= WATCHING_HOSTS,
        })
    }

    /// Whether a host that observed at `healthy_at` that `server` is healthy should report
    /// that: there is a report that it refutes, and that too few others refute.
    pub fn needs_counter_report(
        &self,
        server: BackendId,
        subject: ReportSubject,
        reporter: ReporterId,
        healthy_at: Timestamp,
    ) -> bool {
        let known = self.reports.get(&(server, subject, reporter));
        let is_sent = |silence: &ServerSilence| {
            known.is_some_and(|kept| {
                kept.report.silence.is_none() && silence.is_refuted_by(kept.report.at)
            })
        };
        let reports = self.reports_about(server, subject);
        let mut silent = reports.filter_map(|kept| kept.report.silence);
        silent.any(|silence| {
            silence.is_refuted_by(healthy_at)
                && !is_sent(&silence)
                && self.refuting_hosts(server, subject, &silence) < MIN_SILENT_HOSTS
        })
    }
}
