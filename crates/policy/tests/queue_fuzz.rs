//! Runs random requests, releases and faults against a simple model of the queues.
//!
//! The model records all requests, the answers to them and the granted places. After each step it
//! checks that no window is exceeded (a release may be lost, late or repeated), that each request
//! is answered once, that leaving targets receive no calls, that no place is lost and that no
//! lane starves. `CAMPHORWALK_FUZZ_CASES` sets the number of sequences.

mod queue_support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use camphorwalk_core::config::Target;
use camphorwalk_core::ids::{ClassId, HostId, PoolId, ProgramId, TargetId, TenantId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;
use camphorwalk_policy::queue::{QueueAction, QueueEvent};
use camphorwalk_policy::shared_types::{PlaceOutcome, PlaceRelease, PlaceRequest, PlaceRequestId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use queue_support::{Fixture, request, target};

/// The targets: name, zone, window and pool. Pool `s` consists of plain services.
const TARGETS: [(&str, &str, u32, &str); 5] = [
    ("t1", "a", 3, "m"),
    ("t2", "a", 2, "m"),
    ("t3", "a", 1, "m"),
    ("far", "b", 4, "m"),
    ("service", "a", 2, "s"),
];

/// Maximum number of calls that this zone may have in flight at the target in the other zone.
const REMOTE_CAP: u32 = 2;

const TENANTS: [&str; 3] = ["x", "y", "z"];
const CLASSES: [&str; 2] = ["arrival", "chat"];

/// How long after its call's deadline a place may stay granted.
const RELEASE_GRACE: Duration = Duration::from_secs(5);

/// Each of the six lanes with a call that can be placed receives a grant within 8 grants for each
/// lane. The factor 2 allows for calls that wait for a busy target with their prefix.
const STARVATION_LIMIT: u32 = 2 * 8 * 6;

#[derive(Clone, Debug)]
enum Transition {
    Request {
        tenant: usize,
        class: usize,
        pool: &'static str,
        program: u8,
        size: u16,
        seconds: u8,
        suspect: bool,
    },
    /// Sends a request again, possibly long after it was answered or withdrawn.
    Resend(prop::sample::Index),
    Release {
        index: prop::sample::Index,
        outcome: PlaceOutcome,
        program_ended: bool,
    },
    /// Releases a place again, or releases for a request that was refused.
    RepeatRelease(prop::sample::Index),
    HostGone(u8),
    /// Sets which targets are leaving.
    Leaving([bool; 5]),
    Load {
        target: usize,
        waiting: u32,
    },
    Evicted {
        target: usize,
        program: u8,
    },
    Advance(u16),
}

/// The transitions do not depend on a reference state: any of them may occur at any time.
#[derive(Clone, Debug)]
struct AnyTransition;

impl ReferenceStateMachine for AnyTransition {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Transition> {
        let index = any::<prop::sample::Index>;
        let outcome = prop_oneof![
            1 => Just(PlaceOutcome::NotSent),
            1 => Just(PlaceOutcome::Failed),
            1 => Just(PlaceOutcome::Crashed),
            6 => Just(PlaceOutcome::Finished),
        ];
        let ask = (
            0..3_usize,
            0..2_usize,
            prop::sample::select(&["m", "m", "s"]),
            0..20_u8,
            1..4_000_u16,
            1..60_u8,
            prop::bool::weighted(0.05),
        );

        prop_oneof![
            20 => ask.prop_map(|(tenant, class, pool, program, size, seconds, suspect)| {
                Transition::Request { tenant, class, pool, program, size, seconds, suspect }
            }),
            2 => index().prop_map(Transition::Resend),
            16 => (index(), outcome, any::<bool>())
                .prop_map(
                    |(index, outcome, program_ended)| Transition::Release { index, outcome, program_ended },
                ),
            2 => index().prop_map(Transition::RepeatRelease),
            1 => (0..3_u8).prop_map(Transition::HostGone),
            1 => any::<[bool; 5]>().prop_map(Transition::Leaving),
            1 => (0..5_usize, 0..3_u32)
                .prop_map(|(target, waiting)| Transition::Load { target, waiting }),
            1 => (0..5_usize, 0..20_u8)
                .prop_map(|(target, program)| Transition::Evicted { target, program }),
            3 => (1..3_000_u16).prop_map(Transition::Advance),
        ]
        .boxed()
    }

    fn apply(_: (), _: &Transition) {}
}

/// A place request in the model.
#[derive(Clone, Copy, Debug)]
struct RequestRecord {
    request: PlaceRequest,
    deadline: Instant,
    answer: Answer,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Waiting,
    Granted(TargetId),
    Refused,
    /// Withdrawn, released, or lost with its host.
    Ended,
}

/// The queues under test and the model.
struct CheckedQueues {
    fixture: Fixture,
    requests: BTreeMap<PlaceRequestId, RequestRecord>,
    leaving: [bool; 5],
    /// For each waiting lane, the number of grants to other lanes since its last one.
    passed_over: BTreeMap<LaneKey, u32>,
}

impl CheckedQueues {
    fn targets(leaving: [bool; 5]) -> Vec<Target> {
        let make = |((name, zone, window, pool), leaving): ((_, _, _, &str), bool)| Target {
            pool: pool.into(),
            leaving,
            cache_tokens: if pool == "s" { Tokens(0) } else { Tokens(10_000) },
            ..target(name, zone, window)
        };

        TARGETS.into_iter().zip(leaving).map(make).collect()
    }

    fn step(&mut self, event: QueueEvent) {
        let out = self.fixture.step(event);
        self.apply_decisions(out);
    }

    /// Applies the decisions of the queues to the model.
    fn apply_decisions(&mut self, out: Vec<QueueAction>) {
        for next in out {
            match next {
                QueueAction::Grant { request_id, target } => self.granted(request_id, target),
                QueueAction::Refuse { request_id, retry_after } => {
                    assert!(retry_after > Duration::ZERO);
                    self.answer(request_id, Answer::Refused);
                }
            }
        }
    }

    fn answer(&mut self, request_id: PlaceRequestId, answer: Answer) {
        let record =
            self.requests.get_mut(&request_id).expect("answer to a request that was never sent");
        assert_eq!(record.answer, Answer::Waiting, "answered twice: {request_id:?}");
        record.answer = answer;
    }

    fn granted(&mut self, request_id: PlaceRequestId, target: TargetId) {
        // A request that was sent again may get the same grant again.
        if self.requests[&request_id].answer == Answer::Granted(target) {
            return;
        }

        let at = TARGETS.iter().position(|known| TargetId::from_name(known.0) == target).unwrap();
        assert!(!self.leaving[at], "a leaving target received a call");
        let pool = PoolId::from_name(TARGETS[at].3);
        assert_eq!(
            self.requests[&request_id].request.pool, pool,
            "placed at a target of another pool"
        );

        let beside: Vec<&RequestRecord> = self.placed_at(target).collect();
        let limit = if TARGETS[at].1 == "a" { TARGETS[at].2 } else { REMOTE_CAP };
        assert!(beside.len() < limit as usize, "window exceeded at {}", TARGETS[at].0);
        assert!(
            beside.iter().all(|record| !record.request.suspect),
            "placed beside a suspect call"
        );
        let suspect = self.requests[&request_id].request.suspect;
        assert!(!suspect || beside.is_empty(), "a suspect does not run alone");

        self.answer(request_id, Answer::Granted(target));
        self.count_grant(request_id);
    }

    fn count_grant(&mut self, request_id: PlaceRequestId) {
        let granted = lane(&self.requests[&request_id]);
        let waiting = self.requests.values().filter(|record| record.answer == Answer::Waiting);
        let waiting: BTreeSet<LaneKey> = waiting.map(lane).collect();

        self.passed_over.retain(|lane, _| waiting.contains(lane));
        self.passed_over.remove(&granted);

        for lane in waiting.into_iter().filter(|lane| lane.0 == granted.0) {
            let count = self.passed_over.entry(lane).or_default();
            *count += 1;
            assert!(*count <= STARVATION_LIMIT, "lane {lane:?} is starved");
        }
    }

    fn placed_at(&self, target: TargetId) -> impl Iterator<Item = &RequestRecord> {
        self.requests.values().filter(move |record| record.answer == Answer::Granted(target))
    }

    /// Returns the requests that are waiting or hold a place.
    fn active(&self) -> Vec<PlaceRequestId> {
        let active = self
            .requests
            .iter()
            .filter(|(_, record)| matches!(record.answer, Answer::Waiting | Answer::Granted(_)));

        active.map(|(request_id, _)| *request_id).collect()
    }

    fn request_place(&mut self, request_id: PlaceRequestId, request: PlaceRequest) {
        let deadline = self.fixture.now + request.deadline_left;
        self.requests
            .insert(request_id, RequestRecord { request, deadline, answer: Answer::Waiting });
        self.step(QueueEvent::Request { request_id, request });
    }

    fn resend(&mut self, request_id: PlaceRequestId) {
        let RequestRecord { request, deadline, answer } = self.requests[&request_id];
        let deadline_left = deadline.since(self.fixture.now);
        let request = PlaceRequest { deadline_left, ..request };

        // The queues treat a request that was already answered or withdrawn as a new one. It must
        // not leak: it is answered, or its place is released by the deadline.
        match answer {
            Answer::Refused | Answer::Ended => self.request_place(request_id, request),
            Answer::Waiting | Answer::Granted(_) => {
                self.step(QueueEvent::Request { request_id, request })
            }
        }
    }

    fn release(&mut self, request_id: PlaceRequestId, outcome: PlaceOutcome, program_ended: bool) {
        let computed_prompt = self.requests[&request_id].request.prompt;
        let release = PlaceRelease { outcome, computed_prompt, output: Tokens(50), program_ended };

        self.requests.get_mut(&request_id).unwrap().answer = Answer::Ended;
        self.step(QueueEvent::Release { request_id, release });
    }

    fn host_gone(&mut self, host: HostId) {
        let gone = self.requests.iter_mut().filter(|(request_id, record)| {
            request_id.host == host && matches!(record.answer, Answer::Waiting | Answer::Granted(_))
        });

        gone.for_each(|(_, record)| record.answer = Answer::Ended);
        self.step(QueueEvent::HostGone(host));
    }

    /// Advances the clock from one wake-up to the next.
    fn advance(&mut self, time: Duration) {
        let until = self.fixture.now + time;

        while let Some(at) = self.fixture.queues.wake_at().filter(|at| *at <= until) {
            assert!(at > self.fixture.now, "the next wake-up is not in the future");
            self.fixture.now = at;
            self.release_expired();
            self.step(QueueEvent::Wake);
        }

        self.fixture.now = until;
    }

    /// Removes the places that were not released in time, as the queues do.
    fn release_expired(&mut self) {
        let now = self.fixture.now;
        let expired = self.requests.values_mut().filter(|record| {
            matches!(record.answer, Answer::Granted(_)) && record.deadline + RELEASE_GRACE <= now
        });

        expired.for_each(|record| record.answer = Answer::Ended);
    }

    fn check(&self) {
        let granted = |record: &&RequestRecord| matches!(record.answer, Answer::Granted(_));
        let waiting = |record: &&RequestRecord| record.answer == Answer::Waiting;
        let queues = &self.fixture.queues;

        assert_eq!(queues.granted_places(), self.requests.values().filter(granted).count());
        assert_eq!(queues.waiting(), self.requests.values().filter(waiting).count());

        for (name, ..) in TARGETS {
            let id = TargetId::from_name(name);
            assert_eq!(
                queues.in_flight(id) as usize,
                self.placed_at(id).count(),
                "calls in flight at {name}"
            );
        }
    }
}

/// A pool, a tenant and a class.
type LaneKey = (PoolId, TenantId, ClassId);

fn lane(record: &RequestRecord) -> LaneKey {
    (record.request.pool, record.request.tenant, record.request.class)
}

impl StateMachineTest for CheckedQueues {
    type SystemUnderTest = Self;
    type Reference = AnyTransition;

    fn init_test(_: &()) -> Self {
        let leaving = [false; 5];
        let fixture = Fixture::new(Self::targets(leaving));

        Self { fixture, requests: BTreeMap::new(), leaving, passed_over: BTreeMap::new() }
    }

    fn apply(mut state: Self, _: &(), transition: Transition) -> Self {
        let asked: Vec<PlaceRequestId> = state.requests.keys().copied().collect();
        let active = state.active();

        match transition {
            Transition::Request { tenant, class, pool, program, size, seconds, suspect } => {
                let number = asked.len() as u64;
                let request = PlaceRequest {
                    pool: PoolId::from_name(pool),
                    attained: Tokens(u64::from(program) * 500),
                    prompt: Tokens(size.into()),
                    deadline_left: Duration::from_secs(seconds.into()),
                    suspect,
                    ..request(TENANTS[tenant], CLASSES[class], program.into())
                };
                state.request_place(PlaceRequestId { host: HostId(number % 3), number }, request);
            }
            Transition::Resend(index) if !asked.is_empty() => state.resend(*index.get(&asked)),
            Transition::Release { index, outcome, program_ended } if !active.is_empty() => {
                state.release(*index.get(&active), outcome, program_ended);
            }
            Transition::RepeatRelease(index) if !asked.is_empty() => {
                let request_id = *index.get(&asked);

                if !active.contains(&request_id) {
                    state.step(QueueEvent::Release { request_id, release: REPEATED_RELEASE });
                }
            }
            Transition::HostGone(host) => state.host_gone(HostId(host.into())),
            Transition::Leaving(leaving) => {
                state.leaving = leaving;
                let out = state.fixture.configure(Self::targets(leaving));
                state.apply_decisions(out);
            }
            Transition::Load { target, waiting } => {
                let out = state.fixture.report_load(TARGETS[target].0, waiting);
                state.apply_decisions(out);
            }
            Transition::Evicted { target, program } => {
                let target = TargetId::from_name(TARGETS[target].0);
                state.step(QueueEvent::Evicted { target, program: ProgramId(program.into()) });
            }
            Transition::Advance(millis) => state.advance(Duration::from_millis(millis.into())),
            // There is no request to choose from yet.
            Transition::Resend(_) | Transition::Release { .. } | Transition::RepeatRelease(_) => {}
        }

        state
    }

    fn check_invariants(state: &Self, _: &()) {
        state.check();
    }

    /// After enough time has passed, every request is answered and every place is released.
    fn teardown(mut state: Self) {
        state.advance(Duration::from_secs(200));

        assert_eq!((state.fixture.queues.waiting(), state.fixture.queues.granted_places()), (0, 0));
        assert_eq!(state.active(), []);
    }
}

const REPEATED_RELEASE: PlaceRelease = PlaceRelease {
    outcome: PlaceOutcome::Finished,
    computed_prompt: Tokens(0),
    output: Tokens(0),
    program_ended: false,
};

fn fuzz_config() -> Config {
    let cases = std::env::var("CAMPHORWALK_FUZZ_CASES").ok().and_then(|text| text.parse().ok());

    Config {
        cases: cases.unwrap_or(64),
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x00ca_3f02),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn queues_keep_their_invariants_under_random_faults(sequential 1..300 => CheckedQueues);
}
