//! Small `Copy` ids.
//!
//! The ids of configured objects are stable hashes of their names, so that they are the same on
//! every host and can be sent in messages. `camphorwalk check` rejects two names of one kind with
//! the same id.

use std::fmt;
use std::str::FromStr;

use crate::errors::{Error, Result, malformed};
use crate::hash::{digest, stable_hash};

/// Defines an id that is the stable hash of a configured name.
macro_rules! named_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the id of the object with this configured name.
            pub fn from_name(name: &str) -> Self {
                Self(stable_hash(&[$kind.as_bytes(), name.as_bytes()]))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($kind, "-{:016x}"), self.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(self, f)
            }
        }
    };
}

named_id!(
    /// A host, by its name in the settings.
    HostId,
    "host"
);
named_id!(
    /// An availability zone.
    ZoneId,
    "zone"
);
named_id!(
    /// A tenant, also called a customer.
    TenantId,
    "tenant"
);
named_id!(
    /// A target: one model engine or one instance of a plain service.
    TargetId,
    "target"
);
named_id!(
    /// A pool: the targets that serve the same model or the same plain service.
    PoolId,
    "pool"
);
named_id!(
    /// A class of work, which determines the rank of its calls.
    ClassId,
    "class"
);
named_id!(
    /// A template for programs.
    TemplateId,
    "template"
);
named_id!(
    /// A caller's key, by the public name that operators gave it.
    KeyId,
    "key"
);

/// A program's id. Its top 16 bits determine the program's partition.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProgramId(pub u128);

/// The number of low bits of a program id that do not affect the partition.
const PARTITION_SHIFT: u32 = 112;

/// The number of hexadecimal digits of a program id.
const PROGRAM_ID_DIGITS: usize = 32;

impl ProgramId {
    /// Returns the id for a program that is opened with this idempotency key.
    ///
    /// A repeated request thus reaches the same partition from any host, and finds the program that
    /// the first request created.
    pub fn from_open_key(tenant: TenantId, key: &str) -> Self {
        let digest = digest(&[b"open", &tenant.0.to_be_bytes(), key.as_bytes()]);
        let mut first_bytes = [0; 16];
        first_bytes.copy_from_slice(&digest[..16]);

        Self(u128::from_be_bytes(first_bytes))
    }

    /// Returns the partition of this program among `partitions`.
    ///
    /// ```
    /// use camphorwalk_core::ids::{PartitionId, ProgramId};
    /// assert_eq!(ProgramId(65 << 112).partition(64), PartitionId(1));
    /// ```
    pub fn partition(self, partitions: u16) -> PartitionId {
        let top = (self.0 >> PARTITION_SHIFT) as u16;

        PartitionId(top % partitions.max(1))
    }

    /// Returns this id with its partition replaced. A host uses this to open a program in a
    /// partition that it holds.
    pub fn in_partition(self, partition: PartitionId) -> Self {
        let low = self.0 & ((1 << PARTITION_SHIFT) - 1);

        Self((u128::from(partition.0) << PARTITION_SHIFT) | low)
    }
}

impl fmt::Display for ProgramId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p{:032x}", self.0)
    }
}

impl fmt::Debug for ProgramId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for ProgramId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let digits = text.strip_prefix('p').unwrap_or("");

        // `from_str_radix` alone would accept a sign and any length.
        if digits.len() != PROGRAM_ID_DIGITS || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(malformed("program id", text));
        }

        u128::from_str_radix(digits, 16).map(Self).map_err(|_| malformed("program id", text))
    }
}

impl serde::Serialize for ProgramId {
    fn serialize<S: serde::Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for ProgramId {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> std::result::Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(d)?;

        text.parse().map_err(serde::de::Error::custom)
    }
}

/// A partition of the programs. The host that holds the partition's lease is the home of its
/// programs: it runs them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartitionId(pub u16);

/// The epoch of a lease, which increases with each holder and fences the writes of former ones.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch of the first holder of a lease.
    pub const FIRST: Self = Self(1);
}

/// The id of an attempt to run a call at a target. It consists of the host's session and a
/// counter, and is unique in the fleet.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u128);

impl AttemptId {
    /// Creates the id of the attempt with this number in a host's session.
    pub fn new(session: u64, number: u64) -> Self {
        Self((u128::from(session) << 64) | u128::from(number))
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a{:032x}", self.0)
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The id of a request that a host received from one of its own callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Where a request entered the fleet, which is where its reply must be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestOrigin {
    /// The host that the caller is connected to.
    pub entry: HostId,
    /// The request's id on that host.
    pub request: RequestId,
}
