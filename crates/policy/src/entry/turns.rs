//! What is kept of turns, so that a later turn can continue any of them.

use std::collections::VecDeque;
use std::rc::Rc;

use camphorwalk_core::hash::{Map, stable_hash};
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

/// The parts of the store that turns and budgets are spread over. A part takes its transactions one
/// after another, some 200 a second, and a sixtieth of that when the store is slow. With 256 parts a
/// slow store still takes some 850 a second, more than a fleet of seventy hosts writes. If it
/// falls behind, what is held meanwhile is lost if all machines stop. With many more parts each host
/// would have to find out anew for nearly each call whether its part is away.
pub const PARTS: u64 = 256;

/// A turn's name within the fleet: a hash of its tenant and the id of its request, so that a
/// turn of one tenant cannot be found by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TurnKey(pub u64);

impl TurnKey {
    /// Returns the name of a tenant's turn.
    pub fn new(tenant: &str, request_id: &str) -> Self {
        Self(stable_hash(&[b"turn", tenant.as_bytes(), request_id.as_bytes()]))
    }

    /// Returns the key of its row.
    ///
    /// ```
    /// use camphorwalk_policy::entry::turns::TurnKey;
    /// assert_eq!(&*TurnKey(0x12).row_key(), "12/0000000000000012");
    /// ```
    pub fn row_key(self) -> Box<str> {
        format!("{:x}/{:016x}", self.part(), self.0).into()
    }

    /// Returns the number of the part that holds its row.
    pub fn part(self) -> u64 {
        self.0 % PARTS
    }
}

/// A turn as kept: what it adds to the prompt of a turn that continues from it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The turns that it continues from, the oldest first.
    pub line: Vec<TurnKey>,
    /// Its input and the lines of its answer, if they are text.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    text: Box<str>,
    /// The same if they are no text.
    #[serde_as(as = "Base64")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    raw: Vec<u8>,
}

impl Turn {
    /// Makes a turn of what it adds to the prompt.
    ///
    /// ```
    /// use camphorwalk_policy::entry::turns::Turn;
    /// let turn = Turn::new(Vec::new(), b"hello".to_vec());
    /// assert_eq!(turn.transcript(), b"hello");
    /// ```
    pub fn new(line: Vec<TurnKey>, said: Vec<u8>) -> Self {
        match String::from_utf8(said) {
            Ok(text) => Self { line, text: text.into(), raw: Vec::new() },
            Err(e) => Self { line, text: Box::default(), raw: e.into_bytes() },
        }
    }

    /// Returns what it adds to the prompt: its input, then the data of each event and a line
    /// feed.
    pub fn transcript(&self) -> &[u8] {
        if self.raw.is_empty() { self.text.as_bytes() } else { &self.raw }
    }

    /// Returns the line of a turn that continues from this one.
    pub fn conversation_with(&self, own: TurnKey) -> Vec<TurnKey> {
        let mut line = Vec::with_capacity(self.line.len() + 1);
        line.extend_from_slice(&self.line);
        line.push(own);

        line
    }
}

/// The turns that this host has at hand, up to a number of bytes; the oldest go first.
#[derive(Debug)]
pub struct TurnCache {
    turns: Map<TurnKey, Rc<Turn>>,
    order: VecDeque<TurnKey>,
    bytes: usize,
    most_bytes: usize,
}

impl TurnCache {
    /// Makes a cache that holds this many bytes.
    pub fn new(most_bytes: usize) -> Self {
        Self { turns: Map::default(), order: VecDeque::new(), bytes: 0, most_bytes }
    }

    /// Returns a turn if it is at hand.
    pub fn get(&self, key: TurnKey) -> Option<Rc<Turn>> {
        self.turns.get(&key).cloned()
    }

    /// Keeps a turn. A turn never changes, so what is at hand stays true.
    pub fn put(&mut self, key: TurnKey, turn: Rc<Turn>) {
        if self.turns.contains_key(&key) {
            return;
        }

        self.bytes += size(&turn);
        self.turns.insert(key, turn);
        self.order.push_back(key);

        while self.bytes > self.most_bytes {
            let Some(oldest) = self.order.pop_front() else { return };
            if let Some(turn) = self.turns.remove(&oldest) {
                self.bytes -= size(&turn);
            }
        }
    }
}

/// Returns the bytes that a turn takes in memory, with what holds it.
fn size(turn: &Turn) -> usize {
    /// The map's, the queue's and the counter's share.
    const HOLDING: usize = 96;

    turn.transcript().len() + turn.line.len() * size_of::<TurnKey>() + HOLDING
}
