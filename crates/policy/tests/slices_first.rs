//! Slices that no host ever owned.

use std::sync::Arc;

use camphorwalk_core::config::Config;
use camphorwalk_core::ids::{HostId, TenantId, ZoneId};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::shared_types::Verdict;
use camphorwalk_policy::slices::{
    SliceAction, SliceEvent, SliceHost, SliceOptions, Slices, TakeId, column_zones,
};
use serde_json::json;

const BURST: u32 = 8;

fn config() -> Arc<Config> {
    let config = json!({
        "fleet": { "name": "f", "zones": [{ "name": "a", "region": "r" }], "classes": [],
            "slices": 4 },
        "targets": [], "templates": [],
        "tenants": [{ "name": "t", "assistants": [], "rate_per_second": 1.0, "burst": BURST,
            "budget_tokens": 1, "keys": [] }],
    });

    Arc::new(serde_json::from_value(config).expect("the configuration is well formed"))
}

fn host() -> Slices {
    let (host, zone) = (HostId::from_name("a1"), ZoneId::from_name("a"));
    let options = SliceOptions { host, zone, session: 1, times: Default::default() };
    let mut slices = Slices::new(options);

    slices.step(Instant(1), SliceEvent::Config(config()), &mut Vec::new());
    slices.step(Instant(1), SliceEvent::Hosts(vec![SliceHost { host, zone }]), &mut Vec::new());

    slices
}

/// Takes until refused, within half a second, and returns how often it was admitted.
fn admitted(slices: &mut Slices, from: Instant) -> u32 {
    let tenant = TenantId::from_name("t");
    let mut count = 0;

    for i in 0..50 {
        let now = Instant(from.0 + i * 10_000);
        let mut out = Vec::new();
        slices.step(now, SliceEvent::Take { take: TakeId(i), tenant }, &mut out);
        let yes = |next: &SliceAction| {
            matches!(next, SliceAction::Verdict { verdict: Verdict::Admitted, .. })
        };
        count += out.iter().filter(|next| yes(next)).count() as u32;
    }

    count
}

/// A caller sends a whole burst to a fleet that has just started for the first time. All of
/// it is within the tenant's burst, and nobody can have used the slices before, so none is
/// refused; with slices at level zero all of it would be.
#[test]
fn a_first_owner_begins_with_full_slices() {
    let mut slices = host();
    let until = Instant::from_millis(60_000);

    for (column, _) in column_zones(&config()) {
        slices.step(Instant(2), SliceEvent::FirstOwned { column, until }, &mut Vec::new());
    }
    let count = admitted(&mut slices, Instant::from_millis(1_000));

    assert_eq!(count, BURST);
}

/// The columns had another owner before, which may have spent the burst a moment ago: nothing
/// is admitted until its loans are over, however full the slices may have been.
#[test]
fn a_later_owner_begins_with_empty_slices() {
    let mut slices = host();
    let until = Instant::from_millis(60_000);

    for (column, _) in column_zones(&config()) {
        let event = SliceEvent::Owned { column, until, fresh: true };
        slices.step(Instant(2), event, &mut Vec::new());
    }
    let count = admitted(&mut slices, Instant::from_millis(1_000));

    assert_eq!(count, 0);
}

/// A host gives its columns up, nobody else takes them, and it gets them back in their first
/// epoch. The burst is spent: filled once more, the slices would admit it twice.
#[test]
fn a_first_owner_that_gets_a_column_back_begins_empty() {
    let mut slices = host();
    let until = Instant::from_millis(60_000);

    for event in [true, false, true] {
        for (column, _) in column_zones(&config()) {
            let first = SliceEvent::FirstOwned { column, until };
            let event = if event { first } else { SliceEvent::Lost { column } };
            slices.step(Instant(2), event, &mut Vec::new());
        }
    }
    let count = admitted(&mut slices, Instant::from_millis(1_000));

    assert_eq!(count, 0);
}
