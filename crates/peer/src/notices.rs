//! Log lines that are written once for each cause.

use std::net::IpAddr;
use std::sync::Mutex;

use camphorwalk_core::hash::Set;

/// The most causes that are remembered.
const MAX_NOTICES: usize = 1024;

/// The causes that were logged.
///
/// A stranger that connects in a loop would otherwise fill the log; and one that connects
/// from ever new addresses would fill the memory, so past the limit nothing more is logged
/// and the counters alone tell.
#[derive(Default)]
pub(crate) struct Notices(Mutex<Set<(&'static str, IpAddr)>>);

impl Notices {
    /// Returns whether this cause at this address is new, and so to be logged.
    pub(crate) fn is_new(&self, reason: &'static str, address: IpAddr) -> bool {
        let mut seen = self.0.lock().expect("no panic holds this lock");

        seen.len() < MAX_NOTICES && seen.insert((reason, address))
    }
}

#[cfg(test)]
mod tests;
