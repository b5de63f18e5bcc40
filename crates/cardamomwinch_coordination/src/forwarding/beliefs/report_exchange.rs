//! How reports about servers get from host to host: up to the host that a host learns
//! from, which passes them on in the same way, and down with the answers to questions.
//! So each host speaks with few others however many there are, and what one has seen is
//! known in the whole domain after some steps. Other domains are told nothing: while one
//! is cut off, its servers are silent for them and serve its own hosts.

use std::net;
use std::sync;

use cardamomwinch_state::prelude::Timestamp;

use crate::forwarding::beliefs::BeliefEngine;
use crate::forwarding::beliefs::peer_word::{PeerQuestion, PeerReport, PeerWord};
use crate::forwarding::server_reports::{ReportSerial, ServerReport};

impl BeliefEngine {
    /// Takes over what this host or others have seen of servers. Returns whether any of it
    /// was new.
    pub fn take_reports(
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

    /// The reports that are to be told now, and to whom.
    pub fn next_reports(&mut self, now: Timestamp) -> Option<(net::SocketAddr, Vec<PeerReport>)> {
        let host = self.choice.host_to_report_to(&self.peers, now)?;
        let told = self.reports_told.filter(|(known, _)| *known == host);
        let told = told.map(|(_, serial)| serial).unwrap_or_default();
        self.reports_told = Some((host, self.reports.serial()));
        let reports = self.describe_reports(told, now);
        (!reports.is_empty()).then_some((host, reports))
    }

    /// The host that was told reports last did not answer: it is told everything again.
    pub const fn forget_told_reports(&mut self) {
        self.reports_told = None;
    }

    /// The reports that came after `serial`, as they are told at `now`.
    pub(super) fn describe_reports(&self, serial: ReportSerial, now: Timestamp) -> Vec<PeerReport> {
        let later = self.reports.after(serial);
        later
            .map(|report| PeerReport::from_report(report, now))
            .collect()
    }

    /// Whether there are reports to tell whoever asks `question`.
    pub(super) fn has_reports_for(&self, question: &PeerQuestion) -> bool {
        let same_domain = question.host.domain == Some(self.settings.domain);
        same_domain && self.reports.serial() != question.reports_known
    }

    /// How far this process has told its reports to whoever asks `question`, who may have
    /// asked a process that ran here before.
    pub(super) fn reports_known_by(&self, question: &PeerQuestion) -> ReportSerial {
        let known = question.reports_known;
        if known > self.reports.serial() {
            ReportSerial::default()
        } else {
            known
        }
    }

    /// How far `peer` has told its reports.
    pub(super) fn reports_known_of(&self, peer: net::SocketAddr) -> ReportSerial {
        let known = self.reports_known.filter(|(host, _)| *host == peer);
        known.map(|(_, serial)| serial).unwrap_or_default()
    }

    /// Takes over the reports in the answer of `peer`, if there was one. Returns whether
    /// any of them was new.
    pub(super) fn take_told_reports(
        &mut self,
        now: Timestamp,
        peer: net::SocketAddr,
        word: Option<&PeerWord>,
    ) -> bool {
        let Some(word) = word else {
            self.reports_known = None;
            return false;
        };
        self.reports_known = Some((peer, word.reports_serial));
        // An answer may be on its way for long, where a link is full. Taken for younger
        // than they are, reports would survive what others have seen since.
        let said_at = self.said_at(now, word.waited);
        let reports = word.reports.iter();
        self.take_reports(now, reports.map(|report| report.into_report(said_at)))
    }
}
