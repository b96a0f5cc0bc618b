//! Programs' budgets: grants are written to the store before tokens are generated.

use std::rc::Rc;

use camphorwalk_core::hash::stable_hash;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, Row, RowKey, RowVersion, Transaction, Write,
};
use camphorwalk_policy::entry::budgets::{BudgetRow, ProgramKey, Reservation};
use camphorwalk_policy::entry::turns::PARTS;
use futures::future::join_all;
use futures::stream::{self, FuturesUnordered, StreamExt as _};
use http::StatusCode;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::answer::Refusal;
use crate::asks::{self, Ask, GrantAsk, Reply};
use crate::call::Call;
use crate::clock;
use crate::host::Shared;
use crate::store;

/// The table of budgets.
const TABLE: &str = "budgets";

/// How often a grant is asked for again when other hosts change the row at the same time. A
/// program has a handful of lines of turns.
const MOST_WRITES: u32 = 6;

/// When a caller is told to come back while the count cannot be had.
const UNSURE_RETRY: Duration = Duration::from_millis(300);

/// How many hosts know a program's row besides those that run it. Two survive one loss.
const WITNESSES: usize = 2;

/// How many hosts of other zones are told of a grant that the store does not have, so that half of
/// a small fleet may be killed before the store is back.
const LOOSE_WITNESSES: usize = 4;

/// How long a grant by another host may take: the way there and back, and its tries to write it to
/// a store that is slow or has just fallen silent.
const GRANT_DEADLINE: Duration = Duration::from_millis(450);

/// How long another host may take to say what it knows of a program: the way there and back.
const TELL_DEADLINE: Duration = Duration::from_millis(150);

/// How long a host of another zone may take to take note of a grant: some times the way there
/// and back, and less than what is left of the time for the grant.
const WITNESS_DEADLINE: Duration = Duration::from_millis(80);

/// How long the store must have answered all hosts before each writes grants by itself again. In
/// this time the grants that were made without it are written.
const SETTLED: Duration = Duration::from_secs(3);

/// How many rows are written at the same time after the store's return.
const WRITES_AT_ONCE: usize = 8;

/// The pause between two rounds of writing grants that were made without the store.
const LOOSE_PAUSE: Duration = Duration::from_millis(50);

/// The most tokens of a turn that does not say. A turn without a size cannot be reserved for.
const UNSAID_MOST: u64 = 1_024;

/// A turn's reserved tokens; what was not used is free again when it is dropped.
pub(crate) struct Hold {
    shared: Rc<Shared>,
    program: ProgramKey,
    most: u64,
    used: u64,
    /// Whether this turn is the first that was granted tokens of its program's budget.
    pub(crate) is_first: bool,
}

impl Hold {
    /// Takes in how many tokens the turn has generated so far.
    pub(crate) fn used(&mut self, tokens: u64) {
        self.used = tokens;
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.shared.budgets.borrow_mut().settle(self.program, self.most, self.used);
    }
}

/// Returns the row of a program.
pub(crate) fn row_key(program: ProgramKey) -> RowKey {
    RowKey::new(TABLE, format!("{:x}/{:016x}", program.0 % PARTS, program.0))
}

/// Reserves the tokens of a turn, if its program has a budget.
pub(crate) async fn hold(call: &Call) -> Result<Option<Hold>, Refusal> {
    let (Some(program), Some(budget)) = (&call.head.program, call.head.budget) else {
        return Ok(None);
    };
    let shared = &call.shared;
    let tenant = call.tenant.as_deref().unwrap_or_default();
    let program = ProgramKey(stable_hash(&[b"program", tenant.as_bytes(), program.as_bytes()]));
    let most = call.head.tokens.map_or(UNSAID_MOST, |tokens| u64::from(tokens.most_output));

    // The turns of sub-agents come together. One after the other they find what the first one's
    // write left over, and do not fail each other's writes.
    let lock = lock(shared, program);
    let _turn = lock.lock().await;

    let mut recalled = false;
    let mut is_first = !shared.budgets.borrow().knows(program);
    for _ in 0..MOST_WRITES {
        let reservation = shared.budgets.borrow_mut().reserve(clock::now(), program, budget, most);

        match reservation {
            Reservation::Reserved => {
                let shared = Rc::clone(shared);
                return Ok(Some(Hold { shared, program, most, used: 0, is_first }));
            }
            // Other hosts may hold tokens that they do not need.
            Reservation::Spent { certain: false } if !recalled => {
                recalled = true;
                recall(shared, program).await;
            }
            Reservation::Spent { certain } => {
                info!(
                    request = %call.head.request_id, program = %program.0, budget, most, certain,
                    "budget: spent"
                );
                return Err(spent());
            }
            Reservation::Write(row, version) if shared.store.was_there_for(SETTLED) => {
                match write_hedged(shared, program, row, version).await {
                    Some(Written::Committed) => {}
                    Some(Written::Learned) => is_first = false,
                    // From now on one host grants the program's tokens.
                    Some(Written::Away) | None => shared.store.note_slow(clock::now()),
                }
            }
            Reservation::Write(_, version) => {
                if !shared.budgets.borrow().knows(program) {
                    learn_from_peer(shared, program).await;
                }
                // A program under way has a row. If none is found, a host that is not asked may
                // have granted tokens that the store does not have yet.
                if version == RowVersion::ABSENT
                    && !call.shows_its_past()
                    && !shared.budgets.borrow().knows(program)
                    && !has_row(shared, program).await
                {
                    info!(
                        request = %call.head.request_id, program = %program.0,
                        "budget: the program's row is not found after an outage"
                    );
                    return Err(unsure(shared));
                }
                match ask_for_grant(call, program, budget, most).await? {
                    Granted::Tokens => {}
                    // Other hosts may hold tokens that they do not need.
                    Granted::Nothing if !recalled => {
                        recalled = true;
                        recall(shared, program).await;
                    }
                    Granted::Nothing => return Err(spent()),
                }
            }
        }
    }

    Err(Refusal::later("the program's budget is contended", UNSURE_RETRY))
}

/// Returns the lock that is taken while a program's tokens are asked for.
fn lock(shared: &Shared, program: ProgramKey) -> Rc<Mutex<()>> {
    shared.budget_locks.borrow_mut().entry(program).or_default().clone()
}

fn spent() -> Refusal {
    Refusal::wrong(StatusCode::PAYMENT_REQUIRED, "the program's budget is spent")
}

/// Has the other hosts give back what they hold of a program's tokens and do not need.
async fn recall(shared: &Shared, program: ProgramKey) {
    let holders = shared.budgets.borrow().holders(program);
    let hosts = holders.into_iter().filter_map(|run| shared.fleet.host_of_run(run.0));
    let ask = Ask::Yield(program);
    let replies = join_all(hosts.map(|host| asks::ask(shared, host, &ask, TELL_DEADLINE))).await;

    for reply in replies.into_iter().flatten() {
        if let Reply::Granted(row) = reply {
            shared.budgets.borrow_mut().note(clock::now(), program, &row);
        }
    }
}

/// Gives back what this host holds of a program's tokens and does not need.
pub(crate) fn yield_rest(shared: &Shared, program: ProgramKey) -> Reply {
    let row = shared.budgets.borrow_mut().yield_rest(program);

    row.map_or(Reply::Refused, Reply::Granted)
}

/// Returns whether the store has a row of a program, and takes it in.
async fn has_row(shared: &Rc<Shared>, program: ProgramKey) -> bool {
    match store::ask(shared, PlatformOp::Read(vec![row_key(program)])).await {
        PlatformReply::Rows(rows) if !rows.is_empty() => take_in(shared, program, &rows).is_ok(),
        _ => false,
    }
}

/// What came of writing a row.
enum Written {
    /// It is written.
    Committed,
    /// It was not written as the store held another row, which is known now.
    Learned,
    /// The store is away, for this host and those that it hears.
    Away,
}

/// Writes a program's row, and takes in what the store then holds.
async fn write(
    shared: &Rc<Shared>,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
) -> Result<Written, Refusal> {
    let key = row_key(program);
    let text: Box<str> = match serde_json::to_string(&row) {
        Ok(text) => text.into(),
        Err(e) => {
            warn!(error = %e, "budget: row not written");
            return Err(unsure(shared));
        }
    };
    let tx = Transaction {
        checks: vec![Check { key: key.clone(), version }],
        writes: vec![Write { key: key.clone(), value: Some(text) }],
    };

    match store::ask(shared, PlatformOp::Commit(tx)).await {
        PlatformReply::Committed(version) => {
            tell_stored(shared, program, &row, version);
            shared.budgets.borrow_mut().learn(clock::now(), program, row, version);
            Ok(Written::Committed)
        }
        PlatformReply::Conflict(rows) => take_in(shared, program, &rows),
        PlatformReply::Unavailable => Ok(Written::Away),
        // It may have taken effect or may still do so: the row tells, and whatever is written
        // next changes the version that a late one waits for.
        _ => match store::ask(shared, PlatformOp::Read(vec![key])).await {
            PlatformReply::Rows(rows) => take_in(shared, program, &rows),
            PlatformReply::Unavailable => Ok(Written::Away),
            _ => Err(unsure(shared)),
        },
    }
}

/// Returns the hosts that are heard, in the order in which they grant a program's tokens while
/// the store is away.
fn grant_order(shared: &Shared, program: ProgramKey) -> Vec<HostId> {
    shared.fleet.order(program.0)
}

/// Tells the hosts that would grant in the store's place how a program's row stands in it. They
/// need it the moment that the store is away. Those that took note of a grant made without the
/// store need not write it any more.
fn tell_stored(shared: &Shared, program: ProgramKey, row: &BudgetRow, version: RowVersion) {
    let mut hosts: Vec<_> = next_granters(shared, program).collect();
    if shared.budgets.borrow().is_loose(program) {
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
enum Granted {
    /// The row holds the turn's tokens.
    Tokens,
    /// The budget does not hold them, as the rows stand.
    Nothing,
}

/// Asks for a turn's tokens at the one host that grants a program's tokens in times of trouble.
///
/// Beliefs about the store differ: it may be slow, or answer some hosts. If each host then decided
/// for itself, one would write a grant while another is granted the same tokens without the store.
async fn ask_for_grant(
    call: &Call,
    program: ProgramKey,
    budget: u64,
    most: u64,
) -> Result<Granted, Refusal> {
    let shared = &call.shared;
    let empty = BudgetRow { budget, ..BudgetRow::default() };
    let known = shared.budgets.borrow().row(program).cloned().unwrap_or(empty);
    let ask = GrantAsk { program, run: shared.run, most, known };
    let order = grant_order(shared, program);
    let host = order.first().copied().ok_or_else(|| unsure(shared))?;
    let reply = match host == shared.fleet.own() {
        true => Some(grant(shared, &ask).await),
        false => asks::ask(shared, host, &Ask::Grant(ask), GRANT_DEADLINE).await,
    };

    match reply {
        Some(Reply::Written(row)) => {
            shared.budgets.borrow_mut().note(clock::now(), program, &row);
            Ok(Granted::Tokens)
        }
        Some(Reply::Granted(row)) => {
            info!(request = %call.head.request_id, program = %program.0, host = host.0, "budget: granted without the store");
            shared.budgets.borrow_mut().learn_loose(clock::now(), program, &row);
            Ok(Granted::Tokens)
        }
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
///
/// In its place only a host that hears a majority grants, so that of two groups that are cut from
/// each other at most one does, and the other side need not withhold anything. Hosts that are
/// cut off with their zone grant nothing even if they are the majority: their grants would be
/// forgotten if all machines lost power, and a program that comes back after that would get its
/// budget again. A process that the store never answered knows nothing of before.
async fn grant(shared: &Rc<Shared>, ask: &GrantAsk) -> Reply {
    for _ in 0..MOST_WRITES {
        let GrantAsk { program, run, most, known } = ask;
        let proposed =
            shared.budgets.borrow_mut().propose(clock::now(), *program, *run, *most, known);
        let Some((row, version)) = proposed else { return Reply::Spent };

        match write_hedged(shared, *program, row.clone(), version).await {
            Some(Written::Committed) => return Reply::Written(row),
            Some(Written::Learned) => {}
            Some(Written::Away) | None => break,
        }
    }

    let is_entitled = shared.fleet.is_majority() && !shared.is_isolated();
    if !shared.store.has_answered() || !is_entitled {
        return Reply::Refused;
    }

    let GrantAsk { program, run, most, known } = ask;
    learn_from_next(shared, *program).await;
    let granted =
        shared.budgets.borrow_mut().grant_loose(clock::now(), *program, *run, *most, known);
    match granted {
        Some(row) if has_witness(shared, *program, &row).await => Reply::Granted(row),
        Some(_) => {
            info!(program = %program.0, "budget: no host of another zone took note of a grant");
            Reply::Refused
        }
        None => Reply::Spent,
    }
}

/// Writes a program's row. Returns `None` if what came of it is not known in time: then the write
/// goes on. A grant in the store's place makes the same row, so that nothing is granted twice.
async fn write_hedged(
    shared: &Rc<Shared>,
    program: ProgramKey,
    row: BudgetRow,
    version: RowVersion,
) -> Option<Written> {
    let writing = {
        let shared = Rc::clone(shared);
        tokio::task::spawn_local(async move { write(&shared, program, row, version).await })
    };

    match timeout(store::HEDGE_AFTER, writing).await {
        Ok(Ok(Ok(written))) => Some(written),
        Ok(_) => None,
        Err(_) => {
            shared.store.note_slow(clock::now());
            None
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
    let ask = Ask::Loose(program, row.clone());
    let elsewhere = loose_witnesses(shared, program);
    for host in next_granters(shared, program).filter(|host| !elsewhere.contains(host)) {
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

/// Returns the hosts that grant a program's tokens without the store if this one does not.
fn next_granters(shared: &Shared, program: ProgramKey) -> impl Iterator<Item = HostId> {
    let own = shared.fleet.own();

    grant_order(shared, program).into_iter().filter(move |host| *host != own).take(WITNESSES)
}

/// Learns what the hosts know that would grant next.
///
/// A host that was silent for a while, or is new, may become the first in the order although
/// others granted in its place meanwhile. Whoever did stands next in the order, or has told those
/// that do.
async fn learn_from_next(shared: &Shared, program: ProgramKey) {
    let ask = Ask::KnownRow(program);
    let hosts = next_granters(shared, program);
    let replies = join_all(hosts.map(|host| asks::ask(shared, host, &ask, WITNESS_DEADLINE))).await;

    for reply in replies.into_iter().flatten() {
        if let Reply::Granted(row) = reply {
            shared.budgets.borrow_mut().note(clock::now(), program, &row);
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
    shared.budgets.borrow_mut().learn(clock::now(), program, row, version);

    Reply::Done
}

/// Takes in grants that the store does not have. They are written if the host that spends them
/// does not: it may be cut off from now on, and this one not.
pub(crate) fn take_loose(shared: &Shared, program: ProgramKey, row: &BudgetRow) -> Reply {
    shared.budgets.borrow_mut().learn_loose(clock::now(), program, row);

    Reply::Done
}

/// Learns of a program's row from the host that granted in the store's place.
async fn learn_from_peer(shared: &Shared, program: ProgramKey) {
    let own = shared.fleet.own();
    let Some(host) = grant_order(shared, program).into_iter().find(|host| *host != own) else {
        return;
    };

    // Without a reply the store's row has to do.
    if let Some(Reply::Granted(row)) =
        asks::ask(shared, host, &Ask::KnownRow(program), TELL_DEADLINE).await
    {
        shared.budgets.borrow_mut().note(clock::now(), program, &row);
    }
}

/// Returns a program's row as this host knows it.
pub(crate) fn known_row(shared: &Shared, program: ProgramKey) -> Reply {
    shared.budgets.borrow().row(program).cloned().map_or(Reply::Refused, Reply::Granted)
}

/// Writes the grants that were made without the store: those of this host at once, and those
/// that it knows of for others if they have not been written after a while.
pub(crate) async fn write_loose(shared: &Rc<Shared>) {
    for _ in 0..MOST_WRITES {
        let loose = shared.budgets.borrow().loose(clock::now());
        if loose.is_empty() {
            return;
        }

        info!(programs = loose.len(), "budget: grants made without the store are written");
        // What fails stays loose, and is written in the next round.
        let writes = loose.into_iter().map(|(program, row, version)| async move {
            write(shared, program, row, version).await.is_ok()
        });
        stream::iter(writes).buffer_unordered(WRITES_AT_ONCE).count().await;
        tokio::time::sleep(LOOSE_PAUSE).await;
    }
}

fn take_in(shared: &Shared, program: ProgramKey, rows: &[Row]) -> Result<Written, Refusal> {
    let key = row_key(program);
    let Some(row) = rows.iter().find(|row| row.key == key) else {
        return Ok(Written::Learned);
    };

    match serde_json::from_str(&row.value) {
        Ok(content) => {
            shared.budgets.borrow_mut().learn(clock::now(), program, content, row.version);
            Ok(Written::Learned)
        }
        Err(e) => {
            warn!(program = %program.0, error = %e, "budget: row not understood");
            Err(unsure(shared))
        }
    }
}

fn unsure(shared: &Shared) -> Refusal {
    Refusal::later("the program's budget cannot be told", shared.come_back(UNSURE_RETRY))
}
