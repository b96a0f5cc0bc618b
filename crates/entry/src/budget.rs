//! Programs' budgets: grants are written to the store before tokens are generated.

use std::rc::Rc;

use camphorwalk_core::hash::{Set, stable_hash};
use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, Row, RowKey, RowVersion, Transaction, Write,
};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::budgets::{BudgetRow, KnownRow, ProgramKey, Reservation, RunId};
use camphorwalk_policy::entry::shares::{Doubt, Limit};
use camphorwalk_policy::entry::turn_writes;
use camphorwalk_policy::entry::turns::PARTS;
use futures::future::join_all;
use http::StatusCode;
use std::time::Duration;
use tokio::sync::Mutex;
use tracing::{info, warn};

use crate::answer::Refusal;
use crate::asks::{self, Ask, Reply};
use crate::call::Call;
use crate::grants::{self, Granted, Hedged, WITNESSES};
use crate::host::Shared;
use crate::{clock, store};

/// The table of budgets.
const TABLE: &str = "budgets";

/// How often a row is written again when other hosts change it at the same time. A program has a
/// handful of lines of turns.
pub(crate) const MOST_WRITES: u32 = 6;

/// When a caller is told to come back while the count cannot be had.
const UNSURE_RETRY: Duration = Duration::from_millis(300);

/// How long another host may take to say what it knows of a program: the way there and back.
const TELL_DEADLINE: Duration = Duration::from_millis(150);

/// How long the host that had a program's last turn may take to tell its row: some times the usual
/// time, and about that of the transaction that it saves.
const ROW_DEADLINE: Duration = Duration::from_millis(20);

/// The most tokens of a turn that does not say. A turn without a size cannot be reserved for.
const UNSAID_MOST: u64 = 1_024;

/// A turn's reserved tokens; what was not used is free again when it is dropped.
pub(crate) struct Hold {
    shared: Rc<Shared>,
    program: ProgramKey,
    most: u64,
    used: u64,
    /// Whether this turn is the first that was granted tokens of its program's budget.
    pub(crate) is_first: bool,
}

impl Hold {
    /// Takes in how many tokens the turn has generated so far.
    pub(crate) fn used(&mut self, tokens: u64) {
        self.used = tokens;
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.shared.budgets.borrow_mut().settle(self.program, self.most, self.used);
    }
}

/// Returns the row of a program.
pub(crate) fn row_key(program: ProgramKey) -> RowKey {
    RowKey::new(TABLE, format!("{:x}/{:016x}", program.0 % PARTS, program.0))
}

/// Reserves the tokens of a turn, if its program has a budget.
pub(crate) async fn hold(call: &Call) -> Result<Option<Hold>, Refusal> {
    let (Some(program), Some(budget)) = (&call.head.program, call.head.budget) else {
        return Ok(None);
    };
    let shared = &call.shared;
    let tenant = call.tenant.as_deref().unwrap_or_default();
    let program = ProgramKey(stable_hash(&[b"program", tenant.as_bytes(), program.as_bytes()]));
    let most = call.head.tokens.map_or(UNSAID_MOST, |tokens| u64::from(tokens.max_output));

    // The turns of sub-agents come together. One after the other they find what the first one's
    // write left over, and do not fail each other's writes.
    let lock = lock(shared, program);
    let _turn = lock.lock().await;

    fetch_row(call, program).await;
    let mut collected = false;
    let mut is_first = !shared.budgets.borrow().has_grants(program);
    for _ in 0..MOST_WRITES {
        let is_settled = shared.is_settled();
        // In times of trouble the one host that is asked for a grant knows more than this one.
        let limit = if is_settled { grants::limit(shared) } else { Limit::Whole };
        let reservation =
            shared.budgets.borrow_mut().reserve_within(clock::now(), program, budget, most, limit);

        match reservation {
            Reservation::Reserved => {
                let shared = Rc::clone(shared);
                return Ok(Some(Hold { shared, program, most, used: 0, is_first }));
            }
            // Other hosts may hold tokens that they do not need.
            Reservation::Spent { certain: false } | Reservation::Withheld(_) if !collected => {
                collected = true;
                collect(shared, program, most, is_settled).await;
            }
            Reservation::Withheld(doubt) => return Err(withheld(call, program, most, doubt)),
            Reservation::Spent { certain } => {
                info!(
                    request = %call.head.request_id, program = %program.0, budget, most, certain,
                    "budget: spent"
                );
                return Err(spent());
            }
            Reservation::Write(row, version) if is_settled => {
                match grants::write_hedged(shared, program, row, version).await {
                    Hedged::Done(Ok(Written::Committed)) => {}
                    Hedged::Done(Ok(Written::Learned)) => is_first = false,
                    // From now on one host grants the program's tokens.
                    Hedged::Done(_) | Hedged::Overdue(_) => shared.store.note_slow(clock::now()),
                }
            }
            Reservation::Write(..) => {
                if !shared.budgets.borrow().has_grants(program) {
                    grants::learn_from(shared, program, 1).await;
                }
                match grants::ask_for_grant(call, program, budget, most).await? {
                    Granted::Tokens => {}
                    // Other hosts may hold tokens that they do not need.
                    Granted::Nothing | Granted::Withheld(_) if !collected => {
                        collected = true;
                        collect(shared, program, most, is_settled).await;
                    }
                    Granted::Withheld(doubt) => {
                        return Err(withheld(call, program, most, doubt));
                    }
                    Granted::Nothing => return Err(spent()),
                }
            }
        }
    }

    Err(Refusal::later("the program's budget is contended", UNSURE_RETRY))
}

/// Gets the row of a program under way from the host that had its last turn, if this one does not know
/// it.
///
/// Without it this host writes a row as if there were none, is told of the one that is there, and
/// writes again, with the caller waiting for both. If what it gets is out of date, the same happens.
async fn fetch_row(call: &Call, program: ProgramKey) {
    let shared = &call.shared;
    if shared.budgets.borrow().has_grants(program) {
        return;
    }
    let Some(host) = shared.host_before(&call.head) else { return };
    let reply = asks::ask(shared, host, &Ask::StoredRow(program), ROW_DEADLINE).await;

    if let Some(Reply::StoredRow(Some((row, version)))) = reply {
        shared.budgets.borrow_mut().merge_stored_row(clock::now(), program, row, version);
    }
}

/// Returns the lock that is taken while a program's tokens are asked for.
pub(crate) fn lock(shared: &Shared, program: ProgramKey) -> Rc<Mutex<()>> {
    shared.budget_locks.borrow_mut().entry(program).or_default().clone()
}

/// Refuses a turn whose tokens may have been granted without the store.
fn withheld(call: &Call, program: ProgramKey, most: u64, doubt: Doubt) -> Refusal {
    info!(
        request = %call.head.request_id, program = %program.0, most, ?doubt,
        "budget: the rest is withheld"
    );

    match doubt {
        Doubt::Unsettled => unsure(&call.shared),
        // Nobody is left who could tell, for longer than the program runs.
        Doubt::Forgotten => spent(),
    }
}

fn spent() -> Refusal {
    Refusal::wrong(StatusCode::PAYMENT_REQUIRED, "the program's budget is spent")
}

/// Gets tokens of a program from the other hosts that do not need them: straight, or by way of the
/// store if that takes the row.
async fn collect(shared: &Shared, program: ProgramKey, most: u64, is_settled: bool) {
    if !is_settled {
        grants::learn_from(shared, program, WITNESSES).await;
    }
    gather(shared, program, most).await;

    if is_settled && shared.budgets.borrow().claim(program, most).missing > 0 {
        recall(shared, program).await;
    }
}

/// Has other hosts give this one what it lacks of a turn's tokens: those that were granted some, and
/// those that these gave theirs to.
async fn gather(shared: &Shared, program: ProgramKey, most: u64) {
    let mut runs = shared.budgets.borrow().holders(program);
    runs.extend(shared.budgets.borrow().transfer_recipients(program));
    let mut asked = Set::from_iter([shared.run]);

    while let Some(run) = runs.pop() {
        let missing = shared.budgets.borrow().claim(program, most).missing;
        if missing == 0 {
            return;
        }
        let Some(host) = shared.fleet.host_of_run(run.0).filter(|_| asked.insert(run)) else {
            continue;
        };
        let total = shared.budgets.borrow().transferred_from(program, run) + missing;
        let Some(known) = shared.budgets.borrow().known_row(program) else { return };
        let ask = Ask::Give(program, known, shared.run, total);
        if let Some(Reply::Given(total, to)) = asks::ask(shared, host, &ask, TELL_DEADLINE).await {
            shared.budgets.borrow_mut().record_transfer_from(program, run, total);
            runs.extend(to);
        }
    }
}

/// Gives another host tokens of a program that this one does not need.
pub(crate) fn give(
    shared: &Shared,
    program: ProgramKey,
    known: &KnownRow,
    to: RunId,
    total: u64,
) -> Reply {
    let mut budgets = shared.budgets.borrow_mut();
    budgets.merge_known_row(clock::now(), program, known);

    Reply::Given(budgets.transfer_to(program, to, total), budgets.transfer_recipients(program))
}

/// Has the other hosts give back what they hold of a program's tokens and do not need.
async fn recall(shared: &Shared, program: ProgramKey) {
    let holders = shared.budgets.borrow().holders(program);
    let hosts = holders.into_iter().filter_map(|run| shared.fleet.host_of_run(run.0));
    let ask = Ask::Yield(program);
    let replies = join_all(hosts.map(|host| asks::ask(shared, host, &ask, TELL_DEADLINE))).await;

    for reply in replies.into_iter().flatten() {
        if let Reply::Granted(row) = reply {
            shared.budgets.borrow_mut().merge_row(clock::now(), program, &row);
        }
    }
}

/// Gives back what this host holds of a program's tokens and does not need.
pub(crate) fn yield_rest(shared: &Shared, program: ProgramKey) -> Reply {
    let row = shared.budgets.borrow_mut().return_unused(program);

    row.map_or(Reply::Refused, Reply::Granted)
}

/// What came of writing a row.
pub(crate) enum Written {
    /// It is written.
    Committed,
    /// It was not written as the store held another row, which is known now.
    Learned,
    /// The store is away, for this host and those that it hears.
    Away,
}

/// Writes a program's row, and takes in what the store then holds.
pub(crate) async fn write(
    shared: &Rc<Shared>,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
) -> Result<Written, Refusal> {
    let key = row_key(program);
    let text: Box<str> = match serde_json::to_string(&row) {
        Ok(text) => text.into(),
        Err(e) => {
            warn!(error = %e, "budget: row not written");
            return Err(unsure(shared));
        }
    };
    let tx = Transaction {
        checks: vec![Check { key: key.clone(), version }],
        writes: vec![Write { key: key.clone(), value: Some(text) }],
    };

    match store::ask(shared, PlatformOp::Commit(tx)).await {
        PlatformReply::Committed(version) => {
            grants::tell_stored(shared, program, &row, version);
            shared.budgets.borrow_mut().record_write(clock::now(), program, row, version);
            Ok(Written::Committed)
        }
        PlatformReply::Conflict(rows) => take_in(shared, program, &rows),
        PlatformReply::Unavailable => Ok(Written::Away),
        // It may have taken effect or may still do so: the row tells, and whatever is written
        // next changes the version that a late one waits for.
        _ => match store::ask(shared, PlatformOp::Read(vec![key])).await {
            PlatformReply::Rows(rows) => take_in(shared, program, &rows),
            PlatformReply::Unavailable => Ok(Written::Away),
            _ => Err(unsure(shared)),
        },
    }
}

/// Deletes the row of a program that was needless at `asked`, if it still has this version.
pub(crate) async fn delete(
    shared: &Rc<Shared>,
    program: ProgramKey,
    version: RowVersion,
    asked: Instant,
) {
    let key = row_key(program);
    let tx = Transaction {
        checks: vec![Check { key: key.clone(), version }],
        writes: vec![Write { key: key.clone(), value: None }],
    };
    let reply = store::ask(shared, PlatformOp::Commit(tx)).await;

    let is_gone = match &reply {
        PlatformReply::Committed(_) => true,
        PlatformReply::Conflict(rows) => !rows.iter().any(|row| row.key == key),
        _ => false,
    };
    if is_gone {
        shared.budgets.borrow_mut().record_deletion(clock::now(), program, asked);
    } else {
        info!(program = %program.0, version = version.0, "budget: needless row not deleted");
    }
    if let PlatformReply::Conflict(rows) = reply
        && !is_gone
        && shared.budgets.borrow().has_grants(program)
    {
        // A row that cannot be read is logged there, and stays.
        let _ = take_in(shared, program, &rows);
    }
    if !shared.budgets.borrow().has_grants(program) {
        shared.budget_locks.borrow_mut().remove(&program);
    }
}

/// Returns a program's row as this host knows it.
pub(crate) fn known_row(shared: &Shared, program: ProgramKey) -> Reply {
    shared.budgets.borrow().known_row(program).map_or(Reply::Refused, Reply::Known)
}

fn take_in(shared: &Shared, program: ProgramKey, rows: &[Row]) -> Result<Written, Refusal> {
    let key = row_key(program);
    let Some(row) = rows.iter().find(|row| row.key == key) else {
        shared.budgets.borrow_mut().record_missing_row(clock::now(), program);
        return Ok(Written::Learned);
    };

    match serde_json::from_str(&row.value) {
        Ok(content) => {
            shared.budgets.borrow_mut().merge_stored_row(
                clock::now(),
                program,
                content,
                row.version,
            );
            Ok(Written::Learned)
        }
        Err(e) => {
            warn!(program = %program.0, error = %e, "budget: row not understood");
            Err(unsure(shared))
        }
    }
}

pub(crate) fn unsure(shared: &Shared) -> Refusal {
    let reason = "the program's budget cannot be told";

    match shared.reaches_store() {
        true => Refusal::later(reason, shared.come_back(UNSURE_RETRY)),
        false => Refusal::later_spread(reason, shared.come_back(turn_writes::OUTAGE_RETRY_AFTER)),
    }
}
