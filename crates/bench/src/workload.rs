//! Seeded workloads modelled on two deployments.
//!
//! A program is a chain of dependent turns with tool pauses between them. Some turns start
//! sub-agents, and the next turn waits for these. All programs are drawn before a run, so that each
//! policy gets the same ones. The report lists the parameters.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

/// The statistical properties of one kind of program.
#[derive(Clone, Debug, Serialize)]
pub struct Kind {
    /// The name of the kind.
    pub name: &'static str,
    /// The class of its programs.
    pub class: &'static str,
    /// The rank of the class; lower ranks are served first.
    pub rank: u8,
    /// The fraction of all programs that are of this kind.
    pub part: f64,
    /// The minimum number of turns.
    pub turns_min: f64,
    /// The exponent of the Pareto distribution of the number of turns; lower values give a heavier
    /// tail.
    pub turns_alpha: f64,
    /// The maximum number of turns.
    pub turns_max: f64,
    /// Tokens of the first prompt.
    pub base_prompt: f64,
    /// The median number of tokens that the caller or a tool adds at each later turn.
    pub input_median: f64,
    /// The median number of tokens generated at each turn.
    pub output_median: f64,
    /// The spread (sigma of the logarithm) of inputs and outputs.
    pub spread: f64,
    /// The maximum number of tokens generated at a turn.
    pub output_max: u64,
    /// The median tool pause between turns, in seconds.
    pub pause_median: f64,
    /// The spread (sigma of the logarithm) of pauses.
    pub pause_spread: f64,
    /// The maximum pause, in seconds.
    pub pause_max: f64,
    /// The probability that a turn, other than the last, starts sub-agents.
    pub sub_agents: f64,
    /// How long the caller waits, in seconds.
    pub deadline: f64,
}

/// A workload: kinds of programs, and the tenants' fractions of the traffic.
#[derive(Clone, Debug, Serialize)]
pub struct Workload {
    /// The name of the workload.
    pub name: &'static str,
    /// The kinds of programs.
    pub kinds: Vec<Kind>,
    /// Each tenant's fraction of the traffic; its weight is proportional to it.
    pub tenant_parts: Vec<f64>,
    /// The tenant that sends several times its rate in a surge.
    pub surging_tenant: usize,
    /// The first prompt of a sub-agent, as a fraction of its kind's `base_prompt`.
    pub sub_agent_scale: f64,
    /// The maximum number of turns of a sub-agent.
    pub sub_agent_turns: u32,
    /// The maximum number of sub-agents that one turn starts.
    pub sub_agents_max: u32,
}

/// One turn of a program.
#[derive(Clone, Debug)]
pub struct Turn {
    /// Tokens of the whole prompt: history and new input.
    pub prompt: u64,
    /// The number of tokens generated.
    pub output: u64,
    /// The tool pause after the turn, in microseconds.
    pub pause: u64,
    /// The sub-agents that the turn starts; the next turn waits for all of them.
    pub children: Vec<usize>,
}

/// One program.
#[derive(Clone, Debug)]
pub struct Program {
    /// The tenant's index.
    pub tenant: usize,
    /// The kind's index in the workload.
    pub kind: usize,
    /// The parent program if this is a sub-agent.
    pub parent: Option<usize>,
    /// When the program arrives, in microseconds. Sub-agents arrive when the turn that starts them
    /// ends.
    pub arrival: u64,
    /// The turns in order.
    pub turns: Vec<Turn>,
}

/// How many programs arrive, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Programs per second, not counting sub-agents.
    pub rate: f64,
    /// How long programs arrive, in seconds.
    pub seconds: f64,
    /// The factor on the surging tenant's rate.
    pub surge: f64,
}

impl Workload {
    /// Returns a workload for weddings and galas: many short check-ins, chats, and planners with
    /// sub-agents.
    pub fn inkwick() -> Self {
        Self {
            name: "inkwick",
            kinds: vec![
                Kind { part: 0.40, ..short_program("arrival-check-in", "arrival") },
                Kind { part: 0.45, ..chat("brief-assistant", 1.0) },
                Kind { part: 0.15, ..planner("gig-planner") },
            ],
            tenant_parts: vec![0.28, 0.22, 0.14, 0.10, 0.08, 0.07, 0.06, 0.05],
            surging_tenant: 3,
            sub_agent_scale: 0.5,
            sub_agent_turns: 4,
            sub_agents_max: 3,
        }
    }

    /// Returns a workload of survey chats with long pauses, planners and crew alerts.
    pub fn inzira() -> Self {
        Self {
            name: "inzira",
            kinds: vec![
                Kind { part: 0.25, ..short_program("crew-alert", "alert") },
                Kind { part: 0.55, ..chat("survey-assistant", 4.0) },
                Kind { part: 0.20, ..planner("planning-assistant") },
            ],
            tenant_parts: vec![0.40, 0.20, 0.10, 0.08, 0.07, 0.06, 0.05, 0.04],
            surging_tenant: 0,
            sub_agent_scale: 0.5,
            sub_agent_turns: 4,
            sub_agents_max: 3,
        }
    }

    /// Draws the programs of one run, including sub-agents.
    pub fn draw(&self, seed: u64, traffic: Traffic) -> Vec<Program> {
        let mut programs = Vec::new();

        for (tenant, part) in self.tenant_parts.iter().enumerate() {
            let factor = if tenant == self.surging_tenant { traffic.surge } else { 1.0 };
            let rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(tenant as u64));
            let mut generator =
                ProgramGenerator { workload: self, rng, tenant, programs: &mut programs };

            generator.arrivals(traffic.rate * part * factor, traffic.seconds);
        }

        programs
    }
}

fn short_program(name: &'static str, class: &'static str) -> Kind {
    Kind {
        name,
        class,
        rank: 0,
        part: 0.0,
        turns_min: 1.0,
        turns_alpha: 3.0,
        turns_max: 3.0,
        base_prompt: 400.0,
        input_median: 50.0,
        output_median: 40.0,
        spread: 0.4,
        output_max: 256,
        pause_median: 0.2,
        pause_spread: 0.5,
        pause_max: 2.0,
        sub_agents: 0.0,
        deadline: 15.0,
    }
}

fn chat(name: &'static str, pause_median: f64) -> Kind {
    Kind {
        name,
        class: "chat",
        rank: 1,
        part: 0.0,
        turns_min: 3.0,
        turns_alpha: 1.5,
        turns_max: 60.0,
        base_prompt: 1_200.0,
        input_median: 200.0,
        output_median: 90.0,
        spread: 0.8,
        output_max: 1_024,
        pause_median,
        pause_spread: 1.0,
        pause_max: 30.0,
        sub_agents: 0.0,
        deadline: 300.0,
    }
}

fn planner(name: &'static str) -> Kind {
    Kind {
        class: "plan",
        rank: 2,
        turns_min: 4.0,
        turns_max: 40.0,
        base_prompt: 2_000.0,
        input_median: 300.0,
        output_median: 120.0,
        sub_agents: 0.2,
        deadline: 400.0,
        ..chat(name, 1.0)
    }
}

/// The state of drawing one tenant's programs.
struct ProgramGenerator<'a> {
    workload: &'a Workload,
    rng: SmallRng,
    tenant: usize,
    programs: &'a mut Vec<Program>,
}

impl ProgramGenerator<'_> {
    /// Draws programs with exponentially distributed interarrival times.
    fn arrivals(&mut self, rate: f64, seconds: f64) {
        let mut at = 0.0;

        loop {
            at -= (1.0 - self.rng.random::<f64>()).ln() / rate;

            if at >= seconds {
                return;
            }

            let kind = self.draw_kind();
            self.program(kind, None, micros(at));
        }
    }

    fn draw_kind(&mut self) -> usize {
        let mut left: f64 = self.rng.random();

        for (number, kind) in self.workload.kinds.iter().enumerate() {
            left -= kind.part;

            if left < 0.0 {
                return number;
            }
        }

        0
    }

    fn program(&mut self, kind: usize, parent: Option<usize>, arrival: u64) -> usize {
        let number = self.programs.len();
        let turns = Vec::new();
        self.programs.push(Program { tenant: self.tenant, kind, parent, arrival, turns });

        let turns = self.turns(kind, parent.is_some(), number);
        self.programs[number].turns = turns;

        number
    }

    fn turns(&mut self, kind: usize, is_child: bool, number: usize) -> Vec<Turn> {
        let shape = self.workload.kinds[kind].clone();
        let count = self.turn_count(&shape, is_child);
        let scale = if is_child { self.workload.sub_agent_scale } else { 1.0 };
        let mut prompt = (shape.base_prompt * scale) as u64;
        let mut turns = Vec::new();

        for turn in 0..count {
            let last = turn + 1 == count;
            let output = self.tokens(shape.output_median, shape.spread).min(shape.output_max);
            let pause = self.pause(&shape, last);
            let has_children = !is_child && !last && self.rng.random::<f64>() < shape.sub_agents;
            let children = if has_children { self.children(kind, number) } else { Vec::new() };

            turns.push(Turn { prompt, output, pause, children });
            prompt += output + self.tokens(shape.input_median, shape.spread);
        }

        turns
    }

    fn turn_count(&mut self, shape: &Kind, is_child: bool) -> u32 {
        if is_child {
            return self.rng.random_range(1..=self.workload.sub_agent_turns);
        }

        let uniform = 1.0 - self.rng.random::<f64>();

        (shape.turns_min * uniform.powf(-1.0 / shape.turns_alpha)).min(shape.turns_max) as u32
    }

    fn children(&mut self, kind: usize, number: usize) -> Vec<usize> {
        let count = self.rng.random_range(1..=self.workload.sub_agents_max);

        (0..count).map(|_| self.program(kind, Some(number), 0)).collect()
    }

    fn tokens(&mut self, median: f64, spread: f64) -> u64 {
        (median * (spread * self.normal()).exp()).max(1.0) as u64
    }

    fn pause(&mut self, shape: &Kind, last: bool) -> u64 {
        let pause = shape.pause_median * (shape.pause_spread * self.normal()).exp();

        if last { 0 } else { micros(pause.min(shape.pause_max)) }
    }

    /// Draws from the standard normal distribution (Box-Muller).
    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.rng.random::<f64>();

        radius * angle.cos()
    }
}

/// Converts seconds to microseconds.
pub fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}
