//! The cost of slices in messages and bytes, by the numbers of tenants and hosts.

use serde::Serialize;

use super::fleet::{Fleet, MILLI, SECOND, Traffic};
use super::scenario::config;

/// The zones of a measured fleet: as many as the largest planned deployment has.
const ZONES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

const SLICES: u16 = 16;

/// The calls per second over all hosts at the expected peak, and the number of hosts then.
const PEAK_CALLS: u64 = 2_100;
const PEAK_HOSTS: u64 = 390;

/// The measured virtual time. The fleet runs for the same time before, so that the loans of slices
/// between hosts settle.
const MEASURED_TIME: u64 = 20 * SECOND;

/// The cost of slices in a healthy fleet of one size, at its share of the peak load.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Slope {
    /// The number of tenants.
    pub tenants: usize,
    /// The number of hosts.
    pub hosts: usize,
    /// Calls per second over all hosts.
    pub calls_per_second: u64,
    /// Messages sent and received, per second and host.
    pub mean_messages_per_second: f64,
    /// The same at the busiest host.
    pub most_messages_per_second: f64,
    /// Bytes sent and received, per second and host.
    pub mean_bytes_per_second: f64,
    /// The same at the busiest host.
    pub most_bytes_per_second: f64,
}

/// Measures a fleet of this size.
///
/// ```
/// let small = camphorwalk_bench::limits::slope(2, 3);
/// assert!(small.mean_bytes_per_second < 1_000.0);
/// ```
pub fn slope(tenants: usize, hosts: usize) -> Slope {
    let names: Vec<String> = (0..tenants).map(|i| format!("tenant-{i}")).collect();
    let figures: Vec<(&str, f64, u32)> = names.iter().map(|n| (&**n, 20.0, 20)).collect();
    let mut fleet = Fleet::new(config(&ZONES[..hosts.min(8)], SLICES, &figures), hosts, 1);
    fleet.run(MEASURED_TIME);

    let before: Vec<Traffic> = fleet.nodes.iter().map(|node| node.traffic).collect();
    let calls_per_second = PEAK_CALLS * hosts as u64 / PEAK_HOSTS + 1;
    send_calls(&mut fleet, &names, calls_per_second);

    let nodes = fleet.nodes.iter().zip(&before);
    let per_second = |figure: u64| figure as f64 / (MEASURED_TIME / SECOND) as f64;
    let messages: Vec<f64> =
        nodes.clone().map(|(n, b)| per_second(n.traffic.messages - b.messages)).collect();
    let bytes: Vec<f64> = nodes.map(|(n, b)| per_second(n.traffic.bytes - b.bytes)).collect();
    let mean = |figures: &[f64]| figures.iter().sum::<f64>() / hosts as f64;
    let max = |figures: &[f64]| figures.iter().copied().fold(0.0, f64::max);

    Slope {
        tenants,
        hosts,
        calls_per_second,
        mean_messages_per_second: mean(&messages),
        most_messages_per_second: max(&messages),
        mean_bytes_per_second: mean(&bytes),
        most_bytes_per_second: max(&bytes),
    }
}

/// Sends calls at a constant rate, rotating over hosts and tenants at different steps so that a
/// tenant's calls enter at different hosts.
fn send_calls(fleet: &mut Fleet, names: &[String], calls_per_second: u64) {
    let hosts = fleet.nodes.len() as u64;
    let start = fleet.now;

    for call in 0..calls_per_second * MEASURED_TIME / SECOND {
        let at = start + call * SECOND / calls_per_second;
        fleet.run(at - fleet.now);

        let host = call % hosts;
        let tenant = (call / hosts + call * 7) % names.len() as u64;
        fleet.take(host as usize, &names[tenant as usize]);
    }

    fleet.run(start + MEASURED_TIME + 100 * MILLI - fleet.now);
}
