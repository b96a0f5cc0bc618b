//! Whether a host is cut off from all that could keep what it promises.

/// Whom of some other hosts a host hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It knows of no such host.
    NoneKnown,
    /// It knows of some and hears none of them.
    Silent,
    /// It hears one or more.
    Heard,
}

/// What a host reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Surroundings {
    /// Whether the store answers it, or a host that it hears.
    pub store_in_reach: bool,
    /// Whom it hears in other availability zones.
    pub other_zones: Contact,
    /// Whom it hears at all.
    pub others: Contact,
}

/// Returns whether a host is cut off, by itself or with its availability zone.
///
/// What a host that is cut off holds in memory, even at all hosts of its zone, is lost if the
/// machines lose power before the cut heals, though callers were told that it is kept. Its callers
/// are served in full by other zones, to which the balancer moves them when the host says that
/// it is not ready. A host that hears other zones while the store is away for all is not cut off:
/// no zone can do more.
///
/// ```
/// use camphorwalk_policy::entry::isolation::{Contact, Surroundings, is_isolated};
/// let cut = Surroundings {
///     store_in_reach: false,
///     other_zones: Contact::Silent,
///     others: Contact::Heard,
/// };
/// assert!(is_isolated(cut));
/// assert!(!is_isolated(Surroundings { store_in_reach: true, ..cut }));
/// ```
pub fn is_isolated(around: Surroundings) -> bool {
    match (around.store_in_reach, around.other_zones) {
        (true, _) | (false, Contact::Heard) => false,
        (false, Contact::Silent) => true,
        // With one zone only, a host that hears nobody is cut off alone.
        (false, Contact::NoneKnown) => around.others == Contact::Silent,
    }
}
