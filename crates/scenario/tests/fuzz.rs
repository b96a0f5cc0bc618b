//! Random faults against whole hosts, judged by a simple oracle.
//!
//! Three zones, four hosts, three programs of two tenants. After each case all is healed;
//! then [`check`] judges what callers, targets and operators saw. `CAMPHORWALK_FUZZ_CASES`
//! sets the number of cases.

use std::time::Duration;

use camphorwalk_core::calls::{CallRequest, OpenRequest, Reply, Request};
use camphorwalk_core::config::Config;
use camphorwalk_core::hash::digest;
use camphorwalk_core::ids::{KeyId, ProgramId, TenantId};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::scheduler::OperatorRequest;
use camphorwalk_scenario::checks;
use camphorwalk_scenario::declared::{TEMPLATE, TenantSpec, config};
use camphorwalk_scenario::record::{Record, instant};
use camphorwalk_scenario::world::faults::{
    Harm, PLATFORM, POISON, PlatformMode, Point, TargetMode, Trap,
};
use camphorwalk_scenario::world::{State, World};
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// The variable that sets the number of cases.
const CASES_VAR: &str = "CAMPHORWALK_FUZZ_CASES";

/// The number of cases if nothing sets it.
const CASES: u32 = 50;

/// The number of steps of a case.
const STEPS: usize = 50;

const HOSTS: [&str; 4] = ["a1", "a2", "b1", "c1"];
const ZONES: [&str; 3] = ["a", "b", "c"];

/// The programs, with the tenant and the key of each.
const PROGRAMS: [(&str, &str, &str); 3] = [("P", "t1", "k1"), ("Q", "t1", "k2"), ("R", "t2", "k3")];

/// The rates and bursts of the tenants.
const RATES: [(&str, f64, u32); 2] = [("t1", 3.0, 6), ("t2", 50.0, 50)];

/// How long the fleet has to come up.
const COMES_UP: Duration = Duration::from_secs(10);

/// How long after the start the programs' callers wait.
const DEADLINE: Duration = Duration::from_secs(150);

/// How long the fleet has to settle once all is healed.
const SETTLES: Duration = Duration::from_secs(20);

/// How soon a withdrawn key stops working.
const WITHDRAWN_WITHIN: Duration = Duration::from_secs(4);

/// How long faults must be over for a withdrawal to have a path to all hosts.
const CALM: Duration = Duration::from_secs(10);

/// Something that happens.
#[derive(Clone, Debug)]
enum Op {
    /// A new call, at one host or two at once.
    Call {
        program: usize,
        deposit: bool,
        poison: bool,
        hosts: Vec<usize>,
    },
    /// One of the last calls once more, at another host.
    Repeat {
        program: usize,
        back: usize,
        host: usize,
    },
    /// Somebody reads a program's history.
    History {
        program: usize,
        host: usize,
    },
    /// The callers of a program's last call go away.
    Leave {
        program: usize,
    },
    Kill {
        host: usize,
    },
    Restart {
        host: usize,
    },
    Pause {
        host: usize,
        millis: u64,
    },
    Drain {
        host: usize,
    },
    CutZones {
        a: usize,
        b: usize,
    },
    CutPlatform {
        zone: usize,
    },
    Heal,
    Platform {
        zone: usize,
        mode: PlatformMode,
    },
    Target {
        deposit: bool,
        mode: TargetMode,
    },
    Trap(Trap),
    /// One operator publishes, or two at once.
    Publish {
        hosts: Vec<usize>,
    },
    Withdraw {
        host: usize,
    },
    Run {
        millis: u64,
    },
}

/// What the programs' callers know.
#[derive(Default)]
struct Known {
    id: Option<ProgramId>,
    head: u32,
    tail: Option<Box<str>>,
    calls: Vec<CallRequest>,
    last: Vec<u64>,
}

/// The hosts and their callers.
struct Sut {
    world: World,
    config: Config,
    programs: [Known; 3],
    /// The last time at which a fault was in force.
    troubled: Instant,
    /// Whether the platform or a cut is in the way.
    in_the_way: bool,
    /// Keys that had to be out of use from some time on.
    stopped: Vec<(KeyId, Instant)>,
}

/// Any step may follow any other, so nothing needs to be known of the ones before.
struct AnyOrder;

impl ReferenceStateMachine for AnyOrder {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        let host = || 0..HOSTS.len();
        let program = || 0..PROGRAMS.len();
        let platform = prop_oneof![
            Just(PlatformMode::Ok),
            Just(PlatformMode::Refuse),
            Just(PlatformMode::Slow(Duration::from_millis(300))),
            Just(PlatformMode::Slow(Duration::from_millis(900))),
            Just(PlatformMode::Lost(Duration::ZERO)),
            Just(PlatformMode::Lost(Duration::from_secs(2))),
        ];
        let target = prop_oneof![
            Just(TargetMode::Ok),
            Just(TargetMode::Slow(Duration::from_secs(3))),
            Just(TargetMode::CloseBefore),
            Just(TargetMode::CloseAfter),
            Just(TargetMode::Refuse),
        ];
        let point = prop_oneof![Just(Point::Intent), Just(Point::Send), Just(Point::Outcome)];
        let harm = prop_oneof![
            Just(Harm::Kill),
            (500_u64..15_000).prop_map(|ms| Harm::Pause(Duration::from_millis(ms))),
        ];
        let hosts = || proptest::collection::vec(host(), 1..3);

        prop_oneof![
            14 => (program(), any::<bool>(), proptest::bool::weighted(0.05), hosts()).prop_map(
                |(program, deposit, poison, hosts)| Op::Call { program, deposit, poison, hosts }
            ),
            8 => (program(), 0..3_usize, host())
                .prop_map(|(program, back, host)| Op::Repeat { program, back, host }),
            2 => (program(), host()).prop_map(|(program, host)| Op::History { program, host }),
            1 => program().prop_map(|program| Op::Leave { program }),
            1 => host().prop_map(|host| Op::Kill { host }),
            3 => host().prop_map(|host| Op::Restart { host }),
            2 => (host(), 200_u64..15_000).prop_map(|(host, millis)| Op::Pause { host, millis }),
            1 => host().prop_map(|host| Op::Drain { host }),
            1 => (0..3_usize, 0..3_usize).prop_map(|(a, b)| Op::CutZones { a, b }),
            1 => (0..3_usize).prop_map(|zone| Op::CutPlatform { zone }),
            2 => Just(Op::Heal),
            2 => (0..3_usize, platform).prop_map(|(zone, mode)| Op::Platform { zone, mode }),
            2 => (any::<bool>(), target)
                .prop_map(|(deposit, mode)| Op::Target { deposit, mode }),
            3 => (point, any::<bool>(), harm)
                .prop_map(|(point, after, harm)| Op::Trap(Trap { point, after, harm })),
            1 => hosts().prop_map(|hosts| Op::Publish { hosts }),
            1 => host().prop_map(|host| Op::Withdraw { host }),
            14 => (1_u64..3_000).prop_map(|millis| Op::Run { millis }),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Op) {
        state
    }
}

/// The test machine.
struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = Sut;
    type Reference = AnyOrder;

    fn init_test((): &()) -> Sut {
        Sut::start()
    }

    fn apply(mut sut: Sut, (): &(), op: Op) -> Sut {
        sut.apply(op);
        sut
    }

    fn check_invariants(sut: &Sut, (): &()) {
        let record = &sut.world.record;
        checks::check_ledger(record).unwrap();
        checks::check_versions(record).unwrap();
    }

    fn teardown(mut sut: Sut) {
        let histories = sut.settle();
        check(&sut, &histories);
    }
}

/// Judges a case: all of what must hold, in one place.
fn check(sut: &Sut, histories: &[(u64, ProgramId)]) {
    let record = &sut.world.record;

    // At most one run, true refusals, one answer each, one outcome each, versions upward.
    checks::check_all(record, sut.world.now()).unwrap();

    // Histories in order, of own calls only, with all that was said to be stored.
    for (number, program) in histories {
        match record.submissions[number].answer() {
            Some(Reply::History { calls }) => {
                checks::check_history(record, *program, calls).unwrap();
            }
            other => panic!("the last history of {program} is {other:?}"),
        }
    }
    check_growth(record);

    // From the first configuration on, never more calls than burst and rate allow.
    let start = record.adopted.first().expect("the fleet came up").0;
    for (tenant, rate, burst) in RATES {
        for (index, at) in checks::admitted(record, tenant).iter().enumerate() {
            let most = f64::from(burst) + rate * at.since(start).as_secs_f64();
            assert!((index + 1) as f64 <= most, "{tenant}: {} calls, at most {most}", index + 1);
        }
    }

    // Where a withdrawal had a path to all hosts, nothing is sent with the key any more.
    for (key, from) in &sut.stopped {
        let late = record.sent.iter().find(|sent| sent.key == *key && sent.at > *from);
        assert!(late.is_none(), "withdrawn by {from:?}: {late:?}");
    }
}

/// A history asked for after an earlier one was answered begins with it.
fn check_growth(record: &Record) {
    let histories = || {
        record.submissions.values().filter_map(|s| match (&s.request, s.answers.first()) {
            (Request::History { program, .. }, Some((at, Reply::History { calls }))) => {
                Some((*program, s.at, *at, calls))
            }
            _ => None,
        })
    };

    for (program, _, answered, earlier) in histories() {
        for (_, _, _, later) in histories().filter(|h| h.0 == program && h.1 > answered) {
            checks::check_prefix(earlier, later).unwrap();
        }
    }
}

impl Sut {
    fn start() -> Self {
        let hosts: Vec<_> = HOSTS.iter().map(|name| ((*name).into(), name[..1].into())).collect();
        let tenant = |(name, rate, burst): &(&str, f64, u32)| TenantSpec {
            name: (*name).into(),
            rate: *rate,
            burst: *burst,
            keys: keys_of(name),
        };
        let tenants: Vec<_> = RATES.iter().map(tenant).collect();
        let config = config(&ZONES.iter().map(|zone| (*zone).into()).collect(), &tenants);
        let mut sut = Self {
            world: World::start(&hosts, &config),
            config,
            programs: Default::default(),
            troubled: Instant::default(),
            in_the_way: false,
            stopped: Vec::new(),
        };

        sut.run_until(instant(COMES_UP));
        for (index, (name, tenant, key)) in PROGRAMS.into_iter().enumerate() {
            let id = ProgramId::from_open_key(TenantId::from_name(tenant), name);
            sut.programs[index].id = Some(id);
            let open = OpenRequest {
                program: id,
                template: TEMPLATE.into(),
                deadline: DEADLINE,
                parent: None,
                repeatable: true,
            };
            sut.world.request(index, tenant, key, Request::Open(open), DEADLINE);
        }
        sut.run_until(instant(COMES_UP + Duration::from_secs(1)));

        sut
    }

    fn run_until(&mut self, end: Instant) {
        while !self.world.run_until(end) {
            self.take_answers();
        }
        self.take_answers();

        let stopped = |host| self.world.state(host) != State::Up;
        if self.in_the_way || (0..HOSTS.len()).any(stopped) {
            self.troubled = self.world.now();
        }
    }

    /// Callers learn the head and the tail from the answers to their last calls.
    fn take_answers(&mut self) {
        for known in &mut self.programs {
            for number in &known.last {
                if let Some(Reply::Called(called)) = self.world.record.submissions[number].answer()
                    && called.call > known.head
                {
                    known.head = called.call;
                    known.tail = called.tail.clone();
                }
            }
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Call { program, deposit, poison, hosts } => {
                let call = self.new_call(program, deposit, poison);
                self.programs[program].calls.push(call.clone());
                self.programs[program].last.clear();
                hosts.into_iter().for_each(|host| self.send(program, call.clone(), host));
            }
            Op::Repeat { program, back, host } => {
                let calls = &self.programs[program].calls;
                if let Some(call) = calls.iter().rev().nth(back).cloned() {
                    self.send(program, call, host);
                }
            }
            Op::History { program, host } => {
                self.history(program, host);
            }
            Op::Leave { program } => {
                let last = self.programs[program].last.clone();
                last.into_iter().for_each(|number| self.world.leave(number));
            }
            Op::Kill { host } => self.world.kill(host),
            Op::Restart { host } => self.world.restart(host),
            Op::Pause { host, millis } => {
                self.world.pause(host, Some(Duration::from_millis(millis)));
            }
            Op::Drain { host } => self.world.drain(host),
            Op::CutZones { a, b } if a != b => self.cut(ZONES[a], ZONES[b]),
            Op::CutZones { .. } => {}
            Op::CutPlatform { zone } => self.cut(ZONES[zone], PLATFORM),
            Op::Heal => {
                self.world.heal();
                ZONES.iter().for_each(|zone| self.world.set_platform(zone, PlatformMode::Ok));
                self.in_the_way = false;
            }
            Op::Platform { zone, mode } => {
                self.world.set_platform(ZONES[zone], mode);
                self.in_the_way |= mode != PlatformMode::Ok;
            }
            Op::Target { deposit, mode } => {
                self.world.set_target(if deposit { "deposit" } else { "model" }, mode);
            }
            Op::Trap(trap) => self.world.set_trap(trap),
            Op::Publish { hosts } => {
                for (index, host) in hosts.into_iter().enumerate() {
                    let base = self.world.version(host);
                    let mut config = self.config.clone();
                    config.templates[0].max_calls += base as u32 * 2 + index as u32;
                    self.world.publish(host, base, config);
                }
            }
            Op::Withdraw { host } => self.withdraw(host),
            Op::Run { millis } => {
                self.run_until(self.world.now() + Duration::from_millis(millis));
            }
        }
        self.run_until(self.world.now() + Duration::from_millis(5));
    }

    fn cut(&mut self, a: &str, b: &str) {
        self.world.cut(a, b);
        self.in_the_way = true;
    }

    /// Withdraws the key of the second program.
    fn withdraw(&mut self, host: usize) {
        let key = PROGRAMS[1].2;
        let now = self.world.now();
        self.world.operate(host, OperatorRequest::Withdraw { key: key.into() });
        if self.troubled + CALM > now || self.in_the_way {
            return;
        }

        // It has a path only if nothing goes wrong while it spreads.
        self.run_until(now + WITHDRAWN_WITHIN);
        if self.troubled < now {
            self.stopped.push((KeyId::from_name(key), now + WITHDRAWN_WITHIN));
        }
    }

    fn new_call(&self, program: usize, deposit: bool, poison: bool) -> CallRequest {
        let known = &self.programs[program];
        let target = if deposit { "deposit" } else { "model" };
        let key = format!("{}-{}", PROGRAMS[program].0, known.calls.len());
        let word = if poison && !deposit { POISON } else { "words" };
        let input = format!("\"{key}/{word}\"");

        CallRequest {
            program: known.id.expect("it is opened"),
            key: key.into(),
            after: known.head,
            target: target.into(),
            body: digest(&[target.as_bytes(), input.as_bytes()]),
            input: input.into(),
            max_tokens: None,
            stream: false,
            tail: None,
        }
    }

    fn send(&mut self, program: usize, mut call: CallRequest, host: usize) {
        let (_, tenant, key) = PROGRAMS[program];
        let known = &mut self.programs[program];
        call.tail = known.tail.clone();
        // The balancer sends nothing to a host that is gone.
        let up = |host: &usize| self.world.state(*host) != State::Down;
        let host = (host..host + HOSTS.len()).map(|h| h % HOSTS.len()).find(up).unwrap_or(host);
        let deadline = instant(COMES_UP + DEADLINE).since(self.world.now());
        let number = self.world.request(host, tenant, key, Request::Call(call), deadline);
        known.last.push(number);
    }

    fn history(&mut self, program: usize, host: usize) -> u64 {
        let (_, tenant, _) = PROGRAMS[program];
        // The first program's key is never withdrawn, and is its tenant's.
        let key = PROGRAMS.iter().find(|(_, t, _)| *t == tenant).expect("it has one").2;
        let id = self.programs[program].id.expect("it is opened");
        let request = Request::History { program: id, from: 1 };

        self.world.request(host, tenant, key, request, Duration::from_secs(30))
    }

    /// Heals all, lets the fleet settle, and asks for all histories.
    fn settle(&mut self) -> Vec<(u64, ProgramId)> {
        self.world.forget_traps();
        self.apply(Op::Heal);
        self.apply(Op::Target { deposit: true, mode: TargetMode::Ok });
        self.apply(Op::Target { deposit: false, mode: TargetMode::Ok });
        for host in 0..HOSTS.len() {
            self.world.resume(host);
            if self.world.state(host) == State::Down {
                self.world.restart(host);
            }
        }
        self.run_until(self.world.now() + SETTLES);

        // A host told to leave late may still be at it: its callers are sent elsewhere.
        for host in 0..HOSTS.len() {
            if self.world.state(host) == State::Down {
                self.world.restart(host);
            }
        }
        self.run_until(self.world.now() + SETTLES);
        let host = (0..HOSTS.len()).find(|host| self.world.is_ready(*host));
        let host = host.expect("a host serves");
        let numbers: Vec<_> = (0..PROGRAMS.len())
            .map(|program| {
                let id = self.programs[program].id.expect("it is opened");
                (self.history(program, host), id)
            })
            .collect();
        self.run_until(self.world.now() + Duration::from_secs(2));
        let end = instant(COMES_UP + DEADLINE + checks::ANSWER_BOUND + Duration::from_secs(1));
        self.run_until(end.max(self.world.now()));

        numbers
    }
}

/// Returns the keys of a tenant.
fn keys_of(tenant: &str) -> Vec<Box<str>> {
    PROGRAMS.iter().filter(|(_, t, _)| *t == tenant).map(|(_, _, key)| (*key).into()).collect()
}

/// Returns the fixed seed and the number of cases.
fn fuzz_config() -> ProptestConfig {
    let cases = std::env::var(CASES_VAR).ok().and_then(|text| text.parse().ok());

    ProptestConfig {
        cases: cases.unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        max_shrink_iters: 120,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn hosts_keep_what_they_promise(sequential STEPS..STEPS + 1 => Fuzz);
}
