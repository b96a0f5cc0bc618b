//! Logs each connection failure only once per reason and address.

use std::net::IpAddr;
use std::sync::Mutex;

use camphorwalk_core::hash::Set;

/// The maximum number of logged failures to remember.
const MAX_ENTRIES: usize = 1024;

/// The failures that were already logged.
///
/// This keeps a client that connects in a loop from filling the log. The limit keeps a client
/// that uses ever new addresses from filling the memory. Beyond it, failures are only counted in
/// the metrics.
#[derive(Default)]
pub(crate) struct LogDedup(Mutex<Set<(&'static str, IpAddr)>>);

impl LogDedup {
    /// Returns whether a failure with this reason at this address should be logged, and records it.
    pub(crate) fn should_log(&self, reason: &'static str, address: IpAddr) -> bool {
        let mut seen = self.0.lock().expect("no holder of this lock panics");

        seen.len() < MAX_ENTRIES && seen.insert((reason, address))
    }
}

#[cfg(test)]
mod tests;
