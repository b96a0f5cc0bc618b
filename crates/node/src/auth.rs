//! Authenticates callers: maps the digest of a key to its tenant.

use std::sync::Arc;

use camphorwalk_core::config::Config;
use camphorwalk_core::hash::{Digest, Map, Set};
use camphorwalk_core::ids::{KeyId, TenantId};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

/// The tenant and key that a request came with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The id of the tenant.
    pub tenant: TenantId,
    /// The tenant's name, as metrics show it.
    pub tenant_name: Arc<str>,
    /// The id of the key.
    pub key: KeyId,
}

/// The callers' keys of the configuration in force, and the ids of keys that are no longer valid.
#[derive(Debug, Default)]
pub struct Keys {
    callers: Map<Digest, Caller>,
    withdrawn: Set<KeyId>,
    /// Keys of earlier configurations that the one in force no longer has.
    removed: Set<KeyId>,
}

impl Keys {
    /// Replaces the keys by those of a configuration. Keys that were withdrawn stay withdrawn.
    pub fn adopt(&mut self, config: &Config) {
        self.removed.extend(self.callers.values().map(|caller| caller.key));
        self.callers.clear();

        for tenant in &config.tenants {
            let tenant_name: Arc<str> = Arc::from(&*tenant.name);
            for key in &tenant.keys {
                let mut digest = Digest::default();
                if hex::decode_to_slice(&*key.sha256, &mut digest).is_ok() {
                    let caller = Caller {
                        tenant: TenantId::from_name(&tenant.name),
                        tenant_name: tenant_name.clone(),
                        key: KeyId::from_name(&key.id),
                    };
                    self.removed.remove(&caller.key);
                    self.callers.insert(digest, caller);
                }
            }
        }
    }

    /// Withdraws a key permanently, even if a later configuration still lists it.
    pub fn withdraw(&mut self, key: KeyId) {
        self.withdrawn.insert(key);
    }

    /// Returns whether a key that was valid at some time has been neither withdrawn nor removed.
    pub fn is_in_force(&self, key: KeyId) -> bool {
        !self.withdrawn.contains(&key) && !self.removed.contains(&key)
    }

    /// Returns the caller whose key has this secret.
    ///
    /// The lookup uses the secret's digest, so its timing reveals nothing about the secret. The
    /// comparison after it takes constant time.
    pub fn find(&self, secret: &str) -> Option<Caller> {
        let digest: Digest = Sha256::digest(secret.as_bytes()).into();
        let (stored, caller) = self.callers.get_key_value(&digest)?;
        let same: bool = stored.ct_eq(&digest).into();

        (same && self.is_in_force(caller.key)).then(|| caller.clone())
    }
}
