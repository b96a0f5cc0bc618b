//! The configuration in force and the keys that were withdrawn.
//!
//! A configuration is an immutable object; one pointer row names the object in force and is
//! moved by compare and set. A host adopts only a higher version than it has, so it never
//! steps back, however late or often an older one reaches it. A withdrawal is a tombstone:
//! it is never taken back, so any host may accept one, and no order between hosts matters.

use std::sync::Arc;
use std::time::Duration;

use camphorwalk_core::config::Config;
use camphorwalk_core::hash::Set;
use camphorwalk_core::ids::KeyId;
use camphorwalk_core::platform::{
    Check, ObjectName, PlatformOp, PlatformReply, Row, RowKey, RowVersion, Transaction, Write,
};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::ConfigVersion;
use serde::{Deserialize, Serialize};

/// The table of the pointer row.
pub const CONFIG_TABLE: &str = "config";

/// The key of the pointer row.
pub const CURRENT: &str = "current";

/// The table of withdrawn keys.
pub const WITHDRAWN_TABLE: &str = "withdrawn";

/// The most tombstones that are read at a time: far more than there are keys.
const WITHDRAWN_LIMIT: u32 = 10_000;

/// The pointer row's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pointer {
    /// The version in force.
    pub version: ConfigVersion,
    /// Its object.
    pub object: ObjectName,
}

/// A platform operation that the configuration waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigOp(pub u64);

/// An operator's question, by a number that the answer carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorRequestId(pub u64);

/// Something that happened, as far as the configuration minds.
#[derive(Clone, Debug)]
pub enum ConfigEvent {
    /// The platform answered.
    Platform {
        /// The operation.
        op: ConfigOp,
        /// The answer.
        reply: PlatformReply,
    },
    /// A peer has this version in force.
    Heard(Pointer),
    /// A peer sent a whole configuration.
    Received(Box<[u8]>),
    /// Peers know these keys as withdrawn.
    Withdrawn(Vec<KeyId>),
    /// An operator publishes a configuration that was made from version `base`.
    Publish {
        /// The question.
        request_id: OperatorRequestId,
        /// The version that the operator read; 0 for the first.
        base: ConfigVersion,
        /// The new configuration.
        config: Box<Config>,
    },
    /// An operator withdraws a key.
    Withdraw {
        /// The key.
        key: KeyId,
    },
    /// Time has passed; see [`Configs::wake_at`].
    Wake,
}

/// What to do next for the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigAction {
    /// Run an operation on the platform.
    Platform {
        /// The number to answer with.
        op: ConfigOp,
        /// The operation.
        request: PlatformOp,
    },
    /// This configuration is in force here from now on.
    Adopted(Arc<Config>),
    /// This key is withdrawn here from now on.
    KeyWithdrawn(KeyId),
    /// The answer to an operator who publishes.
    Published {
        /// The question.
        request_id: OperatorRequestId,
        /// The answer.
        answer: Published,
    },
}

/// The answer to an operator who publishes.
#[derive(Clone, Debug, PartialEq)]
pub enum Published {
    /// It is in force, under this version.
    Done(ConfigVersion),
    /// Another change came first: this one is in force.
    Conflict(Option<Arc<Config>>),
    /// The platform is away; nothing was published.
    Unavailable,
    /// The platform's answer was lost; `status` will show what came of it.
    Unknown,
}

/// Reads a configuration from an object and checks it.
pub type ReadConfig = fn(&[u8]) -> Result<Config, Box<str>>;

/// Writes a configuration as an object.
pub type WriteConfig = fn(&Config) -> Box<[u8]>;

/// Settings of [`Configs`].
#[derive(Clone, Debug)]
pub struct ConfigOptions {
    /// Reads and checks an object.
    pub read: ReadConfig,
    /// Writes an object.
    pub write: WriteConfig,
    /// How often the pointer row and the tombstones are read.
    pub poll: Duration,
}

/// What an operation was started for.
#[derive(Clone, Debug)]
enum Pending {
    /// The pointer row is being read.
    Pointer,
    /// The tombstones are being read.
    Tombstones,
    /// An object named by a pointer is being read.
    Object(Pointer),
    /// A tombstone is being stored.
    Store(KeyId),
    /// A publication is at this step.
    Publish(Box<Publication>, PublishStep),
}

/// A publication under way.
#[derive(Clone, Debug)]
struct Publication {
    request_id: OperatorRequestId,
    base: ConfigVersion,
    config: Arc<Config>,
    object: Box<[u8]>,
}

impl Publication {
    fn pointer(&self) -> Pointer {
        Pointer { version: self.config.version, object: ObjectName::of(&self.object) }
    }
}

/// The steps of a publication, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PublishStep {
    /// The object is being stored.
    Object,
    /// The pointer row is being read.
    Read,
    /// The pointer row is being moved.
    Move,
    /// The pointer row is being read, because the answer to moving it was lost.
    ReadBack,
}

/// The configuration of one host.
#[derive(Debug)]
pub struct Configs {
    options: ConfigOptions,
    current: Option<Arc<Config>>,
    pointer: Option<Pointer>,
    bytes: Box<[u8]>,
    withdrawn: Set<KeyId>,
    /// Tombstones that the platform is not known to have.
    unstored: Vec<KeyId>,
    pending: Vec<(ConfigOp, Pending)>,
    next_poll: Instant,
    next_op: u64,
}

impl Configs {
    /// Makes a host that has heard of no configuration yet.
    pub fn new(options: ConfigOptions) -> Self {
        Self {
            options,
            current: None,
            pointer: None,
            bytes: Box::default(),
            withdrawn: Set::default(),
            unstored: Vec::new(),
            pending: Vec::new(),
            next_poll: Instant::default(),
            next_op: 0,
        }
    }

    /// Returns the configuration in force here.
    pub fn current(&self) -> Option<&Arc<Config>> {
        self.current.as_ref()
    }

    /// Returns the version in force here and its object's name.
    pub fn pointer(&self) -> Option<&Pointer> {
        self.pointer.as_ref()
    }

    /// Returns the object of the configuration in force here.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns whether a key is known here as withdrawn.
    pub fn is_withdrawn(&self, key: KeyId) -> bool {
        self.withdrawn.contains(&key)
    }

    /// Returns all keys known here as withdrawn, in order.
    pub fn withdrawn(&self) -> Vec<KeyId> {
        let mut all: Vec<_> = self.withdrawn.iter().copied().collect();
        all.sort_unstable();

        all
    }

    /// Returns how many withdrawals the platform is not known to have.
    pub fn unstored(&self) -> usize {
        self.unstored.len()
    }

    /// Takes in an event and appends what to do next to `out`.
    pub fn step(&mut self, now: Instant, event: ConfigEvent, out: &mut Vec<ConfigAction>) {
        match event {
            ConfigEvent::Platform { op, reply } => self.on_platform(op, reply, out),
            ConfigEvent::Heard(pointer) => self.on_pointer(pointer, out),
            ConfigEvent::Received(bytes) => self.on_bytes(bytes, out),
            ConfigEvent::Withdrawn(keys) => {
                keys.into_iter().for_each(|key| self.add_withdrawn(key, false, out));
            }
            ConfigEvent::Withdraw { key } => self.add_withdrawn(key, true, out),
            ConfigEvent::Publish { request_id, base, config } => {
                self.publish(request_id, base, *config, out)
            }
            ConfigEvent::Wake => {}
        }

        if now >= self.next_poll {
            self.next_poll = now + self.options.poll;
            self.poll(out);
        }
    }

    /// Returns when [`ConfigEvent::Wake`] is due.
    pub fn wake_at(&self) -> Option<Instant> {
        Some(self.next_poll)
    }

    fn start(&mut self, pending: Pending, request: PlatformOp, out: &mut Vec<ConfigAction>) {
        self.next_op += 1;
        let op = ConfigOp(self.next_op);
        self.pending.push((op, pending));
        out.push(ConfigAction::Platform { op, request });
    }

    fn poll(&mut self, out: &mut Vec<ConfigAction>) {
        // A poll that is still under way when the next is due goes on alone.
        if !self.pending.iter().any(|(_, p)| matches!(p, Pending::Pointer)) {
            self.start(Pending::Pointer, read_pointer(), out);
        }

        if !self.pending.iter().any(|(_, p)| matches!(p, Pending::Tombstones)) {
            let scan = PlatformOp::Scan {
                table: WITHDRAWN_TABLE.into(),
                prefix: "".into(),
                after: "".into(),
                limit: WITHDRAWN_LIMIT,
            };
            self.start(Pending::Tombstones, scan, out);
        }

        for key in self.unstored.clone() {
            let storing = |p: &Pending| matches!(p, Pending::Store(k) if *k == key);
            if !self.pending.iter().any(|(_, p)| storing(p)) {
                self.start(Pending::Store(key), store_tombstone(key), out);
            }
        }
    }

    fn on_platform(&mut self, op: ConfigOp, reply: PlatformReply, out: &mut Vec<ConfigAction>) {
        let Some(index) = self.pending.iter().position(|(waiting, _)| *waiting == op) else {
            return;
        };

        match (self.pending.swap_remove(index).1, reply) {
            (Pending::Pointer, PlatformReply::Rows(rows)) => {
                if let Some(pointer) = parse_pointer(&rows) {
                    self.on_pointer(pointer, out);
                }
            }
            (Pending::Tombstones, PlatformReply::Rows(rows)) => self.on_tombstones(&rows, out),
            (Pending::Object(_), PlatformReply::Object(Some(bytes))) => self.on_bytes(bytes, out),
            (Pending::Store(key), PlatformReply::Committed(_) | PlatformReply::Conflict(_)) => {
                self.unstored.retain(|k| *k != key);
            }
            (Pending::Publish(publication, step), reply) => {
                self.on_publish(publication, step, reply, out);
            }
            // The platform is away: the next poll tries again.
            _ => {}
        }
    }

    fn on_pointer(&mut self, pointer: Pointer, out: &mut Vec<ConfigAction>) {
        let newer = self.pointer.as_ref().is_none_or(|mine| pointer.version > mine.version);
        let fetching = |p: &Pending| matches!(p, Pending::Object(of) if *of == pointer);

        if newer && !self.pending.iter().any(|(_, p)| fetching(p)) {
            let request = PlatformOp::GetObject(pointer.object.clone());
            self.start(Pending::Object(pointer), request, out);
        }
    }

    /// Adopts a configuration if it is newer and sound.
    fn on_bytes(&mut self, bytes: Box<[u8]>, out: &mut Vec<ConfigAction>) {
        // One that this host cannot read is left alone: it goes on with what it has, and
        // `status` shows that it is behind.
        let Ok(config) = (self.options.read)(&bytes) else {
            return;
        };
        let pointer = Pointer { version: config.version, object: ObjectName::of(&bytes) };

        // Only upward: an old object that arrives late must not bring back what a later
        // version took away.
        if self.pointer.as_ref().is_some_and(|mine| pointer.version <= mine.version) {
            return;
        }

        let config = Arc::new(config);
        self.pointer = Some(pointer);
        self.bytes = bytes;
        self.current = Some(config.clone());
        out.push(ConfigAction::Adopted(config));
    }

    fn on_tombstones(&mut self, rows: &[Row], out: &mut Vec<ConfigAction>) {
        let keys = rows.iter().filter_map(|row| u64::from_str_radix(&row.key.key, 16).ok());

        for key in keys.map(KeyId) {
            self.add_withdrawn(key, false, out);
            self.unstored.retain(|k| *k != key);
        }
    }

    fn add_withdrawn(&mut self, key: KeyId, store: bool, out: &mut Vec<ConfigAction>) {
        if !self.withdrawn.insert(key) {
            return;
        }

        if store {
            self.unstored.push(key);
            self.start(Pending::Store(key), store_tombstone(key), out);
        }
        out.push(ConfigAction::KeyWithdrawn(key));
    }

    fn publish(
        &mut self,
        request_id: OperatorRequestId,
        base: ConfigVersion,
        mut config: Config,
        out: &mut Vec<ConfigAction>,
    ) {
        config.version = ConfigVersion(base.0 + 1);
        let object = (self.options.write)(&config);
        let publication = Publication { request_id, base, config: Arc::new(config), object };
        let request = PlatformOp::PutObject(publication.object.clone());

        self.start(Pending::Publish(Box::new(publication), PublishStep::Object), request, out);
    }

    fn on_publish(
        &mut self,
        publication: Box<Publication>,
        step: PublishStep,
        reply: PlatformReply,
        out: &mut Vec<ConfigAction>,
    ) {
        let request_id = publication.request_id;
        let answer = match (step, reply) {
            (PublishStep::Object, PlatformReply::Stored(_)) => {
                let pending = Pending::Publish(publication, PublishStep::Read);
                return self.start(pending, read_pointer(), out);
            }
            (PublishStep::Read, PlatformReply::Rows(rows)) => {
                let stands = parse_pointer(&rows).map_or(ConfigVersion(0), |p| p.version);
                if stands == publication.base {
                    let version = rows.first().map_or(RowVersion::ABSENT, |row| row.version);
                    let request = move_pointer(&publication.pointer(), version);
                    let pending = Pending::Publish(publication, PublishStep::Move);
                    return self.start(pending, request, out);
                }
                Published::Conflict(self.current.clone())
            }
            (PublishStep::Move, PlatformReply::Committed(_)) => {
                self.on_bytes(publication.object, out);
                Published::Done(publication.config.version)
            }
            (PublishStep::Move, PlatformReply::Unknown | PlatformReply::Conflict(_)) => {
                // Either another operator was first, or the answer to an earlier sending of
                // this very transaction was lost. The row tells which.
                let pending = Pending::Publish(publication, PublishStep::ReadBack);
                return self.start(pending, read_pointer(), out);
            }
            (PublishStep::ReadBack, PlatformReply::Rows(rows)) => {
                let stands = parse_pointer(&rows);
                if stands.as_ref() == Some(&publication.pointer()) {
                    self.on_bytes(publication.object, out);
                    Published::Done(publication.config.version)
                } else if stands.map_or(ConfigVersion(0), |p| p.version) > publication.base {
                    Published::Conflict(self.current.clone())
                } else {
                    // Not there, but it may still take effect.
                    Published::Unknown
                }
            }
            (PublishStep::ReadBack, _) => Published::Unknown,
            _ => Published::Unavailable,
        };

        out.push(ConfigAction::Published { request_id, answer });
    }
}

fn read_pointer() -> PlatformOp {
    PlatformOp::Read(vec![RowKey::new(CONFIG_TABLE, CURRENT)])
}

fn parse_pointer(rows: &[Row]) -> Option<Pointer> {
    serde_json::from_str(&rows.first()?.value).ok()
}

fn move_pointer(pointer: &Pointer, version: RowVersion) -> PlatformOp {
    let key = RowKey::new(CONFIG_TABLE, CURRENT);
    let value = serde_json::to_string(pointer).expect("a pointer is plain data");

    PlatformOp::Commit(Transaction {
        checks: vec![Check { key: key.clone(), version }],
        writes: vec![Write { key, value: Some(value.into()) }],
    })
}

/// Makes the write of a tombstone. It needs no check: writing it twice changes nothing.
fn store_tombstone(key: KeyId) -> PlatformOp {
    let key = RowKey::new(WITHDRAWN_TABLE, format!("{:016x}", key.0));

    PlatformOp::Commit(Transaction {
        checks: Vec::new(),
        writes: vec![Write { key, value: Some("{}".into()) }],
    })
}
