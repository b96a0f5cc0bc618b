//! The prefix cache of the engine stand-in. It holds one prefix per program, and evicts the least
//! recently used program when it is full. Performs no I/O.

use camphorwalk_core::hash::{Map, stable_hash};
use serde::{Deserialize, Serialize};

/// The number of bytes that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Returns the number of tokens of a text.
///
/// ```
/// use camphorwalk_standin::engine::count_tokens;
/// assert_eq!(count_tokens("a doorway"), 3);
/// ```
pub fn count_tokens(text: &str) -> u64 {
    (text.len() as u64).div_ceil(BYTES_PER_TOKEN)
}

/// The prefix that a cache holds for a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The program.
    pub program: Box<str>,
    /// The length of the prefix in tokens.
    pub tokens: u64,
}

/// A change of the contents of a cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The cache now holds this prefix of a program.
    Held(Held),
    /// The program was evicted. Contains the prefix that was held until then.
    Evicted(Held),
}

/// One part of a prompt. The cache stores a hash instead of the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Part {
    /// The hash of the text.
    hash: u64,
    /// The length of the text in tokens.
    tokens: u64,
}

/// The cache entry of one program.
#[derive(Debug, Default)]
struct Entry {
    /// The parts of the latest prompt.
    parts: Vec<Part>,
    /// The length of these parts in tokens.
    tokens: u64,
    /// The number of running requests of the program. The entry is not evicted while there are any.
    running: u32,
    /// The value of [`Cache::uses`] when the entry was last used.
    last_use: u64,
}

/// A bounded prefix cache.
#[derive(Debug)]
pub struct Cache {
    /// The maximum number of tokens. Running requests may exceed it.
    capacity: u64,
    /// The entries, by program.
    entries: Map<Box<str>, Entry>,
    /// The number of tokens held for all programs.
    tokens: u64,
    /// The number of requests that have begun.
    uses: u64,
}

impl Cache {
    /// Creates an empty cache with a capacity in tokens.
    pub fn new(capacity: u64) -> Self {
        Self { capacity, entries: Map::default(), tokens: 0, uses: 0 }
    }

    /// Returns the capacity in tokens.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the number of tokens held.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the prefixes held, sorted by program.
    pub fn held(&self) -> Vec<Held> {
        let mut held: Vec<_> = self
            .entries
            .iter()
            .map(|(program, entry)| Held { program: program.clone(), tokens: entry.tokens })
            .collect();
        held.sort_by(|a, b| a.program.cmp(&b.program));

        held
    }

    /// Begins a request. Returns the number of tokens of its prompt that were cached already, and
    /// the changes of the cache.
    ///
    /// The complete prompt is held at least until [`Cache::end`]. While requests run, the cache may
    /// hold more than its capacity.
    ///
    /// ```
    /// use camphorwalk_standin::engine::Cache;
    /// let mut cache = Cache::new(100);
    /// cache.begin("p1", &["measure the door".into()]);
    /// let (cached, _) = cache.begin("p1", &["measure the door".into(), "again".into()]);
    /// assert_eq!(cached, 4);
    /// ```
    pub fn begin(&mut self, program: &str, prompt: &[Box<str>]) -> (u64, Vec<CacheChange>) {
        let parts: Vec<_> = prompt
            .iter()
            .map(|text| Part { hash: stable_hash(&[text.as_bytes()]), tokens: count_tokens(text) })
            .collect();
        self.uses += 1;

        let entry = self.entries.entry(program.into()).or_default();
        let cached_parts = entry.parts.iter().zip(&parts).take_while(|(old, new)| old == new);
        let cached = cached_parts.map(|(_, part)| part.tokens).sum();
        self.tokens -= entry.tokens;
        entry.tokens = parts.iter().map(|part| part.tokens).sum();
        entry.parts = parts;
        self.tokens += entry.tokens;
        entry.running += 1;
        entry.last_use = self.uses;

        let held = Held { program: program.into(), tokens: entry.tokens };
        let mut changes = vec![CacheChange::Held(held)];
        changes.extend(self.evict_to_capacity());

        (cached, changes)
    }

    /// Ends a request, whether it completed or was cancelled. Returns the changes of the cache.
    pub fn end(&mut self, program: &str) -> Vec<CacheChange> {
        if let Some(entry) = self.entries.get_mut(program) {
            entry.running = entry.running.saturating_sub(1);
        }

        self.evict_to_capacity()
    }

    /// Removes a program from the cache and returns the changes. Returns `None` and removes nothing
    /// while a request of the program runs.
    pub fn free(&mut self, program: &str) -> Option<Vec<CacheChange>> {
        match self.entries.get(program) {
            Some(entry) if entry.running > 0 => None,
            Some(_) => Some(self.evict(program).into_iter().collect()),
            None => Some(Vec::new()),
        }
    }

    /// Removes all programs without running requests, as loading another model does.
    pub fn clear(&mut self) -> Vec<CacheChange> {
        let held = self.held();

        held.iter().filter_map(|held| self.free(&held.program)).flatten().collect()
    }

    /// Evicts the least recently used programs until the cache fits its capacity or all remaining
    /// programs have running requests.
    fn evict_to_capacity(&mut self) -> Vec<CacheChange> {
        let mut changes = Vec::new();

        while self.tokens > self.capacity {
            let idle = self.entries.iter().filter(|(_, entry)| entry.running == 0);
            let oldest = idle.min_by_key(|(_, entry)| entry.last_use);
            let Some(program) = oldest.map(|(program, _)| program.clone()) else {
                break;
            };

            changes.extend(self.evict(&program));
        }

        changes
    }

    /// Evicts a program, if it is held.
    fn evict(&mut self, program: &str) -> Option<CacheChange> {
        let entry = self.entries.remove(program)?;
        self.tokens -= entry.tokens;

        Some(CacheChange::Evicted(Held { program: program.into(), tokens: entry.tokens }))
    }
}
