//! What the path through a host adds to a call, over calling the service directly.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;

use crate::client::Client;
use crate::demo::{Fleet, TEMPLATE};

/// Calls that warm up connections and are not counted.
const WARM_UP: u32 = 50;

/// The slowest call that is told apart, in microseconds.
const SLOWEST_US: u64 = 60_000_000;

/// How many calls one program makes; below the template's limit.
const CALLS_PER_PROGRAM: u32 = 45;

/// The pause between two calls: longer than the time between two writes of the journal, so
/// that what is measured is a call, not the wait of a flood for the next write.
const PAUSE: Duration = Duration::from_millis(35);

/// The times of one way to call, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PathTimes {
    /// Calls counted.
    pub calls: u64,
    /// The median.
    pub p50_us: u64,
    /// What 99 in 100 are below.
    pub p99_us: u64,
}

/// What the path adds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PathReport {
    /// The service called directly.
    pub direct: PathTimes,
    /// A tool call through the host that is the program's home.
    pub at_home: PathTimes,
    /// A tool call through another host of the same zone.
    pub one_hop: PathTimes,
}

/// Calls the demo's service one call at a time, with a pause between: directly, at the home, and through another
/// host, in the same run.
pub async fn measure(calls: u32) -> Result<PathReport> {
    let fleet = Fleet::start().await?;
    let caller = Client::new(&Fleet::key(fleet.tenant()));
    let hosts = [0, 1].map(|i| fleet.hosts[i].caller_address());

    let direct = direct(fleet.service.address(), calls).await?;
    let at_home = through(&caller, hosts[0], hosts[0], calls).await?;
    let one_hop = through(&caller, hosts[0], hosts[1], calls).await?;

    Ok(PathReport { direct, at_home, one_hop })
}

async fn direct(service: SocketAddr, calls: u32) -> Result<PathTimes> {
    let client = Client::new("");
    let mut times = Histogram::<u64>::new_with_bounds(1, SLOWEST_US, 3)?;

    for i in 0..WARM_UP + calls {
        let body = json!({ "operation": "look-up", "key": format!("k{i}"), "program": "p",
            "call": i, "input": {} });
        let began = Instant::now();
        let answer = client.post(service, "/v1/run", &body).await?;
        ensure!(answer.status.is_success(), "the service refused: {}", answer.body);
        count(&mut times, i, began);
        tokio::time::sleep(PAUSE).await;
    }

    Ok(summary(&times))
}

/// Opens programs at `home`, which gives them a partition of its own, and makes their calls
/// through `entry`.
async fn through(
    caller: &Client,
    home: SocketAddr,
    entry: SocketAddr,
    calls: u32,
) -> Result<PathTimes> {
    let mut times = Histogram::<u64>::new_with_bounds(1, SLOWEST_US, 3)?;
    let mut path = String::new();

    for i in 0..WARM_UP + calls {
        let after = i % CALLS_PER_PROGRAM;
        if after == 0 {
            path = open(caller, home).await?;
            tokio::time::sleep(PAUSE).await;
        }
        let body = json!({ "after": after, "target": "look-up", "input": {} });
        let began = Instant::now();
        let answer = caller.call(entry, &path, &format!("call-{i}"), &body).await?;
        ensure!(answer.status.is_success(), "the call was refused: {}", answer.body);
        count(&mut times, i, began);
        tokio::time::sleep(PAUSE).await;
    }

    Ok(summary(&times))
}

/// Opens a program without an idempotency key, so that its home is the host itself.
async fn open(caller: &Client, host: SocketAddr) -> Result<String> {
    let body = json!({ "template": TEMPLATE, "deadline_ms": 300_000 });
    let answer = caller.post(host, "/v1/programs", &body).await?;
    ensure!(answer.status == 201, "the program was not opened: {}", answer.body);
    let program = answer.body["program"].as_str().unwrap_or_default();

    Ok(format!("/v1/programs/{program}/calls"))
}

fn count(times: &mut Histogram<u64>, i: u32, began: Instant) {
    if i >= WARM_UP {
        times.saturating_record(began.elapsed().as_micros() as u64);
    }
}

fn summary(times: &Histogram<u64>) -> PathTimes {
    PathTimes {
        calls: times.len(),
        p50_us: times.value_at_quantile(0.5),
        p99_us: times.value_at_quantile(0.99),
    }
}
