//! Some hosts, the store and its targets, and what lies between them.

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
use crate::queue::{Event, PeerQuestion, Question, Queue, Then};
use crate::store::{Answer, Op, Store};
use crate::targets::{BACK_WITHIN, EXPIRY, Step, TARGETS, Targets};

pub const HOSTS: usize = 4;

/// How long a host waits for an answer of the store.
const PATIENCE: Duration = Duration::from_millis(500);

/// How often hosts tell each other whether the store answers them.
const NEWS_PERIOD: Duration = Duration::from_millis(100);

/// How often targets and expiries are looked at.
const TARGETS_PERIOD: Duration = Duration::from_millis(50);

/// The way of a message, in milliseconds.
const WAY_MS: Range<u64> = 1..10;

/// The way of a message that is late, in milliseconds.
const LATE_MS: Range<u64> = 50..600;

/// After the last fault, the time until every copy equals the store's rows.
const CONVERGENCE: Duration = RELIST_PERIOD.saturating_add(Duration::from_secs(3));

/// How the store answers one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// It refuses at once.
    Refuses,
    /// It answers nothing.
    Silent,
    /// Some answers are lost.
    Loses,
    /// Answers are out of date when they arrive, or come too late.
    Late,
}

/// The least pause of a host between two looks for targets whose grace is over.
const LEAST_EXPIRE_PAUSE: Duration = Duration::from_millis(20);

/// How the store is for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Rows expire meanwhile.
    Expiring,
    /// Rows expire at the return.
    Holding,
}

/// What lies between a host and all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Good,
    /// Half of the messages are lost.
    Lossy,
    Cut,
}

pub struct World {
    pub now: Instant,
    pub store: Store,
    pub targets: Targets,
    pub hosts: Vec<Option<Host>>,
    pub modes: [Mode; HOSTS],
    pub links: [Link; HOSTS],
    pub outage: Option<Outage>,
    /// When the store came back to all.
    returned: Option<Instant>,
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
            returned: None,
            oracle: Oracle::default(),
            queue: Queue::default(),
            rng: SmallRng::seed_from_u64(seed),
            count: 0,
        };

        world.queue.put(world.now, TARGETS_PERIOD, Event::Targets);
        (0..HOSTS).for_each(|host| world.start(host));
        world
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;

        while let Some((at, event)) = self.queue.next(end) {
            self.pass_to(at);
            self.handle(event);
        }
        self.pass_to(end);
    }

    pub fn step(&mut self, target: usize, step: Step) {
        match (self.outage, step) {
            (Some(_), Step::Crash) => self.targets.crash(target),
            (Some(_), _) => {}
            (None, step) => self.targets.step(self.now, &mut self.store, target, step),
        }
    }

    /// Starts a host, anew if it runs.
    pub fn start(&mut self, host: usize) {
        let run = self.next_id();

        self.hosts[host] = Some(Host::new(run));
        self.put_within(0..50, Event::News(host, run));
        self.put_within(0..400, Event::Poll(host, run));
        self.put(POLL_PERIOD, Event::Expire(host, run));
        self.note_faults(Some(host));
    }

    pub fn kill(&mut self, host: usize) {
        self.hosts[host] = None;
        self.note_faults(None);
    }

    pub fn set_mode(&mut self, host: usize, mode: Mode) {
        self.modes[host] = mode;
        self.note_faults(None);
    }

    pub fn set_link(&mut self, host: usize, link: Link) {
        self.links[host] = link;
        self.note_faults(None);
    }

    /// Takes the store away from all, or lets it return.
    pub fn set_outage(&mut self, outage: Option<Outage>) {
        let returns = self.outage.is_some() && outage.is_none();
        if returns {
            self.returned = Some(self.now);
            self.targets.expire(self.now, &mut self.store);
            let delays: Vec<_> =
                (0..TARGETS).map(|_| self.millis(0..BACK_WITHIN.as_millis() as u64)).collect();
            self.targets.store_returns(self.now, |target| delays[target]);
        }

        self.outage = outage;
        self.note_faults(None);
    }

    /// Returns whether targets may not have written their rows yet since the store came back.
    pub fn has_just_returned(&self) -> bool {
        self.returned.is_some_and(|at| self.now.since(at) <= BACK_WITHIN)
    }

    /// Ends all faults and checks that the copies come to equal the store's rows.
    pub fn converge(&mut self) {
        for host in 0..HOSTS {
            self.set_mode(host, Mode::Up);
            self.set_link(host, Link::Good);
            if self.hosts[host].is_none() {
                self.start(host);
            }
        }
        self.set_outage(None);
        self.run(BACK_WITHIN + EXPIRY);

        self.run(CONVERGENCE);
        self.oracle_checks(|oracle, world| oracle.check_converged(world));
    }

    /// Returns whether messages between two hosts arrive.
    fn is_linked(&self, a: usize, b: usize) -> bool {
        self.links[a] != Link::Cut && self.links[b] != Link::Cut
    }

    fn pass_to(&mut self, at: Instant) {
        self.oracle_checks(|oracle, world| oracle.check_until(world, at));
        self.now = at;
    }

    fn note_faults(&mut self, started: Option<usize>) {
        self.oracle_checks(|oracle, world| oracle.note_faults(world, started));
    }

    fn oracle_checks(&mut self, check: impl FnOnce(&mut Oracle, &Self)) {
        let mut oracle = std::mem::take(&mut self.oracle);
        check(&mut oracle, self);
        self.oracle = oracle;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Targets => self.turn_targets(),
            Event::Poll(host, run) if self.is_run(host, run) => self.poll(host),
            Event::Hedge(host, round) => self.hedge(host, round),
            Event::News(host, run) if self.is_run(host, run) => self.tell_news(host, run),
            Event::Expire(host, run) if self.is_run(host, run) => self.expire(host, run),
            Event::Poll(..) | Event::News(..) | Event::Expire(..) => {}
            Event::StoreHandles(question) => self.store_handles(question),
            Event::StoreTells(question, answer) => self.store_tells(question, answer),
            Event::StoreSilent(question) => self.store_silent(&question),
            Event::PeerHandles(question) => self.peer_handles(question),
            Event::PeerTells(question, copy) => self.peer_tells(&question, copy),
            Event::PeerSilent(question) => self.peer_ended(&question),
        }
    }

    fn turn_targets(&mut self) {
        if self.outage.is_none() {
            self.targets.beat(self.now, &mut self.store);
        }
        if self.outage != Some(Outage::Holding) {
            self.targets.expire(self.now, &mut self.store);
        }
        self.put(TARGETS_PERIOD, Event::Targets);
    }

    fn tell_news(&mut self, host: usize, run: u64) {
        let Some(teller) = &self.hosts[host] else { return };
        let (store_answers, in_trouble) = (teller.store_answers(), teller.is_in_trouble());

        for other in (0..HOSTS).filter(|other| *other != host) {
            let arrives = self.is_linked(host, other) && !self.loses(host, other);
            if let Some(hearer) = self.hosts[other].as_mut().filter(|_| arrives) {
                hearer.hear(self.now, host, store_answers, in_trouble);
            }
        }
        self.put(NEWS_PERIOD, Event::News(host, run));
    }

    fn poll(&mut self, host: usize) {
        let now = self.now;
        let round = self.next_id();
        let Some(asker) = &mut self.hosts[host] else { return };
        asker.round = round;
        let op = asker.begin_round(now);

        self.put(HEDGE_DELAY, Event::Hedge(host, round));
        self.ask_store(host, op);
    }

    fn ask_store(&mut self, host: usize, op: Op) {
        let id = self.next_id();
        let Some(asker) = &mut self.hosts[host] else { return };
        asker.waiting = Some(id);
        let question = Question { host, id, asked_at: self.now, op };

        if self.modes[host] == Mode::Refuses && self.links[host] != Link::Cut {
            self.put_within(WAY_MS, Event::StoreSilent(question.clone()));
        }
        self.put(PATIENCE, Event::StoreSilent(question.clone()));
        self.put_within(WAY_MS, Event::StoreHandles(question));
    }

    fn store_handles(&mut self, question: Question) {
        let host = question.host;
        let is_reached = self.outage.is_none() && self.links[host] != Link::Cut;
        let is_answered = match self.modes[host] {
            Mode::Refuses | Mode::Silent => false,
            Mode::Loses => self.chance(),
            Mode::Up | Mode::Late => true,
        };
        if !is_reached || !is_answered || self.loses(host, host) {
            return;
        }

        let way = if self.modes[host] == Mode::Late { LATE_MS } else { WAY_MS };
        let answer = self.store.run(&question.op);
        self.put_within(way, Event::StoreTells(question, answer));
    }

    fn store_tells(&mut self, question: Question, answer: Answer) {
        let (now, host) = (self.now, question.host);
        let is_cut = self.links[host] == Link::Cut;
        let Some(asker) = self.waiting(&question).filter(|_| !is_cut) else { return };

        match asker.take_answer(now, question.asked_at, &question.op, answer) {
            Next::Ask(op) => self.ask_store(host, op),
            Next::EndRound => self.store_round_over(host, true),
        }
        self.check_host(host);
    }

    fn store_silent(&mut self, question: &Question) {
        let now = self.now;
        let Some(asker) = self.waiting(question) else { return };

        asker.take_silence(now);
        self.store_round_over(question.host, false);
    }

    /// Returns the asking host if it still waits for the answer.
    fn waiting(&mut self, question: &Question) -> Option<&mut Host> {
        let host = self.hosts[question.host].as_mut()?;

        (host.waiting == Some(question.id)).then_some(host)
    }

    fn store_round_over(&mut self, host: usize, answered: bool) {
        let now = self.now;
        let Some(asker) = &mut self.hosts[host] else { return };
        (asker.waiting, asker.asking, asker.round) = (None, None, 0);

        if answered && !asker.expects_lapses(now) || !self.ask_peer(host, Then::EndRound(answered))
        {
            self.end_round(host, answered);
        }
    }

    fn hedge(&mut self, host: usize, round: u64) {
        let is_current = self.hosts[host].as_ref().is_some_and(|asker| asker.round == round);

        if is_current && !self.ask_peer(host, Then::WaitOn(round)) {
            self.put(POLL_PERIOD, Event::Hedge(host, round));
        }
    }

    /// Returns whether there is a host to ask.
    fn ask_peer(&mut self, from: usize, then: Then) -> bool {
        let (now, id) = (self.now, self.next_id());
        let Some(asker) = &mut self.hosts[from] else { return false };
        let peers = asker.peers(now);
        let Some(to) = peers.choose(&mut self.rng).copied() else { return false };
        asker.asking = Some(id);
        let has = asker.table.as_of().unwrap_or_default();
        let question = PeerQuestion { from, to, id, asked_at: now, has, then };

        self.put(PEER_TIMEOUT, Event::PeerSilent(question.clone()));
        self.put_within(WAY_MS, Event::PeerHandles(question));
        true
    }

    fn peer_handles(&mut self, question: PeerQuestion) {
        let (from, to) = (question.from, question.to);
        if !self.is_linked(from, to) || self.loses(from, to) {
            return;
        }
        let Some(asked) = &self.hosts[to] else { return };
        let copy = asked.table.copy_for(self.now, question.has);

        self.put_within(WAY_MS, Event::PeerTells(question, copy));
    }

    fn peer_tells(&mut self, question: &PeerQuestion, copy: Option<TableCopy>) {
        let (now, from) = (self.now, question.from);
        let is_linked = self.is_linked(from, question.to);
        let asker = self.hosts[from].as_mut().filter(|_| is_linked);
        let Some(asker) = asker.filter(|asker| asker.asking == Some(question.id)) else { return };

        if let Some(copy) = copy {
            let effects = asker.table.apply_peer_copy(now, question.asked_at, copy);
            asker.carry_out(effects);
        }
        self.peer_ended(question);
        self.check_host(from);
    }

    fn peer_ended(&mut self, question: &PeerQuestion) {
        let from = question.from;
        let Some(asker) = &mut self.hosts[from] else { return };
        if asker.asking != Some(question.id) {
            return;
        }

        asker.asking = None;
        match question.then {
            Then::WaitOn(round) => self.put(POLL_PERIOD, Event::Hedge(from, round)),
            Then::EndRound(answered) => self.end_round(from, answered),
        }
    }

    fn expire(&mut self, host: usize, run: u64) {
        let now = self.now;
        let Some(expiring) = &mut self.hosts[host] else { return };
        let ended = expiring.table.expire(now);
        expiring.carry_out(ended);
        let until_next = expiring.table.next_grace_end().map_or(POLL_PERIOD, |end| end.since(now));

        self.put(until_next.clamp(LEAST_EXPIRE_PAUSE, POLL_PERIOD), Event::Expire(host, run));
    }

    fn end_round(&mut self, host: usize, answered: bool) {
        let Some(asker) = &mut self.hosts[host] else { return };
        let run = asker.run;

        self.put(if answered { POLL_PERIOD } else { FAILED_PAUSE }, Event::Poll(host, run));
    }

    fn check_host(&mut self, host: usize) {
        self.oracle_checks(|oracle, world| oracle.check_never_back(world, host));
    }

    fn is_run(&self, host: usize, run: u64) -> bool {
        self.hosts[host].as_ref().is_some_and(|host| host.run == run)
    }

    /// Returns whether a lossy link takes a message.
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
