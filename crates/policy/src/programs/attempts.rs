//! Handling of ended attempts: the outcome is recorded, the attempt is retried, or the call
//! fails.

use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::calls::{Code, Executed, Refusal, Usage};
use camphorwalk_core::ids::AttemptId;
use camphorwalk_core::units::Tokens;

use super::entries::{Entry, OutcomeEntry, RecordedOutcome, TurnEntry};
use super::journal::Waiter;
use super::requests::counted_tokens;
use super::retry::{CrashResult, CrashedAttempt};
use super::state::{ProgramKey, ProgramState, Stage, WorkKind};
use super::{ProgramAction, Programs, StepContext, refusals};
use crate::shared_types::{AttemptOutcome, CallId, PlaceOutcome};

/// The maximum time that an answer waits for the call's outcome to become durable. After that the
/// answer is sent, marked as not stored.
const MAX_STORE_WAIT: Duration = Duration::from_millis(500);

/// How long a caller should wait after its call was given up because the last target tried refused
/// it or could not be reached.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Programs {
    /// Handles the end of an attempt.
    pub(super) fn on_ended(
        &mut self,
        cx: &mut StepContext<'_>,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) {
        // Each attempt ends once; a late or duplicate end is ignored.
        let Some(id) = self.attempts.remove(&attempt) else { return };

        if self.calls.get(id).is_none_or(|call| call.attempt != Some(attempt)) {
            return;
        }

        match outcome {
            AttemptOutcome::Done { output, usage } => {
                self.on_answered(cx, id, output.into(), usage)
            }
            // A target that refuses connections fails at once, so it always looks idle. If it
            // were not reported as crashed, every call would be sent there first.
            AttemptOutcome::NotSent => {
                self.on_not_run(cx, id, PlaceOutcome::Crashed, "it cannot be reached");
            }
            AttemptOutcome::Refused { message } => {
                self.on_not_run(cx, id, PlaceOutcome::Failed, &message);
            }
            AttemptOutcome::Failed { message } => self.on_failed(cx, id, &message),
            AttemptOutcome::Lost { streamed, crashed } => self.on_lost(cx, id, streamed, crashed),
            AttemptOutcome::Cancelled => self.on_cancelled(cx, id),
        }
    }

    /// Handles a complete answer.
    fn on_answered(
        &mut self,
        cx: &mut StepContext<'_>,
        id: CallId,
        output: Arc<str>,
        usage: Usage,
    ) {
        self.charge(id, Some(&usage));
        self.release_place(cx, id, PlaceOutcome::Finished, Some(&usage));
        let digest = self.calls[id].digest;
        self.suspects.clear(&digest);
        self.record_outcome(cx, id, RecordedOutcome::Done { output, usage });
    }

    /// Handles an attempt that the target certainly did not run and will not run.
    fn on_not_run(
        &mut self,
        cx: &mut StepContext<'_>,
        id: CallId,
        outcome: PlaceOutcome,
        message: &str,
    ) {
        self.release_tokens(id);
        self.release_place(cx, id, outcome, None);

        if matches!(self.calls[id].kind, WorkKind::NonIdempotent(_)) {
            self.journal_not_run(id);
        } else if self.retry(cx, id) {
            return;
        }

        let refusal = Refusal::not_run(Code::Overloaded, format!("the target refused: {message}"));
        self.give_up(cx, id, refusal.retry_after(REFUSED_RETRY_AFTER));
    }

    /// Handles a call that the target ran and reported as failed.
    fn on_failed(&mut self, cx: &mut StepContext<'_>, id: CallId, message: &str) {
        self.charge(id, None);
        self.release_place(cx, id, PlaceOutcome::Failed, None);
        self.calls[id].may_have_run = true;

        if matches!(self.calls[id].kind, WorkKind::NonIdempotent(_)) {
            return self.record_outcome(
                cx,
                id,
                RecordedOutcome::Failed { message: message.into() },
            );
        }

        if !self.retry(cx, id) {
            self.give_up(cx, id, refusals::target_failed(message));
        }
    }

    /// Handles an attempt that may or may not have run.
    fn on_lost(&mut self, cx: &mut StepContext<'_>, id: CallId, streamed: bool, crashed: bool) {
        let outcome = if crashed { PlaceOutcome::Crashed } else { PlaceOutcome::Failed };
        self.charge(id, None);
        self.release_place(cx, id, outcome, None);
        self.calls[id].may_have_run = true;
        let quarantined = crashed && self.record_crash(cx, id);

        if matches!(self.calls[id].kind, WorkKind::NonIdempotent(_)) {
            return self.record_outcome(cx, id, RecordedOutcome::Unknown);
        }

        if quarantined {
            return self.give_up(cx, id, refusals::quarantined(Executed::Maybe));
        }

        // After a part of the answer was streamed, a retry would append the text of another
        // attempt to it.
        if streamed || !self.retry(cx, id) {
            self.give_up(cx, id, refusals::outcome_unknown());
        }
    }

    /// Handles an attempt that this host cancelled.
    fn on_cancelled(&mut self, cx: &mut StepContext<'_>, id: CallId) {
        self.charge(id, None);
        self.release_place(cx, id, PlaceOutcome::Failed, None);
        self.calls[id].may_have_run = true;

        if matches!(self.calls[id].kind, WorkKind::NonIdempotent(_)) {
            return self.record_outcome(cx, id, RecordedOutcome::Unknown);
        }

        // A caller that joined after the cancellation still needs an answer.
        if self.calls[id].callers.is_empty() || !self.retry(cx, id) {
            self.give_up(cx, id, refusals::outcome_unknown());
        }
    }

    /// Records that a target crashed while it ran a call. Returns whether the request is now
    /// quarantined.
    fn record_crash(&mut self, cx: &mut StepContext<'_>, id: CallId) -> bool {
        let call = &mut self.calls[id];
        call.suspect = true;
        let attempt = CrashedAttempt { target: call.target, crashes_before: call.crashes_before };
        let digest = call.digest;

        match self.suspects.record_crash(digest, attempt) {
            CrashResult::Suspect => false,
            CrashResult::Quarantine => {
                cx.out.push(ProgramAction::Quarantine { digest });
                true
            }
        }
    }

    /// Starts another attempt if a caller still waits and if the deadline, the retry budget and the
    /// program's state allow it.
    fn retry(&mut self, cx: &mut StepContext<'_>, id: CallId) -> bool {
        let call = &self.calls[id];
        let program = &self.programs[call.program];
        let open = program.state == ProgramState::Open && !program.orphan;

        if !open || call.callers.is_empty() || program.time_left(cx.now).is_zero() {
            return false;
        }

        if !self.retries.take() {
            return false;
        }

        let call = &mut self.calls[id];
        call.avoid = call.target.take();
        call.attempt = None;
        call.stage = Stage::AwaitingAdmission;
        self.reserve(cx, id);

        true
    }

    /// Refuses the callers of a call that did not finish, and removes it.
    fn give_up(&mut self, cx: &mut StepContext<'_>, id: CallId, mut refusal: Refusal) {
        let program = self.calls[id].program;

        if self.calls[id].may_have_run && refusal.ran == Executed::No {
            refusal.ran = Executed::Maybe;
        }

        self.refuse_callers(cx, id, &refusal);
        self.remove_call(id);
        self.remove_orphan(program);
    }

    /// Charges the tokens that an attempt used, or all reserved tokens if its usage is unknown.
    fn charge(&mut self, id: CallId, usage: Option<&Usage>) {
        let call = &self.calls[id];
        let spent = usage.map_or(call.reserved, counted_tokens);

        if let Some(account) = self.accounts.get_mut(self.programs[call.program].account) {
            account.charge(call.reserved, spent);
        }
    }

    /// Appends a finished call to its program's history and journals it.
    fn record_outcome(&mut self, cx: &mut StepContext<'_>, id: CallId, outcome: RecordedOutcome) {
        let call = &self.calls[id];
        let (key, once) = (call.program, matches!(call.kind, WorkKind::NonIdempotent(_)));
        let attempt = call.attempt;
        let program = &mut self.programs[key];

        // A turn that finishes after its program ended is not recorded.
        if program.state == ProgramState::Ended && !once {
            return self.give_up(cx, id, refusals::outcome_unknown());
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
        self.set_stage(cx, id, Stage::JournalingOutcome, Some(MAX_STORE_WAIT));
        let waiter = Waiter::Outcome(key, id, number);

        match attempt.filter(|_| once) {
            Some(attempt) => self.journal_outcome(key, attempt, Some(outcome), waiter),
            None => self.journal_turn(cx, key, number, waiter),
        }

        // If the platform is known to be unavailable, the answer is not delayed.
        if self.journal.is_unavailable(cx.now) {
            self.answer_recorded(cx, id);
        }
    }

    /// Journals a finished call that may be repeated, with a grant that covers the next calls.
    pub(super) fn journal_turn(
        &mut self,
        cx: &StepContext<'_>,
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

    /// Journals that a call did not run although its intent was durable.
    fn journal_not_run(&mut self, id: CallId) {
        let call = &self.calls[id];

        if let Some(attempt) = call.attempt {
            self.journal_outcome(call.program, attempt, None, Waiter::Nobody);
        }
    }

    /// Journals the outcome of an intent.
    fn journal_outcome(
        &mut self,
        key: ProgramKey,
        attempt: AttemptId,
        outcome: Option<RecordedOutcome>,
        waiter: Waiter,
    ) {
        let program = self.programs[key].id;
        let attempt = attempt.to_string().into();
        self.append(key, Entry::Outcome(OutcomeEntry { program, attempt, outcome }), waiter);
    }

    /// Answers all callers of a finished call; the answer says whether its outcome is durable.
    pub(super) fn answer_recorded(&mut self, cx: &mut StepContext<'_>, id: CallId) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let callers = std::mem::take(&mut call.callers);
        let (program, number) = (call.program, call.number);

        if !callers.is_empty() {
            let reply = self.call_result_reply(program, number);

            for caller in callers {
                self.answer(cx, caller.origin, reply.clone());
            }
        }

        self.remove_call(id);
    }
}
