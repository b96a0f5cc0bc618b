//! The prompt parts that a target is believed to have cached.

use crate::entry::recent::RecentMap;

/// How many prompt parts are remembered for each target at least.
const PARTS_REMEMBERED: usize = 2_048;

/// A part of a prompt: its id and its number of tokens. The part that holds a conversation keeps
/// its id and grows with each turn.
pub type CachedPart = (u64, u32);

/// The prompt parts that a target has read, known from the calls that this host sent and from other
/// hosts' reports. The object of a call without a prompt is recorded as a part too.
#[derive(Clone, Debug)]
pub struct Prompts {
    parts: RecentMap<u64, u32>,
}

impl Default for Prompts {
    fn default() -> Self {
        Self { parts: RecentMap::new(PARTS_REMEMBERED) }
    }
}

impl Prompts {
    /// Returns the number of tokens that the target would have to read of a prompt with these
    /// parts.
    ///
    /// A part is read and reused together with all parts before it. If a part is cached, the parts
    /// before it are therefore cached too, and the last known part is sufficient.
    ///
    /// ```
    /// use camphorwalk_policy::entry::prompts::Prompts;
    /// let mut prompts = Prompts::default();
    /// prompts.insert((7, 600));
    /// assert_eq!(prompts.missing_tokens(&[(1, 512), (7, 700)]), 100);
    /// assert_eq!(prompts.missing_tokens(&[(1, 512), (8, 700)]), 1_212);
    /// ```
    pub fn missing_tokens(&self, parts: &[CachedPart]) -> u32 {
        let mut missing = 0;

        for (id, tokens) in parts.iter().rev() {
            if let Some(cached) = self.cached_tokens(*id) {
                return missing + tokens.saturating_sub(cached);
            }
            missing += tokens;
        }
        missing
    }

    /// Returns whether the target is believed to have cached a part.
    pub fn contains(&self, id: u64) -> bool {
        self.cached_tokens(id).is_some()
    }

    fn cached_tokens(&self, id: u64) -> Option<u32> {
        self.parts.get(&id)
    }

    /// Records that the target reads a part.
    pub fn insert(&mut self, (id, tokens): CachedPart) {
        let cached = self.cached_tokens(id).unwrap_or_default();

        self.parts.put(id, tokens.max(cached));
    }
}
