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
use camphorwalk_policy::entry::shares::{self, Doubt, Limit};
use camphorwalk_policy::entry::write_back::RoundOutcome;
use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt as _};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tracing::info;

use crate::answer::Refusal;
use crate::budget::{MAX_WRITE_ATTEMPTS, WriteOutcome, program_lock, unknown_budget, write_row};
use crate::call::Call;
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

/// How many overdue writes a host awaits, one after the other, while it handles one grant query. A
/// write is overdue if the store has not answered it within the hedging delay.
const MAX_OVERDUE_WRITES: u32 = 2;

/// How long another host may take to send or record a row: several round trips. A grant without the
/// store needs up to three such exchanges, one after the other. After the hedging delay they all
/// fit into [`GRANT_TIMEOUT`].
const ROW_EXCHANGE_TIMEOUT: Duration = Duration::from_millis(80);

/// How many rows are written concurrently after the store has recovered.
const CONCURRENT_WRITES: usize = 8;

/// Returns the live hosts, including this one, in the order in which they grant a program's tokens
/// while the store is unsettled. Hosts without a complete grant history come last, since they may
/// not grant.
fn grant_order(shared: &Shared, program: ProgramKey) -> Vec<HostId> {
    let own = shared.fleet.own_id();
    let has_history = |host: &HostId| match *host == own {
        true => shared.has_complete_history(),
        false => shared.fleet.has_complete_history(*host),
    };
    let (mut order, others): (Vec<_>, Vec<_>) =
        shared.fleet.live_hosts_in_order(program.0).into_iter().partition(has_history);
    order.extend(others);

    order
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
    let empty = BudgetRow { budget, ..BudgetRow::default() };
    let known = shared.budgets.borrow().known_row(program);
    let known = known.unwrap_or(KnownRow { row: empty, stored: 0 });
    let begins = call.may_begin_program();
    let claim = shared.budgets.borrow().claim(program, max_tokens);
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

    for _ in 0..MAX_OVERDUE_WRITES {
        let overdue = match grant_by_store(shared, query).await {
            StoreGrant::Decided(reply) => return reply,
            StoreGrant::Overdue(overdue) => overdue,
            StoreGrant::Unavailable(otherwise) => {
                return grant_without_store(shared, query).await.unwrap_or(otherwise);
            }
        };
        match grant_without_store(shared, query).await {
            Some(reply) => return reply,
            // The write may still succeed, or may have conflicted with another one.
            None => match timeout(GRANT_TIMEOUT, overdue.writing).await {
                Ok(Ok(Ok(WriteOutcome::Committed))) => return QueryReply::Written(overdue.row),
                Ok(Ok(Ok(WriteOutcome::Superseded))) => {}
                _ => return QueryReply::Refused,
            },
        }
    }

    QueryReply::Refused
}

/// The outcome of a grant by a write to the store.
enum StoreGrant {
    /// The final reply to the querying host.
    Decided(QueryReply),
    /// The store has not answered the write within the hedging delay.
    Overdue(OverdueWrite),
    /// The store is unavailable. The reply applies if nothing is granted without the store either.
    Unavailable(QueryReply),
}

/// A row whose write the store has not answered yet.
struct OverdueWrite {
    row: BudgetRow,
    writing: WriteTask,
}

async fn grant_by_store(shared: &Rc<Shared>, query: &GrantQuery) -> StoreGrant {
    let GrantQuery { program, claim, known, .. } = query;

    for _ in 0..MAX_WRITE_ATTEMPTS {
        let (now, limit) = (clock::now(), limit(shared));
        let proposal =
            shared.budgets.borrow_mut().propose_within(now, *program, *claim, &known.row, limit);
        let (row, version) = match proposal {
            Proposal::Write(row, version) => (row, version),
            Proposal::Spent => return StoreGrant::Decided(QueryReply::Spent),
            // While the store answers, a grant without it would use the share that is reserved for
            // an outage.
            Proposal::Withheld(doubt) if shared.store.is_fully_available() => {
                info!(program = %program.0, ?doubt, "budget: the rest is withheld");
                return StoreGrant::Decided(QueryReply::Withheld(doubt));
            }
            Proposal::Withheld(doubt) => {
                return StoreGrant::Unavailable(QueryReply::Withheld(doubt));
            }
        };

        match write_hedged(shared, *program, row.clone(), version).await {
            HedgedWrite::Done(Ok(WriteOutcome::Committed)) => {
                return StoreGrant::Decided(QueryReply::Written(row));
            }
            HedgedWrite::Done(Ok(WriteOutcome::Superseded)) => {}
            HedgedWrite::Done(_) => return StoreGrant::Unavailable(QueryReply::Refused),
            HedgedWrite::Overdue(writing) => {
                return StoreGrant::Overdue(OverdueWrite { row, writing });
            }
        }
    }

    StoreGrant::Unavailable(QueryReply::Refused)
}

/// Grants a turn's tokens without the store. Returns `None` if this host may not.
///
/// The host must reach a majority of the known hosts, so that at most one side of a network
/// partition grants. Isolated hosts do not grant even as a majority, because their grants would be
/// lost if all machines lost power. A process that the store has never answered does not grant,
/// because it has no earlier state. Nor does a process that restarted together with all others: it
/// does not know what was granted before, by the store or without it, to programs that are still
/// running.
async fn grant_without_store(shared: &Rc<Shared>, query: &GrantQuery) -> Option<QueryReply> {
    let GrantQuery { program, claim, known, .. } = query;
    let is_entitled = shared.fleet.reaches_majority() && !shared.is_isolated();
    if !shared.store.has_answered() || !is_entitled {
        return None;
    }
    if !shared.has_complete_history() {
        info!(program = %program.0, "budget: what was granted before all hosts started is not known");
        return None;
    }

    fetch_known_rows(shared, *program, ROW_REPLICAS).await;
    if !shared.budgets.borrow().has_grants(*program) {
        // After a rolling restart the next granters may have no state of the program. The host that
        // forwarded its last turn does.
        fetch_known_rows(shared, *program, MAX_HOSTS_QUERIED).await;
        if !shared.budgets.borrow().has_grants(*program) && !query.begins {
            info!(program = %program.0, "budget: no row is known for a running program");
            return None;
        }
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

/// Returns the share of each budget up to which this host may grant tokens by writes to the store.
pub(crate) fn limit(shared: &Shared) -> Limit {
    shares::limit(shared.fleet_view())
}

/// A row write that is in progress.
type WriteTask = JoinHandle<std::result::Result<WriteOutcome, Refusal>>;

/// The outcome of a row write that is awaited only for the hedging delay.
pub(crate) enum HedgedWrite {
    /// The write has ended.
    Done(std::result::Result<WriteOutcome, Refusal>),
    /// The write is still in progress. A grant that is made without the store meanwhile produces
    /// the same row, so nothing is granted twice.
    Overdue(WriteTask),
}

/// Writes a program's row, and waits for the outcome for at most the hedging delay.
pub(crate) async fn write_hedged(
    shared: &Rc<Shared>,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
) -> HedgedWrite {
    let mut writing = {
        let shared = Rc::clone(shared);
        tokio::task::spawn_local(async move { write_row(&shared, program, row, version).await })
    };

    match timeout(store::HEDGE_AFTER, &mut writing).await {
        Ok(written) => HedgedWrite::Done(written.unwrap_or_else(|_| Err(unknown_budget(shared)))),
        Err(_) => {
            shared.store.record_slow(clock::now());
            HedgedWrite::Overdue(writing)
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
                write_row(shared, program, row, version).await,
                Ok(WriteOutcome::StoreUnavailable)
            )
        });
        refused = join_all(writes).await.contains(&true);
        // The store would refuse the rest too, and each refusal counts against its rate limit.
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
