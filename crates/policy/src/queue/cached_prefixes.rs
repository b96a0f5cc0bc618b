//! The prompt prefixes that a target's cache is assumed to contain.

use std::collections::BTreeMap;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{ClassId, ProgramId, TenantId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use crate::shared_types::PlaceRequest;

/// The minimum size that an entry is counted with. It bounds the number of entries when prompts
/// are tiny.
const MIN_ENTRY_TOKENS: Tokens = Tokens(64);

/// Maximum number of entries that are examined when an eviction cost is estimated.
const MAX_VALUED_ENTRIES: usize = 16;

/// A prefix that is assumed to be in a target's cache.
#[derive(Clone, Copy, Debug)]
pub struct CachedPrefix {
    /// The length of the prefix.
    pub tokens: Tokens,
    /// The tenant of the program.
    pub tenant: TenantId,
    /// The class of the program.
    pub class: ClassId,
    /// When the prefix was last used.
    pub last_used: Instant,
    /// Whether a call of the program is in flight at this target.
    pub in_flight: bool,
    /// Whether a call of the program waits in the pool's queue.
    pub has_waiting_call: bool,
    use_number: u64,
}

/// The prefixes in one target's cache, evicted in order of least recent use.
///
/// This is an estimate. It is derived from granted and finished calls, and corrected by the
/// engine's eviction events, which are delayed and incomplete. A wrong entry costs the
/// computation of one prefix and nothing else.
#[derive(Debug, Default)]
pub struct CachedPrefixes {
    capacity: Tokens,
    total_tokens: Tokens,
    entries: Map<ProgramId, CachedPrefix>,
    by_use: BTreeMap<u64, ProgramId>,
    next_use: u64,
}

impl CachedPrefixes {
    /// Sets the capacity of the target's cache.
    pub fn set_capacity(&mut self, capacity: Tokens) {
        self.capacity = capacity;
        self.evict_to_capacity();
    }

    /// Returns the capacity of the target's cache.
    pub fn capacity(&self) -> Tokens {
        self.capacity
    }

    /// Returns all prefixes, the least recently used first.
    pub fn iter(&self) -> impl Iterator<Item = &CachedPrefix> {
        self.by_use.values().filter_map(|program| self.entries.get(program))
    }

    /// Returns the prefix of a program.
    pub fn get(&self, program: ProgramId) -> Option<&CachedPrefix> {
        self.entries.get(&program)
    }

    /// Returns how many tokens of a prompt are already cached.
    pub fn cached_tokens(&self, program: ProgramId, prompt: Tokens) -> Tokens {
        self.get(program).map_or(Tokens(0), |prefix| prefix.tokens.min(prompt))
    }

    /// Records that the target holds a prefix that was used just now.
    pub fn record(
        &mut self,
        now: Instant,
        request: &PlaceRequest,
        tokens: Tokens,
        in_flight: bool,
    ) {
        let PlaceRequest { program, class, tenant, .. } = *request;
        self.remove(program);

        if self.capacity == Tokens(0) || tokens == Tokens(0) {
            return;
        }

        let tokens = tokens.max(MIN_ENTRY_TOKENS);
        let prefix = CachedPrefix {
            tokens,
            tenant,
            class,
            last_used: now,
            in_flight,
            has_waiting_call: false,
            use_number: self.next_use,
        };
        self.by_use.insert(self.next_use, program);
        self.entries.insert(program, prefix);
        self.next_use += 1;
        self.total_tokens = self.total_tokens.plus(tokens);
        self.evict_to_capacity();
    }

    /// Records whether a call of a program is waiting.
    pub fn set_waiting_call(&mut self, program: ProgramId, has_waiting_call: bool) {
        if let Some(prefix) = self.entries.get_mut(&program) {
            prefix.has_waiting_call = has_waiting_call;
        }
    }

    /// Removes the prefix of a program.
    pub fn remove(&mut self, program: ProgramId) {
        if let Some(prefix) = self.entries.remove(&program) {
            self.by_use.remove(&prefix.use_number);
            self.total_tokens = self.total_tokens.minus(prefix.tokens);
        }
    }

    /// Removes all prefixes, after a crash of the target.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.by_use.clear();
        self.total_tokens = Tokens(0);
    }

    /// Returns the cost of making space for `more` tokens: the tokens that would be evicted, with
    /// each prefix weighted by `reuse_probability`, the probability that it is used again. At most
    /// [`MAX_VALUED_ENTRIES`] prefixes are counted, the least recently used first.
    pub fn eviction_cost(
        &self,
        more: Tokens,
        reuse_probability: impl Fn(&CachedPrefix) -> f64,
    ) -> f64 {
        let mut excess = self.total_tokens.plus(more).minus(self.capacity).0;
        let mut cost = 0.0;

        for program in self.by_use.values().take(MAX_VALUED_ENTRIES) {
            if excess == 0 {
                break;
            }

            let Some(prefix) = self.entries.get(program) else { continue };
            cost += prefix.tokens.0 as f64 * reuse_probability(prefix);
            excess = excess.saturating_sub(prefix.tokens.0);
        }

        cost
    }

    fn evict_to_capacity(&mut self) {
        while self.total_tokens > self.capacity {
            let Some(program) = self.by_use.first_key_value().map(|(_, program)| *program) else {
                return;
            };

            self.remove(program);
        }
    }
}
