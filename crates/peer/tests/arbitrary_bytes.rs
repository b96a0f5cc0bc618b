//! Property tests of the handshake and the codec with random and corrupted bytes. Their seed is
//! fixed.

mod fixtures;

use std::time::Duration;

use camphorwalk_core::messages::PeerMessage;
use camphorwalk_peer::codec::Frame;
use camphorwalk_peer::handshake::{Identity, accept, dial};
use fixtures::{message, secret};
use futures::{SinkExt as _, StreamExt as _};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, DuplexStream, duplex};
use tokio::runtime::Runtime;
use tokio::time::timeout;

/// The number of messages that each run sends.
const MESSAGES: u64 = 5;
/// The longest frame, in bytes.
const MAX_FRAME: usize = 1 << 20;

/// Creates a test runner with a fixed seed and no persistence file.
fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };

    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// The virtual time after which an end stops waiting for its handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// Creates a single-threaded runtime with virtual time, which advances when all tasks wait.
fn runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap()
}

/// Relays bytes in both directions and flips the bits of `mask` in byte `at` of the bytes from
/// `from`. Returns whether that byte was reached.
async fn relay(mut from: DuplexStream, to: DuplexStream, at: usize, mask: u8) -> bool {
    let (mut to_read, mut to_write) = tokio::io::split(to);
    let (mut from_read, mut from_write) = tokio::io::split(&mut from);
    let backward = tokio::io::copy(&mut to_read, &mut from_write);

    let forward = async {
        let (mut buf, mut relayed) = ([0; 512], 0);
        loop {
            let count = from_read.read(&mut buf).await.unwrap_or(0);
            if count == 0 {
                let _ = to_write.shutdown().await;
                return relayed > at;
            }
            if (relayed..relayed + count).contains(&at) {
                buf[at - relayed] ^= mask;
            }
            relayed += count;
            if to_write.write_all(&buf[..count]).await.is_err() {
                return relayed > at;
            }
        }
    };
    tokio::select! {
        was_corrupted = forward => was_corrupted,
        _ = backward => true,
    }
}

/// Connects and sends all messages.
async fn send_all(io: DuplexStream) {
    let own = Identity::new("host-1", "zone-a", 1);

    if let Ok(Ok(mut connection)) =
        timeout(HANDSHAKE_TIMEOUT, dial(io, &own, &secret(), MAX_FRAME)).await
    {
        for number in 0..MESSAGES {
            let _ = connection.frames.send(Frame::Message(Box::new(message(number)))).await;
        }
        let _ = connection.frames.close().await;
    }
}

/// Accepts a connection and receives messages until the first error.
async fn receive_all(io: DuplexStream) -> Vec<PeerMessage> {
    let own = Identity::new("host-2", "zone-a", 1);
    let mut received = Vec::new();

    let accepted = timeout(HANDSHAKE_TIMEOUT, accept(io, &own, &secret(), MAX_FRAME)).await;
    if let Ok(Ok(mut connection)) = accepted {
        while let Some(Ok(Frame::Message(message))) = connection.frames.next().await {
            received.push(*message);
        }
    }
    received
}

#[test]
fn random_bytes_are_not_a_handshake() {
    let runtime = runtime();
    let bytes = proptest::collection::vec(any::<u8>(), 0..2048);

    runner(512)
        .run(&bytes, |bytes| {
            let accepted = runtime.block_on(async {
                let (mut near, far) = duplex(4096);
                near.write_all(&bytes).await.unwrap();
                near.shutdown().await.unwrap();
                let own = Identity::new("host-2", "zone-a", 1);
                accept(far, &own, &secret(), MAX_FRAME).await.is_ok()
            });
            prop_assert!(!accepted);
            Ok(())
        })
        .unwrap();
}

// One byte of a connection is corrupted, in the handshake or after it. The receiver must get
// exactly the messages before that byte: none altered, and none after it, so that no loss goes
// unnoticed.
#[test]
fn a_corrupted_byte_ends_the_connection() {
    let runtime = runtime();
    let change = (0_usize..330, 1_u8..);
    let sent: Vec<_> = (0..MESSAGES).map(message).collect();

    runner(1024)
        .run(&change, |(at, mask)| {
            let (received, was_corrupted) = runtime.block_on(async {
                let ((a, b), (c, d)) = (duplex(1 << 16), duplex(1 << 16));
                let (received, was_corrupted, ()) =
                    tokio::join!(receive_all(d), relay(b, c, at, mask), send_all(a));
                (received, was_corrupted)
            });
            prop_assert_eq!(&received[..], &sent[..received.len()]);
            prop_assert_eq!(received.len() < sent.len(), was_corrupted);
            Ok(())
        })
        .unwrap();
}
