//! The events that a traffic engine handles.

use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::HandOverId;
use cardamomwinch_protocol::prelude::{FabricDatagram, RelayEnvelope};
use cardamomwinch_state::prelude::{ShardId, Timestamp};

/// An input of a traffic engine.
#[derive(Debug, Clone, Copy)]
#[expect(
    clippy::large_enum_variant,
    reason = "an event is made on the stack and used at once, never stored"
)]
pub enum TrafficEvent<'a> {
    /// Time has passed. To be sent several times a second.
    Tick,
    /// The fabric delivered a datagram.
    Fabric(FabricDatagram<'a>),
    /// Another host, or another thread of this host, relayed a datagram. The
    /// transport has authenticated it.
    Relay(RelayEnvelope<'a>),
    /// Control hands a shard over: freeze it and export its state.
    ReleaseShard {
        /// The hand-over.
        hand_over: HandOverId,
        /// The shard stays frozen until this time, if this host still holds its lease
        /// then.
        frozen_until: Timestamp,
    },
    /// The hand-over was aborted: resume serving the shard.
    ThawShard {
        /// The shard.
        shard: ShardId,
    },
    /// The shard was handed over: forget its state.
    ForgetShard {
        /// The shard.
        shard: ShardId,
    },
    /// Another host handed a shard over: import a chunk of its state.
    TakeOver {
        /// The chunk to import.
        chunk: &'a HandOverChunk,
    },
}
