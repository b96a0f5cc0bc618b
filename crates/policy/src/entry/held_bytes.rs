//! The account of the bytes that a host holds for callers and targets that read slowly.
//!
//! The load that it addresses: many callers that send requests and then read their answers slowly or
//! not at all, and targets that accept requests slowly. What is buffered for them counts toward the
//! memory of the host, whose process is killed above its limit.
//!
//! All bytes are within one bound. Of this, the cache of turns is a fixed reservation, and the rest
//! is the account's *room*. A tenant's *part* of the room is an even share among the tenants that
//! hold anything and one more, so that a tenant that holds nothing yet finds room too. While the
//! account is over three quarters full, tenants beyond their part get no room for requests, and
//! while it is over seven eighths full, none for answers.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::time::Instant;
use slotmap::SlotMap;

slotmap::new_key_type! {
    /// A reservation of an account.
    pub struct ReservationKey;

    /// A tenant that has reservations.
    struct TenantKey;
}

/// How long a caller may take none of its answer before the answer may be given up. A program takes
/// a second or two in all, so a caller that reads nothing for that long misses its deadline.
const STALLED_AFTER: Duration = Duration::from_secs(2);

/// How many bytes of an answer may wait for its caller before the host stops reading from the
/// target. A whole stream of a turn is shorter, so that callers of usual speed are not slowed down.
const MAX_WAITING_BYTES: u64 = 256 << 10;

/// How long the host may leave an answer unread at its target. Targets cut off what remains unread
/// for some seconds, and the caller then loses its answer.
const MAX_READ_PAUSE: Duration = Duration::from_secs(1);

/// The cache of turns may use the process's memory divided by this number.
const TURN_CACHE_PART: u64 = 6;

/// Which way the bytes of a reservation go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// A request that was read and not sent yet, or that may have to be sent again.
    Request,
    /// An answer that was read and that the caller has not taken yet.
    Answer,
}

impl Direction {
    /// Returns the name of the direction in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Answer => "answer",
        }
    }
}

/// What to do with bytes for which room was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// The bytes are reserved.
    Hold,
    /// Nothing is reserved yet: the answer of this reservation must be given up first, and room be
    /// requested again.
    HoldAfterDropping(ReservationKey),
    /// There is no room.
    Refuse,
}

/// The inputs of a decision, for the logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The bytes of all reservations.
    pub held: u64,
    /// The bytes that all reservations together may have.
    pub room: u64,
    /// The bytes of the tenant's reservations.
    pub tenant: u64,
    /// The tenant's part of the room.
    pub part: u64,
}

/// A reservation that exists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReservationState {
    /// The tenant.
    pub tenant: Box<str>,
    /// The bytes.
    pub bytes: u64,
    /// How long none of them have moved; `None` while they are still being received.
    pub unmoved: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Reservation {
    tenant: TenantKey,
    direction: Direction,
    bytes: u64,
    /// When bytes last moved on, or the first ones were added. `None` while the bytes are still being
    /// received.
    moved_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct TenantUse {
    name: Box<str>,
    bytes: u64,
    reservations: usize,
}

/// The account of a host.
///
/// ```
/// use camphorwalk_core::time::Instant;
/// use camphorwalk_policy::entry::held_bytes::{Direction, HeldBytes, HoldDecision};
/// let mut account = HeldBytes::new(1_000, 1.0);
/// let key = account.open("easel", Direction::Request);
/// assert_eq!(account.reserve(Instant(0), key, 500), HoldDecision::Hold);
/// assert_eq!(account.reserve(Instant(0), key, 500), HoldDecision::Refuse);
/// account.release(key);
/// assert_eq!(account.held(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct HeldBytes {
    turn_cache: u64,
    room: u64,
    requests: u64,
    answers: u64,
    /// The number of tenants that hold at least one byte.
    holding: u64,
    reservations: SlotMap<ReservationKey, Reservation>,
    tenants: SlotMap<TenantKey, TenantUse>,
    names: Map<Box<str>, TenantKey>,
}

impl HeldBytes {
    /// Creates an account that is bound by a fraction of the process's memory.
    ///
    /// The cache of turns gets the same part of the memory as without an account, but at most half
    /// of the bound, so that a small fraction leaves room for requests and answers.
    pub fn new(memory_bytes: u64, fraction: f64) -> Self {
        let bound = (memory_bytes as f64 * fraction) as u64;
        let turn_cache = (memory_bytes / TURN_CACHE_PART).min(bound / 2);

        Self {
            turn_cache,
            room: bound - turn_cache,
            requests: 0,
            answers: 0,
            holding: 0,
            reservations: SlotMap::with_key(),
            tenants: SlotMap::with_key(),
            names: Map::default(),
        }
    }

    /// Returns the bytes that the cache of turns may use.
    pub fn turn_cache_bytes(&self) -> u64 {
        self.turn_cache
    }

    /// Returns the bytes that all reservations together may have.
    pub fn room(&self) -> u64 {
        self.room
    }

    /// Returns the bytes of all reservations.
    pub fn held(&self) -> u64 {
        self.requests + self.answers
    }

    /// Returns the bytes of all reservations of a direction.
    pub fn held_in(&self, direction: Direction) -> u64 {
        match direction {
            Direction::Request => self.requests,
            Direction::Answer => self.answers,
        }
    }

    /// Returns the number of reservations, including those without bytes.
    pub fn reservations(&self) -> usize {
        self.reservations.len()
    }

    /// Returns the number of tenants that have reservations.
    pub fn tenants(&self) -> usize {
        self.tenants.len()
    }

    /// Returns the state of a reservation, if it was not released.
    pub fn state(&self, now: Instant, key: ReservationKey) -> Option<ReservationState> {
        let reservation = self.reservations.get(key)?;
        let tenant = self.tenants.get(reservation.tenant)?.name.clone();

        Some(ReservationState {
            tenant,
            bytes: reservation.bytes,
            unmoved: reservation.moved_at.map(|at| now.since(at)),
        })
    }

    /// Returns the bytes of a reservation; 0 after its release.
    pub fn bytes(&self, key: ReservationKey) -> u64 {
        self.reservations.get(key).map_or(0, |reservation| reservation.bytes)
    }

    /// Returns what a decision about a reservation depends on.
    pub fn usage(&self, key: ReservationKey) -> Usage {
        let tenant = self.reservations.get(key).map(|reservation| reservation.tenant);
        let tenant = tenant.and_then(|tenant| self.tenants.get(tenant)).map_or(0, |t| t.bytes);

        Usage { held: self.held(), room: self.room, tenant, part: self.part(tenant) }
    }

    /// Opens a reservation without bytes.
    pub fn open(&mut self, tenant: &str, direction: Direction) -> ReservationKey {
        let tenant = match self.names.get(tenant) {
            Some(key) => *key,
            None => {
                let key = self.tenants.insert(TenantUse {
                    name: tenant.into(),
                    bytes: 0,
                    reservations: 0,
                });
                self.names.insert(tenant.into(), key);
                key
            }
        };
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.reservations += 1;
        }

        self.reservations.insert(Reservation { tenant, direction, bytes: 0, moved_at: None })
    }

    /// Decides whether a new request may be read, of which `declared` bytes are to come. Reserves
    /// nothing, since they may come slowly or not at all.
    pub fn check_new(&self, now: Instant, key: ReservationKey, declared: u64) -> HoldDecision {
        // A request without a body needs room for its answer.
        self.decide(now, key, declared.max(1))
    }

    /// Adds bytes to a reservation if there is room for them.
    pub fn reserve(&mut self, now: Instant, key: ReservationKey, bytes: u64) -> HoldDecision {
        let decision = self.decide(now, key, bytes);

        if decision == HoldDecision::Hold {
            self.add(now, key, bytes);
        }
        decision
    }

    /// Removes bytes from a reservation that have moved on: the caller has taken them.
    pub fn take(&mut self, now: Instant, key: ReservationKey, bytes: u64) {
        let Some(reservation) = self.reservations.get_mut(key) else { return };
        let bytes = bytes.min(reservation.bytes);
        reservation.bytes -= bytes;
        reservation.moved_at = Some(now);

        let (tenant, direction) = (reservation.tenant, reservation.direction);
        self.subtract(tenant, direction, bytes);
    }

    /// Records that the bytes of an answer can be taken by its caller from now on. Before, they are
    /// not given up, since they do not wait for the caller.
    pub fn deliver(&mut self, now: Instant, key: ReservationKey) {
        if let Some(reservation) = self.reservations.get_mut(key) {
            reservation.moved_at = Some(now);
        }
    }

    /// Releases a reservation with all its bytes. Has no effect if it was released before.
    pub fn release(&mut self, key: ReservationKey) {
        let Some(Reservation { tenant, direction, bytes, .. }) = self.reservations.remove(key)
        else {
            return;
        };
        self.subtract(tenant, direction, bytes);

        let Some(state) = self.tenants.get_mut(tenant) else { return };
        state.reservations -= 1;
        if state.reservations == 0
            && let Some(state) = self.tenants.remove(tenant)
        {
            self.names.remove(&state.name);
        }
    }

    /// Returns the part of the room of a tenant that holds `held` bytes.
    fn part(&self, held: u64) -> u64 {
        let tenants = self.holding + u64::from(held == 0);

        self.room / (tenants + 1)
    }

    /// Returns how many bytes must be given up before a tenant that holds `held` bytes may add `bytes`.
    fn excess(&self, direction: Direction, held: u64, bytes: u64) -> u64 {
        let total = self.held().saturating_add(bytes);
        let over_room = total.saturating_sub(self.room);
        let over_limit = total.saturating_sub(self.limit_over_part(direction));
        let over_part = held.saturating_add(bytes).saturating_sub(self.part(held));

        over_room.max(over_limit.min(over_part))
    }

    /// Returns how much of the room may be taken for tenants that are over their part. Answers may
    /// take more than requests, so that a request is refused before it runs rather than its answer
    /// lost for lack of room.
    fn limit_over_part(&self, direction: Direction) -> u64 {
        match direction {
            Direction::Request => self.room / 4 * 3,
            Direction::Answer => self.room / 8 * 7,
        }
    }

    fn decide(&self, now: Instant, key: ReservationKey, bytes: u64) -> HoldDecision {
        let Some(reservation) = self.reservations.get(key) else { return HoldDecision::Refuse };
        let tenant = reservation.tenant;
        let held_by =
            |tenant| self.tenants.get(tenant).map_or(0, |tenant: &TenantUse| tenant.bytes);
        let held = held_by(tenant);
        let excess = self.excess(reservation.direction, held, bytes);
        if excess == 0 {
            return HoldDecision::Hold;
        }

        let is_over_part = held.saturating_add(bytes) > self.part(held);
        let may_give_up = |other: &Reservation| match (reservation.direction, is_over_part) {
            (Direction::Request, true) => false,
            // Answers have run already, so a new request displaces only those of tenants that are
            // over their part.
            (Direction::Request, false) => {
                let held = held_by(other.tenant);
                held > self.part(held)
            }
            (Direction::Answer, true) => other.tenant == tenant,
            (Direction::Answer, false) => true,
        };
        let stalled = self.stalled_answer(now, key, excess, may_give_up);
        stalled.map_or(HoldDecision::Refuse, HoldDecision::HoldAfterDropping)
    }

    /// Returns the answer with the most bytes among those that have not moved for a while and that
    /// may be given up. Returns none if all of these together have less than `excess` bytes, since
    /// giving them up would make no room.
    fn stalled_answer(
        &self,
        now: Instant,
        except: ReservationKey,
        excess: u64,
        may_give_up: impl Fn(&Reservation) -> bool,
    ) -> Option<ReservationKey> {
        let stalled = self.reservations.iter().filter(|(key, reservation)| {
            *key != except
                && reservation.direction == Direction::Answer
                && reservation.bytes > 0
                && reservation.moved_at.is_some_and(|at| now.since(at) > STALLED_AFTER)
                && may_give_up(reservation)
        });

        let mut sum = 0_u64;
        let mut most: Option<(ReservationKey, u64)> = None;
        for (key, reservation) in stalled {
            sum += reservation.bytes;
            if most.is_none_or(|(_, bytes)| reservation.bytes > bytes) {
                most = Some((key, reservation.bytes));
            }
        }

        most.filter(|_| sum >= excess).map(|(key, _)| key)
    }

    fn add(&mut self, now: Instant, key: ReservationKey, bytes: u64) {
        let Some(reservation) = self.reservations.get_mut(key) else { return };
        if reservation.bytes == 0 {
            reservation.moved_at = reservation.moved_at.map(|_| now);
        }
        reservation.bytes += bytes;
        match reservation.direction {
            Direction::Request => self.requests += bytes,
            Direction::Answer => self.answers += bytes,
        }

        if let Some(tenant) = self.tenants.get_mut(reservation.tenant) {
            self.holding += u64::from(tenant.bytes == 0 && bytes > 0);
            tenant.bytes += bytes;
        }
    }

    fn subtract(&mut self, tenant: TenantKey, direction: Direction, bytes: u64) {
        match direction {
            Direction::Request => self.requests -= bytes,
            Direction::Answer => self.answers -= bytes,
        }

        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.bytes -= bytes;
            self.holding -= u64::from(tenant.bytes == 0 && bytes > 0);
        }
    }
}

/// Whether to read more of an answer from its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadDecision {
    /// Read on.
    Read,
    /// Read on after this time, or when the caller has taken some of the answer.
    Pause(Duration),
    /// Read on, although the caller does not keep up, while the account has room.
    TakeOver,
}

/// Decides whether to read more of an answer, of which `waiting` bytes wait for the caller. `behind`
/// is how long these have been more than fit.
///
/// ```
/// use camphorwalk_policy::entry::held_bytes::{ReadDecision, decide_read};
/// use std::time::Duration;
/// assert_eq!(decide_read(100_000, Duration::ZERO), ReadDecision::Read);
/// let pause = ReadDecision::Pause(Duration::from_millis(900));
/// assert_eq!(decide_read(300_000, Duration::from_millis(100)), pause);
/// assert_eq!(decide_read(300_000, Duration::from_secs(1)), ReadDecision::TakeOver);
/// ```
pub fn decide_read(waiting: u64, behind: Duration) -> ReadDecision {
    match MAX_READ_PAUSE.saturating_sub(behind) {
        _ if waiting < MAX_WAITING_BYTES => ReadDecision::Read,
        Duration::ZERO => ReadDecision::TakeOver,
        left => ReadDecision::Pause(left),
    }
}
