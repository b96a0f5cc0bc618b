//! The limit on calls to cold targets, over all hosts of fleets of several sizes.

use std::time::Duration;

use camphorwalk_core::entry::{ColdBounds, ColdSpec, ServiceSpec, TargetEntry, TargetState};
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::cold_targets::{
    ColdShares, JOIN_DELAY, LIST_VALID_FOR, MAX_SEND_DELAY, ROW_VALID_FOR, part_of_limit,
};
use camphorwalk_policy::entry::evacuations::ZoneChange;
use camphorwalk_policy::entry::host_rows::UNCHANGED_READS_UNTIL_GONE;
use camphorwalk_policy::entry::placement::{
    Choice, Outcome, PlacementRequest, SendCheck, TargetKey, Targets,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

const SERVICE: &str = "engines";

const SPEC: ColdSpec = ColdSpec { rate: 23.0, duration: Duration::from_secs(3) };

const BOUNDS: ColdBounds = ColdBounds { overage: 1.5, tolerance: 5.0 };

/// The calls that a cold target may get within any second, by [`SPEC`] and [`BOUNDS`].
const LIMIT: usize = 39;

/// The cold targets of the zone that returns.
const COLD_TARGETS: usize = 16;

/// The time of a simulation.
const SIMULATED: Duration = Duration::from_secs(3);

/// When simulations begin: all hosts have used their parts for a while.
const BEGIN: Instant = Instant::from_millis(60_000);

fn entry(id: &str, zone: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: zone.into(),
        version: None,
        slots: 6,
        state: TargetState::Ready,
        born: 1,
        cold_for: Duration::ZERO,
    }
}

fn services() -> Map<Box<str>, ServiceSpec> {
    let name: Box<str> = SERVICE.into();
    let service =
        ServiceSpec { name: name.clone(), max_connections: None, engine: None, cold: Some(SPEC) };

    Map::from_iter([(name, service)])
}

/// Returns the hosts of a fleet.
fn fleet(size: usize) -> Vec<HostId> {
    (0..size).map(|i| HostId::from_name(&format!("host-{i}"))).collect()
}

/// Returns a host that is on the lists of all others, with the targets of zone `a` known to it and
/// the zone evacuated.
fn host(own: HostId, fleet: &[HostId]) -> Targets {
    let mut targets = Targets::new("a", own);
    let others = fleet.iter().copied().filter(|host| *host != own).collect();
    targets.configure_cold(BEGIN - JOIN_DELAY, &services(), BOUNDS);
    targets.record_own_row_written(BEGIN - JOIN_DELAY, BEGIN - JOIN_DELAY);
    targets.record_own_row_written(BEGIN, BEGIN);
    targets.record_hosts(BEGIN, others);
    for i in 0..COLD_TARGETS {
        targets.put(entry(&format!("engine-{i}"), "a"));
    }
    targets.apply_zone_change(BEGIN, &ZoneChange::Evacuated("a".into()));

    targets
}

/// When calls were sent to each target.
type Sent = Map<Box<str>, Vec<Instant>>;

/// Sends a call at a host, if it gets a place. Connecting takes `connect`.
fn send_one(targets: &mut Targets, now: Instant, seed: u64, connect: Duration, sent: &mut Sent) {
    let request = PlacementRequest { seed, ..PlacementRequest::default() };
    let Choice::Target(key) = targets.choose(now, SERVICE, &request) else { return };
    targets.record_place(now, key);
    targets.record_sent(key, &request);

    if targets.check_send(now + connect, key, now) == SendCheck::Allowed {
        let id = targets.get(key).unwrap().entry.id.clone();
        sent.entry(id).or_default().push(now + connect);
    }
    // Calls end at once, so that only the limit on cold targets holds any back.
    targets.record_outcome(now, key, Outcome::Abandoned);
}

/// Returns the most calls that one target got within a second.
fn busiest_second(sent: &Sent) -> usize {
    let busiest = |times: &Vec<Instant>| {
        let mut times = times.clone();
        times.sort_unstable();
        let within =
            |i: usize| times[i..].iter().take_while(|t| t.since(times[i]).as_secs() < 1).count();
        (0..times.len()).map(within).max().unwrap_or_default()
    };

    sent.values().map(busiest).max().unwrap_or_default()
}

/// Simulates the return of a whole zone of cold targets under a burst of calls at all hosts, which
/// do not hear each other at all. `calls` arrive in each millisecond.
fn return_of_a_cold_zone(size: usize, calls: f64) -> Sent {
    let ids = fleet(size);
    let mut hosts: Vec<_> = ids.iter().map(|own| host(*own, &ids)).collect();
    let mut rng = SmallRng::seed_from_u64(size as u64);
    let mut sent = Sent::default();
    let returned = ZoneChange::Returned("a".into());
    for host in &mut hosts {
        host.apply_zone_change(BEGIN, &returned);
    }

    for ms in 0..SIMULATED.as_millis() as u64 {
        let now = BEGIN + Duration::from_millis(ms);
        let due = calls.floor() as usize + usize::from(rng.random_bool(calls.fract()));
        for _ in 0..due {
            let host = &mut hosts[rng.random_range(0..size)];
            let connect = MAX_SEND_DELAY.mul_f64(rng.random());
            send_one(host, now, rng.random(), connect, &mut sent);
        }
    }
    sent
}

/// Guards against overloading a zone that returns cold: hosts that do not hear each other must not
/// exceed the limit of any of its targets together.
#[test]
fn a_cold_zone_that_returns_in_a_burst_is_not_overloaded() {
    for size in [1, 3, 11, 38, 39, 40, 91, 300] {
        let sent = return_of_a_cold_zone(size, 4.0);

        let busiest = busiest_second(&sent);
        assert!(busiest <= LIMIT, "{size} hosts: {busiest} calls in a second");
    }
}

/// Guards against a limit that leaves a cold zone idle: under a burst it must serve three fifths of
/// the rate that its service declares, however large the fleet is.
#[test]
fn a_cold_zone_serves_most_of_its_declared_rate_under_a_burst() {
    let declared = SPEC.rate * COLD_TARGETS as f64 * SIMULATED.as_secs_f64();

    for size in [11, 91, 300] {
        let sent = return_of_a_cold_zone(size, 4.0);

        let served: usize = sent.values().map(Vec::len).sum();
        assert!(served as f64 >= 0.6 * declared, "{size} hosts: {served} of {declared}");
    }
}

/// Guards against refusing calls of a zone that returns while the load is far below the limit.
#[test]
fn a_cold_zone_serves_all_calls_of_a_moderate_load() {
    for size in [11, 91] {
        let sent = return_of_a_cold_zone(size, 0.15);

        let served: usize = sent.values().map(Vec::len).sum();
        assert!(served >= 440, "{size} hosts: {served} of about 450");
    }
}

/// Guards against parts of an older list or manifest: they must follow both while a target is cold.
#[test]
fn the_part_of_a_cold_target_follows_the_list_of_hosts_and_the_limit() {
    let own = HostId(1);
    let mut targets = Targets::new("a", own);
    targets.put(entry("engine", "a"));
    let part = |targets: &mut Targets| targets.record_cold(BEGIN, "engine", SPEC.duration);
    assert_eq!(part(&mut targets), None);

    targets.configure_cold(BEGIN, &services(), BOUNDS);
    targets.record_own_row_written(BEGIN - JOIN_DELAY, BEGIN);
    targets.record_hosts(BEGIN, vec![HostId(2), HostId(3)]);
    assert_eq!(part(&mut targets), Some(13));

    targets.record_hosts(BEGIN, fleet(38));
    let mut sent = Sent::default();
    for seed in 0..20 {
        send_one(&mut targets, BEGIN, seed, Duration::ZERO, &mut sent);
    }
    assert_eq!(sent.values().map(Vec::len).sum::<usize>(), 1);
}

/// Guards against limiting targets that are no longer cold.
#[test]
fn a_target_that_is_no_longer_cold_takes_calls_without_limit() {
    let mut targets = host(HostId(1), &[HostId(1)]);
    targets.apply_zone_change(BEGIN, &ZoneChange::Returned("a".into()));
    let mut sent = Sent::default();
    let warm = BEGIN + SPEC.duration;

    for seed in 0..2_000 {
        send_one(&mut targets, warm, seed, Duration::ZERO, &mut sent);
    }

    assert_eq!(sent.values().map(Vec::len).sum::<usize>(), 2_000);
}

/// Guards against sending on a place that was taken before the target's zone was evacuated, or
/// before the target turned cold, while connecting took its time.
#[test]
fn a_call_is_not_sent_if_its_target_became_unavailable_meanwhile() {
    let own = HostId(1);
    let others: Vec<_> = fleet(100);
    let mut targets = host(own, &others);
    targets.apply_zone_change(BEGIN, &ZoneChange::Returned("a".into()));
    let now = BEGIN + SPEC.duration;
    let key = key_of(&targets, now);
    targets.record_place(now, key);

    targets.record_cold(now, &targets.get(key).unwrap().entry.id.clone(), SPEC.duration);
    let late = now + MAX_SEND_DELAY + Duration::from_millis(1);
    assert_eq!(targets.check_send(late, key, now), SendCheck::Cold);

    targets.apply_zone_change(now, &ZoneChange::Evacuated("a".into()));
    assert_eq!(targets.check_send(now, key, now), SendCheck::Evacuated);
}

fn key_of(targets: &Targets, now: Instant) -> TargetKey {
    match targets.choose(now, SERVICE, &PlacementRequest::default()) {
        Choice::Target(key) => key,
        other => panic!("no target: {other:?}"),
    }
}

/// Guards against a process that has just started: others may not have it on their lists yet, and
/// use the whole limit among them.
#[test]
fn a_host_that_the_others_may_not_know_sends_nothing_to_cold_targets() {
    let at = Instant::from_millis;
    let mut shares = ColdShares::new(HostId(1));

    shares.record_list(at(1_000), vec![HostId(2)]);
    shares.record_row_written(at(1_000), at(900));
    assert!(!shares.may_use(at(1_000)));
    shares.record_list(at(9_000), vec![HostId(2)]);
    assert!(shares.may_use(at(1_000) + JOIN_DELAY));
    // The list is too old, and so is the row.
    assert!(!shares.may_use(at(9_000) + LIST_VALID_FOR));
    shares.record_list(at(17_000), vec![HostId(2)]);
    assert!(!shares.may_use(at(900) + ROW_VALID_FOR));
    // After the pause the others may have removed this host.
    shares.record_row_written(at(17_000), at(17_000));
    assert!(!shares.may_use(at(17_000)));
}

/// Guards against lists that stay valid until a new host begins to send, and against a host that
/// sends after others may have removed it.
#[test]
fn the_times_of_lists_and_rows_exclude_hosts_that_do_not_know_each_other() {
    /// The least time between two reads of the list that count a row as unchanged.
    const HEARTBEAT_PERIOD: Duration = Duration::from_secs(5);
    /// The time for which a host's row must be unchanged until others remove it from their lists.
    const REMOVAL: Duration = HEARTBEAT_PERIOD.saturating_mul(UNCHANGED_READS_UNTIL_GONE);

    assert!(JOIN_DELAY > LIST_VALID_FOR);
    assert!(ROW_VALID_FOR < REMOVAL);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against parts that exceed the limit together although hosts have different lists. Each
    /// host that uses its part is on the list of each other one; the lists contain any others.
    #[test]
    fn parts_of_hosts_with_different_lists_do_not_exceed_the_limit(
        active in 1..120usize,
        target in any::<u64>(),
        limit in 1..60u32,
        extra in prop::collection::vec(prop::collection::vec(200..300u64, 0..40), 120),
    ) {
        let ids: Vec<_> = (0..active as u64).map(HostId).collect();
        let part = |own: &HostId| {
            let known = ids.iter().copied().filter(|host| host != own);
            let mut others: Vec<_> =
                known.chain(extra[own.0 as usize].iter().copied().map(HostId)).collect();
            others.sort_unstable();
            others.dedup();
            part_of_limit(limit, target, *own, &others)
        };

        prop_assert!(ids.iter().map(part).sum::<u32>() <= limit);
    }

    /// Guards against two sides of a partition that together exceed the limit, when new hosts start
    /// on either side and are known only there.
    #[test]
    fn two_sides_of_a_partition_do_not_exceed_the_limit(
        before in 2..60usize,
        joined in prop::array::uniform2(0..30usize),
        target in any::<u64>(),
        limit in 1..60u32,
    ) {
        let known: Vec<_> = (0..before as u64).map(HostId).collect();
        let side = |side: usize| {
            let first = 1_000 * (side as u64 + 1);
            let new: Vec<_> = (first..first + joined[side] as u64).map(HostId).collect();
            // The hosts that were known before are on both sides' lists; new ones do not use their
            // parts, since no list of the other side is valid that has them.
            let members = known.iter().filter(move |host| host.0 as usize % 2 == side);
            members.map(|own| {
                let others = known.iter().chain(&new).filter(|host| *host != own);
                part_of_limit(limit, target, *own, &others.copied().collect::<Vec<_>>())
            }).sum::<u32>()
        };

        prop_assert!(side(0) + side(1) <= limit);
    }
}
