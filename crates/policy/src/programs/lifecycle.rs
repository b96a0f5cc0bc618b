//! How programs end: by request, at their deadline, or because their partition moved to another
//! host.

use std::time::Duration;

use camphorwalk_core::calls::{Code, Executed, Refusal, Reply};
use camphorwalk_core::ids::{PartitionId, ProgramId, RequestOrigin, TenantId};

use super::entries::Entry;
use super::journal::Waiter;
use super::state::{ProgramKey, ProgramState, Stage, WorkKind};
use super::timers::Timer;
use super::{ProgramAction, Programs, StepContext, refusals};
use crate::shared_types::CallId;

/// How long an ended program stays in memory, to answer repeats. After that it appears not to
/// exist.
pub(super) const ENDED_RETENTION: Duration = Duration::from_secs(60);

impl Programs {
    /// Ends a program at its caller's request.
    pub(super) fn end(
        &mut self,
        cx: &mut StepContext<'_>,
        origin: RequestOrigin,
        tenant: TenantId,
        program: ProgramId,
    ) {
        let Some(key) = self.tenant_program(tenant, program) else {
            return self.refuse(cx, origin, refusals::not_found());
        };

        match self.programs[key].state {
            ProgramState::Opening => self.refuse(cx, origin, refusals::home_moving()),
            ProgramState::Ended if self.programs[key].end_stored => {
                self.answer(cx, origin, Reply::Ended);
            }
            ProgramState::Open | ProgramState::Ended => {
                self.programs[key].ending_origins.push(origin);
                self.end_family(cx, key, &refusals::not_found());

                if self.journal.is_unavailable(cx.now) {
                    self.end_not_stored(cx, key);
                }
            }
        }
    }

    /// Ends a program and all its descendants.
    fn end_family(&mut self, cx: &mut StepContext<'_>, key: ProgramKey, reason: &Refusal) {
        if self.programs[key].state != ProgramState::Open {
            return;
        }

        let children = self.programs[key].children.clone();

        for child in children {
            if let Some(child) = self.index.get(&child) {
                self.end_family(cx, *child, reason);
            }
        }

        let forget_at = cx.now + ENDED_RETENTION;
        let program = &mut self.programs[key];
        program.state = ProgramState::Ended;
        program.forget_at = Some(forget_at);
        let (id, running) = (program.id, program.running);
        self.timers.set(forget_at, Timer::Program(key));

        if let Some(call) = running {
            self.stop_call(cx, call, reason);
        }

        cx.out.push(ProgramAction::ProgramEnded { program: id });
        self.append(key, Entry::Ended { program: id }, Waiter::End(key));
    }

    /// Stops the call of a program that ended.
    fn stop_call(&mut self, cx: &mut StepContext<'_>, id: CallId, reason: &Refusal) {
        if self.calls[id].stage != Stage::Running {
            return self.abandon_call(cx, id, reason.clone());
        }

        // The call was sent. A model turn is cancelled; a service operation runs to its end, and is
        // recorded if it must not be repeated.
        let reason = reason.clone().ran(Executed::Maybe);
        self.refuse_callers(cx, id, &reason);
        self.cancel_unwanted(cx, id);
    }

    /// Cancels the attempt of a call whose callers are gone, if the call is a model turn.
    pub(super) fn cancel_unwanted(&mut self, cx: &mut StepContext<'_>, id: CallId) {
        let call = &self.calls[id];

        if let (WorkKind::Turn { .. }, Some(attempt)) = (&call.kind, call.attempt) {
            cx.out.push(ProgramAction::Cancel { attempt });
        }
    }

    /// Handles the end of a program that became durable.
    pub(super) fn end_durable(&mut self, cx: &mut StepContext<'_>, key: ProgramKey) {
        let Some(program) = self.programs.get_mut(key) else { return };
        program.end_stored = true;

        for origin in std::mem::take(&mut program.ending_origins) {
            self.answer(cx, origin, Reply::Ended);
        }
    }

    /// Refuses the callers that wait for an end that is not durable; the journal writer stores the
    /// end later.
    pub(super) fn end_not_stored(&mut self, cx: &mut StepContext<'_>, key: ProgramKey) {
        let Some(program) = self.programs.get_mut(key) else { return };
        let origins = std::mem::take(&mut program.ending_origins);
        let after = self.journal.retry_after();

        for origin in origins {
            let refusal = Refusal::not_run(
                Code::PlatformUnavailable,
                "the program is over here, but the platform has no record of it yet",
            );
            self.refuse(cx, origin, refusal.ran(Executed::Maybe).retry_after(after));
        }
    }

    /// Ends a program at its deadline, or removes an ended one after its retention.
    pub(super) fn program_due(&mut self, cx: &mut StepContext<'_>, key: ProgramKey) {
        let Some(program) = self.programs.get(key) else { return };

        if program.state == ProgramState::Open && cx.now >= program.deadline {
            return self.end_family(cx, key, &refusals::deadline_passed(Executed::No));
        }

        let Some(forget_at) = program.forget_at.filter(|_| program.state == ProgramState::Ended)
        else {
            return;
        };

        if cx.now < forget_at {
            return;
        }

        // The program's call is still running. If it must not be repeated, its outcome has to be
        // recorded.
        if program.running.is_some() {
            return self.timers.set(cx.now + ENDED_RETENTION, Timer::Program(key));
        }

        self.remove_program(key);
    }

    /// Removes a program from memory.
    pub(super) fn remove_program(&mut self, key: ProgramKey) {
        let Some(program) = self.programs.remove(key) else { return };

        if self.index.get(&program.id) == Some(&key) {
            self.index.remove(&program.id);
        }

        if program.root == program.id {
            self.accounts.remove(program.account);
        } else if let Some(parent) = program.parent.and_then(|id| self.index.get(&id)) {
            let parent = &mut self.programs[*parent];

            // The parent's count of openings stays, unless the opening never became durable.
            if program.state == ProgramState::Opening {
                parent.openings -= 1;
            }

            parent.children.retain(|child| *child != program.id);
        }
    }

    /// Removes a program after its last call was answered, if it is an orphan: its partition was
    /// lost while that call was running.
    pub(super) fn remove_orphan(&mut self, key: ProgramKey) {
        if self.programs.get(key).is_some_and(|program| program.orphan) {
            self.remove_program(key);
        }
    }

    /// Drops a partition whose lease this host lost.
    pub(super) fn partition_lost(&mut self, cx: &mut StepContext<'_>, partition: PartitionId) {
        if let Some(recovering) = self.recovering.remove(&partition) {
            self.reads.retain(|_, (of, _)| *of != partition);

            for parked in recovering.parked {
                self.refuse(cx, parked.origin, refusals::not_served(&parked.request));
            }
        }

        self.terms.remove(&partition);
        self.compactions.remove(&partition);
        self.releasing_grants.remove(&partition);
        self.journal.drop_queued(partition);
        self.drop_programs(cx, partition);
    }

    /// Removes the programs of a partition and answers the callers that wait for them.
    fn drop_programs(&mut self, cx: &mut StepContext<'_>, partition: PartitionId) {
        let keys: Vec<_> = self
            .index
            .values()
            .copied()
            .filter(|key| self.programs[*key].partition == partition)
            .collect();
        let recording: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, call)| call.stage == Stage::JournalingOutcome)
            .filter(|(_, call)| self.programs[call.program].partition == partition)
            .map(|(id, _)| id)
            .collect();

        // These calls finished but may not be durable. Their answers are complete all the same.
        for call in recording {
            self.answer_recorded(cx, call);
        }

        for key in keys {
            self.drop_program(cx, key);
        }
    }

    /// Removes a program whose partition was lost. A call that was sent is kept until it is
    /// answered, because the target may run it.
    fn drop_program(&mut self, cx: &mut StepContext<'_>, key: ProgramKey) {
        let program = &mut self.programs[key];
        let id = program.id;
        let waiting: Vec<_> =
            program.opening_origins.drain(..).chain(program.ending_origins.drain(..)).collect();
        let running = program.running;
        program.orphan = true;
        self.index.remove(&id);

        // The opening or end may have become durable.
        for origin in waiting {
            self.refuse(cx, origin, refusals::home_moving().ran(Executed::Maybe));
        }

        match running {
            Some(call) if self.calls[call].stage == Stage::Running => {}
            Some(call) => {
                self.abandon_call(cx, call, refusals::home_moving());
                self.remove_program(key);
            }
            None => self.remove_program(key),
        }
    }
}
