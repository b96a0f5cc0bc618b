//! Polls the engines of the pools whose queues this host runs. Reads their load, the programs that
//! they evicted from their caches, and the programs that they hold.

use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{ProgramId, TargetId};
use camphorwalk_core::units::Tokens;
use camphorwalk_policy::queue::LoadReport;
use camphorwalk_policy::scheduler::Event;
use serde::Deserialize;
use tokio::sync::watch;

use crate::host::Shared;
use crate::targets::Targets;

/// How often the load and events of each engine are read.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// The list of programs that an engine holds is read once in this many rounds.
const ROUNDS_PER_HELD_READ: u32 = 4;

/// An engine's answer about its load.
#[derive(Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
    held_tokens: Tokens,
}

/// An engine's answer with the changes of its cache since an event number.
#[derive(Deserialize)]
struct Events {
    events: Vec<CacheEvent>,
}

/// A change of an engine's cache.
#[derive(Deserialize)]
struct CacheEvent {
    number: u64,
    kind: Box<str>,
    program: Box<str>,
}

/// An engine's answer with the programs that it holds cache for.
#[derive(Deserialize)]
struct HeldList {
    programs: Vec<HeldProgram>,
}

/// A program that an engine holds cache for.
#[derive(Deserialize)]
struct HeldProgram {
    program: Box<str>,
}

/// Polls the engines in the latest value of `watched`, until its sender is dropped.
pub(crate) async fn run(
    shared: Arc<Shared>,
    targets: Targets,
    mut watched: watch::Receiver<Vec<TargetId>>,
) {
    let mut last_events = Map::<TargetId, u64>::default();
    let mut round = 0;

    loop {
        let engines = watched.borrow_and_update().clone();
        last_events.retain(|target, _| engines.contains(target));

        let reads = engines.iter().map(|target| {
            let after = last_events.get(target).copied().unwrap_or(0);
            read_engine(&shared, &targets, *target, after, round % ROUNDS_PER_HELD_READ == 0)
        });
        let last = futures::future::join_all(reads).await;
        last_events.extend(engines.iter().copied().zip(last));

        round = round.wrapping_add(1);
        tokio::time::sleep(POLL_PERIOD).await;
        if watched.has_changed().is_err() {
            return;
        }
    }
}

/// Polls one engine and returns the number of the last event that was read from it.
async fn read_engine(
    shared: &Shared,
    targets: &Targets,
    target: TargetId,
    after: u64,
    with_held: bool,
) -> u64 {
    if let Some(load) = targets.get_json::<Load>(target, "/v1/load").await {
        let Load { running, waiting, held_tokens } = load;
        let report = LoadReport { running, waiting, held: held_tokens };
        shared.control.send(Event::Load { target, report });
    }

    if with_held {
        read_held(shared, targets, target).await;
    }

    read_events(shared, targets, target, after).await
}

async fn read_held(shared: &Shared, targets: &Targets, target: TargetId) {
    let Some(list) = targets.get_json::<HeldList>(target, "/v1/held").await else {
        return;
    };

    let programs: Vec<ProgramId> =
        list.programs.iter().filter_map(|held| held.program.parse().ok()).collect();
    shared.control.send(Event::HeldPrograms { target, programs });
}

async fn read_events(shared: &Shared, targets: &Targets, target: TargetId, after: u64) -> u64 {
    let path = format!("/v1/events?after={after}");
    let Some(events) = targets.get_json::<Events>(target, &path).await else {
        return after;
    };

    let mut last = after;
    for event in &events.events {
        last = last.max(event.number);
        if let ("evicted", Ok(program)) = (&*event.kind, event.program.parse()) {
            shared.control.send(Event::Evicted { target, program });
        }
    }

    last
}
