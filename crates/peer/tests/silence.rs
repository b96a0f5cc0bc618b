//! Tests of connections whose other end stops responding, as in a network partition, and of what
//! is reported about unconfirmed messages.

mod fixtures;

use std::time::Duration;

use camphorwalk_peer::handshake::{Connection, Identity, accept, dial};
use camphorwalk_peer::{Inbound, PeerOptions};
use fixtures::{id, message, options, secret, start};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Returns options with short timeouts.
fn options_with_short_timeouts(name: &str) -> PeerOptions {
    PeerOptions {
        keepalive: Duration::from_millis(4),
        idle_keepalive: Duration::from_millis(8),
        silence_limit: Duration::from_millis(200),
        ..options(name)
    }
}

/// Accepts one connection with the fleet's secret.
async fn accept_peer(listener: &TcpListener, name: &str) -> Connection<TcpStream> {
    let (stream, _) = listener.accept().await.unwrap();
    let own = Identity::new(name, "zone-a", 1);

    accept(stream, &own, &secret(), 1 << 20).await.unwrap()
}

// A connected peer stops responding, and its connection stays open. The sender gets no replies to
// its keepalives. It must close the connection and dial again for the next message, instead of
// waiting for TCP retransmissions.
#[tokio::test]
async fn a_peer_that_stops_answering_is_dialled_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let host = start(options_with_short_timeouts("host-1")).await;
    host.peers.set_address(id("host-2"), listener.local_addr().unwrap());
    host.peers.send(id("host-2"), message(1));

    let _unresponsive = accept_peer(&listener, "host-2").await;
    host.wait_count("failed_total", "timeout", 1).await;
    host.peers.send(id("host-2"), message(2));

    accept_peer(&listener, "host-2").await;
}

// A sender falls silent and its connection stays open. The receiver must report it as down.
#[tokio::test]
async fn a_sender_that_falls_silent_is_reported_down() {
    let mut host = start(options_with_short_timeouts("host-2")).await;
    let stream = TcpStream::connect(host.peers.local_address()).await.unwrap();
    let own = Identity::new("host-1", "zone-a", 1);

    let _unresponsive = dial(stream, &own, &secret(), 1 << 20).await.unwrap();

    assert!(matches!(host.next().await, Inbound::Up { .. }));
    assert_eq!(host.next().await, Inbound::Down { host: id("host-1") });
    host.wait_count("closed_total", "timeout", 1).await;
}

#[tokio::test]
async fn an_idle_connection_stays() {
    let options_with_long_silence_limit = |name| PeerOptions {
        silence_limit: Duration::from_secs(20),
        ..options_with_short_timeouts(name)
    };
    let mut two = start(options_with_long_silence_limit("host-2")).await;
    let one = start(options_with_long_silence_limit("host-1")).await;
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

// The address of a replaced host now belongs to another host of the fleet. Messages for the
// replaced host must not reach the other one, although it also holds the secret.
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

// The peer is unreachable, so its queued messages were certainly never sent. They must be returned
// to the sender, which can then report to its caller that nothing was executed.
#[tokio::test]
async fn a_message_that_was_never_sent_is_returned() {
    let mut one = start(options("host-1")).await;
    one.peers.set_address(id("host-2"), fixtures::closed_address().await);

    one.peers.send(id("host-2"), message(1));
    one.peers.send(id("host-2"), message(2));

    for number in 1..=2 {
        let expected = Inbound::SendFailed { to: id("host-2"), message: message(number) };
        assert_eq!(one.next().await, expected);
    }
}

// The connection breaks after a message was written and before the peer confirmed it. The message
// may have arrived, so it must not be returned as unsent. `ConnectionLost` must report the
// uncertainty, so that the sender does not wait for a reply that may never come.
#[tokio::test]
async fn a_break_with_unconfirmed_messages_is_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut one = start(options("host-1")).await;
    one.peers.set_address(id("host-2"), listener.local_addr().unwrap());
    one.peers.send(id("host-2"), message(1));
    let connection = accept_peer(&listener, "host-2").await;
    one.wait_count("frames_total", "out", 1).await;

    drop(connection);

    assert_eq!(one.next().await, Inbound::ConnectionLost { host: id("host-2") });
    assert_eq!(one.count("dropped_total", "unsent"), 0);
}

// The peer confirmed all messages before its connection ended, so `ConnectionLost` must not be
// reported.
#[tokio::test]
async fn a_break_after_confirmation_is_not_reported() {
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

// A host shuts down right after it queued its last messages. `flush` must not return before the
// peer has received them, so that none is lost with the process.
#[tokio::test]
async fn a_flush_waits_for_confirmation() {
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
async fn a_flush_counts_unreachable_peers() {
    let one = start(options("host-1")).await;
    one.peers.set_address(id("host-2"), fixtures::closed_address().await);
    one.peers.send(id("host-2"), message(1));

    let unconfirmed = one.peers.flush(Duration::from_millis(200)).await;

    assert_eq!(unconfirmed, 1);
}

// The messages are in the socket's buffers and the peer does not read them. They may still be lost,
// so `flush` must not report them as confirmed.
#[tokio::test]
async fn a_flush_counts_an_unresponsive_peer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let one = start(options("host-1")).await;
    one.peers.set_address(id("host-2"), listener.local_addr().unwrap());
    one.peers.send(id("host-2"), message(1));
    let _unresponsive = accept_peer(&listener, "host-2").await;

    let unconfirmed = one.peers.flush(Duration::from_millis(200)).await;

    assert_eq!(unconfirmed, 1);
}

#[tokio::test]
async fn a_flush_with_nothing_queued_does_not_connect() {
    let one = start(options("host-1")).await;
    one.peers.set_address(id("host-2"), fixtures::closed_address().await);

    assert_eq!(one.peers.flush(Duration::from_secs(20)).await, 0);
}
