//! Token budgets of programs. Before a turn is sent to a target, its tokens must be granted to this
//! host: by a write to the store, or while the store is unsettled by the host that then grants the
//! program's tokens (see `grants`).

use std::rc::Rc;

use camphorwalk_core::hash::{Set, stable_hash};
use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, Row, RowKey, RowVersion, Transaction, Write,
};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::budgets::{BudgetRow, KnownRow, ProgramKey, ReserveOutcome, RunId};
use camphorwalk_policy::entry::shares::{Doubt, Limit};
use camphorwalk_policy::entry::turn_writes;
use camphorwalk_policy::entry::turns::PARTS;
use camphorwalk_policy::entry::write_throttle::Priority;
use futures::future::join_all;
use http::StatusCode;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::answer::Refusal;
use crate::call::Call;
use crate::grants::{self, GrantOutcome, HedgedOperation, ROW_REPLICAS};
use crate::host::Shared;
use crate::queries::{self, Query, QueryReply};
use crate::{clock, fleet, grant_leases, store};

/// The table of budgets.
pub(crate) const TABLE: &str = "budgets";

/// How many times a host tries to write a grant if its writes conflict with those of other hosts. A
/// program usually has a handful of concurrent conversations, so a few attempts suffice.
pub(crate) const MAX_WRITE_ATTEMPTS: u32 = 6;

/// Retry-After of a turn whose budget cannot be determined or is contended, while the store can be
/// reached.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// How long another host may take to transfer or return tokens: one round trip with a large margin.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(150);

/// How long the write of a row may take without which a host must not spend its grant.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(450);

/// How long the host that forwarded the last turn may take to send the row: several times the
/// usual round trip, and about as long as the store transaction that the row saves.
const ROW_FETCH_TIMEOUT: Duration = Duration::from_millis(20);

/// Tokens reserved for a turn that does not declare its maximum. Nothing can be reserved without a
/// size.
const DEFAULT_TURN_TOKENS: u64 = 1_024;

/// Tokens reserved for a turn. Dropping it frees the tokens that were not used.
pub(crate) struct TokenReservation {
    shared: Rc<Shared>,
    program: ProgramKey,
    max_tokens: u64,
    used: u64,
    /// Whether this is the first turn of its program that was granted tokens of the budget, as far
    /// as this host knows.
    pub(crate) is_first: bool,
}

impl TokenReservation {
    /// Records how many tokens the turn has generated so far.
    pub(crate) fn record_used(&mut self, tokens: u64) {
        self.used = tokens;
    }
}

impl Drop for TokenReservation {
    fn drop(&mut self) {
        self.shared.budgets.borrow_mut().settle(self.program, self.max_tokens, self.used);
    }
}

/// Returns the key of a program's row.
pub(crate) fn row_key(program: ProgramKey) -> RowKey {
    RowKey::new(TABLE, format!("{:x}/{:016x}", program.0 % PARTS, program.0))
}

/// Reserves the tokens of a turn, if its program has a budget.
pub(crate) async fn reserve(call: &Call) -> Result<Option<TokenReservation>, Refusal> {
    let (Some(program), Some(budget)) = (&call.head.program, call.head.budget) else {
        return Ok(None);
    };
    let shared = &call.shared;
    let tenant = call.tenant.as_deref().unwrap_or_default();
    let program = ProgramKey(stable_hash(&[b"program", tenant.as_bytes(), program.as_bytes()]));
    let max_tokens =
        call.head.tokens.map_or(DEFAULT_TURN_TOKENS, |tokens| u64::from(tokens.max_output));

    // Turns of sub-agents arrive at the same time. Handled one by one, the later ones find spare
    // tokens from the first one's write, and their writes do not conflict with each other.
    let lock = program_lock(shared, program);
    let _guard = lock.lock().await;

    fetch_row_from_last_host(call, program).await;
    let mut has_collected = false;
    // Whether another host may still hold tokens that it does not need.
    let mut is_unheard = false;
    let mut consent = None;
    let mut overdue = None;
    let mut is_first = !shared.budgets.borrow().has_grants(program);
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let is_settled = shared.is_settled();
        // While the store is unsettled, one host grants all tokens of the program (see
        // `grants::request_grant`). It knows more than this host, so it applies the limit.
        let is_limited = is_settled && !matches!(consent, Some(Ok(_)));
        let limit = if is_limited { Limit::Share(Doubt::Unsettled) } else { Limit::Whole };
        let reservation = shared.budgets.borrow_mut().reserve_within(
            clock::now(),
            program,
            budget,
            max_tokens,
            limit,
        );

        match reservation {
            ReserveOutcome::Reserved => {
                let shared = Rc::clone(shared);
                return Ok(Some(TokenReservation {
                    shared,
                    program,
                    max_tokens,
                    used: 0,
                    is_first,
                }));
            }
            ReserveOutcome::Refresh(row, version) => {
                let writing = write_row(shared, program, row, version, None, Priority::Normal);
                match timeout(REFRESH_TIMEOUT, writing).await {
                    Ok(Ok(WriteOutcome::Committed | WriteOutcome::Superseded)) => {}
                    _ => return Err(unknown_budget(shared)),
                }
            }
            ReserveOutcome::Withheld(_) if is_limited && consent.is_none() => {
                consent = Some(grants::request_consent(shared, program, budget).await);
            }
            // Other hosts may hold tokens that they do not need.
            ReserveOutcome::Spent { certain: false } | ReserveOutcome::Withheld(_)
                if !has_collected =>
            {
                has_collected = true;
                is_unheard = !collect_unused(shared, program, max_tokens, is_settled).await;
            }
            ReserveOutcome::Spent { .. } | ReserveOutcome::Withheld(_) if is_unheard => {
                info!(
                    request = %call.head.request_id, program = %program.0, most = max_tokens,
                    "budget: a host that holds tokens does not answer"
                );
                return Err(unknown_budget(shared));
            }
            ReserveOutcome::Withheld(doubt) => {
                let doubt = consent.and_then(Result::err).unwrap_or(doubt);
                return Err(refuse_withheld(call, program, max_tokens, doubt));
            }
            ReserveOutcome::Spent { certain } => {
                info!(
                    request = %call.head.request_id, program = %program.0, budget,
                    most = max_tokens, certain,
                    "budget: spent"
                );
                return Err(budget_spent());
            }
            ReserveOutcome::Write(row, version) if is_settled => {
                let lease = consent.and_then(Result::ok);
                match grants::write_hedged(shared, program, row, version, lease).await {
                    HedgedOperation::Done(Ok(WriteOutcome::Committed)) => {}
                    HedgedOperation::Done(Ok(WriteOutcome::Superseded)) => is_first = false,
                    HedgedOperation::Done(Ok(WriteOutcome::LeaseChanged)) => consent = None,
                    // The store now counts as unsettled, so the next iteration requests the grant
                    // from the host that grants the program's tokens.
                    HedgedOperation::Done(_) => shared.store.record_slow(clock::now()),
                    HedgedOperation::Overdue(write) => overdue = Some(write),
                }
            }
            ReserveOutcome::Write(..) => {
                if !shared.budgets.borrow().has_grants(program) {
                    grants::fetch_known_rows(shared, program, 1).await;
                }
                let grant = match grants::request_grant(call, program, budget, max_tokens).await {
                    Ok(grant) => grant,
                    // The write that was too late to be awaited may have been applied meanwhile.
                    Err(_) if grants::is_answered(overdue.take()).await => continue,
                    Err(refusal) => return Err(refusal),
                };
                match grant {
                    GrantOutcome::Granted => {}
                    // Other hosts may hold tokens that they do not need.
                    GrantOutcome::Insufficient | GrantOutcome::Withheld(_) if !has_collected => {
                        has_collected = true;
                        is_unheard = !collect_unused(shared, program, max_tokens, is_settled).await;
                    }
                    GrantOutcome::Insufficient | GrantOutcome::Withheld(_) if is_unheard => {
                        return Err(unknown_budget(shared));
                    }
                    GrantOutcome::Withheld(doubt) => {
                        return Err(refuse_withheld(call, program, max_tokens, doubt));
                    }
                    GrantOutcome::Insufficient => return Err(budget_spent()),
                }
            }
        }
    }

    Err(Refusal::retry_later("the program's budget is contended", UNKNOWN_RETRY_AFTER))
}

/// Fetches the row of a running program from the other host that forwarded the last turn of the
/// call's conversation, if this host has no grants for the program.
///
/// Otherwise this host would try to create the row, get a conflict with the existing one, and write
/// again while the caller waits for both transactions. A stale row only causes the same conflict.
async fn fetch_row_from_last_host(call: &Call, program: ProgramKey) {
    let shared = &call.shared;
    if shared.budgets.borrow().has_grants(program) {
        return;
    }
    let Some(host) = shared.last_host_of_conversation(&call.head) else { return };
    let reply = queries::send(shared, host, &Query::StoredRow(program), ROW_FETCH_TIMEOUT).await;

    if let Some(QueryReply::StoredRow(Some((row, version)))) = reply {
        shared.budgets.borrow_mut().merge_stored_row(clock::now(), program, row, version);
    }
}

/// Returns the lock that is held while tokens of a program are requested.
pub(crate) fn program_lock(shared: &Shared, program: ProgramKey) -> Rc<Mutex<()>> {
    shared.budget_locks.borrow_mut().entry(program).or_default().clone()
}

/// Refuses a turn because the rest of its program's budget may have been granted without the store.
fn refuse_withheld(call: &Call, program: ProgramKey, max_tokens: u64, doubt: Doubt) -> Refusal {
    info!(
        request = %call.head.request_id, program = %program.0, most = max_tokens, ?doubt,
        "budget: the rest is withheld"
    );

    match doubt {
        Doubt::Unsettled => unknown_budget(&call.shared),
        // As long as the program runs, no host can find out what was granted without the store, so
        // a retry would not help.
        Doubt::Forgotten => budget_spent(),
    }
}

fn budget_spent() -> Refusal {
    Refusal::permanent(StatusCode::PAYMENT_REQUIRED, "the program's budget is spent")
}

/// Collects unused tokens of a program from other hosts: by direct transfers first, and if that is
/// not enough and the store is settled, by asking the hosts to give them back to the budget. Returns
/// whether all hosts that may hold such tokens have answered.
async fn collect_unused(
    shared: &Rc<Shared>,
    program: ProgramKey,
    max_tokens: u64,
    is_settled: bool,
) -> bool {
    if !is_settled {
        grants::fetch_known_rows(shared, program, ROW_REPLICAS).await;
    }
    let mut all_answered = request_transfers(shared, program, max_tokens).await;

    if is_settled && shared.budgets.borrow().claim(program, max_tokens).missing > 0 {
        all_answered &= request_returns(shared, program).await;
    }
    all_answered
}

/// Requests the missing tokens of a turn from the runs that were granted some, and from the runs to
/// which those have transferred tokens. Returns whether all of them that may still run have answered.
async fn request_transfers(shared: &Rc<Shared>, program: ProgramKey, max_tokens: u64) -> bool {
    let mut runs = shared.budgets.borrow().holders(program);
    runs.extend(shared.budgets.borrow().transfer_recipients(program));
    let mut queried = Set::from_iter([shared.run]);
    let mut all_answered = true;

    while let Some(run) = runs.pop() {
        let missing = shared.budgets.borrow().claim(program, max_tokens).missing;
        if missing == 0 {
            return true;
        }
        if !queried.insert(run) {
            continue;
        }
        let Some(host) = shared.fleet.live_host_of_run(run.0) else {
            all_answered &= has_ended(shared, run).await;
            continue;
        };
        let total = shared.budgets.borrow().transferred_from(program, run) + missing;
        let Some(known) = shared.budgets.borrow().known_row(program) else { return all_answered };
        let query = Query::Give(program, known, shared.run, total);
        match queries::send(shared, host, &query, TRANSFER_TIMEOUT).await {
            Some(QueryReply::Given(total, to)) => {
                shared.budgets.borrow_mut().record_transfer_from(program, run, total);
                runs.extend(to);
            }
            _ => all_answered = false,
        }
    }
    all_answered
}

/// Transfers unused tokens of this host to the run `to` of another host, until that run has `total`
/// tokens of the program from this host.
pub(crate) fn transfer(
    shared: &Shared,
    program: ProgramKey,
    known: &KnownRow,
    to: RunId,
    total: u64,
) -> QueryReply {
    let mut budgets = shared.budgets.borrow_mut();
    budgets.merge_known_row(clock::now(), program, known);

    QueryReply::Given(
        budgets.transfer_to(clock::now(), program, to, total),
        budgets.transfer_recipients(program),
    )
}

/// Returns whether the process of a run that is not live has ended, according to the rows of the
/// hosts.
async fn has_ended(shared: &Rc<Shared>, run: RunId) -> bool {
    if shared.fleet.may_run(run) {
        fleet::refresh_host_rows(shared).await;
    }

    !shared.fleet.may_run(run)
}

/// Asks the other hosts to give their unused tokens of a program back to the budget. Returns whether
/// all that were asked have answered.
async fn request_returns(shared: &Shared, program: ProgramKey) -> bool {
    let holders = shared.budgets.borrow().holders(program);
    let hosts = holders.into_iter().filter_map(|run| shared.fleet.live_host_of_run(run.0));
    let query = Query::Yield(program);
    let replies =
        join_all(hosts.map(|host| queries::send(shared, host, &query, TRANSFER_TIMEOUT))).await;
    let all_answered = replies.iter().all(Option::is_some);

    for reply in replies.into_iter().flatten() {
        if let QueryReply::Granted(row) = reply {
            shared.budgets.borrow_mut().merge_row(clock::now(), program, &row);
        }
    }
    all_answered
}

/// Gives the unused tokens of a program that this host holds back to the budget.
pub(crate) fn return_unused(shared: &Shared, program: ProgramKey) -> QueryReply {
    let row = shared.budgets.borrow_mut().return_unused(program);

    row.map_or(QueryReply::Refused, QueryReply::Granted)
}

/// The outcome of writing a row.
pub(crate) enum WriteOutcome {
    /// The row was written.
    Committed,
    /// The store holds another row or none, or the answer to the write was lost. This host has
    /// merged what the store holds, and must decide again whether to write.
    Superseded,
    /// The lease has changed hands, so the consent of its holder no longer holds.
    LeaseChanged,
    /// The store can be reached neither directly nor through another host.
    StoreUnavailable,
}

/// Writes a program's row and merges what the store then holds. A row that exceeds the store's share
/// requires that the lease row still has the version `lease`.
pub(crate) async fn write_row(
    shared: &Rc<Shared>,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
    lease: Option<RowVersion>,
    priority: Priority,
) -> Result<WriteOutcome, Refusal> {
    let key = row_key(program);
    let text: Box<str> = match serde_json::to_string(&row) {
        Ok(text) => text.into(),
        Err(e) => {
            warn!(error = %e, "budget: row cannot be serialized");
            return Err(unknown_budget(shared));
        }
    };
    let lease_key = grant_leases::row_key(grant_leases::partition_of(program));
    let lease = lease.map(|version| Check { key: lease_key, version });
    let tx = Transaction {
        checks: [Check { key: key.clone(), version }].into_iter().chain(lease.clone()).collect(),
        writes: vec![Write { key: key.clone(), value: Some(text) }],
    };

    match store::run_with_priority(shared, PlatformOp::Commit(tx), priority).await {
        PlatformReply::Committed(version) => {
            grants::notify_stored(shared, program, &row, version);
            shared.budgets.borrow_mut().record_write(clock::now(), program, row, version);
            Ok(WriteOutcome::Committed)
        }
        PlatformReply::Conflict(rows) if lease.is_some_and(|lease| !holds(&lease, &rows)) => {
            if rows.iter().any(|row| row.key == key) {
                apply_rows(shared, program, &rows)?;
            }
            Ok(WriteOutcome::LeaseChanged)
        }
        PlatformReply::Conflict(rows) => apply_rows(shared, program, &rows),
        PlatformReply::Unavailable => Ok(WriteOutcome::StoreUnavailable),
        // The write may have been applied, or may still be. Reading the row shows whether it has
        // been. If it reaches the store after the next write of the row, it fails its check,
        // because that write has changed the version.
        _ => read_row(shared, program).await,
    }
}

/// Reads a program's row and merges what the store holds.
pub(crate) async fn read_row(
    shared: &Rc<Shared>,
    program: ProgramKey,
) -> Result<WriteOutcome, Refusal> {
    match store::run(shared, PlatformOp::Read(vec![row_key(program)])).await {
        PlatformReply::Rows(rows) => apply_rows(shared, program, &rows),
        PlatformReply::Unavailable => Ok(WriteOutcome::StoreUnavailable),
        _ => Err(unknown_budget(shared)),
    }
}

/// Returns whether a check holds according to the rows that a conflict has shown.
fn holds(check: &Check, rows: &[Row]) -> bool {
    let row = rows.iter().find(|row| row.key == check.key);

    row.map_or(RowVersion::ABSENT, |row| row.version) == check.version
}

/// Deletes the row of a program that was idle at `checked_at`, unless the row's version has
/// changed.
pub(crate) async fn delete_row(
    shared: &Rc<Shared>,
    program: ProgramKey,
    version: RowVersion,
    checked_at: Instant,
) {
    let key = row_key(program);
    let tx = Transaction {
        checks: vec![Check { key: key.clone(), version }],
        writes: vec![Write { key: key.clone(), value: None }],
    };
    let reply = store::run(shared, PlatformOp::Commit(tx)).await;

    let is_gone = match &reply {
        PlatformReply::Committed(_) => true,
        PlatformReply::Conflict(rows) => !rows.iter().any(|row| row.key == key),
        _ => false,
    };
    if is_gone {
        shared.budgets.borrow_mut().record_deletion(clock::now(), program, checked_at);
    } else {
        info!(program = %program.0, version = version.0, "budget: idle row not deleted");
    }
    if let PlatformReply::Conflict(rows) = reply
        && !is_gone
        && shared.budgets.borrow().has_grants(program)
    {
        // If the row cannot be parsed, `apply_rows` logs that, and the row stays in the store.
        let _ = apply_rows(shared, program, &rows);
    }
    if !shared.budgets.borrow().has_grants(program) {
        shared.budget_locks.borrow_mut().remove(&program);
    }
}

/// Returns a program's row as this host knows it.
pub(crate) fn known_row(shared: &Shared, program: ProgramKey) -> QueryReply {
    shared.budgets.borrow().known_row(program).map_or(QueryReply::Refused, QueryReply::Known)
}

/// Merges the row of a program among `rows`, or records that the store has none.
fn apply_rows(shared: &Shared, program: ProgramKey, rows: &[Row]) -> Result<WriteOutcome, Refusal> {
    let key = row_key(program);
    let Some(row) = rows.iter().find(|row| row.key == key) else {
        shared.budgets.borrow_mut().record_missing_row(clock::now(), program);
        return Ok(WriteOutcome::Superseded);
    };

    match serde_json::from_str(&row.value) {
        Ok(content) => {
            shared.budgets.borrow_mut().merge_stored_row(
                clock::now(),
                program,
                content,
                row.version,
            );
            Ok(WriteOutcome::Superseded)
        }
        Err(e) => {
            warn!(program = %program.0, error = %e, "budget: row cannot be parsed");
            Err(unknown_budget(shared))
        }
    }
}

/// Returns the program and content of a row of the table of budgets; `None` if it cannot be parsed.
pub(crate) fn parse_row(row: &Row) -> Option<(ProgramKey, BudgetRow, RowVersion)> {
    let (_, name) = row.key.key.split_once('/')?;
    let program = u64::from_str_radix(name, 16).ok().map(ProgramKey)?;
    let content = serde_json::from_str(&row.value)
        .inspect_err(|e| warn!(program = %program.0, error = %e, "budget: row cannot be parsed"))
        .ok()?;

    Some((program, content, row.version))
}

/// Returns the refusal of a turn whose budget cannot be determined at the moment.
pub(crate) fn unknown_budget(shared: &Shared) -> Refusal {
    let reason = "the program's budget cannot be told";

    match shared.reaches_store() {
        true => {
            Refusal::retry_later(reason, shared.retry_after_unless_isolated(UNKNOWN_RETRY_AFTER))
        }
        false => Refusal::retry_later_jittered(
            reason,
            shared.retry_after_unless_isolated(turn_writes::OUTAGE_RETRY_AFTER),
        ),
    }
}
