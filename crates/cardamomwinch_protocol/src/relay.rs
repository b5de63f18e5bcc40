//! Datagrams that one entry host relays to another as data.

use cardamomwinch_state::prelude::{BackendId, ConfigurationVersion, HostId, ShardId};
use serde::{Deserialize, Serialize};

use crate::backend::BackendReply;
use crate::caller::CallerDatagram;

/// The authentication context of relayed datagrams.
pub const RELAY_CONTEXT: u8 = b'r';

/// What is relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RelayFrame<'a> {
    /// A caller's datagram, to the home of the shard that decides about it.
    Caller {
        /// The datagram as it came.
        #[serde(borrow)]
        datagram: CallerDatagram<'a>,
        /// The backend server that the sender has found the flow to belong to,
        /// or has placed it on; absent where the receiver is to decide.
        backend: Option<BackendId>,
        /// The shard that the sender takes the receiver to be the home of.
        shard: ShardId,
        /// How often it was relayed before; bounded so that it cannot circle.
        hops: u8,
    },
    /// A backend server's reply, to the home that accounts for it. The caller
    /// has already been sent what concerns it.
    Backend {
        /// The reply; the payload is left out where the answer is too long to be kept.
        #[serde(borrow)]
        reply: BackendReply<'a>,
        /// The shard of the server.
        shard: ShardId,
        /// How often it was relayed before.
        hops: u8,
    },
}

/// A relayed datagram with its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayEnvelope<'a> {
    /// The host that relays.
    pub sender: HostId,
    /// The configuration version that the sender decided under.
    pub version: ConfigurationVersion,
    /// What is relayed.
    #[serde(borrow)]
    pub frame: RelayFrame<'a>,
}
