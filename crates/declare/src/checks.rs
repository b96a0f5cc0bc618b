//! Checks that declarations are valid and consistent with each other.

mod fleet;
mod names;
mod targets;
mod templates;
mod tenants;

use camphorwalk_core::config::Config;

use crate::declarations::{Declarations, WHOLE_CONFIG};
use crate::documents::fault;
use crate::errors::{Fault, Faults};

/// Returns all faults of a configuration, sorted. A configuration without faults may be adopted.
///
/// ```
/// use camphorwalk_declare::{check, load};
/// # let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deployments/inkwick");
/// let mut config = load(folder.as_ref()).unwrap();
/// assert!(check(&config).is_empty());
///
/// config.tenants[0].rate_per_second = 0.0;
/// assert_eq!(&*check(&config)[0].path, "$.tenants[0].rate_per_second");
/// ```
pub fn check(config: &Config) -> Vec<Fault> {
    Faults::from_unsorted(check_declarations(&Declarations::from_config(config))).into_vec()
}

/// Returns the faults of all declarations that could be read, unsorted.
pub(crate) fn check_declarations(declarations: &Declarations) -> Vec<Fault> {
    let mut faults = Vec::new();

    fleet::check(declarations, &mut faults);
    targets::check(declarations, &mut faults);
    templates::check(declarations, &mut faults);
    tenants::check(declarations, &mut faults);
    faults
}

/// Returns the faults of a change from `old` to `new`: changes of values that must stay the same
/// for the whole life of a deployment.
///
/// Hosts adopt a change at different times. If the number of partitions changed, a program could
/// have two homes (hosts that run it) in the meantime. If the number of slices of a tenant's rate
/// changed, hosts could admit more calls of the tenant than its rate allows.
///
/// ```
/// use camphorwalk_declare::{check_change, load};
/// # let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deployments/inkwick");
/// let old = load(folder.as_ref()).unwrap();
/// let mut new = old.clone();
/// new.tenants[0].burst += 1;
/// assert!(check_change(&old, &new).is_empty());
///
/// new.fleet.partitions *= 2;
/// assert_eq!(&*check_change(&old, &new)[0].path, "$.fleet.partitions");
/// ```
pub fn check_change(old: &Config, new: &Config) -> Vec<Fault> {
    let fixed = [
        ("$.fleet.name", old.fleet.name == new.fleet.name),
        ("$.fleet.partitions", old.fleet.partitions == new.fleet.partitions),
        ("$.fleet.slices", old.fleet.slices == new.fleet.slices),
    ];

    let changed = fixed.into_iter().filter(|(_, is_same)| !is_same);
    changed
        .map(|(path, _)| fault(WHOLE_CONFIG, path, "is fixed for the life of a deployment"))
        .collect()
}
