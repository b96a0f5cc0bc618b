//! Estimates how much of a pool's caches the started programs need, and whether another program
//! may start.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::TenantId;
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

/// Interval at which the use of the caches is computed anew.
pub const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// The fraction of the pool's cache capacity in this zone that started programs may fill.
///
/// The rest is left for calls that are in flight, and because prefixes are not spread evenly over
/// the targets.
const MAX_FILL_FRACTION: f64 = 0.65;

/// The demand for cache space in a pool's targets of this zone, in tokens.
///
/// When more programs run than the caches hold, each evicts another one's prefix just before it
/// is needed again, and most of the work is spent on computing prefixes anew. A new program is
/// therefore started only while there is space for it, or while its tenant stays within its own
/// share of the space with the new program included. Without the second condition, a tenant far
/// over its rate would hold back all other tenants.
#[derive(Debug, Default)]
pub struct CacheDemand {
    waiting: TokensByTenant,
    cached: TokensByTenant,
    updated_at: Option<Instant>,
}

/// Tokens of each tenant, and their total.
#[derive(Debug, Default)]
struct TokensByTenant {
    total: f64,
    tenants: Map<TenantId, f64>,
}

impl TokensByTenant {
    fn add(&mut self, tenant: TenantId, tokens: f64) {
        self.total += tokens;
        *self.tenants.entry(tenant).or_default() += tokens;
    }

    fn get(&self, tenant: TenantId) -> f64 {
        self.tenants.get(&tenant).copied().unwrap_or_default()
    }
}

impl CacheDemand {
    /// Adds `prompt`: the tokens of a waiting call's prompt if its program has already started, or
    /// 0 for the first call of a program.
    pub fn add_waiting(&mut self, tenant: TenantId, prompt: Tokens) {
        self.waiting.add(tenant, prompt.0 as f64);
    }

    /// Removes what [`CacheDemand::add_waiting`] added.
    pub fn remove_waiting(&mut self, tenant: TenantId, prompt: Tokens) {
        self.waiting.add(tenant, -(prompt.0 as f64));

        // The sums are whole numbers of tokens, so they cancel out exactly.
        if self.waiting.get(tenant) <= 0.0 {
            self.waiting.tenants.remove(&tenant);
        }
    }

    /// Adds the tokens of a call that was granted a place. They count until the next
    /// [`CacheDemand::update`] computes the cached tokens anew.
    pub fn add_placed(&mut self, tenant: TenantId, tokens: Tokens) {
        self.cached.add(tenant, tokens.0 as f64);
    }

    /// Returns whether the use of the caches must be computed anew.
    pub fn is_due(&self, now: Instant) -> bool {
        self.updated_at.is_none_or(|at| now.since(at) >= UPDATE_INTERVAL)
    }

    /// Replaces the cached tokens by `cached`, those that are expected to be used again. Prefixes
    /// of waiting calls must not be in it: [`CacheDemand::add_waiting`] has counted them.
    pub fn update(&mut self, now: Instant, cached: impl Iterator<Item = (TenantId, f64)>) {
        self.updated_at = Some(now);
        self.cached = TokensByTenant::default();
        cached.for_each(|(tenant, tokens)| self.cached.add(tenant, tokens));
    }

    /// Returns whether a new program of `size` tokens may start, given the total cache capacity
    /// of the pool's targets in this zone, and `share`, the tenant's fraction of all weights.
    pub fn has_room(&self, tenant: TenantId, share: f64, size: Tokens, capacity: Tokens) -> bool {
        let available = capacity.0 as f64 * MAX_FILL_FRACTION;
        let own = self.cached.get(tenant) + self.waiting.get(tenant);
        let total = self.cached.total + self.waiting.total;
        let size = size.0 as f64;

        // A tenant with nothing cached or waiting is never held back. Otherwise a program that is
        // larger than the allowed space would wait forever, even with empty caches.
        available == 0.0
            || own == 0.0
            || total + size <= available
            || own + size <= available * share
    }
}
