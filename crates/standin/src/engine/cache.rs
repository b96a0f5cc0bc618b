//! The prefix cache of the engine stand-in: bounded, by program, least recently used out
//! first. No I/O.

use camphorwalk_core::hash::{Map, stable_hash};
use serde::{Deserialize, Serialize};

/// The bytes of text that make a token.
const BYTES_PER_TOKEN: u64 = 4;

/// Returns the tokens of a text.
///
/// ```
/// use camphorwalk_standin::engine::tokens_of;
/// assert_eq!(tokens_of("a doorway"), 3);
/// ```
pub fn tokens_of(text: &str) -> u64 {
    (text.len() as u64).div_ceil(BYTES_PER_TOKEN)
}

/// The prefix that a cache holds of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The program.
    pub program: Box<str>,
    /// The tokens of the prefix.
    pub tokens: u64,
}

/// A change of what a cache holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// It holds this much of a program now.
    Held(Held),
    /// It holds nothing of a program any more; this much went.
    Evicted(Held),
}

/// One part of a prompt, as the cache knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Part {
    /// The hash of its text.
    hash: u64,
    /// Its tokens.
    tokens: u64,
}

/// What the cache holds of one program.
#[derive(Debug, Default)]
struct Entry {
    /// The leading parts of its prompt.
    parts: Vec<Part>,
    /// The tokens of these parts.
    tokens: u64,
    /// The requests that run on it; while there are any, it stays.
    running: u32,
    /// When it was used last, counted in uses.
    last_use: u64,
}

/// A bounded prefix cache.
#[derive(Debug)]
pub struct Cache {
    /// The most tokens that stay once their requests have ended.
    capacity: u64,
    /// What it holds, by program.
    entries: Map<Box<str>, Entry>,
    /// The tokens held, over all programs.
    tokens: u64,
    /// The number of uses so far.
    uses: u64,
}

impl Cache {
    /// Makes an empty cache for this many tokens.
    pub fn new(capacity: u64) -> Self {
        Self { capacity, entries: Map::default(), tokens: 0, uses: 0 }
    }

    /// Returns the most tokens that stay once their requests have ended.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the tokens held now.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns what is held, by program.
    pub fn held(&self) -> Vec<Held> {
        let mut held: Vec<_> = self
            .entries
            .iter()
            .map(|(program, entry)| Held { program: program.clone(), tokens: entry.tokens })
            .collect();
        held.sort_by(|a, b| a.program.cmp(&b.program));

        held
    }

    /// Begins a request: returns the tokens of its prompt that were there already, and what
    /// changed.
    ///
    /// The whole prompt is held from now on, at least until [`Cache::end`]. While requests
    /// run, the cache may hold more than its capacity.
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
            .map(|text| Part { hash: stable_hash(&[text.as_bytes()]), tokens: tokens_of(text) })
            .collect();
        self.uses += 1;

        let entry = self.entries.entry(program.into()).or_default();
        let same = entry.parts.iter().zip(&parts).take_while(|(old, new)| old == new);
        let cached = same.map(|(_, part)| part.tokens).sum();
        self.tokens -= entry.tokens;
        entry.tokens = parts.iter().map(|part| part.tokens).sum();
        entry.parts = parts;
        self.tokens += entry.tokens;
        entry.running += 1;
        entry.last_use = self.uses;

        let held = Held { program: program.into(), tokens: entry.tokens };
        let mut changes = vec![CacheChange::Held(held)];
        changes.extend(self.shrink());

        (cached, changes)
    }

    /// Ends a request, whole or cancelled; returns what changed.
    pub fn end(&mut self, program: &str) -> Vec<CacheChange> {
        if let Some(entry) = self.entries.get_mut(program) {
            entry.running = entry.running.saturating_sub(1);
        }

        self.shrink()
    }

    /// Frees what is held of a program; returns none if a request runs on it.
    pub fn free(&mut self, program: &str) -> Option<Vec<CacheChange>> {
        match self.entries.get(program) {
            Some(entry) if entry.running > 0 => None,
            Some(_) => Some(self.evict(program).into_iter().collect()),
            None => Some(Vec::new()),
        }
    }

    /// Frees all on which no request runs, as a change of the model does.
    pub fn clear(&mut self) -> Vec<CacheChange> {
        let held = self.held();

        held.iter().filter_map(|held| self.free(&held.program)).flatten().collect()
    }

    /// Evicts least recently used programs until the rest fits or is in use.
    fn shrink(&mut self) -> Vec<CacheChange> {
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

    /// Evicts a program.
    fn evict(&mut self, program: &str) -> Option<CacheChange> {
        let entry = self.entries.remove(program)?;
        self.tokens -= entry.tokens;

        Some(CacheChange::Evicted(Held { program: program.into(), tokens: entry.tokens }))
    }
}
