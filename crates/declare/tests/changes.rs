//! Differences between configurations, as operators see them before they apply a change.

mod fixtures;

use camphorwalk_core::config::{Config, Key};
use camphorwalk_core::units::ConfigVersion;
use camphorwalk_declare::diff;
use fixtures::config;
use insta::assert_snapshot;

/// Returns the changes from one configuration to another, one per line.
fn changes(old: &Config, new: &Config) -> String {
    diff(old, new).iter().map(|change| format!("{change}\n")).collect()
}

#[test]
fn entries_of_lists_are_matched_by_name() {
    let old = config("inkwick");
    let mut new = old.clone();
    new.targets.remove(0);
    new.targets[0].leaving = true;
    new.tenants[1].rate_per_second = 8.5;
    new.tenants[1].assistants[0].class = "planning".into();
    new.tenants[2].keys = vec![Key { id: "new".into(), sha256: "0".repeat(64).into() }];
    new.fleet.zones[0].region = "north".into();

    assert_snapshot!(changes(&old, &new), @r#"
    ~ $.fleet.zones["midlands-a"].region: "midlands" -> "north"
    - $.targets["sketch-1"]: {"address":"127.0.0.1:21001","cache_tokens":400000,"checks_fencing":true,"kind":"engine","leaving":false,"name":"sketch-1","pool":"sketch-model","window":8,"zone":"midlands-a"}
    ~ $.targets["sketch-2"].leaving: false -> true
    ~ $.tenants["floor-artists"].assistants["arrival-check-in"].class: "arrival" -> "planning"
    ~ $.tenants["floor-artists"].rate_per_second: 6.0 -> 8.5
    - $.tenants["larkhall-weddings"].keys["larkhall-weddings-1"]: {"id":"larkhall-weddings-1","sha256":"95fb5c6cb41e031beae00fb91c8b3a232a4cf233828fd331e3f4326e013a0f21"}
    + $.tenants["larkhall-weddings"].keys["new"]: {"id":"new","sha256":"0000000000000000000000000000000000000000000000000000000000000000"}
    "#);
}

#[test]
fn order_and_version_are_not_compared() {
    let old = config("inzira");
    let mut new = old.clone();
    new.targets.reverse();
    new.version = ConfigVersion(7);

    assert_eq!(diff(&old, &new), []);
}
