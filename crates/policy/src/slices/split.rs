//! Splits rates and bursts into slices, and assigns columns to availability zones.

use camphorwalk_core::config::{Config, Tenant};
use camphorwalk_core::ids::ZoneId;

use super::ColumnId;
use super::bucket::{MILLIONTHS_PER_TOKEN, Share};

/// Returns all columns, each with the availability zone whose hosts may own it.
///
/// Columns are assigned to the zones in turn, in the order of the zones' names.
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
pub fn column_zones(config: &Config) -> Vec<(ColumnId, ZoneId)> {
    let mut names: Vec<&str> = config.fleet.zones.iter().map(|zone| &*zone.name).collect();
    names.sort_unstable();

    (0..config.fleet.slices)
        .zip(names.iter().cycle())
        .map(|(column, name)| (ColumnId(column), ZoneId::from_name(name)))
        .collect()
}

/// Returns the part of `total` that belongs to `column`. The parts of all columns add up to
/// exactly `total`.
///
/// A part never shrinks when the total grows. While some hosts use the old rate and burst and
/// others the new ones, the shares in use add up to no more than the larger rate and the larger
/// burst.
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

/// Returns the share of a tenant's slice in `column`.
pub fn slice_share(tenant: &Tenant, slices: u16, column: ColumnId) -> Share {
    Share {
        rate: split(rate_in_millionths(tenant), slices, column),
        burst: split(u64::from(tenant.burst) * MILLIONTHS_PER_TOKEN, slices, column),
    }
}

/// Returns the tenant's rate in millionths of a token per second, rounded down.
///
/// An invalid rate (negative or not a number) gives zero. Too large values saturate in the `as`
/// cast.
pub fn rate_in_millionths(tenant: &Tenant) -> u64 {
    (tenant.rate_per_second * MILLIONTHS_PER_TOKEN as f64) as u64
}
