//! A call as it comes in: repeats, order, limits.
//!
//! Repeats are looked up before anything can refuse the call. So "not run" is never said of
//! an idempotency key that ran.

use std::sync::Arc;

use camphorwalk_core::calls::{CallRequest, Executed, Refusal};
use camphorwalk_core::config::{Template, TemplateTarget};
use camphorwalk_core::ids::{KeyId, PoolId, RequestOrigin, TenantId};
use camphorwalk_core::units::Tokens;

use super::entries::{CallText, Entry, OutcomeEntry};
use super::journal::Waiter;
use super::retry::request_digest;
use super::state::{Call, Caller, Kind, Program, ProgramKey, ProgramState, Stage, estimate};
use super::tail::{self, TailError};
use super::{Cx, ProgramAction, Programs, answers};
use crate::shared_types::CallId;

/// What a call comes to, given what is known of its idempotency key.
enum Step {
    /// It ran before, with this number.
    Repeat(u32),
    /// It runs now: wait for it together.
    Join,
    /// It is new.
    Fresh,
}

impl Programs {
    /// Takes in a call.
    pub(super) fn call(
        &mut self,
        cx: &mut Cx<'_>,
        ticket: RequestOrigin,
        tenant: TenantId,
        key: KeyId,
        mut req: CallRequest,
    ) {
        let Some(program) = self.visible(tenant, req.program) else {
            return self.refuse(cx, ticket, answers::not_found());
        };
        let caller = Caller { ticket, key, stream: req.stream };

        let tail = req.tail.take();
        let adopted = tail.map_or(Ok(()), |tail| self.adopt_tail(cx, program, &tail));

        match self.classify(program, &req) {
            Ok(Step::Repeat(number)) => {
                let reply = self.recorded_reply(program, number);
                self.answer(cx, ticket, reply);
            }
            Ok(Step::Join) => self.join(program, caller),
            Ok(Step::Fresh) => match adopted.and_then(|()| self.check(cx, program, &req)) {
                Ok(call) => self.start(cx, caller, call),
                Err(refusal) => self.refuse(cx, ticket, refusal),
            },
            Err(refusal) => self.refuse(cx, ticket, refusal),
        }
    }

    /// Looks a call's idempotency key up.
    fn classify(&self, key: ProgramKey, req: &CallRequest) -> Result<Step, Refusal> {
        let program = &self.programs[key];

        if let Some(number) = program.find(&req.key) {
            let record = &program.calls[number as usize - 1];
            let same = record.call.body == req.body;
            return if same { Ok(Step::Repeat(number)) } else { Err(answers::key_reused()) };
        }

        let running = program.running.and_then(|call| self.calls.get(call));

        match running.filter(|call| call.text.key == req.key) {
            Some(call) if call.text.body == req.body => Ok(Step::Join),
            Some(_) => Err(answers::key_reused()),
            None => Ok(Step::Fresh),
        }
    }

    /// Lets a repeat wait for the call that runs.
    fn join(&mut self, program: ProgramKey, caller: Caller) {
        let Some(id) = self.programs[program].running else { return };

        self.calls[id].callers.push(caller);
        self.tickets.insert(caller.ticket, id);
    }

    /// Checks whether a new call may begin, and makes it.
    fn check(&self, cx: &Cx<'_>, key: ProgramKey, req: &CallRequest) -> Result<Call, Refusal> {
        let program = &self.programs[key];
        check_state(cx, program)?;

        if program.in_doubt {
            return Err(answers::platform_away(self.journal.retry_after()));
        }

        if program.running.is_some() {
            return Err(answers::out_of_order(program.head(), "another call is under way"));
        }

        if req.after != program.head() {
            return Err(answers::out_of_order(program.head(), "the call does not follow the head"));
        }

        let call = self.make(key, req)?;
        self.check_limits(cx, program, &call)?;

        Ok(call)
    }

    /// Makes a call out of a request.
    fn make(&self, key: ProgramKey, req: &CallRequest) -> Result<Call, Refusal> {
        let program = &self.programs[key];
        let template = self.cfg.as_ref().and_then(|cfg| cfg.template(&program.template));
        let template = template.ok_or_else(|| answers::bad_request("the template is gone"))?;
        let target = template.targets.iter().find(|target| target.name == req.target);
        let target =
            target.ok_or_else(|| answers::bad_request("the template has no such target"))?;
        let kind = kind_of(template, target, req);
        let input: Arc<str> = Arc::from(&*req.input);

        let (prompt, output, texts) = match kind {
            Kind::Turn { max_tokens } => (
                program.history.plus(estimate(&input)),
                Tokens(u64::from(max_tokens)),
                Some(program.texts()),
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
            stage: Stage::Admitting,
            prompt,
            reserved: prompt.plus(output),
            target: None,
            attempt: None,
            avoid: None,
            suspect: self.suspects.is_suspect(&digest),
            may_have_run: false,
            digest,
            stage_until: None,
        })
    }

    /// Checks a call against what its program may still do.
    fn check_limits(&self, cx: &Cx<'_>, program: &Program, call: &Call) -> Result<(), Refusal> {
        let cfg = self.cfg.as_ref().ok_or_else(answers::leaving)?;
        let max_calls = cfg.template(&program.template).map_or(0, |t| t.max_calls);

        if program.head() + program.openings >= max_calls {
            return Err(answers::exhausted());
        }

        if self.suspects.is_quarantined(&call.digest) {
            return Err(answers::quarantined(Executed::No));
        }

        if call.reserved > self.accounts[program.account].left() {
            return Err(answers::exhausted());
        }

        // Without an intent on record the call may not be sent, so it is refused before it
        // costs the tenant anything.
        if matches!(call.kind, Kind::Once(_)) && self.journal.is_away(cx.now) {
            return Err(answers::platform_away(self.journal.retry_after()));
        }

        Ok(())
    }

    /// Begins a call.
    fn start(&mut self, cx: &mut Cx<'_>, caller: Caller, mut call: Call) {
        let program = call.program;
        call.callers.push(caller);
        call.key = caller.key;
        let id = self.calls.insert(call);
        let program = &mut self.programs[program];
        program.running = Some(id);
        let tenant = program.tenant;

        self.tickets.insert(caller.ticket, id);
        self.retries.earn();
        cx.out.push(ProgramAction::Admit { call: id, tenant });
    }

    /// Takes over the calls of a tail that a caller handed back.
    fn adopt_tail(&mut self, cx: &Cx<'_>, key: ProgramKey, text: &str) -> Result<(), Refusal> {
        let program = &mut self.programs[key];
        let tail = tail::unseal(&self.options.seal_key, program, text)
            .map_err(|_| answers::bad_request("the tail is not one of this program"))?;

        // What runs here follows this host's own head; the tail is older or diverged.
        if program.state != ProgramState::Open || program.running.is_some() || program.in_doubt {
            return Ok(());
        }

        let head = program.head();
        let adopted = tail::adopt(program, tail).map_err(|error| match error {
            TailError::Forged => answers::bad_request("the tail is not one of this program"),
            TailError::Diverged => answers::out_of_order(head, "the history went on otherwise"),
        })?;

        if adopted.settled {
            self.journal_settled(key, head);
        }

        for number in adopted.appended {
            self.programs[key].open_intent = None;
            self.journal_turn(cx, key, number, Waiter::Record(key, CallId::default(), number));
        }

        Ok(())
    }

    /// Journals the outcome that a tail held of an intent.
    fn journal_settled(&mut self, key: ProgramKey, number: u32) {
        let program = &mut self.programs[key];
        let Some((attempt, _)) = program.open_intent.take() else { return };
        let record = &mut program.calls[number as usize - 1];
        record.attempt = Some(attempt.clone());
        let outcome = record.outcome.clone();
        let entry = OutcomeEntry { program: program.id, attempt, outcome: Some(outcome) };

        // The platform holds the intent, but not yet what became of it.
        program.stored = number - 1;
        self.append(key, Entry::Outcome(entry), Waiter::Record(key, CallId::default(), number));
    }
}

/// Checks that a program takes calls.
fn check_state(cx: &Cx<'_>, program: &Program) -> Result<(), Refusal> {
    match program.state {
        ProgramState::Opening => Err(answers::leaving()),
        ProgramState::Ended if cx.now >= program.deadline => Err(answers::deadline(Executed::No)),
        ProgramState::Ended => Err(answers::not_found()),
        ProgramState::Open if cx.now >= program.deadline => Err(answers::deadline(Executed::No)),
        ProgramState::Open => Ok(()),
    }
}

/// Returns what kind of work a call to this target is.
fn kind_of(template: &Template, target: &TemplateTarget, req: &CallRequest) -> Kind {
    match &target.operation {
        Some(operation) if target.idempotent => Kind::Repeatable(operation.clone()),
        Some(operation) => Kind::Once(operation.clone()),
        None => {
            let limit = template.max_output_tokens;
            Kind::Turn { max_tokens: req.max_tokens.unwrap_or(limit).min(limit) }
        }
    }
}
