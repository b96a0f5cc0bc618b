//! What callers were told and what targets ran, and the promises that must hold between the two.

use std::collections::HashMap;

use crate::support::target::Run;

/// A turn that was answered whole.
#[derive(Clone, Debug)]
pub struct Answered {
    pub id: String,
    /// All that was said up to its end: what a turn that continues it must begin with.
    pub said: String,
}

/// What one run of the soak came to.
#[derive(Default)]
pub struct Ledger {
    /// Requests that were told that they have not run.
    pub refused: Vec<(String, u16)>,
    /// Kept turns that were answered whole.
    pub answered: Vec<Answered>,
    /// The prompt that each turn's targets must have read.
    pub prompts: HashMap<String, String>,
    /// Events that callers got of each program with a budget.
    pub events: HashMap<String, u64>,
    /// What was wrong with an answer by itself.
    pub faults: Vec<String>,
    pub served: usize,
    pub failed: usize,
}

/// The tokens of an event, the budget and the most of one turn, as the callers declare them.
pub const TOKENS_PER_EVENT: u64 = 10;
pub const BUDGET: u64 = 400;
pub const MOST: u64 = 60;

impl Ledger {
    /// Returns every promise that was broken, given what all targets ran.
    pub fn broken_promises(&self, runs: &[Run]) -> Vec<String> {
        let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in runs {
            by_id.entry(run.request_id().unwrap_or("none")).or_default().push(run);
        }

        let mut broken = self.faults.clone();
        broken.extend(self.refused_that_ran(&by_id));
        broken.extend(repeated(&by_id));
        broken.extend(self.wrong_prompts(&by_id));
        broken.extend(self.overspent());
        broken
    }

    fn refused_that_ran(&self, by_id: &HashMap<&str, Vec<&Run>>) -> Vec<String> {
        let ran = self.refused.iter().filter(|(id, _)| by_id.contains_key(id.as_str()));

        ran.map(|(id, status)| format!("{id} was told {status}, not run, and ran")).collect()
    }

    fn wrong_prompts(&self, by_id: &HashMap<&str, Vec<&Run>>) -> Vec<String> {
        let mut wrong = Vec::new();
        for (id, prompt) in &self.prompts {
            let runs = by_id.get(id.as_str()).into_iter().flatten();
            for run in runs.filter(|run| run.body != prompt.as_bytes()) {
                wrong.push(format!("{id} read {:?}, not {prompt:?}", run.body));
            }
        }

        wrong
    }

    fn overspent(&self) -> Vec<String> {
        let most = BUDGET + MOST;
        let over = self.events.iter().filter(|(_, events)| **events * TOKENS_PER_EVENT > most);

        over.map(|(program, events)| format!("{program} got {events} events")).collect()
    }
}

/// Calls that may run once and ran again, and such as no caller sent.
fn repeated(by_id: &HashMap<&str, Vec<&Run>>) -> Vec<String> {
    let once = |run: &&&Run| run.path.starts_with("/once") || run.path.starts_with("/kept");
    let counts = by_id.iter().map(|(id, runs)| (id, runs.iter().filter(once).count()));

    counts.filter(|(_, count)| *count > 1).map(|(id, n)| format!("{id} ran {n} times")).collect()
}
