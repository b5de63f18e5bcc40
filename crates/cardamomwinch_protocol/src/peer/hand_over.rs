//! The state that only the home of a shard has, in the form in which it is sent to the next
//! home. These types are not validated: the receiver checks every index and bound when it
//! converts them.

use cardamomwinch_state::prelude::{BackendId, FlowKey, RequestId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::caller::{AttemptNumber, CallerKind, PartNumber, RefusalReason, RequestHeader};
use crate::peer::homes::HandOverId;
use crate::token::TokenClaim;

/// The most bytes that the items of one chunk take when encoded.
pub const MAX_CHUNK_BYTES: usize = 30 * 1024;
/// The most chunks of one hand-over.
pub const MAX_CHUNKS: u16 = 64;

/// A part of a hand-over, sent as one message of at most 32 KiB.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandOverChunk {
    /// The hand-over.
    pub hand_over: HandOverId,
    /// The index of this chunk, from zero.
    pub position: u16,
    /// The number of chunks.
    pub total: u16,
    /// Set if not all request records fitted. Requests that were sent before this point may
    /// then be missing.
    pub records_since: Option<Timestamp>,
    /// The items of this chunk.
    pub items: Vec<HandOverItem>,
}

/// One entry of the state of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HandOverItem {
    /// The pin of a flow.
    Pin(PinItem),
    /// The record of a request.
    Record(RecordItem),
    /// The number of a server's open flows whose pins are not handed over.
    Connections(ConnectionsItem),
}

/// The pin of a flow, which fixes its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PinItem {
    /// The flow.
    pub flow: FlowKey,
    /// The server.
    pub claim: TokenClaim,
    /// When the flow was placed.
    pub since: Timestamp,
    /// When the last datagram of the flow was received.
    pub last_seen: Timestamp,
    /// Whether the caller echoes the token of the flow.
    pub echoes_token: bool,
    /// Whether another home may have placed the flow as well.
    pub disputed: bool,
    /// Whether the receiver must count it as a connection of the server.
    pub counted: bool,
}

/// The number of a server's open flows whose pins are not handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConnectionsItem {
    /// The server.
    pub backend: BackendId,
    /// The number of flows.
    pub connections: u32,
}

/// The record of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordItem {
    /// The flow that the request belongs to.
    pub flow: FlowKey,
    /// The request.
    pub id: RequestId,
    /// The server to which it was or will be sent.
    pub backend: BackendId,
    /// From when on every copy of the request is refused.
    pub expires: Timestamp,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Whether an earlier attempt may have run, so that the caller must not get the reply "not
    /// run".
    pub may_have_run: bool,
    /// The state of the request.
    pub state: RecordState,
}

/// A request that may have to be sent, possibly again.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldItem {
    /// The caller's header of the request.
    pub header: RequestHeader,
    /// What the caller's datagram did to its flow.
    pub kind: CallerKind,
    /// Opaque bytes for the backend server.
    pub payload: Vec<u8>,
}

/// A part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartItem {
    /// The position of the part.
    pub part: PartNumber,
    /// Opaque bytes from the backend server.
    pub payload: Vec<u8>,
}

/// The parts of an answer that have arrived, as a bitmap.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartsItem {
    /// The number of parts of the answer; zero until the first arrives.
    pub total: u32,
    /// One bit per part, in order.
    pub bits: Vec<u64>,
}

/// The state of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RecordState {
    /// It waits for a slot.
    Queued {
        /// The attempt that is waiting.
        attempt: AttemptNumber,
        /// The request to send.
        held: HeldItem,
    },
    /// It was sent to the server.
    Running {
        /// The last attempt sent.
        attempt: AttemptNumber,
        /// When that attempt was sent.
        sent: Timestamp,
        /// The request, in case it is sent again.
        held: HeldItem,
        /// The parts of the answer that have arrived.
        seen: PartsItem,
        /// The content of these parts; `None` if not all of them were kept.
        kept: Option<Vec<PartItem>>,
    },
    /// It was answered.
    Answered {
        /// The attempt that was answered.
        attempt: AttemptNumber,
        /// All parts of the answer; `None` if they were not kept.
        kept: Option<Vec<PartItem>>,
    },
    /// It was refused and must never run.
    Refused {
        /// Why it was refused.
        reason: RefusalReason,
    },
    /// It is not known whether it ran.
    Unknown,
}
