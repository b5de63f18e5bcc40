//! What this host has to tell others about servers.

use cardamomwinch_state::prelude::{BackendId, SortedVector, Timestamp};

use crate::forwarding::server_reports::{ReporterId, ServerReport, ServerSign};

/// The statements of this host that it has not told yet; of each server the latest.
#[derive(Debug)]
pub struct OwnReports {
    reporter: ReporterId,
    number: u64,
    pending: SortedVector<BackendId, ServerReport>,
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

    /// This host has seen `sign` of `server`.
    pub fn note(&mut self, server: BackendId, sign: ServerSign, now: Timestamp) {
        self.number += 1;
        let report = ServerReport {
            server,
            reporter: self.reporter,
            number: self.number,
            sign,
            at: now,
        };
        self.pending.insert(server, report);
    }

    /// Takes out what is to be told.
    pub fn take(&mut self) -> Vec<ServerReport> {
        let reports = self.pending.values().copied().collect();
        self.pending.clear();
        reports
    }
}
