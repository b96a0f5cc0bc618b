//! A randomized soak test of hosts that run as separate processes, under injected faults.
//!
//! To run more seeds: `CAMPHORWALK_SOAK=1-50 cargo test -p camphorwalk --test soak -- --nocapture`.
//! `CAMPHORWALK_SOAK_SECONDS` sets the duration of each seed.

#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

mod callers;
mod faults;
mod fleet;
mod ledger;
mod proxy;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng as _;
use rand::rngs::StdRng;

use callers::Callers;
use faults::{FaultInjector, STEP};
use fleet::Fleet;
use ledger::{AnsweredTurn, Ledger};
use support::caller::Call;
use support::target::Target;

/// The seeds that run if the environment names none, as in CI.
const CI_SEEDS: std::ops::RangeInclusive<u64> = 1..=1;

/// The duration of each seed in seconds, unless the environment sets it.
const CI_SECONDS: u64 = 6;

/// The number of caller tasks of each kind.
const CALLERS_PER_KIND: u64 = 4;

/// About how many of the answered turns are continued after all faults have ended.
const TURNS_TO_CONTINUE: usize = 40;

/// How long it may take after all faults have ended until an answered turn can be continued. Hosts
/// that hold a turn write it within some seconds after the store is available again.
const CONTINUE_TIMEOUT: Duration = Duration::from_secs(20);

/// The zone that the operator evacuates while faults are injected, and during which steps.
const EVACUATED_AMID_FAULTS: (&str, std::ops::Range<u32>) = ("b", 10..35);

/// The zone that the operator evacuates after all faults have ended.
const EVACUATED_AT_THE_END: &str = "c";

/// How long after an evacuation its zone may still get calls.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// Returns the seeds to run: those in `CAMPHORWALK_SOAK`, such as `7` or `1-50`, or `CI_SEEDS`.
fn seeds() -> std::ops::RangeInclusive<u64> {
    let Ok(text) = std::env::var("CAMPHORWALK_SOAK") else { return CI_SEEDS };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));

    first.parse().expect("a seed")..=last.parse().expect("a seed")
}

/// Returns the duration of each seed in seconds.
fn seconds() -> u64 {
    let text = std::env::var("CAMPHORWALK_SOAK_SECONDS");

    text.map_or(CI_SECONDS, |text| text.parse().expect("a number of seconds"))
}

#[test]
fn promises_hold_under_faults_from_outside() {
    // Overlapping faults: hosts are killed, paused, shut down and partitioned, the store refuses
    // requests or loses answers, targets misbehave, and the manifest changes. Checks that a call
    // that was refused as "not run" did not run, that deposits run at most once, that a stream
    // that ended normally is complete, that a stream holds events of one version, that budgets are
    // kept, that an evacuated zone gets no calls, that nothing is held for callers that have left, and
    // that each turn that was answered completely can be continued afterwards.
    let mut violations = Vec::new();
    for seed in seeds() {
        let result = Rc::new(RefCell::new(Vec::new()));
        let written = Rc::clone(&result);
        let limit = support::TEST_TIMEOUT * 5 + Duration::from_secs(seconds());
        support::run_for(limit, async move { *written.borrow_mut() = soak(seed).await });
        for violation in result.borrow().iter() {
            eprintln!("seed {seed}: {violation}");
            violations.push((seed, violation.clone()));
        }
    }

    assert!(violations.is_empty(), "{} guarantees violated", violations.len());
}

/// Runs one seed. Returns a description of each violated guarantee.
async fn soak(seed: u64) -> Vec<String> {
    let mut fleet = Fleet::start().await;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut injector = FaultInjector::default();
    let callers = Callers {
        hosts: Rc::new(fleet.hosts.iter().map(fleet::Host::callers).collect()),
        ledger: Rc::new(RefCell::new(Ledger::default())),
        stop: Rc::new(Cell::new(false)),
    };
    let tasks = callers.start(seed, CALLERS_PER_KIND);

    let steps = seconds() * 1_000 / STEP.as_millis() as u64;
    for step in 0..u32::try_from(steps).expect("the number of steps fits into 32 bits") {
        tokio::time::sleep(STEP).await;
        evacuate_amid_faults(step, &fleet);
        injector.step(step, &mut rng, &mut fleet);
    }
    injector.recover_all(&mut fleet);
    callers.stop.set(true);
    for task in tasks {
        task.await.expect("caller tasks do not panic");
    }

    fleet.wait_ready().await;
    evacuate_at_the_end(&fleet).await;
    let still_held = find_held_bytes(&fleet).await;
    let lost = find_lost_turns(&callers).await;
    let runs: Vec<_> = fleet.engines.iter().chain(&fleet.desks).flat_map(Target::runs).collect();
    let ledger = callers.ledger.borrow();
    let mut violations = ledger.violations(&runs);
    violations.extend(lost);
    violations.extend(still_held);
    eprintln!(
        "seed {seed}: served {}, failed {}, read slowly {}, turns answered {}, streams resumed {} \
         of {}, promises broken {}",
        ledger.served,
        ledger.failed,
        ledger.slow_served,
        ledger.answered.len(),
        ledger.resumed,
        ledger.resumed + ledger.not_resumed,
        violations.len()
    );
    if !violations.is_empty() {
        eprintln!("seed {seed}: logs in {}", fleet.keep_logs().display());
    }
    violations
}

/// Evacuates a zone, and ends that, at certain steps.
fn evacuate_amid_faults(step: u32, fleet: &Fleet) {
    let (zone, steps) = EVACUATED_AMID_FAULTS;

    if step == steps.start {
        fleet.store.evacuate(zone);
    } else if step == steps.end {
        fleet.store.end_evacuation(zone);
    }
}

/// Evacuates a zone. From now on its targets must get no calls.
async fn evacuate_at_the_end(fleet: &Fleet) {
    let (amid_faults, _) = EVACUATED_AMID_FAULTS;
    fleet.store.end_evacuation(amid_faults);
    fleet.store.evacuate(EVACUATED_AT_THE_END);
    tokio::time::sleep(EVACUATION_BOUND).await;

    fleet.targets_in(EVACUATED_AT_THE_END).for_each(|target| target.set_forbidden(true));
}

/// Returns a description of each host that holds bytes for slow readers after all callers have left.
async fn find_held_bytes(fleet: &Fleet) -> Vec<String> {
    let mut held = Vec::new();

    for host in &fleet.hosts {
        let is_released = async {
            while !host.holds_nothing().await {
                tokio::time::sleep(STEP).await;
            }
        };
        if tokio::time::timeout(CONTINUE_TIMEOUT, is_released).await.is_err() {
            held.push(format!("{} still holds bytes for slow readers", host.name));
        }
    }
    held
}

/// Tries to continue some of the answered turns, evenly spread and including the last one. Returns
/// a description of each that cannot be continued.
async fn find_lost_turns(callers: &Callers) -> Vec<String> {
    let answered = callers.ledger.borrow().answered.clone();
    let stride = (answered.len() / TURNS_TO_CONTINUE).max(1);
    let mut lost = Vec::new();

    for (i, turn) in answered.iter().rev().step_by(stride).enumerate() {
        if !can_be_continued(callers, i, turn).await {
            lost.push(format!("{} was answered completely but cannot be continued", turn.id));
        }
    }
    lost
}

/// Continues a turn, with retries. Returns whether a call succeeded within `CONTINUE_TIMEOUT`.
async fn can_be_continued(callers: &Callers, i: usize, turn: &AnsweredTurn) -> bool {
    let host = callers.hosts[i % callers.hosts.len()];
    let continued = async {
        for attempt in 0.. {
            let id = format!("after-{i}-{attempt}");
            let input = format!("<{id}>");
            let prompt = format!("{}{input}", turn.transcript);
            callers.ledger.borrow_mut().prompts.insert(id.clone(), prompt);
            let call =
                Call::new("/kept/").with_request_id(&id).with_previous_turn(&turn.id).body(input);
            if call.try_send(host).await.is_some_and(|result| result.is_served()) {
                return;
            }
            tokio::time::sleep(STEP).await;
        }
    };

    tokio::time::timeout(CONTINUE_TIMEOUT, continued).await.is_ok()
}
