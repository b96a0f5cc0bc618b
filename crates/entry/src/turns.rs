//! Turns that can be continued: each is a row of the store, written before the end of its
//! answer is passed on.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, RowKey, RowVersion, Transaction, Write,
};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::turns::{Turn, TurnKey};
use futures::StreamExt as _;
use futures::future::{join_all, try_join_all};
use futures::stream::FuturesUnordered;
use http::StatusCode;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::answer::Refusal;
use crate::asks::{self, Ask, Reply};
use crate::call::Call;
use crate::clock;
use crate::host::Shared;
use crate::store;

/// The table of turns.
const TABLE: &str = "turns";

/// When a caller is told to come back while it cannot be told whether a turn exists.
const UNSURE_RETRY: Duration = Duration::from_millis(300);

/// The most turns that one transaction writes: so many of the mean size are far under the
/// megabyte that a call of the store may have.
const WRITE_BATCH: usize = 50;

/// How many hosts of other zones are asked to hold a turn that the store does not take. With five,
/// besides the one that it ran at, half of a small fleet may be killed before the store is back.
const COPIES: usize = 5;

/// How many of them must hold it before its end is passed on, or all that answer.
const LEAST_COPIES: usize = 2;

/// How long another host may take to say that it holds a turn.
const HOLD_DEADLINE: Duration = Duration::from_millis(100);

/// How many hosts are asked for a turn that the store does not have.
const MOST_ASKED: usize = 12;

/// After how long a host writes a turn that it holds for another, if that has not written it.
const OTHERS_WRITE_AFTER: Duration = Duration::from_millis(700);

/// How long another host may take to find a turn: far more than the way, since a host that is
/// late for an instant may be the only one that has it.
const FIND_DEADLINE: Duration = Duration::from_millis(150);

/// How much longer than its retention a turn's row stays, so that a turn that was read just
/// before is still there when it is used.
const SWEEP_MARGIN: Duration = Duration::from_secs(30);

/// How long programs may return where no route keeps turns: as long as on the users' sheets.
const DEFAULT_RETENTION: Duration = Duration::from_secs(60);

/// How often rows that are past their time are deleted.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// The most rows that one transaction deletes.
const SWEEP_BATCH: usize = 50;

/// What a turn continues from.
#[derive(Clone, Default)]
pub(crate) struct Continuation {
    /// The earlier turns, the oldest first.
    earlier: Vec<Rc<Turn>>,
    /// Their names.
    line: Vec<TurnKey>,
}

impl Continuation {
    /// Returns the whole prompt: what was said before and the new input.
    pub(crate) fn body(&self, input: &Bytes) -> Bytes {
        if self.earlier.is_empty() {
            return input.clone();
        }

        let mut body = BytesMut::new();
        self.earlier.iter().for_each(|turn| body.extend_from_slice(turn.said()));
        body.extend_from_slice(input);
        body.freeze()
    }
}

/// The rows that this host wrote, in the order of their writing.
#[derive(Default)]
pub(crate) struct Written {
    rows: VecDeque<(Instant, TurnKey)>,
}

impl Written {
    /// Returns whether a row was written lately.
    fn holds(&self, key: TurnKey) -> bool {
        /// More than a host writes while it asks others to hold a turn.
        const LATELY: usize = 200;

        self.rows.iter().rev().take(LATELY).any(|(_, written)| *written == key)
    }
}

/// Refuses a turn that is to be kept at a host that is cut off.
///
/// Its answer would promise that it can be continued, and if all machines lost power before the
/// cut heals it could not. Other zones can keep it, and the balancer moves callers there.
pub(crate) fn may_be_kept(call: &Call) -> Result<(), Refusal> {
    if call.route().keeps.is_none() || !call.shared.is_isolated() {
        return Ok(());
    }

    Err(Refusal::later_spread(
        "turns cannot be kept here while the zone is cut off",
        call.shared.come_back(UNSURE_RETRY),
    ))
}

/// Finds the turns that a call continues from.
pub(crate) async fn continuation(call: &Call) -> Result<Continuation, Refusal> {
    let Some(previous) = call.head.previous.as_deref().filter(|_| call.route().keeps.is_some())
    else {
        return Ok(Continuation::default());
    };
    let shared = &call.shared;
    let key = TurnKey::new(call.tenant.as_deref().unwrap_or_default(), previous);
    let retention = call.route().keeps.map_or(Duration::ZERO, |keeps| keeps.retention);
    let last = read(shared, key).await?.ok_or_else(|| {
        // Turns of the time without the store may be at hosts that are not heard.
        let certain = shared.knows_all_turns(retention) && !shared.fleet.misses_someone();
        info!(request = %call.head.request_id, previous, certain, "turn: no such turn");
        match certain {
            true => Refusal::wrong(StatusCode::NOT_FOUND, "there is no such turn"),
            false => unsure(shared),
        }
    })?;

    let earlier = last.line.iter().map(|key| async move {
        // A turn's row is written after those of the turns before it, and deleted after them
        // at the earliest when none may be continued any more.
        read(shared, *key).await?.ok_or_else(|| unsure(shared))
    });
    let mut earlier = try_join_all(earlier).await?;
    let line = last.line_with(key);
    earlier.push(last);

    Ok(Continuation { earlier, line })
}

/// Reads a turn; `None` if neither the store nor a host that is heard has it.
async fn read(shared: &Rc<Shared>, key: TurnKey) -> Result<Option<Rc<Turn>>, Refusal> {
    if let Some(turn) = shared.turns.borrow().get(key) {
        return Ok(Some(turn));
    }

    shared.metrics.turn_reads.inc();
    let reply = store::ask(shared, PlatformOp::Read(vec![row_key(key)])).await;
    let is_absent = matches!(&reply, PlatformReply::Rows(rows) if rows.is_empty());
    let turn = match reply {
        PlatformReply::Rows(rows) if !rows.is_empty() => {
            let row = &rows[0];
            serde_json::from_str(&row.value).map_err(|e| {
                warn!(turn = %row.key.key, error = %e, "turn: row not understood");
                unsure(shared)
            })?
        }
        // It may have ended while the store was away.
        _ => match find(shared, key).await {
            Some(turn) => turn,
            None if is_absent => return Ok(None),
            None => return Err(unsure(shared)),
        },
    };
    let turn = Rc::new(turn);
    shared.turns.borrow_mut().put(key, Rc::clone(&turn));

    Ok(Some(turn))
}

/// Asks the hosts that may hold a turn.
async fn find(shared: &Shared, key: TurnKey) -> Option<Turn> {
    let own = shared.fleet.own();
    let hosts = shared.fleet.order(key.0).into_iter().filter(|host| *host != own).take(MOST_ASKED);
    let mut replies: FuturesUnordered<_> = hosts
        .map(|host| async move { asks::ask(shared, host, &Ask::Find(key), FIND_DEADLINE).await })
        .collect();

    while let Some(reply) = replies.next().await {
        if let Some(Reply::Turn(Some(turn))) = reply {
            return Some(turn);
        }
    }

    None
}

/// Returns a turn if it is at hand.
pub(crate) fn at_hand(shared: &Shared, key: TurnKey) -> Option<Turn> {
    shared.turns.borrow().get(key).map(|turn| Turn::clone(&turn))
}

/// Holds another host's turn until the store has it. It is written if the other host does not: that
/// may be cut off from now on, and this one not.
pub(crate) fn hold(shared: &Shared, key: TurnKey, turn: Turn) -> Reply {
    let turn = Rc::new(turn);
    shared.turns.borrow_mut().put(key, Rc::clone(&turn));
    let held = Held { turn, whose: Whose::Peers, since: clock::now() };
    shared.held.borrow_mut().insert(key, held);

    Reply::Done
}

/// Returns the hosts that hold a turn which the store does not take.
fn holders(shared: &Shared, key: TurnKey) -> Vec<HostId> {
    shared.fleet.witnesses(key.0).into_iter().take(COPIES).collect()
}

/// Has hosts of other zones hold a turn that the store does not take. Returns whether one does.
async fn hold_at_peers(shared: &Shared, key: TurnKey, turn: &Rc<Turn>) -> bool {
    let hosts = holders(shared, key);
    let ask = Ask::Hold(key, Turn::clone(turn));
    // All are asked at once; those that answer late hold it too.
    let mut replies: FuturesUnordered<_> =
        hosts.iter().map(|host| asks::ask(shared, *host, &ask, HOLD_DEADLINE)).collect();
    let mut copies = 0;
    while copies < LEAST_COPIES
        && let Some(reply) = replies.next().await
    {
        copies += usize::from(matches!(reply, Some(Reply::Done)));
    }

    if copies == 0 {
        return false;
    }
    shared
        .held
        .borrow_mut()
        .insert(key, Held { turn: Rc::clone(turn), whose: Whose::Own, since: clock::now() });
    true
}

/// A turn that the store does not have yet.
pub(crate) struct Held {
    turn: Rc<Turn>,
    whose: Whose,
    since: Instant,
}

impl Held {
    /// Returns whether this host is to write it now.
    fn is_due(&self, now: Instant) -> bool {
        self.whose == Whose::Own || now.since(self.since) >= OTHERS_WRITE_AFTER
    }
}

/// Whose turns are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Whose {
    /// Those that ran at this host.
    Own,
    /// Those that are held for other hosts, which write them themselves if they live.
    Peers,
}

/// Writes the turns that are held since the store was away; what fails stays held.
///
/// All power may be lost a second after the store's return, and with it what was not written:
/// the turns of a part go in one transaction, and all parts at the same time.
pub(crate) async fn write_held(shared: &Rc<Shared>) {
    let now = clock::now();
    let mut parts: Map<u64, Vec<(TurnKey, Rc<Turn>)>> = Map::default();
    for (key, held) in shared.held.borrow().iter().filter(|(_, held)| held.is_due(now)) {
        parts.entry(key.part()).or_default().push((*key, Rc::clone(&held.turn)));
    }
    if parts.is_empty() {
        return;
    }

    let writes = parts.values().flat_map(|turns| turns.chunks(WRITE_BATCH));
    let written: usize =
        join_all(writes.map(|turns| write_batch(shared, turns))).await.into_iter().sum();
    info!(written, left = shared.held.borrow().len(), "turn: turns held without the store");
}

/// A turn's row as it is to be written.
struct TurnRow {
    turn: TurnKey,
    key: RowKey,
    value: Box<str>,
}

/// Writes turns of one part; returns how many the store then has.
async fn write_batch(shared: &Rc<Shared>, turns: &[(TurnKey, Rc<Turn>)]) -> usize {
    let mut rows: Vec<TurnRow> = turns
        .iter()
        .filter_map(|(turn, content)| {
            let value = serde_json::to_string(&**content).ok()?.into();
            Some(TurnRow { turn: *turn, key: row_key(*turn), value })
        })
        .collect();
    let all = rows.len();

    // Several hosts hold a turn and write it, so a part of the rows may be there already. The
    // answer says which; the others are written the second time.
    for _ in 0..2 {
        match store::ask(shared, PlatformOp::Commit(creation(&rows))).await {
            PlatformReply::Committed(_) => {
                rows.iter().for_each(|row| written(shared, row.turn));
                return all;
            }
            PlatformReply::Conflict(there) => rows.retain(|row| {
                let is_there = there.iter().any(|r| r.key == row.key && r.value == row.value);
                if is_there {
                    written(shared, row.turn);
                }
                !is_there
            }),
            // The second time tells whether the first took effect.
            PlatformReply::Unknown => {}
            // What was not written stays held.
            _ => break,
        }
        if rows.is_empty() {
            break;
        }
    }

    all - rows.len()
}

/// Returns the transaction that writes rows which are not there yet.
fn creation(rows: &[TurnRow]) -> Transaction {
    let check = |row: &TurnRow| Check { key: row.key.clone(), version: RowVersion::ABSENT };
    let write = |row: &TurnRow| Write { key: row.key.clone(), value: Some(row.value.clone()) };

    Transaction {
        checks: rows.iter().map(check).collect(),
        writes: rows.iter().map(write).collect(),
    }
}

/// Takes in that another host has written a turn that is held here.
pub(crate) fn stored(shared: &Shared, key: TurnKey) -> Reply {
    shared.held.borrow_mut().remove(&key);

    Reply::Done
}

/// Holds a turn no longer, and tells the others that do.
fn release(shared: &Shared, key: TurnKey) {
    let held = shared.held.borrow_mut().remove(&key);

    if let Some(Held { whose: Whose::Own, .. }) = held {
        for host in holders(shared, key) {
            asks::tell(shared, host, &Ask::TurnStored(key));
        }
    }
}

/// Takes in that the store has a turn.
fn written(shared: &Shared, key: TurnKey) {
    release(shared, key);
    shared.written.borrow_mut().rows.push_back((clock::now(), key));
}

/// Keeps a turn whose stream has ended, if its route keeps turns. Until then its end may not be
/// passed on: the caller could continue it at another host, or after all hosts lost power.
pub(crate) async fn keep(
    call: &Call,
    continuation: &Continuation,
    said: Vec<u8>,
) -> Result<(), &'static str> {
    if call.route().keeps.is_none() {
        return Ok(());
    }

    let shared = &call.shared;
    let key = TurnKey::new(call.tenant.as_deref().unwrap_or_default(), &call.head.request_id);
    let mut text = call.body.to_vec();
    text.extend_from_slice(&said);
    let turn = Turn::new(continuation.line.clone(), text);
    let value = serde_json::to_string(&turn).map_err(|_| "the turn cannot be written")?;
    let turn = Rc::new(turn);

    // The write goes on when the caller leaves or the turn is held elsewhere meanwhile.
    let mut writing =
        tokio::task::spawn_local(write_and_note(Rc::clone(shared), key, value.into()));
    let outcome = match timeout(store::HEDGE_AFTER, &mut writing).await {
        Ok(outcome) => outcome.map_err(|_| "the write ended early")?,
        Err(_) => {
            shared.store.note_slow(clock::now());
            Err("the store is slow")
        }
    };
    if let Err(reason) = outcome {
        if hold_at_peers(shared, key, &turn).await {
            info!(request = %call.head.request_id, reason, "turn: held by other hosts");
        } else if writing.is_finished() {
            return Err(reason);
        } else {
            writing.await.map_err(|_| "the write ended early")??;
        }
    }
    // It may have been written while other hosts were asked to hold it.
    if shared.written.borrow().holds(key) {
        release(shared, key);
    }
    shared.turns.borrow_mut().put(key, turn);

    Ok(())
}

/// Writes the row of a turn, and takes note that the store has it.
async fn write_and_note(
    shared: Rc<Shared>,
    key: TurnKey,
    value: Box<str>,
) -> Result<(), &'static str> {
    write(&shared, key, value).await?;
    written(&shared, key);

    Ok(())
}

/// Writes the row of a turn.
async fn write(shared: &Rc<Shared>, key: TurnKey, value: Box<str>) -> Result<(), &'static str> {
    let row = row_key(key);
    let tx = Transaction {
        checks: vec![Check { key: row.clone(), version: RowVersion::ABSENT }],
        writes: vec![Write { key: row, value: Some(value.clone()) }],
    };

    let read = PlatformOp::Read(vec![row_key(key)]);

    // Writing it a second time is harmless: the row is there only once, and only this turn can
    // have written it with this content. Reading tells whether a write whose answer was lost
    // took effect. The second time may go through another host.
    for _ in 0..2 {
        match store::ask(shared, PlatformOp::Commit(tx.clone())).await {
            PlatformReply::Committed(_) => return Ok(()),
            PlatformReply::Conflict(rows) if rows.iter().any(|row| row.value == value) => {
                return Ok(());
            }
            PlatformReply::Conflict(_) => return Err("another turn has this id"),
            PlatformReply::Unknown => {}
            _ => return Err("the store did not take the turn"),
        }
        if let PlatformReply::Rows(rows) = store::ask(shared, read.clone()).await
            && rows.iter().any(|row| row.value == value)
        {
            return Ok(());
        }
    }

    Err("it cannot be told whether the store took the turn")
}

/// Starts to delete the rows of turns that can no longer be continued.
pub(crate) fn start_sweeper(shared: &Rc<Shared>) {
    let shared = Rc::clone(shared);

    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(SWEEP_PERIOD).await;
            sweep(&shared).await;
        }
    });
}

async fn sweep(shared: &Rc<Shared>) {
    let retention = longest_retention(shared).unwrap_or(DEFAULT_RETENTION);

    // Budgets are needed for as long as a program may return, which is as long as its turns
    // are kept.
    let old = shared.budgets.borrow_mut().forget(clock::now(), retention + SWEEP_MARGIN);
    for (program, version) in old {
        shared.budget_locks.borrow_mut().remove(&program);
        let key = crate::budget::row_key(program);
        delete(shared, vec![Check { key: key.clone(), version }], vec![key]).await;
    }

    loop {
        let batch = past_retention(shared, retention + SWEEP_MARGIN);
        if batch.is_empty() {
            return;
        }
        delete(shared, Vec::new(), batch).await;
    }
}

/// Takes out the oldest rows that lie in one part of the store.
fn past_retention(shared: &Shared, age: Duration) -> Vec<RowKey> {
    let now = clock::now();
    let mut written = shared.written.borrow_mut();
    let old = written.rows.iter().take_while(|(at, _)| now.since(*at) > age).count();
    let Some((_, first)) = written.rows.front().copied().filter(|_| old > 0) else {
        return Vec::new();
    };
    let mut batch = Vec::new();
    let mut left = VecDeque::new();

    for (at, key) in written.rows.drain(..old) {
        match key.part() == first.part() && batch.len() < SWEEP_BATCH {
            true => batch.push(row_key(key)),
            false => left.push_back((at, key)),
        }
    }
    left.extend(written.rows.drain(..));
    written.rows = left;

    batch
}

/// Deletes rows. What fails is left lying: it does no harm, and the host that reads it finds a
/// turn that was true.
async fn delete(shared: &Rc<Shared>, checks: Vec<Check>, keys: Vec<RowKey>) {
    let rows = keys.len();
    let writes = keys.into_iter().map(|key| Write { key, value: None }).collect();
    let reply = store::ask(shared, PlatformOp::Commit(Transaction { checks, writes })).await;

    if !matches!(reply, PlatformReply::Committed(_)) {
        info!(rows, "turn: old rows not deleted");
    }
}

fn longest_retention(shared: &Shared) -> Option<Duration> {
    let table = shared.routes.borrow();
    let routes = table.as_ref()?.routing().routes.iter();

    routes.filter_map(|route| route.keeps).map(|keeps| keeps.retention).max()
}

fn row_key(key: TurnKey) -> RowKey {
    RowKey::new(TABLE, key.row())
}

fn unsure(shared: &Shared) -> Refusal {
    Refusal::later("it cannot be told whether the turn exists", shared.come_back(UNSURE_RETRY))
}
