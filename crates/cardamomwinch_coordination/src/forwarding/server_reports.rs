//! What hosts of a failure domain tell each other about backend servers.
//!
//! A host of a large fleet sees one or two flows of each server. Alone it must lose a
//! request on each of them to learn what its neighbours learned seconds before; what all
//! of them see together shows within half a second that a server has gone.
//!
//! A report never says more than what its host saw: flows that waited in vain, or that the
//! server does well. The latest statement of each host counts. Reports cross several hosts on
//! their way and may meet themselves; the number that their host gave them tells which is
//! the later one.

use std::time;

use cardamomwinch_state::prelude::{BackendId, SortedVector, Timestamp};

/// So many flows must have met silence.
const SILENT_FLOWS: u32 = 3;
/// And hosts so many have seen it, since a host alone may lose what it sends.
const SILENT_HOSTS: usize = 2;
/// For so long nobody may have seen the server make progress: more than the 200 ms after
/// which callers send again.
const SILENCE: time::Duration = time::Duration::from_millis(500);
/// The last report that a verdict needs must have been known for so long: others need the
/// time to object.
const OBJECTION_TIME: time::Duration = time::Duration::from_millis(100);
/// What a server sent before it fell silent is acknowledged for so long: the way there and
/// back, and the time for which callers hold an acknowledgement.
const LATE_PROGRESS: time::Duration = time::Duration::from_millis(150);
/// A report that nothing repeats is forgotten after this. Flows that rest on a dead server
/// go on to show it; the store takes one off its list in a few seconds.
const REPORT_MEMORY: time::Duration = time::Duration::from_secs(3);
/// Reports of silence kept of one server: more than a verdict needs.
const SILENT_REPORTS: usize = 4;
/// Reports kept at most: those of a failure domain that goes dark, and of some more
/// servers. It bounds what hosts send when very much fails at once.
const REPORT_LIMIT: usize = 1_024;

/// The process of a host that reports. One that starts again reports as another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReporterId(u64);

impl ReporterId {
    /// Wraps a number that differs among processes.
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
    /// Whether the server takes the data that are sent to it, which callers send again
    /// through the same host. Only this ends flows.
    Delivery,
    /// Whether it confirms openings. The confirmation may pass another host.
    Openings,
    /// Whether it answers requests. One that takes them and answers none is lost for its
    /// callers as well, whatever it says of itself. An answer may pass another host, too.
    Answers,
}

impl ReportSubject {
    /// Every subject.
    pub const ALL: [Self; 3] = [Self::Delivery, Self::Openings, Self::Answers];
}

/// What flows on a server waited for in vain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerSilence {
    /// How many flows.
    pub flows: u32,
    /// Since when: what was sent then nobody has answered.
    pub since: Timestamp,
}

impl ServerSilence {
    /// Whether a server that did well at `well_at` was not silent.
    pub fn is_refuted_by(&self, well_at: Timestamp) -> bool {
        well_at > self.since.after(LATE_PROGRESS)
    }
}

/// A statement of one host about one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerReport {
    /// The server.
    pub server: BackendId,
    /// What it is about.
    pub subject: ReportSubject,
    /// Who saw it.
    pub reporter: ReporterId,
    /// Rises with each statement of the reporter.
    pub number: u64,
    /// What was waited for in vain; `None` where the server was seen to do well.
    pub silence: Option<ServerSilence>,
    /// When it was seen last.
    pub at: Timestamp,
}

impl ServerReport {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.at) <= REPORT_MEMORY
    }

    const fn key(&self) -> ReportKey {
        (self.server, self.subject, self.reporter)
    }
}

/// The order in which reports are kept.
type ReportKey = (BackendId, ReportSubject, ReporterId);

/// Tells how far a host has told its reports to another one.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportSerial(u64);

impl ReportSerial {
    /// Wraps a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// A report, and how this host learned of it.
#[derive(Debug, Clone, Copy)]
struct KeptReport {
    report: ServerReport,
    /// Its place in the order in which this host learned of reports.
    serial: ReportSerial,
    learned_at: Timestamp,
}

/// A report against a server that nothing refutes.
#[derive(Debug, Clone, Copy)]
struct StandingReport {
    silence: ServerSilence,
    learned_at: Timestamp,
}

/// The reports that a host knows, its own among them.
#[derive(Debug, Default, Clone)]
pub struct ReportTable {
    reports: SortedVector<ReportKey, KeptReport>,
    serial: ReportSerial,
}

/// What stands against a server.
#[derive(Debug, Clone, Copy, Default)]
struct ReportQuorum {
    flows: u32,
    hosts: usize,
    since: Option<Timestamp>,
    learned_at: Timestamp,
}

impl ReportQuorum {
    fn with(mut self, report: StandingReport) -> Self {
        let StandingReport {
            silence,
            learned_at,
        } = report;
        // Reports beyond those that a verdict needs must not put it off.
        if !self.is_complete() {
            self.learned_at = self.learned_at.max(learned_at);
        }
        self.flows = self.flows.saturating_add(silence.flows);
        self.hosts += 1;
        self.since = Some(self.since.map_or(silence.since, |at| at.min(silence.since)));
        self
    }

    const fn is_complete(&self) -> bool {
        self.flows >= SILENT_FLOWS && self.hosts >= SILENT_HOSTS
    }

    fn is_verdict(&self, now: Timestamp) -> bool {
        self.is_complete()
            && self.since.is_some_and(|since| now.since(since) >= SILENCE)
            && now.since(self.learned_at) >= OBJECTION_TIME
    }
}

impl ReportTable {
    /// Whether nothing is reported.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// The place of the latest report.
    pub const fn serial(&self) -> ReportSerial {
        self.serial
    }

    /// The reports that came after `serial`.
    pub fn after(&self, serial: ReportSerial) -> impl Iterator<Item = &ServerReport> {
        let kept = self.reports.values();
        let later = kept.filter(move |kept| kept.serial > serial);
        later.map(|kept| &kept.report)
    }

    /// Takes over `report`, unless its host has made a later statement, or it adds
    /// nothing. Returns whether it was taken.
    pub fn note(&mut self, report: ServerReport, now: Timestamp) -> bool {
        let known = self.reports.get(&report.key());
        let is_old = known.is_some_and(|known| known.report.number >= report.number);
        if is_old || !report.is_fresh(now) || !self.has_room(&report) {
            return false;
        }
        let was_silent = known.filter(|known| known.report.silence.is_some());
        let learned_at = was_silent.map_or(now, |known| known.learned_at);
        self.serial = ReportSerial(self.serial.0 + 1);
        let kept = KeptReport {
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
        let known = self.about(report.server, report.subject);
        let silent = known.filter(|kept| kept.report.silence.is_some());
        let adds = report.silence.is_none() || silent.count() < SILENT_REPORTS;
        adds && self.reports.len() < REPORT_LIMIT
    }

    fn about(
        &self,
        server: BackendId,
        subject: ReportSubject,
    ) -> impl Iterator<Item = &KeptReport> {
        let reports = self.reports.range_from(&(server, subject, ReporterId(0)));
        let same = reports.take_while(move |(key, _)| (key.0, key.1) == (server, subject));
        same.map(|(_, kept)| kept)
    }

    /// When hosts saw the server do well last.
    fn well_at(&self, server: BackendId, subject: ReportSubject) -> Option<Timestamp> {
        let well = self
            .about(server, subject)
            .filter(|kept| kept.report.silence.is_none());
        well.map(|kept| kept.report.at).max()
    }

    /// The reports against `server` that later progress does not refute: progress that
    /// others reported, or that this host saw itself at `progress_at`.
    fn standing(
        &self,
        server: BackendId,
        subject: ReportSubject,
        progress_at: Option<Timestamp>,
        now: Timestamp,
    ) -> impl Iterator<Item = StandingReport> {
        let well_at = self.well_at(server, subject).max(progress_at);
        let fresh = self
            .about(server, subject)
            .filter(move |kept| kept.report.is_fresh(now));
        fresh.filter_map(move |kept| {
            let silence = kept.report.silence?;
            let is_refuted = well_at.is_some_and(|at| silence.is_refuted_by(at));
            (!is_refuted).then_some(StandingReport {
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
        let standing = self.standing(server, subject, progress_at, now);
        standing.fold(ReportQuorum::default(), ReportQuorum::with)
    }

    /// Whether anything is reported of `server`.
    pub fn mentions(&self, server: BackendId) -> bool {
        let first = (server, ReportSubject::ALL[0], ReporterId(0));
        let mut reports = self.reports.range_from(&first);
        reports.next().is_some_and(|((id, ..), _)| *id == server)
    }

    /// Whether several hosts together have reason to give `server` no new flows; this host
    /// itself saw it make progress at `progress_at`, if ever. A mistake costs a server
    /// some new flows and no caller anything, so that no time has to pass first.
    pub fn is_doubtful(
        &self,
        server: BackendId,
        subject: ReportSubject,
        progress_at: Option<Timestamp>,
        now: Timestamp,
    ) -> bool {
        let quorum = self.quorum(server, subject, progress_at, now);
        quorum.hosts >= SILENT_HOSTS
    }

    /// Whether several hosts together show that `server` has gone or answers nobody; this
    /// host itself saw it make progress at `progress_at`, if ever.
    pub fn is_silent(
        &self,
        server: BackendId,
        subject: ReportSubject,
        progress_at: Option<Timestamp>,
        now: Timestamp,
    ) -> bool {
        let quorum = self.quorum(server, subject, progress_at, now);
        quorum.is_verdict(now)
    }

    /// Whether progress of `server` at `progress_at` refutes what is reported of it, and
    /// nobody has said so.
    pub fn is_refuted_by(
        &self,
        server: BackendId,
        subject: ReportSubject,
        progress_at: Timestamp,
    ) -> bool {
        let told_at = self.well_at(server, subject);
        let reports = self.about(server, subject);
        let mut silent = reports.filter_map(|kept| kept.report.silence);
        silent.any(|one| {
            let is_told = told_at.is_some_and(|at| one.is_refuted_by(at));
            one.is_refuted_by(progress_at) && !is_told
        })
    }

    /// The servers that reports about `subject` speak against, in rising order.
    pub fn servers(&self, subject: ReportSubject) -> Vec<BackendId> {
        let reports = self.reports.values().map(|kept| &kept.report);
        let silent = reports.filter(|one| one.subject == subject && one.silence.is_some());
        let mut servers: Vec<_> = silent.map(|one| one.server).collect();
        servers.dedup();
        servers
    }

    /// Forgets reports that nothing has repeated lately. Returns whether there were any.
    pub fn age(&mut self, now: Timestamp) -> bool {
        let before = self.reports.len();
        self.reports.retain(|_, kept| kept.report.is_fresh(now));
        self.reports.len() != before
    }
}
