//! Checks of targets.

use std::collections::BTreeMap;

use camphorwalk_core::config::{Target, TargetKind};
use camphorwalk_core::ids::{PoolId, TargetId};
use camphorwalk_core::units::Tokens;

use super::names::{Unique, check_name};
use crate::errors::Fault;
use crate::parts::{Parts, Placed};

/// Finds the faults of `targets.json`.
pub(super) fn check(parts: &Parts, faults: &mut Vec<Fault>) {
    let mut names = Unique::new("target", |name| TargetId::from_name(name).0);
    let mut addresses = BTreeMap::new();

    for target in &parts.targets {
        check_name(target, ".name", &target.item.name, faults);
        check_name(target, ".pool", &target.item.pool, faults);
        names.add(target, ".name", &target.item.name, faults);
        check_target(target, parts, faults);

        // Two names for one engine would let in twice its window.
        if let Some(other) = addresses.insert(target.item.address, &target.item.name) {
            let reason = format!("duplicate address, also of `{other}`");
            faults.push(target.fault(".address", reason));
        }
    }

    check_pool_ids(parts, faults);
}

/// Finds the faults of one target.
fn check_target(placed: &Placed<Target>, parts: &Parts, faults: &mut Vec<Fault>) {
    let target = &placed.item;

    if !parts.has_zone(&target.zone) {
        let reason = format!("unknown availability zone `{}`", target.zone);
        faults.push(placed.fault(".zone", reason));
    }
    if parts.pool_kind(&target.pool).is_some_and(|kind| kind != target.kind) {
        let reason = format!("the pool `{}` has targets of another kind", target.pool);
        faults.push(placed.fault(".kind", reason));
    }
    if target.window == 0 {
        faults.push(placed.fault(".window", "must be at least 1"));
    }
    if target.address.port() == 0 || target.address.ip().is_unspecified() {
        faults.push(placed.fault(".address", "is no address to connect to"));
    }

    match target.kind {
        TargetKind::Engine => {
            if target.cache_tokens == Tokens(0) {
                faults.push(placed.fault(".cache_tokens", "an engine needs at least 1"));
            }
        }
        TargetKind::Service => {
            if target.cache_tokens != Tokens(0) {
                faults.push(placed.fault(".cache_tokens", "is for engines only"));
            }
            if target.checks_fencing {
                faults.push(placed.fault(".checks_fencing", "is for engines only"));
            }
        }
    }
}

/// Finds pools whose names have the same id.
fn check_pool_ids(parts: &Parts, faults: &mut Vec<Fault>) {
    let mut ids = Unique::new("pool", |name| PoolId::from_name(name).0);
    let mut seen = Vec::new();

    for target in &parts.targets {
        let pool = &target.item.pool;
        if !seen.contains(&pool) {
            ids.add(target, ".pool", pool, faults);
            seen.push(pool);
        }
    }
}
