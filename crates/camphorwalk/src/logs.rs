//! Logs of the programs.

use std::io::IsTerminal as _;

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// The most lines that wait to be written; further ones are dropped, so that a reader that
/// never reads cannot stall a host.
const MOST_WAITING_LINES: usize = 8_192;

/// Starts to log JSON lines to standard output without ever waiting for its reader. Lines are
/// written until the guard is dropped.
pub fn start_on_stdout(level: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MOST_WAITING_LINES)
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

/// Starts to log to standard error; `level` is the least severity, and the variable `RUST_LOG` goes before it.
pub fn start(json: bool, level: &str) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(level));
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);

    if json {
        logs.json().init();
    } else {
        logs.with_target(false).with_ansi(std::io::stderr().is_terminal()).init();
    }
}
