//! Connections from whoever does not belong to the fleet.

mod fixtures;

use std::time::Duration;

use camphorwalk_core::hash::digest;
use camphorwalk_peer::codec::Frame;
use camphorwalk_peer::handshake::{Connection, Hello, Identity, PROTOCOL, Proof, Welcome, dial};
use camphorwalk_peer::{Error, Secret};
use fixtures::{Host, id, large_message, message, options, secret, start};
use futures::SinkExt as _;
use prost::Message;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// The frames of the tests that send larger ones than their host takes.
const LARGE: usize = 16 << 20;

/// Connects to a host without saying anything.
async fn connect(host: &Host) -> TcpStream {
    TcpStream::connect(host.peers.local_address()).await.unwrap()
}

/// Connects to a host as a true member of the fleet.
async fn join(host: &Host, name: &str) -> Connection<TcpStream> {
    let own = Identity::new(name, "zone-a", 1);

    dial(connect(host).await, &own, &secret(), LARGE).await.unwrap()
}

/// Writes a handshake message as the wire has it.
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

/// Makes what a stranger may say of itself.
fn hello(name: &str) -> Hello {
    let (name, zone) = (name.to_owned(), "zone-a".to_owned());

    Hello { protocol: PROTOCOL, nonce: vec![3; 32], name, zone, session: 1 }
}

/// Asserts that a host still takes in messages of the fleet, and nothing came before.
async fn assert_serves(host: &mut Host) {
    let friend = start(options("friend")).await;
    friend.peers.set_address(id("host-2"), host.peers.local_address());

    friend.peers.send(id("host-2"), message(9));

    assert_eq!(host.next_message().await, message(9));
}

// A host with another fleet's secret dials. It is turned away by the other end's proof
// before it gives its own, and the listener serves on.
#[tokio::test]
async fn a_wrong_secret_is_turned_away() {
    let mut host = start(options("host-2")).await;
    let own = Identity::new("host-1", "zone-a", 1);

    let refused = dial(connect(&host).await, &own, &Secret::new([8; 32]), LARGE).await;

    assert!(matches!(refused, Err(Error::WrongProof)));
    assert_serves(&mut host).await;
}

// A stranger gives a proof of its own making. It sees its connection close.
#[tokio::test]
async fn a_made_up_proof_is_turned_away() {
    let mut host = start(options("host-2")).await;
    let mut stream = connect(&host).await;
    write(&mut stream, &hello("host-1")).await;
    read::<Welcome>(&mut stream).await;

    write(&mut stream, &Proof { mac: vec![0; 32] }).await;

    assert_eq!(stream.read(&mut [0; 64]).await.unwrap_or(0), 0);
    host.wait_count("closed_total", "wrong_proof", 1).await;
    assert_serves(&mut host).await;
}

// A stranger sends the listener's own proof back as if it were its own. The proof is true
// and over the right nonces, but for the other role: it is turned away.
#[tokio::test]
async fn a_reflected_proof_is_turned_away() {
    let mut host = start(options("host-2")).await;
    let mut stream = connect(&host).await;
    write(&mut stream, &hello("host-1")).await;
    let welcome: Welcome = read(&mut stream).await;

    write(&mut stream, &Proof { mac: welcome.mac }).await;

    host.wait_count("closed_total", "wrong_proof", 1).await;
    assert_serves(&mut host).await;
}

// A host is led to dial a stranger, who answers its challenge by asking the host itself:
// it dials back and passes on what it is told. Both ends then name the same host, which
// has no business with itself.
#[tokio::test]
async fn a_challenge_reflected_to_its_maker_is_turned_away() {
    let host = start(options("host-1")).await;
    let stranger = TcpListener::bind("127.0.0.1:0").await.unwrap();
    host.peers.set_address(id("host-2"), stranger.local_addr().unwrap());
    host.peers.send(id("host-2"), message(1));
    let (mut dialled, _) = stranger.accept().await.unwrap();
    let challenge: Hello = read(&mut dialled).await;

    let mut back = connect(&host).await;
    write(&mut back, &Hello { name: "host-2".to_owned(), ..challenge }).await;
    let welcome: Welcome = read(&mut back).await;
    write(&mut dialled, &welcome).await;

    host.wait_count("failed_total", "own_name", 1).await;
}

#[tokio::test]
async fn a_host_with_our_own_name_is_turned_away() {
    let mut host = start(options("host-2")).await;
    let mut stream = connect(&host).await;

    write(&mut stream, &hello("host-2")).await;

    host.wait_count("closed_total", "own_name", 1).await;
    assert_serves(&mut host).await;
}

#[tokio::test]
async fn another_version_is_turned_away() {
    let mut host = start(options("host-2")).await;
    let mut stream = connect(&host).await;

    write(&mut stream, &Hello { protocol: PROTOCOL + 1, ..hello("host-1") }).await;

    host.wait_count("closed_total", "version", 1).await;
    assert_serves(&mut host).await;
}

// A stranger recorded a true host's whole connection and plays it again. The listener's
// nonce is new, so the recorded proof is worthless.
#[tokio::test]
async fn a_recorded_handshake_is_turned_away() {
    let mut host = start(options("host-2")).await;
    let relay = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let friend = start(options("host-1")).await;
    friend.peers.set_address(id("host-2"), relay.local_addr().unwrap());
    friend.peers.send(id("host-2"), message(1));
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

// A stranger relays a true handshake, which neither end can tell, and then puts a frame of
// its own behind it. The frame's MAC gives it away: nothing of it is delivered.
#[tokio::test]
async fn a_frame_put_behind_a_relayed_handshake_is_not_delivered() {
    let mut host = start(options("host-2")).await;
    let relay = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let friend = start(options("host-1")).await;
    friend.peers.set_address(id("host-2"), relay.local_addr().unwrap());
    friend.peers.send(id("host-2"), message(1));
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

// Whoever relays a connection sends a frame of it twice. The number in the MAC gives the
// second away; the message is delivered once.
#[tokio::test]
async fn a_repeated_frame_is_not_delivered() {
    let mut host = start(options("host-2")).await;
    let relay = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let friend = start(options("host-1")).await;
    friend.peers.set_address(id("host-2"), relay.local_addr().unwrap());
    friend.peers.send(id("host-2"), message(1));
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
async fn an_oversized_greeting_is_turned_away() {
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

    let frame = Frame::Message(large_message(5 << 20));
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
async fn a_greeting_that_is_none_is_turned_away() {
    let mut host = start(options("host-2")).await;
    let mut stream = connect(&host).await;

    stream.write_all(&[0, 0, 0, 3, 0xff, 0xff, 0xff]).await.unwrap();

    host.wait_count("closed_total", "malformed", 1).await;
    assert_serves(&mut host).await;
}

#[tokio::test]
async fn a_silent_stranger_is_turned_away() {
    let mut impatient = options("host-2");
    impatient.connect_timeout = Duration::from_millis(30);
    let host = start(impatient).await;

    let _stream = connect(&host).await;

    host.wait_count("closed_total", "timeout", 1).await;
}

// Strangers connect and say nothing. Past the limit they are closed at once, so that they
// cannot pile up; those within it go when their time is over.
#[tokio::test]
async fn silent_strangers_do_not_pile_up() {
    let mut narrow = options("host-2");
    narrow.max_handshakes = 2;
    narrow.connect_timeout = Duration::from_millis(300);
    let mut host = start(narrow).await;

    let mut strangers = Vec::new();
    for _ in 0..5 {
        strangers.push(connect(&host).await);
    }

    host.wait_count("closed_total", "crowded", 3).await;
    host.wait_count("closed_total", "timeout", 2).await;
    assert_serves(&mut host).await;
}
