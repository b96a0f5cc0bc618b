//! Who grants a program's tokens in times of trouble, as `camphorwalk-entry` does it.

use std::time::Duration;

use camphorwalk_core::platform::RowVersion;
use camphorwalk_policy::entry::budgets::{BudgetRow, ProgramKey};

use crate::asks::{self, Ask, GrantAsk, Reply};
use crate::budget::{MOST_WRITES, Written, write};
use crate::host::Shared;
use crate::sim::{Slot, join_all};

const WITNESSES: usize = 2;
const LOOSE_WITNESSES: usize = 4;
const MOST_ASKED: usize = 12;
const GRANT_DEADLINE: Duration = Duration::from_millis(450);
const WITNESS_DEADLINE: Duration = Duration::from_millis(80);
const HEDGE_AFTER: Duration = Duration::from_millis(60);

pub enum Granted {
    Tokens,
    Nothing,
    Unsure,
}

pub fn tell_stored(shared: &Shared, program: ProgramKey, row: &BudgetRow, version: RowVersion) {
    let mut hosts: Vec<_> = shared.next_granters(program).take(WITNESSES).collect();
    if shared.host.budgets.borrow().is_loose(program) {
        hosts.extend(shared.witnesses(program).into_iter().take(LOOSE_WITNESSES));
        hosts.sort_unstable();
        hosts.dedup();
    }

    for host in hosts {
        asks::tell(shared, host, Ask::Stored(program, row.clone(), version));
    }
}

pub async fn ask_for_grant(
    shared: &Shared,
    program: ProgramKey,
    budget: u64,
    begins: bool,
) -> Granted {
    let empty = BudgetRow { budget, ..BudgetRow::default() };
    let budgets = &shared.host.budgets;
    let known = budgets.borrow().row(program).cloned().unwrap_or(empty);
    let ask = GrantAsk { program, run: shared.host.run, known, begins };
    let Some(host) = shared.order(program).first().copied() else { return Granted::Unsure };
    let reply = match host == shared.host.name {
        true => Some(grant(shared, &ask).await),
        false => asks::ask(shared, host, Ask::Grant(ask), GRANT_DEADLINE).await,
    };

    match reply {
        Some(Reply::Written(row)) => {
            budgets.borrow_mut().learn_written(shared.now(), program, &row);
            Granted::Tokens
        }
        Some(Reply::Granted(row)) => {
            budgets.borrow_mut().learn_loose(shared.now(), program, &row);
            Granted::Tokens
        }
        Some(Reply::Spent) => Granted::Nothing,
        _ => Granted::Unsure,
    }
}

/// Grants a turn's tokens: by the store if it answers, or else in its place.
pub async fn grant(shared: &Shared, ask: &GrantAsk) -> Reply {
    let GrantAsk { program, run, known, begins } = ask;
    let budgets = &shared.host.budgets;

    for _ in 0..MOST_WRITES {
        let proposed =
            budgets.borrow_mut().propose(shared.now(), *program, *run, GrantAsk::MOST, known);
        let Some((row, version)) = proposed else { return Reply::Spent };

        match write_hedged(shared, *program, row.clone(), version).await {
            Some(Written::Committed) => return Reply::Written(row),
            Some(Written::Learned) => {}
            Some(Written::Away | Written::Unsure) | None => break,
        }
    }

    let is_entitled = shared.is_majority() && !shared.is_isolated();
    if !shared.host.health.borrow().has_answered() || !is_entitled {
        return Reply::Refused;
    }

    learn_from(shared, *program, WITNESSES).await;
    if !budgets.borrow().knows(*program) && known.granted.is_empty() {
        learn_from(shared, *program, MOST_ASKED).await;
        if !budgets.borrow().knows(*program) && !begins {
            return Reply::Refused;
        }
    }
    let granted =
        budgets.borrow_mut().grant_loose(shared.now(), *program, *run, GrantAsk::MOST, known);
    match granted {
        Some(row) if has_witness(shared, *program, &row).await => Reply::Granted(row),
        Some(_) => Reply::Refused,
        None => Reply::Spent,
    }
}

/// Writes a row. Returns `None` if what came of it is not known in time: then the write goes on.
pub async fn write_hedged(
    shared: &Shared,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
) -> Option<Written> {
    let written = Slot::new(&shared.world.sim);
    let (writing, done) = (shared.clone(), written.clone());
    shared.spawn(async move { done.put(write(&writing, program, row, version).await) });

    let written = shared.world.sim.timeout(HEDGE_AFTER, written.get()).await;
    if written.is_none() {
        shared.note_slow();
    }
    written
}

async fn has_witness(shared: &Shared, program: ProgramKey, row: &BudgetRow) -> bool {
    let ask = Ask::Loose(program, row.clone());
    let elsewhere: Vec<_> = shared.witnesses(program).into_iter().take(LOOSE_WITNESSES).collect();
    let next = shared.next_granters(program).take(WITNESSES);
    for host in next.filter(|host| !elsewhere.contains(host)) {
        asks::tell(shared, host, ask.clone());
    }

    // The first that takes note is enough; the others are told all the same.
    let first = Slot::new(&shared.world.sim);
    for host in elsewhere {
        let (asking, ask, first) = (shared.clone(), ask.clone(), first.clone());
        shared.spawn(async move {
            if let Some(Reply::Done) = asks::ask(&asking, host, ask, WITNESS_DEADLINE).await {
                first.put(());
            }
        });
    }
    shared.world.sim.timeout(WITNESS_DEADLINE, first.get()).await.is_some()
}

/// Learns what the next hosts in the order know.
pub async fn learn_from(shared: &Shared, program: ProgramKey, count: usize) {
    let hosts: Vec<_> = shared.next_granters(program).take(count).collect();
    let asked = hosts
        .into_iter()
        .map(|host| asks::ask(shared, host, Ask::KnownRow(program), WITNESS_DEADLINE));
    let replies = join_all(asked).await;

    for reply in replies.into_iter().flatten() {
        if let Reply::Granted(row) = reply {
            shared.host.budgets.borrow_mut().note(shared.now(), program, &row);
        }
    }
}

/// Writes the grants that were made without the store and are due.
pub async fn write_loose(shared: &Shared) {
    let is_heard = |run| run == shared.host.run || shared.host_of_run(run).is_some();
    let loose = shared.host.budgets.borrow().loose(shared.now(), is_heard);
    let writes =
        loose.into_iter().map(|(program, row, version)| write(shared, program, row, version));

    join_all(writes).await;
}
