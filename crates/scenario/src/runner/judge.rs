//! Compares what happened with what a story expects.

use std::time::Duration;

use camphorwalk_core::calls::{Reply, Request};
use camphorwalk_core::ids::{KeyId, TargetId};
use camphorwalk_policy::configs::Published;
use camphorwalk_policy::scheduler::OperatorReply;

use super::{COMES_UP, Run};
use crate::checks;
use crate::record::instant;
use crate::story::{AnswerSpec, Expect};
use crate::world::State;

/// How long a history may take.
const HISTORY_TIME: Duration = Duration::from_secs(5);

/// The most that a call leaves for its target after its token was taken, with a platform
/// that is well and targets that are not full.
const RATE_LAG: Duration = Duration::from_millis(100);

type Result = std::result::Result<(), String>;

impl Run<'_> {
    /// Returns what is wrong.
    pub(super) fn judge(&mut self) -> Vec<String> {
        let mut faults = Vec::new();

        for expectation in &self.story.expectations {
            if let Err(fault) = self.holds(&expectation.what) {
                faults.push(format!("line {}: {fault}", expectation.line));
            }
        }
        if let Err(fault) = checks::check_all(&self.world.record, self.world.now()) {
            faults.push(format!("always: {fault}"));
        }

        faults
    }

    fn holds(&mut self, expect: &Expect) -> Result {
        match expect {
            Expect::Runs { key, least, most } => self.runs(key, *least, *most),
            Expect::Answer { key, place, allowed } => self.answer(key, *place, allowed),
            Expect::Order { program, length } => self.order(program, *length),
            Expect::Driven { program } => {
                let of_program = self.drives.iter().filter(|d| d.spec.call.program == *program);
                match of_program.into_iter().find(|d| d.done < d.spec.count) {
                    Some(drive) => Err(format!("{} of {} calls", drive.done, drive.spec.count)),
                    None => Ok(()),
                }
            }
            Expect::Config { version, within, except } => self.config(*version, *within, except),
            Expect::ConfigAt { version, host, by } => {
                let host = self.world.host(host).expect("the reader checks names");
                let by = instant(COMES_UP + *by);
                let adopted = &self.world.record.adopted;
                let there =
                    |(at, h, _, v): &(_, usize, u64, u64)| *at <= by && *h == host && v >= version;
                adopted.iter().any(there).then_some(()).ok_or("it is not in force there".into())
            }
            Expect::Published { name, answer } => self.published(name, answer),
            Expect::Withdrawn { key, within, except } => self.withdrawn(key, *within, except),
            Expect::Idle { target, after } => {
                let (id, after) = (TargetId::from_name(target), instant(COMES_UP + *after));
                match self.world.record.sent.iter().find(|s| s.target == id && s.at > after) {
                    Some(sent) => Err(format!("{sent:?}")),
                    None => Ok(()),
                }
            }
            Expect::Busy { target, before } => {
                let (id, before) = (TargetId::from_name(target), instant(COMES_UP + *before));
                let busy = self.world.record.sent.iter().any(|s| s.target == id && s.at < before);
                busy.then_some(()).ok_or("nothing was sent there".into())
            }
            Expect::Rate { tenant, least } => {
                let spec = self.story.tenants.iter().find(|t| t.name == *tenant);
                let spec = spec.ok_or("there is no such tenant")?;
                let record = &self.world.record;
                checks::check_rate(record, tenant, spec.rate, spec.burst, RATE_LAG)?;
                let count = checks::admitted(record, tenant).len();
                (count >= *least).then_some(()).ok_or(format!("only {count} were admitted"))
            }
            Expect::Left { host } => {
                let host = self.world.host(host).expect("the reader checks names");
                let down = self.world.state(host) == State::Down;
                down.then_some(()).ok_or("it is still there".into())
            }
        }
    }

    fn runs(&self, key: &str, least: u32, most: u32) -> Result {
        let of_key = self.world.record.ledger.iter().filter(|((_, k), _)| &**k == key);
        let runs = of_key.map(|(_, runs)| *runs).sum::<u32>();

        match (least..=most).contains(&runs) {
            true => Ok(()),
            false => Err(format!("it ran {runs} times")),
        }
    }

    fn answer(&self, key: &str, place: Option<usize>, allowed: &[AnswerSpec]) -> Result {
        let all: Vec<_> = self.world.record.calls(key).collect();
        let submission = match place {
            Some(place) => all.get(place - 1),
            None => all.last(),
        };
        let reply = submission.ok_or("there was no such request")?.answer();

        match allowed.iter().any(|spec| fits(spec, reply)) {
            true => Ok(()),
            false => Err(format!("the answer is {reply:?}")),
        }
    }

    fn order(&mut self, program: &str, length: Option<usize>) -> Result {
        let known = self.programs.get(program).ok_or("the program was not opened")?;
        let (id, tenant) = (known.id, known.tenant.clone());
        let up = (0..self.world.len()).find(|host| self.world.state(*host) == State::Up);
        let host = up.ok_or("no host is up")?;
        let key = self.story.tenants.iter().find(|t| t.name == tenant).map(|t| &t.keys[0]);
        let key = key.ok_or("there is no such tenant")?;
        let request = Request::History { program: id, from: 1 };
        let number = self.world.request(host, &tenant, key, request, HISTORY_TIME);
        let end = self.world.now() + HISTORY_TIME;
        while !self.world.run_until(end) {}

        match self.world.record.submissions[&number].answer() {
            Some(Reply::History { calls }) => {
                checks::check_history(&self.world.record, id, calls)?;
                match length {
                    Some(length) if length != calls.len() => Err(format!("{} calls", calls.len())),
                    _ => Ok(()),
                }
            }
            other => Err(format!("the history is {other:?}")),
        }
    }

    fn config(&self, version: u64, within: Duration, except: &[Box<str>]) -> Result {
        let record = &self.world.record;
        let first = record.adopted.iter().find(|(_, _, _, v)| *v == version);
        let (first, ..) = first.ok_or("it is in force nowhere")?;

        for host in 0..self.world.len() {
            let name = self.world.name(host);
            if self.world.state(host) != State::Up || except.iter().any(|n| &**n == name) {
                continue;
            }
            let started = record.started.iter().rfind(|(_, h, _)| *h == host);
            let (started, _, session) = *started.expect("each host is started");
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
        let ask = self.publications.get(name).ok_or("there is no such publication")?;
        let reply = self.world.record.operators.get(ask);
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
        let at = record.withdrawn.iter().find(|(_, _, k)| *k == id).ok_or("nobody withdrew it")?.0;
        let excepted = |host: usize| except.iter().any(|name| **name == *self.world.name(host));
        let late =
            |s: &&crate::record::Sent| s.key == id && s.at > at + within && !excepted(s.host);

        match record.sent.iter().find(late) {
            Some(sent) => Err(format!("{sent:?}")),
            None => Ok(()),
        }
    }
}

fn fits(spec: &AnswerSpec, reply: Option<&Reply>) -> bool {
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
