//! The events of a stream, cut out of the bytes that a target sends.

use bytes::{Buf as _, Bytes, BytesMut};

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, the empty line at its end included.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its data: the values of its data lines, with line feeds between.
    pub data: Vec<u8>,
}

/// The most bytes of one event; a target that sends more without an end is out of order.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Cuts a stream into events.
///
/// Only whole events are passed on: a target may break off within one, and the stream may then
/// go on at another target from the last whole one.
#[derive(Debug, Default)]
pub struct Cutter {
    buf: BytesMut,
}

impl Cutter {
    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next(&mut self) -> Option<Event> {
        let end = event_end(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();

        Some(read(bytes))
    }

    /// Returns whether the bytes taken in end within an event.
    pub fn is_within_event(&self) -> bool {
        self.buf.has_remaining()
    }

    /// Returns whether an event is longer than any target's should be.
    pub fn is_overlong(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Forgets what was taken in of an unfinished event.
    pub fn reset(&mut self) {
        self.buf.clear();
    }
}

/// Returns where the first event ends: after the first empty line.
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

/// Returns the value of a line with this field name; one space after the colon is not part of it.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;

    Some(value.strip_prefix(b" ").unwrap_or(value))
}
