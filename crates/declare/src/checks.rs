//! The checks of declarations against each other.

mod fleet;
mod names;
mod targets;
mod templates;
mod tenants;

use camphorwalk_core::config::Config;

use crate::errors::{Fault, Faults};
use crate::parts::Parts;

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
