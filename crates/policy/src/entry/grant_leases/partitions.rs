//! Partitions of the programs, each of which has a lease, and sets of them.

use serde::{Deserialize, Serialize};

use crate::entry::budgets::ProgramKey;

/// A partition of the programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Partition(pub u16);

impl Partition {
    /// Returns the partition of a program if there are `count` partitions.
    ///
    /// ```
    /// use camphorwalk_policy::entry::budgets::ProgramKey;
    /// use camphorwalk_policy::entry::grant_leases::Partition;
    /// assert_eq!(Partition::of(ProgramKey(0x1203), 256), Partition(3));
    /// ```
    pub fn of(program: ProgramKey, count: u16) -> Self {
        let number = program.0 % u64::from(count.max(1));

        Self(u16::try_from(number).unwrap_or(0))
    }
}

/// The number of words of a [`PartitionSet`], and the number of partitions in a word.
const WORDS: usize = 4;
const WORD_BITS: usize = 64;

/// A set of partitions with numbers below 256.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartitionSet([u64; WORDS]);

impl PartitionSet {
    /// Creates a set from the numbers of its partitions. Numbers that are too large are ignored.
    pub fn from_numbers(numbers: &[u32]) -> Self {
        let partitions = numbers.iter().filter_map(|number| u16::try_from(*number).ok());

        partitions.map(Partition).collect()
    }

    /// Returns the numbers of the partitions in the set.
    pub fn numbers(self) -> impl Iterator<Item = u32> {
        let all = (0..WORDS * WORD_BITS).filter_map(|number| u16::try_from(number).ok());

        all.filter(move |number| self.contains(Partition(*number))).map(u32::from)
    }

    /// Returns the partitions that are in either set.
    pub fn union(self, other: Self) -> Self {
        Self(std::array::from_fn(|word| self.0[word] | other.0[word]))
    }

    /// Returns whether a partition is in the set.
    ///
    /// ```
    /// use camphorwalk_policy::entry::grant_leases::{Partition, PartitionSet};
    /// let set: PartitionSet = [Partition(70)].into_iter().collect();
    /// assert!(set.contains(Partition(70)) && !set.contains(Partition(6)));
    /// assert_eq!(set.numbers().collect::<Vec<_>>(), [70]);
    /// assert_eq!(PartitionSet::from_numbers(&[70]), set);
    /// ```
    pub fn contains(self, Partition(number): Partition) -> bool {
        let number = usize::from(number);
        let word = self.0.get(number / WORD_BITS).copied().unwrap_or(0);

        word >> (number % WORD_BITS) & 1 == 1
    }
}

impl FromIterator<Partition> for PartitionSet {
    fn from_iter<I: IntoIterator<Item = Partition>>(partitions: I) -> Self {
        let mut set = Self::default();
        for Partition(number) in partitions {
            let number = usize::from(number);
            if let Some(word) = set.0.get_mut(number / WORD_BITS) {
                *word |= 1 << (number % WORD_BITS);
            }
        }

        set
    }
}
