//! Prints the measurements of rate limiting as JSON. `limits` compares the methods under faults;
//! `limits slopes` prints the message costs of slices by fleet size.

use camphorwalk_bench::limits::{LimitsOptions, run, slope};

fn main() -> anyhow::Result<()> {
    if std::env::args().nth(1).as_deref() != Some("slopes") {
        println!("{}", serde_json::to_string(&run(LimitsOptions::default()))?);
        return Ok(());
    }

    for hosts in [4, 11, 40, 100, 390] {
        for tenants in [8, 40, 160, 310] {
            println!("{}", serde_json::to_string(&slope(tenants, hosts))?);
        }
    }

    Ok(())
}
