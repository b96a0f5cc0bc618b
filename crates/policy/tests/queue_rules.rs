//! The rules of the queues, one by one.

use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::config::{Class, Config, Fleet, Target, TargetKind, Zone};
use camphorwalk_core::ids::{ClassId, HostId, PoolId, ProgramId, TargetId, TenantId, ZoneId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::{ConfigVersion, Tokens};
use camphorwalk_policy::queue::{QueueEvent, QueueNext, QueueOptions, Queues};
use camphorwalk_policy::wire::{Asker, PlaceEnd, PlaceEndKind, PlaceRequest};

fn target(name: &str, zone: &str, window: u32) -> Target {
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

fn config(targets: Vec<Target>) -> Config {
    let zone = |name: &str| Zone { name: name.into(), region: "r".into() };
    let class = |name: &str, rank| Class { name: name.into(), rank };

    Config {
        version: ConfigVersion(1),
        fleet: Fleet {
            name: "f".into(),
            zones: vec![zone("a"), zone("b")],
            classes: vec![class("arrival", 0), class("chat", 1)],
            partitions: 64,
            slices: 16,
        },
        targets,
        templates: Vec::new(),
        tenants: Vec::new(),
    }
}

fn request(tenant: &str, class: &str) -> PlaceRequest {
    PlaceRequest {
        pool: PoolId::from_name("m"),
        tenant: TenantId::from_name(tenant),
        class: ClassId::from_name(class),
        program: ProgramId(1),
        attained: Tokens(0),
        prompt: Tokens(100),
        output: Tokens(100),
        deadline_left: Duration::from_secs(10),
        avoid: None,
        suspect: false,
    }
}

fn asker(number: u64) -> Asker {
    Asker { host: HostId(number / 100), number }
}

fn queues(targets: Vec<Target>) -> Queues {
    let mut queues = Queues::new(QueueOptions { zone: ZoneId::from_name("a") });
    let config = Arc::new(config(targets));
    queues.step(Instant(0), QueueEvent::Config(config), &mut Vec::new());

    queues
}

fn ask(queues: &mut Queues, number: u64, request: PlaceRequest) -> Vec<QueueNext> {
    let mut out = Vec::new();
    queues.step(Instant(0), QueueEvent::Ask { asker: asker(number), request }, &mut out);

    out
}

fn vacate(queues: &mut Queues, number: u64) -> Vec<QueueNext> {
    let end = PlaceEnd {
        how: PlaceEndKind::Finished,
        computed: Tokens(100),
        output: Tokens(10),
        program_over: false,
    };
    let mut out = Vec::new();
    queues.step(Instant(0), QueueEvent::Vacate { asker: asker(number), end }, &mut out);

    out
}

fn grant(number: u64, target: &str) -> Vec<QueueNext> {
    vec![QueueNext::Grant { asker: asker(number), target: TargetId::from_name(target) }]
}

#[test]
fn a_window_bounds_what_is_in_flight() {
    let mut queues = queues(vec![target("t", "a", 1)]);

    let first = ask(&mut queues, 1, request("x", "chat"));
    let second = ask(&mut queues, 2, request("x", "chat"));
    let after = vacate(&mut queues, 1);

    assert_eq!(first, grant(1, "t"));
    assert_eq!(second, []);
    assert_eq!(after, grant(2, "t"));
}

#[test]
fn asking_again_takes_no_second_place() {
    let mut queues = queues(vec![target("t", "a", 2)]);

    let first = ask(&mut queues, 1, request("x", "chat"));
    let again = ask(&mut queues, 1, request("x", "chat"));

    assert_eq!(first, again);
    assert_eq!(queues.in_flight(TargetId::from_name("t")), 1);
}

#[test]
fn vacating_twice_or_for_nobody_is_harmless() {
    let mut queues = queues(vec![target("t", "a", 2)]);
    ask(&mut queues, 1, request("x", "chat"));
    ask(&mut queues, 2, request("x", "chat"));

    vacate(&mut queues, 1);
    vacate(&mut queues, 1);
    vacate(&mut queues, 7);

    assert_eq!(queues.in_flight(TargetId::from_name("t")), 1);
}

#[test]
fn a_call_that_nothing_can_serve_is_refused_at_once() {
    let mut leaving = target("t", "a", 2);
    leaving.leaving = true;
    let mut queues = queues(vec![leaving]);

    let out = ask(&mut queues, 1, request("x", "chat"));

    assert!(matches!(out[..], [QueueNext::Refuse { .. }]));
}
