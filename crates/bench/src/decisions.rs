//! How many decisions a second the queues make, by how many calls wait.

use std::sync::Arc;
use std::time::{Duration, Instant as WallClock};

use camphorwalk_core::ids::{ClassId, HostId, PoolId, ProgramId, TenantId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;
use camphorwalk_policy::queue::{QueueAction, QueueEvent};
use camphorwalk_policy::shared_types::{PlaceOutcome, PlaceRelease, PlaceRequest, PlaceRequestId};
use serde::Serialize;

use crate::fleet::{Engines, POOL, config, tenant_name};
use crate::scheduler::{Policy, Scheduler};
use crate::workload::Workload;

/// The numbers of waiting calls that are measured.
const WAITING: [u64; 4] = [10, 100, 1_000, 10_000];

/// Calls that end, each with a new question and a grant, in one measurement.
const ROUNDS: u64 = 20_000;

/// Wall clock time between two ends of calls in virtual time.
const STEP: Duration = Duration::from_millis(1);

/// What a number of waiting calls costs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DecisionRate {
    /// Calls that wait all the time.
    pub waiting: u64,
    /// Targets of the pool.
    pub targets: usize,
    /// Tenants with calls that wait.
    pub tenants: usize,
    /// Events taken in a second: one question and one end for each grant.
    pub events_per_second: f64,
    /// Microseconds of one call: its question, its grant and its end.
    pub micros_per_call: f64,
}

/// Measures the queues of a pool with this many targets and tenants. Uses the wall clock: the
/// figures differ from run to run.
pub fn measure(targets: usize, tenants: usize) -> Vec<DecisionRate> {
    WAITING.iter().map(|waiting| measure_one(*waiting, targets, tenants)).collect()
}

fn measure_one(waiting: u64, targets: usize, tenants: usize) -> DecisionRate {
    let mut load = Load::new(targets, tenants);
    let places = load.places;
    (0..places + waiting).for_each(|_| load.ask());

    let start = WallClock::now();

    for _ in 0..ROUNDS {
        load.now = load.now + STEP;
        load.end_oldest();
        load.ask();
    }

    let seconds = start.elapsed().as_secs_f64();
    assert_eq!(load.asked - places - waiting, ROUNDS);
    assert_eq!(load.granted.len() as u64, places, "calls were refused");

    DecisionRate {
        waiting,
        targets,
        tenants,
        events_per_second: 2.0 * ROUNDS as f64 / seconds,
        micros_per_call: 1e6 * seconds / ROUNDS as f64,
    }
}

/// A steady load on one queue.
struct Load {
    scheduler: Scheduler,
    now: Instant,
    places: u64,
    tenants: u64,
    asked: u64,
    granted: std::collections::VecDeque<PlaceRequestId>,
    out: Vec<QueueAction>,
}

impl Load {
    fn new(targets: usize, tenants: usize) -> Self {
        let engines = Engines { count: targets, ..Engines::default() };
        let mut workload = Workload::inkwick();
        workload.tenant_parts = vec![1.0 / tenants as f64; tenants];
        let mut load = Self {
            scheduler: Scheduler::new(Policy::Camphorwalk, engines.window, &[]),
            now: Instant(0),
            places: targets as u64 * u64::from(engines.window),
            tenants: tenants as u64,
            asked: 0,
            granted: std::collections::VecDeque::new(),
            out: Vec::new(),
        };
        load.step(QueueEvent::Config(Arc::new(config(&workload, &engines))));

        load
    }

    fn step(&mut self, event: QueueEvent) {
        self.scheduler.step(self.now, event, &mut self.out);

        for next in self.out.drain(..) {
            if let QueueAction::Grant { request_id, .. } = next {
                self.granted.push_back(request_id);
            }
        }
    }

    fn ask(&mut self) {
        let number = self.asked;
        self.asked += 1;

        let class = if number.is_multiple_of(4) { "arrival" } else { "chat" };
        let tenant = TenantId::from_name(&tenant_name((number % self.tenants) as usize));
        let request = PlaceRequest {
            pool: PoolId::from_name(POOL),
            tenant,
            class: ClassId::from_name(class),
            program: ProgramId(u128::from(number % 5_000)),
            attained: Tokens(1 + number % 50_000),
            prompt: Tokens(500 + number % 3_000),
            output: Tokens(256),
            deadline_left: Duration::from_secs(1_000_000),
            avoid: None,
            suspect: false,
        };

        self.step(QueueEvent::Request {
            request_id: PlaceRequestId { host: HostId(1), number },
            request,
        });
    }

    fn end_oldest(&mut self) {
        let Some(request_id) = self.granted.pop_front() else { return };
        let release = PlaceRelease {
            outcome: PlaceOutcome::Finished,
            computed_prompt: Tokens(200),
            output: Tokens(100),
            program_ended: false,
        };

        self.step(QueueEvent::Release { request_id, release });
    }
}
