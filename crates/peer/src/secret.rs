//! The fleet's secret and the MACs made with it.

use std::fmt;

use hmac::{Hmac, Mac as _};
use sha2::Sha256;
use subtle::ConstantTimeEq as _;

use crate::errors::{Error, Result};

/// The length of the secret, in bytes.
pub const SECRET_BYTES: usize = 32;

/// The secret shared by all hosts of a fleet.
#[derive(Clone)]
pub struct Secret([u8; SECRET_BYTES]);

impl Secret {
    /// Creates a secret from these bytes.
    pub const fn new(bytes: [u8; SECRET_BYTES]) -> Self {
        Self(bytes)
    }

    /// Parses a secret from 64 hexadecimal digits, the format of the secret's file.
    ///
    /// ```
    /// use camphorwalk_peer::Secret;
    /// assert!(Secret::from_hex(&"0a".repeat(32)).is_ok());
    /// assert!(Secret::from_hex("short").is_err());
    /// ```
    pub fn from_hex(text: &str) -> Result<Self> {
        let mut bytes = [0; SECRET_BYTES];
        hex::decode_to_slice(text.trim(), &mut bytes).map_err(|_| Error::BadSecret)?;

        Ok(Self(bytes))
    }

    /// Returns the key for MACs with this secret.
    pub(crate) fn key(&self) -> Key {
        Key::new(&self.0)
    }
}

impl fmt::Debug for Secret {
    // Keeps the secret out of logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// An untruncated MAC.
pub(crate) type Tag = [u8; 32];

/// A key for HMAC-SHA256, initialized once and used for many MACs.
#[derive(Clone)]
pub(crate) struct Key(Hmac<Sha256>);

impl Key {
    /// Initializes a key from these bytes.
    pub(crate) fn new(bytes: &[u8; SECRET_BYTES]) -> Self {
        // HMAC takes a key of any length, so this cannot fail.
        Self(Hmac::new_from_slice(bytes).expect("HMAC takes any key"))
    }

    /// Returns the MAC over `head` followed by `body`. All calls with one key must use the same
    /// length of `head`, or different pairs could give the same input.
    pub(crate) fn tag(&self, head: &[u8], body: &[u8]) -> Tag {
        let mut mac = self.0.clone();
        mac.update(head);
        mac.update(body);

        mac.finalize().into_bytes().into()
    }
}

/// Compares two MACs in constant time.
pub(crate) fn same_tag(left: &[u8], right: &[u8]) -> bool {
    left.ct_eq(right).into()
}
