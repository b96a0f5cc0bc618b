//! Sets up logging for the programs.

use std::io::IsTerminal as _;

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// The maximum number of log lines that wait to be written. Further lines are dropped, so that a
/// stalled reader of standard output cannot block a host.
const MAX_QUEUED_LINES: usize = 8_192;

/// Starts logging JSON lines to standard output from a background thread, which never blocks the
/// caller. Dropping the guard writes the pending lines and stops the thread. `level` is the
/// filter, unless the variable `RUST_LOG` is set.
pub fn start_on_stdout(level: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(std::io::stdout());
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(level));

    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .init();

    guard
}

/// Starts logging to standard error. `level` is the filter, unless the variable `RUST_LOG` is set.
pub fn start(json: bool, level: &str) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(level));
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);

    if json {
        logs.json().init();
    } else {
        logs.with_target(false).with_ansi(std::io::stderr().is_terminal()).init();
    }
}
