//! Hosts and targets of some zones in virtual time, with the messages that hosts send each other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use camphorwalk_core::entry::{TargetEntry, TargetState};
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::load_notices::{LoadNotices, period};
use camphorwalk_policy::entry::placement::{Choice, Outcome, PlacementRequest, TargetKey, Targets};
use camphorwalk_policy::entry::prompts::CachedPart;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// The slots of an engine.
pub const SLOTS: usize = 6;

/// The run of each host's process.
const RUN: u64 = 1;

/// The period of status updates, and the time that they take to arrive. A host knows of the calls
/// of others 100 to 300 ms late.
const STATUS_PERIOD_MS: u64 = 200;
const STATUS_LATENCY_MS: u64 = 100;

/// The time that a notice takes to arrive.
const NOTICE_LATENCY_MS: u64 = 10;

/// The time after which the load of a host that is not heard no longer counts.
const SILENCE_MS: u64 = 2_000;

/// A fleet: the same number of hosts and engines in each zone.
#[derive(Clone, Copy)]
pub struct Shape {
    pub zones: usize,
    pub hosts: usize,
    pub engines: usize,
    pub preferred: Option<u32>,
    pub seed: u64,
}

struct Call {
    host: usize,
    key: TargetKey,
    sent_at: u64,
    duration: u64,
    conversation: Conversation,
}

/// A conversation and the turns that are left of it.
#[derive(Clone, Copy)]
struct Conversation {
    id: u64,
    turns_left: u32,
}

#[derive(Default)]
struct Engine {
    running: usize,
    queue: VecDeque<Call>,
}

struct HostState {
    zone: usize,
    targets: Targets,
    notices: LoadNotices,
    heard_at: Vec<u64>,
    last_notice: Map<Box<str>, u32>,
    sequence: u64,
    waiting: VecDeque<Conversation>,
}

enum Content {
    Status(Map<Box<str>, u32>, Vec<(Box<str>, Vec<CachedPart>)>),
    Notice(Map<Box<str>, u32>, u64),
}

/// What was measured.
#[derive(Default)]
pub struct Figures {
    /// How often each number of calls was in flight at a target.
    in_flight: BTreeMap<usize, u64>,
    pairs: BTreeSet<(usize, Box<str>)>,
    /// Calls that were sent, by the zones of the host and the target.
    pub sent: BTreeMap<(usize, usize), u64>,
    pub arrived: u64,
    pub answered: u64,
    pub notices: u64,
    held_ms: u64,
}

impl Figures {
    /// Returns the calls in flight at the (target, moment) that a tenth of all exceed at most.
    pub fn busiest_tenth(&self) -> usize {
        let total: u64 = self.in_flight.values().sum();
        let mut above = total / 10;
        for (calls, times) in self.in_flight.iter().rev() {
            if *times > above {
                return *calls;
            }
            above -= times;
        }
        0
    }

    /// Returns the mean time for which a call was in flight.
    pub fn mean_held_ms(&self) -> u64 {
        self.held_ms / self.answered
    }

    /// Returns the number of pairs of a host and a target that a call used.
    pub fn pairs(&self) -> usize {
        self.pairs.len()
    }
}

pub struct World {
    shape: Shape,
    now: u64,
    rng: SmallRng,
    hosts: Vec<HostState>,
    engines: BTreeMap<Box<str>, Engine>,
    /// The calls that run, by the time at which they end.
    running: BTreeMap<(u64, u64), (Box<str>, Call)>,
    /// The turns that follow, by the time at which they arrive.
    next_turns: BTreeMap<(u64, u64), (usize, Conversation)>,
    messages: BTreeMap<(u64, u64), (usize, usize, Content)>,
    number: u64,
    /// Whether hosts with odd and even numbers hear each other.
    pub is_whole: bool,
    pub figures: Figures,
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

fn entry(zone: usize, engine: usize) -> TargetEntry {
    TargetEntry {
        id: format!("engine-{zone}-{engine}").into(),
        service: "engines".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: zone_name(zone).into(),
        version: None,
        slots: SLOTS as u32,
        state: TargetState::Ready,
        born: 1,
        cold_for: Duration::ZERO,
    }
}

fn host_id(host: usize) -> HostId {
    HostId::from_name(&format!("host-{host}"))
}

impl World {
    pub fn new(shape: Shape) -> Self {
        let all = shape.zones * shape.hosts;
        let hosts = (0..all).map(|host| {
            let zone = host % shape.zones;
            let mut targets = Targets::new(&zone_name(zone), host_id(host));
            if let Some(wanted) = shape.preferred {
                targets.prefer_targets(wanted, host_id(host));
            }
            targets.set_zone_hosts((0..all).filter(|h| h % shape.zones == zone).map(host_id));
            for engine in 0..shape.zones * shape.engines {
                targets.put(entry(engine % shape.zones, engine));
            }
            HostState {
                zone,
                targets,
                notices: LoadNotices::default(),
                heard_at: vec![0; all],
                last_notice: Map::default(),
                sequence: 0,
                waiting: VecDeque::new(),
            }
        });
        let engines = (0..shape.zones * shape.engines)
            .map(|e| (entry(e % shape.zones, e).id, Engine::default()));

        Self {
            shape,
            now: 0,
            rng: SmallRng::seed_from_u64(shape.seed),
            hosts: hosts.collect(),
            engines: engines.collect(),
            running: BTreeMap::new(),
            next_turns: BTreeMap::new(),
            messages: BTreeMap::new(),
            number: 0,
            is_whole: true,
            figures: Figures::default(),
        }
    }

    /// Runs for a time, with conversations of `turns` turns that bring so many turns per second to
    /// each zone.
    pub fn run(&mut self, ms: u64, rates: &[f64], turns: u32) {
        for _ in 0..ms {
            self.now += 1;
            self.deliver();
            self.end_calls();
            self.start_turns(rates, turns);
            (0..self.hosts.len()).for_each(|host| self.serve_waiting(host));
            (0..self.hosts.len()).for_each(|host| self.send_messages(host));
            if self.now.is_multiple_of(10) {
                for engine in self.engines.values() {
                    let calls = engine.running + engine.queue.len();
                    *self.figures.in_flight.entry(calls).or_default() += 1;
                }
            }
        }
    }

    /// Returns the number of calls that wait at hosts.
    pub fn waiting(&self) -> usize {
        self.hosts.iter().map(|host| host.waiting.len()).sum()
    }

    fn number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    fn instant(&self) -> Instant {
        Instant::from_millis(1_000_000 + self.now)
    }

    fn start_turns(&mut self, rates: &[f64], turns: u32) {
        for (zone, rate) in rates.iter().enumerate() {
            if self.rng.random_bool(rate / f64::from(turns) / 1_000.0) {
                let host = self.rng.random_range(0..self.shape.hosts) * self.shape.zones + zone;
                let conversation = Conversation { id: 1_000 + self.number(), turns_left: turns };
                self.hosts[host].waiting.push_back(conversation);
                self.figures.arrived += 1;
            }
        }
        while let Some(turn) = self.next_turns.first_entry().filter(|t| t.key().0 <= self.now) {
            let (host, conversation) = turn.remove();
            self.hosts[host].waiting.push_back(conversation);
            self.figures.arrived += 1;
        }
    }

    fn serve_waiting(&mut self, host: usize) {
        while let Some(conversation) = self.hosts[host].waiting.front().copied() {
            let now = self.instant();
            let request = PlacementRequest {
                parts: vec![(1, 512), (conversation.id, 654)],
                ..PlacementRequest::default()
            };
            let own = &mut self.hosts[host];
            let Choice::Target(key) = own.targets.choose(now, "engines", &request) else { return };
            own.targets.record_sent(key, &request);
            own.waiting.pop_front();
            let entry = &own.targets.get(key).unwrap().entry;
            let (id, zone) = (entry.id.clone(), entry.zone.clone());

            let to = (0..self.shape.zones).find(|to| *zone == *zone_name(*to)).unwrap();
            *self.figures.sent.entry((self.hosts[host].zone, to)).or_default() += 1;
            self.figures.pairs.insert((host, id.clone()));
            let duration = self.rng.random_range(100..=300);
            let call = Call { host, key, sent_at: self.now, duration, conversation };
            self.engines.get_mut(&id).unwrap().queue.push_back(call);
            self.start_queued(&id);
        }
    }

    fn start_queued(&mut self, id: &str) {
        let engine = self.engines.get_mut(id).unwrap();
        if engine.running == SLOTS {
            return;
        }
        let Some(call) = engine.queue.pop_front() else { return };
        engine.running += 1;

        let end = (self.now + call.duration, self.number());
        self.running.insert(end, (id.into(), call));
    }

    fn end_calls(&mut self) {
        while let Some(first) = self.running.first_entry().filter(|call| call.key().0 <= self.now) {
            let (id, call) = first.remove();
            self.engines.get_mut(&id).unwrap().running -= 1;
            self.start_queued(&id);
            let (now, held) = (self.instant(), Duration::from_millis(self.now - call.sent_at));
            let own = &mut self.hosts[call.host];
            own.targets.record_outcome(now, call.key, Outcome::Answered(held));
            self.figures.answered += 1;
            self.figures.held_ms += self.now - call.sent_at;
            self.continue_conversation(&call);
        }
    }

    /// Half of all conversations reach another host of the zone at some time.
    fn continue_conversation(&mut self, call: &Call) {
        let turns_left = call.conversation.turns_left - 1;
        if turns_left == 0 {
            return;
        }
        let other = self.rng.random_range(0..self.shape.hosts) * self.shape.zones
            + self.hosts[call.host].zone;
        let host = if self.rng.random_bool(0.2) { other } else { call.host };
        let at = (self.now + self.rng.random_range(20..200), self.number());
        self.next_turns.insert(at, (host, Conversation { turns_left, ..call.conversation }));
    }

    fn send_messages(&mut self, host: usize) {
        let all = self.hosts.len();
        let phase = host as u64 * 7;
        if (self.now + phase).is_multiple_of(STATUS_PERIOD_MS) {
            let prompts = self.hosts[host].targets.take_updates();
            for to in (0..all).filter(|to| *to != host) {
                let content = Content::Status(self.load(host), prompts.clone());
                self.send(host, to, STATUS_LATENCY_MS, content);
            }
            self.drop_silent(host);
        }

        let receivers = self.hosts[host].targets.notice_receivers().to_vec();
        let pause = period(receivers.len()).as_millis() as u64;
        let load = self.load(host);
        let is_due = (self.now + phase).is_multiple_of(pause);
        if receivers.is_empty() || !is_due || load == self.hosts[host].last_notice {
            return;
        }
        self.hosts[host].last_notice = load.clone();
        self.hosts[host].sequence += 1;
        let sequence = self.hosts[host].sequence;
        for to in (0..all).filter(|to| receivers.contains(&host_id(*to))) {
            self.figures.notices += 1;
            self.send(host, to, NOTICE_LATENCY_MS, Content::Notice(load.clone(), sequence));
        }
    }

    fn load(&self, host: usize) -> Map<Box<str>, u32> {
        let in_flight = self.hosts[host].targets.in_flight();

        in_flight.map(|(id, calls)| (id.into(), calls)).collect()
    }

    fn send(&mut self, from: usize, to: usize, latency: u64, content: Content) {
        if self.is_whole || from % 2 == to % 2 {
            let key = (self.now + latency, self.number());
            self.messages.insert(key, (from, to, content));
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.messages.first_entry().filter(|m| m.key().0 <= self.now) {
            let (from, to, content) = first.remove();
            let now = self.instant();
            let host = &mut self.hosts[to];
            let load = match content {
                Content::Status(load, prompts) => {
                    host.heard_at[from] = self.now;
                    for (id, parts) in prompts {
                        host.targets.record_remote_prompts(&id, &parts);
                    }
                    host.notices.permits_status(now, host_id(from), RUN).then_some(load)
                }
                Content::Notice(load, sequence) => host
                    .notices
                    .record(now, host_id(from), RUN, sequence, Some(RUN))
                    .then_some(load),
            };
            if let Some(load) = load {
                host.targets.set_remote_load(host_id(from), load, Map::default());
            }
        }
    }

    fn drop_silent(&mut self, host: usize) {
        for other in 0..self.hosts.len() {
            if self.now > self.hosts[host].heard_at[other] + SILENCE_MS {
                let targets = &mut self.hosts[host].targets;
                targets.set_remote_load(host_id(other), Map::default(), Map::default());
            }
        }
    }
}
