//! One pool's order, accounts and estimates, and the search for the call that is next.

use std::time::Duration;

use camphorwalk_core::ids::{PoolId, TargetId, TenantId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use super::demand::{CHECK_INTERVAL, Demand};
use super::estimates::Estimates;
use super::lanes::{LaneId, Lanes, Position};
use super::shares::{Shares, Weights};
use super::targets::{Candidate, Choice, Targets};
use super::waiting::{Waiter, Waiting};
use crate::shared_types::{PlaceRequest, PlaceRequestId};

/// How many calls of a pool are looked at for one that can be placed.
const LOOK_AHEAD: usize = 32;

/// The least and the most time after which a refused call is told to come back.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// A program has not yet attained more than this many tokens at level 1, four times as many at
/// the next, and so on.
const FIRST_LEVEL: u64 = 4_096;

/// Calls of this rank are never held back.
const FIRST_RANK: u8 = 0;

/// The number of levels for programs under way.
const LEVELS: u8 = 4;

/// The queue of one pool.
#[derive(Debug, Default)]
pub struct Pool {
    /// The order of the calls that wait.
    pub lanes: Lanes,
    /// The tenants' accounts.
    pub shares: Shares,
    /// What is known of calls.
    pub estimates: Estimates,
    /// The need for room in the caches.
    pub demand: Demand,
    /// When to look again although nothing has changed.
    pub look_again: Option<Instant>,
}

/// What comes next in a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pick {
    /// This call may go to this target, and so many prompt tokens will be computed.
    Grant(PlaceRequestId, TargetId, Tokens),
    /// No call can be placed before this instant, unless something changes.
    Nothing(Option<Instant>),
}

impl Pool {
    /// Returns the next call to be placed, and keeps a target empty for a suspect whose turn
    /// has come.
    pub fn pick(
        &mut self,
        now: Instant,
        id: PoolId,
        weights: &Weights,
        waiting: &mut Waiting,
        targets: &mut Targets,
    ) -> Pick {
        // An empty target that is kept for a suspect would stand idle if the suspect were
        // only looked for in the order.
        if let Some((request_id, target)) = targets.ready_suspect(id, now)
            && let Some(waiter) = waiting.get(request_id)
        {
            return Pick::Grant(request_id, target, waiter.request.prompt);
        }

        let mut look_again = targets.next_probe(now, id);

        if !targets.has_room(now, id) {
            return Pick::Nothing(look_again);
        }

        if self.demand.is_due(now) {
            self.demand.look(now, targets.cache_in_use(now, id, &self.estimates));
        }

        let cache = targets.cache(id);
        let mut last = None;
        let mut looked = 0;

        while let Some(order) = self.lanes.after(last, &self.shares).filter(|_| looked < LOOK_AHEAD)
        {
            for request_id in self.lanes.first(order.2) {
                let Some(waiter) = waiting.get(request_id) else { continue };
                let request = &waiter.request;
                let candidate = Candidate { request_id, request, passed: waiter.passed };
                looked += 1;

                if self.holds_back(waiter, weights, cache) {
                    look_again = look_again.into_iter().chain([now + CHECK_INTERVAL]).min();
                    continue;
                }

                match targets.choose(now, candidate, &self.estimates) {
                    Choice::Take(target, computed) => {
                        return Pick::Grant(request_id, target, computed);
                    }
                    Choice::Wait(until) => {
                        look_again = look_again.into_iter().chain(until).min();
                        targets.reserve(now, request_id, request);

                        if until.is_some() {
                            waiting.pass(now, request_id);
                        }
                    }
                }
            }

            last = Some(order);
        }

        Pick::Nothing(look_again)
    }

    /// Returns whether a call of a new program is held back, so that programs under way keep
    /// their prefixes; see [`Demand`].
    ///
    /// Not in the first class, whose programs are short, and not in a lane's aged turn if it
    /// has nothing else: no lane waits for ever.
    fn holds_back(&self, waiter: &Waiter, weights: &Weights, cache: Tokens) -> bool {
        let Waiter { request, lane, .. } = waiter;
        let is_last_resort = self.lanes.is_aged_turn() && !self.lanes.has_under_way(*lane);

        if request.attained > Tokens(0) || lane.rank == FIRST_RANK || is_last_resort {
            return false;
        }

        let size = request.prompt.plus(self.estimates.output(request.class, request.output));

        !self.demand.has_room(request.tenant, weights.part(request.tenant), size, cache)
    }

    /// Returns the place of a new call in its lane.
    pub fn position(
        request: &PlaceRequest,
        request_id: PlaceRequestId,
        deadline: Instant,
        arrival: u64,
    ) -> Position {
        Position { level: level(request), deadline, arrival, request_id }
    }

    /// Returns from when a call can no longer be served in time.
    ///
    /// It is too late for a call once even half the time that such a call takes is more
    /// than is left, and for a new program once that holds for the whole of it: what is given
    /// to a program that cannot finish is lost to those that can.
    pub fn refuse_at(&self, request: &PlaceRequest, lane: LaneId, deadline: Instant) -> Instant {
        let output = self.estimates.output(request.class, request.output);
        let call = self.estimates.hold(Tokens(1), output) / 2;
        let is_first = request.attained == Tokens(0);
        let program = if is_first { self.estimates.span(request.class, lane) / 2 } else { call };
        let needed = u64::try_from(program.max(call).as_micros()).unwrap_or(u64::MAX);

        Instant(deadline.0.saturating_sub(needed))
    }

    /// Returns how long a call will wait, by what waits before it in its lane.
    ///
    /// New programs start as fast as they did of late. Others are served by the lane's share
    /// of the pool.
    pub fn wait(
        &self,
        lane: LaneId,
        position: &Position,
        room: u32,
        weights: &Weights,
    ) -> Duration {
        let ahead = self.lanes.ahead(lane, position);

        if position.level == 0 {
            return self.estimates.start(lane, ahead);
        }

        let weight = |tenant: TenantId| f64::from(weights.get(tenant));
        let others = self.shares.waiting().filter(|tenant| *tenant != lane.tenant);
        let others: f64 = others.map(weight).sum();
        let share = weight(lane.tenant) / (weight(lane.tenant) + others);
        let places = f64::from(room.max(1)) * share;
        let seconds = ahead as f64 * self.estimates.mean_hold() / places;

        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// Returns a time to come back after, within reason.
pub fn retry_after(wait: Duration) -> Duration {
    wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1)
}

/// Returns the level of service that a call's program has attained: 0 for a new program.
fn level(request: &PlaceRequest) -> u8 {
    let Tokens(attained) = request.attained;

    if attained == 0 {
        return 0;
    }

    let mut bound = FIRST_LEVEL;
    let mut level = 1;

    while attained > bound && level < LEVELS {
        bound *= 4;
        level += 1;
    }

    level
}
