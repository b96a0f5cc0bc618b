//! The stored form of turns, from which later turns can continue.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::hash::{Map, stable_hash};
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

/// The number of store parts over which turns and budgets are distributed. A part executes its
/// transactions one at a time, about 200 a second, or a sixtieth of that when the store is slow.
/// With 256 parts, a slow store still takes about 850 a second, more than a fleet of seventy hosts
/// writes. If the store fell behind, the turns waiting for it would be lost if all machines
/// stopped. With many more parts, nearly each call of a host would be the first to find out whether
/// its part is available.
pub const PARTS: u64 = 256;

/// How long a row is kept beyond the retention of its turn, so that a turn that was found just
/// before its expiry still exists when it is used.
pub const ROW_MARGIN: Duration = Duration::from_secs(30);

/// A turn that continues from rows older than this stores what it needs of them again. Less than
/// [`ROW_MARGIN`], so that the rows exist for at least the retention of each turn that names them,
/// also if the clocks of their writers differ by some seconds.
pub const MAX_ROW_AGE: Duration = Duration::from_secs(15);

/// The transcripts of earlier turns are stored again in rows of about this many bytes each, which
/// is well below the largest row that the store takes.
const PACKED_ROW_BYTES: usize = 32 * 1024;

/// Identifies a turn within the fleet: a hash of its tenant and its request id. The tenant is
/// included so that no tenant can look up a turn of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TurnKey(pub u64);

impl TurnKey {
    /// Returns the key of a tenant's turn.
    pub fn new(tenant: &str, request_id: &str) -> Self {
        Self(stable_hash(&[b"turn", tenant.as_bytes(), request_id.as_bytes()]))
    }

    /// Returns the key of the `index`th row in which the turn stores its earlier turns again.
    fn packed(self, index: usize) -> Self {
        Self(stable_hash(&[b"packed", &self.0.to_be_bytes(), &index.to_be_bytes()]))
    }

    /// Returns the key of the turn's row in the store.
    ///
    /// ```
    /// use camphorwalk_policy::entry::turns::TurnKey;
    /// assert_eq!(&*TurnKey(0x12).row_key(), "12/0000000000000012");
    /// ```
    pub fn row_key(self) -> Box<str> {
        format!("{:x}/{:016x}", self.part(), self.0).into()
    }

    /// Returns the number of the store part that holds its row.
    pub fn part(self) -> u64 {
        self.0 % PARTS
    }
}

/// A stored turn: what it adds to the prompt of a turn that continues from it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The earlier turns of its conversation, oldest first. Each of them continues the one before.
    pub line: Vec<TurnKey>,
    /// What it adds to the prompt (see [`Turn::transcript`]), if that is valid UTF-8.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    text: Box<str>,
    /// The same, if it is not valid UTF-8.
    #[serde_as(as = "Base64")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    raw: Vec<u8>,
    /// When the oldest row that the turn needs was written, its own included, in milliseconds since
    /// the Unix epoch; 0 if that is not known.
    #[serde(default, skip_serializing_if = "is_zero")]
    oldest_row_ms: u64,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

impl Turn {
    /// Creates a turn from the earlier turns of its conversation and what it adds to the prompt.
    ///
    /// ```
    /// use camphorwalk_policy::entry::turns::Turn;
    /// let turn = Turn::new(Vec::new(), b"hello".to_vec());
    /// assert_eq!(turn.transcript(), b"hello");
    /// ```
    pub fn new(line: Vec<TurnKey>, transcript: Vec<u8>) -> Self {
        match String::from_utf8(transcript) {
            Ok(text) => Self { line, text: text.into(), raw: Vec::new(), oldest_row_ms: 0 },
            Err(e) => Self { line, text: Box::default(), raw: e.into_bytes(), oldest_row_ms: 0 },
        }
    }

    /// Sets when the oldest row that the turn needs was written, in milliseconds since the Unix
    /// epoch.
    #[must_use]
    pub fn with_oldest_row(self, oldest_row_ms: u64) -> Self {
        Self { oldest_row_ms, ..self }
    }

    /// Returns when the oldest row that the turn needs was written, in milliseconds since the Unix
    /// epoch; 0 if that is not known.
    pub fn oldest_row_ms(&self) -> u64 {
        self.oldest_row_ms
    }

    /// Returns whether a turn that continues from this one must store the earlier turns again,
    /// because their rows may be deleted before its own retention ends.
    ///
    /// ```
    /// use camphorwalk_policy::entry::turns::Turn;
    /// let turn = Turn::new(Vec::new(), b"hello".to_vec()).with_oldest_row(1_000_000);
    /// assert!(!turn.needs_packing(1_010_000));
    /// assert!(turn.needs_packing(1_020_000));
    /// ```
    pub fn needs_packing(&self, now_ms: u64) -> bool {
        u128::from(now_ms.abs_diff(self.oldest_row_ms)) > MAX_ROW_AGE.as_millis()
    }

    /// Returns what the turn adds to the prompt: its input, then the data of each event followed by
    /// a line feed.
    pub fn transcript(&self) -> &[u8] {
        if self.raw.is_empty() { self.text.as_bytes() } else { &self.raw }
    }

    /// Returns the value of `line` for a turn that continues from this one: the earlier turns of
    /// this one, then its own key, `own`.
    pub fn conversation_with(&self, own: TurnKey) -> Vec<TurnKey> {
        let mut line = Vec::with_capacity(self.line.len() + 1);
        line.extend_from_slice(&self.line);
        line.push(own);

        line
    }
}

/// Returns the rows in which a turn stores its earlier turns again, oldest first, with their keys.
/// Together they hold the transcripts of `earlier` in order, several in a row.
///
/// ```
/// use std::rc::Rc;
/// use camphorwalk_policy::entry::turns::{Turn, TurnKey, pack};
/// let earlier = ["one ", "two "].map(|t| Rc::new(Turn::new(Vec::new(), t.into())));
/// let rows = pack(TurnKey(7), &earlier, 1_000);
/// assert_eq!(rows[0].1.transcript(), b"one two ");
/// ```
pub fn pack(owner: TurnKey, earlier: &[Rc<Turn>], now_ms: u64) -> Vec<(TurnKey, Rc<Turn>)> {
    let mut transcripts: Vec<Vec<u8>> = Vec::new();

    for turn in earlier {
        let text = turn.transcript();
        match transcripts.last_mut() {
            Some(row) if row.len() + text.len() <= PACKED_ROW_BYTES => row.extend_from_slice(text),
            _ => transcripts.push(text.to_vec()),
        }
    }

    let rows = transcripts.into_iter().enumerate();
    let to_row = |text| Rc::new(Turn::new(Vec::new(), text).with_oldest_row(now_ms));
    rows.map(|(index, text)| (owner.packed(index), to_row(text))).collect()
}

/// A cache of turns, limited by size in bytes. The turns that were cached first are evicted first.
#[derive(Debug)]
pub struct TurnCache {
    turns: Map<TurnKey, Rc<Turn>>,
    order: VecDeque<TurnKey>,
    bytes: usize,
    max_bytes: usize,
}

impl TurnCache {
    /// Creates a cache with this limit in bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self { turns: Map::default(), order: VecDeque::new(), bytes: 0, max_bytes }
    }

    /// Returns a turn if it is cached.
    pub fn get(&self, key: TurnKey) -> Option<Rc<Turn>> {
        self.turns.get(&key).cloned()
    }

    /// Caches a turn. Turns never change, so cached ones cannot become outdated.
    pub fn put(&mut self, key: TurnKey, turn: Rc<Turn>) {
        if self.turns.contains_key(&key) {
            return;
        }

        self.bytes += size(&turn);
        self.turns.insert(key, turn);
        self.order.push_back(key);

        while self.bytes > self.max_bytes {
            let Some(oldest) = self.order.pop_front() else { return };
            if let Some(turn) = self.turns.remove(&oldest) {
                self.bytes -= size(&turn);
            }
        }
    }
}

/// Returns the memory that a turn takes in the cache, in bytes.
fn size(turn: &Turn) -> usize {
    /// Overhead of the map entry, the queue entry and the reference counts.
    const ENTRY_OVERHEAD: usize = 96;

    turn.transcript().len() + turn.line.len() * size_of::<TurnKey>() + ENTRY_OVERHEAD
}
