//! Release of unspent budget grants before a partition is released in an orderly way.
//!
//! Without this, each planned restart of a host would cost every program there one grant chunk,
//! and a program that lives through several restarts would be refused although it has spent
//! little.

use camphorwalk_core::hash::Set;
use camphorwalk_core::ids::PartitionId;

use super::Programs;
use super::entries::Entry;
use super::journal::Waiter;
use super::state::{ProgramKey, ProgramState};

impl Programs {
    /// Starts to release the unspent grants of a partition that is about to be released.
    pub(super) fn start_grant_release(&mut self, partition: PartitionId) {
        if self.terms.contains_key(&partition) {
            self.releasing_grants.insert(partition);
        }
    }

    /// Journals the unspent part of each family's grant as free, in partitions that are about to be
    /// released and are idle. A later call must be granted tokens again; the unspent part of that
    /// grant is released once the partition is idle again.
    pub(super) fn release_idle_grants(&mut self) {
        if self.releasing_grants.is_empty() {
            return;
        }

        let busy = self.busy_partitions();

        for key in self.roots_with_unspent_grants(&busy) {
            let program = &self.programs[key];
            let account = &mut self.accounts[program.account];

            // From now on no attempt is sent without a new durable grant, so the entry is valid
            // no matter when it becomes durable.
            account.drop_unspent_grant();
            let (program, spent) = (program.id, account.spent);
            self.append(key, Entry::Settled { program, spent }, Waiter::Nobody);
        }
    }

    /// Returns the open root programs whose families have unspent grants, in partitions that are
    /// about to be released and are not `busy`.
    fn roots_with_unspent_grants(&self, busy: &Set<PartitionId>) -> Vec<ProgramKey> {
        let has_unspent_grant = |key: &ProgramKey| {
            let program = &self.programs[*key];
            let account = &self.accounts[program.account];

            program.root == program.id
                && program.state == ProgramState::Open
                && self.releasing_grants.contains(&program.partition)
                && !busy.contains(&program.partition)
                && account.granted > account.spent
        };

        self.index.values().copied().filter(has_unspent_grant).collect()
    }
}
