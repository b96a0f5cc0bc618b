//! Simulates the schedulers of several hosts in virtual time. Their surroundings are replaced by
//! small fakes: a platform that never fails, and targets and messages with fixed latencies. The
//! driver counts the work that the hosts do.

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

use super::fleet_config::zone_of;

/// The latency of a message between hosts.
const MESSAGE_LATENCY: Duration = Duration::from_millis(1);

/// The latency of a platform operation.
const PLATFORM_LATENCY: Duration = Duration::from_millis(5);

/// The time that a target takes to answer a call.
const TARGET_LATENCY: Duration = Duration::from_millis(100);

/// Totals over all hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Events that the schedulers handled.
    pub events: u64,
    /// Real time spent in handling them.
    pub busy: Duration,
    /// Messages sent to other hosts.
    pub messages: u64,
    /// The encoded size of these messages in bytes.
    pub message_bytes: u64,
    /// Platform reads, scans and object reads.
    pub reads: u64,
    /// Platform transactions and object writes.
    pub writes: u64,
}

/// The simulated hosts and their surroundings.
pub struct Driver {
    hosts: Vec<Scheduler>,
    by_id: Map<HostId, usize>,
    store: Store,
    /// Whether the platform stores journals and objects, or discards their contents.
    stores_journals: bool,
    now: Instant,
    /// The pending events, each with the host that receives it. The key orders them by time, and
    /// events of the same time by when they were scheduled.
    event_queue: BTreeMap<(Instant, u64), (usize, Event)>,
    /// The time at which each host wants to be woken, by host.
    wake_times: Vec<Instant>,
    /// The last number given to an event or a request.
    last_number: u64,
    /// The work done since the last [`Driver::take_counts`].
    counts: Counts,
    /// The answers to callers that have not been taken yet, by request.
    answers: Map<RequestId, Reply>,
    /// A buffer that is reused for the actions of each step.
    actions: Vec<Action>,
}

impl Driver {
    /// Starts hosts, publishes a configuration and simulates until all hosts have it in force.
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
            stores_journals: true,
            now: Instant::from_millis(1),
            event_queue: BTreeMap::new(),
            wake_times: vec![Instant::default(); hosts],
            last_number: 0,
            counts: Counts::default(),
            answers: Map::default(),
            actions: Vec::new(),
        };

        for host in 0..hosts {
            driver.schedule(Duration::ZERO, host, Event::HostList(listings.clone()));
        }
        let request =
            OperatorRequest::Publish { base: ConfigVersion(0), config: Box::new(config.clone()) };
        driver.schedule(
            Duration::ZERO,
            0,
            Event::Operator { request_id: OperatorRequestId(0), request },
        );
        while !driver.hosts.iter().all(Scheduler::is_ready) {
            driver.run(Duration::from_millis(100));
        }

        driver
    }

    /// Simulates this much virtual time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;

        while let Some((at, host, event)) = self.next_before(end) {
            self.now = at;
            self.step(host, event);
        }
        self.now = end;
    }

    /// Returns the counts since the last call, and resets them.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Sends a caller's request to a host and returns its id.
    pub fn request(&mut self, host: usize, tenant: usize, body: Request) -> RequestId {
        self.last_number += 1;
        let request = RequestId(self.last_number);
        let tenant = TenantId::from_name(&super::fleet_config::tenant_name(tenant));
        let event = Event::Request { request, tenant, key: KeyId(1), body };
        self.schedule(Duration::ZERO, host, event);

        request
    }

    /// Sends a request to open a program to a host and returns its id.
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

    /// Returns the share of the other hosts that a host considers live, averaged over all hosts, in
    /// percent.
    pub fn alive_percent(&self) -> f64 {
        let pairs = self.hosts.len() * (self.hosts.len() - 1);
        let alive: usize = self.hosts.iter().map(|host| host.state().live_hosts.len()).sum();

        if pairs == 0 { 100.0 } else { alive as f64 / pairs as f64 * 100.0 }
    }

    /// Removes and returns the answer to a request, if it has arrived.
    pub fn take_answer(&mut self, request: RequestId) -> Option<Reply> {
        self.answers.remove(&request)
    }

    /// Makes the platform discard the contents of journals and objects from now on, so that the
    /// memory of this process is that of the hosts. Hosts do not miss the contents: a host reads
    /// journals only when it takes over a partition of the programs.
    pub fn discard_journals(&mut self) {
        self.stores_journals = false;
    }

    /// Runs an operation on the platform and returns its reply.
    fn run_on_platform(&mut self, request: PlatformOp) -> PlatformReply {
        match request {
            PlatformOp::PutObject(content) if !self.stores_journals => {
                PlatformReply::Stored(ObjectName::of(&content))
            }
            PlatformOp::Commit(mut transaction) if !self.stores_journals => {
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

    /// Returns the next event or wake-up that is due by `end`, with its time and host. An event is
    /// removed from the queue.
    fn next_before(&mut self, end: Instant) -> Option<(Instant, usize, Event)> {
        let wake = self.wake_times.iter().copied().enumerate().min_by_key(|(_, at)| *at);
        let (host, wake) = wake.expect("there is at least one host");
        let wake = wake.max(self.now);

        match self.event_queue.first_key_value() {
            Some(((at, _), _)) if *at <= wake => {
                if *at > end {
                    return None;
                }
                let ((at, _), (host, event)) = self.event_queue.pop_first()?;
                Some((at, host, event))
            }
            _ if wake <= end => Some((wake, host, Event::Wake)),
            _ => None,
        }
    }

    /// Passes an event to a host and performs the resulting actions.
    fn step(&mut self, host: usize, event: Event) {
        let started_at = Clock::now();
        let mut actions = std::mem::take(&mut self.actions);
        self.hosts[host].step(self.now, event, &mut actions);
        self.counts.busy += started_at.elapsed();
        self.counts.events += 1;

        // A wake-up in the future keeps the simulation from looping at one point in time.
        self.wake_times[host] = self.hosts[host].wake_at().max(self.now + Duration::from_micros(1));
        for action in actions.drain(..) {
            self.perform(host, action);
        }
        self.actions = actions;
    }

    /// Performs an action of a host. Its effects are scheduled as later events.
    fn perform(&mut self, host: usize, action: Action) {
        match action {
            Action::Answer { request, reply } => {
                self.answers.insert(request, *reply);
            }
            Action::Send { to, message } => {
                self.counts.messages += 1;
                self.counts.message_bytes += message.encoded_len() as u64;
                let from = HostId::from_name(&listing(host).name);
                if let Some(receiver) = self.by_id.get(&to).copied() {
                    self.schedule(MESSAGE_LATENCY, receiver, Event::Peer { from, message });
                }
            }
            Action::Platform { op, request } => {
                match request {
                    PlatformOp::Commit(_) | PlatformOp::PutObject(_) => self.counts.writes += 1,
                    _ => self.counts.reads += 1,
                }
                let reply = self.run_on_platform(request);
                self.schedule(PLATFORM_LATENCY, host, Event::Platform { op, reply });
            }
            Action::Dispatch(dispatch) => {
                let usage = Usage { output_tokens: Tokens(8), ..Usage::default() };
                let outcome =
                    AttemptOutcome::Done { output: "\"some words of an answer\"".into(), usage };
                self.schedule(
                    TARGET_LATENCY,
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

    /// Schedules an event for a host.
    fn schedule(&mut self, after: Duration, host: usize, event: Event) {
        self.last_number += 1;
        self.event_queue.insert((self.now + after, self.last_number), (host, event));
    }
}

/// Returns the entry of a host in the platform's host list.
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
