//! A map of bounded size that forgets old entries.

use std::hash::Hash;

use camphorwalk_core::hash::Map;

/// A map of two generations: when the newer one is full, it replaces the older one, whose entries
/// are forgotten.
#[derive(Clone, Debug)]
pub struct RecentMap<K, V> {
    newer: Map<K, V>,
    older: Map<K, V>,
    /// The maximum number of entries in a generation.
    capacity: usize,
}

impl<K: Eq + Hash, V: Copy> RecentMap<K, V> {
    /// Creates a map that keeps at least the `capacity` most recent entries, and less than twice as
    /// many.
    ///
    /// ```
    /// use camphorwalk_policy::entry::recent::RecentMap;
    /// let mut recent = RecentMap::new(2);
    /// (0..5).for_each(|key| recent.put(key, key * 10));
    /// assert_eq!([recent.get(&0), recent.get(&3), recent.get(&4)], [None, Some(30), Some(40)]);
    /// ```
    pub fn new(capacity: usize) -> Self {
        Self { newer: Map::default(), older: Map::default(), capacity }
    }

    /// Returns the latest value of a key, unless it has been forgotten.
    pub fn get(&self, key: &K) -> Option<V> {
        self.newer.get(key).or_else(|| self.older.get(key)).copied()
    }

    /// Inserts or replaces an entry, which may drop the older generation.
    pub fn put(&mut self, key: K, value: V) {
        self.newer.insert(key, value);

        if self.newer.len() >= self.capacity {
            self.older = std::mem::take(&mut self.newer);
        }
    }
}
