//! A bounded table that is split into many sorted vectors by the hash of a flow, so that an
//! insertion moves only a few entries.

use crate::flow::{FlowHash, FlowKey};
use crate::sorted_vector::SortedVector;

const PART_COUNT: usize = 1024;

/// The error of an insertion into a full table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("the table holds its limit of {limit} entries"))]
pub struct TableFullError {
    /// The most entries that the table may hold.
    pub limit: usize,
}

/// A table with one value per flow.
pub type FlowTable<V> = PartedTable<FlowKey, V>;

/// A bounded number of entries, each of which belongs to a flow.
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

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The value of `key`, whose flow has the hash `hash`.
    pub fn get(&self, hash: FlowHash, key: &K) -> Option<&V> {
        self.parts[Self::part(hash)].get(key)
    }

    /// A mutable reference to the value of `key`, whose flow has the hash `hash`.
    pub fn get_mut(&mut self, hash: FlowHash, key: &K) -> Option<&mut V> {
        self.parts[Self::part(hash)].get_mut(key)
    }

    /// Sets the value of `key` and returns the previous one.
    ///
    /// # Errors
    /// Fails if the table is full and has no entry for `key`.
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

    /// Removes the entry of `key` and returns its value.
    pub fn remove(&mut self, hash: FlowHash, key: &K) -> Option<V> {
        let removed = self.parts[Self::part(hash)].remove(key);
        if removed.is_some() {
            self.length -= 1;
        }
        removed
    }

    /// Removes all entries for which `keep` returns false.
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

    /// The number of parts of a table, for [`Self::retain_part`].
    pub const fn part_count() -> usize {
        PART_COUNT
    }

    /// Like [`Self::retain`] for one part only, so that a sweep over a large table can be
    /// split into many short steps. `position` is taken modulo the number of parts.
    pub fn retain_part(&mut self, position: usize, keep: impl FnMut(&K, &mut V) -> bool) {
        let part = &mut self.parts[position % PART_COUNT];
        let before = part.len();
        part.retain(keep);
        self.length -= before - part.len();
    }
}
