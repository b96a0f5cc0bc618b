//! Calls that bring down each target that runs them.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::messages::entry::CrashReport;
use camphorwalk_core::time::Instant;

/// What a call is known by when it comes again: its route, path, caller and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u64);

/// After so many targets have gone down under a call, it is sent to no more.
const MOST_CRASHES: u32 = 3;

/// How long a call is remembered after its last crash.
const REMEMBERED: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug)]
struct Record {
    /// The crashes seen by this host.
    own: u32,
    /// The crashes that other hosts told of.
    others: u32,
    last: Instant,
}

/// The calls under which targets went down.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    records: Map<Fingerprint, Record>,
    /// What the other hosts were not told yet.
    news: Vec<CrashReport>,
}

impl Crashes {
    /// Counts a target that went down under a call; returns how many did so far.
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
        self.records.retain(|_, record| now.since(record.last) < REMEMBERED);
        let record = self.records.entry(call).or_insert(Record { own: 0, others: 0, last: now });
        record.own += 1;
        record.last = now;
        self.news.push(CrashReport { call: call.0, crashes: 1 });

        record.own + record.others
    }

    /// Takes in that targets went down under a call at another host.
    pub fn record_remote(&mut self, now: Instant, news: CrashReport) {
        let call = Fingerprint(news.call);
        let record = self.records.entry(call).or_insert(Record { own: 0, others: 0, last: now });
        record.others += news.crashes;
        record.last = now;
    }

    /// Takes what the other hosts are to be told.
    pub fn take_updates(&mut self) -> Vec<CrashReport> {
        std::mem::take(&mut self.news)
    }

    /// Returns whether a call is sent to no more targets.
    pub fn is_blocked(&self, call: Fingerprint) -> bool {
        self.records.get(&call).is_some_and(|record| record.own + record.others >= MOST_CRASHES)
    }
}
