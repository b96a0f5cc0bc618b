//! Which key belongs to which tenant, as traffic threads look it up.

use std::sync::Arc;

use camphorwalk_core::config::Config;
use camphorwalk_core::hash::{Digest, Map, Set};
use camphorwalk_core::ids::{KeyId, TenantId};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

/// Whose key came with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The tenant.
    pub tenant: TenantId,
    /// The tenant's name.
    pub tenant_name: Arc<str>,
    /// The key.
    pub key: KeyId,
}

/// The keys in force.
#[derive(Debug, Default)]
pub struct Keys {
    callers: Map<Digest, Caller>,
    withdrawn: Set<KeyId>,
    /// Keys that an earlier configuration had and the one in force has not.
    removed: Set<KeyId>,
}

impl Keys {
    /// Takes over the keys of a configuration; keys withdrawn before stay withdrawn.
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

    /// Withdraws a key for good.
    pub fn withdraw(&mut self, key: KeyId) {
        self.withdrawn.insert(key);
    }

    /// Returns whether a key may be used, if it was good once.
    pub fn stands(&self, key: KeyId) -> bool {
        !self.withdrawn.contains(&key) && !self.removed.contains(&key)
    }

    /// Returns whose key this secret is.
    ///
    /// The lookup is by digest, so its timing tells nothing of the secret; the comparison
    /// after it takes the same time wherever the digests differ.
    pub fn find(&self, secret: &str) -> Option<Caller> {
        let digest: Digest = Sha256::digest(secret.as_bytes()).into();
        let (stored, caller) = self.callers.get_key_value(&digest)?;
        let same: bool = stored.ct_eq(&digest).into();

        (same && self.stands(caller.key)).then(|| caller.clone())
    }
}
