//! The groups of hosts and targets.

use camphorwalk_core::ids::HostId;
use camphorwalk_policy::entry::preferred_targets::{Preferences, group_count, group_of, members};
use proptest::prelude::*;

/// Returns the targets that each host of a zone prefers. Hosts and targets are named by their
/// positions in the order of ids and hashes.
fn preferred(hosts: usize, targets: usize, wanted: u32) -> Vec<Vec<usize>> {
    let ids = || (0..hosts as u64).map(HostId);
    let choose = |own| {
        let mut preferences = Preferences::new(wanted, own);
        preferences.set_hosts(ids().filter(|host| *host != own));
        let mut targets: Vec<_> = (0..targets).map(|target| (target as u64, target)).collect();
        preferences.choose("engines", &mut targets).iter().map(|(_, target)| *target).collect()
    };

    ids().map(choose).collect()
}

/// Returns by how many hosts each target is preferred.
fn hosts_by_target(preferred: &[Vec<usize>], targets: usize) -> Vec<usize> {
    let is_preferred = |target| preferred.iter().filter(move |own| own.contains(&target)).count();

    (0..targets).map(is_preferred).collect()
}

/// Returns the groups of the members of a list with one more at `at`, without that one.
fn groups_with_one_more(len: usize, at: usize, groups: usize) -> Vec<usize> {
    let all = (0..=len).filter(|index| *index != at);

    all.map(|index| group_of(index, len + 1, groups)).collect()
}

proptest! {
    /// Guards against hosts that prefer hardly any target, and so have no choice, or so many that
    /// connections are not used again.
    #[test]
    fn a_host_prefers_a_few_targets(
        hosts in 1usize..=100, targets in 1usize..=60, wanted in 1u32..=12,
    ) {
        let wanted_targets = wanted as usize;
        let has_enough_hosts = targets / wanted_targets <= hosts / 3;

        for own in preferred(hosts, targets, wanted) {
            prop_assert!(own.len() >= wanted_targets.min(targets));
            prop_assert!(own.len() <= 2 * wanted_targets || !has_enough_hosts || own.len() == targets);
        }
    }

    /// Guards against targets that few or no hosts prefer, while others are crowded.
    #[test]
    fn targets_are_preferred_by_about_as_many_hosts(
        hosts in 1usize..=100, targets in 1usize..=60, wanted in 1u32..=12,
    ) {
        let counts = hosts_by_target(&preferred(hosts, targets, wanted), targets);
        let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
        let mean = counts.iter().sum::<usize>() as f64 / targets as f64;
        let groups = group_count(targets, hosts, wanted as usize);

        prop_assert!(*least > 0);
        prop_assert!((most - least) as f64 <= mean / 2.0);
        prop_assert!(hosts % groups != 0 || most == least);
    }

    /// Guards against a restart or a release that gives most hosts other targets at once, so that
    /// all connections are new.
    #[test]
    fn one_host_more_or_less_changes_few_groups(
        hosts in 3usize..=100, at in 0usize..=100, targets in 1usize..=60, wanted in 1u32..=12,
    ) {
        let at = at.min(hosts);
        let groups = group_count(targets, hosts, wanted as usize);
        prop_assume!(groups == group_count(targets, hosts + 1, wanted as usize));

        let after = groups_with_one_more(hosts, at, groups);
        let changed = (0..hosts).filter(|host| group_of(*host, hosts, groups) != after[*host]);

        prop_assert!(changed.count() * 3 <= hosts);
    }

    /// The same for a target. Where it changes the number of groups, a host keeps half of the
    /// targets of its smaller group on average.
    #[test]
    fn one_target_more_or_less_changes_few_preferences(
        hosts in 3usize..=100, at in 0usize..=60, targets in 2usize..=60, wanted in 2u32..=12,
    ) {
        let at = at.min(targets);
        let before = preferred(hosts, targets, wanted);
        let after = preferred(hosts, targets + 1, wanted);
        let without = |target: &usize| (*target != at).then_some(target - usize::from(*target > at));

        let kept = before.iter().zip(&after).map(|(before, after)| {
            let after: Vec<_> = after.iter().filter_map(without).collect();
            let both = after.iter().filter(|target| before.contains(target)).count();
            both as f64 / before.len().min(after.len()) as f64
        });
        let mean = kept.sum::<f64>() / hosts as f64;

        prop_assert!(mean >= 0.5, "{mean}");
    }

    /// Guards against hosts and targets that belong to no group, or to two.
    #[test]
    fn the_members_of_groups_are_those_that_belong_to_them(
        len in 0usize..=100, groups in 1usize..=40,
    ) {
        for group in 0..groups {
            let expected: Vec<_> =
                (0..len).filter(|index| group_of(*index, len, groups) == group).collect();
            prop_assert_eq!(members(group, len, groups).collect::<Vec<_>>(), expected);
        }
    }

    /// Guards against hosts that prefer the same targets and do not tell each other their load, and
    /// against notices to the whole zone.
    #[test]
    fn a_host_tells_its_load_to_those_that_prefer_the_same_targets(
        hosts in 1usize..=60, targets in 1usize..=60, wanted in 1u32..=12,
    ) {
        let all = preferred(hosts, targets, wanted);
        let is_split = group_count(targets, hosts, wanted as usize) > 1;

        for (own, preferred) in all.iter().enumerate() {
            let mut preferences = Preferences::new(wanted, HostId(own as u64));
            preferences.set_hosts((0..hosts as u64).map(HostId));
            let mut targets: Vec<_> = (0..targets).map(|target| (target as u64, target)).collect();
            preferences.choose("engines", &mut targets);
            let same = (0..hosts).filter(|host| *host != own && all[*host] == *preferred);
            let expected: Vec<_> =
                same.filter(|_| is_split).map(|host| HostId(host as u64)).collect();

            prop_assert_eq!(preferences.receivers(), expected);
        }
    }
}

/// Guards against a host that has just started, knows no other, and prefers a part of the targets.
#[test]
fn a_host_that_knows_no_other_prefers_all_targets() {
    assert_eq!(preferred(1, 40, 4), [(0..40).collect::<Vec<_>>()]);
}
