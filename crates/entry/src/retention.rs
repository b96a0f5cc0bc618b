//! How long rows of turns and budgets lie in the store.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::platform::{PlatformOp, PlatformReply, RowKey, Transaction, Write};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::turns::TurnKey;
use tracing::info;

use crate::host::Shared;
use crate::turns::row_key;
use crate::{budget, clock, store};

/// How much longer than its retention a turn's row stays, so that a turn that was read just
/// before is still there when it is used.
const SWEEP_MARGIN: Duration = Duration::from_secs(30);

/// How long programs may return where no route keeps turns.
const DEFAULT_RETENTION: Duration = Duration::from_secs(60);

/// How often rows that are past their time are deleted.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// The most rows that one transaction deletes.
const SWEEP_BATCH: usize = 50;

/// The rows that this host wrote, in the order of their writing.
#[derive(Default)]
pub(crate) struct Written {
    rows: VecDeque<(Instant, TurnKey)>,
}

/// Takes in that the store has a turn.
pub(crate) fn written(shared: &Shared, key: TurnKey) {
    shared.written.borrow_mut().rows.push_back((clock::now(), key));
}

/// Starts to delete the rows of turns that can no longer be continued.
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
    let retention = longest_retention(shared).unwrap_or(DEFAULT_RETENTION);

    // Budgets are needed for as long as a program may return, which is as long as its turns
    // are kept.
    let asked = clock::now();
    let old = shared.budgets.borrow_mut().take_idle(asked, retention + SWEEP_MARGIN);
    for (program, version) in old {
        budget::delete(shared, program, version, asked).await;
    }

    loop {
        let batch = past_retention(shared, retention + SWEEP_MARGIN);
        if batch.is_empty() {
            return;
        }
        delete(shared, batch).await;
    }
}

/// Takes out the oldest rows that lie in one part of the store.
fn past_retention(shared: &Shared, age: Duration) -> Vec<RowKey> {
    let now = clock::now();
    let mut written = shared.written.borrow_mut();
    let old = written.rows.iter().take_while(|(at, _)| now.since(*at) > age).count();
    let Some((_, first)) = written.rows.front().copied().filter(|_| old > 0) else {
        return Vec::new();
    };
    let mut batch = Vec::new();
    let mut left = VecDeque::new();

    for (at, key) in written.rows.drain(..old) {
        match key.part() == first.part() && batch.len() < SWEEP_BATCH {
            true => batch.push(row_key(key)),
            false => left.push_back((at, key)),
        }
    }
    left.extend(written.rows.drain(..));
    written.rows = left;

    batch
}

/// Deletes rows. What fails is left lying: it does no harm, and the host that reads it finds a
/// turn that was true.
async fn delete(shared: &Rc<Shared>, keys: Vec<RowKey>) {
    let rows = keys.len();
    let writes = keys.into_iter().map(|key| Write { key, value: None }).collect();
    let reply =
        store::ask(shared, PlatformOp::Commit(Transaction { checks: Vec::new(), writes })).await;

    if !matches!(reply, PlatformReply::Committed(_)) {
        info!(rows, "turn: old rows not deleted");
    }
}

fn longest_retention(shared: &Shared) -> Option<Duration> {
    let table = shared.routes.borrow();
    let routes = table.as_ref()?.routing().routes.iter();

    routes.filter_map(|route| route.turn_retention).map(|keeps| keeps.retention).max()
}
