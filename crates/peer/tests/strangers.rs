//! Tests of connections from attackers and others that do not belong to the fleet.

mod fixtures;

use std::time::Duration;

use camphorwalk_core::hash::digest;
use camphorwalk_peer::codec::Frame;
use camphorwalk_peer::handshake::{
    Connection, Hello, Identity, PROTOCOL_VERSION, Proof, Welcome, dial,
};
use camphorwalk_peer::{Error, Secret};
use fixtures::{Host, id, large_message, message, options, secret, start};
use futures::SinkExt as _;
use prost::Message;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// The frame limit of clients in tests. Larger than the limit of the hosts, so that clients can
/// exceed it.
const CLIENT_FRAME_LIMIT: usize = 16 << 20;

/// Connects to a host without sending anything.
async fn connect(host: &Host) -> TcpStream {
    TcpStream::connect(host.peers.local_address()).await.unwrap()
}

/// Connects to a host with the fleet's secret.
async fn join(host: &Host, name: &str) -> Connection<TcpStream> {
    let own = Identity::new(name, "zone-a", 1);

    dial(connect(host).await, &own, &secret(), CLIENT_FRAME_LIMIT).await.unwrap()
}

/// Writes a handshake message in its wire format.
async fn write(stream: &mut TcpStream, message: &impl Message) {
    let content = message.encode_to_vec();
    stream.write_u32(content.len() as u32).await.unwrap();
    stream.write_all(&content).await.unwrap();
}

/// Reads a handshake message.
async fn read<M: Message + Default>(stream: &mut TcpStream) -> M {
    let length = stream.read_u32().await.unwrap();
    let mut content = vec![0; length as usize];
    stream.read_exact(&mut content).await.unwrap();

    M::decode(&content[..]).unwrap()
}

/// Creates a `Hello` with a fixed nonce, as an attacker may send it.
fn hello(name: &str) -> Hello {
    let (name, zone) = (name.to_owned(), "zone-a".to_owned());

    Hello { protocol: PROTOCOL_VERSION, nonce: vec![3; 32], name, zone, session: 1 }
}

/// Asserts that a host still receives messages of the fleet, and that it received none before.
async fn assert_serves(host: &mut Host) {
    let member = start(options("friend")).await;
    member.peers.set_address(id("host-2"), host.peers.local_address());

    member.peers.send(id("host-2"), message(9));

    assert_eq!(host.next_message().await, message(9));
}

// A host with another fleet's secret connects. It must detect the listener's wrong proof before it
// sends its own, and the listener must keep working.
#[tokio::test]
async fn a_wrong_secret_is_rejected() {
    let mut host = start(options("host-2")).await;
    let own = Identity::new("host-1", "zone-a", 1);

    let refused = dial(connect(&host).await, &own, &Secret::new([8; 32]), CLIENT_FRAME_LIMIT).await;

    assert!(matches!(refused, Err(Error::WrongProof)));
    assert_serves(&mut host).await;
}

// An attacker sends an invented proof. The host must close the connection.
#[tokio::test]
async fn an_invented_proof_is_rejected() {
    let mut host = start(options("host-2")).await;
    let mut stream = connect(&host).await;
    write(&mut stream, &hello("host-1")).await;
    read::<Welcome>(&mut stream).await;

    write(&mut stream, &Proof { mac: vec![0; 32] }).await;

    assert_eq!(stream.read(&mut [0; 64]).await.unwrap_or(0), 0);
    host.wait_count("closed_total", "wrong_proof", 1).await;
    assert_serves(&mut host).await;
}

// An attacker sends the listener's proof back as its own. The proof is over the right nonces but
// for the other role, so it must be rejected.
#[tokio::test]
async fn a_reflected_proof_is_rejected() {
    let mut host = start(options("host-2")).await;
    let mut stream = connect(&host).await;
    write(&mut stream, &hello("host-1")).await;
    let welcome: Welcome = read(&mut stream).await;

    write(&mut stream, &Proof { mac: welcome.mac }).await;

    host.wait_count("closed_total", "wrong_proof", 1).await;
    assert_serves(&mut host).await;
}

// A host connects to an attacker, who opens a connection to that host and relays the handshake
// messages, so that the host answers its own challenge. Both ends then present the same host
// name, which must be rejected.
#[tokio::test]
async fn a_challenge_reflected_to_its_sender_is_rejected() {
    let host = start(options("host-1")).await;
    let attacker = TcpListener::bind("127.0.0.1:0").await.unwrap();
    host.peers.set_address(id("host-2"), attacker.local_addr().unwrap());
    host.peers.send(id("host-2"), message(1));
    let (mut dialled, _) = attacker.accept().await.unwrap();
    let challenge: Hello = read(&mut dialled).await;

    let mut reflected = connect(&host).await;
    write(&mut reflected, &Hello { name: "host-2".to_owned(), ..challenge }).await;
    let welcome: Welcome = read(&mut reflected).await;
    write(&mut dialled, &welcome).await;

    host.wait_count("failed_total", "own_name", 1).await;
}

#[tokio::test]
async fn a_host_with_our_own_name_is_rejected() {
    let mut host = start(options("host-2")).await;
    let mut stream = connect(&host).await;

    write(&mut stream, &hello("host-2")).await;

    host.wait_count("closed_total", "own_name", 1).await;
    assert_serves(&mut host).await;
}

#[tokio::test]
async fn another_protocol_version_is_rejected() {
    let mut host = start(options("host-2")).await;
    let mut stream = connect(&host).await;

    write(&mut stream, &Hello { protocol: PROTOCOL_VERSION + 1, ..hello("host-1") }).await;

    host.wait_count("closed_total", "version", 1).await;
    assert_serves(&mut host).await;
}

// An attacker replays a recorded handshake of a genuine host. The listener's nonce is new, so the
// recorded proof must be rejected.
#[tokio::test]
async fn a_replayed_handshake_is_rejected() {
    let mut host = start(options("host-2")).await;
    let relay = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let member = start(options("host-1")).await;
    member.peers.set_address(id("host-2"), relay.local_addr().unwrap());
    member.peers.send(id("host-2"), message(1));
    let (mut near, _) = relay.accept().await.unwrap();
    let mut far = connect(&host).await;
    let challenge: Hello = read(&mut near).await;
    write(&mut far, &challenge).await;
    write(&mut near, &read::<Welcome>(&mut far).await).await;
    let proof: Proof = read(&mut near).await;

    let mut again = connect(&host).await;
    write(&mut again, &challenge).await;
    read::<Welcome>(&mut again).await;
    write(&mut again, &proof).await;

    host.wait_count("closed_total", "wrong_proof", 1).await;
    assert_serves(&mut host).await;
}

// An attacker relays a genuine handshake, which neither end can detect, and then injects a frame of
// its own. The frame's MAC is wrong, so the frame must not be delivered.
#[tokio::test]
async fn a_frame_injected_after_a_relayed_handshake_is_not_delivered() {
    let mut host = start(options("host-2")).await;
    let relay = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let member = start(options("host-1")).await;
    member.peers.set_address(id("host-2"), relay.local_addr().unwrap());
    member.peers.send(id("host-2"), message(1));
    let (mut near, _) = relay.accept().await.unwrap();
    let mut far = connect(&host).await;
    write(&mut far, &read::<Hello>(&mut near).await).await;
    write(&mut near, &read::<Welcome>(&mut far).await).await;
    write(&mut far, &read::<Proof>(&mut near).await).await;

    let mut forged = digest(&[b"a guess"])[..16].to_vec();
    forged.extend(message(666).encode_to_vec());
    far.write_u32(forged.len() as u32).await.unwrap();
    far.write_all(&forged).await.unwrap();

    host.wait_count("closed_total", "wrong_mac", 1).await;
    assert_serves(&mut host).await;
}

// An attacker who relays a connection sends one frame twice. The MAC covers the sequence number, so
// the message must be delivered only once.
#[tokio::test]
async fn a_repeated_frame_is_not_delivered() {
    let mut host = start(options("host-2")).await;
    let relay = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let member = start(options("host-1")).await;
    member.peers.set_address(id("host-2"), relay.local_addr().unwrap());
    member.peers.send(id("host-2"), message(1));
    let (mut near, _) = relay.accept().await.unwrap();
    let mut far = connect(&host).await;
    write(&mut far, &read::<Hello>(&mut near).await).await;
    write(&mut near, &read::<Welcome>(&mut far).await).await;
    write(&mut far, &read::<Proof>(&mut near).await).await;

    let length = near.read_u32().await.unwrap();
    let mut frame = vec![0; length as usize];
    near.read_exact(&mut frame).await.unwrap();
    for _ in 0..2 {
        far.write_u32(length).await.unwrap();
        far.write_all(&frame).await.unwrap();
    }

    assert_eq!(host.next_message().await, message(1));
    host.wait_count("closed_total", "wrong_mac", 1).await;
    assert_serves(&mut host).await;
}

#[tokio::test]
async fn an_oversized_hello_is_rejected() {
    let mut host = start(options("host-2")).await;
    let mut stream = connect(&host).await;

    stream.write_u32(1 << 30).await.unwrap();

    host.wait_count("closed_total", "oversized", 1).await;
    assert_serves(&mut host).await;
}

#[tokio::test]
async fn an_oversized_frame_closes_its_connection() {
    let mut host = start(options("host-2")).await;
    let mut connection = join(&host, "host-1").await;

    let frame = Frame::Message(Box::new(large_message(5 << 20)));
    let _ = connection.frames.send(frame).await;

    host.wait_count("closed_total", "oversized", 1).await;
    assert_serves(&mut host).await;
}

#[tokio::test]
async fn a_truncated_frame_closes_its_connection() {
    let mut host = start(options("host-2")).await;
    let mut connection = join(&host, "host-1").await;

    connection.frames.get_mut().write_all(&[0, 0, 1, 0, 7, 7]).await.unwrap();
    connection.frames.get_mut().shutdown().await.unwrap();

    host.wait_count("closed_total", "truncated", 1).await;
    assert_serves(&mut host).await;
}

#[tokio::test]
async fn a_malformed_hello_is_rejected() {
    let mut host = start(options("host-2")).await;
    let mut stream = connect(&host).await;

    stream.write_all(&[0, 0, 0, 3, 0xff, 0xff, 0xff]).await.unwrap();

    host.wait_count("closed_total", "malformed", 1).await;
    assert_serves(&mut host).await;
}

#[tokio::test]
async fn a_silent_client_is_disconnected() {
    let mut short_timeout = options("host-2");
    short_timeout.connect_timeout = Duration::from_millis(30);
    let host = start(short_timeout).await;

    let _stream = connect(&host).await;

    host.wait_count("closed_total", "timeout", 1).await;
}

// Clients connect and send nothing. Connections over the limit must be closed at once, so that they
// cannot accumulate, and the others after the handshake timeout.
#[tokio::test]
async fn silent_clients_do_not_accumulate() {
    let mut few_handshakes = options("host-2");
    few_handshakes.max_handshakes = 2;
    few_handshakes.connect_timeout = Duration::from_millis(300);
    let mut host = start(few_handshakes).await;

    let mut silent_clients = Vec::new();
    for _ in 0..5 {
        silent_clients.push(connect(&host).await);
    }

    host.wait_count("closed_total", "crowded", 3).await;
    host.wait_count("closed_total", "timeout", 2).await;
    assert_serves(&mut host).await;
}
