//! Checks of tenants.

use std::collections::{BTreeMap, BTreeSet};

use camphorwalk_core::config::{Key, Tenant};
use camphorwalk_core::ids::{KeyId, TenantId};
use camphorwalk_core::units::Tokens;

use super::names::{Unique, check_name, fault_of};
use crate::errors::Fault;
use crate::parts::{Parts, Placed};

/// The highest rate, in calls a second.
const MAX_RATE: f64 = 1e6;

/// The parts that a call is counted in.
const MICRO_TOKENS: f64 = 1e6;

/// The number of digits of a key's digest.
const DIGEST_DIGITS: usize = 64;

/// The digest of the empty text: a key that was never set.
const EMPTY_DIGEST: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

/// Finds the faults of all tenants.
pub(super) fn check(parts: &Parts, faults: &mut Vec<Fault>) {
    let mut names = Unique::new("tenant", |name| TenantId::from_name(name).0);
    let mut keys = Unique::new("key", |name| KeyId::from_name(name).0);
    let mut digests = BTreeMap::new();

    for tenant in &parts.tenants {
        check_name(tenant, ".name", &tenant.item.name, faults);
        names.add(tenant, ".name", &tenant.item.name, faults);
        check_limits(tenant, parts, faults);
        check_assistants(tenant, parts, faults);

        for (index, key) in tenant.item.keys.iter().enumerate() {
            let below = format!(".keys[{index}]");
            keys.add(tenant, &format!("{below}.id"), &key.id, faults);
            check_key(tenant, &below, key, faults);

            // One secret for two keys: withdrawing the one would leave the other working,
            // or a request would run for another tenant than the caller's.
            if let Some(other) = digests.insert(key.sha256.to_ascii_lowercase(), &key.id) {
                let reason = format!("duplicate digest, also of the key `{other}`");
                faults.push(tenant.fault(&format!("{below}.sha256"), reason));
            }
        }
    }
}

/// Finds the faults of a tenant's limits.
fn check_limits(placed: &Placed<Tenant>, parts: &Parts, faults: &mut Vec<Fault>) {
    let tenant = &placed.item;

    if let Some(reason) = rate_fault(tenant.rate_per_second, parts) {
        faults.push(placed.fault(".rate_per_second", reason));
    }
    if tenant.burst == 0 {
        faults.push(placed.fault(".burst", "must be at least 1"));
    }
    if tenant.budget_tokens == Tokens(0) {
        faults.push(placed.fault(".budget_tokens", "must be at least 1"));
    }
    if tenant.weight == 0 {
        faults.push(placed.fault(".weight", "must be at least 1"));
    }
}

/// Returns what is wrong with a rate.
fn rate_fault(rate: f64, parts: &Parts) -> Option<String> {
    if !rate.is_finite() || rate <= 0.0 {
        return Some("must be above 0".to_owned());
    }
    if rate > MAX_RATE {
        return Some(format!("must be at most {MAX_RATE}"));
    }

    // Slices count in whole micro-tokens a second: less would round to a rate of zero.
    let slices = parts.fleet.as_ref().map_or(1, |fleet| fleet.item.slices);
    let is_too_low = rate * MICRO_TOKENS < f64::from(slices);
    is_too_low.then(|| format!("is too low to be cut into {slices} slices"))
}

/// Finds the faults of a tenant's assistants.
fn check_assistants(placed: &Placed<Tenant>, parts: &Parts, faults: &mut Vec<Fault>) {
    if placed.item.assistants.is_empty() {
        faults.push(placed.fault(".assistants", "needs an assistant"));
    }

    let mut templates = BTreeSet::new();
    for (index, assistant) in placed.item.assistants.iter().enumerate() {
        let below = format!(".assistants[{index}]");
        let (template, class) = (&assistant.template, &assistant.class);

        if !parts.has_template(template) {
            let reason = format!("unknown template `{template}`");
            faults.push(placed.fault(&format!("{below}.template"), reason));
        }
        if !parts.has_class(class) {
            let reason = format!("unknown class `{class}`");
            faults.push(placed.fault(&format!("{below}.class"), reason));
        }
        if !templates.insert(template) {
            let reason = format!("duplicate template `{template}`");
            faults.push(placed.fault(&format!("{below}.template"), reason));
        }
    }
}

/// Finds the faults of a key.
fn check_key(placed: &Placed<Tenant>, below: &str, key: &Key, faults: &mut Vec<Fault>) {
    if let Some(reason) = fault_of(&key.id) {
        faults.push(placed.fault(&format!("{below}.id"), format!("the id {reason}")));
    }

    let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    let is_digest = key.sha256.len() == DIGEST_DIGITS && key.sha256.bytes().all(is_digit);
    if !is_digest {
        let reason = "is not 64 lower-case hexadecimal digits";
        faults.push(placed.fault(&format!("{below}.sha256"), reason));
    }
    if &*key.sha256 == EMPTY_DIGEST {
        faults.push(placed.fault(&format!("{below}.sha256"), "is the digest of an empty key"));
    }
}
