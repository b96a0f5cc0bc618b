//! The configuration of a bench run.

use std::net::{Ipv4Addr, SocketAddr};

use camphorwalk_core::config::{Class, Config, Fleet, Target, TargetKind, Tenant, Zone};
use camphorwalk_core::units::{ConfigVersion, Tokens};
use serde::Serialize;

use crate::engine::EngineShape;
use crate::workload::Workload;

/// The engines of a run, and the delay and loss of their reports.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Engines {
    /// The number of engines.
    pub count: usize,
    /// The properties of each engine.
    pub shape: EngineShape,
    /// The maximum number of calls in flight that the configuration allows for each engine.
    pub window: u32,
    /// The time between load reports, in seconds.
    pub report_every: f64,
    /// The delay of a load report, in seconds.
    pub report_lag: f64,
    /// The delay of the report of an eviction, in seconds.
    pub event_lag: f64,
    /// The fraction of evictions that are never reported.
    pub event_loss: f64,
}

impl Default for Engines {
    fn default() -> Self {
        Self {
            count: 3,
            shape: EngineShape::default(),
            window: 8,
            report_every: 0.5,
            report_lag: 1.0,
            event_lag: 2.0,
            event_loss: 0.3,
        }
    }
}

/// The pool of the engines.
pub const POOL: &str = "model";

/// The availability zone of the engines and of the host that holds their queue.
pub const ZONE: &str = "a";

/// The weight of a tenant with all of the traffic. Weights are integers, so they are scaled by this
/// factor.
const WEIGHT_SCALE: f64 = 100.0;

/// Returns the name of an engine.
pub fn target_name(number: usize) -> Box<str> {
    format!("engine-{number}").into()
}

/// Returns the name of a tenant.
pub fn tenant_name(number: usize) -> Box<str> {
    format!("tenant-{number}").into()
}

/// Builds the configuration of a fleet with these engines for a workload.
pub fn config(workload: &Workload, engines: &Engines) -> Config {
    Config {
        version: ConfigVersion(1),
        fleet: fleet(workload),
        targets: (0..engines.count).map(|number| target(number, engines)).collect(),
        templates: Vec::new(),
        tenants: workload.tenant_parts.iter().enumerate().map(tenant).collect(),
    }
}

fn fleet(workload: &Workload) -> Fleet {
    let mut classes: Vec<Class> = Vec::new();

    for kind in &workload.kinds {
        if classes.iter().all(|class| &*class.name != kind.class) {
            classes.push(Class { name: kind.class.into(), rank: kind.rank });
        }
    }

    Fleet {
        name: workload.name.into(),
        zones: vec![Zone { name: ZONE.into(), region: "region".into() }],
        classes,
        partitions: 1,
        slices: 1,
    }
}

fn target(number: usize, engines: &Engines) -> Target {
    Target {
        name: target_name(number),
        pool: POOL.into(),
        kind: TargetKind::Engine,
        zone: ZONE.into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        window: engines.window,
        cache_tokens: Tokens(engines.shape.cache_tokens),
        checks_fencing: false,
        leaving: false,
    }
}

fn tenant((number, part): (usize, &f64)) -> Tenant {
    Tenant {
        name: tenant_name(number),
        assistants: Vec::new(),
        rate_per_second: 1.0,
        burst: 1,
        budget_tokens: Tokens(u64::MAX),
        weight: (part * WEIGHT_SCALE).round().max(1.0) as u32,
        keys: Vec::new(),
        serve_when_cut_off: true,
    }
}
