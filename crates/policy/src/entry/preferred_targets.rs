//! Which targets of its zone a host prefers, and which hosts it tells its load.
//!
//! With many hosts in front of many targets, each pair of them is used rarely. Connections close
//! before they are used again, and what a host knows of the calls of all others is as old as a call
//! is long. So the targets and the hosts of a zone are split into as many groups, and a host prefers
//! the targets of its own group. It shares these with few hosts, which can tell each other their
//! load many times a second.
//!
//! Nothing is agreed on. Each host computes the groups from the hosts' rows and the targets'
//! entries, and hosts that see different lists differ at a few group boundaries only.

use std::ops::Range;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;

/// The fewest hosts of a group. Groups of two hosts would differ by half in the hosts per target
/// where the numbers do not divide, and one host more or less would change the group of half of all
/// hosts.
const MIN_HOSTS: usize = 3;

/// Returns the number of groups of a zone, each with about `wanted` targets, and at most twice as
/// many if there are enough hosts.
///
/// ```
/// use camphorwalk_policy::entry::preferred_targets::group_count;
/// assert_eq!(group_count(11, 21, 4), 2);
/// assert_eq!(group_count(4, 21, 4), 1);
/// assert_eq!(group_count(60, 6, 4), 2);
/// ```
pub fn group_count(targets: usize, hosts: usize, wanted: usize) -> usize {
    let by_targets = targets / wanted.max(1);

    by_targets.min(hosts / MIN_HOSTS).max(1)
}

/// Returns the group of a member of an ordered list that is split into groups of neighbours.
///
/// ```
/// use camphorwalk_policy::entry::preferred_targets::{group_of, members};
/// assert_eq!([0, 5, 6, 10].map(|target| group_of(target, 11, 2)), [0, 0, 1, 1]);
/// assert_eq!(members(1, 11, 2), 6..11);
/// ```
pub fn group_of(index: usize, len: usize, groups: usize) -> usize {
    index * groups / len.max(1)
}

/// Returns the positions of a group's members in such a list.
///
/// ```
/// use camphorwalk_policy::entry::preferred_targets::members;
/// assert_eq!([members(0, 5, 2), members(1, 5, 2)], [0..3, 3..5]);
/// ```
pub fn members(group: usize, len: usize, groups: usize) -> Range<usize> {
    let start = |group: usize| (group * len).div_ceil(groups.max(1));

    start(group)..start(group + 1)
}

/// A host's group for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// The group's number, from 0.
    pub index: usize,
    /// The number of groups; 1 if all targets of the zone are preferred.
    pub groups: usize,
    /// The number of preferred targets.
    pub preferred: usize,
    /// The number of the service's targets in the zone that take calls.
    pub targets: usize,
    /// The number of hosts of the group, this one included.
    pub hosts: usize,
    /// A number computed from the preferred targets. Hosts with the same ones have the same number.
    pub fingerprint: u64,
}

/// What a host knows for the choice of its preferred targets.
#[derive(Clone, Debug)]
pub struct Preferences {
    wanted: usize,
    own: HostId,
    /// The hosts of the zone, this one included, in the order of their ids.
    hosts: Vec<HostId>,
    groups: Map<Box<str>, Group>,
    /// The groups as of the last [`Preferences::take_changes`].
    reported: Map<Box<str>, Group>,
    is_changed: bool,
    receivers: Vec<HostId>,
}

impl Preferences {
    /// Creates the preferences of a host that prefers about `wanted` targets of each service, and
    /// knows of no other host of its zone yet.
    pub fn new(wanted: u32, own: HostId) -> Self {
        Self {
            wanted: usize::try_from(wanted).unwrap_or(usize::MAX),
            own,
            hosts: vec![own],
            groups: Map::default(),
            reported: Map::default(),
            is_changed: false,
            receivers: Vec::new(),
        }
    }

    /// Sets the other hosts of the zone. Returns whether they have changed, so that the preferred
    /// targets of all services must be chosen again.
    pub fn set_hosts(&mut self, others: impl IntoIterator<Item = HostId>) -> bool {
        let mut hosts: Vec<_> = others.into_iter().chain([self.own]).collect();
        hosts.sort_unstable();
        hosts.dedup();
        if hosts == self.hosts {
            return false;
        }

        self.hosts = hosts;
        true
    }

    /// Chooses the preferred targets of a service from those of the zone that take calls, each with
    /// the hash of its id. Sorts them by hash, and returns the preferred ones.
    ///
    /// ```
    /// use camphorwalk_core::ids::HostId;
    /// use camphorwalk_policy::entry::preferred_targets::Preferences;
    /// let mut preferences = Preferences::new(1, HostId(2));
    /// let mut targets = [(30, "c"), (10, "a"), (20, "b")];
    /// assert_eq!(preferences.choose("engines", &mut targets).len(), 3);
    /// preferences.set_hosts((1..=9).map(HostId));
    /// assert_eq!(preferences.choose("engines", &mut targets), [(10, "a")]);
    /// assert_eq!(preferences.receivers(), [HostId(1), HostId(3)]);
    /// ```
    pub fn choose<'a, K>(&mut self, service: &str, targets: &'a mut [(u64, K)]) -> &'a [(u64, K)] {
        targets.sort_unstable_by_key(|(hash, _)| *hash);
        let groups = group_count(targets.len(), self.hosts.len(), self.wanted);
        let index = group_of(self.position(), self.hosts.len(), groups);
        let preferred = members(index, targets.len(), groups);
        let group = Group {
            index,
            groups,
            preferred: preferred.len(),
            targets: targets.len(),
            hosts: members(index, self.hosts.len(), groups).len(),
            fingerprint: targets[preferred.clone()].iter().fold(0, |sum, (hash, _)| sum ^ hash),
        };

        if self.groups.get(service) != Some(&group) {
            self.groups.insert(service.into(), group);
            self.is_changed = true;
        }
        self.update_receivers();
        &targets[preferred]
    }

    /// Forgets the services that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.groups.retain(|service, _| exists(service));
        self.reported.retain(|service, _| exists(service));
        self.update_receivers();
    }

    /// Returns the groups that have changed since the previous call, by service.
    pub fn take_changes(&mut self) -> Vec<(Box<str>, Group)> {
        if !std::mem::take(&mut self.is_changed) {
            return Vec::new();
        }

        let groups = self.groups.iter().map(|(service, group)| (service.clone(), *group));
        let is_new = |(service, group): &(Box<str>, Group)| {
            let before = self.reported.get(service);
            before.map_or(group.targets > 0, |before| before != group)
        };
        let changes: Vec<_> = groups.filter(is_new).collect();
        self.reported.extend(changes.iter().cloned());
        changes
    }

    /// Returns the other hosts of this host's groups. The single group of a service that has too few
    /// targets for several holds the whole zone, which status updates serve.
    pub fn receivers(&self) -> &[HostId] {
        &self.receivers
    }

    fn update_receivers(&mut self) {
        let split = self.groups.values().filter(|group| group.groups > 1);
        // Each group is a range of the ordered hosts around this one, and so is their union.
        let ranges = split.map(|group| members(group.index, self.hosts.len(), group.groups));
        let union = ranges.reduce(|a, b| a.start.min(b.start)..a.end.max(b.end));

        self.receivers = union.map_or_else(Vec::new, |range| {
            self.hosts[range].iter().copied().filter(|host| *host != self.own).collect()
        });
    }

    /// Returns the position of this host among the hosts of the zone.
    fn position(&self) -> usize {
        self.hosts.partition_point(|host| *host < self.own)
    }
}
