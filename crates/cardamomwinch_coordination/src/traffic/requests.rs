//! Requests that a home remembers, so that none runs twice and each is
//! answered once for all.

use cardamomwinch_protocol::prelude::{
    AttemptNumber, CallerKind, PartNumber, RefusalReason, RequestHeader,
};
use cardamomwinch_state::prelude::{
    BackendId, FlowHash, FlowKey, PartedTable, RequestId, ShardId, TableFullError, Timestamp,
};

/// Answers of more parts than this are not kept for a repeated request.
pub const KEPT_PARTS_LIMIT: u32 = 8;
/// Answers of more parts than this are refused as malformed.
pub const PARTS_LIMIT: u32 = 65_536;

/// Names a request among all flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// The flow that the request belongs to.
    pub flow: FlowKey,
    /// The request within the flow.
    pub id: RequestId,
}

/// A request that may have to be sent to a backend server (again).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRequest {
    /// What the caller said about the request.
    pub header: RequestHeader,
    /// What the caller's datagram did to its flow.
    pub kind: CallerKind,
    /// Opaque bytes for the backend server.
    pub payload: Box<[u8]>,
}

/// Which parts of an answer have come.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct PartTracker {
    pub(crate) total: u32,
    pub(crate) seen: u32,
    pub(crate) bits: Vec<u64>,
}

impl PartTracker {
    /// Notes a part; `true` where it is new.
    pub fn note(&mut self, part: PartNumber) -> bool {
        if part.total == 0 || part.total > PARTS_LIMIT || part.index >= part.total {
            return false;
        }
        if self.total == 0 {
            self.total = part.total;
            self.bits = vec![0; part.total.div_ceil(64) as usize];
        }
        if self.total != part.total {
            return false;
        }
        let word = &mut self.bits[(part.index / 64) as usize];
        let bit = 1_u64 << (part.index % 64);
        let new = *word & bit == 0;
        *word |= bit;
        self.seen += u32::from(new);
        new
    }

    /// Whether every part has come.
    pub fn is_whole(&self) -> bool {
        self.total > 0 && self.seen == self.total
    }
}

/// A part of an answer, kept for a repeated request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptPart {
    /// Which part.
    pub part: PartNumber,
    /// Opaque bytes from the backend server.
    pub payload: Box<[u8]>,
}

/// A run of a request on a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRequest {
    /// The server.
    pub backend: BackendId,
    /// The last attempt sent.
    pub attempt: AttemptNumber,
    /// When the last attempt was sent.
    pub sent: Timestamp,
    /// What would be sent again.
    pub held: HeldRequest,
    /// Which parts of the answer have come.
    pub tracker: PartTracker,
    /// The parts themselves, where the answer is short.
    pub kept: Vec<KeptPart>,
    /// Whether every part that came was kept.
    pub complete: bool,
}

/// Where a request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestState {
    /// It waits for a slot of its server.
    Queued {
        /// The server.
        backend: BackendId,
        /// The attempt that it waits to make.
        attempt: AttemptNumber,
        /// What is to be sent.
        held: HeldRequest,
    },
    /// It was sent to its server.
    Running(Box<RunningRequest>),
    /// It was answered; the answer is kept where it is short.
    Answered {
        /// The attempt that was answered.
        attempt: AttemptNumber,
        /// All parts, unless the answer was not kept.
        kept: Option<Vec<KeptPart>>,
    },
    /// It was refused and must never run.
    Refused {
        /// Why.
        reason: RefusalReason,
    },
    /// It was sent and its outcome is not known.
    Unknown,
}

/// A remembered request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// The shard of its server, whose home answers for it.
    pub shard: ShardId,
    /// When no copy of the request can be accepted any more.
    pub expires: Timestamp,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Where it stands.
    pub state: RequestState,
}

/// The requests that a home remembers, bounded in number.
#[derive(Debug)]
pub struct RequestTable {
    records: PartedTable<RequestKey, RequestRecord>,
}

impl RequestTable {
    /// Creates a table of at most `limit` records.
    pub fn new(limit: usize) -> Self {
        Self {
            records: PartedTable::new(limit),
        }
    }

    /// The number of requests remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record of a request.
    pub fn get(&self, hash: FlowHash, key: &RequestKey) -> Option<&RequestRecord> {
        self.records.get(hash, key)
    }

    /// The record of a request, to be changed.
    pub fn get_mut(&mut self, hash: FlowHash, key: &RequestKey) -> Option<&mut RequestRecord> {
        self.records.get_mut(hash, key)
    }

    /// Remembers a request.
    ///
    /// # Errors
    /// Refuses a new request once the table is full.
    pub fn insert(
        &mut self,
        hash: FlowHash,
        key: RequestKey,
        record: RequestRecord,
    ) -> Result<(), TableFullError> {
        self.records.insert(hash, key, record).map(drop)
    }

    /// All records, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestKey, &RequestRecord)> {
        self.records.iter()
    }

    /// Keeps only the records for which `keep` holds.
    pub fn retain(&mut self, keep: impl FnMut(&RequestKey, &mut RequestRecord) -> bool) {
        self.records.retain(keep);
    }

    /// Hands every expired record of one part of the table to `expired` and
    /// forgets it.
    pub fn sweep_part(
        &mut self,
        position: usize,
        now: Timestamp,
        mut expired: impl FnMut(&RequestKey, RequestState),
    ) {
        self.records.retain_part(position, |key, record| {
            let keep = record.expires > now;
            if !keep {
                let state = std::mem::replace(&mut record.state, RequestState::Unknown);
                expired(key, state);
            }
            keep
        });
    }
}
