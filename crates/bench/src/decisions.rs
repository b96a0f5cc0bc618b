//! Measures how many scheduling decisions per second the queues make, by the number of waiting
//! calls.

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

/// The numbers of waiting calls to measure.
const WAITING_CALLS: [u64; 4] = [10, 100, 1_000, 10_000];

/// The number of rounds of one measurement. In each round a call ends, the queue grants its place
/// at a target to a waiting call, and a new call requests a place.
const ROUNDS: u64 = 20_000;

/// The virtual time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(1);

/// The cost of decisions with a number of waiting calls.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DecisionRate {
    /// The number of calls that wait, constant during the measurement.
    pub waiting: u64,
    /// The number of targets in the pool.
    pub targets: usize,
    /// The number of tenants whose calls wait.
    pub tenants: usize,
    /// Events processed per second: one request and one release for each grant.
    pub events_per_second: f64,
    /// Microseconds per call, for its request, its grant and its release.
    pub micros_per_call: f64,
}

/// Measures the queues of a pool with this many targets and tenants. It uses the wall clock, so the
/// results differ from run to run.
pub fn measure(targets: usize, tenants: usize) -> Vec<DecisionRate> {
    WAITING_CALLS.iter().map(|waiting| measure_one(*waiting, targets, tenants)).collect()
}

fn measure_one(waiting: u64, targets: usize, tenants: usize) -> DecisionRate {
    let mut load = SteadyLoad::new(targets, tenants);
    let places = load.places;
    (0..places + waiting).for_each(|_| load.request_place());

    let start = WallClock::now();

    for _ in 0..ROUNDS {
        load.now = load.now + ROUND_INTERVAL;
        load.release_oldest();
        load.request_place();
    }

    let seconds = start.elapsed().as_secs_f64();
    assert_eq!(load.request_count - places - waiting, ROUNDS);
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
struct SteadyLoad {
    scheduler: Scheduler,
    now: Instant,
    places: u64,
    tenants: u64,
    request_count: u64,
    granted: std::collections::VecDeque<PlaceRequestId>,
    out: Vec<QueueAction>,
}

impl SteadyLoad {
    fn new(targets: usize, tenants: usize) -> Self {
        let engines = Engines { count: targets, ..Engines::default() };
        let mut workload = Workload::inkwick();
        workload.tenant_parts = vec![1.0 / tenants as f64; tenants];
        let mut load = Self {
            scheduler: Scheduler::new(Policy::Camphorwalk, engines.window, &[]),
            now: Instant(0),
            places: targets as u64 * u64::from(engines.window),
            tenants: tenants as u64,
            request_count: 0,
            granted: std::collections::VecDeque::new(),
            out: Vec::new(),
        };
        load.step(QueueEvent::Config(Arc::new(config(&workload, &engines))));

        load
    }

    fn step(&mut self, event: QueueEvent) {
        self.scheduler.step(self.now, event, &mut self.out);

        for action in self.out.drain(..) {
            if let QueueAction::Grant { request_id, .. } = action {
                self.granted.push_back(request_id);
            }
        }
    }

    fn request_place(&mut self) {
        let number = self.request_count;
        self.request_count += 1;

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

    fn release_oldest(&mut self) {
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
