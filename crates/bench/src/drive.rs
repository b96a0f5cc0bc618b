//! Drives one scheduler through one workload in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::ids::{ClassId, HostId, PoolId, ProgramId, TargetId, TenantId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;
use camphorwalk_policy::queue::{LoadReport, QueueAction, QueueEvent};
use camphorwalk_policy::shared_types::{PlaceOutcome, PlaceRelease, PlaceRequest, PlaceRequestId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::engine::{Engine, Sequence};
use crate::fleet::{Engines, POOL, config, target_name, tenant_name};
use crate::scheduler::{Policy, Scheduler};
use crate::workload::{Program, Workload, micros};

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All its turns were served in time.
    Finished,
    /// A turn of it, or of a sub-agent, was refused.
    Refused,
    /// Its caller gave up at the deadline.
    TimedOut,
}

/// What became of a program.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// How it ended, if it did.
    pub end: End,
    /// When, in microseconds.
    pub at: u64,
}

/// What one run showed.
#[derive(Debug)]
pub struct Trace {
    /// What became of each program, in the order of the workload.
    pub outcomes: Vec<Option<Outcome>>,
    /// Prompt tokens computed although an earlier turn of the program had computed them.
    pub recomputed: u64,
    /// Prompt tokens computed in all.
    pub computed: u64,
    /// Tokens that each program was served, its sub-agents not counted.
    pub served: Vec<u64>,
}

/// How programs start.
#[derive(Clone, Copy, Debug)]
pub enum Start {
    /// When they arrive.
    Open,
    /// As many at a time as given; callers wait for ever. Shows the capacity.
    Closed(usize),
}

/// A thing that will happen.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival(usize),
    Turn(usize),
    Iteration(usize),
    Deadline(usize),
    SampleLoad,
    Load(usize, u32, u32, u64),
    Evicted(usize, usize),
    Wake,
}

/// A program under way.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    turn: usize,
    attained: u64,
    children_left: usize,
    pause_over: bool,
    /// The question that is open, and the engine if it was answered.
    asked: Option<u64>,
    engine: Option<usize>,
    deadline: u64,
}

/// One run.
pub struct Drive<'a> {
    workload: &'a Workload,
    programs: &'a [Program],
    engines: Vec<Engine>,
    news: Engines,
    targets: Vec<TargetId>,
    scheduler: Scheduler,
    rng: SmallRng,
    now: u64,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    due_count: u64,
    progress: Vec<Progress>,
    trace: Trace,
    askers: BTreeMap<u64, usize>,
    asked: u64,
    woken: Option<u64>,
    start: Start,
    next_closed: usize,
    out: Vec<QueueAction>,
}

impl<'a> Drive<'a> {
    /// Prepares a run.
    pub fn new(
        policy: Policy,
        workload: &'a Workload,
        programs: &'a [Program],
        engines: Engines,
        start: Start,
        seed: u64,
    ) -> Self {
        let names = (0..engines.count).map(target_name);
        let targets: Vec<TargetId> = names.map(|name| TargetId::from_name(&name)).collect();
        let scheduler = Scheduler::new(policy, engines.window, &targets);

        Self {
            workload,
            programs,
            engines: (0..engines.count).map(|_| Engine::new(engines.shape)).collect(),
            news: engines,
            targets,
            scheduler,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            due: BinaryHeap::new(),
            due_count: 0,
            progress: vec![Progress::default(); programs.len()],
            trace: Trace {
                outcomes: vec![None; programs.len()],
                recomputed: 0,
                computed: 0,
                served: vec![0; programs.len()],
            },
            askers: BTreeMap::new(),
            asked: 0,
            woken: None,
            start,
            next_closed: 0,
            out: Vec::new(),
        }
    }

    /// Runs until nothing is left to happen, or until `until` microseconds.
    pub fn run(mut self, until: u64) -> Trace {
        let config = Arc::new(config(self.workload, &self.news));
        self.tell(QueueEvent::Config(config));
        self.plan(0, Due::SampleLoad);
        self.begin();

        while let Some(Reverse((at, _, due))) = self.due.pop() {
            if at > until {
                break;
            }

            self.now = at;
            self.happen(due);
        }

        self.trace
    }

    fn begin(&mut self) {
        match self.start {
            Start::Open => {
                for (number, program) in self.programs.iter().enumerate() {
                    if program.parent.is_none() {
                        self.plan(program.arrival, Due::Arrival(number));
                    }
                }
            }
            Start::Closed(count) => (0..count).for_each(|_| self.start_next()),
        }
    }

    /// Starts the next program of a closed run.
    fn start_next(&mut self) {
        while let Some(program) = self.programs.get(self.next_closed) {
            self.next_closed += 1;

            if program.parent.is_none() {
                self.plan(self.now, Due::Arrival(self.next_closed - 1));
                return;
            }
        }
    }

    fn plan(&mut self, at: u64, due: Due) {
        self.due_count += 1;
        self.due.push(Reverse((at, self.due_count, due)));
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrival(program) => self.arrive(program),
            Due::Turn(program) => self.pause_over(program),
            Due::Iteration(engine) => self.iterated(engine),
            Due::Deadline(program) => self.end(program, End::TimedOut),
            Due::SampleLoad => self.sample_load(),
            Due::Load(engine, running, waiting, held) => {
                let report = LoadReport { running, waiting, held: Tokens(held) };
                self.tell(QueueEvent::Load { target: self.targets[engine], report });
            }
            Due::Evicted(engine, program) => {
                let (target, program) = (self.targets[engine], program_id(program));
                self.tell(QueueEvent::Evicted { target, program });
            }
            Due::Wake => {
                self.woken = None;
                self.tell(QueueEvent::Wake);
            }
        }
    }

    fn arrive(&mut self, program: usize) {
        let kind = &self.workload.kinds[self.programs[program].kind];
        let parent = self.programs[program].parent;

        // A sub-agent has its parent's deadline, and ends with it.
        self.progress[program].deadline = match (parent, self.start) {
            (Some(parent), _) => self.progress[parent].deadline,
            (None, Start::Open) => self.now + micros(kind.deadline),
            (None, Start::Closed(_)) => u64::MAX / 4,
        };

        // A sub-agent goes on with a program that has been served already.
        self.progress[program].attained = parent.map_or(0, |parent| self.progress[parent].attained);

        if parent.is_none() {
            self.plan(self.progress[program].deadline, Due::Deadline(program));
        }

        self.ask(program);
    }

    fn ask(&mut self, program: usize) {
        let Progress { turn, attained, deadline, .. } = self.progress[program];
        let shape = &self.programs[program];
        let kind = &self.workload.kinds[shape.kind];
        let number = self.asked;
        let request = PlaceRequest {
            pool: PoolId::from_name(POOL),
            tenant: tenant_id(shape.tenant),
            class: ClassId::from_name(kind.class),
            program: program_id(program),
            attained: Tokens(attained),
            prompt: Tokens(shape.turns[turn].prompt),
            output: Tokens(kind.output_max),
            deadline_left: Duration::from_micros(deadline - self.now),
            avoid: None,
            suspect: false,
        };

        self.asked += 1;
        self.askers.insert(number, program);
        self.progress[program].asked = Some(number);
        self.tell(QueueEvent::Request { request_id: request_id(number), request });
    }

    /// Tells the scheduler, and does what it says.
    fn tell(&mut self, event: QueueEvent) {
        let mut out = std::mem::take(&mut self.out);
        self.scheduler.step(Instant(self.now), event, &mut out);

        for next in out.drain(..) {
            match next {
                QueueAction::Grant { request_id, target } => self.granted(request_id, target),
                QueueAction::Refuse { request_id, .. } => self.refused(request_id),
            }
        }

        self.out = out;
        self.plan_wake();
    }

    fn plan_wake(&mut self) {
        let Some(Instant(at)) = self.scheduler.wake_at() else { return };
        let at = at.max(self.now);

        if self.woken.is_none_or(|woken| at < woken) {
            self.woken = Some(at);
            self.plan(at, Due::Wake);
        }
    }

    fn granted(&mut self, request_id: PlaceRequestId, target: TargetId) {
        let Some(program) = self.askers.get(&request_id.number).copied() else { return };
        let Some(engine) = self.targets.iter().position(|known| *known == target) else { return };
        let turn = &self.programs[program].turns[self.progress[program].turn];

        self.progress[program].engine = Some(engine);
        self.engines[engine].send(Sequence::new(
            request_id.number,
            program,
            turn.prompt,
            turn.output,
        ));
        self.iterate(engine);
    }

    fn refused(&mut self, request_id: PlaceRequestId) {
        let Some(program) = self.askers.remove(&request_id.number) else { return };

        self.progress[program].asked = None;
        self.end(self.root(program), End::Refused);
    }

    fn iterate(&mut self, engine: usize) {
        let Some((time, evicted)) = self.engines[engine].begin() else { return };

        self.plan(self.now + time, Due::Iteration(engine));

        for program in evicted {
            self.tell_evicted(engine, program);
        }
    }

    fn tell_evicted(&mut self, engine: usize, program: usize) {
        if self.rng.random::<f64>() >= self.news.event_loss {
            let at = self.now + micros(self.news.event_lag);
            self.plan(at, Due::Evicted(engine, program));
        }
    }

    fn iterated(&mut self, engine: usize) {
        let done = self.engines[engine].finish();

        for sequence in done {
            self.turn_done(sequence);
        }

        self.iterate(engine);
    }

    fn turn_done(&mut self, sequence: Sequence) {
        let program = sequence.program;
        let turn = self.progress[program].turn;
        let known = match turn.checked_sub(1) {
            Some(last) => {
                let last = &self.programs[program].turns[last];
                last.prompt + last.output
            }
            None => 0,
        };
        let fresh = sequence.prompt - known.min(sequence.prompt);

        self.trace.computed += sequence.computed;
        self.trace.recomputed += sequence.computed.saturating_sub(fresh.max(1));
        // As a program's home counts it, whatever the engine had cached.
        self.progress[program].attained += sequence.prompt + sequence.output;
        self.trace.served[program] += sequence.computed + sequence.output;
        self.progress[program].engine = None;
        self.progress[program].asked = None;
        self.askers.remove(&sequence.number);
        self.vacate(sequence.number, PlaceOutcome::Finished, sequence.computed, sequence.output);
        self.after_turn(program, turn);
    }

    fn vacate(&mut self, number: u64, outcome: PlaceOutcome, computed: u64, output: u64) {
        let release = PlaceRelease {
            outcome,
            computed_prompt: Tokens(computed),
            output: Tokens(output),
            program_ended: outcome == PlaceOutcome::Failed || outcome == PlaceOutcome::NotSent,
        };

        self.tell(QueueEvent::Release { request_id: request_id(number), release });
    }

    fn after_turn(&mut self, program: usize, turn: usize) {
        let programs = self.programs;
        let shape = &programs[program].turns[turn];

        if turn + 1 == programs[program].turns.len() {
            self.end(program, End::Finished);
            return;
        }

        self.progress[program].turn += 1;
        self.progress[program].pause_over = false;
        self.progress[program].children_left = shape.children.len();
        self.plan(self.now + shape.pause, Due::Turn(program));

        for child in &shape.children {
            self.arrive(*child);
        }
    }

    fn pause_over(&mut self, program: usize) {
        self.progress[program].pause_over = true;
        self.go_on(program);
    }

    /// Asks for the next turn, once the pause and all sub-agents are over.
    fn go_on(&mut self, program: usize) {
        let Progress { pause_over, children_left, .. } = self.progress[program];

        if self.trace.outcomes[program].is_none() && pause_over && children_left == 0 {
            self.ask(program);
        }
    }

    fn root(&self, program: usize) -> usize {
        self.programs[program].parent.unwrap_or(program)
    }

    /// Ends a program with its sub-agents, and frees what the engines hold for it.
    fn end(&mut self, program: usize, end: End) {
        if self.trace.outcomes[program].is_some() {
            return;
        }

        self.trace.outcomes[program] = Some(Outcome { end, at: self.now });
        self.give_up(program);
        self.free(program);

        let programs = self.programs;
        let turn = &programs[program].turns[self.progress[program].turn.saturating_sub(1)];

        for child in &turn.children {
            self.end(*child, end);
        }

        self.tell_parent(program, end);
    }

    fn tell_parent(&mut self, program: usize, end: End) {
        match self.programs[program].parent {
            Some(parent) if end == End::Finished => {
                self.progress[parent].children_left -= 1;
                self.go_on(parent);
            }
            Some(_) => {}
            None if matches!(self.start, Start::Closed(_)) => self.start_next(),
            None => {}
        }
    }

    /// Withdraws the open question of a program, or cancels its request.
    fn give_up(&mut self, program: usize) {
        let Some(number) = self.progress[program].asked.take() else { return };
        self.askers.remove(&number);

        match self.progress[program].engine.take() {
            Some(engine) => {
                self.engines[engine].cancel(number);
                self.vacate(number, PlaceOutcome::Failed, 0, 0);
            }
            None => self.vacate(number, PlaceOutcome::NotSent, 0, 0),
        }
    }

    fn free(&mut self, program: usize) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].free(program) {
                self.tell_evicted(engine, program);
            }
        }
    }

    fn sample_load(&mut self) {
        let arrives = self.now + micros(self.news.report_lag);

        for engine in 0..self.engines.len() {
            let load = self.engines[engine].load();
            self.plan(arrives, Due::Load(engine, load.running, load.waiting, load.held.0));
        }

        let mut roots = self.programs.iter().zip(&self.trace.outcomes);

        if roots.any(|(program, outcome)| program.parent.is_none() && outcome.is_none()) {
            self.plan(self.now + micros(self.news.report_every), Due::SampleLoad);
        }
    }
}

/// Returns the id of a tenant.
pub fn tenant_id(number: usize) -> TenantId {
    TenantId::from_name(&tenant_name(number))
}

fn program_id(number: usize) -> ProgramId {
    ProgramId(number as u128)
}

fn request_id(number: u64) -> PlaceRequestId {
    PlaceRequestId { host: HostId(1), number }
}
