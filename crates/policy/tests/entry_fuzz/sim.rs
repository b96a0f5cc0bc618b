//! Simulated time and tasks of a fleet, single-threaded and reproducible by seed.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::{Future, poll_fn};
use std::ops::Range;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::budgets::RunId;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

type Work = Pin<Box<dyn Future<Output = ()>>>;

/// A task of one run of a host. It is dropped when the run is killed.
struct Task {
    run: RunId,
    work: Work,
}

/// The clock and the random numbers that all tasks share.
pub struct Sim {
    now: Cell<Instant>,
    wakes: RefCell<BTreeSet<Instant>>,
    spawned: RefCell<Vec<Task>>,
    /// Whether something has happened that another task may be waiting for.
    progressed: Cell<bool>,
    /// The runs whose tasks do not run before a time, although the clock goes on.
    frozen: RefCell<BTreeMap<RunId, Instant>>,
    rng: RefCell<SmallRng>,
}

impl Sim {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Cell::new(Instant::from_millis(1_000_000)),
            wakes: RefCell::default(),
            spawned: RefCell::default(),
            progressed: Cell::new(false),
            frozen: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        }
    }

    pub fn now(&self) -> Instant {
        self.now.get()
    }

    pub fn chance(&self, probability: f64) -> bool {
        self.rng.borrow_mut().random_bool(probability)
    }

    pub fn random_millis(&self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.borrow_mut().random_range(range))
    }

    pub fn spawn(&self, run: RunId, work: impl Future<Output = ()> + 'static) {
        self.spawned.borrow_mut().push(Task { run, work: Box::pin(work) });
        self.progressed.set(true);
    }

    /// Lets no task of a run continue for `time`.
    pub fn freeze(&self, run: RunId, time: Duration) {
        let until = self.wake_in(time);
        self.frozen.borrow_mut().insert(run, until);
    }

    /// Lets the tasks of all runs continue.
    pub fn thaw_all(&self) {
        self.frozen.borrow_mut().clear();
    }

    pub fn is_frozen(&self, run: RunId) -> bool {
        self.frozen.borrow().get(&run).is_some_and(|until| self.now() < *until)
    }

    pub async fn sleep(&self, time: Duration) {
        let until = self.wake_in(time);

        poll_fn(|_| if self.now() >= until { Poll::Ready(()) } else { Poll::Pending }).await;
    }

    /// Runs `future` for at most `limit`. Returns `None` if it is not ready by then, and drops it.
    pub async fn timeout<F: Future>(&self, limit: Duration, future: F) -> Option<F::Output> {
        let until = self.wake_in(limit);
        let mut future = pin!(future);

        poll_fn(|cx| match future.as_mut().poll(cx) {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending if self.now() >= until => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        })
        .await
    }

    fn wake_in(&self, time: Duration) -> Instant {
        let until = self.now() + time;
        self.wakes.borrow_mut().insert(until);

        until
    }
}

/// A cell that one task fills and another task waits for.
pub struct Slot<T>(Rc<(RefCell<Option<T>>, Rc<Sim>)>);

impl<T> Clone for Slot<T> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<T> Slot<T> {
    pub fn new(sim: &Rc<Sim>) -> Self {
        Self(Rc::new((RefCell::new(None), Rc::clone(sim))))
    }

    pub fn put(&self, value: T) {
        *self.0.0.borrow_mut() = Some(value);
        self.0.1.progressed.set(true);
    }

    pub async fn get(&self) -> T {
        poll_fn(|_| match self.0.0.borrow_mut().take() {
            Some(value) => Poll::Ready(value),
            None => Poll::Pending,
        })
        .await
    }
}

/// A mutex between tasks of one host.
pub struct Lock(Rc<Cell<bool>>, Rc<Sim>);

/// Releases its lock when it is dropped.
pub struct Locked(Rc<Cell<bool>>, Rc<Sim>);

impl Lock {
    pub fn new(sim: &Rc<Sim>) -> Self {
        Self(Rc::default(), Rc::clone(sim))
    }

    pub async fn lock(&self) -> Locked {
        poll_fn(|_| if self.0.replace(true) { Poll::Pending } else { Poll::Ready(()) }).await;

        Locked(Rc::clone(&self.0), Rc::clone(&self.1))
    }
}

impl Drop for Locked {
    fn drop(&mut self) {
        self.0.set(false);
        self.1.progressed.set(true);
    }
}

/// Runs all futures concurrently and waits until all are complete.
pub async fn join_all<F: Future>(futures: impl IntoIterator<Item = F>) -> Vec<F::Output> {
    let mut left: Vec<_> = futures.into_iter().map(|f| (Box::pin(f), None)).collect();

    poll_fn(|cx| {
        for (future, output) in left.iter_mut().filter(|(_, output)| output.is_none()) {
            if let Poll::Ready(value) = future.as_mut().poll(cx) {
                *output = Some(value);
            }
        }
        match left.iter().all(|(_, output)| output.is_some()) {
            true => Poll::Ready(left.iter_mut().filter_map(|(_, output)| output.take()).collect()),
            false => Poll::Pending,
        }
    })
    .await
}

/// The tasks of all hosts.
#[derive(Default)]
pub struct Tasks(Vec<Task>);

impl Tasks {
    /// Runs all tasks for the simulated time `time`.
    pub fn run(&mut self, sim: &Sim, time: Duration) {
        let end = sim.now() + time;

        loop {
            self.settle(sim);
            let next = sim.wakes.borrow().first().copied().filter(|next| *next <= end);
            let Some(next) = next else { break };
            sim.wakes.borrow_mut().remove(&next);
            sim.now.set(next.max(sim.now()));
        }
        sim.now.set(end);
    }

    /// Drops all tasks of a run.
    pub fn kill(&mut self, sim: &Sim, run: RunId) {
        self.0.extend(sim.spawned.take());
        self.0.retain(|task| task.run != run);
    }

    /// Polls all tasks until each of them waits for a later time.
    fn settle(&mut self, sim: &Sim) {
        let mut cx = Context::from_waker(Waker::noop());

        loop {
            sim.progressed.set(false);
            self.0.extend(sim.spawned.take());
            self.0.retain_mut(|task| {
                sim.is_frozen(task.run) || task.work.as_mut().poll(&mut cx).is_pending()
            });
            if !sim.progressed.get() {
                return;
            }
        }
    }
}
