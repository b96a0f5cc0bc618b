//! Several hosts in virtual time, with simulated network, platform and targets.

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
use faults::FaultInjection;
use network::Network;
use platform::Platform;
use targets::Targets;

/// The minimum time between two wake-ups of a host, so that virtual time always advances.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// The state of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process runs.
    Up,
    /// The process is stopped, while its clock runs on.
    Paused,
    /// The process has ended.
    Down,
}

/// A host and its simulated environment.
struct Host {
    name: Box<str>,
    zone: Box<str>,
    id: HostId,
    state: ProcessState,
    scheduler: Scheduler,
    session: u64,
    wake_at: Instant,
    /// When the process was last stopped.
    stopped_at: Instant,
    /// Events that wait in socket buffers while the process is stopped.
    buffered_events: VecDeque<Event>,
    /// Actions that the process had not executed when it was stopped.
    pending_actions: VecDeque<Action>,
    /// The API keys that the host accepts, and those that it knows to be withdrawn. In a real host,
    /// the threads that serve callers check them.
    accepted_keys: Set<KeyId>,
    withdrawn_keys: Set<KeyId>,
    /// Whether the scheduler has handed over all its work and the process may end.
    shutdown_ready: bool,
}

/// Something that happens at a scheduled time.
#[derive(Debug)]
enum ScheduledEvent {
    /// Delivers an event to a host, unless the process that the event was scheduled for has ended.
    HostEvent { host: usize, session: u64, event: Box<Event> },
    /// Resumes a stopped host.
    Resume { host: usize, session: u64 },
    /// Breaks the connection between two hosts, unless the network partition has ended.
    BreakConnection { pair: (usize, usize), network_partition: u64 },
    /// An operation arrives at the platform.
    Platform(platform::PlatformArrival),
    /// An attempt arrives at a target.
    AttemptArrives { host: usize, session: u64, dispatch: Box<Dispatch> },
    /// An attempt ends at a target.
    AttemptEnds { target: usize, number: u64 },
}

/// A simulated fleet in virtual time.
pub struct World {
    /// What was observed so far.
    pub record: Record,
    now: Instant,
    hosts: Vec<Host>,
    by_id: BTreeMap<HostId, usize>,
    schedule: BTreeMap<(Instant, u64), ScheduledEvent>,
    network: Network,
    platform: Platform,
    targets: Targets,
    injections: Vec<FaultInjection>,
    last_number: u64,
    last_session: u64,
    trace_hasher: DefaultHasher,
}

impl World {
    /// Starts hosts, given as name and zone, and publishes a configuration at the first one.
    pub fn start(hosts: &[(Box<str>, Box<str>)], config: &Config) -> Self {
        let mut world = Self {
            record: Record::default(),
            now: Instant::from_millis(1),
            hosts: Vec::new(),
            by_id: BTreeMap::new(),
            schedule: BTreeMap::new(),
            network: Network::new(hosts.iter().map(|(_, zone)| zone.clone()).collect()),
            platform: Platform::default(),
            targets: Targets::new(config),
            injections: Vec::new(),
            last_number: 0,
            last_session: 0,
            trace_hasher: DefaultHasher::new(),
        };

        for (index, (name, zone)) in hosts.iter().enumerate() {
            world.last_session += 1 << 32;
            let session = world.last_session;
            let host = Host {
                name: name.clone(),
                zone: zone.clone(),
                id: HostId::from_name(name),
                state: ProcessState::Up,
                scheduler: scheduler(index, name, zone, session),
                session,
                wake_at: Instant::default(),
                stopped_at: Instant::default(),
                buffered_events: VecDeque::new(),
                pending_actions: VecDeque::new(),
                accepted_keys: Set::default(),
                withdrawn_keys: Set::default(),
                shutdown_ready: false,
            };
            world.by_id.insert(host.id, index);
            world.hosts.push(host);
        }
        for host in 0..hosts.len() {
            world.record.started.push((world.now, host, world.hosts[host].session));
            world.send_host_list(host);
        }
        world.publish(0, 0, config.clone());

        world
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Returns a digest of the steps of all hosts and of all answers so far.
    pub fn trace_digest(&self) -> u64 {
        self.trace_hasher.finish()
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

    /// Returns the index of the host with this name.
    pub fn host(&self, name: &str) -> Option<usize> {
        self.hosts.iter().position(|host| &*host.name == name)
    }

    /// Returns the state of a host's process.
    pub fn state(&self, host: usize) -> ProcessState {
        self.hosts[host].state
    }

    /// Returns the hosts of a zone.
    pub fn zone(&self, zone: &str) -> BTreeSet<usize> {
        (0..self.hosts.len()).filter(|host| &*self.hosts[*host].zone == zone).collect()
    }

    /// Returns whether a host runs, is ready for requests and is not shutting down.
    pub fn is_ready(&self, host: usize) -> bool {
        self.hosts[host].state == ProcessState::Up && self.hosts[host].scheduler.is_ready()
    }

    /// Returns the configuration version in force at a host, 0 if there is none.
    pub fn version(&self, host: usize) -> u64 {
        let state = self.hosts[host].scheduler.state();

        state.config.as_ref().map_or(0, |config| config.version.0)
    }

    /// Returns the host that holds a program's partition, unless its process has ended.
    pub fn home(&self, program: ProgramId) -> Option<usize> {
        let holds = |host: &&(usize, &Host)| {
            let state = host.1.scheduler.state();
            let partition: PartitionId = program.partition(state.partitions());
            host.1.state != ProcessState::Down && state.held_partitions.contains(&partition)
        };
        let hosts: Vec<_> = self.hosts.iter().enumerate().collect();

        // After a pause two hosts may believe that they hold the partition. The one whose leases
        // are valid longer is the actual holder.
        hosts
            .iter()
            .filter(holds)
            .max_by_key(|(_, host)| host.scheduler.state().leases_valid_until)
            .map(|(index, _)| *index)
    }

    /// Advances virtual time to `end`, or until a caller gets an answer.
    ///
    /// Returns whether `end` was reached.
    pub fn run_until(&mut self, end: Instant) -> bool {
        let answers = self.network.answer_count;

        while self.network.answer_count == answers {
            let wake = self.hosts.iter().filter(|host| host.state == ProcessState::Up);
            let wake = wake.map(|host| host.wake_at).min().unwrap_or(end + MIN_SLEEP);
            let item = self.schedule.first_key_value().map(|((at, _), _)| *at);
            let next = item.map_or(wake, |at| at.min(wake)).max(self.now);

            if next > end {
                self.now = end;
                return true;
            }
            self.now = next;
            if item.is_some_and(|at| at <= next) {
                let (_, item) = self.schedule.pop_first().expect("the schedule has an item");
                self.handle(item);
            } else {
                let due = |host: &Host| host.state == ProcessState::Up && host.wake_at <= next;
                let host = self.hosts.iter().position(due).expect("a host is due");
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
        let number = self.next_number();
        let key = KeyId::from_name(key);
        let submission = Submission {
            host,
            at: self.now,
            key,
            request: request.clone(),
            deadline: self.now + deadline,
            answers: Vec::new(),
            abandoned: self.hosts[host].state == ProcessState::Down,
        };
        self.record.submissions.insert(number, submission);

        let tenant = TenantId::from_name(tenant);
        let event = Event::Request { request: RequestId(number), tenant, key, body: request };
        self.deliver(host, event);

        number
    }

    /// Disconnects the caller of a request.
    pub fn disconnect_caller(&mut self, number: u64) {
        let Some(submission) = self.record.submissions.get_mut(&number) else {
            return;
        };
        if submission.answers.is_empty() {
            submission.abandoned = true;
            let host = submission.host;
            self.deliver(host, Event::CallerGone(RequestId(number)));
        }
    }

    /// Sends a host an operator's request to publish a configuration based on version `base`;
    /// returns the number of the request.
    pub fn publish(&mut self, host: usize, base: u64, config: Config) -> u64 {
        let request =
            OperatorRequest::Publish { base: ConfigVersion(base), config: Box::new(config) };

        self.send_operator_request(host, request)
    }

    /// Sends a host a request of an operator and returns its number.
    pub fn send_operator_request(&mut self, host: usize, request: OperatorRequest) -> u64 {
        let number = self.next_number();
        if let OperatorRequest::Withdraw { key } = &request {
            self.record.withdrawals.push((self.now, host, KeyId::from_name(key)));
        }
        self.deliver(host, Event::Operator { request_id: OperatorRequestId(number), request });

        number
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn schedule_event(&mut self, at: Instant, item: ScheduledEvent) {
        let number = self.next_number();
        self.schedule.insert((at, number), item);
    }

    fn schedule_host_event(&mut self, at: Instant, host: usize, event: Event) {
        let session = self.hosts[host].session;
        self.schedule_event(
            at,
            ScheduledEvent::HostEvent { host, session, event: Box::new(event) },
        );
    }

    fn handle(&mut self, item: ScheduledEvent) {
        match item {
            ScheduledEvent::HostEvent { host, session, event } => {
                if self.hosts[host].session == session {
                    self.deliver(host, *event);
                }
            }
            ScheduledEvent::Resume { host, session } => {
                if self.hosts[host].session == session {
                    self.resume(host);
                }
            }
            ScheduledEvent::BreakConnection { pair, network_partition } => {
                self.break_connection(pair, network_partition)
            }
            ScheduledEvent::Platform(arrival) => self.on_platform_arrival(arrival),
            ScheduledEvent::AttemptArrives { host, session, dispatch } => {
                self.on_attempt_arrival(host, session, &dispatch)
            }
            ScheduledEvent::AttemptEnds { target, number } => self.on_attempt_end(target, number),
        }
    }

    /// Delivers an event to a host; a stopped host receives it when it resumes.
    fn deliver(&mut self, host: usize, event: Event) {
        match self.hosts[host].state {
            ProcessState::Up => self.step(host, event),
            ProcessState::Paused => self.hosts[host].buffered_events.push_back(event),
            ProcessState::Down => {}
        }
    }

    fn step(&mut self, host: usize, event: Event) {
        if let Event::Request { request, key, .. } = &event
            && !self.is_key_accepted(host, *key)
        {
            let refusal = Refusal::not_run(Code::Unauthorized, "the key is not accepted");
            return self.record_answer(*request, Reply::Refused(refusal));
        }

        let mut actions = Vec::new();
        let state = &mut self.hosts[host];
        state.scheduler.step(self.now, event, &mut actions);
        state.wake_at = state.scheduler.wake_at().max(self.now + MIN_SLEEP);
        self.record.steps += 1;
        (self.now.0, host, actions.len()).hash(&mut self.trace_hasher);

        self.execute_all(host, actions.into());
        self.end_if_shut_down(host);
    }

    /// Executes actions until an injected fault stops the host.
    fn execute_all(&mut self, host: usize, mut actions: VecDeque<Action>) {
        while let Some(action) = actions.pop_front() {
            if self.trigger_matching(host, &action, false) {
                actions.push_front(action);
                break;
            }
            let after = self.take_matching_injection(host, &action, true);
            self.execute(host, action);
            if let Some(injection) = after {
                self.trigger(host, injection);
                break;
            }
        }

        if self.hosts[host].state == ProcessState::Paused {
            self.hosts[host].pending_actions.extend(actions);
        }
    }

    fn execute(&mut self, host: usize, action: Action) {
        match action {
            Action::Answer { request, reply } => self.record_answer(request, *reply),
            Action::Send { to, message } => self.send(host, to, message),
            Action::Platform { op, request } => self.send_to_platform(host, op, request),
            Action::Dispatch(dispatch) => self.dispatch(host, dispatch),
            Action::Cancel(attempt) => self.cancel(attempt),
            Action::Adopted(config) => {
                let keys = config.tenants.iter().flat_map(|t| &t.keys);
                let state = &mut self.hosts[host];
                state.accepted_keys = keys.map(|key| KeyId::from_name(&key.id)).collect();
                let entry = (self.now, host, state.session, config.version.0);
                self.record.adopted.push(entry);
            }
            Action::KeyWithdrawn(key) => {
                self.hosts[host].withdrawn_keys.insert(key);
                self.record.applied_withdrawals.push((self.now, host, key));
            }
            Action::OperatorAnswer { request_id, reply } => {
                self.record.operator_replies.insert(request_id.0, *reply);
            }
            Action::ShutdownReady => self.hosts[host].shutdown_ready = true,
            Action::SetPeerAddress { .. }
            | Action::FreeProgram(_)
            | Action::FreeProgramAt { .. }
            | Action::WatchEngines(_) => {}
        }
    }

    fn record_answer(&mut self, request: RequestId, reply: Reply) {
        self.network.answer_count += 1;
        format!("{reply:?}").hash(&mut self.trace_hasher);
        if let Some(submission) = self.record.submissions.get_mut(&request.0) {
            submission.answers.push((self.now, reply));
        }
    }

    fn is_key_accepted(&self, host: usize, key: KeyId) -> bool {
        let host = &self.hosts[host];

        !host.withdrawn_keys.contains(&key)
            && (host.accepted_keys.contains(&key) || host.shutdown_ready)
    }

    /// Ends the process of a host whose shutdown is complete and that has no open request.
    fn end_if_shut_down(&mut self, host: usize) {
        let open = |s: &Submission| s.host == host && s.answers.is_empty() && !s.abandoned;
        if self.hosts[host].shutdown_ready && !self.record.submissions.values().any(open) {
            self.kill(host);
        }
    }

    fn send_host_list(&mut self, host: usize) {
        let listings = self.hosts.iter().enumerate().map(|(i, h)| listing(i, &h.name, &h.zone));
        let event = Event::HostList(listings.collect());
        self.schedule_host_event(self.now, host, event);
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
