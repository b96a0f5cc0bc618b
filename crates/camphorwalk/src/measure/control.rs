//! What control costs each host: messages, bytes, platform operations and processor time, as
//! slopes over hosts, tenants and calls.

use std::time::Duration;

use camphorwalk_core::calls::{CallRequest, Reply, Request};
use camphorwalk_core::ids::{ProgramId, RequestId};
use camphorwalk_policy::scheduler::SchedulerTimes;
use serde::Serialize;

use super::declared;
use super::driver::{Counts, Driver};

/// How long a fleet settles before anything is counted, in virtual time.
const SETTLE: Duration = Duration::from_secs(15);

/// How often a load generator looks for answers and sends.
const TICK: Duration = Duration::from_millis(20);

/// What to measure.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ControlOptions {
    /// Hosts.
    pub hosts: usize,
    /// Tenants.
    pub tenants: usize,
    /// Calls a second, over all hosts.
    pub calls_per_second: u32,
    /// Programs under way.
    pub programs: usize,
    /// Virtual seconds that are counted.
    pub seconds: u64,
    /// How many times longer than by default the periods of renewal, polls and gossip are.
    pub stretch: u32,
}

/// What one host did in each second.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ControlReport {
    /// What was measured.
    pub options: ControlOptions,
    /// Events handled.
    pub events: f64,
    /// Messages sent.
    pub messages: f64,
    /// Bytes of these messages.
    pub bytes: f64,
    /// Platform reads.
    pub reads: f64,
    /// Platform writes.
    pub writes: f64,
    /// Share of a core spent in the control state, in percent.
    pub core_percent: f64,
    /// Events that the control state handles in a second of its own time.
    pub events_per_busy_second: f64,
    /// How many of the other hosts a host counts as alive, in percent: all of them are.
    pub alive_percent: f64,
    /// Calls that were answered with their output.
    pub served: u64,
    /// Calls that were refused or failed.
    pub refused: u64,
}

/// A program of the load.
struct Load {
    program: ProgramId,
    tenant: usize,
    head: u32,
    waiting: Option<RequestId>,
}

/// Runs a fleet in virtual time and counts.
pub fn measure(options: ControlOptions) -> ControlReport {
    let partitions = 64.max((options.hosts * 3) as u16);
    let config = declared::config(options.tenants, partitions);
    let mut driver = Driver::start(options.hosts, stretched(options.stretch), &config);
    driver.run(SETTLE * options.stretch);

    let mut load = open_programs(&mut driver, options);
    driver.take_counts();
    let (mut served, mut refused) = (0, 0);
    let ticks = Duration::from_secs(options.seconds).as_micros() / TICK.as_micros();
    let mut owed = 0.0;
    let mut turn = 0;
    for _ in 0..ticks {
        for program in &mut load {
            take_answer(&mut driver, program, &mut served, &mut refused);
        }
        owed += f64::from(options.calls_per_second) * TICK.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            turn += 1;
            send(&mut driver, &mut load, options.hosts, turn);
        }
        driver.run(TICK);
    }

    let counts = driver.take_counts();
    ControlReport {
        alive_percent: driver.alive_percent(),
        ..report(options, counts, served, refused)
    }
}

fn stretched(by: u32) -> SchedulerTimes {
    let times = SchedulerTimes::default();

    SchedulerTimes {
        session_lifetime: times.session_lifetime * by,
        session_renewal: times.session_renewal * by,
        lease_poll: times.lease_poll * by,
        config_poll: times.config_poll * by,
        gossip_period: times.gossip_period * by,
        suspect_after: times.suspect_after * by,
        ..times
    }
}

fn open_programs(driver: &mut Driver, options: ControlOptions) -> Vec<Load> {
    let asked: Vec<_> = (0..options.programs)
        .map(|i| (i % options.tenants, driver.open(i % options.hosts, i % options.tenants)))
        .collect();
    driver.run(Duration::from_secs(3));

    asked
        .into_iter()
        .filter_map(|(tenant, request)| match driver.take_answer(request) {
            Some(Reply::Opened(opened)) => {
                Some(Load { program: opened.program, tenant, head: 0, waiting: None })
            }
            _ => None,
        })
        .collect()
}

fn take_answer(driver: &mut Driver, load: &mut Load, served: &mut u64, refused: &mut u64) {
    let Some(answer) = load.waiting.and_then(|request| driver.take_answer(request)) else {
        return;
    };

    load.waiting = None;
    match answer {
        Reply::Called(called) => {
            load.head = called.call;
            *served += 1;
        }
        _ => *refused += 1,
    }
}

/// Sends the next call of the next program that waits for nothing, through any host.
fn send(driver: &mut Driver, load: &mut [Load], hosts: usize, turn: usize) {
    let count = load.len();
    let free = (0..count).map(|i| (turn + i) % count).find(|i| load[*i].waiting.is_none());
    let Some(program) = free.map(|i| &mut load[i]) else {
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
    program.waiting = Some(driver.request(turn % hosts, program.tenant, Request::Call(call)));
}

fn report(options: ControlOptions, counts: Counts, served: u64, refused: u64) -> ControlReport {
    let host_seconds = options.hosts as f64 * options.seconds as f64;
    let each = |count: u64| count as f64 / host_seconds;

    ControlReport {
        options,
        events: each(counts.events),
        messages: each(counts.messages),
        bytes: each(counts.message_bytes),
        reads: each(counts.reads),
        writes: each(counts.writes),
        core_percent: counts.busy.as_secs_f64() / host_seconds * 100.0,
        events_per_busy_second: counts.events as f64 / counts.busy.as_secs_f64().max(1e-9),
        alive_percent: 100.0,
        served,
        refused,
    }
}
