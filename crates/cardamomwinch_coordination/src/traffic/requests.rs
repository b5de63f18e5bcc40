//! Records of the requests that a home remembers, so that none runs twice and every copy
//! gets the same reply.

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

/// Identifies a request among all flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// The flow that the request belongs to.
    pub flow: FlowKey,
    /// The request within the flow.
    pub id: RequestId,
}

/// A request that may have to be sent, or sent again, to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRequest {
    /// The request header from the caller.
    pub header: RequestHeader,
    /// The kind of the caller's datagram: opening, data or closing.
    pub kind: CallerKind,
    /// Opaque bytes for the backend server.
    pub payload: Box<[u8]>,
}

/// Which parts of an answer have arrived.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct PartTracker {
    pub(crate) total: u32,
    pub(crate) seen: u32,
    pub(crate) bits: Vec<u64>,
}

impl PartTracker {
    /// Records a part; returns `true` if it is new.
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

    /// Whether no part has arrived.
    pub fn is_empty(&self) -> bool {
        self.seen == 0
    }

    /// Whether every part has arrived.
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
    /// The request as sent, for a retry.
    pub held: HeldRequest,
    /// Which parts of the answer have arrived.
    pub tracker: PartTracker,
    /// The parts themselves, if the answer is short.
    pub kept: Vec<KeptPart>,
    /// Whether every part that arrived was kept.
    pub complete: bool,
    /// Whether the caller was sent "outcome unknown". An answer that arrives later is
    /// still processed: it frees the slot and adds to the service times, which would
    /// otherwise never include long requests.
    pub given_up: bool,
}

/// The state of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestState {
    /// It waits for a slot of its server.
    Queued {
        /// The server.
        backend: BackendId,
        /// The number of the next attempt.
        attempt: AttemptNumber,
        /// The request to send.
        held: HeldRequest,
    },
    /// It was sent to its server.
    Running(Box<RunningRequest>),
    /// It was answered; a short answer is kept.
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
    /// Its server did not hold the flow, so the request did not run there. It was sent to
    /// the home of the next server that the flow may belong to.
    Moved {
        /// The server.
        backend: BackendId,
    },
    /// It was sent and its outcome is not known.
    Unknown,
}

impl RequestState {
    /// Bytes of payloads that are held for the request.
    pub fn held_bytes(&self) -> usize {
        let sum = |kept: &[KeptPart]| kept.iter().map(|part| part.payload.len()).sum();
        match self {
            Self::Queued { held, .. } => held.payload.len(),
            Self::Running(running) => running.held.payload.len() + sum(&running.kept),
            Self::Answered {
                kept: Some(kept), ..
            } => sum(kept),
            Self::Answered { kept: None, .. }
            | Self::Refused { .. }
            | Self::Moved { .. }
            | Self::Unknown => 0,
        }
    }

    /// Whether an attempt before the current one may have run.
    pub const fn may_have_run_before(&self) -> bool {
        match self {
            Self::Queued { attempt, .. } => attempt.0 > 0,
            Self::Running(running) => running.attempt.0 > 0,
            Self::Refused { .. } | Self::Moved { .. } => false,
            Self::Answered { .. } | Self::Unknown => true,
        }
    }

    /// Whether it was sent to its server, and its caller was sent "outcome unknown".
    pub const fn is_given_up(&self) -> bool {
        match self {
            Self::Running(running) => running.given_up,
            _ => false,
        }
    }

    /// Whether the request waits or runs, so that its final reply is pending.
    pub const fn is_pending(&self) -> bool {
        matches!(self, Self::Queued { .. } | Self::Running(_))
    }
}

/// A remembered request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// The shard of its server, whose home keeps this record.
    pub shard: ShardId,
    /// When copies of the request are no longer accepted.
    pub expires: Timestamp,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Whether an earlier attempt may have run, so that "not run" must no longer be
    /// replied. An attempt that was shed did not run.
    pub may_have_run: bool,
    /// The state of the request.
    pub state: RequestState,
}

/// The requests that a home remembers, bounded in number. The table itself counts the
/// bytes that its records hold, so that no change or removal of a record can make the
/// count wrong.
#[derive(Debug)]
pub struct RequestTable {
    records: PartedTable<RequestKey, RequestRecord>,
    limit: usize,
    held_bytes: usize,
}

impl RequestTable {
    /// Creates a table of at most `limit` records.
    pub fn new(limit: usize) -> Self {
        Self {
            records: PartedTable::new(limit),
            limit,
            held_bytes: 0,
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

    /// The most requests that may be remembered.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes of request payloads and kept answers, in total.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// The record of a request.
    pub fn get(&self, hash: FlowHash, key: &RequestKey) -> Option<&RequestRecord> {
        self.records.get(hash, key)
    }

    /// Applies `change` to the record of a request and returns its result, if there is a
    /// record.
    pub fn change<R>(
        &mut self,
        hash: FlowHash,
        key: &RequestKey,
        change: impl FnOnce(&mut RequestRecord) -> R,
    ) -> Option<R> {
        let record = self.records.get_mut(hash, key)?;
        let before = record.state.held_bytes();
        let result = change(record);
        self.held_bytes = self.held_bytes - before + record.state.held_bytes();
        Some(result)
    }

    /// Replaces the state of a request and returns the previous one.
    pub fn replace_state(
        &mut self,
        hash: FlowHash,
        key: &RequestKey,
        state: RequestState,
    ) -> Option<RequestState> {
        self.change(hash, key, |record| {
            std::mem::replace(&mut record.state, state)
        })
    }

    /// Adds or replaces the record of a request.
    ///
    /// # Errors
    /// Returns an error for a new request if the table is full.
    pub fn insert(
        &mut self,
        hash: FlowHash,
        key: RequestKey,
        record: RequestRecord,
    ) -> Result<(), TableFullError> {
        let added = record.state.held_bytes();
        let replaced = self.records.insert(hash, key, record)?;
        let released = replaced.map_or(0, |record| record.state.held_bytes());
        self.held_bytes = self.held_bytes + added - released;
        Ok(())
    }

    /// Removes and returns the record of a request.
    pub fn remove(&mut self, hash: FlowHash, key: &RequestKey) -> Option<RequestRecord> {
        let removed = self.records.remove(hash, key)?;
        self.held_bytes -= removed.state.held_bytes();
        Some(removed)
    }

    /// All records, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestKey, &RequestRecord)> {
        self.records.iter()
    }

    /// Keeps only the records for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&RequestKey, &mut RequestRecord) -> bool) {
        let mut held_bytes = 0;
        self.records.retain(|key, record| {
            let keep = keep(key, record);
            if keep {
                held_bytes += record.state.held_bytes();
            }
            keep
        });
        self.held_bytes = held_bytes;
    }

    /// Removes the expired records of one part of the table. Requests that wait or run
    /// stay until the ledger has ended them.
    pub fn sweep_part(&mut self, position: usize, now: Timestamp) {
        let mut released = 0;
        self.records.retain_part(position, |_, record| {
            let keep = record.expires > now || record.state.is_pending();
            if !keep {
                released += record.state.held_bytes();
            }
            keep
        });
        self.held_bytes -= released;
    }
}
