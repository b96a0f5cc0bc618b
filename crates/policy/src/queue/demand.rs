//! How much of a pool's caches the programs under way need, and whether one more may start.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::TenantId;
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

/// How often the use of caches is looked at.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The part of the caches that programs under way may fill.
///
/// Running calls take room too, and the rest is not laid out evenly over the targets.
const USED_PART: f64 = 0.65;

/// The demand for room in a pool's caches, in tokens.
///
/// When more programs are under way than the caches hold, each pushes out another's prefix
/// just before it comes back, and most of the work is computing prefixes anew. So a new
/// program starts only while there is room for it, or while its tenant uses less than its own
/// part. Without the latter a tenant far over its rate would hold back all others.
#[derive(Debug, Default)]
pub struct Demand {
    awaited: Sums,
    held: Sums,
    looked: Option<Instant>,
}

/// Tokens by tenant, and their sum.
#[derive(Debug, Default)]
struct Sums {
    all: f64,
    tenants: Map<TenantId, f64>,
}

impl Sums {
    fn add(&mut self, tenant: TenantId, tokens: f64) {
        self.all += tokens;
        *self.tenants.entry(tenant).or_default() += tokens;
    }

    fn of(&self, tenant: TenantId) -> f64 {
        self.tenants.get(&tenant).copied().unwrap_or_default()
    }
}

impl Demand {
    /// Counts in the prompt of a waiting call, of a program under way.
    pub fn wait(&mut self, tenant: TenantId, prompt: Tokens) {
        self.awaited.add(tenant, prompt.0 as f64);
    }

    /// Counts out what [`Demand::wait`] counted in.
    pub fn end_wait(&mut self, tenant: TenantId, prompt: Tokens) {
        self.awaited.add(tenant, -(prompt.0 as f64));

        // Whole numbers of tokens cancel out exactly.
        if self.awaited.of(tenant) <= 0.0 {
            self.awaited.tenants.remove(&tenant);
        }
    }

    /// Counts in a call that is placed, until the caches are looked at again.
    pub fn place(&mut self, tenant: TenantId, tokens: Tokens) {
        self.held.add(tenant, tokens.0 as f64);
    }

    /// Returns whether the caches are to be looked at again.
    pub fn is_due(&self, now: Instant) -> bool {
        self.looked.is_none_or(|at| now.since(at) >= CHECK_INTERVAL)
    }

    /// Takes over what caches hold that will be used again, calls that wait left out.
    pub fn look(&mut self, now: Instant, held: impl Iterator<Item = (TenantId, f64)>) {
        self.looked = Some(now);
        self.held = Sums::default();
        held.for_each(|(tenant, tokens)| self.held.add(tenant, tokens));
    }

    /// Returns whether a new program of this size may start before caches of this size, of a
    /// tenant whose part of the weights is `share`.
    pub fn has_room(&self, tenant: TenantId, share: f64, size: Tokens, cache: Tokens) -> bool {
        let room = cache.0 as f64 * USED_PART;
        let own = self.held.of(tenant) + self.awaited.of(tenant);
        let all = self.held.all + self.awaited.all;
        let size = size.0 as f64;

        // A tenant with nothing under way is never held back: a program larger than the room
        // would else wait for ever, also for empty caches.
        room == 0.0 || own == 0.0 || all + size <= room || own + size <= room * share
    }
}
