//! The choice of routes and services, and stored turns.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::entry::{CallLimits, RetryPolicy, Route, Routing, WeightedService};
use camphorwalk_policy::entry::routes::{Adoption, RouteTable, adoption, choose_service};
use camphorwalk_policy::entry::turns::{MAX_ROW_AGE, ROW_MARGIN, Turn, TurnCache, TurnKey, pack};

fn route(hostname: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    let services = services
        .iter()
        .map(|(s, weight)| WeightedService { service: (*s).into(), weight: *weight });

    Route {
        name: prefix.into(),
        hostname: hostname.into(),
        prefix: prefix.into(),
        services: services.collect(),
        retry_policy: RetryPolicy::Idempotent,
        max_targets: 1,
        timeout: None,
        latency_objective: Duration::from_millis(200),
        rank: 0,
        public: true,
        sticky: false,
        stores_turns: false,
        retention: None,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    let limits = CallLimits {
        head_bytes: 1,
        body_bytes: 1,
        head_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };

    RouteTable::new(Arc::new(Routing {
        version: 1,
        routes,
        services: Default::default(),
        tenants: Vec::new(),
        keys: Default::default(),
        limits,
    }))
}

#[test]
fn the_longest_prefix_of_the_host_name_wins() {
    let table = table(vec![
        route("h", "/a/", &[]),
        route("h", "/a/b/", &[]),
        route("other", "/a/b/c/", &[]),
    ]);

    assert_eq!(table.find("h", "/a/b/c/d"), Some(1));
    assert_eq!(table.find("H:8080", "/a/x"), Some(0));
    assert_eq!(table.find("h", "/x/"), None);
    assert_eq!(table.find("unknown", "/a/"), None);
}

#[test]
fn an_older_manifest_is_never_adopted() {
    // The store's change notice may arrive late over one path, after a newer manifest has arrived
    // over another.
    assert_eq!(adoption(None, 3), Adoption::Adopt);
    assert_eq!(adoption(Some(3), 3), Adoption::Ignore);
    assert_eq!(adoption(Some(9), 3), Adoption::Ignore);
}

#[test]
fn a_split_route_keeps_each_conversation_at_one_service() {
    let split = route("h", "/", &[("old", 90), ("new", 10)]);

    let chosen: Vec<_> =
        (0..1_000).map(|i| choose_service(&split, &format!("line-{i}")).unwrap()).collect();
    let new = chosen.iter().filter(|s| **s == "new").count();

    assert!((60..150).contains(&new), "{new} of 1,000");
    assert_eq!(choose_service(&split, "line-1"), choose_service(&split, "line-1"));
    assert_eq!(choose_service(&route("h", "/", &[("none", 0)]), "line"), None);
}

#[test]
fn a_turn_of_one_tenant_is_not_found_by_another() {
    assert_ne!(TurnKey::new("easel", "t-1"), TurnKey::new("ramp", "t-1"));
}

#[test]
fn a_turn_reads_as_it_was_written_whatever_its_bytes() {
    let text = Turn::new(vec![TurnKey(1)], b"in put\nout\n".to_vec());
    let bytes = Turn::new(Vec::new(), vec![0, 159, 146, 150]);

    for turn in [text, bytes] {
        let row = serde_json::to_string(&turn).unwrap();
        assert_eq!(serde_json::from_str::<Turn>(&row).unwrap(), turn);
    }
}

#[test]
fn packed_rows_hold_the_whole_conversation_in_order() {
    // Guards against a conversation that loses or repeats text when its rows are written again.
    let texts: Vec<Vec<u8>> = (0..40u8).map(|i| vec![b'a' + i % 26; 3_000]).collect();
    let earlier: Vec<_> =
        texts.iter().map(|text| Rc::new(Turn::new(Vec::new(), text.clone()))).collect();

    let rows = pack(TurnKey(7), &earlier, 5_000);

    let packed: Vec<u8> = rows.iter().flat_map(|(_, row)| row.transcript().to_vec()).collect();
    assert_eq!(packed, texts.concat());
    assert!(rows.iter().all(|(_, row)| row.transcript().len() <= 33_000 && row.line.is_empty()));
    assert!(rows.len() < 6, "{} rows", rows.len());
    let keys: std::collections::HashSet<_> = rows.iter().map(|(key, _)| key.0).collect();
    assert_eq!(keys.len(), rows.len());
}

#[test]
fn a_turn_of_unknown_age_is_packed() {
    // Guards against trusting rows of an earlier build, which do not tell when they were written.
    assert!(Turn::new(Vec::new(), b"x".to_vec()).needs_packing(1_700_000_000_000));
}

#[test]
fn rows_are_written_again_long_before_they_are_deleted() {
    // Guards against a margin that clocks a few seconds apart would use up.
    assert!(MAX_ROW_AGE + Duration::from_secs(10) <= ROW_MARGIN);
}

#[test]
fn the_cache_of_turns_stays_within_its_size() {
    let mut cache = TurnCache::new(10_000);

    for i in 0..100 {
        cache.put(TurnKey(i), Rc::new(Turn::new(Vec::new(), vec![b'x'; 900])));
    }

    assert!(cache.get(TurnKey(0)).is_none());
    assert!(cache.get(TurnKey(99)).is_some());
    assert_eq!((0..100).filter(|i| cache.get(TurnKey(*i)).is_some()).count(), 10);
}
