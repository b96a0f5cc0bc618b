//! The handshake of a new connection: mutual challenge and response.
//!
//! ```text
//! dialler  -> listener   Hello   {protocol, nonce, name, zone, session}
//! listener -> dialler    Welcome {the listener's Hello, MAC "listener" over both Hellos}
//! dialler  -> listener   Proof   {MAC "dialler" over both Hellos}
//! ```
//!
//! Each MAC covers all fields of both sides. The fresh nonces prevent replay of a recorded
//! proof, and the role in the MAC prevents reflection of a proof to the end that made it.

use camphorwalk_core::hash::{Digest, digest};
use camphorwalk_core::ids::HostId;
use futures::{SinkExt as _, StreamExt as _};
use prost::Message;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::codec::{FrameCodec, FrameKeys, length_codec};
use crate::errors::{Error, Result};
use crate::secret::{Key, Secret, Tag, same_tag};

/// The version of the protocol; both ends must have the same.
pub const PROTOCOL_VERSION: u32 = 1;

/// The longest handshake message, in bytes. Limits the memory that an unauthenticated peer uses.
pub const MAX_HANDSHAKE_BYTES: usize = 1024;

/// The length of a nonce, in bytes.
pub const NONCE_BYTES: usize = 32;

/// The role of the end that opened the connection, as used in MACs.
const DIALLER: &[u8] = b"camphorwalk dialler";

/// The role of the end that accepted the connection, as used in MACs.
const LISTENER: &[u8] = b"camphorwalk listener";

/// One end's identity and nonce.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The version of the protocol.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// Random bytes, generated for each connection.
    #[prost(bytes = "vec", tag = "2")]
    pub nonce: Vec<u8>,
    /// The host's name.
    #[prost(string, tag = "3")]
    pub name: String,
    /// Its availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// The random number that identifies this run of its process.
    #[prost(fixed64, tag = "5")]
    pub session: u64,
}

/// The listener's answer to a [`Hello`].
#[derive(Clone, PartialEq, Message)]
pub struct Welcome {
    /// The listener's identity and nonce.
    #[prost(message, optional, tag = "1")]
    pub hello: Option<Hello>,
    /// The listener's proof.
    #[prost(bytes = "vec", tag = "2")]
    pub mac: Vec<u8>,
}

/// The dialler's proof.
#[derive(Clone, PartialEq, Message)]
pub struct Proof {
    /// The MAC.
    #[prost(bytes = "vec", tag = "1")]
    pub mac: Vec<u8>,
}

/// The identity of a host. For the other end of a connection, its proof has been verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The host.
    pub host: HostId,
    /// Its name.
    pub name: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// The random number that identifies this run of its process.
    pub session: u64,
}

impl Identity {
    /// Creates the identity of the host with this name.
    pub fn new(name: &str, zone: &str, session: u64) -> Self {
        Self { host: HostId::from_name(name), name: name.into(), zone: zone.into(), session }
    }

    /// Creates the `Hello` of this host for a new connection, with a fresh nonce.
    fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL_VERSION,
            nonce: rand::random::<[u8; NONCE_BYTES]>().to_vec(),
            name: self.name.to_string(),
            zone: self.zone.to_string(),
            session: self.session,
        }
    }
}

/// A connection whose other end is authenticated.
pub struct Connection<T> {
    /// The frames.
    pub frames: Framed<T, FrameCodec>,
    /// The identity of the other end.
    pub identity: Identity,
}

/// Performs the handshake with the listener at the other end of `io`.
pub async fn dial<T>(
    io: T,
    own: &Identity,
    secret: &Secret,
    max_frame_bytes: usize,
) -> Result<Connection<T>>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let mut frames = Framed::new(io, length_codec(MAX_HANDSHAKE_BYTES));
    let hello = own.hello();
    write(&mut frames, &hello).await?;

    let welcome: Welcome = read(&mut frames).await?;
    let peer_hello = welcome.hello.ok_or(Error::Malformed)?;
    let identity = check_hello(&peer_hello, own)?;
    let macs = HandshakeMacs::new(secret, &hello, &peer_hello);

    // The listener proves itself first, so an impostor at its address gets no proof of ours.
    if !same_tag(&macs.tag(LISTENER), &welcome.mac) {
        return Err(Error::WrongProof);
    }
    write(&mut frames, &Proof { mac: macs.tag(DIALLER).to_vec() }).await?;

    let keys = FrameKeys { sending: macs.key(DIALLER), receiving: macs.key(LISTENER) };
    Ok(into_connection(frames, identity, keys, max_frame_bytes))
}

/// Performs the handshake with the dialler at the other end of `io`.
pub async fn accept<T>(
    io: T,
    own: &Identity,
    secret: &Secret,
    max_frame_bytes: usize,
) -> Result<Connection<T>>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let mut frames = Framed::new(io, length_codec(MAX_HANDSHAKE_BYTES));
    let peer_hello: Hello = read(&mut frames).await?;
    let identity = check_hello(&peer_hello, own)?;

    let hello = own.hello();
    let macs = HandshakeMacs::new(secret, &peer_hello, &hello);
    let mac = macs.tag(LISTENER).to_vec();
    write(&mut frames, &Welcome { hello: Some(hello), mac }).await?;

    let proof: Proof = read(&mut frames).await?;
    if !same_tag(&macs.tag(DIALLER), &proof.mac) {
        return Err(Error::WrongProof);
    }

    let keys = FrameKeys { sending: macs.key(LISTENER), receiving: macs.key(DIALLER) };
    Ok(into_connection(frames, identity, keys, max_frame_bytes))
}

/// Switches from the handshake's codec to that of the connection. Bytes that were already
/// buffered are kept.
fn into_connection<T>(
    frames: Framed<T, LengthDelimitedCodec>,
    identity: Identity,
    keys: FrameKeys,
    max_frame_bytes: usize,
) -> Connection<T>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let frames = frames.map_codec(|_| FrameCodec::new(keys, max_frame_bytes));

    Connection { frames, identity }
}

/// Checks the other end's `Hello` before its proof has been verified.
fn check_hello(hello: &Hello, own: &Identity) -> Result<Identity> {
    if hello.protocol != PROTOCOL_VERSION {
        return Err(Error::Version(hello.protocol));
    }
    if hello.nonce.len() != NONCE_BYTES {
        return Err(Error::Malformed);
    }

    // A host never connects to itself. Its own name means that its message was reflected, or that
    // two hosts have the same name in their settings.
    let identity = Identity::new(&hello.name, &hello.zone, hello.session);
    if identity.host == own.host {
        return Err(Error::OwnName);
    }

    Ok(identity)
}

/// Computes the MACs and keys of one handshake.
struct HandshakeMacs {
    /// The fleet's secret.
    key: Key,
    /// The digest of the `Hello`s of both ends.
    transcript: Digest,
}

impl HandshakeMacs {
    fn new(secret: &Secret, dialler: &Hello, listener: &Hello) -> Self {
        let sides = [dialler.encode_to_vec(), listener.encode_to_vec()];
        let transcript = digest(&[&sides[0], &sides[1]]);

        Self { key: secret.key(), transcript }
    }

    /// Returns the proof of the end with this role.
    fn tag(&self, role: &[u8]) -> Tag {
        self.key.tag(&digest(&[b"proof", role]), &self.transcript)
    }

    /// Returns the key for the frames that the end with this role sends.
    fn key(&self, role: &[u8]) -> Key {
        Key::new(&self.key.tag(&digest(&[b"frames", role]), &self.transcript))
    }
}

/// Writes one handshake message.
async fn write<T>(
    frames: &mut Framed<T, LengthDelimitedCodec>,
    message: &impl Message,
) -> Result<()>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    Ok(frames.send(bytes::Bytes::from(message.encode_to_vec())).await?)
}

/// Reads one handshake message.
async fn read<T, M>(frames: &mut Framed<T, LengthDelimitedCodec>) -> Result<M>
where
    T: AsyncRead + AsyncWrite + Unpin,
    M: Message + Default,
{
    let content = frames.next().await.ok_or(Error::Closed)??;

    M::decode(content.freeze()).map_err(|_| Error::Malformed)
}
