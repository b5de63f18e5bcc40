//! A bounded table kept as sorted vectors in many parts, chosen by the hash of
//! a flow, so that an insertion moves only a short run of entries.

use crate::flow::{FlowHash, FlowKey};
use crate::sorted_vector::SortedVector;

const PART_COUNT: usize = 1024;

/// The table already holds as many flows as it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("the table holds its limit of {limit} entries"))]
pub struct TableFullError {
    /// The bound from the settings.
    pub limit: usize,
}

/// Flows and a value for each, bounded in number.
pub type FlowTable<V> = PartedTable<FlowKey, V>;

/// Entries that belong to flows, bounded in number.
#[derive(Debug)]
pub struct PartedTable<K, V> {
    parts: Vec<SortedVector<K, V>>,
    length: usize,
    limit: usize,
}

impl<K: Ord, V> PartedTable<K, V> {
    /// Creates a table that holds at most `limit` entries.
    pub fn new(limit: usize) -> Self {
        let mut parts = Vec::new();
        parts.resize_with(PART_COUNT, SortedVector::new);
        Self {
            parts,
            length: 0,
            limit,
        }
    }

    fn part(hash: FlowHash) -> usize {
        (hash.get() >> 32) as usize % PART_COUNT
    }

    /// The number of entries held.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no entry is held.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The value under `key`, whose flow has the hash `hash`.
    pub fn get(&self, hash: FlowHash, key: &K) -> Option<&V> {
        self.parts[Self::part(hash)].get(key)
    }

    /// The value under `key`, to be changed.
    pub fn get_mut(&mut self, hash: FlowHash, key: &K) -> Option<&mut V> {
        self.parts[Self::part(hash)].get_mut(key)
    }

    /// Puts `value` under `key` and returns what it replaced.
    ///
    /// # Errors
    /// Refuses a key that is not held yet once the table is full.
    pub fn insert(
        &mut self,
        hash: FlowHash,
        key: K,
        value: V,
    ) -> Result<Option<V>, TableFullError> {
        let part = &mut self.parts[Self::part(hash)];
        if self.length >= self.limit && !part.contains_key(&key) {
            return Err(TableFullError { limit: self.limit });
        }
        let replaced = part.insert(key, value);
        if replaced.is_none() {
            self.length += 1;
        }
        Ok(replaced)
    }

    /// Takes the value under `key` out.
    pub fn remove(&mut self, hash: FlowHash, key: &K) -> Option<V> {
        let removed = self.parts[Self::part(hash)].remove(key);
        if removed.is_some() {
            self.length -= 1;
        }
        removed
    }

    /// Keeps only the entries for which `keep` holds.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        for part in &mut self.parts {
            part.retain(&mut keep);
        }
        self.length = self.parts.iter().map(SortedVector::len).sum();
    }

    /// All entries, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.parts.iter().flat_map(SortedVector::iter)
    }

    /// The number of parts that [`Self::retain_part`] walks.
    pub const fn part_count() -> usize {
        PART_COUNT
    }

    /// Like [`Self::retain`] for one part only, so that a sweep over a large
    /// table can be spread over many short steps.
    pub fn retain_part(&mut self, position: usize, keep: impl FnMut(&K, &mut V) -> bool) {
        let part = &mut self.parts[position % PART_COUNT];
        let before = part.len();
        part.retain(keep);
        self.length -= before - part.len();
    }
}
