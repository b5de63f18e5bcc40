//! Whether what this host holds was compared with others. A host that starts
//! compares before it serves; one that slept does so before it serves again.

use std::time;

use cardamomwinch_state::prelude::{HostId, Timestamp};

/// How long a host that starts waits for peers or the platform before it does
/// with the other alone. A platform that answers first may be stale, while the
/// peers' answer is on its way.
pub(crate) const START_WAIT: time::Duration = time::Duration::from_millis(1000);
/// After this long the answer of a peer that has not compared its own state
/// counts as well: a domain that slept as a whole and is cut off serves on.
pub(crate) const UNCONFIRMED_WAIT: time::Duration = time::Duration::from_secs(3);
/// Answers of peers after which a host that starts waits for no more.
const ENOUGH_ANSWERS: usize = 3;

/// Why a comparison is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Occasion {
    Start,
    Wake,
}

/// An answer of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PeerAnswer {
    host: HostId,
    confirmed: bool,
}

/// One comparison.
#[derive(Debug)]
pub(crate) struct StateConfirmation {
    occasion: Occasion,
    begun: Timestamp,
    /// When the first list of hosts came, so that peers could be asked.
    peers_known: Option<Timestamp>,
    answers: Vec<PeerAnswer>,
    root_read: bool,
    hosts_read: bool,
    done: bool,
}

impl StateConfirmation {
    /// The comparison of a host that starts.
    pub(crate) fn starting() -> Self {
        Self::begin(Timestamp::ZERO, Occasion::Start)
    }

    /// A comparison that is complete.
    pub(crate) fn settled() -> Self {
        Self {
            done: true,
            ..Self::starting()
        }
    }

    fn begin(now: Timestamp, occasion: Occasion) -> Self {
        Self {
            occasion,
            begun: now,
            peers_known: None,
            answers: Vec::new(),
            root_read: false,
            hosts_read: false,
            done: false,
        }
    }

    /// Notes when the process started.
    pub(crate) fn note_start(&mut self, now: Timestamp) {
        self.begun = now;
    }

    /// Starts over because the host slept. One that had not finished its
    /// first comparison begins that one again.
    pub(crate) fn note_sleep(&mut self, now: Timestamp) {
        let occasion = if self.done {
            Occasion::Wake
        } else {
            self.occasion
        };
        *self = Self::begin(now, occasion);
    }

    /// Whether the comparison is complete.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Whether the comparison after a sleep runs: the platform is then asked
    /// only where peers leave the question open.
    pub(crate) fn asks_platform(&self, now: Timestamp) -> bool {
        let patience = match self.occasion {
            Occasion::Start => time::Duration::ZERO,
            Occasion::Wake => START_WAIT / 2,
        };
        !self.done && now >= self.begun.after(patience)
    }

    /// Whether the platform's root document was read since the comparison began.
    pub(crate) fn has_read_root(&self) -> bool {
        self.root_read
    }

    /// Whether the platform's list of hosts was read since.
    pub(crate) fn has_read_hosts(&self) -> bool {
        self.hosts_read
    }

    /// Notes that the platform's root document is not older than the own one.
    pub(crate) fn note_root(&mut self) {
        self.root_read = true;
    }

    /// Notes that the platform's list of hosts is not older than the own one.
    pub(crate) fn note_hosts(&mut self) {
        self.hosts_read = true;
    }

    /// Whether something that was asked for at `asked` belongs to this
    /// comparison.
    ///
    /// Guards against an answer that waited while the host slept: it is read
    /// first on waking, but says what was true before.
    pub(crate) fn covers(&self, asked: Timestamp) -> bool {
        asked >= self.begun
    }

    /// Notes the offer of `host`, and whether its state was compared.
    pub(crate) fn note_answer(&mut self, host: HostId, confirmed: bool) {
        let known = self.answers.iter_mut().find(|answer| answer.host == host);
        match known {
            Some(answer) => answer.confirmed |= confirmed,
            None => self.answers.push(PeerAnswer { host, confirmed }),
        }
    }

    /// Whether `host` has answered.
    pub(crate) fn has_answer(&self, host: HostId) -> bool {
        self.answers.iter().any(|answer| answer.host == host)
    }

    /// Decides anew, where `peers` other hosts are listed; `None` before any
    /// list is held. `behind` tells that something newer is known and not yet in
    /// force; a host that wakes waits for it, unless it never comes.
    pub(crate) fn decide(&mut self, now: Timestamp, peers: Option<usize>, behind: bool) {
        if let Some(peers) = peers.filter(|_| !self.done) {
            self.peers_known.get_or_insert(now);
            self.done = match self.occasion {
                Occasion::Start => self.has_support(now) && self.has_waited(now, peers),
                Occasion::Wake => self.has_support(now) && (!behind || self.is_late(now)),
            };
        }
    }

    fn is_late(&self, now: Timestamp) -> bool {
        now >= self.begun.after(UNCONFIRMED_WAIT)
    }

    fn has_support(&self, now: Timestamp) -> bool {
        let late = self.is_late(now);
        let counts = |answer: &PeerAnswer| answer.confirmed || late;
        self.platform_answered() || self.answers.iter().any(counts)
    }

    fn platform_answered(&self) -> bool {
        self.root_read && self.hosts_read
    }

    fn has_waited(&self, now: Timestamp, peers: usize) -> bool {
        let known = self.peers_known.unwrap_or(now);
        let peers_done =
            self.answers.len() >= ENOUGH_ANSWERS.min(peers) || now >= known.after(START_WAIT);
        let platform_done = self.platform_answered() || now >= self.begun.after(START_WAIT);
        peers_done && platform_done
    }
}
