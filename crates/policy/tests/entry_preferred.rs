//! The choice of targets by a host that prefers some of its zone.

use std::time::Duration;

use camphorwalk_core::entry::{TargetEntry, TargetState};
use camphorwalk_core::hash::{Map, Set};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::evacuations::ZoneChange;
use camphorwalk_policy::entry::placement::{
    Choice, Outcome, PlacementKind, PlacementRequest, TargetKey, Targets,
};

const NOW: Instant = Instant(1_000_000);

/// The other host whose calls are in flight.
const OTHER: HostId = HostId(1);

fn entry(id: &str, zone: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: "engines".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: zone.into(),
        version: None,
        slots: 6,
        state: TargetState::Ready,
        born: 1,
        cold_for: Duration::ZERO,
    }
}

/// Returns the targets of a host that prefers 4 of the 12 in its zone `a`. Zones `b` and `c` have
/// two targets each.
fn targets() -> Targets {
    let mut targets = Targets::new("a", HostId(0));
    targets.prefer_targets(4, HostId(0));
    for i in 0..12 {
        targets.put(entry(&format!("a-{i}"), "a"));
    }
    for id in ["b-0", "b-1", "c-0", "c-1"] {
        targets.put(entry(id, &id[..1]));
    }
    targets.set_zone_hosts((1..20).map(HostId));

    targets
}

fn ids(targets: &Targets, is_preferred: bool) -> Vec<Box<str>> {
    let of_zone = targets.of_service("engines").filter(|(_, target)| &*target.entry.zone == "a");

    of_zone
        .filter(|(key, _)| targets.is_preferred(*key) == is_preferred)
        .map(|(_, target)| target.entry.id.clone())
        .collect()
}

fn preferred(targets: &Targets) -> Vec<Box<str>> {
    ids(targets, true)
}

/// Sets the calls that another host has in flight.
fn set_load(targets: &mut Targets, ids: &[Box<str>], calls: u32) {
    let in_flight = ids.iter().map(|id| (id.clone(), calls)).collect();

    targets.set_remote_load(OTHER, in_flight, Map::default());
}

fn conversation(id: u64) -> PlacementRequest {
    PlacementRequest { parts: vec![(1, 512), (id, 654)], ..PlacementRequest::default() }
}

/// Chooses targets for a hundred conversations. Returns the keys of all that found one.
fn choose(targets: &Targets) -> Vec<TargetKey> {
    let chosen = (10..110).map(|id| targets.choose(NOW, "engines", &conversation(id)));

    chosen
        .filter_map(|choice| match choice {
            Choice::Target(key) => Some(key),
            Choice::Full | Choice::NoTarget => None,
        })
        .collect()
}

/// Returns how many of these conversations start at each kind of target.
fn kinds(targets: &Targets) -> [usize; 3] {
    let kinds: Vec<_> = choose(targets)
        .into_iter()
        .filter_map(|key| targets.placement_kind(key, &PlacementRequest::default()))
        .collect();
    let count = |kind| kinds.iter().filter(|k| **k == kind).count();

    [PlacementKind::Preferred, PlacementKind::Zone, PlacementKind::OtherZone].map(count)
}

#[test]
fn calls_go_to_preferred_targets_while_these_have_free_slots() {
    // Guards against calls to targets of which the host knows little and to which it has no
    // connection. Others seem less busy, as what is known of them is old.
    let mut targets = targets();
    let own = preferred(&targets);
    set_load(&mut targets, &own, 5);

    assert_eq!(own.len(), 4);
    assert_eq!(kinds(&targets), [100, 0, 0]);
}

#[test]
fn calls_go_to_other_targets_at_once_when_the_preferred_ones_are_full() {
    // Guards against calls that wait while targets of the zone, or of other zones, are idle.
    let mut targets = targets();
    let own = preferred(&targets);

    set_load(&mut targets, &own, 8);
    let own_full = kinds(&targets);
    let zone: Vec<_> = [own, ids(&targets, false)].concat();
    set_load(&mut targets, &zone, 8);
    let zone_full = kinds(&targets);

    assert_eq!(own_full[0] + zone_full[0] + zone_full[1], 0, "{own_full:?} {zone_full:?}");
    assert_eq!((own_full[1] + own_full[2], zone_full[2]), (100, 100));
    assert!(own_full[1] > own_full[2], "{own_full:?}");
}

#[test]
fn new_programs_go_to_other_targets_when_the_preferred_ones_have_no_room_for_them() {
    // Guards against starts that are refused since the preferred targets are kept for running
    // programs.
    let mut targets = targets();
    let own = preferred(&targets);
    set_load(&mut targets, &own, 5);
    let starting = PlacementRequest { new_program_rank: Some(1), ..conversation(10) };

    let choice = targets.choose(NOW, "engines", &starting);

    assert!(matches!(choice, Choice::Target(key) if !targets.is_preferred(key)), "{choice:?}");
}

#[test]
fn a_target_that_is_gone_or_draining_is_replaced_among_the_preferred_ones() {
    // Guards against a host that waits for targets which get no calls any more.
    let mut targets = targets();
    for id in preferred(&targets) {
        targets.put(TargetEntry { state: TargetState::Draining, ..entry(&id, "a") });
    }
    let after_draining = preferred(&targets);
    for id in &after_draining {
        targets.remove_by_id(id);
    }
    let after_removal = preferred(&targets);

    assert!((4..=8).contains(&after_draining.len()), "{after_draining:?}");
    assert!(after_removal.iter().all(|id| !after_draining.contains(id)));
    assert_eq!(kinds(&targets), [100, 0, 0]);
}

#[test]
fn calls_go_to_others_while_all_preferred_targets_are_ejected() {
    // Guards against calls that are refused since a host cannot reach its few preferred targets.
    let mut targets = targets();
    let keys: Vec<_> = targets.of_service("engines").map(|(key, _)| key).collect();
    for key in keys.into_iter().filter(|key| targets.is_preferred(*key)).collect::<Vec<_>>() {
        for _ in 0..2 {
            targets.record_sent(key, &PlacementRequest::default());
            targets.record_outcome(NOW, key, Outcome::Failed);
        }
    }

    let [preferred, zone, other_zone] = kinds(&targets);

    assert_eq!((preferred, zone + other_zone), (0, 100));
}

#[test]
fn an_evacuated_zone_has_no_preferred_targets_until_it_returns() {
    // Guards against calls to evacuated targets, and against preferences that are lost if a target
    // registers itself during an evacuation.
    let mut targets = targets();
    let before = preferred(&targets);

    targets.apply_zone_change(NOW, &ZoneChange::Evacuated("a".into()));
    let evacuated = kinds(&targets);
    targets.put(entry("a-12", "a"));
    targets.remove_by_id("a-12");
    targets.apply_zone_change(NOW, &ZoneChange::Returned("a".into()));

    assert_eq!(evacuated, [0, 0, 100]);
    assert_eq!(preferred(&targets), before);
}

#[test]
fn a_target_that_holds_the_prompt_gets_the_call_although_it_is_not_preferred() {
    // Guards against reading the prompt of a conversation again that reaches another host.
    let mut targets = targets();
    let other = ids(&targets, false)[0].clone();
    targets.record_remote_prompts(&other, &[(7, 2_000)]);
    targets.record_remote_prompts("b-0", &[(8, 2_000)]);

    let chosen = [7, 8].map(|id| {
        let parts = vec![(1, 512), (id, 2_100)];
        let request = PlacementRequest { parts, ..PlacementRequest::default() };
        let Choice::Target(key) = targets.choose(NOW, "engines", &request) else { panic!() };
        (targets.get(key).unwrap().entry.id.clone(), targets.placement_kind(key, &request))
    });

    let kind = Some(PlacementKind::Prompt);
    assert_eq!(chosen, [(other, kind), ("b-0".into(), kind)]);
}

#[test]
fn a_silent_zone_gets_no_calls() {
    // Guards against calls to a zone that is partitioned off: they get no answer, and callers wait
    // in vain. That holds also for a conversation whose prompt is cached there.
    let mut targets = targets();
    targets.record_remote_prompts("b-0", &[(7, 2_000)]);
    let parts = vec![(1, 512), (7, 2_100)];
    let held_in_b = PlacementRequest { parts, ..PlacementRequest::default() };
    let zone = [preferred(&targets), ids(&targets, false)].concat();
    set_load(&mut targets, &zone, 8);
    let slots = targets.capacity(NOW, "engines").0;

    targets.set_silent_zones(Set::from_iter(["b".into()]));
    let of_silent = targets.choose(NOW, "engines", &held_in_b);
    let chosen = choose(&targets);
    let slots_of_others = targets.capacity(NOW, "engines").0;
    targets.set_silent_zones(Set::default());
    let later = targets.choose(NOW, "engines", &held_in_b);

    let zone_of = |key| &*targets.get(key).unwrap().entry.zone;
    assert!(matches!(of_silent, Choice::Target(key) if zone_of(key) == "c"), "{of_silent:?}");
    assert!(chosen.len() == 100 && chosen.iter().all(|key| zone_of(*key) == "c"));
    assert!(matches!(later, Choice::Target(key) if zone_of(key) == "b"), "{later:?}");
    assert_eq!((slots, slots_of_others), (16 * 6, 14 * 6));
}

#[test]
fn a_service_whose_targets_are_all_in_silent_zones_has_none() {
    // Guards against calls that wait for a place at targets that cannot be reached.
    let mut targets = Targets::new("a", HostId(0));
    targets.prefer_targets(4, HostId(0));
    targets.put(entry("b-0", "b"));
    targets.set_silent_zones(Set::from_iter(["b".into()]));

    assert_eq!(targets.choose(NOW, "engines", &conversation(10)), Choice::NoTarget);
}

#[test]
fn a_restarted_target_leaves_the_preferences_as_they_are() {
    // Guards against a line in the log for each restart, and against connections to other targets.
    let mut targets = targets();
    let before = preferred(&targets);
    targets.take_group_changes();

    for id in &before {
        targets.put(TargetEntry { born: 2, ..entry(id, "a") });
    }

    let mut after = preferred(&targets);
    after.sort_unstable();
    let mut before = before;
    before.sort_unstable();
    assert_eq!(after, before);
    assert_eq!(targets.take_group_changes(), []);
}

#[test]
fn a_host_that_prefers_no_targets_knows_of_no_groups_or_silent_zones() {
    // Guards against a change for deployments that have not switched the part on.
    let mut targets = Targets::new("a", HostId(0));
    for i in 0..12 {
        targets.put(entry(&format!("a-{i}"), "a"));
    }
    targets.put(entry("b-0", "b"));
    targets.set_zone_hosts((1..20).map(HostId));
    targets.set_silent_zones(Set::from_iter(["b".into()]));

    assert!(targets.notice_receivers().is_empty());
    assert_eq!(preferred(&targets).len(), 0);
    assert_eq!(targets.capacity(NOW, "engines").0, 13 * 6);
    assert_eq!(kinds(&targets), [0; 3]);
}
