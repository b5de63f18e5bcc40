//! Messages about who is reachable.

use serde::{Deserialize, Serialize};

use crate::peer::configuration::ConfigurationDigest;

/// A heartbeat and its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum MembershipMessage {
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

impl MembershipMessage {
    /// What the sender has accepted.
    pub const fn digest(&self) -> ConfigurationDigest {
        match self {
            Self::Ping { digest } | Self::Pong { digest, .. } => *digest,
        }
    }
}
