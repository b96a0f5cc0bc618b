//! Leases on the right to grant tokens without the store.
//!
//! The programs are divided into as many partitions as the table of budgets has parts. Each
//! partition has a lease: a row in the same part of the store, which names the run of a host that
//! holds it. Only the holder grants tokens of the partition's programs without the store, and only
//! with the holder's consent does the store grant more of a budget than its share (see `shares`).
//! Who may grant therefore does not depend on which hosts are live or reached at the moment:
//!
//! - A holder that is partitioned from the store stops granting when its lease expires, which is
//!   before any other host may take the lease over (see [`LEASE_VALID_FOR`]).
//! - A row that exceeds the store's share is written on condition that the lease row still has the
//!   version under which the holder consented.
//! - A holder that ends without releasing its lease may leave grants that nobody knows of. Its
//!   successor keeps the partition in quarantine: it neither grants nor consents, until each program
//!   that may have such a grant has either ended or a row in the store. The programs that have a
//!   row by then never get more than the store's share.

mod partitions;

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use serde::{Deserialize, Serialize};

use crate::entry::budgets::RunId;

pub use partitions::{Partition, PartitionSet};

/// How long leases are valid after the start of the holder's last acknowledged heartbeat.
pub const LEASE_VALID_FOR: Duration = Duration::from_secs(15);

/// A lease may be taken over once the row of its holder's host has not changed for this long. It is
/// longer than [`LEASE_VALID_FOR`] and [`MAX_HEARTBEAT_TIME`] together, so the holder then knows
/// that its lease has expired, with a margin for clocks that run at different speeds.
pub const TAKEOVER_AFTER: Duration = Duration::from_secs(20);

/// A heartbeat that the store acknowledges later than this does not renew leases.
pub const MAX_HEARTBEAT_TIME: Duration = Duration::from_secs(2);

/// How long a host may spend a grant that is not known to be in the store. Afterwards the program
/// of a lost grant no longer runs on it, so the quarantine of its partition can end.
pub const UNSTORED_GRANT_VALID_FOR: Duration = Duration::from_secs(20);

/// The part of a quarantine that covers turns that still run when their grant expires.
const TURN_MARGIN: Duration = Duration::from_secs(10);

/// A partition counts as vacant when no live host has reported to hold its lease for this long.
const VACANT_AFTER: Duration = Duration::from_millis(500);

/// How many leases a host acquires in one round at most, so that the first host that starts leaves
/// the others their part.
const MAX_CLAIMS: usize = 32;

/// How long a host waits before it reads the row of a lease again. What it knows of the holder
/// changes with each heartbeat, not with the row, so there is no hurry.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Returns the length of a quarantine if programs may return within `retention` after a turn.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_policy::entry::grant_leases::quarantine_time;
/// assert_eq!(quarantine_time(Duration::from_secs(60)), Duration::from_secs(90));
/// ```
pub fn quarantine_time(retention: Duration) -> Duration {
    retention + UNSTORED_GRANT_VALID_FOR + TURN_MARGIN
}

/// The run of a host that holds a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The name of the host.
    pub host: Box<str>,
    /// The run of its process.
    pub run: RunId,
}

/// The stored state of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holder, or `None` if the last one released the lease. It then left no grants that are
    /// not in the store.
    pub holder: Option<Holder>,
}

/// What a host knows of the holder that a lease row names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderState {
    /// Its process has ended, or its leases have expired.
    Ended,
    /// It may still use its leases.
    MayRun,
}

/// What a host last read of the row that another host writes as its heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostSeen {
    /// The run that wrote the row.
    pub run: RunId,
    /// The version of the row.
    pub version: RowVersion,
    /// When the first read ended that found this version.
    pub since: Instant,
    /// When the last read began.
    pub at: Instant,
}

impl HostSeen {
    /// Returns what is known of a host after another read of its row, which began at `began` and
    /// ended at `now`.
    ///
    /// ```
    /// use camphorwalk_core::platform::RowVersion;
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::budgets::RunId;
    /// use camphorwalk_policy::entry::grant_leases::HostSeen;
    /// let (run, version) = (RunId(7), RowVersion(3));
    /// let first = HostSeen::after_read(None, run, version, Instant(10), Instant(12));
    /// let next = HostSeen::after_read(Some(first), run, version, Instant(20), Instant(22));
    /// assert_eq!((next.since, next.at), (Instant(12), Instant(20)));
    /// ```
    pub fn after_read(
        before: Option<Self>,
        run: RunId,
        version: RowVersion,
        began: Instant,
        now: Instant,
    ) -> Self {
        let unchanged = before.filter(|before| before.version == version);

        Self { run, version, since: unchanged.map_or(now, |before| before.since), at: began }
    }
}

/// Determines the state of a holder that a lease row names, from the row of its host.
///
/// A host writes its own row, on condition of the version that it has read, before it acquires a
/// lease. So a host row that was read after the lease row shows the holder's run, or a later one.
///
/// ```
/// use camphorwalk_core::platform::RowVersion;
/// use camphorwalk_core::time::Instant;
/// use camphorwalk_policy::entry::budgets::RunId;
/// use camphorwalk_policy::entry::grant_leases::{Holder, HolderState, HostSeen, holder_state};
/// let holder = Holder { host: "a".into(), run: RunId(7) };
/// let version = RowVersion(3);
/// let seen = HostSeen { run: RunId(8), version, since: Instant(20), at: Instant(20) };
/// assert_eq!(holder_state(&holder, Instant(10), Some(seen)), HolderState::Ended);
/// assert_eq!(holder_state(&holder, Instant(30), Some(seen)), HolderState::MayRun);
/// ```
pub fn holder_state(
    holder: &Holder,
    lease_read_at: Instant,
    seen: Option<HostSeen>,
) -> HolderState {
    let has_ended = |seen: HostSeen| {
        let is_silent = seen.at.since(seen.since) >= TAKEOVER_AFTER;
        seen.at > lease_read_at && (seen.run != holder.run || is_silent)
    };

    match seen.is_some_and(has_ended) {
        true => HolderState::Ended,
        false => HolderState::MayRun,
    }
}

/// What to do about a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// Read the row, and pass it to [`GrantLeases::record_row`].
    Read,
    /// Write this row, on condition that the stored one has this version, and then call
    /// [`GrantLeases::record_acquired`] or [`GrantLeases::record_conflict`].
    Write(LeaseRow, RowVersion, Succession),
}

/// How an acquired lease was held before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Succession {
    /// The holder released it, or there was none: all earlier grants are in the store.
    Released,
    /// The holder may have left grants that are not in the store.
    Abandoned,
    /// This host held it, but it had expired.
    Renewed,
}

/// The answer of a lease's holder to a request to grant more than the store's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consent {
    /// The store may grant the whole budget while the lease row has this version.
    Given(RowVersion),
    /// Tokens of the partition's programs may have been granted without a trace.
    Quarantined,
    /// This host does not hold the lease.
    NotHolder,
}

/// What a held lease allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The lease was acquired at this time, and the rows of the partition's budgets have to be read
    /// first.
    Unread(Instant),
    /// No grants and no consent until this time and until the rows were read after it.
    Quarantined(Instant),
    /// Grants and consent.
    Open,
}

/// A lease that this host holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    version: RowVersion,
    phase: Phase,
    /// Whether the row was written since this host's leases last expired.
    is_confirmed: bool,
}

/// The row of a lease that this host does not hold, as last read.
#[derive(Clone, Debug)]
struct Observed {
    row: Option<LeaseRow>,
    version: RowVersion,
    /// When the read began.
    at: Instant,
}

impl Observed {
    fn names_other(&self, own: &Holder) -> bool {
        let holder = self.row.as_ref().and_then(|row| row.holder.as_ref());

        holder.is_some_and(|holder| holder != own)
    }
}

/// The leases as one host knows them.
#[derive(Clone, Debug)]
pub struct GrantLeases {
    own: Holder,
    is_first_start: bool,
    held: Map<Partition, Held>,
    observed: Map<Partition, Observed>,
    /// When the last heartbeat began that the store has acknowledged.
    renewed_at: Option<Instant>,
    vacant_since: Map<Partition, Instant>,
    /// When this host last read a lease's row.
    read_at: Map<Partition, Instant>,
    /// The writes by which this host has tried to acquire leases without knowing whether it has, with
    /// the versions that they replace. They may take effect late.
    attempts: Map<Partition, (Succession, RowVersion)>,
    /// Whether this host has given up its leases because it shuts down.
    is_leaving: bool,
}

impl GrantLeases {
    /// Creates the state of a host without leases. `is_first_start` says that the whole deployment
    /// starts for the first time, so that a missing lease row means that there are no grants.
    pub fn new(own: Holder, is_first_start: bool) -> Self {
        Self {
            own,
            is_first_start,
            held: Map::default(),
            observed: Map::default(),
            renewed_at: None,
            vacant_since: Map::default(),
            read_at: Map::default(),
            attempts: Map::default(),
            is_leaving: false,
        }
    }

    /// Records that the store has acknowledged a heartbeat that began at `began`. Other hosts may
    /// have taken over the leases that had expired by then, so these have to be confirmed.
    pub fn record_heartbeat(&mut self, began: Instant, now: Instant) {
        if now.since(began) > MAX_HEARTBEAT_TIME {
            return;
        }
        if !self.is_valid(began) {
            self.held.values_mut().for_each(|held| held.is_confirmed = false);
        }
        self.renewed_at = self.renewed_at.max(Some(began));
    }

    /// Returns whether this host's leases have not expired.
    fn is_valid(&self, now: Instant) -> bool {
        self.renewed_at.is_some_and(|at| now.since(at) < LEASE_VALID_FOR)
    }

    /// Returns whether this host acquires vacant leases. Before its first heartbeat the row of its host
    /// may still name an earlier run.
    pub fn can_claim(&self, now: Instant) -> bool {
        !self.is_leaving && self.is_valid(now)
    }

    /// Returns the partitions whose lease this host reports to hold.
    pub fn reported(&self) -> PartitionSet {
        let confirmed = self.held.iter().filter(|(_, held)| held.is_confirmed);

        confirmed.map(|(partition, _)| *partition).collect()
    }

    /// Returns what to do now about leases: those of this host that have expired, and vacant ones.
    /// `has_live_holder` tells whether a live host reports to hold a lease, `is_first` whether this
    /// host is the one to take it. `holder_state` tells what this host knows of the holder that a
    /// row names, as of later than the given time, at which the row was read.
    pub fn claims(
        &mut self,
        now: Instant,
        all: impl Iterator<Item = Partition>,
        has_live_holder: impl Fn(Partition) -> bool,
        is_first: impl Fn(Partition) -> bool,
        holder_state: impl Fn(&Holder, Instant) -> HolderState,
    ) -> Vec<(Partition, Claim)> {
        if !self.can_claim(now) {
            return Vec::new();
        }

        all.filter_map(|partition| {
            let held = self.held.get(&partition).map(|held| held.is_confirmed);
            if held == Some(true) || held.is_none() && has_live_holder(partition) {
                self.vacant_since.remove(&partition);
                return None;
            }
            let since = *self.vacant_since.entry(partition).or_insert(now);
            let is_vacant = now.since(since) >= VACANT_AFTER && is_first(partition);
            let is_attempted = self.attempts.contains_key(&partition);

            if held.is_none() && !is_vacant && !is_attempted {
                return None;
            }
            let claim = self.claim(now, partition, &holder_state)?;
            Some((partition, claim))
        })
        .take(MAX_CLAIMS)
        .collect()
    }

    /// Records the row of a lease, whose read began at `began`, and returns what to do next.
    ///
    /// ```
    /// use camphorwalk_core::platform::RowVersion;
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::budgets::RunId;
    /// use camphorwalk_policy::entry::grant_leases::{
    ///     Claim, GrantLeases, Holder, HolderState, LeaseRow, Partition, Succession,
    /// };
    /// let now = Instant(0);
    /// let own = Holder { host: "a".into(), run: RunId(7) };
    /// let other = LeaseRow { holder: Some(Holder { host: "b".into(), run: RunId(8) }) };
    /// let mut leases = GrantLeases::new(own.clone(), false);
    /// let row = Some((other, RowVersion(3)));
    /// let claim = leases.record_row(now, now, Partition(0), row.clone(), |_, _| HolderState::MayRun);
    /// assert_eq!(claim, None);
    /// let claim = leases.record_row(now, now, Partition(0), row, |_, _| HolderState::Ended);
    /// let row = LeaseRow { holder: Some(own) };
    /// assert_eq!(claim, Some(Claim::Write(row, RowVersion(3), Succession::Abandoned)));
    /// ```
    pub fn record_row(
        &mut self,
        began: Instant,
        now: Instant,
        partition: Partition,
        row: Option<(LeaseRow, RowVersion)>,
        holder_state: impl Fn(&Holder, Instant) -> HolderState,
    ) -> Option<Claim> {
        let (row, version) = match row {
            Some((row, version)) => (Some(row), version),
            None => (None, RowVersion::ABSENT),
        };
        let before = self.observed.get(&partition).filter(|before| before.version == version);
        let at = before.map_or(began, |before| before.at);
        self.observed.insert(partition, Observed { row, version, at });

        self.claim(now, partition, &holder_state).filter(|claim| *claim != Claim::Read)
    }

    /// Determines what to do about a lease that this host may claim.
    fn claim(
        &mut self,
        now: Instant,
        partition: Partition,
        holder_state: &impl Fn(&Holder, Instant) -> HolderState,
    ) -> Option<Claim> {
        // At the first start of a deployment there are no rows yet.
        if self.is_first_start && !self.read_at.contains_key(&partition) {
            self.read_at.insert(partition, Instant(0));
            self.observed
                .insert(partition, Observed { row: None, version: RowVersion::ABSENT, at: now });
        }
        let Some(observed) = self.observed.get(&partition) else {
            return self.read_if_due(now, partition);
        };
        if observed.names_other(&self.own) {
            let version = observed.version;
            self.held.remove(&partition);
            // A late write fails once the row has another version.
            self.attempts.retain(|p, (_, replaced)| *p != partition || *replaced == version);
        }
        let Some(succession) = self.succession(partition, observed, holder_state) else {
            return self.read_if_due(now, partition);
        };

        let version = self.observed.remove(&partition)?.version;
        self.attempts.insert(partition, (succession, version));
        Some(Claim::Write(LeaseRow { holder: Some(self.own.clone()) }, version, succession))
    }

    fn read_if_due(&mut self, now: Instant, partition: Partition) -> Option<Claim> {
        let is_due = |at: &Instant| now.since(*at) >= RETRY_AFTER;
        if !self.read_at.get(&partition).is_none_or(is_due) {
            return None;
        }

        self.read_at.insert(partition, now);
        Some(Claim::Read)
    }

    /// Returns how a lease was held before this host may acquire it, or `None` if it may not.
    fn succession(
        &self,
        partition: Partition,
        observed: &Observed,
        holder_state: &impl Fn(&Holder, Instant) -> HolderState,
    ) -> Option<Succession> {
        let Some(row) = &observed.row else {
            return Some(match self.is_first_start {
                true => Succession::Released,
                false => Succession::Abandoned,
            });
        };
        let Some(holder) = &row.holder else { return Some(Succession::Released) };
        if holder.host == self.own.host && holder.run != self.own.run {
            // The earlier process of this host.
            return Some(Succession::Abandoned);
        }
        if *holder == self.own {
            let is_held =
                self.held.get(&partition).is_some_and(|held| held.version == observed.version);
            // Otherwise an attempt to acquire the lease took effect although its answer was lost.
            let attempt = self.attempts.get(&partition).map(|(succession, _)| *succession);
            return Some(if is_held { Succession::Renewed } else { attempt? });
        }

        (holder_state(holder, observed.at) == HolderState::Ended).then_some(Succession::Abandoned)
    }

    /// Records that this host has acquired a lease at `now` by writing its row. `quarantine` is the
    /// length of a quarantine (see [`quarantine_time`]). The rows of the partition's budgets have to
    /// be read next (see [`GrantLeases::partitions_to_read`]).
    pub fn record_acquired(
        &mut self,
        now: Instant,
        partition: Partition,
        version: RowVersion,
        succession: Succession,
        quarantine: Duration,
    ) {
        let quarantined = Phase::Quarantined(now + quarantine);
        let phase = match (succession, self.held.get(&partition)) {
            (Succession::Released, _) => Phase::Unread(now),
            (Succession::Renewed, Some(held)) => held.phase,
            (Succession::Renewed, None) | (Succession::Abandoned, _) => quarantined,
        };

        self.held.insert(partition, Held { version, phase, is_confirmed: true });
        self.vacant_since.remove(&partition);
        self.attempts.remove(&partition);
    }

    /// Records that the row of a lease was not written because another one is stored, which has to be
    /// read next. It may be this host's own, written late.
    pub fn record_conflict(&mut self, partition: Partition) {
        self.observed.remove(&partition);
    }

    /// Returns the partitions whose budget rows have to be read now: those of leases that were just
    /// acquired after a release, and those whose quarantine is over.
    pub fn partitions_to_read(&self, now: Instant) -> Vec<Partition> {
        let is_due = |phase: Phase| match phase {
            Phase::Unread(_) => true,
            Phase::Quarantined(until) => now >= until,
            Phase::Open => false,
        };
        let due = self.held.iter().filter(|(_, held)| held.is_confirmed && is_due(held.phase));

        due.map(|(partition, _)| *partition).collect()
    }

    /// Records that all budget rows of a partition were read, beginning at `began`. Returns how the
    /// lease was held before, which determines what the rows mean (see
    /// `Budgets::merge_partition_rows`), or `None` if the rows have to be read again.
    pub fn record_read(&mut self, began: Instant, partition: Partition) -> Option<Succession> {
        let held = self.held.get_mut(&partition)?;
        let succession = match held.phase {
            Phase::Unread(acquired_at) if began >= acquired_at => Succession::Released,
            Phase::Quarantined(until) if began >= until => Succession::Abandoned,
            _ => return None,
        };

        held.phase = Phase::Open;
        Some(succession)
    }

    /// Returns whether this host may grant tokens of a partition's programs without the store.
    pub fn may_grant(&self, now: Instant, partition: Partition) -> bool {
        let is_usable = |held: &Held| held.is_confirmed && held.phase == Phase::Open;

        self.is_valid(now) && self.held.get(&partition).is_some_and(is_usable)
    }

    /// Returns whether this host consents to grants of a partition's whole budgets by the store. The
    /// caller has to close the program for grants without the store before it passes the consent on
    /// (see `Budgets::close_for_outages`).
    pub fn consent(&self, partition: Partition) -> Consent {
        let confirmed = self.held.get(&partition).filter(|held| held.is_confirmed);

        match confirmed.map(|held| (held.phase, held.version)) {
            Some((Phase::Open, version)) => Consent::Given(version),
            Some((Phase::Quarantined(_), _)) => Consent::Quarantined,
            Some((Phase::Unread(_), _)) | None => Consent::NotHolder,
        }
    }

    /// Gives up all leases. Returns those to release in the store, with the versions of their rows.
    /// Leases for which `is_settled` is false, and those in quarantine, are not released, so that
    /// their next holder keeps them in quarantine.
    pub fn give_up_all(
        &mut self,
        is_settled: impl Fn(Partition) -> bool,
    ) -> Vec<(Partition, RowVersion)> {
        self.is_leaving = true;
        let held = std::mem::take(&mut self.held);
        let is_open = |held: &Held| held.is_confirmed && held.phase == Phase::Open;
        let released = held.into_iter().filter(|(p, held)| is_open(held) && is_settled(*p));

        released.map(|(partition, held)| (partition, held.version)).collect()
    }
}
