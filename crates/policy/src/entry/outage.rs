//! Which parts of the platform's store can be reached, as a host believes it.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::time::Instant;

/// How often a part that is away is tried again while the rest of the store answers. Calls that
/// come meanwhile are not held up by it.
const RETRY_PERIOD: Duration = Duration::from_millis(250);

/// What an answer or its absence changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The part is away from now on.
    Lost,
    /// The part answers again.
    Regained,
}

/// What is believed of one part.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    last_answer: Option<Instant>,
    /// When it was tried last since it is away.
    away: Option<Instant>,
    /// When the last operation without an answer began.
    failed: Option<Instant>,
}

/// A host's belief about the store.
///
/// The store may lose all of its parts or some of them. While a part is away, calls that need it
/// are told so at once instead of waiting for answers that do not come. The part without a name
/// holds the platform's own tables, which hosts ask for all the time: while it is away, all are.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    parts: Map<Box<str>, Part>,
}

/// The part of the platform's own tables.
const OWN_TABLES: &str = "";

impl StoreHealth {
    /// Returns whether a part is believed to be away.
    pub fn is_unavailable(&self, part: &str) -> bool {
        let is_away = |name: &str| self.parts.get(name).is_some_and(|part| part.away.is_some());

        is_away(OWN_TABLES) || is_away(part)
    }

    /// Returns whether the store as a whole answers this host.
    pub fn answers(&self) -> bool {
        self.parts.get(OWN_TABLES).is_some_and(|part| part.away.is_none())
    }

    /// Returns for how long the store as a whole has not answered this host, if it does not; `None`
    /// also if it never has.
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
        let own = self.parts.get(OWN_TABLES).filter(|part| part.away.is_some())?;

        own.last_answer.map(|at| now.since(at))
    }

    /// Returns whether the store has ever answered this process.
    pub fn has_answered(&self) -> bool {
        self.parts.values().any(|part| part.last_answer.is_some())
    }

    /// Returns whether any part is away.
    pub fn any_part_unavailable(&self) -> bool {
        self.parts.values().any(|part| part.away.is_some())
    }

    /// Returns whether the store is away, or a part of it left an operation of the time within `lately`
    /// without an answer. A part that nobody needs is not tried, and is away long after it is back.
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
        let missed = |part: &Part| {
            part.away.is_some() && part.failed.is_some_and(|at| now.since(at) < lately)
        };

        self.is_unavailable(OWN_TABLES) || self.parts.values().any(missed)
    }

    /// Returns whether a part that is away is to be tried again by the call that asks, and takes
    /// note that it is.
    pub fn start_retry_if_due(&mut self, now: Instant, part: &str) -> bool {
        if !self.answers() {
            return false;
        }
        let Some(Part { away: Some(tried), .. }) = self.parts.get_mut(part) else { return true };
        let is_due = now.since(*tried) >= RETRY_PERIOD;

        if is_due {
            *tried = now;
        }
        is_due
    }

    /// Takes in an answer of a part.
    pub fn answered(&mut self, now: Instant, part: &str) -> Option<Change> {
        let state = self.state(part);
        state.last_answer = Some(now);

        state.away.take().map(|_| Change::Regained)
    }

    /// Takes in that an operation on a part that began at `began` got no answer. If another one
    /// got an answer since, only this one's is lost.
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
        state.failed = state.failed.max(Some(began));

        if state.away.is_some() || state.last_answer.is_some_and(|at| at > began) {
            return None;
        }
        state.away = Some(began);
        Some(Change::Lost)
    }

    fn state(&mut self, part: &str) -> &mut Part {
        if !self.parts.contains_key(part) {
            self.parts.insert(part.into(), Part::default());
        }

        self.parts.entry(part.into()).or_default()
    }
}
