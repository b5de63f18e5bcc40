//! What hosts of a failure domain tell each other about backend servers.
//!
//! A host of a large fleet sees one or two flows of each server. Alone it must lose a
//! request on each of them to learn what its neighbours learned seconds before; what all
//! of them see together shows within half a second that a server has gone.
//!
//! A report never says more than what its host saw: flows that met silence, or that the
//! server lives. The latest statement of each host counts. Reports cross several hosts on
//! their way and may meet themselves; the number that their host gave them tells which is
//! the later one.

use std::time;

use cardamomwinch_state::prelude::{BackendId, SortedVector, Timestamp};

/// So many flows must have met silence.
const SILENT_FLOWS: u32 = 3;
/// And hosts so many have seen it, since a host alone may lose what it sends.
const SILENT_HOSTS: usize = 2;
/// For so long nobody may have seen the server make progress: more than the 200 ms after
/// which callers send again, and the time in which another host objects.
const SILENCE: time::Duration = time::Duration::from_millis(500);
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

/// What a host has seen of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerSign {
    /// Flows met silence, though other servers answered what was sent at about that time.
    Silent {
        /// How many flows.
        flows: u32,
        /// When the first data were sent that nobody answered.
        since: Timestamp,
    },
    /// A caller acknowledged something new from it.
    Lively,
}

/// A statement of one host about one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerReport {
    /// The server.
    pub server: BackendId,
    /// Who saw it.
    pub reporter: ReporterId,
    /// Rises with each statement of the reporter.
    pub number: u64,
    /// What was seen.
    pub sign: ServerSign,
    /// When it was seen last.
    pub at: Timestamp,
}

impl ServerReport {
    const fn is_lively(&self) -> bool {
        matches!(self.sign, ServerSign::Lively)
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.at) <= REPORT_MEMORY
    }
}

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

/// A report, and its place in the order in which this host learned of reports.
#[derive(Debug, Clone, Copy)]
struct KeptReport {
    report: ServerReport,
    serial: ReportSerial,
}

/// The reports that a host knows, its own among them.
#[derive(Debug, Default, Clone)]
pub struct ReportTable {
    reports: SortedVector<(BackendId, ReporterId), KeptReport>,
    serial: ReportSerial,
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

    /// Takes over `report`, unless its host has made a later statement about the server,
    /// or it adds nothing. Returns whether it was taken.
    pub fn note(&mut self, report: ServerReport, now: Timestamp) -> bool {
        let key = (report.server, report.reporter);
        let known = self.reports.get(&key);
        let is_old = known.is_some_and(|known| known.report.number >= report.number);
        if is_old || !report.is_fresh(now) || !self.has_room(&report) {
            return false;
        }
        self.serial = ReportSerial(self.serial.0 + 1);
        let serial = self.serial;
        self.reports.insert(key, KeptReport { report, serial });
        true
    }

    fn has_room(&self, report: &ServerReport) -> bool {
        if self.reports.contains_key(&(report.server, report.reporter)) {
            return true;
        }
        let silent = || self.of_server(report.server).filter(|one| !one.is_lively());
        let adds = report.is_lively() || silent().count() < SILENT_REPORTS;
        adds && self.reports.len() < REPORT_LIMIT
    }

    fn of_server(&self, server: BackendId) -> impl Iterator<Item = &ServerReport> {
        let reports = self.reports.range_from(&(server, ReporterId(0)));
        let same = reports.take_while(move |((id, _), _)| *id == server);
        same.map(|(_, kept)| &kept.report)
    }

    /// The reports that speak against `server`, but those that later progress refutes:
    /// progress that others reported, or that this host saw itself at `progress_at`.
    fn standing(
        &self,
        server: BackendId,
        progress_at: Option<Timestamp>,
        now: Timestamp,
    ) -> impl Iterator<Item = (u32, Timestamp)> {
        let lively = self.of_server(server).filter(|one| one.is_lively());
        let lively_at = lively.map(|one| one.at).max().max(progress_at);
        let fresh = self.of_server(server).filter(move |one| one.is_fresh(now));
        fresh.filter_map(move |one| match one.sign {
            ServerSign::Silent { flows, since } => {
                let refuted = lively_at.is_some_and(|at| at > since.after(LATE_PROGRESS));
                (!refuted).then_some((flows, since))
            }
            ServerSign::Lively => None,
        })
    }

    /// Whether several hosts together have reason to give `server` no new flows; this host
    /// itself saw it make progress at `progress_at`, if ever. A mistake costs a server
    /// some new flows and no caller anything, so that no time has to pass first.
    pub fn is_doubtful(
        &self,
        server: BackendId,
        progress_at: Option<Timestamp>,
        now: Timestamp,
    ) -> bool {
        !self.is_empty() && self.standing(server, progress_at, now).count() >= SILENT_HOSTS
    }

    /// Whether several hosts together show that `server` has gone; this host itself saw
    /// it make progress at `progress_at`, if ever.
    pub fn is_silent(
        &self,
        server: BackendId,
        progress_at: Option<Timestamp>,
        now: Timestamp,
    ) -> bool {
        if self.is_empty() {
            return false;
        }
        let mut flows = 0;
        let mut hosts = 0;
        let mut first = now;
        for (silent, since) in self.standing(server, progress_at, now) {
            flows += silent;
            hosts += 1;
            first = first.min(since);
        }
        flows >= SILENT_FLOWS && hosts >= SILENT_HOSTS && now.since(first) >= SILENCE
    }

    /// Whether progress of `server` at `progress_at` refutes what is reported of it, so
    /// that others must hear so.
    pub fn is_refuted_by(&self, server: BackendId, progress_at: Timestamp) -> bool {
        let mut silent = self.of_server(server).filter_map(|one| match one.sign {
            ServerSign::Silent { since, .. } => Some(since),
            ServerSign::Lively => None,
        });
        let lively = self.of_server(server).filter(|one| one.is_lively());
        let told_at = lively.map(|one| one.at).max();
        silent.any(|since| {
            let refutes = |at: Timestamp| at > since.after(LATE_PROGRESS);
            refutes(progress_at) && !told_at.is_some_and(refutes)
        })
    }

    /// The servers that reports speak against, in rising order.
    pub fn servers(&self) -> Vec<BackendId> {
        let silent = self.reports.values().filter(|one| !one.report.is_lively());
        let mut servers: Vec<_> = silent.map(|one| one.report.server).collect();
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
