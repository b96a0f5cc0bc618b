//! The secrets of a host. They are in files of their own, so that settings contain no secrets and
//! can be shown to others.

use std::fmt;
use std::path::Path;

use sha2::{Digest as _, Sha256};

use crate::errors::{Error, Result, unreadable};
use crate::settings::{Settings, SettingsFault};

/// The secrets that a host needs. `Debug` does not print them.
#[derive(Clone)]
pub struct Secrets {
    /// The secret that all hosts of the fleet share.
    pub fleet: [u8; 32],
    /// The key that operators send with each request.
    pub operator_key: Box<str>,
}

impl Secrets {
    /// Reads the files that the settings name, and reports all faults at once.
    pub fn load(settings: &Settings) -> Result<Self> {
        let fleet_text = read(&settings.fleet_secret_file)?;
        let operator_key = read(&settings.operator_key_file)?;
        let mut faults = Vec::new();

        let mut fleet = [0; 32];
        if hex::decode_to_slice(&*fleet_text, &mut fleet).is_err() {
            faults.push(fault("fleet_secret_file", "the file must hold 64 hexadecimal digits"));
        }
        if operator_key.is_empty() {
            faults.push(fault("operator_key_file", "the file is empty"));
        }

        if faults.is_empty() {
            Ok(Self { fleet, operator_key })
        } else {
            Err(Error::Settings(faults))
        }
    }

    /// Returns the SHA-256 digest of the operators' key; the running host keeps only the digest.
    pub(crate) fn operator_key_digest(&self) -> [u8; 32] {
        Sha256::digest(self.operator_key.as_bytes()).into()
    }
}

impl fmt::Debug for Secrets {
    // Secrets must not get into logs, which are kept long and read by many.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secrets(..)")
    }
}

fn read(path: &Path) -> Result<Box<str>> {
    let text = std::fs::read_to_string(path).map_err(|source| unreadable(path, source))?;

    Ok(text.trim().into())
}

fn fault(path: &str, reason: &str) -> SettingsFault {
    SettingsFault { path: path.into(), reason: reason.into() }
}
