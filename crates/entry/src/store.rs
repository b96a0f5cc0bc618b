//! Access to the platform's store: directly, or relayed through another host that the store
//! answers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::platform::{PlatformOp, PlatformReply};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::outage::{Change, StoreHealth};
use camphorwalk_policy::entry::write_back::{NextRound, WriteBack};
use camphorwalk_policy::entry::write_throttle::{Priority, WriteThrottle};
use camphorwalk_store::{Client, OnRateLimit, Report};
use tokio::sync::Notify;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::host::Shared;
use crate::queries::{self, Query, QueryReply};
use crate::{clock, fleet, grant_leases, grants, turns};

/// How long a relayed operation may take: the other host's own attempts and a round trip.
const RELAY_TIMEOUT: Duration = Duration::from_millis(600);

/// How often unstored grants are written back while the store answers. Only one round runs at a
/// time: overlapping rounds would use up the writes of a slow store for the same rows.
const WRITE_BACK_PERIOD: Duration = Duration::from_millis(500);

/// A part of the store counts as unavailable after an operation on it that stayed unanswered for
/// this long, since the client tried that operation several times.
const NO_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The hedging delay: how long a host waits for the store to answer the write of a grant before it
/// obtains the grant as it does while the store is unsettled (see `grants`). The write stays in
/// progress. The store usually answers a transaction in about 10 ms. A slow store takes a quarter
/// of a second or more, and a program that waits for it at several grants loses a whole second.
pub(crate) const HEDGE_AFTER: Duration = Duration::from_millis(60);

/// How long this host's status updates report that the store was slow for it: several times the
/// shortest period of status updates.
const SLOW_REPORT_TIME: Duration = Duration::from_millis(500);

/// How long a part that failed to answer an operation counts as trouble if no further operation on it
/// fails. A part that nobody uses is not tried again, and must not keep the fleet unsettled.
const FAILURE_REPORT_TIME: Duration = Duration::from_secs(1);

/// A store that answered this host within this time answers it: a rejection because of the rate then
/// applies to all hosts, and another host could not run the operation either. A store that rejects
/// all requests of one host answers none of them. Each host reads the changes of the targets more than
/// twice within this time.
const ANSWERED_LATELY: Duration = Duration::from_secs(1);

/// A client of the store that tracks which parts of it are available.
pub(crate) struct Store {
    client: Client,
    health: RefCell<StoreHealth>,
    throttle: RefCell<WriteThrottle>,
    /// When the store last answered this host.
    answered_at: Cell<Option<Instant>>,
    /// When the store was last slow or unavailable, for this host or another one.
    trouble_at: Cell<Option<Instant>>,
    /// When the store was last slow for this host.
    slow_at: Cell<Option<Instant>>,
    /// Notified when a part recovers, for this host or for a peer.
    recovered: Notify,
}

impl Store {
    /// Creates the client wrapper. Connections are made on first use.
    pub(crate) fn new(client: Client) -> Self {
        Self {
            client,
            health: RefCell::default(),
            throttle: RefCell::new(WriteThrottle::new(clock::now())),
            answered_at: Cell::new(None),
            trouble_at: Cell::new(None),
            slow_at: Cell::new(None),
            recovered: Notify::new(),
        }
    }

    /// Updates the limit on writes, and logs when it begins and ends.
    fn update_throttle<T>(&self, update: impl FnOnce(&mut WriteThrottle) -> T) -> T {
        let mut throttle = self.throttle.borrow_mut();
        let was_limited = throttle.rate().is_some();
        let result = update(&mut throttle);

        match throttle.rate() {
            Some(rate) if !was_limited => info!(rate, "store: writes are limited"),
            None if was_limited => info!("store: writes are no longer limited"),
            _ => {}
        }
        result
    }

    /// Returns whether the store as a whole answers this host.
    pub(crate) fn is_available(&self) -> bool {
        self.health.borrow().answers()
    }

    /// Returns whether all parts of the store that were tried answer this host.
    pub(crate) fn is_fully_available(&self) -> bool {
        let health = self.health.borrow();

        health.answers() && !health.any_part_unavailable()
    }

    /// Returns whether status updates report trouble to the other hosts: the store or a part of it
    /// does not answer this host, or was slow for it within [`SLOW_REPORT_TIME`].
    pub(crate) fn reports_trouble(&self) -> bool {
        let now = clock::now();
        let is_slow = self.slow_at.get().is_some_and(|at| now.since(at) < SLOW_REPORT_TIME);

        is_slow || self.health.borrow().any_part_failed_within(now, FAILURE_REPORT_TIME)
    }

    /// Records that the store answered this host late or not at all.
    pub(crate) fn record_slow(&self, now: Instant) {
        self.slow_at.set(Some(now));
        self.trouble_at.set(Some(now));
    }

    /// Waits until a part of the store recovers, for this host or a live peer, for at most
    /// `longest`.
    pub(crate) async fn wait_for_recovery(&self, longest: Duration) {
        // The waiting task tries again after a recovery and after the time-out alike.
        let _ = timeout(longest, self.recovered.notified()).await;
    }

    /// Records that the store answers another host again, through which this host can reach it.
    /// Wakes the tasks that wait for a recovery if the store does not answer this host directly.
    pub(crate) fn record_recovery_elsewhere(&self) {
        if !self.is_available() {
            self.recovered.notify_waiters();
        }
    }

    /// Returns for how long the store has not answered this host. Returns `None` if it does answer,
    /// and also if it never has.
    pub(crate) fn unavailable_for(&self) -> Option<Duration> {
        self.health.borrow().silent_for(clock::now())
    }

    /// Records that the store, or a part of it, was slow or unavailable for this host or another
    /// one.
    pub(crate) fn record_trouble(&self, now: Instant) {
        self.trouble_at.set(Some(now));
    }

    /// Returns whether the store was neither slow nor unavailable for any host within the last
    /// `time`, as far as this host knows.
    pub(crate) fn was_available_for(&self, time: Duration) -> bool {
        self.trouble_at.get().is_none_or(|at| clock::now().since(at) > time)
    }
}

/// Returns the name of the part of the store that holds a key.
fn part_of(key: &str) -> &str {
    key.split_once('/').map_or("", |(part, _)| part)
}

/// Returns the name of the part of the store that an operation accesses.
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

/// Returns the priority of an operation, by the table that it writes. Deletions of turns are few,
/// since one transaction deletes many.
fn priority(op: &PlatformOp) -> Priority {
    let PlatformOp::Commit(tx) = op else { return Priority::Essential };
    let Some(write) = tx.writes.first() else { return Priority::Essential };

    match &*write.key.table {
        turns::TABLE | fleet::HOSTS_TABLE | grant_leases::TABLE => Priority::Essential,
        _ => Priority::Normal,
    }
}

/// Runs an operation directly or through another host. Makes no direct attempt while the part that
/// the operation accesses is known to be unavailable and no retry is due, so that a call does not
/// wait for it. Returns `Unavailable` without delay if no live host reaches the store either.
pub(crate) async fn run(shared: &Rc<Shared>, op: PlatformOp) -> PlatformReply {
    let priority = priority(&op);

    run_with_priority(shared, op, priority).await
}

/// Runs an operation like [`run`], with a priority that the operation itself does not show.
pub(crate) async fn run_with_priority(
    shared: &Rc<Shared>,
    op: PlatformOp,
    priority: Priority,
) -> PlatformReply {
    let is_unavailable = {
        let mut health = shared.store.health.borrow_mut();
        health.is_unavailable(part(&op)) && !health.start_retry_if_due(clock::now(), part(&op))
    };

    match is_unavailable {
        true => relay(shared, op).await,
        false => run_here_or_relayed(shared, op, priority).await,
    }
}

/// Runs an operation directly, or through another host if the store does not answer. Background
/// tasks use this instead of [`run`], because a direct attempt each time detects the recovery.
pub(crate) async fn run_direct_or_relayed(shared: &Rc<Shared>, op: PlatformOp) -> PlatformReply {
    let priority = priority(&op);

    run_here_or_relayed(shared, op, priority).await
}

async fn run_here_or_relayed(
    shared: &Rc<Shared>,
    op: PlatformOp,
    priority: Priority,
) -> PlatformReply {
    match run_here(shared, op.clone(), priority, &|_| ()).await {
        DirectReply::Reply(PlatformReply::Unavailable) => relay(shared, op).await,
        DirectReply::Reply(reply) => reply,
        DirectReply::OverRate => PlatformReply::Unavailable,
    }
}

/// Runs an operation directly on the store. Calls `on_piece` with the number of bytes received so
/// far, for each piece of the answer.
pub(crate) async fn run_direct(
    shared: &Rc<Shared>,
    op: PlatformOp,
    on_piece: &impl Fn(usize),
) -> PlatformReply {
    let priority = priority(&op);

    match run_here(shared, op, priority, on_piece).await {
        DirectReply::Reply(reply) => reply,
        DirectReply::OverRate => PlatformReply::Unavailable,
    }
}

/// The result of an operation that was run without another host.
enum DirectReply {
    /// The store's reply.
    Reply(PlatformReply),
    /// The operation was not executed, because the hosts together exceed the store's rate. Another
    /// host would not succeed either.
    OverRate,
}

async fn run_here(
    shared: &Rc<Shared>,
    op: PlatformOp,
    priority: Priority,
    on_piece: &impl Fn(usize),
) -> DirectReply {
    let store = &shared.store;
    let began = clock::now();
    if !store.update_throttle(|throttle| throttle.admit(began, priority)) {
        shared.metrics.throttled_writes.inc();
        return DirectReply::OverRate;
    }

    let part: Box<str> = part(&op).into();
    let on_rate_limit = match priority {
        Priority::Deferrable => OnRateLimit::GiveUp,
        Priority::Essential | Priority::Normal => OnRateLimit::Retry,
    };
    let report = store.client.run_reported(op, on_rate_limit, on_piece).await;
    let now = clock::now();
    if report.rate_limited_attempts > 0 {
        let attempts = report.rate_limited_attempts;
        store.update_throttle(|throttle| throttle.record_rejections(now, attempts));
    }
    let answered_lately = store.answered_at.get().is_some_and(|at| now.since(at) < ANSWERED_LATELY);
    if report.is_rate_limited && answered_lately {
        return DirectReply::OverRate;
    }

    record_health(shared, &part, began, &report);
    DirectReply::Reply(report.reply)
}

/// Records whether a part of the store answered an operation that began at `began`.
fn record_health(shared: &Shared, part: &str, began: Instant, report: &Report) {
    let now = clock::now();
    let change = {
        let mut health = shared.store.health.borrow_mut();
        match report.reply {
            PlatformReply::Unavailable => health.failed(began, part),
            // A store may lose the answers to writes while it answers all other operations.
            PlatformReply::Unknown if now.since(began) < NO_ANSWER_TIMEOUT => None,
            PlatformReply::Unknown => health.failed(began, part),
            _ => {
                shared.store.answered_at.set(Some(now));
                health.answered(now, part)
            }
        }
    };

    if shared.store.health.borrow().any_part_failed_within(now, FAILURE_REPORT_TIME) {
        shared.store.record_trouble(now);
    }
    match change {
        Some(Change::Lost) => {
            let rate_limited = report.rate_limited_attempts;
            warn!(part, reply = ?report.reply, rate_limited, "store: does not answer");
        }
        Some(Change::Regained) => {
            info!(part, "store: answers again");
            shared.store.recovered.notify_waiters();
        }
        None => {}
    }
}

/// Starts the task that writes unstored grants back to the store: as soon as a part recovers, and
/// periodically, since this host may have to write grants of other hosts that cannot write them.
pub(crate) fn start_write_back(shared: &Rc<Shared>) {
    let shared = Rc::clone(shared);

    tokio::task::spawn_local(async move {
        let mut pace = WriteBack::default();
        loop {
            let round = grants::write_unstored(&shared, pace.max_writes()).await;
            if pace.round_ended(round) == NextRound::Later {
                shared.store.wait_for_recovery(WRITE_BACK_PERIOD).await;
            }
        }
    });
}

/// Runs an operation through another host.
async fn relay(shared: &Shared, op: PlatformOp) -> PlatformReply {
    // An operation that waits for changes would keep the other host's reply beyond the relay
    // timeout.
    if matches!(op, PlatformOp::Changes { wait, .. } if !wait.is_zero()) {
        return PlatformReply::Unavailable;
    }
    let Some(host) = shared.fleet.live_peer_with_store() else {
        return PlatformReply::Unavailable;
    };

    shared.metrics.relayed_operations.inc();
    match queries::send(shared, host, &Query::Store(op), RELAY_TIMEOUT).await {
        Some(QueryReply::Store(reply)) => reply,
        Some(_) => PlatformReply::Unavailable,
        // The other host may have run the operation although no reply came.
        None => PlatformReply::Unknown,
    }
}

/// Runs an operation for another host. The operation is never relayed again: two hosts that each
/// assume the other one reaches the store would pass it back and forth.
pub(crate) async fn run_for_peer(shared: &Rc<Shared>, op: PlatformOp) -> QueryReply {
    match shared.store.is_available() {
        true => QueryReply::Store(run_direct(shared, op, &|_| ()).await),
        false => QueryReply::Refused,
    }
}
