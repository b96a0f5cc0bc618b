//! What callers, targets and operators saw in a run: all that the checks judge.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorwalk_core::calls::{Reply, Request};
use camphorwalk_core::ids::{KeyId, ProgramId, TargetId, TenantId};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::scheduler::OperatorReply;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The host that it entered at.
    pub host: usize,
    /// When.
    pub at: Instant,
    /// The key that came with it.
    pub key: KeyId,
    /// What was asked.
    pub request: Request,
    /// When the caller waits no longer: the program's deadline.
    pub deadline: Instant,
    /// The answers; a sound run has one.
    pub answers: Vec<(Instant, Reply)>,
    /// Whether the caller left, or its host died, before the answer.
    pub cut: bool,
}

impl Submission {
    /// Returns the first answer.
    pub fn answer(&self) -> Option<&Reply> {
        self.answers.first().map(|(_, reply)| reply)
    }

    /// Returns the idempotency key of a call.
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
    /// When.
    pub at: Instant,
    /// The host.
    pub host: usize,
    /// The target.
    pub target: TargetId,
    /// The tenant.
    pub tenant: TenantId,
    /// The caller's key.
    pub key: KeyId,
    /// The program.
    pub program: ProgramId,
    /// The number of the call in the program.
    pub number: u32,
}

/// What happened in a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The requests, by number.
    pub submissions: BTreeMap<u64, Submission>,
    /// How often a plain service ran a call, by program and idempotency key.
    pub ledger: BTreeMap<(ProgramId, Box<str>), u32>,
    /// What was sent to targets.
    pub sent: Vec<Sent>,
    /// When a host started, and with which session.
    pub started: Vec<(Instant, usize, u64)>,
    /// When a host adopted a version: host, session, version.
    pub adopted: Vec<(Instant, usize, u64, u64)>,
    /// When each key was withdrawn, and at which host.
    pub withdrawn: Vec<(Instant, usize, KeyId)>,
    /// When each host heard of a withdrawal.
    pub heard_withdrawn: Vec<(Instant, usize, KeyId)>,
    /// The answers to operators, by the number of the question.
    pub operators: BTreeMap<u64, OperatorReply>,
    /// Steps that hosts made.
    pub steps: u64,
}

impl Record {
    /// Returns how often a plain service ran a call of a program.
    pub fn runs(&self, program: ProgramId, key: &str) -> u32 {
        self.ledger.get(&(program, key.into())).copied().unwrap_or(0)
    }

    /// Returns the requests for a call, in the order of their sending.
    pub fn calls<'a>(&'a self, key: &'a str) -> impl Iterator<Item = &'a Submission> {
        self.submissions.values().filter(move |s| s.call_key() == Some(key))
    }
}

/// Returns a point of virtual time as seconds, for messages.
pub fn seconds(at: Instant) -> f64 {
    at.since(Instant::default()).as_secs_f64()
}

/// Returns the point of virtual time this long after the start.
pub fn instant(after: Duration) -> Instant {
    Instant::default() + after
}
