//! Measures the memory that each open program takes at its home, the host that holds its state.

use std::time::Duration;

use camphorwalk_core::calls::{CallRequest, Reply, Request};
use camphorwalk_policy::scheduler::SchedulerTimes;
use serde::Serialize;

use super::driver::Driver;
use super::fleet_config;
use super::resident::resident_bytes;

/// The number of requests that are sent before their answers are collected.
const BATCH_SIZE: usize = 500;

/// The memory that open programs take.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct MemoryReport {
    /// The number of open programs.
    pub programs: usize,
    /// The number of calls that each program made.
    pub calls: u32,
    /// The input size of each call, in bytes.
    pub input_bytes: usize,
    /// The resident memory per program, in bytes.
    pub bytes_per_program: u64,
}

/// Opens programs at one host, makes calls in each of them, and measures how much the resident
/// memory of this process grows.
///
/// The simulated platform discards journals and objects, so the growth is the memory of the host.
pub fn measure(programs: usize, calls: u32, input_bytes: usize) -> MemoryReport {
    let mut driver = Driver::start(1, SchedulerTimes::default(), &fleet_config::config(1, 64));
    driver.run(Duration::from_secs(5));
    driver.discard_journals();
    let before = resident_bytes();
    let input: String = "x".repeat(input_bytes);

    let mut opened = Vec::with_capacity(programs);
    while opened.len() < programs {
        let count = BATCH_SIZE.min(programs - opened.len());
        let requests: Vec<_> = (0..count).map(|_| driver.open(0, 0)).collect();
        driver.run(Duration::from_secs(1));
        for request in requests {
            if let Some(Reply::Opened(program)) = driver.take_answer(request) {
                opened.push(program.program);
            }
        }
    }
    for number in 0..calls {
        for chunk in opened.chunks(BATCH_SIZE) {
            let call_request = |program: &_| {
                let call = CallRequest {
                    program: *program,
                    key: format!("call-{number}").into(),
                    after: number,
                    target: "model".into(),
                    input: format!("\"{input}\"").into(),
                    max_tokens: Some(8),
                    stream: false,
                    tail: None,
                    body: [0; 32],
                };
                Request::Call(call)
            };
            let requests: Vec<_> =
                chunk.iter().map(|program| driver.request(0, 0, call_request(program))).collect();
            driver.run(Duration::from_secs(1));
            requests.into_iter().for_each(|request| drop(driver.take_answer(request)));
        }
    }

    MemoryReport {
        programs,
        calls,
        input_bytes,
        bytes_per_program: resident_bytes().saturating_sub(before) / programs.max(1) as u64,
    }
}
