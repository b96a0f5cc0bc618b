//! Rates of many tenants over a large fleet.

use std::time::Duration;

use camphorwalk_core::entry::TenantSpec;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::world::World;

const HOSTS: usize = 195;
const ZONES: usize = 5;
const STEP: Duration = Duration::from_millis(20);
const WINDOW_SECONDS: f64 = 5.0;

fn tenant(name: &str, rate: f64, burst: f64) -> TenantSpec {
    TenantSpec { name: name.into(), rate: Some(rate), burst, rank: None }
}

/// The calls of one tenant.
struct Calls {
    name: &'static str,
    per_second: f64,
    rng: SmallRng,
    /// When calls were admitted, in steps.
    admitted: Vec<u32>,
    sent: u32,
}

impl Calls {
    fn new(name: &'static str, per_second: f64) -> Self {
        Self {
            name,
            per_second,
            rng: SmallRng::seed_from_u64(per_second as u64),
            admitted: Vec::new(),
            sent: 0,
        }
    }

    fn step(&mut self, world: &mut World) {
        let mut due = self.per_second * STEP.as_secs_f64();
        let mut admitted = 0;
        while due >= 1.0 || (due > 0.0 && self.rng.random_bool(due)) {
            due -= 1.0;
            self.sent += 1;
            let host = self.rng.random_range(0..world.hosts.len());
            admitted += u32::from(world.call(host, self.name));
        }
        self.admitted.push(admitted);
    }

    /// Returns the most calls admitted within a window, after this many seconds.
    fn most_in_window(&self, after: f64) -> u32 {
        let steps = |seconds: f64| (seconds / STEP.as_secs_f64()) as usize;

        self.admitted[steps(after)..]
            .windows(steps(WINDOW_SECONDS))
            .map(|w| w.iter().sum())
            .max()
            .unwrap_or(0)
    }

    fn admitted(&self) -> u32 {
        self.admitted.iter().sum()
    }
}

/// Returns the most calls that may be admitted within a window.
fn limit(rate: f64, burst: f64) -> u32 {
    const OVERAGE: f64 = 1.1;
    const TOLERANCE: f64 = 20.0;

    ((rate * WINDOW_SECONDS + burst) * OVERAGE + TOLERANCE) as u32
}

fn run(world: &mut World, calls: &mut [Calls], seconds: f64) {
    for _ in 0..(seconds / STEP.as_secs_f64()) as usize {
        calls.iter_mut().for_each(|calls| calls.step(world));
        world.run(STEP);
    }
}

#[test]
fn a_large_fleet_keeps_to_small_and_large_limits_under_many_times_the_load() {
    // Guards against limits that are exceeded because each host knows late of the calls of 194
    // others, also after a limit was lowered.
    let mut world = World::new(
        HOSTS,
        ZONES,
        vec![tenant("small", 15.0, 15.0), tenant("large", 60.0, 60.0)],
        11,
    );
    let mut calls = [Calls::new("small", 60.0), Calls::new("large", 300.0)];
    run(&mut world, &mut calls, 12.0);
    assert!(calls[0].most_in_window(0.0) <= limit(15.0, 15.0), "{}", calls[0].most_in_window(0.0));
    assert!(calls[1].most_in_window(0.0) <= limit(60.0, 60.0), "{}", calls[1].most_in_window(0.0));

    world.configure(vec![tenant("small", 8.0, 8.0), tenant("large", 37.0, 37.0)]);
    run(&mut world, &mut calls, 10.0);

    let (small, large) = (calls[0].most_in_window(12.0), calls[1].most_in_window(12.0));
    assert!(small <= limit(8.0, 8.0), "{small} of {}", limit(8.0, 8.0));
    assert!(large <= limit(37.0, 37.0), "{large} of {}", limit(37.0, 37.0));
}

#[test]
fn a_large_fleet_admits_what_tenants_within_their_rates_send() {
    // Guards against refusing calls within a rate of fewer calls a second than there are hosts.
    let mut world = World::new(
        HOSTS,
        ZONES,
        vec![tenant("small", 15.0, 15.0), tenant("large", 60.0, 60.0)],
        12,
    );
    let mut calls = [Calls::new("small", 9.0), Calls::new("large", 36.0)];
    run(&mut world, &mut calls, 4.0);
    let before: Vec<_> = calls.iter().map(|calls| (calls.sent, calls.admitted())).collect();
    run(&mut world, &mut calls, 10.0);

    for (calls, (sent, admitted)) in calls.iter().zip(before) {
        let (sent, admitted) = (calls.sent - sent, calls.admitted() - admitted);
        assert!(sent - admitted <= sent / 50, "{}: {admitted} of {sent}", calls.name);
    }
}

#[test]
fn a_large_fleet_keeps_to_the_limits_while_a_zone_is_cut_off_and_hosts_restart() {
    // Guards against shares of a cut zone and of the others that add up to more than the limit.
    let mut world = World::new(HOSTS, ZONES, vec![tenant("hot", 40.0, 40.0)], 13);
    let mut calls = [Calls::new("hot", 160.0)];
    run(&mut world, &mut calls, 8.0);
    world.cut_zone = Some(1);
    run(&mut world, &mut calls, 4.0);
    (0..60).for_each(|host| world.hosts[host].process = None);
    run(&mut world, &mut calls, 1.0);
    (0..60).for_each(|host| world.start(host));
    run(&mut world, &mut calls, 4.0);
    world.cut_zone = None;
    run(&mut world, &mut calls, 6.0);

    let most = calls[0].most_in_window(0.0);
    assert!(most <= limit(40.0, 40.0), "{most} of {}", limit(40.0, 40.0));
}
