//! Runs all policies in all scenarios and assembles the report.

use crate::figures::{Figures, Spread, compute_figures};
use crate::fleet::Engines;
use crate::report::{Aim, Capacity, Cell, GoodputPoint, Report, Scenario};
use crate::scheduler::Policy;
use crate::simulation::{ArrivalMode, ProgramEnd, Simulation};
use crate::workload::{Program, Traffic, Workload, micros};

/// The load of the steady runs, as a fraction of the better baseline's capacity.
const STEADY_LOAD: f64 = 0.9;

/// The factor by which the surging tenant exceeds its rate.
const SURGE: f64 = 5.0;

/// The numbers of concurrent programs for measuring capacity, in multiples of the sum of all
/// engines' windows.
const CLOSED_LOOP_FACTORS: [usize; 3] = [1, 2, 4];

/// The fraction of a capacity run that is warm-up.
const CLOSED_LOOP_WARM_UP: f64 = 0.25;

/// The loads of the goodput curve, as fractions of the policy's own capacity.
const LOADS: [f64; 5] = [0.5, 0.9, 1.0, 1.5, 2.0];

/// How long a run continues after the last arrival, in seconds.
const DRAIN_SECONDS: f64 = 500.0;

/// What to measure.
#[derive(Clone, Debug)]
pub struct BenchOptions {
    /// The seeds; each scenario runs once with each.
    pub seeds: Vec<u64>,
    /// How long programs arrive in each run, in seconds.
    pub seconds: f64,
    /// How long capacity is measured, in seconds.
    pub capacity_seconds: f64,
    /// The workloads to run.
    pub workloads: Vec<Workload>,
    /// The engines of all runs.
    pub engines: Engines,
}

impl Default for BenchOptions {
    fn default() -> Self {
        Self {
            seeds: vec![1, 2, 3, 4, 5],
            seconds: 1_800.0,
            capacity_seconds: 2_400.0,
            workloads: vec![Workload::inkwick(), Workload::inzira()],
            engines: Engines::default(),
        }
    }
}

/// Runs every policy in every scenario.
///
/// ```
/// use camphorwalk_bench::{BenchOptions, run};
/// let mut options = BenchOptions { seeds: vec![1], seconds: 70.0, ..BenchOptions::default() };
/// options.capacity_seconds = 100.0;
/// options.workloads.truncate(1);
/// assert!(run(&options).table().contains("camphorwalk"));
/// ```
pub fn run(options: &BenchOptions) -> Report {
    let mut report = Report {
        seeds: options.seeds.clone(),
        seconds: options.seconds,
        capacity_seconds: options.capacity_seconds,
        surge: SURGE,
        engines: options.engines,
        workloads: options.workloads.clone(),
        capacities: Vec::new(),
        cells: Vec::new(),
        goodput: Vec::new(),
        aims: Vec::new(),
    };

    for workload in &options.workloads {
        Experiment { options, workload }.run(&mut report);
    }

    report
}

/// The runs with one workload.
struct Experiment<'a> {
    options: &'a BenchOptions,
    workload: &'a Workload,
}

impl Experiment<'_> {
    fn run(&self, report: &mut Report) {
        let capacities: Vec<f64> =
            Policy::ALL.iter().map(|policy| self.capacity(*policy)).collect();
        let rate = STEADY_LOAD * capacities[0].max(capacities[1]);

        for (policy, capacity) in Policy::ALL.into_iter().zip(capacities) {
            report.capacities.push(Capacity {
                workload: self.workload.name,
                policy,
                programs_per_second: capacity,
            });
            report.cells.push(self.cell(policy, Scenario::Steady, rate));
            report.cells.push(self.cell(policy, Scenario::Surge, rate));
            report.goodput.extend(LOADS.map(|load| self.goodput(policy, load, capacity)));
        }

        report.aims.extend(self.aims(report));
    }

    /// Measures finished programs per second, not counting sub-agents, with a fixed number of
    /// concurrent programs. Returns the maximum over several such numbers.
    fn capacity(&self, policy: Policy) -> f64 {
        let windows = self.options.engines.window as usize * self.options.engines.count;
        let rates =
            CLOSED_LOOP_FACTORS.map(|factor| self.closed_loop_rate(policy, factor * windows));

        rates.into_iter().fold(0.0, f64::max)
    }

    fn closed_loop_rate(&self, policy: Policy, concurrent: usize) -> f64 {
        let seconds = self.options.capacity_seconds;
        let warm_up = CLOSED_LOOP_WARM_UP * seconds;
        let seed = self.options.seeds.first().copied().unwrap_or_default();
        // A rate far above capacity, so that the closed loop does not run out of programs.
        let traffic = Traffic { rate: 4.0, seconds, surge: 1.0 };
        let mut programs = self.workload.draw(seed, traffic);
        sort_by_arrival(&mut programs);
        let arrival_mode = ArrivalMode::ClosedLoop(concurrent);
        let simulation = Simulation::new(
            policy,
            self.workload,
            &programs,
            self.options.engines,
            arrival_mode,
            seed,
        );
        let trace = simulation.run(micros(seconds));
        let roots = programs.iter().zip(&trace.outcomes).filter(|(program, outcome)| {
            program.parent.is_none()
                && outcome
                    .is_some_and(|end| end.end == ProgramEnd::Finished && end.at >= micros(warm_up))
        });

        roots.count() as f64 / (seconds - warm_up)
    }

    fn open_run(&self, policy: Policy, seed: u64, rate: f64, surge: f64) -> Figures {
        let Self { options, workload } = self;
        let traffic = Traffic { rate, seconds: options.seconds, surge };
        let programs = workload.draw(seed, traffic);
        let simulation = Simulation::new(
            policy,
            workload,
            &programs,
            options.engines,
            ArrivalMode::OpenLoop,
            seed,
        );
        let trace = simulation.run(micros(options.seconds + DRAIN_SECONDS));
        let surging = (surge > 1.0).then_some(workload.surging_tenant);

        compute_figures(workload, &programs, &options.engines, &trace, options.seconds, surging)
    }

    fn cell(&self, policy: Policy, scenario: Scenario, rate: f64) -> Cell {
        let surge = match scenario {
            Scenario::Steady => 1.0,
            Scenario::Surge => SURGE,
        };
        let seeds = self.options.seeds.iter();
        let runs = seeds.map(|seed| self.open_run(policy, *seed, rate, surge)).collect();

        Cell { workload: self.workload.name, scenario, policy, runs }
    }

    fn goodput(&self, policy: Policy, load: f64, capacity: f64) -> GoodputPoint {
        let seeds = self.options.seeds.iter();
        let runs = seeds.map(|seed| self.open_run(policy, *seed, load * capacity, 1.0).goodput);
        let goodput = Spread::of(runs.collect());

        GoodputPoint { workload: self.workload.name, policy, load, goodput }
    }

    fn aims(&self, report: &Report) -> Vec<Aim> {
        let find = |scenario, policy| {
            report.cells.iter().find(|cell| {
                cell.workload == self.workload.name
                    && cell.scenario == scenario
                    && cell.policy == policy
            })
        };
        let Some(ours) = find(Scenario::Steady, Policy::Camphorwalk) else { return Vec::new() };
        let Some(surge) = find(Scenario::Surge, Policy::Camphorwalk) else { return Vec::new() };
        let baselines: Vec<&Cell> = [Policy::FifoRoundRobin, Policy::FifoLeastLoaded]
            .into_iter()
            .filter_map(|policy| find(Scenario::Steady, policy))
            .collect();
        let ratio_to_baselines = |figure: fn(&Figures) -> f64| ratios(ours, &baselines, figure);

        vec![
            self.aim(
                "p95 program latency / better baseline",
                0.5,
                ratio_to_baselines(|f| f.p95_ms),
            ),
            self.aim(
                "first class p95 / better baseline",
                0.25,
                ratio_to_baselines(|f| f.first_class_p95_ms),
            ),
            self.aim(
                "delay p95 above time alone / better baseline",
                0.5,
                ratio_to_baselines(|f| f.delay_p95_ms),
            ),
            self.aim(
                "re-computed / better baseline",
                0.5,
                ratio_to_baselines(|f| f.recomputed_kilotokens),
            ),
            self.aim("surge: worst / mean slowdown", 1.2, surge.spread(|f| f.worst_to_mean)),
            self.goodput_aim(report),
        ]
    }

    fn aim(&self, name: &'static str, bound: f64, measured: Spread) -> Aim {
        Aim { workload: self.workload.name, name, bound, measured, met: measured.median <= bound }
    }

    fn goodput_aim(&self, report: &Report) -> Aim {
        let at = |load: f64| {
            let points = report.goodput.iter().filter(|point| {
                point.workload == self.workload.name && point.policy == Policy::Camphorwalk
            });
            let found = points.into_iter().find(|point| point.load == load);

            found.map_or(0.0, |point| point.goodput.median)
        };
        let ratio = at(2.0) / at(1.0);
        let name = "goodput at twice the capacity / at capacity";
        let measured = Spread { min: ratio, median: ratio, max: ratio };

        Aim { workload: self.workload.name, name, bound: 0.9, measured, met: ratio >= 0.9 }
    }
}

/// Returns the ratio of our figure to the smallest of the baselines', for each seed.
fn ratios(ours: &Cell, baselines: &[&Cell], figure: fn(&Figures) -> f64) -> Spread {
    let seeds = 0..ours.runs.len();
    let ratio = |seed: usize| {
        let better = baselines.iter().map(|cell| figure(&cell.runs[seed])).fold(f64::MAX, f64::min);

        figure(&ours.runs[seed]) / better.max(f64::MIN_POSITIVE)
    };

    Spread::of(seeds.map(ratio).collect())
}

/// Sorts programs by arrival, so that a closed-loop run mixes tenants.
fn sort_by_arrival(programs: &mut Vec<Program>) {
    let mut order: Vec<usize> = (0..programs.len()).collect();
    order.sort_by_key(|number| (programs[*number].arrival, *number));

    let mut new_index = vec![0; programs.len()];
    order.iter().enumerate().for_each(|(new, old)| new_index[*old] = new);

    let mut sorted: Vec<Program> = order.iter().map(|old| programs[*old].clone()).collect();

    for program in &mut sorted {
        program.parent = program.parent.map(|parent| new_index[parent]);

        for child in program.turns.iter_mut().flat_map(|turn| turn.children.iter_mut()) {
            *child = new_index[*child];
        }
    }

    *programs = sorted;
}
