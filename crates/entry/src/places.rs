//! Places at targets: a call gets one at once, or waits for one.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::hash::{Map, stable_hash};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::placement::{Choice, Outcome, PlacementRequest, TargetKey};
use camphorwalk_policy::entry::recent::RecentMap;
use camphorwalk_policy::entry::waiting::{Urgency, WaitQueue, WaiterId};
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::info;

use crate::answer::Refusal;
use crate::clock;
use crate::host::Shared;

/// When a call that finds no target at all is told to come back, if nothing is known.
const NOWHERE_RETRY: Duration = Duration::from_millis(300);

/// The time that a new program is told to stay away from a full service: about the hold of one
/// place.
const FULL_RETRY: Duration = Duration::from_millis(250);

/// The longest time that a call is told to stay away.
const LONGEST_RETRY: Duration = Duration::from_secs(1);

/// How long a new program may wait for a place: a quarter of the objective of its first event.
/// After that it is better told to come back than kept.
const NEW_WAIT: Duration = Duration::from_millis(50);

/// While so many calls wait, a new program is refused at once: none of the places that become
/// free within its wait would be its own.
const MOST_NEW_WAITING: usize = 4;

struct Waiter {
    shape: PlacementRequest,
    tx: oneshot::Sender<Place>,
}

/// The calls that wait at this host.
pub(crate) struct Places {
    waiting: RefCell<WaitQueue>,
    waiters: RefCell<Map<WaiterId, Waiter>>,
    next: Cell<u64>,
    /// Programs that have run something at this host.
    under_way: RefCell<RecentMap<u64, ()>>,
}

/// How many programs are remembered as under way.
const PROGRAMS_REMEMBERED: usize = 8_192;

impl Default for Places {
    fn default() -> Self {
        Self {
            waiting: RefCell::default(),
            waiters: RefCell::default(),
            next: Cell::default(),
            under_way: RefCell::new(RecentMap::new(PROGRAMS_REMEMBERED)),
        }
    }
}

impl Places {
    /// Takes in that a program runs a turn here.
    pub(crate) fn began(&self, program: Option<&str>) {
        let Some(program) = program else { return };

        self.under_way.borrow_mut().put(stable_hash(&[program.as_bytes()]), ());
    }

    /// Returns how many calls wait for each service.
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

    /// Returns whether a program has run something at this host.
    pub(crate) fn is_under_way(&self, program: Option<&str>) -> bool {
        let Some(program) = program else { return false };
        let program = stable_hash(&[program.as_bytes()]);

        self.under_way.borrow().get(&program).is_some()
    }
}

/// A place at a target. Dropped without an outcome it counts as left by its caller.
pub(crate) struct Place {
    shared: Rc<Shared>,
    /// The target.
    pub(crate) key: TargetKey,
    service: Box<str>,
    taken: Instant,
    /// The prompt tokens that are to be read, as far as is known.
    missing: u32,
    /// The events that the target has made, and when the first and the last one came.
    events: u32,
    came: Option<(Instant, Instant)>,
    ended: bool,
}

impl Place {
    /// Takes a place for a call that is sent now.
    fn new(shared: &Rc<Shared>, service: &str, key: TargetKey, shape: &PlacementRequest) -> Self {
        let missing = shared.targets.borrow_mut().record_sent(key, shape);

        Self {
            shared: Rc::clone(shared),
            key,
            service: service.into(),
            taken: clock::now(),
            missing,
            events: 0,
            came: None,
            ended: false,
        }
    }

    /// Takes in that the target made events of a stream.
    pub(crate) fn made(&mut self, events: u32) {
        let now = clock::now();

        if self.came.is_none() {
            let waited = now.since(self.taken);
            self.shared.targets.borrow_mut().record_first_event(self.key, self.missing, waited);
        }
        let first = self.came.map_or(now, |(first, _)| first);
        self.came = Some((first, now));
        self.events += events;
    }

    /// Returns the target's id, and what all hosts have in flight there as this one knows.
    pub(crate) fn target(&self) -> (Box<str>, u32) {
        let targets = self.shared.targets.borrow();

        targets.get(self.key).map_or_else(Default::default, |t| (t.entry.id.clone(), t.load()))
    }

    /// Ends the call at its target.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.finish(outcome);
    }

    /// Ends the call with a whole answer.
    pub(crate) fn answered(self) {
        let now = clock::now();
        let held = now.since(self.taken);
        if let Some((first, last)) = self.came {
            let further = self.events.saturating_sub(1);
            self.shared.targets.borrow_mut().record_events(self.key, further, last.since(first));
        }
        self.end(Outcome::Answered(held));
    }

    fn finish(&mut self, outcome: Outcome) {
        self.ended = true;
        let ejected =
            self.shared.targets.borrow_mut().record_outcome(clock::now(), self.key, outcome);

        if ejected {
            let targets = self.shared.targets.borrow();
            let id = targets.get(self.key).map(|t| &*t.entry.id);
            info!(target_id = id, "place: target ejected after failures");
            self.shared.metrics.ejections.inc();
        }

        wake(&self.shared, &self.service);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(Outcome::Abandoned);
        }
    }
}

/// A waiting call; dropping it takes it out of the queue.
struct Queued<'a> {
    shared: &'a Rc<Shared>,
    service: &'a str,
    urgency: Urgency,
    id: WaiterId,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        let places = &self.shared.places;
        places.waiting.borrow_mut().remove(self.service, self.urgency, self.id);
        places.waiters.borrow_mut().remove(&self.id);
    }
}

/// Gets a place at a target of a service, waiting for one until the urgency's deadline.
pub(crate) async fn take(
    shared: &Rc<Shared>,
    service: &str,
    shape: &PlacementRequest,
    urgency: Urgency,
) -> Result<Place, Refusal> {
    let now = clock::now();
    let nobody_waits = shared.places.waiting.borrow().is_empty(service);
    let choice = shared.targets.borrow().choose(now, service, shape);

    match choice {
        Choice::Target(key) if nobody_waits => {
            return Ok(Place::new(shared, service, key, shape));
        }
        Choice::NoTarget => return Err(nowhere(shared, service)),
        Choice::Target(_) | Choice::Full => {}
    }

    if urgency.is_new && shared.places.waiting.borrow().len(service) >= MOST_NEW_WAITING {
        return Err(full());
    }
    let expected = expected_wait(shared, service, urgency);
    if !urgency.is_new && expected > clock::until(urgency.deadline) {
        info!(
            service,
            expected_ms = expected.as_millis() as u64,
            is_late = urgency.is_late,
            "place: none can be had in time"
        );
        return Err(Refusal::later("no place can be had in time", expected.min(LONGEST_RETRY)));
    }
    wait(shared, service, shape, urgency).await
}

/// Refuses a new program while no target has room for one.
pub(crate) fn may_begin(
    shared: &Shared,
    service: &str,
    shape: &PlacementRequest,
) -> Result<(), Refusal> {
    match shared.targets.borrow().choose(clock::now(), service, shape) {
        Choice::Full => Err(full()),
        Choice::Target(_) | Choice::NoTarget => Ok(()),
    }
}

/// Returns how long a call will wait by what goes before it at this host, which gets an even
/// share of the places that become free.
fn expected_wait(shared: &Shared, service: &str, urgency: Urgency) -> Duration {
    let ahead = shared.places.waiting.borrow().ahead(service, urgency);
    let targets = shared.targets.borrow();
    let slots = f64::from(targets.capacity(clock::now(), service).0);
    let places = (slots / shared.fleet.size() as f64).max(1.0);

    targets.mean_hold(service).mul_f64(ahead as f64 / places)
}

/// The answer to a new program while all targets are taken.
fn full() -> Refusal {
    Refusal::later_spread("all targets are full", FULL_RETRY)
}

/// Takes a place at a target that a call was at before, whatever waits for it: the call held
/// its slot until now.
pub(crate) fn same(
    shared: &Rc<Shared>,
    service: &str,
    key: TargetKey,
    shape: &PlacementRequest,
) -> Place {
    Place::new(shared, service, key, shape)
}

async fn wait(
    shared: &Rc<Shared>,
    service: &str,
    shape: &PlacementRequest,
    urgency: Urgency,
) -> Result<Place, Refusal> {
    let places = &shared.places;
    let id = WaiterId(places.next.get());
    places.next.set(id.0 + 1);
    let (tx, rx) = oneshot::channel();

    places.waiters.borrow_mut().insert(id, Waiter { shape: shape.clone(), tx });
    places.waiting.borrow_mut().push(service, urgency, id);
    let queued = Queued { shared, service, urgency, id };
    shared.metrics.waited.inc();
    wake(shared, service);

    let left = clock::until(urgency.deadline);
    let limit = if urgency.is_new { left.min(NEW_WAIT) } else { left };
    let began = clock::now();
    let granted = timeout(limit, rx).await;
    drop(queued);

    match granted {
        Ok(Ok(place)) => {
            let waited = clock::now().since(began);
            shared.metrics.place_wait.observe(waited.as_secs_f64());
            Ok(place)
        }
        Ok(Err(_)) => Err(nowhere(shared, service)),
        Err(_) if urgency.is_new => Err(full()),
        Err(_) => Err(Refusal::late(false)),
    }
}

/// Gives free places of a service to the calls that wait, in their order.
pub(crate) fn wake(shared: &Rc<Shared>, service: &str) {
    loop {
        let places = &shared.places;
        let Some(id) = places.waiting.borrow().first(service) else { return };
        let choice = {
            let waiters = places.waiters.borrow();
            let Some(waiter) = waiters.get(&id) else { return };
            shared.targets.borrow().choose(clock::now(), service, &waiter.shape)
        };

        if choice == Choice::Full {
            return;
        }

        places.waiting.borrow_mut().remove_first(service);
        let Some(waiter) = places.waiters.borrow_mut().remove(&id) else { continue };

        // Dropping the sender of a call that has nowhere to go tells it so.
        let Choice::Target(key) = choice else { continue };
        // If the call has gone meanwhile, its place is dropped and free again.
        drop(waiter.tx.send(Place::new(shared, service, key, &waiter.shape)));
    }
}

/// Gives free places of all services.
pub(crate) fn wake_all(shared: &Rc<Shared>) {
    let services = shared.places.waiting.borrow().services();

    services.iter().for_each(|service| wake(shared, service));
}

fn nowhere(shared: &Shared, service: &str) -> Refusal {
    let back = shared.targets.borrow().time_to_readmission(clock::now(), service);

    Refusal::later(
        "no target can be reached",
        back.unwrap_or(NOWHERE_RETRY).max(Duration::from_millis(50)),
    )
}
