//! Follows the manifest in the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use camphorwalk_adapter::{manifest, paths};
use camphorwalk_core::platform::{PlatformOp, PlatformReply, RowVersion, TableChanges};
use camphorwalk_policy::entry::routes::{Adoption, RouteTable, adoption};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::host::Shared;
use crate::{clock, store};

/// How long the store may hold a request for changes of the manifest. A broken connection is
/// noticed after this time. A new manifest must be in force within two seconds.
const MANIFEST_WAIT: Duration = Duration::from_millis(1_200);

/// The pause after a manifest was received, before the next one is requested. Operators may publish
/// many manifests in a second. Each of them must be parsed completely by each host, but only the
/// last one matters. The pause is shorter than the time after which a stalled store makes the host
/// ask its peers.
const MANIFEST_PAUSE: Duration = Duration::from_millis(150);

/// The pause after a failed request.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// The maximum number of rows of the operators' table that are read.
const PAGE_ROWS: u32 = 500;

/// Starts the task that follows the manifest.
pub(crate) fn start(shared: &Rc<Shared>) {
    tokio::task::spawn_local(follow_manifest(Rc::clone(shared)));
}

/// The outcome of asking the store for the manifest.
enum PollOutcome {
    /// The changes up to this version are known.
    UpTo(RowVersion),
    /// The store no longer has all changes since the last known version.
    HistoryGone,
    /// The store did not answer.
    Failed,
}

/// Follows the manifest: reads the operators' table once, and then waits for changes to it.
async fn follow_manifest(shared: Rc<Shared>) {
    let mut after = None;

    loop {
        let followed = match after {
            None => read_manifest(&shared).await,
            Some(after) => wait_for_manifest(&shared, after).await,
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

async fn read_manifest(shared: &Rc<Shared>) -> PollOutcome {
    let table = paths::OPERATORS_TABLE.into();
    let op = PlatformOp::Snapshot { table, after: "".into(), limit: PAGE_ROWS };

    match request_manifest(shared, op).await {
        PlatformReply::Changes(changes) => {
            adopt_newest(shared, &changes);
            PollOutcome::UpTo(changes.version)
        }
        _ => PollOutcome::Failed,
    }
}

/// Asks the store directly. A relay through other hosts would transfer the manifest again with each
/// retry, while a peer with a newer manifest announces it and sends it once.
async fn request_manifest(shared: &Rc<Shared>, op: PlatformOp) -> PlatformReply {
    store::run_direct(shared, op, &|_| shared.manifests.record_progress()).await
}

fn adopt_newest(shared: &Rc<Shared>, changes: &TableChanges) {
    if let Some(row) = changes.written().rfind(|row| row.key == paths::manifest_row()) {
        adopt(shared, &row.value, "store");
    }
}

async fn wait_for_manifest(shared: &Rc<Shared>, after: RowVersion) -> PollOutcome {
    let table = paths::OPERATORS_TABLE.into();
    let op = PlatformOp::Changes { table, after, wait: MANIFEST_WAIT };

    match request_manifest(shared, op).await {
        PlatformReply::Changes(changes) => {
            if !changes.changes.is_empty() {
                adopt_newest(shared, &changes);
                // Parsing a long manifest takes time, and so does the pause. Neither means that the
                // store stalls.
                shared.manifests.record_progress();
                sleep(MANIFEST_PAUSE).await;
                shared.manifests.record_progress();
            }
            PollOutcome::UpTo(changes.version)
        }
        PlatformReply::HistoryGone => {
            info!("manifest: the store no longer has the changes, reading the manifest again");
            PollOutcome::HistoryGone
        }
        _ => PollOutcome::Failed,
    }
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
    *shared.routes.borrow_mut() = Some(RouteTable::new(Arc::new(routing)));
    *shared.manifest_text.borrow_mut() = text.into();
}
