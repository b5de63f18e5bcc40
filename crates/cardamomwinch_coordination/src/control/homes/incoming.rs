//! Shards that another host hands over to this one.
//!
//! Chunks are buffered, and imported by the traffic thread only after the holder
//! has given up its lease. If they were imported earlier and the hand-over was
//! then aborted, they would become outdated while the holder continues: a request
//! that they list as waiting might run on both hosts.

use std::time;

use cardamomwinch_protocol::peer::hand_over::{HandOverChunk, MAX_CHUNKS};
use cardamomwinch_protocol::peer::homes::{
    ChunkReceipt, HandOverCommit, HandOverId, HomeMessage, LeaseRound,
};
use cardamomwinch_state::prelude::{HostId, ShardId, SortedVector, Timestamp};

use crate::control::event::TakeOverReport;
use crate::control::homes::HomeAction;

/// A hand-over that is not committed and imported within this time is dropped.
const BUFFER_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// The most chunks buffered at the same time, of all hand-overs together.
const MAX_BUFFERED_CHUNKS: usize = 512;

#[derive(Debug)]
struct IncomingHandOver {
    id: HandOverId,
    holder: HostId,
    total: u16,
    begun: Timestamp,
    chunks: SortedVector<u16, HandOverChunk>,
    committed: Option<HandOverCommit>,
    to_import: Vec<u16>,
    records_since: Timestamp,
}

/// A hand-over that the traffic thread has imported completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ImportedHandOver {
    /// The commit of the former holder.
    pub commit: HandOverCommit,
    /// Requests sent before this time may be missing from the records.
    pub records_since: Timestamp,
}

/// The hand-overs of which this host is the successor.
#[derive(Debug, Default)]
pub struct IncomingTable {
    shards: SortedVector<ShardId, IncomingHandOver>,
    done: SortedVector<ShardId, HandOverId>,
}

impl IncomingTable {
    /// Whether `shard` is being handed over to this host, which must not request
    /// its lease yet.
    pub fn is_receiving(&self, shard: ShardId) -> bool {
        self.shards.contains_key(&shard)
    }

    /// Buffers a chunk and acknowledges it; `round` is this host's last round.
    pub fn handle_chunk(
        &mut self,
        now: Timestamp,
        sender: HostId,
        chunk: HandOverChunk,
        round: LeaseRound,
        out: &mut Vec<HomeAction>,
    ) {
        let id = chunk.hand_over;
        let position = chunk.position;
        let in_bounds = chunk.total <= MAX_CHUNKS && position < chunk.total;
        if !in_bounds || self.done.get(&id.shard).is_some_and(|done| *done >= id) {
            return;
        }
        let held: usize = self.shards.values().map(|known| known.chunks.len()).sum();
        if held >= MAX_BUFFERED_CHUNKS {
            return;
        }
        let known = self.shards.get(&id.shard);
        if known.is_some_and(|known| known.committed.is_some() || known.id > id) {
            return;
        }
        if known.is_none_or(|known| known.id != id) {
            self.shards.insert(id.shard, begin(now, sender, &chunk));
        }
        let Some(known) = self.shards.get_mut(&id.shard) else {
            return;
        };
        if known.total != chunk.total || known.holder != sender {
            return;
        }
        known.chunks.insert(position, chunk);
        let hand_over = id;
        let receipt = ChunkReceipt {
            hand_over,
            position,
            round,
        };
        out.push(HomeAction::Send {
            host: sender,
            message: HomeMessage::Received(receipt),
        });
    }

    /// Handles the commit of a hand-over: confirms it, and passes the chunks to the
    /// traffic thread if all of them are here.
    pub fn handle_commit(
        &mut self,
        sender: HostId,
        commit: HandOverCommit,
        out: &mut Vec<HomeAction>,
    ) {
        let id = commit.hand_over;
        out.push(HomeAction::Send {
            host: sender,
            message: HomeMessage::Committed(id),
        });
        let known = self.shards.get_mut(&id.shard);
        let Some(known) = known.filter(|known| known.id == id && known.committed.is_none()) else {
            return;
        };
        if known.chunks.len() != usize::from(known.total) {
            return;
        }
        known.committed = Some(commit);
        known.to_import = known.chunks.keys().copied().collect();
        known.records_since = commit.records_since;
        let chunks = std::mem::take(&mut known.chunks);
        for chunk in chunks.values() {
            let chunk = chunk.clone();
            out.push(HomeAction::TakeOver { chunk });
        }
    }

    /// Records that the traffic thread has imported a chunk. Returns the hand-over
    /// if it was the last chunk.
    pub fn record_import(&mut self, report: TakeOverReport) -> Option<ImportedHandOver> {
        let id = report.hand_over;
        let known = self.shards.get_mut(&id.shard)?;
        let commit = known.committed.filter(|commit| commit.hand_over == id)?;
        let since = report.records_since.unwrap_or_default();
        known.records_since = known.records_since.max(since);
        known
            .to_import
            .retain(|position| *position != report.position);
        if !known.to_import.is_empty() {
            return None;
        }
        let records_since = known.records_since;
        self.shards.remove(&id.shard);
        self.done.insert(id.shard, id);
        Some(ImportedHandOver {
            commit,
            records_since,
        })
    }

    /// Drops hand-overs that were not committed and imported in time.
    pub fn advance(&mut self, now: Timestamp) {
        self.shards
            .retain(|_, known| now.since(known.begun) < BUFFER_TIMEOUT);
    }

    /// Drops all incoming hand-overs.
    pub fn abort_all(&mut self) {
        self.shards.clear();
    }
}

fn begin(now: Timestamp, holder: HostId, chunk: &HandOverChunk) -> IncomingHandOver {
    IncomingHandOver {
        id: chunk.hand_over,
        holder,
        total: chunk.total,
        begun: now,
        chunks: SortedVector::new(),
        committed: None,
        to_import: Vec::new(),
        records_since: Timestamp::ZERO,
    }
}
