//! Determines whether the process of a target crashed after answers of it were lost, and records
//! the calls that were in flight there.
//!
//! A lost answer alone does not show a crash: a connection may have been reset, or a zone been
//! partitioned off. So the target is checked a while later, once for all calls whose answers were
//! lost at about the same time. What a crash means for these calls is decided by
//! `camphorwalk_policy::entry::crashes`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::entry::TargetEntry;
use camphorwalk_core::hash::Map;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::crashes::{CallContent, CrashedProcess};
use camphorwalk_policy::entry::placement::TargetKey;
use tokio::time::sleep;
use tracing::info;

use crate::clock;
use crate::connections::{self, ConnectError};
use crate::host::Shared;

/// How long after a lost answer the target is checked. Longer than a status update is valid, so
/// that hosts behind a new partition are no longer live.
const CHECK_DELAY: Duration = Duration::from_millis(900);

/// How much later the table is checked for a new process if the target accepts connections: long
/// enough for a process that has just started to register itself, and for a poll of the table.
const RESTART_CHECK_DELAY: Duration = Duration::from_millis(900);

/// Answers that are lost within this time share a check. Together with the time for which a status
/// update is valid it must be less than [`CHECK_DELAY`], which begins with the first of them.
const JOIN_TIME: Duration = Duration::from_millis(100);

/// A call whose answer was lost.
pub(crate) struct LostCall {
    pub(crate) request: Box<str>,
    pub(crate) content: CallContent,
}

/// The calls that wait for the same check.
type LostCalls = Rc<RefCell<Vec<LostCall>>>;

/// The latest check of each target that is still to be made.
#[derive(Default)]
pub(crate) struct CrashChecks(RefCell<Map<TargetKey, (Instant, LostCalls)>>);

impl CrashChecks {
    /// Adds a call to a check that other calls began just now, if there is one.
    fn join(&self, now: Instant, key: TargetKey, call: LostCall) -> Result<(), LostCall> {
        let checks = self.0.borrow();
        match checks.get(&key).filter(|(began, _)| now.since(*began) < JOIN_TIME) {
            Some((_, calls)) => {
                calls.borrow_mut().push(call);
                Ok(())
            }
            None => Err(call),
        }
    }

    fn begin(&self, now: Instant, key: TargetKey, call: LostCall) -> LostCalls {
        let calls = Rc::new(RefCell::new(vec![call]));
        self.0.borrow_mut().insert(key, (now, Rc::clone(&calls)));

        calls
    }

    /// Removes a check that has been made, unless a later one has begun.
    fn end(&self, began: Instant, key: TargetKey) {
        let mut checks = self.0.borrow_mut();
        if checks.get(&key).is_some_and(|(latest, _)| *latest == began) {
            checks.remove(&key);
        }
    }
}

/// A target under suspicion, as it was when an answer was lost.
struct Suspicion {
    key: TargetKey,
    entry: TargetEntry,
    process: CrashedProcess,
    at: Instant,
}

/// Checks in the background whether a target crashed when the answer to a call was lost.
///
/// A target that is leaving or whose entry is gone ends as planned, which is no crash.
pub(crate) fn check_later(shared: &Rc<Shared>, key: TargetKey, call: LostCall) {
    let suspicion = {
        let targets = shared.targets.borrow();
        let Some(target) = targets.get(key).filter(|target| !target.leaving) else { return };
        let process = CrashedProcess::new(&target.entry, target.has_answered());
        Suspicion { key, entry: target.entry.clone(), process, at: clock::now() }
    };

    if let Err(call) = shared.crash_checks.join(suspicion.at, key, call) {
        let calls = shared.crash_checks.begin(suspicion.at, key, call);
        tokio::task::spawn_local(check(Rc::clone(shared), suspicion, calls));
    }
}

async fn check(shared: Rc<Shared>, suspicion: Suspicion, calls: LostCalls) {
    let Suspicion { key, entry, process, at } = suspicion;
    sleep(CHECK_DELAY).await;
    shared.crash_checks.end(at, key);

    let mut found = examine(&shared, key, &entry).await;
    if found == Found::Listening {
        sleep(RESTART_CHECK_DELAY).await;
        if is_replaced(&shared, &entry) {
            found = Found::Replaced;
        }
    }

    let calls = calls.borrow();
    if found.is_crash() {
        let contents: Vec<_> = calls.iter().map(|call| call.content).collect();
        shared.crashes.borrow_mut().record(clock::now(), at, process, &contents);
        shared.metrics.crashes.inc();
    }
    for LostCall { request, content } in calls.iter() {
        let crashes = shared.crashes.borrow().count(*content);
        info!(
            request = %request, target_id = %entry.id, born = entry.born, ?found, crashes,
            in_flight = calls.len(), has_answered = process.has_answered, "crash: target checked"
        );
    }
}

/// What a check of a target found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Found {
    /// Nothing listens at its address.
    Down,
    /// Another process has its id or its address.
    Replaced,
    /// It accepts connections.
    Listening,
    /// It does not answer, or its zone is partitioned off, which may refuse connections just like
    /// the machine of a crashed process.
    OutOfReach,
}

impl Found {
    fn is_crash(self) -> bool {
        matches!(self, Self::Down | Self::Replaced)
    }
}

async fn examine(shared: &Shared, key: TargetKey, entry: &TargetEntry) -> Found {
    if is_replaced(shared, entry) {
        return Found::Replaced;
    }
    // An idle connection would have been closed with the process.
    if let Some(connection) = shared.connections.take(key) {
        shared.connections.put_back(key, connection, None).await;
        return Found::Listening;
    }

    shared.metrics.connects.inc();
    match connections::connect(entry.address).await {
        Ok(connection) => {
            shared.connections.put_back(key, connection, None).await;
            Found::Listening
        }
        Err(ConnectError::Refused) if is_in_reach(shared, &entry.zone) => Found::Down,
        Err(ConnectError::Refused | ConnectError::Silent | ConnectError::Broken) => {
            Found::OutOfReach
        }
    }
}

fn is_in_reach(shared: &Shared, zone: &str) -> bool {
    *zone == *shared.settings.zone || shared.fleet.is_zone_live(zone)
}

/// Returns whether another process has the id or the address of a target.
fn is_replaced(shared: &Shared, entry: &TargetEntry) -> bool {
    let targets = shared.targets.borrow();
    let has_id = targets.by_id(&entry.id).is_some_and(|target| target.entry.born > entry.born);

    has_id || targets.has_later_process_at(entry.address, entry.born)
}
