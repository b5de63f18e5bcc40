//! Messages about which hosts are reachable.
//!
//! A message names hosts by their position in the published list, and the version of that list.
//! A position takes two bytes, an identifier ten.

use cardamomwinch_state::prelude::{HostId, HostListVersion, Incarnation, RefutationCount};
use serde::{Deserialize, Serialize};

use crate::peer::configuration::ConfigurationDigest;

/// The position of a host in the published list, sorted by identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HostPosition(u16);

impl HostPosition {
    /// Wraps a position, counted from zero.
    pub const fn new(position: u16) -> Self {
        Self(position)
    }

    /// The position, counted from zero.
    pub const fn get(self) -> u16 {
        self.0
    }
}

/// A claim about the state of a host. Of two claims the greater one is valid: the one about the
/// later incarnation, then the one with more refutations, then the one that the host is dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HostStanding {
    /// The incarnation that the claim is about.
    pub incarnation: Incarnation,
    /// How often the host had refuted, in that incarnation, the claim that it is dead.
    pub refutation: RefutationCount,
    /// Whether it is claimed to be dead.
    pub dead: bool,
}

/// A claim that hosts pass on to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostRumour {
    /// The host that the claim is about.
    pub position: HostPosition,
    /// The claim.
    pub standing: HostStanding,
}

/// Claims about hosts in one version of the published list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RumourBatch {
    /// The version of the list to which the positions refer.
    pub list: HostListVersion,
    /// The claims.
    pub rumours: Vec<HostRumour>,
}

/// The data that every message about membership carries besides its own content.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MembershipHeader {
    /// The digest of what the sender has accepted. Each ping carries it; a pong only if it
    /// differs from that of the ping.
    pub digest: Option<ConfigurationDigest>,
    /// How often the sender has refuted, in this incarnation, the claim that it is dead.
    pub refutation: RefutationCount,
    /// Claims about other hosts, or about the receiver.
    pub rumours: Option<RumourBatch>,
}

/// The content of a message about membership.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum MembershipContent {
    /// Requests a [`Self::Pong`].
    Ping,
    /// Answers a ping.
    Pong {
        /// The sequence number of the ping.
        sequence: u64,
    },
    /// Requests the receiver to ping a host that does not answer the sender.
    IndirectPing {
        /// The host to ping.
        target: HostId,
    },
    /// Reports that a message from a host arrived after an indirect ping was requested.
    IndirectPong {
        /// The host that sent the message.
        target: HostId,
        /// The incarnation and refutation count in that message.
        standing: HostStanding,
    },
    /// Carries only the claims in the header and needs no answer.
    Rumours,
    /// Carries hashes of the known claims per block of the list. The receiver uses them to find
    /// the blocks in which the claims of the two hosts differ.
    Exchange {
        /// The version of the list that is divided into blocks.
        list: HostListVersion,
        /// One hash per block, in order.
        hashes: Vec<u32>,
    },
    /// Answers an exchange; the header carries the claims of the blocks that differ.
    Difference,
}

/// A message about which hosts are reachable.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MembershipMessage {
    /// The data that every message carries.
    pub header: MembershipHeader,
    /// The content of this message.
    pub content: MembershipContent,
}

impl MembershipMessage {
    /// The digest of what the sender has accepted, if the message carries it.
    pub const fn digest(&self) -> Option<ConfigurationDigest> {
        self.header.digest
    }
}
