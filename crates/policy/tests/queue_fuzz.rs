//! Random questions, ends and faults against a simple oracle.
//!
//! The oracle knows who has asked, what was answered and which places are out; it checks
//! after each step that windows hold (an end may be lost, late or told twice), that each question is answered once, that leaving
//! targets get nothing, that no place is lost and that no tenant is passed over for ever.
//! `CAMPHORWALK_FUZZ_CASES` sets how many sequences are tried.

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
use queue_support::{Bench, request, target};

/// The targets: name, zone, window and pool. The pool `s` is of plain services.
const TARGETS: [(&str, &str, u32, &str); 5] = [
    ("t1", "a", 3, "m"),
    ("t2", "a", 2, "m"),
    ("t3", "a", 1, "m"),
    ("far", "b", 4, "m"),
    ("service", "a", 2, "s"),
];

/// How many calls of this zone may be at the target of the other zone.
const FAR_CAP: u32 = 2;

const TENANTS: [&str; 3] = ["x", "y", "z"];
const CLASSES: [&str; 2] = ["arrival", "chat"];

/// The most time that a place outlives its call's deadline.
const GRACE: Duration = Duration::from_secs(5);

/// A lane is granted a place within one grant in eight for each of the six lanes, if it has a
/// call that can be placed; twice that leaves room for calls that wait for a prefix.
const STARVED: u32 = 2 * 8 * 6;

#[derive(Clone, Debug)]
enum Transition {
    Ask {
        tenant: usize,
        class: usize,
        pool: &'static str,
        program: u8,
        size: u16,
        seconds: u8,
        suspect: bool,
    },
    /// Sends a question once more, perhaps long after it was answered or withdrawn.
    Repeat(prop::sample::Index),
    Vacate {
        which: prop::sample::Index,
        outcome: PlaceOutcome,
        over: bool,
    },
    /// An end is told once more, or for a question that was refused.
    Stale(prop::sample::Index),
    HostGone(u8),
    /// Which targets are leaving.
    Leaving([bool; 5]),
    Load {
        target: usize,
        waiting: u32,
    },
    Evicted {
        target: usize,
        program: u8,
    },
    Pass(u16),
}

/// Transitions need no model to be made: any of them may come at any time.
#[derive(Clone, Debug)]
struct Anything;

impl ReferenceStateMachine for Anything {
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
                Transition::Ask { tenant, class, pool, program, size, seconds, suspect }
            }),
            2 => index().prop_map(Transition::Repeat),
            16 => (index(), outcome, any::<bool>())
                .prop_map(|(which, outcome, over)| Transition::Vacate { which, outcome, over }),
            2 => index().prop_map(Transition::Stale),
            1 => (0..3_u8).prop_map(Transition::HostGone),
            1 => any::<[bool; 5]>().prop_map(Transition::Leaving),
            1 => (0..5_usize, 0..3_u32)
                .prop_map(|(target, waiting)| Transition::Load { target, waiting }),
            1 => (0..5_usize, 0..20_u8)
                .prop_map(|(target, program)| Transition::Evicted { target, program }),
            3 => (1..3_000_u16).prop_map(Transition::Pass),
        ]
        .boxed()
    }

    fn apply(_: (), _: &Transition) {}
}

/// A question as the oracle sees it.
#[derive(Clone, Copy, Debug)]
struct Question {
    request: PlaceRequest,
    deadline: Instant,
    answer: Answer,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Open,
    Granted(TargetId),
    Refused,
    /// Withdrawn, given back, or lost with its host.
    Over,
}

/// The queues and the oracle beside them.
struct Checked {
    bench: Bench,
    questions: BTreeMap<PlaceRequestId, Question>,
    leaving: [bool; 5],
    /// For each lane that waits, the grants to others since its last one.
    passed_over: BTreeMap<LaneKey, u32>,
}

impl Checked {
    fn targets(leaves: [bool; 5]) -> Vec<Target> {
        let make = |((name, zone, window, pool), leaving): ((_, _, _, &str), bool)| Target {
            pool: pool.into(),
            leaving,
            cache_tokens: if pool == "s" { Tokens(0) } else { Tokens(10_000) },
            ..target(name, zone, window)
        };

        TARGETS.into_iter().zip(leaves).map(make).collect()
    }

    fn step(&mut self, event: QueueEvent) {
        let out = self.bench.step(event);
        self.take(out);
    }

    /// Takes in the answers, one by one.
    fn take(&mut self, out: Vec<QueueAction>) {
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
        let question = self.questions.get_mut(&request_id).expect("nobody asked");
        assert_eq!(question.answer, Answer::Open, "answered twice: {request_id:?}");
        question.answer = answer;
    }

    fn granted(&mut self, request_id: PlaceRequestId, target: TargetId) {
        // A question that was sent again gets the same answer again.
        if self.questions[&request_id].answer == Answer::Granted(target) {
            return;
        }

        let at = TARGETS.iter().position(|known| TargetId::from_name(known.0) == target).unwrap();
        assert!(!self.leaving[at], "a leaving target got a call");
        let pool = PoolId::from_name(TARGETS[at].3);
        assert_eq!(self.questions[&request_id].request.pool, pool, "a target of another pool");

        let beside: Vec<&Question> = self.at(target).collect();
        let cap = if TARGETS[at].1 == "a" { TARGETS[at].2 } else { FAR_CAP };
        assert!(beside.len() < cap as usize, "a window is passed at {}", TARGETS[at].0);
        assert!(beside.iter().all(|question| !question.request.suspect), "beside a suspect");
        let suspect = self.questions[&request_id].request.suspect;
        assert!(!suspect || beside.is_empty(), "a suspect does not run alone");

        self.answer(request_id, Answer::Granted(target));
        self.count_grant(request_id);
    }

    fn count_grant(&mut self, request_id: PlaceRequestId) {
        let granted = lane(&self.questions[&request_id]);
        let open = self.questions.values().filter(|question| question.answer == Answer::Open);
        let open: BTreeSet<LaneKey> = open.map(lane).collect();

        self.passed_over.retain(|lane, _| open.contains(lane));
        self.passed_over.remove(&granted);

        for lane in open.into_iter().filter(|lane| lane.0 == granted.0) {
            let count = self.passed_over.entry(lane).or_default();
            *count += 1;
            assert!(*count <= STARVED, "lane {lane:?} is starved");
        }
    }

    fn at(&self, target: TargetId) -> impl Iterator<Item = &Question> {
        self.questions.values().filter(move |question| question.answer == Answer::Granted(target))
    }

    /// Returns the askers whose question is open or whose place is out.
    fn live(&self) -> Vec<PlaceRequestId> {
        let live = self
            .questions
            .iter()
            .filter(|(_, question)| matches!(question.answer, Answer::Open | Answer::Granted(_)));

        live.map(|(request_id, _)| *request_id).collect()
    }

    fn ask(&mut self, request_id: PlaceRequestId, request: PlaceRequest) {
        let deadline = self.bench.now + request.deadline_left;
        self.questions.insert(request_id, Question { request, deadline, answer: Answer::Open });
        self.step(QueueEvent::Request { request_id, request });
    }

    fn repeat(&mut self, request_id: PlaceRequestId) {
        let Question { request, deadline, answer } = self.questions[&request_id];
        let deadline_left = deadline.since(self.bench.now);
        let request = PlaceRequest { deadline_left, ..request };

        // One that was answered or withdrawn is a new question to the queues: it must not
        // leak, so it is answered, or its place comes back, by the deadline.
        match answer {
            Answer::Refused | Answer::Over => self.ask(request_id, request),
            Answer::Open | Answer::Granted(_) => {
                self.step(QueueEvent::Request { request_id, request })
            }
        }
    }

    fn end(&mut self, request_id: PlaceRequestId, outcome: PlaceOutcome, over: bool) {
        let computed_prompt = self.questions[&request_id].request.prompt;
        let end =
            PlaceRelease { outcome, computed_prompt, output: Tokens(50), program_ended: over };

        self.questions.get_mut(&request_id).unwrap().answer = Answer::Over;
        self.step(QueueEvent::Release { request_id, end });
    }

    fn host_gone(&mut self, host: HostId) {
        let gone = self.questions.iter_mut().filter(|(request_id, question)| {
            request_id.host == host && matches!(question.answer, Answer::Open | Answer::Granted(_))
        });

        gone.for_each(|(_, question)| question.answer = Answer::Over);
        self.step(QueueEvent::HostGone(host));
    }

    /// Moves the clock from wake-up to wake-up.
    fn pass(&mut self, time: Duration) {
        let until = self.bench.now + time;

        while let Some(at) = self.bench.queues.wake_at().filter(|at| *at <= until) {
            assert!(at > self.bench.now, "a wake-up that changes nothing");
            self.bench.now = at;
            self.expire();
            self.step(QueueEvent::Wake);
        }

        self.bench.now = until;
    }

    /// Gives up the places that nobody gave back, as the queues do.
    fn expire(&mut self) {
        let now = self.bench.now;
        let expired = self.questions.values_mut().filter(|question| {
            matches!(question.answer, Answer::Granted(_)) && question.deadline + GRACE <= now
        });

        expired.for_each(|question| question.answer = Answer::Over);
    }

    fn check(&self) {
        let granted = |question: &&Question| matches!(question.answer, Answer::Granted(_));
        let open = |question: &&Question| question.answer == Answer::Open;
        let queues = &self.bench.queues;

        assert_eq!(queues.granted_places(), self.questions.values().filter(granted).count());
        assert_eq!(queues.waiting(), self.questions.values().filter(open).count());

        for (name, ..) in TARGETS {
            let id = TargetId::from_name(name);
            assert_eq!(queues.in_flight(id) as usize, self.at(id).count(), "places at {name}");
        }
    }
}

/// A pool, a tenant and a class.
type LaneKey = (PoolId, TenantId, ClassId);

fn lane(question: &Question) -> LaneKey {
    (question.request.pool, question.request.tenant, question.request.class)
}

impl StateMachineTest for Checked {
    type SystemUnderTest = Self;
    type Reference = Anything;

    fn init_test(_: &()) -> Self {
        let leaving = [false; 5];
        let bench = Bench::new(Self::targets(leaving));

        Self { bench, questions: BTreeMap::new(), leaving, passed_over: BTreeMap::new() }
    }

    fn apply(mut state: Self, _: &(), transition: Transition) -> Self {
        let asked: Vec<PlaceRequestId> = state.questions.keys().copied().collect();
        let live = state.live();

        match transition {
            Transition::Ask { tenant, class, pool, program, size, seconds, suspect } => {
                let number = asked.len() as u64;
                let request = PlaceRequest {
                    pool: PoolId::from_name(pool),
                    attained: Tokens(u64::from(program) * 500),
                    prompt: Tokens(size.into()),
                    deadline_left: Duration::from_secs(seconds.into()),
                    suspect,
                    ..request(TENANTS[tenant], CLASSES[class], program.into())
                };
                state.ask(PlaceRequestId { host: HostId(number % 3), number }, request);
            }
            Transition::Repeat(which) if !asked.is_empty() => state.repeat(*which.get(&asked)),
            Transition::Vacate { which, outcome, over } if !live.is_empty() => {
                state.end(*which.get(&live), outcome, over);
            }
            Transition::Stale(which) if !asked.is_empty() => {
                let request_id = *which.get(&asked);

                if !live.contains(&request_id) {
                    state.step(QueueEvent::Release { request_id, end: STALE });
                }
            }
            Transition::HostGone(host) => state.host_gone(HostId(host.into())),
            Transition::Leaving(leaving) => {
                state.leaving = leaving;
                let out = state.bench.configure(Self::targets(leaving));
                state.take(out);
            }
            Transition::Load { target, waiting } => {
                let out = state.bench.load(TARGETS[target].0, waiting);
                state.take(out);
            }
            Transition::Evicted { target, program } => {
                let target = TargetId::from_name(TARGETS[target].0);
                state.step(QueueEvent::Evicted { target, program: ProgramId(program.into()) });
            }
            Transition::Pass(millis) => state.pass(Duration::from_millis(millis.into())),
            // There is no question yet.
            Transition::Repeat(_) | Transition::Vacate { .. } | Transition::Stale(_) => {}
        }

        state
    }

    fn check_invariants(state: &Self, _: &()) {
        state.check();
    }

    /// When time has passed, every question has its answer and every place is back.
    fn teardown(mut state: Self) {
        state.pass(Duration::from_secs(200));

        assert_eq!((state.bench.queues.waiting(), state.bench.queues.granted_places()), (0, 0));
        assert_eq!(state.live(), []);
    }
}

const STALE: PlaceRelease = PlaceRelease {
    outcome: PlaceOutcome::Finished,
    computed_prompt: Tokens(0),
    output: Tokens(0),
    program_ended: false,
};

fn fuzz() -> Config {
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
    #![proptest_config(fuzz())]

    #[test]
    fn queues_keep_their_promises(sequential 1..300 => Checked);
}
