//! Units as types.

use serde::{Deserialize, Serialize};

/// Model tokens, prompt and output alike.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// Returns the sum, or the largest number there is.
    pub fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or zero.
    pub fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// The version of a published configuration; higher is later.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);
