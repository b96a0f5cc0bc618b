//! The mutual challenge and response at connect.
//!
//! ```text
//! dialler  -> listener   Hello   {protocol, nonce, name, zone, session}
//! listener -> dialler    Welcome {the same of its own, MAC "listener" over both}
//! dialler  -> listener   Proof   {MAC "dialler" over both}
//! ```
//!
//! Each MAC covers all fields of both sides. The fresh nonces make a recorded proof
//! worthless; the role makes a proof worthless when it is sent back to its maker.

use camphorwalk_core::hash::{Digest, digest};
use camphorwalk_core::ids::HostId;
use futures::{SinkExt as _, StreamExt as _};
use prost::Message;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::codec::{FrameCodec, FrameKeys, lengths};
use crate::errors::{Error, Result};
use crate::secret::{Key, Secret, Tag, same_tag};

/// The version of the protocol; both ends must have the same.
pub const PROTOCOL: u32 = 1;

/// The longest handshake message. Whoever has proved nothing makes us hold no more.
pub const MAX_HANDSHAKE_BYTES: usize = 1024;

/// The length of a nonce, in bytes.
pub const NONCE_BYTES: usize = 32;

/// The end that opened the connection, in MACs.
const DIALLER: &[u8] = b"camphorwalk dialler";

/// The end that accepted the connection, in MACs.
const LISTENER: &[u8] = b"camphorwalk listener";

/// What one side says of itself.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The version of the protocol.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// Random bytes, new for each connection.
    #[prost(bytes = "vec", tag = "2")]
    pub nonce: Vec<u8>,
    /// The host's name.
    #[prost(string, tag = "3")]
    pub name: String,
    /// Its availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// The random number of this run of its process.
    #[prost(fixed64, tag = "5")]
    pub session: u64,
}

/// The listener's answer to a [`Hello`].
#[derive(Clone, PartialEq, Message)]
pub struct Welcome {
    /// What the listener says of itself.
    #[prost(message, optional, tag = "1")]
    pub hello: Option<Hello>,
    /// Its proof.
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

/// Who stands at the other end of a connection, as its proof bears out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The host.
    pub host: HostId,
    /// Its name.
    pub name: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// The random number of this run of its process.
    pub session: u64,
}

impl Identity {
    /// Makes the identity that a host gives of itself.
    pub fn new(name: &str, zone: &str, session: u64) -> Self {
        Self { host: HostId::from_name(name), name: name.into(), zone: zone.into(), session }
    }

    /// Returns what this host says at the start of a new connection.
    fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL,
            nonce: rand::random::<[u8; NONCE_BYTES]>().to_vec(),
            name: self.name.to_string(),
            zone: self.zone.to_string(),
            session: self.session,
        }
    }
}

/// A connection whose other end is known.
pub struct Connection<T> {
    /// The frames.
    pub frames: Framed<T, FrameCodec>,
    /// The other end.
    pub identity: Identity,
}

/// Proves this host to the listener at the other end of `io`, and checks its proof.
pub async fn dial<T>(
    io: T,
    own: &Identity,
    secret: &Secret,
    max_frame_bytes: usize,
) -> Result<Connection<T>>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let mut frames = Framed::new(io, lengths(MAX_HANDSHAKE_BYTES));
    let hello = own.hello();
    write(&mut frames, &hello).await?;

    let welcome: Welcome = read(&mut frames).await?;
    let theirs = welcome.hello.ok_or(Error::Malformed)?;
    let identity = check_hello(&theirs, own)?;
    let proofs = Proofs::new(secret, &hello, &theirs);

    // The listener proves itself first, so a stranger's listener gets no proof of ours.
    if !same_tag(&proofs.tag(LISTENER), &welcome.mac) {
        return Err(Error::WrongProof);
    }
    write(&mut frames, &Proof { mac: proofs.tag(DIALLER).to_vec() }).await?;

    let keys = FrameKeys { sending: proofs.key(DIALLER), receiving: proofs.key(LISTENER) };
    Ok(connection(frames, identity, keys, max_frame_bytes))
}

/// Proves this host to the dialler at the other end of `io`, and checks its proof.
pub async fn accept<T>(
    io: T,
    own: &Identity,
    secret: &Secret,
    max_frame_bytes: usize,
) -> Result<Connection<T>>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let mut frames = Framed::new(io, lengths(MAX_HANDSHAKE_BYTES));
    let theirs: Hello = read(&mut frames).await?;
    let identity = check_hello(&theirs, own)?;

    let hello = own.hello();
    let proofs = Proofs::new(secret, &theirs, &hello);
    let mac = proofs.tag(LISTENER).to_vec();
    write(&mut frames, &Welcome { hello: Some(hello), mac }).await?;

    let proof: Proof = read(&mut frames).await?;
    if !same_tag(&proofs.tag(DIALLER), &proof.mac) {
        return Err(Error::WrongProof);
    }

    let keys = FrameKeys { sending: proofs.key(LISTENER), receiving: proofs.key(DIALLER) };
    Ok(connection(frames, identity, keys, max_frame_bytes))
}

/// Turns the handshake's frames into those of the connection; bytes read ahead stay.
fn connection<T>(
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

/// Checks what the other side says of itself, as far as it can be without a proof.
fn check_hello(hello: &Hello, own: &Identity) -> Result<Identity> {
    if hello.protocol != PROTOCOL {
        return Err(Error::Version(hello.protocol));
    }
    if hello.nonce.len() != NONCE_BYTES {
        return Err(Error::Malformed);
    }

    // A host has no business with itself: this is our own message sent back, or two hosts
    // with one name in their settings.
    let identity = Identity::new(&hello.name, &hello.zone, hello.session);
    if identity.host == own.host {
        return Err(Error::OwnName);
    }

    Ok(identity)
}

/// Makes the MACs and keys of one handshake.
struct Proofs {
    /// The fleet's secret.
    key: Key,
    /// The digest of all that both sides said.
    transcript: Digest,
}

impl Proofs {
    fn new(secret: &Secret, dialler: &Hello, listener: &Hello) -> Self {
        let sides = [dialler.encode_to_vec(), listener.encode_to_vec()];
        let transcript = digest(&[&sides[0], &sides[1]]);

        Self { key: secret.key(), transcript }
    }

    /// Returns the proof of the end in this role.
    fn tag(&self, role: &[u8]) -> Tag {
        self.key.tag(&digest(&[b"proof", role]), &self.transcript)
    }

    /// Returns the key for the frames that the end in this role sends.
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
