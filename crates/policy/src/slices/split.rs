//! How rates and bursts are cut into slices, and columns given to availability zones.

use camphorwalk_core::config::{Config, Tenant};
use camphorwalk_core::ids::ZoneId;

use super::ColumnId;
use super::bucket::{Share, TOKEN};

/// Returns all columns, each with the availability zone whose hosts own it.
///
/// Zones take turns in the order of their names, over the whole fleet.
///
/// ```
/// # use camphorwalk_core::config::{Config, Fleet, Zone};
/// # use camphorwalk_core::ids::ZoneId;
/// # use camphorwalk_policy::slices::{ColumnId, column_zones};
/// # let zone = |name: &str| Zone { name: name.into(), region: "midlands".into() };
/// # let fleet = Fleet {
/// #     name: "inkwick".into(), zones: vec![zone("b"), zone("a")], classes: vec![],
/// #     partitions: 8, slices: 3,
/// # };
/// # let cfg = Config {
/// #     version: Default::default(), fleet, targets: vec![], templates: vec![], tenants: vec![],
/// # };
/// let zones: Vec<ZoneId> = column_zones(&cfg).into_iter().map(|(_, zone)| zone).collect();
/// let (a, b) = (ZoneId::from_name("a"), ZoneId::from_name("b"));
/// assert_eq!(zones, [a, b, a]);
/// ```
pub fn column_zones(cfg: &Config) -> Vec<(ColumnId, ZoneId)> {
    let mut names: Vec<&str> = cfg.fleet.zones.iter().map(|zone| &*zone.name).collect();
    names.sort_unstable();

    (0..cfg.fleet.slices)
        .zip(names.iter().cycle())
        .map(|(column, name)| (ColumnId(column), ZoneId::from_name(name)))
        .collect()
}

/// Returns the share of a tenant's slice in `column`; all shares together are exactly the
/// tenant's rate and burst.
///
/// A share never shrinks when its tenant's rate or burst grows. While some holders know the
/// new figures and others do not, the shares in use thereby add up to no more than the
/// larger rate and the larger burst.
///
/// ```
/// use camphorwalk_policy::slices::{ColumnId, split};
/// let parts: Vec<u64> = (0..3).map(|column| split(100, 3, ColumnId(column))).collect();
/// assert_eq!(parts, [34, 33, 33]);
/// ```
pub fn split(total: u64, slices: u16, column: ColumnId) -> u64 {
    let slices = u64::from(slices.max(1));
    let extra = u64::from(u64::from(column.0) < total % slices);

    total / slices + extra
}

/// Returns the share of `tenant` in `column`.
pub fn slice_share(tenant: &Tenant, slices: u16, column: ColumnId) -> Share {
    Share {
        rate: split(rate_of(tenant), slices, column),
        burst: split(u64::from(tenant.burst) * TOKEN, slices, column),
    }
}

/// Returns the rate in millionths of a token a second, rounded down.
///
/// Numbers that are no rate (negative, not a number) give zero; `as` saturates.
pub fn rate_of(tenant: &Tenant) -> u64 {
    (tenant.rate_per_second * TOKEN as f64) as u64
}
