//! Reserving the tokens of a turn, following `camphorwalk-entry`.

use std::time::Duration;

use camphorwalk_core::hash::Set;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::budgets::{BudgetRow, ProgramKey, ReserveOutcome, RunId};
use camphorwalk_policy::entry::shares::{Doubt, Limit};

use crate::asks::{self, Query, QueryReply};
use crate::grants::{self, Granted, Hedged, REPLICAS};
use crate::host::Shared;
use crate::sim::join_all;
use crate::store::{Op, StoreReply};
use crate::world::{MAX_TOKENS, Program, partition_of};

pub const MAX_WRITES: u32 = 6;
const QUERY_DEADLINE: Duration = Duration::from_millis(150);
const REFRESH_DEADLINE: Duration = Duration::from_millis(450);
const ROW_DEADLINE: Duration = Duration::from_millis(20);

/// The answer to a turn that requests its tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnAnswer {
    Tokens,
    Spent,
    Unsure,
    Contended,
}

/// The result of writing a row.
pub enum Written {
    Committed,
    Merged,
    /// The lease has changed hands, so the consent of its holder no longer holds.
    LeaseChanged,
    Unavailable,
    Unsure,
}

/// Reserves the tokens of a turn.
pub async fn reserve(shared: &Shared, program: &Program) -> TurnAnswer {
    let Program { key, budget, .. } = *program;
    let begins = program.last_turn.is_none();
    let budgets = &shared.host.budgets;
    let _turn = shared.lock(key).await;

    fetch_row(shared, program).await;
    let mut collected = false;
    let mut is_unheard = false;
    let mut consent = None;
    let mut overdue = None;
    for _ in 0..MAX_WRITES {
        let is_settled = shared.is_settled();
        let is_limited = is_settled && !matches!(consent, Some(Ok(_)));
        let limit = if is_limited { Limit::Share(Doubt::Unsettled) } else { Limit::Whole };
        let reservation =
            budgets.borrow_mut().reserve_within(shared.now(), key, budget, MAX_TOKENS, limit);

        match reservation {
            ReserveOutcome::Reserved => return TurnAnswer::Tokens,
            ReserveOutcome::Refresh(row, version) => {
                let writing = write(shared, key, row, version, None);
                match shared.world.sim.timeout(REFRESH_DEADLINE, writing).await {
                    Some(Written::Committed | Written::Merged) => {}
                    _ => return TurnAnswer::Unsure,
                }
            }
            ReserveOutcome::Withheld(_) if is_limited && consent.is_none() => {
                consent = Some(grants::request_consent(shared, key, budget).await);
            }
            ReserveOutcome::Spent { certain: false } | ReserveOutcome::Withheld(_)
                if !collected =>
            {
                collected = true;
                is_unheard = !collect_tokens(shared, key, is_settled).await;
            }
            ReserveOutcome::Spent { .. } | ReserveOutcome::Withheld(_) if is_unheard => {
                return TurnAnswer::Unsure;
            }
            ReserveOutcome::Spent { .. } => return TurnAnswer::Spent,
            ReserveOutcome::Withheld(doubt) => {
                return withheld(consent.and_then(Result::err).unwrap_or(doubt));
            }
            ReserveOutcome::Write(row, version) if is_settled => {
                let lease = consent.and_then(Result::ok);
                match grants::write_hedged(shared, key, row, version, lease).await {
                    Hedged::Done(Written::Committed | Written::Merged) => {}
                    Hedged::Done(Written::LeaseChanged) => consent = None,
                    Hedged::Done(_) => shared.record_slow(),
                    Hedged::Overdue(write) => overdue = Some(write),
                }
            }
            ReserveOutcome::Write(..) => {
                if !budgets.borrow().has_grants(key) {
                    grants::query_known_rows(shared, key, 1).await;
                }
                match grants::request_grant(shared, key, budget, begins).await {
                    Granted::Tokens => {}
                    Granted::Nothing | Granted::Withheld(_) if !collected => {
                        collected = true;
                        is_unheard = !collect_tokens(shared, key, is_settled).await;
                    }
                    Granted::Nothing | Granted::Withheld(_) if is_unheard => {
                        return TurnAnswer::Unsure;
                    }
                    Granted::Nothing => return TurnAnswer::Spent,
                    Granted::Withheld(doubt) => return withheld(doubt),
                    Granted::Unsure if grants::is_answered(shared, overdue.take()).await => {}
                    Granted::Unsure => return TurnAnswer::Unsure,
                }
            }
        }
    }

    TurnAnswer::Contended
}

fn withheld(doubt: Doubt) -> TurnAnswer {
    match doubt {
        Doubt::Unsettled => TurnAnswer::Unsure,
        Doubt::Forgotten => TurnAnswer::Spent,
    }
}

async fn fetch_row(shared: &Shared, program: &Program) {
    if shared.host.budgets.borrow().has_grants(program.key) {
        return;
    }
    let Some(host) = program.last_host.filter(|host| shared.is_live(*host)) else { return };
    let reply = asks::query(shared, host, Query::StoredRow(program.key), ROW_DEADLINE).await;

    if let Some(QueryReply::StoredRow(Some((row, version)))) = reply {
        shared.host.budgets.borrow_mut().merge_stored_row(shared.now(), program.key, row, version);
    }
}

/// Returns whether all hosts that may hold unused tokens have answered.
async fn collect_tokens(shared: &Shared, program: ProgramKey, is_settled: bool) -> bool {
    if !is_settled {
        grants::query_known_rows(shared, program, REPLICAS).await;
    }
    let mut all_answered = request_transfers(shared, program).await;

    if is_settled && shared.host.budgets.borrow().claim(program, MAX_TOKENS).missing > 0 {
        all_answered &= request_returns(shared, program).await;
    }
    all_answered
}

/// Asks other hosts to transfer the tokens that this one lacks.
async fn request_transfers(shared: &Shared, program: ProgramKey) -> bool {
    let budgets = &shared.host.budgets;
    let mut runs = budgets.borrow().holders(program);
    runs.extend(budgets.borrow().transfer_recipients(program));
    let mut queried = Set::from_iter([shared.host.run]);
    let mut all_answered = true;

    while let Some(run) = runs.pop() {
        let missing = budgets.borrow().claim(program, MAX_TOKENS).missing;
        if missing == 0 {
            return true;
        }
        if !queried.insert(run) {
            continue;
        }
        let Some(host) = shared.host_of_run(run) else {
            all_answered &= has_ended(shared, run).await;
            continue;
        };
        let total = budgets.borrow().transferred_from(program, run) + missing;
        let Some(known) = budgets.borrow().known_row(program) else { return all_answered };
        let query = Query::Transfer(program, known, shared.host.run, total);
        match asks::query(shared, host, query, QUERY_DEADLINE).await {
            Some(QueryReply::Transferred(total, to)) => {
                budgets.borrow_mut().record_transfer_from(program, run, total);
                runs.extend(to);
            }
            _ => all_answered = false,
        }
    }
    all_answered
}

/// Returns whether the process of a run that is not live has ended, according to the rows of the
/// hosts.
async fn has_ended(shared: &Shared, run: RunId) -> bool {
    if shared.may_run(run) {
        shared.refresh_host_rows().await;
    }

    !shared.may_run(run)
}

/// Asks other hosts to return their unused tokens to the row.
async fn request_returns(shared: &Shared, program: ProgramKey) -> bool {
    let holders = shared.host.budgets.borrow().holders(program);
    let hosts = holders.into_iter().filter_map(|run| shared.host_of_run(run));
    let queries =
        hosts.map(|host| asks::query(shared, host, Query::ReturnUnused(program), QUERY_DEADLINE));
    let replies = join_all(queries).await;
    let all_answered = replies.iter().all(Option::is_some);

    for reply in replies.into_iter().flatten() {
        if let QueryReply::Granted(row) = reply {
            shared.host.budgets.borrow_mut().merge_row(shared.now(), program, &row);
        }
    }
    all_answered
}

/// Writes a row and merges what the store holds afterwards.
pub async fn write(
    shared: &Shared,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
    lease: Option<RowVersion>,
) -> Written {
    let lease = lease.map(|version| (partition_of(program), version));
    match shared.run_store_op(Op::Commit(program, Some(row.clone()), version, lease)).await {
        StoreReply::Committed(version) => {
            grants::notify_stored(shared, program, &row, version);
            shared.host.budgets.borrow_mut().record_write(shared.now(), program, row, version);
            Written::Committed
        }
        StoreReply::Conflict(there) => merge_result(shared, program, there),
        StoreReply::Unavailable => Written::Unavailable,
        StoreReply::LeaseConflict => Written::LeaseChanged,
        _ => read(shared, program).await,
    }
}

/// Reads a row and merges what the store holds.
pub async fn read(shared: &Shared, program: ProgramKey) -> Written {
    match shared.run_store_op(Op::Read(program)).await {
        StoreReply::Row(there) => merge_result(shared, program, there),
        StoreReply::Unavailable => Written::Unavailable,
        _ => Written::Unsure,
    }
}

/// Deletes a program's row that was idle at `idle_at`, if it still has this version.
pub async fn delete(shared: &Shared, program: ProgramKey, version: RowVersion, idle_at: Instant) {
    let reply = shared.run_store_op(Op::Commit(program, None, version, None)).await;
    let mut budgets = shared.host.budgets.borrow_mut();

    match reply {
        StoreReply::Committed(_) | StoreReply::Conflict(None) => {
            budgets.record_deletion(shared.now(), program, idle_at);
        }
        StoreReply::Conflict(Some((row, version))) if budgets.has_grants(program) => {
            budgets.merge_stored_row(shared.now(), program, row, version);
        }
        _ => {}
    }
}

fn merge_result(
    shared: &Shared,
    program: ProgramKey,
    there: Option<(BudgetRow, RowVersion)>,
) -> Written {
    let mut budgets = shared.host.budgets.borrow_mut();
    match there {
        Some((row, version)) => budgets.merge_stored_row(shared.now(), program, row, version),
        None => budgets.record_missing_row(shared.now(), program),
    }

    Written::Merged
}
