//! Acquiring, reading and releasing the leases on grants without the store (see
//! `camphorwalk_policy::entry::grant_leases`).

use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::hash::rendezvous;
use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, Row, RowKey, RowVersion, Transaction, Write,
};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::budgets::{BudgetRow, ProgramKey};
use camphorwalk_policy::entry::grant_leases::{
    Claim, Holder, HolderState, LeaseRow, Partition, Succession, holder_state, quarantine_time,
};
use camphorwalk_policy::entry::turns::PARTS;
use camphorwalk_policy::entry::write_throttle::Priority;
use futures::future::{join, join_all};
use futures::stream::{self, StreamExt as _};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use crate::host::Shared;
use crate::{budget, clock, fleet, retention, store};

/// The table of leases. The row of a partition's lease lies in the same part of the store as the
/// partition's budgets, so that one transaction can check the lease and write a budget.
pub(crate) const TABLE: &str = "grant-leases";

/// The key of a lease's row within its part.
const KEY: &str = "lease";

/// How often a host looks for vacant leases.
const CLAIM_PERIOD: Duration = Duration::from_millis(500);

/// How long a host waits after its start until it acquires leases. By then it has received the
/// status updates of the other hosts, which report the leases that they hold.
const START_DELAY: Duration = Duration::from_secs(1);

/// How many leases are acquired, read or released concurrently.
const CONCURRENT_OPERATIONS: usize = 8;

/// The number of budget rows that are read with one operation.
const ROWS_PER_READ: u32 = 500;

/// Programs that ran within this time may still be running.
const RUNNING_WITHIN: Duration = Duration::from_secs(10);

/// Returns the number of partitions: one for each part of the table of budgets.
fn partition_count() -> u16 {
    u16::try_from(PARTS).unwrap_or(u16::MAX)
}

/// Returns the partition whose lease covers a program.
pub(crate) fn partition_of(program: ProgramKey) -> Partition {
    Partition::of(program, partition_count())
}

/// Returns the key of a lease's row.
pub(crate) fn row_key(partition: Partition) -> RowKey {
    RowKey::new(TABLE, format!("{:x}/{KEY}", partition.0))
}

/// Starts the task that acquires vacant leases.
pub(crate) fn start(shared: &Rc<Shared>) {
    let shared = Rc::clone(shared);

    tokio::task::spawn_local(async move {
        sleep(START_DELAY).await;
        loop {
            claim_vacant(&shared).await;
            read_due(&shared).await;
            sleep(CLAIM_PERIOD).await;
        }
    });
}

/// Acquires the leases that this host should hold and that are vacant.
async fn claim_vacant(shared: &Rc<Shared>) {
    let claims = {
        let held_elsewhere = shared.fleet.leases_held_elsewhere();
        let hosts: Vec<_> = shared.fleet.lease_claimants().into_iter().map(|h| h.0).collect();
        let own = shared.fleet.own_id().0;
        let is_first = |partition: Partition| {
            rendezvous(u64::from(partition.0), hosts.iter().copied()) == Some(own)
        };
        shared.grant_leases.borrow_mut().claims(
            clock::now(),
            (0..partition_count()).map(Partition),
            |partition| held_elsewhere.contains(partition),
            is_first,
            |holder, at| state_of(shared, holder, at),
        )
    };

    let any_read = claims.iter().any(|(_, claim)| *claim == Claim::Read);
    for claims in claims.chunks(CONCURRENT_OPERATIONS) {
        join_all(claims.iter().cloned().map(|(p, claim)| carry_out(shared, p, claim))).await;
    }
    // Only a host row that was read after a lease row can show that the holder has ended.
    if any_read {
        fleet::refresh_host_rows(shared).await;
    }
}

fn state_of(shared: &Shared, holder: &Holder, lease_read_at: Instant) -> HolderState {
    holder_state(holder, lease_read_at, shared.fleet.host_seen(&holder.host))
}

async fn carry_out(shared: &Rc<Shared>, partition: Partition, claim: Claim) {
    match claim {
        Claim::Read => {
            if let Some(Claim::Write(row, version, succession)) = read(shared, partition).await {
                write(shared, partition, row, version, succession).await;
            }
        }
        Claim::Write(row, version, succession) => {
            write(shared, partition, row, version, succession).await;
        }
    }
}

/// Reads the row of a lease, and returns what to do next.
async fn read(shared: &Rc<Shared>, partition: Partition) -> Option<Claim> {
    let began = clock::now();
    let op = PlatformOp::Read(vec![row_key(partition)]);
    let PlatformReply::Rows(rows) = store::run(shared, op).await else { return None };
    let row = match rows.first() {
        Some(row) => Some((parse(row)?, row.version)),
        None => None,
    };

    shared.grant_leases.borrow_mut().record_row(
        began,
        clock::now(),
        partition,
        row,
        |holder, at| state_of(shared, holder, at),
    )
}

fn parse(row: &Row) -> Option<LeaseRow> {
    serde_json::from_str(&row.value)
        .inspect_err(|e| warn!(key = %row.key.key, error = %e, "lease: row cannot be parsed"))
        .ok()
}

/// Writes the row of a lease that this host acquires. If the answer is lost, the row is read again.
async fn write(
    shared: &Rc<Shared>,
    partition: Partition,
    row: LeaseRow,
    version: RowVersion,
    succession: Succession,
) {
    let reply = commit(shared, partition, &row, version).await;

    let mut leases = shared.grant_leases.borrow_mut();
    match reply {
        PlatformReply::Committed(version) => {
            let quarantine = quarantine_time(retention::program_retention(shared));
            leases.record_acquired(clock::now(), partition, version, succession, quarantine);
            info!(partition = partition.0, version = version.0, ?succession, "lease: acquired");
        }
        PlatformReply::Conflict(_) => {
            leases.record_conflict(partition);
            info!(partition = partition.0, version = version.0, "lease: held by another host");
        }
        reply => info!(partition = partition.0, ?reply, "lease: not acquired"),
    }
}

async fn commit(
    shared: &Rc<Shared>,
    partition: Partition,
    row: &LeaseRow,
    version: RowVersion,
) -> PlatformReply {
    let key = row_key(partition);
    let value = match serde_json::to_string(row) {
        Ok(text) => Some(text.into()),
        Err(e) => {
            warn!(partition = partition.0, error = %e, "lease: row cannot be serialized");
            return PlatformReply::Unavailable;
        }
    };
    let tx = Transaction {
        checks: vec![Check { key: key.clone(), version }],
        writes: vec![Write { key, value }],
    };

    store::run(shared, PlatformOp::Commit(tx)).await
}

/// Reads the budget rows of the partitions whose leases require that.
async fn read_due(shared: &Rc<Shared>) {
    let due = shared.grant_leases.borrow().partitions_to_read(clock::now());

    for partitions in due.chunks(CONCURRENT_OPERATIONS) {
        join_all(partitions.iter().map(|partition| read_partition(shared, *partition))).await;
    }
}

async fn read_partition(shared: &Rc<Shared>, partition: Partition) {
    let began = clock::now();
    let Some(rows) = scan(shared, partition).await else { return };
    let Some(succession) = shared.grant_leases.borrow_mut().record_read(began, partition) else {
        return;
    };

    let count = rows.len();
    shared.budgets.borrow_mut().merge_partition_rows(clock::now(), rows, succession);
    info!(partition = partition.0, rows = count, ?succession, "lease: budgets read");
}

/// Reads all budget rows of a partition. Returns `None` if the store does not answer.
async fn scan(
    shared: &Rc<Shared>,
    partition: Partition,
) -> Option<Vec<(ProgramKey, BudgetRow, RowVersion)>> {
    let mut all = Vec::new();
    let mut after: Box<str> = "".into();

    loop {
        let op = PlatformOp::Scan {
            table: budget::TABLE.into(),
            prefix: format!("{:x}/", partition.0).into(),
            after,
            limit: ROWS_PER_READ,
        };
        let PlatformReply::Rows(rows) = store::run(shared, op).await else { return None };
        let Some(last) = rows.last() else { return Some(all) };
        after = last.key.key.clone();
        all.extend(rows.iter().filter_map(budget::parse_row));
    }
}

/// Releases the leases of this host, which shuts down, so that their next holders need not keep
/// them in quarantine. Also gives unused tokens of running programs back to their budgets. Takes no
/// longer than `limit`.
pub(crate) async fn release(shared: &Rc<Shared>, limit: Duration) {
    let leases = shared.grant_leases.borrow_mut().give_up_all(|partition| {
        let budgets = shared.budgets.borrow();
        budgets.is_partition_settled(|program| partition_of(program) == partition)
    });
    let unused = shared.budgets.borrow_mut().return_all_unused(clock::now(), RUNNING_WITHIN);
    let (lease_count, budget_count) = (leases.len(), unused.len());
    let released = LeaseRow { holder: None };
    let releases = stream::iter(leases).for_each_concurrent(
        CONCURRENT_OPERATIONS,
        async |(partition, version)| {
            let reply = commit(shared, partition, &released, version).await;
            if !matches!(reply, PlatformReply::Committed(_)) {
                info!(partition = partition.0, ?reply, "lease: not released");
            }
        },
    );
    let returns = stream::iter(unused).for_each_concurrent(
        CONCURRENT_OPERATIONS,
        async |(program, row, version)| {
            // If the row is not written, the tokens stay with this process and are lost.
            if budget::write_row(shared, program, row, version, None, Priority::Normal)
                .await
                .is_err()
            {
                info!(program = %program.0, "budget: unused tokens not returned");
            }
        },
    );

    let is_finished = timeout(limit, join(releases, returns)).await.is_ok();
    info!(leases = lease_count, budgets = budget_count, is_finished, "lease: released");
}
