//! Who grants a program's tokens in times of trouble, and who knows of it.

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
use crate::asks::{self, Ask, GrantAsk, Reply};
use crate::budget::{MOST_WRITES, Written, lock, unsure, write};
use crate::call::Call;
use crate::host::Shared;
use crate::{clock, store};

/// How many hosts know a program's row besides those that run it. Two survive one loss.
pub(crate) const WITNESSES: usize = 2;

/// How many hosts of other zones are told of a grant that the store does not have, so that half of
/// a small fleet may be killed before the store is back.
const LOOSE_WITNESSES: usize = 4;

/// How many hosts are asked for a program that those next in the order do not know: all of a small
/// fleet.
const MOST_ASKED: usize = 12;

/// How long a grant by another host may take: the way there and back, and its tries to write it to
/// a store that is slow or has just fallen silent.
const GRANT_DEADLINE: Duration = Duration::from_millis(450);

/// How many writes of a grant are waited for longer than usual.
const MOST_OVERDUE: u32 = 2;

/// How long a host of another zone may take to take note of a grant: some times the way there
/// and back, and less than what is left of the time for the grant.
const WITNESS_DEADLINE: Duration = Duration::from_millis(80);

/// How many rows are written at the same time after the store's return.
const WRITES_AT_ONCE: usize = 8;

/// Returns the hosts that are heard, in the order in which they grant a program's tokens while
/// the store is away. Those that may not, since they began too late to know, come last.
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

/// Tells the hosts that would grant in the store's place how a program's row stands in it. They
/// need it the moment that the store is away. Those that took note of a grant made without the
/// store need not write it any more.
pub(crate) fn tell_stored(
    shared: &Shared,
    program: ProgramKey,
    row: &BudgetRow,
    version: RowVersion,
) {
    let mut hosts: Vec<_> = next_granters(shared, program).take(WITNESSES).collect();
    if shared.budgets.borrow().has_unstored_grants(program) {
        hosts.extend(loose_witnesses(shared, program));
        hosts.sort_unstable();
        hosts.dedup();
    }

    for host in hosts {
        asks::tell(shared, host, &Ask::Stored(program, row.clone(), version));
    }
}

/// Returns the hosts of other zones that take note of a program's grants without the store.
fn loose_witnesses(shared: &Shared, program: ProgramKey) -> Vec<HostId> {
    shared.fleet.witnesses(program.0).into_iter().take(LOOSE_WITNESSES).collect()
}

/// What came of asking for a grant.
pub(crate) enum Granted {
    /// The row holds the turn's tokens.
    Tokens,
    /// The rest of the budget may be granted without the store.
    Withheld(Doubt),
    /// The budget does not hold them, as the rows stand.
    Nothing,
}

/// Asks for a turn's tokens at the one host that grants a program's tokens in times of trouble.
///
/// Beliefs about the store differ: it may be slow, or answer some hosts. If each host then decided
/// for itself, one would write a grant while another is granted the same tokens without the store.
pub(crate) async fn ask_for_grant(
    call: &Call,
    program: ProgramKey,
    budget: u64,
    most: u64,
) -> Result<Granted, Refusal> {
    let shared = &call.shared;
    let empty = BudgetRow { budget, ..BudgetRow::default() };
    let known = shared.budgets.borrow().known_row(program);
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
            shared.budgets.borrow_mut().accept_stored_grant(clock::now(), program, &row);
            Ok(Granted::Tokens)
        }
        Some(Reply::Granted(row)) => {
            info!(
                request = %call.head.request_id, program = %program.0, host = host.0,
                "budget: granted without the store"
            );
            shared.budgets.borrow_mut().accept_unstored_grant(clock::now(), program, &row);
            Ok(Granted::Tokens)
        }
        Some(Reply::Withheld(doubt)) => Ok(Granted::Withheld(doubt)),
        Some(Reply::Spent) => Ok(Granted::Nothing),
        _ => Err(unsure(shared)),
    }
}

/// Grants a turn's tokens to another host, one at a time for each program.
pub(crate) async fn grant_for_peer(shared: &Rc<Shared>, ask: &GrantAsk) -> Reply {
    let lock = lock(shared, ask.program);
    let _turn = lock.lock().await;

    grant(shared, ask).await
}

/// Grants a turn's tokens: by the store if it answers for the program's part, or else in its place.
async fn grant(shared: &Rc<Shared>, ask: &GrantAsk) -> Reply {
    shared.budgets.borrow_mut().merge_known_row(clock::now(), ask.program, &ask.known);

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
            // The write may still end in time, or have met another one.
            None => match timeout(GRANT_DEADLINE, overdue.writing).await {
                Ok(Ok(Ok(Written::Committed))) => return Reply::Written(overdue.row),
                Ok(Ok(Ok(Written::Learned))) => {}
                _ => return Reply::Refused,
            },
        }
    }

    Reply::Refused
}

/// What came of a grant by the store.
enum ByStore {
    /// The reply to whoever asked.
    Decided(Reply),
    /// The store has not answered in time.
    Overdue(Overdue),
    /// It is away. This is the reply if nothing is granted in its place.
    Away(Reply),
}

/// A row of which the store has not answered whether it took it.
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
            // Where the store answers, a grant without it would be from the wrong share.
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

/// Grants a turn's tokens in the store's place. Returns `None` if this host may not.
///
/// Only a host that hears a majority does, so that of two groups that are cut from each other at
/// most one grants. Hosts that are cut off with their zone grant nothing even if they are the
/// majority: their grants would be forgotten if all machines lost power. A process that the store
/// never answered knows nothing of before, and one whose fleet was lost with its memory does not
/// know what was granted to programs that return: by the store, perhaps all, or in its place.
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
    if !shared.budgets.borrow().has_grants(*program) {
        // Hosts that were stopped in turn know nothing of before. Whoever ran the program does.
        learn_from(shared, *program, MOST_ASKED).await;
        if !shared.budgets.borrow().has_grants(*program) && !ask.begins {
            info!(program = %program.0, "budget: the row of a program under way is not known");
            return None;
        }
    }
    let granted =
        shared.budgets.borrow_mut().grant_without_store(clock::now(), *program, *claim, &known.row);
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

/// Returns how much of budgets this host may have granted by the store.
pub(crate) fn limit(shared: &Shared) -> Limit {
    shares::limit(shared.budget_surroundings())
}

/// The write of a row that is under way.
type Writing = JoinHandle<std::result::Result<Written, Refusal>>;

/// What came of a write for which a call waits for a short time.
pub(crate) enum Hedged {
    /// It ended.
    Done(std::result::Result<Written, Refusal>),
    /// It goes on. A grant in the store's place makes the same row, so that nothing is granted twice.
    Overdue(Writing),
}

/// Writes a program's row, and waits for a short time for what comes of it.
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

/// Has other hosts take note of a row with grants that the store does not have: those that would
/// grant next, and hosts of other zones. Returns whether one of another zone did.
///
/// A zone that is being cut off takes itself for a part of the majority for most of a second. What
/// it grants in that time would be forgotten if all machines lost power. Nobody elsewhere
/// acknowledges it then, so it is not spent.
async fn has_witness(shared: &Shared, program: ProgramKey, row: &BudgetRow) -> bool {
    let stored = shared.budgets.borrow().known_row(program).map_or(0, |known| known.stored);
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

/// Learns what the next hosts in the order know, `count` of them.
///
/// A host that was silent for a while, or is new, may become the first in the order although
/// others granted in its place meanwhile. Whoever did stands next in the order, or has told those
/// that do.
pub(crate) async fn learn_from(shared: &Shared, program: ProgramKey, count: usize) {
    let ask = Ask::KnownRow(program);
    let hosts = next_granters(shared, program).take(count);
    let replies = join_all(hosts.map(|host| asks::ask(shared, host, &ask, WITNESS_DEADLINE))).await;

    for reply in replies.into_iter().flatten() {
        if let Reply::Known(known) = reply {
            shared.budgets.borrow_mut().merge_known_row(clock::now(), program, &known);
        }
    }
}

/// Takes in how a program's row stands in the store.
pub(crate) fn take_stored(
    shared: &Shared,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
) -> Reply {
    shared.budgets.borrow_mut().merge_stored_row(clock::now(), program, row, version);

    Reply::Done
}

/// Takes in grants that the store does not have. They are written if the host that spends them
/// does not: it may be cut off from now on, and this one not.
pub(crate) fn take_loose(shared: &Shared, program: ProgramKey, known: &KnownRow) -> Reply {
    let mut budgets = shared.budgets.borrow_mut();
    budgets.merge_unstored_row(clock::now(), program, &known.row);
    budgets.merge_known_row(clock::now(), program, known);

    Reply::Done
}

/// Writes a part of the grants that were made without the store: those of this host at once, and those
/// that it knows of for others if they have not been written after a while. What fails, or met
/// another write of the same row, stays loose until the next round.
pub(crate) async fn write_loose(shared: &Rc<Shared>, most: usize) -> RoundOutcome {
    let mut loose =
        shared.budgets.borrow().rows_to_write(clock::now(), |run| shared.hears_run(run));
    if loose.is_empty() {
        return RoundOutcome::Nothing;
    }

    let due = loose.len();
    loose.truncate(most);
    let mut refused = false;
    for round in loose.chunks(WRITES_AT_ONCE) {
        let writes = round.iter().cloned().map(|(program, row, version)| async move {
            matches!(write(shared, program, row, version).await, Ok(Written::Away))
        });
        refused = join_all(writes).await.contains(&true);
        // The rest would be refused too, and each refusal counts against the store's rate.
        if refused {
            break;
        }
    }
    info!(due, most, refused, "budget: grants made without the store are written");

    match refused {
        true => RoundOutcome::Refused,
        false if due > most => RoundOutcome::Partial,
        false => RoundOutcome::All,
    }
}
