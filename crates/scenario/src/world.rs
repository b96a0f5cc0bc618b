//! Some hosts in virtual time, with fakes at their interfaces.

pub mod faults;
mod network;
mod platform;
mod targets;

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash as _, Hasher as _};
use std::time::Duration;

use camphorwalk_core::calls::{Code, Refusal, Reply, Request};
use camphorwalk_core::config::Config;
use camphorwalk_core::hash::Set;
use camphorwalk_core::ids::{HostId, KeyId, PartitionId, ProgramId, RequestId, TenantId};
use camphorwalk_core::platform::HostListing;
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::ConfigVersion;
use camphorwalk_policy::configs::OperatorRequestId;
use camphorwalk_policy::scheduler::{
    Action, Event, OperatorRequest, Scheduler, SchedulerOptions, SchedulerTimes,
};
use camphorwalk_policy::shared_types::Dispatch;

use crate::record::{Record, Submission};
use faults::Trap;
use network::Network;
use platform::Platform;
use targets::Targets;

/// The shortest sleep of a host that has nothing to do.
const SHORTEST_SLEEP: Duration = Duration::from_millis(1);

/// How a host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It runs.
    Up,
    /// Its process is stopped; its clock goes on.
    Paused,
    /// It is gone.
    Down,
}

/// A host and what the world keeps for it.
struct Host {
    name: Box<str>,
    zone: Box<str>,
    id: HostId,
    state: State,
    scheduler: Scheduler,
    session: u64,
    wake: Instant,
    /// When the process was last stopped.
    stopped_at: Instant,
    /// What waits in sockets while the process is stopped.
    inbox: VecDeque<Event>,
    /// What the process was about to do when it was stopped.
    undone: VecDeque<Action>,
    /// Keys that the traffic side knows as good and as withdrawn.
    good_keys: Set<KeyId>,
    withdrawn: Set<KeyId>,
    /// Whether all is handed back.
    left: bool,
}

/// What happens at a time.
#[derive(Debug)]
enum Item {
    /// An event reaches a host; dropped if the session is another by then.
    Event { host: usize, session: u64, event: Box<Event> },
    /// A stopped host goes on.
    Resume { host: usize, session: u64 },
    /// A connection between two hosts breaks.
    Break { pair: (usize, usize), cut: u64 },
    /// An operation reaches the platform.
    Platform(platform::Arrival),
    /// An attempt reaches a target.
    Arrive { host: usize, session: u64, dispatch: Box<Dispatch> },
    /// An attempt ends at a target.
    End { target: usize, number: u64 },
}

/// Some hosts in virtual time.
pub struct World {
    /// What was seen so far.
    pub record: Record,
    now: Instant,
    hosts: Vec<Host>,
    by_id: BTreeMap<HostId, usize>,
    agenda: BTreeMap<(Instant, u64), Item>,
    network: Network,
    platform: Platform,
    targets: Targets,
    traps: Vec<Trap>,
    next_number: u64,
    next_session: u64,
    trace: DefaultHasher,
}

impl World {
    /// Starts hosts, given as name and zone, which share a configuration.
    pub fn start(hosts: &[(Box<str>, Box<str>)], config: &Config) -> Self {
        let mut world = Self {
            record: Record::default(),
            now: Instant::from_millis(1),
            hosts: Vec::new(),
            by_id: BTreeMap::new(),
            agenda: BTreeMap::new(),
            network: Network::new(hosts.iter().map(|(_, zone)| zone.clone()).collect()),
            platform: Platform::default(),
            targets: Targets::new(config),
            traps: Vec::new(),
            next_number: 0,
            next_session: 0,
            trace: DefaultHasher::new(),
        };

        for (index, (name, zone)) in hosts.iter().enumerate() {
            world.next_session += 1 << 32;
            let session = world.next_session;
            let host = Host {
                name: name.clone(),
                zone: zone.clone(),
                id: HostId::from_name(name),
                state: State::Up,
                scheduler: scheduler(index, name, zone, session),
                session,
                wake: Instant::default(),
                stopped_at: Instant::default(),
                inbox: VecDeque::new(),
                undone: VecDeque::new(),
                good_keys: Set::default(),
                withdrawn: Set::default(),
                left: false,
            };
            world.by_id.insert(host.id, index);
            world.hosts.push(host);
        }
        for host in 0..hosts.len() {
            world.record.started.push((world.now, host, world.hosts[host].session));
            world.tell_hosts(host);
        }
        world.publish(0, 0, config.clone());

        world
    }

    /// Returns the time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Returns a digest of all that happened so far.
    pub fn trace(&self) -> u64 {
        self.trace.finish()
    }

    /// Returns the number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether there are no hosts.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns the name of a host.
    pub fn name(&self, host: usize) -> &str {
        &self.hosts[host].name
    }

    /// Returns the host with this name.
    pub fn host(&self, name: &str) -> Option<usize> {
        self.hosts.iter().position(|host| &*host.name == name)
    }

    /// Returns how a host is.
    pub fn state(&self, host: usize) -> State {
        self.hosts[host].state
    }

    /// Returns the hosts of a zone.
    pub fn zone(&self, zone: &str) -> BTreeSet<usize> {
        (0..self.hosts.len()).filter(|host| &*self.hosts[*host].zone == zone).collect()
    }

    /// Returns whether a host runs, serves, and is not leaving.
    pub fn is_ready(&self, host: usize) -> bool {
        self.hosts[host].state == State::Up && self.hosts[host].scheduler.is_ready()
    }

    /// Returns the configuration version in force at a host.
    pub fn version(&self, host: usize) -> u64 {
        let state = self.hosts[host].scheduler.state();

        state.config.as_ref().map_or(0, |config| config.version.0)
    }

    /// Returns the running host that holds a program's partition and was heard of last.
    pub fn home(&self, program: ProgramId) -> Option<usize> {
        let holds = |host: &&(usize, &Host)| {
            let state = host.1.scheduler.state();
            let partition: PartitionId = program.partition(state.partitions());
            host.1.state != State::Down && state.held_partitions.contains(&partition)
        };
        let hosts: Vec<_> = self.hosts.iter().enumerate().collect();

        // After a pause two may think so: the one whose lease lasts longer is right.
        hosts
            .iter()
            .filter(holds)
            .max_by_key(|(_, host)| host.scheduler.state().leases_valid_until)
            .map(|(index, _)| *index)
    }

    /// Lets time pass until `end`, or until something was answered to a caller.
    ///
    /// Returns whether `end` is reached.
    pub fn run_until(&mut self, end: Instant) -> bool {
        let answers = self.network.answers;

        while self.network.answers == answers {
            let wake = self.hosts.iter().filter(|host| host.state == State::Up);
            let wake = wake.map(|host| host.wake).min().unwrap_or(end + SHORTEST_SLEEP);
            let item = self.agenda.first_key_value().map(|((at, _), _)| *at);
            let next = item.map_or(wake, |at| at.min(wake)).max(self.now);

            if next > end {
                self.now = end;
                return true;
            }
            self.now = next;
            if item.is_some_and(|at| at <= next) {
                let (_, item) = self.agenda.pop_first().expect("it was looked at");
                self.happen(item);
            } else {
                let due = |host: &Host| host.state == State::Up && host.wake <= next;
                let host = self.hosts.iter().position(due).expect("one is due");
                self.step(host, Event::Wake);
            }
        }

        false
    }

    /// Sends a caller's request to a host and returns its number.
    pub fn request(
        &mut self,
        host: usize,
        tenant: &str,
        key: &str,
        request: Request,
        deadline: Duration,
    ) -> u64 {
        let number = self.number();
        let key = KeyId::from_name(key);
        let submission = Submission {
            host,
            at: self.now,
            key,
            request: request.clone(),
            deadline: self.now + deadline,
            answers: Vec::new(),
            cut: self.hosts[host].state == State::Down,
        };
        self.record.submissions.insert(number, submission);

        let tenant = TenantId::from_name(tenant);
        let event = Event::Request { request: RequestId(number), tenant, key, body: request };
        self.deliver(host, event);

        number
    }

    /// The caller of a request goes away.
    pub fn leave(&mut self, number: u64) {
        let Some(submission) = self.record.submissions.get_mut(&number) else {
            return;
        };
        if submission.answers.is_empty() {
            submission.cut = true;
            let host = submission.host;
            self.deliver(host, Event::CallerGone(RequestId(number)));
        }
    }

    /// An operator publishes a configuration that was made from version `base`.
    pub fn publish(&mut self, host: usize, base: u64, config: Config) -> u64 {
        let request =
            OperatorRequest::Publish { base: ConfigVersion(base), config: Box::new(config) };

        self.operate(host, request)
    }

    /// An operator asks something of a host.
    pub fn operate(&mut self, host: usize, request: OperatorRequest) -> u64 {
        let ask = self.number();
        if let OperatorRequest::Withdraw { key } = &request {
            self.record.withdrawn.push((self.now, host, KeyId::from_name(key)));
        }
        self.deliver(host, Event::Operator { request_id: OperatorRequestId(ask), request });

        ask
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn add(&mut self, at: Instant, item: Item) {
        let number = self.number();
        self.agenda.insert((at, number), item);
    }

    fn add_event(&mut self, at: Instant, host: usize, event: Event) {
        let session = self.hosts[host].session;
        self.add(at, Item::Event { host, session, event: Box::new(event) });
    }

    fn happen(&mut self, item: Item) {
        match item {
            Item::Event { host, session, event } => {
                if self.hosts[host].session == session {
                    self.deliver(host, *event);
                }
            }
            Item::Resume { host, session } => {
                if self.hosts[host].session == session {
                    self.resume(host);
                }
            }
            Item::Break { pair, cut } => self.break_connection(pair, cut),
            Item::Platform(arrival) => self.on_platform(arrival),
            Item::Arrive { host, session, dispatch } => self.on_arrival(host, session, &dispatch),
            Item::End { target, number } => self.on_end(target, number),
        }
    }

    /// Hands an event to a host; a stopped one finds it later.
    fn deliver(&mut self, host: usize, event: Event) {
        match self.hosts[host].state {
            State::Up => self.step(host, event),
            State::Paused => self.hosts[host].inbox.push_back(event),
            State::Down => {}
        }
    }

    fn step(&mut self, host: usize, event: Event) {
        if let Event::Request { request, key, .. } = &event
            && !self.key_stands(host, *key)
        {
            let refusal = Refusal::not_run(Code::Unauthorized, "the key is not accepted");
            return self.answered(*request, Reply::Refused(refusal));
        }

        let mut actions = Vec::new();
        let state = &mut self.hosts[host];
        state.scheduler.step(self.now, event, &mut actions);
        state.wake = state.scheduler.wake_at().max(self.now + SHORTEST_SLEEP);
        self.record.steps += 1;
        (self.now.0, host, actions.len()).hash(&mut self.trace);

        self.carry_out_all(host, actions.into());
        self.let_go(host);
    }

    /// Carries out actions until one of them runs into a trap that stops the host.
    fn carry_out_all(&mut self, host: usize, mut actions: VecDeque<Action>) {
        while let Some(action) = actions.pop_front() {
            if self.spring(host, &action, false) {
                actions.push_front(action);
                break;
            }
            let after = self.trap_for(host, &action, true);
            self.carry_out(host, action);
            if let Some(trap) = after {
                self.spring_trap(host, trap);
                break;
            }
        }

        if self.hosts[host].state == State::Paused {
            self.hosts[host].undone.extend(actions);
        }
    }

    fn carry_out(&mut self, host: usize, action: Action) {
        match action {
            Action::Answer { request, reply } => self.answered(request, *reply),
            Action::Send { to, message } => self.send(host, to, message),
            Action::Platform { op, request } => self.ask_platform(host, op, request),
            Action::Dispatch(dispatch) => self.dispatch(host, dispatch),
            Action::Cancel(attempt) => self.cancel(attempt),
            Action::Adopted(config) => {
                let keys = config.tenants.iter().flat_map(|t| &t.keys);
                let state = &mut self.hosts[host];
                state.good_keys = keys.map(|key| KeyId::from_name(&key.id)).collect();
                let entry = (self.now, host, state.session, config.version.0);
                self.record.adopted.push(entry);
            }
            Action::KeyWithdrawn(key) => {
                self.hosts[host].withdrawn.insert(key);
                self.record.heard_withdrawn.push((self.now, host, key));
            }
            Action::OperatorAnswer { request_id, reply } => {
                self.record.operators.insert(request_id.0, *reply);
            }
            Action::ShutdownReady => self.hosts[host].left = true,
            Action::SetPeerAddress { .. }
            | Action::FreeProgram(_)
            | Action::FreeProgramAt { .. }
            | Action::WatchEngines(_) => {}
        }
    }

    fn answered(&mut self, request: RequestId, reply: Reply) {
        self.network.answers += 1;
        format!("{reply:?}").hash(&mut self.trace);
        if let Some(submission) = self.record.submissions.get_mut(&request.0) {
            submission.answers.push((self.now, reply));
        }
    }

    fn key_stands(&self, host: usize, key: KeyId) -> bool {
        let host = &self.hosts[host];

        !host.withdrawn.contains(&key) && (host.good_keys.contains(&key) || host.left)
    }

    /// Ends the process of a host that has handed all back and has no open request.
    fn let_go(&mut self, host: usize) {
        let open = |s: &Submission| s.host == host && s.answers.is_empty() && !s.cut;
        if self.hosts[host].left && !self.record.submissions.values().any(open) {
            self.kill(host);
        }
    }

    fn tell_hosts(&mut self, host: usize) {
        let listings = self.hosts.iter().enumerate().map(|(i, h)| listing(i, &h.name, &h.zone));
        let event = Event::HostList(listings.collect());
        self.add_event(self.now, host, event);
    }
}

fn listing(index: usize, name: &str, zone: &str) -> HostListing {
    let port = 10_000 + index as u16;

    HostListing {
        name: name.into(),
        zone: zone.into(),
        peer_address: (std::net::Ipv4Addr::LOCALHOST, port).into(),
        leaving: false,
    }
}

fn scheduler(index: usize, name: &str, zone: &str, session: u64) -> Scheduler {
    let listing = listing(index, name, zone);

    Scheduler::new(SchedulerOptions {
        host: listing.name,
        zone: listing.zone,
        peer_address: listing.peer_address,
        session,
        seal_key: [7; 32],
        times: SchedulerTimes::default(),
        read_config: |bytes| camphorwalk_declare::unbundle(bytes).map_err(|e| e.to_string().into()),
        write_config: camphorwalk_declare::bundle,
    })
}
