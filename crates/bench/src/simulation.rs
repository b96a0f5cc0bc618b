//! Simulates one workload under one policy in virtual time.

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
pub enum ProgramEnd {
    /// All its turns were served before the deadline.
    Finished,
    /// One of its turns, or one of a sub-agent, was refused.
    Refused,
    /// Its caller gave up at the deadline.
    TimedOut,
}

/// The result of a program.
#[derive(Clone, Copy, Debug)]
pub struct ProgramOutcome {
    /// How the program ended.
    pub end: ProgramEnd,
    /// When the program ended, in microseconds.
    pub at: u64,
}

/// The observations of one run.
#[derive(Debug)]
pub struct Trace {
    /// The result of each program in the order of the workload; `None` if it had not ended.
    pub outcomes: Vec<Option<ProgramOutcome>>,
    /// Prompt tokens computed again, after an earlier turn of the program had computed them.
    pub recomputed: u64,
    /// All prompt tokens computed.
    pub computed: u64,
    /// Tokens served to each program, not counting its sub-agents.
    pub served: Vec<u64>,
}

/// When programs start.
#[derive(Clone, Copy, Debug)]
pub enum ArrivalMode {
    /// Open loop: each program starts at its arrival time.
    OpenLoop,
    /// Closed loop, to measure capacity: this many programs run at a time, and callers have no
    /// deadline.
    ClosedLoop(usize),
}

/// An event that will happen at a known time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    /// A program arrives.
    Arrival(usize),
    /// The tool pause of a program ends.
    PauseEnd(usize),
    /// An iteration of an engine ends.
    Iteration(usize),
    /// The deadline of a program passes.
    Deadline(usize),
    /// Each engine takes a sample of its load and sends it as a report.
    SampleLoad,
    /// A load report arrives at the queue: engine, running and waiting requests, cached tokens.
    LoadReport(usize, u32, u32, u64),
    /// A report arrives at the queue that an engine evicted the prefix of a program.
    Evicted(usize, usize),
    /// The scheduler is due to be woken.
    Wake,
}

/// The progress of a program.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    turn: usize,
    /// Tokens of the turns that were served, whether cached or not. A sub-agent starts with those
    /// of its parent.
    attained: u64,
    remaining_children: usize,
    /// Whether the tool pause after the last turn has ended.
    pause_ended: bool,
    /// The number of the request for a place at an engine, until its turn ends.
    pending_request: Option<u64>,
    /// The engine that was granted for this request.
    engine: Option<usize>,
    deadline: u64,
}

/// One run in progress.
pub struct Simulation<'a> {
    workload: &'a Workload,
    programs: &'a [Program],
    engines: Vec<Engine>,
    engine_options: Engines,
    targets: Vec<TargetId>,
    scheduler: Scheduler,
    rng: SmallRng,
    now: u64,
    schedule: BinaryHeap<Reverse<(u64, u64, ScheduledEvent)>>,
    scheduled_count: u64,
    progress: Vec<Progress>,
    trace: Trace,
    programs_by_request: BTreeMap<u64, usize>,
    request_count: u64,
    planned_wake: Option<u64>,
    arrival_mode: ArrivalMode,
    next_program: usize,
    actions: Vec<QueueAction>,
}

impl<'a> Simulation<'a> {
    /// Prepares a run.
    pub fn new(
        policy: Policy,
        workload: &'a Workload,
        programs: &'a [Program],
        engines: Engines,
        arrival_mode: ArrivalMode,
        seed: u64,
    ) -> Self {
        let names = (0..engines.count).map(target_name);
        let targets: Vec<TargetId> = names.map(|name| TargetId::from_name(&name)).collect();
        let scheduler = Scheduler::new(policy, engines.window, &targets);

        Self {
            workload,
            programs,
            engines: (0..engines.count).map(|_| Engine::new(engines.shape)).collect(),
            engine_options: engines,
            targets,
            scheduler,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            schedule: BinaryHeap::new(),
            scheduled_count: 0,
            progress: vec![Progress::default(); programs.len()],
            trace: Trace {
                outcomes: vec![None; programs.len()],
                recomputed: 0,
                computed: 0,
                served: vec![0; programs.len()],
            },
            programs_by_request: BTreeMap::new(),
            request_count: 0,
            planned_wake: None,
            arrival_mode,
            next_program: 0,
            actions: Vec::new(),
        }
    }

    /// Runs until no event is left, or until `until` microseconds.
    pub fn run(mut self, until: u64) -> Trace {
        let config = Arc::new(config(self.workload, &self.engine_options));
        self.step_scheduler(QueueEvent::Config(config));
        self.schedule_event(0, ScheduledEvent::SampleLoad);
        self.start_programs();

        while let Some(Reverse((at, _, event))) = self.schedule.pop() {
            if at > until {
                break;
            }

            self.now = at;
            self.handle_event(event);
        }

        self.trace
    }

    fn start_programs(&mut self) {
        match self.arrival_mode {
            ArrivalMode::OpenLoop => {
                for (number, program) in self.programs.iter().enumerate() {
                    if program.parent.is_none() {
                        self.schedule_event(program.arrival, ScheduledEvent::Arrival(number));
                    }
                }
            }
            ArrivalMode::ClosedLoop(count) => (0..count).for_each(|_| self.start_next_program()),
        }
    }

    /// Starts the next program of a closed-loop run.
    fn start_next_program(&mut self) {
        while let Some(program) = self.programs.get(self.next_program) {
            self.next_program += 1;

            if program.parent.is_none() {
                self.schedule_event(self.now, ScheduledEvent::Arrival(self.next_program - 1));
                return;
            }
        }
    }

    fn schedule_event(&mut self, at: u64, event: ScheduledEvent) {
        self.scheduled_count += 1;
        self.schedule.push(Reverse((at, self.scheduled_count, event)));
    }

    fn handle_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival(program) => self.start_program(program),
            ScheduledEvent::PauseEnd(program) => self.on_pause_end(program),
            ScheduledEvent::Iteration(engine) => self.on_iteration_end(engine),
            ScheduledEvent::Deadline(program) => self.end(program, ProgramEnd::TimedOut),
            ScheduledEvent::SampleLoad => self.sample_load(),
            ScheduledEvent::LoadReport(engine, running, waiting, held) => {
                let report = LoadReport { running, waiting, held: Tokens(held) };
                self.step_scheduler(QueueEvent::Load { target: self.targets[engine], report });
            }
            ScheduledEvent::Evicted(engine, program) => {
                let (target, program) = (self.targets[engine], program_id(program));
                self.step_scheduler(QueueEvent::Evicted { target, program });
            }
            ScheduledEvent::Wake => {
                self.planned_wake = None;
                self.step_scheduler(QueueEvent::Wake);
            }
        }
    }

    fn start_program(&mut self, program: usize) {
        let kind = &self.workload.kinds[self.programs[program].kind];
        let parent = self.programs[program].parent;

        // A sub-agent has its parent's deadline, and ends with it.
        self.progress[program].deadline = match (parent, self.arrival_mode) {
            (Some(parent), _) => self.progress[parent].deadline,
            (None, ArrivalMode::OpenLoop) => self.now + micros(kind.deadline),
            (None, ArrivalMode::ClosedLoop(_)) => u64::MAX / 4,
        };

        // A sub-agent continues the work of its parent, so it starts with the tokens that the
        // parent has been served.
        self.progress[program].attained = parent.map_or(0, |parent| self.progress[parent].attained);

        if parent.is_none() {
            self.schedule_event(self.progress[program].deadline, ScheduledEvent::Deadline(program));
        }

        self.request_place(program);
    }

    fn request_place(&mut self, program: usize) {
        let Progress { turn, attained, deadline, .. } = self.progress[program];
        let shape = &self.programs[program];
        let kind = &self.workload.kinds[shape.kind];
        let number = self.request_count;
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

        self.request_count += 1;
        self.programs_by_request.insert(number, program);
        self.progress[program].pending_request = Some(number);
        self.step_scheduler(QueueEvent::Request { request_id: request_id(number), request });
    }

    /// Passes an event to the scheduler and executes the resulting actions.
    fn step_scheduler(&mut self, event: QueueEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.step(Instant(self.now), event, &mut actions);

        for action in actions.drain(..) {
            match action {
                QueueAction::Grant { request_id, target } => self.on_grant(request_id, target),
                QueueAction::Refuse { request_id, .. } => self.on_refusal(request_id),
            }
        }

        self.actions = actions;
        self.schedule_wake();
    }

    fn schedule_wake(&mut self) {
        let Some(Instant(at)) = self.scheduler.wake_at() else { return };
        let at = at.max(self.now);

        if self.planned_wake.is_none_or(|planned_wake| at < planned_wake) {
            self.planned_wake = Some(at);
            self.schedule_event(at, ScheduledEvent::Wake);
        }
    }

    fn on_grant(&mut self, request_id: PlaceRequestId, target: TargetId) {
        let Some(program) = self.programs_by_request.get(&request_id.number).copied() else {
            return;
        };
        let Some(engine) = self.targets.iter().position(|known| *known == target) else { return };
        let turn = &self.programs[program].turns[self.progress[program].turn];

        self.progress[program].engine = Some(engine);
        self.engines[engine].send(Sequence::new(
            request_id.number,
            program,
            turn.prompt,
            turn.output,
        ));
        self.start_iteration(engine);
    }

    fn on_refusal(&mut self, request_id: PlaceRequestId) {
        let Some(program) = self.programs_by_request.remove(&request_id.number) else { return };

        self.progress[program].pending_request = None;
        self.end(self.root(program), ProgramEnd::Refused);
    }

    fn start_iteration(&mut self, engine: usize) {
        let Some((time, evicted)) = self.engines[engine].start_iteration() else { return };

        self.schedule_event(self.now + time, ScheduledEvent::Iteration(engine));

        for program in evicted {
            self.report_eviction(engine, program);
        }
    }

    fn report_eviction(&mut self, engine: usize, program: usize) {
        if self.rng.random::<f64>() >= self.engine_options.event_loss {
            let at = self.now + micros(self.engine_options.event_lag);
            self.schedule_event(at, ScheduledEvent::Evicted(engine, program));
        }
    }

    fn on_iteration_end(&mut self, engine: usize) {
        let done = self.engines[engine].finish_iteration();

        for sequence in done {
            self.on_turn_end(sequence);
        }

        self.start_iteration(engine);
    }

    fn on_turn_end(&mut self, sequence: Sequence) {
        let program = sequence.program;
        let turn = self.progress[program].turn;
        let already_computed = match turn.checked_sub(1) {
            Some(last) => {
                let last = &self.programs[program].turns[last];
                last.prompt + last.output
            }
            None => 0,
        };
        let new_tokens = sequence.prompt - already_computed.min(sequence.prompt);

        self.trace.computed += sequence.computed;
        self.trace.recomputed += sequence.computed.saturating_sub(new_tokens.max(1));
        // Counts all tokens of the turn as a program's home (the host that holds its state) does,
        // regardless of what the engine had cached.
        self.progress[program].attained += sequence.prompt + sequence.output;
        self.trace.served[program] += sequence.computed + sequence.output;
        self.progress[program].engine = None;
        self.progress[program].pending_request = None;
        self.programs_by_request.remove(&sequence.number);
        self.release_place(
            sequence.number,
            PlaceOutcome::Finished,
            sequence.computed,
            sequence.output,
        );
        self.finish_turn(program, turn);
    }

    fn release_place(&mut self, number: u64, outcome: PlaceOutcome, computed: u64, output: u64) {
        let release = PlaceRelease {
            outcome,
            computed_prompt: Tokens(computed),
            output: Tokens(output),
            program_ended: outcome == PlaceOutcome::Failed || outcome == PlaceOutcome::NotSent,
        };

        self.step_scheduler(QueueEvent::Release { request_id: request_id(number), release });
    }

    fn finish_turn(&mut self, program: usize, turn: usize) {
        let programs = self.programs;
        let shape = &programs[program].turns[turn];

        if turn + 1 == programs[program].turns.len() {
            self.end(program, ProgramEnd::Finished);
            return;
        }

        self.progress[program].turn += 1;
        self.progress[program].pause_ended = false;
        self.progress[program].remaining_children = shape.children.len();
        self.schedule_event(self.now + shape.pause, ScheduledEvent::PauseEnd(program));

        for child in &shape.children {
            self.start_program(*child);
        }
    }

    fn on_pause_end(&mut self, program: usize) {
        self.progress[program].pause_ended = true;
        self.request_next_turn_if_ready(program);
    }

    /// Requests a place for the next turn, once the pause and all sub-agents have ended.
    fn request_next_turn_if_ready(&mut self, program: usize) {
        let Progress { pause_ended, remaining_children, .. } = self.progress[program];

        if self.trace.outcomes[program].is_none() && pause_ended && remaining_children == 0 {
            self.request_place(program);
        }
    }

    fn root(&self, program: usize) -> usize {
        self.programs[program].parent.unwrap_or(program)
    }

    /// Ends a program and its sub-agents, and frees their prefixes at the engines.
    fn end(&mut self, program: usize, end: ProgramEnd) {
        if self.trace.outcomes[program].is_some() {
            return;
        }

        self.trace.outcomes[program] = Some(ProgramOutcome { end, at: self.now });
        self.cancel_request(program);
        self.free(program);

        let programs = self.programs;
        let turn = &programs[program].turns[self.progress[program].turn.saturating_sub(1)];

        for child in &turn.children {
            self.end(*child, end);
        }

        self.notify_parent(program, end);
    }

    fn notify_parent(&mut self, program: usize, end: ProgramEnd) {
        match self.programs[program].parent {
            Some(parent) if end == ProgramEnd::Finished => {
                self.progress[parent].remaining_children -= 1;
                self.request_next_turn_if_ready(parent);
            }
            Some(_) => {}
            None if matches!(self.arrival_mode, ArrivalMode::ClosedLoop(_)) => {
                self.start_next_program()
            }
            None => {}
        }
    }

    /// Withdraws the open place request of a program, or cancels its call at the engine.
    fn cancel_request(&mut self, program: usize) {
        let Some(number) = self.progress[program].pending_request.take() else { return };
        self.programs_by_request.remove(&number);

        match self.progress[program].engine.take() {
            Some(engine) => {
                self.engines[engine].cancel(number);
                self.release_place(number, PlaceOutcome::Failed, 0, 0);
            }
            None => self.release_place(number, PlaceOutcome::NotSent, 0, 0),
        }
    }

    fn free(&mut self, program: usize) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].free(program) {
                self.report_eviction(engine, program);
            }
        }
    }

    fn sample_load(&mut self) {
        let arrives_at = self.now + micros(self.engine_options.report_lag);

        for engine in 0..self.engines.len() {
            let load = self.engines[engine].load();
            self.schedule_event(
                arrives_at,
                ScheduledEvent::LoadReport(engine, load.running, load.waiting, load.held.0),
            );
        }

        let mut roots = self.programs.iter().zip(&self.trace.outcomes);

        if roots.any(|(program, outcome)| program.parent.is_none() && outcome.is_none()) {
            self.schedule_event(
                self.now + micros(self.engine_options.report_every),
                ScheduledEvent::SampleLoad,
            );
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
