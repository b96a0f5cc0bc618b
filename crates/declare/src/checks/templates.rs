//! Checks of templates.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use camphorwalk_core::config::{TargetKind, Template, TemplateTarget};
use camphorwalk_core::ids::TemplateId;

use super::names::{Unique, check_name, fault_of};
use crate::errors::Fault;
use crate::parts::{Parts, Placed};

/// The most sub-agents above one another that a template may allow.
const MAX_DEPTH: u8 = 16;

/// The longest deadline that a template may allow.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// Whether each operation of each pool is idempotent, as the first template says.
type Operations<'a> = BTreeMap<(&'a str, &'a str), bool>;

/// Finds the faults of all templates.
pub(super) fn check(parts: &Parts, faults: &mut Vec<Fault>) {
    let mut names = Unique::new("template", |name| TemplateId::from_name(name).0);
    let mut operations = Operations::new();

    for template in &parts.templates {
        check_name(template, ".name", &template.item.name, faults);
        names.add(template, ".name", &template.item.name, faults);
        check_limits(template, faults);
        check_targets(template, parts, &mut operations, faults);
    }
}

/// Finds the faults of a template's limits.
fn check_limits(placed: &Placed<Template>, faults: &mut Vec<Fault>) {
    let template = &placed.item;

    if template.max_calls == 0 {
        faults.push(placed.fault(".max_calls", "must be at least 1"));
    }
    if template.max_depth > MAX_DEPTH {
        faults.push(placed.fault(".max_depth", format!("must be at most {MAX_DEPTH}")));
    }
    if template.max_output_tokens == 0 {
        faults.push(placed.fault(".max_output_tokens", "must be at least 1"));
    }
    if template.max_deadline.is_zero() || template.max_deadline > MAX_DEADLINE {
        let reason = format!("must be from 1 to {} ms", MAX_DEADLINE.as_millis());
        faults.push(placed.fault(".max_deadline_ms", reason));
    }
}

/// Finds the faults of a template's targets.
fn check_targets<'a>(
    placed: &'a Placed<Template>,
    parts: &Parts,
    operations: &mut Operations<'a>,
    faults: &mut Vec<Fault>,
) {
    if placed.item.targets.is_empty() {
        faults.push(placed.fault(".targets", "needs a target"));
    }

    let mut names = BTreeSet::new();
    for (index, target) in placed.item.targets.iter().enumerate() {
        let below = format!(".targets[{index}]");
        if let Some(reason) = fault_of(&target.name) {
            faults.push(placed.fault(&format!("{below}.name"), format!("the name {reason}")));
        }
        if !names.insert(&target.name) {
            let reason = format!("duplicate target `{}`", target.name);
            faults.push(placed.fault(&format!("{below}.name"), reason));
        }

        for (field, reason) in target_faults(target, parts) {
            faults.push(placed.fault(&format!("{below}{field}"), reason));
        }
        check_operation(placed, &below, target, operations, faults);
    }
}

/// Returns what is wrong with a template's target against its pool.
fn target_faults(target: &TemplateTarget, parts: &Parts) -> Vec<(&'static str, String)> {
    let mut found = Vec::new();

    if !parts.has_pool(&target.pool) {
        found.push((".pool", format!("unknown pool `{}`", target.pool)));
    }
    match (parts.pool_kind(&target.pool), &target.operation) {
        (Some(TargetKind::Engine), Some(_)) => {
            found.push((".operation", "an engine has no operations".to_owned()));
        }
        (Some(TargetKind::Service), None) => {
            found.push(("", "a service needs an `operation`".to_owned()));
        }
        _ => {}
    }
    if let Some(reason) = target.operation.as_deref().and_then(fault_of) {
        found.push((".operation", format!("the name {reason}")));
    }

    found
}

/// Finds an operation that is idempotent in one template and not in another.
///
/// The one template would let be repeated what the other declares must not be.
fn check_operation<'a>(
    placed: &Placed<Template>,
    below: &str,
    target: &'a TemplateTarget,
    operations: &mut Operations<'a>,
    faults: &mut Vec<Fault>,
) {
    let Some(operation) = &target.operation else { return };
    let first = *operations.entry((&target.pool, operation)).or_insert(target.idempotent);

    if first != target.idempotent {
        let reason = format!("the operation `{operation}` is declared otherwise elsewhere");
        faults.push(placed.fault(&format!("{below}.idempotent"), reason));
    }
}
