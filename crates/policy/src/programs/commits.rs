//! Connects the programs to their journal: entries to write, and handling of their outcomes.

use camphorwalk_core::ids::{PartitionId, ProgramId};
use camphorwalk_core::platform::{PlatformOp, PlatformReply};
use camphorwalk_core::units::Tokens;

use super::entries::{Entry, OutcomeEntry};
use super::journal::{Pending, Waiter, WriteOutcome};
use super::state::{ProgramKey, Stage};
use super::{ProgramAction, ProgramOp, Programs, StepContext, refusals};
use crate::shared_types::CallId;

impl Programs {
    /// Queues an entry for the journal of a program's partition.
    pub(super) fn append(&mut self, key: ProgramKey, entry: Entry, waiter: Waiter) {
        let program = &self.programs[key];

        // An orphan's partition was lost, so its journal belongs to another host.
        let Some(term) = self.terms.get(&program.partition).filter(|_| !program.orphan) else {
            return;
        };

        self.journal.push(Pending { partition: program.partition, term: term.id, entry, waiter });
    }

    /// Returns the partition that a program's id falls into.
    pub(super) fn partition_of(&self, program: ProgramId) -> PartitionId {
        self.cfg.as_ref().map_or(PartitionId(0), |cfg| cfg.partition(program))
    }

    /// Sends the next transaction if it is due.
    pub(super) fn flush(&mut self, cx: &mut StepContext<'_>) {
        if let Some(transaction) = self.journal.next_transaction(cx.now, &self.terms) {
            self.commit_op = Some(self.platform(cx, PlatformOp::Commit(transaction)));
        }
    }

    /// Handles a reply of the platform.
    pub(super) fn on_platform(
        &mut self,
        cx: &mut StepContext<'_>,
        op: ProgramOp,
        reply: PlatformReply,
    ) {
        if self.reads.contains_key(&op) {
            return self.on_read(cx, op, reply);
        }

        if self.object_writes.contains_key(&op) {
            return self.on_put(cx, op, reply);
        }

        // Late and duplicate replies are ignored.
        if self.commit_op != Some(op) {
            return;
        }

        self.commit_op = None;
        let result = self.journal.on_reply(cx.now, reply, &mut self.terms);

        for (pending, outcome) in result.outcomes {
            match outcome {
                WriteOutcome::Durable => self.entry_durable(cx, pending),
                WriteOutcome::Rejected => self.entry_rejected(cx, pending),
                WriteOutcome::InDoubt => self.entry_in_doubt(cx, pending),
            }
        }

        for (partition, epoch) in result.fenced {
            cx.out.push(ProgramAction::Fenced { partition, epoch });
            self.partition_lost(cx, partition);
        }

        for partition in result.incomplete {
            self.restart_recovery(cx, partition);
        }

        if let Some((maintenance, version)) = result.maintenance {
            self.maintenance_done(&maintenance, version);
        }

        for (partition, bytes) in result.appended {
            self.journal_grew(cx, partition, bytes);
        }

        self.start_unblocked_reads(cx);
    }

    /// Handles an entry that became durable.
    fn entry_durable(&mut self, cx: &mut StepContext<'_>, pending: Pending) {
        self.raise_grant(&pending.entry);

        match (pending.waiter, pending.entry) {
            (Waiter::Open(key), Entry::Opened(entry)) => {
                self.opening_durable(cx, key, entry.granted);
            }
            (Waiter::Intent(key, call), Entry::Intent(entry)) => {
                self.intent_durable(cx, key, call, entry.attempt);
            }
            (Waiter::Grant(_, call), _) if self.stage(call) == Some(Stage::AwaitingGrant) => {
                self.reserve(cx, call);
            }
            (Waiter::Outcome(key, call, number), _) => {
                self.record_durable(cx, key, call, number);
            }
            (Waiter::End(key), _) => self.end_durable(cx, key),
            _ => {}
        }
    }

    /// Raises the grant of a family according to a durable entry.
    fn raise_grant(&mut self, entry: &Entry) {
        let (program, granted): (ProgramId, Tokens) = match entry {
            Entry::Turn(turn) => (turn.program, turn.granted),
            Entry::Granted(grant) => (grant.program, grant.granted),
            _ => return,
        };

        if let Some(key) = self.index.get(&program)
            && let Some(account) = self.accounts.get_mut(self.programs[*key].account)
        {
            account.raise_grant(granted);
        }
    }

    /// Sends the call whose intent became durable, unless it was abandoned meanwhile.
    fn intent_durable(
        &mut self,
        cx: &mut StepContext<'_>,
        key: ProgramKey,
        call: CallId,
        attempt: Box<str>,
    ) {
        if self.stage(call) == Some(Stage::JournalingIntent) {
            return self.dispatch(cx, call);
        }

        // The callers got the answer "not run", so the call is never sent, and the journal records
        // that.
        let Some(program) = self.programs.get_mut(key) else { return };
        program.in_doubt = false;
        let entry = OutcomeEntry { program: program.id, attempt, outcome: None };
        self.append(key, Entry::Outcome(entry), Waiter::Nobody);
    }

    /// Marks a finished call as durable and answers its callers.
    fn record_durable(
        &mut self,
        cx: &mut StepContext<'_>,
        key: ProgramKey,
        call: CallId,
        number: u32,
    ) {
        if let Some(program) = self.programs.get_mut(key) {
            program.stored = program.stored.max(number);
        }

        self.answer_recorded(cx, call);
    }

    /// Handles an entry that the platform rejected. The journal writer keeps entries that record
    /// facts and writes them again.
    fn entry_rejected(&mut self, cx: &mut StepContext<'_>, pending: Pending) {
        match pending.waiter {
            Waiter::Open(key) => self.opening_rejected(cx, key),
            Waiter::Intent(key, call) => {
                self.abandon_unstored(cx, call);

                if let Some(program) = self.programs.get_mut(key) {
                    program.in_doubt = false;
                }
            }
            Waiter::Grant(_, call) => self.abandon_unstored(cx, call),
            Waiter::Outcome(_, call, _) => self.answer_recorded(cx, call),
            Waiter::End(key) => self.end_not_stored(cx, key),
            Waiter::Nobody => {}
        }
    }

    /// Handles an entry whose write has an unknown outcome.
    fn entry_in_doubt(&mut self, cx: &mut StepContext<'_>, pending: Pending) {
        match pending.waiter {
            Waiter::Open(key) => self.opening_in_doubt(cx, key),
            // The call is abandoned and never sent, whether or not its intent takes effect.
            Waiter::Intent(_, call) | Waiter::Grant(_, call) => self.abandon_unstored(cx, call),
            Waiter::Outcome(_, call, _) => self.answer_recorded(cx, call),
            Waiter::End(key) => self.end_not_stored(cx, key),
            Waiter::Nobody => {}
        }
    }

    /// Abandons a call whose intent or grant was not stored, or is not known to be stored.
    fn abandon_unstored(&mut self, cx: &mut StepContext<'_>, call: CallId) {
        if matches!(self.stage(call), Some(Stage::JournalingIntent | Stage::AwaitingGrant)) {
            let refusal = refusals::platform_unavailable(self.journal.retry_after());
            self.abandon_call(cx, call, refusal);
        }
    }
}
