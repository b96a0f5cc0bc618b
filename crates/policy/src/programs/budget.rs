//! The budget of a family of programs: a program and all sub-agents below it.
//!
//! The whole family shares one account and lives in one partition, so all sub-agents together
//! cannot exceed it. Tokens are reserved before an attempt is sent and charged when it has
//! ended.
//!
//! A reservation must survive a crash of the home host, but a journal write for each attempt
//! would block model turns while the platform is unavailable. So the journal holds a *grant*:
//! the total that the family may spend until a later entry raises it. Turns run within the
//! durable grant, and the entry that records a turn also raises the grant for later ones.
//!
//! A new home host treats the whole grant as spent, because attempts of the previous one may
//! still be running. So a change of home costs the family at most the unspent part of its grant,
//! and no sequence of crashes spends more than the budget. Before an orderly release of a partition
//! the home host journals the unspent part of the grant as free, so planned restarts cost programs
//! nothing.

use camphorwalk_core::units::Tokens;

slotmap::new_key_type! {
    /// Key of a family's account.
    pub(super) struct AccountKey;
}

/// A new grant exceeds what is spent and reserved by the budget divided by this, or by the next
/// need if that is larger, but never exceeds the budget. A larger excess would let more turns run
/// while the platform is unavailable, but cost more when a home host crashes.
const CHUNK_DIVISOR: u64 = 8;

/// The result of reserving tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reservation {
    /// The tokens are reserved.
    Reserved,
    /// The budget covers the tokens but the durable grant does not: it must be raised first.
    NeedsGrant,
    /// The budget does not cover the tokens.
    Exhausted,
}

/// A family's budget and how much of it is used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Account {
    /// The total that the family may spend.
    pub budget: Tokens,
    /// Tokens that ended attempts have used.
    pub spent: Tokens,
    /// Tokens reserved for attempts in progress.
    pub reserved: Tokens,
    /// The durable grant: the total that the family may spend without another journal entry.
    pub granted: Tokens,
}

impl Account {
    /// Returns the tokens that can still be reserved.
    pub fn available(&self) -> Tokens {
        self.budget.minus(self.spent).minus(self.reserved)
    }

    /// Reserves tokens for an attempt.
    pub fn reserve(&mut self, tokens: Tokens) -> Reservation {
        if tokens > self.available() {
            return Reservation::Exhausted;
        }

        let all = self.spent.plus(self.reserved).plus(tokens);

        if all > self.granted {
            return Reservation::NeedsGrant;
        }

        self.reserved = self.reserved.plus(tokens);
        Reservation::Reserved
    }

    /// Cancels the reservation of an attempt that did not run.
    pub fn release(&mut self, reserved: Tokens) {
        self.reserved = self.reserved.minus(reserved);
    }

    /// Replaces the reservation of an ended attempt by the tokens that it used.
    pub fn charge(&mut self, reserved: Tokens, spent: Tokens) {
        self.reserved = self.reserved.minus(reserved);
        self.spent = self.spent.plus(spent);
    }

    /// Returns the grant to journal next, with room for at least `need` more tokens.
    pub fn grant_for(&self, need: Tokens) -> Tokens {
        let chunk = Tokens(self.budget.0 / CHUNK_DIVISOR).max(need);
        let wanted = self.spent.plus(self.reserved).plus(chunk);

        wanted.min(self.budget).max(self.granted)
    }

    /// Raises the grant to the total `granted`. The caller must already have stored the journal
    /// entry that contains this grant.
    pub fn raise_grant(&mut self, granted: Tokens) {
        self.granted = self.granted.max(granted);
    }

    /// Drops the unspent part of the grant. Allowed only while nothing is reserved and no entry
    /// that raises the grant is being written.
    pub fn drop_unspent_grant(&mut self) {
        self.granted = self.spent;
    }

    /// Replays a journal entry that reduced the grant to what was spent.
    pub fn replay_settled(&mut self, spent: Tokens) {
        self.granted = spent;
    }

    /// Treats the whole grant as spent, on a new home host.
    pub fn spend_whole_grant(&mut self) {
        self.spent = self.spent.max(self.granted);
    }
}
