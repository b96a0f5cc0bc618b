//! Prints the measurements of slices as JSON: `limits [slopes]`.

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
