//! Reports about backend servers that the hosts of a failure domain exchange.
//!
//! A host of a large fleet sees only one or two flows of each server. On its own it would
//! lose a request on each of them to find out that the server is dead, which other hosts
//! found out seconds before. The observations of all hosts together show it within half a
//! second.
//!
//! A report contains only what its host observed: flows without an answer, or that the
//! server is healthy. The latest report of each host counts. Reports pass through several
//! hosts and may arrive more than once and in any order; the number that the reporter gave
//! them shows which one is later.

pub mod outliers;

use std::time;

use cardamomwinch_state::prelude::{BackendId, SortedVector, Timestamp};

/// The number of silent flows, on all reporting hosts together, that shows that a server is
/// dead.
const MIN_SILENT_FLOWS: u32 = 3;
/// The number of hosts that must report it, because a single host may lose what it sends.
const MIN_SILENT_HOSTS: usize = 2;
/// How long the server must have been silent: longer than the 200 ms after which callers
/// send again.
const MIN_SILENCE: time::Duration = time::Duration::from_millis(500);
/// How long the last report that a conclusion needs must have been known, so that other
/// hosts have time to refute it.
const REFUTATION_TIME: time::Duration = time::Duration::from_millis(100);
/// How long after a server fell silent callers may still acknowledge what it sent before:
/// the round trip, and the time for which callers delay an acknowledgement.
const LATE_ACKNOWLEDGEMENT: time::Duration = time::Duration::from_millis(150);
/// How long a report is kept that is not repeated. Flows on a dead server cause further
/// reports; the store removes the server within a few seconds.
const REPORT_RETENTION: time::Duration = time::Duration::from_secs(3);
/// The maximum number of reports of silence about one server: more than a conclusion needs.
const MAX_SILENT_REPORTS: usize = 4;
/// The maximum number of reports: those about a whole failure domain that fails, and about
/// some more servers. It limits what hosts send when many servers fail at the same time.
const MAX_REPORTS: usize = 1_024;

/// Identifies the process of a host that reports. A restarted process has another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReporterId(u64);

impl ReporterId {
    /// Creates an identifier from a number that differs among processes.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// What a report is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportSubject {
    /// Whether the server acknowledges data. Callers repeat data through the same host, so
    /// this is reliable; only reports about this subject end flows.
    Delivery,
    /// Whether it confirms openings. The confirmation may pass through another host.
    Openings,
    /// Whether it answers requests. A server that accepts them and answers none is of no use
    /// to callers, even if its entry says that it is healthy. The acknowledgement of an answer
    /// may pass through another host.
    Answers,
    /// Whether it accepts requests and never answers, in comparison with others. For this
    /// subject and [`Self::Failing`], [`ServerSilence::flows`] is the weight of the evidence
    /// in hundredths of a nat.
    Hanging,
    /// Whether it refuses or fails a large part of its requests, in comparison with others.
    Failing,
    /// Whether it takes much longer than others. [`ServerSilence::flows`] is its response
    /// time in per cent of the median.
    Slow,
}

impl ReportSubject {
    /// The subjects that show whether a server is dead.
    pub const ALL: [Self; 3] = [Self::Delivery, Self::Openings, Self::Answers];
    /// The subjects that compare a server with the others of its service. Hosts of earlier
    /// builds do not know them.
    pub const OUTLIERS: [Self; 3] = [Self::Hanging, Self::Failing, Self::Slow];

    /// Whether reports about this subject compare a server with others.
    pub const fn is_outlier(self) -> bool {
        matches!(self, Self::Hanging | Self::Failing | Self::Slow)
    }
}

/// The flows that got no answer from a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerSilence {
    /// The number of flows.
    pub flows: u32,
    /// When the first data were sent that were not answered.
    pub since: Timestamp,
}

impl ServerSilence {
    /// Whether this silence is refuted by a server that was healthy at `healthy_at`.
    pub fn is_refuted_by(&self, healthy_at: Timestamp) -> bool {
        healthy_at > self.since.after(LATE_ACKNOWLEDGEMENT)
    }
}

/// A report of one host about one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerReport {
    /// The server.
    pub server: BackendId,
    /// The subject.
    pub subject: ReportSubject,
    /// The process that reports.
    pub reporter: ReporterId,
    /// Increases with each report of the reporter.
    pub number: u64,
    /// The flows that got no answer; `None` if the server is healthy.
    pub silence: Option<ServerSilence>,
    /// When this was last observed.
    pub at: Timestamp,
}

impl ServerReport {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.at) <= REPORT_RETENTION
    }

    const fn key(&self) -> ReportKey {
        (self.server, self.subject, self.reporter)
    }
}

/// The sort key of reports.
type ReportKey = (BackendId, ReportSubject, ReporterId);

/// The position of a report in the order in which a host received reports. It shows up to
/// which one the host has sent its reports to another host.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportSerial(u64);

impl ReportSerial {
    /// Creates a position from a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// A report, and when this host received it.
#[derive(Debug, Clone, Copy)]
struct StoredReport {
    report: ServerReport,
    /// Its position in the order in which this host received reports.
    serial: ReportSerial,
    /// When this host received the first of the reporter's uninterrupted reports of silence.
    learned_at: Timestamp,
}

/// A report of silence that is not refuted.
#[derive(Debug, Clone, Copy)]
struct UnrefutedReport {
    silence: ServerSilence,
    learned_at: Timestamp,
}

/// The reports that a host knows, including its own.
#[derive(Debug, Default, Clone)]
pub struct ReportTable {
    reports: SortedVector<ReportKey, StoredReport>,
    serial: ReportSerial,
}

/// The sum of the reports of silence about a server that are not refuted.
#[derive(Debug, Clone, Copy, Default)]
struct ReportQuorum {
    flows: u32,
    hosts: usize,
    since: Option<Timestamp>,
    learned_at: Timestamp,
}

impl ReportQuorum {
    fn with(mut self, report: UnrefutedReport) -> Self {
        let UnrefutedReport {
            silence,
            learned_at,
        } = report;
        // Reports beyond those that a conclusion needs must not delay it.
        if !self.is_complete() {
            self.learned_at = self.learned_at.max(learned_at);
        }
        self.flows = self.flows.saturating_add(silence.flows);
        self.hosts += 1;
        self.since = Some(self.since.map_or(silence.since, |at| at.min(silence.since)));
        self
    }

    const fn is_complete(&self) -> bool {
        self.flows >= MIN_SILENT_FLOWS && self.hosts >= MIN_SILENT_HOSTS
    }

    fn is_conclusive(&self, now: Timestamp) -> bool {
        self.is_complete()
            && self
                .since
                .is_some_and(|since| now.since(since) >= MIN_SILENCE)
            && now.since(self.learned_at) >= REFUTATION_TIME
    }
}

impl ReportTable {
    /// Whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// The position of the latest report.
    pub const fn serial(&self) -> ReportSerial {
        self.serial
    }

    /// The reports that were received after `serial`.
    pub fn after(&self, serial: ReportSerial) -> impl Iterator<Item = &ServerReport> {
        let kept = self.reports.values();
        let later = kept.filter(move |kept| kept.serial > serial);
        later.map(|kept| &kept.report)
    }

    /// Stores `report`, unless a later one of its reporter is known, it is too old, or there
    /// is no room for it. Returns whether it was stored.
    pub fn note(&mut self, report: ServerReport, now: Timestamp) -> bool {
        let known = self.reports.get(&report.key());
        let is_old = known.is_some_and(|known| known.report.number >= report.number);
        if is_old || !report.is_fresh(now) || !self.has_room(&report) {
            return false;
        }
        let was_silent = known.filter(|known| known.report.silence.is_some());
        let learned_at = was_silent.map_or(now, |known| known.learned_at);
        self.serial = ReportSerial(self.serial.0 + 1);
        let kept = StoredReport {
            report,
            serial: self.serial,
            learned_at,
        };
        self.reports.insert(report.key(), kept);
        true
    }

    fn has_room(&self, report: &ServerReport) -> bool {
        if self.reports.contains_key(&report.key()) {
            return true;
        }
        let known = self.reports_about(report.server, report.subject);
        let silent = known.filter(|kept| kept.report.silence.is_some());
        let is_wanted = report.silence.is_none() || silent.count() < MAX_SILENT_REPORTS;
        let has_space = !report.subject.is_outlier() || self.has_room_for_outlier();
        is_wanted && has_space && self.reports.len() < MAX_REPORTS
    }

    fn reports_about(
        &self,
        server: BackendId,
        subject: ReportSubject,
    ) -> impl Iterator<Item = &StoredReport> {
        let reports = self.reports.range_from(&(server, subject, ReporterId(0)));
        let same = reports.take_while(move |(key, _)| (key.0, key.1) == (server, subject));
        same.map(|(_, kept)| kept)
    }

    /// When hosts last reported that the server was healthy.
    fn healthy_at(&self, server: BackendId, subject: ReportSubject) -> Option<Timestamp> {
        let healthy = self
            .reports_about(server, subject)
            .filter(|kept| kept.report.silence.is_none());
        healthy.map(|kept| kept.report.at).max()
    }

    /// The reports of silence about `server` that are not refuted by later progress, which
    /// hosts reported or this host itself observed at `progress_at`.
    fn unrefuted(
        &self,
        server: BackendId,
        subject: ReportSubject,
        progress_at: Option<Timestamp>,
        now: Timestamp,
    ) -> impl Iterator<Item = UnrefutedReport> {
        let healthy_at = self.healthy_at(server, subject).max(progress_at);
        let fresh = self
            .reports_about(server, subject)
            .filter(move |kept| kept.report.is_fresh(now));
        fresh.filter_map(move |kept| {
            let silence = kept.report.silence?;
            let is_refuted = healthy_at.is_some_and(|at| silence.is_refuted_by(at));
            (!is_refuted).then_some(UnrefutedReport {
                silence,
                learned_at: kept.learned_at,
            })
        })
    }

    fn quorum(
        &self,
        server: BackendId,
        subject: ReportSubject,
        progress_at: Option<Timestamp>,
        now: Timestamp,
    ) -> ReportQuorum {
        let unrefuted = self.unrefuted(server, subject, progress_at, now);
        unrefuted.fold(ReportQuorum::default(), ReportQuorum::with)
    }

    /// Whether there are reports about `server`.
    pub fn has_reports_about(&self, server: BackendId) -> bool {
        let first = (server, ReportSubject::ALL[0], ReporterId(0));
        let mut reports = self.reports.range_from(&first);
        reports.next().is_some_and(|((id, ..), _)| *id == server)
    }

    /// Whether several hosts report silence of `server`, so that it should receive no new
    /// flows; `progress_at` is when this host itself last observed progress of it. A mistake
    /// costs the server some new flows and callers nothing, so there is no waiting time.
    pub fn is_suspected(
        &self,
        server: BackendId,
        subject: ReportSubject,
        progress_at: Option<Timestamp>,
        now: Timestamp,
    ) -> bool {
        let quorum = self.quorum(server, subject, progress_at, now);
        quorum.hosts >= MIN_SILENT_HOSTS
    }

    /// Whether the reports of several hosts show that `server` is dead or answers nobody;
    /// `progress_at` is when this host itself last observed progress of it.
    pub fn is_silent(
        &self,
        server: BackendId,
        subject: ReportSubject,
        progress_at: Option<Timestamp>,
        now: Timestamp,
    ) -> bool {
        let quorum = self.quorum(server, subject, progress_at, now);
        quorum.is_conclusive(now)
    }

    /// Whether progress of `server` at `progress_at` refutes a report of silence that no
    /// report refutes yet.
    pub fn needs_refutation(
        &self,
        server: BackendId,
        subject: ReportSubject,
        progress_at: Timestamp,
    ) -> bool {
        let reported_at = self.healthy_at(server, subject);
        let reports = self.reports_about(server, subject);
        let mut silent = reports.filter_map(|kept| kept.report.silence);
        silent.any(|one| {
            let is_reported = reported_at.is_some_and(|at| one.is_refuted_by(at));
            one.is_refuted_by(progress_at) && !is_reported
        })
    }

    /// The servers with reports of silence about `subject`, in ascending order.
    pub fn servers(&self, subject: ReportSubject) -> Vec<BackendId> {
        let reports = self.reports.values().map(|kept| &kept.report);
        let silent = reports.filter(|one| one.subject == subject && one.silence.is_some());
        let mut servers: Vec<_> = silent.map(|one| one.server).collect();
        servers.dedup();
        servers
    }

    /// Removes reports that were not repeated recently. Returns whether there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.reports.len();
        self.reports.retain(|_, kept| kept.report.is_fresh(now));
        self.reports.len() != before
    }
}
