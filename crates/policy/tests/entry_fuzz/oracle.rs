//! The invariants of budgets, which must hold under all faults.

use camphorwalk_policy::entry::budgets::{BudgetRow, ProgramKey, RunId};
use std::collections::BTreeMap;

use crate::host::Host;
use crate::world::{MAX_TOKENS, Program, RETENTION, World};

/// A program never spends more than its budget plus the maximum of one turn, and each host's
/// spending is covered by a row that the store or another host knows.
pub fn check_turn(world: &World, key: ProgramKey, host: &Host) {
    let Some(program) = world.program_of(key) else { return };

    assert!(
        program.spent <= program.budget + MAX_TOKENS,
        "{} of {} tokens are spent; {}",
        program.spent,
        program.budget,
        rows(world, key),
    );
    check_covered(world, key, host);
}

/// The figures of a row only grow, and the row exists as long as its program may return.
pub fn check_write(
    world: &World,
    key: ProgramKey,
    before: Option<&BudgetRow>,
    after: Option<&BudgetRow>,
) {
    let Some(before) = before else { return };
    let Some(after) = after else {
        let last = world.program_of(key).and_then(|program| program.last_turn);
        let idle = last.map(|last| world.sim.now().since(last));
        assert!(
            idle.is_none_or(|idle| idle >= RETENTION),
            "the row of a program that ran {idle:?} ago is deleted"
        );
        return;
    };

    assert_eq!(before.budget, after.budget);
    assert!(grows(&before.granted, &after.granted), "{before:?} became {after:?}");
    assert!(grows(&before.returned, &after.returned), "{before:?} became {after:?}");
}

/// On each host, the spending of all programs that may return is covered.
pub fn check(world: &World) {
    let programs = world.programs.borrow();
    let now = world.sim.now();
    let may_return = |p: &&Program| p.last_turn.is_none_or(|last| now.since(last) < RETENTION);

    for program in programs.iter().filter(may_return) {
        world.alive().iter().for_each(|host| check_covered(world, program.key, host));
    }
}

/// Tokens that a running host has spent, reserved or given away must be covered by the row in the
/// store or on another host, plus the tokens received from others. This is not checked while a host
/// has been lost that may have held the only copy of an unstored grant.
fn check_covered(world: &World, key: ProgramKey, host: &Host) {
    if world.may_have_single_copy() {
        return;
    }
    let committed = world.committed.borrow().get(&(key, host.run)).copied().unwrap_or(0);
    let stored = world.store.borrow().get(key).map_or(0, |(row, _)| granted(row, host.run));
    let known = |other: &Host| {
        let budgets = other.budgets.borrow();
        budgets.row(key).map_or(0, |row| granted(row, host.run))
    };
    let others = world.alive().into_iter().filter(|other| other.run != host.run);
    let covered = others.map(|other| known(&other)).max().unwrap_or(0).max(stored);

    let (given, received) = transferred(world, key, host);

    assert!(
        committed + given <= covered + received,
        "run {} spends {committed} and gave {given}, others know of {covered} and gave {received}; {}",
        host.run.0,
        rows(world, key)
    );
}

/// Returns the tokens that a host has given to other hosts and received from them. Asserts that no
/// host has received more from another one than that one has given.
fn transferred(world: &World, key: ProgramKey, host: &Host) -> (u64, u64) {
    let budgets = host.budgets.borrow();
    let runs = (1..=world.runs()).map(RunId).filter(|run| *run != host.run);
    for other in world.alive().iter().filter(|other| other.run != host.run) {
        let received = budgets.transferred_from(key, other.run);
        let given = other.budgets.borrow().transferred_to(key, host.run);
        assert!(received <= given, "run {} has {received} of {given}", host.run.0);
    }

    runs.fold((0, 0), |(given, received), run| {
        (given + budgets.transferred_to(key, run), received + budgets.transferred_from(key, run))
    })
}

/// Formats a program's row as the store and all hosts know it, for assert messages.
fn rows(world: &World, key: ProgramKey) -> String {
    let alive = world.alive();
    let hosts = alive.iter().map(|host| {
        let row = host.budgets.borrow().row(key).cloned();
        format!("host {} (run {}): {row:?}", host.name, host.run.0)
    });

    format!("store: {:?}; {}", world.store.borrow().get(key), hosts.collect::<Vec<_>>().join("; "))
}

fn granted(row: &BudgetRow, run: RunId) -> u64 {
    row.granted.get(&run).copied().unwrap_or(0)
}

/// Returns whether `after` has all entries of `before`, with equal or higher figures.
pub fn grows(before: &BTreeMap<RunId, u64>, after: &BTreeMap<RunId, u64>) -> bool {
    before.iter().all(|(run, tokens)| after.get(run).is_some_and(|later| later >= tokens))
}
