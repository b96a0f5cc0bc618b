//! When a failed attempt may be made again, and which requests crash targets.

use std::collections::VecDeque;

use camphorwalk_core::hash::{Digest, Map, Set, digest};

/// Thousandths of a retry that each first try earns: one retry for ten first tries.
const EARNED_MILLIS: u64 = 100;

/// Thousandths of a retry that can be saved up.
const MOST_MILLIS: u64 = 10_000;

/// What a retry costs.
const RETRY_MILLIS: u64 = 1_000;

/// The crashes after which a request is quarantined.
const CRASHES: u8 = 2;

/// The most suspects, and the most quarantined requests, that are remembered.
const REMEMBERED: usize = 4_096;

/// A bucket of retries, filled by first tries.
///
/// Without it, targets that fail would get every request several times just when they are
/// short of room.
#[derive(Debug)]
pub(super) struct RetryBudget {
    /// Thousandths of a retry.
    millis: u64,
}

impl RetryBudget {
    /// Makes a full bucket.
    pub fn new() -> Self {
        Self { millis: MOST_MILLIS }
    }

    /// Counts a first try.
    pub fn earn(&mut self) {
        self.millis = (self.millis + EARNED_MILLIS).min(MOST_MILLIS);
    }

    /// Takes one retry, if there is one.
    pub fn take(&mut self) -> bool {
        let enough = self.millis >= RETRY_MILLIS;

        if enough {
            self.millis -= RETRY_MILLIS;
        }

        enough
    }
}

/// What a crash under a request means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Crash {
    /// The request is a suspect: it may be tried once more, alone at its target.
    Suspect,
    /// It brought a second target down: it is never sent again.
    Quarantine,
}

/// The requests that were in flight when a target crashed.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    /// Crashes of each suspect.
    crashes: Map<Digest, u8>,
    /// Suspects, the oldest first.
    order: VecDeque<Digest>,
    /// The quarantined requests.
    quarantined: Set<Digest>,
    /// The quarantined requests, the oldest first.
    quarantine_order: VecDeque<Digest>,
}

impl Suspects {
    /// Tells whether a request is a suspect.
    pub fn is_suspect(&self, request: &Digest) -> bool {
        self.crashes.contains_key(request)
    }

    /// Tells whether a request is quarantined.
    pub fn is_quarantined(&self, request: &Digest) -> bool {
        self.quarantined.contains(request)
    }

    /// A target crashed under a request. Of several in flight only one is to blame; the
    /// others clear themselves by their second try, which they make alone.
    pub fn crashed(&mut self, request: Digest) -> Crash {
        let crashes = self.crashes.entry(request).or_default();
        *crashes += 1;

        if *crashes >= CRASHES {
            self.cleared(&request);
            self.quarantine(request);
            return Crash::Quarantine;
        }

        self.order.push_back(request);

        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.crashes.remove(&oldest);
        }

        Crash::Suspect
    }

    /// A suspect ran to an end without a crash.
    pub fn cleared(&mut self, request: &Digest) {
        if self.crashes.remove(request).is_some() {
            self.order.retain(|other| other != request);
        }
    }

    /// Quarantines a request, as this or another host found.
    pub fn quarantine(&mut self, request: Digest) {
        if !self.quarantined.insert(request) {
            return;
        }

        self.quarantine_order.push_back(request);

        if self.quarantine_order.len() > REMEMBERED
            && let Some(oldest) = self.quarantine_order.pop_front()
        {
            self.quarantined.remove(&oldest);
        }
    }
}

/// Returns the digest by which a request is known again: what the target is sent, without
/// the program's id or the caller's idempotency keys, which a caller may change. `history`
/// is the digest of the texts before the input, if they are sent too.
pub(super) fn request_digest(target: &str, history: Option<&Digest>, input: &str) -> Digest {
    let history = history.map_or(&[][..], |digest| &digest[..]);

    digest(&[b"request", target.as_bytes(), history, input.as_bytes()])
}
