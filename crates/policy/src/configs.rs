//! Tracks the configuration in force and the API keys that were withdrawn.
//!
//! A configuration is an immutable object; one pointer row names the object in force and is updated
//! by compare-and-set. A host adopts only a higher version than the one it has, so it never goes
//! back to an older one, however late or often the older one arrives. The withdrawal of a key is
//! stored as a row that is never removed, a tombstone. So any host may accept a withdrawal, and the
//! order in which hosts receive withdrawals does not matter.

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
pub const POINTER_KEY: &str = "current";

/// The table of withdrawn keys.
pub const WITHDRAWN_TABLE: &str = "withdrawn";

/// The maximum number of tombstones that are read in one scan; far more than there are keys.
const MAX_TOMBSTONES: u32 = 10_000;

/// The content of the pointer row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pointer {
    /// The version in force.
    pub version: ConfigVersion,
    /// The name of the object that holds this version.
    pub object: ObjectName,
}

/// Identifies a platform operation that was requested by [`Configs`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigOp(pub u64);

/// Identifies an operator's request; the answer carries the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorRequestId(pub u64);

/// An input of [`Configs::step`].
#[derive(Clone, Debug)]
pub enum ConfigEvent {
    /// The platform answered an operation.
    Platform {
        /// The operation.
        op: ConfigOp,
        /// The answer.
        reply: PlatformReply,
    },
    /// A peer announced the version that it has in force.
    PeerVersion(Pointer),
    /// A peer sent a whole configuration.
    PeerConfig(Box<[u8]>),
    /// A peer announced keys that were withdrawn.
    PeerWithdrawals(Vec<KeyId>),
    /// An operator publishes a configuration that was made from version `base`.
    Publish {
        /// The id of the request.
        request_id: OperatorRequestId,
        /// The version that the operator started from; 0 if there was none.
        base: ConfigVersion,
        /// The new configuration.
        config: Box<Config>,
    },
    /// An operator withdraws a key.
    Withdraw {
        /// The key.
        key: KeyId,
    },
    /// The time returned by [`Configs::wake_at`] was reached.
    Wake,
}

/// An action that [`Configs::step`] asks its caller to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigAction {
    /// Run an operation on the platform.
    Platform {
        /// The number to return in [`ConfigEvent::Platform`].
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
        /// The id of the request.
        request_id: OperatorRequestId,
        /// The answer.
        answer: Published,
    },
}

/// The answer to an operator who publishes.
#[derive(Clone, Debug, PartialEq)]
pub enum Published {
    /// The configuration is in force, with this version.
    Done(ConfigVersion),
    /// Another change was published first; this configuration is in force here.
    Conflict(Option<Arc<Config>>),
    /// The platform is unavailable; nothing was published.
    Unavailable,
    /// The platform's answer was lost, so the outcome is unknown; the operator's command `status`
    /// shows the version in force.
    Unknown,
}

/// Parses and validates a configuration object.
pub type ReadConfig = fn(&[u8]) -> Result<Config, Box<str>>;

/// Serializes a configuration as an object.
pub type WriteConfig = fn(&Config) -> Box<[u8]>;

/// Settings of [`Configs`].
#[derive(Clone, Debug)]
pub struct ConfigOptions {
    /// Parses and validates an object.
    pub read: ReadConfig,
    /// Serializes a configuration.
    pub write: WriteConfig,
    /// The interval between reads of the pointer row and the tombstones.
    pub poll_interval: Duration,
}

/// The purpose of a platform operation that is in progress.
#[derive(Clone, Debug)]
enum Pending {
    /// The pointer row is being read.
    ReadPointer,
    /// The tombstones are being read.
    ReadTombstones,
    /// An object named by a pointer is being read.
    ReadObject(Pointer),
    /// A tombstone is being stored.
    StoreTombstone(KeyId),
    /// A publication has reached this step.
    Publish(Box<Publication>, PublishStep),
}

/// A publication in progress.
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
    StoreObject,
    /// The pointer row is being read.
    ReadPointer,
    /// The pointer row is being updated.
    UpdatePointer,
    /// The pointer row is being read again, because the outcome of the update is unknown.
    ReadBack,
}

/// The state machine that tracks the configuration of one host.
#[derive(Debug)]
pub struct Configs {
    options: ConfigOptions,
    current: Option<Arc<Config>>,
    pointer: Option<Pointer>,
    object_bytes: Box<[u8]>,
    withdrawn: Set<KeyId>,
    /// Keys withdrawn at this host whose tombstones the platform has not confirmed to be stored.
    unstored_tombstones: Vec<KeyId>,
    pending: Vec<(ConfigOp, Pending)>,
    next_poll: Instant,
    next_op: u64,
}

impl Configs {
    /// Creates the state of a host that has no configuration yet.
    pub fn new(options: ConfigOptions) -> Self {
        Self {
            options,
            current: None,
            pointer: None,
            object_bytes: Box::default(),
            withdrawn: Set::default(),
            unstored_tombstones: Vec::new(),
            pending: Vec::new(),
            next_poll: Instant::default(),
            next_op: 0,
        }
    }

    /// Returns the configuration in force on this host.
    pub fn current(&self) -> Option<&Arc<Config>> {
        self.current.as_ref()
    }

    /// Returns the version in force on this host and the name of its object.
    pub fn pointer(&self) -> Option<&Pointer> {
        self.pointer.as_ref()
    }

    /// Returns the serialized configuration in force on this host.
    pub fn object_bytes(&self) -> &[u8] {
        &self.object_bytes
    }

    /// Returns whether this host knows that a key was withdrawn.
    pub fn is_withdrawn(&self, key: KeyId) -> bool {
        self.withdrawn.contains(&key)
    }

    /// Returns all keys that this host knows to be withdrawn, sorted.
    pub fn withdrawn(&self) -> Vec<KeyId> {
        let mut all: Vec<_> = self.withdrawn.iter().copied().collect();
        all.sort_unstable();

        all
    }

    /// Returns the number of withdrawals made at this host that the platform has not confirmed to
    /// be stored.
    pub fn unstored_tombstones(&self) -> usize {
        self.unstored_tombstones.len()
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Instant, event: ConfigEvent, out: &mut Vec<ConfigAction>) {
        match event {
            ConfigEvent::Platform { op, reply } => self.on_platform(op, reply, out),
            ConfigEvent::PeerVersion(pointer) => self.on_pointer(pointer, out),
            ConfigEvent::PeerConfig(bytes) => self.on_bytes(bytes, out),
            ConfigEvent::PeerWithdrawals(keys) => {
                keys.into_iter().for_each(|key| self.add_withdrawn(key, false, out));
            }
            ConfigEvent::Withdraw { key } => self.add_withdrawn(key, true, out),
            ConfigEvent::Publish { request_id, base, config } => {
                self.publish(request_id, base, *config, out)
            }
            ConfigEvent::Wake => {}
        }

        if now >= self.next_poll {
            self.next_poll = now + self.options.poll_interval;
            self.poll(out);
        }
    }

    /// Returns when the next [`ConfigEvent::Wake`] is due.
    pub fn wake_at(&self) -> Option<Instant> {
        Some(self.next_poll)
    }

    fn start_op(&mut self, pending: Pending, request: PlatformOp, out: &mut Vec<ConfigAction>) {
        self.next_op += 1;
        let op = ConfigOp(self.next_op);
        self.pending.push((op, pending));
        out.push(ConfigAction::Platform { op, request });
    }

    fn poll(&mut self, out: &mut Vec<ConfigAction>) {
        // An operation of an earlier poll that is still in progress is not started again.
        if !self.pending.iter().any(|(_, p)| matches!(p, Pending::ReadPointer)) {
            self.start_op(Pending::ReadPointer, read_pointer(), out);
        }

        if !self.pending.iter().any(|(_, p)| matches!(p, Pending::ReadTombstones)) {
            let scan = PlatformOp::Scan {
                table: WITHDRAWN_TABLE.into(),
                prefix: "".into(),
                after: "".into(),
                limit: MAX_TOMBSTONES,
            };
            self.start_op(Pending::ReadTombstones, scan, out);
        }

        for key in self.unstored_tombstones.clone() {
            let is_storing = |p: &Pending| matches!(p, Pending::StoreTombstone(k) if *k == key);
            if !self.pending.iter().any(|(_, p)| is_storing(p)) {
                self.start_op(Pending::StoreTombstone(key), store_tombstone(key), out);
            }
        }
    }

    fn on_platform(&mut self, op: ConfigOp, reply: PlatformReply, out: &mut Vec<ConfigAction>) {
        let Some(index) = self.pending.iter().position(|(pending_op, _)| *pending_op == op) else {
            return;
        };

        match (self.pending.swap_remove(index).1, reply) {
            (Pending::ReadPointer, PlatformReply::Rows(rows)) => {
                if let Some(pointer) = parse_pointer(&rows) {
                    self.on_pointer(pointer, out);
                }
            }
            (Pending::ReadTombstones, PlatformReply::Rows(rows)) => self.on_tombstones(&rows, out),
            (Pending::ReadObject(_), PlatformReply::Object(Some(bytes))) => {
                self.on_bytes(bytes, out)
            }
            (
                Pending::StoreTombstone(key),
                PlatformReply::Committed(_) | PlatformReply::Conflict(_),
            ) => {
                self.unstored_tombstones.retain(|k| *k != key);
            }
            (Pending::Publish(publication, step), reply) => {
                self.on_publish(publication, step, reply, out);
            }
            // The platform is unavailable: the next poll retries.
            _ => {}
        }
    }

    fn on_pointer(&mut self, pointer: Pointer, out: &mut Vec<ConfigAction>) {
        let newer = self.pointer.as_ref().is_none_or(|own| pointer.version > own.version);
        let is_fetching = |p: &Pending| matches!(p, Pending::ReadObject(of) if *of == pointer);

        if newer && !self.pending.iter().any(|(_, p)| is_fetching(p)) {
            let request = PlatformOp::GetObject(pointer.object.clone());
            self.start_op(Pending::ReadObject(pointer), request, out);
        }
    }

    /// Adopts a configuration if it is valid and newer than the one in force.
    fn on_bytes(&mut self, bytes: Box<[u8]>, out: &mut Vec<ConfigAction>) {
        // A configuration that this host cannot parse is ignored: the host keeps the one it has,
        // and `status` shows that it is behind.
        let Ok(config) = (self.options.read)(&bytes) else {
            return;
        };
        let pointer = Pointer { version: config.version, object: ObjectName::of(&bytes) };

        // Only a higher version is adopted: an old object that arrives late must not restore what a
        // later version removed.
        if self.pointer.as_ref().is_some_and(|own| pointer.version <= own.version) {
            return;
        }

        let config = Arc::new(config);
        self.pointer = Some(pointer);
        self.object_bytes = bytes;
        self.current = Some(config.clone());
        out.push(ConfigAction::Adopted(config));
    }

    fn on_tombstones(&mut self, rows: &[Row], out: &mut Vec<ConfigAction>) {
        let keys = rows.iter().filter_map(|row| u64::from_str_radix(&row.key.key, 16).ok());

        for key in keys.map(KeyId) {
            self.add_withdrawn(key, false, out);
            self.unstored_tombstones.retain(|k| *k != key);
        }
    }

    fn add_withdrawn(&mut self, key: KeyId, store: bool, out: &mut Vec<ConfigAction>) {
        if !self.withdrawn.insert(key) {
            return;
        }

        if store {
            self.unstored_tombstones.push(key);
            self.start_op(Pending::StoreTombstone(key), store_tombstone(key), out);
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

        self.start_op(
            Pending::Publish(Box::new(publication), PublishStep::StoreObject),
            request,
            out,
        );
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
            (PublishStep::StoreObject, PlatformReply::Stored(_)) => {
                let pending = Pending::Publish(publication, PublishStep::ReadPointer);
                return self.start_op(pending, read_pointer(), out);
            }
            (PublishStep::ReadPointer, PlatformReply::Rows(rows)) => {
                let stored = parse_pointer(&rows).map_or(ConfigVersion(0), |p| p.version);
                if stored == publication.base {
                    let version = rows.first().map_or(RowVersion::ABSENT, |row| row.version);
                    let request = update_pointer(&publication.pointer(), version);
                    let pending = Pending::Publish(publication, PublishStep::UpdatePointer);
                    return self.start_op(pending, request, out);
                }
                Published::Conflict(self.current.clone())
            }
            (PublishStep::UpdatePointer, PlatformReply::Committed(_)) => {
                self.on_bytes(publication.object, out);
                Published::Done(publication.config.version)
            }
            (PublishStep::UpdatePointer, PlatformReply::Unknown | PlatformReply::Conflict(_)) => {
                // Either another operator published first, or an earlier attempt of this same
                // transaction took effect and its answer was lost. Reading the row tells which.
                let pending = Pending::Publish(publication, PublishStep::ReadBack);
                return self.start_op(pending, read_pointer(), out);
            }
            (PublishStep::ReadBack, PlatformReply::Rows(rows)) => {
                let stored = parse_pointer(&rows);
                if stored.as_ref() == Some(&publication.pointer()) {
                    self.on_bytes(publication.object, out);
                    Published::Done(publication.config.version)
                } else if stored.map_or(ConfigVersion(0), |p| p.version) > publication.base {
                    Published::Conflict(self.current.clone())
                } else {
                    // The update is not visible, but it may still take effect.
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
    PlatformOp::Read(vec![RowKey::new(CONFIG_TABLE, POINTER_KEY)])
}

fn parse_pointer(rows: &[Row]) -> Option<Pointer> {
    serde_json::from_str(&rows.first()?.value).ok()
}

fn update_pointer(pointer: &Pointer, version: RowVersion) -> PlatformOp {
    let key = RowKey::new(CONFIG_TABLE, POINTER_KEY);
    let value = serde_json::to_string(pointer).expect("a pointer is plain data");

    PlatformOp::Commit(Transaction {
        checks: vec![Check { key: key.clone(), version }],
        writes: vec![Write { key, value: Some(value.into()) }],
    })
}

/// Builds the write of a tombstone. It needs no version check because writing it twice has the same
/// result.
fn store_tombstone(key: KeyId) -> PlatformOp {
    let key = RowKey::new(WITHDRAWN_TABLE, format!("{:016x}", key.0));

    PlatformOp::Commit(Transaction {
        checks: Vec::new(),
        writes: vec![Write { key, value: Some("{}".into()) }],
    })
}
