//! The example deployments have no faults and keep the sizes and properties that their users need.

mod fixtures;

use camphorwalk_core::config::{Config, TargetKind};
use camphorwalk_declare::{bundle, check, diff, unbundle};
use fixtures::config;
use sha2::{Digest as _, Sha256};

/// Counts the targets of a kind.
fn targets(config: &Config, kind: TargetKind) -> usize {
    config.targets.iter().filter(|target| target.kind == kind).count()
}

/// Returns whether a template's operation is idempotent.
fn is_idempotent(config: &Config, operation: &str) -> bool {
    let mut targets = config.templates.iter().flat_map(|template| &template.targets);

    targets.find(|target| target.operation.as_deref() == Some(operation)).unwrap().idempotent
}

#[test]
fn inkwick_has_the_given_sizes() {
    let config = config("inkwick");

    assert_eq!(config.fleet.zones.len(), 3);
    assert_eq!(targets(&config, TargetKind::Engine), 9);
    assert_eq!(targets(&config, TargetKind::Service), 3);
    assert_eq!(config.tenants.len(), 8);
    assert!(!is_idempotent(&config, "take-deposit"));
    assert!(!is_idempotent(&config, "send-artist"));
}

#[test]
fn inzira_has_the_given_sizes() {
    let config = config("inzira");

    assert_eq!(config.fleet.zones.len(), 4);
    assert_eq!(targets(&config, TargetKind::Engine), 9);
    assert_eq!(targets(&config, TargetKind::Service), 4);
    assert_eq!(config.tenants.len(), 8);
    for operation in ["order-timber", "invoice-family", "alert-crew"] {
        assert!(!is_idempotent(&config, operation));
    }
}

#[test]
fn class_arrival_has_the_first_rank() {
    let config = config("inkwick");

    let arrival = config.fleet.classes.iter().find(|class| &*class.name == "arrival").unwrap();

    let others = config.fleet.classes.iter().filter(|class| *class != arrival);
    assert!(others.map(|class| class.rank).all(|rank| rank > arrival.rank));
}

#[test]
fn example_keys_are_as_documented() {
    for name in ["inkwick", "inzira"] {
        for tenant in config(name).tenants {
            let secret = format!("{name}-{}-key", tenant.name);

            let digest = hex::encode(Sha256::digest(secret));

            assert_eq!(*tenant.keys[0].sha256, *digest);
        }
    }
}

#[test]
fn bundles_round_trip_exactly() {
    for name in ["inkwick", "inzira"] {
        let config = config(name);

        let bytes = bundle(&config);
        let back = unbundle(&bytes).unwrap();

        assert_eq!(back, config);
        assert_eq!(bundle(&back), bytes);
        assert_eq!(diff(&config, &back), []);
        assert_eq!(check(&back), []);
    }
}
