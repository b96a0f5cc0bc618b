//! Turns that the store does not have yet, held by the host that they ran at and by others.

use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::hash::{Map, Set};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, RowKey, RowVersion, Transaction, Write,
};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::keeping::{least_copies, most_copies};
use camphorwalk_policy::entry::turns::{Turn, TurnKey};
use camphorwalk_policy::entry::write_back::{Round, writes_for_others};
use futures::StreamExt as _;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use tokio::task::AbortHandle;
use tokio::time::interval;
use tracing::{info, warn};

use crate::asks::{self, Ask, Reply};
use crate::fleet::Fleet;
use crate::host::Shared;
use crate::turns::row_key;
use crate::{clock, retention, store};

/// The most turns that one transaction writes: so many of the mean size are far under the
/// megabyte that a call of the store may have.
const WRITE_BATCH: usize = 50;

/// How often further hosts are looked for to hold a turn.
const HOLD_PERIOD: Duration = Duration::from_millis(100);

/// After how long without a reply a host is asked to hold a turn once more: the question or its
/// reply was lost with a connection.
const HOLD_DEADLINE: Duration = Duration::from_secs(1);

/// How many writes are under way at the same time.
const WRITES_AT_ONCE: usize = 8;

/// Holds another host's turn until the store has it. It is written if the other host does not: that
/// may be cut off from now on, and this one not.
pub(crate) fn hold(shared: &Shared, from: HostId, key: TurnKey, turn: Turn) -> Reply {
    let turn = Rc::new(turn);
    shared.turns.borrow_mut().put(key, Rc::clone(&turn));
    let owner = shared.fleet.run_of(from);
    let held = Held { turn, whose: Whose::Peer(owner), since: clock::now() };
    shared.held.borrow_mut().insert(key, held);

    Reply::Done
}

/// Returns the hosts that hold a turn which the store does not take, those of other zones first.
fn holders(shared: &Shared, key: TurnKey) -> Vec<HostId> {
    let elsewhere = shared.fleet.witnesses(key.0);
    let others = shared.fleet.order(key.0).into_iter();
    let near = others.filter(|host| *host != shared.fleet.own() && !elsewhere.contains(host));

    let copies = most_copies(shared.fleet.known_hosts().len());

    elsewhere.iter().copied().chain(near).take(copies).collect()
}

/// Has other hosts hold a turn that the store does not take; returns when enough of other zones do.
///
/// A reply counts however late it is, since the host holds the turn. A slow host is not sent the turn
/// again soon, which would slow it further.
pub(crate) async fn hold_at_peers(shared: &Shared, key: TurnKey, turn: &Rc<Turn>) {
    let question = Ask::Hold(key, Turn::clone(turn));
    let witnesses = shared.fleet.known_witnesses();
    let least = least_copies(witnesses.len());
    let mut asked: Set<HostId> = Set::default();
    let mut replies = FuturesUnordered::new();
    let mut copies = 0;
    let mut rounds = interval(HOLD_PERIOD);

    while copies < least {
        tokio::select! {
            _ = rounds.tick() => {
                for host in holders(shared, key).into_iter().filter(|host| asked.insert(*host)) {
                    let reply = asks::ask(shared, host, &question, HOLD_DEADLINE);
                    replies.push(async move { (host, reply.await) });
                }
            }
            Some((host, reply)) = replies.next() => match reply {
                Some(Reply::Done) => copies += usize::from(witnesses.contains(&host)),
                _ => drop(asked.remove(&host)),
            },
        }
    }
}

/// Holds a turn that ran here. `writing` is its own write, if one is under way.
pub(crate) fn keep_own(
    shared: &Shared,
    key: TurnKey,
    turn: Rc<Turn>,
    writing: Option<AbortHandle>,
) {
    let held = Held { turn, whose: Whose::Own(writing), since: clock::now() };

    shared.held.borrow_mut().insert(key, held);
}

/// A turn that the store does not have yet.
pub(crate) struct Held {
    turn: Rc<Turn>,
    whose: Whose,
    since: Instant,
}

impl Held {
    /// Returns whether this host is to write it now.
    fn is_due(&self, now: Instant, fleet: &Fleet) -> bool {
        match &self.whose {
            // A slow store would be asked for the same row twice.
            Whose::Own(writing) => writing.as_ref().is_none_or(AbortHandle::is_finished),
            Whose::Peer(run) => writes_for_others(now.since(self.since), || {
                run.is_some_and(|run| fleet.hears_run(run))
            }),
        }
    }
}

/// Whose turns are written.
enum Whose {
    /// Those that ran at this host, each with its own write if one is under way.
    Own(Option<AbortHandle>),
    /// Those that are held for a run of another host, which writes them itself if it lives.
    Peer(Option<u64>),
}

/// Writes a part of the turns that are held since the store was away; what fails stays held.
///
/// All power may be lost a second after the store's return, and with it what was not written:
/// the turns of a part go in one transaction, and several parts at the same time.
pub(crate) async fn write_held(shared: &Rc<Shared>, most: usize) -> Round {
    let now = clock::now();
    let held_turns = i64::try_from(shared.held.borrow().len()).unwrap_or(i64::MAX);
    shared.metrics.held_turns.set(held_turns);
    let mut parts: Map<u64, Vec<(TurnKey, Rc<Turn>)>> = Map::default();
    let is_due = |held: &Held| held.is_due(now, &shared.fleet);
    for (key, held) in shared.held.borrow().iter().filter(|(_, held)| is_due(held)) {
        parts.entry(key.part()).or_default().push((*key, Rc::clone(&held.turn)));
    }
    if parts.is_empty() {
        return Round::Nothing;
    }

    let batches: Vec<_> = parts.values().flat_map(|turns| turns.chunks(WRITE_BATCH)).collect();
    let mut written = 0;
    let mut refused = false;
    for round in batches[..most.min(batches.len())].chunks(WRITES_AT_ONCE) {
        for batch in join_all(round.iter().map(|turns| write_batch(shared, turns))).await {
            written += batch.written;
            refused |= batch.refused;
        }
        // The rest would be refused too, and each refusal counts against the store's rate.
        if refused {
            break;
        }
    }
    info!(
        written,
        refused,
        batches = batches.len(),
        most,
        left = shared.held.borrow().len(),
        "turn: turns held without the store"
    );

    match refused {
        true => Round::Refused,
        false if batches.len() > most => Round::Part,
        false => Round::All,
    }
}

/// What came of writing turns of one part.
struct Batch {
    /// How many turns the store then has.
    written: usize,
    /// Whether the store refused the write.
    refused: bool,
}

/// A turn's row as it is to be written.
struct TurnRow {
    turn: TurnKey,
    key: RowKey,
    value: Box<str>,
}

/// Writes turns of one part.
async fn write_batch(shared: &Rc<Shared>, turns: &[(TurnKey, Rc<Turn>)]) -> Batch {
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
                rows.iter().for_each(|row| retention::written(shared, row.turn));
                return Batch { written: all, refused: false };
            }
            PlatformReply::Conflict(there) => rows.retain(|row| {
                let Some(found) = there.iter().find(|r| r.key == row.key) else { return true };
                if found.value != row.value {
                    warn!(turn = %row.key.key, "turn: held, but the store has another of its name");
                }
                retention::written(shared, row.turn);
                false
            }),
            // The second time tells whether the first took effect.
            PlatformReply::Unknown => {}
            // What was not written stays held.
            _ => return Batch { written: all - rows.len(), refused: true },
        }
        if rows.is_empty() {
            break;
        }
    }

    Batch { written: all - rows.len(), refused: false }
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
pub(crate) fn release(shared: &Shared, key: TurnKey) {
    let held = shared.held.borrow_mut().remove(&key);

    if let Some(Held { whose: Whose::Own(_), .. }) = held {
        tell_stored(shared, key);
    }
}

/// Tells the hosts that were asked to hold a turn that the store has it. Those whose replies were not
/// waited for would write it too.
pub(crate) fn tell_stored(shared: &Shared, key: TurnKey) {
    for host in holders(shared, key) {
        asks::tell(shared, host, &Ask::TurnStored(key));
    }
}
