//! Who is reachable. The published list says who may be; heartbeats say who is.

use std::time;

use cardamomwinch_protocol::peer::configuration::ConfigurationDigest;
use cardamomwinch_protocol::prelude::{PeerEnvelope, PeerMessage};
use cardamomwinch_state::prelude::{HostId, HostTable, Incarnation, SortedVector, Timestamp};

use crate::identity::HostIdentity;

/// How often a host sends heartbeats.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// A host that was not heard of for this long is taken to be unreachable.
pub const REACHABLE_FOR: time::Duration = time::Duration::from_millis(1000);

/// What is known about a peer from its own messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerState {
    /// The highest life heard of.
    pub incarnation: Incarnation,
    /// The highest sequence number of that life.
    pub sequence: u64,
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
pub struct PeerMembership {
    peers: SortedVector<HostId, PeerState>,
    sequence: u64,
    next_heartbeat: Timestamp,
}

impl PeerMembership {
    /// The next sequence number of this host's own messages.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Takes a message of a peer.
    ///
    /// # Errors
    /// Guards against replayed messages: a message whose life or sequence
    /// number is not above the last one taken is refused.
    pub fn note(&mut self, now: Timestamp, envelope: &PeerEnvelope) -> Result<(), PeerRejection> {
        let known = self.peers.get(&envelope.sender);
        let digest = match &envelope.message {
            PeerMessage::Membership(message) => message.digest(),
            _ => known.map(|known| known.digest).unwrap_or_default(),
        };
        let state = PeerState {
            incarnation: envelope.incarnation,
            sequence: envelope.sequence,
            last_heard: now,
            digest,
        };
        let newer = known.is_none_or(|known| {
            (state.incarnation, state.sequence) > (known.incarnation, known.sequence)
        });
        if !newer {
            return Err(PeerRejection::Replayed);
        }
        self.peers.insert(envelope.sender, state);
        Ok(())
    }

    /// What is known about `host`.
    pub fn get(&self, host: HostId) -> Option<&PeerState> {
        self.peers.get(&host)
    }

    /// Whether `host` was heard of lately.
    pub fn is_reachable(&self, now: Timestamp, host: HostId) -> bool {
        let state = self.peers.get(&host);
        state.is_some_and(|state| now.since(state.last_heard) < REACHABLE_FOR)
    }

    /// The hosts to send a heartbeat to now.
    pub fn due_heartbeats(
        &mut self,
        now: Timestamp,
        identity: HostIdentity,
        hosts: &HostTable,
    ) -> Vec<HostId> {
        if now < self.next_heartbeat {
            return Vec::new();
        }
        self.next_heartbeat = now.after(HEARTBEAT_INTERVAL);
        let others = hosts.hosts.keys().copied();
        others.filter(|host| *host != identity.host).collect()
    }
}
