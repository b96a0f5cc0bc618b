//! Connections whose other end is gone without a word, as when a network is cut.

mod fixtures;

use std::time::Duration;

use camphorwalk_peer::handshake::{Connection, Identity, accept, dial};
use camphorwalk_peer::{Inbound, PeerOptions};
use fixtures::{id, message, options, secret, start};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Returns options under which silence shows soon.
fn brisk(name: &str) -> PeerOptions {
    PeerOptions {
        keepalive: Duration::from_millis(4),
        idle_keepalive: Duration::from_millis(8),
        silence_limit: Duration::from_millis(200),
        ..options(name)
    }
}

/// Accepts one connection as a true member of the fleet.
async fn admit(listener: &TcpListener, name: &str) -> Connection<TcpStream> {
    let (stream, _) = listener.accept().await.unwrap();
    let own = Identity::new(name, "zone-a", 1);

    accept(stream, &own, &secret(), 1 << 20).await.unwrap()
}

// A peer is cut off while it is connected: it takes nothing and says nothing, and its
// connection stays open. The sender misses the answers to its keepalives, closes, and
// dials again for the next message, instead of waiting for TCP's own retries.
#[tokio::test]
async fn a_peer_that_stops_answering_is_dialled_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let host = start(brisk("host-1")).await;
    host.peers.set_address(id("host-2"), listener.local_addr().unwrap());
    host.peers.send(id("host-2"), message(1));

    let _mute = admit(&listener, "host-2").await;
    host.wait_count("failed_total", "timeout", 1).await;
    host.peers.send(id("host-2"), message(2));

    admit(&listener, "host-2").await;
}

// A sender is cut off: its connection stays open and nothing comes any more. The receiver
// is told that it is down.
#[tokio::test]
async fn a_sender_that_falls_silent_is_down() {
    let mut host = start(brisk("host-2")).await;
    let stream = TcpStream::connect(host.peers.local_address()).await.unwrap();
    let own = Identity::new("host-1", "zone-a", 1);

    let _mute = dial(stream, &own, &secret(), 1 << 20).await.unwrap();

    assert!(matches!(host.next().await, Inbound::Up { .. }));
    assert_eq!(host.next().await, Inbound::Down { host: id("host-1") });
    host.wait_count("closed_total", "timeout", 1).await;
}

#[tokio::test]
async fn an_idle_connection_stays() {
    let patient = |name| PeerOptions { silence_limit: Duration::from_secs(20), ..brisk(name) };
    let mut two = start(patient("host-2")).await;
    let one = start(patient("host-1")).await;
    one.peers.set_address(id("host-2"), two.peers.local_address());
    one.peers.send(id("host-2"), message(1));
    two.next_message().await;

    let twenty_frames = async {
        while two.count("frames_total", "in") < 20 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(Duration::from_secs(20), twenty_frames).await.expect("keepalives come");

    assert_eq!(one.count("connections", "out"), 1);
    assert!(two.inbound.try_recv().is_err());
}

// A replaced host's address now belongs to another host of the fleet. What is meant for
// the one must not reach the other, although that one holds the secret too.
#[tokio::test]
async fn another_host_at_the_address_gets_nothing() {
    let mut two = start(options("host-2")).await;
    let one = start(options("host-1")).await;
    one.peers.set_address(id("host-3"), two.peers.local_address());

    one.peers.send(id("host-3"), message(1));

    one.wait_count("failed_total", "wrong_host", 1).await;
    assert_eq!(one.count("dropped_total", "unsent"), 1);
    one.peers.set_address(id("host-2"), two.peers.local_address());
    one.peers.send(id("host-2"), message(2));
    assert_eq!(two.next_message().await, message(2));
}

// The peer cannot be reached. What waits for it was surely never sent, and the sender is
// told so with the message: it may promise its caller that nothing ran.
#[tokio::test]
async fn a_message_that_was_never_sent_comes_back() {
    let mut one = start(options("host-1")).await;
    one.peers.set_address(id("host-2"), fixtures::closed_address().await);

    one.peers.send(id("host-2"), message(1));
    one.peers.send(id("host-2"), message(2));

    for number in 1..=2 {
        let expected = Inbound::SendFailed { to: id("host-2"), message: message(number) };
        assert_eq!(one.next().await, expected);
    }
}

// The connection breaks after a message was written and before the peer confirmed it. It
// may have arrived, so it does not come back as unsent; the sender is told that it is not
// known, and does not wait for an answer that may never come.
#[tokio::test]
async fn a_break_with_unconfirmed_messages_is_told() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut one = start(options("host-1")).await;
    one.peers.set_address(id("host-2"), listener.local_addr().unwrap());
    one.peers.send(id("host-2"), message(1));
    let connection = admit(&listener, "host-2").await;
    one.wait_count("frames_total", "out", 1).await;

    drop(connection);

    assert_eq!(one.next().await, Inbound::ConnectionLost { host: id("host-2") });
    assert_eq!(one.count("dropped_total", "unsent"), 0);
}

// The peer confirmed all messages before its connection ended, so nothing is told of it.
#[tokio::test]
async fn a_break_after_receipt_is_not_told() {
    let mut two = start(options("host-2")).await;
    let mut one = start(options("host-1")).await;
    one.peers.set_address(id("host-2"), two.peers.local_address());
    one.peers.send(id("host-2"), message(1));
    two.next_message().await;
    assert_eq!(one.peers.flush(Duration::from_secs(20)).await, 0);

    drop(two);
    one.wait_count("connections", "out", 0).await;
    one.peers.set_address(id("host-2"), fixtures::closed_address().await);
    one.peers.send(id("host-2"), message(2));

    let expected = Inbound::SendFailed { to: id("host-2"), message: message(2) };
    assert_eq!(one.next().await, expected);
}

// A host shuts down right after its last answers were queued. `flush` returns only when
// the peer took them in, so that none is lost with the process.
#[tokio::test]
async fn a_flush_waits_for_receipt() {
    let mut two = start(options("host-2")).await;
    let one = start(options("host-1")).await;
    one.peers.set_address(id("host-2"), two.peers.local_address());
    for number in 0..40 {
        one.peers.send(id("host-2"), message(number));
    }

    let unconfirmed = one.peers.flush(Duration::from_secs(20)).await;
    drop(one);

    assert_eq!(unconfirmed, 0);
    for number in 0..40 {
        assert_eq!(two.next_message().await, message(number));
    }
}

#[tokio::test]
async fn a_flush_tells_of_peers_that_are_away() {
    let one = start(options("host-1")).await;
    one.peers.set_address(id("host-2"), fixtures::closed_address().await);
    one.peers.send(id("host-2"), message(1));

    let unconfirmed = one.peers.flush(Duration::from_millis(200)).await;

    assert_eq!(unconfirmed, 1);
}

// The messages stand in the socket's buffers, but the peer does not take them in. They may
// be lost yet, so the flush must not say that they arrived.
#[tokio::test]
async fn a_flush_tells_of_a_peer_that_takes_nothing_in() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let one = start(options("host-1")).await;
    one.peers.set_address(id("host-2"), listener.local_addr().unwrap());
    one.peers.send(id("host-2"), message(1));
    let _mute = admit(&listener, "host-2").await;

    let unconfirmed = one.peers.flush(Duration::from_millis(200)).await;

    assert_eq!(unconfirmed, 1);
}

#[tokio::test]
async fn a_flush_with_nothing_queued_dials_nobody() {
    let one = start(options("host-1")).await;
    one.peers.set_address(id("host-2"), fixtures::closed_address().await);

    assert_eq!(one.peers.flush(Duration::from_secs(20)).await, 0);
}
