//! Records what callers sent and received, and checks it against what targets ran.

use std::collections::HashMap;

use crate::support::target::Run;

/// A turn whose answer arrived completely.
#[derive(Clone, Debug)]
pub struct AnsweredTurn {
    /// The request id of the turn.
    pub id: String,
    /// The conversation up to and including this turn. The prompt of a turn that continues it must
    /// begin with this.
    pub transcript: String,
}

/// The record of one run of the soak.
#[derive(Default)]
pub struct Ledger {
    /// Requests refused with a status that guarantees that they did not run.
    pub refused: Vec<(String, u16)>,
    /// Stored turns that were answered completely.
    pub answered: Vec<AnsweredTurn>,
    /// The prompt that targets must receive for each turn, by request id.
    pub prompts: HashMap<String, String>,
    /// The number of events that callers received for each program with a budget.
    pub events: HashMap<String, u64>,
    /// Violations that were found in single answers.
    pub faults: Vec<String>,
    /// The number of streams that went on when their callers resumed them, and of those that did not.
    pub resumed: usize,
    /// See `resumed`.
    pub not_resumed: usize,
    /// The number of calls that were answered successfully.
    pub served: usize,
    /// The number of long answers that callers read slowly and completely.
    pub slow_served: usize,
    /// The number of calls that were refused, failed or got no complete answer.
    pub failed: usize,
}

/// The number of tokens that each event counts for.
pub const TOKENS_PER_EVENT: u64 = 10;

/// The token budget that callers declare for a program.
pub const BUDGET: u64 = 400;

/// The maximum number of tokens that callers declare for one turn.
pub const MAX_TURN_TOKENS: u64 = 60;

impl Ledger {
    /// Returns a description of each violated guarantee, given the runs of all targets.
    pub fn violations(&self, runs: &[Run]) -> Vec<String> {
        let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in runs {
            by_id.entry(run.request_id().unwrap_or("none")).or_default().push(run);
        }

        let mut violations = self.faults.clone();
        violations.extend(self.refused_that_ran(&by_id));
        violations.extend(repeated(&by_id));
        violations.extend(forbidden(runs));
        violations.extend(self.wrong_prompts(&by_id));
        violations.extend(self.overspent());
        violations
    }

    /// Finds requests that ran although their refusals said that they had not.
    fn refused_that_ran(&self, by_id: &HashMap<&str, Vec<&Run>>) -> Vec<String> {
        let ran = self.refused.iter().filter(|(id, _)| by_id.contains_key(id.as_str()));

        ran.map(|(id, status)| format!("{id} was refused with {status} but ran")).collect()
    }

    /// Finds runs whose prompt was not the transcript of their conversation plus their input.
    fn wrong_prompts(&self, by_id: &HashMap<&str, Vec<&Run>>) -> Vec<String> {
        let mut wrong = Vec::new();
        for (id, prompt) in &self.prompts {
            let runs = by_id.get(id.as_str()).into_iter().flatten();
            for run in runs.filter(|run| run.body != prompt.as_bytes()) {
                wrong.push(format!("{id} ran with prompt {:?}, expected {prompt:?}", run.body));
            }
        }

        wrong
    }

    /// Finds programs that received more tokens than their budget plus one turn, which may already
    /// be in progress when the budget runs out.
    fn overspent(&self) -> Vec<String> {
        let limit = BUDGET + MAX_TURN_TOKENS;
        let over = self.events.iter().filter(|(_, events)| **events * TOKENS_PER_EVENT > limit);

        over.map(|(program, events)| format!("{program} got {events} events")).collect()
    }
}

/// Finds calls that were sent to targets of evacuated zones.
fn forbidden(runs: &[Run]) -> Vec<String> {
    let forbidden = runs.iter().filter(|run| run.is_forbidden);

    forbidden.map(|run| format!("{:?} ran in an evacuated zone", run.request_id())).collect()
}

/// Finds calls that must run at most once and ran more often. Runs without a request id count as
/// one call, so more than one of them is reported too.
fn repeated(by_id: &HashMap<&str, Vec<&Run>>) -> Vec<String> {
    let runs_once = |run: &&&Run| run.path.starts_with("/once") || run.path.starts_with("/kept");
    let counts = by_id.iter().map(|(id, runs)| (id, runs.iter().filter(runs_once).count()));

    counts.filter(|(_, count)| *count > 1).map(|(id, n)| format!("{id} ran {n} times")).collect()
}
