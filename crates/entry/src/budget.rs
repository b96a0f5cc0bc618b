//! Programs' budgets: grants are written to the store before tokens are generated.

use std::rc::Rc;

use camphorwalk_core::hash::stable_hash;
use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, Row, RowKey, RowVersion, Transaction, Write,
};
use camphorwalk_policy::entry::budgets::{BudgetRow, ProgramKey, Reservation};
use camphorwalk_policy::entry::turns::PARTS;
use http::StatusCode;
use std::time::Duration;
use tracing::{info, warn};

use crate::answer::Refusal;
use crate::call::Call;
use crate::clock;
use crate::host::Shared;
use crate::store;

/// The table of budgets.
const TABLE: &str = "budgets";

/// How often a grant is asked for again when other hosts change the row at the same time. A
/// program has a handful of lines of turns.
const MOST_WRITES: u32 = 6;

/// When a caller is told to come back while the count cannot be had.
const UNSURE_RETRY: Duration = Duration::from_millis(300);

/// The most tokens of a turn that does not say. A turn without a size cannot be reserved for.
const UNSAID_MOST: u64 = 1_024;

/// A turn's reserved tokens; what was not used is free again when it is dropped.
pub(crate) struct Hold {
    shared: Rc<Shared>,
    program: ProgramKey,
    most: u64,
    used: u64,
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
    let most = call.head.tokens.map_or(UNSAID_MOST, |tokens| u64::from(tokens.most_output));

    // The turns of sub-agents come together. One after the other they find what the first one's
    // write left over, and do not fail each other's writes.
    let lock = shared.budget_locks.borrow_mut().entry(program).or_default().clone();
    let _turn = lock.lock().await;

    for _ in 0..MOST_WRITES {
        let reservation = shared.budgets.borrow_mut().reserve(clock::now(), program, budget, most);

        match reservation {
            Reservation::Reserved => {
                return Ok(Some(Hold { shared: Rc::clone(shared), program, most, used: 0 }));
            }
            Reservation::Spent { .. } => {
                info!(
                    request = %call.head.request_id, program = %program.0, budget, most,
                    "budget: spent"
                );
                return Err(Refusal::wrong(
                    StatusCode::PAYMENT_REQUIRED,
                    "the program's budget is spent",
                ));
            }
            Reservation::Write(row, version) => write(shared, program, row, version).await?,
        }
    }

    Err(Refusal::later("the program's budget is contended", UNSURE_RETRY))
}

/// Writes a program's row, and takes in what the store then holds.
async fn write(
    shared: &Shared,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
) -> Result<(), Refusal> {
    let key = row_key(program);
    let text: Box<str> = match serde_json::to_string(&row) {
        Ok(text) => text.into(),
        Err(e) => {
            warn!(error = %e, "budget: row not written");
            return Err(unsure());
        }
    };
    let reply = store::ask(shared, PlatformOp::Commit(Transaction {
            checks: vec![Check { key: key.clone(), version }],
            writes: vec![Write { key: key.clone(), value: Some(text) }],
        }))
        .await;

    match reply {
        PlatformReply::Committed(version) => {
            shared.budgets.borrow_mut().learn(clock::now(), program, row, version);
            Ok(())
        }
        PlatformReply::Conflict(rows) => take_in(shared, program, &rows),
        // It may have taken effect or may still do so: the row tells, and whatever is written
        // next changes the version that a late one waits for.
        PlatformReply::Unknown => match store::ask(shared, PlatformOp::Read(vec![key])).await {
            PlatformReply::Rows(rows) => take_in(shared, program, &rows),
            _ => Err(unsure()),
        },
        _ => Err(unsure()),
    }
}

fn take_in(shared: &Shared, program: ProgramKey, rows: &[Row]) -> Result<(), Refusal> {
    let key = row_key(program);
    let Some(row) = rows.iter().find(|row| row.key == key) else {
        return Ok(());
    };

    match serde_json::from_str(&row.value) {
        Ok(content) => {
            shared.budgets.borrow_mut().learn(clock::now(), program, content, row.version);
            Ok(())
        }
        Err(e) => {
            warn!(program = %program.0, error = %e, "budget: row not understood");
            Err(unsure())
        }
    }
}

fn unsure() -> Refusal {
    Refusal::later("the program's budget cannot be told", UNSURE_RETRY)
}
