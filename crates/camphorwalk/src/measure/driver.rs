//! Drives the control state of some hosts in virtual time, with small fakes at its
//! interfaces: a platform that is well, targets that answer after a fixed time, messages that
//! take a fixed time. It counts what each host does.

use std::collections::BTreeMap;
use std::time::{Duration, Instant as Clock};

use camphorwalk_core::calls::{OpenRequest, Reply, Request, Usage};
use camphorwalk_core::config::Config;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{HostId, KeyId, ProgramId, RequestId, TenantId};
use camphorwalk_core::platform::{HostListing, ObjectName, PlatformOp, PlatformReply, Write};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::{ConfigVersion, Tokens};
use camphorwalk_policy::configs::OperatorRequestId;
use camphorwalk_policy::scheduler::{
    Action, Event, OperatorRequest, Scheduler, SchedulerOptions, SchedulerTimes,
};
use camphorwalk_policy::shared_types::AttemptOutcome;
use camphorwalk_standin::Store;
use prost::Message as _;

use super::declared::zone_of;

/// How long a message between hosts takes.
const MESSAGE_TIME: Duration = Duration::from_millis(1);

/// How long the platform takes.
const PLATFORM_TIME: Duration = Duration::from_millis(5);

/// How long a target takes.
const TARGET_TIME: Duration = Duration::from_millis(100);

/// What all hosts together did.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Events handled.
    pub events: u64,
    /// Time spent in handling them.
    pub busy: Duration,
    /// Messages sent to other hosts.
    pub messages: u64,
    /// Bytes of these messages.
    pub message_bytes: u64,
    /// Platform reads, scans and object reads.
    pub reads: u64,
    /// Platform transactions and object writes.
    pub writes: u64,
}

/// Some hosts in virtual time.
pub struct Driver {
    hosts: Vec<Scheduler>,
    by_id: Map<HostId, usize>,
    store: Store,
    /// Whether the platform keeps what journals hold.
    keeps_journals: bool,
    now: Instant,
    /// What happens next, by time and then by order of its making.
    agenda: BTreeMap<(Instant, u64), (usize, Event)>,
    /// When each host wants to be woken.
    wakes: Vec<Instant>,
    next_number: u64,
    /// What was done since the last [`Driver::take_counts`].
    counts: Counts,
    /// The answers to callers, by request.
    answers: Map<RequestId, Reply>,
    actions: Vec<Action>,
}

impl Driver {
    /// Starts hosts and publishes a configuration; returns once all hosts have it in force.
    pub fn start(hosts: usize, times: SchedulerTimes, config: &Config) -> Self {
        let listings: Vec<_> = (0..hosts).map(listing).collect();
        let mut driver = Self {
            hosts: listings.iter().map(|l| Scheduler::new(options(l, times))).collect(),
            by_id: listings
                .iter()
                .enumerate()
                .map(|(i, l)| (HostId::from_name(&l.name), i))
                .collect(),
            store: Store::default(),
            keeps_journals: true,
            now: Instant::from_millis(1),
            agenda: BTreeMap::new(),
            wakes: vec![Instant::default(); hosts],
            next_number: 0,
            counts: Counts::default(),
            answers: Map::default(),
            actions: Vec::new(),
        };

        for host in 0..hosts {
            driver.add(Duration::ZERO, host, Event::HostList(listings.clone()));
        }
        let request =
            OperatorRequest::Publish { base: ConfigVersion(0), config: Box::new(config.clone()) };
        driver.add(
            Duration::ZERO,
            0,
            Event::Operator { request_id: OperatorRequestId(0), request },
        );
        while !driver.hosts.iter().all(Scheduler::is_ready) {
            driver.run(Duration::from_millis(100));
        }

        driver
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;

        while let Some((at, host, event)) = self.next_before(end) {
            self.now = at;
            self.step(host, event);
        }
        self.now = end;
    }

    /// Returns what was done since the last time, and starts anew.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Sends a caller's request to a host and returns its number.
    pub fn request(&mut self, host: usize, tenant: usize, body: Request) -> RequestId {
        self.next_number += 1;
        let request = RequestId(self.next_number);
        let tenant = TenantId::from_name(&super::declared::tenant_name(tenant));
        let event = Event::Request { request, tenant, key: KeyId(1), body };
        self.add(Duration::ZERO, host, event);

        request
    }

    /// Opens a program at a host.
    pub fn open(&mut self, host: usize, tenant: usize) -> RequestId {
        let open = OpenRequest {
            program: ProgramId(0),
            template: "assistant".into(),
            deadline: Duration::from_secs(3_600),
            parent: None,
            repeatable: false,
        };

        self.request(host, tenant, Request::Open(open))
    }

    /// Returns how many of the other hosts a host counts as alive, in percent.
    pub fn alive_percent(&self) -> f64 {
        let pairs = self.hosts.len() * (self.hosts.len() - 1);
        let alive: usize = self.hosts.iter().map(|host| host.state().live_hosts.len()).sum();

        if pairs == 0 { 100.0 } else { alive as f64 / pairs as f64 * 100.0 }
    }

    /// Takes the answer to a request, if it is there.
    pub fn take_answer(&mut self, request: RequestId) -> Option<Reply> {
        self.answers.remove(&request)
    }

    /// Has the platform keep nothing of journals and objects from now on, so that the memory
    /// of this process is that of the hosts. A home reads its journal only when it begins.
    pub fn keep_no_journals(&mut self) {
        self.keeps_journals = false;
    }

    /// Runs an operation on the platform.
    fn run_on_platform(&mut self, request: PlatformOp) -> PlatformReply {
        match request {
            PlatformOp::PutObject(content) if !self.keeps_journals => {
                PlatformReply::Stored(ObjectName::of(&content))
            }
            PlatformOp::Commit(mut transaction) if !self.keeps_journals => {
                let journal = |w: &&mut Write| &*w.key.table == "journal" && w.value.is_some();
                transaction
                    .writes
                    .iter_mut()
                    .filter(journal)
                    .for_each(|w| w.value = Some("".into()));
                self.store.run(PlatformOp::Commit(transaction))
            }
            request => self.store.run(request),
        }
    }

    fn next_before(&mut self, end: Instant) -> Option<(Instant, usize, Event)> {
        let wake = self.wakes.iter().copied().enumerate().min_by_key(|(_, at)| *at);
        let (host, wake) = wake.expect("there is a host");
        let wake = wake.max(self.now);

        match self.agenda.first_key_value() {
            Some(((at, _), _)) if *at <= wake => {
                if *at > end {
                    return None;
                }
                let ((at, _), (host, event)) = self.agenda.pop_first()?;
                Some((at, host, event))
            }
            _ if wake <= end => Some((wake, host, Event::Wake)),
            _ => None,
        }
    }

    fn step(&mut self, host: usize, event: Event) {
        let began = Clock::now();
        let mut actions = std::mem::take(&mut self.actions);
        self.hosts[host].step(self.now, event, &mut actions);
        self.counts.busy += began.elapsed();
        self.counts.events += 1;

        self.wakes[host] = self.hosts[host].wake_at().max(self.now + Duration::from_micros(1));
        for action in actions.drain(..) {
            self.carry_out(host, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, host: usize, action: Action) {
        match action {
            Action::Answer { request, reply } => {
                self.answers.insert(request, *reply);
            }
            Action::Send { to, message } => {
                self.counts.messages += 1;
                self.counts.message_bytes += message.encoded_len() as u64;
                let from = HostId::from_name(&listing(host).name);
                if let Some(receiver) = self.by_id.get(&to).copied() {
                    self.add(MESSAGE_TIME, receiver, Event::Peer { from, message });
                }
            }
            Action::Platform { op, request } => {
                match request {
                    PlatformOp::Commit(_) | PlatformOp::PutObject(_) => self.counts.writes += 1,
                    _ => self.counts.reads += 1,
                }
                let reply = self.run_on_platform(request);
                self.add(PLATFORM_TIME, host, Event::Platform { op, reply });
            }
            Action::Dispatch(dispatch) => {
                let usage = Usage { output_tokens: Tokens(8), ..Usage::default() };
                let outcome =
                    AttemptOutcome::Done { output: "\"some words of an answer\"".into(), usage };
                self.add(
                    TARGET_TIME,
                    host,
                    Event::AttemptEnded { attempt: dispatch.attempt, outcome },
                );
            }
            Action::Cancel(_)
            | Action::SetPeerAddress { .. }
            | Action::FreeProgram(_)
            | Action::FreeProgramAt { .. }
            | Action::WatchEngines(_)
            | Action::Adopted(_)
            | Action::KeyWithdrawn(_)
            | Action::OperatorAnswer { .. }
            | Action::ShutdownReady => {}
        }
    }

    fn add(&mut self, after: Duration, host: usize, event: Event) {
        self.next_number += 1;
        self.agenda.insert((self.now + after, self.next_number), (host, event));
    }
}

fn listing(host: usize) -> HostListing {
    let port = 10_000 + host as u16;

    HostListing {
        name: format!("h{host:03}").into(),
        zone: zone_of(host).into(),
        peer_address: (std::net::Ipv4Addr::LOCALHOST, port).into(),
        leaving: false,
    }
}

fn options(listing: &HostListing, times: SchedulerTimes) -> SchedulerOptions {
    SchedulerOptions {
        host: listing.name.clone(),
        zone: listing.zone.clone(),
        peer_address: listing.peer_address,
        session: 1,
        seal_key: [0; 32],
        times,
        read_config: |bytes| camphorwalk_declare::unbundle(bytes).map_err(|e| e.to_string().into()),
        write_config: camphorwalk_declare::bundle,
    }
}
