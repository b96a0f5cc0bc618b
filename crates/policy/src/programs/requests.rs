//! Dispatch of incoming requests, and the requests that only read.

use std::sync::Arc;

use camphorwalk_core::calls::{
    CallOutcome, CompletedCall, HistoryCall, ProgramView, Refusal, Reply, Request, Usage,
};
use camphorwalk_core::ids::{KeyId, ProgramId, RequestOrigin, TenantId};
use camphorwalk_core::units::Tokens;

use super::entries::RecordedOutcome;
use super::state::{ParkedRequest, Program, ProgramKey, ProgramState};
use super::{Programs, StepContext, refusals, tail};

/// A request together with its sender.
#[derive(Debug)]
pub(super) struct IncomingRequest {
    /// Identifies the request in the answer.
    pub origin: RequestOrigin,
    /// The tenant that sent it.
    pub tenant: TenantId,
    /// The API key it was sent with.
    pub key: KeyId,
    /// The request itself.
    pub request: Request,
}

impl Programs {
    /// Serves a request, parks it while its partition is being read, or refuses it.
    pub(super) fn request(&mut self, cx: &mut StepContext<'_>, incoming: IncomingRequest) {
        let program = incoming.request.program();

        let Some(partition) = self.cfg.as_ref().map(|cfg| cfg.partition(program)) else {
            return self.refuse(cx, incoming.origin, refusals::not_served(&incoming.request));
        };

        if self.terms.contains_key(&partition) {
            return self.serve(cx, incoming);
        }

        if self.recovering.contains_key(&partition) {
            return self.park(cx, partition, incoming);
        }

        self.refuse(cx, incoming.origin, refusals::not_served(&incoming.request));
    }

    /// Serves a request for a program whose home is this host.
    pub(super) fn serve(&mut self, cx: &mut StepContext<'_>, incoming: IncomingRequest) {
        let IncomingRequest { origin, tenant, key, request } = incoming;

        match request {
            Request::Open(open) => self.open(cx, origin, tenant, open),
            Request::Call(call) => self.call(cx, origin, tenant, key, call),
            Request::End { program } => self.end(cx, origin, tenant, program),
            Request::View { program } => {
                let reply = self.view(cx, tenant, program);
                self.answer(cx, origin, reply);
            }
            Request::Outcome { program, key } => {
                let reply = self.outcome(tenant, program, &key);
                self.answer(cx, origin, reply);
            }
            Request::History { program, from } => {
                let reply = self.history(tenant, program, from);
                self.answer(cx, origin, reply);
            }
        }
    }

    /// Returns the program if it belongs to the tenant; otherwise it appears not to exist.
    pub(super) fn tenant_program(
        &self,
        tenant: TenantId,
        program: ProgramId,
    ) -> Option<ProgramKey> {
        let key = *self.index.get(&program)?;

        (self.programs[key].tenant == tenant).then_some(key)
    }

    /// Returns the state of a program as its caller sees it.
    fn view(&self, cx: &StepContext<'_>, tenant: TenantId, program: ProgramId) -> Reply {
        let Some(key) = self.tenant_program(tenant, program) else {
            return Reply::Refused(refusals::not_found());
        };
        let program = &self.programs[key];
        let state = if program.state == ProgramState::Ended { "ended" } else { "open" };

        Reply::View(ProgramView {
            program: program.id,
            template: program.template.clone(),
            state: state.into(),
            head: program.head(),
            budget_left_tokens: self.accounts[program.account].available(),
            deadline_left: program.time_left(cx.now),
        })
    }

    /// Returns the outcome of the call with this idempotency key.
    fn outcome(&self, tenant: TenantId, program: ProgramId, call: &str) -> Reply {
        let Some(key) = self.tenant_program(tenant, program) else {
            return Reply::Refused(refusals::not_found());
        };
        let program = &self.programs[key];

        if let Some(number) = program.find(call) {
            return Reply::Outcome(match self.call_result(program, number) {
                Ok(called) => CallOutcome::Done(called),
                Err(refusal) => CallOutcome::Failed(refusal),
            });
        }

        let running = program.running.and_then(|call| self.calls.get(call));

        match running.filter(|running| &*running.text.key == call) {
            Some(_) => Reply::Outcome(CallOutcome::Running),
            None => Reply::Refused(refusals::not_found()),
        }
    }

    /// Returns the finished calls of a program, beginning at number `from`.
    fn history(&self, tenant: TenantId, program: ProgramId, from: u32) -> Reply {
        let Some(key) = self.tenant_program(tenant, program) else {
            return Reply::Refused(refusals::not_found());
        };
        let skipped = from.max(1) - 1;
        let program = &self.programs[key];
        let calls = program.calls.iter().zip(1..).skip(skipped as usize);

        Reply::History {
            calls: calls
                .map(|(record, call)| HistoryCall {
                    call,
                    key: record.call.key.clone(),
                    target: record.call.target.clone(),
                    input: text(&record.call.input),
                    output: output_text(&record.outcome),
                    stored: call <= program.stored,
                })
                .collect(),
        }
    }

    /// Returns the result of a finished call; repeats of the call get the same.
    pub(super) fn call_result(
        &self,
        program: &Program,
        number: u32,
    ) -> Result<CompletedCall, Refusal> {
        let record = &program.calls[number as usize - 1];
        let stored = number <= program.stored;

        match &record.outcome {
            RecordedOutcome::Done { output, usage } => Ok(CompletedCall {
                call: number,
                output: text(output),
                usage: *usage,
                stored,
                tail: if stored { None } else { tail::seal(&self.options.seal_key, program) },
            }),
            RecordedOutcome::Failed { message } => Err(refusals::target_failed(message)),
            RecordedOutcome::Unknown => Err(refusals::outcome_unknown()),
        }
    }

    /// Returns the reply for a finished call.
    pub(super) fn call_result_reply(&self, program: ProgramKey, number: u32) -> Reply {
        match self.call_result(&self.programs[program], number) {
            Ok(called) => Reply::Called(called),
            Err(refusal) => Reply::Refused(refusal),
        }
    }
}

impl IncomingRequest {
    /// Restores the request from a parked one.
    pub fn unparked(parked: ParkedRequest) -> Self {
        Self {
            origin: parked.origin,
            tenant: parked.tenant,
            key: parked.key,
            request: parked.request,
        }
    }
}

/// Returns the text that a program's history shows as the output of a call.
fn output_text(outcome: &RecordedOutcome) -> Box<str> {
    match outcome {
        RecordedOutcome::Done { output, .. } => text(output),
        RecordedOutcome::Failed { message } => error_text(&refusals::target_failed(message)),
        RecordedOutcome::Unknown => error_text(&refusals::outcome_unknown()),
    }
}

/// Returns a refusal as JSON, to be shown in place of an output.
fn error_text(refusal: &Refusal) -> Box<str> {
    serde_json::json!({ "error": refusal }).to_string().into()
}

/// Copies a shared text into a string of its own.
fn text(shared: &Arc<str>) -> Box<str> {
    Box::from(&**shared)
}

/// Returns the tokens that count against the budget.
pub(super) fn counted_tokens(usage: &Usage) -> Tokens {
    usage.prompt_tokens.plus(usage.output_tokens)
}
