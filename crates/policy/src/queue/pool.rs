//! The queue of one pool, and the selection of the next call to place.

use std::time::Duration;

use camphorwalk_core::ids::{PoolId, TargetId, TenantId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use super::demand::{CacheDemand, UPDATE_INTERVAL};
use super::estimates::Estimates;
use super::lanes::{LaneId, Lanes, Position};
use super::shares::{ServiceAccounts, Weights};
use super::targets::{Candidate, Choice, Targets};
use super::waiting::{WaitingCall, WaitingCalls};
use crate::shared_types::{PlaceRequest, PlaceRequestId};

/// After this many calls were considered in one selection of a pool, no further lane is considered.
const MAX_CANDIDATES: usize = 32;

/// Bounds of the retry time that is sent with a refusal.
const RETRY_AFTER_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// The maximum number of attained tokens at level 1. Each further level allows four times as many
/// as the one before.
const FIRST_LEVEL_TOKENS: u64 = 4_096;

/// Calls of this class rank are never held back.
const FIRST_RANK: u8 = 0;

/// The number of levels for started programs.
const LEVELS: u8 = 4;

/// The queue of one pool in this host's zone.
#[derive(Debug, Default)]
pub struct Pool {
    /// The pool's waiting calls, in order.
    pub lanes: Lanes,
    /// The service accounts of the tenants.
    pub accounts: ServiceAccounts,
    /// Statistics of the pool's calls.
    pub estimates: Estimates,
    /// The demand for cache space.
    pub demand: CacheDemand,
    /// When to select again even if no event occurs.
    pub recheck_at: Option<Instant>,
}

/// The result of a selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pick {
    /// The request, the target to grant, and the number of prompt tokens that it will compute.
    Grant(PlaceRequestId, TargetId, Tokens),
    /// No call can be placed before this time unless an event occurs; with `None`, only an event
    /// can change that.
    Nothing(Option<Instant>),
}

impl Pool {
    /// Selects the next call to place. Reserves a target for a suspect call that is considered but
    /// finds no empty target.
    pub fn pick(
        &mut self,
        now: Instant,
        id: PoolId,
        weights: &Weights,
        waiting: &mut WaitingCalls,
        targets: &mut Targets,
    ) -> Pick {
        // A suspect call is placed as soon as its reserved target is empty. The target would stay
        // idle if the call had to come first in the order again.
        if let Some((request_id, target)) = targets.ready_suspect(id, now)
            && let Some(call) = waiting.get(request_id)
        {
            return Pick::Grant(request_id, target, call.request.prompt);
        }

        let mut recheck_at = targets.next_backoff_end(now, id);

        if !targets.has_free_place(now, id) {
            return Pick::Nothing(recheck_at);
        }

        if self.demand.is_due(now) {
            self.demand.update(now, targets.expected_reuse(now, id, &self.estimates));
        }

        let capacity = targets.local_capacity(id);
        let mut last = None;
        let mut considered = 0;

        while let Some(order) =
            self.lanes.next_after(last, &self.accounts).filter(|_| considered < MAX_CANDIDATES)
        {
            for request_id in self.lanes.candidates(order.2) {
                let Some(call) = waiting.get(request_id) else { continue };
                let request = &call.request;
                let candidate =
                    Candidate { request_id, request, passed_over_since: call.passed_over_since };
                considered += 1;

                if self.is_held_back(call, weights, capacity) {
                    recheck_at = recheck_at.into_iter().chain([now + UPDATE_INTERVAL]).min();
                    continue;
                }

                match targets.choose(now, candidate, &self.estimates) {
                    Choice::Place(target, computed) => {
                        return Pick::Grant(request_id, target, computed);
                    }
                    Choice::Wait(until) => {
                        recheck_at = recheck_at.into_iter().chain(until).min();
                        targets.reserve(now, request_id, request);

                        if until.is_some() {
                            waiting.mark_passed_over(now, request_id);
                        }
                    }
                }
            }

            last = Some(order);
        }

        Pick::Nothing(recheck_at)
    }

    /// Returns whether a call is held back because it would start a new program and the started
    /// ones need the caches; see [`CacheDemand`].
    ///
    /// Calls of the first class are exempt because their programs are short. A lane that contains
    /// only new programs is exempt when it is granted for having waited longest, so that no lane
    /// waits forever.
    fn is_held_back(&self, call: &WaitingCall, weights: &Weights, capacity: Tokens) -> bool {
        let WaitingCall { request, lane, .. } = call;
        let is_exempt_lane =
            self.lanes.is_aged_grant_next() && !self.lanes.has_started_program(*lane);

        if request.attained > Tokens(0) || lane.rank == FIRST_RANK || is_exempt_lane {
            return false;
        }

        let size =
            request.prompt.plus(self.estimates.expected_output(request.class, request.output));

        !self.demand.has_room(request.tenant, weights.fraction(request.tenant), size, capacity)
    }

    /// Returns the sort key that a call gets in its lane when it starts to wait.
    pub fn position(
        request: &PlaceRequest,
        request_id: PlaceRequestId,
        deadline: Instant,
        arrival: u64,
    ) -> Position {
        Position { level: attained_level(request), deadline, arrival, request_id }
    }

    /// Returns the time from which a call can no longer be served before its deadline.
    ///
    /// A call is too late when the time left is less than half of its expected duration. The
    /// first call of a program is too late when the time left is less than half of the whole
    /// program's expected duration. Service that is spent on a program that cannot finish is lost
    /// to those that can.
    pub fn refuse_at(&self, request: &PlaceRequest, lane: LaneId, deadline: Instant) -> Instant {
        let output = self.estimates.expected_output(request.class, request.output);
        let call = self.estimates.expected_hold(Tokens(1), output) / 2;
        let is_first = request.attained == Tokens(0);
        let program = if is_first {
            self.estimates.expected_program_time(request.class, lane) / 2
        } else {
            call
        };
        let needed = u64::try_from(program.max(call).as_micros()).unwrap_or(u64::MAX);

        Instant(deadline.0.saturating_sub(needed))
    }

    /// Estimates how long a call will wait, from the number of calls before it in its lane.
    ///
    /// For new programs the estimate uses the recent rate of program starts. For other calls it
    /// uses the lane's fair share of the pool.
    pub fn expected_wait(
        &self,
        lane: LaneId,
        position: &Position,
        limit: u32,
        weights: &Weights,
    ) -> Duration {
        let ahead = self.lanes.count_ahead(lane, position);

        if position.level == 0 {
            return self.estimates.expected_start(lane, ahead);
        }

        let weight = |tenant: TenantId| f64::from(weights.get(tenant));
        let others = self.accounts.waiting_tenants().filter(|tenant| *tenant != lane.tenant);
        let others: f64 = others.map(weight).sum();
        let share = weight(lane.tenant) / (weight(lane.tenant) + others);
        let places = f64::from(limit.max(1)) * share;
        let seconds = ahead as f64 * self.estimates.mean_hold() / places;

        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// Clamps a retry time to its bounds.
pub fn bounded_retry_after(wait: Duration) -> Duration {
    wait.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1)
}

/// Returns 0 for a new program, and otherwise a level from 1 to [`LEVELS`], which is higher the
/// more tokens were processed for the call's program so far. Calls of lower levels are served
/// first.
fn attained_level(request: &PlaceRequest) -> u8 {
    let Tokens(attained) = request.attained;

    if attained == 0 {
        return 0;
    }

    let mut bound = FIRST_LEVEL_TOKENS;
    let mut level = 1;

    while attained > bound && level < LEVELS {
        bound *= 4;
        level += 1;
    }

    level
}
