//! What only the home of a shard knows, in the form in which it goes to the
//! next home. The types are plain: a receiver checks every index and bound when
//! it turns them into its own.

use cardamomwinch_state::prelude::{BackendId, FlowKey, RequestId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::caller::{AttemptNumber, CallerKind, PartNumber, RefusalReason, RequestHeader};
use crate::peer::homes::HandOverId;
use crate::token::TokenClaim;

/// The most bytes that the contents of one chunk take, as encoded.
pub const CHUNK_BYTES: usize = 30 * 1024;
/// The most chunks of one hand-over.
pub const CHUNK_LIMIT: u16 = 64;

/// A part of a hand-over; one message, at most 32 KiB.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandOverChunk {
    /// The hand-over.
    pub hand_over: HandOverId,
    /// The position of this chunk, from zero.
    pub position: u16,
    /// The number of chunks.
    pub total: u16,
    /// Set where not every record fitted: what may have been sent before this
    /// point is not fully known.
    pub records_since: Option<Timestamp>,
    /// What it carries.
    pub items: Vec<HandOverItem>,
}

/// One thing that the home knows.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HandOverItem {
    /// The server of a flow.
    Pin(PinItem),
    /// A remembered request.
    Record(RecordItem),
    /// Open flows of a server for which no pin is handed over.
    Connections(ConnectionsItem),
}

/// The server of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PinItem {
    /// The flow.
    pub flow: FlowKey,
    /// The server.
    pub claim: TokenClaim,
    /// When the flow was placed.
    pub since: Timestamp,
    /// When the last datagram of the flow was seen.
    pub last_seen: Timestamp,
    /// Whether the caller echoes the token of the flow.
    pub echoes_token: bool,
    /// Whether another home may have placed the flow as well.
    pub disputed: bool,
    /// Whether the receiver is to count it as a connection of the server.
    pub counted: bool,
}

/// Open flows of a server for which no pin is handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConnectionsItem {
    /// The server.
    pub backend: BackendId,
    /// The number of flows.
    pub connections: u32,
}

/// A remembered request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordItem {
    /// The flow that the request belongs to.
    pub flow: FlowKey,
    /// The request.
    pub id: RequestId,
    /// The server that it was or is to be sent to.
    pub backend: BackendId,
    /// When no copy of the request can be accepted any more.
    pub expires: Timestamp,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Whether it may have run before, so that "not run" must not be said.
    pub may_have_run: bool,
    /// Where it stands.
    pub state: RecordState,
}

/// A request that may have to be sent (again).
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldItem {
    /// What the caller said about the request.
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
    /// Which part.
    pub part: PartNumber,
    /// Opaque bytes from the backend server.
    pub payload: Vec<u8>,
}

/// Which parts of an answer have come, one bit each.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartsItem {
    /// The number of parts; zero before the first has come.
    pub total: u32,
    /// A bit for each part, in order.
    pub bits: Vec<u64>,
}

/// Where a request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RecordState {
    /// It waits for a slot.
    Queued {
        /// The attempt that it waits to make.
        attempt: AttemptNumber,
        /// What is to be sent.
        held: HeldItem,
    },
    /// It was sent.
    Running {
        /// The last attempt sent.
        attempt: AttemptNumber,
        /// When that was.
        sent: Timestamp,
        /// What would be sent again.
        held: HeldItem,
        /// Which parts of the answer have come.
        seen: PartsItem,
        /// The parts, where every one that came was kept.
        kept: Option<Vec<PartItem>>,
    },
    /// It was answered.
    Answered {
        /// The attempt that was answered.
        attempt: AttemptNumber,
        /// All parts, unless they were not kept.
        kept: Option<Vec<PartItem>>,
    },
    /// It was refused and must never run.
    Refused {
        /// Why.
        reason: RefusalReason,
    },
    /// Its outcome is not known.
    Unknown,
}
