//! Following the entries under which targets register themselves in the store.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_adapter::{paths, targets};
use camphorwalk_core::entry::TargetEntry;
use camphorwalk_core::platform::{
    PlatformOp, PlatformReply, Row, RowChange, RowVersion, TableChanges,
};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::target_table::{
    Effect, EntryChange, EntryRow, FAILED_PAUSE, HEDGE_DELAY, LAPSE_GRACE, PEER_TIMEOUT,
    POLL_PERIOD, RELIST_PERIOD, RemovalReason, Source,
};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::asks::{self, Ask, Reply};
use crate::host::Shared;
use crate::{clock, places, store};

/// The most rows of one page of a whole read.
const PAGE_ROWS: u32 = 500;

/// The least pause between two looks for lapsed targets: while the store is silent none ends.
const LEAST_EXPIRE_PAUSE: Duration = Duration::from_millis(20);

/// Starts to follow them.
pub(crate) fn start(shared: &Rc<Shared>) {
    tokio::task::spawn_local(follow(Rc::clone(shared)));
    tokio::task::spawn_local(expire(Rc::clone(shared)));
}

/// Ends the grace of lapsed targets in time, however long the store lets questions wait.
async fn expire(shared: Rc<Shared>) {
    loop {
        let ended = shared.target_table.borrow_mut().expire(clock::now());
        carry_out(&shared, Source::Grace, ended);

        let next = shared.target_table.borrow().next_grace_end();
        let until_next = next.map_or(POLL_PERIOD, |end| end.since(clock::now()));
        sleep(until_next.clamp(LEAST_EXPIRE_PAUSE, POLL_PERIOD)).await;
    }
}

async fn follow(shared: Rc<Shared>) {
    let mut listed_at = None;

    loop {
        let answered = {
            let ask_peers = learn_while_waiting(&shared);
            tokio::select! {
                answered = ask_store(&shared, &mut listed_at) => answered,
                never = ask_peers => match never {},
            }
        };
        if !answered || expects_lapses(&shared) {
            learn_from_peer(&shared).await;
        }
        sleep(if answered { POLL_PERIOD } else { FAILED_PAUSE }).await;
    }
}

/// Returns whether the store may lack entries of living targets, which other hosts know.
fn expects_lapses(shared: &Shared) -> bool {
    shared.target_table.borrow().may_miss_rows(clock::now())
        && !shared.store.was_there_for(LAPSE_GRACE)
}

/// Asks the store for what changed, or for all entries if that is due. Returns whether it answered.
async fn ask_store(shared: &Rc<Shared>, listed_at: &mut Option<Instant>) -> bool {
    let after = shared.target_table.borrow().as_of();
    let is_list_due = listed_at.is_none_or(|at| clock::now().since(at) >= RELIST_PERIOD);

    match after {
        Some(after) if !is_list_due => match ask_changes(shared, after).await {
            Answer::Taken => true,
            Answer::None => false,
            Answer::HistoryGone => {
                info!("targets: the store dropped its history, read whole");
                list(shared, listed_at).await
            }
        },
        _ => list(shared, listed_at).await,
    }
}

/// What came of a question to the store.
enum Answer {
    /// It was taken in.
    Taken,
    /// The changes cannot be told any more.
    HistoryGone,
    /// The store did not answer.
    None,
}

async fn ask_changes(shared: &Rc<Shared>, after: RowVersion) -> Answer {
    let asked_at = clock::now();
    let op =
        PlatformOp::Changes { table: paths::TARGETS_TABLE.into(), after, wait: Duration::ZERO };

    match store::ask_straight(shared, op, &|_| ()).await {
        PlatformReply::Changes(TableChanges { changes, version, .. }) => {
            let changes = changes.into_iter().map(change).collect();
            let now = clock::now();
            let mut table = shared.target_table.borrow_mut();
            let effects = table.apply_changes(now, asked_at, after, changes, version);
            drop(table);
            carry_out(shared, Source::Changes, effects);
            Answer::Taken
        }
        PlatformReply::HistoryGone => Answer::HistoryGone,
        _ => Answer::None,
    }
}

/// Reads all entries. Returns whether the store answered.
async fn list(shared: &Rc<Shared>, listed_at: &mut Option<Instant>) -> bool {
    let asked_at = clock::now();
    let mut rows = Vec::new();
    let mut version = None;
    let mut after: Box<str> = "".into();

    loop {
        let table = paths::TARGETS_TABLE.into();
        let op = PlatformOp::Snapshot { table, after, limit: PAGE_ROWS };
        let PlatformReply::Changes(page) = store::ask_straight(shared, op, &|_| ()).await else {
            return false;
        };
        let page_rows: Vec<_> = page.written().map(entry_row).collect();
        // Without a last row there is nothing to go on from.
        let is_last = !page.has_more || page_rows.is_empty();
        // What changes between two pages is told by the changes after the first.
        version.get_or_insert(page.version);
        after = page_rows.last().map(|row| row.id.clone()).unwrap_or_default();
        rows.extend(page_rows);

        if is_last {
            break;
        }
    }

    let now = clock::now();
    *listed_at = Some(now);
    let version = version.unwrap_or_default();
    let effects = shared.target_table.borrow_mut().apply_full_read(now, asked_at, rows, version);
    carry_out(shared, Source::WholeRead, effects);

    true
}

fn change(change: RowChange) -> EntryChange {
    match change {
        RowChange::Written(row) => EntryChange::Written(entry_row(&row)),
        RowChange::Removed(key) => EntryChange::Removed(key.key),
    }
}

fn entry_row(row: &Row) -> EntryRow {
    let entry =
        targets::read(row).inspect_err(|e| warn!(error = %e, "targets: entry passed over")).ok();

    EntryRow { id: row.key.key.clone(), version: row.version, entry }
}

/// Asks other hosts while the store lets this one wait.
async fn learn_while_waiting(shared: &Rc<Shared>) -> Infallible {
    sleep(HEDGE_DELAY).await;

    loop {
        learn_from_peer(shared).await;
        sleep(POLL_PERIOD).await;
    }
}

/// Takes in the copy of another host, of one that the store answers if there is any.
async fn learn_from_peer(shared: &Rc<Shared>) {
    let Some(host) = shared.fleet.store_peer().or_else(|| shared.fleet.any_peer()) else { return };
    let asked_at = clock::now();
    let has = shared.target_table.borrow().as_of().unwrap_or_default();
    let reply = asks::ask(shared, host, &Ask::Targets(has), PEER_TIMEOUT).await;
    let Some(Reply::Targets(Some(copy))) = reply else { return };

    let (as_of, age) = (copy.as_of, copy.age);
    let effects = shared.target_table.borrow_mut().apply_peer_copy(clock::now(), asked_at, copy);
    if !effects.is_empty() {
        info!(host = host.0, as_of = as_of.0, age_ms = age.as_millis(), "targets: copy taken in");
    }
    carry_out(shared, Source::Peer, effects);
}

/// Carries out what knowledge of the entries comes to.
fn carry_out(shared: &Rc<Shared>, source: Source, effects: Vec<Effect>) {
    if effects.is_empty() {
        return;
    }
    let as_of = shared.target_table.borrow().as_of().unwrap_or_default();

    for effect in effects {
        match effect {
            Effect::Use(entry) => go_by(shared, entry, as_of, source),
            Effect::Drop(id, why) => forget(shared, &id, why, as_of, source),
        }
    }
    places::wake_all(shared);
}

fn go_by(shared: &Rc<Shared>, entry: TargetEntry, as_of: RowVersion, source: Source) {
    let (id, state, born) = (entry.id.clone(), entry.state, entry.born);
    let before = {
        let targets = shared.targets.borrow();
        targets.by_id(&id).map(|target| (target.entry.state, target.entry.born))
    };

    if let Some(former) = shared.targets.borrow_mut().put(entry) {
        shared.connections.close(former);
    }
    if before != Some((state, born)) {
        info!(target_id = %id, ?state, born, as_of = as_of.0, ?source, "targets: entry");
    }
}

fn forget(shared: &Rc<Shared>, id: &str, why: RemovalReason, as_of: RowVersion, source: Source) {
    let gone = shared.targets.borrow_mut().remove_by_id(id);

    if let Some(key) = gone {
        shared.connections.close(key);
        info!(target_id = id, ?why, as_of = as_of.0, ?source, "targets: entry gone");
    }
}
