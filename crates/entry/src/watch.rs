//! Follows the operators' table in the store: the manifest, and the evacuated zones.

use std::rc::Rc;
use std::sync::Arc;

use camphorwalk_adapter::{evacuation, manifest, paths};
use camphorwalk_core::platform::{
    PlatformOp, PlatformReply, Row, RowChange, RowVersion, TableChanges,
};
use camphorwalk_policy::entry::evacuations::{
    CHANGE_PAUSE, EvacuationsCopy, FAILED_PAUSE, POLL_WAIT, ZoneChange, ZoneRows,
};
use camphorwalk_policy::entry::routes::{Adoption, RouteTable, adoption};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::host::Shared;
use crate::{clock, places, store};

/// The number of rows in a page of a full read of the operators' table.
const PAGE_ROWS: u32 = 500;

/// Starts the task that follows the operators' table.
pub(crate) fn start(shared: &Rc<Shared>) {
    tokio::task::spawn_local(follow_operators_table(Rc::clone(shared)));
}

/// The outcome of asking the store for the operators' table.
enum PollOutcome {
    /// The changes up to this version are known.
    UpTo(RowVersion),
    /// The store no longer has all changes since the last known version.
    HistoryGone,
    /// The store did not answer.
    Failed,
}

/// Follows the operators' table: reads it once, and then waits for changes to it.
async fn follow_operators_table(shared: Rc<Shared>) {
    let mut after = None;

    loop {
        let followed = match after {
            None => read_all(&shared).await,
            Some(after) => wait_for_changes(&shared, after).await,
        };
        match followed {
            PollOutcome::UpTo(version) => after = Some(version),
            PollOutcome::HistoryGone => {
                after = None;
                sleep(FAILED_PAUSE).await;
            }
            PollOutcome::Failed => sleep(FAILED_PAUSE).await,
        }
    }
}

/// Reads the whole table. A long manifest may fill a page by itself.
async fn read_all(shared: &Rc<Shared>) -> PollOutcome {
    let mut rows = ZoneRows::default();
    let mut version = None;
    let mut after: Box<str> = "".into();

    loop {
        let table = paths::OPERATORS_TABLE.into();
        let op = PlatformOp::Snapshot { table, after, limit: PAGE_ROWS };
        let PlatformReply::Changes(page) = run(shared, op).await else {
            return PollOutcome::Failed;
        };
        // Rows that change while the pages are read are part of the changes after the first page.
        version.get_or_insert(page.version);
        page.written().for_each(|row| add_zone_row(&mut rows, row));
        adopt_newest(shared, &page);
        after = page.written().last().map(|row| row.key.key.clone()).unwrap_or_default();
        if !page.has_more || after.is_empty() {
            break;
        }
    }

    let version = version.unwrap_or_default();
    let changes = shared.evacuations.borrow_mut().apply_full_read(rows, version);
    apply_zone_changes(shared, &changes, "whole read");
    PollOutcome::UpTo(version)
}

/// Asks the store directly. A relay through other hosts would transfer the manifest again with each
/// retry, while a peer with a newer manifest announces it and sends it once.
async fn run(shared: &Rc<Shared>, op: PlatformOp) -> PlatformReply {
    store::run_direct(shared, op, &|_| shared.manifests.record_progress()).await
}

fn adopt_newest(shared: &Rc<Shared>, changes: &TableChanges) {
    if let Some(row) = changes.written().rfind(|row| row.key == paths::manifest_row()) {
        adopt(shared, &row.value, "store");
    }
}

async fn wait_for_changes(shared: &Rc<Shared>, after: RowVersion) -> PollOutcome {
    let table = paths::OPERATORS_TABLE.into();
    let op = PlatformOp::Changes { table, after, wait: POLL_WAIT };

    match run(shared, op).await {
        PlatformReply::Changes(changes) => {
            // Evacuations come first, since parsing a long manifest takes time.
            let zones = changes.changes.iter().filter_map(zone_change).collect();
            let zones =
                shared.evacuations.borrow_mut().apply_changes(after, zones, changes.version);
            apply_zone_changes(shared, &zones, "changes");

            if !changes.changes.is_empty() {
                adopt_newest(shared, &changes);
                // Parsing a long manifest takes time, and so does the pause. Neither means that the
                // store stalls.
                shared.manifests.record_progress();
                sleep(CHANGE_PAUSE).await;
                shared.manifests.record_progress();
            }
            PollOutcome::UpTo(changes.version)
        }
        PlatformReply::HistoryGone => {
            info!("manifest: the store no longer has the changes, reading the whole table again");
            PollOutcome::HistoryGone
        }
        _ => PollOutcome::Failed,
    }
}

fn add_zone_row(rows: &mut ZoneRows, row: &Row) {
    match evacuation::read(row) {
        Ok(Some(zone)) => drop(rows.evacuated.insert(zone.into())),
        Ok(None) => {}
        Err(e) => {
            warn!(error = %e, "evacuation: row ignored");
            rows.unreadable.extend(paths::evacuated_zone(&row.key).map(Into::into));
        }
    }
}

fn zone_change(change: &RowChange) -> Option<ZoneChange> {
    match change {
        RowChange::Written(row) => evacuation::read(row)
            .inspect_err(|e| warn!(error = %e, "evacuation: row ignored"))
            .ok()?
            .map(|zone| ZoneChange::Evacuated(zone.into())),
        RowChange::Removed(key) => {
            paths::evacuated_zone(key).map(|zone| ZoneChange::Returned(zone.into()))
        }
    }
}

/// Applies another host's copy of the evacuated zones.
pub(crate) fn apply_peer_evacuations(shared: &Rc<Shared>, copy: EvacuationsCopy) {
    let changes = shared.evacuations.borrow_mut().apply_peer_copy(copy);

    apply_zone_changes(shared, &changes, "peer");
}

/// Starts or stops the use of targets in zones that were evacuated or have returned.
fn apply_zone_changes(shared: &Rc<Shared>, changes: &[ZoneChange], source: &str) {
    if changes.is_empty() {
        return;
    }
    let as_of = shared.evacuations.borrow().as_of();

    for change in changes {
        let targets = shared.targets.borrow_mut().apply_zone_change(clock::now(), change);
        match change {
            ZoneChange::Evacuated(zone) => {
                info!(%zone, as_of = as_of.0, source, targets, "evacuation: zone evacuated");
            }
            ZoneChange::Returned(zone) => {
                info!(%zone, as_of = as_of.0, source, targets, "evacuation: zone used again");
            }
        }
    }
    let evacuated = shared.targets.borrow().evacuated_zones();
    shared.metrics.evacuated_zones.set(i64::try_from(evacuated).unwrap_or(i64::MAX));
    places::assign_all_places(shared);
}

/// Adopts a manifest if it is newer than the one in force.
pub(crate) fn adopt(shared: &Rc<Shared>, text: &str, source: &str) {
    let routing = match manifest::read(text) {
        Ok(routing) => routing,
        Err(e) => {
            warn!(error = %e, source, "manifest: cannot be parsed, keeping the one in force");
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
    let cold_bounds = shared.settings.cold_bounds;
    shared.targets.borrow_mut().configure_cold(clock::now(), &routing.services, cold_bounds);
    shared.retention.borrow_mut().adopt(clock::now(), &routing);
    *shared.routes.borrow_mut() = Some(RouteTable::new(Arc::new(routing)));
    *shared.manifest_text.borrow_mut() = text.into();
}
