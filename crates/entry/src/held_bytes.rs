//! Holds the bytes of requests and answers within one bound, if the settings set one.
//!
//! The decisions are those of `camphorwalk_policy::entry::held_bytes`. Whatever holds bytes keeps a
//! [`Hold`], whose drop releases them, whichever party disappears.

use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use camphorwalk_core::entry::EntrySettings;
use camphorwalk_core::hash::Map;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::held_bytes::{Direction, HeldBytes, HoldDecision, ReservationKey};
use http::{Extensions, HeaderMap, header};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::{Body, Incoming};
use prometheus::IntGauge;
use tokio::sync::Notify;
use tracing::info;

use crate::answer::Refusal;
use crate::clock;
use crate::host::Shared;
use crate::metrics::Metrics;
use crate::read_limit::{BodyError, TargetBody};

/// Retry-After of a request for which there is no room: callers that take a part of their answers
/// within this time make room, and those that do not are given up soon after.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long an answer may wait for room before it is given up. Its target waits meanwhile, and would
/// cut the answer off after some seconds.
pub(crate) const MAX_ROOM_WAIT: Duration = Duration::from_secs(1);

/// How often room is requested again while there is none.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why calls are refused and answers given up.
pub(crate) const FULL: &str = "the host holds too much for slow readers";

/// The account of a host with a bound.
pub(crate) struct Account {
    bytes: RefCell<HeldBytes>,
    /// The callers' connections of the open reservations.
    connections: RefCell<Map<ReservationKey, ConnectionCloser>>,
    request_gauge: IntGauge,
    answer_gauge: IntGauge,
}

impl Account {
    /// Returns the account of a host, or `None` without a bound.
    pub(crate) fn from_settings(settings: &EntrySettings, metrics: &Metrics) -> Option<Self> {
        let fraction = settings.features.held_bytes_fraction?;
        let bytes = HeldBytes::new(settings.memory_bytes, fraction);
        info!(
            fraction,
            room = bytes.room(),
            turn_cache = bytes.turn_cache_bytes(),
            "held: bound set"
        );

        let gauge =
            |direction: Direction| metrics.held_bytes.with_label_values(&[direction.name()]);
        Some(Self {
            bytes: RefCell::new(bytes),
            connections: RefCell::default(),
            request_gauge: gauge(Direction::Request),
            answer_gauge: gauge(Direction::Answer),
        })
    }

    /// Updates the metrics of the bytes held.
    fn update_gauges(&self) {
        let bytes = self.bytes.borrow();

        for (direction, gauge) in
            [(Direction::Request, &self.request_gauge), (Direction::Answer, &self.answer_gauge)]
        {
            gauge.set(i64::try_from(bytes.held_in(direction)).unwrap_or(i64::MAX));
        }
    }

    /// Returns the bytes that the cache of turns may use.
    pub(crate) fn turn_cache_bytes(&self) -> u64 {
        self.bytes.borrow().turn_cache_bytes()
    }
}

/// Closes the connection of a caller whose answer is given up.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionCloser(Arc<Notify>);

impl ConnectionCloser {
    /// Waits until the connection must be closed.
    pub(crate) async fn closed(&self) {
        self.0.notified().await;
    }
}

/// A reservation, which is released when dropped.
pub(crate) struct Hold {
    shared: Rc<Shared>,
    key: ReservationKey,
    tenant: Box<str>,
    closer: ConnectionCloser,
    /// Notified when the caller has taken bytes.
    taken: Notify,
}

impl Hold {
    /// Opens the reservation of a request. Returns `None` if the host has no bound.
    ///
    /// # Errors
    ///
    /// Refuses the request if there is no room for it.
    pub(crate) fn for_request(
        shared: &Rc<Shared>,
        tenant: Option<&str>,
        headers: &HeaderMap,
        extensions: &Extensions,
        max_bytes: usize,
    ) -> Result<Option<Self>, Refusal> {
        let closer = extensions.get().cloned().unwrap_or_default();
        let Some(hold) = Self::open(shared, tenant.unwrap_or_default(), Direction::Request, closer)
        else {
            return Ok(None);
        };

        let declared = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
        let declared = declared.and_then(|value| value.parse().ok()).unwrap_or(0);
        match hold.request_room(|account, now| {
            account.check_new(now, hold.key, u64::min(declared, max_bytes as u64))
        }) {
            true => Ok(Some(hold)),
            false => Err(refuse_request(Some(&hold))),
        }
    }

    /// Opens the reservation of the answer to a request.
    pub(crate) fn for_answer(&self) -> Option<Self> {
        Self::open(&self.shared, &self.tenant, Direction::Answer, self.closer.clone())
    }

    fn open(
        shared: &Rc<Shared>,
        tenant: &str,
        direction: Direction,
        closer: ConnectionCloser,
    ) -> Option<Self> {
        let account = shared.held_bytes.as_ref()?;
        let key = account.bytes.borrow_mut().open(tenant, direction);
        account.connections.borrow_mut().insert(key, closer.clone());

        Some(Self {
            shared: Rc::clone(shared),
            key,
            tenant: tenant.into(),
            closer,
            taken: Notify::new(),
        })
    }

    /// Adds bytes if there is room for them, which may be made by giving up other answers.
    pub(crate) fn reserve(&self, bytes: usize) -> bool {
        self.request_room(|account, now| account.reserve(now, self.key, bytes as u64))
    }

    /// Adds bytes as soon as there is room for them. Returns `false` if there was none until `end`.
    pub(crate) async fn reserve_until(&self, bytes: usize, end: Instant) -> bool {
        while !self.reserve(bytes) {
            let left = clock::until(end);
            if left.is_zero() {
                return false;
            }
            tokio::time::sleep(left.min(ROOM_CHECK_INTERVAL)).await;
        }

        true
    }

    /// Records that the caller can take the bytes from now on.
    pub(crate) fn deliver(&self) {
        if let Some(account) = self.account() {
            account.bytes.borrow_mut().deliver(clock::now(), self.key);
        }
    }

    /// Returns how many bytes are held.
    pub(crate) fn bytes(&self) -> u64 {
        self.account().map_or(0, |account| account.bytes.borrow().bytes(self.key))
    }

    /// Waits until the caller has taken bytes.
    pub(crate) async fn taken(&self) {
        self.taken.notified().await;
    }

    /// Counts the answer as given up, and logs why.
    pub(crate) fn record_given_up(&self, cause: &str) {
        let Some(account) = self.account() else { return };
        let usage = account.bytes.borrow().usage(self.key);
        info!(
            tenant = %self.tenant, cause, bytes = self.bytes(), held = usage.held,
            room = usage.room, tenant_held = usage.tenant, part = usage.part, "held: given up"
        );
        self.shared.metrics.given_up.with_label_values(&[cause]).inc();
    }

    fn account(&self) -> Option<&Account> {
        self.shared.held_bytes.as_ref()
    }

    /// Requests room, and gives up answers for it as decided.
    fn request_room(
        &self,
        mut decide: impl FnMut(&mut HeldBytes, Instant) -> HoldDecision,
    ) -> bool {
        let Some(account) = self.account() else { return true };

        loop {
            let decision = decide(&mut account.bytes.borrow_mut(), clock::now());
            match decision {
                HoldDecision::Hold => break,
                HoldDecision::HoldAfterDropping(victim) => give_up(&self.shared, account, victim),
                HoldDecision::Refuse => return false,
            }
        }
        account.update_gauges();
        true
    }

    /// Removes bytes that the caller has taken.
    fn take(&self, bytes: usize) {
        let Some(account) = self.account() else { return };

        account.bytes.borrow_mut().take(clock::now(), self.key, bytes as u64);
        account.update_gauges();
        self.taken.notify_one();
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let Some(account) = self.account() else { return };

        account.bytes.borrow_mut().release(self.key);
        account.connections.borrow_mut().remove(&self.key);
        account.update_gauges();
    }
}

/// Returns the refusal of a request for which there is no room.
pub(crate) fn refuse_request(hold: Option<&Hold>) -> Refusal {
    if let Some((hold, account)) = hold.and_then(|hold| Some((hold, hold.account()?))) {
        let usage = account.bytes.borrow().usage(hold.key);
        info!(
            tenant = %hold.tenant, held = usage.held, room = usage.room,
            tenant_held = usage.tenant, part = usage.part, "held: request refused"
        );
    }

    Refusal::retry_later(FULL, FULL_RETRY_AFTER)
}

/// Releases an answer that its caller does not take, and closes the caller's connection.
fn give_up(shared: &Shared, account: &Account, key: ReservationKey) {
    let state = account.bytes.borrow().state(clock::now(), key);
    let usage = account.bytes.borrow().usage(key);
    if let Some(state) = state {
        info!(
            tenant = %state.tenant, cause = "stalled", bytes = state.bytes,
            unmoved_ms = state.unmoved.map(|unmoved| unmoved.as_millis() as u64),
            held = usage.held, room = usage.room, tenant_held = usage.tenant, part = usage.part,
            "held: given up"
        );
        shared.metrics.given_up.with_label_values(&["stalled"]).inc();
    }

    account.bytes.borrow_mut().release(key);
    account.update_gauges();
    if let Some(closer) = account.connections.borrow_mut().remove(&key) {
        closer.0.notify_one();
    }
}

/// A piece of an answer. Counts as held until the connection has taken it.
pub struct Piece {
    bytes: Bytes,
    hold: Option<Rc<Hold>>,
}

impl Piece {
    /// Creates a piece of which the bytes are reserved in `hold`.
    pub(crate) fn held(bytes: Bytes, hold: Rc<Hold>) -> Self {
        Self { bytes, hold: Some(hold) }
    }

    /// Returns whether the piece has no bytes.
    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

impl From<Bytes> for Piece {
    fn from(bytes: Bytes) -> Self {
        Self { bytes, hold: None }
    }
}

impl Buf for Piece {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
        if let Some(hold) = &self.hold {
            hold.take(count);
        }
    }
}

impl Drop for Piece {
    fn drop(&mut self) {
        if let Some(hold) = self.hold.as_ref().filter(|_| !self.bytes.is_empty()) {
            hold.take(self.bytes.len());
        }
    }
}

/// Why a body was not received.
pub(crate) enum CollectError<E> {
    /// The body is too long, or the connection broke.
    Body(E),
    /// There is no room for it.
    Full,
}

/// Receives the whole body of a request. There is no use in waiting for room: the caller can send
/// the request to another host. Its declared length is not reserved, since it may come slowly.
pub(crate) async fn collect_request(
    body: Limited<Incoming>,
    hold: Option<&Hold>,
) -> Result<Bytes, CollectError<Box<dyn std::error::Error + Send + Sync>>> {
    match hold {
        None => collect(body).await,
        Some(hold) => collect_held(body, hold, 0, Duration::ZERO).await,
    }
}

/// Receives the whole body of an answer. The target waits while there is no room for it. If the
/// length is declared, reading begins when there is room for all of it, so that answers which are
/// received at the same time do not keep each other from being complete.
pub(crate) async fn collect_answer(
    body: TargetBody,
    hold: Option<&Hold>,
) -> Result<Bytes, CollectError<BodyError>> {
    let Some(hold) = hold else { return collect(body).await };
    let declared = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let declared = declared.unwrap_or(0);

    let collected = match hold.reserve_until(declared, clock::now() + MAX_ROOM_WAIT).await {
        true => collect_held(body, hold, declared, MAX_ROOM_WAIT).await,
        false => Err(CollectError::Full),
    };
    if let Err(CollectError::Full) = &collected {
        hold.record_given_up("no_room");
    }
    collected
}

async fn collect<B: Body<Data = Bytes>>(body: B) -> Result<Bytes, CollectError<B::Error>> {
    let mut body = pin!(body);
    let mut collected = Collected::default();

    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(CollectError::Body)?.into_data() else { continue };
        collected.push(data);
    }

    Ok(collected.into_bytes())
}

/// Receives a whole body, of which `reserved` bytes are reserved already. Waits for room for more up
/// to `max_wait`, without reading meanwhile.
async fn collect_held<B: Body<Data = Bytes> + Unpin>(
    mut body: B,
    hold: &Hold,
    mut reserved: usize,
    max_wait: Duration,
) -> Result<Bytes, CollectError<B::Error>> {
    let mut collected = Collected::default();

    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(CollectError::Body)?.into_data() else { continue };
        let missing = data.len().saturating_sub(reserved);
        reserved = reserved.saturating_sub(data.len());
        if !hold.reserve_until(missing, clock::now() + max_wait).await {
            return Err(CollectError::Full);
        }
        collected.push(data);
    }

    Ok(collected.into_bytes())
}

/// A body as far as it has been received. Its pieces are copied together, since each piece by itself
/// takes far more memory than its length if a body comes in chunks of a few bytes.
#[derive(Default)]
struct Collected {
    /// The only piece, which mostly is the whole body.
    first: Bytes,
    bytes: BytesMut,
}

impl Collected {
    fn push(&mut self, piece: Bytes) {
        if self.first.is_empty() && self.bytes.is_empty() {
            self.first = piece;
            return;
        }

        let first = std::mem::take(&mut self.first);
        self.bytes.extend_from_slice(&first);
        self.bytes.extend_from_slice(&piece);
    }

    fn into_bytes(self) -> Bytes {
        match self.bytes.is_empty() {
            true => self.first,
            false => self.bytes.freeze(),
        }
    }
}
