//! Control messages between hosts. Membership, homes and configuration have their own messages,
//! and one envelope carries them all. A message is sent as a datagram if it fits into one, otherwise by an
//! authenticated call over TCP.

pub mod configuration;
pub mod earlier_tables;
pub mod hand_over;
pub mod homes;
pub mod membership;

use cardamomwinch_state::prelude::{HostId, Incarnation};
use serde::{Deserialize, Serialize};

use crate::peer::configuration::ConfigurationMessage;
use crate::peer::homes::HomeMessage;
use crate::peer::membership::MembershipMessage;

/// The authentication context of control messages.
pub const PEER_CONTEXT: u8 = b'p';

/// A control message.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// Which hosts are reachable.
    Membership(MembershipMessage),
    /// Which host is the home of which shard.
    Home(HomeMessage),
    /// The configuration in force.
    Configuration(ConfigurationMessage),
}

/// A control message with its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The sending host.
    pub sender: HostId,
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// Increases with every message of one incarnation, so that replays are recognised.
    pub sequence: u64,
    /// The message.
    pub message: PeerMessage,
}
