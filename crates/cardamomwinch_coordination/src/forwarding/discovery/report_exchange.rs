//! Exchange of reports about servers between hosts.
//!
//! A host sends its reports to the host that it learns from, which passes them on in the
//! same way, and receives those of others with the answers to its queries. Each host
//! communicates with few others, whatever their number, and a report reaches the whole
//! domain in a few steps. Reports are not sent to other domains: while a domain is cut off,
//! its servers are silent for other domains but still serve its own hosts.

use std::net;
use std::sync;

use cardamomwinch_state::prelude::Timestamp;

use crate::forwarding::discovery::DiscoveryEngine;
use crate::forwarding::discovery::peer_messages::{PeerAnswer, PeerQuery, PeerReport};
use crate::forwarding::server_reports::{ReportSerial, ServerReport};

impl DiscoveryEngine {
    /// Adds reports of this host or of others. Returns whether any was new.
    pub fn add_reports(
        &mut self,
        now: Timestamp,
        reports: impl IntoIterator<Item = ServerReport>,
    ) -> bool {
        let before = self.reports.serial();
        for report in reports {
            sync::Arc::make_mut(&mut self.reports).note(report, now);
        }
        self.reports.serial() != before
    }

    /// The reports to send now, and the host to send them to.
    pub fn next_reports(&mut self, now: Timestamp) -> Option<(net::SocketAddr, Vec<PeerReport>)> {
        let host = self.source_choice.host_to_report_to(&self.peers, now)?;
        let sent = self.reports_sent.filter(|(known, _)| *known == host);
        let sent = sent.map(|(_, serial)| serial).unwrap_or_default();
        self.reports_sent = Some((host, self.reports.serial()));
        let reports = self.describe_reports(sent, now);
        (!reports.is_empty()).then_some((host, reports))
    }

    /// Sends all reports again with the next message, because the last one was not
    /// answered.
    pub const fn forget_sent_reports(&mut self) {
        self.reports_sent = None;
    }

    /// The reports after `serial`, as known at `now`.
    pub(super) fn describe_reports(&self, serial: ReportSerial, now: Timestamp) -> Vec<PeerReport> {
        let later = self.reports.after(serial);
        later
            .map(|report| PeerReport::from_report(report, now))
            .collect()
    }

    /// Whether there are reports for the host of `query`.
    pub(super) fn has_reports_for(&self, query: &PeerQuery) -> bool {
        let same_domain = query.host.domain == Some(self.settings.domain);
        same_domain && self.reports.serial() != query.reports_received
    }

    /// The serial up to which the host of `query` has the reports of this process. Its
    /// query may refer to an earlier process at this address.
    pub(super) fn reports_received_by(&self, query: &PeerQuery) -> ReportSerial {
        let known = query.reports_received;
        if known > self.reports.serial() {
            ReportSerial::default()
        } else {
            known
        }
    }

    /// The serial up to which `peer` has sent its reports.
    pub(super) fn reports_received_from(&self, peer: net::SocketAddr) -> ReportSerial {
        let known = self.reports_received.filter(|(host, _)| *host == peer);
        known.map(|(_, serial)| serial).unwrap_or_default()
    }

    /// Adds the reports in the answer of `peer`, if there was one. Returns whether any of
    /// them was new.
    pub(super) fn apply_reports_of(
        &mut self,
        now: Timestamp,
        peer: net::SocketAddr,
        answer: Option<&PeerAnswer>,
    ) -> bool {
        let Some(answer) = answer else {
            self.reports_received = None;
            return false;
        };
        self.reports_received = Some((peer, answer.reports_serial));
        // An answer may take long to arrive over a saturated link. With the time of arrival
        // instead, reports would override later observations of other hosts.
        let sent_at = self.sent_at(now, answer.waited);
        let reports = answer.reports.iter();
        self.add_reports(now, reports.map(|report| report.into_report(sent_at)))
    }
}
