//! Checks the declared tenants.

use std::collections::{BTreeMap, BTreeSet};

use camphorwalk_core::config::{Key, Tenant};
use camphorwalk_core::ids::{KeyId, TenantId};
use camphorwalk_core::units::Tokens;

use super::names::{UniqueNames, check_name, name_fault};
use crate::declarations::{Declarations, Located};
use crate::errors::Fault;

/// The highest rate, in calls per second.
const MAX_RATE: f64 = 1e6;

/// The micro-tokens that one call takes from a slice, a part of a tenant's rate.
const MICRO_TOKENS_PER_CALL: f64 = 1e6;

/// The number of hexadecimal digits of a key's digest.
const DIGEST_DIGITS: usize = 64;

/// The SHA-256 digest of the empty string, which results from a key that was never set.
const EMPTY_DIGEST: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

/// Adds the faults of all tenants to `faults`.
pub(super) fn check(declarations: &Declarations, faults: &mut Vec<Fault>) {
    let mut names = UniqueNames::new("tenant", |name| TenantId::from_name(name).0);
    let mut keys = UniqueNames::new("key", |name| KeyId::from_name(name).0);
    let mut digests = BTreeMap::new();

    for tenant in &declarations.tenants {
        check_name(tenant, ".name", &tenant.item.name, faults);
        names.add(tenant, ".name", &tenant.item.name, faults);
        check_limits(tenant, declarations, faults);
        check_assistants(tenant, declarations, faults);

        for (index, key) in tenant.item.keys.iter().enumerate() {
            let subpath = format!(".keys[{index}]");
            keys.add(tenant, &format!("{subpath}.id"), &key.id, faults);
            check_key(tenant, &subpath, key, faults);

            // If two keys had the same secret, the secret would still be valid after one key is
            // withdrawn, or a request would run for a tenant other than the caller's.
            if let Some(other) = digests.insert(key.sha256.to_ascii_lowercase(), &key.id) {
                let reason = format!("duplicate digest, also of the key `{other}`");
                faults.push(tenant.fault(&format!("{subpath}.sha256"), reason));
            }
        }
    }
}

/// Checks a tenant's limits.
fn check_limits(located: &Located<Tenant>, declarations: &Declarations, faults: &mut Vec<Fault>) {
    let tenant = &located.item;

    if let Some(reason) = rate_fault(tenant.rate_per_second, declarations) {
        faults.push(located.fault(".rate_per_second", reason));
    }
    if tenant.burst == 0 {
        faults.push(located.fault(".burst", "must be at least 1"));
    }
    if tenant.budget_tokens == Tokens(0) {
        faults.push(located.fault(".budget_tokens", "must be at least 1"));
    }
    if tenant.weight == 0 {
        faults.push(located.fault(".weight", "must be at least 1"));
    }
}

/// Returns the reason why a rate is invalid, if it is.
fn rate_fault(rate: f64, declarations: &Declarations) -> Option<String> {
    if !rate.is_finite() || rate <= 0.0 {
        return Some("must be above 0".to_owned());
    }
    if rate > MAX_RATE {
        return Some(format!("must be at most {MAX_RATE}"));
    }

    // Each slice refills by a whole number of micro-tokens per second; a lower rate would be
    // rounded to zero.
    let slices = declarations.fleet.as_ref().map_or(1, |fleet| fleet.item.slices);
    let is_too_low = rate * MICRO_TOKENS_PER_CALL < f64::from(slices);
    is_too_low.then(|| format!("is too low to be cut into {slices} slices"))
}

/// Checks a tenant's assistants.
fn check_assistants(
    located: &Located<Tenant>,
    declarations: &Declarations,
    faults: &mut Vec<Fault>,
) {
    if located.item.assistants.is_empty() {
        faults.push(located.fault(".assistants", "needs an assistant"));
    }

    let mut templates = BTreeSet::new();
    for (index, assistant) in located.item.assistants.iter().enumerate() {
        let subpath = format!(".assistants[{index}]");
        let (template, class) = (&assistant.template, &assistant.class);

        if !declarations.has_template(template) {
            let reason = format!("unknown template `{template}`");
            faults.push(located.fault(&format!("{subpath}.template"), reason));
        }
        if !declarations.has_class(class) {
            let reason = format!("unknown class `{class}`");
            faults.push(located.fault(&format!("{subpath}.class"), reason));
        }
        if !templates.insert(template) {
            let reason = format!("duplicate template `{template}`");
            faults.push(located.fault(&format!("{subpath}.template"), reason));
        }
    }
}

/// Checks one key of a tenant.
fn check_key(located: &Located<Tenant>, subpath: &str, key: &Key, faults: &mut Vec<Fault>) {
    if let Some(reason) = name_fault(&key.id) {
        faults.push(located.fault(&format!("{subpath}.id"), format!("the id {reason}")));
    }

    let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    let is_digest = key.sha256.len() == DIGEST_DIGITS && key.sha256.bytes().all(is_digit);
    if !is_digest {
        let reason = "is not 64 lower-case hexadecimal digits";
        faults.push(located.fault(&format!("{subpath}.sha256"), reason));
    }
    if &*key.sha256 == EMPTY_DIGEST {
        faults.push(located.fault(&format!("{subpath}.sha256"), "is the digest of an empty key"));
    }
}
