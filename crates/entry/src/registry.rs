//! Follows the table of the store in which targets register themselves.

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

use crate::host::Shared;
use crate::queries::{self, Query, QueryReply, TargetsCopy};
use crate::{clock, places, store, stream_origins, watch};

/// The number of rows in a page of a full read of the table.
const PAGE_ROWS: u32 = 500;

/// The shortest pause between two checks for lapsed entries whose grace period has ended. While the
/// store is silent, such entries stay in use although their grace period is over; without this
/// pause, the checks would then become a busy loop.
const MIN_EXPIRE_PAUSE: Duration = Duration::from_millis(20);

/// Starts the tasks that follow the table.
pub(crate) fn start(shared: &Rc<Shared>) {
    tokio::task::spawn_local(follow(Rc::clone(shared)));
    tokio::task::spawn_local(expire(Rc::clone(shared)));
}

/// Ends the grace periods of lapsed entries on time, independently of how long the store takes to
/// answer.
async fn expire(shared: Rc<Shared>) {
    loop {
        let ended = shared.target_table.borrow_mut().expire(clock::now());
        apply_effects(&shared, Source::Grace, ended);

        let next = shared.target_table.borrow().next_grace_end();
        let until_next = next.map_or(POLL_PERIOD, |end| end.since(clock::now()));
        sleep(until_next.clamp(MIN_EXPIRE_PAUSE, POLL_PERIOD)).await;
    }
}

async fn follow(shared: Rc<Shared>) {
    let mut last_read_at = None;

    loop {
        let answered = {
            let poll_peers = poll_peers_while_waiting(&shared);
            tokio::select! {
                answered = poll_store(&shared, &mut last_read_at) => answered,
                never = poll_peers => match never {},
            }
        };
        if !answered || may_miss_entries(&shared) {
            copy_from_peer(&shared).await;
        }
        sleep(if answered { POLL_PERIOD } else { FAILED_PAUSE }).await;
    }
}

/// Returns whether the store may lack entries of running targets, which other hosts still know.
fn may_miss_entries(shared: &Shared) -> bool {
    shared.target_table.borrow().may_miss_rows(clock::now())
        && !shared.store.was_available_for(LAPSE_GRACE)
}

/// Polls the store for changes, or for the whole table if that is due. Returns whether the store
/// answered.
async fn poll_store(shared: &Rc<Shared>, last_read_at: &mut Option<Instant>) -> bool {
    let after = shared.target_table.borrow().as_of();
    let is_full_read_due = last_read_at.is_none_or(|at| clock::now().since(at) >= RELIST_PERIOD);

    match after {
        Some(after) if !is_full_read_due => match poll_changes(shared, after).await {
            PollResult::Applied => true,
            PollResult::NoAnswer => false,
            PollResult::HistoryGone => {
                info!("targets: the store no longer has the changes, reading the whole table");
                read_all(shared, last_read_at).await
            }
        },
        _ => read_all(shared, last_read_at).await,
    }
}

/// The result of polling the store for changes.
enum PollResult {
    /// The changes were applied.
    Applied,
    /// The store no longer has all changes since the version of this host's copy.
    HistoryGone,
    /// The store did not answer.
    NoAnswer,
}

async fn poll_changes(shared: &Rc<Shared>, after: RowVersion) -> PollResult {
    let asked_at = clock::now();
    let op =
        PlatformOp::Changes { table: paths::TARGETS_TABLE.into(), after, wait: Duration::ZERO };

    match store::run_direct(shared, op, &|_| ()).await {
        PlatformReply::Changes(TableChanges { changes, version, .. }) => {
            let changes = changes.into_iter().map(change).collect();
            let now = clock::now();
            let mut table = shared.target_table.borrow_mut();
            let effects = table.apply_changes(now, asked_at, after, changes, version);
            drop(table);
            apply_effects(shared, Source::Changes, effects);
            PollResult::Applied
        }
        PlatformReply::HistoryGone => PollResult::HistoryGone,
        _ => PollResult::NoAnswer,
    }
}

/// Reads the whole table. Returns whether the store answered.
async fn read_all(shared: &Rc<Shared>, last_read_at: &mut Option<Instant>) -> bool {
    let asked_at = clock::now();
    let mut rows = Vec::new();
    let mut version = None;
    let mut after: Box<str> = "".into();

    loop {
        let table = paths::TARGETS_TABLE.into();
        let op = PlatformOp::Snapshot { table, after, limit: PAGE_ROWS };
        let PlatformReply::Changes(page) = store::run_direct(shared, op, &|_| ()).await else {
            return false;
        };
        let page_rows: Vec<_> = page.written().map(entry_row).collect();
        // Without a last row there is no key from which to continue.
        let is_last = !page.has_more || page_rows.is_empty();
        // Rows that change while the pages are read are part of the changes after the first page.
        version.get_or_insert(page.version);
        after = page_rows.last().map(|row| row.id.clone()).unwrap_or_default();
        rows.extend(page_rows);

        if is_last {
            break;
        }
    }

    let now = clock::now();
    *last_read_at = Some(now);
    let version = version.unwrap_or_default();
    let effects = shared.target_table.borrow_mut().apply_full_read(now, asked_at, rows, version);
    apply_effects(shared, Source::WholeRead, effects);

    true
}

fn change(change: RowChange) -> EntryChange {
    match change {
        RowChange::Written(row) => EntryChange::Written(entry_row(&row)),
        RowChange::Removed(key) => EntryChange::Removed(key.key),
    }
}

fn entry_row(row: &Row) -> EntryRow {
    let entry = targets::read(row)
        .inspect_err(|e| warn!(error = %e, "targets: unreadable entry skipped"))
        .ok();

    EntryRow { id: row.key.key.clone(), version: row.version, entry }
}

/// Asks other hosts for their copy of the table while the store keeps this host waiting.
async fn poll_peers_while_waiting(shared: &Rc<Shared>) -> Infallible {
    sleep(HEDGE_DELAY).await;

    loop {
        copy_from_peer(shared).await;
        sleep(POLL_PERIOD).await;
    }
}

/// Fetches and applies the copy of another host, preferably of one that the store answers.
async fn copy_from_peer(shared: &Rc<Shared>) {
    let Some(host) = shared.fleet.live_peer_with_store().or_else(|| shared.fleet.any_live_peer())
    else {
        return;
    };
    let asked_at = clock::now();
    let has = shared.target_table.borrow().as_of().unwrap_or_default();
    let reply = queries::send(shared, host, &Query::Targets(has), PEER_TIMEOUT).await;
    let Some(QueryReply::Targets(Some(TargetsCopy { table: copy, evacuations }))) = reply else {
        return;
    };

    // A target of the copy must not be used before it is known whether its zone is evacuated.
    if let Some(evacuations) = evacuations {
        watch::apply_peer_evacuations(shared, evacuations);
    }
    let (as_of, age) = (copy.as_of, copy.age);
    let effects = shared.target_table.borrow_mut().apply_peer_copy(clock::now(), asked_at, copy);
    if !effects.is_empty() {
        info!(
            host = host.0,
            as_of = as_of.0,
            age_ms = age.as_millis(),
            "targets: copy of another host applied"
        );
    }
    apply_effects(shared, Source::Peer, effects);
}

/// Applies the effects of a change of the table to the targets in use.
fn apply_effects(shared: &Rc<Shared>, source: Source, effects: Vec<Effect>) {
    if effects.is_empty() {
        return;
    }
    let as_of = shared.target_table.borrow().as_of().unwrap_or_default();

    for effect in effects {
        match effect {
            Effect::Use(entry) => use_entry(shared, entry, as_of, source),
            Effect::Drop(id, why) => drop_entry(shared, &id, why, as_of, source),
        }
    }
    places::assign_all_places(shared);
}

fn use_entry(shared: &Rc<Shared>, entry: TargetEntry, as_of: RowVersion, source: Source) {
    let (id, state, born) = (entry.id.clone(), entry.state, entry.born);
    let before = {
        let targets = shared.targets.borrow();
        targets.by_id(&id).map(|target| (target.entry.state, target.entry.born))
    };

    let replaced = shared.targets.borrow_mut().put(entry.clone());
    if let Some(former) = replaced {
        shared.connections.close(former);
        stream_origins::on_target_replaced(shared, &entry);
    }
    if !entry.cold_for.is_zero() {
        let now = clock::now();
        let part = shared.targets.borrow_mut().record_cold(now, &id, entry.cold_for);
        info!(
            target_id = %id, for_ms = entry.cold_for.as_millis() as u64, part, as_of = as_of.0,
            ?source, "targets: cold"
        );
    }
    if before != Some((state, born)) {
        info!(
            target_id = %id, ?state, born, version = entry.version, as_of = as_of.0, ?source,
            "targets: entry new or changed"
        );
    }
}

fn drop_entry(
    shared: &Rc<Shared>,
    id: &str,
    why: RemovalReason,
    as_of: RowVersion,
    source: Source,
) {
    let gone = shared.targets.borrow_mut().remove_by_id(id);

    if let Some(key) = gone {
        shared.connections.close(key);
        info!(target_id = id, ?why, as_of = as_of.0, ?source, "targets: entry gone");
    }
}
