//! What is known of peers from their own messages.

use std::time;

use cardamomwinch_protocol::peer::configuration::ConfigurationDigest;
use cardamomwinch_protocol::prelude::{PeerEnvelope, PeerMessage};
use cardamomwinch_state::prelude::{HostId, HostTable, Incarnation, SortedVector, Timestamp};

use crate::control::membership::replay_window::ReplayWindow;

/// How long the state of a host is kept after its last message if it is no
/// longer listed.
const PEER_RETENTION: time::Duration = time::Duration::from_secs(3600);

/// What is known about a peer from its own messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerState {
    /// The latest incarnation from which a message was accepted.
    pub incarnation: Incarnation,
    /// The sequence numbers received from this incarnation.
    pub window: ReplayWindow,
    /// When the last message was accepted.
    pub last_received: Timestamp,
    /// The digest of the configuration that the peer has accepted.
    pub digest: ConfigurationDigest,
}

/// Why a control message was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRejection {
    /// It is from an earlier incarnation or was received before.
    Replayed,
}

/// The peers from which a message was received.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    peers: SortedVector<HostId, PeerState>,
}

impl PeerTable {
    pub(super) fn get(&self, host: HostId) -> Option<&PeerState> {
        self.peers.get(&host)
    }

    /// When the last message from `host` was accepted; zero if there was none.
    pub(super) fn last_received(&self, host: HostId) -> Timestamp {
        let state = self.peers.get(&host);
        state.map_or(Timestamp::ZERO, |state| state.last_received)
    }

    /// When the last message from any host except `host` was accepted.
    pub(super) fn last_received_except(&self, host: HostId) -> Timestamp {
        self.last_received_where(|other| other != host)
    }

    /// When the last message from any host that matches `counts` was accepted.
    pub(super) fn last_received_where(&self, counts: impl Fn(HostId) -> bool) -> Timestamp {
        let peers = self.peers.iter().filter(|(host, _)| counts(**host));
        let times = peers.map(|(_, peer)| peer.last_received);
        times.max().unwrap_or(Timestamp::ZERO)
    }

    pub(super) fn accept_message(
        &mut self,
        now: Timestamp,
        envelope: &PeerEnvelope,
    ) -> Result<(), PeerRejection> {
        let fresh = || PeerState {
            incarnation: envelope.incarnation,
            window: ReplayWindow::default(),
            last_received: now,
            digest: ConfigurationDigest::default(),
        };
        let state = self.peers.get_or_insert_with(envelope.sender, fresh);
        if envelope.incarnation < state.incarnation {
            return Err(PeerRejection::Replayed);
        }
        if envelope.incarnation > state.incarnation {
            *state = fresh();
        }
        if !state.window.record(envelope.sequence) {
            return Err(PeerRejection::Replayed);
        }
        state.last_received = now;
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

    /// Removes hosts that are not in `hosts` and sent nothing recently. Unlisted
    /// hosts are kept for a while, so that old messages of a host that is listed
    /// again are still recognised as replayed.
    pub(super) fn retain_listed(&mut self, now: Timestamp, hosts: &HostTable) {
        self.peers.retain(|host, state| {
            hosts.get(*host).is_some() || now.since(state.last_received) < PEER_RETENTION
        });
    }
}
