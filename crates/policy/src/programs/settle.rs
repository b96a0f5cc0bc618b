//! Giving grants back before a partition is given back in good order.
//!
//! Without this each planned restart of a host would cost every program at home there one
//! chunk of its budget, and a program that lives through several restarts would be refused
//! although it has spent little.

use camphorwalk_core::hash::Set;
use camphorwalk_core::ids::PartitionId;

use super::Programs;
use super::entries::Entry;
use super::journal::Waiter;
use super::state::{ProgramKey, ProgramState};

impl Programs {
    /// A partition is about to be given back.
    pub(super) fn settle_partition(&mut self, partition: PartitionId) {
        if self.tenures.contains_key(&partition) {
            self.settling.insert(partition);
        }
    }

    /// Journals unspent grants of the partitions that are to be given back, wherever nothing
    /// is under way. A call that comes later has to be granted tokens again, and settling
    /// goes on after it.
    pub(super) fn settle_idle(&mut self) {
        if self.settling.is_empty() {
            return;
        }

        let busy = self.busy_partitions();

        for key in self.unsettled(&busy) {
            let program = &self.programs[key];
            let account = &mut self.accounts[program.account];

            // From here on nothing is sent without another durable grant, so the entry holds
            // whenever it becomes durable.
            account.give_up_grant();
            let (program, spent) = (program.id, account.spent);
            self.append(key, Entry::Settled { program, spent }, Waiter::Nobody);
        }
    }

    /// Returns the topmost programs with unspent grants in idle partitions to be given back.
    fn unsettled(&self, busy: &Set<PartitionId>) -> Vec<ProgramKey> {
        let settles = |key: &ProgramKey| {
            let program = &self.programs[*key];
            let account = &self.accounts[program.account];

            program.root == program.id
                && program.state == ProgramState::Open
                && self.settling.contains(&program.partition)
                && !busy.contains(&program.partition)
                && account.granted > account.spent
        };

        self.index.values().copied().filter(settles).collect()
    }
}
