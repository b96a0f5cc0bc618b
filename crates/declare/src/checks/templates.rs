//! Checks the declared templates.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use camphorwalk_core::config::{TargetKind, Template, TemplateTarget};
use camphorwalk_core::ids::TemplateId;

use super::names::{UniqueNames, check_name, name_fault};
use crate::declarations::{Declarations, Located};
use crate::errors::Fault;

/// The deepest nesting of sub-agents that a template may allow.
const MAX_DEPTH: u8 = 16;

/// The longest deadline that a template may allow.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// For each pool and operation, whether the first template that uses it declares it idempotent.
type Operations<'a> = BTreeMap<(&'a str, &'a str), bool>;

/// Adds the faults of all templates to `faults`.
pub(super) fn check(declarations: &Declarations, faults: &mut Vec<Fault>) {
    let mut names = UniqueNames::new("template", |name| TemplateId::from_name(name).0);
    let mut operations = Operations::new();

    for template in &declarations.templates {
        check_name(template, ".name", &template.item.name, faults);
        names.add(template, ".name", &template.item.name, faults);
        check_limits(template, faults);
        check_targets(template, declarations, &mut operations, faults);
    }
}

/// Checks a template's limits.
fn check_limits(located: &Located<Template>, faults: &mut Vec<Fault>) {
    let template = &located.item;

    if template.max_calls == 0 {
        faults.push(located.fault(".max_calls", "must be at least 1"));
    }
    if template.max_depth > MAX_DEPTH {
        faults.push(located.fault(".max_depth", format!("must be at most {MAX_DEPTH}")));
    }
    if template.max_output_tokens == 0 {
        faults.push(located.fault(".max_output_tokens", "must be at least 1"));
    }
    if template.max_deadline.is_zero() || template.max_deadline > MAX_DEADLINE {
        let reason = format!("must be from 1 to {} ms", MAX_DEADLINE.as_millis());
        faults.push(located.fault(".max_deadline_ms", reason));
    }
}

/// Checks a template's targets.
fn check_targets<'a>(
    located: &'a Located<Template>,
    declarations: &Declarations,
    operations: &mut Operations<'a>,
    faults: &mut Vec<Fault>,
) {
    if located.item.targets.is_empty() {
        faults.push(located.fault(".targets", "needs a target"));
    }

    let mut names = BTreeSet::new();
    for (index, target) in located.item.targets.iter().enumerate() {
        let subpath = format!(".targets[{index}]");
        if let Some(reason) = name_fault(&target.name) {
            faults.push(located.fault(&format!("{subpath}.name"), format!("the name {reason}")));
        }
        if !names.insert(&target.name) {
            let reason = format!("duplicate target `{}`", target.name);
            faults.push(located.fault(&format!("{subpath}.name"), reason));
        }

        for (field, reason) in target_faults(target, declarations) {
            faults.push(located.fault(&format!("{subpath}{field}"), reason));
        }
        check_operation(located, &subpath, target, operations, faults);
    }
}

/// Returns the field and reason of each fault of a template's target in relation to its pool.
fn target_faults(
    target: &TemplateTarget,
    declarations: &Declarations,
) -> Vec<(&'static str, String)> {
    let mut found = Vec::new();

    if !declarations.has_pool(&target.pool) {
        found.push((".pool", format!("unknown pool `{}`", target.pool)));
    }
    match (declarations.pool_kind(&target.pool), &target.operation) {
        (Some(TargetKind::Engine), Some(_)) => {
            found.push((".operation", "an engine has no operations".to_owned()));
        }
        (Some(TargetKind::Service), None) => {
            found.push(("", "a service needs an `operation`".to_owned()));
        }
        _ => {}
    }
    if let Some(reason) = target.operation.as_deref().and_then(name_fault) {
        found.push((".operation", format!("the name {reason}")));
    }

    found
}

/// Reports an operation that is idempotent in one template and not in another.
///
/// Calls made through one template would be repeated after a failure although the other template
/// declares that the operation must not run twice.
fn check_operation<'a>(
    located: &Located<Template>,
    subpath: &str,
    target: &'a TemplateTarget,
    operations: &mut Operations<'a>,
    faults: &mut Vec<Fault>,
) {
    let Some(operation) = &target.operation else { return };
    let first = *operations.entry((&target.pool, operation)).or_insert(target.idempotent);

    if first != target.idempotent {
        let reason = format!("the operation `{operation}` is declared otherwise elsewhere");
        faults.push(located.fault(&format!("{subpath}.idempotent"), reason));
    }
}
