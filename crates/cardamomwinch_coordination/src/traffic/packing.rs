//! Packs the state of a home into chunks of a hand-over. The caller adds the most
//! important items first.

use cardamomwinch_protocol::codec;
use cardamomwinch_protocol::peer::hand_over::{
    HandOverChunk, HandOverItem, MAX_CHUNK_BYTES, MAX_CHUNKS,
};
use cardamomwinch_protocol::peer::homes::HandOverId;
use cardamomwinch_state::prelude::Timestamp;
use snafu::Snafu;

/// Chunks reserved for the connection counts, which are added last.
const RESERVED_CHUNKS: usize = 2;

/// The hand-over is full, or the item is larger than a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("the hand-over has no room for the item"))]
pub(crate) struct HandOverFullError;

/// Fills chunks up to the limit of a hand-over.
#[derive(Debug)]
pub(crate) struct ChunkPacker {
    chunks: Vec<Vec<HandOverItem>>,
    used: usize,
    scratch: Vec<u8>,
    records_since: Option<Timestamp>,
}

impl ChunkPacker {
    pub(crate) fn new() -> Self {
        Self {
            chunks: vec![Vec::new()],
            used: 0,
            scratch: vec![0; MAX_CHUNK_BYTES],
            records_since: None,
        }
    }

    /// Whether the item is small enough for a chunk.
    pub(crate) fn fits_a_chunk(&mut self, item: &HandOverItem) -> bool {
        codec::encode(item, &mut self.scratch).is_ok()
    }

    /// Adds an item.
    ///
    /// # Errors
    /// Returns an error if the item does not fit.
    pub(crate) fn add(&mut self, item: HandOverItem) -> Result<(), HandOverFullError> {
        self.add_within(item, usize::from(MAX_CHUNKS) - RESERVED_CHUNKS)
    }

    /// Adds an item that may use the reserved chunks.
    ///
    /// # Errors
    /// Returns an error if the item does not fit.
    pub(crate) fn add_last(&mut self, item: HandOverItem) -> Result<(), HandOverFullError> {
        self.add_within(item, MAX_CHUNKS.into())
    }

    fn add_within(&mut self, item: HandOverItem, limit: usize) -> Result<(), HandOverFullError> {
        let Ok(encoded) = codec::encode(&item, &mut self.scratch) else {
            return Err(HandOverFullError);
        };
        let size = encoded.len();
        if self.used + size > MAX_CHUNK_BYTES {
            if self.chunks.len() >= limit {
                return Err(HandOverFullError);
            }
            self.chunks.push(Vec::new());
            self.used = 0;
        }
        self.used += size;
        if let Some(chunk) = self.chunks.last_mut() {
            chunk.push(item);
        }
        Ok(())
    }

    /// Records that state about requests sent before `point` is left out.
    pub(crate) fn cut_off(&mut self, point: Timestamp) {
        self.records_since = self.records_since.max(Some(point));
    }

    /// Returns the numbered chunks.
    pub(crate) fn finish(self, hand_over: HandOverId) -> Vec<HandOverChunk> {
        let total = self.chunks.len() as u16;
        let records_since = self.records_since;
        let numbered = (0..total).zip(self.chunks);
        let chunks = numbered.map(|(position, items)| HandOverChunk {
            hand_over,
            position,
            total,
            records_since,
            items,
        });
        chunks.collect()
    }
}
