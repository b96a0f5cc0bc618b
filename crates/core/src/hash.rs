//! Hash maps with a fast hasher, stable hashes for ids, and rendezvous hashing.

use sha2::{Digest as _, Sha256};

/// A hash map with a fast, deterministic hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, rustc_hash::FxBuildHasher>;

/// A hash set with a fast, deterministic hasher.
pub type Set<T> = std::collections::HashSet<T, rustc_hash::FxBuildHasher>;

/// A SHA-256 digest.
pub type Digest = [u8; 32];

/// Returns the SHA-256 digest of `parts`, each prefixed with its length.
///
/// Because of the lengths, `("ab", "c")` and `("a", "bc")` have different digests.
///
/// ```
/// use camphorwalk_core::hash::digest;
/// assert_ne!(digest(&[b"ab", b"c"]), digest(&[b"a", b"bc"]));
/// ```
pub fn digest(parts: &[&[u8]]) -> Digest {
    let mut sha = Sha256::new();

    for part in parts {
        sha.update((part.len() as u64).to_be_bytes());
        sha.update(part);
    }

    sha.finalize().into()
}

/// Returns the first eight bytes of [`digest`] as a number.
///
/// The value is the same on every host and in every version, so it may be sent to other hosts
/// and stored on the platform.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let digest = digest(parts);
    let mut first_bytes = [0; 8];
    first_bytes.copy_from_slice(&digest[..8]);

    u64::from_be_bytes(first_bytes)
}

/// Returns the member of `members` with the highest rendezvous weight for `item`.
///
/// All hosts with the same members select the same one, and when a member leaves, only its own
/// items move to others.
///
/// ```
/// use camphorwalk_core::hash::rendezvous;
/// let all = [1, 2, 3];
/// let winner = rendezvous(7, all.iter().copied()).unwrap();
/// let others = all.iter().copied().filter(|m| *m != winner);
/// assert_ne!(rendezvous(7, others), Some(winner));
/// ```
pub fn rendezvous(item: u64, members: impl IntoIterator<Item = u64>) -> Option<u64> {
    members.into_iter().max_by_key(|member| rendezvous_weight(item, *member))
}

/// Returns the rendezvous weight of a member for `item`; the member with the highest wins.
///
/// ```
/// use camphorwalk_core::hash::{rendezvous, rendezvous_weight};
/// let best = [1, 2, 3].into_iter().max_by_key(|member| rendezvous_weight(7, *member));
/// assert_eq!(best, rendezvous(7, [1, 2, 3]));
/// ```
pub fn rendezvous_weight(item: u64, member: u64) -> (u64, u64) {
    (mix(item, member), member)
}

/// Returns `members` in descending order of their rendezvous weight for `item`.
///
/// ```
/// use camphorwalk_core::hash::{rendezvous, rendezvous_order};
/// let all = [1, 2, 3];
/// assert_eq!(rendezvous_order(7, all).first().copied(), rendezvous(7, all));
/// ```
pub fn rendezvous_order(item: u64, members: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let mut members: Vec<u64> = members.into_iter().collect();
    members.sort_unstable_by_key(|member| std::cmp::Reverse(rendezvous_weight(item, *member)));

    members
}

/// Mixes two numbers into a uniformly distributed weight (the finalizer of SplitMix64).
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_add(b.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
