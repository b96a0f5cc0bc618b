//! Turns that can be continued, as they are found: each is a row of the store.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use camphorwalk_core::platform::{PlatformOp, PlatformReply, RowKey};
use camphorwalk_policy::entry::turn_writes::{self, Outage, StartDecision};
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

/// When a caller is told to come back while it cannot be told whether a turn exists.
const UNSURE_RETRY: Duration = Duration::from_millis(300);

/// How long another host may take to find a turn: far more than the way, since a host that is
/// late for an instant may be the only one that has it at hand.
const FIND_DEADLINE: Duration = Duration::from_millis(150);

/// How long another host may take to send a line: some times the usual time, and about that which
/// the store takes for the turns of a line.
const LINE_DEADLINE: Duration = Duration::from_millis(20);

/// What a turn continues from.
#[derive(Clone, Default)]
pub(crate) struct Continuation {
    /// The earlier turns, the oldest first.
    earlier: Vec<Rc<Turn>>,
    /// Their names.
    pub(crate) line: Vec<TurnKey>,
}

impl Continuation {
    /// Returns the whole prompt: what was said before and the new input.
    pub(crate) fn body(&self, input: &Bytes) -> Bytes {
        if self.earlier.is_empty() {
            return input.clone();
        }

        let mut body = BytesMut::new();
        self.earlier.iter().for_each(|turn| body.extend_from_slice(turn.transcript()));
        body.extend_from_slice(input);
        body.freeze()
    }
}

/// Refuses a turn that is to be kept and most likely cannot be within its caller's time.
///
/// Its answer promises that it can be continued, for which the store must have it. Other zones can keep
/// what a host that is cut off cannot, and the balancer moves callers there. While the store is away for
/// all, a target would run the turn for a caller that leaves before its end.
pub(crate) fn may_be_kept(call: &Call) -> Result<(), Refusal> {
    let shared = &call.shared;
    if call.route().turn_retention.is_none() {
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
    match turn_writes::start_during_outage(outage) {
        StartDecision::Now => Ok(()),
        StartDecision::Later(after) => {
            info!(request = %call.head.request_id, ?outage, ?after, "turn: not begun");
            Err(Refusal::later_spread("turns cannot be kept while the store is away", after))
        }
    }
}

/// Finds the turns that a call continues from.
pub(crate) async fn continuation(call: &Call) -> Result<Continuation, Refusal> {
    let Some(previous) =
        call.head.previous_turn.as_deref().filter(|_| call.route().turn_retention.is_some())
    else {
        return Ok(Continuation::default());
    };
    let shared = &call.shared;
    let key = TurnKey::new(call.tenant.as_deref().unwrap_or_default(), previous);
    let retention = call.route().turn_retention.map_or(Duration::ZERO, |keeps| keeps.retention);
    fetch_line(call, key).await;
    let last = read(shared, key).await?.ok_or_else(|| {
        // A caller that is denied a turn gives up; only a host without any doubt does so.
        let certain = shared.knows_all_turns(retention);
        info!(request = %call.head.request_id, previous, certain, "turn: no such turn");
        match certain {
            true => Refusal::wrong(StatusCode::NOT_FOUND, "there is no such turn"),
            false => unsure(shared),
        }
    })?;

    let earlier = last.line.iter().map(|key| async move {
        // A turn's row is written after those of the turns before it.
        read(shared, *key).await?.ok_or_else(|| unsure(shared))
    });
    let mut earlier = try_join_all(earlier).await?;
    let line = last.conversation_with(key);
    earlier.push(last);

    Ok(Continuation { earlier, line })
}

/// Gets a line of turns from the host that had its last turn, if this one does not have it at hand.
///
/// The store has each turn too, but would be asked for each one of the line, and takes some
/// milliseconds. Where no such host is known or it does not answer, the store is asked.
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

/// Returns a turn and those before it in its line, as far as they are at hand.
pub(crate) fn line_at_hand(shared: &Shared, last: TurnKey) -> Vec<(TurnKey, Turn)> {
    let turns = shared.turns.borrow();
    let Some(turn) = turns.get(last) else { return Vec::new() };
    let keys = turn.line.iter().copied().chain([last]);

    keys.filter_map(|key| Some((key, Turn::clone(&*turns.get(key)?)))).collect()
}

/// Reads a turn; `None` if neither the store nor any known host has it.
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
        // While the store does not answer, hosts that ran or read the turn have it.
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

/// What came of asking the other hosts for a turn.
enum Search {
    /// One has it.
    Found(Turn),
    /// All that are known have answered, and none has it.
    Nowhere,
    /// Some did not answer.
    Unsure,
}

/// Asks all other hosts for a turn that the store did not give.
///
/// Whether hosts are heard does not tell whether one of them holds the turn: for most of a second
/// after a cut all still count as heard. Only their answers do.
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

/// Returns a turn if it is at hand.
pub(crate) fn at_hand(shared: &Shared, key: TurnKey) -> Option<Turn> {
    shared.turns.borrow().get(key).map(|turn| Turn::clone(&turn))
}

/// Returns the row of a turn.
pub(crate) fn row_key(key: TurnKey) -> RowKey {
    RowKey::new(TABLE, key.row_key())
}

fn unsure(shared: &Shared) -> Refusal {
    Refusal::later("it cannot be told whether the turn exists", shared.come_back(UNSURE_RETRY))
}
