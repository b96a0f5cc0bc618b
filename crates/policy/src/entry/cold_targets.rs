//! How many calls each host may send to a cold target.
//!
//! A target that has just started, or whose zone returns from an evacuation, is cold for some
//! seconds. It takes only a limited rate of calls meanwhile and crashes far above it. The limit is
//! for all hosts together, and must hold although hosts are partitioned from each other.
//!
//! So a cold target's limit is divided among the hosts in advance, by the list of hosts that all of
//! them read from the store: nothing is asked for and nobody needs to be heard. In a fleet with
//! fewer hosts than the limit each host gets an even part. In a larger one, each target has as many
//! hosts as the limit allows, which get one call each within a second; for another target these are
//! other hosts, so that a zone whose targets are all cold still serves about the limit.
//!
//! Hosts may have read different lists. The parts still do not exceed the limit if each host that
//! uses its part is on the list of each other such host. [`ColdShares`] sees to that: it withholds
//! the part of a host that the others may not have read yet, or may no longer count, or that has
//! not read the list for a while.

use std::collections::VecDeque;
use std::time::Duration;

use camphorwalk_core::entry::{ColdBounds, ColdSpec};
use camphorwalk_core::hash::rendezvous_weight;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

/// The time within which the limit on calls to a cold target applies.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(1);

/// A place at a cold target lapses if the call is not sent within this time, for example because
/// connecting took so long.
pub const MAX_SEND_DELAY: Duration = Duration::from_millis(250);

/// A host's part of the limit applies to the places that it assigns within this time, so that no more
/// calls are sent within [`LIMIT_WINDOW`].
pub const PLACE_WINDOW: Duration = LIMIT_WINDOW.saturating_add(MAX_SEND_DELAY);

/// How long a list of hosts is valid after it was read.
pub const LIST_VALID_FOR: Duration = Duration::from_secs(8);

/// How long after its row was first stored a host begins to use its part: by then, no list that was
/// read before is valid.
pub const JOIN_DELAY: Duration = Duration::from_secs(9);

/// How long a host is certain to be on the list of the others after it last wrote its row. They
/// remove a host whose row has not changed for 20 seconds.
pub const ROW_VALID_FOR: Duration = Duration::from_secs(15);

/// Returns how many calls all hosts together may send to a cold target within [`LIMIT_WINDOW`].
///
/// ```
/// use std::time::Duration;
/// use camphorwalk_core::entry::{ColdBounds, ColdSpec};
/// use camphorwalk_policy::entry::cold_targets::call_limit;
/// let spec = ColdSpec { rate: 23.0, duration: Duration::from_secs(3) };
/// assert_eq!(call_limit(spec, ColdBounds { overage: 1.5, tolerance: 5.0 }), 39);
/// ```
pub fn call_limit(spec: ColdSpec, bounds: ColdBounds) -> u32 {
    (spec.rate * bounds.overage + bounds.tolerance) as u32
}

/// Returns a host's part of the limit on calls to a cold target, if the other hosts are `others`.
///
/// ```
/// use camphorwalk_core::ids::HostId;
/// use camphorwalk_policy::entry::cold_targets::part_of_limit;
/// let others: Vec<_> = (1..11).map(HostId).collect();
/// assert_eq!(part_of_limit(39, 7, HostId(0), &others), 3);
/// ```
pub fn part_of_limit(limit: u32, target: u64, own: HostId, others: &[HostId]) -> u32 {
    let hosts = others.len() + 1;
    if hosts <= limit as usize {
        return limit / hosts as u32;
    }
    let own_weight = rendezvous_weight(target, own.0);
    let ahead = others.iter().filter(|host| rendezvous_weight(target, host.0) > own_weight);

    u32::from(ahead.count() < limit as usize)
}

/// Decides whether this host may use its part of the limits, and how large it is.
#[derive(Clone, Debug)]
pub struct ColdShares {
    own: HostId,
    others: Vec<HostId>,
    /// When the read of the list began.
    list_read_at: Option<Instant>,
    /// When a write of the row was acknowledged that was the first one of this process, or the first
    /// one after a pause of [`ROW_VALID_FOR`].
    joined_at: Option<Instant>,
    /// When the last acknowledged write of the row began.
    row_written_at: Option<Instant>,
}

impl ColdShares {
    /// Creates the shares of a host that has neither read the list nor written its row.
    pub fn new(own: HostId) -> Self {
        Self { own, others: Vec::new(), list_read_at: None, joined_at: None, row_written_at: None }
    }

    /// Records an acknowledged write of this host's row that began at `began`.
    pub fn record_row_written(&mut self, now: Instant, began: Instant) {
        // After a long pause the others may have removed this host from their lists.
        let is_counted = self.row_written_at.is_some_and(|at| now.since(at) < ROW_VALID_FOR);
        if !is_counted {
            self.joined_at = Some(now);
        }
        self.row_written_at = self.row_written_at.max(Some(began));
    }

    /// Records the other hosts of a list whose read began at `began`. Returns whether they differ
    /// from those of the last one.
    pub fn record_list(&mut self, began: Instant, mut others: Vec<HostId>) -> bool {
        others.sort_unstable();
        self.list_read_at = Some(began);
        let is_changed = others != self.others;
        self.others = others;

        is_changed
    }

    /// Returns whether this host may use its parts of the limits: each other host that does so has
    /// it on its list, and the other way round.
    ///
    /// ```
    /// use camphorwalk_core::ids::HostId;
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::cold_targets::ColdShares;
    /// let at = Instant::from_millis;
    /// let mut shares = ColdShares::new(HostId(1));
    /// shares.record_row_written(at(0), at(0));
    /// shares.record_list(at(5_000), vec![HostId(2)]);
    /// assert!(!shares.may_use(at(8_000)));
    /// assert!(shares.may_use(at(9_000)));
    /// ```
    pub fn may_use(&self, now: Instant) -> bool {
        let is_known = self.joined_at.is_some_and(|at| now.since(at) >= JOIN_DELAY);
        let is_counted = self.row_written_at.is_some_and(|at| now.since(at) < ROW_VALID_FOR);
        let is_list_valid = self.list_read_at.is_some_and(|at| now.since(at) < LIST_VALID_FOR);

        is_known && is_counted && is_list_valid
    }

    /// Returns this host's part of the limit on calls to a cold target.
    pub fn part(&self, limit: u32, target: u64) -> u32 {
        part_of_limit(limit, target, self.own, &self.others)
    }
}

/// The calls of this host to a target that is or may become cold.
#[derive(Clone, Debug, Default)]
pub struct ColdState {
    /// Until when the target is cold, as far as this host knows.
    until: Option<Instant>,
    /// Whether calls to the target are limited while it is cold.
    is_limited: bool,
    /// This host's part of the limit, as of when the target last turned cold or the list of hosts
    /// changed while it was.
    part: u32,
    /// When the last places at the target were taken, oldest first.
    places: VecDeque<Instant>,
}

impl ColdState {
    /// Records that the target stays cold until a time at least.
    pub fn extend(&mut self, until: Instant) {
        self.until = self.until.max(Some(until));
    }

    /// Sets whether calls to the target are limited while it is cold.
    pub fn set_limited(&mut self, is_limited: bool) {
        self.is_limited = is_limited;
    }

    /// Sets this host's part of the limit.
    pub fn set_part(&mut self, part: u32) {
        self.part = part;
    }

    /// Returns this host's part of the limit while the target is cold and has a limit.
    pub fn part(&self, now: Instant) -> Option<u32> {
        let is_cold = self.until.is_some_and(|until| now < until);

        (self.is_limited && is_cold).then_some(self.part)
    }

    /// Records that a place was taken.
    pub fn record_place(&mut self, now: Instant) {
        if !self.is_limited {
            return;
        }
        while self.places.front().is_some_and(|at| now.since(*at) >= PLACE_WINDOW) {
            self.places.pop_front();
        }
        self.places.push_back(now);
    }

    /// Returns whether a place may be taken. `may_use_part` tells whether this host may use its
    /// parts of limits (see [`ColdShares::may_use`]).
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::cold_targets::ColdState;
    /// let at = Instant::from_millis;
    /// let mut state = ColdState::default();
    /// state.set_limited(true);
    /// state.set_part(1);
    /// state.extend(at(3_000));
    /// state.record_place(at(0));
    /// assert!(!state.has_room(at(1_000), true));
    /// assert!(state.has_room(at(1_250), true));
    /// assert!(state.has_room(at(3_000), false));
    /// ```
    pub fn has_room(&self, now: Instant, may_use_part: bool) -> bool {
        let Some(part) = self.part(now) else { return true };

        may_use_part && self.recent_places(now) < part
    }

    /// Returns whether a call may be sent whose place was taken at `taken_at`. The target may have
    /// turned cold since then.
    pub fn may_send(&self, now: Instant, taken_at: Instant, may_use_part: bool) -> bool {
        let Some(part) = self.part(now) else { return true };

        may_use_part && now.since(taken_at) <= MAX_SEND_DELAY && self.recent_places(now) <= part
    }

    fn recent_places(&self, now: Instant) -> u32 {
        let recent = self.places.iter().rev().take_while(|at| now.since(**at) < PLACE_WINDOW);

        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }
}
