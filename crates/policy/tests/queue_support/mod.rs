//! Shared fixtures of the queue tests.

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
pub const LOCAL_ZONE: &str = "a";

/// A zone other than that of the queues under test.
pub const REMOTE_ZONE: &str = "b";

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

/// A configuration with two zones, two classes (`arrival` goes before `chat`), and the tenants
/// `x`, `y` and `z` of weight 1.
pub fn config(targets: Vec<Target>) -> Config {
    let zone = |name: &str| Zone { name: name.into(), region: "r".into() };
    let class = |name: &str, rank| Class { name: name.into(), rank };
    let classes = vec![class("arrival", 0), class("chat", 1)];
    let zones = vec![zone(LOCAL_ZONE), zone(REMOTE_ZONE)];
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

/// A call with 100 prompt tokens whose program has already started, with a deadline in 100 s.
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

/// The identifier of a place request; each hundred numbers belong to another host.
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
pub struct Fixture {
    pub queues: Queues,
    pub now: Instant,
}

impl Fixture {
    pub fn new(targets: Vec<Target>) -> Self {
        let options = QueueOptions { zone: ZoneId::from_name(LOCAL_ZONE) };
        let mut fixture = Self { queues: Queues::new(options), now: Instant(0) };
        fixture.configure(targets);

        fixture
    }

    pub fn step(&mut self, event: QueueEvent) -> Vec<QueueAction> {
        let mut out = Vec::new();
        self.queues.step(self.now, event, &mut out);

        out
    }

    pub fn configure(&mut self, targets: Vec<Target>) -> Vec<QueueAction> {
        self.step(QueueEvent::Config(Arc::new(config(targets))))
    }

    pub fn request_place(&mut self, number: u64, request: PlaceRequest) -> Vec<QueueAction> {
        self.step(QueueEvent::Request { request_id: request_id(number), request })
    }

    pub fn release(&mut self, number: u64) -> Vec<QueueAction> {
        self.release_with(number, end(PlaceOutcome::Finished))
    }

    pub fn release_with(&mut self, number: u64, release: PlaceRelease) -> Vec<QueueAction> {
        self.step(QueueEvent::Release { request_id: request_id(number), release })
    }

    pub fn report_load(&mut self, target: &str, waiting: u32) -> Vec<QueueAction> {
        let report = LoadReport { running: 1, waiting, held: Tokens(0) };

        self.step(QueueEvent::Load { target: id(target), report })
    }

    /// Advances the clock, and wakes the queues whenever that is due.
    pub fn advance(&mut self, time: Duration) -> Vec<QueueAction> {
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
