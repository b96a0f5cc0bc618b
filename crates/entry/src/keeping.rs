//! Keeping turns: the store has each before the end of its answer is passed on.

use std::rc::Rc;

use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, RowVersion, Transaction, Write,
};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::turn_writes::{AfterFailedWrite, TurnWrites};
use camphorwalk_policy::entry::turns::{Turn, TurnKey};
use tokio::time::timeout;
use tracing::info;

use crate::call::Call;
use crate::host::Shared;
use crate::turns::{Continuation, row_key};
use crate::{clock, retention, store};

/// Why a turn is not in the store.
#[derive(Clone, Copy, Debug)]
struct NotStored {
    reason: &'static str,
    /// Whether no further write can change that.
    is_final: bool,
}

/// What came of a write.
type Result<T> = std::result::Result<T, NotStored>;

impl NotStored {
    fn transient(reason: &'static str) -> Self {
        Self { reason, is_final: false }
    }
}

/// A turn that has ended and is to be kept.
struct EndedTurn<'a> {
    call: &'a Call,
    key: TurnKey,
    turn: Rc<Turn>,
    /// Its row.
    value: Rc<str>,
    at: Instant,
}

/// Keeps a turn whose stream has ended, if its route keeps turns. Until then its end may not be
/// passed on: the caller could continue it at another host, or after all hosts lost power. So only
/// the store counts, however many hosts have the turn in memory.
///
/// # Errors
///
/// Returns why, if the turn could not be kept while its caller waits.
pub(crate) async fn keep(
    call: &Call,
    continuation: &Continuation,
    said: Vec<u8>,
) -> std::result::Result<(), &'static str> {
    if call.route().turn_retention.is_none() {
        return Ok(());
    }

    let mut text = call.body.to_vec();
    text.extend_from_slice(&said);
    let turn = Turn::new(continuation.line.clone(), text);
    let value = serde_json::to_string(&turn).map_err(|_| "the turn cannot be written")?;
    let ended = EndedTurn {
        call,
        key: TurnKey::new(call.tenant.as_deref().unwrap_or_default(), &call.head.request_id),
        turn: Rc::new(turn),
        value: value.into(),
        at: clock::now(),
    };
    timeout(clock::until(call.deadline), ended.store()).await.unwrap_or(Err("the time is over"))?;

    let shared = &call.shared;
    shared.metrics.keep_wait.observe(clock::now().since(ended.at).as_secs_f64());
    shared.turns.borrow_mut().put(ended.key, ended.turn);

    Ok(())
}

impl EndedTurn<'_> {
    /// Writes the turn until the store has it, or no further write is worth while.
    async fn store(&self) -> std::result::Result<(), &'static str> {
        let mut keeping = TurnWrites::default();

        loop {
            // The write goes on when the caller leaves, so that the row is deleted in time.
            let writing = tokio::task::spawn_local(write_and_note(
                Rc::clone(&self.call.shared),
                self.key,
                Rc::clone(&self.value),
            ));
            let written =
                writing.await.unwrap_or(Err(NotStored::transient("the write ended early")));
            let Err(failure) = written else { return Ok(()) };

            match self.next(&mut keeping, failure) {
                AfterFailedWrite::Retry(pause) => {
                    self.call.shared.store.wait_for_return(pause).await
                }
                AfterFailedWrite::BreakOff => return Err(failure.reason),
            }
        }
    }

    /// Decides what to do after a write that failed.
    fn next(&self, keeping: &mut TurnWrites, failure: NotStored) -> AfterFailedWrite {
        let NotStored { reason, is_final } = failure;
        let shared = &self.call.shared;
        let left = clock::until(self.call.deadline);
        let isolated_for = shared.isolated_for();
        let next = match is_final {
            true => AfterFailedWrite::BreakOff,
            false => keeping.write_failed(left, isolated_for),
        };

        shared.metrics.keep_failures.with_label_values(&[reason]).inc();
        info!(
            request = %self.call.head.request_id, reason, failed = keeping.failed(),
            ?isolated_for, waited = ?clock::now().since(self.at), ?left, ?next,
            "turn: write failed"
        );

        next
    }
}

/// Writes the row of a turn, and takes note that the store has it.
async fn write_and_note(shared: Rc<Shared>, key: TurnKey, value: Rc<str>) -> Result<()> {
    write(&shared, key, &value).await?;
    retention::written(&shared, key);

    Ok(())
}

/// Writes the row of a turn.
async fn write(shared: &Rc<Shared>, key: TurnKey, value: &str) -> Result<()> {
    let row = row_key(key);
    let tx = Transaction {
        checks: vec![Check { key: row.clone(), version: RowVersion::ABSENT }],
        writes: vec![Write { key: row, value: Some(value.into()) }],
    };

    let read = PlatformOp::Read(vec![row_key(key)]);

    // Writing it a second time is harmless: the row is there only once, and only this turn can
    // have written it with this content. Reading tells whether a write whose answer was lost
    // took effect. The second time may go through another host.
    for _ in 0..2 {
        match store::ask(shared, PlatformOp::Commit(tx.clone())).await {
            PlatformReply::Committed(_) => return Ok(()),
            PlatformReply::Conflict(rows) if rows.iter().any(|row| *row.value == *value) => {
                return Ok(());
            }
            PlatformReply::Conflict(_) => {
                return Err(NotStored { reason: "another turn has this id", is_final: true });
            }
            PlatformReply::Unknown => {}
            _ => return Err(NotStored::transient("the store did not take the turn")),
        }
        if let PlatformReply::Rows(rows) = store::ask(shared, read.clone()).await
            && rows.iter().any(|row| *row.value == *value)
        {
            return Ok(());
        }
    }

    Err(NotStored::transient("it cannot be told whether the store took the turn"))
}
