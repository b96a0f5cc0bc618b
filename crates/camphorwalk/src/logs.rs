//! Logs of the programs, on standard error.

use std::io::IsTerminal as _;

use tracing_subscriber::EnvFilter;

/// Starts to log; `level` is the least severity, and the variable `RUST_LOG` goes before it.
pub fn start(json: bool, level: &str) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(level));
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);

    if json {
        logs.json().init();
    } else {
        logs.with_target(false).with_ansi(std::io::stderr().is_terminal()).init();
    }
}
