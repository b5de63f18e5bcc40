//! Detects that no server answers this host.
//!
//! Guards against a failure domain that is cut off while callers still reach its hosts, and
//! whose own servers may take no flows: they are evacuated, or the service has none there. All
//! flows of callers of that domain would time out, although hosts of other domains could serve
//! them. A host that no server answers leaves the fabric's rotation; if all hosts of a domain
//! do, the fabric uses those of the nearest domain.

use std::time;

use cardamomwinch_state::prelude::{BackendId, SortedVector, Timestamp};

use crate::forwarding::sudden_silence::SuddenSilence;
use crate::forwarding::view::ForwardingView;

/// The time for which several servers must have been silent and no server may have answered.
/// Callers send again after 200 ms.
const MIN_SILENCE: time::Duration = time::Duration::from_millis(600);
/// The number of servers that must be silent. One or two may have died by themselves.
const MIN_SILENT_SERVERS: usize = 3;
/// The minimum time that the host stays out of rotation. The fabric needs a second to remove
/// it, and half a second to add it again.
const MIN_ABSENCE: time::Duration = time::Duration::from_secs(2);
/// The maximum time that the host stays out of rotation while the view is not updated: the
/// store may be down.
const MAX_ABSENCE: time::Duration = time::Duration::from_secs(10);

/// The packets to a server that callers had to repeat.
#[derive(Debug, Clone, Copy)]
struct RepeatedPackets {
    /// When the first of them was sent.
    first_at: Timestamp,
    /// When the last of them was sent.
    last_at: Timestamp,
}

/// The servers that were silent towards a flow since the last answer of any server.
#[derive(Debug, Default)]
struct SilencePeriod {
    answered_at: Option<Timestamp>,
    servers: SortedVector<BackendId, RepeatedPackets>,
}

impl SilencePeriod {
    fn note_answer(&mut self, now: Timestamp) {
        self.answered_at = Some(now);
        self.servers.clear();
    }

    fn note_repetition(&mut self, server: BackendId, sent_at: Timestamp) {
        let fresh = || RepeatedPackets {
            first_at: sent_at,
            last_at: sent_at,
        };
        let packets = self.servers.get_or_insert_with(server, fresh);
        packets.first_at = packets.first_at.min(sent_at);
        packets.last_at = packets.last_at.max(sent_at);
    }

    /// Removes `server` if it answered a packet that was sent at `sent_at`, after all those
    /// that callers had to repeat.
    fn remove_reached(&mut self, server: BackendId, sent_at: Timestamp) {
        let packets = self.servers.get(&server);
        if packets.is_some_and(|packets| packets.last_at <= sent_at) {
            self.servers.remove(&server);
        }
    }

    /// Whether several servers have been silent for [`MIN_SILENCE`], and no server has answered
    /// in that time.
    fn is_long(&self, now: Timestamp) -> bool {
        let is_long = |since: Timestamp| now.since(since) >= MIN_SILENCE;
        let since = self.servers.values().map(|packets| packets.first_at).min();
        self.servers.len() >= MIN_SILENT_SERVERS
            && since.is_some_and(is_long)
            && self.answered_at.is_none_or(is_long)
    }
}

/// Tracks whether any server answers this host.
#[derive(Debug, Default)]
pub struct ServerReach {
    /// Silence towards openings only: servers that receive no new flows may still serve open
    /// ones. Servers that answer data do not count, because they leave openings unanswered
    /// if they hold as many flows as they may.
    openings: SilencePeriod,
    /// Silence towards all packets.
    packets: SilencePeriod,
    sudden: SuddenSilence,
    lost_at: Option<Timestamp>,
}

impl ServerReach {
    /// Whether no server answers this host.
    pub const fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Whether a server answered this host recently, and openings are answered as well.
    pub fn is_confirmed(&self, now: Timestamp) -> bool {
        let answered_at = self.packets.answered_at;
        !self.is_lost()
            && !self.openings.is_long(now)
            && answered_at.is_some_and(|at| now.since(at) < MIN_SILENCE)
    }

    /// Records that a server confirmed an opening sent at `sent_at`.
    pub fn note_opened(&mut self, sent_at: Timestamp, now: Timestamp) {
        self.openings.note_answer(now);
        self.packets.note_answer(now);
        self.sudden.note_answer(sent_at);
        self.lost_at = None;
    }

    /// Records that `server` acknowledged data of an open flow, which were sent at `sent_at`
    /// if that is known.
    pub fn note_progress(&mut self, server: BackendId, sent_at: Option<Timestamp>, now: Timestamp) {
        self.packets.note_answer(now);
        if let Some(sent_at) = sent_at {
            self.openings.remove_reached(server, sent_at);
        }
    }

    /// Records that a server that receives new flows acknowledged data sent at `sent_at`.
    pub fn note_usable_server(&mut self, sent_at: Timestamp) {
        self.sudden.note_answer(sent_at);
    }

    /// Records that an opening, or a copy of one, is sent to `server`, which last answered at
    /// `healthy_at`.
    pub fn note_opening(
        &mut self,
        server: BackendId,
        is_copy: bool,
        healthy_at: Option<Timestamp>,
        now: Timestamp,
    ) {
        self.sudden.note_sent(server, is_copy, healthy_at, now);
    }

    /// Records that `server` did not answer an opening sent at `sent_at`.
    pub fn note_unanswered_opening(&mut self, server: BackendId, sent_at: Timestamp) {
        self.openings.note_repetition(server, sent_at);
        self.packets.note_repetition(server, sent_at);
        self.sudden.note_copy(server, sent_at);
    }

    /// Records that data sent at `sent_at` had to be sent to `server` again.
    pub fn note_repetition(&mut self, server: BackendId, sent_at: Timestamp) {
        self.packets.note_repetition(server, sent_at);
        self.sudden.note_repetition(server, sent_at);
    }

    /// Clears all observations, because this process was paused or servers may answer again.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Checks whether servers answer; `early` is whether a sudden silence is enough to
    /// conclude that none does. Returns whether the host has just returned to the rotation, so
    /// that earlier observations of servers no longer count.
    pub fn update(&mut self, view: &ForwardingView, early: bool, now: Timestamp) -> bool {
        let Some(lost_at) = self.lost_at else {
            let is_lost = self.openings.is_long(now)
                || self.packets.is_long(now)
                || (early && self.sudden.is_conclusive(now));
            self.lost_at = is_lost.then_some(now);
            return false;
        };
        let absence = now.since(lost_at);
        // A host whose view is updated by the store again is no longer cut off.
        let is_updated = view.as_of > lost_at && absence >= MIN_ABSENCE;
        let returns = is_updated || absence >= MAX_ABSENCE;
        if returns {
            self.clear();
        }
        returns
    }
}
