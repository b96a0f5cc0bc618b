//! `camphorwalk bench`: runs a benchmark.

use std::path::PathBuf;

use argh::FromArgs;
use serde::Serialize;

use crate::bench::limits::LimitsOptions;
use crate::exit::Exit;
use crate::measure::control::{self, ControlOptions};
use crate::measure::{memory, path};

/// Measures camphorwalk on this machine, on loopback or in virtual time.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "bench",
    example = "Queues against two baselines, in virtual time:\n  {command_name} queues --plot goodput.svg",
    example = "What control costs each of 11 hosts:\n  {command_name} control --hosts 11 --json"
)]
pub struct Bench {
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum What {
    Queues(Queues),
    Limits(Limits),
    Path(Path),
    Control(Control),
    Memory(Memory),
}

/// Compares the queues with FIFO and round robin, and FIFO and least loaded.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "queues")]
struct Queues {
    /// virtual seconds of each run; 1800 if left out
    #[argh(option)]
    seconds: Option<f64>,
    /// the seeds, with commas between them; 1,2,3,4,5 if left out
    #[argh(option)]
    seeds: Option<String>,
    /// write a plot of goodput by load to this SVG file
    #[argh(option)]
    plot: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Compares lent slices with a static split and one leased counter for each tenant.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "limits")]
struct Limits {
    /// how many seeds; each scenario runs once with each
    #[argh(option, default = "10")]
    seeds: u64,
    /// print JSON on one line
    #[argh(switch)]
    json: bool,
}

/// Measures what the path through a host adds to a call.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "path")]
struct Path {
    /// calls that are counted in each way; at most 20000
    #[argh(option, default = "500")]
    calls: u32,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Measures what control costs each host, in virtual time.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "control")]
struct Control {
    /// hosts
    #[argh(option, default = "11")]
    hosts: usize,
    /// tenants
    #[argh(option, default = "8")]
    tenants: usize,
    /// calls a second, over all hosts
    #[argh(option, default = "0")]
    calls: u32,
    /// programs under way
    #[argh(option, default = "100")]
    programs: usize,
    /// virtual seconds that are counted
    #[argh(option, default = "20")]
    seconds: u64,
    /// how many times longer than by default the periods of renewal, polls and gossip are
    #[argh(option, default = "1")]
    stretch: u32,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Measures the memory that open programs take at their home.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "memory")]
struct Memory {
    /// programs
    #[argh(option, default = "10000")]
    programs: usize,
    /// calls that each makes
    #[argh(option, default = "0")]
    calls: u32,
    /// bytes of input in each call
    #[argh(option, default = "400")]
    input: usize,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// The maximum number of counted calls per kind in the path measurement. It bounds the duration of
/// the measurement, since calls are made one at a time.
const MAX_CALLS: u32 = 20_000;

impl Bench {
    /// Runs the command and returns its exit code.
    pub async fn run(self) -> Exit {
        match self.what {
            What::Queues(queues) => queues.run(),
            What::Limits(limits) => limits.run(),
            What::Path(path) => path.run().await,
            What::Control(control) => control.run(),
            What::Memory(memory) => {
                eprintln!("bench: {} programs of {} calls", memory.programs, memory.calls);
                let report = memory::measure(memory.programs, memory.calls, memory.input);
                print(&report, memory.json)
            }
        }
    }
}

impl Queues {
    fn run(self) -> Exit {
        let mut options = crate::bench::BenchOptions::default();
        if let Some(seconds) = self.seconds {
            options.seconds = seconds;
        }
        if let Some(seeds) = &self.seeds {
            let parsed: Result<Vec<u64>, _> = seeds.split(',').map(str::parse).collect();
            match parsed {
                Ok(parsed) => options.seeds = parsed,
                Err(e) => return usage(&format!("--seeds: {e}")),
            }
        }

        eprintln!("bench: runs {} seeds; this takes a while", options.seeds.len());
        let report = crate::bench::run(&options);
        println!("{}", if self.json { report.to_json() } else { report.table() });
        match self.plot.map(|file| report.plot(&file)) {
            Some(Err(e)) => {
                eprintln!("bench: {e:#}");
                Exit::Refused
            }
            _ => Exit::Done,
        }
    }
}

impl Limits {
    fn run(self) -> Exit {
        if self.seeds == 0 {
            return usage("--seeds: at least 1");
        }

        eprintln!("bench: runs {} seeds; this takes a while", self.seeds);
        let options = LimitsOptions { seeds: self.seeds, ..LimitsOptions::default() };
        print(&crate::bench::limits::run(options), self.json)
    }
}

impl Path {
    async fn run(self) -> Exit {
        if self.calls > MAX_CALLS {
            return usage("--calls: at most 20000");
        }

        eprintln!("bench: {} calls each way, about {} s", self.calls, self.calls / 8);
        match path::measure(self.calls).await {
            Ok(report) => print(&report, self.json),
            Err(e) => {
                eprintln!("bench: {e:#}");
                Exit::Refused
            }
        }
    }
}

impl Control {
    fn run(self) -> Exit {
        if self.hosts == 0 || self.tenants == 0 || self.seconds == 0 || self.stretch == 0 {
            return usage("hosts, tenants, seconds and stretch are above zero");
        }

        eprintln!("bench: {} hosts for {} virtual seconds", self.hosts, self.seconds);
        let report = control::measure(ControlOptions {
            hosts: self.hosts,
            tenants: self.tenants,
            calls_per_second: self.calls,
            programs: self.programs,
            seconds: self.seconds,
            stretch: self.stretch,
        });
        print(&report, self.json)
    }
}

fn usage(fault: &str) -> Exit {
    eprintln!("bench: {fault}");

    Exit::Usage
}

/// Prints a report as JSON: on one line with `json`, otherwise indented.
fn print(report: &impl Serialize, json: bool) -> Exit {
    let text =
        if json { serde_json::to_string(report) } else { serde_json::to_string_pretty(report) };
    println!("{}", text.expect("a report can be written as JSON"));

    Exit::Done
}
