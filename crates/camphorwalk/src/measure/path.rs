//! Measures the latency that a host adds to a call, compared with calling the service directly.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;

use crate::client::Client;
use crate::demo::{Fleet, TEMPLATE};

/// The number of calls that warm up connections and are not counted.
const WARM_UP_CALLS: u32 = 50;

/// The upper bound of the latency histogram in microseconds. Slower calls count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The number of calls that one program makes. It is below the limit of the template.
const CALLS_PER_PROGRAM: u32 = 45;

/// The pause between two calls. It is longer than the interval between journal writes: without it,
/// back-to-back calls would measure the wait for the next write instead of the call itself.
const PAUSE: Duration = Duration::from_millis(35);

/// The latencies of one kind of call.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PathTimes {
    /// The number of calls that were counted.
    pub calls: u64,
    /// The median in microseconds.
    pub p50_us: u64,
    /// The 99th percentile in microseconds.
    pub p99_us: u64,
}

/// The latencies with and without a host between caller and service.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PathReport {
    /// Calls that go directly to the service.
    pub direct: PathTimes,
    /// Tool calls sent to the program's home, the host that holds its state.
    pub at_home: PathTimes,
    /// Tool calls sent to another host of the same zone, which forwards them to the home.
    pub one_hop: PathTimes,
}

/// Measures all three kinds of calls in the demo's fleet, one call at a time with pauses between.
pub async fn measure(calls: u32) -> Result<PathReport> {
    let fleet = Fleet::start().await?;
    let caller = Client::new(&Fleet::key(fleet.tenant()));
    let hosts = [0, 1].map(|i| fleet.hosts[i].caller_address());

    let direct = measure_direct(fleet.service.address(), calls).await?;
    let at_home = measure_through_host(&caller, hosts[0], hosts[0], calls).await?;
    let one_hop = measure_through_host(&caller, hosts[0], hosts[1], calls).await?;

    Ok(PathReport { direct, at_home, one_hop })
}

/// Measures calls that go directly to the service.
async fn measure_direct(service: SocketAddr, calls: u32) -> Result<PathTimes> {
    let client = Client::new("");
    let mut times = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3)?;

    for i in 0..WARM_UP_CALLS + calls {
        let body = json!({ "operation": "look-up", "key": format!("k{i}"), "program": "p",
            "call": i, "input": {} });
        let started_at = Instant::now();
        let answer = client.post(service, "/v1/run", &body).await?;
        ensure!(answer.status.is_success(), "the service refused: {}", answer.body);
        record(&mut times, i, started_at);
        tokio::time::sleep(PAUSE).await;
    }

    Ok(summary(&times))
}

/// Opens programs at `home`, which then holds their state, and measures their calls through
/// `entry`.
async fn measure_through_host(
    caller: &Client,
    home: SocketAddr,
    entry: SocketAddr,
    calls: u32,
) -> Result<PathTimes> {
    let mut times = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3)?;
    let mut path = String::new();

    for i in 0..WARM_UP_CALLS + calls {
        let after = i % CALLS_PER_PROGRAM;
        if after == 0 {
            path = open(caller, home).await?;
            tokio::time::sleep(PAUSE).await;
        }
        let body = json!({ "after": after, "target": "look-up", "input": {} });
        let started_at = Instant::now();
        let answer = caller.call(entry, &path, &format!("call-{i}"), &body).await?;
        ensure!(answer.status.is_success(), "the call was refused: {}", answer.body);
        record(&mut times, i, started_at);
        tokio::time::sleep(PAUSE).await;
    }

    Ok(summary(&times))
}

/// Opens a program and returns the path of its calls. Without an idempotency key, the host that
/// opens a program becomes its home.
async fn open(caller: &Client, host: SocketAddr) -> Result<String> {
    let body = json!({ "template": TEMPLATE, "deadline_ms": 300_000 });
    let answer = caller.post(host, "/v1/programs", &body).await?;
    ensure!(answer.status == 201, "the program was not opened: {}", answer.body);
    let program = answer.body["program"].as_str().unwrap_or_default();

    Ok(format!("/v1/programs/{program}/calls"))
}

/// Records the latency of call `i`, unless it belongs to the warm-up.
fn record(times: &mut Histogram<u64>, i: u32, started_at: Instant) {
    if i >= WARM_UP_CALLS {
        times.saturating_record(started_at.elapsed().as_micros() as u64);
    }
}

fn summary(times: &Histogram<u64>) -> PathTimes {
    PathTimes {
        calls: times.len(),
        p50_us: times.value_at_quantile(0.5),
        p99_us: times.value_at_quantile(0.99),
    }
}
