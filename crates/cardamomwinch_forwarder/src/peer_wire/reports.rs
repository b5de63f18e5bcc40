//! Reports about backend servers on the wire.

use std::time;

use cardamomwinch_coordination::forwarding::discovery::peer_messages::PeerReport;
use cardamomwinch_coordination::forwarding::server_reports::{ReportSubject, ReporterId};
use cardamomwinch_state::prelude::BackendId;
use serde::{Deserialize, Serialize};

/// The subject of a report, written as one letter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum WireSubject {
    /// Whether the server acknowledges data.
    #[serde(rename = "d")]
    Delivery,
    /// Whether the server confirms openings.
    #[serde(rename = "o")]
    Openings,
    /// Whether the server answers requests.
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

/// A report: the server, the subject, the reporter and its number for the report, the age
/// in milliseconds, and, for a silent server, the number of waiting flows and how long they
/// have waited, in milliseconds.
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
