//! Tests of message delivery between hosts of one fleet.

mod fixtures;

use camphorwalk_peer::{Error, Inbound, Peers};
use fixtures::{closed_address, id, large_message, message, options, pair, start};

#[tokio::test]
async fn messages_arrive_in_order_after_up() {
    let (one, mut two) = pair().await;

    for number in 0..50 {
        assert!(one.peers.send(id("host-2"), message(number)));
    }

    let up = two.next().await;
    let name = "host-1".into();
    assert_eq!(up, Inbound::Up { host: id("host-1"), name, zone: "zone-a".into(), session: 1 });
    for number in 0..50 {
        let expected = Inbound::Message { from: id("host-1"), message: message(number) };
        assert_eq!(two.next().await, expected);
    }
}

#[tokio::test]
async fn both_directions_are_counted() {
    let (mut one, mut two) = pair().await;

    one.peers.send(id("host-2"), message(1));
    two.peers.send(id("host-1"), message(2));
    one.next_message().await;
    two.next_message().await;

    one.wait_count("connections", "out", 1).await;
    one.wait_count("connections", "in", 1).await;
    assert!(one.count("frames_total", "out") >= 1);
    assert!(two.count("bytes_total", "in") > 20);
}

#[tokio::test]
async fn an_unknown_peer_gets_nothing() {
    let (one, _two) = pair().await;

    assert!(!one.peers.send(id("host-9"), message(1)));

    assert_eq!(one.count("dropped_total", "unknown"), 1);
}

#[tokio::test]
async fn a_removed_peer_is_unknown() {
    let (one, mut two) = pair().await;
    one.peers.send(id("host-2"), message(1));
    two.next_message().await;

    one.peers.remove(id("host-2"));

    assert!(!one.peers.send(id("host-2"), message(2)));
    assert_eq!(two.next().await, Inbound::Down { host: id("host-1") });
}

#[tokio::test]
async fn a_message_over_the_limit_is_rejected() {
    let (one, _two) = pair().await;

    assert!(!one.peers.send(id("host-2"), large_message(5 << 20)));

    assert_eq!(one.count("dropped_total", "too_large"), 1);
}

#[tokio::test]
async fn a_message_near_the_limit_arrives() {
    let (one, mut two) = pair().await;
    let large = large_message((4 << 20) - 100);

    assert!(one.peers.send(id("host-2"), large.clone()));

    assert_eq!(two.next_message().await, large);
}

// The queue of an unreachable peer fills up. `send` must return false at once rather than block or
// buffer without limit, and the rejected messages must be counted. The callers tolerate loss.
#[tokio::test]
async fn a_full_queue_rejects_at_once() {
    let mut small_queue = options("host-1");
    small_queue.send_queue = 2;
    let one = start(small_queue).await;
    one.peers.set_address(id("host-2"), closed_address().await);

    let queued = (0..20).filter(|number| one.peers.send(id("host-2"), message(*number))).count();

    assert_eq!(queued, 2);
    assert_eq!(one.count("dropped_total", "queue_full"), 18);
}

// A host's process is replaced by one at another address under the same name. The sender must
// notice the end of its connection and connect to the new address.
#[tokio::test]
async fn a_restarted_peer_is_dialled_again() {
    let (one, mut two) = pair().await;
    one.peers.send(id("host-2"), message(1));
    two.next_message().await;

    let old_address = two.peers.local_address();
    drop(two);
    let mut restarted = options("host-2");
    restarted.session = 2;
    let mut two = start(restarted).await;
    assert_ne!(two.peers.local_address(), old_address);
    one.peers.set_address(id("host-2"), two.peers.local_address());

    one.send_until_received(&mut two, id("host-2"), message(2)).await;
}

// Like the test before, but the new process has the same address, so that the sender can notice the
// restart only by its connection.
#[tokio::test]
async fn a_peer_restarted_at_its_address_is_dialled_again() {
    let (one, mut two) = pair().await;
    one.peers.send(id("host-2"), message(1));
    two.next_message().await;

    let mut restarted = options("host-2");
    restarted.listen = two.peers.local_address();
    restarted.session = 2;
    drop(two);
    let mut two = loop {
        // The old listener closes a moment after its drop.
        let (tx, inbound) = tokio::sync::mpsc::channel(64);
        match Peers::start(restarted.clone(), tx).await {
            Ok(peers) => break fixtures::Host { peers, inbound, registry: Default::default() },
            Err(_) => tokio::task::yield_now().await,
        }
    };

    one.send_until_received(&mut two, id("host-2"), message(2)).await;
}

// A sender restarts under the same name before the receiver has noticed the end of the old
// process. The receiver must report `Down` for the old connection before `Up` for the new one, and
// deliver no message of the old one afterwards.
#[tokio::test]
async fn a_new_session_replaces_the_old() {
    let mut two = start(options("host-2")).await;
    let old = start(options("host-1")).await;
    old.peers.set_address(id("host-2"), two.peers.local_address());
    old.peers.send(id("host-2"), message(1));
    two.next_message().await;

    let mut restarted = options("host-1");
    restarted.session = 2;
    let new = start(restarted).await;
    new.peers.set_address(id("host-2"), two.peers.local_address());
    new.peers.send(id("host-2"), message(2));

    assert_eq!(two.next().await, Inbound::Down { host: id("host-1") });
    assert!(matches!(two.next().await, Inbound::Up { session: 2, .. }));
    assert_eq!(two.next_message().await, message(2));
    two.wait_count("connections", "in", 1).await;
}

#[tokio::test]
async fn inconsistent_options_are_rejected() {
    let mut bad = options("host-1");
    bad.host = id("host-2");
    let (tx, _rx) = tokio::sync::mpsc::channel(1);

    let started = Peers::start(bad, tx).await;

    assert!(matches!(started, Err(Error::BadOptions(_))));
}

#[tokio::test]
async fn a_message_for_several_peers_arrives_in_order_with_those_for_one() {
    // Guards against a message that is encoded once being lost, reordered or sent to a stranger.
    let (one, mut two) = pair().await;

    assert!(one.peers.send(id("host-2"), message(1)));
    let queued = one.peers.send_to_all(&[id("host-2"), id("host-9")], &message(2));
    assert!(one.peers.send(id("host-2"), message(3)));

    assert_eq!(queued, [id("host-2")]);
    for number in 1..=3 {
        assert_eq!(two.next_message().await, message(number));
    }
    assert_eq!(one.count("dropped_total", "unknown"), 1);
}
