//! The configuration of the simulated fleet that measurements run with.

use camphorwalk_core::config::Config;
use serde_json::json;

/// The number of availability zones.
pub const ZONES: usize = 4;

/// Returns the name of a host's zone. Hosts are spread evenly over the zones.
pub fn zone_of(host: usize) -> String {
    format!("z{}", host % ZONES)
}

/// Returns the name of the tenant with this index.
pub fn tenant_name(tenant: usize) -> String {
    format!("t{tenant}")
}

/// Returns a configuration with this many tenants and partitions. Rates, budgets and windows are
/// set so high that they never limit the load.
pub fn config(tenants: usize, partitions: u16) -> Config {
    let zone = |z: usize| json!({ "name": zone_of(z), "region": "r" });
    let engine = |z: usize| {
        json!({ "name": format!("model-{z}"), "pool": "model", "kind": "engine",
            "zone": zone_of(z), "address": format!("127.0.0.1:{}", 9_000 + z), "window": 100_000,
            "cache_tokens": 1_000_000 })
    };
    let tenant = |t: usize| {
        json!({ "name": tenant_name(t),
            "assistants": [{ "template": "assistant", "class": "chat" }],
            "rate_per_second": 10_000.0, "burst": 100_000, "budget_tokens": 1_000_000_000,
            "keys": [{ "id": format!("t{t}-1"), "sha256": format!("{t:064x}") }] })
    };

    let config = json!({
        "fleet": {
            "name": "measure", "partitions": partitions, "slices": 16,
            "zones": (0..ZONES).map(zone).collect::<Vec<_>>(),
            "classes": [{ "name": "chat", "rank": 0 }],
        },
        "targets": (0..ZONES).map(engine).collect::<Vec<_>>(),
        "templates": [{
            "name": "assistant",
            "targets": [{ "name": "model", "pool": "model", "idempotent": true }],
            "max_calls": 1_000, "max_depth": 1, "max_output_tokens": 64,
            "max_deadline_ms": 3_600_000,
        }],
        "tenants": (0..tenants).map(tenant).collect::<Vec<_>>(),
    });

    serde_json::from_value(config).expect("the configuration matches its schema")
}
