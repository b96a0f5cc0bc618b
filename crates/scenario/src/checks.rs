//! Invariants that must hold in every run, whatever faults were injected.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorwalk_core::calls::{Executed, HistoryCall, Reply, Request};
use camphorwalk_core::hash::Set;
use camphorwalk_core::ids::{ProgramId, TenantId};
use camphorwalk_core::time::Instant;

use crate::record::{Record, Submission, seconds};

/// The longest time after its deadline within which a request must be answered.
pub const MAX_ANSWER_DELAY: Duration = Duration::from_secs(10);

/// `Err` describes the first violation found.
pub type Result = std::result::Result<(), String>;

/// Checks the invariants of a run that ended at `end`, except those on histories and rates.
pub fn check_all(record: &Record, end: Instant) -> Result {
    check_ledger(record)?;
    check_answers(record, end)?;
    check_not_run(record)?;
    check_same_outcome(record)?;
    check_versions(record)
}

/// Checks that no plain service ran a call twice.
pub fn check_ledger(record: &Record) -> Result {
    match record.ledger.iter().find(|(_, runs)| **runs > 1) {
        Some(((program, key), runs)) => Err(format!("{program} {key} ran {runs} times")),
        None => Ok(()),
    }
}

/// Checks that each request got at most one answer, and exactly one within [`MAX_ANSWER_DELAY`] of
/// its deadline if its caller stayed connected and its host did not die.
pub fn check_answers(record: &Record, end: Instant) -> Result {
    for (number, submission) in &record.submissions {
        let late = submission.deadline + MAX_ANSWER_DELAY;
        let missing = submission.answers.is_empty() && !submission.abandoned && late < end;
        let count = submission.answers.len();

        if count > 1 || missing {
            let at = seconds(submission.at);
            return Err(format!("request {number} of {at} s has {count} answers: {submission:?}"));
        }
    }

    Ok(())
}

/// Checks that a call did not run if all its requests were answered `ran: "no"`.
///
/// If any request got another answer, or none because its host died or its caller disconnected, a
/// run may belong to that request and is allowed.
pub fn check_not_run(record: &Record) -> Result {
    for ((program, key), runs) in &record.ledger {
        let all = || calls(record).filter(|(p, k, _)| p == program && *k == &**key);
        let not_run = |s: &Submission| s.answer().is_some_and(|r| ran(r) == Some(Executed::No));

        if *runs > 0 && all().all(|(_, _, submission)| not_run(submission)) {
            return Err(format!("{program} {key} ran, but every answer said that it did not"));
        }
    }

    Ok(())
}

/// Checks that all requests for a call that were answered with an output got the same call number
/// and output, and that the output belongs to this call.
pub fn check_same_outcome(record: &Record) -> Result {
    let mut outcomes = BTreeMap::new();

    for (program, key, submission) in calls(record) {
        let Some(Reply::Called(called)) = submission.answer() else { continue };
        let outcome = (called.call, called.output.clone());
        let first = outcomes.entry((program, key)).or_insert_with(|| outcome.clone());

        if *first != outcome {
            return Err(format!("{program} {key} has two outcomes: {first:?} and {outcome:?}"));
        }
        if !called.output.contains(&program.to_string()) || !called.output.contains(key) {
            return Err(format!("{program} {key} got another call's answer: {outcome:?}"));
        }
    }

    Ok(())
}

/// Checks that the configuration version of a host only increases within a session.
pub fn check_versions(record: &Record) -> Result {
    let mut versions = BTreeMap::new();

    for (at, host, session, version) in &record.adopted {
        let before = versions.insert((host, session), version);
        if before.is_some_and(|before| before >= version) {
            let at = seconds(*at);
            return Err(format!("host {host} went from {before:?} to {version} at {at} s"));
        }
    }

    Ok(())
}

/// Checks that a program's history contains only its own calls in order, including every call whose
/// answer said that it was stored.
pub fn check_history(record: &Record, program: ProgramId, history: &[HistoryCall]) -> Result {
    let own = program.to_string();

    for (index, call) in history.iter().enumerate() {
        let duplicate = history[..index].iter().any(|earlier| earlier.key == call.key);
        // Calls that failed or may have run are also in the history, without output of a target.
        let failed = call.output.starts_with("{\"error\":");
        let tagged = call.output.contains(&own) && call.output.contains(&*call.key);
        let is_own = call.input.contains(&*call.key) && (tagged || failed);
        if call.call as usize != index + 1 || duplicate || !is_own {
            return Err(format!("{program} has {call:?} at index {index}"));
        }
    }

    for (_, key, submission) in calls(record).filter(|(p, _, _)| *p == program) {
        let Some(Reply::Called(called)) = submission.answer() else { continue };
        let found = history.get(called.call as usize - 1);
        let is_stored = found.is_some_and(|c| &*c.key == key && c.output == called.output);
        if called.stored && !is_stored {
            return Err(format!("{program} lost call {} ({key}): {found:?}", called.call));
        }
    }

    Ok(())
}

/// Checks that a later history of a program starts with an earlier one.
pub fn check_prefix(earlier: &[HistoryCall], later: &[HistoryCall]) -> Result {
    match later.starts_with(earlier) {
        true => Ok(()),
        false => Err(format!("a history of {} calls changed: {later:?}", earlier.len())),
    }
}

/// Checks that in each window of time t a tenant makes at most B + R t calls (burst and rate).
///
/// A call counts once, at the time when it is first sent to a target. `lag` is the maximum time
/// between taking its token and sending it; each window is extended by it.
pub fn check_rate(record: &Record, tenant: &str, rate: f64, burst: u32, lag: Duration) -> Result {
    let times = first_sends(record, tenant);

    for (first, from) in times.iter().enumerate() {
        for (index, to) in times.iter().enumerate().skip(first) {
            let count = index - first + 1;
            let max_calls = f64::from(burst) + rate * (to.since(*from) + lag).as_secs_f64();
            if count as f64 > max_calls + 1e-6 {
                let (from, to) = (seconds(*from), seconds(*to));
                return Err(format!(
                    "{tenant}: {count} calls from {from} s to {to} s, at most {max_calls}"
                ));
            }
        }
    }

    Ok(())
}

/// Returns when each call of a tenant was first sent to a target.
pub fn first_sends(record: &Record, tenant: &str) -> Vec<Instant> {
    let tenant = TenantId::from_name(tenant);
    let mut seen = Set::default();
    let first = record.sent.iter().filter(|s| s.tenant == tenant);

    first.filter(|s| seen.insert((s.program, s.number))).map(|s| s.at).collect()
}

/// Returns whether the call ran according to its answer; `None` if `reply` answers no call.
pub fn ran(reply: &Reply) -> Option<Executed> {
    match reply {
        Reply::Refused(refusal) => Some(refusal.ran),
        Reply::Called(_) => Some(Executed::Yes),
        _ => None,
    }
}

fn calls(record: &Record) -> impl Iterator<Item = (ProgramId, &str, &Submission)> {
    record.submissions.values().filter_map(|submission| match &submission.request {
        Request::Call(call) => Some((call.program, &*call.key, submission)),
        _ => None,
    })
}
