//! Parses server-sent events from a body that arrives in chunks.

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct StreamEvent {
    /// The event's name; empty if it has none.
    pub name: String,
    /// The event's data lines, joined without a separator.
    pub data: String,
}

/// Buffers chunks of a body and returns complete events.
#[derive(Debug, Default)]
pub(super) struct StreamReader {
    buf: Vec<u8>,
}

impl StreamReader {
    /// Appends a chunk of the body.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// Returns the number of buffered bytes. Once `next_event` has returned `None`, these bytes
    /// belong to an incomplete event.
    pub fn buffered_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Removes the next complete event from the buffer and returns it.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.buf.windows(2).position(|pair| pair == b"\n\n")?;
        let block: Vec<u8> = self.buf.drain(..end + 2).collect();
        let text = String::from_utf8_lossy(&block);
        let mut event = StreamEvent::default();

        for line in text.lines() {
            if let Some(name) = line.strip_prefix("event:") {
                event.name = name.trim().to_owned();
            } else if let Some(data) = line.strip_prefix("data:") {
                event.data.push_str(data.strip_prefix(' ').unwrap_or(data));
            }
        }

        Some(event)
    }
}
