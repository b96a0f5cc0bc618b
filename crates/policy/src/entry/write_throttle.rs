//! Limits a host's writes while the hosts together exceed the rate of the store.
//!
//! The store rejects what exceeds its rate, whichever write it is, and all hosts share the rate. If
//! every rejected write were sent again and again, the hosts would keep the store at several times
//! its rate after the burst or outage that caused the excess is over, and the ends of turns, which
//! callers wait for, would be rejected as often as writes that can wait.
//!
//! So each host reduces what it writes after a rejection and increases it slowly while there is
//! none. The hosts converge on the store's rate without coordination. The ends of turns are not
//! limited: a turn that cannot be stored is lost with all the work of its target, whereas grants can
//! be made without the store and be stored together later.

use std::time::Duration;

use camphorwalk_core::time::Instant;

/// How important a write is while the store rejects writes because of its rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// Work is lost if the write fails, or a host is taken for dead. Not limited.
    Essential,
    /// A caller waits for the write, and can be served without it or be refused before any work.
    Normal,
    /// Nobody waits for the write, and it can be made later.
    Deferrable,
}

/// How often the limit is adjusted: several times the duration of a write.
const PERIOD: Duration = Duration::from_millis(250);

/// The factor by which the writes of a period with a rejection are reduced in the next one.
const DECREASE: f64 = 0.5;

/// The factor and the writes per second by which the limit grows after a period without a
/// rejection.
const INCREASE_FACTOR: f64 = 1.05;
const INCREASE: f64 = 0.5;

/// The lowest limit, in writes per second. At this rate even a large fleet stays below the rate of
/// its store, and each host still notices when the store takes more.
const MIN_RATE: f64 = 2.0;

/// The limit ends when it reaches this multiple of what the host writes.
const UNUSED_FACTOR: f64 = 4.0;

/// How many seconds' worth of unused writes are saved for bursts.
const BURST_SECONDS: f64 = 0.5;

/// The part of the saved writes that deferrable writes leave to the others.
const RESERVED_PART: f64 = 0.5;

/// The limit while there is one: a token bucket.
#[derive(Clone, Copy, Debug)]
struct Limit {
    /// Writes per second.
    rate: f64,
    /// The writes that may be made at once.
    level: f64,
    refilled_at: Instant,
}

impl Limit {
    fn capacity(&self) -> f64 {
        (self.rate * BURST_SECONDS).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + seconds * self.rate).min(self.capacity());
        self.refilled_at = now;
    }
}

/// Limits the writes of a host that are not essential.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_core::time::Instant;
/// use camphorwalk_policy::entry::write_throttle::{Priority, WriteThrottle};
/// let mut throttle = WriteThrottle::new(Instant(0));
/// assert!(throttle.admit(Instant::from_millis(10), Priority::Normal));
/// throttle.record_rejections(Instant::from_millis(20), 1);
/// let next = Instant::from_millis(300);
/// assert!(throttle.admit(next, Priority::Normal));
/// assert!(!throttle.admit(next, Priority::Normal));
/// assert!(throttle.admit(next, Priority::Essential));
/// ```
#[derive(Clone, Debug)]
pub struct WriteThrottle {
    limit: Option<Limit>,
    period_began: Instant,
    /// The limited writes that were admitted in this period.
    admitted: u32,
    /// The attempts of any priority that the store rejected in this period.
    rejected: u32,
}

impl WriteThrottle {
    /// Creates a throttle without a limit.
    pub fn new(now: Instant) -> Self {
        Self { limit: None, period_began: now, admitted: 0, rejected: 0 }
    }

    /// Returns whether a write may be sent now, and counts it if so.
    pub fn admit(&mut self, now: Instant, priority: Priority) -> bool {
        self.end_period_if_over(now);
        if priority == Priority::Essential {
            return true;
        }

        if let Some(limit) = &mut self.limit {
            limit.refill(now);
            let reserved = match priority {
                Priority::Deferrable => limit.capacity() * RESERVED_PART,
                Priority::Essential | Priority::Normal => 0.0,
            };
            if limit.level < 1.0_f64.max(reserved) {
                return false;
            }
            limit.level -= 1.0;
        }
        self.admitted += 1;
        true
    }

    /// Records attempts that the store rejected because of its rate.
    pub fn record_rejections(&mut self, now: Instant, attempts: u32) {
        self.end_period_if_over(now);
        self.rejected += attempts;
    }

    /// Returns the limit in writes per second, if there is one.
    pub fn rate(&self) -> Option<f64> {
        self.limit.map(|limit| limit.rate)
    }

    fn end_period_if_over(&mut self, now: Instant) {
        let length = now.since(self.period_began);
        if length < PERIOD {
            return;
        }

        let written = f64::from(self.admitted) / length.as_secs_f64();
        self.limit = match self.limit {
            limit if self.rejected > 0 => Some(reduced(limit, written, now)),
            Some(limit) if limit.rate > MIN_RATE.max(written) * UNUSED_FACTOR => None,
            Some(limit) => Some(Limit { rate: limit.rate * INCREASE_FACTOR + INCREASE, ..limit }),
            None => None,
        };
        self.period_began = now;
        self.admitted = 0;
        self.rejected = 0;
    }
}

/// Returns the limit after a period with rejections in which the host wrote `written` a second.
fn reduced(limit: Option<Limit>, written: f64, now: Instant) -> Limit {
    let rate = (written * DECREASE).max(MIN_RATE);

    match limit {
        Some(limit) => Limit { rate: rate.min(limit.rate), ..limit },
        None => Limit { rate, level: 1.0, refilled_at: now },
    }
}
