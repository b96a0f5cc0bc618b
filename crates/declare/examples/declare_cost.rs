//! Measures the size of bundles, and the time to write, read, check and compare them, for
//! configurations of several sizes. Prints one JSON object per line.

use std::path::Path;
use std::time::Instant;

use camphorwalk_core::config::{Config, Key};
use camphorwalk_declare::{bundle, check, diff, load, unbundle};
use serde_json::json;

/// How often each step is repeated to get its mean time.
const REPEATS: u32 = 20;

fn main() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deployments/inkwick");
    let example = load(&folder).unwrap();

    for (tenants, targets) in [(8, 12), (80, 150), (310, 600), (620, 1200)] {
        measure(&scaled(&example, tenants, targets));
    }
}

/// Returns a configuration with this many tenants and targets, made from copies of an example's.
fn scaled(example: &Config, tenants: usize, targets: usize) -> Config {
    let mut config = example.clone();

    config.targets = (0..targets)
        .map(|number| {
            let mut target = example.targets[number % example.targets.len()].clone();
            target.name = format!("target-{number}").into();
            target.address.set_port(10_000 + number as u16);
            target
        })
        .collect();
    config.tenants = (0..tenants)
        .map(|number| {
            let mut tenant = example.tenants[number % example.tenants.len()].clone();
            tenant.name = format!("tenant-{number}").into();
            let sha256 = format!("{number:064x}").into();
            tenant.keys = vec![Key { id: format!("key-{number}").into(), sha256 }];
            tenant
        })
        .collect();
    config
}

/// Measures one configuration and prints the result.
fn measure(config: &Config) {
    assert!(check(config).is_empty());
    let bytes = bundle(config);
    let mut changed = config.clone();
    changed.tenants[0].burst += 1;

    let line = json!({
        "tenants": config.tenants.len(),
        "targets": config.targets.len(),
        "bundle_bytes": bytes.len(),
        "bundle_ms": mean_ms(|| drop(bundle(config))),
        "unbundle_and_check_ms": mean_ms(|| drop(unbundle(&bytes).unwrap())),
        "check_ms": mean_ms(|| drop(check(config))),
        "diff_ms": mean_ms(|| drop(diff(config, &changed))),
    });
    println!("{line}");
}

/// Returns the mean time of a step, in milliseconds.
fn mean_ms(step: impl Fn()) -> f64 {
    let started = Instant::now();
    for _ in 0..REPEATS {
        step();
    }

    started.elapsed().as_secs_f64() * 1e3 / f64::from(REPEATS)
}
