//! The simulated hosts, store and targets, and the network between them.

use std::ops::Range;
use std::time::Duration;

use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::target_table::{
    FAILED_PAUSE, HEDGE_DELAY, PEER_TIMEOUT, POLL_PERIOD, RELIST_PERIOD, TableCopy,
};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};

use crate::host::{Host, Next};
use crate::oracle::Oracle;
use crate::queue::{Event, PeerRequest, Queue, StoreRequest, Then};
use crate::store::{Answer, Op, Store};
use crate::targets::{EXPIRY, REWRITE_TIMEOUT, Step, TARGETS, Targets};

pub const HOSTS: usize = 4;

/// How long a host waits for an answer from the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// How often hosts send each other status updates, which say whether the store answers them.
const STATUS_PERIOD: Duration = Duration::from_millis(100);

/// How often targets' heartbeats and row expiries are processed.
const TARGETS_PERIOD: Duration = Duration::from_millis(50);

/// The latency of a message, in milliseconds.
const LATENCY_MS: Range<u64> = 1..10;

/// The latency of a delayed message, in milliseconds.
const DELAYED_LATENCY_MS: Range<u64> = 50..600;

/// How long after the last fault every copy must equal the store's rows.
const CONVERGENCE: Duration = RELIST_PERIOD.saturating_add(Duration::from_secs(3));

/// How the store answers a particular host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// It rejects requests at once.
    Refuses,
    /// It does not answer at all.
    Silent,
    /// Some answers are lost.
    LosesAnswers,
    /// Answers are outdated when they arrive, or arrive after the timeout.
    Late,
}

/// The shortest pause between two checks of a host for targets whose grace period has ended.
const MIN_EXPIRE_PAUSE: Duration = Duration::from_millis(20);

/// An outage of the store for all hosts and targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Rows expire during the outage.
    Expiring,
    /// Rows expire at the recovery.
    Holding,
}

/// The state of the network between a host and all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Good,
    /// Half of the messages are lost.
    Lossy,
    Partitioned,
}

pub struct World {
    pub now: Instant,
    pub store: Store,
    pub targets: Targets,
    pub hosts: Vec<Option<Host>>,
    pub modes: [Mode; HOSTS],
    pub links: [Link; HOSTS],
    pub outage: Option<Outage>,
    /// When the last outage for all ended.
    recovered_at: Option<Instant>,
    oracle: Oracle,
    queue: Queue,
    rng: SmallRng,
    count: u64,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now: Instant::from_millis(1_000_000),
            store: Store::default(),
            targets: Targets::new(),
            hosts: (0..HOSTS).map(|_| None).collect(),
            modes: [Mode::Up; HOSTS],
            links: [Link::Good; HOSTS],
            outage: None,
            recovered_at: None,
            oracle: Oracle::default(),
            queue: Queue::default(),
            rng: SmallRng::seed_from_u64(seed),
            count: 0,
        };

        world.queue.put(world.now, TARGETS_PERIOD, Event::Targets);
        (0..HOSTS).for_each(|host| world.start(host));
        world
    }

    /// Advances the simulated time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;

        while let Some((at, event)) = self.queue.next(end) {
            self.advance_to(at);
            self.handle(event);
        }
        self.advance_to(end);
    }

    pub fn step(&mut self, target: usize, step: Step) {
        match (self.outage, step) {
            (Some(_), Step::Crash) => self.targets.crash(target),
            (Some(_), _) => {}
            (None, step) => self.targets.step(self.now, &mut self.store, target, step),
        }
    }

    /// Starts a host, or restarts it if it runs.
    pub fn start(&mut self, host: usize) {
        let run = self.next_id();

        self.hosts[host] = Some(Host::new(run));
        self.put_within(0..50, Event::Status(host, run));
        self.put_within(0..400, Event::Poll(host, run));
        self.put(POLL_PERIOD, Event::Expire(host, run));
        self.record_faults(Some(host));
    }

    pub fn kill(&mut self, host: usize) {
        self.hosts[host] = None;
        self.record_faults(None);
    }

    pub fn set_mode(&mut self, host: usize, mode: Mode) {
        self.modes[host] = mode;
        self.record_faults(None);
    }

    pub fn set_link(&mut self, host: usize, link: Link) {
        self.links[host] = link;
        self.record_faults(None);
    }

    /// Starts or ends an outage of the store for all.
    pub fn set_outage(&mut self, outage: Option<Outage>) {
        let recovers = self.outage.is_some() && outage.is_none();
        if recovers {
            self.recovered_at = Some(self.now);
            self.targets.expire(self.now, &mut self.store);
            let delays: Vec<_> =
                (0..TARGETS).map(|_| self.millis(0..REWRITE_TIMEOUT.as_millis() as u64)).collect();
            self.targets.store_recovers(self.now, |target| delays[target]);
        }

        self.outage = outage;
        self.record_faults(None);
    }

    /// Returns whether targets may not have written their rows yet since the store's recovery.
    pub fn has_just_recovered(&self) -> bool {
        self.recovered_at.is_some_and(|at| self.now.since(at) <= REWRITE_TIMEOUT)
    }

    /// Ends all faults and checks that all copies converge to the store's rows.
    pub fn converge(&mut self) {
        for host in 0..HOSTS {
            self.set_mode(host, Mode::Up);
            self.set_link(host, Link::Good);
            if self.hosts[host].is_none() {
                self.start(host);
            }
        }
        self.set_outage(None);
        self.run(REWRITE_TIMEOUT + EXPIRY);

        self.run(CONVERGENCE);
        self.oracle_checks(|oracle, world| oracle.check_converged(world));
    }

    /// Returns whether messages between two hosts arrive.
    fn is_linked(&self, a: usize, b: usize) -> bool {
        self.links[a] != Link::Partitioned && self.links[b] != Link::Partitioned
    }

    fn advance_to(&mut self, at: Instant) {
        self.oracle_checks(|oracle, world| oracle.check_until(world, at));
        self.now = at;
    }

    fn record_faults(&mut self, started: Option<usize>) {
        self.oracle_checks(|oracle, world| oracle.record_faults(world, started));
    }

    fn oracle_checks(&mut self, check: impl FnOnce(&mut Oracle, &Self)) {
        let mut oracle = std::mem::take(&mut self.oracle);
        check(&mut oracle, self);
        self.oracle = oracle;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Targets => self.process_targets(),
            Event::Poll(host, run) if self.is_run(host, run) => self.poll(host),
            Event::Hedge(host, round) => self.hedge(host, round),
            Event::Status(host, run) if self.is_run(host, run) => self.send_status(host, run),
            Event::Expire(host, run) if self.is_run(host, run) => self.expire(host, run),
            Event::Poll(..) | Event::Status(..) | Event::Expire(..) => {}
            Event::StoreHandles(request) => self.store_handles(request),
            Event::StoreAnswers(request, answer) => self.store_answered(request, answer),
            Event::StoreSilent(request) => self.store_silent(&request),
            Event::PeerHandles(request) => self.peer_handles(request),
            Event::PeerAnswers(request, copy) => self.peer_answered(&request, copy),
            Event::PeerSilent(request) => self.peer_ended(&request),
        }
    }

    fn process_targets(&mut self) {
        if self.outage.is_none() {
            self.targets.write_heartbeats(self.now, &mut self.store);
        }
        if self.outage != Some(Outage::Holding) {
            self.targets.expire(self.now, &mut self.store);
        }
        self.put(TARGETS_PERIOD, Event::Targets);
    }

    fn send_status(&mut self, host: usize, run: u64) {
        let Some(sender) = &self.hosts[host] else { return };
        let (store_answers, store_unavailable) =
            (sender.store_answers(), sender.sees_store_unavailable());

        for other in (0..HOSTS).filter(|other| *other != host) {
            let arrives = self.is_linked(host, other) && !self.loses(host, other);
            if let Some(receiver) = self.hosts[other].as_mut().filter(|_| arrives) {
                receiver.record_status(self.now, host, store_answers, store_unavailable);
            }
        }
        self.put(STATUS_PERIOD, Event::Status(host, run));
    }

    fn poll(&mut self, host: usize) {
        let now = self.now;
        let round = self.next_id();
        let Some(requester) = &mut self.hosts[host] else { return };
        requester.round = round;
        let op = requester.begin_round(now);

        self.put(HEDGE_DELAY, Event::Hedge(host, round));
        self.ask_store(host, op);
    }

    fn ask_store(&mut self, host: usize, op: Op) {
        let id = self.next_id();
        let Some(requester) = &mut self.hosts[host] else { return };
        requester.waiting = Some(id);
        let request = StoreRequest { host, id, asked_at: self.now, op };

        if self.modes[host] == Mode::Refuses && self.links[host] != Link::Partitioned {
            self.put_within(LATENCY_MS, Event::StoreSilent(request.clone()));
        }
        self.put(STORE_TIMEOUT, Event::StoreSilent(request.clone()));
        self.put_within(LATENCY_MS, Event::StoreHandles(request));
    }

    fn store_handles(&mut self, request: StoreRequest) {
        let host = request.host;
        let is_reached = self.outage.is_none() && self.links[host] != Link::Partitioned;
        let is_answered = match self.modes[host] {
            Mode::Refuses | Mode::Silent => false,
            Mode::LosesAnswers => self.chance(),
            Mode::Up | Mode::Late => true,
        };
        if !is_reached || !is_answered || self.loses(host, host) {
            return;
        }

        let latency = if self.modes[host] == Mode::Late { DELAYED_LATENCY_MS } else { LATENCY_MS };
        let answer = self.store.run(&request.op);
        self.put_within(latency, Event::StoreAnswers(request, answer));
    }

    fn store_answered(&mut self, request: StoreRequest, answer: Answer) {
        let (now, host) = (self.now, request.host);
        let is_partitioned = self.links[host] == Link::Partitioned;
        let Some(requester) = self.waiting(&request).filter(|_| !is_partitioned) else { return };

        match requester.apply_answer(now, request.asked_at, &request.op, answer) {
            Next::Ask(op) => self.ask_store(host, op),
            Next::EndRound => self.store_round_over(host, true),
        }
        self.check_host(host);
    }

    fn store_silent(&mut self, request: &StoreRequest) {
        let now = self.now;
        let Some(requester) = self.waiting(request) else { return };

        requester.record_no_answer(now);
        self.store_round_over(request.host, false);
    }

    /// Returns the requesting host if it still waits for the answer.
    fn waiting(&mut self, request: &StoreRequest) -> Option<&mut Host> {
        let host = self.hosts[request.host].as_mut()?;

        (host.waiting == Some(request.id)).then_some(host)
    }

    fn store_round_over(&mut self, host: usize, answered: bool) {
        let now = self.now;
        let Some(requester) = &mut self.hosts[host] else { return };
        (requester.waiting, requester.asking, requester.round) = (None, None, 0);

        if answered && !requester.may_lack_lapsed_targets(now)
            || !self.ask_peer(host, Then::EndRound(answered))
        {
            self.end_round(host, answered);
        }
    }

    fn hedge(&mut self, host: usize, round: u64) {
        let is_current =
            self.hosts[host].as_ref().is_some_and(|requester| requester.round == round);

        if is_current && !self.ask_peer(host, Then::KeepWaiting(round)) {
            self.put(POLL_PERIOD, Event::Hedge(host, round));
        }
    }

    /// Requests the copy of a random suitable host; returns whether there is one.
    fn ask_peer(&mut self, from: usize, then: Then) -> bool {
        let (now, id) = (self.now, self.next_id());
        let Some(requester) = &mut self.hosts[from] else { return false };
        let peers = requester.peers(now);
        let Some(to) = peers.choose(&mut self.rng).copied() else { return false };
        requester.asking = Some(id);
        let has = requester.table.as_of().unwrap_or_default();
        let request = PeerRequest { from, to, id, asked_at: now, has, then };

        self.put(PEER_TIMEOUT, Event::PeerSilent(request.clone()));
        self.put_within(LATENCY_MS, Event::PeerHandles(request));
        true
    }

    fn peer_handles(&mut self, request: PeerRequest) {
        let (from, to) = (request.from, request.to);
        if !self.is_linked(from, to) || self.loses(from, to) {
            return;
        }
        let Some(asked) = &self.hosts[to] else { return };
        let copy = asked.table.copy_for(self.now, request.has);

        self.put_within(LATENCY_MS, Event::PeerAnswers(request, copy));
    }

    fn peer_answered(&mut self, request: &PeerRequest, copy: Option<TableCopy>) {
        let (now, from) = (self.now, request.from);
        let is_linked = self.is_linked(from, request.to);
        let requester = self.hosts[from].as_mut().filter(|_| is_linked);
        let Some(requester) = requester.filter(|requester| requester.asking == Some(request.id))
        else {
            return;
        };

        if let Some(copy) = copy {
            let effects = requester.table.apply_peer_copy(now, request.asked_at, copy);
            requester.apply_effects(effects);
        }
        self.peer_ended(request);
        self.check_host(from);
    }

    fn peer_ended(&mut self, request: &PeerRequest) {
        let from = request.from;
        let Some(requester) = &mut self.hosts[from] else { return };
        if requester.asking != Some(request.id) {
            return;
        }

        requester.asking = None;
        match request.then {
            Then::KeepWaiting(round) => self.put(POLL_PERIOD, Event::Hedge(from, round)),
            Then::EndRound(answered) => self.end_round(from, answered),
        }
    }

    fn expire(&mut self, host: usize, run: u64) {
        let now = self.now;
        let Some(expiring) = &mut self.hosts[host] else { return };
        let ended = expiring.table.expire(now);
        expiring.apply_effects(ended);
        let until_next = expiring.table.next_grace_end().map_or(POLL_PERIOD, |end| end.since(now));

        self.put(until_next.clamp(MIN_EXPIRE_PAUSE, POLL_PERIOD), Event::Expire(host, run));
    }

    fn end_round(&mut self, host: usize, answered: bool) {
        let Some(requester) = &mut self.hosts[host] else { return };
        let run = requester.run;

        self.put(if answered { POLL_PERIOD } else { FAILED_PAUSE }, Event::Poll(host, run));
    }

    fn check_host(&mut self, host: usize) {
        self.oracle_checks(|oracle, world| oracle.check_never_decreases(world, host));
    }

    fn is_run(&self, host: usize, run: u64) -> bool {
        self.hosts[host].as_ref().is_some_and(|host| host.run == run)
    }

    /// Returns whether a lossy link drops a message.
    fn loses(&mut self, a: usize, b: usize) -> bool {
        let is_lossy = self.links[a] == Link::Lossy || self.links[b] == Link::Lossy;

        is_lossy && self.chance()
    }

    fn chance(&mut self) -> bool {
        self.rng.random_bool(0.5)
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn next_id(&mut self) -> u64 {
        self.count += 1;

        self.count
    }

    fn put_within(&mut self, range: Range<u64>, event: Event) {
        let delay = self.millis(range);
        self.put(delay, event);
    }

    fn put(&mut self, delay: Duration, event: Event) {
        self.queue.put(self.now, delay, event);
    }
}
