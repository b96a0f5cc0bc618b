//! The steps of a call before it is sent: rate check, budget reservation, place, intent.

use std::time::Duration;

use camphorwalk_core::calls::{Code, Executed, Refusal, Usage};
use camphorwalk_core::ids::{AttemptId, TargetId};

use super::budget::Reservation;
use super::entries::{Entry, GrantedEntry, IntentEntry};
use super::journal::Waiter;
use super::state::{ProgramState, Stage, WorkKind};
use super::timers::Timer;
use super::{ProgramAction, Programs, StepContext, refusals};
use crate::shared_types::{
    AttemptPayload, CallId, Dispatch, PlaceOutcome, PlaceRelease, PlaceRequest, Verdict,
};

/// The maximum time that a call waits for its intent or grant to become durable.
const MAX_JOURNAL_WAIT: Duration = Duration::from_secs(1);

impl Programs {
    /// Handles the result of the rate check.
    pub(super) fn on_admission(&mut self, cx: &mut StepContext<'_>, id: CallId, verdict: Verdict) {
        if self.stage(id) != Some(Stage::AwaitingAdmission) {
            return;
        }

        match verdict {
            Verdict::Admitted => self.reserve(cx, id),
            Verdict::Refused { retry_after } => {
                let refusal = Refusal::not_run(Code::OverRate, "the tenant is over its rate");
                self.abandon_call(cx, id, refusal.retry_after(retry_after));
            }
        }
    }

    /// Reserves the tokens of the next attempt, then requests a place.
    pub(super) fn reserve(&mut self, cx: &mut StepContext<'_>, id: CallId) {
        let call = &self.calls[id];
        let (program, tokens) = (call.program, call.reserved);
        let account = self.programs[program].account;

        match self.accounts[account].reserve(tokens) {
            Reservation::Reserved => self.request_place(cx, id),
            Reservation::Exhausted => self.abandon_call(cx, id, refusals::budget_exhausted()),
            Reservation::NeedsGrant if self.journal.is_unavailable(cx.now) => {
                let refusal = refusals::platform_unavailable(self.journal.retry_after());
                self.abandon_call(cx, id, refusal);
            }
            Reservation::NeedsGrant => {
                let granted = self.accounts[account].grant_for(tokens);
                let root = self.programs[program].root;
                self.set_stage(cx, id, Stage::AwaitingGrant, Some(MAX_JOURNAL_WAIT));
                let entry = GrantedEntry { program: root, granted };
                self.append(program, Entry::Granted(entry), Waiter::Grant(program, id));
            }
        }
    }

    /// Requests a place at a target.
    fn request_place(&mut self, cx: &mut StepContext<'_>, id: CallId) {
        self.set_stage(cx, id, Stage::AwaitingPlace, None);
        let crashes_before = self.suspects.crashes(&self.calls[id].digest);
        self.calls[id].crashes_before = crashes_before;
        let call = &self.calls[id];
        let program = &self.programs[call.program];

        cx.out.push(ProgramAction::Place {
            call: id,
            request: PlaceRequest {
                pool: call.pool,
                tenant: program.tenant,
                class: program.class,
                program: program.id,
                attained: program.attained,
                prompt: call.prompt,
                output: call.reserved.minus(call.prompt),
                deadline_left: program.time_left(cx.now),
                avoid: call.avoid,
                suspect: call.suspect,
            },
        });
    }

    /// Handles a place request that the queue refused.
    pub(super) fn on_unplaced(
        &mut self,
        cx: &mut StepContext<'_>,
        id: CallId,
        retry_after: Duration,
    ) {
        if self.stage(id) != Some(Stage::AwaitingPlace) {
            return;
        }

        // The stage changes first, so that `abandon_call` does not release a place that the
        // call does not have.
        self.release_tokens(id);
        self.calls[id].stage = Stage::AwaitingAdmission;
        let refusal = Refusal::not_run(Code::Overloaded, "no target can serve the call in time");
        self.abandon_call(cx, id, refusal.retry_after(retry_after));
    }

    /// Handles a place that was granted.
    pub(super) fn on_placed(&mut self, cx: &mut StepContext<'_>, id: CallId, target: TargetId) {
        if self.stage(id) != Some(Stage::AwaitingPlace) {
            return;
        }

        self.last_attempt += 1;
        let attempt = AttemptId::new(self.options.session, self.last_attempt);
        let call = &mut self.calls[id];
        call.target = Some(target);
        call.attempt = Some(attempt);

        match call.kind {
            // If this host crashed between the dispatch and the record of the outcome, the next
            // home host would not know of the call, and a repeat would run it again, for
            // example as a second deposit. So the intent must be durable before anything is
            // sent.
            WorkKind::NonIdempotent(_) => self.journal_intent(cx, id, attempt),
            WorkKind::Turn { .. } | WorkKind::Idempotent(_) => self.dispatch(cx, id),
        }
    }

    /// Journals the intent to send a call.
    fn journal_intent(&mut self, cx: &mut StepContext<'_>, id: CallId, attempt: AttemptId) {
        self.set_stage(cx, id, Stage::JournalingIntent, Some(MAX_JOURNAL_WAIT));
        let call = &self.calls[id];
        let key = call.program;
        let program = &mut self.programs[key];

        // When the journal is replayed, a later intent also closes the earlier one.
        program.open_intent = None;

        let entry = IntentEntry {
            program: program.id,
            attempt: attempt.to_string().into(),
            call: call.text.clone(),
            left: program.time_left(cx.now),
        };
        self.append(key, Entry::Intent(entry), Waiter::Intent(key, id));
    }

    /// Sends a call to its target.
    pub(super) fn dispatch(&mut self, cx: &mut StepContext<'_>, id: CallId) {
        self.set_stage(cx, id, Stage::Running, None);
        let call = &self.calls[id];
        let program = &self.programs[call.program];
        let (Some(attempt), Some(target)) = (call.attempt, call.target) else { return };

        let payload = match &call.kind {
            WorkKind::Turn { max_tokens } => AttemptPayload::Generate {
                prompt: program.prompt(&call.text.input),
                max_tokens: *max_tokens,
            },
            WorkKind::Idempotent(operation) | WorkKind::NonIdempotent(operation) => {
                AttemptPayload::Operation {
                    operation: operation.clone(),
                    key: call.text.key.clone(),
                    input: Box::from(&*call.text.input),
                }
            }
        };

        cx.out.push(ProgramAction::Dispatch(Dispatch {
            attempt,
            call: id,
            target,
            tenant: program.tenant,
            key: call.key,
            program: program.id,
            number: call.number,
            payload,
            stream: call.callers.iter().find(|caller| caller.stream).map(|c| c.origin),
            timeout: program.time_left(cx.now),
        }));
        self.attempts.insert(attempt, id);
    }

    /// Abandons a call that is not at a target, and refuses its callers.
    ///
    /// If an earlier attempt may have run, the refusal says so instead of "not run".
    pub(super) fn abandon_call(
        &mut self,
        cx: &mut StepContext<'_>,
        id: CallId,
        mut refusal: Refusal,
    ) {
        let Some(call) = self.calls.get(id) else { return };
        let program = call.program;

        if call.may_have_run && refusal.ran == Executed::No {
            refusal.ran = Executed::Maybe;
        }

        match call.stage {
            Stage::AwaitingPlace => self.release_tokens(id),
            Stage::JournalingIntent => {
                self.release_tokens(id);
                // The intent may still become durable, but the call is never sent.
                self.programs[program].in_doubt = true;
            }
            _ => {}
        }

        if matches!(self.calls[id].stage, Stage::AwaitingPlace | Stage::JournalingIntent) {
            self.release_place(cx, id, PlaceOutcome::NotSent, None);
        }

        self.refuse_callers(cx, id, &refusal);
        self.remove_call(id);
    }

    /// Releases the place of a call, or withdraws its request for one.
    pub(super) fn release_place(
        &mut self,
        cx: &mut StepContext<'_>,
        id: CallId,
        outcome: PlaceOutcome,
        usage: Option<&Usage>,
    ) {
        let call = &self.calls[id];
        let program = &self.programs[call.program];
        let usage = usage.copied().unwrap_or_default();

        cx.out.push(ProgramAction::ReleasePlace {
            call: id,
            release: PlaceRelease {
                outcome,
                computed_prompt: usage.prompt_tokens.minus(usage.cached_tokens),
                output: usage.output_tokens,
                program_ended: program.state == ProgramState::Ended,
            },
        });
    }

    /// Refuses all callers of a call.
    pub(super) fn refuse_callers(
        &mut self,
        cx: &mut StepContext<'_>,
        id: CallId,
        refusal: &Refusal,
    ) {
        let callers = std::mem::take(&mut self.calls[id].callers);

        for caller in callers {
            self.refuse(cx, caller.origin, refusal.clone());
        }
    }

    /// Removes a call, so that its program can accept the next one.
    pub(super) fn remove_call(&mut self, id: CallId) {
        let Some(call) = self.calls.remove(id) else { return };

        if let Some(program) = self.programs.get_mut(call.program)
            && program.running == Some(id)
        {
            program.running = None;
        }

        for caller in call.callers {
            self.calls_by_origin.remove(&caller.origin);
        }
    }

    /// Cancels the token reservation of an attempt that did not run.
    pub(super) fn release_tokens(&mut self, id: CallId) {
        let call = &self.calls[id];

        if let Some(account) = self.accounts.get_mut(self.programs[call.program].account) {
            account.release(call.reserved);
        }
    }

    /// Returns the stage of a call, or `None` if the call no longer exists.
    pub(super) fn stage(&self, id: CallId) -> Option<Stage> {
        self.calls.get(id).map(|call| call.stage)
    }

    /// Moves a call to a stage that may last for at most `limit`, or any time if it is `None`.
    pub(super) fn set_stage(
        &mut self,
        cx: &StepContext<'_>,
        id: CallId,
        stage: Stage,
        limit: Option<Duration>,
    ) {
        let until = limit.map(|limit| cx.now + limit);
        let call = &mut self.calls[id];
        call.stage = stage;
        call.stage_until = until;

        if let Some(until) = until {
            self.timers.set(until, Timer::Call(id));
        }
    }

    /// Handles a call that has been in its stage for too long.
    pub(super) fn stage_timed_out(&mut self, cx: &mut StepContext<'_>, id: CallId) {
        let Some(call) = self.calls.get(id) else { return };

        if call.stage_until.is_none_or(|until| until > cx.now) {
            return;
        }

        match call.stage {
            Stage::AwaitingGrant | Stage::JournalingIntent => {
                let refusal = refusals::platform_unavailable(self.journal.retry_after());
                self.abandon_call(cx, id, refusal);
            }
            Stage::JournalingOutcome => self.answer_recorded(cx, id),
            _ => {}
        }
    }
}
