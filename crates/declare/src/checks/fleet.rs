//! Checks the declarations that apply to the whole deployment.

use camphorwalk_core::ids::{ClassId, ZoneId};

use super::names::{UniqueNames, check_name};
use crate::declarations::Declarations;
use crate::errors::Fault;

/// Adds the faults of `fleet.json` to `faults`.
pub(super) fn check(declarations: &Declarations, faults: &mut Vec<Fault>) {
    let Some(fleet) = &declarations.fleet else { return };
    check_name(fleet, ".name", &fleet.item.name, faults);

    let mut zones = UniqueNames::new("availability zone", |name| ZoneId::from_name(name).0);
    for (index, zone) in fleet.item.zones.iter().enumerate() {
        check_name(fleet, &format!(".zones[{index}].name"), &zone.name, faults);
        check_name(fleet, &format!(".zones[{index}].region"), &zone.region, faults);
        zones.add(fleet, &format!(".zones[{index}].name"), &zone.name, faults);
    }

    let mut classes = UniqueNames::new("class", |name| ClassId::from_name(name).0);
    for (index, class) in fleet.item.classes.iter().enumerate() {
        check_name(fleet, &format!(".classes[{index}].name"), &class.name, faults);
        classes.add(fleet, &format!(".classes[{index}].name"), &class.name, faults);
    }

    let needed = [
        (".zones", fleet.item.zones.is_empty(), "needs an availability zone"),
        (".classes", fleet.item.classes.is_empty(), "needs a class"),
        (".partitions", fleet.item.partitions == 0, "must be at least 1"),
        (".slices", fleet.item.slices == 0, "must be at least 1"),
    ];
    for (subpath, is_missing, reason) in needed {
        if is_missing {
            faults.push(fleet.fault(subpath, reason));
        }
    }
}
