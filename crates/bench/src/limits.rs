//! Compares lent slices with simpler methods of limiting rate and burst, under faults and in
//! virtual time. A slice is a part of a tenant's rate and burst that only one host at a time may
//! use.

mod bucket;
mod checks;
mod fleet;
mod methods;
mod scenario;
mod slopes;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationSeconds, serde_as};

pub use bucket::ExactBucket;
pub use fleet::{Fleet, MILLI, Net, Node, SECOND, Traffic};
pub use methods::Method;
pub use scenario::{Scenario, config};
pub use slopes::{Slope, slope};

use scenario::Plan;

/// Options of [`run`].
#[serde_as]
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LimitsOptions {
    /// The number of seeds: each scenario runs once with each.
    pub seeds: u64,
    /// The number of hosts, in three zones.
    pub hosts: usize,
    /// The virtual time of each run in which calls arrive.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "span_s")]
    pub span: Duration,
}

impl Default for LimitsOptions {
    fn default() -> Self {
        Self { seeds: 10, hosts: 11, span: Duration::from_secs(120) }
    }
}

/// The result of [`run`].
#[derive(Clone, Debug, Serialize)]
pub struct LimitsReport {
    /// The options of the run.
    pub options: LimitsOptions,
    /// One entry for each scenario and method.
    pub entries: Vec<LimitsEntry>,
}

/// The results of a method in a scenario, over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct LimitsEntry {
    /// The scenario that was run.
    pub scenario: Scenario,
    /// The method that was used.
    pub method: Method,
    /// The maximum number of tokens taken in any window of time t, divided by B + R t (burst and
    /// rate).
    pub worst_window: Spread,
    /// The same for the times at which callers received their answers. The host that a call enters
    /// at may have to ask another host for a token, so an answer may be delayed by up to the
    /// timeout of that request. This brings admissions closer together.
    pub worst_window_at_callers: Spread,
    /// Refused calls that one exact bucket would have admitted, per 1,000 calls that it admits.
    /// Only each tenant's totals are compared, so two calls that swap their outcome do not count.
    pub wrongful_per_1000: Spread,
    /// Messages sent and received, per second and host.
    pub messages_per_second: Spread,
    /// Bytes of these messages, per second and host.
    pub bytes_per_second: Spread,
}

/// The spread of a figure over all seeds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spread {
    /// The minimum.
    pub min: f64,
    /// The median.
    pub median: f64,
    /// The maximum.
    pub max: f64,
}

impl Spread {
    fn of(mut figures: Vec<f64>) -> Self {
        figures.sort_by(f64::total_cmp);
        let at = |i: usize| figures.get(i).copied().unwrap_or_default();

        Self { min: at(0), median: at(figures.len() / 2), max: at(figures.len().max(1) - 1) }
    }
}

/// The figures of one run.
struct Figures {
    worst_window: f64,
    worst_window_at_callers: f64,
    wrongful_per_1000: f64,
    messages_per_second: f64,
    bytes_per_second: f64,
}

/// Runs each scenario with each of its methods.
///
/// ```
/// use camphorwalk_bench::limits::{LimitsOptions, Method, run};
/// let options = LimitsOptions { seeds: 1, hosts: 4, span: std::time::Duration::from_secs(6) };
/// let report = run(options);
/// let slices = report.entries.iter().filter(|entry| entry.method == Method::Slices);
/// assert!(slices.into_iter().all(|entry| entry.worst_window.max <= 1.0));
/// ```
pub fn run(options: LimitsOptions) -> LimitsReport {
    let mut entries = Vec::new();

    for scenario in Scenario::ALL {
        let plans: Vec<Plan> = (0..options.seeds)
            .map(|seed| Plan::new(scenario, options.hosts, options.span.as_micros() as u64, seed))
            .collect();

        for method in Method::of(scenario) {
            let figures: Vec<Figures> = plans.iter().map(|plan| measure(*method, plan)).collect();
            entries.push(entry(scenario, *method, &figures));
        }
    }

    LimitsReport { options, entries }
}

fn entry(scenario: Scenario, method: Method, figures: &[Figures]) -> LimitsEntry {
    let spread = |of: fn(&Figures) -> f64| Spread::of(figures.iter().map(of).collect());

    LimitsEntry {
        scenario,
        method,
        worst_window: spread(|f| f.worst_window),
        worst_window_at_callers: spread(|f| f.worst_window_at_callers),
        wrongful_per_1000: spread(|f| f.wrongful_per_1000),
        messages_per_second: spread(|f| f.messages_per_second),
        bytes_per_second: spread(|f| f.bytes_per_second),
    }
}

fn measure(method: Method, plan: &Plan) -> Figures {
    let outcome = methods::run(method, plan);
    let exact = methods::exact(plan);
    let count = |calls: &BTreeMap<usize, Vec<u64>>, tenant| calls.get(&tenant).map_or(0, Vec::len);

    let expected: usize = exact.values().map(Vec::len).sum();
    let missing =
        |tenant: &usize| count(&exact, *tenant).saturating_sub(count(&outcome.admitted, *tenant));
    let wrongful: usize = exact.keys().map(missing).sum();
    let host_seconds = plan.hosts as f64 * (plan.end - scenario::WARM_UP) as f64 / SECOND as f64;

    Figures {
        worst_window: worst_window(plan, &outcome.taken),
        worst_window_at_callers: worst_window(plan, &outcome.admitted),
        wrongful_per_1000: 1_000.0 * wrongful as f64 / expected.max(1) as f64,
        messages_per_second: outcome.traffic.messages as f64 / host_seconds,
        bytes_per_second: outcome.traffic.bytes as f64 / host_seconds,
    }
}

/// Returns the maximum, over all tenants and windows of time t, of admitted calls divided by B + R
/// t.
fn worst_window(plan: &Plan, calls: &BTreeMap<usize, Vec<u64>>) -> f64 {
    let mut worst = 0.0_f64;

    for (tenant, calls) in calls {
        let tenant = &plan.cfg.tenants[*tenant];

        for (first, start) in calls.iter().enumerate() {
            for (last, end) in calls.iter().enumerate().skip(first) {
                let span = (end - start) as f64 / SECOND as f64;
                let max_calls = f64::from(tenant.burst) + tenant.rate_per_second * span;
                worst = worst.max((last - first + 1) as f64 / max_calls);
            }
        }
    }

    worst
}
