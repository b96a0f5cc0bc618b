//! Looks up the earlier turns that a call continues. Each turn is a row of the store.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use camphorwalk_core::platform::{PlatformOp, PlatformReply, RowKey};
use camphorwalk_policy::entry::keeping::{self, Begin, Outage};
use camphorwalk_policy::entry::turns::{Turn, TurnKey};
use futures::StreamExt as _;
use futures::future::try_join_all;
use futures::stream::FuturesUnordered;
use http::StatusCode;
use tracing::{info, warn};

use crate::answer::Refusal;
use crate::asks::{self, Ask, Reply};
use crate::call::Call;
use crate::host::Shared;
use crate::{clock, store};

/// The table of turns.
const TABLE: &str = "turns";

/// Retry-After of a call while it cannot be determined whether its previous turn exists.
const UNSURE_RETRY: Duration = Duration::from_millis(300);

/// How long another host may take to look up a turn. This is far more than a round trip, because a
/// host that is briefly slow may be the only one with the turn in memory.
const FIND_DEADLINE: Duration = Duration::from_millis(150);

/// How long another host may take to send a chain of turns: several times the usual time, and about
/// as long as the store takes to return the turns.
const LINE_DEADLINE: Duration = Duration::from_millis(20);

/// The earlier turns that a turn continues.
#[derive(Clone, Default)]
pub(crate) struct Continuation {
    /// The earlier turns, oldest first.
    earlier: Vec<Rc<Turn>>,
    /// The keys of the earlier turns, oldest first.
    pub(crate) line: Vec<TurnKey>,
}

impl Continuation {
    /// Returns the whole prompt: the text of the earlier turns followed by the new input.
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

/// Refuses a turn that must be persisted if that is unlikely to succeed before the caller's
/// deadline.
///
/// Answering the turn promises that it can be continued, which requires it to be in the store. A
/// host that is cut off refuses at once, because other zones can still reach the store and the load
/// balancer moves callers there. During an outage of the store for all hosts, a target would run
/// the turn for a caller that gives up before its end.
pub(crate) fn may_be_kept(call: &Call) -> Result<(), Refusal> {
    let shared = &call.shared;
    if call.route().keeps.is_none() {
        return Ok(());
    }
    if shared.is_isolated() {
        let reason = "turns cannot be kept here while the zone is cut off";
        return Err(Refusal::later_spread(reason, shared.come_back(UNSURE_RETRY)));
    }
    if shared.reaches_store() {
        return Ok(());
    }

    let outage =
        Outage { silent_for: shared.store.silent_for(), left: clock::until(call.deadline) };
    match keeping::begin(outage) {
        Begin::Now => Ok(()),
        Begin::Later(after) => {
            info!(request = %call.head.request_id, ?outage, ?after, "turn: not begun");
            Err(Refusal::later_spread("turns cannot be kept while the store is away", after))
        }
    }
}

/// Loads the chain of earlier turns that a call continues.
pub(crate) async fn continuation(call: &Call) -> Result<Continuation, Refusal> {
    let Some(previous) = call.head.previous.as_deref().filter(|_| call.route().keeps.is_some())
    else {
        return Ok(Continuation::default());
    };
    let shared = &call.shared;
    let key = TurnKey::new(call.tenant.as_deref().unwrap_or_default(), previous);
    let retention = call.route().keeps.map_or(Duration::ZERO, |keeps| keeps.retention);
    fetch_line(call, key).await;
    let last = read(shared, key).await?.ok_or_else(|| {
        // A caller gives up on a turn that does not exist, so this answer requires certainty.
        let certain = shared.knows_all_turns(retention);
        info!(request = %call.head.request_id, previous, certain, "turn: no such turn");
        match certain {
            true => Refusal::wrong(StatusCode::NOT_FOUND, "there is no such turn"),
            false => unsure(shared),
        }
    })?;

    let earlier = last.line.iter().map(|key| async move {
        // The row must exist, because a turn is written after the turns that it continues.
        read(shared, *key).await?.ok_or_else(|| unsure(shared))
    });
    let mut earlier = try_join_all(earlier).await?;
    let line = last.line_with(key);
    earlier.push(last);

    Ok(Continuation { earlier, line })
}

/// Fetches a chain of turns from the host that ran the last turn, if that turn is not cached here.
///
/// The store has the turns too, but reading them takes one request for each and some milliseconds.
/// If no such host is known or it does not answer, the turns are read from the store.
async fn fetch_line(call: &Call, last: TurnKey) {
    let shared = &call.shared;
    if shared.turns.borrow().get(last).is_some() {
        return;
    }
    let Some(host) = shared.host_before(&call.head) else { return };

    let reply = asks::ask(shared, host, &Ask::Line(last), LINE_DEADLINE).await;
    let Some(Reply::Line(turns)) = reply else { return };
    shared.metrics.turns_fetched.inc_by(turns.len() as u64);
    let mut at_hand = shared.turns.borrow_mut();
    turns.into_iter().for_each(|(key, turn)| at_hand.put(key, Rc::new(turn)));
}

/// Returns a turn and the earlier turns of its chain, as far as they are cached.
pub(crate) fn line_at_hand(shared: &Shared, last: TurnKey) -> Vec<(TurnKey, Turn)> {
    let turns = shared.turns.borrow();
    let Some(turn) = turns.get(last) else { return Vec::new() };
    let keys = turn.line.iter().copied().chain([last]);

    keys.filter_map(|key| Some((key, Turn::clone(&*turns.get(key)?)))).collect()
}

/// Reads a turn. Returns `None` if neither the store nor any known host has it.
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
        // Without an answer from the store, hosts that ran or read the turn may still have it.
        _ => match find(shared, key).await {
            Search::Found(turn) => turn,
            Search::Nowhere if is_absent => return Ok(None),
            Search::Nowhere | Search::Unsure => return Err(unsure(shared)),
        },
    };
    let turn = Rc::new(turn);
    shared.turns.borrow_mut().put(key, Rc::clone(&turn));

    Ok(Some(turn))
}

/// The result of asking the other hosts for a turn.
enum Search {
    /// A host has the turn.
    Found(Turn),
    /// All known hosts have answered, and none has the turn.
    Nowhere,
    /// Some hosts did not answer.
    Unsure,
}

/// Asks all known hosts for a turn that the store did not return.
///
/// Liveness alone does not tell whether a host may hold the turn, because for most of a second
/// after a partition begins all hosts still count as live. So a missing answer leaves the result
/// open.
async fn find(shared: &Shared, key: TurnKey) -> Search {
    let hosts = shared.fleet.known_hosts();
    let mut replies: FuturesUnordered<_> = hosts
        .into_iter()
        .map(|host| async move { asks::ask(shared, host, &Ask::Find(key), FIND_DEADLINE).await })
        .collect();
    let mut search = Search::Nowhere;

    while let Some(reply) = replies.next().await {
        match reply {
            Some(Reply::Turn(Some(turn))) => return Search::Found(turn),
            Some(Reply::Turn(None)) => {}
            _ => search = Search::Unsure,
        }
    }

    search
}

/// Returns a turn if it is cached.
pub(crate) fn at_hand(shared: &Shared, key: TurnKey) -> Option<Turn> {
    shared.turns.borrow().get(key).map(|turn| Turn::clone(&turn))
}

/// Returns the key of a turn's row.
pub(crate) fn row_key(key: TurnKey) -> RowKey {
    RowKey::new(TABLE, key.row())
}

fn unsure(shared: &Shared) -> Refusal {
    Refusal::later("it cannot be told whether the turn exists", shared.come_back(UNSURE_RETRY))
}
