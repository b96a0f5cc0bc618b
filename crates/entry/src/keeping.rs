//! Keeping turns: each is written to the store before the end of its answer is passed on, or held
//! by other hosts until the store takes it.

use std::rc::Rc;

use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, RowVersion, Transaction, Write,
};
use camphorwalk_policy::entry::turns::{Turn, TurnKey};
use tokio::time::timeout;
use tracing::info;

use crate::call::Call;
use crate::host::Shared;
use crate::turns::{Continuation, row_key};
use crate::{clock, held, retention, store};

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
        if held::hold_at_peers(shared, key, &turn).await {
            info!(request = %call.head.request_id, reason, "turn: held by other hosts");
            held::keep_own(shared, key, Rc::clone(&turn), writing);
            // It may have been written while they were asked.
            if shared.written.borrow().holds(key) {
                held::release(shared, key);
            }
        } else if writing.is_finished() {
            return Err(reason);
        } else {
            writing.await.map_err(|_| "the write ended early")??;
        }
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
    retention::written(&shared, key);

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
