//! Reports about backend servers on the wire.

use std::time;

use cardamomwinch_coordination::forwarding::discovery::peer_messages::PeerReport;
use cardamomwinch_coordination::forwarding::server_reports::{ReportSubject, ReporterId};
use cardamomwinch_state::prelude::BackendId;
use serde::{Deserialize, Serialize};

/// What a report is about, in a letter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum WireSubject {
    /// Whether the server takes what is sent to it.
    #[serde(rename = "d")]
    Delivery,
    /// Whether it confirms openings.
    #[serde(rename = "o")]
    Openings,
    /// Whether it answers requests.
    #[serde(rename = "a")]
    Answers,
}

impl From<ReportSubject> for WireSubject {
    fn from(subject: ReportSubject) -> Self {
        match subject {
            ReportSubject::Delivery => Self::Delivery,
            ReportSubject::Openings => Self::Openings,
            ReportSubject::Answers => Self::Answers,
        }
    }
}

impl From<WireSubject> for ReportSubject {
    fn from(subject: WireSubject) -> Self {
        match subject {
            WireSubject::Delivery => Self::Delivery,
            WireSubject::Openings => Self::Openings,
            WireSubject::Answers => Self::Answers,
        }
    }
}

/// A report: the server, the subject, the reporter and the number that it gave, the age in
/// milliseconds, and how many flows wait in vain for how many milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireReport(BackendId, WireSubject, u64, u64, u64, Option<(u32, u64)>);

impl From<PeerReport> for WireReport {
    fn from(report: PeerReport) -> Self {
        let silence = report.silence;
        Self(
            report.server,
            report.subject.into(),
            report.reporter.get(),
            report.number,
            report.age.as_millis() as u64,
            silence.map(|(flows, age)| (flows, age.as_millis() as u64)),
        )
    }
}

impl From<WireReport> for PeerReport {
    fn from(report: WireReport) -> Self {
        let WireReport(server, subject, reporter, number, age, silence) = report;
        Self {
            server,
            subject: subject.into(),
            reporter: ReporterId::new(reporter),
            number,
            age: time::Duration::from_millis(age),
            silence: silence.map(|(flows, age)| (flows, time::Duration::from_millis(age))),
        }
    }
}
