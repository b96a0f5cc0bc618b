//! Compares the observations of a run with the expectations of its scenario.

use std::time::Duration;

use camphorwalk_core::calls::{Reply, Request};
use camphorwalk_core::ids::{KeyId, TargetId};
use camphorwalk_policy::configs::Published;
use camphorwalk_policy::scheduler::OperatorReply;

use super::{STARTUP_TIME, ScenarioRun};
use crate::checks;
use crate::language::{AnswerSpec, Expect};
use crate::record::instant;
use crate::world::ProcessState;

/// How long the answer to a history request may take.
const HISTORY_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum time between taking a rate-limit token for a call and sending the call, if the
/// platform is available and the targets have room for more calls.
const MAX_RATE_LAG: Duration = Duration::from_millis(100);

type Result = std::result::Result<(), String>;

impl ScenarioRun<'_> {
    /// Returns the failed expectations and the first violated invariant.
    pub(super) fn check_expectations(&mut self) -> Vec<String> {
        let mut failures = Vec::new();

        for expectation in &self.scenario.expectations {
            if let Err(failure) = self.check_expectation(&expectation.expected) {
                failures.push(format!("line {}: {failure}", expectation.line));
            }
        }
        if let Err(failure) = checks::check_all(&self.world.record, self.world.now()) {
            failures.push(format!("invariant: {failure}"));
        }

        failures
    }

    fn check_expectation(&mut self, expect: &Expect) -> Result {
        match expect {
            Expect::Runs { key, min, max } => self.runs(key, *min, *max),
            Expect::Answer { key, position, allowed } => self.answer(key, *position, allowed),
            Expect::Order { program, length } => self.order(program, *length),
            Expect::SequenceCompleted { program } => {
                let of_program = self.sequences.iter().filter(|d| d.spec.call.program == *program);
                match of_program.into_iter().find(|d| d.completed < d.spec.count) {
                    Some(sequence) => Err(format!(
                        "only {} of {} calls are completed",
                        sequence.completed, sequence.spec.count
                    )),
                    None => Ok(()),
                }
            }
            Expect::Config { version, within, except } => self.config(*version, *within, except),
            Expect::ConfigAt { version, host, by } => {
                let host = self.world.host(host).expect("the parser checks host names");
                let by = instant(STARTUP_TIME + *by);
                let adopted = &self.world.record.adopted;
                let there =
                    |(at, h, _, v): &(_, usize, u64, u64)| *at <= by && *h == host && v >= version;
                adopted
                    .iter()
                    .any(there)
                    .then_some(())
                    .ok_or("the version is not in force at the host by then".into())
            }
            Expect::Published { name, answer } => self.published(name, answer),
            Expect::Withdrawn { key, within, except } => self.withdrawn(key, *within, except),
            Expect::Idle { target, after } => {
                let (id, after) = (TargetId::from_name(target), instant(STARTUP_TIME + *after));
                match self.world.record.sent.iter().find(|s| s.target == id && s.at > after) {
                    Some(sent) => Err(format!("{sent:?}")),
                    None => Ok(()),
                }
            }
            Expect::Busy { target, before } => {
                let (id, before) = (TargetId::from_name(target), instant(STARTUP_TIME + *before));
                let busy = self.world.record.sent.iter().any(|s| s.target == id && s.at < before);
                busy.then_some(()).ok_or("nothing was sent to the target by then".into())
            }
            Expect::Rate { tenant, min } => {
                let spec = self.scenario.tenants.iter().find(|t| t.name == *tenant);
                let spec = spec.ok_or("there is no such tenant")?;
                let record = &self.world.record;
                checks::check_rate(record, tenant, spec.rate, spec.burst, MAX_RATE_LAG)?;
                let count = checks::first_sends(record, tenant).len();
                (count >= *min).then_some(()).ok_or(format!("only {count} were admitted"))
            }
            Expect::ProcessEnded { host } => {
                let host = self.world.host(host).expect("the parser checks host names");
                let down = self.world.state(host) == ProcessState::Down;
                down.then_some(()).ok_or("the process of the host has not ended".into())
            }
        }
    }

    fn runs(&self, key: &str, min: u32, max: u32) -> Result {
        let of_key = self.world.record.ledger.iter().filter(|((_, k), _)| &**k == key);
        let runs = of_key.map(|(_, runs)| *runs).sum::<u32>();

        match (min..=max).contains(&runs) {
            true => Ok(()),
            false => Err(format!("the call ran {runs} times")),
        }
    }

    fn answer(&self, key: &str, position: Option<usize>, allowed: &[AnswerSpec]) -> Result {
        let all: Vec<_> = self.world.record.calls(key).collect();
        let submission = match position {
            Some(position) => all.get(position - 1),
            None => all.last(),
        };
        let reply = submission.ok_or("there was no such request")?.answer();

        match allowed.iter().any(|spec| answer_matches(spec, reply)) {
            true => Ok(()),
            false => Err(format!("the answer is {reply:?}")),
        }
    }

    fn order(&mut self, program: &str, length: Option<usize>) -> Result {
        let program_state = self.programs.get(program).ok_or("the program was not opened")?;
        let (id, tenant) = (program_state.id, program_state.tenant.clone());
        let up = (0..self.world.len()).find(|host| self.world.state(*host) == ProcessState::Up);
        let host = up.ok_or("no host is up")?;
        let key = self.scenario.tenants.iter().find(|t| t.name == tenant).map(|t| &t.keys[0]);
        let key = key.ok_or("there is no such tenant")?;
        let request = Request::History { program: id, from: 1 };
        let number = self.world.request(host, &tenant, key, request, HISTORY_TIMEOUT);
        let end = self.world.now() + HISTORY_TIMEOUT;
        while !self.world.run_until(end) {}

        match self.world.record.submissions[&number].answer() {
            Some(Reply::History { calls }) => {
                checks::check_history(&self.world.record, id, calls)?;
                match length {
                    Some(length) if length != calls.len() => {
                        Err(format!("the history has {} calls", calls.len()))
                    }
                    _ => Ok(()),
                }
            }
            other => Err(format!("the history is {other:?}")),
        }
    }

    fn config(&self, version: u64, within: Duration, except: &[Box<str>]) -> Result {
        let record = &self.world.record;
        let first = record.adopted.iter().find(|(_, _, _, v)| *v == version);
        let (first, ..) = first.ok_or("the version is in force at no host")?;

        for host in 0..self.world.len() {
            let name = self.world.name(host);
            if self.world.state(host) != ProcessState::Up || except.iter().any(|n| &**n == name) {
                continue;
            }
            let started = record.started.iter().rfind(|(_, h, _)| *h == host);
            let (started, _, session) = *started.expect("each host was started");
            let by = (*first).max(started) + within;
            let there = record
                .adopted
                .iter()
                .any(|(at, h, s, v)| (*h, *s) == (host, session) && *v >= version && *at <= by);
            if !there {
                return Err(format!("{name} has version {}", self.world.version(host)));
            }
        }

        Ok(())
    }

    fn published(&self, name: &str, answer: &str) -> Result {
        let request = self.publications.get(name).ok_or("there is no such publication")?;
        let reply = self.world.record.operator_replies.get(request);
        let got = match reply {
            Some(OperatorReply::Published(Published::Done(_))) => "done",
            Some(OperatorReply::Published(Published::Conflict(_))) => "conflict",
            Some(OperatorReply::Published(Published::Unavailable)) => "unavailable",
            Some(OperatorReply::Published(Published::Unknown)) => "unknown",
            _ => "missing",
        };

        if got == answer { Ok(()) } else { Err(format!("the answer is {got}")) }
    }

    fn withdrawn(&self, key: &str, within: Duration, except: &[Box<str>]) -> Result {
        let record = &self.world.record;
        let id = KeyId::from_name(key);
        let at = record
            .withdrawals
            .iter()
            .find(|(_, _, k)| *k == id)
            .ok_or("the key was not withdrawn")?
            .0;
        let excepted = |host: usize| except.iter().any(|name| **name == *self.world.name(host));
        let late =
            |s: &&crate::record::Sent| s.key == id && s.at > at + within && !excepted(s.host);

        match record.sent.iter().find(late) {
            Some(sent) => Err(format!("{sent:?}")),
            None => Ok(()),
        }
    }
}

fn answer_matches(spec: &AnswerSpec, reply: Option<&Reply>) -> bool {
    match (spec, reply) {
        (AnswerSpec::Called, Some(Reply::Called(_))) => true,
        (AnswerSpec::Missing, None) => true,
        (AnswerSpec::Ran(ran), Some(Reply::Refused(refusal))) => {
            serde_json::to_value(refusal.ran).is_ok_and(|value| value == **ran)
        }
        (AnswerSpec::Refused(code), Some(Reply::Refused(refusal))) => {
            serde_json::to_value(refusal.code).is_ok_and(|value| value == **code)
        }
        _ => false,
    }
}
