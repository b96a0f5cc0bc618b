//! A host's copy of the table in which targets register themselves.
//!
//! A host receives the table as ordered changes, as full reads and as copies from other hosts. Each
//! of these is complete as of a version of the store, so any two can be compared: the one with the
//! higher version is right about both the rows that exist and those that don't. The order of
//! arrival does not matter.
//!
//! A missing row means that its target has left, unless the store was silent for so long that rows
//! of running targets may have expired. Such *lapsed* targets stay in use for a grace period after
//! the store's recovery ([`LAPSE_GRACE`]). The copy that a host sends to another one contains the
//! remaining grace period of each, since a host that has just started never read their rows.

use std::collections::VecDeque;
use std::time::Duration;

use camphorwalk_core::entry::{TargetEntry, TargetState};
use camphorwalk_core::hash::{Map, Set};
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The pause between the end of a poll of the store for changes of the table and the next poll.
pub const POLL_PERIOD: Duration = Duration::from_millis(400);

/// How long a request to the store may be unanswered before another host is asked for its copy. The
/// store's answer is still awaited.
pub const HEDGE_DELAY: Duration = Duration::from_millis(150);

/// How long another host may take to send its copy.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(100);

/// The pause after a polling round in which the store did not answer.
pub const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// How often the full table is read although its changes are followed. A copy that is wrong for any
/// reason is corrected after this time.
pub const RELIST_PERIOD: Duration = Duration::from_secs(10);

/// How long a row that expired during an outage may take to reappear, counted from when a host
/// detects the store's recovery: two seconds for the target, and some time for the host's next
/// request to the store.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_100);

/// How long a host may take to detect the store's recovery: an attempt that is still awaited (up to
/// 500 ms), plus a pause ([`FAILED_PAUSE`]).
pub const RETURN_DETECTION_DELAY: Duration = Duration::from_millis(700);

/// The length of a silence of the store from which on rows of running targets may have expired, in
/// heartbeat intervals of the targets. A row expires three intervals after the last heartbeat,
/// which is at most one interval older than the start of the silence, so not within the first two
/// intervals of a silence. The lower figure leaves a margin.
const LAPSE_HEARTBEATS: f64 = 1.25;

/// The window over which silences are added up, in heartbeat intervals of the targets. A store that
/// answers only now and then may not have accepted any target's write in between.
const SILENCE_WINDOW_HEARTBEATS: u32 = 3;

/// The shortest time between two answers that counts as a silence.
const MIN_SILENCE: Duration = POLL_PERIOD.saturating_mul(2);

/// How long a removal is remembered. It must exceed [`LAPSE_GRACE`], during which another host may
/// still report the target as lapsed.
const REMOVAL_MEMORY: Duration = Duration::from_secs(10);

/// The longest time from a change of the table until a host acts on it, for a host that the store
/// answers, or that reaches a host that the store answers. The other host's copy is at most one
/// poll and one request old.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::target_table::{POLL_PERIOD, max_propagation_delay};
/// assert!(max_propagation_delay() > POLL_PERIOD * 2);
/// ```
pub const fn max_propagation_delay() -> Duration {
    let own = POLL_PERIOD.as_millis() + HEDGE_DELAY.as_millis() + PEER_TIMEOUT.as_millis();
    let others = POLL_PERIOD.as_millis() + HEDGE_DELAY.as_millis();

    Duration::from_millis((own + others) as u64)
}

/// A row as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// The target's id.
    pub id: Box<str>,
    /// The version of the row.
    pub version: RowVersion,
    /// The entry that the target registered; `None` if the row is unreadable and names no usable
    /// target.
    pub entry: Option<TargetEntry>,
}

/// A change of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The row was written.
    Written(EntryRow),
    /// The row of the target with this id was removed.
    Removed(Box<str>),
}

/// A target whose row went missing during a silence of the store and may reappear.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LapsedRow {
    /// The entry that the target registered.
    pub entry: TargetEntry,
    /// The remaining time of its grace period, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub left: Duration,
}

/// A host's copy, as sent to other hosts.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCopy {
    /// The version of the store as of which the copy is complete.
    pub as_of: RowVersion,
    /// How long ago the store last confirmed the copy, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// The rows; `None` if none has changed since the version that the requesting host has.
    pub rows: Option<Vec<EntryRow>>,
    /// The targets that are in use although their rows are missing.
    pub lapsed: Vec<LapsedRow>,
}

/// The source of a change to the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Ordered changes from the store.
    Changes,
    /// A full read of the store's table.
    WholeRead,
    /// Another host's copy.
    Peer,
    /// None: a row that expired during an outage of the store did not reappear within its grace
    /// period (see [`LAPSE_GRACE`]).
    Grace,
}

/// Why a target is no longer used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemovalReason {
    /// Its row was removed.
    Removed,
    /// Its row is unreadable.
    Unreadable,
    /// Its row did not reappear in time after a silence of the store.
    NotBack,
}

/// A change to the set of targets that a host uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Use the target with this entry.
    Use(TargetEntry),
    /// Stop using the target.
    Drop(Box<str>, RemovalReason),
}

/// The known state of a target.
#[derive(Clone, Debug)]
enum State {
    /// Its row exists; `None` if the row is unreadable.
    Present(Option<TargetEntry>),
    /// Its row went missing during a silence of the store, and may reappear until this time.
    Lapsed(TargetEntry, Instant),
    /// Its row was removed; detected at this time.
    Removed(Instant),
}

#[derive(Clone, Debug)]
struct KnownTarget {
    /// The version of the row, or the version as of which it is missing.
    version: RowVersion,
    state: State,
}

/// A copy of the table, complete as of a version of the store.
#[derive(Clone, Debug)]
pub struct TargetTable {
    rows: Map<Box<str>, KnownTarget>,
    as_of: RowVersion,
    /// The latest version at which a row may have become different from another host's copy.
    last_difference: RowVersion,
    /// The version of the first copy that this process received.
    first_version: Option<RowVersion>,
    /// When the store last confirmed the copy.
    confirmed_at: Option<Instant>,
    /// When this process received its first copy.
    first_copy_at: Option<Instant>,
    /// When the store recovered from a silence during which rows may have expired.
    recovered_at: Option<Instant>,
    /// Recent silences of the store: when each ended, and how long it was.
    recent_silences: VecDeque<(Instant, Duration)>,
    /// How often targets write their rows.
    heartbeat: Duration,
}

impl TargetTable {
    /// Creates an empty copy. `heartbeat` is the interval at which targets write their rows.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            rows: Map::default(),
            as_of: RowVersion::default(),
            last_difference: RowVersion::default(),
            first_version: None,
            confirmed_at: None,
            first_copy_at: None,
            recovered_at: None,
            recent_silences: VecDeque::new(),
            heartbeat,
        }
    }

    /// Returns the version after which to request changes; `None` until the first copy has been
    /// received.
    pub fn as_of(&self) -> Option<RowVersion> {
        self.first_version.map(|_| self.as_of)
    }

    /// Returns whether the store has been silent for so long that rows of running targets may have
    /// expired, or has never confirmed a copy to this process, directly or through another host.
    pub fn is_store_silent(&self, now: Instant) -> bool {
        self.confirmed_at.is_none_or(|at| now.since(at) >= self.lapse_silence())
    }

    /// Returns the length of a silence of the store from which on rows of running targets may have
    /// expired.
    fn lapse_silence(&self) -> Duration {
        self.heartbeat.mul_f64(LAPSE_HEARTBEATS)
    }

    /// Returns whether rows of running targets may be missing: the process has just started, or the
    /// store has just recovered.
    pub fn may_miss_rows(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.since(at) < LAPSE_GRACE;

        self.first_copy_at.is_none_or(is_recent) || self.recovered_at.is_some_and(is_recent)
    }

    /// Applies the changes after version `after`, in their order. `asked_at` is the time of the
    /// request to the store.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphorwalk_core::platform::RowVersion;
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::target_table::{EntryChange, EntryRow, TargetTable};
    /// let mut table = TargetTable::new(Duration::from_secs(1));
    /// let now = Instant::from_millis(5);
    /// table.apply_full_read(now, now, vec![], RowVersion(1));
    /// let row = EntryRow { id: "i-1".into(), version: RowVersion(2), entry: None };
    /// let changes = vec![EntryChange::Written(row), EntryChange::Removed("i-1".into())];
    /// assert!(table.apply_changes(now, now, RowVersion(1), changes, RowVersion(3)).is_empty());
    /// assert_eq!(table.as_of(), Some(RowVersion(3)));
    /// ```
    pub fn apply_changes(
        &mut self,
        now: Instant,
        asked_at: Instant,
        after: RowVersion,
        changes: Vec<EntryChange>,
        as_of: RowVersion,
    ) -> Vec<Effect> {
        // Another source may have advanced this copy past `after` in the meantime. The answer still
        // applies, since it holds the last change of each key up to `as_of`. It does not apply if
        // this copy is older than `after` (changes would be missing) or newer than `as_of`.
        if after > self.as_of || as_of < self.as_of {
            return Vec::new();
        }
        let grace_end = self.confirm(now, asked_at);
        let mut last: Map<Box<str>, Option<EntryRow>> = Map::default();

        if !changes.is_empty() {
            // Other hosts may have a row that was written and removed within this answer.
            self.last_difference = as_of;
        }

        for change in changes {
            match change {
                EntryChange::Written(row) => last.insert(row.id.clone(), Some(row)),
                EntryChange::Removed(id) => last.insert(id, None),
            };
        }
        self.as_of = as_of;
        let effects = last.into_iter().filter_map(|(id, row)| match row {
            Some(row) => self.write(row),
            None => self.remove(now, &id, grace_end),
        });

        effects.collect()
    }

    /// Applies a full read of the table as of a version. `asked_at` is the time of the request to
    /// the store.
    pub fn apply_full_read(
        &mut self,
        now: Instant,
        asked_at: Instant,
        rows: Vec<EntryRow>,
        as_of: RowVersion,
    ) -> Vec<Effect> {
        if as_of < self.as_of {
            return Vec::new();
        }
        self.replace(now, asked_at, rows, as_of)
    }

    /// Applies another host's copy. `asked_at` is the time of the request to that host.
    ///
    /// A copy with a higher version replaces this one. A copy with a lower version adds nothing,
    /// except targets whose rows expired before this process started.
    pub fn apply_peer_copy(
        &mut self,
        now: Instant,
        asked_at: Instant,
        copy: TableCopy,
    ) -> Vec<Effect> {
        let confirmed_at = asked_at - copy.age;
        let mut effects = Vec::new();

        if copy.as_of == self.as_of {
            self.confirm(now, confirmed_at);
        } else if copy.as_of > self.as_of {
            match copy.rows {
                Some(rows) => effects = self.replace(now, confirmed_at, rows, copy.as_of),
                None => {
                    self.confirm(now, confirmed_at);
                    self.as_of = copy.as_of;
                    self.first_version.get_or_insert(copy.as_of);
                }
            }
        }
        // A copy that is older than this process's first one may contain a target whose row has
        // reappeared and been removed since.
        let is_recent_enough = self.first_version.is_some_and(|first| copy.as_of >= first);
        if is_recent_enough && self.may_miss_rows(now) {
            let unknown =
                copy.lapsed.into_iter().filter(|row| !self.rows.contains_key(&row.entry.id));
            let unknown: Vec<_> = unknown.collect();
            effects.extend(unknown.into_iter().map(|row| self.lapse(now, row)));
        }
        effects
    }

    /// Returns when the next grace period ends, if there is any.
    pub fn next_grace_end(&self) -> Option<Instant> {
        let ends = self.rows.values().filter_map(|known| match known.state {
            State::Lapsed(_, until) => Some(until),
            _ => None,
        });

        ends.min()
    }

    /// Drops targets whose grace period has ended before their rows reappeared.
    pub fn expire(&mut self, now: Instant) -> Vec<Effect> {
        self.rows.retain(|_, known| match known.state {
            State::Removed(at) => now.since(at) < REMOVAL_MEMORY,
            State::Present(_) | State::Lapsed(..) => true,
        });
        // While the store is silent, targets cannot write their rows.
        if self.is_store_silent(now) {
            return Vec::new();
        }

        let ended = self.rows.iter_mut().filter_map(|(id, known)| match known.state {
            State::Lapsed(_, until) if until <= now => {
                known.state = State::Removed(now);
                Some(Effect::Drop(id.clone(), RemovalReason::NotBack))
            }
            _ => None,
        });
        ended.collect()
    }

    /// Returns the copy for a host that has one as of version `has`; `None` until the first copy
    /// has been received.
    pub fn copy_for(&self, now: Instant, has: RowVersion) -> Option<TableCopy> {
        let confirmed_at = self.confirmed_at?;
        let rows = self.rows.iter().filter_map(|(id, known)| match &known.state {
            State::Present(entry) => {
                Some(EntryRow { id: id.clone(), version: known.version, entry: entry.clone() })
            }
            _ => None,
        });
        let lapsed = self.rows.values().filter_map(|known| match &known.state {
            State::Lapsed(entry, until) => {
                Some(LapsedRow { entry: entry.clone(), left: until.since(now) })
            }
            _ => None,
        });

        Some(TableCopy {
            as_of: self.as_of,
            age: now.since(confirmed_at),
            rows: (self.last_difference > has).then(|| rows.collect()),
            lapsed: lapsed.collect(),
        })
    }

    /// Replaces the copy by a complete one whose version is not older.
    fn replace(
        &mut self,
        now: Instant,
        confirmed_at: Instant,
        rows: Vec<EntryRow>,
        as_of: RowVersion,
    ) -> Vec<Effect> {
        let grace_end = self.confirm(now, confirmed_at);
        let present: Set<_> = rows.iter().map(|row| row.id.clone()).collect();
        let missing: Vec<_> =
            self.rows.keys().filter(|id| !present.contains(*id)).cloned().collect();
        self.as_of = as_of;
        // Other hosts may have a row that was written and removed between two full reads.
        self.last_difference = as_of;
        self.first_version.get_or_insert(as_of);

        let written: Vec<_> = rows.into_iter().filter_map(|row| self.write(row)).collect();
        let removed = missing.iter().filter_map(|id| self.remove(now, id, grace_end));
        written.into_iter().chain(removed.collect::<Vec<_>>()).collect()
    }

    /// Records that the store confirmed the copy as of `confirmed_at`. Returns until when rows that
    /// are missing now may reappear; `None` if their targets have left.
    fn confirm(&mut self, now: Instant, confirmed_at: Instant) -> Option<Instant> {
        let silence = self.confirmed_at.map_or(Duration::ZERO, |before| confirmed_at.since(before));
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        self.first_copy_at.get_or_insert(now);

        if silence >= MIN_SILENCE {
            self.recent_silences.push_back((confirmed_at, silence));
            if self.total_recent_silence(confirmed_at) >= self.lapse_silence() {
                self.recent_silences.clear();
                self.recovered_at = Some(now);
                self.extend_grace_periods(now + LAPSE_GRACE);
            }
        }
        self.recovered_at.map(|at| at + LAPSE_GRACE).filter(|end| *end > now)
    }

    /// Returns the sum of the store's recent silences.
    fn total_recent_silence(&mut self, now: Instant) -> Duration {
        let window = self.heartbeat.saturating_mul(SILENCE_WINDOW_HEARTBEATS);

        self.recent_silences.retain(|(ended, _)| now.since(*ended) < window);
        self.recent_silences.iter().map(|(_, silence)| *silence).sum()
    }

    /// Extends the grace periods of all lapsed targets to `end`.
    fn extend_grace_periods(&mut self, end: Instant) {
        for known in self.rows.values_mut() {
            if let State::Lapsed(_, until) = &mut known.state {
                *until = end;
            }
        }
    }

    /// Applies a row that exists in the store.
    fn write(&mut self, row: EntryRow) -> Option<Effect> {
        let before = self.rows.get(&row.id);
        let is_same = before.is_some_and(|known| {
            known.version == row.version && matches!(known.state, State::Present(_))
        });
        if is_same {
            return None;
        }

        let effect = match row.entry.clone() {
            Some(entry) => Some(Effect::Use(entry)),
            // A target that this host has never known needs no removal.
            None => before.map(|_| Effect::Drop(row.id.clone(), RemovalReason::Unreadable)),
        };
        let known = KnownTarget { version: row.version, state: State::Present(row.entry) };
        self.rows.insert(row.id, known);
        effect
    }

    /// Records that a row is missing from the store.
    fn remove(&mut self, now: Instant, id: &str, grace_end: Option<Instant>) -> Option<Effect> {
        let Some(known) = self.rows.get_mut(id) else {
            // Another host with an older copy may still report this target as lapsed. The record
            // keeps it from being added.
            let removed = KnownTarget { version: self.as_of, state: State::Removed(now) };
            self.rows.insert(id.into(), removed);
            return None;
        };
        let State::Present(entry) = &mut known.state else { return None };
        let entry = entry.take();

        known.version = self.as_of;
        match (entry, grace_end) {
            // A draining target whose row is missing has left.
            (Some(entry), Some(until)) if entry.state == TargetState::Ready => {
                known.state = State::Lapsed(entry, until);
                None
            }
            _ => {
                known.state = State::Removed(now);
                Some(Effect::Drop(id.into(), RemovalReason::Removed))
            }
        }
    }

    /// Adds a target that another host reports as lapsed.
    fn lapse(&mut self, now: Instant, row: LapsedRow) -> Effect {
        let state = State::Lapsed(row.entry.clone(), now + row.left.min(LAPSE_GRACE));
        self.rows.insert(row.entry.id.clone(), KnownTarget { version: self.as_of, state });

        Effect::Use(row.entry)
    }
}
