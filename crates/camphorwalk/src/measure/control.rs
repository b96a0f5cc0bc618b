//! Measures what the control plane costs each host: messages, bytes, platform operations and
//! processor time. Runs with different numbers of hosts, tenants and calls show how the costs grow.

use std::time::Duration;

use camphorwalk_core::calls::{CallRequest, Reply, Request};
use camphorwalk_core::ids::{ProgramId, RequestId};
use camphorwalk_policy::scheduler::SchedulerTimes;
use serde::Serialize;

use super::driver::{Counts, Driver};
use super::fleet_config;

/// The virtual time before counting starts, in which leases, gossip and slices (parts of the
/// tenants' rate limits, each used by one host at a time) reach a steady state.
const SETTLE_TIME: Duration = Duration::from_secs(15);

/// The interval at which the load generator collects answers and sends calls.
const TICK: Duration = Duration::from_millis(20);

/// The parameters of a measurement.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ControlOptions {
    /// The number of hosts.
    pub hosts: usize,
    /// The number of tenants.
    pub tenants: usize,
    /// Calls per second, over all hosts.
    pub calls_per_second: u32,
    /// The number of open programs.
    pub programs: usize,
    /// The measured time in virtual seconds.
    pub seconds: u64,
    /// The factor by which the default periods of renewals, polls and gossip are multiplied.
    pub stretch: u32,
}

/// The averages per host and second of virtual time, unless a field says otherwise.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ControlReport {
    /// The parameters of the measurement.
    pub options: ControlOptions,
    /// Events that the scheduler handled.
    pub events: f64,
    /// Messages sent to other hosts.
    pub messages: f64,
    /// The encoded size of these messages in bytes.
    pub bytes: f64,
    /// Platform reads, scans and object reads.
    pub reads: f64,
    /// Platform transactions and object writes.
    pub writes: f64,
    /// The share of one core that the scheduler used, in percent.
    pub core_percent: f64,
    /// Events that the scheduler handles per second of processor time.
    pub events_per_busy_second: f64,
    /// The share of the other hosts that a host considers live at the end, averaged over all hosts,
    /// in percent. All hosts run, so anything below 100 is an error of failure detection.
    pub alive_percent: f64,
    /// The total number of calls that were answered with their output.
    pub served: u64,
    /// The total number of calls that were refused or failed.
    pub refused: u64,
}

/// An open program that makes calls.
struct LoadProgram {
    program: ProgramId,
    tenant: usize,
    /// The number of the last completed call, or 0.
    head: u32,
    /// The request of the call that has not been answered yet.
    pending: Option<RequestId>,
}

/// Simulates a fleet in virtual time and returns its costs.
pub fn measure(options: ControlOptions) -> ControlReport {
    let partitions = 64.max((options.hosts * 3) as u16);
    let config = fleet_config::config(options.tenants, partitions);
    let mut driver = Driver::start(options.hosts, stretched_times(options.stretch), &config);
    driver.run(SETTLE_TIME * options.stretch);

    let mut programs = open_programs(&mut driver, options);
    driver.take_counts();
    let (mut served, mut refused) = (0, 0);
    let ticks = Duration::from_secs(options.seconds).as_micros() / TICK.as_micros();
    // Calls due by now but not sent yet; a fraction carries over to the next tick.
    let mut due = 0.0;
    let mut sent = 0;
    for _ in 0..ticks {
        for program in &mut programs {
            take_answer(&mut driver, program, &mut served, &mut refused);
        }
        due += f64::from(options.calls_per_second) * TICK.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            sent += 1;
            send(&mut driver, &mut programs, options.hosts, sent);
        }
        driver.run(TICK);
    }

    let counts = driver.take_counts();
    ControlReport {
        alive_percent: driver.alive_percent(),
        ..report(options, counts, served, refused)
    }
}

/// Returns the default times with the periods of renewals, polls and gossip multiplied.
fn stretched_times(factor: u32) -> SchedulerTimes {
    let times = SchedulerTimes::default();

    SchedulerTimes {
        session_lifetime: times.session_lifetime * factor,
        session_renewal: times.session_renewal * factor,
        lease_poll: times.lease_poll * factor,
        config_poll: times.config_poll * factor,
        gossip_period: times.gossip_period * factor,
        suspect_after: times.suspect_after * factor,
        ..times
    }
}

/// Opens the programs of the load, spread over hosts and tenants. Those that are not opened within
/// 3 virtual seconds are left out.
fn open_programs(driver: &mut Driver, options: ControlOptions) -> Vec<LoadProgram> {
    let requests: Vec<_> = (0..options.programs)
        .map(|i| (i % options.tenants, driver.open(i % options.hosts, i % options.tenants)))
        .collect();
    driver.run(Duration::from_secs(3));

    requests
        .into_iter()
        .filter_map(|(tenant, request)| match driver.take_answer(request) {
            Some(Reply::Opened(opened)) => {
                Some(LoadProgram { program: opened.program, tenant, head: 0, pending: None })
            }
            _ => None,
        })
        .collect()
}

/// Counts the answer to a program's pending call, if it has arrived.
fn take_answer(
    driver: &mut Driver,
    program: &mut LoadProgram,
    served: &mut u64,
    refused: &mut u64,
) {
    let Some(answer) = program.pending.and_then(|request| driver.take_answer(request)) else {
        return;
    };

    program.pending = None;
    match answer {
        Reply::Called(called) => {
            program.head = called.call;
            *served += 1;
        }
        _ => *refused += 1,
    }
}

/// Sends the next call of the next program without a pending call. `number` is the number of the
/// call in the whole load; it selects the program and the host in turn.
fn send(driver: &mut Driver, programs: &mut [LoadProgram], hosts: usize, number: usize) {
    let count = programs.len();
    let idle = (0..count).map(|i| (number + i) % count).find(|i| programs[*i].pending.is_none());
    let Some(program) = idle.map(|i| &mut programs[i]) else {
        return;
    };

    let call = CallRequest {
        program: program.program,
        key: format!("call-{}", program.head + 1).into(),
        after: program.head,
        target: "model".into(),
        input: "\"some words of a question\"".into(),
        max_tokens: Some(8),
        stream: false,
        tail: None,
        body: [0; 32],
    };
    program.pending = Some(driver.request(number % hosts, program.tenant, Request::Call(call)));
}

/// Converts totals over all hosts to averages per host and second.
fn report(options: ControlOptions, counts: Counts, served: u64, refused: u64) -> ControlReport {
    let host_seconds = options.hosts as f64 * options.seconds as f64;
    let average = |count: u64| count as f64 / host_seconds;

    ControlReport {
        options,
        events: average(counts.events),
        messages: average(counts.messages),
        bytes: average(counts.message_bytes),
        reads: average(counts.reads),
        writes: average(counts.writes),
        core_percent: counts.busy.as_secs_f64() / host_seconds * 100.0,
        events_per_busy_second: counts.events as f64 / counts.busy.as_secs_f64().max(1e-9),
        alive_percent: 100.0,
        served,
        refused,
    }
}
