//! Following the manifest in the store.

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

/// How long the store may hold a question for changes of the manifest. A connection that fell
/// silent shows after this time; the manifest must be in force after two seconds.
const MANIFEST_WAIT: Duration = Duration::from_millis(1_200);

/// The pause after a manifest came, before it is asked whether there is a newer one. Operators
/// publish many in a second at times; each is read and understood whole by each host, and the last
/// one is what counts. It is shorter than the silence of the store after which others are asked.
const MANIFEST_PAUSE: Duration = Duration::from_millis(150);

/// The pause after a failed question.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// The most rows of one question.
const MOST_ROWS: u32 = 500;

/// Starts to follow it.
pub(crate) fn start(shared: &Rc<Shared>) {
    tokio::task::spawn_local(follow_manifest(Rc::clone(shared)));
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
    let table = paths::OPERATORS_TABLE.into();
    let op = PlatformOp::Snapshot { table, after: "".into(), limit: MOST_ROWS };

    match ask_for_manifest(shared, op).await {
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
    if let Some(row) = changes.written().rfind(|row| row.key == paths::manifest_row()) {
        adopt(shared, &row.value, "store");
    }
}

async fn wait_for_manifest(shared: &Rc<Shared>, after: RowVersion) -> Followed {
    let table = paths::OPERATORS_TABLE.into();
    let op = PlatformOp::Changes { table, after, wait: MANIFEST_WAIT };

    match ask_for_manifest(shared, op).await {
        PlatformReply::Changes(changes) => {
            if !changes.changes.is_empty() {
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
