//! Reports of this host about servers that are still to be sent to other hosts.

use cardamomwinch_state::prelude::{BackendId, SortedVector, Timestamp};

use crate::forwarding::server_reports::{ReportSubject, ReporterId, ServerReport, ServerSilence};

/// The reports of this host that it has not sent yet: the latest one about each server and
/// subject.
#[derive(Debug)]
pub struct OwnReports {
    reporter: ReporterId,
    number: u64,
    pending: SortedVector<(BackendId, ReportSubject), ServerReport>,
}

impl OwnReports {
    /// Creates an empty list. `reporter` must differ from that of every other process.
    pub const fn new(reporter: ReporterId) -> Self {
        Self {
            reporter,
            number: 0,
            pending: SortedVector::new(),
        }
    }

    /// Adds a report that flows on `server` are still without an answer at `now`.
    pub fn note_silence(
        &mut self,
        server: BackendId,
        subject: ReportSubject,
        silence: ServerSilence,
        now: Timestamp,
    ) {
        self.note(server, subject, Some(silence), now);
    }

    /// Adds a report that `server` was healthy at `at`.
    pub fn note_healthy(&mut self, server: BackendId, subject: ReportSubject, at: Timestamp) {
        self.note(server, subject, None, at);
    }

    fn note(
        &mut self,
        server: BackendId,
        subject: ReportSubject,
        silence: Option<ServerSilence>,
        at: Timestamp,
    ) {
        self.number += 1;
        let report = ServerReport {
            server,
            subject,
            reporter: self.reporter,
            number: self.number,
            silence,
            at,
        };
        self.pending.insert((server, subject), report);
    }

    /// Removes and returns the reports that are to be sent.
    pub fn take(&mut self) -> Vec<ServerReport> {
        let reports = self.pending.values().copied().collect();
        self.pending.clear();
        reports
    }
}
