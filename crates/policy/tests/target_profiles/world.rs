//! Hosts that send the turns of programs to engines of different speeds, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::entry::{TargetEntry, TargetState};
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::placement::{Choice, Outcome, PlacementRequest, TargetKey, Targets};
use camphorwalk_policy::entry::prompts::{CachedPart, Prompts};
use camphorwalk_policy::entry::target_profiles::UnsentWork;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const SLOTS: u32 = 6;
const TURNS_PER_PROGRAM: u32 = 6;
const EVENT_US: f64 = 27_000.0;
const TOKEN_US: f64 = 20.0;
const SPELL_FACTOR: f64 = 2.5;
const SPELL: u64 = 600_000;
/// With spells of 600 ms, a pause of 3.4 s on average makes them 15% of the time.
const SPELL_PAUSE: u64 = 3_400_000;
const UPDATE_PERIOD: u64 = 200_000;
const UPDATE_DELAY: u64 = 60_000;

/// What a world consists of.
#[derive(Clone, Copy)]
pub struct Plan {
    pub hosts: usize,
    pub turns_per_second: f64,
    /// The speeds of the engines, repeated: their time per event relative to the usual one.
    pub speeds: [f64; 3],
    pub uses_profiles: bool,
}

struct Host {
    targets: Targets,
    /// Whether the host is on the other side of a partition.
    is_cut_off: bool,
    avoid: Vec<TargetKey>,
}

struct Engine {
    speed: f64,
    born: u64,
    spells: Vec<u64>,
    running: u32,
    queue: VecDeque<Turn>,
    prompts: Prompts,
}

#[derive(Clone, Copy)]
struct Program {
    conversation: u64,
    zone: usize,
    turns: u32,
}

impl Program {
    /// Returns random numbers that depend only on the turn, so that two worlds with the same seed
    /// have the same programs.
    fn rng(self, purpose: u64) -> SmallRng {
        SmallRng::seed_from_u64(self.conversation ^ u64::from(self.turns) << 32 ^ purpose)
    }
}

#[derive(Clone, Copy)]
struct Turn {
    program: Program,
    arrived: u64,
    sent: u64,
    host: usize,
    engine: usize,
    born: u64,
    key: TargetKey,
    /// The tokens to be read, as estimated by the host.
    missing: u32,
    first_event_us: u64,
    events: u32,
    took_us: u64,
}

struct Update {
    from: usize,
    in_flight: Map<Box<str>, u32>,
    prompts: Vec<(Box<str>, Vec<CachedPart>)>,
    work: UnsentWork,
}

enum Event {
    Start,
    Arrive(Program, u64),
    End(Turn),
    Round(usize),
    Deliver(Rc<Update>),
}

/// Sums over the turns that ended since the last call of [`World::take_sums`].
#[derive(Clone, Debug, Default)]
pub struct Sums {
    pub turns: u32,
    pub turn_ms: f64,
    /// The prompt tokens that engines read.
    pub tokens: u64,
    pub turns_by_engine: Vec<u32>,
}

impl Sums {
    pub fn mean_turn_ms(&self) -> f64 {
        self.turn_ms / f64::from(self.turns)
    }

    pub fn tokens_per_turn(&self) -> f64 {
        self.tokens as f64 / f64::from(self.turns)
    }

    /// Returns the part of the turns that ran at some engines, relative to an even share.
    pub fn share_of(&self, engines: impl Iterator<Item = usize>) -> f64 {
        let (mut turns, mut count) = (0, 0);
        engines.for_each(|i| (turns, count) = (turns + self.turns_by_engine[i], count + 1));
        let even = f64::from(self.turns) * f64::from(count) / self.turns_by_engine.len() as f64;

        f64::from(turns) / even
    }
}

pub struct World {
    plan: Plan,
    now: u64,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: Map<u64, Event>,
    next: u64,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    sums: Sums,
}

fn name(engine: usize) -> Box<str> {
    format!("e-{engine}").into()
}

impl World {
    pub fn new(plan: Plan, engines: usize, seed: u64) -> Self {
        let mut world = Self {
            plan,
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: Map::default(),
            next: 0,
            hosts: Vec::new(),
            engines: Vec::new(),
            sums: Sums::default(),
        };
        for i in 0..engines {
            let spells = world.spells();
            world.engines.push(Engine {
                speed: plan.speeds[i % 3],
                born: 1,
                spells,
                running: 0,
                queue: VecDeque::new(),
                prompts: Prompts::default(),
            });
        }
        for host in 0..plan.hosts {
            let targets = Targets::new(ZONES[host % 4], HostId(host as u64));
            world.hosts.push(Host { targets, is_cut_off: false, avoid: Vec::new() });
            let phase = world.rng.random_range(0..UPDATE_PERIOD);
            world.schedule(phase, Event::Round(host));
        }
        (0..engines).for_each(|i| world.register(i));
        world.schedule(0, Event::Start);
        world.take_sums();

        world
    }

    fn spells(&mut self) -> Vec<u64> {
        let mut at = 0;
        let pauses = (0..40).map(|_| self.rng.random_range(0..2 * SPELL_PAUSE));

        pauses
            .map(|pause| {
                at += pause + SPELL;
                at - SPELL
            })
            .collect()
    }

    fn register(&mut self, engine: usize) {
        let entry = self.entry(engine);
        for host in &mut self.hosts {
            host.targets.put(entry.clone());
        }
    }

    fn entry(&self, engine: usize) -> TargetEntry {
        TargetEntry {
            id: name(engine),
            service: "engines".into(),
            address: ([127, 0, 0, 1], 80).into(),
            zone: ZONES[engine % 4].into(),
            version: Some("v1".into()),
            slots: SLOTS,
            state: TargetState::Ready,
            born: self.engines[engine].born,
            cold_for: Duration::ZERO,
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + after, self.next)));
        self.events.insert(self.next, event);
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration.as_micros() as u64;

        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > end {
                self.queue.push(Reverse((at, id)));
                break;
            }
            self.now = at;
            match self.events.remove(&id) {
                Some(Event::Start) => self.start_program(),
                Some(Event::Arrive(program, arrived)) => self.arrive(program, arrived),
                Some(Event::End(turn)) => self.end(turn),
                Some(Event::Round(host)) => self.round(host),
                Some(Event::Deliver(update)) => self.deliver(&update),
                None => {}
            }
        }
        self.now = end;
    }

    /// Restarts an engine as another process, with another speed.
    pub fn restart(&mut self, engine: usize, speed: f64) {
        let runs = &mut self.engines[engine];
        runs.born += 1;
        (runs.speed, runs.running) = (speed, 0);
        runs.prompts = Prompts::default();
        // The turns that ran there are sent again.
        for turn in std::mem::take(&mut runs.queue) {
            self.schedule(0, Event::Arrive(turn.program, turn.arrived));
        }
        self.register(engine);
    }

    /// Restarts a host, which loses all that it knew.
    pub fn restart_host(&mut self, host: usize) {
        let mut targets = Targets::new(ZONES[host % 4], HostId(host as u64));
        (0..self.engines.len()).for_each(|i| {
            targets.put(self.entry(i));
        });
        self.hosts[host].targets = targets;
    }

    /// Returns the time per event of each engine, without its spells, relative to the mean over the
    /// events that were recorded in `sums`.
    pub fn true_paces(&self, sums: &Sums) -> Vec<f64> {
        let speeds = self.engines.iter().map(|engine| engine.speed);
        let weighted = speeds.clone().zip(&sums.turns_by_engine).map(|(s, n)| s * f64::from(*n));
        let mean = weighted.sum::<f64>() / f64::from(sums.turns);

        speeds.map(|speed| speed / mean).collect()
    }

    /// Partitions zones a and b from the others.
    pub fn partition(&mut self) {
        for (i, host) in self.hosts.iter_mut().enumerate() {
            host.is_cut_off = i % 4 >= 2;
            let is_beyond = |zone: &str| ZONES[2..].contains(&zone) != host.is_cut_off;
            let beyond =
                host.targets.of_service("engines").filter(|(_, t)| is_beyond(&t.entry.zone));
            host.avoid = beyond.map(|(key, _)| key).collect();
        }
    }

    pub fn take_sums(&mut self) -> Sums {
        let count = self.engines.len();
        let empty = Sums { turns_by_engine: vec![0; count], ..Sums::default() };

        std::mem::replace(&mut self.sums, empty)
    }

    /// Returns the paces of the engines, as known to a host.
    pub fn paces(&self, host: usize) -> Vec<f64> {
        let known: Map<_, _> = self.hosts[host].targets.paces().collect();

        (0..self.engines.len()).map(|i| known[&*name(i)]).collect()
    }

    fn start_program(&mut self) {
        let per_second = self.plan.turns_per_second / f64::from(TURNS_PER_PROGRAM);
        let pause = self.rng.random_range(0.0..2.0e6 / per_second);
        let (conversation, zone) = (self.rng.random(), self.rng.random_range(0..4));
        let program = Program { conversation, zone, turns: 0 };
        self.schedule(0, Event::Arrive(program, self.now));
        self.schedule(pause as u64, Event::Start);
    }

    fn arrive(&mut self, program: Program, arrived: u64) {
        let mut rng = program.rng(self.now - arrived);
        let host = rng.random_range(0..self.plan.hosts / 4) * 4 + program.zone;
        let request = PlacementRequest {
            new_program_rank: (program.turns == 0).then_some(1),
            parts: parts(program),
            avoid: self.hosts[host].avoid.clone(),
            ..PlacementRequest::default()
        };
        let targets = &mut self.hosts[host].targets;
        let Choice::Target(key) = targets.choose(Instant(self.now), "engines", &request) else {
            self.schedule(50_000, Event::Arrive(program, arrived));
            return;
        };
        let missing = targets.record_sent(key, &request);
        let engine = targets.get(key).unwrap().entry.id[2..].parse().unwrap();
        let turn = Turn {
            program,
            arrived,
            sent: self.now,
            host,
            engine,
            born: self.engines[engine].born,
            key,
            missing,
            first_event_us: 0,
            events: 0,
            took_us: 0,
        };

        match self.engines[engine].running < SLOTS {
            true => self.begin(turn),
            false => self.engines[engine].queue.push_back(turn),
        }
    }

    fn begin(&mut self, mut turn: Turn) {
        let engine = &mut self.engines[turn.engine];
        engine.running += 1;
        let parts = parts(turn.program);
        let missing = engine.prompts.missing_tokens(&parts);
        parts.into_iter().for_each(|part| engine.prompts.insert(part));
        self.sums.tokens += u64::from(missing);
        let crowding = 1.0 + 0.05 * f64::from(engine.running - 1);
        let mut rng = turn.program.rng(1);
        let noise = rng.random_range(0.8..1.2);
        let events = rng.random_range(4..=8);
        let mut at = self.now + (f64::from(missing) * TOKEN_US * engine.speed) as u64;

        for event in 0..=events {
            let spells = engine.spells.partition_point(|from| *from <= at);
            let is_slow = spells > 0 && at < engine.spells[spells - 1] + SPELL;
            let spell = if is_slow { SPELL_FACTOR } else { 1.0 };
            at += (EVENT_US * engine.speed * crowding * noise * spell) as u64;
            if event == 0 {
                turn.first_event_us = at - self.now;
            }
        }
        (turn.events, turn.took_us) = (events, at - self.now - turn.first_event_us);
        turn.first_event_us += self.now - turn.sent;
        self.schedule(at - self.now, Event::End(turn));
    }

    fn end(&mut self, turn: Turn) {
        let program = turn.program;
        if self.engines[turn.engine].born != turn.born {
            self.schedule(0, Event::Arrive(program, turn.arrived));
            return;
        }
        let took = Duration::from_micros(turn.took_us);
        let targets = &mut self.hosts[turn.host].targets;
        let waited = Duration::from_micros(turn.first_event_us);
        targets.record_first_event(turn.key, turn.missing, waited);
        targets.record_events(turn.key, turn.events, took);
        if self.plan.uses_profiles {
            targets.record_pace(turn.key, turn.events, took);
        }
        let held = Duration::from_micros(self.now - turn.sent);
        targets.record_outcome(Instant(self.now), turn.key, Outcome::Answered(held));

        self.sums.turns += 1;
        self.sums.turn_ms += (self.now - turn.arrived) as f64 / 1_000.0;
        self.sums.turns_by_engine[turn.engine] += 1;
        self.engines[turn.engine].running -= 1;
        if let Some(next) = self.engines[turn.engine].queue.pop_front() {
            self.begin(next);
        }
        if program.turns + 1 < TURNS_PER_PROGRAM {
            let pause = program.rng(2).random_range(50_000..150_000);
            let program = Program { turns: program.turns + 1, ..program };
            self.schedule(pause, Event::Arrive(program, self.now + pause));
        }
    }

    fn round(&mut self, from: usize) {
        let now = Instant(self.now);
        let targets = &mut self.hosts[from].targets;
        let work = match self.plan.uses_profiles {
            true => targets.take_work(now),
            false => UnsentWork::default(),
        };
        targets.update_paces(now);
        let in_flight = targets.in_flight().map(|(id, calls)| (id.into(), calls)).collect();
        let update = Update { from, in_flight, prompts: targets.take_updates(), work };
        self.schedule(UPDATE_DELAY, Event::Deliver(Rc::new(update)));
        self.schedule(UPDATE_PERIOD, Event::Round(from));
    }

    fn deliver(&mut self, update: &Update) {
        let (now, is_cut_off) = (Instant(self.now), self.hosts[update.from].is_cut_off);

        for (i, host) in self.hosts.iter_mut().enumerate() {
            if i == update.from || host.is_cut_off != is_cut_off {
                continue;
            }
            let from = HostId(update.from as u64);
            host.targets.set_remote_load(from, update.in_flight.clone(), Map::default());
            for (id, parts) in &update.prompts {
                host.targets.record_remote_prompts(id, parts);
            }
            for (id, work) in &update.work.0 {
                host.targets.record_remote_work(now, id, *work);
            }
        }
    }
}

fn parts(program: Program) -> Vec<CachedPart> {
    vec![(1, 512), (program.conversation, 600 + 140 * program.turns)]
}
