//! Reports about backend servers on the wire.

use std::time;

use cardamomwinch_coordination::forwarding::beliefs::peer_word::PeerReport;
use cardamomwinch_coordination::forwarding::server_reports::ReporterId;
use cardamomwinch_state::prelude::BackendId;
use serde::{Deserialize, Serialize};

/// A report: the server, the reporter and the number that it gave, the age in
/// milliseconds, and how many flows met silence since how many milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireReport(BackendId, u64, u64, u64, Option<(u32, u64)>);

impl From<PeerReport> for WireReport {
    fn from(report: PeerReport) -> Self {
        let silence = report.silence;
        Self(
            report.server,
            report.reporter.get(),
            report.number,
            report.age.as_millis() as u64,
            silence.map(|(flows, age)| (flows, age.as_millis() as u64)),
        )
    }
}

impl From<WireReport> for PeerReport {
    fn from(report: WireReport) -> Self {
        let WireReport(server, reporter, number, age, silence) = report;
        Self {
            server,
            reporter: ReporterId::new(reporter),
            number,
            age: time::Duration::from_millis(age),
            silence: silence.map(|(flows, age)| (flows, time::Duration::from_millis(age))),
        }
    }
}
