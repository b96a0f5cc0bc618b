//! How programs end, by their caller's wish, by their deadline, or because their partition
//! went to another host.

use std::time::Duration;

use camphorwalk_core::calls::{Code, Executed, Refusal, Reply};
use camphorwalk_core::ids::{PartitionId, ProgramId, RequestOrigin, TenantId};

use super::entries::Entry;
use super::journal::Waiter;
use super::state::{Kind, ProgramKey, ProgramState, Stage};
use super::timers::Timer;
use super::{Cx, ProgramAction, Programs, answers};
use crate::shared_types::CallId;

/// How long an ended program is remembered, for repeats. After that it looks like none.
pub(super) const REMEMBERED: Duration = Duration::from_secs(60);

impl Programs {
    /// Ends a program at its caller's wish.
    pub(super) fn end(
        &mut self,
        cx: &mut Cx<'_>,
        ticket: RequestOrigin,
        tenant: TenantId,
        program: ProgramId,
    ) {
        let Some(key) = self.visible(tenant, program) else {
            return self.refuse(cx, ticket, answers::not_found());
        };

        match self.programs[key].state {
            ProgramState::Opening => self.refuse(cx, ticket, answers::leaving()),
            ProgramState::Ended if self.programs[key].end_stored => {
                self.answer(cx, ticket, Reply::Ended);
            }
            ProgramState::Open | ProgramState::Ended => {
                self.programs[key].ending.push(ticket);
                self.end_family(cx, key, &answers::not_found());

                if self.journal.is_away(cx.now) {
                    self.end_not_stored(cx, key);
                }
            }
        }
    }

    /// Ends a program and all below it.
    fn end_family(&mut self, cx: &mut Cx<'_>, key: ProgramKey, reason: &Refusal) {
        if self.programs[key].state != ProgramState::Open {
            return;
        }

        let children = self.programs[key].children.clone();

        for child in children {
            if let Some(child) = self.index.get(&child) {
                self.end_family(cx, *child, reason);
            }
        }

        let forget_at = cx.now + REMEMBERED;
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

    /// Ends the call of a program that is over.
    fn stop_call(&mut self, cx: &mut Cx<'_>, id: CallId, reason: &Refusal) {
        if self.calls[id].stage != Stage::Running {
            return self.drop_call(cx, id, reason.clone());
        }

        // It was sent. What must not be repeated runs on and is recorded.
        let reason = reason.clone().ran(Executed::Maybe);
        self.answer_callers(cx, id, &reason);
        self.cancel_unwanted(cx, id);
    }

    /// Cancels a call that nobody waits for, if it may be cancelled.
    pub(super) fn cancel_unwanted(&mut self, cx: &mut Cx<'_>, id: CallId) {
        let call = &self.calls[id];

        if let (Kind::Turn { .. }, Some(attempt)) = (&call.kind, call.attempt) {
            cx.out.push(ProgramAction::Cancel { attempt });
        }
    }

    /// An end is durable.
    pub(super) fn end_durable(&mut self, cx: &mut Cx<'_>, key: ProgramKey) {
        let Some(program) = self.programs.get_mut(key) else { return };
        program.end_stored = true;

        for ticket in std::mem::take(&mut program.ending) {
            self.answer(cx, ticket, Reply::Ended);
        }
    }

    /// The platform did not take an end yet; it is written later.
    pub(super) fn end_not_stored(&mut self, cx: &mut Cx<'_>, key: ProgramKey) {
        let Some(program) = self.programs.get_mut(key) else { return };
        let tickets = std::mem::take(&mut program.ending);
        let after = self.journal.retry_after();

        for ticket in tickets {
            let refusal = Refusal::not_run(
                Code::PlatformUnavailable,
                "the program is over here, but the platform has no record of it yet",
            );
            self.refuse(cx, ticket, refusal.ran(Executed::Maybe).retry_after(after));
        }
    }

    /// A program's deadline passed, or its memory is to be freed.
    pub(super) fn program_due(&mut self, cx: &mut Cx<'_>, key: ProgramKey) {
        let Some(program) = self.programs.get(key) else { return };

        if program.state == ProgramState::Open && cx.now >= program.deadline {
            return self.end_family(cx, key, &answers::deadline(Executed::No));
        }

        let Some(forget_at) = program.forget_at.filter(|_| program.state == ProgramState::Ended)
        else {
            return;
        };

        if cx.now < forget_at {
            return;
        }

        // A call that must not be repeated still runs: its record is wanted.
        if program.running.is_some() {
            return self.timers.set(cx.now + REMEMBERED, Timer::Program(key));
        }

        self.remove_program(key);
    }

    /// Forgets a program.
    pub(super) fn remove_program(&mut self, key: ProgramKey) {
        let Some(program) = self.programs.remove(key) else { return };

        if self.index.get(&program.id) == Some(&key) {
            self.index.remove(&program.id);
        }

        if program.root == program.id {
            self.accounts.remove(program.account);
        } else if let Some(parent) = program.parent.and_then(|id| self.index.get(&id)) {
            let parent = &mut self.programs[*parent];

            // The parent's openings stay counted, but for one that never was.
            if program.state == ProgramState::Opening {
                parent.openings -= 1;
            }

            parent.children.retain(|child| *child != program.id);
        }
    }

    /// Forgets a program whose partition is gone, once its last call is answered.
    pub(super) fn remove_orphan(&mut self, key: ProgramKey) {
        if self.programs.get(key).is_some_and(|program| program.orphan) {
            self.remove_program(key);
        }
    }

    /// This host is no longer home of a partition.
    pub(super) fn lost(&mut self, cx: &mut Cx<'_>, partition: PartitionId) {
        if let Some(recovering) = self.recovering.remove(&partition) {
            self.scans.retain(|_, (of, _)| *of != partition);

            for parked in recovering.parked {
                self.refuse(cx, parked.ticket, answers::not_served(&parked.request));
            }
        }

        self.tenures.remove(&partition);
        self.compactions.remove(&partition);
        self.settling.remove(&partition);
        self.journal.drop_partition(partition);
        self.drop_programs(cx, partition);
    }

    /// Forgets the programs of a partition and answers who waits for them.
    fn drop_programs(&mut self, cx: &mut Cx<'_>, partition: PartitionId) {
        let keys: Vec<_> = self
            .index
            .values()
            .copied()
            .filter(|key| self.programs[*key].partition == partition)
            .collect();
        let recording: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, call)| call.stage == Stage::Recording)
            .filter(|(_, call)| self.programs[call.program].partition == partition)
            .map(|(id, _)| id)
            .collect();

        // Done, but not known to be stored: the answer is whole all the same.
        for call in recording {
            self.answer_recorded(cx, call);
        }

        for key in keys {
            self.drop_program(cx, key);
        }
    }

    /// Forgets a program whose partition is gone. A call that was sent still gets its
    /// answer: the target may run it.
    fn drop_program(&mut self, cx: &mut Cx<'_>, key: ProgramKey) {
        let program = &mut self.programs[key];
        let id = program.id;
        let waiting: Vec<_> = program.opening.drain(..).chain(program.ending.drain(..)).collect();
        let running = program.running;
        program.orphan = true;
        self.index.remove(&id);

        // The entry may have become durable.
        for ticket in waiting {
            self.refuse(cx, ticket, answers::leaving().ran(Executed::Maybe));
        }

        match running {
            Some(call) if self.calls[call].stage == Stage::Running => {}
            Some(call) => {
                self.drop_call(cx, call, answers::leaving());
                self.remove_program(key);
            }
            None => self.remove_program(key),
        }
    }
}
