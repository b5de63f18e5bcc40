//! Whether this host reaches any server at all.
//!
//! Guards against a failure domain that is cut off while callers still reach its hosts,
//! and none of the servers beside them may take flows: they are evacuated, or the service
//! has none there. It shows as callers of one domain whose every try waits in vain, while
//! hosts elsewhere could serve them. A host that no server answers leaves the fabric's
//! rotation; where all hosts of a domain do, the fabric takes those of the nearest one.

use std::time;

use cardamomwinch_state::prelude::{BackendId, SortedVector, Timestamp};

use crate::forwarding::view::ForwardingView;

/// For so long no server may have made progress, while several met what this host sent
/// with silence. Callers send again after 200 ms.
const SILENCE: time::Duration = time::Duration::from_millis(600);
/// So many servers must be silent: one or two may have gone by themselves.
const SILENT_SERVERS: usize = 3;
/// For so long the host stays out of rotation at least. The fabric needs a second to take
/// it out, and half a second to take it back.
const LEAST_ABSENCE: time::Duration = time::Duration::from_secs(2);
/// After this the host tries again although it has heard nothing from outside: the store
/// may be down.
const LONGEST_ABSENCE: time::Duration = time::Duration::from_secs(10);

/// Servers that left something without an answer since any server last answered.
#[derive(Debug, Default)]
struct SilentSpell {
    answered_at: Option<Timestamp>,
    servers: SortedVector<BackendId, ()>,
    /// When the first of what had to be sent again was sent.
    since: Option<Timestamp>,
}

impl SilentSpell {
    fn note_answer(&mut self, now: Timestamp) {
        self.answered_at = Some(now);
        self.servers.clear();
        self.since = None;
    }

    fn note_repetition(&mut self, server: BackendId, sent_at: Timestamp) {
        self.servers.insert(server, ());
        self.since = Some(self.since.map_or(sent_at, |at| at.min(sent_at)));
    }

    /// Whether several servers left what was sent without an answer for long, and none
    /// answered meanwhile.
    fn is_long(&self, now: Timestamp) -> bool {
        let is_long = |since: Timestamp| now.since(since) >= SILENCE;
        self.servers.len() >= SILENT_SERVERS
            && self.since.is_some_and(is_long)
            && self.answered_at.is_none_or(is_long)
    }
}

/// Watches whether servers answer this host.
#[derive(Debug, Default)]
pub struct ServerReach {
    /// By openings alone: servers that get no new flows may go on to serve open ones.
    openings: SilentSpell,
    /// By everything.
    packets: SilentSpell,
    lost_at: Option<Timestamp>,
}

impl ServerReach {
    /// Whether no server answers this host.
    pub const fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Whether some server answered this host a moment ago, and new flows find one.
    pub fn is_proven(&self, now: Timestamp) -> bool {
        let answered_at = self.packets.answered_at;
        !self.is_lost()
            && !self.openings.is_long(now)
            && answered_at.is_some_and(|at| now.since(at) < SILENCE)
    }

    /// A server has taken an opening.
    pub fn note_opened(&mut self, now: Timestamp) {
        self.openings.note_answer(now);
        self.packets.note_answer(now);
        self.lost_at = None;
    }

    /// A server has answered what was sent on an open flow.
    pub fn note_progress(&mut self, now: Timestamp) {
        self.packets.note_answer(now);
    }

    /// `server` left an opening of `sent_at` without an answer.
    pub fn note_unopened(&mut self, server: BackendId, sent_at: Timestamp) {
        self.openings.note_repetition(server, sent_at);
        self.packets.note_repetition(server, sent_at);
    }

    /// Data of `sent_at` had to be sent to `server` again.
    pub fn note_repetition(&mut self, server: BackendId, sent_at: Timestamp) {
        self.packets.note_repetition(server, sent_at);
    }

    /// Drops what was seen: this host itself did not run, or servers may answer again.
    pub fn forget_silence(&mut self) {
        *self = Self::default();
    }

    /// Looks whether servers answer. Returns whether they may do so again, so that what
    /// was seen of them before says nothing any more.
    pub fn review(&mut self, view: &ForwardingView, now: Timestamp) -> bool {
        let Some(lost_at) = self.lost_at else {
            let is_lost = self.openings.is_long(now) || self.packets.is_long(now);
            self.lost_at = is_lost.then_some(now);
            return false;
        };
        let absence = now.since(lost_at);
        // Whoever hears of the store again is no longer cut off.
        let heard = view.heard_at > lost_at && absence >= LEAST_ABSENCE;
        let returns = heard || absence >= LONGEST_ABSENCE;
        if returns {
            self.forget_silence();
        }
        returns
    }
}
