//! The store of budget rows, as each host can reach it.

use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_policy::entry::budgets::{BudgetRow, ProgramKey};
use camphorwalk_policy::entry::grant_leases::{LeaseRow, Partition};

use crate::oracle;
use crate::world::{World, partition_of};

/// How long a host waits for an answer of the store.
const ANSWER_DEADLINE: Duration = Duration::from_millis(500);

/// How the store behaves toward a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// Answers take up to a few seconds.
    Slow,
    /// Operations have no effect and get no answer.
    Down,
    /// It refuses operations immediately.
    Refuses,
    /// Writes take effect, but their answers are lost.
    AnswersLost,
    /// Writes may take effect seconds after the host has stopped waiting.
    Late,
}

/// A lease row that a write requires to have this version.
pub type LeaseCheck = (Partition, RowVersion);

/// An operation on the rows of programs and leases.
#[derive(Clone, Debug)]
pub enum Op {
    /// Writes the row, or deletes it, provided that the stored one has this version and that the
    /// lease row, if one is given, has its version.
    Commit(ProgramKey, Option<BudgetRow>, RowVersion, Option<LeaseCheck>),
    Read(ProgramKey),
    /// Writes a lease row, provided that the stored one has this version.
    CommitLease(Partition, LeaseRow, RowVersion),
    ReadLease(Partition),
    /// Reads the rows of all programs of a partition.
    ReadPartition(Partition),
    /// An operation on the platform's own tables.
    Probe,
}

impl Op {
    /// Returns the name of the store part that the operation uses.
    pub fn part(&self) -> &'static str {
        if let Self::Probe = self { "" } else { "budgets" }
    }
}

#[derive(Clone, Debug)]
pub enum StoreReply {
    Committed(RowVersion),
    /// Holds the row that the store has instead.
    Conflict(Option<(BudgetRow, RowVersion)>),
    Row(Option<(BudgetRow, RowVersion)>),
    /// The lease row does not have the required version.
    LeaseConflict,
    Lease(Option<(LeaseRow, RowVersion)>),
    Rows(Vec<(ProgramKey, BudgetRow, RowVersion)>),
    Unavailable,
    Unknown,
}

#[derive(Default)]
pub struct Rows {
    rows: Map<ProgramKey, (BudgetRow, RowVersion)>,
    leases: Map<Partition, (LeaseRow, RowVersion)>,
    last: u64,
}

impl Rows {
    pub fn get(&self, program: ProgramKey) -> Option<&(BudgetRow, RowVersion)> {
        self.rows.get(&program)
    }

    fn lease_version(&self, partition: Partition) -> RowVersion {
        self.leases.get(&partition).map_or(RowVersion::ABSENT, |(_, version)| *version)
    }

    fn run(&mut self, world: &World, op: &Op) -> StoreReply {
        match op {
            Op::Probe => StoreReply::Row(None),
            Op::Read(program) => StoreReply::Row(self.rows.get(program).cloned()),
            Op::ReadLease(partition) => StoreReply::Lease(self.leases.get(partition).cloned()),
            Op::ReadPartition(partition) => {
                let inside = self.rows.iter().filter(|(p, _)| partition_of(**p) == *partition);
                let rows = inside.map(|(p, (row, version))| (*p, row.clone(), *version));
                StoreReply::Rows(rows.collect())
            }
            Op::CommitLease(partition, row, version) => {
                if self.lease_version(*partition) != *version {
                    return StoreReply::LeaseConflict;
                }
                self.last += 1;
                self.leases.insert(*partition, (row.clone(), RowVersion(self.last)));
                StoreReply::Committed(RowVersion(self.last))
            }
            Op::Commit(program, row, version, lease) => {
                if lease.is_some_and(|(partition, at)| self.lease_version(partition) != at) {
                    return StoreReply::LeaseConflict;
                }
                let there = self.rows.get(program).cloned();
                if there.as_ref().map_or(RowVersion::ABSENT, |(_, version)| *version) != *version {
                    return StoreReply::Conflict(there);
                }
                let before = there.map(|(row, _)| row);
                oracle::check_write(world, *program, before.as_ref(), row.as_ref());
                self.last += 1;
                match row {
                    Some(row) => {
                        self.rows.insert(*program, (row.clone(), RowVersion(self.last)));
                    }
                    None => drop(self.rows.remove(program)),
                }
                StoreReply::Committed(RowVersion(self.last))
            }
        }
    }
}

/// Runs an operation for a host to which the store behaves according to `mode`.
pub async fn run(world: &Rc<World>, mode: Mode, op: Op) -> StoreReply {
    let sim = &world.sim;
    let effect = || world.store.borrow_mut().run(world, &op);
    let is_write = matches!(op, Op::Commit(..) | Op::CommitLease(..));
    let no_answer = if is_write { StoreReply::Unknown } else { StoreReply::Unavailable };

    match mode {
        Mode::Up | Mode::Slow => {
            let most = if mode == Mode::Slow { 900 } else { 10 };
            let overdue = mode == Mode::Up && sim.chance(0.02);
            let most = if overdue { 200 } else { most };
            sim.sleep(sim.random_millis(1..most)).await;
            let reply = effect();
            sim.sleep(sim.random_millis(1..most)).await;
            reply
        }
        Mode::Refuses => {
            sim.sleep(sim.random_millis(1..10)).await;
            StoreReply::Unavailable
        }
        Mode::Down => {
            sim.sleep(ANSWER_DEADLINE).await;
            StoreReply::Unavailable
        }
        Mode::AnswersLost => {
            sim.sleep(sim.random_millis(1..100)).await;
            if is_write {
                effect();
                sim.sleep(sim.random_millis(50..500)).await;
                return no_answer;
            }
            effect()
        }
        Mode::Late => {
            if is_write {
                apply_late(world, op);
            }
            sim.sleep(ANSWER_DEADLINE).await;
            no_answer
        }
    }
}

/// Lets a write take effect after a delay, whether or not its host is still running.
fn apply_late(world: &Rc<World>, op: Op) {
    let world = Rc::clone(world);

    world.clone().sim.spawn(World::NO_RUN, async move {
        world.sim.sleep(world.sim.random_millis(100..4_000)).await;
        world.store.borrow_mut().run(&world, &op);
    });
}
