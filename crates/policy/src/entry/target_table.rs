//! A host's copy of the table in which targets register themselves.
//!
//! A host learns of the table from changes in order, from whole reads and from other hosts' copies.
//! Each of these is complete as of a version of the store, so two of them can always be compared: the
//! one as of the higher version holds, rows and absences alike. What arrives last does not matter.
//!
//! The absence of a row means that its target has left, unless the store was silent for so long that
//! rows of living targets may have expired meanwhile. Such targets are used until
//! [`LAPSE_GRACE`] after the store's return. That deadline is passed on to hosts that have just
//! started, with what is left of it.

use std::collections::VecDeque;
use std::time::Duration;

use camphorwalk_core::entry::{TargetEntry, TargetState};
use camphorwalk_core::hash::{Map, Set};
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// How often the store is asked for changes.
pub const POLL_PERIOD: Duration = Duration::from_millis(400);

/// How long the store may let a question wait before another host is asked for its copy, while the
/// store's answer is still waited for.
pub const HEDGE_DELAY: Duration = Duration::from_millis(150);

/// How long another host may take for its copy.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(100);

/// The pause after a round in which the store did not answer.
pub const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// How often the table is read whole although its changes are followed. A copy that is wrong for
/// whatever reason is right again after this time.
pub const RELIST_PERIOD: Duration = Duration::from_secs(10);

/// How long after the store's return, as a host sees it, a row that expired meanwhile may take to be
/// back: two seconds, and some of the time that the next question takes.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_100);

/// How long after the store's return a host may see it: a try that is still waited for, and a pause.
pub const RETURN_DETECTION_DELAY: Duration = Duration::from_millis(700);

/// Of the interval of targets' heartbeats, the silence of the store from which on rows of living
/// targets may have expired. A row expires three intervals after the last heartbeat, which is at
/// most one interval older than the silence.
const LAPSE_HEARTBEATS: f64 = 1.25;

/// In how many intervals of targets' heartbeats silences add up. A store that answers now and then may
/// have let no target write in between.
const SILENCES_HEARTBEATS: u32 = 3;

/// The time between two answers from which on it counts as a silence.
const LEAST_SILENCE: Duration = POLL_PERIOD.saturating_mul(2);

/// How long a removal is remembered. It is longer than [`LAPSE_GRACE`], within which another host may
/// still tell of the target as one that may be back.
const REMOVAL_MEMORY: Duration = Duration::from_secs(10);

/// The longest time from a change of the table until a host that the store answers, or that reaches
/// another one that the store answers, goes by it. The other host's copy is at most a pause and a
/// question old.
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
    /// What the target says of itself; `None` if the row cannot be read and names no target to use.
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

/// A target whose row is missing since a silence of the store and may be back.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LapsedRow {
    /// What the target said of itself.
    pub entry: TargetEntry,
    /// What is left of its grace, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub left: Duration,
}

/// A host's copy, as other hosts are told it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCopy {
    /// The version of the store as of which it is complete.
    pub as_of: RowVersion,
    /// How long ago the store confirmed it, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// The rows; `None` if none has changed since the version that the asking host has.
    pub rows: Option<Vec<EntryRow>>,
    /// The targets that are used although their rows are missing.
    pub lapsed: Vec<LapsedRow>,
}

/// Where knowledge of the table comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Changes in order.
    Changes,
    /// A whole read.
    WholeRead,
    /// Another host's copy.
    Peer,
    /// The end of a grace.
    Grace,
}

/// Why a target is not used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemovalReason {
    /// Its row was removed.
    Removed,
    /// Its row cannot be read.
    Unreadable,
    /// Its row was not back in time after a silence of the store.
    NotBack,
}

/// What a host is to do with a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// To go by this entry.
    Use(TargetEntry),
    /// To use the target no more.
    Drop(Box<str>, RemovalReason),
}

/// What is known of a target.
#[derive(Clone, Debug)]
enum State {
    /// It has a row; `None` if that cannot be read.
    Present(Option<TargetEntry>),
    /// Its row is missing since a silence of the store, and may be back until this moment.
    Lapsed(TargetEntry, Instant),
    /// Its row was removed; known since this moment.
    Removed(Instant),
}

#[derive(Clone, Debug)]
struct Known {
    /// The version of the row, or the one as of which it is missing.
    version: RowVersion,
    state: State,
}

/// The copy, complete as of a version of the store.
#[derive(Clone, Debug)]
pub struct TargetTable {
    rows: Map<Box<str>, Known>,
    as_of: RowVersion,
    /// The version as of which a row last may have differed from what another host has.
    changed: RowVersion,
    /// The version as of which this process saw the table first.
    first_seen: Option<RowVersion>,
    /// When the store confirmed the copy last.
    confirmed: Option<Instant>,
    /// When the table was seen first.
    began: Option<Instant>,
    /// When the store returned from a silence in which rows may have expired.
    regained: Option<Instant>,
    /// The silences of the store of late: when each ended, and how long it was.
    silences: VecDeque<(Instant, Duration)>,
    /// How often targets write their rows.
    heartbeat: Duration,
}

impl TargetTable {
    /// Makes an empty copy; `heartbeat` is how often targets write their rows.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            rows: Map::default(),
            as_of: RowVersion::default(),
            changed: RowVersion::default(),
            first_seen: None,
            confirmed: None,
            began: None,
            regained: None,
            silences: VecDeque::new(),
            heartbeat,
        }
    }

    /// Returns the version from which on changes are to be asked for; `None` while no source has
    /// told the table yet.
    pub fn as_of(&self) -> Option<RowVersion> {
        self.first_seen.map(|_| self.as_of)
    }

    /// Returns whether the store has been silent for so long that rows of living targets may expire.
    pub fn is_store_silent(&self, now: Instant) -> bool {
        self.confirmed.is_none_or(|at| now.since(at) >= self.lapse_silence())
    }

    /// Returns the silence of the store from which on rows of living targets may have expired.
    fn lapse_silence(&self) -> Duration {
        self.heartbeat.mul_f64(LAPSE_HEARTBEATS)
    }

    /// Returns whether rows of living targets may be missing: the process has just started, or the
    /// store has just returned.
    pub fn may_miss_rows(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.since(at) < LAPSE_GRACE;

        self.began.is_none_or(is_recent) || self.regained.is_some_and(is_recent)
    }

    /// Takes in the changes after the version that was asked from, in their order. `asked_at` is
    /// when the store was asked.
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
        // Another source may have told of a later version meanwhile. The last change of each key is as
        // of the answer's version, whatever is known from in between.
        if after > self.as_of || as_of < self.as_of {
            return Vec::new();
        }
        let grace_end = self.confirm(now, asked_at);
        let mut last: Map<Box<str>, Option<EntryRow>> = Map::default();

        if !changes.is_empty() {
            // Other hosts may have seen a row that came and went within this answer.
            self.changed = as_of;
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

    /// Takes in a whole read of the table as of a version. `asked_at` is when the store was asked.
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

    /// Takes in another host's copy. `asked_at` is when that host was asked.
    ///
    /// A copy as of a higher version than the own one holds. One as of a lower version tells nothing
    /// new, but for targets whose rows expired before this process started.
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
                    self.first_seen.get_or_insert(copy.as_of);
                }
            }
        }
        // A copy from before the first own read may tell of a target that came back and left since.
        let is_told_since = self.first_seen.is_some_and(|first| copy.as_of >= first);
        if is_told_since && self.may_miss_rows(now) {
            let unknown =
                copy.lapsed.into_iter().filter(|row| !self.rows.contains_key(&row.entry.id));
            let unknown: Vec<_> = unknown.collect();
            effects.extend(unknown.into_iter().map(|row| self.lapse(now, row)));
        }
        effects
    }

    /// Returns when the next grace ends, if any target has one.
    pub fn next_grace_end(&self) -> Option<Instant> {
        let ends = self.rows.values().filter_map(|known| match known.state {
            State::Lapsed(_, until) => Some(until),
            _ => None,
        });

        ends.min()
    }

    /// Ends the grace of targets whose rows were not back in time.
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

    /// Returns the copy for a host that has one as of a version; `None` while no source has told the
    /// table yet.
    pub fn copy_for(&self, now: Instant, has: RowVersion) -> Option<TableCopy> {
        let confirmed = self.confirmed?;
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
            age: now.since(confirmed),
            rows: (self.changed > has).then(|| rows.collect()),
            lapsed: lapsed.collect(),
        })
    }

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
        // Other hosts may have seen a row that came and went between two whole reads.
        self.changed = as_of;
        self.first_seen.get_or_insert(as_of);

        let written: Vec<_> = rows.into_iter().filter_map(|row| self.write(row)).collect();
        let removed = missing.iter().filter_map(|id| self.remove(now, id, grace_end));
        written.into_iter().chain(removed.collect::<Vec<_>>()).collect()
    }

    /// Takes in that the store confirms the copy as it stood at a moment. Returns until when rows that
    /// are missing now may be back; `None` if their targets have left.
    fn confirm(&mut self, now: Instant, confirmed_at: Instant) -> Option<Instant> {
        let silence = self.confirmed.map_or(Duration::ZERO, |before| confirmed_at.since(before));
        self.confirmed = self.confirmed.max(Some(confirmed_at));
        self.began.get_or_insert(now);

        if silence >= LEAST_SILENCE {
            self.silences.push_back((confirmed_at, silence));
            if self.silence_of_late(confirmed_at) >= self.lapse_silence() {
                self.silences.clear();
                self.regained = Some(now);
                self.extend_lapses(now + LAPSE_GRACE);
            }
        }
        self.regained.map(|at| at + LAPSE_GRACE).filter(|end| *end > now)
    }

    /// Returns how long the store was silent of late, all silences together.
    fn silence_of_late(&mut self, now: Instant) -> Duration {
        let window = self.heartbeat.saturating_mul(SILENCES_HEARTBEATS);

        self.silences.retain(|(ended, _)| now.since(*ended) < window);
        self.silences.iter().map(|(_, silence)| *silence).sum()
    }

    fn extend_lapses(&mut self, end: Instant) {
        for known in self.rows.values_mut() {
            if let State::Lapsed(_, until) = &mut known.state {
                *until = end;
            }
        }
    }

    /// Takes in a row as it stands now.
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
            // Only a target that is in use can be dropped.
            None => before.map(|_| Effect::Drop(row.id.clone(), RemovalReason::Unreadable)),
        };
        let known = Known { version: row.version, state: State::Present(row.entry) };
        self.rows.insert(row.id, known);
        effect
    }

    /// Takes in that a row is missing now.
    fn remove(&mut self, now: Instant, id: &str, grace_end: Option<Instant>) -> Option<Effect> {
        let Some(known) = self.rows.get_mut(id) else {
            // Another host that is behind may still tell of it as one that may be back.
            let removed = Known { version: self.as_of, state: State::Removed(now) };
            self.rows.insert(id.into(), removed);
            return None;
        };
        let State::Present(entry) = &mut known.state else { return None };
        let entry = entry.take();

        known.version = self.as_of;
        match (entry, grace_end) {
            // One that said that it leaves has left.
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

    fn lapse(&mut self, now: Instant, row: LapsedRow) -> Effect {
        let state = State::Lapsed(row.entry.clone(), now + row.left.min(LAPSE_GRACE));
        self.rows.insert(row.entry.id.clone(), Known { version: self.as_of, state });

        Effect::Use(row.entry)
    }
}
