//! Frames with a MAC, over the length-delimited codec of `tokio-util`.

use bytes::{BufMut as _, BytesMut};
use camphorwalk_core::messages::PeerMessage;
use prost::Message as _;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::errors::{Error, Result};
use crate::secret::{Key, same_tag};

/// The part of a MAC that stands before a frame's content, in bytes.
pub const TAG_BYTES: usize = 16;

/// The bytes of a frame's length.
pub const LENGTH_BYTES: usize = 4;

/// What a frame carries.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Nothing: it shows that the connection still works.
    Keepalive,
    /// A message.
    Message(PeerMessage),
}

impl Frame {
    /// Returns the bytes that this frame takes on the wire.
    pub fn wire_bytes(&self) -> usize {
        let content = match self {
            Self::Keepalive => 0,
            Self::Message(message) => message.encoded_len(),
        };

        LENGTH_BYTES + TAG_BYTES + content
    }
}

/// The keys of the two directions of a connection, seen from one end.
#[derive(Clone)]
pub struct FrameKeys {
    /// For the frames that this end sends.
    pub(crate) sending: Key,
    /// For the frames that it receives.
    pub(crate) receiving: Key,
}

/// Reads and writes the frames of one connection after its handshake.
pub struct FrameCodec {
    /// Cuts the stream into frames.
    lengths: LengthDelimitedCodec,
    /// The connection's keys.
    keys: FrameKeys,
    /// The number of the next frame to send.
    sent: u64,
    /// The number of the next frame to receive.
    received: u64,
}

impl FrameCodec {
    /// Makes the codec for a new connection.
    pub(crate) fn new(keys: FrameKeys, max_frame_bytes: usize) -> Self {
        Self { lengths: lengths(max_frame_bytes + TAG_BYTES), keys, sent: 0, received: 0 }
    }

    /// Checks and reads one frame.
    fn open(&mut self, mut content: BytesMut) -> Result<Frame> {
        if content.len() < TAG_BYTES {
            return Err(Error::Malformed);
        }

        // The number in the MAC makes a frame that is repeated, left out or moved fail.
        let tag = content.split_to(TAG_BYTES);
        let expected = self.keys.receiving.tag(&self.received.to_be_bytes(), &content);
        if !same_tag(&expected[..TAG_BYTES], &tag) {
            return Err(Error::WrongMac);
        }
        self.received += 1;

        if content.is_empty() {
            return Ok(Frame::Keepalive);
        }
        PeerMessage::decode(content.freeze()).map(Frame::Message).map_err(|_| Error::Malformed)
    }
}

/// Makes the codec that cuts a stream into frames of at most this length.
pub(crate) fn lengths(max_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(max_bytes)
        .new_codec()
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>> {
        match self.lengths.decode(src)? {
            Some(content) => self.open(content).map(Some),
            None => Ok(None),
        }
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<()> {
        let mut content = BytesMut::with_capacity(frame.wire_bytes());
        content.put_bytes(0, TAG_BYTES);
        if let Frame::Message(message) = &frame {
            message.encode(&mut content).map_err(|_| Error::Malformed)?;
        }

        let tag = self.keys.sending.tag(&self.sent.to_be_bytes(), &content[TAG_BYTES..]);
        content[..TAG_BYTES].copy_from_slice(&tag[..TAG_BYTES]);
        self.sent += 1;

        Ok(self.lengths.encode(content.freeze(), dst)?)
    }
}
