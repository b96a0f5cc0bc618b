//! The journal's part of the home: what is sent to the platform and what its replies mean.

use camphorwalk_core::ids::{PartitionId, ProgramId};
use camphorwalk_core::platform::{PlatformOp, PlatformReply};
use camphorwalk_core::units::Tokens;

use super::entries::{Entry, OutcomeEntry};
use super::journal::{Fate, Pending, Waiter};
use super::state::{ProgramKey, Stage};
use super::{Cx, ProgramAction, ProgramOp, Programs, answers};
use crate::shared_types::CallId;

impl Programs {
    /// Adds an entry to a program's journal.
    pub(super) fn append(&mut self, key: ProgramKey, entry: Entry, waiter: Waiter) {
        let program = &self.programs[key];

        // The journal of an orphan's partition is another host's.
        let Some(tenure) = self.tenures.get(&program.partition).filter(|_| !program.orphan) else {
            return;
        };

        self.journal.push(Pending {
            partition: program.partition,
            tenure: tenure.id,
            entry,
            waiter,
        });
    }

    /// Returns the partition of a program.
    pub(super) fn partition_of(&self, program: ProgramId) -> PartitionId {
        self.cfg.as_ref().map_or(PartitionId(0), |cfg| cfg.partition(program))
    }

    /// Sends the next transaction, if it is due.
    pub(super) fn flush(&mut self, cx: &mut Cx<'_>) {
        if let Some(transaction) = self.journal.next(cx.now, &self.tenures) {
            self.writing = Some(self.platform(cx, PlatformOp::Commit(transaction)));
        }
    }

    /// The platform answered.
    pub(super) fn on_platform(&mut self, cx: &mut Cx<'_>, op: ProgramOp, reply: PlatformReply) {
        if self.scans.contains_key(&op) {
            return self.on_read(cx, op, reply);
        }

        if self.puts.contains_key(&op) {
            return self.on_put(cx, op, reply);
        }

        // A second or crossed reply answers nothing.
        if self.writing != Some(op) {
            return;
        }

        self.writing = None;
        let resolved = self.journal.on_reply(cx.now, reply, &mut self.tenures);

        for (pending, fate) in resolved.fates {
            match fate {
                Fate::Durable => self.durable(cx, pending),
                Fate::Refused => self.refused(cx, pending),
                Fate::InDoubt => self.in_doubt(cx, pending),
            }
        }

        for (partition, epoch) in resolved.fenced {
            cx.out.push(ProgramAction::Fenced { partition, epoch });
            self.lost(cx, partition);
        }

        for partition in resolved.behind {
            self.read_again(cx, partition);
        }

        if let Some((upkeep, version)) = resolved.upkeep {
            self.upkeep_done(&upkeep, version);
        }

        for (partition, bytes) in resolved.appended {
            self.journal_grew(cx, partition, bytes);
        }

        self.read_unblocked(cx);
    }

    /// The platform holds an entry.
    fn durable(&mut self, cx: &mut Cx<'_>, pending: Pending) {
        self.raise_grant(&pending.entry);

        match (pending.waiter, pending.entry) {
            (Waiter::Open(key), Entry::Opened(entry)) => {
                self.opening_durable(cx, key, entry.granted);
            }
            (Waiter::Intent(key, call), Entry::Intent(entry)) => {
                self.intent_durable(cx, key, call, entry.attempt);
            }
            (Waiter::Grant(_, call), _) if self.stage(call) == Some(Stage::Granting) => {
                self.reserve(cx, call);
            }
            (Waiter::Record(key, call, number), _) => {
                self.record_durable(cx, key, call, number);
            }
            (Waiter::End(key), _) => self.end_durable(cx, key),
            _ => {}
        }
    }

    /// Lets a family spend what a durable entry grants.
    fn raise_grant(&mut self, entry: &Entry) {
        let (program, granted): (ProgramId, Tokens) = match entry {
            Entry::Turn(turn) => (turn.program, turn.granted),
            Entry::Granted(grant) => (grant.program, grant.granted),
            _ => return,
        };

        if let Some(key) = self.index.get(&program)
            && let Some(account) = self.accounts.get_mut(self.programs[*key].account)
        {
            account.granted(granted);
        }
    }

    /// An intent is durable: the call is sent, unless it was given up meanwhile.
    fn intent_durable(
        &mut self,
        cx: &mut Cx<'_>,
        key: ProgramKey,
        call: CallId,
        attempt: Box<str>,
    ) {
        if self.stage(call) == Some(Stage::Intending) {
            return self.dispatch(cx, call);
        }

        // Its callers were told "not run", so it is never sent; the record says so, too.
        let Some(program) = self.programs.get_mut(key) else { return };
        program.in_doubt = false;
        let entry = OutcomeEntry { program: program.id, attempt, outcome: None };
        self.append(key, Entry::Outcome(entry), Waiter::Nobody);
    }

    /// A finished call is durable.
    fn record_durable(&mut self, cx: &mut Cx<'_>, key: ProgramKey, call: CallId, number: u32) {
        if let Some(program) = self.programs.get_mut(key) {
            program.stored = program.stored.max(number);
        }

        self.answer_recorded(cx, call);
    }

    /// The platform certainly does not hold an entry. Facts are written later.
    fn refused(&mut self, cx: &mut Cx<'_>, pending: Pending) {
        match pending.waiter {
            Waiter::Open(key) => self.opening_refused(cx, key),
            Waiter::Intent(key, call) => {
                self.fail_asking(cx, call);

                if let Some(program) = self.programs.get_mut(key) {
                    program.in_doubt = false;
                }
            }
            Waiter::Grant(_, call) => self.fail_asking(cx, call),
            Waiter::Record(_, call, _) => self.answer_recorded(cx, call),
            Waiter::End(key) => self.end_not_stored(cx, key),
            Waiter::Nobody => {}
        }
    }

    /// Nobody knows whether the platform holds an entry.
    fn in_doubt(&mut self, cx: &mut Cx<'_>, pending: Pending) {
        match pending.waiter {
            Waiter::Open(key) => self.opening_in_doubt(cx, key),
            // The call is given up and never sent, whatever becomes of its intent.
            Waiter::Intent(_, call) | Waiter::Grant(_, call) => self.fail_asking(cx, call),
            Waiter::Record(_, call, _) => self.answer_recorded(cx, call),
            Waiter::End(key) => self.end_not_stored(cx, key),
            Waiter::Nobody => {}
        }
    }

    /// Gives up a call whose intent or grant the platform did not take.
    fn fail_asking(&mut self, cx: &mut Cx<'_>, call: CallId) {
        if matches!(self.stage(call), Some(Stage::Intending | Stage::Granting)) {
            let refusal = answers::platform_away(self.journal.retry_after());
            self.drop_call(cx, call, refusal);
        }
    }
}
