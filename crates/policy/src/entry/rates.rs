//! Tenants' rates over all hosts, by one token bucket that each host keeps for itself.
//!
//! Each host tells the others several times a second how many calls of each tenant it has
//! admitted, and takes the others' calls out of its own bucket. So all hosts know one level but
//! for the time that news take, and a call waits for nobody, whichever host the balancer sends
//! it to. What a silent host admits is estimated: it keeps the share of the rate that it had when
//! it was heard last. Both sides of a cut reckon with the demand of that moment, which both knew,
//! so that their shares come to the whole rate and no more.

mod unheard;

use std::collections::VecDeque;
use std::time::Duration;

use camphorwalk_core::entry::TenantSpec;
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

use self::unheard::Others;

/// How long a silent host is taken to go on admitting its share. Behind a cut it does; if the
/// others took its share over at once, both sides together would exceed the rate. As long as a
/// host whose row does not change counts as one of the fleet.
const SILENT_SHARE_KEPT: Duration = Duration::from_secs(15);

/// A host that told nothing for this long is silent. News come every 100 ms in a small fleet.
const SILENT: Duration = Duration::from_millis(700);

/// How long it is kept what was known of the demand: until a host that was heard then is silent,
/// and a tick longer.
const MARKS_KEPT: Duration = Duration::from_secs(1);

/// The time that news take: their period, and the way between two zones.
const NEWS_LAG: Duration = Duration::from_millis(130);

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

/// By which part of the rate what a host leaves to silent ones must change to be told again.
const WITHHELD_SLACK: f64 = 0.01;

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
    /// The part of the rate that is left to silent hosts.
    pub reserved: f64,
}

/// The part of a tenant's rate that a host leaves to others that fell silent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReservedShare {
    /// From 0 to 1.
    pub share: f64,
    /// How long it is still left to them, from when the last of them was heard.
    pub expires_in: Duration,
}

/// What a host tells of a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantStatus {
    /// The calls that it has admitted since its process began.
    pub admitted: u64,
    /// The calls a second that come to it.
    pub demand: f64,
    /// The level of its bucket.
    pub level: f64,
    /// What it leaves to hosts that it does not hear. One that has just started never heard them.
    pub reserved: ReservedShare,
    /// Whether it hears all hosts, so that its level rests on no estimate.
    pub all_hosts_live: bool,
}

/// What was known of a tenant at a moment.
#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Instant,
    /// The calls a second that came to all hosts.
    demand: f64,
    /// The calls that were known to be admitted, here or elsewhere.
    spent: f64,
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
    /// The calls admitted here, and elsewhere as other hosts told.
    spent: f64,
    /// What was known while a host that is not heard now may still have been.
    marks: VecDeque<Mark>,
    /// What is left to silent hosts, as others are told of it.
    reserved: ReservedShare,
    /// The part of the rate that is taken out for hosts that are not heard.
    unheard_share: f64,
    /// Whether a host that is heard takes out such a part, and wants to know the level.
    level_wanted: bool,
    /// What the other hosts were told last.
    told: Option<TenantStatus>,
}

impl Account {
    /// Returns whether the other hosts are to be told: what they reckon with has changed.
    fn has_news(&self) -> bool {
        let Some(told) = self.told else { return self.admitted > 0 || self.arrived > 0 };
        let slack = (told.demand * DEMAND_SLACK).max(LEAST_DEMAND_SLACK);
        let withheld_changed = (self.reserved.share - told.reserved.share).abs();

        (self.level_wanted && self.hears_all())
            || self.admitted != told.admitted
            || (self.demand - told.demand).abs() > slack
            || withheld_changed > WITHHELD_SLACK
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

impl Told {
    fn is_silent(&self, now: Instant) -> bool {
        now.since(self.at) > SILENT
    }

    /// Returns the part of a tenant's rate that it is taken to use while it is silent.
    fn share(&self, tenant: &str) -> f64 {
        self.tenants.get(tenant).and_then(|t| t.share).unwrap_or_default()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ToldTenant {
    news: TenantStatus,
    /// Until when what it leaves to silent hosts is left to them.
    withheld_until: Instant,
    /// What was taken out of the bucket for it since it fell silent.
    estimated: f64,
    /// The part of the rate that it is taken to use while it is silent, as of when it was heard
    /// last.
    share: Option<f64>,
}

/// What is known of another host by what it told.
enum Contact {
    /// It never told anything to this process.
    Unknown,
    Heard,
    /// It is taken to go on admitting its share.
    Silent,
    /// It is taken to admit nothing any more.
    Gone,
}

fn contact(now: Instant, told: Option<&Told>) -> Contact {
    match told {
        None => Contact::Unknown,
        Some(told) if !told.is_silent(now) => Contact::Heard,
        Some(told) if now.since(told.at) <= SILENT_SHARE_KEPT => Contact::Silent,
        Some(_) => Contact::Gone,
    }
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
                spent: 0.0,
                marks: VecDeque::new(),
                reserved: ReservedShare::default(),
                unheard_share: 0.0,
                level_wanted: false,
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
    pub fn set_peers(&mut self, others: Vec<HostId>) {
        self.told.retain(|host, _| others.contains(host));
        self.others = others;
    }

    /// Takes in what the run `run` of a host tells of its tenants: of all of them, or of those of
    /// which something has changed.
    pub fn apply_update(
        &mut self,
        now: Instant,
        host: HostId,
        run: u64,
        all: bool,
        news: impl IntoIterator<Item = (Box<str>, TenantStatus)>,
    ) {
        let told = self.told.entry(host).or_default();
        let is_new = told.base_run.is_none();
        let same_run = told.base_run == Some(run);
        if told.is_silent(now) {
            told.tenants.values_mut().for_each(|tenant| tenant.share = None);
        }
        told.at = now;
        told.counted_until = now;

        if !same_run && !all {
            return;
        }
        told.base_run = Some(run);
        // A new run counts from zero, and has no demand where it tells of none.
        let mut corrections = Vec::new();
        let mut run_before = match same_run {
            true => Map::default(),
            false => std::mem::take(&mut told.tenants),
        };

        for (tenant, news) in news {
            let withheld_until = now + news.reserved.expires_in;
            let new = ToldTenant { news, withheld_until, estimated: 0.0, share: None };
            let before = told.tenants.insert(tenant.clone(), new).unwrap_or_default();
            let Some(account) = self.accounts.get_mut(&tenant) else { continue };
            account.refill(now);
            let admitted = news.admitted as f64 - before.news.admitted as f64;
            let taken = match (is_new, same_run) {
                // What a host admitted before this one first heard of it is in its level.
                (true, _) => 0.0,
                (false, true) => admitted - before.estimated,
                // What the run before admitted in silence nobody can tell any more.
                (false, false) => {
                    let estimated = run_before.remove(&tenant).map_or(0.0, |b| b.estimated);
                    (admitted - estimated).max(0.0)
                }
            };
            account.level -= taken;
            account.spent += if is_new { 0.0 } else { admitted };

            let lower = (account.level - news.level).max(0.0);
            // A new process believes what the others know.
            if now < account.fresh_until {
                account.level -= lower;
            } else if news.all_hosts_live && !account.hears_all() {
                // So does one that reckons with estimates, of one that does not.
                account.level -= lower;
                corrections.push((tenant, lower));
            }
        }
        for (tenant, lower) in corrections {
            self.note_unheard(now, &tenant, lower);
        }
    }

    /// Notes calls that silent hosts admitted beyond what they were taken to, by their shares.
    fn note_unheard(&mut self, now: Instant, tenant: &str, calls: f64) {
        let silent = |told: &Told| matches!(contact(now, Some(told)), Contact::Silent);
        let all: f64 = self.told.values().filter(|t| silent(t)).map(|t| t.share(tenant)).sum();

        for told in self.told.values_mut().filter(|told| silent(told)) {
            let part = told.share(tenant) / all.max(f64::MIN_POSITIVE);
            if let Some(tenant) = told.tenants.get_mut(tenant) {
                tenant.estimated += calls * part;
            }
        }
    }

    /// Returns what the other hosts are to be told, and takes note that they were. `all` tells of
    /// all tenants that had calls here, for hosts that missed something; else only of those of
    /// which something has changed.
    pub fn take_updates(&mut self, all: bool) -> Vec<(Box<str>, TenantStatus)> {
        let mut news = Vec::new();

        for (name, account) in &mut self.accounts {
            if !(account.has_news() || (all && account.told.is_some())) {
                continue;
            }
            let Account { admitted, demand, level, reserved, .. } = *account;
            let all_hosts_live = account.hears_all();
            let tells = TenantStatus { admitted, demand, level, reserved, all_hosts_live };
            account.told = Some(tells);
            news.push((name.clone(), tells));
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

        let others = Others::new(now, passed, &self.others, &self.told);
        for (name, account) in &mut self.accounts {
            account.refill(now);
            account.smooth(passed);
            others.take_out_unheard(name, account, &mut self.told);
        }
        for told in self.told.values_mut().filter(|told| told.is_silent(now)) {
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
        account.spent += 1.0;
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
            reserved: account.unheard_share,
        })
    }

    /// Gives back the token of a call that has not run and never will.
    pub fn refund(&mut self, tenant: &str) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.level = (account.level + 1.0).min(account.most());
            account.admitted = account.admitted.saturating_sub(1);
            account.spent -= 1.0;
        }
    }
}

impl Account {
    /// Marks what is known now, for hosts that turn out to be silent later.
    fn mark(&mut self, now: Instant) {
        let demand = self.demand + self.others_demand;
        self.marks.push_back(Mark { at: now, demand, spent: self.spent });

        while self.marks.get(1).is_some_and(|second| now.since(second.at) > MARKS_KEPT) {
            self.marks.pop_front();
        }
    }

    /// Returns what was known at a moment, or at the first after it that is marked.
    fn known_at(&self, at: Instant) -> Mark {
        let now = Mark { at: self.at, demand: self.demand + self.others_demand, spent: self.spent };

        self.marks.iter().find(|mark| mark.at >= at).copied().unwrap_or(now)
    }

    /// Returns whether the level rests on what hosts told alone, and on no estimate.
    fn hears_all(&self) -> bool {
        self.unheard_share <= 0.0
    }

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
