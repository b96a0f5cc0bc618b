//! Bytes as strangers and broken networks make them, with a fixed seed.

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

/// The messages of each run, and the longest frame.
const MESSAGES: u64 = 5;
const MAX_FRAME: usize = 1 << 20;

/// Makes a runner that makes the same cases every run and keeps no file.
fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };

    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// The time, in virtual seconds, after which an end that waits for ever gives up.
const GIVE_UP: Duration = Duration::from_secs(10);

/// Makes a runtime of one thread with virtual time: when all wait, the time passes at once.
fn runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap()
}

/// Passes bytes on, with the bits of `mask` turned over in byte number `at`. Returns whether
/// there was such a byte.
async fn relay(mut from: DuplexStream, to: DuplexStream, at: usize, mask: u8) -> bool {
    let (mut to_read, mut to_write) = tokio::io::split(to);
    let (mut from_read, mut from_write) = tokio::io::split(&mut from);
    let back = tokio::io::copy(&mut to_read, &mut from_write);

    let forth = async {
        let (mut buf, mut passed) = ([0; 512], 0);
        loop {
            let count = from_read.read(&mut buf).await.unwrap_or(0);
            if count == 0 {
                let _ = to_write.shutdown().await;
                return passed > at;
            }
            if (passed..passed + count).contains(&at) {
                buf[at - passed] ^= mask;
            }
            passed += count;
            if to_write.write_all(&buf[..count]).await.is_err() {
                return passed > at;
            }
        }
    };
    tokio::select! {
        was_turned = forth => was_turned,
        _ = back => true,
    }
}

/// Dials and sends all messages.
async fn send_all(io: DuplexStream) {
    let own = Identity::new("host-1", "zone-a", 1);

    if let Ok(Ok(mut connection)) = timeout(GIVE_UP, dial(io, &own, &secret(), MAX_FRAME)).await {
        for number in 0..MESSAGES {
            let _ = connection.frames.send(Frame::Message(message(number))).await;
        }
        let _ = connection.frames.close().await;
    }
}

/// Accepts and receives messages until the first fault.
async fn receive_all(io: DuplexStream) -> Vec<PeerMessage> {
    let own = Identity::new("host-2", "zone-a", 1);
    let mut received = Vec::new();

    let accepted = timeout(GIVE_UP, accept(io, &own, &secret(), MAX_FRAME)).await;
    if let Ok(Ok(mut connection)) = accepted {
        while let Some(Ok(Frame::Message(message))) = connection.frames.next().await {
            received.push(message);
        }
    }
    received
}

#[test]
fn no_bytes_of_a_stranger_are_a_handshake() {
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

// One byte of a connection is changed on the way, in the handshake or after. The receiver
// gets the messages before it and nothing else: no message is changed, and none after the
// change is taken in, so none is left out unnoticed.
#[test]
fn a_changed_byte_ends_a_connection() {
    let runtime = runtime();
    let change = (0_usize..330, 1_u8..);
    let sent: Vec<_> = (0..MESSAGES).map(message).collect();

    runner(1024)
        .run(&change, |(at, mask)| {
            let (received, was_turned) = runtime.block_on(async {
                let ((a, b), (c, d)) = (duplex(1 << 16), duplex(1 << 16));
                let (received, was_turned, ()) =
                    tokio::join!(receive_all(d), relay(b, c, at, mask), send_all(a));
                (received, was_turned)
            });
            prop_assert_eq!(&received[..], &sent[..received.len()]);
            prop_assert_eq!(received.len() < sent.len(), was_turned);
            Ok(())
        })
        .unwrap();
}
