//! Deletes rows of turns and budgets from the store when they are no longer needed.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::platform::{PlatformOp, PlatformReply, RowKey, Transaction, Write};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::turns::{ROW_MARGIN, TurnKey};
use tracing::info;

use crate::host::Shared;
use crate::turns::row_key;
use crate::{budget, clock, store};

/// How often expired rows are deleted.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// The maximum number of rows that one transaction deletes.
const SWEEP_BATCH: usize = 50;

/// The rows of turns that this host has written, oldest first.
#[derive(Default)]
pub(crate) struct WrittenTurns {
    rows: VecDeque<(Instant, TurnKey)>,
}

/// Records that the row of a turn was written.
pub(crate) fn track(shared: &Shared, key: TurnKey) {
    shared.written_turns.borrow_mut().rows.push_back((clock::now(), key));
}

/// Starts the task that deletes the rows of turns that this host wrote longer ago than the longest
/// retention of all routes, and the rows of budgets that were idle for as long.
pub(crate) fn start_sweeper(shared: &Rc<Shared>) {
    let shared = Rc::clone(shared);

    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(SWEEP_PERIOD).await;
            sweep(&shared).await;
        }
    });
}

async fn sweep(shared: &Rc<Shared>) {
    let retention = program_retention(shared);

    // A budget is needed as long as its program may return.
    let checked_at = clock::now();
    let expired = shared.budgets.borrow_mut().take_idle(checked_at, retention + ROW_MARGIN);
    for (program, version) in expired {
        budget::delete_row(shared, program, version, checked_at).await;
    }

    loop {
        let batch = take_expired(shared, retention + ROW_MARGIN);
        if batch.is_empty() {
            return;
        }
        delete(shared, batch).await;
    }
}

/// Removes and returns up to [`SWEEP_BATCH`] expired rows: the oldest one, and others in the same
/// part of the store.
fn take_expired(shared: &Shared, age: Duration) -> Vec<RowKey> {
    let now = clock::now();
    let mut written = shared.written_turns.borrow_mut();
    let expired = written.rows.iter().take_while(|(at, _)| now.since(*at) > age).count();
    let Some((_, first)) = written.rows.front().copied().filter(|_| expired > 0) else {
        return Vec::new();
    };
    let mut batch = Vec::new();
    let mut remaining = VecDeque::new();

    for (at, key) in written.rows.drain(..expired) {
        match key.part() == first.part() && batch.len() < SWEEP_BATCH {
            true => batch.push(row_key(key)),
            false => remaining.push_back((at, key)),
        }
    }
    remaining.extend(written.rows.drain(..));
    written.rows = remaining;

    batch
}

/// Deletes rows. A row whose deletion fails stays in the store. That is harmless, because the turn
/// that it holds is still valid.
async fn delete(shared: &Rc<Shared>, keys: Vec<RowKey>) {
    let rows = keys.len();
    let writes = keys.into_iter().map(|key| Write { key, value: None }).collect();
    let reply =
        store::run(shared, PlatformOp::Commit(Transaction { checks: Vec::new(), writes })).await;

    if !matches!(reply, PlatformReply::Committed(_)) {
        info!(rows, "turn: expired rows not deleted");
    }
}

/// Returns within which time after a turn a program may return.
pub(crate) fn program_retention(shared: &Shared) -> Duration {
    shared.retention.borrow().longest(clock::now())
}
