//! What callers, targets and operators observed during a run; the input of all checks.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorwalk_core::calls::{Reply, Request};
use camphorwalk_core::ids::{KeyId, ProgramId, TargetId, TenantId};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::scheduler::OperatorReply;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The host that received the request, by index.
    pub host: usize,
    /// When the request was sent.
    pub at: Instant,
    /// The API key sent with the request.
    pub key: KeyId,
    /// The content of the request.
    pub request: Request,
    /// When the caller stops waiting: the program's deadline.
    pub deadline: Instant,
    /// The answers with their times. A correct run has at most one.
    pub answers: Vec<(Instant, Reply)>,
    /// Whether the caller disconnected, or its host died, before the answer.
    pub abandoned: bool,
}

impl Submission {
    /// Returns the first answer.
    pub fn answer(&self) -> Option<&Reply> {
        self.answers.first().map(|(_, reply)| reply)
    }

    /// Returns the idempotency key if the request is a call.
    pub fn call_key(&self) -> Option<&str> {
        match &self.request {
            Request::Call(call) => Some(&call.key),
            _ => None,
        }
    }
}

/// A call that a host sent to a target.
#[derive(Clone, Debug)]
pub struct Sent {
    /// When the call was sent.
    pub at: Instant,
    /// The host that sent it, by index.
    pub host: usize,
    /// The target it was sent to.
    pub target: TargetId,
    /// The tenant that made the call.
    pub tenant: TenantId,
    /// The caller's API key.
    pub key: KeyId,
    /// The program that the call belongs to.
    pub program: ProgramId,
    /// The number of the call in the program, from 1.
    pub number: u32,
}

/// Everything observed during a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The requests, by request number.
    pub submissions: BTreeMap<u64, Submission>,
    /// How often a plain service ran a call, by program and idempotency key.
    pub ledger: BTreeMap<(ProgramId, Box<str>), u32>,
    /// The calls sent to targets, in order of time.
    pub sent: Vec<Sent>,
    /// Each start of a host: time, host index, session.
    pub started: Vec<(Instant, usize, u64)>,
    /// Each configuration version adopted: time, host index, session, version.
    pub adopted: Vec<(Instant, usize, u64, u64)>,
    /// Each withdrawal of a key by an operator: time, host index, key.
    pub withdrawals: Vec<(Instant, usize, KeyId)>,
    /// Each withdrawal that a host applied: time, host index, key.
    pub applied_withdrawals: Vec<(Instant, usize, KeyId)>,
    /// The answers to operators, by request number.
    pub operator_replies: BTreeMap<u64, OperatorReply>,
    /// How many events the schedulers of all hosts processed.
    pub steps: u64,
}

impl Record {
    /// Returns how often a plain service ran a call of a program.
    pub fn runs(&self, program: ProgramId, key: &str) -> u32 {
        self.ledger.get(&(program, key.into())).copied().unwrap_or(0)
    }

    /// Returns the requests for a call, in the order in which they were sent.
    pub fn calls<'a>(&'a self, key: &'a str) -> impl Iterator<Item = &'a Submission> {
        self.submissions.values().filter(move |s| s.call_key() == Some(key))
    }
}

/// Returns a point of virtual time in seconds, for messages.
pub fn seconds(at: Instant) -> f64 {
    at.since(Instant::default()).as_secs_f64()
}

/// Returns the point of virtual time that lies `after` the start of the run.
pub fn instant(after: Duration) -> Instant {
    Instant::default() + after
}
