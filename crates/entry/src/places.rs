//! Places at targets. A place is the right to have one call in flight at a target. A call waits in
//! a queue while none is free.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::hash::{Map, stable_hash};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::placement::{
    Choice, Outcome, PlacementRequest, SendCheck, TargetKey,
};
use camphorwalk_policy::entry::recent::RecentMap;
use camphorwalk_policy::entry::waiting::{Urgency, WaitQueue, WaiterId};
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::info;

use crate::answer::Refusal;
use crate::host::Shared;
use crate::{clock, preferred, target_paces};

/// Retry-After of a call for which no target is usable, if no ejected target is due to return.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry-After of a call while all targets of its service are evacuated. An evacuation lasts for
/// seconds at least.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The reason of the refusal of a new program while its service is full.
pub(crate) const FULL_REASON: &str = "all targets are full";

/// Retry-After of a new program while its service is full: about as long as a call holds its place.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The longest Retry-After of a call that would wait beyond its deadline.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a new program may wait for a place: a quarter of the latency objective of its first
/// event. Beyond that a quick refusal serves the caller better than more waiting.
const MAX_NEW_WAIT: Duration = Duration::from_millis(50);

/// A new program is refused at once while this many calls at this host wait for a place at a target
/// of its service: they would take all places that
/// become free within [`MAX_NEW_WAIT`].
const MAX_NEW_WAITING: usize = 4;

struct Waiter {
    placement: PlacementRequest,
    tx: oneshot::Sender<Place>,
}

/// The calls at this host that wait for a place at a target.
pub(crate) struct Places {
    waiting: RefCell<WaitQueue>,
    waiters: RefCell<Map<WaiterId, Waiter>>,
    next: Cell<u64>,
    /// The programs of which this host last forwarded a turn.
    recent_programs: RefCell<RecentMap<u64, ()>>,
}

/// A host remembers at least this many of the programs of which it last forwarded a turn.
const RECENT_PROGRAMS_KEPT: usize = 8_192;

impl Default for Places {
    fn default() -> Self {
        Self {
            waiting: RefCell::default(),
            waiters: RefCell::default(),
            next: Cell::default(),
            recent_programs: RefCell::new(RecentMap::new(RECENT_PROGRAMS_KEPT)),
        }
    }
}

impl Places {
    /// Records that this host forwards a turn of a program.
    pub(crate) fn record_running(&self, program: Option<&str>) {
        let Some(program) = program else { return };

        self.recent_programs.borrow_mut().put(stable_hash(&[program.as_bytes()]), ());
    }

    /// Returns how many calls at this host wait for a place at a target of each service.
    pub(crate) fn waiting(&self) -> Vec<(Box<str>, u32)> {
        let waiting = self.waiting.borrow();
        let services = waiting.services().into_iter();

        services
            .map(|service| {
                let calls = u32::try_from(waiting.len(&service)).unwrap_or(u32::MAX);
                (service, calls)
            })
            .collect()
    }

    /// Returns whether this host remembers that it forwarded a turn of a program.
    pub(crate) fn has_run_recently(&self, program: Option<&str>) -> bool {
        let Some(program) = program else { return false };
        let program = stable_hash(&[program.as_bytes()]);

        self.recent_programs.borrow().get(&program).is_some()
    }
}

/// The target of a place, as known when the place was taken or asked for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlaceTarget {
    pub(crate) id: Box<str>,
    /// The version of its software, if known.
    pub(crate) version: Option<Box<str>>,
    /// When its process started (see `TargetEntry::born`).
    pub(crate) born: u64,
    /// The calls that all hosts have in flight there, as far as this host knows.
    pub(crate) load: u32,
}

/// A place at a target. Dropping it without an outcome counts as abandoned by the caller.
pub(crate) struct Place {
    shared: Rc<Shared>,
    /// The target.
    pub(crate) key: TargetKey,
    service: Box<str>,
    taken_at: Instant,
    /// The estimated prompt tokens that the target must process for the call.
    uncached_tokens: u32,
    /// The number of events that the target has generated.
    events: u32,
    /// When the first and the last of these events arrived.
    event_times: Option<(Instant, Instant)>,
    is_ended: bool,
}

impl Place {
    /// Takes a place for a call that is about to be sent.
    fn new(
        shared: &Rc<Shared>,
        service: &str,
        key: TargetKey,
        placement: &PlacementRequest,
    ) -> Self {
        let taken_at = clock::now();
        preferred::count_placement(shared, key, placement);
        let mut targets = shared.targets.borrow_mut();
        targets.record_place(taken_at, key);
        let uncached_tokens = targets.record_sent(key, placement);
        drop(targets);

        Self {
            shared: Rc::clone(shared),
            key,
            service: service.into(),
            taken_at,
            uncached_tokens,
            events: 0,
            event_times: None,
            is_ended: false,
        }
    }

    /// Records that the target has generated events of a stream.
    pub(crate) fn record_events(&mut self, events: u32) {
        let now = clock::now();

        if self.event_times.is_none() {
            let waited = now.since(self.taken_at);
            self.shared.targets.borrow_mut().record_first_event(
                self.key,
                self.uncached_tokens,
                waited,
            );
        }
        let first = self.event_times.map_or(now, |(first, _)| first);
        self.event_times = Some((first, now));
        self.events += events;
    }

    /// Returns when the place was taken.
    pub(crate) fn taken_at(&self) -> Instant {
        self.taken_at
    }

    /// Returns whether the call may be sent now. The target may have been evacuated or have turned
    /// cold since the place was taken.
    pub(crate) fn check_send(&self) -> SendCheck {
        self.shared.targets.borrow().check_send(clock::now(), self.key, self.taken_at)
    }

    /// Returns the place's target; empty if its run is over.
    pub(crate) fn target(&self) -> PlaceTarget {
        let targets = self.shared.targets.borrow();
        let Some(target) = targets.get(self.key) else { return PlaceTarget::default() };
        let (entry, load) = (&target.entry, target.load());

        PlaceTarget { id: entry.id.clone(), version: entry.version.clone(), born: entry.born, load }
    }

    /// Frees the place with the outcome of the call.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.finish(outcome);
    }

    /// Frees the place after a complete answer.
    pub(crate) fn complete(self) {
        let now = clock::now();
        let held = now.since(self.taken_at);
        if let Some((first, last)) = self.event_times {
            let further = self.events.saturating_sub(1);
            self.shared.targets.borrow_mut().record_events(self.key, further, last.since(first));
            target_paces::record_events(&self.shared, self.key, further, last.since(first));
        }
        self.end(Outcome::Answered(held));
    }

    /// Frees the place of a call without a stream after a complete answer. Only the time of a call
    /// that succeeded shows how fast the target works.
    pub(crate) fn complete_call(self, succeeded: bool) {
        if succeeded {
            let took = clock::now().since(self.taken_at);
            target_paces::record_call(&self.shared, self.key, took);
        }
        self.complete();
    }

    fn finish(&mut self, outcome: Outcome) {
        self.is_ended = true;
        let ejected =
            self.shared.targets.borrow_mut().record_outcome(clock::now(), self.key, outcome);
        if ejected {
            log_ejection(&self.shared, self.key);
        }

        assign_places(&self.shared, &self.service);
    }
}

/// Counts a failure of a target that was noticed after the place of the call had ended.
pub(crate) fn record_failure(shared: &Shared, key: TargetKey, reason: &str) {
    let ejected = shared.targets.borrow_mut().record_failure(clock::now(), key);
    let id = shared.targets.borrow().get(key).map(|target| target.entry.id.clone());

    info!(target_id = id.as_deref(), reason, "place: target failed after its answer");
    if ejected {
        log_ejection(shared, key);
    }
}

fn log_ejection(shared: &Shared, key: TargetKey) {
    let targets = shared.targets.borrow();
    let id = targets.get(key).map(|target| &*target.entry.id);

    info!(target_id = id, "place: target ejected after failures");
    shared.metrics.ejections.inc();
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.is_ended {
            self.finish(Outcome::Abandoned);
        }
    }
}

/// A waiting call. Dropping it removes the call from the queue.
struct QueuedCall<'a> {
    shared: &'a Rc<Shared>,
    service: &'a str,
    urgency: Urgency,
    id: WaiterId,
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        let places = &self.shared.places;
        places.waiting.borrow_mut().remove(self.service, self.urgency, self.id);
        places.waiters.borrow_mut().remove(&self.id);
    }
}

/// Takes a place at a target of a service. If none is free, waits for one until the deadline in
/// `urgency`, or for at most [`MAX_NEW_WAIT`] if the program is new. Refuses the call at once if no
/// target is usable, or if it would probably wait in vain.
pub(crate) async fn take(
    shared: &Rc<Shared>,
    service: &str,
    placement: &PlacementRequest,
    urgency: Urgency,
) -> Result<Place, Refusal> {
    let now = clock::now();
    let nobody_waits = shared.places.waiting.borrow().is_empty(service);
    let choice = shared.targets.borrow().choose(now, service, placement);

    match choice {
        Choice::Target(key) if nobody_waits => {
            return Ok(Place::new(shared, service, key, placement));
        }
        Choice::NoTarget => return Err(no_target(shared, service, placement)),
        Choice::Target(_) | Choice::Full => {}
    }

    if urgency.is_new && waiting_before(shared, service, urgency) >= MAX_NEW_WAITING {
        return Err(refuse_full(shared, service, placement));
    }
    let expected = expected_wait(shared, service, placement, urgency);
    if !urgency.is_new && expected > clock::until(urgency.deadline) {
        info!(
            service,
            expected_ms = expected.as_millis() as u64,
            is_late = urgency.is_late,
            "place: none can be had in time"
        );
        return Err(Refusal::retry_later(
            "no place can be had in time",
            expected.min(MAX_RETRY_AFTER),
        ));
    }
    wait_for_place(shared, service, placement, urgency).await
}

/// Returns how many waiting calls may take a place before a new program gets one.
fn waiting_before(shared: &Shared, service: &str, urgency: Urgency) -> usize {
    let waiting = shared.places.waiting.borrow();

    match shared.settings.features.fair_admission {
        // Otherwise a program that returns as told would be refused because of others behind it.
        true => waiting.ahead(service, urgency),
        false => waiting.len(service),
    }
}

/// Refuses a new program if targets are usable but none has room for it.
pub(crate) fn check_room_for_new(
    shared: &Shared,
    service: &str,
    placement: &PlacementRequest,
) -> Result<(), Refusal> {
    match shared.targets.borrow().choose(clock::now(), service, placement) {
        Choice::Full => Err(refuse_full(shared, service, placement)),
        Choice::Target(_) | Choice::NoTarget => Ok(()),
    }
}

/// Estimates how long a call will wait behind the calls ahead of it at this host, assuming
/// that the host gets an even share of the places that become free.
fn expected_wait(
    shared: &Shared,
    service: &str,
    placement: &PlacementRequest,
    urgency: Urgency,
) -> Duration {
    let ahead = shared.places.waiting.borrow().ahead(service, urgency);
    let targets = shared.targets.borrow();
    let slots = f64::from(targets.permitted_slots(clock::now(), service, placement));
    let places = (slots / shared.fleet.size() as f64).max(1.0);

    targets.mean_service_time(service).mul_f64(ahead as f64 / places)
}

/// Returns the refusal of a new program whose service is full.
fn refuse_full(shared: &Shared, service: &str, placement: &PlacementRequest) -> Refusal {
    let (now, rank) = (clock::now(), placement.new_program_rank.unwrap_or_default());
    let targets = shared.targets.borrow();
    let cause = targets.full_cause(now, service, placement).name();
    let (slots, load) = targets.capacity(now, service);
    let waiting = shared.places.waiting.borrow().len(service);
    info!(service, rank, cause, slots, load, waiting, "place: no room for a new program");
    shared.metrics.full_refusals.with_label_values(&[cause]).inc();

    Refusal::retry_later_jittered(FULL_REASON, FULL_RETRY_AFTER)
}

/// Takes a place at the target that already runs the call, ahead of all waiting calls, because the
/// call has held its slot until now.
pub(crate) fn retake(
    shared: &Rc<Shared>,
    service: &str,
    key: TargetKey,
    placement: &PlacementRequest,
) -> Place {
    Place::new(shared, service, key, placement)
}

/// Queues a call, and waits until it is assigned a place.
async fn wait_for_place(
    shared: &Rc<Shared>,
    service: &str,
    placement: &PlacementRequest,
    urgency: Urgency,
) -> Result<Place, Refusal> {
    let places = &shared.places;
    let id = WaiterId(places.next.get());
    places.next.set(id.0 + 1);
    let (tx, rx) = oneshot::channel();

    places.waiters.borrow_mut().insert(id, Waiter { placement: placement.clone(), tx });
    places.waiting.borrow_mut().push(service, urgency, id);
    let queued = QueuedCall { shared, service, urgency, id };
    shared.metrics.queued_calls.inc();
    assign_places(shared, service);

    let left = clock::until(urgency.deadline);
    let limit = if urgency.is_new { left.min(MAX_NEW_WAIT) } else { left };
    let began = clock::now();
    let granted = timeout(limit, rx).await;
    drop(queued);

    match granted {
        Ok(Ok(place)) => {
            let waited = clock::now().since(began);
            shared.metrics.place_wait.observe(waited.as_secs_f64());
            Ok(place)
        }
        Ok(Err(_)) => Err(no_target(shared, service, placement)),
        Err(_) if urgency.is_new => Err(refuse_full(shared, service, placement)),
        Err(_) => Err(Refusal::timed_out(false)),
    }
}

/// Assigns free places of a service to the waiting calls, in the order of the queue.
pub(crate) fn assign_places(shared: &Rc<Shared>, service: &str) {
    let places = &shared.places;
    let mut passed_over = None;

    loop {
        let next = places.waiting.borrow().next(service, passed_over);
        let Some((urgency, id)) = next else { return };
        let (choice, is_limited) = {
            let waiters = places.waiters.borrow();
            let Some(waiter) = waiters.get(&id) else { return };
            let choice = shared.targets.borrow().choose(clock::now(), service, &waiter.placement);
            let PlacementRequest { version, start_limits, .. } = &waiter.placement;
            (choice, version.is_some() || start_limits.is_some())
        };

        if choice == Choice::Full {
            // Targets of other versions, or others' limits, may have places for the calls behind it.
            if is_limited {
                passed_over = Some((urgency, id));
                continue;
            }
            return;
        }

        places.waiting.borrow_mut().remove(service, urgency, id);
        let Some(waiter) = places.waiters.borrow_mut().remove(&id) else { continue };

        // Without a usable target, dropping the sender wakes the call with an error.
        let Choice::Target(key) = choice else { continue };
        // If the call has ended in the meantime, the place is dropped and becomes free again.
        drop(waiter.tx.send(Place::new(shared, service, key, &waiter.placement)));
    }
}

/// Assigns free places of all services.
pub(crate) fn assign_all_places(shared: &Rc<Shared>) {
    let services = shared.places.waiting.borrow().services();

    services.iter().for_each(|service| assign_places(shared, service));
}

/// Returns the refusal of a call for which no target is usable.
fn no_target(shared: &Shared, service: &str, placement: &PlacementRequest) -> Refusal {
    let targets = shared.targets.borrow();
    if placement.version.is_some() && !targets.has_permitted(service, placement) {
        return Refusal::begin_anew("no target of the stream's version is left");
    }
    if targets.is_service_evacuated(service) {
        return Refusal::retry_later("all targets are evacuated", EVACUATED_RETRY_AFTER);
    }
    let back = targets.time_to_readmission(clock::now(), service, placement);

    Refusal::retry_later(
        "no target can be reached",
        back.unwrap_or(NO_TARGET_RETRY_AFTER).max(Duration::from_millis(50)),
    )
}
