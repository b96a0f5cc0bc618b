//! The fleet's secret and the MACs made with it.

use std::fmt;

use hmac::{Hmac, Mac as _};
use sha2::Sha256;
use subtle::ConstantTimeEq as _;

use crate::errors::{Error, Result};

/// The length of the secret, in bytes.
pub const SECRET_BYTES: usize = 32;

/// The secret that all hosts of a fleet hold.
#[derive(Clone)]
pub struct Secret([u8; SECRET_BYTES]);

impl Secret {
    /// Makes a secret of these bytes.
    pub const fn new(bytes: [u8; SECRET_BYTES]) -> Self {
        Self(bytes)
    }

    /// Reads a secret from 64 hexadecimal digits, as its file holds them.
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
    // A secret in a log line would outlive its use.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// A full MAC.
pub(crate) type Tag = [u8; 32];

/// A key for HMAC-SHA256, set up once and used for many MACs.
#[derive(Clone)]
pub(crate) struct Key(Hmac<Sha256>);

impl Key {
    /// Sets up the key for MACs under these bytes.
    pub(crate) fn new(bytes: &[u8; SECRET_BYTES]) -> Self {
        // HMAC takes a key of any length, so this cannot fail.
        Self(Hmac::new_from_slice(bytes).expect("HMAC takes any key"))
    }

    /// Returns the MAC over `head` followed by `body`. `head` must be of a fixed length.
    pub(crate) fn tag(&self, head: &[u8], body: &[u8]) -> Tag {
        let mut mac = self.0.clone();
        mac.update(head);
        mac.update(body);

        mac.finalize().into_bytes().into()
    }
}

/// Returns whether two MACs are equal, in a time that does not tell where they differ.
pub(crate) fn same_tag(left: &[u8], right: &[u8]) -> bool {
    left.ct_eq(right).into()
}
