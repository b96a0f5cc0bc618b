//! Following the manifest and the targets' entries in the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use camphorwalk_adapter::{manifest, paths, targets};
use camphorwalk_core::hash::Set;
use camphorwalk_core::platform::{
    PlatformOp, PlatformReply, Row, RowKey, RowVersion, TableChanges,
};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::removals::Removals;
use camphorwalk_policy::entry::routes::{Adoption, RouteTable, adoption};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::asks::{self, Ask, Reply};
use crate::host::Shared;
use crate::{clock, places, store};

/// How long the store may hold a question for changes of the manifest. A connection that fell
/// silent shows after this time; the manifest must be in force after two seconds.
const MANIFEST_WAIT: Duration = Duration::from_millis(1_200);

/// The pause after a manifest came, before it is asked whether there is a newer one. Operators
/// publish many in a second at times; each is read and understood whole by each host, and the last
/// one is what counts. It is shorter than the silence of the store after which others are asked.
const MANIFEST_PAUSE: Duration = Duration::from_millis(150);

/// How often the targets' entries are asked for. A leaving target must be left alone two
/// seconds after its entry says so.
const TARGETS_PERIOD: Duration = Duration::from_millis(400);

/// The pause after a failed question.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// How long after the store's return an entry that lapsed meanwhile may take to be back. One
/// that is missing after that is gone.
const LAPSED_GRACE: Duration = Duration::from_millis(2_300);

/// How long another host may take to tell its targets.
const TARGETS_DEADLINE: Duration = Duration::from_millis(100);

/// The most rows of one question.
const MOST_ROWS: u32 = 500;

/// Starts to follow both.
pub(crate) fn start(shared: &Rc<Shared>) {
    tokio::task::spawn_local(follow_manifest(Rc::clone(shared)));
    tokio::task::spawn_local(follow_targets(Rc::clone(shared)));
}

/// What came of asking the store for the manifest.
enum Followed {
    /// What stood at this version is known.
    UpTo(RowVersion),
    /// The changes since then cannot be told any more.
    HistoryGone,
    /// The store did not answer.
    Failed,
}

/// Follows the manifest: reads its row, and again whenever the table changes.
async fn follow_manifest(shared: Rc<Shared>) {
    let mut after = None;

    loop {
        let followed = match after {
            None => read_manifest(&shared).await,
            Some(after) => wait_for_manifest(&shared, after).await,
        };
        match followed {
            Followed::UpTo(version) => after = Some(version),
            Followed::HistoryGone => {
                after = None;
                sleep(FAILED_PAUSE).await;
            }
            Followed::Failed => sleep(FAILED_PAUSE).await,
        }
    }
}

async fn read_manifest(shared: &Rc<Shared>) -> Followed {
    match ask_for_manifest(shared, whole(paths::OPERATORS_TABLE, "".into())).await {
        PlatformReply::Changes(changes) => {
            adopt_newest(shared, &changes);
            Followed::UpTo(changes.version)
        }
        _ => Followed::Failed,
    }
}

/// Asks the store, and no other host: one that has a newer manifest tells of it, and sends it
/// once. If other hosts read it for a host that the store turns away, it would come again with
/// each try.
async fn ask_for_manifest(shared: &Rc<Shared>, op: PlatformOp) -> PlatformReply {
    store::ask_straight(shared, op, &|_| shared.manifests.note_progress()).await
}

fn adopt_newest(shared: &Rc<Shared>, changes: &TableChanges) {
    if let Some(row) = changes.written.iter().rfind(|row| row.key == paths::manifest_row()) {
        adopt(shared, &row.value, "store");
    }
}

/// Returns the operation that reads rows of a table after a key.
fn whole(table: &str, after: Box<str>) -> PlatformOp {
    PlatformOp::Snapshot { table: table.into(), after, limit: MOST_ROWS }
}

/// Reads rows of a table after a key.
async fn snapshot(shared: &Rc<Shared>, table: &str, after: Box<str>) -> Option<TableChanges> {
    match store::probe(shared, whole(table, after)).await {
        PlatformReply::Changes(changes) => Some(changes),
        _ => None,
    }
}

async fn wait_for_manifest(shared: &Rc<Shared>, after: RowVersion) -> Followed {
    let table = paths::OPERATORS_TABLE.into();
    let op = PlatformOp::Changes { table, after, wait: MANIFEST_WAIT };

    match ask_for_manifest(shared, op).await {
        PlatformReply::Changes(changes) => {
            if !changes.written.is_empty() {
                adopt_newest(shared, &changes);
                // Reading a long manifest takes time, and so does the pause.
                shared.manifests.note_progress();
                sleep(MANIFEST_PAUSE).await;
                shared.manifests.note_progress();
            }
            Followed::UpTo(changes.version)
        }
        PlatformReply::HistoryGone => {
            info!("manifest: the store dropped its history, read whole");
            Followed::HistoryGone
        }
        _ => Followed::Failed,
    }
}

/// Adopts a manifest if it is newer than the one in force.
pub(crate) fn adopt(shared: &Rc<Shared>, text: &str, source: &str) {
    let routing = match manifest::read(text) {
        Ok(routing) => routing,
        Err(e) => {
            warn!(error = %e, source, "manifest: not understood, the one in force stays");
            return;
        }
    };
    let in_force = shared.routes.borrow().as_ref().map(|table| table.routing().version);

    if adoption(in_force, routing.version) == Adoption::Ignore {
        return;
    }

    info!(
        version = routing.version,
        before = in_force,
        routes = routing.routes.len(),
        tenants = routing.tenants.len(),
        source,
        "manifest: adopted"
    );
    shared.metrics.manifest_version.set(i64::try_from(routing.version).unwrap_or(i64::MAX));
    shared.rates.borrow_mut().configure(clock::now(), &routing.tenants);
    *shared.routes.borrow_mut() = Some(RouteTable::new(Arc::new(routing)));
    *shared.manifest_text.borrow_mut() = text.into();
}

/// What is known of the targets' table.
#[derive(Default)]
struct Table {
    /// From where to ask for changes; `None` to read it whole.
    after: Option<RowVersion>,
    /// When the store was regained, after it was away.
    regained: Option<Instant>,
    lost: bool,
    /// Entries that lapsed while the store was away, and may be back.
    lapsed: Set<Box<str>>,
    removals: Removals,
}

async fn follow_targets(shared: Rc<Shared>) {
    let mut table = Table::default();

    loop {
        let answered = match table.after {
            None => read_targets(&shared, &mut table).await,
            Some(after) => changed_targets(&shared, &mut table, after).await,
        };

        if answered && std::mem::take(&mut table.lost) {
            table.regained = Some(clock::now());
        }
        table.lost |= !answered;
        learn_from_peer(&shared, &mut table).await;
        drop_lapsed(&shared, &mut table);
        places::wake_all(&shared);
        sleep(if answered { TARGETS_PERIOD } else { FAILED_PAUSE }).await;
    }
}

/// Reads all entries. Returns whether the store answered.
async fn read_targets(shared: &Rc<Shared>, table: &mut Table) -> bool {
    let mut rows = Vec::new();
    let mut version = None;
    let mut after: Box<str> = "".into();

    loop {
        let page = snapshot(shared, paths::TARGETS_TABLE, after).await;
        let Some(page) = page else { return false };
        let is_last = page.written.len() < MOST_ROWS as usize;
        // What changes between two pages is told by the changes after the first.
        version.get_or_insert(page.version);
        after = page.written.last().map(|row| row.key.key.clone()).unwrap_or_default();
        rows.extend(page.written);

        if is_last {
            break;
        }
    }

    let present: Set<_> = rows.iter().map(|row| row.key.key.clone()).collect();
    let missing = shared.targets.borrow().ids().into_iter().filter(|id| !present.contains(id));
    let deleted = missing.map(|id| RowKey::new(paths::TARGETS_TABLE, id)).collect();
    let version = version.unwrap_or_default();
    take_in(shared, table, TableChanges { written: rows, deleted, version });

    true
}

/// Asks for what changed. Returns whether the store answered.
async fn changed_targets(shared: &Rc<Shared>, table: &mut Table, after: RowVersion) -> bool {
    let op =
        PlatformOp::Changes { table: paths::TARGETS_TABLE.into(), after, wait: Duration::ZERO };

    match store::probe(shared, op).await {
        PlatformReply::Changes(changes) => {
            take_in(shared, table, changes);
            true
        }
        PlatformReply::HistoryGone => {
            info!("targets: the store dropped its history, read whole");
            table.after = None;
            true
        }
        _ => false,
    }
}

/// Learns of targets from another host while the store does not show them all.
///
/// Entries lapse while the store is away, and a host that starts then finds a few or none,
/// though all targets serve on and the other hosts know them.
async fn learn_from_peer(shared: &Rc<Shared>, table: &mut Table) {
    if !table.lost && shared.store.was_there_for(LAPSED_GRACE) {
        return;
    }
    let Some(host) = shared.fleet.any_peer() else { return };
    let reply = asks::ask(shared, host, &Ask::Targets, TARGETS_DEADLINE).await;
    let Some(Reply::Targets(entries)) = reply else { return };

    for entry in entries {
        let is_known = shared.targets.borrow().by_id(&entry.id).is_some();
        if is_known || !table.removals.may_learn(clock::now(), &entry.id) {
            continue;
        }
        info!(target_id = %entry.id, host = host.0, "targets: entry learned from another host");
        table.lapsed.insert(entry.id.clone());
        table.regained.get_or_insert_with(clock::now);
        shared.targets.borrow_mut().put(entry);
    }
}

fn take_in(shared: &Rc<Shared>, table: &mut Table, changes: TableChanges) {
    table.after = Some(changes.version);
    let was_away =
        table.lost || table.regained.is_some_and(|at| clock::now().since(at) < LAPSED_GRACE);

    for key in changes.deleted {
        match was_away {
            true => {
                table.lapsed.insert(key.key);
            }
            false => {
                table.removals.saw(clock::now(), &key.key);
                forget(shared, &key.key);
            }
        }
    }
    for row in &changes.written {
        table.lapsed.remove(&row.key.key);
        put(shared, row);
    }
}

fn put(shared: &Rc<Shared>, row: &Row) {
    let entry = match targets::read(row) {
        Ok(entry) => entry,
        Err(e) => {
            warn!(error = %e, "targets: entry passed over");
            forget(shared, &row.key.key);
            return;
        }
    };
    let id = entry.id.clone();
    let state = entry.state;
    let before = {
        let targets = shared.targets.borrow();
        targets.by_id(&id).map(|target| (target.entry.state, target.entry.born))
    };
    let born = entry.born;

    if let Some(former) = shared.targets.borrow_mut().put(entry) {
        shared.connections.close(former);
    }
    if before != Some((state, born)) {
        info!(target_id = %id, state = ?state, born, version = row.version.0, "targets: entry");
    }
}

fn forget(shared: &Rc<Shared>, id: &str) {
    let gone = shared.targets.borrow_mut().gone(id);

    if let Some(key) = gone {
        shared.connections.close(key);
        info!(target_id = id, "targets: entry gone");
    }
}

/// Forgets entries that are not back in time after the store's return.
fn drop_lapsed(shared: &Rc<Shared>, table: &mut Table) {
    let Some(at) = table.regained else { return };

    if table.lost || clock::now().since(at) < LAPSED_GRACE {
        return;
    }
    table.regained = None;
    for id in std::mem::take(&mut table.lapsed) {
        table.removals.saw(clock::now(), &id);
        forget(shared, &id);
    }
}
