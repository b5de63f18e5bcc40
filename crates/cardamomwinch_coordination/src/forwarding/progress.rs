//! Judges servers by the caller's half of their flows, the only half that hosts
//! see: an opening that is copied was not answered, data that come again were
//! not acknowledged, and an acknowledgement that advances proves that the
//! server lives.

use std::time;

use cardamomwinch_state::prelude::{BackendId, SortedVector, Timestamp};

use crate::forwarding::server_reports::{ReportSubject, ServerSilence};

/// How long a server that did not answer an opening gets no other one. Callers
/// copy openings after 200 ms; a server that lives answers within a round trip.
/// One lost datagram costs a server a second of new flows and nothing else.
const FIRST_SUSPICION: time::Duration = time::Duration::from_secs(1);
/// Each opening that goes unanswered after a suspicion doubles the next one, up
/// to this. The store takes a silent server off its list in a few seconds.
const LONGEST_SUSPICION: time::Duration = time::Duration::from_secs(4);
/// A server that lives confirms an opening within two round trips, less than this
/// also between regions. Later it counts as silent until it confirms one.
///
/// Guards against a server that has gone but is still listed: a reset comes back
/// past this host at once, its flows end, and having the fewest flows it would
/// draw every new one. It shows as callers that use up their retries in a row.
const CONFIRMATION_PATIENCE: time::Duration = time::Duration::from_millis(80);
/// An opening that is not confirmed yet counts as so many flows.
const UNCONFIRMED_LOAD: u64 = 4;
/// After this an unconfirmed server is tried again with one opening: one lost
/// datagram must not shut it out.
const CONFIRMATION_MEMORY: time::Duration = time::Duration::from_millis(1_500);
/// A response time counts as one of so many in the moving mean: a second or less
/// of a busy server's requests.
const RESPONSE_WEIGHT: u32 = 8;
/// How long a mean is worth something without new measurements.
const RESPONSE_MEMORY: time::Duration = time::Duration::from_secs(2);
/// So many flows must have met silence before a server is taken as silent for
/// flows that are open. Few may have lost packets by chance, or by queues on the
/// way of this host alone.
const SILENT_FLOWS: u32 = 3;
/// A server whose flows made progress within this time is lively.
const LIVELINESS: time::Duration = time::Duration::from_millis(500);
/// And for so long nobody may have seen it make progress: more than the 200 ms
/// after which callers send again, a stall of this host that goes unnoticed, and an
/// answer together. A server that is merely busy acknowledges at once what it is
/// sent.
const SILENCE: time::Duration = time::Duration::from_millis(500);
/// For so long after this host did not run, repetitions say nothing: callers sent
/// them because of the host, and answers are on their way.
const DISTRUST: time::Duration = time::Duration::from_millis(300);
/// What is known of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerProgress {
    /// Flows on the server that this host has lately seen.
    pub flows: u32,
    /// When a caller last acknowledged something new from it.
    progress_at: Timestamp,
    /// When that was seen for sure; never at first.
    lively_at: Option<Timestamp>,
    /// When it answered a request last.
    answered_at: Option<Timestamp>,
    /// Requests that have waited for too long since then, and when the first was sent.
    overdue: Option<ServerSilence>,
    /// Flows that met silence since then.
    silent_flows: u32,
    /// When the first data were sent that nobody answered since then.
    silent_since: Timestamp,
    /// Whether the data of one flow were lost three times in a row since then.
    lost_thrice: bool,
    suspected_until: Timestamp,
    suspicion: time::Duration,
    /// When the first opening went out that nothing has confirmed since.
    unconfirmed_since: Option<Timestamp>,
    /// How many openings went out since then.
    unconfirmed: u32,
    /// How many of them others were told of.
    unconfirmed_told: u32,
    /// Whether the flows of the silent server were ended.
    ended: bool,
    /// The moving mean of response times, and when the last one was taken.
    response: Option<(time::Duration, Timestamp)>,
}

impl ServerProgress {
    const fn starting(now: Timestamp) -> Self {
        Self {
            flows: 0,
            progress_at: now,
            lively_at: None,
            answered_at: None,
            overdue: None,
            silent_flows: 0,
            silent_since: Timestamp::ZERO,
            lost_thrice: false,
            suspected_until: Timestamp::ZERO,
            suspicion: time::Duration::ZERO,
            unconfirmed_since: None,
            unconfirmed: 0,
            unconfirmed_told: 0,
            ended: false,
            response: None,
        }
    }

    /// One more flow met silence with what was sent at `sent_at`.
    fn add_silent_flow(&mut self, sent_at: Timestamp) {
        if self.silent_flows == 0 || sent_at < self.silent_since {
            self.silent_since = sent_at;
        }
        self.silent_flows = self.silent_flows.saturating_add(1);
    }

    fn is_silent(&self, flows: u32, time: time::Duration, now: Timestamp) -> bool {
        self.silent_flows >= flows && now.since(self.progress_at) >= time
    }

    fn is_unconfirmed(&self, now: Timestamp) -> bool {
        self.unconfirmed_since.is_some_and(|since| {
            (CONFIRMATION_PATIENCE..CONFIRMATION_MEMORY).contains(&now.since(since))
        })
    }
}

/// What is known of all servers.
#[derive(Debug, Default)]
pub struct ProgressTable {
    servers: SortedVector<BackendId, ServerProgress>,
    /// Until when repetitions say nothing.
    distrust_until: Timestamp,
}

impl ProgressTable {
    fn entry(&mut self, server: BackendId, now: Timestamp) -> &mut ServerProgress {
        let make = || ServerProgress::starting(now);
        self.servers.get_or_insert_with(server, make)
    }

    /// What counts as the load of `server`: its flows, and more for openings that
    /// it has not confirmed. Callers whose flows are reset try again within
    /// milliseconds, and must not meet the same server again meanwhile.
    pub fn load(&self, server: BackendId) -> u64 {
        self.servers.get(&server).map_or(0, |entry| {
            u64::from(entry.flows) + UNCONFIRMED_LOAD * u64::from(entry.unconfirmed)
        })
    }

    /// The flows on `server` that this host has lately seen.
    pub fn flows(&self, server: BackendId) -> u32 {
        self.servers.get(&server).map_or(0, |entry| entry.flows)
    }

    /// A flow on `server` is seen from now on.
    pub fn add_flow(&mut self, server: BackendId, now: Timestamp) {
        let entry = self.entry(server, now);
        entry.flows = entry.flows.saturating_add(1);
    }

    /// A flow on `server` is no longer seen.
    pub fn remove_flow(&mut self, server: BackendId) {
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.flows = entry.flows.saturating_sub(1);
        }
    }

    /// An opening goes to `server`.
    pub fn note_opening(&mut self, server: BackendId, now: Timestamp) {
        let entry = self.entry(server, now);
        let forgotten = entry
            .unconfirmed_since
            .is_none_or(|since| now.since(since) >= CONFIRMATION_MEMORY);
        if forgotten {
            entry.unconfirmed_since = Some(now);
            entry.unconfirmed = 0;
            entry.unconfirmed_told = 0;
        }
        entry.unconfirmed = entry.unconfirmed.saturating_add(1);
    }

    /// Takes out the servers that have left openings without a confirmation and that
    /// others were not told of: how many openings, and when the first one went out.
    pub fn take_unconfirmed(&mut self, now: Timestamp) -> Vec<(BackendId, u32, Timestamp)> {
        let mut found = Vec::new();
        for (id, entry) in self.servers.iter_mut() {
            if entry.unconfirmed > entry.unconfirmed_told
                && entry.is_unconfirmed(now)
                && let Some(since) = entry.unconfirmed_since
            {
                entry.unconfirmed_told = entry.unconfirmed;
                found.push((*id, entry.unconfirmed, since));
            }
        }
        found
    }

    /// A caller has acknowledged something new from `server`. Returns whether
    /// the server was under suspicion until then.
    pub fn note_progress(&mut self, server: BackendId, now: Timestamp) -> bool {
        let entry = self.entry(server, now);
        let cleared = entry.suspected_until > now || entry.silent_flows >= SILENT_FLOWS;
        entry.progress_at = now;
        entry.lively_at = Some(now);
        entry.silent_flows = 0;
        entry.lost_thrice = false;
        entry.ended = false;
        entry.suspected_until = Timestamp::ZERO;
        entry.suspicion = time::Duration::ZERO;
        entry.unconfirmed_since = None;
        entry.unconfirmed = 0;
        cleared
    }

    /// A request on `server` was answered after `response`.
    pub fn note_response(&mut self, server: BackendId, response: time::Duration, now: Timestamp) {
        let entry = self.entry(server, now);
        let mean = match entry.response {
            Some((mean, at)) if now.since(at) <= RESPONSE_MEMORY => {
                (mean * (RESPONSE_WEIGHT - 1) + response) / RESPONSE_WEIGHT
            }
            _ => response,
        };
        entry.response = Some((mean, now));
    }

    /// The mean response time of `server`, where it was measured lately.
    pub fn response(&self, server: BackendId, now: Timestamp) -> Option<time::Duration> {
        let (mean, at) = self.servers.get(&server)?.response?;
        (now.since(at) <= RESPONSE_MEMORY).then_some(mean)
    }

    /// `server` did not answer an opening of `sent_at`; `proven` tells that the opening
    /// was not lost before it left this host. Returns whether that is new.
    pub fn note_unanswered(
        &mut self,
        server: BackendId,
        sent_at: Timestamp,
        proven: bool,
        now: Timestamp,
    ) -> bool {
        if now < self.distrust_until {
            return false;
        }
        let entry = self.entry(server, now);
        if proven {
            entry.add_silent_flow(sent_at);
        }
        if entry.suspected_until > now {
            return false;
        }
        let doubled = entry.suspicion.saturating_mul(2);
        entry.suspicion = doubled.clamp(FIRST_SUSPICION, LONGEST_SUSPICION);
        entry.suspected_until = now.after(entry.suspicion);
        true
    }

    /// A flow on `server` sends data of `sent_at` again, for the first time since it
    /// last made progress.
    pub fn note_silent_flow(&mut self, server: BackendId, sent_at: Timestamp, now: Timestamp) {
        if now < self.distrust_until {
            return;
        }
        self.entry(server, now).add_silent_flow(sent_at);
    }

    /// A flow on `server` has sent the same data three times since `since`. Returns
    /// whether nobody saw the server make progress meanwhile.
    pub fn note_lost_thrice(&mut self, server: BackendId, since: Timestamp) -> bool {
        let Some(entry) = self.servers.get_mut(&server) else {
            return false;
        };
        entry.lost_thrice |= entry.progress_at <= since;
        entry.lost_thrice
    }

    /// What met silence at `server` since it last made progress.
    pub fn silence(&self, server: BackendId) -> Option<ServerSilence> {
        let entry = self.servers.get(&server)?;
        (entry.silent_flows > 0).then_some(ServerSilence {
            flows: entry.silent_flows,
            since: entry.silent_since,
        })
    }

    /// `server` has answered a request.
    pub fn note_answer(&mut self, server: BackendId, now: Timestamp) {
        let entry = self.entry(server, now);
        entry.answered_at = Some(now);
        entry.overdue = None;
    }

    /// A request of `asked_at` has waited at `server` for too long. Returns all that did
    /// since it last answered one.
    pub fn note_overdue(
        &mut self,
        server: BackendId,
        asked_at: Timestamp,
        now: Timestamp,
    ) -> ServerSilence {
        let entry = self.entry(server, now);
        let overdue = entry.overdue.get_or_insert(ServerSilence {
            flows: 0,
            since: asked_at,
        });
        overdue.flows += 1;
        overdue.since = overdue.since.min(asked_at);
        *overdue
    }

    /// When `server` was last seen to do well in what reports about `subject` tell.
    pub fn well_at(&self, server: BackendId, subject: ReportSubject) -> Option<Timestamp> {
        let entry = self.servers.get(&server)?;
        match subject {
            ReportSubject::Delivery | ReportSubject::Openings => entry.lively_at,
            ReportSubject::Answers => entry.answered_at,
        }
    }

    /// Whether `server` is to get no new flows for now.
    pub fn is_suspected(&self, server: BackendId, now: Timestamp) -> bool {
        self.servers
            .get(&server)
            .is_some_and(|entry| entry.suspected_until > now || entry.is_unconfirmed(now))
            || self.is_silent(server, now)
    }

    /// Whether `server` is silent towards all flows that this host sees, so that
    /// waiting for it is in vain.
    pub fn is_silent(&self, server: BackendId, now: Timestamp) -> bool {
        self.servers
            .get(&server)
            .is_some_and(|entry| entry.is_silent(SILENT_FLOWS, SILENCE, now))
    }

    /// Whether what this host sees of servers can be trusted: at least as many
    /// are lively as are silent.
    ///
    /// Guards against a fault of this host's own, such as a link that is full of
    /// something else: all servers then look slow to answer, and callers whose
    /// flows are fine would be told that they are over.
    pub fn is_trustworthy(&self, now: Timestamp) -> bool {
        let busy = self.servers.values().filter(|entry| entry.flows > 0);
        let (mut lively, mut silent) = (0, 0);
        for entry in busy {
            if entry.silent_flows > 0 {
                silent += 1;
            } else if now.since(entry.progress_at) <= LIVELINESS {
                lively += 1;
            }
        }
        lively >= silent
    }

    /// A server that has gone, the first time that it is found so: one that is silent, or
    /// where one flow alone shows it. Flows that wait for nothing are ended then, too,
    /// before their callers send something into the void.
    ///
    /// The sooner the better: each caller with such a flow asks about once a second, and
    /// what it asks is late where it must be sent again.
    pub fn take_absent(&mut self, now: Timestamp) -> Option<BackendId> {
        let absent = |entry: &ServerProgress| {
            let flows = if entry.lost_thrice { 1 } else { SILENT_FLOWS };
            !entry.ended && entry.is_silent(flows, SILENCE, now)
        };
        let found = self.servers.iter_mut().find(|(_, entry)| absent(entry));
        let (id, entry) = found?;
        entry.ended = true;
        Some(*id)
    }

    /// Drops every suspicion. After this host itself slept, packets that waited
    /// for it look as if servers had been silent.
    pub fn pardon(&mut self, now: Timestamp) {
        self.distrust_until = now.after(DISTRUST);
        for (_, entry) in self.servers.iter_mut() {
            entry.progress_at = now;
            entry.silent_flows = 0;
            entry.overdue = None;
            entry.lost_thrice = false;
            entry.suspected_until = Timestamp::ZERO;
            entry.unconfirmed_since = None;
            entry.unconfirmed = 0;
        }
    }

    /// Forgets all that is known of `server`.
    pub fn forget(&mut self, server: BackendId) {
        self.servers.remove(&server);
    }

    /// Forgets the servers for which `keep` does not hold.
    pub fn retain(&mut self, mut keep: impl FnMut(BackendId) -> bool) {
        self.servers
            .retain(|id, entry| entry.flows > 0 || keep(*id));
    }
}
