//! Granting tokens of a program while the store is slow, unavailable or unsettled, and replicating
//! those grants to other hosts.
//!
//! A grant that the store does not have yet is provisional. It is replicated to hosts of other
//! zones and written once the store accepts it.

use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::ids::HostId;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_policy::entry::budgets::{BudgetRow, KnownRow, ProgramKey, Proposal};
use camphorwalk_policy::entry::shares::{self, Doubt, Limit};
use camphorwalk_policy::entry::write_back::Round;
use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt as _};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tracing::info;

use crate::answer::Refusal;
use crate::asks::{self, Ask, GrantAsk, Reply};
use crate::budget::{MOST_WRITES, Written, lock, unsure, write};
use crate::call::Call;
use crate::host::Shared;
use crate::{clock, store};

/// How many hosts keep a copy of a program's row besides those that run the program. Two survive
/// the loss of one.
pub(crate) const WITNESSES: usize = 2;

/// To how many hosts of other zones a provisional grant is replicated. Half of a small fleet may be
/// killed before the store recovers.
const LOOSE_WITNESSES: usize = 4;

/// How many hosts are queried about a program that the next granters do not know: all of a small
/// fleet.
const MOST_ASKED: usize = 12;

/// How long a grant by another host may take: a round trip, and that host's attempts to write to a
/// store that is slow or has just stopped answering.
const GRANT_DEADLINE: Duration = Duration::from_millis(450);

/// How many writes of one grant are awaited beyond the hedging delay.
const MOST_OVERDUE: u32 = 2;

/// How long another host may take to send or store a row: several round trips, and less than what
/// remains of [`GRANT_TIMEOUT`].
const WITNESS_DEADLINE: Duration = Duration::from_millis(80);

/// How many rows are written concurrently after the store has recovered.
const WRITES_AT_ONCE: usize = 8;

/// Returns the live hosts in the order in which they grant a program's tokens while the store is
/// unavailable. Hosts without a complete grant history come last, since they may not grant.
fn grant_order(shared: &Shared, program: ProgramKey) -> Vec<HostId> {
    let own = shared.fleet.own();
    let remembers = |host: &HostId| match *host == own {
        true => shared.remembers(),
        false => shared.fleet.remembers(*host),
    };
    let (mut order, late): (Vec<_>, Vec<_>) =
        shared.fleet.order(program.0).into_iter().partition(remembers);
    order.extend(late);

    order
}

/// Sends a row that the store has accepted to the hosts that would grant if the store failed, which
/// need it at that moment. Also sends it to the replicas of provisional grants, so that they do not
/// write those grants again.
pub(crate) fn tell_stored(
    shared: &Shared,
    program: ProgramKey,
    row: &BudgetRow,
    version: RowVersion,
) {
    let mut hosts: Vec<_> = next_granters(shared, program).take(WITNESSES).collect();
    if shared.budgets.borrow().is_loose(program) {
        hosts.extend(loose_witnesses(shared, program));
        hosts.sort_unstable();
        hosts.dedup();
    }

    for host in hosts {
        asks::tell(shared, host, &Ask::Stored(program, row.clone(), version));
    }
}

/// Returns the hosts of other zones that hold copies of a program's provisional grants.
fn loose_witnesses(shared: &Shared, program: ProgramKey) -> Vec<HostId> {
    shared.fleet.witnesses(program.0).into_iter().take(LOOSE_WITNESSES).collect()
}

/// The outcome of a grant request.
pub(crate) enum Granted {
    /// The row now includes the turn's tokens.
    Tokens,
    /// The rest of the budget may have been granted without the store.
    Withheld(Doubt),
    /// The budget does not have enough tokens left, according to the known rows.
    Nothing,
}

/// Requests a turn's tokens from the one host that grants a program's tokens while the store is
/// unsettled.
///
/// Hosts may disagree about the store: it may be slow, or answer only some of them. If each decided
/// alone, one could write a grant to the store while another grants the same tokens without it.
pub(crate) async fn ask_for_grant(
    call: &Call,
    program: ProgramKey,
    budget: u64,
    most: u64,
) -> Result<Granted, Refusal> {
    let shared = &call.shared;
    let empty = BudgetRow { budget, ..BudgetRow::default() };
    let known = shared.budgets.borrow().known(program);
    let known = known.unwrap_or(KnownRow { row: empty, stored: 0 });
    let begins = call.may_be_first();
    let claim = shared.budgets.borrow().claim(program, most);
    let ask = GrantAsk { program, claim, known, begins };
    let order = grant_order(shared, program);
    let host = order.first().copied().ok_or_else(|| unsure(shared))?;
    let reply = match host == shared.fleet.own() {
        true => Some(grant(shared, &ask).await),
        false => asks::ask(shared, host, &Ask::Grant(ask), GRANT_DEADLINE).await,
    };

    match reply {
        Some(Reply::Written(row)) => {
            shared.budgets.borrow_mut().learn_written(clock::now(), program, &row);
            Ok(Granted::Tokens)
        }
        Some(Reply::Granted(row)) => {
            info!(
                request = %call.head.request_id, program = %program.0, host = host.0,
                "budget: granted without the store"
            );
            shared.budgets.borrow_mut().learn_loose(clock::now(), program, &row);
            Ok(Granted::Tokens)
        }
        Some(Reply::Withheld(doubt)) => Ok(Granted::Withheld(doubt)),
        Some(Reply::Spent) => Ok(Granted::Nothing),
        _ => Err(unsure(shared)),
    }
}

/// Handles a grant request of another host. Requests for the same program run one at a time.
pub(crate) async fn grant_for_peer(shared: &Rc<Shared>, ask: &GrantAsk) -> Reply {
    let lock = lock(shared, ask.program);
    let _turn = lock.lock().await;

    grant(shared, ask).await
}

/// Grants a turn's tokens: by a write to the store if the program's part of it answers, and
/// provisionally otherwise.
async fn grant(shared: &Rc<Shared>, ask: &GrantAsk) -> Reply {
    shared.budgets.borrow_mut().note_known(clock::now(), ask.program, &ask.known);

    for _ in 0..MOST_OVERDUE {
        let overdue = match grant_by_store(shared, ask).await {
            ByStore::Decided(reply) => return reply,
            ByStore::Overdue(overdue) => overdue,
            ByStore::Away(otherwise) => {
                return grant_without_store(shared, ask).await.unwrap_or(otherwise);
            }
        };
        match grant_without_store(shared, ask).await {
            Some(reply) => return reply,
            // The write may still succeed, or may have conflicted with another one.
            None => match timeout(GRANT_DEADLINE, overdue.writing).await {
                Ok(Ok(Ok(Written::Committed))) => return Reply::Written(overdue.row),
                Ok(Ok(Ok(Written::Learned))) => {}
                _ => return Reply::Refused,
            },
        }
    }

    Reply::Refused
}

/// The outcome of a grant by a write to the store.
enum ByStore {
    /// The final reply to the requesting host.
    Decided(Reply),
    /// The store has not answered in time.
    Overdue(Overdue),
    /// The store is unavailable. The reply applies if no provisional grant is made either.
    Away(Reply),
}

/// A row whose write the store has not answered yet.
struct Overdue {
    row: BudgetRow,
    writing: Writing,
}

async fn grant_by_store(shared: &Rc<Shared>, ask: &GrantAsk) -> ByStore {
    let GrantAsk { program, claim, known, .. } = ask;

    for _ in 0..MOST_WRITES {
        let (now, limit) = (clock::now(), limit(shared));
        let proposal =
            shared.budgets.borrow_mut().propose_within(now, *program, *claim, &known.row, limit);
        let (row, version) = match proposal {
            Proposal::Write(row, version) => (row, version),
            Proposal::Spent => return ByStore::Decided(Reply::Spent),
            // While the store answers, a provisional grant would use the share that is reserved for
            // an outage.
            Proposal::Withheld(doubt) if shared.store.answers_whole() => {
                info!(program = %program.0, ?doubt, "budget: the rest is withheld");
                return ByStore::Decided(Reply::Withheld(doubt));
            }
            Proposal::Withheld(doubt) => return ByStore::Away(Reply::Withheld(doubt)),
        };

        match write_hedged(shared, *program, row.clone(), version).await {
            Hedged::Done(Ok(Written::Committed)) => return ByStore::Decided(Reply::Written(row)),
            Hedged::Done(Ok(Written::Learned)) => {}
            Hedged::Done(_) => return ByStore::Away(Reply::Refused),
            Hedged::Overdue(writing) => return ByStore::Overdue(Overdue { row, writing }),
        }
    }

    ByStore::Away(Reply::Refused)
}

/// Grants a turn's tokens provisionally. Returns `None` if this host may not.
///
/// The host must reach a majority, so that at most one side of a network partition grants. Hosts
/// that are cut off together with their zone do not grant even as a majority, because their grants
/// would be lost if all machines lost power. A process that the store has never answered has no
/// earlier state. A process that restarted together with all others does not know what was granted
/// before, by the store or provisionally, to programs that are still running.
async fn grant_without_store(shared: &Rc<Shared>, ask: &GrantAsk) -> Option<Reply> {
    let GrantAsk { program, claim, known, .. } = ask;
    let is_entitled = shared.fleet.is_majority() && !shared.is_isolated();
    if !shared.store.has_answered() || !is_entitled {
        return None;
    }
    if !shared.remembers() {
        info!(program = %program.0, "budget: what was granted before all hosts started is not known");
        return None;
    }

    learn_from(shared, *program, WITNESSES).await;
    if !shared.budgets.borrow().knows(*program) {
        // After a rolling restart the next granters may have no state of the program. The host that
        // ran it does.
        learn_from(shared, *program, MOST_ASKED).await;
        if !shared.budgets.borrow().knows(*program) && !ask.begins {
            info!(program = %program.0, "budget: the row of a program under way is not known");
            return None;
        }
    }
    let granted =
        shared.budgets.borrow_mut().grant_claim(clock::now(), *program, *claim, &known.row);
    match granted {
        Some(row) if has_witness(shared, *program, &row).await => {
            shared.metrics.loose_grants.inc();
            Some(Reply::Granted(row))
        }
        Some(_) => {
            info!(program = %program.0, "budget: no host of another zone took note of a grant");
            None
        }
        None if shared.budgets.borrow().is_spent(*program, claim.missing) => Some(Reply::Spent),
        None => {
            info!(program = %program.0, "budget: the share without the store is granted");
            Some(Reply::Withheld(Doubt::Unsettled))
        }
    }
}

/// Returns which share of budgets this host may have granted by the store.
pub(crate) fn limit(shared: &Shared) -> Limit {
    shares::limit(shared.budget_surroundings())
}

/// A row write that is in progress.
type Writing = JoinHandle<std::result::Result<Written, Refusal>>;

/// The outcome of a row write that is awaited only for the hedging delay.
pub(crate) enum Hedged {
    /// The write has ended.
    Done(std::result::Result<Written, Refusal>),
    /// The write is still in progress. A provisional grant made meanwhile produces the same row, so
    /// nothing is granted twice.
    Overdue(Writing),
}

/// Writes a program's row, and waits for the outcome for at most the hedging delay.
pub(crate) async fn write_hedged(
    shared: &Rc<Shared>,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
) -> Hedged {
    let mut writing = {
        let shared = Rc::clone(shared);
        tokio::task::spawn_local(async move { write(&shared, program, row, version).await })
    };

    match timeout(store::HEDGE_AFTER, &mut writing).await {
        Ok(written) => Hedged::Done(written.unwrap_or_else(|_| Err(unsure(shared)))),
        Err(_) => {
            shared.store.note_slow(clock::now());
            Hedged::Overdue(writing)
        }
    }
}

/// Replicates a row with provisional grants to the next granters and to hosts of other zones.
/// Returns whether a host of another zone has acknowledged it.
///
/// For most of a second after a partition begins, a zone that is being cut off still believes it
/// belongs to the majority. Its grants would be lost if all machines lost power. In that time no
/// other zone acknowledges the grant, so its tokens are not spent.
async fn has_witness(shared: &Shared, program: ProgramKey, row: &BudgetRow) -> bool {
    let stored = shared.budgets.borrow().known(program).map_or(0, |known| known.stored);
    let ask = Ask::Loose(program, KnownRow { row: row.clone(), stored });
    let elsewhere = loose_witnesses(shared, program);
    let next = next_granters(shared, program).take(WITNESSES);
    for host in next.filter(|host| !elsewhere.contains(host)) {
        asks::tell(shared, host, &ask);
    }

    let replies = elsewhere.iter().map(|host| asks::ask(shared, *host, &ask, WITNESS_DEADLINE));
    let mut replies: FuturesUnordered<_> = replies.collect();
    while let Some(reply) = replies.next().await {
        if matches!(reply, Some(Reply::Done)) {
            return true;
        }
    }

    false
}

/// Returns the other hosts in the order in which they grant a program's tokens without the store.
fn next_granters(shared: &Shared, program: ProgramKey) -> impl Iterator<Item = HostId> {
    let own = shared.fleet.own();

    grant_order(shared, program).into_iter().filter(move |host| *host != own)
}

/// Fetches a program's row from the next `count` granters and merges it.
///
/// A host that is new, or was unreachable for a while, may become the first granter although others
/// have granted in the meantime. The host that granted is next in the order, or has replicated the
/// row to the hosts that are.
pub(crate) async fn learn_from(shared: &Shared, program: ProgramKey, count: usize) {
    let ask = Ask::KnownRow(program);
    let hosts = next_granters(shared, program).take(count);
    let replies = join_all(hosts.map(|host| asks::ask(shared, host, &ask, WITNESS_DEADLINE))).await;

    for reply in replies.into_iter().flatten() {
        if let Reply::Known(known) = reply {
            shared.budgets.borrow_mut().note_known(clock::now(), program, &known);
        }
    }
}

/// Merges a row that the store holds.
pub(crate) fn take_stored(
    shared: &Shared,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
) -> Reply {
    shared.budgets.borrow_mut().learn(clock::now(), program, row, version);

    Reply::Done
}

/// Records provisional grants of another host. This host writes them if the host that spends them
/// does not, which may be cut off from now on.
pub(crate) fn take_loose(shared: &Shared, program: ProgramKey, known: &KnownRow) -> Reply {
    let mut budgets = shared.budgets.borrow_mut();
    budgets.witness(clock::now(), program, &known.row);
    budgets.note_known(clock::now(), program, known);

    Reply::Done
}

/// Writes up to `max_writes` rows with provisional grants: those to this host at once, and those to
/// other hosts if they have not been written after a while. A row whose write fails or conflicts is
/// tried again in the next round.
pub(crate) async fn write_loose(shared: &Rc<Shared>, most: usize) -> Round {
    let mut loose = shared.budgets.borrow().loose(clock::now(), |run| shared.hears_run(run));
    if loose.is_empty() {
        return Round::Nothing;
    }

    let due = loose.len();
    loose.truncate(most);
    let mut refused = false;
    for round in loose.chunks(WRITES_AT_ONCE) {
        let writes = round.iter().cloned().map(|(program, row, version)| async move {
            matches!(write(shared, program, row, version).await, Ok(Written::Away))
        });
        refused = join_all(writes).await.contains(&true);
        // The store would refuse the rest too, and each refusal counts against its rate limit.
        if refused {
            break;
        }
    }
    info!(due, most, refused, "budget: grants made without the store are written");

    match refused {
        true => Round::Refused,
        false if due > most => Round::Part,
        false => Round::All,
    }
}
