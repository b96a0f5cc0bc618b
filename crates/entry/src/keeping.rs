//! Keeping turns: each is written to the store before the end of its answer is passed on, or held
//! by other hosts until the store takes it.

use std::rc::Rc;

use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, RowVersion, Transaction, Write,
};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::keeping::{Keeping, Next};
use camphorwalk_policy::entry::turns::{Turn, TurnKey};
use tokio::task::{JoinError, JoinHandle};
use tokio::time::{sleep, timeout};
use tracing::info;

use crate::call::Call;
use crate::host::Shared;
use crate::turns::{Continuation, row_key};
use crate::{clock, held, retention, store};

/// Why a try did not keep a turn.
#[derive(Clone, Copy, Debug)]
struct NotKept {
    reason: &'static str,
    /// Whether no further try can keep it.
    is_final: bool,
}

/// What came of a try.
type Result<T> = std::result::Result<T, NotKept>;

impl NotKept {
    fn missed(reason: &'static str) -> Self {
        Self { reason, is_final: false }
    }
}

/// Keeps a turn whose stream has ended, if its route keeps turns. Until then its end may not be
/// passed on: the caller could continue it at another host, or after all hosts lost power.
///
/// # Errors
///
/// Returns why, if the turn could not be kept while its caller waits.
pub(crate) async fn keep(
    call: &Call,
    continuation: &Continuation,
    said: Vec<u8>,
) -> std::result::Result<(), &'static str> {
    if call.route().keeps.is_none() {
        return Ok(());
    }

    let shared = &call.shared;
    let key = TurnKey::new(call.tenant.as_deref().unwrap_or_default(), &call.head.request_id);
    let mut text = call.body.to_vec();
    text.extend_from_slice(&said);
    let turn = Turn::new(continuation.line.clone(), text);
    let value: Box<str> =
        serde_json::to_string(&turn).map_err(|_| "the turn cannot be written")?.into();
    let turn = Rc::new(turn);
    let ended = clock::now();
    let mut keeping = Keeping::default();

    loop {
        let tried = timeout(clock::until(call.deadline), try_once(call, key, &turn, &value)).await;
        let Err(missed) = tried.unwrap_or(Err(NotKept::missed("the time is over"))) else { break };

        match next(call, &mut keeping, ended, missed) {
            Next::TryAgain(pause) => sleep(pause).await,
            Next::BreakOff => return Err(missed.reason),
        }
    }
    if keeping.misses() > 0 && !shared.held.borrow().contains_key(&key) {
        held::tell_stored(shared, key);
    }
    shared.metrics.keep_wait.observe(clock::now().since(ended).as_secs_f64());
    shared.turns.borrow_mut().put(key, turn);

    Ok(())
}

/// Decides what to do after a try that did not keep a turn which ended at `ended`.
fn next(call: &Call, keeping: &mut Keeping, ended: Instant, missed: NotKept) -> Next {
    let left = clock::until(call.deadline);
    let isolated = call.shared.is_isolated();
    let next = match missed.is_final {
        true => Next::BreakOff,
        false => keeping.missed(left, isolated),
    };

    call.shared.metrics.keeps_missed.with_label_values(&[missed.reason]).inc();
    info!(
        request = %call.head.request_id, reason = missed.reason, misses = keeping.misses(),
        isolated, waited_ms = clock::now().since(ended).as_millis() as u64,
        left_ms = left.as_millis() as u64, next = ?next, "turn: not kept by a try"
    );

    next
}

/// Tries to keep a turn: writes it, and has other hosts hold it if the store does not take it soon.
async fn try_once(call: &Call, key: TurnKey, turn: &Rc<Turn>, value: &str) -> Result<()> {
    let shared = &call.shared;
    // The write goes on when the caller leaves or the turn is held elsewhere meanwhile.
    let mut writing: JoinHandle<Result<()>> =
        tokio::task::spawn_local(write_and_note(Rc::clone(shared), key, value.into()));
    let soon = timeout(store::HEDGE_AFTER, &mut writing).await.ok().map(joined);
    let reason = match soon {
        Some(Ok(())) => return Ok(()),
        Some(Err(missed)) if missed.is_final => return Err(missed),
        Some(Err(missed)) => missed.reason,
        None => {
            shared.store.note_slow(clock::now());
            "the store is slow"
        }
    };

    if held::hold_at_peers(shared, key, turn).await {
        info!(request = %call.head.request_id, reason, "turn: held by other hosts");
        held::keep_own(shared, key, Rc::clone(turn), writing.abort_handle());
        // It may have been written while they were asked.
        if shared.written.borrow().holds(key) {
            held::release(shared, key);
        }
        return Ok(());
    }
    if let Some(ended) = soon {
        return ended;
    }

    joined(writing.await)?;
    held::tell_stored(shared, key);
    Ok(())
}

fn joined(ended: std::result::Result<Result<()>, JoinError>) -> Result<()> {
    ended.unwrap_or(Err(NotKept::missed("the write ended early")))
}

/// Writes the row of a turn, and takes note that the store has it.
async fn write_and_note(shared: Rc<Shared>, key: TurnKey, value: Box<str>) -> Result<()> {
    write(&shared, key, value).await?;
    retention::written(&shared, key);

    Ok(())
}

/// Writes the row of a turn.
async fn write(shared: &Rc<Shared>, key: TurnKey, value: Box<str>) -> Result<()> {
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
            PlatformReply::Conflict(_) => {
                return Err(NotKept { reason: "another turn has this id", is_final: true });
            }
            PlatformReply::Unknown => {}
            _ => return Err(NotKept::missed("the store did not take the turn")),
        }
        if let PlatformReply::Rows(rows) = store::ask(shared, read.clone()).await
            && rows.iter().any(|row| row.value == value)
        {
            return Ok(());
        }
    }

    Err(NotKept::missed("it cannot be told whether the store took the turn"))
}
