//! How attempts end, and what follows: a record, a retry, or a final failure.

use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::calls::{Code, Executed, Refusal, Usage};
use camphorwalk_core::ids::AttemptId;
use camphorwalk_core::units::Tokens;

use super::entries::{Entry, OutcomeEntry, Recorded, TurnEntry};
use super::journal::Waiter;
use super::requests::spent;
use super::retry::Crash;
use super::state::{Kind, ProgramKey, ProgramState, Stage};
use super::{Cx, ProgramAction, Programs, answers};
use crate::shared_types::{AttemptOutcome, CallId, PlaceOutcome};

/// How long an answer waits for its record to be durable before it goes out as not stored.
const STORE_WAIT: Duration = Duration::from_millis(500);

/// When to come back after a target refused a call.
const REFUSED_RETRY: Duration = Duration::from_secs(1);

impl Programs {
    /// An attempt ended.
    pub(super) fn on_ended(
        &mut self,
        cx: &mut Cx<'_>,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) {
        // Each attempt ends once; a late or crossed second end finds nothing.
        let Some(id) = self.attempts.remove(&attempt) else { return };

        if self.calls.get(id).is_none_or(|call| call.attempt != Some(attempt)) {
            return;
        }

        match outcome {
            AttemptOutcome::Done { output, usage } => self.done(cx, id, output.into(), usage),
            // A target that refuses connections does so at once, and so always looks idle. Told
            // as a place that was not used, each call would be sent there first.
            AttemptOutcome::NotSent => {
                self.not_run(cx, id, PlaceOutcome::Crashed, "it cannot be reached");
            }
            AttemptOutcome::Refused { message } => {
                self.not_run(cx, id, PlaceOutcome::Failed, &message);
            }
            AttemptOutcome::Failed { message } => self.failed(cx, id, &message),
            AttemptOutcome::Lost { streamed, crashed } => {
                self.lost_attempt(cx, id, streamed, crashed)
            }
            AttemptOutcome::Cancelled => self.cancelled(cx, id),
        }
    }

    /// The target answered in full.
    fn done(&mut self, cx: &mut Cx<'_>, id: CallId, output: Arc<str>, usage: Usage) {
        self.settle(id, Some(&usage));
        self.vacate(cx, id, PlaceOutcome::Finished, Some(&usage));
        let digest = self.calls[id].digest;
        self.suspects.cleared(&digest);
        self.record(cx, id, Recorded::Done { output, usage });
    }

    /// It is proved that the target did not run the call and will not.
    fn not_run(&mut self, cx: &mut Cx<'_>, id: CallId, outcome: PlaceOutcome, message: &str) {
        self.release(id);
        self.vacate(cx, id, outcome, None);

        if matches!(self.calls[id].kind, Kind::Once(_)) {
            self.journal_not_run(id);
        } else if self.retry(cx, id) {
            return;
        }

        let refusal = Refusal::not_run(Code::Overloaded, format!("the target refused: {message}"));
        self.give_up(cx, id, refusal.retry_after(REFUSED_RETRY));
    }

    /// The target ran the call and failed.
    fn failed(&mut self, cx: &mut Cx<'_>, id: CallId, message: &str) {
        self.settle(id, None);
        self.vacate(cx, id, PlaceOutcome::Failed, None);
        self.calls[id].may_have_run = true;

        if matches!(self.calls[id].kind, Kind::Once(_)) {
            return self.record(cx, id, Recorded::Failed { message: message.into() });
        }

        if !self.retry(cx, id) {
            self.give_up(cx, id, answers::failed(message));
        }
    }

    /// Nobody knows whether the target ran the call.
    fn lost_attempt(&mut self, cx: &mut Cx<'_>, id: CallId, streamed: bool, crashed: bool) {
        let outcome = if crashed { PlaceOutcome::Crashed } else { PlaceOutcome::Failed };
        self.settle(id, None);
        self.vacate(cx, id, outcome, None);
        self.calls[id].may_have_run = true;
        let quarantined = crashed && self.crashed(cx, id);

        if matches!(self.calls[id].kind, Kind::Once(_)) {
            return self.record(cx, id, Recorded::Unknown);
        }

        if quarantined {
            return self.give_up(cx, id, answers::quarantined(Executed::Maybe));
        }

        // A part of the answer has reached the caller: another attempt's text would be
        // spliced onto it.
        if streamed || !self.retry(cx, id) {
            self.give_up(cx, id, answers::unknown());
        }
    }

    /// An attempt was cancelled, as this home asked.
    fn cancelled(&mut self, cx: &mut Cx<'_>, id: CallId) {
        self.settle(id, None);
        self.vacate(cx, id, PlaceOutcome::Failed, None);
        self.calls[id].may_have_run = true;

        if matches!(self.calls[id].kind, Kind::Once(_)) {
            return self.record(cx, id, Recorded::Unknown);
        }

        // A caller that joined after the cancel still wants an answer.
        if self.calls[id].callers.is_empty() || !self.retry(cx, id) {
            self.give_up(cx, id, answers::unknown());
        }
    }

    /// A target crashed under a call. Returns whether the request is quarantined.
    fn crashed(&mut self, cx: &mut Cx<'_>, id: CallId) -> bool {
        let digest = self.calls[id].digest;
        self.calls[id].suspect = true;

        match self.suspects.crashed(digest) {
            Crash::Suspect => false,
            Crash::Quarantine => {
                cx.out.push(ProgramAction::Quarantine { digest });
                true
            }
        }
    }

    /// Makes another attempt, if deadline, retry budget and program allow it.
    fn retry(&mut self, cx: &mut Cx<'_>, id: CallId) -> bool {
        let call = &self.calls[id];
        let program = &self.programs[call.program];
        let open = program.state == ProgramState::Open && !program.orphan;

        if !open || call.callers.is_empty() || program.left(cx.now).is_zero() {
            return false;
        }

        if !self.retries.take() {
            return false;
        }

        let call = &mut self.calls[id];
        call.avoid = call.target.take();
        call.attempt = None;
        call.stage = Stage::Admitting;
        self.reserve(cx, id);

        true
    }

    /// Answers a call that ran to no end, and forgets it.
    fn give_up(&mut self, cx: &mut Cx<'_>, id: CallId, mut refusal: Refusal) {
        let program = self.calls[id].program;

        if self.calls[id].may_have_run && refusal.ran == Executed::No {
            refusal.ran = Executed::Maybe;
        }

        self.answer_callers(cx, id, &refusal);
        self.forget_call(id);
        self.remove_orphan(program);
    }

    /// Counts what an attempt took; all that was reserved if the target did not say.
    fn settle(&mut self, id: CallId, usage: Option<&Usage>) {
        let call = &self.calls[id];
        let spent = usage.map_or(call.reserved, spent);

        if let Some(account) = self.accounts.get_mut(self.programs[call.program].account) {
            account.settle(call.reserved, spent);
        }
    }

    /// Appends a finished call to its program's history and journals it.
    fn record(&mut self, cx: &mut Cx<'_>, id: CallId, outcome: Recorded) {
        let call = &self.calls[id];
        let (key, once) = (call.program, matches!(call.kind, Kind::Once(_)));
        let attempt = call.attempt;
        let program = &mut self.programs[key];

        // A turn of a program that is over counts no more.
        if program.state == ProgramState::Ended && !once {
            return self.give_up(cx, id, answers::unknown());
        }

        let number = program.append(call.text.clone(), outcome.clone());
        program.running = None;
        program.open_intent = None;

        if let Some(record) = program.calls.last_mut().filter(|_| once) {
            record.attempt = attempt.map(|attempt| attempt.to_string().into());
        }

        if program.orphan {
            self.answer_recorded(cx, id);
            return self.remove_orphan(key);
        }

        self.calls[id].number = number;
        self.set_stage(cx, id, Stage::Recording, Some(STORE_WAIT));
        let waiter = Waiter::Record(key, id, number);

        match attempt.filter(|_| once) {
            Some(attempt) => self.journal_outcome(key, attempt, Some(outcome), waiter),
            None => self.journal_turn(cx, key, number, waiter),
        }

        // The caller is not held for a platform that is known to be away.
        if self.journal.is_away(cx.now) {
            self.answer_recorded(cx, id);
        }
    }

    /// Journals a finished repeatable call, with room for the next ones.
    pub(super) fn journal_turn(
        &mut self,
        cx: &Cx<'_>,
        key: ProgramKey,
        number: u32,
        waiter: Waiter,
    ) {
        let program = &self.programs[key];
        let record = &program.calls[number as usize - 1];
        let template = self.cfg.as_ref().and_then(|cfg| cfg.template(&program.template));
        let output = template.map_or(0, |template| u64::from(template.max_output_tokens));
        let turn = program.history.plus(Tokens(output));
        let granted = self.accounts[program.account].grant_for(turn.plus(turn));

        let entry = TurnEntry {
            program: program.id,
            call: record.call.clone(),
            outcome: record.outcome.clone(),
            granted,
            left: program.deadline - cx.now,
        };
        self.append(key, Entry::Turn(entry), waiter);
    }

    /// Journals that a call with an intent did not run.
    fn journal_not_run(&mut self, id: CallId) {
        let call = &self.calls[id];

        if let Some(attempt) = call.attempt {
            self.journal_outcome(call.program, attempt, None, Waiter::Nobody);
        }
    }

    /// Journals what became of an intent.
    fn journal_outcome(
        &mut self,
        key: ProgramKey,
        attempt: AttemptId,
        outcome: Option<Recorded>,
        waiter: Waiter,
    ) {
        let program = self.programs[key].id;
        let attempt = attempt.to_string().into();
        self.append(key, Entry::Outcome(OutcomeEntry { program, attempt, outcome }), waiter);
    }

    /// Answers all who wait for a finished call, as far as it is stored by now.
    pub(super) fn answer_recorded(&mut self, cx: &mut Cx<'_>, id: CallId) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let callers = std::mem::take(&mut call.callers);
        let (program, number) = (call.program, call.number);

        if !callers.is_empty() {
            let reply = self.recorded_reply(program, number);

            for caller in callers {
                self.answer(cx, caller.ticket, reply.clone());
            }
        }

        self.forget_call(id);
    }
}
