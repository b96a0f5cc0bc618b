//! Sessions after an outage of the platform.

use std::time::Duration;

use camphorwalk_core::platform::{PlatformOp, PlatformReply, Row, RowKey, RowVersion};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::leases::rows::{SESSIONS, SessionRow};
use camphorwalk_policy::leases::{LeaseAction, LeaseEvent, LeaseOptions, Leases};

const LIFETIME: Duration = Duration::from_secs(6);

fn leases() -> Leases {
    Leases::new(LeaseOptions {
        host: "a1".into(),
        zone: "a".into(),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        session: 7,
        lifetime: LIFETIME,
        renewal: Duration::from_secs(2),
        poll: Duration::from_secs(1),
    })
}

/// The session of another host, which is never renewed in these tests.
fn other_session() -> Row {
    let session = SessionRow {
        host: "a2".into(),
        zone: "a".into(),
        peer_address: "127.0.0.1:2".parse().expect("an address"),
        renewal: 1,
        lifetime: LIFETIME,
        leaving: false,
    };

    Row { key: RowKey::new(SESSIONS, "a2/other"), version: RowVersion(5), value: session.to_json() }
}

/// Answers as a platform that holds the other session and nothing else.
fn reply(op: &PlatformOp) -> PlatformReply {
    match op {
        PlatformOp::Scan { table, .. } if &**table == SESSIONS => {
            PlatformReply::Rows(vec![other_session()])
        }
        PlatformOp::Commit(_) => PlatformReply::Committed(RowVersion(9)),
        _ => PlatformReply::Rows(Vec::new()),
    }
}

/// Runs the host between two times; returns when it ended the other session, if it did.
fn run(leases: &mut Leases, from_ms: u64, to_ms: u64, away: bool) -> Option<u64> {
    for at in (from_ms..to_ms).step_by(50) {
        let now = Instant::from_millis(at);
        let mut out = Vec::new();
        leases.step(now, LeaseEvent::Wake, &mut out);

        while !out.is_empty() {
            let LeaseAction::Platform { op, request } = out.remove(0) else {
                continue;
            };
            if ends_other(&request) {
                return Some(at);
            }
            let reply = if away { PlatformReply::Unavailable } else { reply(&request) };
            leases.step(now, LeaseEvent::Platform { op, reply }, &mut out);
        }
    }

    None
}

fn ends_other(op: &PlatformOp) -> bool {
    let PlatformOp::Commit(transaction) = op else {
        return false;
    };

    transaction.writes.iter().any(|w| w.key == other_session().key && w.value.is_none())
}

/// A host dies; its session is ended once its lifetime and the margin have passed.
#[test]
fn a_session_that_is_not_renewed_is_ended() {
    let mut leases = leases();

    let ended = run(&mut leases, 50, 20_000, false);

    let ended = ended.expect("the session is ended");
    assert!((6_750..9_000).contains(&ended), "after {ended} ms");
}

/// The platform is away for a minute, so nobody could renew. The first host to come back must
/// not end the sessions of all others for that: each has a whole lifetime to renew. With the
/// outage counted, every program of the fleet changed its home after each outage.
#[test]
fn an_outage_does_not_count_as_silence() {
    let mut leases = leases();
    let before = run(&mut leases, 50, 3_000, false);
    let during = run(&mut leases, 3_000, 63_000, true);

    let after = run(&mut leases, 63_000, 69_000, false);

    assert_eq!((before, during, after), (None, None, None));
}
