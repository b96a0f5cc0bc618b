//! A fleet that writes more than the rate of its store.

use std::time::Duration;

use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::write_throttle::{Priority, WriteThrottle};

/// The hosts of the fleet.
const HOSTS: usize = 60;

/// The writes per second that the store takes.
const STORE_RATE: f64 = 1_200.0;

/// The time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// The writes per second that a fleet attempts.
#[derive(Clone, Copy)]
struct Load {
    essential: f64,
    normal: f64,
    deferrable: f64,
}

/// What became of the writes of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    accepted: u32,
    rejected: u32,
    throttled: u32,
    /// Writes whose last attempt the store rejected.
    lost: u32,
}

impl Tally {
    /// Returns the part of the writes that the store accepted.
    fn accepted_part(self) -> f64 {
        let all = self.accepted + self.rejected + self.throttled;

        f64::from(self.accepted) / f64::from(all.max(1))
    }
}

/// The tallies of a period of the simulation.
#[derive(Clone, Copy, Debug, Default)]
struct Period {
    essential: Tally,
    normal: Tally,
    deferrable: Tally,
}

impl Period {
    fn tally(&mut self, priority: Priority) -> &mut Tally {
        match priority {
            Priority::Essential => &mut self.essential,
            Priority::Normal => &mut self.normal,
            Priority::Deferrable => &mut self.deferrable,
        }
    }

    fn accepted(&self) -> u32 {
        self.essential.accepted + self.normal.accepted + self.deferrable.accepted
    }

    fn rejected(&self) -> u32 {
        self.essential.rejected + self.normal.rejected + self.deferrable.rejected
    }

    fn throttled(&self) -> u32 {
        self.essential.throttled + self.normal.throttled + self.deferrable.throttled
    }
}

/// Hosts that share a store, in virtual time.
struct Fleet {
    now: Instant,
    throttles: Vec<WriteThrottle>,
    /// The writes that the store still takes at the moment.
    store_level: f64,
    /// Fractions of writes that are due, by priority.
    due: [f64; 3],
    next_host: usize,
    steps: usize,
}

impl Fleet {
    fn new() -> Self {
        Self {
            now: Instant::from_millis(0),
            throttles: vec![WriteThrottle::new(Instant::from_millis(0)); HOSTS],
            store_level: 0.0,
            due: [0.0; 3],
            next_host: 0,
            steps: 0,
        }
    }

    /// Simulates a load for some time, each rejected write being attempted again in the next step
    /// as long as `retries` are left to it.
    fn run(&mut self, load: Load, time: Duration, retries: u32) -> Period {
        let mut period = Period::default();
        let mut again: Vec<(usize, Priority, u32)> = Vec::new();
        let end = self.now + time;

        while self.now < end {
            self.now = self.now + STEP;
            let rate = STORE_RATE * STEP.as_secs_f64();
            self.store_level = (self.store_level + rate).min(STORE_RATE / 10.0);
            let mut attempts = std::mem::take(&mut again);
            attempts.extend(self.new_writes(load, retries));

            // Each priority comes first in every second step, and so do retries.
            self.steps += 1;
            if self.steps.is_multiple_of(2) {
                attempts.reverse();
            }
            for (host, priority, left) in attempts {
                match (self.attempt(host, priority, &mut period), left) {
                    (true, _) => {}
                    (false, 0) => period.tally(priority).lost += 1,
                    (false, left) => again.push((host, priority, left - 1)),
                }
            }
        }
        period
    }

    /// Returns the new writes of a step with their hosts and retries.
    fn new_writes(&mut self, load: Load, retries: u32) -> Vec<(usize, Priority, u32)> {
        let rates = [
            (Priority::Essential, load.essential),
            (Priority::Normal, load.normal),
            (Priority::Deferrable, load.deferrable),
        ];
        let mut writes = Vec::new();

        for (due, (priority, rate)) in self.due.iter_mut().zip(rates) {
            *due += rate * STEP.as_secs_f64();
            while *due >= 1.0 {
                *due -= 1.0;
                // A stride that has no factor in common with the number of hosts.
                self.next_host = (self.next_host + 7) % HOSTS;
                writes.push((self.next_host, priority, retries));
            }
        }
        writes
    }

    /// Attempts a write. Returns whether nothing more is to be done for it.
    fn attempt(&mut self, host: usize, priority: Priority, period: &mut Period) -> bool {
        let throttle = &mut self.throttles[host];
        let tally = period.tally(priority);
        if !throttle.admit(self.now, priority) {
            tally.throttled += 1;
            return true;
        }
        if self.store_level < 1.0 {
            throttle.record_rejections(self.now, 1);
            tally.rejected += 1;
            return false;
        }

        self.store_level -= 1.0;
        tally.accepted += 1;
        true
    }
}

const OVERLOAD: Load = Load { essential: 300.0, normal: 900.0, deferrable: 1_500.0 };
/// More than the store takes, without the writes that can wait.
const OVERLOAD_BY_GRANTS: Load = Load { essential: 300.0, normal: 2_700.0, deferrable: 0.0 };
const NORMAL_LOAD: Load = Load { essential: 300.0, normal: 500.0, deferrable: 0.0 };

#[test]
fn essential_writes_are_accepted_while_the_fleet_exceeds_the_stores_rate() {
    // Guards against ends of turns that the store rejects as often as writes that can wait.
    let mut fleet = Fleet::new();
    fleet.run(OVERLOAD, Duration::from_secs(1), 7);

    let period = fleet.run(OVERLOAD, Duration::from_secs(10), 7);

    assert!(period.essential.accepted_part() > 0.85, "{period:?}");
}

#[test]
fn essential_writes_are_not_limited_while_grants_alone_exceed_the_stores_rate() {
    // Guards against ends of turns that are lost because callers ask for more grants than the store
    // takes.
    let mut fleet = Fleet::new();
    fleet.run(OVERLOAD_BY_GRANTS, Duration::from_secs(1), 7);

    let Period { essential, .. } = fleet.run(OVERLOAD_BY_GRANTS, Duration::from_secs(10), 7);

    assert_eq!(essential.throttled, 0);
    assert!(essential.lost * 100 < essential.accepted, "{essential:?}");
}

#[test]
fn an_overloaded_store_gets_little_more_than_it_takes() {
    // Guards against retries that keep the store at several times its rate.
    let mut fleet = Fleet::new();
    fleet.run(OVERLOAD, Duration::from_secs(1), 7);

    let period = fleet.run(OVERLOAD, Duration::from_secs(10), 7);

    assert!(period.rejected() * 5 < period.accepted(), "{period:?}");
    assert!(f64::from(period.accepted()) > 0.75 * STORE_RATE * 10.0, "{period:?}");
}

#[test]
fn deferrable_writes_give_way_to_others() {
    // Guards against write-backs that delay the grants for which callers wait.
    let mut fleet = Fleet::new();
    fleet.run(OVERLOAD, Duration::from_secs(1), 7);

    let Period { normal, deferrable, .. } = fleet.run(OVERLOAD, Duration::from_secs(10), 7);

    let parts = (normal.accepted_part(), deferrable.accepted_part());
    assert!(parts.0 > 4.0 * parts.1, "{parts:?}");
}

#[test]
fn writes_are_no_longer_limited_soon_after_an_overload() {
    // Guards against a fleet that stays below the rate of its store after the load has fallen.
    let mut fleet = Fleet::new();
    fleet.run(OVERLOAD, Duration::from_secs(5), 7);
    fleet.run(NORMAL_LOAD, Duration::from_secs(5), 7);

    let period = fleet.run(NORMAL_LOAD, Duration::from_secs(5), 7);

    assert_eq!(period.throttled(), 0, "{period:?}");
}

#[test]
fn a_fleet_below_the_stores_rate_is_not_limited() {
    let mut fleet = Fleet::new();

    let period = fleet.run(NORMAL_LOAD, Duration::from_secs(10), 7);

    assert_eq!((period.throttled(), period.rejected()), (0, 0));
}
