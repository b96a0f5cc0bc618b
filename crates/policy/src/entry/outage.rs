//! Which parts of the platform's store a host considers available.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::time::Instant;

/// How often an unavailable part is retried while the rest of the store answers. Other calls that
/// need the part meanwhile do not wait for it.
const RETRY_PERIOD: Duration = Duration::from_millis(250);

/// A change in the availability of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The part has become unavailable.
    Lost,
    /// The part answers again.
    Regained,
}

/// The availability of one part.
#[derive(Clone, Copy, Debug, Default)]
struct PartHealth {
    last_answer: Option<Instant>,
    /// Set while the part is unavailable: when it was last tried.
    last_try: Option<Instant>,
    /// When the latest operation that got no answer began.
    failed_operation_began: Option<Instant>,
}

/// A host's view of which parts of the store are available.
///
/// The store may lose all of its parts or some of them. While a part is unavailable, calls that
/// need it learn so at once instead of waiting for an answer. The part with the empty name holds
/// the platform's own tables, which hosts query all the time: while it is unavailable, all parts
/// count as unavailable.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    parts: Map<Box<str>, PartHealth>,
}

/// The part that holds the platform's own tables.
const PLATFORM_TABLES: &str = "";

impl StoreHealth {
    /// Returns whether a part is considered unavailable.
    pub fn is_unavailable(&self, part: &str) -> bool {
        let is_unavailable =
            |name: &str| self.parts.get(name).is_some_and(|part| part.last_try.is_some());

        is_unavailable(PLATFORM_TABLES) || is_unavailable(part)
    }

    /// Returns whether the store as a whole answers this host.
    pub fn answers(&self) -> bool {
        self.parts.get(PLATFORM_TABLES).is_some_and(|part| part.last_try.is_none())
    }

    /// Returns how long the store as a whole has not answered this host. Returns `None` if it
    /// answers, or if it has never answered.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::outage::StoreHealth;
    /// let mut health = StoreHealth::default();
    /// health.answered(Instant::from_millis(100), "");
    /// assert_eq!(health.silent_for(Instant::from_millis(900)), None);
    /// health.failed(Instant::from_millis(500), "");
    /// assert_eq!(health.silent_for(Instant::from_millis(900)), Some(Duration::from_millis(800)));
    /// ```
    pub fn silent_for(&self, now: Instant) -> Option<Duration> {
        let own = self.parts.get(PLATFORM_TABLES).filter(|part| part.last_try.is_some())?;

        own.last_answer.map(|at| now.since(at))
    }

    /// Returns whether any part is considered unavailable.
    pub fn any_part_unavailable(&self) -> bool {
        self.parts.values().any(|part| part.last_try.is_some())
    }

    /// Returns whether the store as a whole is unavailable, or a part that is unavailable failed to
    /// answer an operation that began within the last `lately`. Older failures are ignored because
    /// a part that nobody needs is not retried and stays marked as unavailable long after it has
    /// recovered.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::outage::StoreHealth;
    /// let mut health = StoreHealth::default();
    /// health.failed(Instant::from_millis(0), "a");
    /// let second = Duration::from_secs(1);
    /// assert!(health.any_part_failed_within(Instant::from_millis(500), second));
    /// assert!(!health.any_part_failed_within(Instant::from_millis(1_500), second));
    /// ```
    pub fn any_part_failed_within(&self, now: Instant, lately: Duration) -> bool {
        let failed_lately = |part: &PartHealth| {
            part.last_try.is_some()
                && part.failed_operation_began.is_some_and(|at| now.since(at) < lately)
        };

        self.is_unavailable(PLATFORM_TABLES) || self.parts.values().any(failed_lately)
    }

    /// Returns whether the calling operation should try a part, and records the attempt if the
    /// part is unavailable. Returns `false` while the store as a whole does not answer.
    pub fn start_retry_if_due(&mut self, now: Instant, part: &str) -> bool {
        if !self.answers() {
            return false;
        }
        let Some(PartHealth { last_try: Some(tried), .. }) = self.parts.get_mut(part) else {
            return true;
        };
        let is_due = now.since(*tried) >= RETRY_PERIOD;

        if is_due {
            *tried = now;
        }
        is_due
    }

    /// Records an answer of a part. Returns [`Change::Regained`] if the part was unavailable.
    pub fn answered(&mut self, now: Instant, part: &str) -> Option<Change> {
        let state = self.state(part);
        state.last_answer = Some(now);

        state.last_try.take().map(|_| Change::Regained)
    }

    /// Records that an operation on a part, begun at `began`, got no answer. If another operation
    /// was answered after that time, only this answer was lost and the part remains available.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::outage::{Change, StoreHealth};
    /// let mut health = StoreHealth::default();
    /// health.answered(Instant(5), "a");
    /// assert_eq!(health.failed(Instant(4), "a"), None);
    /// assert_eq!(health.failed(Instant(6), "a"), Some(Change::Lost));
    /// assert!(!health.is_unavailable("b"));
    /// ```
    pub fn failed(&mut self, began: Instant, part: &str) -> Option<Change> {
        let state = self.state(part);
        state.failed_operation_began = state.failed_operation_began.max(Some(began));

        if state.last_try.is_some() || state.last_answer.is_some_and(|at| at > began) {
            return None;
        }
        state.last_try = Some(began);
        Some(Change::Lost)
    }

    fn state(&mut self, part: &str) -> &mut PartHealth {
        if !self.parts.contains_key(part) {
            self.parts.insert(part.into(), PartHealth::default());
        }

        self.parts.entry(part.into()).or_default()
    }
}
