//! Tenants' rates over all hosts, by one token bucket that each host keeps for itself.
//!
//! Each host tells the others several times a second how many calls of each tenant it has
//! admitted, and takes the others' calls out of its own bucket. So all hosts know one level but
//! for the time that news take, and a call waits for nobody, whichever host the balancer sends
//! it to. What a silent host admits is estimated: it keeps its share by the last known demand.

use std::time::Duration;

use camphorwalk_core::entry::TenantSpec;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

/// How long a silent host is taken to go on admitting its share. Behind a cut it does; if the
/// others took its share over at once, both sides together would exceed the rate. As long as a
/// host whose row does not change counts as one of the fleet.
const SILENT_SHARE_KEPT: Duration = Duration::from_secs(15);

/// A host that told nothing for this long is silent. News come every 100 ms in a small fleet.
const SILENT: Duration = Duration::from_millis(700);

/// The time that news take: their period, and the way between two zones.
const NEWS_LAG: Duration = Duration::from_millis(130);

/// The part of an even share that a host has by its mere being there, when shares are estimated.
const FLOOR: f64 = 0.25;

/// The part of the burst that a process begins with, until it hears the level of another. A
/// whole one would let a fleet that restarts admit the burst twice in a window.
const FIRST_LEVEL: f64 = 0.3;

/// How long a new process believes the lower level of another host. If it went on, an estimate
/// of one host that is too low would spread to all and stay.
const FRESH: Duration = Duration::from_secs(2);

/// The part of the burst that is left to programs under way. A program of which one call is
/// refused fails as a whole, and what it took before is lost; a new one has lost nothing yet.
const KEPT_FOR_PROGRAMS: f64 = 0.35;

/// The time over which demand is averaged. A program's calls come in clumps of a second; an
/// average that follows them gives silent hosts the share of their last clump for a whole cut.
const SMOOTHING: Duration = Duration::from_secs(3);

/// How long a call of a program under way may wait for tokens. Its caller would come back after as
/// long with one of two or three tries gone, and a program of which one call is given up fails as
/// a whole.
const LONGEST_WAIT: Duration = Duration::from_millis(200);

/// How long a new program may wait for tokens: a quarter of that. After it the caller is better told
/// to come back.
const LONGEST_WAIT_NEW: Duration = Duration::from_millis(50);

/// By which part of itself a tenant's demand must change to be told again, and by how many calls a
/// second at least. It decides about the reserve for news that are on their way, which is no more
/// exact.
const DEMAND_SLACK: f64 = 0.1;
const LEAST_DEMAND_SLACK: f64 = 0.3;

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is within its tenant's rate.
    Admitted,
    /// There is a token for it after this time, which is short: it is to ask again then.
    Wait(Duration),
    /// It is over the rate; there are tokens for it after this time.
    Refused(Duration),
}

/// What decides about a tenant's calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateState {
    /// The tokens left.
    pub level: f64,
    /// The tenant's rate, in calls a second.
    pub rate: f64,
    /// The calls a second that come to this host.
    pub demand: f64,
    /// The calls a second that come to the others, as they told or as estimated.
    pub others_demand: f64,
}

/// What a host tells of a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantNews {
    /// The calls that it has admitted since its process began.
    pub admitted: u64,
    /// The calls a second that come to it.
    pub demand: f64,
    /// The level of its bucket.
    pub level: f64,
}

/// One tenant at this host.
#[derive(Clone, Debug)]
struct Account {
    rate: f64,
    burst: f64,
    /// The tokens that are left; below zero if other hosts admitted calls before their news came.
    level: f64,
    at: Instant,
    /// Until when the level of another host that is lower goes before this one's.
    fresh_until: Instant,
    admitted: u64,
    /// Calls that came since the last tick.
    arrived: u32,
    /// Calls a second, smoothed.
    demand: f64,
    /// Calls a second that come to the other hosts.
    others_demand: f64,
    /// What the other hosts were told last.
    told: Option<TenantNews>,
}

impl Account {
    /// Returns whether the other hosts are to be told: what they reckon with has changed.
    fn has_news(&self) -> bool {
        let Some(told) = self.told else { return self.admitted > 0 || self.arrived > 0 };
        let slack = (told.demand * DEMAND_SLACK).max(LEAST_DEMAND_SLACK);

        self.admitted != told.admitted || (self.demand - told.demand).abs() > slack
    }
}

/// What another host told.
#[derive(Clone, Debug, Default)]
struct Told {
    at: Instant,
    /// Until when what it admits was told or estimated.
    counted_until: Instant,
    /// The run of its process that has told of all its tenants. Before it has, it is not known
    /// which of the calls that it tells of were counted already.
    base_run: Option<u64>,
    tenants: Map<Box<str>, ToldTenant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ToldTenant {
    news: TenantNews,
    /// What was taken out of the bucket for it since it fell silent.
    estimated: f64,
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
            let mut account = self.accounts.remove(&tenant.name).unwrap_or_else(|| Account {
                rate,
                burst: tenant.burst,
                level: tenant.burst * FIRST_LEVEL,
                at: now,
                fresh_until: now + FRESH,
                admitted: 0,
                arrived: 0,
                demand: 0.0,
                others_demand: 0.0,
                told: None,
            });
            account.refill(now);
            account.rate = rate;
            account.burst = tenant.burst;
            account.level = account.level.min(account.most());
            accounts.insert(tenant.name.clone(), account);
        }

        self.accounts = accounts;
    }

    /// Sets the other hosts of the fleet.
    pub fn set_others(&mut self, others: Vec<HostId>) {
        self.told.retain(|host, _| others.contains(host));
        self.others = others;
    }

    /// Takes in what the run `run` of a host tells of its tenants: of all of them, or of those of
    /// which something has changed.
    pub fn hear(
        &mut self,
        now: Instant,
        host: HostId,
        run: u64,
        all: bool,
        news: impl IntoIterator<Item = (Box<str>, TenantNews)>,
    ) {
        let told = self.told.entry(host).or_default();
        let is_new = told.base_run.is_none();
        let same_run = told.base_run == Some(run);
        told.at = now;
        told.counted_until = now;

        if !same_run && !all {
            return;
        }
        told.base_run = Some(run);

        for (tenant, news) in news {
            let before = told.tenants.insert(tenant.clone(), ToldTenant { news, estimated: 0.0 });
            let Some(account) = self.accounts.get_mut(&tenant) else { continue };
            account.refill(now);
            let counted = match before {
                Some(before) if same_run => before.news.admitted,
                // What a host admitted before this one first heard of it is in its level.
                _ if is_new => news.admitted,
                _ => 0,
            };
            let estimated = before.map_or(0.0, |before| before.estimated);
            account.level -= news.admitted as f64 - counted as f64 - estimated;

            // A new process believes what the others know.
            if now < account.fresh_until {
                account.level = account.level.min(news.level);
            }
        }
    }

    /// Returns what the other hosts are to be told, and takes note that they were. `all` tells of
    /// all tenants that had calls here, for hosts that missed something; else only of those of
    /// which something has changed.
    pub fn take_news(&mut self, all: bool) -> Vec<(Box<str>, TenantNews)> {
        let mut news = Vec::new();

        for (name, account) in &mut self.accounts {
            if !(account.has_news() || (all && account.told.is_some())) {
                continue;
            }
            let Account { admitted, demand, level, .. } = *account;
            account.told = Some(TenantNews { admitted, demand, level });
            news.push((name.clone(), TenantNews { admitted, demand, level }));
        }
        news
    }

    /// Counts what came since the last tick, and takes out what silent hosts admit. Called
    /// several times a second.
    pub fn tick(&mut self, now: Instant) {
        let passed = self.ticked.map_or(Duration::ZERO, |t| now.since(t));
        self.ticked = Some(now);

        if passed.is_zero() {
            return;
        }

        for (name, account) in &mut self.accounts {
            account.refill(now);
            account.smooth(passed);
            take_out_silent(now, passed, name, account, &self.others, &mut self.told);
        }
        for told in self.told.values_mut().filter(|told| now.since(told.at) > SILENT) {
            told.counted_until = now;
        }
    }

    /// Takes a token for a call of a tenant; tenants without a rate have no limit. `is_new`
    /// tells that the call begins a program, `waited` how long it has waited so far.
    pub fn admit(
        &mut self,
        now: Instant,
        tenant: &str,
        is_new: bool,
        waited: Duration,
    ) -> Admission {
        let Some(account) = self.accounts.get_mut(tenant) else { return Admission::Admitted };
        account.arrived += u32::from(waited.is_zero());
        account.refill(now);

        let needed = 1.0 + account.reserve(is_new);
        if account.level < needed {
            let after = account.time_to(needed);
            let longest = if is_new { LONGEST_WAIT_NEW } else { LONGEST_WAIT };

            return match waited + after <= longest {
                true => Admission::Wait(after),
                false => Admission::Refused(after),
            };
        }

        account.level -= 1.0;
        account.admitted += 1;
        Admission::Admitted
    }

    /// Returns what decides about a tenant's calls, for the logs.
    pub fn explain(&self, tenant: &str) -> Option<RateState> {
        let account = self.accounts.get(tenant)?;

        Some(RateState {
            level: account.level,
            rate: account.rate,
            demand: account.demand,
            others_demand: account.others_demand,
        })
    }

    /// Gives back the token of a call that has not run and never will.
    pub fn give_back(&mut self, tenant: &str) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.level = (account.level + 1.0).min(account.most());
            account.admitted = account.admitted.saturating_sub(1);
        }
    }
}

/// Takes out of a bucket what silent hosts admit by their share of the demand.
fn take_out_silent(
    now: Instant,
    passed: Duration,
    tenant: &str,
    account: &mut Account,
    others: &[HostId],
    told: &mut Map<HostId, Told>,
) {
    let floor = FLOOR * account.rate / (others.len() + 1) as f64;
    let mut silent = Vec::new();
    account.others_demand = 0.0;

    for host in others {
        let demand = match told.get(host) {
            // A host that was never heard counts as one with the demand of this one: then hosts
            // that cannot hear each other share evenly.
            None => account.demand,
            Some(told) if now.since(told.at) > SILENT_SHARE_KEPT => continue,
            Some(told) => told.tenants.get(tenant).map_or(0.0, |t| t.news.demand),
        };
        account.others_demand += demand;

        if told.get(host).is_none_or(|told| now.since(told.at) > SILENT) {
            silent.push((*host, demand));
        }
    }

    let all = account.demand + account.others_demand + floor * (others.len() + 1) as f64;
    for (host, demand) in silent {
        // The time before a host counts as silent is made up for when it does.
        let time = told.get(&host).map_or(passed, |told| now.since(told.counted_until));
        let taken = account.rate * (demand + floor) / all * time.as_secs_f64();
        account.level = (account.level - taken).max(-account.most());

        if let Some(told) = told.get_mut(&host) {
            told.tenants.entry(tenant.into()).or_default().estimated += taken;
        }
    }
}

impl Account {
    /// Returns the most tokens that the bucket holds.
    fn most(&self) -> f64 {
        self.burst.max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.since(self.at).as_secs_f64();

        self.level = (self.level + passed * self.rate).min(self.most());
        self.at = self.at.max(now);
    }

    fn smooth(&mut self, passed: Duration) {
        let seen = f64::from(std::mem::take(&mut self.arrived)) / passed.as_secs_f64();
        let part = 1.0 - (-passed.as_secs_f64() / SMOOTHING.as_secs_f64()).exp();

        self.demand += (seen - self.demand) * part;
    }

    /// Returns what must be left after a call.
    ///
    /// The other hosts may have admitted calls whose news are still on their way. Without this
    /// reserve a tenant that sends many times its rate gets, at each time when the bucket runs
    /// dry, as many calls too many as come within that time. The demand counts no more than
    /// twice the rate: what is beyond it is refused there too.
    fn reserve(&self, is_new: bool) -> f64 {
        let others = self.others_demand.min(2.0 * self.rate);
        let unheard = (others * NEWS_LAG.as_secs_f64()).min(self.most() / 4.0);

        if is_new { unheard.max(self.most() * KEPT_FOR_PROGRAMS) } else { unheard }
    }

    fn time_to(&self, needed: f64) -> Duration {
        let seconds = (needed - self.level) / self.rate.max(1e-3);

        Duration::from_secs_f64(seconds.clamp(0.01, 60.0))
    }
}
