//! Fair sharing between the tenants of a pool, by attained service.

use camphorwalk_core::config::Config;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::TenantId;
use camphorwalk_core::units::Tokens;

/// Service units in one token. Weights divide service, so a fine unit keeps rounding errors
/// small.
const UNITS_PER_TOKEN: u64 = 1_000;

/// The configured weights of the tenants.
#[derive(Debug, Default)]
pub struct Weights {
    tenants: Map<TenantId, u32>,
    total: u64,
}

impl Weights {
    /// Reads the weights from a configuration. A weight of 0 counts as 1.
    pub fn from_config(config: &Config) -> Self {
        let tenants = config.tenants.iter();
        let tenants: Map<_, _> =
            tenants.map(|t| (TenantId::from_name(&t.name), t.weight.max(1))).collect();
        let total = tenants.values().map(|weight| u64::from(*weight)).sum();

        Self { tenants, total }
    }

    /// Returns the weight of a tenant.
    pub fn get(&self, tenant: TenantId) -> u32 {
        self.tenants.get(&tenant).copied().unwrap_or(1)
    }

    /// Returns a tenant's fraction of the total weight of all configured tenants.
    pub fn fraction(&self, tenant: TenantId) -> f64 {
        f64::from(self.get(tenant)) / (self.total.max(1) as f64)
    }
}

/// The account of one tenant.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Attained service divided by the tenant's weight.
    service: u64,
    /// The number of waiting calls.
    waiting: u32,
}

/// The service accounts of a pool's tenants.
///
/// This is start-time fair queueing. A tenant that starts to wait begins no lower than the floor,
/// which is the service of the least served waiting tenant at the last grant. An idle tenant
/// therefore saves no credit with which it could block the others later, and a tenant that sends
/// more than its share delays only its own calls.
#[derive(Debug, Default)]
pub struct ServiceAccounts {
    accounts: Map<TenantId, Account>,
    floor: u64,
}

impl ServiceAccounts {
    /// Adds a waiting call.
    pub fn add_waiting(&mut self, tenant: TenantId) {
        let account = self.accounts.entry(tenant).or_default();

        if account.waiting == 0 {
            account.service = account.service.max(self.floor);
        }

        account.waiting += 1;
    }

    /// Removes a waiting call.
    pub fn remove_waiting(&mut self, tenant: TenantId) {
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.waiting = account.waiting.saturating_sub(1);
        }

        // An idle account at or below the floor is equal to a new account, so it need not be
        // stored.
        let floor = self.floor;
        self.accounts.retain(|_, account| account.waiting > 0 || account.service > floor);
    }

    /// Raises the floor to the service of the least served waiting tenant. Called at each grant
    /// before the charge.
    pub fn raise_floor(&mut self) {
        self.floor = self.min_service();
    }

    /// Charges service to a tenant.
    pub fn charge(&mut self, tenant: TenantId, weight: u32, tokens: Tokens) {
        let floor = self.floor;
        let account = self.accounts.entry(tenant).or_insert(Account { service: floor, waiting: 0 });

        account.service = account.service.saturating_add(service_units(weight, tokens));
    }

    /// Refunds service that was charged but not used.
    pub fn refund(&mut self, tenant: TenantId, weight: u32, tokens: Tokens) {
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.service = account.service.saturating_sub(service_units(weight, tokens));
        }
    }

    /// Returns a tenant's service divided by its weight; lower goes first.
    pub fn service(&self, tenant: TenantId) -> u64 {
        self.accounts.get(&tenant).map_or(self.floor, |account| account.service)
    }

    /// Returns the service of the least served waiting tenant, but no less than the floor.
    pub fn min_service(&self) -> u64 {
        let waiting = self.accounts.values().filter(|account| account.waiting > 0);

        waiting.map(|account| account.service).min().unwrap_or(self.floor).max(self.floor)
    }

    /// Returns the tenants with waiting calls.
    pub fn waiting_tenants(&self) -> impl Iterator<Item = TenantId> + '_ {
        self.accounts.iter().filter(|(_, account)| account.waiting > 0).map(|(id, _)| *id)
    }
}

fn service_units(weight: u32, tokens: Tokens) -> u64 {
    tokens.0.saturating_mul(UNITS_PER_TOKEN) / u64::from(weight.max(1))
}
