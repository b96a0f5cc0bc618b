//! Requests under API keys that are removed from the configuration.

mod scheduler_support;

use camphorwalk_core::calls::{Code, Reply, Request};
use camphorwalk_core::config::Config;
use camphorwalk_core::ids::{HostId, KeyId, ProgramId, TenantId};
use camphorwalk_core::messages::forward::Forward;
use camphorwalk_core::messages::gossip::Gossip;
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::scheduler::{Action, Event, Scheduler};
use scheduler_support::scheduler;
use serde_json::json;

/// A configuration version whose tenant has these keys, as sent by a peer.
fn config(version: u64, keys: &[&str]) -> Event {
    let keys: Vec<_> = keys.iter().map(|id| json!({ "id": id, "sha256": "00" })).collect();
    let config: Config = serde_json::from_value(json!({
        "version": version,
        "fleet": { "name": "f", "zones": [{ "name": "a", "region": "r" }], "classes": [] },
        "targets": [], "templates": [],
        "tenants": [{ "name": "t", "assistants": [], "rate_per_second": 1.0, "burst": 1,
            "budget_tokens": 1, "keys": keys }],
    }))
    .expect("the configuration is well formed");
    let config = serde_json::to_vec(&config).expect("plain data");

    peer(Body::Gossip(Gossip { config, ..Gossip::default() }).into())
}

fn peer(message: PeerMessage) -> Event {
    Event::Peer { from: HostId::from_name("b1"), message }
}

/// A request that another host forwards, with a key that it found valid.
fn forward(request: u64, key: &str) -> Event {
    let body = serde_json::to_vec(&Request::View { program: ProgramId(1) }).expect("plain data");
    let forward = Forward {
        request,
        tenant: TenantId::from_name("t").0,
        key: KeyId::from_name(key).0,
        body: body.into(),
    };

    peer(Body::Forward(forward).into())
}

/// Handles an event and returns the code of the refusal in its answer, if any.
fn code(scheduler: &mut Scheduler, at_ms: u64, event: Event) -> Option<Code> {
    let mut out = Vec::new();
    scheduler.step(Instant::from_millis(at_ms), event, &mut out);
    let read = |action: &Action| match action {
        Action::Send { message: PeerMessage { body: Some(Body::Answer(answer)) }, .. } => {
            serde_json::from_slice::<Reply>(&answer.body).ok()
        }
        _ => None,
    };

    match out.iter().find_map(read) {
        Some(Reply::Refused(refusal)) => Some(refusal.code),
        _ => None,
    }
}

/// A removed key must not be usable through an entry host that has not received the new
/// configuration yet and forwards a request with it. The home has the new version and refuses the
/// request, while another key of the tenant keeps working. A later version that contains the key
/// again makes it valid again.
#[test]
fn a_removed_key_is_refused_at_the_home() {
    let mut scheduler = scheduler();
    code(&mut scheduler, 1, config(1, &["k1", "k2"]));

    let before = code(&mut scheduler, 2, forward(1, "k1"));
    code(&mut scheduler, 3, config(2, &["k2"]));
    let removed = code(&mut scheduler, 4, forward(2, "k1"));
    let other = code(&mut scheduler, 5, forward(3, "k2"));
    code(&mut scheduler, 6, config(3, &["k1", "k2"]));
    let added_again = code(&mut scheduler, 7, forward(4, "k1"));

    assert_ne!(before, Some(Code::Unauthorized));
    assert_eq!(removed, Some(Code::Unauthorized));
    assert_ne!(other, Some(Code::Unauthorized));
    assert_ne!(added_again, Some(Code::Unauthorized));
}
