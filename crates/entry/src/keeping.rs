//! Keeping turns: each is written to the store before the end of its answer is passed on, or held
//! by other hosts until the store takes it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use camphorwalk_core::platform::{
    Check, PlatformOp, PlatformReply, RowVersion, Transaction, Write,
};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::keeping::{Keeping, Next};
use camphorwalk_policy::entry::turns::{Turn, TurnKey};
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use tracing::info;

use crate::call::Call;
use crate::host::Shared;
use crate::turns::{Continuation, row_key};
use crate::{clock, held, retention, store};

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
    /// The write that is under way.
    writing: RefCell<Option<AbortHandle>>,
    /// Whether other hosts were asked to hold it.
    asked_peers: Rc<Cell<bool>>,
    /// Notified when a write fails.
    failed: Notify,
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
        writing: RefCell::default(),
        asked_peers: Rc::default(),
        failed: Notify::new(),
    };
    timeout(clock::until(call.deadline), ended.keep()).await.unwrap_or(Err("the time is over"))?;

    let shared = &call.shared;
    shared.metrics.keep_wait.observe(clock::now().since(ended.at).as_secs_f64());
    shared.turns.borrow_mut().put(ended.key, ended.turn);

    Ok(())
}

impl EndedTurn<'_> {
    /// Keeps the turn: in the store, or at other hosts if the store does not take it soon.
    async fn keep(&self) -> std::result::Result<(), &'static str> {
        tokio::select! {
            biased;
            stored = self.store() => stored,
            () = self.hold() => {
                self.held();
                Ok(())
            }
        }
    }

    /// Writes the turn until the store has it, or no further write is worth while.
    async fn store(&self) -> std::result::Result<(), &'static str> {
        let mut keeping = Keeping::default();

        loop {
            // The write goes on when the caller leaves or the turn is held elsewhere meanwhile.
            let writing = tokio::task::spawn_local(write_and_note(
                Rc::clone(&self.call.shared),
                self.key,
                Rc::clone(&self.value),
                Rc::clone(&self.asked_peers),
            ));
            *self.writing.borrow_mut() = Some(writing.abort_handle());
            let written =
                writing.await.unwrap_or(Err(NotStored::transient("the write ended early")));
            let Err(failure) = written else { return Ok(()) };

            self.failed.notify_one();
            match self.next(&mut keeping, failure) {
                Next::Retry(pause) => sleep(pause).await,
                Next::BreakOff => return Err(failure.reason),
            }
        }
    }

    /// Decides what to do after a write that failed.
    fn next(&self, keeping: &mut Keeping, failure: NotStored) -> Next {
        let NotStored { reason, is_final } = failure;
        let shared = &self.call.shared;
        let left = clock::until(self.call.deadline);
        let isolated_for = shared.isolated_for();
        let next = match is_final {
            true => Next::BreakOff,
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

    /// Returns when enough other hosts hold the turn. They are asked if the store does not answer soon.
    async fn hold(&self) {
        let shared = &self.call.shared;
        if timeout(store::HEDGE_AFTER, self.failed.notified()).await.is_err() {
            shared.store.note_slow(clock::now());
        }
        self.asked_peers.set(true);

        held::hold_at_peers(shared, self.key, &self.turn).await;
    }

    /// Takes in that other hosts hold the turn.
    fn held(&self) {
        let shared = &self.call.shared;
        let waited = clock::now().since(self.at);
        let writing = self.writing.take();
        let is_writing = writing.as_ref().is_some_and(|writing| !writing.is_finished());
        info!(
            request = %self.call.head.request_id, turn = %self.key.row(), ?waited, is_writing,
            store_answers = shared.store.answers_whole(), "turn: held by other hosts"
        );

        held::keep_own(shared, self.key, Rc::clone(&self.turn), writing);
        // It may have been written while they were asked.
        if shared.written.borrow().holds(self.key) {
            held::release(shared, self.key);
        }
    }
}

/// Writes the row of a turn, and takes note that the store has it.
async fn write_and_note(
    shared: Rc<Shared>,
    key: TurnKey,
    value: Rc<str>,
    asked_peers: Rc<Cell<bool>>,
) -> Result<()> {
    let began = clock::now();
    let written = write(&shared, key, &value).await;

    let is_held = shared.held.borrow().contains_key(&key);
    if is_held {
        let took = clock::now().since(began);
        info!(turn = %key.row(), ?took, ?written, "turn: its write ended after others held it");
    }
    written?;
    retention::written(&shared, key);
    if asked_peers.get() && !is_held {
        held::tell_stored(&shared, key);
    }

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
