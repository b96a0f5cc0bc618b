//! Detects calls that crash each target that runs them.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::messages::entry::CrashReport;
use camphorwalk_core::time::Instant;

/// A hash of a call's method, path, tenant and body, which identifies the call when it is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u64);

/// The number of target crashes, seen by any host, after which a call and its retries are sent to
/// no more targets.
const MAX_CRASHES: u32 = 3;

/// How long a call is remembered after its last crash, at the least: older records are dropped when
/// this host next records a crash.
const RECORD_LIFETIME: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug)]
struct Record {
    /// The number of crashes that this host saw.
    own: u32,
    /// The number of crashes that other hosts reported.
    others: u32,
    last: Instant,
}

/// The calls that crashed targets.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    records: Map<Fingerprint, Record>,
    /// The crashes not yet reported to the other hosts.
    unreported: Vec<CrashReport>,
}

impl Crashes {
    /// Records that a target crashed while it ran a call; returns the number of crashes so far.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::crashes::{Crashes, Fingerprint};
    /// let mut crashes = Crashes::default();
    /// let call = Fingerprint(1);
    /// (0..3).for_each(|_| { crashes.record(Instant(0), call); });
    /// assert!(crashes.is_blocked(call));
    /// ```
    pub fn record(&mut self, now: Instant, call: Fingerprint) -> u32 {
        self.records.retain(|_, record| now.since(record.last) < RECORD_LIFETIME);
        let record = self.records.entry(call).or_insert(Record { own: 0, others: 0, last: now });
        record.own += 1;
        record.last = now;
        self.unreported.push(CrashReport { call: call.0, crashes: 1 });

        record.own + record.others
    }

    /// Records crashes that another host reported.
    pub fn record_remote(&mut self, now: Instant, report: CrashReport) {
        let call = Fingerprint(report.call);
        let record = self.records.entry(call).or_insert(Record { own: 0, others: 0, last: now });
        record.others += report.crashes;
        record.last = now;
    }

    /// Takes the crashes that have not been reported to the other hosts yet.
    pub fn take_updates(&mut self) -> Vec<CrashReport> {
        std::mem::take(&mut self.unreported)
    }

    /// Returns whether a call has crashed so many targets that it must not be sent to another one.
    pub fn is_blocked(&self, call: Fingerprint) -> bool {
        self.records.get(&call).is_some_and(|record| record.own + record.others >= MAX_CRASHES)
    }
}
