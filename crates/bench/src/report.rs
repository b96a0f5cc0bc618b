//! The report of a bench run, as a table, as JSON and as a plot.

use std::fmt::Write as _;
use std::path::Path;

use anyhow::Context as _;
use serde::Serialize;

use crate::figures::{COLUMNS, Figures, Spread};
use crate::fleet::Engines;
use crate::scheduler::Policy;
use crate::workload::Workload;

/// The traffic of a group of runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// 90% of the better baseline's capacity.
    Steady,
    /// The same, while one tenant sends several times its rate.
    Surge,
}

impl Scenario {
    /// Returns the scenario's name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady, 90% load",
            Self::Surge => "one tenant over its rate",
        }
    }
}

/// The runs of one policy in one scenario, one for each seed.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    /// The workload's name.
    pub workload: &'static str,
    /// The traffic of the runs.
    pub scenario: Scenario,
    /// The policy of the runs.
    pub policy: Policy,
    /// The figures for each seed.
    pub runs: Vec<Figures>,
}

impl Cell {
    /// Returns the spread of a figure over the seeds.
    pub fn spread(&self, figure: fn(&Figures) -> f64) -> Spread {
        Spread::of(self.runs.iter().map(figure).collect())
    }
}

/// The goodput of a policy at one load.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct GoodputPoint {
    /// The workload's name.
    pub workload: &'static str,
    /// The policy that was measured.
    pub policy: Policy,
    /// The load, as a fraction of the policy's own capacity.
    pub load: f64,
    /// Programs finished in time per second.
    pub goodput: Spread,
}

/// The maximum throughput of a policy, over runs with different numbers of concurrent programs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Capacity {
    /// The workload's name.
    pub workload: &'static str,
    /// The policy that was measured.
    pub policy: Policy,
    /// Finished programs per second, not counting sub-agents.
    pub programs_per_second: f64,
}

/// A performance goal and whether it was met.
#[derive(Clone, Debug, Serialize)]
pub struct Aim {
    /// The workload's name.
    pub workload: &'static str,
    /// The figure that the goal is about.
    pub name: &'static str,
    /// The bound on the figure.
    pub bound: f64,
    /// The spread of the figure over the seeds.
    pub measured: Spread,
    /// Whether the median is within the bound.
    pub met: bool,
}

/// The result of [`crate::run`].
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seeds of the runs.
    pub seeds: Vec<u64>,
    /// How long programs arrive in each run, in seconds.
    pub seconds: f64,
    /// How long capacity was measured, in seconds.
    pub capacity_seconds: f64,
    /// The factor by which the surging tenant exceeds its rate.
    pub surge: f64,
    /// The engines of all runs.
    pub engines: Engines,
    /// The workloads with all their parameters.
    pub workloads: Vec<Workload>,
    /// The capacity of each policy and workload.
    pub capacities: Vec<Capacity>,
    /// The figures of each policy, workload and scenario.
    pub cells: Vec<Cell>,
    /// The goodput of each policy and workload by load.
    pub goodput: Vec<GoodputPoint>,
    /// The performance goals.
    pub aims: Vec<Aim>,
}

impl Report {
    /// Returns the report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report has only text keys")
    }

    /// Returns the report as text tables.
    pub fn table(&self) -> String {
        let mut text = String::new();

        self.header_lines(&mut text);
        self.cells.iter().for_each(|cell| cell_lines(&mut text, cell));
        self.goodput_lines(&mut text);
        self.aim_lines(&mut text);
        self.parameter_lines(&mut text);

        text
    }

    /// Writes the plot of goodput by load to an SVG file.
    pub fn plot(&self, path: &Path) -> anyhow::Result<()> {
        std::fs::write(path, crate::plot::goodput(self)?)
            .with_context(|| format!("bench: cannot write the plot to {}", path.display()))
    }

    fn header_lines(&self, text: &mut String) {
        line(text, format_args!("seeds {:?}, {} s each", self.seeds, self.seconds));
        line(text, format_args!("figures: median [min .. max] over the seeds"));

        for Capacity { workload, policy, programs_per_second } in &self.capacities {
            let name = policy.name();
            line(
                text,
                format_args!("capacity {workload}, {name}: {programs_per_second:.3} programs/s"),
            );
        }
    }

    fn goodput_lines(&self, text: &mut String) {
        line(text, format_args!("\ngoodput by load (1 is the policy's own capacity), programs/s"));

        for GoodputPoint { workload, policy, load, goodput } in &self.goodput {
            let name = policy.name();
            let spread = format_spread(goodput);
            line(text, format_args!("  {workload}, {name:<20} load {load:<5} {spread}"));
        }
    }

    fn aim_lines(&self, text: &mut String) {
        line(text, format_args!("\naims"));

        for Aim { workload, name, bound, measured, met } in &self.aims {
            let met = if *met { "met" } else { "NOT MET" };
            let spread = format_spread(measured);
            line(text, format_args!("  {workload}, {name}: {spread}, bound {bound}: {met}"));
        }
    }

    fn parameter_lines(&self, text: &mut String) {
        line(text, format_args!("\nparameters"));
        line(text, format_args!("  surge: {} times the rate", self.surge));
        line(text, format_args!("  engines: {}", json(&self.engines)));

        for workload in &self.workloads {
            line(text, format_args!("  workload: {}", json(workload)));
        }
    }
}

fn cell_lines(text: &mut String, cell: &Cell) {
    let (workload, scenario, policy) = (cell.workload, cell.scenario.name(), cell.policy.name());
    line(text, format_args!("\n{workload}, {scenario}: {policy}"));

    for (name, figure) in COLUMNS {
        let spread = format_spread(&cell.spread(figure));
        line(text, format_args!("  {name:<24} {spread}"));
    }
}

fn format_spread(spread: &Spread) -> String {
    let Spread { min, median, max } = spread;

    format!("{median:>10.3} [{min:.3} .. {max:.3}]")
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("a report has only text keys")
}

fn line(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("writing to a string does not fail");
}
