//! Granting tokens during an outage, following `camphorwalk-entry`.

use std::time::Duration;

use camphorwalk_core::platform::RowVersion;
use camphorwalk_policy::entry::budgets::{BudgetRow, KnownRow, ProgramKey, Proposal};
use camphorwalk_policy::entry::grant_leases::Consent;
use camphorwalk_policy::entry::shares::{Doubt, Limit};

use crate::asks::{self, GrantQuery, Query, QueryReply};
use crate::budget::{MAX_WRITES, Written, read, write};
use crate::host::Shared;
use crate::sim::{Slot, join_all};
use crate::world::{MAX_TOKENS, partition_of};

pub const REPLICAS: usize = 2;
const UNSTORED_REPLICAS: usize = 4;
const MAX_QUERIED: usize = 12;
const MAX_OVERDUE: u32 = 2;
const GRANT_DEADLINE: Duration = Duration::from_millis(450);
const REPLICA_DEADLINE: Duration = Duration::from_millis(80);
const CONSENT_DEADLINE: Duration = Duration::from_millis(150);
const HEDGE_AFTER: Duration = Duration::from_millis(60);

pub enum Granted {
    Tokens,
    Withheld(Doubt),
    Nothing,
    Unsure,
}

pub fn notify_stored(shared: &Shared, program: ProgramKey, row: &BudgetRow, version: RowVersion) {
    let mut hosts: Vec<_> = shared.next_granters(program).take(REPLICAS).collect();
    if shared.host.budgets.borrow().has_unstored_grants(program) {
        hosts.extend(shared.other_zone_hosts(program).into_iter().take(UNSTORED_REPLICAS));
        hosts.sort_unstable();
        hosts.dedup();
    }

    for host in hosts {
        asks::notify(shared, host, Query::Stored(program, row.clone(), version));
    }
}

pub async fn request_grant(
    shared: &Shared,
    program: ProgramKey,
    budget: u64,
    begins: bool,
) -> Granted {
    let empty = BudgetRow { budget, ..BudgetRow::default() };
    let budgets = &shared.host.budgets;
    let known = budgets.borrow().known_row(program);
    let known = known.unwrap_or(KnownRow { row: empty, stored: 0 });
    let claim = budgets.borrow().claim(program, MAX_TOKENS);
    let query = GrantQuery { program, claim, known, begins };
    let Some(host) = shared.order(program).first().copied() else { return Granted::Unsure };
    let reply = match host == shared.host.name {
        true => Some(grant(shared, &query).await),
        false => asks::query(shared, host, Query::Grant(query), GRANT_DEADLINE).await,
    };

    match reply {
        Some(QueryReply::Written(row)) => {
            budgets.borrow_mut().accept_stored_grant(shared.now(), program, &row);
            Granted::Tokens
        }
        Some(QueryReply::Granted(row)) => {
            budgets.borrow_mut().accept_unstored_grant(shared.now(), program, &row);
            Granted::Tokens
        }
        Some(QueryReply::Withheld(doubt)) => Granted::Withheld(doubt),
        Some(QueryReply::Spent) => Granted::Nothing,
        _ => Granted::Unsure,
    }
}

/// Stops grants of a program's tokens without the store, if this host holds the lease. Returns the
/// row as this host knows it, and the version of the lease row under which the store may grant the
/// whole budget.
pub fn consent(
    shared: &Shared,
    program: ProgramKey,
    known: &KnownRow,
) -> Result<(KnownRow, RowVersion), Doubt> {
    let version = lease_for_consent(shared, program)?;
    let closed = shared.host.budgets.borrow_mut().close_for_outages(shared.now(), program, known);

    closed.map(|known| (known, version)).ok_or(Doubt::Forgotten)
}

/// Returns the version of the lease row under which this host can consent to grants of a program's
/// whole budget by the store.
fn lease_for_consent(shared: &Shared, program: ProgramKey) -> Result<RowVersion, Doubt> {
    match shared.host.leases.borrow().consent(partition_of(program)) {
        Consent::Given(_) if shared.host.budgets.borrow().is_quarantined(program) => {
            Err(Doubt::Forgotten)
        }
        Consent::Given(version) => Ok(version),
        Consent::Quarantined => Err(Doubt::Forgotten),
        Consent::NotHolder => Err(Doubt::Unsettled),
    }
}

/// Asks the holder of a program's lease for its consent, and merges the holder's row. Returns the
/// version of the lease row.
pub async fn request_consent(
    shared: &Shared,
    program: ProgramKey,
    budget: u64,
) -> Result<RowVersion, Doubt> {
    let empty = BudgetRow { budget, ..BudgetRow::default() };
    let known = shared.host.budgets.borrow().known_row(program);
    let known = known.unwrap_or(KnownRow { row: empty, stored: 0 });
    let Some(host) = shared.lease_holder(program) else { return Err(Doubt::Unsettled) };
    if host == shared.host.name {
        return consent(shared, program, &known).map(|(_, version)| version);
    }

    match asks::query(shared, host, Query::Consent(program, known), CONSENT_DEADLINE).await {
        Some(QueryReply::Consented(known, version)) => {
            shared.host.budgets.borrow_mut().merge_known_row(shared.now(), program, &known);
            Ok(version)
        }
        Some(QueryReply::Withheld(doubt)) => Err(doubt),
        _ => Err(Doubt::Unsettled),
    }
}

/// Grants a turn's tokens through the store if it answers, and otherwise without it.
pub async fn grant(shared: &Shared, query: &GrantQuery) -> QueryReply {
    shared.host.budgets.borrow_mut().merge_known_row(shared.now(), query.program, &query.known);

    for _ in 0..MAX_OVERDUE {
        let (row, writing) = match grant_by_store(shared, query).await {
            ByStore::Decided(reply) => return reply,
            ByStore::Overdue(row, writing) => (row, writing),
            ByStore::Unavailable(otherwise) => {
                return grant_without_store(shared, query).await.unwrap_or(otherwise);
            }
        };
        let otherwise = match grant_without_store(shared, query).await {
            Some(reply @ QueryReply::Granted(_)) => return reply,
            reply => reply.unwrap_or(QueryReply::Refused),
        };
        match shared.world.sim.timeout(GRANT_DEADLINE, writing.get()).await {
            Some(Written::Committed) => return QueryReply::Written(row),
            Some(Written::Merged | Written::LeaseChanged) => {}
            _ => return otherwise,
        }
    }

    QueryReply::Refused
}

enum ByStore {
    Decided(QueryReply),
    Overdue(BudgetRow, Slot<Written>),
    /// The store is unavailable. Holds the reply to use if nothing can be granted without it.
    Unavailable(QueryReply),
}

async fn grant_by_store(shared: &Shared, query: &GrantQuery) -> ByStore {
    let GrantQuery { program, claim, known, .. } = query;

    for _ in 0..MAX_WRITES {
        let propose = |limit| {
            let mut budgets = shared.host.budgets.borrow_mut();
            budgets.propose_within(shared.now(), *program, *claim, &known.row, limit)
        };
        let mut lease = None;
        let mut proposal = propose(Limit::Share(Doubt::Unsettled));
        if let Proposal::Withheld(_) = proposal {
            if let Err(doubt) = lease_for_consent(shared, *program) {
                return ByStore::Decided(QueryReply::Withheld(doubt));
            }
            match read_hedged(shared, *program).await {
                Hedged::Done(Written::Merged) => {}
                Hedged::Done(_) => {
                    return ByStore::Unavailable(QueryReply::Withheld(Doubt::Unsettled));
                }
                Hedged::Overdue(reading) => return ByStore::Overdue(known.row.clone(), reading),
            }
            match consent(shared, *program, known) {
                Ok((_, version)) => lease = Some(version),
                Err(doubt) => return ByStore::Decided(QueryReply::Withheld(doubt)),
            }
            proposal = propose(Limit::Whole);
        }
        let (row, version) = match proposal {
            Proposal::Write(row, version) => (row, version),
            Proposal::Spent => return ByStore::Decided(QueryReply::Spent),
            Proposal::Withheld(doubt) => return ByStore::Unavailable(QueryReply::Withheld(doubt)),
        };

        match write_hedged(shared, *program, row.clone(), version, lease).await {
            Hedged::Done(Written::Committed) => return ByStore::Decided(QueryReply::Written(row)),
            Hedged::Done(Written::Merged) => {}
            Hedged::Done(_) => return ByStore::Unavailable(QueryReply::Refused),
            Hedged::Overdue(writing) => return ByStore::Overdue(row, writing),
        }
    }

    ByStore::Unavailable(QueryReply::Refused)
}

async fn grant_without_store(shared: &Shared, query: &GrantQuery) -> Option<QueryReply> {
    let GrantQuery { program, claim, known, begins } = query;
    let budgets = &shared.host.budgets;
    if shared.is_isolated() || !shared.may_grant(*program) {
        return None;
    }

    query_known_rows(shared, *program, REPLICAS).await;
    if !budgets.borrow().has_grants(*program) {
        query_known_rows(shared, *program, MAX_QUERIED).await;
        if !budgets.borrow().has_grants(*program) && !begins {
            return None;
        }
    }
    if !shared.may_grant(*program) {
        return None;
    }
    let granted =
        budgets.borrow_mut().grant_without_store(shared.now(), *program, *claim, &known.row);
    match granted {
        Some(row) if is_acknowledged(shared, *program, &row).await => {
            Some(QueryReply::Granted(row))
        }
        Some(_) => None,
        None if budgets.borrow().is_spent(*program, claim.missing) => Some(QueryReply::Spent),
        None => Some(QueryReply::Withheld(Doubt::Unsettled)),
    }
}

pub enum Hedged {
    Done(Written),
    /// The operation is still in flight.
    Overdue(Slot<Written>),
}

/// Waits for an overdue operation, if there is one. Returns whether the store has answered it.
pub async fn is_answered(shared: &Shared, operation: Option<Slot<Written>>) -> bool {
    let Some(operation) = operation else { return false };

    matches!(
        shared.world.sim.timeout(GRANT_DEADLINE, operation.get()).await,
        Some(Written::Committed | Written::Merged | Written::LeaseChanged)
    )
}

/// Writes a row and waits a short time for the result.
pub async fn write_hedged(
    shared: &Shared,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
    lease: Option<RowVersion>,
) -> Hedged {
    let writing = shared.clone();

    hedge(shared, async move { write(&writing, program, row, version, lease).await }).await
}

/// Reads a program's row and waits a short time for the result.
async fn read_hedged(shared: &Shared, program: ProgramKey) -> Hedged {
    let reading = shared.clone();

    hedge(shared, async move { read(&reading, program).await }).await
}

async fn hedge(shared: &Shared, operation: impl Future<Output = Written> + 'static) -> Hedged {
    let result = Slot::new(&shared.world.sim);
    let done = result.clone();
    shared.spawn(async move { done.put(operation.await) });

    match shared.world.sim.timeout(HEDGE_AFTER, result.get()).await {
        Some(written) => Hedged::Done(written),
        None => {
            shared.record_slow();
            Hedged::Overdue(result)
        }
    }
}

async fn is_acknowledged(shared: &Shared, program: ProgramKey, row: &BudgetRow) -> bool {
    let stored = shared.host.budgets.borrow().known_row(program).map_or(0, |known| known.stored);
    let query = Query::Unstored(program, KnownRow { row: row.clone(), stored });
    let replicas: Vec<_> =
        shared.other_zone_hosts(program).into_iter().take(UNSTORED_REPLICAS).collect();
    let next = shared.next_granters(program).take(REPLICAS);
    for host in next.filter(|host| !replicas.contains(host)) {
        asks::notify(shared, host, query.clone());
    }

    // One acknowledgement is enough, but all of these hosts are queried.
    let first = Slot::new(&shared.world.sim);
    for host in replicas {
        let (requester, query, first) = (shared.clone(), query.clone(), first.clone());
        shared.spawn(async move {
            if let Some(QueryReply::Done) =
                asks::query(&requester, host, query, REPLICA_DEADLINE).await
            {
                first.put(());
            }
        });
    }
    shared.world.sim.timeout(REPLICA_DEADLINE, first.get()).await.is_some()
}

/// Merges what the next `count` hosts in the order of granting know of the row.
pub async fn query_known_rows(shared: &Shared, program: ProgramKey, count: usize) {
    let hosts: Vec<_> = shared.next_granters(program).take(count).collect();
    let queries = hosts
        .into_iter()
        .map(|host| asks::query(shared, host, Query::KnownRow(program), REPLICA_DEADLINE));
    let replies = join_all(queries).await;

    for reply in replies.into_iter().flatten() {
        if let QueryReply::Known(known) = reply {
            shared.host.budgets.borrow_mut().merge_known_row(shared.now(), program, &known);
        }
    }
}

/// Writes the rows that are due, among them those with unstored grants.
pub async fn write_unstored(shared: &Shared) {
    let rows =
        shared.host.budgets.borrow().rows_to_write(shared.now(), |run| shared.is_run_live(run));
    let writes =
        rows.into_iter().map(|(program, row, version)| write(shared, program, row, version, None));

    join_all(writes).await;
}
