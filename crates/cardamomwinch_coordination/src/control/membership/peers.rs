//! What peers said themselves.

use std::time;

use cardamomwinch_protocol::peer::configuration::ConfigurationDigest;
use cardamomwinch_protocol::prelude::{PeerEnvelope, PeerMessage};
use cardamomwinch_state::prelude::{HostId, HostTable, Incarnation, SortedVector, Timestamp};

use crate::control::membership::replay_window::ReplayWindow;

/// How long a host that is no longer listed is remembered.
const REMEMBERED_FOR: time::Duration = time::Duration::from_secs(3600);

/// What is known about a peer from its own messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerState {
    /// The highest life heard of.
    pub incarnation: Incarnation,
    /// The sequence numbers taken of that life.
    pub window: ReplayWindow,
    /// When the last message came.
    pub last_heard: Timestamp,
    /// What the peer has accepted.
    pub digest: ConfigurationDigest,
}

/// Why a control message was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRejection {
    /// It is from an earlier life, or was taken already.
    Replayed,
}

/// The peers that were heard of.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    peers: SortedVector<HostId, PeerState>,
}

impl PeerTable {
    pub(super) fn get(&self, host: HostId) -> Option<&PeerState> {
        self.peers.get(&host)
    }

    /// When `host` was heard of last.
    pub(super) fn last_heard(&self, host: HostId) -> Timestamp {
        let state = self.peers.get(&host);
        state.map_or(Timestamp::ZERO, |state| state.last_heard)
    }

    /// When any host other than `host` was heard of last.
    pub(super) fn last_heard_besides(&self, host: HostId) -> Timestamp {
        self.last_heard_where(|other| other != host)
    }

    /// When any host for which `counts` holds was heard of last.
    pub(super) fn last_heard_where(&self, counts: impl Fn(HostId) -> bool) -> Timestamp {
        let peers = self.peers.iter().filter(|(host, _)| counts(**host));
        let heard = peers.map(|(_, peer)| peer.last_heard);
        heard.max().unwrap_or(Timestamp::ZERO)
    }

    pub(super) fn note(
        &mut self,
        now: Timestamp,
        envelope: &PeerEnvelope,
    ) -> Result<(), PeerRejection> {
        let fresh = || PeerState {
            incarnation: envelope.incarnation,
            window: ReplayWindow::default(),
            last_heard: now,
            digest: ConfigurationDigest::default(),
        };
        let state = self.peers.get_or_insert_with(envelope.sender, fresh);
        if envelope.incarnation < state.incarnation {
            return Err(PeerRejection::Replayed);
        }
        if envelope.incarnation > state.incarnation {
            *state = fresh();
        }
        if !state.window.take(envelope.sequence) {
            return Err(PeerRejection::Replayed);
        }
        state.last_heard = now;
        if let PeerMessage::Membership(message) = &envelope.message
            && let Some(digest) = message.digest()
        {
            state.digest = digest;
        }
        Ok(())
    }

    pub(super) fn set_digest(&mut self, host: HostId, digest: ConfigurationDigest) {
        if let Some(state) = self.peers.get_mut(&host) {
            state.digest = digest;
        }
    }

    /// Forgets hosts that are not in `hosts`, but for those heard of lately:
    /// one that is listed again must not be taken in by messages from before.
    pub(super) fn retain_listed(&mut self, now: Timestamp, hosts: &HostTable) {
        self.peers.retain(|host, state| {
            hosts.get(*host).is_some() || now.since(state.last_heard) < REMEMBERED_FOR
        });
    }
}
