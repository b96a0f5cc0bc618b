//! Fixtures of the queues' tests.

#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::config::{Class, Config, Fleet, Target, TargetKind, Tenant, Zone};
use camphorwalk_core::ids::{ClassId, HostId, PoolId, ProgramId, TargetId, TenantId, ZoneId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::{ConfigVersion, Tokens};
use camphorwalk_policy::queue::{LoadReport, QueueAction, QueueEvent, QueueOptions, Queues};
use camphorwalk_policy::shared_types::{PlaceOutcome, PlaceRelease, PlaceRequest, PlaceRequestId};

/// The zone of the queues under test.
pub const NEAR: &str = "a";

/// Another zone.
pub const FAR: &str = "b";

pub fn target(name: &str, zone: &str, window: u32) -> Target {
    Target {
        name: name.into(),
        pool: "m".into(),
        kind: TargetKind::Engine,
        zone: zone.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        window,
        cache_tokens: Tokens(10_000),
        checks_fencing: false,
        leaving: false,
    }
}

pub fn leaving(name: &str, zone: &str, window: u32) -> Target {
    Target { leaving: true, ..target(name, zone, window) }
}

/// Two zones, two classes (`arrival` before `chat`), tenants `x`, `y` and `z` of weight 1.
pub fn config(targets: Vec<Target>) -> Config {
    let zone = |name: &str| Zone { name: name.into(), region: "r".into() };
    let class = |name: &str, rank| Class { name: name.into(), rank };
    let classes = vec![class("arrival", 0), class("chat", 1)];
    let zones = vec![zone(NEAR), zone(FAR)];
    let fleet = Fleet { name: "f".into(), zones, classes, partitions: 64, slices: 16 };
    let tenants = ["x", "y", "z"].map(tenant).into();

    Config { version: ConfigVersion(1), fleet, targets, templates: Vec::new(), tenants }
}

fn tenant(name: &str) -> Tenant {
    Tenant {
        name: name.into(),
        assistants: Vec::new(),
        rate_per_second: 1.0,
        burst: 1,
        budget_tokens: Tokens(1),
        weight: 1,
        keys: Vec::new(),
        serve_when_cut_off: true,
    }
}

/// A call of 100 prompt tokens of a program that goes on, due in 100 s.
pub fn request(tenant: &str, class: &str, program: u128) -> PlaceRequest {
    PlaceRequest {
        pool: PoolId::from_name("m"),
        tenant: TenantId::from_name(tenant),
        class: ClassId::from_name(class),
        program: ProgramId(program),
        attained: Tokens(100),
        prompt: Tokens(100),
        output: Tokens(100),
        deadline_left: Duration::from_secs(100),
        avoid: None,
        suspect: false,
    }
}

/// The asker with this number; each hundred is another host.
pub fn request_id(number: u64) -> PlaceRequestId {
    PlaceRequestId { host: HostId(number / 100), number }
}

pub fn end(outcome: PlaceOutcome) -> PlaceRelease {
    PlaceRelease {
        outcome,
        computed_prompt: Tokens(100),
        output: Tokens(100),
        program_ended: false,
    }
}

pub fn id(target: &str) -> TargetId {
    TargetId::from_name(target)
}

pub fn grant(number: u64, target: &str) -> Vec<QueueAction> {
    vec![QueueAction::Grant { request_id: request_id(number), target: id(target) }]
}

/// Queues with a clock that the test moves.
pub struct Bench {
    pub queues: Queues,
    pub now: Instant,
}

impl Bench {
    pub fn new(targets: Vec<Target>) -> Self {
        let options = QueueOptions { zone: ZoneId::from_name(NEAR) };
        let mut bench = Self { queues: Queues::new(options), now: Instant(0) };
        bench.configure(targets);

        bench
    }

    pub fn step(&mut self, event: QueueEvent) -> Vec<QueueAction> {
        let mut out = Vec::new();
        self.queues.step(self.now, event, &mut out);

        out
    }

    pub fn configure(&mut self, targets: Vec<Target>) -> Vec<QueueAction> {
        self.step(QueueEvent::Config(Arc::new(config(targets))))
    }

    pub fn ask(&mut self, number: u64, request: PlaceRequest) -> Vec<QueueAction> {
        self.step(QueueEvent::Request { request_id: request_id(number), request })
    }

    pub fn vacate(&mut self, number: u64) -> Vec<QueueAction> {
        self.vacate_with(number, end(PlaceOutcome::Finished))
    }

    pub fn vacate_with(&mut self, number: u64, end: PlaceRelease) -> Vec<QueueAction> {
        self.step(QueueEvent::Release { request_id: request_id(number), end })
    }

    pub fn load(&mut self, target: &str, waiting: u32) -> Vec<QueueAction> {
        let report = LoadReport { running: 1, waiting, held: Tokens(0) };

        self.step(QueueEvent::Load { target: id(target), report })
    }

    /// Moves the clock, waking the queues whenever they ask for it.
    pub fn pass(&mut self, time: Duration) -> Vec<QueueAction> {
        let until = self.now + time;
        let mut out = Vec::new();

        while let Some(at) = self.queues.wake_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            out.extend(self.step(QueueEvent::Wake));
        }

        self.now = until;

        out
    }
}
