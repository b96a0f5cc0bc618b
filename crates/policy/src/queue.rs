//! The queues of the pools that this host keeps: which call next, and at which target.
//!
//! [`Queues`] moves calls from `waiting` to `places`. A `pool` says which call is next, in the
//! order of its `lanes` (class rank, then fair `shares` between tenants, then the program's
//! service and deadline), while its `demand` leaves room in the caches. `targets` say where
//! it may go, by `window`, `health` and the prefixes that are `residents` there; `estimates`
//! are learned on the way.
//!
//! # Targets of other zones
//!
//! They get calls only while no target of this zone has a place for the call. Each zone's
//! queue knows its own grants alone, so a target of another zone is used up to half its
//! window divided by the number of other zones (at least one call), and not at all
//! while it reports waiting calls. All zones together then add at most half a window to what
//! the target's own zone sends; its reports make that zone narrow its window.

mod demand;
mod estimates;
mod health;
mod lanes;
mod places;
mod pool;
mod residents;
mod shares;
mod targets;
mod waiting;
mod window;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::config::Config;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{ClassId, HostId, PoolId, ProgramId, TargetId, ZoneId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use self::lanes::LaneId;
use self::places::{Place, Places};
use self::pool::{Pick, Pool, retry_after};
use self::shares::Weights;
use self::targets::{Candidate, Targets};
use self::waiting::{Waiter, Waiting};
use crate::shared_types::{PlaceOutcome, PlaceRelease, PlaceRequest, PlaceRequestId};

/// What an engine says of its load; it lags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in its batch.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Tokens held in its cache.
    pub held: Tokens,
}

/// Something that happened, as far as queues mind.
#[derive(Clone, Debug)]
pub enum QueueEvent {
    /// This configuration is in force from now on.
    Config(Arc<Config>),
    /// A call asks for a place.
    Request {
        /// Who asks.
        request_id: PlaceRequestId,
        /// For what.
        request: PlaceRequest,
    },
    /// A place is free again, or a question is withdrawn.
    Release {
        /// Who asked for it.
        request_id: PlaceRequestId,
        /// How the place was used.
        end: PlaceRelease,
    },
    /// A host is gone with all that it asked for.
    HostGone(HostId),
    /// An engine reported its load.
    Load {
        /// The target.
        target: TargetId,
        /// Its report.
        report: LoadReport,
    },
    /// An engine says, late and with gaps, that it dropped a program's prefix.
    Evicted {
        /// The target.
        target: TargetId,
        /// The program.
        program: ProgramId,
    },
    /// Time has passed; see [`Queues::wake_at`].
    Wake,
}

/// What to do next for a call that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueAction {
    /// It may go to this target.
    Grant {
        /// Who asked.
        request_id: PlaceRequestId,
        /// The target.
        target: TargetId,
    },
    /// It cannot be served in time: it is told so at once.
    Refuse {
        /// Who asked.
        request_id: PlaceRequestId,
        /// When a later try can help.
        retry_after: Duration,
    },
}

/// Settings of [`Queues`].
#[derive(Clone, Debug)]
pub struct QueueOptions {
    /// The availability zone of this host: it places calls at this zone's targets first.
    pub zone: ZoneId,
}

/// When to come back after a refusal for want of any target.
const RETRY_NO_TARGET: Duration = Duration::from_secs(5);

/// The most calls of one tenant that wait here.
const MOST_OF_TENANT: usize = 4_096;

/// The most calls that wait here.
const MOST_WAITING: usize = 16_384;

/// What each call is charged besides its tokens.
///
/// Plain services know no tokens: without it no tenant's account would ever move there.
const CALL_TOKENS: Tokens = Tokens(32);

/// What becomes of a question.
enum Admission {
    /// It waits.
    Wait(Waiter),
    /// It is refused; a later try can help after this time.
    Refuse(Duration),
}

/// The queues that this host keeps.
#[derive(Debug)]
pub struct Queues {
    options: QueueOptions,
    ranks: Map<ClassId, u8>,
    weights: Weights,
    targets: Targets,
    pools: BTreeMap<PoolId, Pool>,
    waiting: Waiting,
    places: Places,
    arrivals: u64,
}

impl Queues {
    /// Makes empty queues.
    ///
    /// ```
    /// use camphorwalk_core::ids::ZoneId;
    /// use camphorwalk_policy::queue::{QueueOptions, Queues};
    /// let queues = Queues::new(QueueOptions { zone: ZoneId::from_name("a") });
    /// assert_eq!((queues.waiting(), queues.granted_places(), queues.wake_at()), (0, 0, None));
    /// ```
    pub fn new(options: QueueOptions) -> Self {
        Self {
            options,
            ranks: Map::default(),
            weights: Weights::default(),
            targets: Targets::default(),
            pools: BTreeMap::new(),
            waiting: Waiting::default(),
            places: Places::default(),
            arrivals: 0,
        }
    }

    /// Takes in an event and appends what to do next to `out`.
    ///
    /// An event that concerns nobody is harmless.
    ///
    /// ```
    /// use camphorwalk_core::ids::{HostId, ZoneId};
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::queue::{QueueEvent, QueueOptions, Queues};
    /// let mut queues = Queues::new(QueueOptions { zone: ZoneId::from_name("a") });
    /// let mut out = Vec::new();
    /// queues.step(Instant(0), QueueEvent::HostGone(HostId(7)), &mut out);
    /// assert!(out.is_empty());
    /// ```
    pub fn step(&mut self, now: Instant, event: QueueEvent, out: &mut Vec<QueueAction>) {
        match event {
            QueueEvent::Config(config) => self.configure(now, &config, out),
            QueueEvent::Request { request_id, request } => self.ask(now, request_id, request, out),
            QueueEvent::Release { request_id, end } => self.vacate(now, request_id, end, out),
            QueueEvent::HostGone(host) => self.host_gone(now, host, out),
            QueueEvent::Load { target, report } => {
                if let Some(pool) = self.targets.report(now, target, report) {
                    self.serve(now, pool, out);
                }
            }
            QueueEvent::Evicted { target, program } => self.targets.evicted(now, target, program),
            QueueEvent::Wake => self.wake(now, out),
        }
    }

    /// Returns when [`QueueEvent::Wake`] is due.
    pub fn wake_at(&self) -> Option<Instant> {
        let pools = self.pools.values().filter_map(|pool| pool.look_again);

        pools.chain(self.places.next_expiry()).chain(self.waiting.next_refusal()).min()
    }

    /// Returns how many calls wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many places are granted and not given back.
    pub fn granted_places(&self) -> usize {
        self.places.len()
    }

    /// Returns how many calls this host has in flight at a target.
    pub fn in_flight(&self, target: TargetId) -> u32 {
        self.targets.get(target).map_or(0, |target| target.in_flight())
    }

    fn configure(&mut self, now: Instant, config: &Config, out: &mut Vec<QueueAction>) {
        let classes = config.fleet.classes.iter();
        self.ranks = classes.map(|class| (ClassId::from_name(&class.name), class.rank)).collect();

        self.weights = Weights::of(config);
        self.targets.configure(config, self.options.zone);

        for request_id in self.waiting.matching(|waiter| !self.targets.can_serve(&waiter.request)) {
            self.withdraw(request_id);
            out.push(QueueAction::Refuse { request_id, retry_after: RETRY_NO_TARGET });
        }

        self.serve_all(now, out);
    }

    fn ask(
        &mut self,
        now: Instant,
        request_id: PlaceRequestId,
        request: PlaceRequest,
        out: &mut Vec<QueueAction>,
    ) {
        // A question sent again after a reconnect must not take a second place: its first
        // grant may be under way, and nobody would ever give that place back.
        if let Some(place) =
            self.places.get(request_id).filter(|place| is_same(&place.request, &request))
        {
            out.push(QueueAction::Grant { request_id, target: place.target });
            return;
        }

        if self.waiting.get(request_id).is_some_and(|waiter| is_same(&waiter.request, &request)) {
            return;
        }

        // Another question of that number is one of the host's old process.
        self.vacate(now, request_id, UNKNOWN_END, out);

        match self.admit(now, request_id, request) {
            Admission::Wait(waiter) => {
                self.enqueue(request_id, waiter);
                self.serve(now, request.pool, out);
            }
            Admission::Refuse(retry_after) => {
                out.push(QueueAction::Refuse { request_id, retry_after })
            }
        }
    }

    /// Returns the call as it is to wait, or when to come back if it cannot be served.
    fn admit(
        &mut self,
        now: Instant,
        request_id: PlaceRequestId,
        request: PlaceRequest,
    ) -> Admission {
        if !self.targets.can_serve(&request) {
            return Admission::Refuse(RETRY_NO_TARGET);
        }

        self.arrivals += 1;

        let rank = self.ranks.get(&request.class).copied().unwrap_or(u8::MAX);
        let lane = LaneId { rank, tenant: request.tenant };
        let deadline = now + request.deadline_left;
        let position = Pool::position(&request, request_id, deadline, self.arrivals);
        let pause = self.targets.idle(now, request.pool, request.program);
        let room = self.targets.room(now, request.pool);
        let pool = self.pools.entry(request.pool).or_default();

        pool.estimates.asked(request.class, request.attained == Tokens(0), pause);

        let wait = pool.wait(lane, &position, room, &self.weights);
        let refuse_at = pool.refuse_at(&request, lane, deadline);
        let is_full = self.waiting.len() >= MOST_WAITING
            || self.waiting.of_tenant(request.tenant) >= MOST_OF_TENANT;

        if is_full || now + wait >= refuse_at {
            return Admission::Refuse(retry_after(wait));
        }

        let since = now;
        Admission::Wait(Waiter {
            request,
            since,
            passed: None,
            deadline,
            refuse_at,
            lane,
            position,
        })
    }

    fn enqueue(&mut self, request_id: PlaceRequestId, waiter: Waiter) {
        let pool = self.pools.entry(waiter.request.pool).or_default();

        pool.shares.enter(waiter.request.tenant);
        pool.lanes.insert(waiter.lane, waiter.position);
        pool.demand.wait(waiter.request.tenant, awaited(&waiter.request));
        self.targets.set_awaited(&waiter.request, true);
        self.waiting.insert(request_id, waiter);
    }

    /// Takes a call out of the queue.
    fn dequeue(&mut self, request_id: PlaceRequestId) -> Option<Waiter> {
        let waiter = self.waiting.remove(request_id)?;
        self.targets.set_awaited(&waiter.request, false);

        if let Some(pool) = self.pools.get_mut(&waiter.request.pool) {
            pool.lanes.remove(waiter.lane, &waiter.position);
            pool.demand.end_wait(waiter.request.tenant, awaited(&waiter.request));
            pool.shares.leave(waiter.request.tenant);
        }

        Some(waiter)
    }

    /// Takes a call that will not be served out of the queue.
    fn withdraw(&mut self, request_id: PlaceRequestId) -> Option<Waiter> {
        let waiter = self.dequeue(request_id)?;
        self.targets.unreserve(waiter.request.pool, request_id);

        Some(waiter)
    }

    fn vacate(
        &mut self,
        now: Instant,
        request_id: PlaceRequestId,
        end: PlaceRelease,
        out: &mut Vec<QueueAction>,
    ) {
        let withdrawn = self.withdraw(request_id).map(|waiter| waiter.request);
        let freed = self.free(now, request_id, end).map(|place| place.request);
        let Some(request) = withdrawn.or(freed) else { return };

        if end.program_ended {
            self.targets.forget(request.program);
        }

        self.serve(now, request.pool, out);
    }

    fn host_gone(&mut self, now: Instant, host: HostId, out: &mut Vec<QueueAction>) {
        for request_id in self.waiting.of_host(host) {
            self.withdraw(request_id);
        }

        for request_id in self.places.of_host(host) {
            self.free(now, request_id, UNKNOWN_END);
        }

        self.serve_all(now, out);
    }

    fn wake(&mut self, now: Instant, out: &mut Vec<QueueAction>) {
        while let Some(request_id) = self.waiting.overdue(now) {
            self.refuse(request_id, out);
        }

        while let Some(request_id) = self.places.expired(now) {
            self.free(now, request_id, UNKNOWN_END);
        }

        self.serve_all(now, out);
    }

    fn refuse(&mut self, request_id: PlaceRequestId, out: &mut Vec<QueueAction>) {
        let Some(waiter) = self.withdraw(request_id) else { return };
        let retry_after = retry_after(Duration::from_micros(waiter.refuse_at.0 - waiter.since.0));

        out.push(QueueAction::Refuse { request_id, retry_after });
    }

    /// Takes a place back.
    fn free(
        &mut self,
        now: Instant,
        request_id: PlaceRequestId,
        end: PlaceRelease,
    ) -> Option<Place> {
        let place = self.places.remove(request_id)?;
        let PlaceRequest { pool, tenant, class, .. } = place.request;
        let used = match end.outcome {
            PlaceOutcome::NotSent => Tokens(0),
            _ => CALL_TOKENS.plus(end.computed_prompt).plus(end.output),
        };
        let weight = self.weights.get(tenant);

        self.targets.learn(now, &place, end);
        self.targets.leave(place.target, request_id);

        if let Some(pool) = self.pools.get_mut(&pool) {
            pool.shares.refund(tenant, weight, place.charged.minus(used));
            pool.shares.charge(tenant, weight, used.minus(place.charged));

            if end.outcome == PlaceOutcome::Finished {
                let time = now.since(place.granted);
                pool.estimates.served(class, end.computed_prompt, end.output, time);
            }
        }

        Some(place)
    }

    fn serve_all(&mut self, now: Instant, out: &mut Vec<QueueAction>) {
        let pools: Vec<PoolId> = self.pools.keys().copied().collect();

        pools.into_iter().for_each(|pool| self.serve(now, pool, out));
    }

    /// Grants places of a pool for as long as one is free and a call can take it.
    fn serve(&mut self, now: Instant, id: PoolId, out: &mut Vec<QueueAction>) {
        while let Some(pool) = self.pools.get_mut(&id) {
            pool.look_again = None;

            if pool.lanes.is_empty() {
                return;
            }

            match pool.pick(now, id, &self.weights, &mut self.waiting, &mut self.targets) {
                Pick::Grant(request_id, target, computed_prompt) => {
                    self.grant(now, request_id, target, computed_prompt, out);
                }
                Pick::Nothing(look_again) => {
                    pool.look_again = look_again;
                    return;
                }
            }
        }
    }

    fn grant(
        &mut self,
        now: Instant,
        request_id: PlaceRequestId,
        target: TargetId,
        computed_prompt: Tokens,
        out: &mut Vec<QueueAction>,
    ) {
        let Some(waiter) = self.waiting.get(request_id).copied() else { return };
        let request = waiter.request;
        let weight = self.weights.get(request.tenant);

        if let Some(pool) = self.pools.get_mut(&request.pool) {
            let output = pool.estimates.output(request.class, request.output);
            let charged = CALL_TOKENS.plus(computed_prompt).plus(output);
            let deadline = waiter.deadline;
            let place = Place { request, target, granted: now, computed_prompt, charged, deadline };
            let candidate = Candidate { request_id, request: &request, passed: None };

            let is_first = request.attained == Tokens(0);
            pool.estimates.granted(now, waiter.lane, is_first, waiter.since);
            pool.lanes.granted(waiter.lane);
            pool.shares.advance();
            pool.demand.place(request.tenant, request.prompt.plus(output));
            pool.shares.charge(request.tenant, weight, charged);
            self.targets.enter(now, target, candidate, output);
            self.places.insert(request_id, place);
        }

        self.dequeue(request_id);
        out.push(QueueAction::Grant { request_id, target });
    }
}

/// The end of a place that nobody told about.
const UNKNOWN_END: PlaceRelease = PlaceRelease {
    outcome: PlaceOutcome::Failed,
    computed_prompt: Tokens(0),
    output: Tokens(0),
    program_ended: false,
};

/// Returns whether two requests of one asker are the same question.
///
/// A host that was restarted counts its questions from the start again. If its old process's
/// place were taken for the answer, a call would go to a target of another pool.
fn is_same(a: &PlaceRequest, b: &PlaceRequest) -> bool {
    (a.pool, a.tenant, a.program, a.prompt) == (b.pool, b.tenant, b.program, b.prompt)
}

/// Returns the tokens that a waiting call's program has in a cache, or will need there again.
fn awaited(request: &PlaceRequest) -> Tokens {
    if request.attained == Tokens(0) { Tokens(0) } else { request.prompt }
}
