//! Which target gets a call.
//!
//! A host knows what it sent itself, and several times a second hears what the others have in
//! flight at each target. From that it estimates for each target how long the call would take
//! there: the prompt parts that are not cached, the generation at the target's own speed, and
//! the wait behind what is in flight beyond its slots.

use std::net::SocketAddr;
use std::time::Duration;

use camphorwalk_core::entry::{TargetEntry, TargetState};
use camphorwalk_core::hash::{Map, rendezvous_weight, stable_hash};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use slotmap::SlotMap;

use crate::entry::prompts::{Part, Prompts};
use crate::entry::work::Work;

slotmap::new_key_type! {
    /// A run of a target, as this host knows it.
    pub struct TargetKey;
}

/// What a target in another availability zone costs more, in milliseconds: the way there and
/// back, and the price of the bytes.
const FAR_MS: f64 = 4.0;

/// How likely a target of another availability zone is drawn, against one of the host's own with as
/// many free slots. A line that begins there sends each prompt across, is known by older news,
/// and breaks when the zone is cut off; but a zone's callers may need more than its targets have.
const FAR_WEIGHT: f64 = 0.25;

/// How likely a target without a free slot is drawn, against one with a single free slot.
const FULL_WEIGHT: f64 = 0.05;

/// How many calls beyond its slots a target may have before calls wait at the hosts. A few keep
/// a slot from standing idle between two calls; more would wait in the order of their arrival
/// instead of that of their rank.
const QUEUED_AT_TARGET: u32 = 2;

/// After so many failures in a row a target gets no calls for a while.
const FAILURES_TO_EJECT: u32 = 2;

/// How long a target gets no calls after it failed, the first time and at most. A target that
/// crashed is back after some seconds.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
const LONGEST_EJECTION: Duration = Duration::from_secs(4);

/// What of its time a call saves at a target that handled its object of late.
const WARM_PART: f64 = 0.5;

/// A target as this host sees it.
#[derive(Clone, Debug)]
pub struct Target {
    /// What it says of itself.
    pub entry: TargetEntry,
    /// A hash of its id.
    name: u64,
    /// Whether its entry is gone or says that it leaves: it gets nothing new.
    pub leaving: bool,
    /// Calls of this host in flight.
    own: u32,
    /// Calls of the other hosts in flight, as they last told.
    others: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    prompts: Prompts,
    /// The last parts of the prompts that were sent here, which the other hosts are to be told.
    news: Vec<Part>,
}

/// The part of a target's slots up to which calls of new programs go there, by rank: the first
/// rank, and all others.
///
/// When many users come at once, programs that are begun take longer and longer, until all are
/// late and none is refused. With a part of the slots left to programs under way those finish
/// in time, and a new one is told at once to come back. The first rank may take more, so that it
/// is served first.
const NEW_PROGRAMS_PART: [f64; 2] = [0.95, 0.85];

/// The part of all slots of a service up to which new programs begin, by rank as above. What is left
/// takes the turns of those under way, which come in clumps.
const CROWDED_PART: [f64; 2] = [0.9, 0.8];

/// What is asked of a target.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest {
    /// The rank of the call if it begins a program.
    pub new_program_rank: Option<u32>,
    /// The prompt parts, in order. While they are read, all calls at the target stand still.
    pub parts: Vec<Part>,
    /// The object that the call is about, of a call without a prompt.
    pub object: Option<u64>,
    /// Targets that the call was sent to already.
    pub avoid: Vec<TargetKey>,
    /// What is drawn by for a call without a prompt: different for each.
    pub seed: u64,
}

impl PlacementRequest {
    /// Returns what targets are drawn by. For a line of turns it is the same at all hosts, so that
    /// they draw the same target for it if they know the same.
    fn draw(&self) -> u64 {
        self.parts.last().map_or(self.seed, |(id, _)| *id)
    }

    /// Returns the most calls that a target with so many slots may have for this one to go there.
    fn limit(&self, slots: u32) -> u32 {
        match self.new_program_rank {
            None => slots + QUEUED_AT_TARGET,
            Some(rank) => {
                let part = NEW_PROGRAMS_PART[usize::from(rank > 0)];
                // Truncated, but a target of few slots takes one call at least.
                ((f64::from(slots) * part) as u32).max(1)
            }
        }
    }
}

/// Where a call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To this target.
    Target(TargetKey),
    /// All that could take it are full: it waits.
    Full,
    /// No target of the service can be used.
    NoTarget,
}

/// How a call at a target ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It answered, after the call held its slot this long.
    Answered(Duration),
    /// It refused the call without running it: it is full.
    Shed,
    /// The connection failed, or nothing came in time.
    Failed,
    /// The call ended for reasons of its own: the caller left.
    Abandoned,
}

/// All targets.
#[derive(Debug, Default)]
pub struct Targets {
    targets: SlotMap<TargetKey, Target>,
    by_id: Map<Box<str>, TargetKey>,
    by_service: Map<Box<str>, Vec<TargetKey>>,
    work: Map<Box<str>, Work>,
    zone: Box<str>,
    told: Map<HostId, Map<Box<str>, u32>>,
    /// The calls under way that wait at other hosts, by host and service.
    waiting: Map<HostId, Map<Box<str>, u32>>,
}

impl Targets {
    /// Begins with no targets; `zone` is the host's own.
    pub fn new(zone: &str) -> Self {
        Self { zone: zone.into(), ..Self::default() }
    }

    /// Returns a target.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns the target with this id.
    pub fn by_id(&self, id: &str) -> Option<&Target> {
        self.targets.get(*self.by_id.get(id)?)
    }

    /// Returns the targets of a service that may get calls.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (TargetKey, &Target)> {
        let keys = self.by_service.get(service).into_iter().flatten();

        keys.filter_map(|key| Some((*key, self.targets.get(*key)?))).filter(|(_, t)| !t.leaving)
    }

    /// Takes in an entry; returns the key of a former run whose connections are to be closed.
    pub fn put(&mut self, entry: TargetEntry) -> Option<TargetKey> {
        let leaving = entry.state == TargetState::Draining;

        if let Some(key) = self.by_id.get(&entry.id).copied() {
            let known = &mut self.targets[key];
            let is_same_run =
                known.entry.born == entry.born && known.entry.address == entry.address;

            if is_same_run {
                let moved = known.entry.service != entry.service;
                known.entry = entry;
                known.leaving = leaving;
                if moved {
                    self.index();
                }
                return None;
            }

            self.remove(key);
            self.insert(entry, leaving);
            return Some(key);
        }

        self.insert(entry, leaving);
        None
    }

    fn insert(&mut self, entry: TargetEntry, leaving: bool) {
        let id = entry.id.clone();
        let service = entry.service.clone();
        let others = self.told.values().filter_map(|told| told.get(&id)).sum();
        let key = self.targets.insert(Target {
            name: stable_hash(&[id.as_bytes()]),
            entry,
            leaving,
            own: 0,
            others,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            prompts: Prompts::default(),
            news: Vec::new(),
        });

        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
    }

    /// Takes in that a target's entry is gone: it gets nothing new, and is forgotten.
    pub fn remove_by_id(&mut self, id: &str) -> Option<TargetKey> {
        let key = self.by_id.get(id).copied()?;
        self.remove(key);

        Some(key)
    }

    fn remove(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.remove(key) {
            self.by_id.remove(&target.entry.id);
            self.index();
        }
    }

    fn index(&mut self) {
        self.by_service.clear();

        for (key, target) in &self.targets {
            self.by_service.entry(target.entry.service.clone()).or_default().push(key);
        }
    }

    /// Returns what this host has in flight at each target, to be told to the others.
    pub fn in_flight(&self) -> impl Iterator<Item = (&str, u32)> {
        self.targets.values().filter(|t| t.own > 0).map(|t| (&*t.entry.id, t.own))
    }

    /// Takes in what another host has in flight by target, and what waits there by service;
    /// empty maps if it is silent.
    pub fn set_remote_load(
        &mut self,
        host: HostId,
        in_flight: Map<Box<str>, u32>,
        waiting: Map<Box<str>, u32>,
    ) {
        // Only what this host tells is taken out and put in: each message costs as much as it
        // names targets, however many hosts and targets there are.
        for (id, calls) in self.told.remove(&host).unwrap_or_default() {
            self.change_others(&id, |others| others.saturating_sub(calls));
        }
        for (id, calls) in &in_flight {
            self.change_others(id, |others| others + calls);
        }
        self.told.insert(host, in_flight);
        self.waiting.insert(host, waiting);
    }

    fn change_others(&mut self, id: &str, change: impl FnOnce(u32) -> u32) {
        let target = self.by_id.get(id).and_then(|key| self.targets.get_mut(*key));

        if let Some(target) = target {
            target.others = change(target.others);
        }
    }

    /// Takes in that another host sent prompts to a target, of which these are the last parts.
    pub fn record_remote_prompts(&mut self, id: &str, parts: &[Part]) {
        let target = self.by_id.get(id).and_then(|key| self.targets.get_mut(*key));

        if let Some(target) = target {
            parts.iter().for_each(|part| target.prompts.remember(*part));
        }
    }

    /// Returns the last parts of the prompts that this host sent to each target since it was last
    /// asked, by target id.
    pub fn take_updates(&mut self) -> Vec<(Box<str>, Vec<Part>)> {
        let targets = self.targets.values_mut().filter(|target| !target.news.is_empty());

        targets.map(|t| (t.entry.id.clone(), std::mem::take(&mut t.news))).collect()
    }

    /// Chooses the target of a service for a call: of those that hold its prompt and two others
    /// the one at which it costs least time, its own and that of the calls that run there.
    ///
    /// What others have in flight is known by news that are as old as a call is long. If all hosts
    /// took the target that seems best, they would all take the same one until the next news. So
    /// the two others are drawn, each target as likely as it has free slots.
    pub fn choose(&self, now: Instant, service: &str, shape: &PlacementRequest) -> Choice {
        let usable = |(key, target): &(TargetKey, &Target)| {
            !shape.avoid.contains(key) && !target.is_ejected(now)
        };
        let is_held_back =
            shape.new_program_rank.is_some_and(|rank| self.is_crowded(now, service, rank))
                || shape.new_program_rank.is_some() && self.is_awaited(service);
        let work = self.work(service);
        let draw = shape.draw();
        let mut any = false;
        let mut holder: Option<(f64, TargetKey)> = None;
        let mut drawn: [Option<(f64, TargetKey)>; 2] = [None; 2];

        for (key, target) in self.of_service(service).filter(usable) {
            any = true;

            if is_held_back || !target.has_room(shape) {
                continue;
            }
            if target.holds_line(shape) {
                keep_least(&mut holder, (self.cost(target, &work, shape), key));
            }
            let nearness = if self.is_near(target) { 1.0 } else { FAR_WEIGHT };
            let place = target.draw(draw, shape) / nearness;
            if drawn[0].is_none_or(|(first, _)| place < first) {
                drawn = [Some((place, key)), drawn[0]];
            } else {
                keep_least(&mut drawn[1], (place, key));
            }
        }

        let mut best = holder;
        for (_, key) in drawn.into_iter().flatten() {
            keep_least(&mut best, (self.cost(&self.targets[key], &work, shape), key));
        }
        match best {
            Some((_, key)) => Choice::Target(key),
            None if any => Choice::Full,
            None => Choice::NoTarget,
        }
    }

    fn cost(&self, target: &Target, work: &Work, shape: &PlacementRequest) -> f64 {
        let way = if self.is_near(target) { 0.0 } else { FAR_MS };

        target.cost(work, shape) + way
    }

    fn is_near(&self, target: &Target) -> bool {
        target.entry.zone == self.zone
    }

    fn work(&self, service: &str) -> Work {
        self.work.get(service).copied().unwrap_or_default()
    }

    /// Returns whether a service's targets together have no room for a new program of a rank.
    ///
    /// One of many targets mostly has a free slot, by news that are a tenth of a second old, while
    /// the others are over their full slots: the mean of all tells how fast programs get on.
    fn is_crowded(&self, now: Instant, service: &str, rank: u32) -> bool {
        let (slots, load) = self.capacity(now, service);

        f64::from(load) >= f64::from(slots) * CROWDED_PART[usize::from(rank > 0)]
    }

    /// Returns whether turns under way wait for a service at other hosts. One or two may wait for
    /// one target although others are free.
    fn is_awaited(&self, service: &str) -> bool {
        const MOST_WAITING: u32 = 2;
        let waiting = self.waiting.values().filter_map(|waiting| waiting.get(service));

        waiting.sum::<u32>() > MOST_WAITING
    }

    /// Returns the mean time that a call holds a slot of a service's targets.
    pub fn mean_hold(&self, service: &str) -> Duration {
        Duration::from_secs_f64(self.work(service).hold_ms() / 1_000.0)
    }

    /// Counts a call that is sent to a target. Returns the prompt tokens that are to be read.
    pub fn record_sent(&mut self, key: TargetKey, shape: &PlacementRequest) -> u32 {
        let Some(target) = self.targets.get_mut(key) else { return 0 };
        target.own += 1;
        if let Some(object) = shape.object {
            target.prompts.remember((object, 1));
        }
        let Some(last) = shape.parts.last() else { return 0 };

        let missing = target.prompts.missing(&shape.parts);
        shape.parts.iter().for_each(|part| target.prompts.remember(*part));
        target.news.push(*last);
        work_of(&mut self.work, &target.entry.service).sent(missing);

        missing
    }

    /// Takes in that the first event of a stream came `waited` after it was sent, while `missing`
    /// prompt tokens were read.
    pub fn record_first_event(&mut self, key: TargetKey, missing: u32, waited: Duration) {
        let Some(target) = self.targets.get(key) else { return };

        // Behind full slots the time is that of others.
        if target.load() <= target.entry.slots {
            work_of(&mut self.work, &target.entry.service).read(missing, waited);
        }
    }

    /// Takes in that a target made `events` events after the first one in this time.
    pub fn record_events(&mut self, key: TargetKey, events: u32, took: Duration) {
        if let Some(target) = self.targets.get(key) {
            work_of(&mut self.work, &target.entry.service).made(events, took);
        }
    }

    /// Counts a call out, and learns from how it ended. Returns whether the target was ejected.
    pub fn record_outcome(&mut self, now: Instant, key: TargetKey, outcome: Outcome) -> bool {
        let Some(target) = self.targets.get_mut(key) else { return false };
        target.own = target.own.saturating_sub(1);

        match outcome {
            Outcome::Answered(held) => {
                target.failures = 0;
                target.ejections = 0;
                target.ejected_until = None;
                work_of(&mut self.work, &target.entry.service).ended(held);
                false
            }
            Outcome::Abandoned => false,
            Outcome::Shed => false,
            Outcome::Failed => target.fail(now),
        }
    }

    /// Returns when the first ejected target of a service gets calls again.
    pub fn time_to_readmission(&self, now: Instant, service: &str) -> Option<Duration> {
        let until = self.of_service(service).filter_map(|(_, target)| target.ejected_until);

        until.min().map(|at| at.since(now))
    }

    /// Returns the slots of a service's usable targets, and what is in flight there.
    pub fn capacity(&self, now: Instant, service: &str) -> (u32, u32) {
        let usable = self.of_service(service).filter(|(_, target)| !target.is_ejected(now));

        usable.fold((0, 0), |(slots, load), (_, t)| (slots + t.entry.slots, load + t.load()))
    }

    /// Returns where a target listens.
    pub fn address(&self, key: TargetKey) -> Option<SocketAddr> {
        self.targets.get(key).map(|target| target.entry.address)
    }
}

impl Target {
    /// Returns the calls in flight, of all hosts.
    pub fn load(&self) -> u32 {
        self.own + self.others
    }

    fn has_room(&self, shape: &PlacementRequest) -> bool {
        self.load() < shape.limit(self.entry.slots)
    }

    /// Returns whether the target had the call's object of late, or holds more of its prompt than
    /// the part that calls of a kind share.
    fn holds_line(&self, shape: &PlacementRequest) -> bool {
        let own = shape.parts.iter().skip(1).map(|(id, _)| *id);

        own.chain(shape.object).any(|id| self.prompts.holds(id))
    }

    /// Returns the target's place in a draw, the least being drawn first: a random number by its
    /// name that is the smaller, the more slots are free.
    fn draw(&self, draw: u64, shape: &PlacementRequest) -> f64 {
        let free = shape.limit(self.entry.slots).min(self.entry.slots).saturating_sub(self.load());
        let weight = f64::from(free).max(FULL_WEIGHT);
        let random = (rendezvous_weight(draw, self.name).0 >> 11) as f64 / (1u64 << 53) as f64;

        -random.max(f64::MIN_POSITIVE).ln() / weight
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the milliseconds that a call costs here, beside the time that it takes anywhere: those
    /// for which it waits, its prompt is read and its neighbours hold it up, and those for which
    /// they stand still while its prompt is read.
    fn cost(&self, work: &Work, shape: &PlacementRequest) -> f64 {
        let slots = self.entry.slots.max(1);
        let load = self.load();
        let running = f64::from(load.min(slots));

        let reading = work.reading_ms(self.prompts.missing(&shape.parts));
        let waiting = f64::from((load + 1).saturating_sub(slots));
        let wait = waiting * work.hold_ms() / f64::from(slots);
        let is_warm = shape.object.is_some_and(|object| self.prompts.holds(object));
        let saved = if is_warm { work.hold_ms() * WARM_PART } else { 0.0 };

        reading * (1.0 + running) + work.stall_ms() * running - saved + wait
    }

    fn fail(&mut self, now: Instant) -> bool {
        self.failures += 1;

        if self.failures < FAILURES_TO_EJECT || self.is_ejected(now) {
            return false;
        }

        let ejection = FIRST_EJECTION * 2u32.saturating_pow(self.ejections);
        self.ejections += 1;
        self.ejected_until = Some(now + ejection.min(LONGEST_EJECTION));
        true
    }
}

/// Keeps the candidate that costs least.
fn keep_least(best: &mut Option<(f64, TargetKey)>, candidate: (f64, TargetKey)) {
    if best.is_none_or(|(least, _)| candidate.0 < least) {
        *best = Some(candidate);
    }
}

/// Returns what the calls of a service are like.
fn work_of<'a>(work: &'a mut Map<Box<str>, Work>, service: &str) -> &'a mut Work {
    if !work.contains_key(service) {
        work.insert(service.into(), Work::default());
    }

    work.entry(service.into()).or_default()
}
