//! A randomized soak of hosts as separate processes, with faults from outside.
//!
//! By hand: `CAMPHORWALK_SOAK=1-50 cargo test -p camphorwalk --test soak -- --nocapture` plays
//! these seeds, `CAMPHORWALK_SOAK_SECONDS` sets how long each lasts.

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
use faults::{Harmed, STEP};
use fleet::Fleet;
use ledger::{Answered, Ledger};
use support::caller::Call;
use support::target::Target;

/// The seed and the time of the run in CI.
const CI_SEEDS: std::ops::RangeInclusive<u64> = 1..=1;
const CI_SECONDS: u64 = 6;

/// How many callers there are of each kind.
const CALLERS: u64 = 4;

/// How many of the answered turns are continued when all is healed.
const CONTINUED: usize = 40;

/// How long an answered turn may take to be found after all is healed: a row that a host holds is
/// written within some seconds of the store's return.
const FOUND_WITHIN: Duration = Duration::from_secs(20);

/// Returns the seeds that the environment names, such as `7` or `1-50`.
fn seeds() -> std::ops::RangeInclusive<u64> {
    let Ok(text) = std::env::var("CAMPHORWALK_SOAK") else { return CI_SEEDS };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));

    first.parse().expect("a seed")..=last.parse().expect("a seed")
}

fn seconds() -> u64 {
    let text = std::env::var("CAMPHORWALK_SOAK_SECONDS");

    text.map_or(CI_SECONDS, |text| text.parse().expect("a number of seconds"))
}

#[test]
fn promises_hold_under_faults_from_outside() {
    // Hosts are killed, stopped, asked to leave and cut off in series that overlap, the store
    // refuses or loses answers, targets misbehave, and the manifest changes. Callers are told
    // "not run" only of what did not run, deposits run once, streams look complete only if they
    // are, budgets hold, and each turn that was answered whole can be continued afterwards.
    let mut broken = Vec::new();
    for seed in seeds() {
        let result = Rc::new(RefCell::new(Vec::new()));
        let written = Rc::clone(&result);
        let limit = support::TEST_TIMEOUT * 5 + Duration::from_secs(seconds());
        support::run_for(limit, async move { *written.borrow_mut() = soak(seed).await });
        for promise in result.borrow().iter() {
            eprintln!("seed {seed}: {promise}");
            broken.push((seed, promise.clone()));
        }
    }

    assert!(broken.is_empty(), "{} promises broken", broken.len());
}

/// Plays one seed; returns the promises that were broken.
async fn soak(seed: u64) -> Vec<String> {
    let mut fleet = Fleet::start().await;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut harmed = Harmed::default();
    let callers = Callers {
        hosts: Rc::new(fleet.hosts.iter().map(fleet::Host::callers).collect()),
        ledger: Rc::new(RefCell::new(Ledger::default())),
        stop: Rc::new(Cell::new(false)),
    };
    let tasks = callers.start(seed, CALLERS);

    let steps = seconds() * 1_000 / STEP.as_millis() as u64;
    for step in 0..u32::try_from(steps).expect("a soak of days at most") {
        tokio::time::sleep(STEP).await;
        harmed.step(step, &mut rng, &mut fleet);
    }
    harmed.heal(&mut fleet);
    callers.stop.set(true);
    for task in tasks {
        task.await.expect("callers do not fail");
    }

    fleet.wait_ready().await;
    let lost = turns_not_found(&callers).await;
    let runs: Vec<_> = fleet.engines.iter().chain(&fleet.desks).flat_map(Target::runs).collect();
    let ledger = callers.ledger.borrow();
    let mut broken = ledger.broken_promises(&runs);
    broken.extend(lost);
    eprintln!(
        "seed {seed}: served {}, failed {}, turns answered {}, promises broken {}",
        ledger.served,
        ledger.failed,
        ledger.answered.len(),
        broken.len()
    );
    if !broken.is_empty() {
        eprintln!("seed {seed}: logs in {}", fleet.keep_logs().display());
    }
    broken
}

/// Continues turns that were answered whole, the last ones and some of the others.
async fn turns_not_found(callers: &Callers) -> Vec<String> {
    let answered = callers.ledger.borrow().answered.clone();
    let stride = (answered.len() / CONTINUED).max(1);
    let mut lost = Vec::new();

    for (i, turn) in answered.iter().rev().step_by(stride).enumerate() {
        if !can_be_continued(callers, i, turn).await {
            lost.push(format!("{} was answered whole and cannot be continued", turn.id));
        }
    }
    lost
}

async fn can_be_continued(callers: &Callers, i: usize, turn: &Answered) -> bool {
    let host = callers.hosts[i % callers.hosts.len()];
    let found = async {
        for attempt in 0.. {
            let id = format!("after-{i}-{attempt}");
            let input = format!("<{id}>");
            let prompt = format!("{}{input}", turn.said);
            callers.ledger.borrow_mut().prompts.insert(id.clone(), prompt);
            let call =
                Call::new("/kept/").with_request_id(&id).with_previous_turn(&turn.id).body(input);
            if call.try_send(host).await.is_some_and(|got| got.is_served()) {
                return;
            }
            tokio::time::sleep(STEP).await;
        }
    };

    tokio::time::timeout(FOUND_WITHIN, found).await.is_ok()
}
