//! The budget of a family of programs: a program and all sub-agents below it.
//!
//! One account is shared by the whole family, which lives in one partition, so no sum of
//! sub-agents can pass it. Tokens are reserved before an attempt is sent and settled after.
//!
//! A reservation must outlive its home, but a write for each attempt would stop model turns
//! while the platform is away. So the journal holds a *grant*: the sum that the family may
//! spend, all told, until another entry raises it. Turns run within the durable grant, and
//! the entry that records a turn raises the grant for the next ones. The next home takes
//! the whole grant for spent, because attempts of the former home may still be running: a
//! change of home costs at most one chunk, and no order of deaths spends more than the
//! budget. A home that gives a partition back in good order first journals the rest of the
//! grant as free, so that restarts of hosts cost programs nothing.

use camphorwalk_core::units::Tokens;

slotmap::new_key_type! {
    /// A family's account.
    pub(super) struct AccountKey;
}

/// The part of the budget that a grant leaves beyond what is spent: one eighth. A larger
/// part lets more turns run while the platform is away, and costs more when a home dies.
const CHUNK_DIVISOR: u64 = 8;

/// Whether tokens were reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reserve {
    /// They are.
    Reserved,
    /// The budget has them, but the durable grant has not: it must be raised first.
    NeedsGrant,
    /// The budget does not have them.
    Exhausted,
}

/// A family's budget and what became of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Account {
    /// All that may be spent.
    pub budget: Tokens,
    /// What is spent.
    pub spent: Tokens,
    /// What is reserved for attempts under way.
    pub reserved: Tokens,
    /// What the journal lets the family spend, all told.
    pub granted: Tokens,
}

impl Account {
    /// Returns what can still be reserved.
    pub fn left(&self) -> Tokens {
        self.budget.minus(self.spent).minus(self.reserved)
    }

    /// Reserves tokens for an attempt.
    pub fn reserve(&mut self, tokens: Tokens) -> Reserve {
        if tokens > self.left() {
            return Reserve::Exhausted;
        }

        let all = self.spent.plus(self.reserved).plus(tokens);

        if all > self.granted {
            return Reserve::NeedsGrant;
        }

        self.reserved = self.reserved.plus(tokens);
        Reserve::Reserved
    }

    /// Gives back tokens of an attempt that was never sent.
    pub fn release(&mut self, reserved: Tokens) {
        self.reserved = self.reserved.minus(reserved);
    }

    /// Counts what an attempt took against what was reserved for it.
    pub fn settle(&mut self, reserved: Tokens, spent: Tokens) {
        self.reserved = self.reserved.minus(reserved);
        self.spent = self.spent.plus(spent);
    }

    /// Returns the grant to journal next, with room for `need` more tokens at least.
    pub fn grant_for(&self, need: Tokens) -> Tokens {
        let chunk = Tokens(self.budget.0 / CHUNK_DIVISOR).max(need);
        let wanted = self.spent.plus(self.reserved).plus(chunk);

        wanted.min(self.budget).max(self.granted)
    }

    /// A grant is durable.
    pub fn granted(&mut self, granted: Tokens) {
        self.granted = self.granted.max(granted);
    }

    /// Gives up what was granted and not spent. Only while nothing is reserved and no entry
    /// that raises the grant is on its way.
    pub fn give_up_grant(&mut self) {
        self.granted = self.spent;
    }

    /// The journal says that only this much of the grant was spent.
    pub fn settled(&mut self, spent: Tokens) {
        self.granted = spent;
    }

    /// Takes all that was granted for spent, on a new home.
    pub fn recovered(&mut self) {
        self.spent = self.spent.max(self.granted);
    }
}
