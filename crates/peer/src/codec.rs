//! The frame codec: adds a MAC to each frame of `tokio-util`'s length-delimited codec.

use bytes::{BufMut as _, Bytes, BytesMut};
use camphorwalk_core::messages::PeerMessage;
use prost::Message as _;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::errors::{Error, Result};
use crate::secret::{Key, same_tag};

/// The length of the truncated MAC at the start of a frame, in bytes.
pub const TAG_BYTES: usize = 16;

/// The size of a frame's length field, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// The content of a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// A frame without content. The dialler sends it to check the connection, and the listener
    /// replies with one.
    Keepalive,
    /// A message.
    Message(Box<PeerMessage>),
    /// An encoded message to send. A received one is a [`Frame::Message`].
    Encoded(Bytes),
}

impl Frame {
    /// Returns the size of this frame on the wire, in bytes.
    pub fn wire_bytes(&self) -> usize {
        let content = match self {
            Self::Keepalive => 0,
            Self::Message(message) => message.encoded_len(),
            Self::Encoded(message) => message.len(),
        };

        LENGTH_BYTES + TAG_BYTES + content
    }
}

/// The keys of the two directions of a connection, from the view of one end.
#[derive(Clone)]
pub struct FrameKeys {
    /// The key for frames that this end sends.
    pub(crate) sending: Key,
    /// The key for frames that this end receives.
    pub(crate) receiving: Key,
}

/// Encodes and decodes the frames of one connection after its handshake.
pub struct FrameCodec {
    /// Splits the byte stream into frames.
    lengths: LengthDelimitedCodec,
    /// The connection's keys.
    keys: FrameKeys,
    /// The number of the next frame to send.
    sent: u64,
    /// The number of the next frame to receive.
    received: u64,
}

impl FrameCodec {
    /// Creates the codec of a new connection.
    pub(crate) fn new(keys: FrameKeys, max_frame_bytes: usize) -> Self {
        Self { lengths: length_codec(max_frame_bytes + TAG_BYTES), keys, sent: 0, received: 0 }
    }

    /// Verifies and decodes one frame.
    fn verify_and_decode(&mut self, mut content: BytesMut) -> Result<Frame> {
        if content.len() < TAG_BYTES {
            return Err(Error::Malformed);
        }

        // The MAC covers the frame's sequence number, so a repeated, dropped or reordered frame
        // fails.
        let tag = content.split_to(TAG_BYTES);
        let expected = self.keys.receiving.tag(&self.received.to_be_bytes(), &content);
        if !same_tag(&expected[..TAG_BYTES], &tag) {
            return Err(Error::WrongMac);
        }
        self.received += 1;

        if content.is_empty() {
            return Ok(Frame::Keepalive);
        }
        let message = PeerMessage::decode(content.freeze()).map_err(|_| Error::Malformed)?;

        Ok(Frame::Message(Box::new(message)))
    }
}

/// Creates a codec that splits a stream into frames of at most this length.
pub(crate) fn length_codec(max_bytes: usize) -> LengthDelimitedCodec {
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
            Some(content) => self.verify_and_decode(content).map(Some),
            None => Ok(None),
        }
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<()> {
        let mut content = BytesMut::with_capacity(frame.wire_bytes());
        content.put_bytes(0, TAG_BYTES);
        match &frame {
            Frame::Keepalive => {}
            Frame::Message(message) => {
                message.encode(&mut content).map_err(|_| Error::Malformed)?;
            }
            Frame::Encoded(message) => content.put_slice(message),
        }

        let tag = self.keys.sending.tag(&self.sent.to_be_bytes(), &content[TAG_BYTES..]);
        content[..TAG_BYTES].copy_from_slice(&tag[..TAG_BYTES]);
        self.sent += 1;

        Ok(self.lengths.encode(content.freeze(), dst)?)
    }
}
