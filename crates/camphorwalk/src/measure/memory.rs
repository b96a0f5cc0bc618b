//! Memory for each open program at its home.

use std::time::Duration;

use camphorwalk_core::calls::{CallRequest, Reply, Request};
use camphorwalk_policy::scheduler::SchedulerTimes;
use serde::Serialize;

use super::declared;
use super::driver::Driver;
use super::resident::resident_bytes;

/// How many programs are opened between two times that the answers are taken.
const AT_A_TIME: usize = 500;

/// What programs take.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct MemoryReport {
    /// Programs that are open.
    pub programs: usize,
    /// Calls that each of them made.
    pub calls: u32,
    /// Bytes of input in each call.
    pub input_bytes: usize,
    /// Resident bytes for each program.
    pub bytes_per_program: u64,
}

/// Opens programs at one host, has each make some calls, and looks at the memory.
///
/// The fake platform keeps nothing of it, so what the process grows by is the host's.
pub fn measure(programs: usize, calls: u32, input_bytes: usize) -> MemoryReport {
    let mut driver = Driver::start(1, SchedulerTimes::default(), &declared::config(1, 64));
    driver.run(Duration::from_secs(5));
    driver.keep_no_journals();
    let before = resident_bytes();
    let input: String = "x".repeat(input_bytes);

    let mut opened = Vec::with_capacity(programs);
    while opened.len() < programs {
        let count = AT_A_TIME.min(programs - opened.len());
        let asked: Vec<_> = (0..count).map(|_| driver.open(0, 0)).collect();
        driver.run(Duration::from_secs(1));
        for request in asked {
            if let Some(Reply::Opened(program)) = driver.take_answer(request) {
                opened.push(program.program);
            }
        }
    }
    for number in 0..calls {
        for chunk in opened.chunks(AT_A_TIME) {
            let ask = |program: &_| {
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
            let asked: Vec<_> =
                chunk.iter().map(|program| driver.request(0, 0, ask(program))).collect();
            driver.run(Duration::from_secs(1));
            asked.into_iter().for_each(|request| drop(driver.take_answer(request)));
        }
    }

    MemoryReport {
        programs,
        calls,
        input_bytes,
        bytes_per_program: resident_bytes().saturating_sub(before) / programs.max(1) as u64,
    }
}
