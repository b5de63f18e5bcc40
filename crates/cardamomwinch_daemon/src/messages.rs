//! What the threads of the process tell each other.

use async_channel::Sender;
use cardamomwinch_coordination::prelude::ControlEvent;
use cardamomwinch_protocol::administration::{FlowReport, MemberReport, StatusReport};
use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::HandOverId;
use cardamomwinch_state::prelude::{BackendId, FlowKey, ShardId, SortedVector, Timestamp};

/// Something for the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// For the control engine.
    Event(ControlEvent),
    /// An operator asks.
    Query(ControlQuery),
    /// The process is to stop.
    Stop,
}

/// What an operator asks of the control thread; the answer goes to the sender.
#[derive(Debug)]
pub enum ControlQuery {
    /// How the host is doing. Traffic figures are filled in by who asks.
    Status(Sender<StatusReport>),
    /// What the host believes about others.
    Members(Sender<Vec<MemberReport>>),
}

/// Something for a traffic thread.
#[derive(Debug)]
pub enum TrafficInput {
    /// An encoded envelope from another traffic thread of this process.
    Envelope(Box<[u8]>),
    /// Control hands a shard over, or has one handed over.
    HandOver(HandOverInput),
    /// An operator asks, or the process wants to stop.
    Query(TrafficQuery),
}

/// What control tells the thread of a shard about its hand-over.
#[derive(Debug)]
pub enum HandOverInput {
    /// Freeze the shard and give out what is known of it.
    Release {
        /// The hand-over.
        hand_over: HandOverId,
        /// When the shard thaws.
        frozen_until: Timestamp,
    },
    /// The hand-over is broken off.
    Thaw(ShardId),
    /// The shard is handed over.
    Forget(ShardId),
    /// Take a chunk in.
    TakeOver(Box<HandOverChunk>),
}

impl HandOverInput {
    /// The shard that it is about.
    pub fn shard(&self) -> ShardId {
        match self {
            Self::Release { hand_over, .. } => hand_over.shard,
            Self::Thaw(shard) | Self::Forget(shard) => *shard,
            Self::TakeOver(chunk) => chunk.hand_over.shard,
        }
    }
}

/// What is asked of a traffic thread; the answer goes to the sender.
#[derive(Debug)]
pub enum TrafficQuery {
    /// How much the thread holds.
    Load(Sender<TrafficLoad>),
    /// Some of the flows it has pinned.
    Flows {
        /// The most to answer.
        limit: usize,
        /// Where the answer goes.
        answer: Sender<Vec<FlowReport>>,
    },
    /// The server that a flow is pinned to.
    Pin {
        /// The flow.
        flow: FlowKey,
        /// Where the answer goes.
        answer: Sender<Option<BackendId>>,
    },
}

/// How much a traffic thread holds.
#[derive(Debug, Default, Clone)]
pub struct TrafficLoad {
    /// Flows pinned.
    pub flows: u64,
    /// Requests queued or running.
    pub pending_requests: u64,
    /// When the fabric last handed over a datagram.
    pub last_fabric: Timestamp,
    /// Slots in use by backend server.
    pub busy_slots: SortedVector<BackendId, u32>,
    /// Flows placed by backend server.
    pub connections: SortedVector<BackendId, u32>,
}
