//! Looks up the earlier turns that a call continues. Each turn is a row of the store.

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
use crate::call::Call;
use crate::host::Shared;
use crate::queries::{self, Query, QueryReply};
use crate::{clock, store};

/// The table of turns.
pub(crate) const TABLE: &str = "turns";

/// Retry-After of a call while it cannot be determined whether its previous turn exists.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// How long another host may take to look up a turn. This is far more than a round trip, because a
/// host that is briefly slow may be the only one with the turn in memory.
const FIND_TIMEOUT: Duration = Duration::from_millis(150);

/// How long another host may take to send a conversation: several times the usual time, and about
/// as long as the store takes to return the turns.
const CONVERSATION_FETCH_TIMEOUT: Duration = Duration::from_millis(20);

/// The earlier turns that a turn continues.
#[derive(Clone, Default)]
pub(crate) struct Continuation {
    /// The earlier turns, oldest first.
    pub(crate) earlier: Vec<Rc<Turn>>,
    /// The keys of the earlier turns, oldest first.
    pub(crate) conversation: Vec<TurnKey>,
}

impl Continuation {
    /// Returns the whole prompt: the text of the earlier turns followed by the new input.
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

/// Refuses a turn that must be stored if that is unlikely to succeed before the caller's deadline.
///
/// Answering the turn promises that it can be continued, which requires it to be in the store. An
/// isolated host refuses at once, because other zones can still reach the store and the load
/// balancer moves callers there. During an outage of the store for all hosts, this host refuses the
/// turn if the outage will probably last longer than the caller waits for the end of a stream: a
/// target would run the turn for a caller that gives up before its end.
pub(crate) fn check_can_store(call: &Call) -> Result<(), Refusal> {
    let shared = &call.shared;
    if !call.route().stores_turns {
        return Ok(());
    }
    if shared.is_isolated() {
        let reason = "turns cannot be kept here while the zone is cut off";
        return Err(Refusal::retry_later_jittered(
            reason,
            shared.retry_after_unless_isolated(UNKNOWN_RETRY_AFTER),
        ));
    }
    if shared.reaches_store() {
        return Ok(());
    }

    let outage =
        Outage { silent_for: shared.store.unavailable_for(), left: clock::until(call.deadline) };
    match turn_writes::start_during_outage(outage) {
        StartDecision::Now => Ok(()),
        StartDecision::Later(after) => {
            info!(request = %call.head.request_id, ?outage, ?after, "turn: not begun");
            Err(Refusal::retry_later_jittered(
                "turns cannot be kept while the store is away",
                after,
            ))
        }
    }
}

/// Loads the earlier turns that a call continues.
pub(crate) async fn load_continuation(call: &Call) -> Result<Continuation, Refusal> {
    let Some(previous) = call.head.previous_turn.as_deref().filter(|_| call.continues_turn())
    else {
        return Ok(Continuation::default());
    };
    let shared = &call.shared;
    let key = TurnKey::new(call.tenant.as_deref().unwrap_or_default(), previous);
    let retention = call.route().retention.unwrap_or_default();
    fetch_conversation(call, key).await;
    let last = read_turn(shared, key).await?.ok_or_else(|| {
        // A caller gives up on a turn that does not exist, so this answer requires certainty.
        let certain = shared.can_prove_turn_absent(retention);
        info!(request = %call.head.request_id, previous, certain, "turn: no such turn");
        match certain {
            true => Refusal::permanent(StatusCode::NOT_FOUND, "there is no such turn"),
            false => unknown_turn(shared),
        }
    })?;

    let earlier = last.line.iter().map(|key| async move {
        // The row must exist, because a turn is written after the turns that it continues.
        read_turn(shared, *key).await?.ok_or_else(|| unknown_turn(shared))
    });
    let mut earlier = try_join_all(earlier).await?;
    let conversation = last.conversation_with(key);
    earlier.push(last);

    Ok(Continuation { earlier, conversation })
}

/// Fetches a conversation from the other host that forwarded the last turn, if that turn is not
/// cached here.
///
/// The store has the turns too, but reading them takes one request for each and some milliseconds.
/// If no such host is known or it does not answer, the turns are read from the store.
async fn fetch_conversation(call: &Call, last: TurnKey) {
    let shared = &call.shared;
    if shared.turns.borrow().get(last).is_some() {
        return;
    }
    let Some(host) = shared.last_host_of_conversation(&call.head) else { return };

    let reply = queries::send(shared, host, &Query::Line(last), CONVERSATION_FETCH_TIMEOUT).await;
    let Some(QueryReply::Line(turns)) = reply else { return };
    shared.metrics.turns_fetched.inc_by(turns.len() as u64);
    let mut cache = shared.turns.borrow_mut();
    turns.into_iter().for_each(|(key, turn)| cache.put(key, Rc::new(turn)));
}

/// Returns a turn and the earlier turns of its conversation, as far as they are cached.
pub(crate) fn cached_conversation(shared: &Shared, last: TurnKey) -> Vec<(TurnKey, Turn)> {
    let turns = shared.turns.borrow();
    let Some(turn) = turns.get(last) else { return Vec::new() };
    let keys = turn.line.iter().copied().chain([last]);

    keys.filter_map(|key| Some((key, Turn::clone(&*turns.get(key)?)))).collect()
}

/// Reads a turn. Returns `None` if neither this host, the store nor any other known host has it.
async fn read_turn(shared: &Rc<Shared>, key: TurnKey) -> Result<Option<Rc<Turn>>, Refusal> {
    if let Some(turn) = shared.turns.borrow().get(key) {
        return Ok(Some(turn));
    }

    shared.metrics.turn_reads.inc();
    let reply = store::run(shared, PlatformOp::Read(vec![row_key(key)])).await;
    let is_absent = matches!(&reply, PlatformReply::Rows(rows) if rows.is_empty());
    let turn = match reply {
        PlatformReply::Rows(rows) if !rows.is_empty() => {
            let row = &rows[0];
            serde_json::from_str(&row.value).map_err(|e| {
                warn!(turn = %row.key.key, error = %e, "turn: row cannot be parsed");
                unknown_turn(shared)
            })?
        }
        // If the store does not answer or has no such row, other hosts that forwarded or read the
        // turn may still have it in memory.
        _ => match find_at_peers(shared, key).await {
            SearchResult::Found(turn) => turn,
            SearchResult::Absent if is_absent => return Ok(None),
            SearchResult::Absent | SearchResult::Incomplete => return Err(unknown_turn(shared)),
        },
    };
    let turn = Rc::new(turn);
    shared.turns.borrow_mut().put(key, Rc::clone(&turn));

    Ok(Some(turn))
}

/// The result of asking the other hosts for a turn.
enum SearchResult {
    /// Another host has the turn in memory.
    Found(Turn),
    /// All other known hosts have answered, and none has the turn in memory.
    Absent,
    /// Some hosts did not answer.
    Incomplete,
}

/// Asks all other known hosts for a turn that the store did not return.
///
/// Liveness alone does not tell whether a host may hold the turn, because for most of a second
/// after a partition begins all hosts still count as live. So a missing answer leaves the result
/// open.
async fn find_at_peers(shared: &Shared, key: TurnKey) -> SearchResult {
    let hosts = shared.fleet.known_hosts();
    let mut replies: FuturesUnordered<_> =
        hosts
            .into_iter()
            .map(|host| async move {
                queries::send(shared, host, &Query::Find(key), FIND_TIMEOUT).await
            })
            .collect();
    let mut search = SearchResult::Absent;

    while let Some(reply) = replies.next().await {
        match reply {
            Some(QueryReply::Turn(Some(turn))) => return SearchResult::Found(turn),
            Some(QueryReply::Turn(None)) => {}
            _ => search = SearchResult::Incomplete,
        }
    }

    search
}

/// Returns a turn if it is cached.
pub(crate) fn cached_turn(shared: &Shared, key: TurnKey) -> Option<Turn> {
    shared.turns.borrow().get(key).map(|turn| Turn::clone(&turn))
}

/// Returns the key of a turn's row.
pub(crate) fn row_key(key: TurnKey) -> RowKey {
    RowKey::new(TABLE, key.row_key())
}

fn unknown_turn(shared: &Shared) -> Refusal {
    Refusal::retry_later(
        "it cannot be told whether the turn exists",
        shared.retry_after_unless_isolated(UNKNOWN_RETRY_AFTER),
    )
}
