//! Whether a host is isolated: partitioned from everything that could store its turns.

/// Whether any of a group of other hosts is live, that is, a status update of it has arrived
/// recently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The group is empty: this host knows of no such host.
    NoneKnown,
    /// This host knows of such hosts, and none of them is live.
    Silent,
    /// At least one of them is live.
    Heard,
}

/// What a host can reach: the store, other zones, and other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Surroundings {
    /// Whether the store answers this host or another live one.
    pub store_in_reach: bool,
    /// Contact with hosts in other availability zones.
    pub other_zones: Contact,
    /// Contact with any other host.
    pub others: Contact,
}

/// Returns whether a host is isolated, alone or together with its availability zone.
///
/// An isolated host could keep turns in memory only, even if all hosts of its zone had copies. They
/// would be lost if the machines lost power before the partition heals, although callers were told
/// that the turns are stored. Other zones can serve its callers in full: the load balancer moves
/// them there once the host reports that it is not ready. If hosts of other zones are live while
/// the store is unavailable to all, the host is not isolated, because no zone could do better.
///
/// ```
/// use camphorwalk_policy::entry::isolation::{Contact, Surroundings, is_isolated};
/// let partitioned = Surroundings {
///     store_in_reach: false,
///     other_zones: Contact::Silent,
///     others: Contact::Heard,
/// };
/// assert!(is_isolated(partitioned));
/// assert!(!is_isolated(Surroundings { store_in_reach: true, ..partitioned }));
/// ```
pub fn is_isolated(reachable: Surroundings) -> bool {
    match (reachable.store_in_reach, reachable.other_zones) {
        (true, _) | (false, Contact::Heard) => false,
        (false, Contact::Silent) => true,
        // With only one zone, a host is isolated if other hosts are known and none of them is live.
        (false, Contact::NoneKnown) => reachable.others == Contact::Silent,
    }
}
