//! Queues for the target pools that this host is responsible for. They decide which call is
//! served next, and at which target.
//!
//! [`Queues`] moves calls from `waiting` to `places`. A place is the right to have one call in
//! flight at a target. Each `pool` selects the next call in the order of its `lanes`: class rank,
//! then fair `shares` between tenants, then the program's attained service and deadline. Its
//! cache `demand` limits how many programs run at once. `targets` selects the target by `window`,
//! `health` and the prompt prefixes that are likely in its cache (`cached_prefixes`). `estimates`
//! are updated from finished calls.
//!
//! A program is new until its first call has been served, and started from then on.
//!
//! # Targets in other zones
//!
//! A target in another zone is used only while no target of this zone has a free place for the
//! call. Each zone's queue knows only the places it granted itself. It therefore sends a target
//! in another zone at most half of that target's window, divided by the number of other zones (at
//! least one call), and nothing while the target reports waiting calls. All zones together then
//! add at most half a window to what the target's own zone sends. The target's load reports make
//! its own zone reduce the window.

mod cached_prefixes;
mod demand;
mod estimates;
mod health;
mod lanes;
mod places;
mod pool;
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
use self::pool::{Pick, Pool, bounded_retry_after};
use self::shares::Weights;
use self::targets::{Candidate, Targets};
use self::waiting::{WaitingCall, WaitingCalls};
use crate::shared_types::{PlaceOutcome, PlaceRelease, PlaceRequest, PlaceRequestId};

/// An engine's report of its load. Reports arrive with a delay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait at the engine.
    pub waiting: u32,
    /// Tokens held in the engine's cache.
    pub held: Tokens,
}

/// An input event for [`Queues`].
#[derive(Clone, Debug)]
pub enum QueueEvent {
    /// A new configuration is in force.
    Config(Arc<Config>),
    /// A call requests a place.
    Request {
        /// Identifies the place request.
        request_id: PlaceRequestId,
        /// The requirements of the call.
        request: PlaceRequest,
    },
    /// A place is released, or a place request is withdrawn.
    Release {
        /// Identifies the place request.
        request_id: PlaceRequestId,
        /// How the place was used.
        release: PlaceRelease,
    },
    /// A host is gone: its requests are withdrawn and its places released.
    HostGone(HostId),
    /// An engine reported its load.
    Load {
        /// The target that sent the report.
        target: TargetId,
        /// The report.
        report: LoadReport,
    },
    /// An engine evicted a program's prefix from its cache. These events are delayed, and some
    /// are lost.
    Evicted {
        /// The target that evicted it.
        target: TargetId,
        /// The program whose prefix was evicted.
        program: ProgramId,
    },
    /// Time has passed; due at [`Queues::wake_at`].
    Wake,
}

/// The decision about a waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueAction {
    /// The call may be sent to this target.
    Grant {
        /// Identifies the place request.
        request_id: PlaceRequestId,
        /// The target to use.
        target: TargetId,
    },
    /// The queue is full, the call cannot be served before its deadline, or no target can serve it.
    Refuse {
        /// Identifies the place request.
        request_id: PlaceRequestId,
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
}

/// Settings of [`Queues`].
#[derive(Clone, Debug)]
pub struct QueueOptions {
    /// The availability zone of this host. Targets in this zone are preferred.
    pub zone: ZoneId,
}

/// Time until a retry is useful if no target can serve a call.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Maximum number of waiting calls of one tenant in all queues of this host.
const MAX_WAITING_PER_TENANT: usize = 4_096;

/// Maximum number of waiting calls of all tenants together in all queues of this host.
const MAX_WAITING: usize = 16_384;

/// Service that each call is charged in addition to its tokens.
///
/// Calls to plain services have no tokens. Without this charge, fair sharing between tenants
/// would have no effect there.
const CALL_OVERHEAD: Tokens = Tokens(32);

/// The admission decision for a place request.
enum Admission {
    /// The call is queued.
    Wait(WaitingCall),
    /// The call is refused; a retry is useful after this time.
    Refuse(Duration),
}

/// The queues of all pools that this host is responsible for.
#[derive(Debug)]
pub struct Queues {
    options: QueueOptions,
    class_ranks: Map<ClassId, u8>,
    weights: Weights,
    targets: Targets,
    pools: BTreeMap<PoolId, Pool>,
    waiting: WaitingCalls,
    places: Places,
    arrivals: u64,
}

impl Queues {
    /// Creates empty queues.
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
            class_ranks: Map::default(),
            weights: Weights::default(),
            targets: Targets::default(),
            pools: BTreeMap::new(),
            waiting: WaitingCalls::default(),
            places: Places::default(),
            arrivals: 0,
        }
    }

    /// Processes an event and appends the resulting decisions to `out`.
    ///
    /// Events about unknown requests, hosts or targets are ignored.
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
            QueueEvent::Request { request_id, request } => {
                self.handle_request(now, request_id, request, out)
            }
            QueueEvent::Release { request_id, release } => {
                self.handle_release(now, request_id, release, out)
            }
            QueueEvent::HostGone(host) => self.handle_host_gone(now, host, out),
            QueueEvent::Load { target, report } => {
                if let Some(pool) = self.targets.apply_load(now, target, report) {
                    self.serve(now, pool, out);
                }
            }
            QueueEvent::Evicted { target, program } => {
                self.targets.apply_eviction(now, target, program)
            }
            QueueEvent::Wake => self.handle_wake(now, out),
        }
    }

    /// Returns when the next [`QueueEvent::Wake`] is due.
    pub fn wake_at(&self) -> Option<Instant> {
        let pools = self.pools.values().filter_map(|pool| pool.recheck_at);

        pools.chain(self.places.next_expiry()).chain(self.waiting.next_refusal()).min()
    }

    /// Returns the number of waiting calls in all queues of this host.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of places that this host's queues granted and that are not yet released.
    pub fn granted_places(&self) -> usize {
        self.places.len()
    }

    /// Returns the number of calls in flight at a target whose places this host's queue granted.
    pub fn in_flight(&self, target: TargetId) -> u32 {
        self.targets.get(target).map_or(0, |target| target.in_flight())
    }

    fn configure(&mut self, now: Instant, config: &Config, out: &mut Vec<QueueAction>) {
        let classes = config.fleet.classes.iter();
        self.class_ranks =
            classes.map(|class| (ClassId::from_name(&class.name), class.rank)).collect();

        self.weights = Weights::from_config(config);
        self.targets.configure(config, self.options.zone);

        for request_id in self.waiting.matching(|call| !self.targets.can_serve(&call.request)) {
            self.withdraw(request_id);
            out.push(QueueAction::Refuse { request_id, retry_after: NO_TARGET_RETRY_AFTER });
        }

        self.serve_all(now, out);
    }

    fn handle_request(
        &mut self,
        now: Instant,
        request_id: PlaceRequestId,
        request: PlaceRequest,
        out: &mut Vec<QueueAction>,
    ) {
        // A request that is sent again after a reconnect must not be granted a second place. The
        // first grant may still be on its way to the requester, and nobody would release the
        // second place.
        if let Some(place) =
            self.places.get(request_id).filter(|place| is_same_request(&place.request, &request))
        {
            out.push(QueueAction::Grant { request_id, target: place.target });
            return;
        }

        if self.waiting.get(request_id).is_some_and(|call| is_same_request(&call.request, &request))
        {
            return;
        }

        // A different request with the same number means that the host has restarted. The old
        // process's request is dropped.
        self.handle_release(now, request_id, UNKNOWN_RELEASE, out);

        match self.admit(now, request_id, request) {
            Admission::Wait(call) => {
                self.enqueue(request_id, call);
                self.serve(now, request.pool, out);
            }
            Admission::Refuse(retry_after) => {
                out.push(QueueAction::Refuse { request_id, retry_after })
            }
        }
    }

    /// Decides whether a call is queued. It is refused if the queue is full, if the call cannot be
    /// served in time, or if no target can serve it.
    fn admit(
        &mut self,
        now: Instant,
        request_id: PlaceRequestId,
        request: PlaceRequest,
    ) -> Admission {
        if !self.targets.can_serve(&request) {
            return Admission::Refuse(NO_TARGET_RETRY_AFTER);
        }

        self.arrivals += 1;

        let rank = self.class_ranks.get(&request.class).copied().unwrap_or(u8::MAX);
        let lane = LaneId { rank, tenant: request.tenant };
        let deadline = now + request.deadline_left;
        let position = Pool::position(&request, request_id, deadline, self.arrivals);
        let pause = self.targets.time_since_use(now, request.pool, request.program);
        let limit = self.targets.local_limit(now, request.pool);
        let pool = self.pools.entry(request.pool).or_default();

        pool.estimates.record_request(request.class, request.attained == Tokens(0), pause);

        let wait = pool.expected_wait(lane, &position, limit, &self.weights);
        let refuse_at = pool.refuse_at(&request, lane, deadline);
        let is_full = self.waiting.len() >= MAX_WAITING
            || self.waiting.count_of_tenant(request.tenant) >= MAX_WAITING_PER_TENANT;

        if is_full || now + wait >= refuse_at {
            return Admission::Refuse(bounded_retry_after(wait));
        }

        let waiting_since = now;
        Admission::Wait(WaitingCall {
            request,
            waiting_since,
            passed_over_since: None,
            deadline,
            refuse_at,
            lane,
            position,
        })
    }

    fn enqueue(&mut self, request_id: PlaceRequestId, call: WaitingCall) {
        let pool = self.pools.entry(call.request.pool).or_default();

        pool.accounts.add_waiting(call.request.tenant);
        pool.lanes.insert(call.lane, call.position);
        pool.demand.add_waiting(call.request.tenant, prefix_demand(&call.request));
        self.targets.set_waiting_call(&call.request, true);
        self.waiting.insert(request_id, call);
    }

    /// Removes a call from the queue.
    fn dequeue(&mut self, request_id: PlaceRequestId) -> Option<WaitingCall> {
        let call = self.waiting.remove(request_id)?;
        self.targets.set_waiting_call(&call.request, false);

        if let Some(pool) = self.pools.get_mut(&call.request.pool) {
            pool.lanes.remove(call.lane, &call.position);
            pool.demand.remove_waiting(call.request.tenant, prefix_demand(&call.request));
            pool.accounts.remove_waiting(call.request.tenant);
        }

        Some(call)
    }

    /// Removes a call that will not be served from the queue.
    fn withdraw(&mut self, request_id: PlaceRequestId) -> Option<WaitingCall> {
        let call = self.dequeue(request_id)?;
        self.targets.unreserve(call.request.pool, request_id);

        Some(call)
    }

    fn handle_release(
        &mut self,
        now: Instant,
        request_id: PlaceRequestId,
        release: PlaceRelease,
        out: &mut Vec<QueueAction>,
    ) {
        let withdrawn = self.withdraw(request_id).map(|call| call.request);
        let freed = self.release_place(now, request_id, release).map(|place| place.request);
        let Some(request) = withdrawn.or(freed) else { return };

        if release.program_ended {
            self.targets.remove_program(request.program);
        }

        self.serve(now, request.pool, out);
    }

    fn handle_host_gone(&mut self, now: Instant, host: HostId, out: &mut Vec<QueueAction>) {
        for request_id in self.waiting.requests_of_host(host) {
            self.withdraw(request_id);
        }

        for request_id in self.places.requests_of_host(host) {
            self.release_place(now, request_id, UNKNOWN_RELEASE);
        }

        self.serve_all(now, out);
    }

    fn handle_wake(&mut self, now: Instant, out: &mut Vec<QueueAction>) {
        while let Some(request_id) = self.waiting.due_refusal(now) {
            self.refuse(request_id, out);
        }

        while let Some(request_id) = self.places.expired(now) {
            self.release_place(now, request_id, UNKNOWN_RELEASE);
        }

        self.serve_all(now, out);
    }

    fn refuse(&mut self, request_id: PlaceRequestId, out: &mut Vec<QueueAction>) {
        let Some(call) = self.withdraw(request_id) else { return };
        let retry_after =
            bounded_retry_after(Duration::from_micros(call.refuse_at.0 - call.waiting_since.0));

        out.push(QueueAction::Refuse { request_id, retry_after });
    }

    /// Releases a place, and corrects the tenant's service account by what the call really used.
    fn release_place(
        &mut self,
        now: Instant,
        request_id: PlaceRequestId,
        release: PlaceRelease,
    ) -> Option<Place> {
        let place = self.places.remove(request_id)?;
        let PlaceRequest { pool, tenant, class, .. } = place.request;
        let used = match release.outcome {
            PlaceOutcome::NotSent => Tokens(0),
            _ => CALL_OVERHEAD.plus(release.computed_prompt).plus(release.output),
        };
        let weight = self.weights.get(tenant);

        self.targets.record_release(now, &place, release);
        self.targets.end_call(place.target, request_id);

        if let Some(pool) = self.pools.get_mut(&pool) {
            pool.accounts.refund(tenant, weight, place.charged.minus(used));
            pool.accounts.charge(tenant, weight, used.minus(place.charged));

            if release.outcome == PlaceOutcome::Finished {
                let time = now.since(place.granted_at);
                pool.estimates.record_finished(
                    class,
                    release.computed_prompt,
                    release.output,
                    time,
                );
            }
        }

        Some(place)
    }

    fn serve_all(&mut self, now: Instant, out: &mut Vec<QueueAction>) {
        let pools: Vec<PoolId> = self.pools.keys().copied().collect();

        pools.into_iter().for_each(|pool| self.serve(now, pool, out));
    }

    /// Grants places in a pool until no waiting call can be placed.
    fn serve(&mut self, now: Instant, id: PoolId, out: &mut Vec<QueueAction>) {
        while let Some(pool) = self.pools.get_mut(&id) {
            pool.recheck_at = None;

            if pool.lanes.is_empty() {
                return;
            }

            match pool.pick(now, id, &self.weights, &mut self.waiting, &mut self.targets) {
                Pick::Grant(request_id, target, computed_prompt) => {
                    self.grant(now, request_id, target, computed_prompt, out);
                }
                Pick::Nothing(recheck_at) => {
                    pool.recheck_at = recheck_at;
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
        let Some(call) = self.waiting.get(request_id).copied() else { return };
        let request = call.request;
        let weight = self.weights.get(request.tenant);

        if let Some(pool) = self.pools.get_mut(&request.pool) {
            let output = pool.estimates.expected_output(request.class, request.output);
            let charged = CALL_OVERHEAD.plus(computed_prompt).plus(output);
            let deadline = call.deadline;
            let place =
                Place { request, target, granted_at: now, computed_prompt, charged, deadline };
            let candidate = Candidate { request_id, request: &request, passed_over_since: None };

            let is_first = request.attained == Tokens(0);
            pool.estimates.record_grant(now, call.lane, is_first, call.waiting_since);
            pool.lanes.record_grant(call.lane);
            pool.accounts.raise_floor();
            pool.demand.add_placed(request.tenant, request.prompt.plus(output));
            pool.accounts.charge(request.tenant, weight, charged);
            self.targets.start_call(now, target, candidate, output);
            self.places.insert(request_id, place);
        }

        self.dequeue(request_id);
        out.push(QueueAction::Grant { request_id, target });
    }
}

/// The release that is assumed for a place whose user did not report one.
const UNKNOWN_RELEASE: PlaceRelease = PlaceRelease {
    outcome: PlaceOutcome::Failed,
    computed_prompt: Tokens(0),
    output: Tokens(0),
    program_ended: false,
};

/// Returns whether two place requests with the same host and number are the same request.
///
/// A host that was restarted numbers its requests from the start again. Without this check, its
/// new request would get the place of an old one, and the call could go to a target of another
/// pool.
fn is_same_request(a: &PlaceRequest, b: &PlaceRequest) -> bool {
    (a.pool, a.tenant, a.program, a.prompt) == (b.pool, b.tenant, b.program, b.prompt)
}

/// Returns the cache space that a waiting call's prefix occupies or will need: its prompt, or
/// zero for the first call of a program.
fn prefix_demand(request: &PlaceRequest) -> Tokens {
    if request.attained == Tokens(0) { Tokens(0) } else { request.prompt }
}
