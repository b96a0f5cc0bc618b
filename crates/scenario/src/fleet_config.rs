//! The configuration of the simulated fleet.

use std::collections::BTreeSet;

use camphorwalk_core::config::Config;
use serde_json::json;

/// The template of all programs.
pub const TEMPLATE: &str = "assistant";

/// The maximum deadline of a program, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

/// A tenant as declared in a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSpec {
    /// The tenant's name.
    pub name: Box<str>,
    /// The rate in calls per second.
    pub rate: f64,
    /// The burst in calls.
    pub burst: u32,
    /// The names of the tenant's API keys.
    pub keys: Vec<Box<str>>,
    /// Whether a zone that reaches neither the platform nor other zones continues to serve the
    /// tenant.
    pub serve_when_cut_off: bool,
}

impl Default for TenantSpec {
    /// Returns a tenant whose rate and burst are too high to limit any scenario.
    fn default() -> Self {
        Self {
            name: "t1".into(),
            rate: 1_000.0,
            burst: 1_000,
            keys: vec!["k1".into()],
            serve_when_cut_off: true,
        }
    }
}

/// Builds a configuration with one engine `model-ZONE` and one plain service `deposit-ZONE` in each
/// zone. The operation of the service is not idempotent.
pub fn config(zones: &BTreeSet<Box<str>>, tenants: &[TenantSpec]) -> Config {
    let target = |name: &str, kind: &str, port: usize, zone: &str| {
        json!({ "name": format!("{name}-{zone}"), "pool": name, "kind": kind, "zone": zone,
            "address": format!("127.0.0.1:{port}"), "window": 16, "cache_tokens": if kind == "engine" { 100_000 } else { 0 } })
    };
    let targets = zones.iter().enumerate().flat_map(|(i, zone)| {
        let engine = target("model", "engine", 9_000 + i, zone);
        [engine, target("deposit", "service", 9_100 + i, zone)]
    });
    let tenants = tenants.iter().map(|t| {
        let keys = t.keys.iter().map(|key| json!({ "id": key, "sha256": digest_of(key) }));
        let keys: Vec<_> = keys.collect();
        json!({ "name": t.name, "rate_per_second": t.rate, "burst": t.burst,
            "serve_when_cut_off": t.serve_when_cut_off,
            "assistants": [{ "template": TEMPLATE, "class": "chat" }],
            "budget_tokens": 1_000_000, "keys": keys })
    });

    let config = json!({
        "fleet": {
            "name": "stories", "partitions": 8, "slices": 4,
            "zones": zones.iter().map(|z| json!({ "name": z, "region": "r" })).collect::<Vec<_>>(),
            "classes": [{ "name": "chat", "rank": 0 }],
        },
        "targets": targets.collect::<Vec<_>>(),
        "templates": [{
            "name": TEMPLATE, "max_calls": 1_000, "max_depth": 1, "max_output_tokens": 64,
            "max_deadline_ms": MAX_DEADLINE_MS,
            "targets": [
                { "name": "model", "pool": "model", "idempotent": true },
                { "name": "deposit", "pool": "deposit", "operation": "take" },
            ],
        }],
        "tenants": tenants.collect::<Vec<_>>(),
    });

    let config = serde_json::from_value(config).expect("the configuration is well formed");
    let errors = camphorwalk_declare::check(&config);
    assert!(errors.is_empty(), "{errors:?}");

    config
}

/// Returns a distinct digest for each key. Scenarios identify keys by name and use no secrets.
fn digest_of(key: &str) -> String {
    let digest = camphorwalk_core::hash::digest(&[key.as_bytes()]);

    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
