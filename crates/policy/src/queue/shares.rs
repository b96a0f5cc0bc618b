//! Fair shares between the tenants of a pool, by attained service.

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::TenantId;
use camphorwalk_core::units::Tokens;

/// Service is counted in this part of a token, so that weights divide it finely.
const UNITS_PER_TOKEN: u64 = 1_000;

/// One tenant's account.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Service attained over weight.
    service: u64,
    /// Calls that wait or are in flight.
    active: u32,
}

/// The accounts of the tenants that have calls in a pool.
///
/// Start-time fair queueing: who comes back after a pause begins where the least served
/// of the active tenants stands. So idleness saves up no credit with which to lock the
/// others out, and a tenant that sends more than its share only waits longer itself.
#[derive(Debug, Default)]
pub struct Shares {
    accounts: Map<TenantId, Account>,
    /// The service of the least served active tenant, when last there was one.
    floor: u64,
}

impl Shares {
    /// Counts a call in.
    pub fn enter(&mut self, tenant: TenantId) {
        self.floor = self.floor();

        let account = self.accounts.entry(tenant).or_default();

        if account.active == 0 {
            account.service = account.service.max(self.floor);
        }

        account.active += 1;
    }

    /// Counts a call out.
    pub fn leave(&mut self, tenant: TenantId) {
        self.floor = self.floor();

        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.active = account.active.saturating_sub(1);
        }

        // An idle account at or below the floor says nothing that a new one would not.
        let floor = self.floor;
        self.accounts.retain(|_, account| account.active > 0 || account.service > floor);
    }

    /// Charges service to a tenant.
    pub fn charge(&mut self, tenant: TenantId, weight: u32, tokens: Tokens) {
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.service = account.service.saturating_add(units(weight, tokens));
        }
    }

    /// Gives back service that was charged but not used.
    pub fn refund(&mut self, tenant: TenantId, weight: u32, tokens: Tokens) {
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.service = account.service.saturating_sub(units(weight, tokens));
        }
    }

    /// Returns a tenant's service over its weight: lower goes first.
    pub fn service(&self, tenant: TenantId) -> u64 {
        self.accounts.get(&tenant).map_or(self.floor, |account| account.service)
    }

    /// Returns the service of the least served active tenant.
    pub fn floor(&self) -> u64 {
        let active = self.accounts.values().filter(|account| account.active > 0);

        active.map(|account| account.service).min().unwrap_or(self.floor).max(self.floor)
    }

    /// Returns the active tenants.
    pub fn active(&self) -> impl Iterator<Item = TenantId> + '_ {
        self.accounts.iter().filter(|(_, account)| account.active > 0).map(|(id, _)| *id)
    }
}

fn units(weight: u32, tokens: Tokens) -> u64 {
    tokens.0.saturating_mul(UNITS_PER_TOKEN) / u64::from(weight.max(1))
}
