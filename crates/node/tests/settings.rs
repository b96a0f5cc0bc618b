//! Faulty settings are rejected, with the path and reason of every fault at once.

use camphorwalk_node::{Error, Settings};
use serde_json::{Value, json};

/// A change that makes valid settings faulty.
type Change = fn(&mut Value);

/// Returns valid settings.
fn valid() -> Value {
    json!({
        "name": "a1", "zone": "a",
        "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
        "operator_key_file": "key", "fleet_secret_file": "secret",
        "platform": { "address": "127.0.0.1:9000" },
    })
}

/// Applies a change to valid settings and returns the faults of the result, one line each.
fn faults(change: impl FnOnce(&mut Value)) -> Vec<String> {
    let mut settings = valid();
    change(&mut settings);

    match Settings::parse(&settings.to_string()) {
        Ok(_) => Vec::new(),
        Err(Error::Settings(faults)) => faults.iter().map(ToString::to_string).collect(),
        Err(e) => panic!("expected faults of settings, got: {e}"),
    }
}

#[test]
fn valid_settings_are_accepted() {
    assert_eq!(faults(|_| {}), Vec::<String>::new());
}

#[test]
fn each_fault_has_its_path_and_reason() {
    let cases: [(Change, &str); 9] = [
        (|s| s["name"] = json!(""), "name: it is empty"),
        (|s| s["zone"] = json!(7), "zone: a text is expected"),
        (|s| s["callers"] = json!("host:80"), "callers: an IP number with a port is expected"),
        (|s| s["colour"] = json!(1), "colour: there is no such setting"),
        (|s| s["platform"]["colour"] = json!(1), "platform.colour: there is no such setting"),
        (|s| s["limits"] = json!({ "body_bytes": 0 }), "limits.body_bytes: a whole number"),
        (|s| s["times"] = json!({ "lease_poll": "0s" }), "times.lease_poll: a time above zero"),
        (|s| s["times"] = json!({ "lease_poll": 5 }), "times.lease_poll: a text such as"),
        (|s| s["log"] = json!({ "level": "loud" }), "log.level: one of error, warn"),
    ];

    for (change, start) in cases {
        let found = faults(change);
        assert_eq!(found.len(), 1, "{found:?}");
        assert!(found[0].starts_with(start), "{found:?}");
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let found = faults(|s| {
        s["name"] = json!(1);
        s["peers"] = json!("nowhere");
        s["platform"] = json!([]);
        s["other"] = json!(null);
    });

    assert_eq!(found.len(), 4, "{found:?}");
}

/// With such a commit interval, the journal's writes would exceed the host's limit of writes per
/// second. Writes would be refused by the host's own limiter, and callers would be told that the
/// platform is unavailable although it works.
#[test]
fn a_commit_interval_that_exceeds_the_write_limit_is_a_fault() {
    let found = faults(|s| {
        s["times"] = json!({ "commit_interval": "10ms" });
        s["platform"]["writes_per_second"] = json!(50);
    });

    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with("times.commit_interval: it leads to 100 writes"), "{found:?}");
}
