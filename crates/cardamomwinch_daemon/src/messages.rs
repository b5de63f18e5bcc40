//! The messages between the threads of the process.

use async_channel::Sender;
use cardamomwinch_coordination::prelude::ControlEvent;
use cardamomwinch_protocol::administration::{FlowReport, MemberReport, StatusReport};
use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::HandOverId;
use cardamomwinch_state::prelude::{BackendId, FlowKey, ShardId, SortedVector, Timestamp};

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// An event for the control engine.
    Event(ControlEvent),
    /// A query of an operator.
    Query(ControlQuery),
    /// Begin a graceful stop.
    Stop,
}

/// A query of an operator to the control thread; the answer goes to the channel in it.
#[derive(Debug)]
pub enum ControlQuery {
    /// The state of the host. The receiver of the answer fills in the numbers of flows and
    /// pending requests.
    Status(Sender<StatusReport>),
    /// The hosts as this host sees them.
    Members(Sender<Vec<MemberReport>>),
}

/// A message to a traffic thread.
#[derive(Debug)]
pub enum TrafficInput {
    /// An encoded relay envelope from another traffic thread of this process.
    Envelope(Box<[u8]>),
    /// A step of a hand-over of a shard from or to this host.
    HandOver(HandOverInput),
    /// A query of an operator or of the graceful stop.
    Query(TrafficQuery),
}

/// A step of a hand-over, which the control thread sends to the traffic thread of the shard.
#[derive(Debug)]
pub enum HandOverInput {
    /// Freeze the shard and export its state.
    Release {
        /// The hand-over.
        hand_over: HandOverId,
        /// When the shard thaws by itself.
        frozen_until: Timestamp,
    },
    /// The hand-over is aborted: thaw the shard.
    Thaw(ShardId),
    /// The hand-over is complete: drop the state of the shard.
    Forget(ShardId),
    /// Import a chunk of the state of the shard.
    TakeOver(Box<HandOverChunk>),
}

impl HandOverInput {
    /// The shard that the step is about.
    pub fn shard(&self) -> ShardId {
        match self {
            Self::Release { hand_over, .. } => hand_over.shard,
            Self::Thaw(shard) | Self::Forget(shard) => *shard,
            Self::TakeOver(chunk) => chunk.hand_over.shard,
        }
    }
}

/// A query to a traffic thread; the answer goes to the channel in it.
#[derive(Debug)]
pub enum TrafficQuery {
    /// The load of the thread.
    Load(Sender<TrafficLoad>),
    /// Some of the flows that it has pinned.
    Flows {
        /// The most flows to return.
        limit: usize,
        /// Where the answer goes.
        answer: Sender<Vec<FlowReport>>,
    },
    /// The server to which a flow is pinned.
    Pin {
        /// The flow.
        flow: FlowKey,
        /// Where the answer goes.
        answer: Sender<Option<BackendId>>,
    },
}

/// The load of a traffic thread.
#[derive(Debug, Default, Clone)]
pub struct TrafficLoad {
    /// The number of pinned flows.
    pub flows: u64,
    /// The number of requests that are queued or running.
    pub pending_requests: u64,
    /// When the last datagram from the fabric arrived.
    pub last_fabric: Timestamp,
    /// The number of slots in use, by backend server.
    pub busy_slots: SortedVector<BackendId, u32>,
    /// The number of open flows, by backend server.
    pub connections: SortedVector<BackendId, u32>,
}
