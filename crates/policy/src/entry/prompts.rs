//! Which parts of prompts a target is believed to keep.

use crate::entry::recent::RecentMap;

/// How many prompt parts are remembered for each target.
const PARTS_REMEMBERED: usize = 2_048;

/// A part of a prompt: its id and its tokens. The part of a line of turns keeps its id and grows.
pub type Part = (u64, u32);

/// The prompt parts that a target read, by what this host sent there and what others told.
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
    /// Returns the tokens of a prompt that the target would have to read.
    ///
    /// A part is read together with all parts before it, and those are used with it. So the last
    /// part that is known tells that those before it are there too.
    ///
    /// ```
    /// use camphorwalk_policy::entry::prompts::Prompts;
    /// let mut prompts = Prompts::default();
    /// prompts.remember((7, 600));
    /// assert_eq!(prompts.missing(&[(1, 512), (7, 700)]), 100);
    /// assert_eq!(prompts.missing(&[(1, 512), (8, 700)]), 1_212);
    /// ```
    pub fn missing(&self, parts: &[Part]) -> u32 {
        let mut missing = 0;

        for (id, tokens) in parts.iter().rev() {
            if let Some(kept) = self.kept(*id) {
                return missing + tokens.saturating_sub(kept);
            }
            missing += tokens;
        }
        missing
    }

    /// Returns whether a part is known.
    pub fn holds(&self, id: u64) -> bool {
        self.kept(id).is_some()
    }

    fn kept(&self, id: u64) -> Option<u32> {
        self.parts.get(&id)
    }

    /// Takes in that the target reads a part.
    pub fn remember(&mut self, (id, tokens): Part) {
        let kept = self.kept(id).unwrap_or_default();

        self.parts.put(id, tokens.max(kept));
    }
}
