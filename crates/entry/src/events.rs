//! A parser for the server-sent events of a stream.

use bytes::{Buf as _, Bytes, BytesMut};

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes as received, including the empty line at the end.
    pub bytes: Bytes,
    /// The event's id, if it has a numeric one.
    pub id: Option<u64>,
    /// The values of the data lines, separated by line feeds.
    pub data: Vec<u8>,
}

/// The maximum size of an event. A target that sends more without ending the event is
/// malfunctioning.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits the bytes of a stream into events.
///
/// Only complete events are forwarded. If a target fails within an event, the stream can then
/// resume at another target after the last complete one.
#[derive(Debug, Default)]
pub struct EventParser {
    buf: BytesMut,
}

impl EventParser {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next(&mut self) -> Option<Event> {
        let end = event_end(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();

        Some(read(bytes))
    }

    /// Returns whether bytes of an unfinished event remain. Must be called after all complete
    /// events have been removed.
    pub fn is_within_event(&self) -> bool {
        self.buf.has_remaining()
    }

    /// Returns whether the received bytes that [`EventParser::next`] has not removed yet exceed the
    /// maximum size of an event. They may include complete events.
    pub fn is_overlong(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Discards the received bytes that have not been removed yet.
    pub fn reset(&mut self) {
        self.buf.clear();
    }
}

/// Returns the end of the first event, which is after its first empty line.
fn event_end(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;

    for (i, byte) in buf.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buf[line_start..i];
        if line.is_empty() || line == b"\r" {
            return Some(i + 1);
        }
        line_start = i + 1;
    }

    None
}

fn read(bytes: Bytes) -> Event {
    let mut id = None;
    let mut data: Option<Vec<u8>> = None;

    for line in bytes.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);

        if let Some(value) = field(line, b"id") {
            id = std::str::from_utf8(value).ok().and_then(|value| value.trim().parse().ok());
        } else if let Some(value) = field(line, b"data") {
            match &mut data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => data = Some(value.to_vec()),
            }
        }
    }

    Event { bytes, id, data: data.unwrap_or_default() }
}

/// Returns the value of a line that has this field name, without one space after the colon.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;

    Some(value.strip_prefix(b" ").unwrap_or(value))
}
