//! The checks of declarations against each other.

mod fleet;
mod names;
mod targets;
mod templates;
mod tenants;

use camphorwalk_core::config::Config;

use crate::documents::fault;
use crate::errors::{Fault, Faults};
use crate::parts::{Parts, WHOLE};

/// Returns all faults of a configuration, sorted; none if it may be adopted.
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
    Faults::of(check_parts(&Parts::of_config(config))).into_vec()
}

/// Returns the faults of all that could be read, in no order.
pub(crate) fn check_parts(parts: &Parts) -> Vec<Fault> {
    let mut faults = Vec::new();

    fleet::check(parts, &mut faults);
    targets::check(parts, &mut faults);
    templates::check(parts, &mut faults);
    tenants::check(parts, &mut faults);
    faults
}

/// Returns the faults of a change from `old` to `new`: what is fixed for the life of a
/// deployment.
///
/// With another number of partitions a program would have two homes while hosts adopt the
/// change at different times; with another number of slices a tenant would be let in above
/// its rate.
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
    changed.map(|(path, _)| fault(WHOLE, path, "is fixed for the life of a deployment")).collect()
}
