//! Who knows of whom in a large fleet.

use std::time::Duration;

use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::status_exchange::{
    Freshness, Merge, Round, Stamp, StatusExchange, UnsentChanges,
};

use crate::world::{World, id};

const ZONES: usize = 5;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns the hosts that `which` selects and that some host which `by` selects takes for silent.
fn silent_hosts(
    world: &World,
    by: impl Fn(usize) -> bool,
    which: impl Fn(usize) -> bool,
) -> Vec<(usize, usize)> {
    let mut silent = Vec::new();
    for host in (0..world.hosts.len()).filter(|host| by(*host)) {
        let live = world.live_for(host);
        let missing =
            (0..world.hosts.len()).filter(|o| which(*o) && *o != host && !live.contains(o));
        silent.extend(missing.map(|other| (host, other)));
    }
    silent
}

#[test]
fn no_host_of_a_large_fleet_seems_silent() {
    // Guards against updates that are rarer than the time after which a host counts as silent.
    let mut world = World::new(195, ZONES, Vec::new(), 1);
    world.run(seconds(2));

    for _ in 0..20 {
        world.run(Duration::from_millis(170));
        assert_eq!(silent_hosts(&world, |_| true, |_| true), []);
    }
}

#[test]
fn messages_of_a_host_do_not_grow_with_the_fleet() {
    // Guards against updates whose number a host grows with the fleet.
    let messages_per_host = |hosts, zones| {
        let mut world = World::new(hosts, zones, Vec::new(), 2);
        world.run(seconds(2));
        world.messages = 0;
        world.run(seconds(2));
        world.messages as f64 / 2.0 / hosts as f64
    };

    let (three_zones, ten_zones) = (messages_per_host(90, 3), messages_per_host(300, 10));

    assert!(ten_zones < three_zones * 1.2, "{three_zones}, then {ten_zones} a second");
}

#[test]
fn hosts_stay_live_while_most_others_lose_power_at_once() {
    // Guards against updates that hang on a few hosts which forward them.
    let mut world = World::new(150, ZONES, Vec::new(), 3);
    world.run(seconds(2));

    let is_down = |host: usize| host % 20 < 11;
    (0..150).filter(|host| is_down(*host)).for_each(|host| world.hosts[host].process = None);
    let mut lost = 0;
    for _ in 0..20 {
        world.run(Duration::from_millis(100));
        lost += silent_hosts(&world, |host| !is_down(host), |host| !is_down(host)).len();
    }

    // Half a percent of the pairs that are looked at.
    let pairs = 20 * 67 * 66;
    assert!(lost * 200 < pairs, "{lost} of {pairs} pairs");
    assert_eq!(silent_hosts(&world, |host| !is_down(host), |host| !is_down(host)), []);
}

#[test]
fn a_host_that_lost_power_is_known_to_be_silent_within_a_second_and_a_half() {
    // Guards against hosts that go on forwarding the last update of a host that is gone.
    let mut world = World::new(150, ZONES, Vec::new(), 4);
    world.run(seconds(2));

    world.hosts[7].process = None;
    world.run(Duration::from_millis(1_500));

    for host in (0..150).filter(|host| *host != 7) {
        assert!(!world.live_for(host).contains(&7), "live for {host}");
    }
}

#[test]
fn a_slow_forwarder_brings_no_host_back() {
    // Guards against old updates, forwarded late, that make a dead host live.
    let mut world = World::new(150, ZONES, Vec::new(), 5);
    world.run(seconds(2));

    (0..150).step_by(3).for_each(|host| world.hosts[host].slow = seconds(3));
    world.run(Duration::from_millis(600));
    world.hosts[7].process = None;
    world.run(Duration::from_millis(1_500));
    for _ in 0..25 {
        world.run(Duration::from_millis(100));
        for host in (0..150).filter(|host| *host != 7) {
            assert!(!world.live_for(host).contains(&7), "live for {host}");
        }
    }

    assert_eq!(world.stale, 0);
}

#[test]
fn updates_of_a_run_that_was_replaced_are_dropped() {
    // Guards against a late update of a process that has ended, which is taken for that of a new
    // one: its calls would be counted again.
    let mut world = World::new(90, 3, Vec::new(), 8);
    world.run(seconds(2));

    (0..90).step_by(3).for_each(|host| world.hosts[host].slow = seconds(2));
    for host in 20..40 {
        world.start(host);
        world.run(Duration::from_millis(200));
    }
    world.run(seconds(3));

    assert_eq!(world.stale, 0);
}

#[test]
fn a_zone_that_was_cut_off_is_heard_again_at_once() {
    // Guards against forwarders that are looked for only among live hosts.
    let mut world = World::new(150, ZONES, Vec::new(), 6);
    world.run(seconds(2));
    let is_inside = |host: usize| host.is_multiple_of(ZONES);

    world.cut_zone = Some(0);
    world.run(Duration::from_millis(1_500));
    for host in (0..150).filter(|host| is_inside(*host)) {
        assert!(world.live_for(host).iter().all(|other| is_inside(*other)));
    }
    world.cut_zone = None;
    world.run(Duration::from_millis(700));

    assert_eq!(silent_hosts(&world, |_| true, |_| true), []);
}

#[test]
fn hosts_of_an_older_build_hear_all_others_and_are_heard() {
    // Guards against a release in which the hosts of one build take those of the other for silent.
    // The period at which an older build updates other zones is longer than hosts count as live.
    let mut world = World::new(90, 3, Vec::new(), 7);
    (0..45).for_each(|host| world.hosts[host].is_old_build = true);
    world.run(seconds(3));

    for _ in 0..10 {
        world.run(Duration::from_millis(170));
        assert_eq!(silent_hosts(&world, |_| true, |_| true), []);
    }
}

#[test]
fn large_hosts_forward_updates_for_small_ones() {
    // Guards against small hosts that spend most of their processor time on forwarding.
    let mut world = World::new(195, ZONES, Vec::new(), 9);
    world.run(seconds(2));
    world.hosts.iter_mut().for_each(|host| host.sent = 0);
    world.run(seconds(2));

    let most = world.hosts.iter().filter(|h| h.processor_millis < 500).map(|h| h.sent).max();
    assert!(most <= Some(150), "{most:?} messages in two seconds");
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Changes {
    totals: Vec<u32>,
    counts: Vec<u32>,
}

impl Merge for Changes {
    fn merge(&mut self, later: Self) {
        self.totals.extend(later.totals);
        self.counts.extend(later.counts);
    }

    fn into_repeatable(self) -> Self {
        Self { counts: Vec::new(), ..self }
    }
}

#[test]
fn what_receivers_add_up_is_sent_once_and_the_rest_twice() {
    // Guards against turns and events that count twice.
    let round = Round { is_forwarded: true, forwarders: vec![id(1)], ..Round::default() };
    let mut unsent = UnsentChanges::default();
    let mut send = |number: u32| {
        let changes = Changes { totals: vec![number], counts: vec![number] };
        unsent.split(&round, changes).forwarded
    };

    assert_eq!(send(1), Changes { totals: vec![1], counts: vec![1] });
    assert_eq!(send(2), Changes { totals: vec![1, 2], counts: vec![2] });
    assert_eq!(send(3), Changes { totals: vec![2, 3], counts: vec![3] });
}

#[test]
fn changes_are_kept_until_they_are_sent_and_no_longer() {
    // Guards against changes that are lost between two updates, or collected for ever where no host
    // gets that kind of update.
    let none = |is_forwarded| Round { is_forwarded, ..Round::default() };
    let change = |number: u32| Changes { totals: vec![number], counts: Vec::new() };
    let mut unsent = UnsentChanges::default();

    assert_eq!(unsent.split(&none(true), change(1)).forwarded, Changes::default());
    let forwarded = Round { forwarders: vec![id(1)], ..none(true) };
    assert_eq!(unsent.split(&forwarded, change(2)).forwarded.totals, [1, 2]);
    assert_eq!(unsent.split(&none(false), change(3)).far, Changes::default());
    let far = Round { far: vec![id(1)], ..none(false) };
    let sent = unsent.split(&far, change(4));
    assert_eq!((sent.near.totals, sent.far.totals), (vec![4], vec![3, 4]));
    assert_eq!(unsent.split(&far, change(5)).far.totals, [5]);
}

#[test]
fn the_second_copy_of_an_update_is_old_also_if_it_covers_all_tenants() {
    // Guards against applying both copies of the updates of a process that has just started.
    let now = Instant::from_millis(5_000);
    let mut exchange = StatusExchange::<()>::new(id(0), 500, now);
    let stamp = Stamp {
        run: 3,
        sequence: 4,
        changes_since: 2,
        is_full: true,
        started_ms: 9,
        sent_at: Some(now),
    };

    assert_eq!(exchange.record_forwarded(now, id(1), stamp), Freshness::New(Duration::ZERO));
    assert_eq!(exchange.record_forwarded(now, id(1), stamp), Freshness::Old);
    let reply = Stamp { started_ms: 0, sent_at: None, ..stamp };
    assert_eq!(exchange.record_direct(now, id(1), reply), Freshness::New(Duration::ZERO));
}
