//! Acceptance of calls: repeats, order and limits.
//!
//! Repeats are looked up before any check can refuse the call, so a call that
//! already ran is never reported as "not run".

use std::sync::Arc;

use camphorwalk_core::calls::{CallRequest, Executed, Refusal};
use camphorwalk_core::config::{Template, TemplateTarget};
use camphorwalk_core::ids::{KeyId, PoolId, RequestOrigin, TenantId};
use camphorwalk_core::units::Tokens;

use super::entries::{CallText, Entry, OutcomeEntry};
use super::journal::Waiter;
use super::retry::request_digest;
use super::state::{Call, Caller, Program, ProgramKey, ProgramState, Stage, WorkKind, estimate};
use super::tail::{self, TailError};
use super::{ProgramAction, Programs, StepContext, refusals};
use crate::shared_types::CallId;

/// What is known about a call's idempotency key.
enum KeyLookup {
    /// The program's history contains the call with this number under the key.
    Repeat(u32),
    /// A call is running under the key: the caller waits for the same answer.
    Join,
    /// The key is new.
    New,
}

impl Programs {
    /// Handles a call request.
    pub(super) fn call(
        &mut self,
        cx: &mut StepContext<'_>,
        origin: RequestOrigin,
        tenant: TenantId,
        key: KeyId,
        mut req: CallRequest,
    ) {
        let Some(program) = self.tenant_program(tenant, req.program) else {
            return self.refuse(cx, origin, refusals::not_found());
        };
        let caller = Caller { origin, key, stream: req.stream };

        let tail = req.tail.take();
        let adopted = tail.map_or(Ok(()), |tail| self.adopt_tail(cx, program, &tail));

        match self.classify(program, &req) {
            Ok(KeyLookup::Repeat(number)) => {
                let reply = self.call_result_reply(program, number);
                self.answer(cx, origin, reply);
            }
            Ok(KeyLookup::Join) => self.join(program, caller),
            Ok(KeyLookup::New) => {
                match adopted.and_then(|()| self.check_new_call(cx, program, &req)) {
                    Ok(call) => self.start(cx, caller, call),
                    Err(refusal) => self.refuse(cx, origin, refusal),
                }
            }
            Err(refusal) => self.refuse(cx, origin, refusal),
        }
    }

    /// Looks up a call's idempotency key.
    fn classify(&self, key: ProgramKey, req: &CallRequest) -> Result<KeyLookup, Refusal> {
        let program = &self.programs[key];

        if let Some(number) = program.find(&req.key) {
            let record = &program.calls[number as usize - 1];
            let same = record.call.body == req.body;
            return if same { Ok(KeyLookup::Repeat(number)) } else { Err(refusals::key_reused()) };
        }

        let running = program.running.and_then(|call| self.calls.get(call));

        match running.filter(|call| call.text.key == req.key) {
            Some(call) if call.text.body == req.body => Ok(KeyLookup::Join),
            Some(_) => Err(refusals::key_reused()),
            None => Ok(KeyLookup::New),
        }
    }

    /// Adds a caller to the call that is already running.
    fn join(&mut self, program: ProgramKey, caller: Caller) {
        let Some(id) = self.programs[program].running else { return };

        self.calls[id].callers.push(caller);
        self.calls_by_origin.insert(caller.origin, id);
    }

    /// Checks whether a new call may start, and creates it.
    fn check_new_call(
        &self,
        cx: &StepContext<'_>,
        key: ProgramKey,
        req: &CallRequest,
    ) -> Result<Call, Refusal> {
        let program = &self.programs[key];
        check_state(cx, program)?;

        if program.in_doubt {
            return Err(refusals::platform_unavailable(self.journal.retry_after()));
        }

        if program.running.is_some() {
            return Err(refusals::out_of_order(program.head(), "another call is under way"));
        }

        if req.after != program.head() {
            return Err(refusals::out_of_order(
                program.head(),
                "the call does not follow the head",
            ));
        }

        let call = self.build_call(key, req)?;
        self.check_limits(cx, program, &call)?;

        Ok(call)
    }

    /// Creates a call from a request.
    fn build_call(&self, key: ProgramKey, req: &CallRequest) -> Result<Call, Refusal> {
        let program = &self.programs[key];
        let template = self.cfg.as_ref().and_then(|cfg| cfg.template(&program.template));
        let template = template.ok_or_else(|| refusals::bad_request("the template is gone"))?;
        let target = template.targets.iter().find(|target| target.name == req.target);
        let target =
            target.ok_or_else(|| refusals::bad_request("the template has no such target"))?;
        let kind = kind_of(template, target, req);
        let input: Arc<str> = Arc::from(&*req.input);

        let (prompt, output, texts) = match kind {
            WorkKind::Turn { max_tokens } => (
                program.history.plus(estimate(&input)),
                Tokens(u64::from(max_tokens)),
                Some(program.texts_hash()),
            ),
            _ => (Tokens(0), Tokens(0), None),
        };
        let digest = request_digest(&req.target, texts.as_ref(), &input);

        Ok(Call {
            program: key,
            text: CallText {
                key: req.key.clone(),
                body: req.body,
                target: req.target.clone(),
                input,
            },
            kind,
            pool: PoolId::from_name(&target.pool),
            number: program.head() + 1,
            callers: Vec::new(),
            key: KeyId(0),
            stage: Stage::AwaitingAdmission,
            prompt,
            reserved: prompt.plus(output),
            target: None,
            attempt: None,
            avoid: None,
            suspect: self.suspects.is_suspect(&digest),
            crashes_before: 0,
            may_have_run: false,
            digest,
            stage_until: None,
        })
    }

    /// Checks a call against the limits of its program.
    fn check_limits(
        &self,
        cx: &StepContext<'_>,
        program: &Program,
        call: &Call,
    ) -> Result<(), Refusal> {
        let cfg = self.cfg.as_ref().ok_or_else(refusals::home_moving)?;
        let max_calls = cfg.template(&program.template).map_or(0, |t| t.max_calls);

        if program.head() + program.openings >= max_calls {
            return Err(refusals::budget_exhausted());
        }

        if self.suspects.is_quarantined(&call.digest) {
            return Err(refusals::quarantined(Executed::No));
        }

        if call.reserved > self.accounts[program.account].available() {
            return Err(refusals::budget_exhausted());
        }

        // A call that must run at most once cannot be sent without a durable intent. It is
        // refused here, before it counts against the tenant's rate.
        if matches!(call.kind, WorkKind::NonIdempotent(_)) && self.journal.is_unavailable(cx.now) {
            return Err(refusals::platform_unavailable(self.journal.retry_after()));
        }

        Ok(())
    }

    /// Starts a call.
    fn start(&mut self, cx: &mut StepContext<'_>, caller: Caller, mut call: Call) {
        let program = call.program;
        call.callers.push(caller);
        call.key = caller.key;
        let id = self.calls.insert(call);
        let program = &mut self.programs[program];
        program.running = Some(id);
        let tenant = program.tenant;

        self.calls_by_origin.insert(caller.origin, id);
        self.retries.earn();
        cx.out.push(ProgramAction::Admit { call: id, tenant });
    }

    /// Adopts the calls in a tail that a caller sent back; see the `tail` module.
    fn adopt_tail(
        &mut self,
        cx: &StepContext<'_>,
        key: ProgramKey,
        text: &str,
    ) -> Result<(), Refusal> {
        let program = &mut self.programs[key];
        let tail = tail::unseal(&self.options.seal_key, program, text)
            .map_err(|_| refusals::bad_request("the tail is not one of this program"))?;

        // The tail is ignored in three cases. A program that is not open accepts no calls. A
        // running call continues this host's own history, so the tail is older or has diverged.
        // While an intent is in doubt, no later entry of the program may be journaled.
        if program.state != ProgramState::Open || program.running.is_some() || program.in_doubt {
            return Ok(());
        }

        let head = program.head();
        let adopted = tail::adopt(program, tail).map_err(|error| match error {
            TailError::Forged => refusals::bad_request("the tail is not one of this program"),
            TailError::Diverged => refusals::out_of_order(head, "the history went on otherwise"),
        })?;

        if adopted.outcome_found {
            self.journal_adopted_outcome(key, head);
        }

        for number in adopted.appended {
            self.programs[key].open_intent = None;
            self.journal_turn(cx, key, number, Waiter::Outcome(key, CallId::default(), number));
        }

        Ok(())
    }

    /// Journals the outcome of an intent that a tail contained.
    fn journal_adopted_outcome(&mut self, key: ProgramKey, number: u32) {
        let program = &mut self.programs[key];
        let Some((attempt, _)) = program.open_intent.take() else { return };
        let record = &mut program.calls[number as usize - 1];
        record.attempt = Some(attempt.clone());
        let outcome = record.outcome.clone();
        let entry = OutcomeEntry { program: program.id, attempt, outcome: Some(outcome) };

        // The platform has the intent but not its outcome yet.
        program.stored = number - 1;
        self.append(key, Entry::Outcome(entry), Waiter::Outcome(key, CallId::default(), number));
    }
}

/// Checks that a program accepts calls.
fn check_state(cx: &StepContext<'_>, program: &Program) -> Result<(), Refusal> {
    match program.state {
        ProgramState::Opening => Err(refusals::home_moving()),
        ProgramState::Ended if cx.now >= program.deadline => {
            Err(refusals::deadline_passed(Executed::No))
        }
        ProgramState::Ended => Err(refusals::not_found()),
        ProgramState::Open if cx.now >= program.deadline => {
            Err(refusals::deadline_passed(Executed::No))
        }
        ProgramState::Open => Ok(()),
    }
}

/// Returns the kind of work that a call to this target asks for.
fn kind_of(template: &Template, target: &TemplateTarget, req: &CallRequest) -> WorkKind {
    match &target.operation {
        Some(operation) if target.idempotent => WorkKind::Idempotent(operation.clone()),
        Some(operation) => WorkKind::NonIdempotent(operation.clone()),
        None => {
            let limit = template.max_output_tokens;
            WorkKind::Turn { max_tokens: req.max_tokens.unwrap_or(limit).min(limit) }
        }
    }
}
