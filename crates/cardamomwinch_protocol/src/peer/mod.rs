//! Control messages among entry hosts. Each part of control has messages of
//! its own; one envelope carries them all. Small ones travel as datagrams, and
//! those that do not fit into one by an authenticated call over TCP.

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
    /// Who is reachable.
    Membership(MembershipMessage),
    /// Who is home of which shard.
    Home(HomeMessage),
    /// What is in force.
    Configuration(ConfigurationMessage),
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
