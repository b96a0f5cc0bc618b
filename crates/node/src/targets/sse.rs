//! Reads server-sent events from the pieces of a body.

/// An event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct StreamEvent {
    /// Its name; empty for a plain one.
    pub name: String,
    /// Its data.
    pub data: String,
}

/// Gathers pieces and gives out whole events.
#[derive(Debug, Default)]
pub(super) struct StreamReader {
    buf: Vec<u8>,
}

impl StreamReader {
    /// Adds a piece of the body.
    pub fn push(&mut self, piece: &[u8]) {
        self.buf.extend_from_slice(piece);
    }

    /// Returns how many bytes wait for the end of their event.
    pub fn pending(&self) -> usize {
        self.buf.len()
    }

    /// Takes the next whole event out.
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
