//! The calls and faults that each limiting method is measured with.

use std::sync::Arc;

use camphorwalk_core::config::{Config, Fleet, Tenant, Zone};
use camphorwalk_core::hash::rendezvous;
use camphorwalk_core::ids::{HostId, TenantId};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use serde::Serialize;

use super::fleet::{MILLI, SECOND};

/// The time before the first call, in which columns are granted and slices fill up.
pub(super) const WARM_UP: u64 = 30 * SECOND;

/// The tenants (name, rate per second, burst): a few large ones, as in the Inkwick and Inzira
/// deployments.
const TENANTS: [(&str, f64, u32); 8] = [
    ("t1", 40.0, 40),
    ("t2", 20.0, 20),
    ("t3", 10.0, 12),
    ("t4", 5.0, 10),
    ("t5", 4.0, 8),
    ("t6", 3.0, 8),
    ("t7", 2.0, 6),
    ("t8", 1.0, 6),
];

const ZONES: [&str; 3] = ["a", "b", "c"];

const SLICES: u16 = 16;

/// Builds a configuration with these tenants (name, rate per second, burst).
///
/// ```
/// use camphorwalk_bench::limits::config;
/// let cfg = config(&["a", "b"], 4, &[("ramps", 2.0, 5)]);
/// assert_eq!(cfg.tenants[0].burst, 5);
/// ```
pub fn config(zones: &[&str], slices: u16, tenants: &[(&str, f64, u32)]) -> Arc<Config> {
    let zone = |name: &&str| Zone { name: (*name).into(), region: "midlands".into() };
    let tenant = |(name, rate, burst): &(&str, f64, u32)| Tenant {
        name: (*name).into(),
        assistants: vec![],
        rate_per_second: *rate,
        burst: *burst,
        budget_tokens: Default::default(),
        weight: 1,
        keys: vec![],
        serve_when_cut_off: true,
    };
    let fleet = Fleet {
        name: "inkwick".into(),
        zones: zones.iter().map(zone).collect(),
        classes: vec![],
        partitions: 8,
        slices,
    };

    Arc::new(Config {
        version: Default::default(),
        fleet,
        targets: vec![],
        templates: vec![],
        tenants: tenants.iter().map(tenant).collect(),
    })
}

/// The conditions of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// No faults; four fifths of each tenant's calls enter at one host.
    SkewedEntry,
    /// No faults; calls arrive in bursts of up to half the tenant's burst, each at one host.
    SmallBursts,
    /// One zone reaches neither the other zones nor the platform during the middle third.
    ZoneCut,
    /// The admission host of the largest tenant (the host that other hosts ask for tokens) dies
    /// after one third.
    PoolKilled,
    /// The largest tenant sends five times its rate.
    FiveTimes,
    /// Each host in turn is shut down gracefully and restarted. Run with slices only.
    RollingRestart,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 6] = [
        Self::SkewedEntry,
        Self::SmallBursts,
        Self::ZoneCut,
        Self::PoolKilled,
        Self::FiveTimes,
        Self::RollingRestart,
    ];
}

/// A call that enters at a host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    /// When the call arrives, in microseconds.
    pub(super) at: u64,
    pub(super) host: usize,
    /// The tenant's index in the configuration.
    pub(super) tenant: usize,
}

/// A scenario with its calls.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) scenario: Scenario,
    pub(super) cfg: Arc<Config>,
    pub(super) hosts: usize,
    /// The calls in order of time.
    pub(super) calls: Vec<Call>,
    /// The start and end of the middle third. A network partition lasts from the start to the end;
    /// a host that dies does so at the start.
    pub(super) fault_window: (u64, u64),
    pub(super) end: u64,
    pub(super) seed: u64,
}

impl Plan {
    pub(super) fn new(scenario: Scenario, hosts: usize, span: u64, seed: u64) -> Self {
        let cfg = config(&ZONES, SLICES, &TENANTS);
        let fault_window = (WARM_UP + span / 3, WARM_UP + span * 2 / 3);
        let mut plan =
            Self { scenario, cfg, hosts, calls: vec![], fault_window, end: WARM_UP + span, seed };

        let mut rng = SmallRng::seed_from_u64(seed);
        (0..TENANTS.len()).for_each(|tenant| plan.add_calls(tenant, &mut rng));
        plan.calls.sort_by_key(|call| call.at);
        plan
    }

    /// Returns whether a host is in the zone that is isolated during the network partition.
    pub(super) fn is_isolated(&self, host: usize) -> bool {
        self.scenario == Scenario::ZoneCut && host % ZONES.len() == ZONES.len() - 1
    }

    /// Returns the host that dies, and when.
    pub(super) fn killed_host(&self) -> Option<(usize, u64)> {
        let host = self.admission_host(0, |_| true);

        (self.scenario == Scenario::PoolKilled).then_some((host, self.fault_window.0))
    }

    /// Returns the admission host of a tenant if only the hosts accepted by `seen` can be reached.
    pub(super) fn admission_host(&self, tenant: usize, seen: impl Fn(usize) -> bool) -> usize {
        let id = TenantId::from_name(TENANTS[tenant].0);
        let hosts = (0..self.hosts).filter(|host| seen(*host));
        let ids: Vec<(usize, HostId)> = hosts.map(|host| (host, host_id(host))).collect();
        let winner = rendezvous(id.0, ids.iter().map(|(_, id)| id.0));

        ids.iter().find(|(_, id)| Some(id.0) == winner).map_or(0, |(host, _)| *host)
    }

    /// Adds the calls of a tenant: bursts at random times.
    fn add_calls(&mut self, tenant: usize, rng: &mut SmallRng) {
        let (_, rate, burst) = TENANTS[tenant];
        let load = if self.scenario == Scenario::FiveTimes && tenant == 0 { 5.0 } else { 0.8 };
        let max_calls = if self.scenario == Scenario::SmallBursts { burst / 2 } else { 3 };
        let main_host = rng.random_range(0..self.hosts);
        let mut at = WARM_UP as f64;

        loop {
            let calls = rng.random_range(1..=max_calls.max(1));
            let mean = f64::from(calls) / (rate * load) * SECOND as f64;
            at += -mean * (1.0 - rng.random::<f64>()).ln();

            if self.end as f64 <= at {
                return;
            }

            let skewed = self.scenario == Scenario::SkewedEntry && rng.random_bool(0.8);
            let host = if skewed { main_host } else { rng.random_range(0..self.hosts) };
            let host = self.serving_host(host, at as u64);
            let call = Call { at: at as u64, host, tenant };
            self.calls.extend((0..calls).map(|_| call));
        }
    }

    /// Returns when a host starts its shutdown in a rolling restart. Hosts follow each other at
    /// equal intervals.
    pub(super) fn shutdown_start(&self, host: usize) -> u64 {
        let interval = (self.end - WARM_UP) / self.hosts as u64;

        WARM_UP + interval * host as u64
    }

    /// Returns the host that a call enters at: `host`, or the next one while `host` is dead or
    /// restarting.
    fn serving_host(&self, host: usize, at: u64) -> usize {
        let start = self.shutdown_start(host);
        let is_restarting = self.scenario == Scenario::RollingRestart
            && (start..start + SHUTDOWN_TIME + RESTART_TIME).contains(&at);
        let is_dead = self.killed_host().is_some_and(|(dead, when)| dead == host && when <= at);

        if is_restarting || is_dead { (host + 1) % self.hosts } else { host }
    }
}

/// Returns the id of a host of a measured fleet.
pub(super) fn host_id(host: usize) -> HostId {
    HostId::from_name(&format!("host-{host}"))
}

/// The time from the start of a host's shutdown to the end of its process in a rolling restart. In
/// this time the host receives no calls and returns its slices.
pub(super) const SHUTDOWN_TIME: u64 = SECOND;

/// The time from the end of the process to its restart in a rolling restart.
pub(super) const RESTART_TIME: u64 = SECOND;

/// The time after which the other hosts have noticed that a host died or was isolated.
pub(super) const DETECTION_DELAY: u64 = 2_000 * MILLI;
