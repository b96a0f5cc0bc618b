//! Prints the whole report, and writes the plot to the file given as the first argument: `cargo run
//! --release -p camphorwalk-bench --example queues [PLOT.svg]`.

use std::path::Path;

use camphorwalk_bench::{BenchOptions, run};

fn main() -> anyhow::Result<()> {
    let report = run(&BenchOptions::default());
    print!("{}", report.table());

    match std::env::args().nth(1) {
        Some(path) => report.plot(Path::new(&path)),
        None => Ok(()),
    }
}
