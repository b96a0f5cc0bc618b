//! A map that remembers what was put into it of late.

use std::hash::Hash;

use camphorwalk_core::hash::Map;

/// A map in two generations: when the newer one is full it becomes the older one, and what was the
/// older one is forgotten.
#[derive(Clone, Debug)]
pub struct RecentMap<K, V> {
    newer: Map<K, V>,
    older: Map<K, V>,
    /// The most entries of a generation.
    most: usize,
}

impl<K: Eq + Hash, V: Copy> RecentMap<K, V> {
    /// Makes a map that remembers `most` entries at least, and up to twice as many.
    ///
    /// ```
    /// use camphorwalk_policy::entry::recent::RecentMap;
    /// let mut recent = RecentMap::new(2);
    /// (0..5).for_each(|key| recent.put(key, key * 10));
    /// assert_eq!([recent.get(&0), recent.get(&3), recent.get(&4)], [None, Some(30), Some(40)]);
    /// ```
    pub fn new(most: usize) -> Self {
        Self { newer: Map::default(), older: Map::default(), most }
    }

    /// Returns what was put last under a key.
    pub fn get(&self, key: &K) -> Option<V> {
        self.newer.get(key).or_else(|| self.older.get(key)).copied()
    }

    /// Puts an entry.
    pub fn put(&mut self, key: K, value: V) {
        self.newer.insert(key, value);

        if self.newer.len() >= self.most {
            self.older = std::mem::take(&mut self.newer);
        }
    }
}
