//! Fair shares between the tenants of a pool, by attained service.

use camphorwalk_core::config::Config;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::TenantId;
use camphorwalk_core::units::Tokens;

/// Service is counted in this part of a token, so that weights divide it finely.
const UNITS_PER_TOKEN: u64 = 1_000;

/// The declared weights of the tenants.
#[derive(Debug, Default)]
pub struct Weights {
    tenants: Map<TenantId, u32>,
    all: u64,
}

impl Weights {
    /// Takes over the declared weights; none is below 1.
    pub fn of(config: &Config) -> Self {
        let tenants = config.tenants.iter();
        let tenants: Map<_, _> =
            tenants.map(|t| (TenantId::from_name(&t.name), t.weight.max(1))).collect();
        let all = tenants.values().map(|weight| u64::from(*weight)).sum();

        Self { tenants, all }
    }

    /// Returns a tenant's weight.
    pub fn get(&self, tenant: TenantId) -> u32 {
        self.tenants.get(&tenant).copied().unwrap_or(1)
    }

    /// Returns a tenant's part of the weights of all declared tenants.
    pub fn part(&self, tenant: TenantId) -> f64 {
        f64::from(self.get(tenant)) / (self.all.max(1) as f64)
    }
}

/// One tenant's account.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Service attained over weight.
    service: u64,
    /// Calls that wait.
    waiting: u32,
}

/// The accounts of the tenants of a pool.
///
/// Start-time fair queueing: who begins to wait starts no lower than the floor, where the
/// least served waiting tenant stood at the last grant. So idleness saves up no credit with
/// which to lock the others out, and a tenant that sends more than its share only waits
/// longer itself.
#[derive(Debug, Default)]
pub struct Shares {
    accounts: Map<TenantId, Account>,
    floor: u64,
}

impl Shares {
    /// Counts a waiting call in.
    pub fn enter(&mut self, tenant: TenantId) {
        let account = self.accounts.entry(tenant).or_default();

        if account.waiting == 0 {
            account.service = account.service.max(self.floor);
        }

        account.waiting += 1;
    }

    /// Counts a waiting call out.
    pub fn leave(&mut self, tenant: TenantId) {
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.waiting = account.waiting.saturating_sub(1);
        }

        // An idle account at or below the floor says nothing that a new one would not.
        let floor = self.floor;
        self.accounts.retain(|_, account| account.waiting > 0 || account.service > floor);
    }

    /// Moves the floor up to the least served tenant that waits; to be called at each grant,
    /// before its charge.
    pub fn advance(&mut self) {
        self.floor = self.least();
    }

    /// Charges service to a tenant.
    pub fn charge(&mut self, tenant: TenantId, weight: u32, tokens: Tokens) {
        let floor = self.floor;
        let account = self.accounts.entry(tenant).or_insert(Account { service: floor, waiting: 0 });

        account.service = account.service.saturating_add(units(weight, tokens));
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

    /// Returns the service of the least served tenant that waits, never below the floor.
    pub fn least(&self) -> u64 {
        let waiting = self.accounts.values().filter(|account| account.waiting > 0);

        waiting.map(|account| account.service).min().unwrap_or(self.floor).max(self.floor)
    }

    /// Returns the tenants that wait.
    pub fn waiting(&self) -> impl Iterator<Item = TenantId> + '_ {
        self.accounts.iter().filter(|(_, account)| account.waiting > 0).map(|(id, _)| *id)
    }
}

fn units(weight: u32, tokens: Tokens) -> u64 {
    tokens.0.saturating_mul(UNITS_PER_TOKEN) / u64::from(weight.max(1))
}
