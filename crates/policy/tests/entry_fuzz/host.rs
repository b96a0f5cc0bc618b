//! A host: its memory, what it hears, and its way to the store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::hash::{Map, Set, rendezvous_order};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::budgets::{Budgets, ProgramKey, RunId};
use camphorwalk_policy::entry::host_rows::{HostRows, Presence};
use camphorwalk_policy::entry::isolation::{self, Contact, Surroundings};
use camphorwalk_policy::entry::outage::StoreHealth;
use camphorwalk_policy::entry::shares::{self, GrantHistory, HISTORY_COMPLETE_AFTER, Limit};

use crate::asks::{self, Ask, News, Reply};
use crate::budget::{self, Held};
use crate::grants;
use crate::oracle;
use crate::sim::{Lock, Locked};
use crate::store::{self, Op, StoreReply};
use crate::world::{HOSTS, MOST, Program, RETENTION, World, ZONES};

const NEWS_PERIOD: Duration = Duration::from_millis(100);
const FRESH: Duration = Duration::from_millis(700);
const SETTLED: Duration = Duration::from_secs(3);
const ALL_TOLD: Duration = Duration::from_secs(1);
const SLOW_TOLD: Duration = Duration::from_millis(500);
const LONG_SILENCE: Duration = Duration::from_millis(300);
const RELAY_DEADLINE: Duration = Duration::from_millis(600);
const PROBE_PERIOD: Duration = Duration::from_millis(500);
const BEAT_PERIOD: Duration = Duration::from_secs(5);
const WRITE_BACK_PERIOD: Duration = Duration::from_millis(500);
const SWEEP_PERIOD: Duration = Duration::from_secs(5);
const SWEEP_MARGIN: Duration = Duration::from_secs(30);

/// What another host told last of itself.
#[derive(Clone, Copy)]
struct Heard {
    at: Instant,
    run: RunId,
    store_answers: bool,
    remembers: bool,
    knows_of_loose: bool,
}

pub struct Host {
    pub name: usize,
    pub run: RunId,
    /// Whether the whole fleet started with it.
    is_first_start: bool,
    began: Instant,
    memory: RefCell<GrantHistory>,
    pub budgets: RefCell<Budgets>,
    pub health: RefCell<StoreHealth>,
    /// Whether it has read who the others are, without which it talks to none.
    joined: Cell<bool>,
    /// The rows of the others as it read them last, and which of these are there.
    rows: RefCell<HostRows>,
    known: RefCell<Set<usize>>,
    beat_at: Cell<Option<Instant>>,
    heard: RefCell<Map<usize, Heard>>,
    away_at: Cell<Option<Instant>>,
    slow_at: Cell<Option<Instant>>,
    loose_at: Cell<Option<Instant>>,
    locks: RefCell<Map<ProgramKey, Rc<Lock>>>,
}

/// A host in its world.
#[derive(Clone)]
pub struct Shared {
    pub world: Rc<World>,
    pub host: Rc<Host>,
}

impl Host {
    pub fn new(now: Instant, name: usize, run: RunId, is_first_start: bool) -> Self {
        Self {
            name,
            run,
            is_first_start,
            began: now,
            memory: RefCell::new(GrantHistory::new(now, is_first_start)),
            budgets: RefCell::new(Budgets::new(run)),
            health: RefCell::default(),
            joined: Cell::new(false),
            rows: RefCell::default(),
            known: RefCell::new((0..HOSTS).filter(|other| *other != name).collect()),
            beat_at: Cell::new(None),
            heard: RefCell::default(),
            away_at: Cell::new(None),
            slow_at: Cell::new(None),
            loose_at: Cell::new(None),
            locks: RefCell::default(),
        }
    }

    pub fn has_joined(&self) -> bool {
        self.joined.get()
    }
}

impl Shared {
    pub fn now(&self) -> Instant {
        self.world.sim.now()
    }

    fn fresh(&self) -> Vec<(usize, Heard)> {
        let now = self.now();
        let heard = self.host.heard.borrow();
        let fresh = heard.iter().filter(|(_, heard)| now.since(heard.at) < FRESH);

        let mut fresh: Vec<_> = fresh.map(|(host, heard)| (*host, *heard)).collect();
        fresh.sort_unstable_by_key(|(host, _)| *host);
        fresh
    }

    pub fn hears(&self, host: usize) -> bool {
        self.fresh().iter().any(|(heard, _)| *heard == host)
    }

    pub fn host_of_run(&self, run: RunId) -> Option<usize> {
        self.fresh().into_iter().find(|(_, heard)| heard.run == run).map(|(host, _)| host)
    }

    pub fn hears_run(&self, run: RunId) -> bool {
        run == self.host.run || self.host_of_run(run).is_some()
    }

    /// Returns how many hosts there are, as far as this one knows.
    fn known(&self) -> usize {
        if self.host.has_joined() { self.host.known.borrow().len() + 1 } else { 1 }
    }

    fn fresh_known(&self) -> Vec<(usize, Heard)> {
        let known = self.host.known.borrow();

        self.fresh().into_iter().filter(|(host, _)| known.contains(host)).collect()
    }

    /// Writes this host's row and reads those of the others, if that is due.
    fn beat(&self) {
        let now = self.now();
        let last = self.host.beat_at.get();
        if last.is_some_and(|at| now.since(at) < BEAT_PERIOD) {
            return;
        }
        self.host.beat_at.set(Some(now));
        self.world.write_host_row(self.host.name);

        let mut known = self.host.known.borrow_mut();
        for other in (0..HOSTS).filter(|other| *other != self.host.name) {
            let version = RowVersion(self.world.host_rows.get()[other]);
            let is_due = last.is_some() && !self.hears(other);
            let host = HostId(other as u64);
            match self.host.rows.borrow_mut().record_read(host, version, is_due) {
                Presence::Updated => drop(known.insert(other)),
                Presence::Silent => {}
                Presence::Gone => drop(known.remove(&other)),
            }
        }
    }

    pub fn is_majority(&self) -> bool {
        (self.fresh_known().len() + 1) * 2 > self.known()
    }

    pub fn is_isolated(&self) -> bool {
        let contact = |which: &dyn Fn(usize) -> bool| match self.host.has_joined() {
            false => Contact::NoneKnown,
            true if self.fresh().iter().any(|(host, _)| which(*host)) => Contact::Heard,
            true => Contact::Silent,
        };
        let answers_whole = self.answers_whole();
        let own = ZONES[self.host.name];

        !answers_whole
            && isolation::is_isolated(Surroundings {
                store_in_reach: answers_whole || self.store_peer().is_some(),
                other_zones: contact(&|host| ZONES[host] != own),
                others: contact(&|_| true),
            })
    }

    /// Returns the hosts that are heard and this one, in the order in which they grant.
    pub fn order(&self, program: ProgramKey) -> Vec<usize> {
        let heard = self.fresh().into_iter().map(|(host, _)| host).chain([self.host.name]);
        let order = rendezvous_order(program.0, heard.map(|host| host as u64));
        let remembers = |host: &usize| match *host == self.host.name {
            true => self.remembers(),
            false => self.hears_that_it_remembers(*host),
        };
        let (mut order, late): (Vec<_>, Vec<_>) =
            order.into_iter().map(|host| host as usize).partition(remembers);
        order.extend(late);

        order
    }

    fn hears_that_it_remembers(&self, host: usize) -> bool {
        self.fresh().iter().any(|(heard, news)| *heard == host && news.remembers)
    }

    pub fn next_granters(&self, program: ProgramKey) -> impl Iterator<Item = usize> {
        let own = self.host.name;

        self.order(program).into_iter().filter(move |host| *host != own)
    }

    pub fn witnesses(&self, program: ProgramKey) -> Vec<usize> {
        let own = ZONES[self.host.name];

        self.order(program).into_iter().filter(|host| ZONES[*host] != own).collect()
    }

    pub fn answers_whole(&self) -> bool {
        let health = self.host.health.borrow();

        health.answers() && !health.any_part_unavailable()
    }

    fn store_peer(&self) -> Option<usize> {
        self.fresh().into_iter().find(|(_, heard)| heard.store_answers).map(|(host, _)| host)
    }

    pub fn is_settled(&self) -> bool {
        let away_at = self.host.away_at.get();

        self.has_heard_of_trouble() && away_at.is_none_or(|at| self.now().since(at) > SETTLED)
    }

    fn has_heard_of_trouble(&self) -> bool {
        self.host.is_first_start || self.now().since(self.host.began) > SETTLED
    }

    fn grants_loose(&self) -> bool {
        let misses_any = self.host.health.borrow().any_part_failed_within(self.now(), ALL_TOLD);

        misses_any
            || self.host.budgets.borrow().is_responsible_for_unstored(|run| self.hears_run(run))
    }

    fn is_all_stored(&self) -> bool {
        if self.grants_loose() {
            self.host.loose_at.set(Some(self.now()));
        }
        let loose_at = self.host.loose_at.get();

        self.has_heard_of_trouble() && loose_at.is_none_or(|at| self.now().since(at) > ALL_TOLD)
    }

    pub fn remembers(&self) -> bool {
        let others = self.surroundings_without_itself();

        self.host.memory.borrow_mut().is_complete(self.now(), others)
    }

    /// Returns how much of budgets this host may have granted by the store.
    pub fn limit(&self) -> Limit {
        shares::limit(self.surroundings())
    }

    fn knows_of_loose(&self) -> bool {
        let loose_at = self.host.loose_at.get();

        loose_at.is_some_and(|at| self.now().since(at) <= HISTORY_COMPLETE_AFTER)
    }

    fn surroundings(&self) -> shares::FleetView {
        let others = self.surroundings_without_itself();

        others.including_self(self.remembers(), self.knows_of_loose())
    }

    fn surroundings_without_itself(&self) -> shares::FleetView {
        let fresh = self.fresh_known();
        let remembering = fresh.iter().filter(|(_, heard)| heard.remembers);
        let free_of_loose = remembering.clone().filter(|(_, heard)| !heard.knows_of_loose);

        shares::FleetView {
            is_all_stored: self.is_all_stored(),
            known_hosts: self.known(),
            live_hosts: fresh.len() + 1,
            complete_histories: remembering.count(),
            without_unstored_grants: free_of_loose.count(),
        }
    }

    pub fn note_slow(&self) {
        self.host.slow_at.set(Some(self.now()));
        self.host.away_at.set(Some(self.now()));
    }

    pub async fn lock(&self, program: ProgramKey) -> Locked {
        let lock = {
            let mut locks = self.host.locks.borrow_mut();
            Rc::clone(locks.entry(program).or_insert_with(|| Rc::new(Lock::new(&self.world.sim))))
        };

        lock.lock().await
    }

    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        self.world.sim.spawn(self.host.run, work);
    }

    /// Runs an operation for a turn: through another host if the store is believed to be away.
    pub async fn ask_store(&self, op: Op) -> StoreReply {
        let is_held_up = {
            let mut health = self.host.health.borrow_mut();
            health.is_unavailable(op.part()) && !health.start_retry_if_due(self.now(), op.part())
        };

        match is_held_up {
            true => self.relay(op).await,
            false => self.probe(op).await,
        }
    }

    pub async fn probe(&self, op: Op) -> StoreReply {
        match self.ask_straight(op.clone()).await {
            StoreReply::Unavailable => self.relay(op).await,
            reply => reply,
        }
    }

    pub async fn ask_straight(&self, op: Op) -> StoreReply {
        let began = self.now();
        let part = op.part();
        let mode = self.world.modes.get()[self.host.name];
        let reply = store::run(&self.world, mode, op).await;
        let now = self.now();

        let mut health = self.host.health.borrow_mut();
        match reply {
            StoreReply::Unavailable => drop(health.failed(began, part)),
            StoreReply::Unknown if now.since(began) < LONG_SILENCE => {}
            StoreReply::Unknown => drop(health.failed(began, part)),
            _ => drop(health.answered(now, part)),
        }
        if health.any_part_unavailable() {
            self.host.away_at.set(Some(now));
        }
        reply
    }

    async fn relay(&self, op: Op) -> StoreReply {
        let Some(peer) = self.store_peer() else { return StoreReply::Unavailable };

        match asks::ask(self, peer, Ask::Store(op), RELAY_DEADLINE).await {
            Some(Reply::Store(reply)) => reply,
            Some(_) => StoreReply::Unavailable,
            None => StoreReply::Unknown,
        }
    }

    pub fn answers_store(&self) -> bool {
        self.host.health.borrow().answers()
    }

    pub fn hear(&self, from: usize, news: News) {
        let News { run, store_answers, in_trouble, remembers, grants_loose, knows_of_loose } = news;
        let heard = Heard { at: self.now(), run, store_answers, remembers, knows_of_loose };

        self.host.heard.borrow_mut().insert(from, heard);
        if grants_loose {
            self.host.loose_at.set(Some(self.now()));
        }
        if in_trouble {
            self.host.away_at.set(Some(self.now()));
        }
    }

    fn news(&self) -> News {
        let is_slow = self.host.slow_at.get().is_some_and(|at| self.now().since(at) < SLOW_TOLD);
        let misses_any = self.host.health.borrow().any_part_unavailable();

        News {
            run: self.host.run,
            store_answers: self.answers_store(),
            in_trouble: is_slow || misses_any,
            grants_loose: self.grants_loose(),
            knows_of_loose: self.knows_of_loose(),
            remembers: self.remembers(),
        }
    }
}

/// Starts what a host does all the time.
pub fn start(world: &Rc<World>, host: &Rc<Host>) {
    let shared = Shared { world: Rc::clone(world), host: Rc::clone(host) };

    shared.spawn(probe_store(shared.clone()));
    shared.spawn(tell_news(shared.clone()));
    shared.spawn(write_back(shared.clone()));
    shared.spawn(sweep(shared.clone()));
}

/// Runs a turn of a program.
pub fn turn(world: &Rc<World>, host: &Rc<Host>, program: Program, used: u64, time: Duration) {
    let shared = Shared { world: Rc::clone(world), host: Rc::clone(host) };

    shared.clone().spawn(async move {
        let key = program.key;
        if let Held::Tokens = budget::hold(&shared, &program).await {
            shared.world.turn_runs(key, &shared.host, used);
            oracle::check_turn(&shared.world, key, &shared.host);
            shared.world.sim.sleep(time).await;
            shared.host.budgets.borrow_mut().settle(key, MOST, used);
            shared.world.turn_ended(key, &shared.host, used);
        }
    });
}

/// Asks for the tokens of a turn that then generates none; the answer comes later.
pub fn ask_turn(world: &Rc<World>, host: &Rc<Host>, program: Program) -> Rc<Cell<Option<Held>>> {
    let shared = Shared { world: Rc::clone(world), host: Rc::clone(host) };
    let answer = Rc::new(Cell::new(None));
    let answered = Rc::clone(&answer);

    shared.clone().spawn(async move {
        let held = budget::hold(&shared, &program).await;
        if held == Held::Tokens {
            shared.host.budgets.borrow_mut().settle(program.key, MOST, 0);
        }
        answered.set(Some(held));
    });
    answer
}

async fn probe_store(shared: Shared) {
    loop {
        if let StoreReply::Row(_) = shared.probe(Op::Probe).await {
            shared.host.joined.set(true);
            shared.beat();
        }
        shared.world.sim.sleep(PROBE_PERIOD).await;
    }
}

async fn tell_news(shared: Shared) {
    loop {
        shared.world.sim.sleep(NEWS_PERIOD).await;
        for other in (0..HOSTS).filter(|other| *other != shared.host.name) {
            asks::tell_news(&shared, other, shared.news());
        }
    }
}

async fn write_back(shared: Shared) {
    loop {
        grants::write_loose(&shared).await;
        shared.world.sim.sleep(WRITE_BACK_PERIOD).await;
    }
}

/// Deletes rows that no program may need any more.
async fn sweep(shared: Shared) {
    loop {
        shared.world.sim.sleep(SWEEP_PERIOD).await;
        let asked = shared.now();
        let old = shared.host.budgets.borrow_mut().take_idle(asked, RETENTION + SWEEP_MARGIN);
        for (program, version) in old {
            budget::delete(&shared, program, version, asked).await;
        }
    }
}
