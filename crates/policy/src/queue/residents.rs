//! Which programs' prefixes a target holds, as far as its queue knows.

use std::collections::BTreeMap;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{ClassId, ProgramId, TenantId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use crate::shared_types::PlaceRequest;

/// What an entry counts for at least, so that memory stays bounded with tiny prompts.
const SMALLEST_ENTRY: Tokens = Tokens(64);

/// How many entries are looked at when room is valued.
const VALUED_ENTRIES: usize = 16;

/// A prefix that a target is believed to hold.
#[derive(Clone, Copy, Debug)]
pub struct Resident {
    /// Its length.
    pub tokens: Tokens,
    /// The tenant of its program.
    pub tenant: TenantId,
    /// The class of its program.
    pub class: ClassId,
    /// When it was last used.
    pub used: Instant,
    /// Whether a call of the program is in flight there.
    pub in_flight: bool,
    /// Whether a call of the program waits.
    pub awaited: bool,
    order: u64,
}

/// The prefixes of one target, the least recently used first to go.
///
/// This is a belief: it is learned from grants and their ends, and corrected by what the
/// engine says late and with gaps. A wrong belief costs a computed prefix, nothing else.
#[derive(Debug, Default)]
pub struct Residents {
    capacity: Tokens,
    held: Tokens,
    entries: Map<ProgramId, Resident>,
    by_use: BTreeMap<u64, ProgramId>,
    uses: u64,
}

impl Residents {
    /// Sets how many tokens the target's cache holds.
    pub fn resize(&mut self, capacity: Tokens) {
        self.capacity = capacity;
        self.make_room();
    }

    /// Returns how many tokens the cache holds.
    pub fn capacity(&self) -> Tokens {
        self.capacity
    }

    /// Returns all prefixes, the least recently used first.
    pub fn iter(&self) -> impl Iterator<Item = &Resident> {
        self.by_use.values().filter_map(|program| self.entries.get(program))
    }

    /// Returns the prefix of a program.
    pub fn get(&self, program: ProgramId) -> Option<&Resident> {
        self.entries.get(&program)
    }

    /// Returns how many tokens of a prompt need not be computed.
    pub fn cached(&self, program: ProgramId, prompt: Tokens) -> Tokens {
        self.get(program).map_or(Tokens(0), |resident| resident.tokens.min(prompt))
    }

    /// Notes that the target holds a prefix, which was used just now.
    pub fn hold(&mut self, now: Instant, request: &PlaceRequest, tokens: Tokens, in_flight: bool) {
        let PlaceRequest { program, class, tenant, .. } = *request;
        self.drop(program);

        if self.capacity == Tokens(0) || tokens == Tokens(0) {
            return;
        }

        let tokens = tokens.max(SMALLEST_ENTRY);
        let resident = Resident {
            tokens,
            tenant,
            class,
            used: now,
            in_flight,
            awaited: false,
            order: self.uses,
        };
        self.by_use.insert(self.uses, program);
        self.entries.insert(program, resident);
        self.uses += 1;
        self.held = self.held.plus(tokens);
        self.make_room();
    }

    /// Notes whether a call of a program waits.
    pub fn set_awaited(&mut self, program: ProgramId, awaited: bool) {
        if let Some(resident) = self.entries.get_mut(&program) {
            resident.awaited = awaited;
        }
    }

    /// Notes that the target no longer holds a prefix.
    pub fn drop(&mut self, program: ProgramId) {
        if let Some(resident) = self.entries.remove(&program) {
            self.by_use.remove(&resident.order);
            self.held = self.held.minus(resident.tokens);
        }
    }

    /// Notes that the target lost everything.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.by_use.clear();
        self.held = Tokens(0);
    }

    /// Returns what it costs to make room for so many more tokens: the tokens that go, each
    /// prefix weighted by `worth`, the chance that it is used again.
    pub fn cost_of_room(&self, more: Tokens, worth: impl Fn(&Resident) -> f64) -> f64 {
        let mut missing = self.held.plus(more).minus(self.capacity).0;
        let mut cost = 0.0;

        for program in self.by_use.values().take(VALUED_ENTRIES) {
            if missing == 0 {
                break;
            }

            let Some(resident) = self.entries.get(program) else { continue };
            cost += resident.tokens.0 as f64 * worth(resident);
            missing = missing.saturating_sub(resident.tokens.0);
        }

        cost
    }

    fn make_room(&mut self) {
        while self.held > self.capacity {
            let Some(program) = self.by_use.first_key_value().map(|(_, program)| *program) else {
                return;
            };

            self.drop(program);
        }
    }
}
