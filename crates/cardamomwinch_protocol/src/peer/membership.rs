//! Messages about who is reachable.
//!
//! Hosts are named by their position in a version of the published list that
//! the message names too: two bytes instead of the ten of an identifier.

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

/// What is claimed of a host. Of two claims the greater one holds: that about
/// the later life, then the one refuted later, then the one that says dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HostStanding {
    /// The life that the claim is about.
    pub incarnation: Incarnation,
    /// How often the host had refuted its death in that life.
    pub refutation: RefutationCount,
    /// Whether it is claimed to be dead.
    pub dead: bool,
}

/// A claim on its way through the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostRumour {
    /// The host that it is about.
    pub position: HostPosition,
    /// The claim.
    pub standing: HostStanding,
}

/// Claims about hosts of one version of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RumourBatch {
    /// The version of the list that positions refer to.
    pub list: HostListVersion,
    /// The claims.
    pub rumours: Vec<HostRumour>,
}

/// What rides on every message about membership.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MembershipHeader {
    /// What the sender has accepted: in each ping, and in its answer where it
    /// is not the same.
    pub digest: Option<ConfigurationDigest>,
    /// How often the sender has refuted its death in this life.
    pub refutation: RefutationCount,
    /// Claims about other hosts, or about the receiver.
    pub rumours: Option<RumourBatch>,
}

/// The purpose of a message about membership.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum MembershipContent {
    /// Asks for an answer.
    Ping,
    /// Answers a ping.
    Pong {
        /// The sequence number of the ping.
        sequence: u64,
    },
    /// Asks the receiver to ping a host that does not answer the sender.
    IndirectPing {
        /// The host to ping.
        target: HostId,
    },
    /// Says that a host was heard of after an indirect ping was asked for.
    IndirectPong {
        /// The host that was heard of.
        target: HostId,
        /// What its message said of itself.
        standing: HostStanding,
    },
    /// Carries claims and asks for nothing.
    Rumours,
    /// Offers hashes over blocks of the list, to find where two hosts differ.
    Exchange {
        /// The version of the list that the blocks divide.
        list: HostListVersion,
        /// One hash per block, in order.
        hashes: Vec<u32>,
    },
    /// Answers an exchange with the claims of blocks that differ.
    Difference,
}

/// A message about who is reachable.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MembershipMessage {
    /// What rides on the message.
    pub header: MembershipHeader,
    /// Its purpose.
    pub content: MembershipContent,
}

impl MembershipMessage {
    /// What the sender has accepted, where the message says so.
    pub const fn digest(&self) -> Option<ConfigurationDigest> {
        self.header.digest
    }
}
