//! A compact map: one vector sorted by key and searched by binary search.

/// A map of entries that are sorted by key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SortedVector<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for SortedVector<K, V> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<K: Ord, V> SortedVector<K, V> {
    /// Creates an empty map.
    pub const fn new() -> Self {
        Self {
            entries: Vec::new(),
        }
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn position(&self, key: &K) -> Result<usize, usize> {
        self.entries.binary_search_by(|(held, _)| held.cmp(key))
    }

    /// The value of `key`.
    pub fn get(&self, key: &K) -> Option<&V> {
        let position = self.position(key).ok()?;
        Some(&self.entries[position].1)
    }

    /// A mutable reference to the value of `key`.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let position = self.position(key).ok()?;
        Some(&mut self.entries[position].1)
    }

    /// Whether there is an entry for `key`.
    pub fn contains_key(&self, key: &K) -> bool {
        self.position(key).is_ok()
    }

    /// Sets the value of `key` and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(position) => Some(std::mem::replace(&mut self.entries[position].1, value)),
            Err(position) => {
                self.entries.insert(position, (key, value));
                None
            }
        }
    }

    /// A mutable reference to the value of `key`, which `make` creates if there is none.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let position = match self.position(&key) {
            Ok(position) => position,
            Err(position) => {
                self.entries.insert(position, (key, make()));
                position
            }
        };
        &mut self.entries[position].1
    }

    /// Removes the entry of `key` and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let position = self.position(key).ok()?;
        Some(self.entries.remove(position).1)
    }

    /// Removes all entries for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(key, value)| keep(key, value));
    }

    /// Removes every entry.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// All entries in the order of their keys.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> {
        self.entries.iter().map(|(key, value)| (key, value))
    }

    /// All entries in the order of their keys, with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// The entries whose key is `key` or greater, in the order of their keys.
    pub fn range_from<'a>(
        &'a self,
        key: &K,
    ) -> impl Iterator<Item = (&'a K, &'a V)> + use<'a, K, V> {
        let (Ok(start) | Err(start)) = self.position(key);
        self.entries[start..]
            .iter()
            .map(|(key, value)| (key, value))
    }

    /// All keys in order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> {
        self.entries.iter().map(|(key, _)| key)
    }

    /// All values in the order of their keys.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> {
        self.entries.iter().map(|(_, value)| value)
    }

    /// The entry at `position` in key order.
    pub fn nth(&self, position: usize) -> Option<(&K, &V)> {
        self.entries.get(position).map(|(key, value)| (key, value))
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedVector<K, V> {
    /// Collects entries; of those with equal keys the last one is kept.
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let mut entries: Vec<(K, V)> = entries.into_iter().collect();
        entries.reverse();
        entries.sort_by(|left, right| left.0.cmp(&right.0));
        entries.dedup_by(|later, earlier| later.0 == earlier.0);
        Self { entries }
    }
}
