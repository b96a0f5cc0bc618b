//! A simulated host: its memory, the status updates that it receives, and its access to the store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::hash::{Map, Set, rendezvous_order};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::budgets::{Budgets, ProgramKey, RunId};
use camphorwalk_policy::entry::grant_leases::{
    self, Claim, GrantLeases, Holder, HolderState, HostSeen, LeaseRow, Partition, PartitionSet,
};
use camphorwalk_policy::entry::host_rows::{HostRows, Presence};
use camphorwalk_policy::entry::isolation::{self, Contact, Surroundings};
use camphorwalk_policy::entry::outage::StoreHealth;

use crate::asks::{self, Query, QueryReply, Status};
use crate::budget::{self, TurnAnswer};
use crate::grants;
use crate::oracle;
use crate::sim::{Lock, Locked, join_all};
use crate::store::{self, Op, StoreReply};
use crate::world::{HOSTS, LEASES, MAX_TOKENS, Program, RETENTION, World, ZONES, partition_of};

const STATUS_PERIOD: Duration = Duration::from_millis(100);
const LIVE_FOR: Duration = Duration::from_millis(700);
const SETTLED_AFTER: Duration = Duration::from_secs(3);
const SLOW_REPORT_TIME: Duration = Duration::from_millis(500);
const FAILURE_REPORT_TIME: Duration = Duration::from_secs(1);
const LONG_SILENCE: Duration = Duration::from_millis(300);
const RELAY_DEADLINE: Duration = Duration::from_millis(600);
const CLAIM_PERIOD: Duration = Duration::from_millis(250);
const RUNNING_WITHIN: Duration = Duration::from_secs(10);
const PROBE_PERIOD: Duration = Duration::from_millis(500);
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(5);
const WRITE_BACK_PERIOD: Duration = Duration::from_millis(500);
const SWEEP_PERIOD: Duration = Duration::from_secs(5);
const SWEEP_MARGIN: Duration = Duration::from_secs(30);

/// The latest status update from another host.
#[derive(Clone, Copy)]
struct ReceivedStatus {
    at: Instant,
    run: RunId,
    store_answers: bool,
    leases: PartitionSet,
}

pub struct Host {
    pub name: usize,
    pub run: RunId,
    /// Whether the whole fleet started for the first time together with this host.
    is_first_start: bool,
    began: Instant,
    pub leases: RefCell<GrantLeases>,
    pub budgets: RefCell<Budgets>,
    pub health: RefCell<StoreHealth>,
    /// Whether the host has read who the others are. Until then it exchanges no messages with them.
    joined: Cell<bool>,
    /// The rows of the other hosts as last read, and which of these hosts do not count as gone.
    rows: RefCell<HostRows>,
    known: RefCell<Set<usize>>,
    seen: RefCell<Map<usize, HostSeen>>,
    heartbeat_at: Cell<Option<Instant>>,
    received: RefCell<Map<usize, ReceivedStatus>>,
    trouble_at: Cell<Option<Instant>>,
    slow_at: Cell<Option<Instant>>,
    locks: RefCell<Map<ProgramKey, Rc<Lock>>>,
}

/// A host together with its world.
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
            leases: RefCell::new(GrantLeases::new(
                Holder { host: host_name(name), run },
                is_first_start,
            )),
            budgets: RefCell::new(Budgets::new(run)),
            health: RefCell::default(),
            joined: Cell::new(false),
            rows: RefCell::default(),
            known: RefCell::new((0..HOSTS).filter(|other| *other != name).collect()),
            seen: RefCell::default(),
            heartbeat_at: Cell::new(None),
            received: RefCell::default(),
            trouble_at: Cell::new(None),
            slow_at: Cell::new(None),
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

    fn live_hosts(&self) -> Vec<(usize, ReceivedStatus)> {
        let now = self.now();
        let received = self.host.received.borrow();
        let live_hosts = received.iter().filter(|(_, received)| now.since(received.at) < LIVE_FOR);

        let mut live_hosts: Vec<_> =
            live_hosts.map(|(host, received)| (*host, *received)).collect();
        live_hosts.sort_unstable_by_key(|(host, _)| *host);
        live_hosts
    }

    pub fn is_live(&self, host: usize) -> bool {
        self.live_hosts().iter().any(|(live, _)| *live == host)
    }

    pub fn host_of_run(&self, run: RunId) -> Option<usize> {
        self.live_hosts()
            .into_iter()
            .find(|(_, received)| received.run == run)
            .map(|(host, _)| host)
    }

    /// Returns whether a run is the last known one of another host.
    pub fn may_run(&self, run: RunId) -> bool {
        self.host.seen.borrow().values().any(|seen| seen.run == run)
    }

    pub fn is_run_live(&self, run: RunId) -> bool {
        run == self.host.run || self.host_of_run(run).is_some()
    }

    /// Writes this host's row and reads those of the others, if it is time to do so.
    fn heartbeat(&self) {
        let now = self.now();
        let last = self.host.heartbeat_at.get();
        if last.is_some_and(|at| now.since(at) < HEARTBEAT_PERIOD) {
            return;
        }
        self.host.heartbeat_at.set(Some(now));
        self.world.write_host_row(self.host.name, self.host.run);
        self.host.leases.borrow_mut().record_heartbeat(now, now);

        self.read_host_rows(last.is_some());
    }

    /// Reads the rows of the other hosts outside of the heartbeat, if the store answers.
    pub async fn refresh_host_rows(&self) {
        if let StoreReply::Row(_) = self.run_store_op(Op::Probe).await {
            self.read_host_rows(false);
        }
    }

    /// Reads the rows of the other hosts. `is_period_over` tells whether each of them has had time
    /// to write its row again since the last heartbeat.
    fn read_host_rows(&self, is_period_over: bool) {
        let now = self.now();
        let mut known = self.host.known.borrow_mut();

        for other in (0..HOSTS).filter(|other| *other != self.host.name) {
            let (version, run) = self.world.host_rows.get()[other];
            let version = RowVersion(version);
            let is_due = is_period_over && !self.is_live(other);
            let host = HostId(other as u64);
            let presence = self.host.rows.borrow_mut().record_read(host, version, is_due);
            let before = self.host.seen.borrow().get(&other).copied();
            let seen = HostSeen::after_read(before, run, version, now, now);
            self.host.seen.borrow_mut().insert(other, seen);
            match presence {
                Presence::Updated => drop(known.insert(other)),
                Presence::Silent => {}
                Presence::Gone => drop(known.remove(&other)),
            }
        }
    }

    /// Returns the host that holds the lease of a program, if it is live.
    pub fn lease_holder(&self, program: ProgramKey) -> Option<usize> {
        let partition = partition_of(program);
        if self.host.leases.borrow().reported().contains(partition) {
            return Some(self.host.name);
        }

        self.live_lease_holder(partition)
    }

    fn live_lease_holder(&self, partition: Partition) -> Option<usize> {
        let live = self.live_hosts();
        let holder = live.iter().find(|(_, received)| received.leases.contains(partition));

        holder.map(|(host, _)| *host)
    }

    /// Returns whether this host may grant tokens of a program without the store.
    pub fn may_grant(&self, program: ProgramKey) -> bool {
        self.host.leases.borrow().may_grant(self.now(), partition_of(program))
    }

    fn holder_state(&self, holder: &Holder, read_at: Instant) -> HolderState {
        let host = (0..HOSTS).find(|name| host_name(*name) == holder.host);
        let seen = host.and_then(|host| self.host.seen.borrow().get(&host).copied());

        grant_leases::holder_state(holder, read_at, seen)
    }

    pub fn is_isolated(&self) -> bool {
        let contact = |which: &dyn Fn(usize) -> bool| match self.host.has_joined() {
            false => Contact::NoneKnown,
            true if self.live_hosts().iter().any(|(host, _)| which(*host)) => Contact::Heard,
            true => Contact::Silent,
        };
        let store_answers_fully = self.store_answers_fully();
        let own = ZONES[self.host.name];

        !store_answers_fully
            && isolation::is_isolated(Surroundings {
                store_in_reach: store_answers_fully || self.peer_with_store().is_some(),
                other_zones: contact(&|host| ZONES[host] != own),
                others: contact(&|_| true),
            })
    }

    /// Returns the live hosts and this one, in the order in which they grant a program's tokens
    /// while the store is unsettled: the holder of the lease first.
    pub fn order(&self, program: ProgramKey) -> Vec<usize> {
        let hosts = self.live_hosts().into_iter().map(|(host, _)| host).chain([self.host.name]);
        let order = rendezvous_order(program.0, hosts.map(|host| host as u64));
        let holder = self.lease_holder(program);
        let others = order.into_iter().map(|host| host as usize);

        holder.into_iter().chain(others.filter(|host| Some(*host) != holder)).collect()
    }

    fn is_first_to_claim(&self, partition: Partition) -> bool {
        let hosts = self.live_hosts().into_iter().map(|(host, _)| host).chain([self.host.name]);
        let order = rendezvous_order(u64::from(partition.0), hosts.map(|host| host as u64));

        order.first() == Some(&(self.host.name as u64))
    }

    pub fn next_granters(&self, program: ProgramKey) -> impl Iterator<Item = usize> {
        let own = self.host.name;

        self.order(program).into_iter().filter(move |host| *host != own)
    }

    pub fn other_zone_hosts(&self, program: ProgramKey) -> Vec<usize> {
        let own = ZONES[self.host.name];

        self.order(program).into_iter().filter(|host| ZONES[*host] != own).collect()
    }

    pub fn store_answers_fully(&self) -> bool {
        let health = self.host.health.borrow();

        health.answers() && !health.any_part_unavailable()
    }

    fn peer_with_store(&self) -> Option<usize> {
        self.live_hosts()
            .into_iter()
            .find(|(_, received)| received.store_answers)
            .map(|(host, _)| host)
    }

    pub fn is_settled(&self) -> bool {
        let trouble_at = self.host.trouble_at.get();

        self.would_know_of_trouble()
            && trouble_at.is_none_or(|at| self.now().since(at) > SETTLED_AFTER)
    }

    fn would_know_of_trouble(&self) -> bool {
        self.host.is_first_start || self.now().since(self.host.began) > SETTLED_AFTER
    }

    pub fn record_slow(&self) {
        self.host.slow_at.set(Some(self.now()));
        self.host.trouble_at.set(Some(self.now()));
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

    /// Runs a store operation for a turn, through another host if the store is considered
    /// unavailable.
    pub async fn run_store_op(&self, op: Op) -> StoreReply {
        let is_skipped = {
            let mut health = self.host.health.borrow_mut();
            health.is_unavailable(op.part()) && !health.start_retry_if_due(self.now(), op.part())
        };

        match is_skipped {
            true => self.relay(op).await,
            false => self.probe(op).await,
        }
    }

    pub async fn probe(&self, op: Op) -> StoreReply {
        match self.run_direct(op.clone()).await {
            StoreReply::Unavailable => self.relay(op).await,
            reply => reply,
        }
    }

    pub async fn run_direct(&self, op: Op) -> StoreReply {
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
        if health.any_part_failed_within(now, FAILURE_REPORT_TIME) {
            self.host.trouble_at.set(Some(now));
        }
        reply
    }

    async fn relay(&self, op: Op) -> StoreReply {
        let Some(peer) = self.peer_with_store() else { return StoreReply::Unavailable };

        match asks::query(self, peer, Query::Store(op), RELAY_DEADLINE).await {
            Some(QueryReply::Store(reply)) => reply,
            Some(_) => StoreReply::Unavailable,
            None => StoreReply::Unknown,
        }
    }

    pub fn answers_store(&self) -> bool {
        self.host.health.borrow().answers()
    }

    pub fn apply_status(&self, from: usize, status: Status) {
        let Status { run, store_answers, in_trouble, leases } = status;
        let received = ReceivedStatus { at: self.now(), run, store_answers, leases };

        self.host.received.borrow_mut().insert(from, received);
        if in_trouble {
            self.host.trouble_at.set(Some(self.now()));
        }
    }

    fn status(&self) -> Status {
        let is_slow =
            self.host.slow_at.get().is_some_and(|at| self.now().since(at) < SLOW_REPORT_TIME);
        let any_unavailable =
            self.host.health.borrow().any_part_failed_within(self.now(), FAILURE_REPORT_TIME);

        Status {
            run: self.host.run,
            store_answers: self.answers_store(),
            in_trouble: is_slow || any_unavailable,
            leases: self.host.leases.borrow().reported(),
        }
    }
}

/// Returns the name under which a host writes its rows.
fn host_name(host: usize) -> Box<str> {
    format!("h{host}").into()
}

/// Starts the background tasks of a host.
pub fn start(world: &Rc<World>, host: &Rc<Host>) {
    let shared = Shared { world: Rc::clone(world), host: Rc::clone(host) };

    shared.spawn(probe_store(shared.clone()));
    shared.spawn(send_status(shared.clone()));
    shared.spawn(write_back(shared.clone()));
    shared.spawn(claim_leases(shared.clone()));
    shared.spawn(sweep(shared.clone()));
}

/// Runs a turn of a program.
pub fn turn(world: &Rc<World>, host: &Rc<Host>, program: Program, used: u64, time: Duration) {
    let shared = Shared { world: Rc::clone(world), host: Rc::clone(host) };

    shared.clone().spawn(async move {
        let key = program.key;
        if let TurnAnswer::Tokens = budget::reserve(&shared, &program).await {
            shared.world.record_turn_start(key, &shared.host, used);
            oracle::check_turn(&shared.world, key, &shared.host);
            shared.world.sim.sleep(time).await;
            shared.host.budgets.borrow_mut().settle(key, MAX_TOKENS, used);
            shared.world.record_turn_end(key, &shared.host, used);
        }
    });
}

/// Requests the tokens of a turn that then generates none. The answer is filled in later.
pub fn request_turn(
    world: &Rc<World>,
    host: &Rc<Host>,
    program: Program,
) -> Rc<Cell<Option<TurnAnswer>>> {
    let shared = Shared { world: Rc::clone(world), host: Rc::clone(host) };
    let answer = Rc::new(Cell::new(None));
    let answered = Rc::clone(&answer);

    shared.clone().spawn(async move {
        let answer = budget::reserve(&shared, &program).await;
        if answer == TurnAnswer::Tokens {
            shared.host.budgets.borrow_mut().settle(program.key, MAX_TOKENS, 0);
        }
        answered.set(Some(answer));
    });
    answer
}

async fn probe_store(shared: Shared) {
    loop {
        if let StoreReply::Row(_) = shared.probe(Op::Probe).await {
            shared.host.joined.set(true);
            shared.heartbeat();
        }
        shared.world.sim.sleep(PROBE_PERIOD).await;
    }
}

async fn send_status(shared: Shared) {
    loop {
        shared.world.sim.sleep(STATUS_PERIOD).await;
        for other in (0..HOSTS).filter(|other| *other != shared.host.name) {
            asks::send_status(&shared, other, shared.status());
        }
    }
}

async fn write_back(shared: Shared) {
    loop {
        grants::write_unstored(&shared).await;
        shared.world.sim.sleep(WRITE_BACK_PERIOD).await;
    }
}

/// Acquires vacant leases, and reads the rows of those acquired.
async fn claim_leases(shared: Shared) {
    loop {
        shared.world.sim.sleep(CLAIM_PERIOD).await;
        let all = || (0..LEASES).map(Partition);
        let claims = shared.host.leases.borrow_mut().claims(
            shared.now(),
            all(),
            |partition| shared.live_lease_holder(partition).is_some(),
            |partition| shared.is_first_to_claim(partition),
            |holder, at| shared.holder_state(holder, at),
        );
        let any_read = claims.iter().any(|(_, claim)| *claim == Claim::Read);
        join_all(claims.into_iter().map(|(p, claim)| carry_out(&shared, p, claim))).await;
        if any_read {
            shared.refresh_host_rows().await;
        }

        let due = shared.host.leases.borrow().partitions_to_read(shared.now());
        join_all(due.into_iter().map(|partition| read_partition(&shared, partition))).await;
    }
}

async fn carry_out(shared: &Shared, partition: Partition, claim: Claim) {
    let (row, version, succession) = match claim {
        Claim::Write(row, version, succession) => (row, version, succession),
        Claim::Read => {
            let began = shared.now();
            let reply = shared.run_store_op(Op::ReadLease(partition)).await;
            let StoreReply::Lease(row) = reply else { return };
            let claim = shared.host.leases.borrow_mut().record_row(
                began,
                shared.now(),
                partition,
                row,
                |holder, at| shared.holder_state(holder, at),
            );
            let Some(Claim::Write(row, version, succession)) = claim else { return };
            (row, version, succession)
        }
    };

    let reply = shared.run_store_op(Op::CommitLease(partition, row, version)).await;
    let mut leases = shared.host.leases.borrow_mut();
    match reply {
        StoreReply::Committed(version) => {
            let quarantine = grant_leases::quarantine_time(RETENTION);
            leases.record_acquired(shared.now(), partition, version, succession, quarantine);
        }
        StoreReply::LeaseConflict => leases.record_conflict(partition),
        _ => {}
    }
}

async fn read_partition(shared: &Shared, partition: Partition) {
    let began = shared.now();
    let reply = shared.run_store_op(Op::ReadPartition(partition)).await;
    let StoreReply::Rows(rows) = reply else { return };

    if let Some(succession) = shared.host.leases.borrow_mut().record_read(began, partition) {
        shared.host.budgets.borrow_mut().merge_partition_rows(shared.now(), rows, succession);
    }
}

/// Begins the shutdown of a host, which releases its leases.
pub fn shut_down(world: &Rc<World>, host: &Rc<Host>) {
    let shared = Shared { world: Rc::clone(world), host: Rc::clone(host) };

    shared.spawn(release_leases(shared.clone()));
}

async fn release_leases(shared: Shared) {
    let released = shared.host.leases.borrow_mut().give_up_all(|partition| {
        let budgets = shared.host.budgets.borrow();
        budgets.is_partition_settled(|program| partition_of(program) == partition)
    });
    let release = |(partition, version)| {
        shared.run_store_op(Op::CommitLease(partition, LeaseRow { holder: None }, version))
    };
    join_all(released.into_iter().map(release)).await;

    let unused = shared.host.budgets.borrow_mut().return_all_unused(shared.now(), RUNNING_WITHIN);
    let writes = unused
        .into_iter()
        .map(|(program, row, version)| budget::write(&shared, program, row, version, None));
    join_all(writes).await;
}

/// Deletes rows of programs that may not return any more.
async fn sweep(shared: Shared) {
    loop {
        shared.world.sim.sleep(SWEEP_PERIOD).await;
        let idle_at = shared.now();
        let old = shared.host.budgets.borrow_mut().take_idle(idle_at, RETENTION + SWEEP_MARGIN);
        for (program, version) in old {
            budget::delete(&shared, program, version, idle_at).await;
        }
    }
}
