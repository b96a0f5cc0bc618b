//! The way to the platform's store: straight, or through another host that it answers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::platform::{PlatformOp, PlatformReply};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::outage::{Change, StoreHealth};
use camphorwalk_policy::entry::write_back::{NextRound, WriteBack};
use camphorwalk_store::Client;
use tokio::sync::Notify;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::asks::{self, Ask, Reply};
use crate::host::Shared;
use crate::{clock, grants};

/// How long a reply through another host may take: that host's own tries, and the way.
const RELAY_DEADLINE: Duration = Duration::from_millis(600);

/// How often what was made without the store is written, if the store answers. One round at a time
/// is under way: rounds that overlap take all writes of a slow store for the same rows.
const WRITE_BACK_PERIOD: Duration = Duration::from_millis(500);

/// An operation without an answer for this long was tried several times: the store is silent.
const LONG_SILENCE: Duration = Duration::from_millis(300);

/// After how long without an answer to a write a call goes on in another way, while the write does
/// too. The store answers a transaction in some 10 ms; when it is slow, in a quarter of a second
/// and more, of which a program would lose a whole second.
pub(crate) const HEDGE_AFTER: Duration = Duration::from_millis(60);

/// For how long other hosts are told that the store was slow: some periods of news.
const SLOW_TOLD: Duration = Duration::from_millis(500);

/// The way to the store.
pub(crate) struct Store {
    client: Client,
    health: RefCell<StoreHealth>,
    /// When it was last away or slow, for this host or another.
    away_at: Cell<Option<Instant>>,
    /// When it was last slow for this host.
    slow_at: Cell<Option<Instant>>,
    /// Told when a part is back, or answers another host again.
    returned: Notify,
}

impl Store {
    /// Makes the way; it connects when it is used.
    pub(crate) fn new(client: Client) -> Self {
        Self {
            client,
            health: RefCell::default(),
            away_at: Cell::new(None),
            slow_at: Cell::new(None),
            returned: Notify::new(),
        }
    }

    /// Returns whether the store as a whole answers this host.
    pub(crate) fn answers(&self) -> bool {
        self.health.borrow().answers()
    }

    /// Returns whether all parts of the store answer this host, as far as they were asked.
    pub(crate) fn answers_whole(&self) -> bool {
        let health = self.health.borrow();

        health.answers() && !health.any_part_unavailable()
    }

    /// Returns whether the other hosts are to be told of trouble: the store or a part of it does
    /// not answer this host, or was slow since the last news.
    pub(crate) fn is_in_trouble(&self) -> bool {
        let now = clock::now();
        let is_slow = self.slow_at.get().is_some_and(|at| now.since(at) < SLOW_TOLD);

        is_slow || self.health.borrow().any_part_unavailable()
    }

    /// Returns whether a part of the store that was tried within `lately` does not answer this host.
    pub(crate) fn missed_any(&self, lately: Duration) -> bool {
        self.health.borrow().any_part_failed_within(clock::now(), lately)
    }

    /// Takes in that an answer of the store is overdue.
    pub(crate) fn note_slow(&self, now: Instant) {
        self.slow_at.set(Some(now));
        self.away_at.set(Some(now));
    }

    /// Waits until a part of the store is back, for this host or for one that it hears, for
    /// `longest` at most.
    pub(crate) async fn wait_for_return(&self, longest: Duration) {
        // That the time is over is as good a reason to look again.
        let _ = timeout(longest, self.returned.notified()).await;
    }

    /// Takes in that the store answers another host again.
    pub(crate) fn returned_elsewhere(&self) {
        if !self.answers() {
            self.returned.notify_waiters();
        }
    }

    /// Returns for how long the store has not answered this host, if it does not; `None` also if
    /// it never has.
    pub(crate) fn silent_for(&self) -> Option<Duration> {
        self.health.borrow().silent_for(clock::now())
    }

    /// Returns whether the store has ever answered this process.
    pub(crate) fn has_answered(&self) -> bool {
        self.health.borrow().has_answered()
    }

    /// Takes in that the store does not answer some host.
    pub(crate) fn away_somewhere(&self, now: Instant) {
        self.away_at.set(Some(now));
    }

    /// Returns whether the store answered all hosts, as far as is known, for this long.
    pub(crate) fn was_there_for(&self, time: Duration) -> bool {
        self.away_at.get().is_none_or(|at| clock::now().since(at) > time)
    }
}

/// Returns the name of the part of the store that holds a key.
fn part_of(key: &str) -> &str {
    key.split_once('/').map_or("", |(part, _)| part)
}

/// Returns the name of the part of the store that an operation is on.
fn part(op: &PlatformOp) -> &str {
    match op {
        PlatformOp::Commit(tx) => {
            let first = tx.writes.first().map(|w| &w.key).or(tx.checks.first().map(|c| &c.key));
            first.map_or("", |key| part_of(&key.key))
        }
        PlatformOp::Read(keys) => keys.first().map_or("", |key| part_of(&key.key)),
        PlatformOp::Scan { prefix, .. } => part_of(prefix),
        _ => "",
    }
}

/// Runs an operation for a call: at once without an answer if neither the store nor a host that
/// reaches it answers.
pub(crate) async fn ask(shared: &Rc<Shared>, op: PlatformOp) -> PlatformReply {
    let is_held_up = {
        let mut health = shared.store.health.borrow_mut();
        health.is_unavailable(part(&op)) && !health.start_retry_if_due(clock::now(), part(&op))
    };

    match is_held_up {
        true => relay(shared, op).await,
        false => probe(shared, op).await,
    }
}

/// Runs an operation of the host's own, which also finds out whether the store is back.
pub(crate) async fn probe(shared: &Rc<Shared>, op: PlatformOp) -> PlatformReply {
    match ask_straight(shared, op.clone(), &|_| ()).await {
        PlatformReply::Unavailable => relay(shared, op).await,
        reply => reply,
    }
}

/// Runs an operation without another host's help. Calls `on_piece` with each piece of the store's
/// answer, with its bytes so far.
pub(crate) async fn ask_straight(
    shared: &Rc<Shared>,
    op: PlatformOp,
    on_piece: &impl Fn(usize),
) -> PlatformReply {
    let began = clock::now();
    let part: Box<str> = part(&op).into();
    let reply = shared.store.client.run_watched(op, on_piece).await;
    let now = clock::now();
    let change = {
        let mut health = shared.store.health.borrow_mut();
        match reply {
            PlatformReply::Unavailable => health.failed(began, &part),
            // A store may lose answers to writes and answer all else.
            PlatformReply::Unknown if now.since(began) < LONG_SILENCE => None,
            PlatformReply::Unknown => health.failed(began, &part),
            _ => health.answered(now, &part),
        }
    };

    if shared.store.health.borrow().any_part_unavailable() {
        shared.store.away_somewhere(clock::now());
    }
    match change {
        Some(Change::Lost) => warn!(part = %part, "store: does not answer"),
        Some(Change::Regained) => {
            info!(part = %part, "store: answers again");
            shared.store.returned.notify_waiters();
        }
        None => {}
    }
    reply
}

/// Starts to write what was granted without the store: at once when a part is back, and now and then,
/// since other hosts may know of grants that their owners could not write.
pub(crate) fn start_write_back(shared: &Rc<Shared>) {
    let shared = Rc::clone(shared);

    tokio::task::spawn_local(async move {
        let mut pace = WriteBack::default();
        loop {
            let round = grants::write_loose(&shared, pace.max_writes()).await;
            if pace.round_ended(round) == NextRound::Later {
                shared.store.wait_for_return(WRITE_BACK_PERIOD).await;
            }
        }
    });
}

/// Has another host run an operation.
async fn relay(shared: &Shared, op: PlatformOp) -> PlatformReply {
    // A question that waits for changes would hold the other host's reply for longer than a
    // reply is waited for.
    if matches!(op, PlatformOp::Changes { wait, .. } if !wait.is_zero()) {
        return PlatformReply::Unavailable;
    }
    let Some(host) = shared.fleet.store_peer() else {
        return PlatformReply::Unavailable;
    };

    shared.metrics.relayed.inc();
    match asks::ask(shared, host, &Ask::Store(op), RELAY_DEADLINE).await {
        Some(Reply::Store(reply)) => reply,
        Some(_) => PlatformReply::Unavailable,
        // Without a reply the operation may have been run.
        None => PlatformReply::Unknown,
    }
}

/// Runs an operation for another host. It is not passed on again: two hosts that each think that
/// the other reaches the store would pass it to and fro.
pub(crate) async fn run_for_peer(shared: &Rc<Shared>, op: PlatformOp) -> Reply {
    match shared.store.answers() {
        true => Reply::Store(ask_straight(shared, op, &|_| ()).await),
        false => Reply::Refused,
    }
}
