//! The queues of the pools that this host keeps: which call next, and at which target.
//!
//! [`Queues`] owns the parts and moves calls between them: [`waiting`] holds the calls that
//! wait and their order, [`targets`] the windows.

pub mod targets;
pub mod waiting;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::config::Config;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{HostId, PoolId, ProgramId, TargetId, ZoneId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use self::targets::Targets;
use self::waiting::{Call, Waiting};
use crate::wire::{Asker, PlaceEnd, PlaceRequest};

/// What an engine says of its load; it lags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in its batch.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Tokens held in its cache.
    pub held: Tokens,
}

/// Something that happened, as far as queues mind.
#[derive(Clone, Debug)]
pub enum QueueEvent {
    /// This configuration is in force from now on.
    Config(Arc<Config>),
    /// A call asks for a place.
    Ask {
        /// Who asks.
        asker: Asker,
        /// For what.
        request: PlaceRequest,
    },
    /// A place is free again, or a question is withdrawn.
    Vacate {
        /// Who asked for it.
        asker: Asker,
        /// How the place was used.
        end: PlaceEnd,
    },
    /// A host is gone with all that it asked for.
    HostGone(HostId),
    /// An engine reported its load.
    Load {
        /// The target.
        target: TargetId,
        /// Its report.
        report: LoadReport,
    },
    /// An engine says, late and with gaps, that it dropped a program's prefix.
    Evicted {
        /// The target.
        target: TargetId,
        /// The program.
        program: ProgramId,
    },
    /// Time has passed; see [`Queues::wake_at`].
    Wake,
}

/// What to do next for a call that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueNext {
    /// It may go to this target.
    Grant {
        /// Who asked.
        asker: Asker,
        /// The target.
        target: TargetId,
    },
    /// It cannot be served in time: it is told so at once.
    Refuse {
        /// Who asked.
        asker: Asker,
        /// When a later try can help.
        retry_after: Duration,
    },
}

/// Settings of [`Queues`].
#[derive(Clone, Debug)]
pub struct QueueOptions {
    /// The availability zone of this host: it places calls at this zone's targets first.
    pub zone: ZoneId,
}

/// How long after its deadline a place is taken for abandoned.
const HOLD_GRACE: Duration = Duration::from_secs(5);

/// When to come back after a refusal for want of any target.
const RETRY_NO_TARGET: Duration = Duration::from_secs(5);

/// A place that a call holds at a target.
#[derive(Clone, Copy, Debug)]
struct Place {
    request: PlaceRequest,
    target: TargetId,
    /// When it is taken back, should no [`QueueEvent::Vacate`] come.
    expires: Instant,
}

/// The queues that this host keeps.
#[derive(Debug)]
pub struct Queues {
    options: QueueOptions,
    targets: Targets,
    waiting: Waiting,
    places: Map<Asker, Place>,
    expiries: BTreeSet<(Instant, Asker)>,
}

impl Queues {
    /// Makes empty queues.
    pub fn new(options: QueueOptions) -> Self {
        Self {
            options,
            targets: Targets::default(),
            waiting: Waiting::default(),
            places: Map::default(),
            expiries: BTreeSet::new(),
        }
    }

    /// Takes in an event and appends what to do next to `out`.
    pub fn step(&mut self, now: Instant, event: QueueEvent, out: &mut Vec<QueueNext>) {
        match event {
            QueueEvent::Config(config) => self.configure(&config, now, out),
            QueueEvent::Ask { asker, request } => self.ask(now, asker, request, out),
            QueueEvent::Vacate { asker, end } => self.vacate(now, asker, end, out),
            QueueEvent::HostGone(host) => self.host_gone(now, host, out),
            QueueEvent::Load { target, report } => self.targets.report(target, report),
            QueueEvent::Evicted { .. } => {}
            QueueEvent::Wake => self.expire(now, out),
        }
    }

    /// Returns when [`QueueEvent::Wake`] is due.
    pub fn wake_at(&self) -> Option<Instant> {
        let place = self.expiries.first().map(|(at, _)| *at);
        let call = self.waiting.first_deadline();

        place.into_iter().chain(call).min()
    }

    /// Returns how many calls wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many calls this host has in flight at a target.
    pub fn in_flight(&self, target: TargetId) -> u32 {
        self.targets.get(target).map_or(0, |target| target.in_flight)
    }

    fn configure(&mut self, config: &Config, now: Instant, out: &mut Vec<QueueNext>) {
        self.targets.configure(config, self.options.zone);
        self.waiting.configure(config);

        for pool in self.waiting.pools() {
            self.serve(now, pool, out);
        }
    }

    fn ask(&mut self, now: Instant, asker: Asker, request: PlaceRequest, out: &mut Vec<QueueNext>) {
        // A message sent again after a reconnect must not take a second place.
        if let Some(place) = self.places.get(&asker) {
            out.push(QueueNext::Grant { asker, target: place.target });
            return;
        }

        if self.waiting.contains(asker) {
            return;
        }

        if !self.targets.can_serve(request.pool) {
            out.push(QueueNext::Refuse { asker, retry_after: RETRY_NO_TARGET });
            return;
        }

        self.waiting.insert(now, asker, request);
        self.serve(now, request.pool, out);
    }

    fn vacate(&mut self, now: Instant, asker: Asker, _end: PlaceEnd, out: &mut Vec<QueueNext>) {
        self.waiting.remove(asker);

        if let Some(pool) = self.free(asker) {
            self.serve(now, pool, out);
        }
    }

    fn host_gone(&mut self, now: Instant, host: HostId, out: &mut Vec<QueueNext>) {
        self.waiting.remove_host(host);

        let mut held: Vec<Asker> =
            self.places.keys().copied().filter(|asker| asker.host == host).collect();
        held.sort_unstable();

        for asker in held {
            if let Some(pool) = self.free(asker) {
                self.serve(now, pool, out);
            }
        }
    }

    fn expire(&mut self, now: Instant, out: &mut Vec<QueueNext>) {
        for asker in self.waiting.take_overdue(now) {
            out.push(QueueNext::Refuse { asker, retry_after: RETRY_NO_TARGET });
        }

        while let Some((at, asker)) = self.expiries.first().copied().filter(|(at, _)| *at <= now) {
            self.expiries.remove(&(at, asker));

            if let Some(pool) = self.free(asker) {
                self.serve(now, pool, out);
            }
        }
    }

    /// Takes a place back and returns its pool.
    fn free(&mut self, asker: Asker) -> Option<PoolId> {
        let place = self.places.remove(&asker)?;
        self.expiries.remove(&(place.expires, asker));
        self.targets.leave(place.target);

        Some(place.request.pool)
    }

    /// Grants places of a pool for as long as one is free and a call can take it.
    fn serve(&mut self, now: Instant, pool: PoolId, out: &mut Vec<QueueNext>) {
        if !self.targets.can_serve(pool) {
            for asker in self.waiting.take_pool(pool) {
                out.push(QueueNext::Refuse { asker, retry_after: RETRY_NO_TARGET });
            }
            return;
        }

        while let Some(call) = self.waiting.next(pool, |request| self.targets.choose(request)) {
            let Call { asker, request, target } = call;
            let expires = now + request.deadline_left + HOLD_GRACE;

            self.targets.enter(target, request.suspect);
            self.places.insert(asker, Place { request, target, expires });
            self.expiries.insert((expires, asker));
            out.push(QueueNext::Grant { asker, target });
        }
    }
}
