//! Granting tokens of a program while the store is unsettled, and replicating those grants to other
//! hosts. The store is unsettled while it is slow or unavailable for any host, and for a while
//! afterwards (see `Shared::is_settled`).
//!
//! A grant that was made without the store and is not written to it yet is an unstored grant.
//! Replicas of it are placed at hosts of other zones, and it is written to the store as soon as
//! possible.

use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::ids::HostId;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_policy::entry::budgets::{BudgetRow, KnownRow, ProgramKey, Proposal};
use camphorwalk_policy::entry::grant_leases::Consent;
use camphorwalk_policy::entry::shares::{Doubt, Limit};
use camphorwalk_policy::entry::write_back::RoundOutcome;
use camphorwalk_policy::entry::write_throttle::Priority;
use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt as _};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tracing::info;

use crate::answer::Refusal;
use crate::budget::{
    MAX_WRITE_ATTEMPTS, WriteOutcome, program_lock, read_row, unknown_budget, write_row,
};
use crate::call::Call;
use crate::grant_leases::partition_of;
use crate::host::Shared;
use crate::queries::{self, GrantQuery, Query, QueryReply};
use crate::{clock, store};

/// How many other hosts, the first in the order in which hosts grant a program's tokens, this host
/// sends the program's row to, and asks for their copies of it. With two, one copy is left if this
/// host and one of them are lost.
pub(crate) const ROW_REPLICAS: usize = 2;

/// The maximum number of hosts of other zones that hold replicas of an unstored grant. With this
/// many, the grant survives if half of a small fleet is killed before the store recovers.
const MAX_REPLICAS_ELSEWHERE: usize = 4;

/// How many hosts are queried about a program that the next granters do not know: all of a small
/// fleet.
const MAX_HOSTS_QUERIED: usize = 12;

/// How long a grant by another host may take: a round trip, and that host's attempts to write to a
/// store that is slow or has just stopped answering. The granting host also waits for at most this
/// long for an overdue write.
const GRANT_TIMEOUT: Duration = Duration::from_millis(450);

/// How many overdue operations a host awaits, one after the other, while it handles one grant query.
/// An operation is overdue if the store has not answered it within the hedging delay.
const MAX_OVERDUE_OPERATIONS: u32 = 2;

/// How long another host may take to send or record a row: several round trips. A grant without the
/// store needs up to three such exchanges, one after the other. After the hedging delay they all
/// fit into [`GRANT_TIMEOUT`].
const ROW_EXCHANGE_TIMEOUT: Duration = Duration::from_millis(80);

/// How long the holder of a lease may take to consent: one round trip with a large margin.
const CONSENT_TIMEOUT: Duration = Duration::from_millis(150);

/// How many rows are written concurrently after the store has recovered.
const CONCURRENT_WRITES: usize = 8;

/// Returns the live hosts, including this one, in the order in which they grant a program's tokens
/// while the store is unsettled. The first is the holder of the program's lease, which alone grants
/// without the store.
fn grant_order(shared: &Shared, program: ProgramKey) -> Vec<HostId> {
    let holder = lease_holder(shared, program);
    let others = shared.fleet.live_hosts_in_order(program.0).into_iter();

    holder.into_iter().chain(others.filter(|host| Some(*host) != holder)).collect()
}

/// Returns the host that holds the lease of a program, if it is live.
fn lease_holder(shared: &Shared, program: ProgramKey) -> Option<HostId> {
    let partition = partition_of(program);

    match shared.grant_leases.borrow().reported().contains(partition) {
        true => Some(shared.fleet.own_id()),
        false => shared.fleet.lease_holder(partition),
    }
}

/// Sends a row that the store has accepted to the next granters: the hosts that would grant the
/// program's tokens if the store failed, and would then need the row. Also sends it to the hosts
/// that hold replicas of the program's unstored grants, so that they do not write those grants
/// again.
pub(crate) fn notify_stored(
    shared: &Shared,
    program: ProgramKey,
    row: &BudgetRow,
    version: RowVersion,
) {
    let mut hosts: Vec<_> = next_granters(shared, program).take(ROW_REPLICAS).collect();
    if shared.budgets.borrow().has_unstored_grants(program) {
        hosts.extend(replicas_elsewhere(shared, program));
        hosts.sort_unstable();
        hosts.dedup();
    }

    for host in hosts {
        queries::notify(shared, host, &Query::Stored(program, row.clone(), version));
    }
}

/// Returns the live hosts of other zones that hold replicas of a program's unstored grants. In a
/// fleet with a single zone, they are other hosts of that zone.
fn replicas_elsewhere(shared: &Shared, program: ProgramKey) -> Vec<HostId> {
    shared.fleet.live_replicas(program.0).into_iter().take(MAX_REPLICAS_ELSEWHERE).collect()
}

/// The outcome of a grant query.
pub(crate) enum GrantOutcome {
    /// The row now includes the turn's tokens.
    Granted,
    /// The rest of the budget may have been granted without the store.
    Withheld(Doubt),
    /// The budget does not have enough tokens left, according to the known rows.
    Insufficient,
}

/// Requests a turn's tokens from the one host that grants a program's tokens while the store is
/// unsettled.
///
/// Hosts may disagree about the store: it may be slow, or answer only some of them. If each decided
/// alone, one could write a grant to the store while another grants the same tokens without it.
pub(crate) async fn request_grant(
    call: &Call,
    program: ProgramKey,
    budget: u64,
    max_tokens: u64,
) -> Result<GrantOutcome, Refusal> {
    let shared = &call.shared;
    let known = known_or_empty(shared, program, budget);
    let claim = shared.budgets.borrow().claim(program, max_tokens);
    let begins = call.may_begin_program();
    let query = GrantQuery { program, claim, known, begins };
    let order = grant_order(shared, program);
    let host = order.first().copied().ok_or_else(|| unknown_budget(shared))?;
    let reply = match host == shared.fleet.own_id() {
        true => Some(grant(shared, &query).await),
        false => queries::send(shared, host, &Query::Grant(query), GRANT_TIMEOUT).await,
    };

    match reply {
        Some(QueryReply::Written(row)) => {
            shared.budgets.borrow_mut().accept_stored_grant(clock::now(), program, &row);
            Ok(GrantOutcome::Granted)
        }
        Some(QueryReply::Granted(row)) => {
            info!(
                request = %call.head.request_id, program = %program.0, host = host.0,
                "budget: granted without the store"
            );
            shared.budgets.borrow_mut().accept_unstored_grant(clock::now(), program, &row);
            Ok(GrantOutcome::Granted)
        }
        Some(QueryReply::Withheld(doubt)) => Ok(GrantOutcome::Withheld(doubt)),
        Some(QueryReply::Spent) => Ok(GrantOutcome::Insufficient),
        _ => Err(unknown_budget(shared)),
    }
}

/// Handles a grant query of another host. Queries for the same program run one at a time.
pub(crate) async fn grant_for_peer(shared: &Rc<Shared>, query: &GrantQuery) -> QueryReply {
    let lock = program_lock(shared, query.program);
    let _guard = lock.lock().await;

    grant(shared, query).await
}

/// Grants a turn's tokens: by a write to the store if the program's part of it answers, and without
/// the store otherwise.
async fn grant(shared: &Rc<Shared>, query: &GrantQuery) -> QueryReply {
    shared.budgets.borrow_mut().merge_known_row(clock::now(), query.program, &query.known);

    for _ in 0..MAX_OVERDUE_OPERATIONS {
        let overdue = match grant_by_store(shared, query).await {
            StoreGrant::Decided(reply) => return reply,
            StoreGrant::Overdue(overdue) => overdue,
            StoreGrant::Unavailable(otherwise) => {
                return grant_without_store(shared, query).await.unwrap_or(otherwise);
            }
        };
        let otherwise = match grant_without_store(shared, query).await {
            Some(reply @ QueryReply::Granted(_)) => return reply,
            reply => reply.unwrap_or(QueryReply::Refused),
        };
        // A write may still succeed, or may have conflicted with another one.
        match timeout(GRANT_TIMEOUT, overdue.operation).await {
            Ok(Ok(Ok(WriteOutcome::Committed))) => return QueryReply::Written(overdue.row),
            Ok(Ok(Ok(WriteOutcome::Superseded | WriteOutcome::LeaseChanged))) => {}
            _ => return otherwise,
        }
    }

    QueryReply::Refused
}

/// The outcome of a grant by a write to the store.
enum StoreGrant {
    /// The final reply to the querying host.
    Decided(QueryReply),
    /// The store has not answered the operation within the hedging delay.
    Overdue(OverdueOperation),
    /// The store is unavailable. The reply applies if nothing is granted without the store either.
    Unavailable(QueryReply),
}

/// An operation that the store has not answered yet.
struct OverdueOperation {
    /// The row as it is if the operation is a write and succeeds.
    row: BudgetRow,
    operation: RowTask,
}

async fn grant_by_store(shared: &Rc<Shared>, query: &GrantQuery) -> StoreGrant {
    let GrantQuery { program, claim, known, .. } = query;

    for _ in 0..MAX_WRITE_ATTEMPTS {
        let propose = |limit| {
            let mut budgets = shared.budgets.borrow_mut();
            budgets.propose_within(clock::now(), *program, *claim, &known.row, limit)
        };
        let mut lease = None;
        let mut proposal = propose(Limit::Share(Doubt::Unsettled));
        if let Proposal::Withheld(doubt) = proposal {
            if let Err(doubt) = lease_for_consent(shared, *program) {
                info!(program = %program.0, ?doubt, "budget: the rest is withheld");
                return StoreGrant::Decided(QueryReply::Withheld(doubt));
            }
            // Consent would end the grants without the store, so the store has to answer first.
            match read_hedged(shared, *program).await {
                HedgedOperation::Done(Ok(WriteOutcome::Superseded)) => {}
                HedgedOperation::Done(_) => {
                    return StoreGrant::Unavailable(QueryReply::Withheld(doubt));
                }
                HedgedOperation::Overdue(operation) => {
                    let row = known.row.clone();
                    return StoreGrant::Overdue(OverdueOperation { row, operation });
                }
            }
            match consent(shared, *program, known) {
                Ok((_, version)) => lease = Some(version),
                Err(doubt) => {
                    info!(program = %program.0, ?doubt, "budget: the rest is withheld");
                    return StoreGrant::Decided(QueryReply::Withheld(doubt));
                }
            }
            proposal = propose(Limit::Whole);
        }
        let (row, version) = match proposal {
            Proposal::Write(row, version) => (row, version),
            Proposal::Spent => return StoreGrant::Decided(QueryReply::Spent),
            Proposal::Withheld(doubt) => {
                return StoreGrant::Unavailable(QueryReply::Withheld(doubt));
            }
        };

        match write_hedged(shared, *program, row.clone(), version, lease).await {
            HedgedOperation::Done(Ok(WriteOutcome::Committed)) => {
                return StoreGrant::Decided(QueryReply::Written(row));
            }
            HedgedOperation::Done(Ok(WriteOutcome::Superseded | WriteOutcome::LeaseChanged)) => {}
            HedgedOperation::Done(_) => return StoreGrant::Unavailable(QueryReply::Refused),
            HedgedOperation::Overdue(operation) => {
                return StoreGrant::Overdue(OverdueOperation { row, operation });
            }
        }
    }

    StoreGrant::Unavailable(QueryReply::Refused)
}

/// Grants a turn's tokens without the store. Returns `None` if this host may not.
///
/// Only the holder of the program's lease may. Isolated hosts do not grant, because their grants
/// would be lost if all machines lost power.
async fn grant_without_store(shared: &Rc<Shared>, query: &GrantQuery) -> Option<QueryReply> {
    let GrantQuery { program, claim, known, begins } = query;
    if shared.is_isolated() || !may_grant_without_store(shared, *program) {
        return None;
    }

    fetch_known_rows(shared, *program, ROW_REPLICAS).await;
    if !shared.budgets.borrow().has_grants(*program) {
        // The host that forwarded the program's last turn knows its row.
        fetch_known_rows(shared, *program, MAX_HOSTS_QUERIED).await;
        if !shared.budgets.borrow().has_grants(*program) && !begins {
            info!(program = %program.0, "budget: no row is known for a running program");
            return None;
        }
    }
    // The lease may have expired in the meantime.
    if !may_grant_without_store(shared, *program) {
        return None;
    }
    let granted =
        shared.budgets.borrow_mut().grant_without_store(clock::now(), *program, *claim, &known.row);
    match granted {
        Some(row) if replicate_to_other_zone(shared, *program, &row).await => {
            shared.metrics.grants_without_store.inc();
            Some(QueryReply::Granted(row))
        }
        Some(_) => {
            info!(program = %program.0, "budget: no host of another zone took note of a grant");
            None
        }
        None if shared.budgets.borrow().is_spent(*program, claim.missing) => {
            Some(QueryReply::Spent)
        }
        None => {
            info!(program = %program.0, "budget: the share without the store is granted");
            Some(QueryReply::Withheld(Doubt::Unsettled))
        }
    }
}

/// Returns whether this host holds a lease to grant tokens of a program without the store.
fn may_grant_without_store(shared: &Shared, program: ProgramKey) -> bool {
    let may_grant = shared.grant_leases.borrow().may_grant(clock::now(), partition_of(program));
    if !may_grant {
        info!(program = %program.0, "budget: no lease to grant without the store");
    }

    may_grant
}

/// Stops grants of a program's tokens without the store, if this host holds the lease. Returns the
/// row as this host knows it, and the version of the lease row under which the store may grant the
/// whole budget.
pub(crate) fn consent(
    shared: &Shared,
    program: ProgramKey,
    known: &KnownRow,
) -> Result<(KnownRow, RowVersion), Doubt> {
    let version = lease_for_consent(shared, program)?;
    let closed = shared.budgets.borrow_mut().close_for_outages(clock::now(), program, known);

    closed.map(|known| (known, version)).ok_or(Doubt::Forgotten)
}

/// Returns the version of the lease row under which this host can consent to grants of a program's
/// whole budget by the store.
fn lease_for_consent(
    shared: &Shared,
    program: ProgramKey,
) -> std::result::Result<RowVersion, Doubt> {
    match shared.grant_leases.borrow().consent(partition_of(program)) {
        Consent::Given(_) if shared.budgets.borrow().is_quarantined(program) => {
            Err(Doubt::Forgotten)
        }
        Consent::Given(version) => Ok(version),
        Consent::Quarantined => Err(Doubt::Forgotten),
        Consent::NotHolder => Err(Doubt::Unsettled),
    }
}

/// Asks the holder of a program's lease for its consent to grants of the whole budget by the store,
/// and merges the row as the holder knows it. Returns the version of the lease row on condition of
/// which such grants may be written.
pub(crate) async fn request_consent(
    shared: &Shared,
    program: ProgramKey,
    budget: u64,
) -> Result<RowVersion, Doubt> {
    let known = known_or_empty(shared, program, budget);
    let host = lease_holder(shared, program).ok_or(Doubt::Unsettled)?;
    if host == shared.fleet.own_id() {
        return consent(shared, program, &known).map(|(_, version)| version);
    }

    match queries::send(shared, host, &Query::Consent(program, known), CONSENT_TIMEOUT).await {
        Some(QueryReply::Consented(known, version)) => {
            shared.budgets.borrow_mut().merge_known_row(clock::now(), program, &known);
            Ok(version)
        }
        Some(QueryReply::Withheld(doubt)) => Err(doubt),
        _ => Err(Doubt::Unsettled),
    }
}

/// Returns a program's row as this host knows it, without grants if it knows none.
fn known_or_empty(shared: &Shared, program: ProgramKey, budget: u64) -> KnownRow {
    let known = shared.budgets.borrow().known_row(program);
    let empty = BudgetRow { budget, ..BudgetRow::default() };

    known.unwrap_or(KnownRow { row: empty, stored: 0 })
}

/// An operation on a program's row that is in progress.
pub(crate) type RowTask = JoinHandle<std::result::Result<WriteOutcome, Refusal>>;

/// The outcome of an operation on a program's row that is awaited only for the hedging delay.
pub(crate) enum HedgedOperation {
    /// The operation has ended.
    Done(std::result::Result<WriteOutcome, Refusal>),
    /// The operation is still in progress. A grant that is made without the store during a write
    /// produces the same row, so nothing is granted twice.
    Overdue(RowTask),
}

/// Waits for an overdue operation, if there is one. Returns whether the store has answered it, so that
/// this host knows the row.
pub(crate) async fn is_answered(operation: Option<RowTask>) -> bool {
    let Some(operation) = operation else { return false };
    let answered = timeout(GRANT_TIMEOUT, operation).await;

    matches!(
        answered,
        Ok(Ok(Ok(WriteOutcome::Committed | WriteOutcome::Superseded | WriteOutcome::LeaseChanged)))
    )
}

/// Writes a program's row, and waits for the outcome for at most the hedging delay.
pub(crate) async fn write_hedged(
    shared: &Rc<Shared>,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
    lease: Option<RowVersion>,
) -> HedgedOperation {
    let writing = Rc::clone(shared);

    hedge(shared, async move {
        write_row(&writing, program, row, version, lease, Priority::Normal).await
    })
    .await
}

/// Reads a program's row, and waits for the outcome for at most the hedging delay.
async fn read_hedged(shared: &Rc<Shared>, program: ProgramKey) -> HedgedOperation {
    let reading = Rc::clone(shared);

    hedge(shared, async move { read_row(&reading, program).await }).await
}

async fn hedge(
    shared: &Shared,
    operation: impl Future<Output = std::result::Result<WriteOutcome, Refusal>> + 'static,
) -> HedgedOperation {
    let mut task = tokio::task::spawn_local(operation);

    match timeout(store::HEDGE_AFTER, &mut task).await {
        Ok(ended) => HedgedOperation::Done(ended.unwrap_or_else(|_| Err(unknown_budget(shared)))),
        Err(_) => {
            shared.store.record_slow(clock::now());
            HedgedOperation::Overdue(task)
        }
    }
}

/// Replicates a row with unstored grants to the next granters and to hosts of other zones. Returns
/// whether a host of another zone has acknowledged it.
///
/// For most of a second after a partition begins, a zone that is being partitioned off still
/// believes it belongs to the majority. Its grants would be lost if all machines lost power. In
/// that time no other zone acknowledges the grant, so its tokens are not spent.
async fn replicate_to_other_zone(shared: &Shared, program: ProgramKey, row: &BudgetRow) -> bool {
    let stored = shared.budgets.borrow().known_row(program).map_or(0, |known| known.stored);
    let query = Query::Loose(program, KnownRow { row: row.clone(), stored });
    let replicas = replicas_elsewhere(shared, program);
    let next = next_granters(shared, program).take(ROW_REPLICAS);
    for host in next.filter(|host| !replicas.contains(host)) {
        queries::notify(shared, host, &query);
    }

    let replies =
        replicas.iter().map(|host| queries::send(shared, *host, &query, ROW_EXCHANGE_TIMEOUT));
    let mut replies: FuturesUnordered<_> = replies.collect();
    while let Some(reply) = replies.next().await {
        if matches!(reply, Some(QueryReply::Done)) {
            return true;
        }
    }

    false
}

/// Returns the other live hosts in the order in which they grant a program's tokens while the store
/// is unsettled.
fn next_granters(shared: &Shared, program: ProgramKey) -> impl Iterator<Item = HostId> {
    let own = shared.fleet.own_id();

    grant_order(shared, program).into_iter().filter(move |host| *host != own)
}

/// Fetches a program's row from the next `count` granters and merges it.
///
/// A host that is new, or was unreachable for a while, may become the first granter although others
/// have granted in the meantime. The host that granted is next in the order, or has replicated the
/// row to the hosts that are.
pub(crate) async fn fetch_known_rows(shared: &Shared, program: ProgramKey, count: usize) {
    let query = Query::KnownRow(program);
    let hosts = next_granters(shared, program).take(count);
    let replies =
        join_all(hosts.map(|host| queries::send(shared, host, &query, ROW_EXCHANGE_TIMEOUT))).await;

    for reply in replies.into_iter().flatten() {
        if let QueryReply::Known(known) = reply {
            shared.budgets.borrow_mut().merge_known_row(clock::now(), program, &known);
        }
    }
}

/// Merges a row that the store holds.
pub(crate) fn apply_stored(
    shared: &Shared,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
) -> QueryReply {
    shared.budgets.borrow_mut().merge_stored_row(clock::now(), program, row, version);

    QueryReply::Done
}

/// Records unstored grants that another host reports. This host writes them to the store later if
/// the hosts that spend them do not, for example because they became isolated.
pub(crate) fn record_unstored(
    shared: &Shared,
    program: ProgramKey,
    known: &KnownRow,
) -> QueryReply {
    let mut budgets = shared.budgets.borrow_mut();
    budgets.merge_unstored_row(clock::now(), program, &known.row);
    budgets.merge_known_row(clock::now(), program, known);

    QueryReply::Done
}

/// Writes up to `max_writes` rows with unstored grants: those with a grant to this host at once,
/// and others if they have not been written after a while. Also rewrites rows that are in use, so
/// that other hosts do not delete them as idle. A row whose write fails or conflicts is tried again
/// in the next round.
pub(crate) async fn write_unstored(shared: &Rc<Shared>, max_writes: usize) -> RoundOutcome {
    let mut rows =
        shared.budgets.borrow().rows_to_write(clock::now(), |run| shared.is_run_live(run));
    if rows.is_empty() {
        return RoundOutcome::Nothing;
    }

    let due = rows.len();
    rows.truncate(max_writes);
    let mut refused = false;
    for round in rows.chunks(CONCURRENT_WRITES) {
        let writes = round.iter().cloned().map(|(program, row, version)| async move {
            matches!(
                write_row(shared, program, row, version, None, Priority::Deferrable).await,
                Ok(WriteOutcome::StoreUnavailable)
            )
        });
        refused = join_all(writes).await.contains(&true);
        // The store would refuse the rest too, and each attempt competes with writes that cannot wait.
        if refused {
            break;
        }
    }
    info!(due, most = max_writes, refused, "budget: grants made without the store are written");

    match refused {
        true => RoundOutcome::Refused,
        false if due > max_writes => RoundOutcome::Partial,
        false => RoundOutcome::All,
    }
}
