//! Token budgets of programs. A grant is written to the store before its tokens are generated.

use std::rc::Rc;

use camphorwalk_core::hash::{Set, stable_hash};
use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, Row, RowKey, RowVersion, Transaction, Write,
};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::budgets::{BudgetRow, KnownRow, ProgramKey, Reservation, RunId};
use camphorwalk_policy::entry::keeping;
use camphorwalk_policy::entry::shares::{Doubt, Limit};
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

/// How many times a row is written again after a conflict with other hosts. A program usually has a
/// handful of concurrent chains of turns, so a few attempts suffice.
pub(crate) const MOST_WRITES: u32 = 6;

/// Retry-After of a turn whose budget cannot be determined at the moment.
const UNSURE_RETRY: Duration = Duration::from_millis(300);

/// How long another host may take to transfer or return tokens: one round trip with some margin.
const TELL_DEADLINE: Duration = Duration::from_millis(150);

/// How long the host that ran the program's last turn may take to send the row: several times the
/// usual round trip, and about as long as the store transaction that the row saves.
const ROW_DEADLINE: Duration = Duration::from_millis(20);

/// Tokens reserved for a turn that does not declare its maximum. Nothing can be reserved without a
/// size.
const UNSAID_MOST: u64 = 1_024;

/// Tokens reserved for a turn. Dropping it frees the tokens that were not used.
pub(crate) struct Hold {
    shared: Rc<Shared>,
    program: ProgramKey,
    most: u64,
    used: u64,
    /// Whether this is the first turn of its program that was granted tokens of the budget.
    pub(crate) is_first: bool,
}

impl Hold {
    /// Records how many tokens the turn has generated so far.
    pub(crate) fn used(&mut self, tokens: u64) {
        self.used = tokens;
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.shared.budgets.borrow_mut().settle(self.program, self.most, self.used);
    }
}

/// Returns the key of a program's row.
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
    let most = call.head.tokens.map_or(UNSAID_MOST, |tokens| u64::from(tokens.most_output));

    // Turns of sub-agents arrive at the same time. Handled one by one, the later ones find spare
    // tokens from the first one's write, and their writes do not conflict with each other.
    let lock = lock(shared, program);
    let _turn = lock.lock().await;

    fetch_row(call, program).await;
    let mut collected = false;
    let mut is_first = !shared.budgets.borrow().knows(program);
    for _ in 0..MOST_WRITES {
        let is_settled = shared.is_settled();
        // While the store is unsettled, one elected host grants. It knows more than this host, so
        // the limit is applied there.
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
                    // The store now counts as unsettled, so the next iteration requests the grant
                    // from the elected host.
                    Hedged::Done(_) | Hedged::Overdue(_) => shared.store.note_slow(clock::now()),
                }
            }
            Reservation::Write(..) => {
                if !shared.budgets.borrow().knows(program) {
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

/// Fetches the row of a running program from the host that ran its last turn, if this host has no
/// grants for the program.
///
/// Otherwise this host would try to create the row, get a conflict with the existing one, and write
/// again while the caller waits for both transactions. A stale row only causes the same conflict.
async fn fetch_row(call: &Call, program: ProgramKey) {
    let shared = &call.shared;
    if shared.budgets.borrow().knows(program) {
        return;
    }
    let Some(host) = shared.host_before(&call.head) else { return };
    let reply = asks::ask(shared, host, &Ask::StoredRow(program), ROW_DEADLINE).await;

    if let Some(Reply::StoredRow(Some((row, version)))) = reply {
        shared.budgets.borrow_mut().learn(clock::now(), program, row, version);
    }
}

/// Returns the lock that is held while tokens of a program are requested.
pub(crate) fn lock(shared: &Shared, program: ProgramKey) -> Rc<Mutex<()>> {
    shared.budget_locks.borrow_mut().entry(program).or_default().clone()
}

/// Refuses a turn because its tokens may have been granted without the store.
fn withheld(call: &Call, program: ProgramKey, most: u64, doubt: Doubt) -> Refusal {
    info!(
        request = %call.head.request_id, program = %program.0, most, ?doubt,
        "budget: the rest is withheld"
    );

    match doubt {
        Doubt::Unsettled => unsure(&call.shared),
        // No host can tell for longer than the program runs, so a retry would not help.
        Doubt::Forgotten => spent(),
    }
}

fn spent() -> Refusal {
    Refusal::wrong(StatusCode::PAYMENT_REQUIRED, "the program's budget is spent")
}

/// Collects unused tokens of a program from other hosts: by direct transfer first, then by having
/// them returned to the row if the store is settled.
async fn collect(shared: &Shared, program: ProgramKey, most: u64, is_settled: bool) {
    if !is_settled {
        grants::learn_from(shared, program, WITNESSES).await;
    }
    gather(shared, program, most).await;

    if is_settled && shared.budgets.borrow().claim(program, most).missing > 0 {
        recall(shared, program).await;
    }
}

/// Requests the missing tokens of a turn from the runs that were granted some, and from the runs to
/// which those have transferred tokens.
async fn gather(shared: &Shared, program: ProgramKey, most: u64) {
    let mut runs = shared.budgets.borrow().holders(program);
    runs.extend(shared.budgets.borrow().given_to(program));
    let mut asked = Set::from_iter([shared.run]);

    while let Some(run) = runs.pop() {
        let missing = shared.budgets.borrow().claim(program, most).missing;
        if missing == 0 {
            return;
        }
        let Some(host) = shared.fleet.host_of_run(run.0).filter(|_| asked.insert(run)) else {
            continue;
        };
        let total = shared.budgets.borrow().received(program, run) + missing;
        let Some(known) = shared.budgets.borrow().known(program) else { return };
        let ask = Ask::Give(program, known, shared.run, total);
        if let Some(Reply::Given(total, to)) = asks::ask(shared, host, &ask, TELL_DEADLINE).await {
            shared.budgets.borrow_mut().receive(program, run, total);
            runs.extend(to);
        }
    }
}

/// Transfers tokens that this host does not need to another host.
pub(crate) fn give(
    shared: &Shared,
    program: ProgramKey,
    known: &KnownRow,
    to: RunId,
    total: u64,
) -> Reply {
    let mut budgets = shared.budgets.borrow_mut();
    budgets.note_known(clock::now(), program, known);

    Reply::Given(budgets.give(program, to, total), budgets.given_to(program))
}

/// Asks the other hosts to return their unused tokens of a program to the row.
async fn recall(shared: &Shared, program: ProgramKey) {
    let holders = shared.budgets.borrow().holders(program);
    let hosts = holders.into_iter().filter_map(|run| shared.fleet.host_of_run(run.0));
    let ask = Ask::Yield(program);
    let replies = join_all(hosts.map(|host| asks::ask(shared, host, &ask, TELL_DEADLINE))).await;

    for reply in replies.into_iter().flatten() {
        if let Reply::Granted(row) = reply {
            shared.budgets.borrow_mut().note(clock::now(), program, &row);
        }
    }
}

/// Returns the unused tokens that this host holds of a program to the row.
pub(crate) fn yield_rest(shared: &Shared, program: ProgramKey) -> Reply {
    let row = shared.budgets.borrow_mut().yield_rest(program);

    row.map_or(Reply::Refused, Reply::Granted)
}

/// The outcome of writing a row.
pub(crate) enum Written {
    /// The row was written.
    Committed,
    /// The store held another row, which this host has now merged. The row was not written.
    Learned,
    /// The store is unavailable to this host and to its live peers.
    Away,
}

/// Writes a program's row and merges what the store then holds.
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
            shared.budgets.borrow_mut().wrote(clock::now(), program, row, version);
            Ok(Written::Committed)
        }
        PlatformReply::Conflict(rows) => take_in(shared, program, &rows),
        PlatformReply::Unavailable => Ok(Written::Away),
        // The write may have been applied or may still be applied. Reading the row tells; the next
        // write changes the version, so that a delayed write then fails its check.
        _ => match store::ask(shared, PlatformOp::Read(vec![key])).await {
            PlatformReply::Rows(rows) => take_in(shared, program, &rows),
            PlatformReply::Unavailable => Ok(Written::Away),
            _ => Err(unsure(shared)),
        },
    }
}

/// Deletes the row of a program that was idle at `asked`, unless the row's version has changed.
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
        shared.budgets.borrow_mut().deleted(clock::now(), program, asked);
    } else {
        info!(program = %program.0, version = version.0, "budget: needless row not deleted");
    }
    if let PlatformReply::Conflict(rows) = reply
        && !is_gone
        && shared.budgets.borrow().knows(program)
    {
        // A row that cannot be parsed is logged there and left in the store.
        let _ = take_in(shared, program, &rows);
    }
    if !shared.budgets.borrow().knows(program) {
        shared.budget_locks.borrow_mut().remove(&program);
    }
}

/// Returns a program's row as this host knows it.
pub(crate) fn known_row(shared: &Shared, program: ProgramKey) -> Reply {
    shared.budgets.borrow().known(program).map_or(Reply::Refused, Reply::Known)
}

fn take_in(shared: &Shared, program: ProgramKey, rows: &[Row]) -> Result<Written, Refusal> {
    let key = row_key(program);
    let Some(row) = rows.iter().find(|row| row.key == key) else {
        shared.budgets.borrow_mut().absent(clock::now(), program);
        return Ok(Written::Learned);
    };

    match serde_json::from_str(&row.value) {
        Ok(content) => {
            shared.budgets.borrow_mut().learn(clock::now(), program, content, row.version);
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
        false => Refusal::later_spread(reason, shared.come_back(keeping::AWAY_RETRY)),
    }
}
