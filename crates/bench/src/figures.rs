//! Computes the figures of a run from its trace.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::engine::EngineShape;
use crate::fleet::Engines;
use crate::simulation::{ProgramEnd, Trace};
use crate::workload::{Program, Workload, micros};

/// Programs that arrive in the first seconds only warm up the caches and are not counted.
pub const WARM_UP_SECONDS: f64 = 60.0;

/// The maximum latency that histograms record, in milliseconds.
const MAX_LATENCY_MS: u64 = 3_600_000;

/// The figures of one run. Latencies, slowdowns, refusals and goodput are those of programs that
/// arrive after the warm-up and are not sub-agents. A program that did not finish in time counts
/// with its whole deadline as latency, so that refusing programs does not improve the latencies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Median program latency, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of program latency, in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile of program latency, in milliseconds.
    pub p99_ms: f64,
    /// 95th percentile of program latency in the first class, in milliseconds.
    pub first_class_p95_ms: f64,
    /// 95th percentile of the time that programs take alone on an engine, in milliseconds: a lower
    /// bound for the program latency of any policy.
    pub alone_p95_ms: f64,
    /// The same for programs of the first class.
    pub first_class_alone_p95_ms: f64,
    /// 95th percentile of the difference between a program's latency and its time alone, in
    /// milliseconds.
    pub delay_p95_ms: f64,
    /// Programs per thousand whose time alone exceeds their deadline; no policy can finish them.
    pub hopeless: f64,
    /// Thousands of prompt tokens computed again, after an earlier turn had computed them.
    pub recomputed_kilotokens: f64,
    /// The largest mean slowdown of a tenant within its rate. The slowdown of a program is its
    /// latency divided by the time that it takes alone on an engine.
    pub worst_slowdown: f64,
    /// The mean of the mean slowdowns of the tenants within their rate.
    pub mean_slowdown: f64,
    /// `worst_slowdown` divided by `mean_slowdown`.
    pub worst_to_mean: f64,
    /// The mean slowdown of the surging tenant, 0 if there is none.
    pub surging_slowdown: f64,
    /// Refused programs per thousand, of the tenants within their rate.
    pub refused_within_rate: f64,
    /// Timed-out programs per thousand, of the tenants within their rate.
    pub timed_out_within_rate: f64,
    /// Median time from the arrival of a program to its refusal, in milliseconds.
    pub told_p50_ms: f64,
    /// Thousands of tokens served to programs that did not finish.
    pub wasted_kilotokens: f64,
    /// Programs finished in time per second.
    pub goodput: f64,
}

/// A figure's name in tables, and the function that returns it.
pub type Column = (&'static str, fn(&Figures) -> f64);

/// All figures, in the order in which tables list them.
pub const COLUMNS: [Column; 18] = [
    ("p50 ms", |f| f.p50_ms),
    ("p95 ms", |f| f.p95_ms),
    ("p99 ms", |f| f.p99_ms),
    ("first class p95 ms", |f| f.first_class_p95_ms),
    ("alone p95 ms", |f| f.alone_p95_ms),
    ("first class alone p95 ms", |f| f.first_class_alone_p95_ms),
    ("delay p95 ms", |f| f.delay_p95_ms),
    ("cannot finish /1000", |f| f.hopeless),
    ("re-computed ktok", |f| f.recomputed_kilotokens),
    ("worst slowdown", |f| f.worst_slowdown),
    ("mean slowdown", |f| f.mean_slowdown),
    ("worst / mean", |f| f.worst_to_mean),
    ("surging slowdown", |f| f.surging_slowdown),
    ("refused in rate /1000", |f| f.refused_within_rate),
    ("timed out in rate /1000", |f| f.timed_out_within_rate),
    ("refused after p50 ms", |f| f.told_p50_ms),
    ("wasted ktok", |f| f.wasted_kilotokens),
    ("goodput /s", |f| f.goodput),
];

/// The minimum, median and maximum over several runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// The minimum.
    pub min: f64,
    /// The median.
    pub median: f64,
    /// The maximum.
    pub max: f64,
}

impl Spread {
    /// Returns the spread of some values; zeros if there are none.
    ///
    /// ```
    /// use camphorwalk_bench::figures::Spread;
    /// let spread = Spread::of(vec![3.0, 1.0, 2.0]);
    /// assert_eq!((spread.min, spread.median, spread.max), (1.0, 2.0, 3.0));
    /// ```
    pub fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);

        let at = |index: usize| values.get(index).copied().unwrap_or_default();
        let last = values.len().saturating_sub(1);

        Self { min: at(0), median: at(last / 2), max: at(last) }
    }
}

/// The counts of one tenant.
#[derive(Clone, Copy, Debug, Default)]
struct TenantCount {
    programs: u64,
    refused: u64,
    timed_out: u64,
    slowdown_sum: f64,
}

impl TenantCount {
    fn mean_slowdown(&self) -> f64 {
        self.slowdown_sum / self.programs.max(1) as f64
    }
}

/// Computes the figures of a run; `surging` is the tenant that exceeded its rate, if any.
pub fn compute_figures(
    workload: &Workload,
    programs: &[Program],
    engines: &Engines,
    trace: &Trace,
    seconds: f64,
    surging: Option<usize>,
) -> Figures {
    let mut tenants = vec![TenantCount::default(); workload.tenant_parts.len()];
    let mut latencies = histogram();
    let mut first_class = histogram();
    let mut alone_latencies = histogram();
    let mut first_class_alone = histogram();
    let mut delays = histogram();
    let mut refusal_times = histogram();
    let (mut finished, mut hopeless) = (0_u64, 0_u64);

    for (number, program) in programs.iter().enumerate() {
        if program.parent.is_some() || program.arrival < micros(WARM_UP_SECONDS) {
            continue;
        }

        let kind = &workload.kinds[program.kind];
        let outcome = trace.outcomes[number];
        let end = outcome.map_or(ProgramEnd::TimedOut, |outcome| outcome.end);
        let latency = match outcome {
            Some(outcome) if end == ProgramEnd::Finished => outcome.at - program.arrival,
            _ => micros(kind.deadline),
        };
        let tenant = &mut tenants[program.tenant];

        let alone = time_alone(programs, number, &engines.shape);

        latencies.saturating_record(latency / 1_000);
        alone_latencies.saturating_record(alone / 1_000);
        delays.saturating_record(latency.saturating_sub(alone) / 1_000);
        if let Some(refused) = outcome.filter(|outcome| outcome.end == ProgramEnd::Refused) {
            refusal_times.saturating_record((refused.at - program.arrival) / 1_000);
        }

        hopeless += u64::from(alone > micros(kind.deadline));

        if kind.rank == 0 {
            first_class.saturating_record(latency / 1_000);
            first_class_alone.saturating_record(alone / 1_000);
        }

        tenant.programs += 1;
        tenant.refused += u64::from(end == ProgramEnd::Refused);
        tenant.timed_out += u64::from(end == ProgramEnd::TimedOut);
        tenant.slowdown_sum += latency as f64 / alone as f64;
        finished += u64::from(end == ProgramEnd::Finished);
    }

    let in_rate: Vec<TenantCount> = (0..tenants.len())
        .filter(|tenant| surging != Some(*tenant))
        .map(|tenant| tenants[tenant])
        .collect();
    let total: u64 = in_rate.iter().map(|tenant| tenant.programs).sum();
    let per_thousand = |count: u64| 1_000.0 * count as f64 / total.max(1) as f64;
    let slowdowns: Vec<f64> = in_rate.iter().map(TenantCount::mean_slowdown).collect();
    let mean = slowdowns.iter().sum::<f64>() / slowdowns.len().max(1) as f64;
    let worst = slowdowns.iter().copied().fold(0.0, f64::max);

    Figures {
        p50_ms: latencies.value_at_quantile(0.5) as f64,
        p95_ms: latencies.value_at_quantile(0.95) as f64,
        p99_ms: latencies.value_at_quantile(0.99) as f64,
        first_class_p95_ms: first_class.value_at_quantile(0.95) as f64,
        alone_p95_ms: alone_latencies.value_at_quantile(0.95) as f64,
        first_class_alone_p95_ms: first_class_alone.value_at_quantile(0.95) as f64,
        delay_p95_ms: delays.value_at_quantile(0.95) as f64,
        hopeless: 1_000.0 * hopeless as f64 / latencies.len().max(1) as f64,
        recomputed_kilotokens: trace.recomputed as f64 / 1_000.0,
        worst_slowdown: worst,
        mean_slowdown: mean,
        worst_to_mean: worst / mean,
        surging_slowdown: surging.map_or(0.0, |tenant| tenants[tenant].mean_slowdown()),
        refused_within_rate: per_thousand(in_rate.iter().map(|tenant| tenant.refused).sum()),
        timed_out_within_rate: per_thousand(in_rate.iter().map(|tenant| tenant.timed_out).sum()),
        told_p50_ms: refusal_times.value_at_quantile(0.5) as f64,
        wasted_kilotokens: wasted(trace) as f64 / 1_000.0,
        goodput: finished as f64 / (seconds - WARM_UP_SECONDS),
    }
}

/// Returns the tokens served to programs that did not finish.
fn wasted(trace: &Trace) -> u64 {
    let unfinished =
        trace.outcomes.iter().zip(&trace.served).filter(|(outcome, _)| {
            outcome.is_none_or(|outcome| outcome.end != ProgramEnd::Finished)
        });

    unfinished.map(|(_, served)| served).sum()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_MS, 3).expect("the bounds are valid")
}

/// Returns the time that a program takes alone on an engine that keeps its prefix cached, in
/// microseconds.
pub fn time_alone(programs: &[Program], number: usize, shape: &EngineShape) -> u64 {
    let mut cached = 0;
    let mut time = 0;

    for turn in &programs[number].turns {
        let computed = (turn.prompt - cached).max(1);
        let chunks = computed.div_ceil(shape.prompt_chunk);
        let children = turn.children.iter().map(|child| time_alone(programs, *child, shape)).max();

        time += chunks * shape.iteration + computed * shape.prompt_token_nanos / 1_000;
        time += turn.output * (shape.iteration + shape.decode_sequence);
        time += turn.pause.max(children.unwrap_or(0));
        cached = turn.prompt + turn.output;
    }

    time
}
