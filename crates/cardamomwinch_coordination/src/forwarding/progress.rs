//! Tracks which servers are alive by the packets of callers; hosts do not see the packets
//! of servers. A copy of an opening shows that the server did not answer it, repeated data
//! show that they were not acknowledged, and an acknowledgement that advances proves that
//! the server is alive.
//!
//! Callers repeat a packet, that is they send a copy of it, until it is acknowledged or they
//! give up. A server is called silent towards a flow while the caller repeats packets and
//! acknowledges nothing new from the server. A flow is called silent in that case, too.
//!
//! A server that holds as many flows as it may leaves openings unanswered and still serves
//! its flows. So unanswered openings only keep new flows away from a server, and only silent
//! flows show that it is dead.

use std::time;

use cardamomwinch_state::prelude::{BackendId, SortedVector, Timestamp};

use crate::forwarding::record::{EndCause, EndEvidence};
use crate::forwarding::server_reports::{ReportSubject, ServerSilence};
use crate::load::outliers::OutlierTable;

/// How long a server that did not answer an opening receives no further one. Callers send
/// a copy of an opening after 200 ms; a server that is alive answers within a round trip.
/// One lost datagram costs a server a second of new flows and nothing else.
const FIRST_SUSPICION: time::Duration = time::Duration::from_secs(1);
/// Each unanswered opening after a suspicion doubles the duration of the next one, up to
/// this. The store removes a silent server within a few seconds.
const MAX_SUSPICION: time::Duration = time::Duration::from_secs(4);
/// A server that is alive confirms an opening within two round trips, which take less than
/// this also between regions. After this time it is suspected until it confirms one.
///
/// Guards against a dead server that is still listed. Its resets go to the callers directly,
/// so its flows end at once; with the fewest flows it would attract every new one, and
/// callers would use up all their retries on it.
const CONFIRMATION_TIMEOUT: time::Duration = time::Duration::from_millis(80);
/// The number of flows that an unconfirmed opening counts as.
const UNCONFIRMED_LOAD: u64 = 4;
/// How long openings count as unconfirmed. After this, one opening is sent to the server
/// again, because one lost datagram must not exclude it for good.
const UNCONFIRMED_RETENTION: time::Duration = time::Duration::from_millis(1_500);
/// A new response time enters the moving mean with the weight `1 / RESPONSE_WEIGHT`. The
/// mean covers a second or less of the requests of a busy server.
const RESPONSE_WEIGHT: u32 = 8;
/// How long a mean is valid without new measurements.
const RESPONSE_RETENTION: time::Duration = time::Duration::from_secs(2);
/// The number of silent flows from which a server counts as silent towards all open
/// flows. Fewer may have lost packets by chance, or in queues close to this host.
const MIN_SILENT_FLOWS: u32 = 3;
/// A server makes progress as long as the last progress of its flows is no older than this.
const RECENT_PROGRESS: time::Duration = time::Duration::from_millis(500);
/// How long a silent server must have made no progress: longer than the 200 ms after which
/// callers send again, a pause of this host too short to be detected, and an answer
/// together. A server that is merely busy acknowledges data at once.
const MIN_SILENCE: time::Duration = time::Duration::from_millis(500);
/// How long after a process pause repetitions are ignored. Callers sent them because this
/// host did not forward, and the answers are still on their way.
const IGNORED_AFTER_PAUSE: time::Duration = time::Duration::from_millis(300);

/// What this host has observed of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerProgress {
    /// The number of flows on the server that this host counts.
    pub flows: u32,
    /// When a caller last acknowledged new data of the server, or suspicions were cleared,
    /// or this entry was created.
    progress_at: Timestamp,
    /// When a caller last acknowledged new data of the server; `None` if none did yet.
    observed_progress_at: Option<Timestamp>,
    /// When the server last answered a request.
    answered_at: Option<Timestamp>,
    /// The number of requests that became overdue since `answered_at`, and when the first
    /// of them was sent.
    overdue: Option<ServerSilence>,
    /// The number of open flows that became silent since `progress_at`.
    silent_flows: u32,
    /// The number of openings that were not answered since `progress_at`.
    unanswered_openings: u32,
    /// When the first data were sent that were not acknowledged since `progress_at`.
    silent_since: Timestamp,
    /// Whether one flow has sent the same data three times without an acknowledgement since
    /// `progress_at`.
    triple_loss: bool,
    /// Until when the server receives no new flows, because it did not answer an opening.
    suspected_until: Timestamp,
    /// The duration of the last suspicion.
    suspicion: time::Duration,
    /// When the first of the unconfirmed openings was sent.
    unconfirmed_since: Option<Timestamp>,
    /// The number of unconfirmed openings.
    unconfirmed: u32,
    /// How many of them were reported to other hosts.
    unconfirmed_reported: u32,
    /// Whether the flows of the silent server were ended.
    flows_ended: bool,
    /// The moving mean of response times, and the time of the last measurement.
    response: Option<(time::Duration, Timestamp)>,
}

impl ServerProgress {
    const fn new(now: Timestamp) -> Self {
        Self {
            flows: 0,
            progress_at: now,
            observed_progress_at: None,
            answered_at: None,
            overdue: None,
            silent_flows: 0,
            unanswered_openings: 0,
            silent_since: Timestamp::ZERO,
            triple_loss: false,
            suspected_until: Timestamp::ZERO,
            suspicion: time::Duration::ZERO,
            unconfirmed_since: None,
            unconfirmed: 0,
            unconfirmed_reported: 0,
            flows_ended: false,
            response: None,
        }
    }

    /// Counts one more silent flow, whose data were sent at `sent_at`.
    fn add_silent_flow(&mut self, sent_at: Timestamp) {
        if self.silent_flows == 0 || sent_at < self.silent_since {
            self.silent_since = sent_at;
        }
        self.silent_flows = self.silent_flows.saturating_add(1);
    }

    /// Whether at least `flows` open flows are silent, and none made progress for a while.
    fn is_silent(&self, flows: u32, now: Timestamp) -> bool {
        self.silent_flows >= flows && now.since(self.progress_at) >= MIN_SILENCE
    }

    /// The number of silent flows and unanswered openings.
    const fn unanswered(&self) -> u32 {
        self.silent_flows.saturating_add(self.unanswered_openings)
    }

    /// Whether several packets were not answered, and no flow made progress for a while.
    fn is_unresponsive(&self, now: Timestamp) -> bool {
        self.unanswered() >= MIN_SILENT_FLOWS && now.since(self.progress_at) >= MIN_SILENCE
    }

    fn is_unconfirmed(&self, now: Timestamp) -> bool {
        self.unconfirmed_since.is_some_and(|since| {
            (CONFIRMATION_TIMEOUT..UNCONFIRMED_RETENTION).contains(&now.since(since))
        })
    }
}

/// What this host has observed of all servers.
#[derive(Debug, Default)]
pub struct ProgressTable {
    servers: SortedVector<BackendId, ServerProgress>,
    /// Until when repetitions are ignored.
    repetitions_ignored_until: Timestamp,
    /// Which servers do worse than the others.
    pub outliers: OutlierTable,
}

impl ProgressTable {
    fn entry(&mut self, server: BackendId, now: Timestamp) -> &mut ServerProgress {
        let make = || ServerProgress::new(now);
        self.servers.get_or_insert_with(server, make)
    }

    /// The load of `server`: its number of flows, raised for openings that it has not
    /// confirmed. Callers whose flows are reset try again within milliseconds, and must not
    /// reach the same server again.
    pub fn load(&self, server: BackendId) -> u64 {
        self.servers.get(&server).map_or(0, |entry| {
            u64::from(entry.flows) + UNCONFIRMED_LOAD * u64::from(entry.unconfirmed)
        })
    }

    /// The number of flows on `server` that this host counts.
    pub fn flows(&self, server: BackendId) -> u32 {
        self.servers.get(&server).map_or(0, |entry| entry.flows)
    }

    /// Starts to count a flow on `server`.
    pub fn add_flow(&mut self, server: BackendId, now: Timestamp) {
        let entry = self.entry(server, now);
        entry.flows = entry.flows.saturating_add(1);
    }

    /// Stops counting a flow on `server`.
    pub fn remove_flow(&mut self, server: BackendId) {
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.flows = entry.flows.saturating_sub(1);
        }
    }

    /// Records that an opening is sent to `server`.
    pub fn note_opening(&mut self, server: BackendId, now: Timestamp) {
        let entry = self.entry(server, now);
        let forgotten = entry
            .unconfirmed_since
            .is_none_or(|since| now.since(since) >= UNCONFIRMED_RETENTION);
        if forgotten {
            entry.unconfirmed_since = Some(now);
            entry.unconfirmed = 0;
            entry.unconfirmed_reported = 0;
        }
        entry.unconfirmed = entry.unconfirmed.saturating_add(1);
    }

    /// Returns the servers with unconfirmed openings that were not reported yet, and marks
    /// these as reported: the number of openings, and when the first of them was sent.
    pub fn take_unconfirmed(&mut self, now: Timestamp) -> Vec<(BackendId, u32, Timestamp)> {
        let mut found = Vec::new();
        for (id, entry) in self.servers.iter_mut() {
            if entry.unconfirmed > entry.unconfirmed_reported
                && entry.is_unconfirmed(now)
                && let Some(since) = entry.unconfirmed_since
            {
                entry.unconfirmed_reported = entry.unconfirmed;
                found.push((*id, entry.unconfirmed, since));
            }
        }
        found
    }

    /// Records that a caller acknowledged new data of `server`. Returns whether the server
    /// was suspected until then.
    pub fn note_progress(&mut self, server: BackendId, now: Timestamp) -> bool {
        let entry = self.entry(server, now);
        let cleared = entry.suspected_until > now || entry.unanswered() >= MIN_SILENT_FLOWS;
        entry.progress_at = now;
        entry.observed_progress_at = Some(now);
        entry.silent_flows = 0;
        entry.unanswered_openings = 0;
        entry.triple_loss = false;
        entry.flows_ended = false;
        entry.suspected_until = Timestamp::ZERO;
        entry.suspicion = time::Duration::ZERO;
        entry.unconfirmed_since = None;
        entry.unconfirmed = 0;
        cleared
    }

    /// Records that a request on `server` was answered after `response`.
    pub fn note_response(&mut self, server: BackendId, response: time::Duration, now: Timestamp) {
        let entry = self.entry(server, now);
        let mean = match entry.response {
            Some((mean, at)) if now.since(at) <= RESPONSE_RETENTION => {
                (mean * (RESPONSE_WEIGHT - 1) + response) / RESPONSE_WEIGHT
            }
            _ => response,
        };
        entry.response = Some((mean, now));
    }

    /// The mean response time of `server`, if it was measured recently.
    pub fn response(&self, server: BackendId, now: Timestamp) -> Option<time::Duration> {
        let (mean, at) = self.servers.get(&server)?.response?;
        (now.since(at) <= RESPONSE_RETENTION).then_some(mean)
    }

    /// The mean response times of all servers that were measured recently.
    pub fn responses(&self, now: Timestamp) -> impl Iterator<Item = (BackendId, time::Duration)> {
        self.servers.iter().filter_map(move |(id, entry)| {
            let (mean, at) = entry.response?;
            (now.since(at) <= RESPONSE_RETENTION).then_some((*id, mean))
        })
    }

    /// Records that `server` did not answer an opening. `was_delivering` is whether this host
    /// delivered other packets when it sent the opening. Returns whether the server becomes
    /// suspected by this.
    pub fn note_unanswered_opening(
        &mut self,
        server: BackendId,
        was_delivering: bool,
        now: Timestamp,
    ) -> bool {
        if now < self.repetitions_ignored_until {
            return false;
        }
        let entry = self.entry(server, now);
        if was_delivering {
            entry.unanswered_openings = entry.unanswered_openings.saturating_add(1);
        }
        if entry.suspected_until > now {
            return false;
        }
        let doubled = entry.suspicion.saturating_mul(2);
        entry.suspicion = doubled.clamp(FIRST_SUSPICION, MAX_SUSPICION);
        entry.suspected_until = now.after(entry.suspicion);
        true
    }

    /// Records that a flow on `server` repeats data first sent at `sent_at`, for the first
    /// time since the flow last made progress.
    pub fn note_silent_flow(&mut self, server: BackendId, sent_at: Timestamp, now: Timestamp) {
        if now < self.repetitions_ignored_until {
            return;
        }
        self.entry(server, now).add_silent_flow(sent_at);
    }

    /// Records that a flow on `server` sent the same data three times since `since`. Returns
    /// whether the server has made no progress since then.
    pub fn note_triple_loss(&mut self, server: BackendId, since: Timestamp) -> bool {
        let Some(entry) = self.servers.get_mut(&server) else {
            return false;
        };
        entry.triple_loss |= entry.progress_at <= since;
        entry.triple_loss
    }

    /// The flows on `server` that became silent since it last made progress.
    pub fn silence(&self, server: BackendId) -> Option<ServerSilence> {
        let entry = self.servers.get(&server)?;
        (entry.silent_flows > 0).then_some(ServerSilence {
            flows: entry.silent_flows,
            since: entry.silent_since,
        })
    }

    /// What was observed of `server`, whose flows are ended for `cause`.
    pub fn end_evidence(&self, server: BackendId, cause: EndCause) -> EndEvidence {
        let entry = self.servers.get(&server);
        EndEvidence {
            cause,
            silent_flows: entry.map_or(0, |entry| entry.silent_flows),
            unanswered_openings: entry.map_or(0, |entry| entry.unanswered_openings),
        }
    }

    /// Records that `server` answered a request.
    pub fn note_answer(&mut self, server: BackendId, now: Timestamp) {
        let entry = self.entry(server, now);
        entry.answered_at = Some(now);
        entry.overdue = None;
    }

    /// Records that a request sent to `server` at `sent_at` is overdue. Returns all requests
    /// that became overdue since it last answered one.
    pub fn note_overdue(
        &mut self,
        server: BackendId,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> ServerSilence {
        let entry = self.entry(server, now);
        let overdue = entry.overdue.get_or_insert(ServerSilence {
            flows: 0,
            since: sent_at,
        });
        overdue.flows += 1;
        overdue.since = overdue.since.min(sent_at);
        *overdue
    }

    /// When this host last observed that `server` is healthy with respect to `subject`.
    pub fn healthy_at(&self, server: BackendId, subject: ReportSubject) -> Option<Timestamp> {
        let entry = self.servers.get(&server)?;
        match subject {
            ReportSubject::Delivery | ReportSubject::Openings => entry.observed_progress_at,
            ReportSubject::Answers | ReportSubject::Hanging => entry.answered_at,
            ReportSubject::Failing | ReportSubject::Slow => None,
        }
    }

    /// Whether `server` is currently to receive no new flows.
    pub fn is_suspected(&self, server: BackendId, now: Timestamp) -> bool {
        self.servers.get(&server).is_some_and(|entry| {
            let is_suspected = entry.suspected_until > now || entry.is_unconfirmed(now);
            is_suspected || entry.is_unresponsive(now)
        })
    }

    /// Whether `server` is silent towards all flows of this host, so that waiting for it is
    /// of no use.
    pub fn is_silent(&self, server: BackendId, now: Timestamp) -> bool {
        self.servers
            .get(&server)
            .is_some_and(|entry| entry.is_silent(MIN_SILENT_FLOWS, now))
    }

    /// Whether silence of servers is reliable evidence: at least as many servers make
    /// progress as are silent.
    ///
    /// Guards against a fault of this host itself, such as a link that is full of other
    /// traffic: all servers then seem to be silent, and working flows would be reset.
    pub fn is_silence_reliable(&self, now: Timestamp) -> bool {
        let busy = self.servers.values().filter(|entry| entry.flows > 0);
        let (mut progressing, mut silent) = (0, 0);
        for entry in busy {
            if entry.unanswered() > 0 {
                silent += 1;
            } else if now.since(entry.progress_at) <= RECENT_PROGRESS {
                progressing += 1;
            }
        }
        progressing >= silent
    }

    /// Returns a dead server that was not returned before, and the evidence: it is silent by
    /// several flows, or by a triple loss on one flow. Its other flows, also idle ones, can
    /// then be ended before their callers send something that gets no answer.
    ///
    /// This should happen as early as possible: each caller with such a flow sends about one
    /// request a second, and its answer is late if it must be sent again.
    pub fn take_dead_server(&mut self, now: Timestamp) -> Option<(BackendId, EndCause)> {
        let is_dead = |entry: &ServerProgress| {
            let flows = if entry.triple_loss {
                1
            } else {
                MIN_SILENT_FLOWS
            };
            !entry.flows_ended && entry.is_silent(flows, now)
        };
        let found = self.servers.iter_mut().find(|(_, entry)| is_dead(entry));
        let (id, entry) = found?;
        entry.flows_ended = true;
        let cause = if entry.silent_flows >= MIN_SILENT_FLOWS {
            EndCause::SilentFlows
        } else {
            EndCause::TripleLoss
        };
        Some((*id, cause))
    }

    /// Clears all suspicions, and ignores repetitions for a short time. After a pause of this
    /// host, packets that were queued look as if servers had been silent.
    pub fn clear_suspicions(&mut self, now: Timestamp) {
        self.repetitions_ignored_until = now.after(IGNORED_AFTER_PAUSE);
        self.outliers.clear_overdue();
        for (_, entry) in self.servers.iter_mut() {
            entry.progress_at = now;
            entry.silent_flows = 0;
            entry.unanswered_openings = 0;
            entry.overdue = None;
            entry.triple_loss = false;
            entry.suspected_until = Timestamp::ZERO;
            entry.unconfirmed_since = None;
            entry.unconfirmed = 0;
        }
    }

    /// Removes all observations of `server`.
    pub fn remove(&mut self, server: BackendId) {
        self.servers.remove(&server);
        self.outliers.remove(server);
    }

    /// Removes the servers without flows for which `keep` does not hold.
    pub fn retain(&mut self, mut keep: impl FnMut(BackendId) -> bool) {
        self.servers
            .retain(|id, entry| entry.flows > 0 || keep(*id));
        self.outliers.retain(keep);
    }
}
