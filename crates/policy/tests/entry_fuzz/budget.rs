//! How a turn gets its tokens, as `camphorwalk-entry` does it.

use std::time::Duration;

use camphorwalk_core::hash::Set;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::budgets::{BudgetRow, ProgramKey, Reservation};
use camphorwalk_policy::entry::shares::{Doubt, Limit};

use crate::asks::{self, Ask, Reply};
use crate::grants::{self, Granted, Hedged, WITNESSES};
use crate::host::Shared;
use crate::sim::join_all;
use crate::store::{Op, StoreReply};
use crate::world::{MOST, Program};

pub const MOST_WRITES: u32 = 6;
const TELL_DEADLINE: Duration = Duration::from_millis(150);
const ROW_DEADLINE: Duration = Duration::from_millis(20);

/// What a turn is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    Tokens,
    Spent,
    Unsure,
    Contended,
}

/// What came of writing a row.
pub enum Written {
    Committed,
    Learned,
    Away,
    Unsure,
}

/// Reserves the tokens of a turn.
pub async fn hold(shared: &Shared, program: &Program) -> Held {
    let Program { key, budget, .. } = *program;
    let begins = program.last_turn.is_none();
    let budgets = &shared.host.budgets;
    let _turn = shared.lock(key).await;

    fetch_row(shared, program).await;
    let mut recalled = false;
    for _ in 0..MOST_WRITES {
        let is_settled = shared.is_settled();
        let limit = if is_settled { shared.limit() } else { Limit::Whole };
        let reservation =
            budgets.borrow_mut().reserve_within(shared.now(), key, budget, MOST, limit);

        match reservation {
            Reservation::Reserved => return Held::Tokens,
            Reservation::Spent { certain: false } | Reservation::Withheld(_) if !recalled => {
                recalled = true;
                collect(shared, key, is_settled).await;
            }
            Reservation::Spent { .. } => return Held::Spent,
            Reservation::Withheld(doubt) => return withheld(doubt),
            Reservation::Write(row, version) if is_settled => {
                match grants::write_hedged(shared, key, row, version).await {
                    Hedged::Done(Written::Committed | Written::Learned) => {}
                    Hedged::Done(_) | Hedged::Overdue(_) => shared.note_slow(),
                }
            }
            Reservation::Write(..) => {
                if !budgets.borrow().has_grants(key) {
                    grants::learn_from(shared, key, 1).await;
                }
                match grants::ask_for_grant(shared, key, budget, begins).await {
                    Granted::Tokens => {}
                    Granted::Nothing | Granted::Withheld(_) if !recalled => {
                        recalled = true;
                        collect(shared, key, is_settled).await;
                    }
                    Granted::Nothing => return Held::Spent,
                    Granted::Withheld(doubt) => return withheld(doubt),
                    Granted::Unsure => return Held::Unsure,
                }
            }
        }
    }

    Held::Contended
}

fn withheld(doubt: Doubt) -> Held {
    match doubt {
        Doubt::Unsettled => Held::Unsure,
        Doubt::Forgotten => Held::Spent,
    }
}

async fn fetch_row(shared: &Shared, program: &Program) {
    if shared.host.budgets.borrow().has_grants(program.key) {
        return;
    }
    let Some(host) = program.last_host.filter(|host| shared.hears(*host)) else { return };
    let reply = asks::ask(shared, host, Ask::StoredRow(program.key), ROW_DEADLINE).await;

    if let Some(Reply::StoredRow(Some((row, version)))) = reply {
        shared.host.budgets.borrow_mut().merge_stored_row(shared.now(), program.key, row, version);
    }
}

async fn collect(shared: &Shared, program: ProgramKey, is_settled: bool) {
    if !is_settled {
        grants::learn_from(shared, program, WITNESSES).await;
    }
    gather(shared, program).await;

    if is_settled && shared.host.budgets.borrow().claim(program, MOST).missing > 0 {
        recall(shared, program).await;
    }
}

/// Has other hosts give this one what it lacks.
async fn gather(shared: &Shared, program: ProgramKey) {
    let budgets = &shared.host.budgets;
    let mut runs = budgets.borrow().holders(program);
    runs.extend(budgets.borrow().transfer_recipients(program));
    let mut asked = Set::from_iter([shared.host.run]);

    while let Some(run) = runs.pop() {
        let missing = budgets.borrow().claim(program, MOST).missing;
        if missing == 0 {
            return;
        }
        let Some(host) = shared.host_of_run(run).filter(|_| asked.insert(run)) else { continue };
        let total = budgets.borrow().transferred_from(program, run) + missing;
        let Some(known) = budgets.borrow().known_row(program) else { return };
        let ask = Ask::Give(program, known, shared.host.run, total);
        if let Some(Reply::Given(total, to)) = asks::ask(shared, host, ask, TELL_DEADLINE).await {
            budgets.borrow_mut().record_transfer_from(program, run, total);
            runs.extend(to);
        }
    }
}

/// Has the other hosts give back what they do not need.
async fn recall(shared: &Shared, program: ProgramKey) {
    let holders = shared.host.budgets.borrow().holders(program);
    let hosts = holders.into_iter().filter_map(|run| shared.host_of_run(run));
    let asked = hosts.map(|host| asks::ask(shared, host, Ask::Yield(program), TELL_DEADLINE));

    for reply in join_all(asked).await.into_iter().flatten() {
        if let Reply::Granted(row) = reply {
            shared.host.budgets.borrow_mut().merge_row(shared.now(), program, &row);
        }
    }
}

/// Writes a row, and takes in what the store then holds.
pub async fn write(
    shared: &Shared,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
) -> Written {
    match shared.ask_store(Op::Commit(program, Some(row.clone()), version)).await {
        StoreReply::Committed(version) => {
            grants::tell_stored(shared, program, &row, version);
            shared.host.budgets.borrow_mut().record_write(shared.now(), program, row, version);
            Written::Committed
        }
        StoreReply::Conflict(there) => take_in(shared, program, there),
        StoreReply::Unavailable => Written::Away,
        StoreReply::Row(_) | StoreReply::Unknown => {
            match shared.ask_store(Op::Read(program)).await {
                StoreReply::Row(there) => take_in(shared, program, there),
                StoreReply::Unavailable => Written::Away,
                _ => Written::Unsure,
            }
        }
    }
}

/// Deletes the row of a program that was needless at `asked`, if it still has this version.
pub async fn delete(shared: &Shared, program: ProgramKey, version: RowVersion, asked: Instant) {
    let reply = shared.ask_store(Op::Commit(program, None, version)).await;
    let mut budgets = shared.host.budgets.borrow_mut();

    match reply {
        StoreReply::Committed(_) | StoreReply::Conflict(None) => {
            budgets.record_deletion(shared.now(), program, asked);
        }
        StoreReply::Conflict(Some((row, version))) if budgets.has_grants(program) => {
            budgets.merge_stored_row(shared.now(), program, row, version);
        }
        _ => {}
    }
}

fn take_in(
    shared: &Shared,
    program: ProgramKey,
    there: Option<(BudgetRow, RowVersion)>,
) -> Written {
    let mut budgets = shared.host.budgets.borrow_mut();
    match there {
        Some((row, version)) => budgets.merge_stored_row(shared.now(), program, row, version),
        None => budgets.record_missing_row(shared.now(), program),
    }

    Written::Learned
}
