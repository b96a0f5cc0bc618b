//! What must hold in every run, whatever faults it had.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorwalk_core::calls::{Executed, HistoryCall, Reply, Request};
use camphorwalk_core::hash::Set;
use camphorwalk_core::ids::{ProgramId, TenantId};
use camphorwalk_core::time::Instant;

use crate::record::{Record, Submission, seconds};

/// How long after its deadline a request is answered at the latest.
pub const ANSWER_BOUND: Duration = Duration::from_secs(10);

/// What was found wrong, or nothing.
pub type Result = std::result::Result<(), String>;

/// Checks all that must hold in every run that lasted until `end`.
pub fn check_all(record: &Record, end: Instant) -> Result {
    check_ledger(record)?;
    check_answers(record, end)?;
    check_not_run(record)?;
    check_same_outcome(record)?;
    check_versions(record)
}

/// A plain service runs no call twice.
pub fn check_ledger(record: &Record) -> Result {
    match record.ledger.iter().find(|(_, runs)| **runs > 1) {
        Some(((program, key), runs)) => Err(format!("{program} {key} ran {runs} times")),
        None => Ok(()),
    }
}

/// A request gets one answer; if its caller stays and its host lives, in good time.
pub fn check_answers(record: &Record, end: Instant) -> Result {
    for (number, submission) in &record.submissions {
        let late = submission.deadline + ANSWER_BOUND;
        let missing = submission.answers.is_empty() && !submission.cut && late < end;
        let count = submission.answers.len();

        if count > 1 || missing {
            let at = seconds(submission.at);
            return Err(format!("request {number} of {at} s has {count} answers: {submission:?}"));
        }
    }

    Ok(())
}

/// A call whose every request was answered `ran: "no"` did not run.
///
/// If one of its requests got another answer, or none because its host died or its caller
/// left, a run is that one's.
pub fn check_not_run(record: &Record) -> Result {
    for ((program, key), runs) in &record.ledger {
        let all = || calls(record).filter(|(p, k, _)| p == program && *k == &**key);
        let not_run = |s: &Submission| s.answer().is_some_and(|r| ran(r) == Some(Executed::No));

        if *runs > 0 && all().all(|(_, _, submission)| not_run(submission)) {
            return Err(format!("{program} {key} ran, and all its callers were told it did not"));
        }
    }

    Ok(())
}

/// Each repeat of a call that ran gets the same outcome.
pub fn check_same_outcome(record: &Record) -> Result {
    let mut outcomes = BTreeMap::new();

    for (program, key, submission) in calls(record) {
        let Some(Reply::Called(called)) = submission.answer() else { continue };
        let mine = (called.call, called.output.clone());
        let first = outcomes.entry((program, key)).or_insert_with(|| mine.clone());

        if *first != mine {
            return Err(format!("{program} {key} has two outcomes: {first:?} and {mine:?}"));
        }
        if !called.output.contains(&program.to_string()) || !called.output.contains(key) {
            return Err(format!("{program} {key} got another call's answer: {mine:?}"));
        }
    }

    Ok(())
}

/// No host goes back to an earlier configuration in its lifetime.
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

/// A program's history is its own calls in order, and holds all that was said to be stored.
pub fn check_history(record: &Record, program: ProgramId, history: &[HistoryCall]) -> Result {
    let own = program.to_string();

    for (index, call) in history.iter().enumerate() {
        let again = history[..index].iter().any(|earlier| earlier.key == call.key);
        // What failed or may have run stands there too, with no answer of a target.
        let failed = call.output.starts_with("{\"error\":");
        let tagged = call.output.contains(&own) && call.output.contains(&*call.key);
        let mine = call.input.contains(&*call.key) && (tagged || failed);
        if call.call as usize != index + 1 || again || !mine {
            return Err(format!("{program} has {call:?} at place {index}"));
        }
    }

    for (_, key, submission) in calls(record).filter(|(p, _, _)| *p == program) {
        let Some(Reply::Called(called)) = submission.answer() else { continue };
        let there = history.get(called.call as usize - 1);
        let held = there.is_some_and(|c| &*c.key == key && c.output == called.output);
        if called.stored && !held {
            return Err(format!("{program} lost call {} ({key}): {there:?}", called.call));
        }
    }

    Ok(())
}

/// A later history of a program begins with each earlier one.
pub fn check_prefix(earlier: &[HistoryCall], later: &[HistoryCall]) -> Result {
    match later.starts_with(earlier) {
        true => Ok(()),
        false => Err(format!("a history of {} calls changed: {later:?}", earlier.len())),
    }
}

/// In each window a tenant's calls are within B + R t.
///
/// A call is counted once, where it first leaves for a target. `lag` is the most that this
/// may be after its token was taken: each window is that much longer.
pub fn check_rate(record: &Record, tenant: &str, rate: f64, burst: u32, lag: Duration) -> Result {
    let times = admitted(record, tenant);

    for (first, from) in times.iter().enumerate() {
        for (index, to) in times.iter().enumerate().skip(first) {
            let count = index - first + 1;
            let most = f64::from(burst) + rate * (to.since(*from) + lag).as_secs_f64();
            if count as f64 > most + 1e-6 {
                let (from, to) = (seconds(*from), seconds(*to));
                return Err(format!(
                    "{tenant}: {count} calls from {from} s to {to} s, at most {most}"
                ));
            }
        }
    }

    Ok(())
}

/// Returns when each call of a tenant first left for a target.
pub fn admitted(record: &Record, tenant: &str) -> Vec<Instant> {
    let tenant = TenantId::from_name(tenant);
    let mut seen = Set::default();
    let first = record.sent.iter().filter(|s| s.tenant == tenant);

    first.filter(|s| seen.insert((s.program, s.number))).map(|s| s.at).collect()
}

/// Returns whether the call behind an answer ran; `None` if it is no answer to a call.
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
