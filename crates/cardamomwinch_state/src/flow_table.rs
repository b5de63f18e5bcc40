//! A bounded table of flows, kept as sorted vectors in many shards so that an
//! insertion moves only a short run of entries.

use crate::flow::{FlowHash, FlowKey};
use crate::sorted_vector::SortedVector;

const SHARD_COUNT: usize = 1024;

/// The table already holds as many flows as it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("the flow table holds its limit of {limit} flows"))]
pub struct FlowTableFullError {
    /// The bound from the settings.
    pub limit: usize,
}

/// Flows and a value for each, bounded in number.
#[derive(Debug)]
pub struct FlowTable<V> {
    shards: Vec<SortedVector<FlowKey, V>>,
    length: usize,
    limit: usize,
}

impl<V> FlowTable<V> {
    /// Creates a table that holds at most `limit` flows.
    pub fn new(limit: usize) -> Self {
        let mut shards = Vec::new();
        shards.resize_with(SHARD_COUNT, SortedVector::new);
        Self {
            shards,
            length: 0,
            limit,
        }
    }

    fn shard(hash: FlowHash) -> usize {
        (hash.get() >> 32) as usize % SHARD_COUNT
    }

    /// The number of flows held.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no flow is held.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The value of the flow `key`, whose hash is `hash`.
    pub fn get(&self, hash: FlowHash, key: &FlowKey) -> Option<&V> {
        self.shards[Self::shard(hash)].get(key)
    }

    /// The value of the flow `key`, to be changed.
    pub fn get_mut(&mut self, hash: FlowHash, key: &FlowKey) -> Option<&mut V> {
        self.shards[Self::shard(hash)].get_mut(key)
    }

    /// Puts `value` under the flow `key` and returns what it replaced.
    ///
    /// # Errors
    /// Refuses a flow that is not held yet once the table is full.
    pub fn insert(
        &mut self,
        hash: FlowHash,
        key: FlowKey,
        value: V,
    ) -> Result<Option<V>, FlowTableFullError> {
        let shard = &mut self.shards[Self::shard(hash)];
        if self.length >= self.limit && !shard.contains_key(&key) {
            return Err(FlowTableFullError { limit: self.limit });
        }
        let replaced = shard.insert(key, value);
        if replaced.is_none() {
            self.length += 1;
        }
        Ok(replaced)
    }

    /// Takes the flow `key` out.
    pub fn remove(&mut self, hash: FlowHash, key: &FlowKey) -> Option<V> {
        let removed = self.shards[Self::shard(hash)].remove(key);
        if removed.is_some() {
            self.length -= 1;
        }
        removed
    }

    /// Keeps only the flows for which `keep` holds.
    pub fn retain(&mut self, mut keep: impl FnMut(&FlowKey, &mut V) -> bool) {
        for shard in &mut self.shards {
            shard.retain(&mut keep);
        }
        self.length = self.shards.iter().map(SortedVector::len).sum();
    }

    /// All flows, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &V)> {
        self.shards.iter().flat_map(SortedVector::iter)
    }

    /// The number of parts that [`Self::retain_part`] walks.
    pub const fn part_count() -> usize {
        SHARD_COUNT
    }

    /// Like [`Self::retain`] for one part only, so that a sweep over a large
    /// table can be spread over many short steps.
    pub fn retain_part(&mut self, part: usize, keep: impl FnMut(&FlowKey, &mut V) -> bool) {
        let shard = &mut self.shards[part % SHARD_COUNT];
        let before = shard.len();
        shard.retain(keep);
        self.length -= before - shard.len();
    }
}
