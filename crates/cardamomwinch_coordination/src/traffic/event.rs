//! What a traffic engine is told.

use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::HandOverId;
use cardamomwinch_protocol::prelude::{FabricDatagram, RelayEnvelope};
use cardamomwinch_state::prelude::{ShardId, Timestamp};

/// Something that a traffic thread has to decide about.
#[derive(Debug, Clone, Copy)]
pub enum TrafficEvent<'a> {
    /// Time has passed. To be sent several times a second.
    Tick,
    /// The fabric handed over a datagram.
    Fabric(FabricDatagram<'a>),
    /// Another host, or another thread of this host, relayed a datagram. The
    /// transport has authenticated it.
    Relay(RelayEnvelope<'a>),
    /// Control hands a shard over: freeze it and give out what is known of it.
    ReleaseShard {
        /// The hand-over.
        hand_over: HandOverId,
        /// When the shard thaws, where this host still holds its lease.
        frozen_until: Timestamp,
    },
    /// The hand-over is broken off: go on with the shard.
    ThawShard {
        /// The shard.
        shard: ShardId,
    },
    /// The shard is handed over: forget it.
    ForgetShard {
        /// The shard.
        shard: ShardId,
    },
    /// Another host handed a shard over: take a chunk in.
    TakeOver {
        /// What to take in.
        chunk: &'a HandOverChunk,
    },
}
