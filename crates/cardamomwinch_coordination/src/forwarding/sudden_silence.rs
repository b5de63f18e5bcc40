//! Detects within half a second that no server answers this host any longer, from openings
//! that are neither confirmed nor reset.
//!
//! A server that is alive confirms an opening within a round trip. If openings to several
//! servers that did so before are all left without an answer, the host can no longer reach
//! them. Callers of such openings send copies. This distinguishes the loss from servers that
//! reset openings because they are full or were restarted: their callers send no copies,
//! because they open other flows at once.

use std::time;

use cardamomwinch_state::prelude::{BackendId, Timestamp};

/// The time for which no server must have answered. Openings are checked every 100 ms, so a
/// loss is detected within half a second.
const MIN_SILENCE: time::Duration = time::Duration::from_millis(400);
/// An opening that was sent this long after the first silent one must be silent as well.
///
/// Guards against a link that loses everything for some tenths of a second: the openings
/// after that are confirmed.
const MIN_SPAN: time::Duration = time::Duration::from_millis(250);
/// A server that is alive confirms an opening within two round trips, which take less than
/// this also between regions.
const CONFIRMATION_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// A caller that gets no answer sends its first copy within this time.
const COPY_TIMEOUT: time::Duration = time::Duration::from_millis(260);
/// The number of openings that callers must have sent copies of, or of open flows whose
/// callers repeat data.
const MIN_COPIED: usize = 2;
/// The number of servers that must be silent.
const MIN_SILENT_SERVERS: usize = 4;
/// The number of silent servers that must have answered this host recently.
///
/// Guards against some dead servers that are still listed: without flows, they attract all
/// openings of a host for a while.
const MIN_KNOWN_SERVERS: usize = 3;
/// The maximum age of the last answer of such a server. The least busy hosts send a server one
/// flow in five to ten seconds. The store removes dead servers within a few seconds.
const KNOWN_RETENTION: time::Duration = time::Duration::from_secs(30);
/// The maximum time between the last answered packet and the first silent opening. If no
/// server answered before, the silence shows no change.
const ANSWER_RETENTION: time::Duration = time::Duration::from_secs(2);
/// How long openings are kept. Older ones show nothing about the present.
const OPENING_RETENTION: time::Duration = time::Duration::from_secs(1);
/// The maximum number of silent openings, and of repetitions, that are kept: more than it
/// takes to detect the loss.
const OPENING_LIMIT: usize = 64;

/// An opening, or a copy of one, that was sent since the last answer.
#[derive(Debug, Clone, Copy)]
struct SilentOpening {
    server: BackendId,
    sent_at: Timestamp,
    /// Whether its server had answered this host recently.
    known: bool,
    /// Whether it was itself a copy.
    is_copy: bool,
    /// Whether the caller has sent a copy after it.
    copied: bool,
}

/// The openings without an answer that were sent after the last packet with one.
#[derive(Debug, Default)]
pub struct SuddenSilence {
    /// When the last packet was sent that a server answered.
    answered_at: Option<Timestamp>,
    openings: Vec<SilentOpening>,
    /// The servers of open flows whose callers repeat data, and when these were first sent.
    repeated: Vec<(BackendId, Timestamp)>,
}

impl SuddenSilence {
    /// Records that a server answered a packet sent at `sent_at`.
    ///
    /// Requests that servers had before the loss are still answered after it. Their answers
    /// show nothing about openings that were sent later.
    pub fn note_answer(&mut self, sent_at: Timestamp) {
        if self.answered_at.is_none_or(|at| at < sent_at) {
            self.answered_at = Some(sent_at);
            self.openings.retain(|one| one.sent_at > sent_at);
            self.repeated.retain(|(_, at)| *at > sent_at);
        }
    }

    /// Records that an opening, or a copy of one, is sent to `server`, which last answered at
    /// `healthy_at`.
    pub fn note_sent(
        &mut self,
        server: BackendId,
        is_copy: bool,
        healthy_at: Option<Timestamp>,
        now: Timestamp,
    ) {
        self.openings
            .retain(|one| now.since(one.sent_at) <= OPENING_RETENTION);
        if self.openings.len() < OPENING_LIMIT {
            self.openings.push(SilentOpening {
                server,
                sent_at: now,
                known: healthy_at.is_some_and(|at| now.since(at) <= KNOWN_RETENTION),
                is_copy,
                copied: false,
            });
        }
    }

    /// Records that the caller sends a copy of the opening sent to `server` at `sent_at`.
    pub fn note_copy(&mut self, server: BackendId, sent_at: Timestamp) {
        let mut openings = self.openings.iter_mut();
        let is_meant = |one: &&mut SilentOpening| (one.server, one.sent_at) == (server, sent_at);
        if let Some(opening) = openings.find(is_meant) {
            opening.copied = true;
        }
    }

    /// Records that data sent to `server` at `sent_at` had to be sent again.
    pub fn note_repetition(&mut self, server: BackendId, sent_at: Timestamp) {
        let is_silent = self.answered_at.is_some_and(|at| sent_at > at);
        let repeated = (server, sent_at);
        if is_silent && self.repeated.len() < OPENING_LIMIT && !self.repeated.contains(&repeated) {
            self.repeated.push(repeated);
        }
    }

    /// Whether no server answers this host any longer.
    pub fn is_conclusive(&self, now: Timestamp) -> bool {
        let Some(first) = self.openings.first() else {
            return false;
        };
        let since = first.sent_at;
        let answered = self.answered_at;
        let was_answered = answered.is_some_and(|at| since.since(at) <= ANSWER_RETENTION);
        was_answered
            && now.since(since) >= MIN_SILENCE
            && self.spans(since, now)
            && self.shows_no_resets(now)
            && self.names_enough_servers(now)
    }

    /// The openings that should have been confirmed by `now`.
    fn due(&self, timeout: time::Duration, now: Timestamp) -> impl Iterator<Item = &SilentOpening> {
        let openings = self.openings.iter();
        openings.filter(move |one| now.since(one.sent_at) >= timeout)
    }

    fn spans(&self, since: Timestamp, now: Timestamp) -> bool {
        let mut due = self.due(CONFIRMATION_TIMEOUT, now);
        due.any(|one| one.sent_at.since(since) >= MIN_SPAN)
    }

    /// Whether callers send copies of their openings, which they do not after a reset.
    fn shows_no_resets(&self, now: Timestamp) -> bool {
        let copied = self.openings.iter().filter(|one| one.copied).count();
        // Callers wait longer after a copy.
        let due = || self.due(COPY_TIMEOUT, now).filter(|one| !one.is_copy);
        let due_copied = due().filter(|one| one.copied).count();
        copied + self.repeated.len() >= MIN_COPIED && due_copied * 2 > due().count()
    }

    fn names_enough_servers(&self, now: Timestamp) -> bool {
        let due = || self.due(CONFIRMATION_TIMEOUT, now);
        let known = due().filter(|one| one.known).map(|one| one.server);
        let all = due().map(|one| one.server);
        let repeated = || self.repeated.iter().map(|(server, _)| *server);
        count_distinct(all.chain(repeated())) >= MIN_SILENT_SERVERS
            && count_distinct(known.chain(repeated())) >= MIN_KNOWN_SERVERS
    }
}

fn count_distinct(servers: impl Iterator<Item = BackendId>) -> usize {
    let mut servers: Vec<_> = servers.collect();
    servers.sort_unstable();
    servers.dedup();
    servers.len()
}
