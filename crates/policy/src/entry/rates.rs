//! Tenants' rates over all hosts, by shares that follow the demand.
//!
//! Each host tells the others several times a second how much each tenant asks of it. A host
//! then admits the part of a tenant's rate that its demand has in the demand at all hosts. The
//! shares of all hosts sum to one, whatever the balancer sends where, and a call waits for
//! nobody.

use std::time::Duration;

use camphorwalk_core::entry::TenantSpec;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

/// How long a silent host's demand counts as it was last told. Behind a cut a host goes on
/// admitting its share; if the others took it over at once, both sides together would exceed
/// the rate. It is as long as the longest cut that the users' sheets name, and a little more.
pub const SILENT_DEMAND_KEPT: Duration = Duration::from_secs(15);

/// The part of an even share that a host has whatever its demand, so that the first calls of a
/// tenant at a host are not refused before its demand is known elsewhere.
const FLOOR: f64 = 0.25;

/// The part of its share of the burst that a host begins with. A whole one for each new
/// process would let a fleet that restarts admit the burst twice in a window.
const FIRST_LEVEL: f64 = 0.3;

/// How fast growing and falling demand is believed. Growth is believed quickly, so that a
/// tenant that comes to a host is not refused there; decline slowly, since the others take over
/// what one gives up.
const RISE: Duration = Duration::from_millis(300);
const FALL: Duration = Duration::from_secs(2);

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is within its tenant's rate.
    Admitted,
    /// It is over the rate; a token comes after this time.
    Refused(Duration),
}

/// One tenant at this host.
#[derive(Clone, Debug)]
struct Account {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
    /// Calls that came since the last tick.
    arrived: u32,
    /// Calls a second, smoothed.
    demand: f64,
    share: f64,
}

/// What a host told of its demand.
#[derive(Clone, Debug)]
struct Told {
    at: Instant,
    demand: Map<Box<str>, f64>,
}

/// The rates of all tenants at this host.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    accounts: Map<Box<str>, Account>,
    told: Map<HostId, Told>,
    /// The other hosts of the fleet, heard or not.
    others: Vec<HostId>,
    ticked: Option<Instant>,
}

impl Rates {
    /// Takes over the tenants of a manifest; accounts go on where they stand.
    pub fn configure(&mut self, now: Instant, tenants: &[TenantSpec]) {
        let mut accounts = Map::default();

        for tenant in tenants {
            let Some(rate) = tenant.rate else { continue };
            let mut account = self.accounts.remove(&tenant.name).unwrap_or_else(|| {
                let share = 1.0 / (self.others.len() + 1) as f64;
                let level = tenant.burst * share * FIRST_LEVEL;

                Account { rate, burst: 0.0, level, at: now, arrived: 0, demand: 0.0, share }
            });
            account.refill(now);
            account.rate = rate;
            account.burst = tenant.burst;
            accounts.insert(tenant.name.clone(), account);
        }

        self.accounts = accounts;
    }

    /// Sets the other hosts of the fleet.
    pub fn set_others(&mut self, others: Vec<HostId>) {
        self.told.retain(|host, _| others.contains(host));
        self.others = others;
    }

    /// Takes in what a host tells of its demand, in calls a second by tenant.
    pub fn hear(&mut self, now: Instant, host: HostId, demand: Map<Box<str>, f64>) {
        self.told.insert(host, Told { at: now, demand });
    }

    /// Returns this host's demand, to be told to the others.
    pub fn demand(&self) -> impl Iterator<Item = (&str, f64)> {
        self.accounts.iter().filter(|(_, a)| a.demand > 0.01).map(|(name, a)| (&**name, a.demand))
    }

    /// Counts what came since the last tick, and cuts the shares anew. Called several times a
    /// second.
    pub fn tick(&mut self, now: Instant) {
        let passed = self.ticked.map_or(Duration::ZERO, |t| now.since(t));
        self.ticked = Some(now);

        if passed.is_zero() {
            return;
        }

        for (name, account) in &mut self.accounts {
            account.refill(now);
            account.smooth(passed);
            account.share = share(name, account, &self.others, &self.told, now);
        }
    }

    /// Takes a token for a call of a tenant; tenants without a rate have no limit.
    pub fn admit(&mut self, now: Instant, tenant: &str) -> Admission {
        let Some(account) = self.accounts.get_mut(tenant) else { return Admission::Admitted };
        account.arrived += 1;
        account.refill(now);

        if account.level < 1.0 {
            return Admission::Refused(account.next_token());
        }

        account.level -= 1.0;
        Admission::Admitted
    }

    /// Gives back the token of a call that did not reach a target.
    pub fn give_back(&mut self, tenant: &str) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.level += 1.0;
        }
    }
}

impl Account {
    fn refill(&mut self, now: Instant) {
        let passed = now.since(self.at).as_secs_f64();
        let most = (self.burst * self.share).max(1.0);

        self.level = (self.level + passed * self.rate * self.share).min(most);
        self.at = self.at.max(now);
    }

    fn smooth(&mut self, passed: Duration) {
        let seen = f64::from(std::mem::take(&mut self.arrived)) / passed.as_secs_f64();
        let constant = if seen > self.demand { RISE } else { FALL };
        let part = 1.0 - (-passed.as_secs_f64() / constant.as_secs_f64()).exp();

        self.demand += (seen - self.demand) * part;
    }

    fn next_token(&self) -> Duration {
        let missing = 1.0 - self.level;
        let seconds = missing / (self.rate * self.share).max(1e-3);

        Duration::from_secs_f64(seconds.min(60.0))
    }
}

/// Returns this host's part of a tenant's rate.
///
/// A host that was never heard counts as one with the same demand as this one: then hosts that
/// cannot hear each other share evenly.
fn share(
    tenant: &str,
    account: &Account,
    others: &[HostId],
    told: &Map<HostId, Told>,
    now: Instant,
) -> f64 {
    let floor = FLOOR * account.rate / (others.len() + 1) as f64;
    let own = account.demand + floor;
    let sum: f64 = others
        .iter()
        .map(|host| match told.get(host) {
            None => own,
            Some(told) if now.since(told.at) > SILENT_DEMAND_KEPT => floor,
            Some(told) => told.demand.get(tenant).copied().unwrap_or(0.0) + floor,
        })
        .sum();

    own / (own + sum)
}
