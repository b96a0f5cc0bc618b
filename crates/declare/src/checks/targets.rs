//! Checks the declared targets.

use std::collections::BTreeMap;

use camphorwalk_core::config::{Target, TargetKind};
use camphorwalk_core::ids::{PoolId, TargetId};
use camphorwalk_core::units::Tokens;

use super::names::{UniqueNames, check_name};
use crate::declarations::{Declarations, Located};
use crate::errors::Fault;

/// Adds the faults of `targets.json` to `faults`.
pub(super) fn check(declarations: &Declarations, faults: &mut Vec<Fault>) {
    let mut names = UniqueNames::new("target", |name| TargetId::from_name(name).0);
    let mut addresses = BTreeMap::new();

    for target in &declarations.targets {
        check_name(target, ".name", &target.item.name, faults);
        check_name(target, ".pool", &target.item.pool, faults);
        names.add(target, ".name", &target.item.name, faults);
        check_target(target, declarations, faults);

        // With two targets at the same address, an engine would get calls for both windows.
        if let Some(other) = addresses.insert(target.item.address, &target.item.name) {
            let reason = format!("duplicate address, also of `{other}`");
            faults.push(target.fault(".address", reason));
        }
    }

    check_pool_ids(declarations, faults);
}

/// Adds the faults of one target to `faults`.
fn check_target(located: &Located<Target>, declarations: &Declarations, faults: &mut Vec<Fault>) {
    let target = &located.item;

    if !declarations.has_zone(&target.zone) {
        let reason = format!("unknown availability zone `{}`", target.zone);
        faults.push(located.fault(".zone", reason));
    }
    if declarations.pool_kind(&target.pool).is_some_and(|kind| kind != target.kind) {
        let reason = format!("the pool `{}` has targets of another kind", target.pool);
        faults.push(located.fault(".kind", reason));
    }
    if target.window == 0 {
        faults.push(located.fault(".window", "must be at least 1"));
    }
    if target.address.port() == 0 || target.address.ip().is_unspecified() {
        faults.push(located.fault(".address", "is no address to connect to"));
    }

    match target.kind {
        TargetKind::Engine => {
            if target.cache_tokens == Tokens(0) {
                faults.push(located.fault(".cache_tokens", "an engine needs at least 1"));
            }
        }
        TargetKind::Service => {
            if target.cache_tokens != Tokens(0) {
                faults.push(located.fault(".cache_tokens", "is for engines only"));
            }
            if target.checks_fencing {
                faults.push(located.fault(".checks_fencing", "is for engines only"));
            }
        }
    }
}

/// Reports pools whose names have the same id.
fn check_pool_ids(declarations: &Declarations, faults: &mut Vec<Fault>) {
    let mut ids = UniqueNames::new("pool", |name| PoolId::from_name(name).0);
    let mut seen = Vec::new();

    for target in &declarations.targets {
        let pool = &target.item.pool;
        if !seen.contains(&pool) {
            ids.add(target, ".pool", pool, faults);
            seen.push(pool);
        }
    }
}
