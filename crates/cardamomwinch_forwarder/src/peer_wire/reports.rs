//! Reports about backend servers on the wire.
//!
//! Earlier builds cannot decode a message with a subject that they do not know. Reports about
//! outliers are therefore sent in a field and with a method of their own, which they ignore.

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
    /// Whether the server hangs.
    #[serde(rename = "h")]
    Hanging,
    /// Whether the server refuses a large part of its requests.
    #[serde(rename = "f")]
    Failing,
    /// Whether the server is slow.
    #[serde(rename = "s")]
    Slow,
}

impl From<ReportSubject> for WireSubject {
    fn from(subject: ReportSubject) -> Self {
        match subject {
            ReportSubject::Delivery => Self::Delivery,
            ReportSubject::Openings => Self::Openings,
            ReportSubject::Answers => Self::Answers,
            ReportSubject::Hanging => Self::Hanging,
            ReportSubject::Failing => Self::Failing,
            ReportSubject::Slow => Self::Slow,
        }
    }
}

impl From<WireSubject> for ReportSubject {
    fn from(subject: WireSubject) -> Self {
        match subject {
            WireSubject::Delivery => Self::Delivery,
            WireSubject::Openings => Self::Openings,
            WireSubject::Answers => Self::Answers,
            WireSubject::Hanging => Self::Hanging,
            WireSubject::Failing => Self::Failing,
            WireSubject::Slow => Self::Slow,
        }
    }
}

/// A report: the server, the subject, the reporter and its number for the report, the age
/// in milliseconds, and, for a silent server, the number of waiting flows and how long they
/// have waited, in milliseconds. For an outlier, the number is the weight of the evidence in
/// hundredths of a nat, or the response time of a slow server in per cent of the median.
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

/// Separates the reports that earlier builds can decode from those about outliers.
pub fn split(reports: Vec<PeerReport>) -> (Vec<WireReport>, Vec<WireReport>) {
    let (outliers, others): (Vec<_>, Vec<_>) = reports
        .into_iter()
        .partition(|report| report.subject.is_outlier());
    let encode = |list: Vec<PeerReport>| list.into_iter().map(WireReport::from).collect();
    (encode(others), encode(outliers))
}
