//! Control messages among entry hosts.

use cardamomwinch_state::prelude::{ConfigurationVersion, HostId, HostListVersion, Incarnation};
use serde::{Deserialize, Serialize};

/// The authentication context of control messages.
pub const PEER_CONTEXT: u8 = b'p';

/// What a host says of the configuration it has accepted.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationDigest {
    /// The version of the root document.
    pub version: ConfigurationVersion,
    /// The version of the list of hosts.
    pub host_list: HostListVersion,
    /// A hash over everything accepted.
    pub hash: u64,
}

/// A control message.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks a peer to answer.
    Ping {
        /// What the sender has accepted.
        digest: ConfigurationDigest,
    },
    /// Answers a ping.
    Pong {
        /// The sequence number of the ping.
        sequence: u64,
        /// What the sender has accepted.
        digest: ConfigurationDigest,
    },
}

/// A control message with its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The host that sends.
    pub sender: HostId,
    /// The life of the sender.
    pub incarnation: Incarnation,
    /// Rises with every message of one life, so that a replay is recognised.
    pub sequence: u64,
    /// What it says.
    pub message: PeerMessage,
}
