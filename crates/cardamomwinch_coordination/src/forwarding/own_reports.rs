//! What this host has to tell others about servers.

use cardamomwinch_state::prelude::{BackendId, SortedVector, Timestamp};

use crate::forwarding::server_reports::{ReportSubject, ReporterId, ServerReport, ServerSilence};

/// The statements of this host that it has not told yet; the latest about each server and
/// subject.
#[derive(Debug)]
pub struct OwnReports {
    reporter: ReporterId,
    number: u64,
    pending: SortedVector<(BackendId, ReportSubject), ServerReport>,
}

impl OwnReports {
    /// Nothing to tell yet. `reporter` must differ from that of every other process.
    pub const fn new(reporter: ReporterId) -> Self {
        Self {
            reporter,
            number: 0,
            pending: SortedVector::new(),
        }
    }

    /// Flows on `server` wait in vain at `now`.
    pub fn note_silence(
        &mut self,
        server: BackendId,
        subject: ReportSubject,
        silence: ServerSilence,
        now: Timestamp,
    ) {
        self.note(server, subject, Some(silence), now);
    }

    /// `server` was seen to do well at `at`.
    pub fn note_well(&mut self, server: BackendId, subject: ReportSubject, at: Timestamp) {
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

    /// Takes out what is to be told.
    pub fn take(&mut self) -> Vec<ServerReport> {
        let reports = self.pending.values().copied().collect();
        self.pending.clear();
        reports
    }
}
