//! How much of the fleet's capacity each tenant uses: its part of the calls that all hosts admit.

use std::time::Duration;

use super::{Account, Rates};

/// The time constant of the averages. Lent capacity has to be reclaimed within two seconds, in
/// which an average with this time constant follows nine tenths of a change.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// The admitted calls of one tenant, over all hosts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// The value of [`Account::spent`] up to which calls are part of the average.
    counted: f64,
    /// The average of admitted calls per second. Below zero for a moment if calls were refunded.
    per_second: f64,
}

/// The sums over all tenants with a rate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UsageSums {
    /// Admitted calls per second.
    per_second: f64,
    /// Configured calls per second.
    rate: f64,
}

impl UsageSums {
    /// Updates the average of a tenant, and adds the tenant.
    pub(super) fn add(&mut self, account: &mut Account, elapsed: Duration) {
        let Usage { counted, per_second } = account.usage;
        let current = (account.spent - counted) / elapsed.as_secs_f64();
        let weight = 1.0 - (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        let per_second = per_second + (current - per_second) * weight;

        account.usage = Usage { counted: account.spent, per_second };
        self.per_second += per_second.max(0.0);
        self.rate += account.rate;
    }
}

/// What a tenant uses, relative to what it may.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantUse {
    /// Its part of the calls that all hosts admitted recently.
    pub part: f64,
    /// Its share: its rate relative to the sum of all rates.
    pub share: f64,
}

impl Rates {
    /// Returns what a tenant uses as of the last tick; `None` for a tenant without a rate, or if
    /// nothing is known yet.
    pub fn tenant_use(&self, tenant: &str) -> Option<TenantUse> {
        let account = self.accounts.get(tenant)?;
        let UsageSums { per_second, rate } = self.usage;
        if per_second <= 0.0 || rate <= 0.0 {
            return None;
        }

        Some(TenantUse {
            part: (account.usage.per_second.max(0.0) / per_second).min(1.0),
            share: (account.rate / rate).min(1.0),
        })
    }
}
