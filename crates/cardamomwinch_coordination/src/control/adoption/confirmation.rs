//! Whether the state of this host was compared with peers or the platform. A host
//! that starts does so before it serves, and a host that was paused before it
//! serves again.

use std::time;

use cardamomwinch_state::prelude::{HostId, Timestamp};

/// How long a starting host waits for both peers and the platform before the answer
/// of one of them suffices. The platform may answer first but be stale, while
/// answers of peers are still on their way.
pub(crate) const START_WAIT: time::Duration = time::Duration::from_millis(1000);
/// After this time the answer of a peer that has not compared its own state counts
/// as well. Without this, a domain whose hosts were all paused at once and that is
/// cut off would never serve again.
pub(crate) const UNCONFIRMED_WAIT: time::Duration = time::Duration::from_secs(3);
/// A starting host waits for no more peers after this many answers.
const ENOUGH_ANSWERS: usize = 3;

/// The reason for a comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConfirmationCause {
    Start,
    Resume,
}

/// The answer of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PeerAnswer {
    host: HostId,
    confirmed: bool,
}

/// One comparison.
#[derive(Debug)]
pub(crate) struct StateConfirmation {
    cause: ConfirmationCause,
    begun: Timestamp,
    /// When this host received its first list of hosts and could query peers.
    peers_known_since: Option<Timestamp>,
    answers: Vec<PeerAnswer>,
    root_read: bool,
    hosts_read: bool,
    done: bool,
}

impl StateConfirmation {
    /// The comparison of a starting host.
    pub(crate) fn starting() -> Self {
        Self::begin(Timestamp::ZERO, ConfirmationCause::Start)
    }

    /// A comparison that is complete.
    pub(crate) fn completed() -> Self {
        Self {
            done: true,
            ..Self::starting()
        }
    }

    fn begin(now: Timestamp, cause: ConfirmationCause) -> Self {
        Self {
            cause,
            begun: now,
            peers_known_since: None,
            answers: Vec::new(),
            root_read: false,
            hosts_read: false,
            done: false,
        }
    }

    /// Records when the process started.
    pub(crate) fn note_start(&mut self, now: Timestamp) {
        self.begun = now;
    }

    /// Starts over because the host was paused. A host that had not finished the
    /// comparison of its start begins that one again.
    pub(crate) fn note_pause(&mut self, now: Timestamp) {
        let cause = if self.done {
            ConfirmationCause::Resume
        } else {
            self.cause
        };
        *self = Self::begin(now, cause);
    }

    /// Whether the comparison is complete.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Whether to read the platform for this comparison. After a pause, peers get
    /// some time to answer first.
    pub(crate) fn reads_platform(&self, now: Timestamp) -> bool {
        let delay = match self.cause {
            ConfirmationCause::Start => time::Duration::ZERO,
            ConfirmationCause::Resume => START_WAIT / 2,
        };
        !self.done && now >= self.begun.after(delay)
    }

    /// Whether the platform's root document was read since the comparison began.
    pub(crate) fn has_read_root(&self) -> bool {
        self.root_read
    }

    /// Whether the platform's list of hosts was read since the comparison began.
    pub(crate) fn has_read_hosts(&self) -> bool {
        self.hosts_read
    }

    /// Records that the platform's root document is not older than this host's.
    pub(crate) fn note_root(&mut self) {
        self.root_read = true;
    }

    /// Records that the platform's list of hosts is not older than this host's.
    pub(crate) fn note_hosts(&mut self) {
        self.hosts_read = true;
    }

    /// Whether an answer to a query sent at `asked` counts for this comparison.
    ///
    /// Guards against an answer that arrived during a pause: the host reads it first
    /// when it resumes, but its content is from before the pause.
    pub(crate) fn covers(&self, asked: Timestamp) -> bool {
        asked >= self.begun
    }

    /// Records the answer of `host`, and whether it has compared its own state.
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

    /// Decides whether the comparison is complete. `peers` is the number of other
    /// listed hosts, or `None` before there is a list. `newer_root_pending` means
    /// that a newer root document is known and not yet in force; after a pause the
    /// host waits for it, but not longer than [`UNCONFIRMED_WAIT`].
    pub(crate) fn decide(
        &mut self,
        now: Timestamp,
        peers: Option<usize>,
        newer_root_pending: bool,
    ) {
        if let Some(peers) = peers.filter(|_| !self.done) {
            self.peers_known_since.get_or_insert(now);
            self.done = match self.cause {
                ConfirmationCause::Start => self.has_support(now) && self.has_waited(now, peers),
                ConfirmationCause::Resume => {
                    self.has_support(now) && (!newer_root_pending || self.is_late(now))
                }
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
        let known = self.peers_known_since.unwrap_or(now);
        let peers_done =
            self.answers.len() >= ENOUGH_ANSWERS.min(peers) || now >= known.after(START_WAIT);
        let platform_done = self.platform_answered() || now >= self.begun.after(START_WAIT);
        peers_done && platform_done
    }
}
