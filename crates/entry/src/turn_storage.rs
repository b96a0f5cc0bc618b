//! Stores turns: a turn is written to the store before the end of its stream is forwarded.

use std::rc::Rc;

use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, RowVersion, Transaction, Write,
};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::turn_writes::{AfterFailedWrite, TurnWrites};
use camphorwalk_policy::entry::turns::{self, Turn, TurnKey};
use futures::future::try_join_all;
use tokio::time::timeout;
use tracing::info;

use crate::call::Call;
use crate::host::Shared;
use crate::turns::{Continuation, row_key};
use crate::{clock, retention, store};

/// Why a turn could not be written to the store.
#[derive(Clone, Copy, Debug)]
struct WriteFailure {
    reason: &'static str,
    /// Whether retrying the write cannot succeed.
    is_final: bool,
}

/// The result of a write.
type Result<T> = std::result::Result<T, WriteFailure>;

impl WriteFailure {
    fn transient(reason: &'static str) -> Self {
        Self { reason, is_final: false }
    }
}

/// A turn that has ended and must be stored.
struct CompletedTurn<'a> {
    call: &'a Call,
    /// The rows to write: those of earlier turns that are stored again, then its own.
    rows: Vec<TurnRow>,
    ended_at: Instant,
}

/// A row of the table of turns.
#[derive(Clone)]
struct TurnRow {
    key: TurnKey,
    turn: Rc<Turn>,
    /// The row's value.
    value: Rc<str>,
}

impl TurnRow {
    fn new(key: TurnKey, turn: Rc<Turn>) -> std::result::Result<Self, &'static str> {
        let value = serde_json::to_string(&*turn).map_err(|_| "the turn cannot be written")?;

        Ok(Self { key, turn, value: value.into() })
    }
}

/// Writes a turn whose stream has ended to the store, if its route stores turns. The end of the
/// stream must not be forwarded before: a caller that has received it may continue the turn at
/// another host, or after all hosts lost power, and the turn must then be in the store. Copies in
/// the memory of other hosts do not suffice, because a loss of power destroys them.
///
/// # Errors
///
/// Returns the reason if the turn could not be written before the caller's deadline.
pub(crate) async fn store_turn(
    call: &Call,
    continuation: &Continuation,
    output: Vec<u8>,
) -> std::result::Result<(), &'static str> {
    if !call.route().stores_turns {
        return Ok(());
    }

    let mut text = call.body.to_vec();
    text.extend_from_slice(&output);
    let completed =
        CompletedTurn { call, rows: rows(call, continuation, text)?, ended_at: clock::now() };
    timeout(clock::until(call.deadline), completed.store())
        .await
        .unwrap_or(Err("the time is over"))?;

    let shared = &call.shared;
    shared.metrics.turn_write_wait.observe(clock::now().since(completed.ended_at).as_secs_f64());
    let mut cache = shared.turns.borrow_mut();
    completed.rows.into_iter().for_each(|row| cache.put(row.key, row.turn));

    Ok(())
}

/// Returns the rows of a completed turn. If a row of an earlier turn is old, they include the earlier
/// turns once more: the rows of a long conversation's first turns would otherwise be deleted while
/// its last turn can still be continued.
fn rows(
    call: &Call,
    continuation: &Continuation,
    transcript: Vec<u8>,
) -> std::result::Result<Vec<TurnRow>, &'static str> {
    let key = TurnKey::new(call.tenant.as_deref().unwrap_or_default(), &call.head.request_id);
    let now_ms = clock::unix_ms();
    let previous = continuation.earlier.last();
    let is_packed = previous.is_some_and(|turn| turn.needs_packing(now_ms));
    let earlier = match is_packed {
        true => turns::pack(key, &continuation.earlier, now_ms),
        false => Vec::new(),
    };

    let turn = match (is_packed, previous) {
        (false, Some(previous)) => Turn::new(continuation.conversation.clone(), transcript)
            .with_oldest_row(previous.oldest_row_ms()),
        _ => Turn::new(earlier.iter().map(|(key, _)| *key).collect(), transcript)
            .with_oldest_row(now_ms),
    };
    if is_packed {
        info!(
            request = %call.head.request_id, earlier = continuation.earlier.len(),
            rows = earlier.len(), "turn: earlier turns stored again"
        );
    }

    let rows = earlier.into_iter().chain([(key, Rc::new(turn))]);
    rows.map(|(key, turn)| TurnRow::new(key, turn)).collect()
}

impl CompletedTurn<'_> {
    /// Writes the turn until the store has it or retrying is pointless.
    async fn store(&self) -> std::result::Result<(), &'static str> {
        let mut writes = TurnWrites::default();

        loop {
            // The task continues if the caller disconnects, so that a row that gets written is also
            // tracked for deletion.
            let writing = tokio::task::spawn_local(write_and_track(
                Rc::clone(&self.call.shared),
                self.rows.clone(),
            ));
            let written =
                writing.await.unwrap_or(Err(WriteFailure::transient("the write ended early")));
            let Err(failure) = written else { return Ok(()) };

            match self.decide_next(&mut writes, failure) {
                AfterFailedWrite::Retry(pause) => {
                    self.call.shared.store.wait_for_recovery(pause).await
                }
                AfterFailedWrite::BreakOff => return Err(failure.reason),
            }
        }
    }

    /// Decides what to do after a failed write.
    fn decide_next(&self, writes: &mut TurnWrites, failure: WriteFailure) -> AfterFailedWrite {
        let WriteFailure { reason, is_final } = failure;
        let shared = &self.call.shared;
        let left = clock::until(self.call.deadline);
        let isolated_for = shared.isolated_for();
        let next = match is_final {
            true => AfterFailedWrite::BreakOff,
            false => writes.write_failed(left, isolated_for),
        };

        shared.metrics.turn_write_failures.with_label_values(&[reason]).inc();
        info!(
            request = %self.call.head.request_id, reason, failed = writes.failed(),
            ?isolated_for, waited = ?clock::now().since(self.ended_at), ?left, ?next,
            "turn: write failed"
        );

        next
    }
}

/// Writes the rows of a turn, its own after the others, and tracks them for deletion after its
/// retention.
async fn write_and_track(shared: Rc<Shared>, rows: Vec<TurnRow>) -> Result<()> {
    let Some((own, earlier)) = rows.split_last() else { return Ok(()) };
    let write_row = async |row: &TurnRow| {
        write(&shared, row.key, &row.value).await?;
        retention::track(&shared, row.key);
        Ok(())
    };

    try_join_all(earlier.iter().map(write_row)).await?;
    write_row(own).await
}

/// Writes the row of a turn.
async fn write(shared: &Rc<Shared>, key: TurnKey, value: &str) -> Result<()> {
    let row = row_key(key);
    let tx = Transaction {
        checks: vec![Check { key: row.clone(), version: RowVersion::ABSENT }],
        writes: vec![Write { key: row, value: Some(value.into()) }],
    };

    let read = PlatformOp::Read(vec![row_key(key)]);

    // Repeating the write is harmless: the check allows the row to be created only once, and only
    // this turn writes this content. After a lost answer, reading the row tells whether the write
    // was applied. The second attempt may go through another host.
    for _ in 0..2 {
        match store::run(shared, PlatformOp::Commit(tx.clone())).await {
            PlatformReply::Committed(_) => return Ok(()),
            PlatformReply::Conflict(rows) if rows.iter().any(|row| *row.value == *value) => {
                return Ok(());
            }
            PlatformReply::Conflict(_) => {
                return Err(WriteFailure { reason: "another turn has this id", is_final: true });
            }
            PlatformReply::Unknown => {}
            _ => return Err(WriteFailure::transient("the store did not take the turn")),
        }
        if let PlatformReply::Rows(rows) = store::run(shared, read.clone()).await
            && rows.iter().any(|row| *row.value == *value)
        {
            return Ok(());
        }
    }

    Err(WriteFailure::transient("it cannot be told whether the store took the turn"))
}
