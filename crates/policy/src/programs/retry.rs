//! Limits on retries, and detection of requests that crash targets.

use std::collections::VecDeque;

use camphorwalk_core::hash::{Digest, Map, Set, digest};
use camphorwalk_core::ids::TargetId;

/// Thousandths of a retry earned by each first attempt, that is, one retry per ten first
/// attempts.
const EARNED_MILLIS: u64 = 100;

/// The maximum level of the bucket, in thousandths of a retry.
const MAX_MILLIS: u64 = 10_000;

/// The cost of one retry, in thousandths of a retry.
const RETRY_MILLIS: u64 = 1_000;

/// The number of crashes after which a request is quarantined.
const QUARANTINE_CRASHES: u8 = 2;

/// The maximum number of suspects, and of quarantined requests, kept in memory.
const MAX_TRACKED: usize = 4_096;

/// A token bucket for retries, filled by first attempts.
///
/// Without it, failing targets would receive every request several times just when they are
/// short of capacity.
#[derive(Debug)]
pub(super) struct RetryBudget {
    /// The current level in thousandths of a retry.
    millis: u64,
}

impl RetryBudget {
    /// Creates a full bucket.
    pub fn new() -> Self {
        Self { millis: MAX_MILLIS }
    }

    /// Adds the share of a retry that one first attempt earns.
    pub fn earn(&mut self) {
        self.millis = (self.millis + EARNED_MILLIS).min(MAX_MILLIS);
    }

    /// Takes one retry; returns `false` if the bucket does not hold one.
    pub fn take(&mut self) -> bool {
        let enough = self.millis >= RETRY_MILLIS;

        if enough {
            self.millis -= RETRY_MILLIS;
        }

        enough
    }
}

/// The consequence of a crash for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashResult {
    /// The request is a suspect. It may be tried once more, alone at its target.
    Suspect,
    /// Targets crashed twice while they ran the request. The request is not sent again while it is
    /// among the quarantined ones that are kept.
    Quarantine,
}

/// An attempt that was lost because its target crashed.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashedAttempt {
    /// The target.
    pub target: Option<TargetId>,
    /// The crashes of the request (see [`Suspects::crashes`]) when the attempt began.
    pub crashes_before: u8,
}

/// The crashes of a suspect.
#[derive(Clone, Copy, Debug)]
struct CountedCrashes {
    count: u8,
    /// The target that crashed last.
    last: Option<TargetId>,
}

/// Requests that were running when a target crashed.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    crashes: Map<Digest, CountedCrashes>,
    /// Suspects, the oldest first.
    order: VecDeque<Digest>,
    /// Quarantined requests.
    quarantined: Set<Digest>,
    /// Quarantined requests, the oldest first.
    quarantine_order: VecDeque<Digest>,
}

impl Suspects {
    /// Returns whether a request is a suspect.
    pub fn is_suspect(&self, request: &Digest) -> bool {
        self.crashes.contains_key(request)
    }

    /// Returns the number of crashes that count against a request.
    pub fn crashes(&self, request: &Digest) -> u8 {
        self.crashes.get(request).map_or(0, |crashes| crashes.count)
    }

    /// Returns whether a request is quarantined.
    pub fn is_quarantined(&self, request: &Digest) -> bool {
        self.quarantined.contains(request)
    }

    /// Counts a crash of a target while it ran this request. Of several requests that were
    /// running only one caused the crash. The others are cleared by their second attempt, which
    /// each makes alone at its target. Of several attempts of one request that were running, only
    /// the first counts: the others were lost in the same crash.
    pub fn record_crash(&mut self, request: Digest, attempt: CrashedAttempt) -> CrashResult {
        let CrashedAttempt { target, crashes_before } = attempt;
        let new = CountedCrashes { count: 0, last: None };
        let crashes = self.crashes.entry(request).or_insert(new);
        if crashes.count > crashes_before && crashes.last == target {
            return CrashResult::Suspect;
        }
        *crashes = CountedCrashes { count: crashes.count + 1, last: target };

        if crashes.count >= QUARANTINE_CRASHES {
            self.clear(&request);
            self.quarantine(request);
            return CrashResult::Quarantine;
        }

        self.order.push_back(request);

        if self.order.len() > MAX_TRACKED
            && let Some(oldest) = self.order.pop_front()
        {
            self.crashes.remove(&oldest);
        }

        CrashResult::Suspect
    }

    /// Clears a suspect that finished without a crash.
    pub fn clear(&mut self, request: &Digest) {
        if self.crashes.remove(request).is_some() {
            self.order.retain(|other| other != request);
        }
    }

    /// Quarantines a request that this host or another one identified.
    pub fn quarantine(&mut self, request: Digest) {
        if !self.quarantined.insert(request) {
            return;
        }

        self.quarantine_order.push_back(request);

        if self.quarantine_order.len() > MAX_TRACKED
            && let Some(oldest) = self.quarantine_order.pop_front()
        {
            self.quarantined.remove(&oldest);
        }
    }
}

/// Returns the digest that identifies a request when it is sent again. It covers what the
/// target receives, but not the program's id or the idempotency key, which a caller can change.
/// `history` is the digest of the texts before the input, for requests that include them.
pub(super) fn request_digest(target: &str, history: Option<&Digest>, input: &str) -> Digest {
    let history = history.map_or(&[][..], |digest| &digest[..]);

    digest(&[b"request", target.as_bytes(), history, input.as_bytes()])
}
