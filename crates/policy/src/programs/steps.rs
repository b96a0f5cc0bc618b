//! A call's steps up to its dispatch: rate, budget, place, intent.

use std::time::Duration;

use camphorwalk_core::calls::{Code, Executed, Refusal, Usage};
use camphorwalk_core::ids::{AttemptId, TargetId};

use super::budget::Reserve;
use super::entries::{Entry, GrantedEntry, IntentEntry};
use super::journal::Waiter;
use super::state::{Kind, ProgramState, Stage};
use super::timers::Timer;
use super::{Cx, ProgramAction, Programs, answers};
use crate::shared_types::{
    AttemptPayload, CallId, Dispatch, PlaceOutcome, PlaceRelease, PlaceRequest, Verdict,
};

/// How long a call waits for the platform to take its intent or grant.
const ASK_WAIT: Duration = Duration::from_secs(1);

impl Programs {
    /// The tenant's rate was asked.
    pub(super) fn on_verdict(&mut self, cx: &mut Cx<'_>, id: CallId, verdict: Verdict) {
        if self.stage(id) != Some(Stage::Admitting) {
            return;
        }

        match verdict {
            Verdict::Admitted => self.reserve(cx, id),
            Verdict::Refused { retry_after } => {
                let refusal = Refusal::not_run(Code::OverRate, "the tenant is over its rate");
                self.drop_call(cx, id, refusal.retry_after(retry_after));
            }
        }
    }

    /// Reserves what the next attempt may take, and asks for a place.
    pub(super) fn reserve(&mut self, cx: &mut Cx<'_>, id: CallId) {
        let call = &self.calls[id];
        let (program, tokens) = (call.program, call.reserved);
        let account = self.programs[program].account;

        match self.accounts[account].reserve(tokens) {
            Reserve::Reserved => self.place(cx, id),
            Reserve::Exhausted => self.drop_call(cx, id, answers::exhausted()),
            Reserve::NeedsGrant if self.journal.is_away(cx.now) => {
                let refusal = answers::platform_away(self.journal.retry_after());
                self.drop_call(cx, id, refusal);
            }
            Reserve::NeedsGrant => {
                let granted = self.accounts[account].grant_for(tokens);
                let root = self.programs[program].root;
                self.set_stage(cx, id, Stage::Granting, Some(ASK_WAIT));
                let entry = GrantedEntry { program: root, granted };
                self.append(program, Entry::Granted(entry), Waiter::Grant(program, id));
            }
        }
    }

    /// Asks for a place at a target.
    fn place(&mut self, cx: &mut Cx<'_>, id: CallId) {
        self.set_stage(cx, id, Stage::Placing, None);
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
                deadline_left: program.left(cx.now),
                avoid: call.avoid,
                suspect: call.suspect,
            },
        });
    }

    /// No place can be had in time.
    pub(super) fn on_unplaced(&mut self, cx: &mut Cx<'_>, id: CallId, retry_after: Duration) {
        if self.stage(id) != Some(Stage::Placing) {
            return;
        }

        // Said first: a call that has no place is not to be vacated.
        self.release(id);
        self.calls[id].stage = Stage::Admitting;
        let refusal = Refusal::not_run(Code::Overloaded, "no target can serve the call in time");
        self.drop_call(cx, id, refusal.retry_after(retry_after));
    }

    /// The call has a place.
    pub(super) fn on_placed(&mut self, cx: &mut Cx<'_>, id: CallId, target: TargetId) {
        if self.stage(id) != Some(Stage::Placing) {
            return;
        }

        self.last_attempt += 1;
        let attempt = AttemptId::new(self.options.session, self.last_attempt);
        let call = &mut self.calls[id];
        call.target = Some(target);
        call.attempt = Some(attempt);

        match call.kind {
            // If the home died between the dispatch and its record, the next home would not
            // know of the call, and a repeat would run it again: a second deposit. So the
            // intent is durable before a byte is sent.
            Kind::Once(_) => self.intend(cx, id, attempt),
            Kind::Turn { .. } | Kind::Repeatable(_) => self.dispatch(cx, id),
        }
    }

    /// Journals that a call is about to be sent.
    fn intend(&mut self, cx: &mut Cx<'_>, id: CallId, attempt: AttemptId) {
        self.set_stage(cx, id, Stage::Intending, Some(ASK_WAIT));
        let call = &self.calls[id];
        let key = call.program;
        let program = &mut self.programs[key];

        // Readers of the journal take an earlier intent for closed once another follows.
        program.open_intent = None;

        let entry = IntentEntry {
            program: program.id,
            attempt: attempt.to_string().into(),
            call: call.text.clone(),
            left: program.left(cx.now),
        };
        self.append(key, Entry::Intent(entry), Waiter::Intent(key, id));
    }

    /// Sends a call to its target.
    pub(super) fn dispatch(&mut self, cx: &mut Cx<'_>, id: CallId) {
        self.set_stage(cx, id, Stage::Running, None);
        let call = &self.calls[id];
        let program = &self.programs[call.program];
        let (Some(attempt), Some(target)) = (call.attempt, call.target) else { return };

        let payload = match &call.kind {
            Kind::Turn { max_tokens } => AttemptPayload::Generate {
                prompt: program.prompt(&call.text.input),
                max_tokens: *max_tokens,
            },
            Kind::Repeatable(operation) | Kind::Once(operation) => AttemptPayload::Operation {
                operation: operation.clone(),
                key: call.text.key.clone(),
                input: Box::from(&*call.text.input),
            },
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
            stream: call.callers.iter().find(|caller| caller.stream).map(|c| c.ticket),
            timeout: program.left(cx.now),
        }));
        self.attempts.insert(attempt, id);
    }

    /// Gives a call up that was not sent, and answers its callers.
    ///
    /// After an attempt that may have run, "not run" is turned into "may have run".
    pub(super) fn drop_call(&mut self, cx: &mut Cx<'_>, id: CallId, mut refusal: Refusal) {
        let Some(call) = self.calls.get(id) else { return };
        let program = call.program;

        if call.may_have_run && refusal.ran == Executed::No {
            refusal.ran = Executed::Maybe;
        }

        match call.stage {
            Stage::Placing => self.release(id),
            Stage::Intending => {
                self.release(id);
                // The intent may still become durable, but is never sent.
                self.programs[program].in_doubt = true;
            }
            _ => {}
        }

        if matches!(self.calls[id].stage, Stage::Placing | Stage::Intending) {
            self.vacate(cx, id, PlaceOutcome::NotSent, None);
        }

        self.answer_callers(cx, id, &refusal);
        self.forget_call(id);
    }

    /// Gives back a place, or withdraws the question for one.
    pub(super) fn vacate(
        &mut self,
        cx: &mut Cx<'_>,
        id: CallId,
        outcome: PlaceOutcome,
        usage: Option<&Usage>,
    ) {
        let call = &self.calls[id];
        let program = &self.programs[call.program];
        let usage = usage.copied().unwrap_or_default();

        cx.out.push(ProgramAction::ReleasePlace {
            call: id,
            end: PlaceRelease {
                outcome,
                computed_prompt: usage.prompt_tokens.minus(usage.cached_tokens),
                output: usage.output_tokens,
                program_ended: program.state == ProgramState::Ended,
            },
        });
    }

    /// Answers all who wait for a call with a refusal.
    pub(super) fn answer_callers(&mut self, cx: &mut Cx<'_>, id: CallId, refusal: &Refusal) {
        let callers = std::mem::take(&mut self.calls[id].callers);

        for caller in callers {
            self.refuse(cx, caller.ticket, refusal.clone());
        }
    }

    /// Forgets a call; its program takes the next.
    pub(super) fn forget_call(&mut self, id: CallId) {
        let Some(call) = self.calls.remove(id) else { return };

        if let Some(program) = self.programs.get_mut(call.program)
            && program.running == Some(id)
        {
            program.running = None;
        }

        for caller in call.callers {
            self.tickets.remove(&caller.ticket);
        }
    }

    /// Gives back the tokens reserved for an attempt that was not sent.
    pub(super) fn release(&mut self, id: CallId) {
        let call = &self.calls[id];

        if let Some(account) = self.accounts.get_mut(self.programs[call.program].account) {
            account.release(call.reserved);
        }
    }

    /// Returns how far a call is.
    pub(super) fn stage(&self, id: CallId) -> Option<Stage> {
        self.calls.get(id).map(|call| call.stage)
    }

    /// Moves a call on, with a bound on how long the stage may take.
    pub(super) fn set_stage(
        &mut self,
        cx: &Cx<'_>,
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

    /// A call's stage took too long.
    pub(super) fn stage_timed_out(&mut self, cx: &mut Cx<'_>, id: CallId) {
        let Some(call) = self.calls.get(id) else { return };

        if call.stage_until.is_none_or(|until| until > cx.now) {
            return;
        }

        match call.stage {
            Stage::Granting | Stage::Intending => {
                let refusal = answers::platform_away(self.journal.retry_after());
                self.drop_call(cx, id, refusal);
            }
            Stage::Recording => self.answer_recorded(cx, id),
            _ => {}
        }
    }
}
