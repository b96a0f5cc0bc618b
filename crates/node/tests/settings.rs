//! Settings: what is wrong is said, all at once, with its place.

use camphorwalk_node::{Error, Settings};
use serde_json::{Value, json};

/// A change that makes good settings wrong.
type Change = fn(&mut Value);

fn good() -> Value {
    json!({
        "name": "a1", "zone": "a",
        "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
        "operator_key_file": "key", "fleet_secret_file": "secret",
        "platform": { "address": "127.0.0.1:9000" },
    })
}

/// Returns the faults of the good settings after a change, as lines.
fn faults(change: impl FnOnce(&mut Value)) -> Vec<String> {
    let mut settings = good();
    change(&mut settings);

    match Settings::parse(&settings.to_string()) {
        Ok(_) => Vec::new(),
        Err(Error::Settings(faults)) => faults.iter().map(ToString::to_string).collect(),
        Err(e) => panic!("another kind of error: {e}"),
    }
}

#[test]
fn good_settings_are_taken() {
    assert_eq!(faults(|_| {}), Vec::<String>::new());
}

#[test]
fn each_fault_has_its_place_and_reason() {
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

/// A host would write its journal more often than its share of the platform allows, and be
/// refused while the platform is well; callers would be told that it is away.
#[test]
fn a_commit_interval_beyond_the_share_is_a_fault() {
    let found = faults(|s| {
        s["times"] = json!({ "commit_interval": "10ms" });
        s["platform"]["writes_per_second"] = json!(50);
    });

    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with("times.commit_interval: it leads to 100 writes"), "{found:?}");
}
