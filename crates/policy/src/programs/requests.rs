//! Requests as they come in, and those that only look.

use std::sync::Arc;

use camphorwalk_core::calls::{
    CallOutcome, CompletedCall, HistoryCall, ProgramView, Refusal, Reply, Request, Usage,
};
use camphorwalk_core::ids::{KeyId, ProgramId, RequestOrigin, TenantId};
use camphorwalk_core::units::Tokens;

use super::entries::Recorded;
use super::state::{Parked, Program, ProgramKey, ProgramState};
use super::{Cx, Programs, answers, tail};

/// A request with what came with it.
#[derive(Debug)]
pub(super) struct Asked {
    /// Where the answer goes.
    pub ticket: RequestOrigin,
    /// The tenant.
    pub tenant: TenantId,
    /// The key.
    pub key: KeyId,
    /// What it asks.
    pub request: Request,
}

impl Programs {
    /// Takes in a request.
    pub(super) fn request(&mut self, cx: &mut Cx<'_>, asked: Asked) {
        let program = asked.request.program();

        let Some(partition) = self.cfg.as_ref().map(|cfg| cfg.partition(program)) else {
            return self.refuse(cx, asked.ticket, answers::not_served(&asked.request));
        };

        if self.tenures.contains_key(&partition) {
            return self.serve(cx, asked);
        }

        if self.recovering.contains_key(&partition) {
            return self.park(cx, partition, asked);
        }

        self.refuse(cx, asked.ticket, answers::not_served(&asked.request));
    }

    /// Serves a request for a program whose home this host is.
    pub(super) fn serve(&mut self, cx: &mut Cx<'_>, asked: Asked) {
        let Asked { ticket, tenant, key, request } = asked;

        match request {
            Request::Open(open) => self.open(cx, ticket, tenant, open),
            Request::Call(call) => self.call(cx, ticket, tenant, key, call),
            Request::End { program } => self.end(cx, ticket, tenant, program),
            Request::View { program } => {
                let reply = self.view(cx, tenant, program);
                self.answer(cx, ticket, reply);
            }
            Request::Outcome { program, key } => {
                let reply = self.outcome(tenant, program, &key);
                self.answer(cx, ticket, reply);
            }
            Request::History { program, from } => {
                let reply = self.history(tenant, program, from);
                self.answer(cx, ticket, reply);
            }
        }
    }

    /// Returns a tenant's program. Another tenant's looks like none.
    pub(super) fn visible(&self, tenant: TenantId, program: ProgramId) -> Option<ProgramKey> {
        let key = *self.index.get(&program)?;

        (self.programs[key].tenant == tenant).then_some(key)
    }

    /// Returns a program's state.
    fn view(&self, cx: &Cx<'_>, tenant: TenantId, program: ProgramId) -> Reply {
        let Some(key) = self.visible(tenant, program) else {
            return Reply::Refused(answers::not_found());
        };
        let program = &self.programs[key];
        let state = if program.state == ProgramState::Ended { "ended" } else { "open" };

        Reply::View(ProgramView {
            program: program.id,
            template: program.template.clone(),
            state: state.into(),
            head: program.head(),
            budget_left_tokens: self.accounts[program.account].left(),
            deadline_left: program.left(cx.now),
        })
    }

    /// Returns a call's outcome.
    fn outcome(&self, tenant: TenantId, program: ProgramId, call: &str) -> Reply {
        let Some(key) = self.visible(tenant, program) else {
            return Reply::Refused(answers::not_found());
        };
        let program = &self.programs[key];

        if let Some(number) = program.find(call) {
            return Reply::Outcome(match self.recorded(program, number) {
                Ok(called) => CallOutcome::Done(called),
                Err(refusal) => CallOutcome::Failed(refusal),
            });
        }

        let running = program.running.and_then(|call| self.calls.get(call));

        match running.filter(|running| &*running.text.key == call) {
            Some(_) => Reply::Outcome(CallOutcome::Running),
            None => Reply::Refused(answers::not_found()),
        }
    }

    /// Returns a program's calls in order.
    fn history(&self, tenant: TenantId, program: ProgramId, from: u32) -> Reply {
        let Some(key) = self.visible(tenant, program) else {
            return Reply::Refused(answers::not_found());
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

    /// Returns the answer to a finished call, as first given or to a repeat.
    pub(super) fn recorded(
        &self,
        program: &Program,
        number: u32,
    ) -> Result<CompletedCall, Refusal> {
        let record = &program.calls[number as usize - 1];
        let stored = number <= program.stored;

        match &record.outcome {
            Recorded::Done { output, usage } => Ok(CompletedCall {
                call: number,
                output: text(output),
                usage: *usage,
                stored,
                tail: if stored { None } else { tail::seal(&self.options.seal_key, program) },
            }),
            Recorded::Failed { message } => Err(answers::failed(message)),
            Recorded::Unknown => Err(answers::unknown()),
        }
    }

    /// Returns the reply to a finished call.
    pub(super) fn recorded_reply(&self, program: ProgramKey, number: u32) -> Reply {
        match self.recorded(&self.programs[program], number) {
            Ok(called) => Reply::Called(called),
            Err(refusal) => Reply::Refused(refusal),
        }
    }
}

impl Asked {
    /// Makes a request out of one that was parked.
    pub fn unparked(parked: Parked) -> Self {
        Self {
            ticket: parked.ticket,
            tenant: parked.tenant,
            key: parked.key,
            request: parked.request,
        }
    }
}

/// Returns a call's output as its history shows it.
fn output_text(outcome: &Recorded) -> Box<str> {
    match outcome {
        Recorded::Done { output, .. } => text(output),
        Recorded::Failed { message } => error_text(&answers::failed(message)),
        Recorded::Unknown => error_text(&answers::unknown()),
    }
}

/// Returns a refusal as the JSON that stands in place of an output.
fn error_text(refusal: &Refusal) -> Box<str> {
    serde_json::json!({ "error": refusal }).to_string().into()
}

/// Copies a shared text.
fn text(shared: &Arc<str>) -> Box<str> {
    Box::from(&**shared)
}

/// Returns the tokens that count against the budget.
pub(super) fn spent(usage: &Usage) -> Tokens {
    usage.prompt_tokens.plus(usage.output_tokens)
}
